// Tests of the links between hosts, over loopback.
#include "line_host.h"

#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

constexpr Millis Settle{100}; // for an exchange over loopback

// A host with a link to a peer that listens on a loopback port.
struct Fixture {
  boost::asio::io_context m_Io;
  Tcp::acceptor m_Acceptor{m_Io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
  LineHost m_Peer{m_Io, {}};
  LineHost m_Host{m_Io, {}};

  explicit Fixture(bool PeerAnswers) {
    HostView &View = m_Host.m_Members.m_Hosts["peer"];
    View.m_Id = "peer";
    View.m_Address = "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
    if (PeerAnswers)
      spawnTask(m_Peer, "peers", acceptPeers(m_Peer, m_Acceptor));
    requestConfig(m_Host, "peer");
    m_Io.run_for(Settle);
    cr_assert(isLinkOpen());
  }
  bool isLinkOpen() {
    const auto &Connection = m_Host.m_Links["peer"].m_FrameConnection;
    return Connection && !Connection->m_IsClosed;
  }
  TimePoint &lastSeenAt() { return m_Host.m_Members.m_Hosts["peer"].m_LastSeenAt; }
};

} // namespace

// Datagrams of a host are lost for a while, its links work. Guards against a link that is closed
// although the host is alive: its running statements would be given up and its transactions rolled
// back.
Test(line_peer, aHostWhoseDatagramsAreLostKeepsItsWork) {
  Fixture Env(true);
  for (int Round = 0; Round < 3; ++Round) {
    Env.lastSeenAt() = bootNow() - Millis(1500);
    Env.m_Host.m_Links["peer"].m_ProbedAt = {};
    closeSilentLinks(Env.m_Host, bootNow());
    Env.m_Io.run_for(Settle);
    cr_assert_lt(bootNow() - Env.lastSeenAt(), Millis(500), "the answer to a probe shows it");
    closeSilentLinks(Env.m_Host, bootNow());
    cr_assert(Env.isLinkOpen());
  }
}

// Guards against callers that wait for a host that is frozen or cut off.
Test(line_peer, aLinkToASilentHostIsClosed) {
  Fixture Env(false);
  TimePoint Now = bootNow();
  Env.lastSeenAt() = Now - Millis(600);
  closeSilentLinks(Env.m_Host, Now);
  cr_assert(Env.isLinkOpen(), "it has been silent for a short time only");
  Env.m_Io.run_for(Settle);
  closeSilentLinks(Env.m_Host, Now + Millis(600));
  Env.m_Io.run_for(Settle);
  cr_assert_not(Env.isLinkOpen());
}

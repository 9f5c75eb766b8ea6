#include "host.h"
#include "operator.h"
#include "system.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <future>
#include <set>

using namespace quetzalpaddle;

namespace {

using operators::RunReply;

// Runs a statement on a host as its operators' listener would.
RunReply run(TestSystem &S, size_t Number, const std::string &Text) {
  auto Answer = std::make_shared<std::promise<RunReply>>();
  runOnControlThread(*S.m_Hosts[Number].m_Running, [&](Host &H) {
    operators::RunRequest Request;
    Request.set_text(Text);
    runOperatorStatement(H, Request, [Answer](const RunReply &Reply) { Answer->set_value(Reply); });
  });
  auto Future = Answer->get_future();
  cr_assert(Future.wait_for(std::chrono::seconds(10)) == std::future_status::ready, "no answer");
  RunReply Reply = Future.get();
  if (Reply.outcome() != operators::ACCEPTED)
    cr_log_info("%s: %s: %s", Text.c_str(), Reply.code().c_str(), Reply.message().c_str());
  return Reply;
}

// The cell of a column in the first row whose first cell is Id; empty if there is none.
std::string findCell(const RunReply &Reply, const std::string &Id, const std::string &Column) {
  auto At = std::ranges::find(Reply.columns(), Column) - Reply.columns().begin();
  for (const auto &Row : Reply.rows())
    if (Row.cells(0) == Id && At < Row.cells_size())
      return Row.cells(static_cast<int>(At));
  return "";
}

std::unique_ptr<TestSystem> makeSystem() {
  SystemOptions Options;
  Options.m_DataCentres = 2;
  Options.m_HostsPerDataCentre = 1;
  auto S = startSystem(Options);
  cr_assert(S != nullptr);
  return S;
}

} // namespace

// Guards against a query that fails on a running host, or rows that do not fit their columns.
Test(operatorHost, everyTopicIsShown) {
  auto S = makeSystem();
  for (const char *Topic : {"customers", "keys", "rates", "routes", "groups", "instances", "hosts",
                            "config", "queues", "refusals", "promotions", "limits"}) {
    RunReply Reply = run(*S, 0, std::string("show ") + Topic);
    cr_assert(Reply.outcome() == operators::ACCEPTED && Reply.columns_size() > 1, "%s", Topic);
    for (const auto &Row : Reply.rows())
      cr_assert(Row.cells_size() == Reply.columns_size(), "%s", Topic);
  }
  cr_assert(findCell(run(*S, 0, "show customers"), "acme", "rate") == "100000");
  cr_assert(findCell(run(*S, 0, "show groups"), "g1", "primary") == findPrimary(*S, "g1"));
  cr_assert(run(*S, 0, "show hosts").rows_size() == 2);
  RunReply Limits = run(*S, 0, "show limits");
  for (const auto &Row : Limits.rows())
    cr_assert(Row.cells(0).find("secret") == std::string::npos && Row.cells(0) != "key_pepper",
              "a secret is shown");
}

// Guards against a change that does not reach other hosts, or is confirmed before it has.
Test(operatorHost, changesReachOtherHosts) {
  auto S = makeSystem();
  RunReply Made = run(*S, 0, "create customer late rate 50 burst 20");
  cr_assert(Made.outcome() == operators::ACCEPTED);
  std::string Version = std::to_string(Made.version());
  cr_assert(waitUntil(
      [&] { return findCell(run(*S, 1, "show customers"), "late", "version") == Version; },
      std::chrono::seconds(5)));
  auto IsConfirmed = [&] {
    RunReply Config = run(*S, 0, "show config");
    return std::ranges::count_if(Config.rows(), [&](const auto &Row) {
             return Row.cells(0) == "data_centre" && Row.cells(3) == "confirmed" &&
                    std::stoull(Row.cells(2)) >= Made.version();
           }) == 2;
  };
  cr_assert(waitUntil(IsConfirmed, std::chrono::seconds(5)));
  RunReply Syntax = run(*S, 0, "create customer late rate x burst 20");
  cr_assert(Syntax.outcome() == operators::REFUSED && Syntax.error_position() == 26);
}

// Guards against an ordered promotion that does not happen, and a drain of the wrong host.
Test(operatorHost, promotionAndDrain) {
  auto S = makeSystem();
  std::string Old = findPrimary(*S, "g1");
  RunReply Instances;
  // An instance whose log is shorter than another's gives way to that one.
  auto AreLogsEqual = [&] {
    Instances = run(*S, 0, "show instances");
    std::set<std::string> Applied;
    for (const auto &Row : Instances.rows())
      Applied.insert(Row.cells(9));
    return Applied.size() == 1 && !Applied.contains("0:0");
  };
  cr_assert(waitUntil(AreLogsEqual, std::chrono::seconds(10)));
  auto Other =
      std::ranges::find_if(Instances.rows(), [&](const auto &Row) { return Row.cells(0) != Old; });
  const std::string Wanted = Other->cells(0);
  cr_assert(run(*S, 0, "promote group g1 to nobody").code() == "missing");
  cr_assert(run(*S, 0, "promote group g1 to " + Wanted).outcome() == operators::ACCEPTED);
  cr_assert(waitUntil([&] { return findPrimary(*S, "g1") == Wanted; }, std::chrono::seconds(10)));
  std::string OtherHost = S->m_Hosts[1].m_Settings.m_HostId;
  RunReply Drained = run(*S, 0, "drain host " + OtherHost);
  std::string Port = std::to_string(S->m_Hosts[1].m_Settings.m_Peers.m_Port);
  cr_assert(Drained.code() == "other_host" && Drained.message().find(Port) != std::string::npos);
  cr_assert(run(*S, 1, "drain host " + OtherHost).outcome() == operators::ACCEPTED);
  bool Draining = false;
  runOnControlThread(*S->m_Hosts[1].m_Running, [&](const Host &H) { Draining = H.m_IsDraining; });
  cr_assert(Draining);
}

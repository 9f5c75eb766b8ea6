// Operators' statements on a host: parse, run, log.
#include "operator.h"

#include "host.h"

#include <fmt/format.h>
#include <openssl/rand.h>

namespace quetzalpaddle {

namespace {

using operators::RunReply;

constexpr size_t MaxTextLength = size_t{64} * 1024;
constexpr size_t MaxOperationId = 64;

std::string makeOperationId() {
  std::array<unsigned char, 16> Bytes{};
  RAND_bytes(Bytes.data(), Bytes.size());
  std::string Text = "op-";
  for (unsigned char Byte : Bytes)
    Text += fmt::format("{:02x}", Byte);
  return Text;
}

void promoteGroup(Host &H, const PromoteGroup &S, const OperatorReply &Done) {
  if (!H.m_Config.m_Groups.contains(S.m_Group))
    return Done(makeReply(operators::REFUSED, "missing", "there is no group " + S.m_Group));
  const Instance *Wanted =
      S.m_RequestedInstance.empty() ? nullptr : findInstance(H, S.m_Group, S.m_RequestedInstance);
  if (!S.m_RequestedInstance.empty() && !Wanted)
    return Done(makeReply(operators::REFUSED, "missing",
                          "the group has no instance " + S.m_RequestedInstance));
  if (Wanted && Wanted->m_IsLeaving)
    return Done(makeReply(operators::REFUSED, "leaving", S.m_RequestedInstance + " is leaving"));
  orderGroupPromotion(H, S.m_Group, S.m_RequestedInstance);
  Done(makeReply(operators::ACCEPTED, "started", "see show promotions on this host"));
}

void drainSelf(Host &H, const DrainHost &S, const OperatorReply &Done) {
  if (S.m_Id == H.m_Settings.m_Host) {
    if (H.m_BeginDrain)
      H.m_BeginDrain();
    else
      H.m_Draining = true;
    return Done(makeReply(operators::ACCEPTED, "draining", "the host stops when it is idle"));
  }
  auto Found = H.m_Members.m_Hosts.find(S.m_Id);
  if (Found == H.m_Members.m_Hosts.end())
    return Done(makeReply(operators::REFUSED, "missing", "there is no host " + S.m_Id));
  Done(makeReply(operators::REFUSED, "other_host",
                 fmt::format("only {0} itself can be drained: ask its operators' listener; its "
                             "listener for hosts is {1}",
                             S.m_Id, Found->second.m_Address)));
}

struct RunStatement {
  Host &m_Host;
  const operators::RunRequest &m_Request;
  const OperatorStatement &m_Statement;
  OperatorReply m_Done;

  void operator()(const ShowStatement &S) const { m_Done(showTopic(m_Host, S.m_Topic)); }
  void operator()(const PromoteGroup &S) const { promoteGroup(m_Host, S, m_Done); }
  void operator()(const DrainHost &S) const { drainSelf(m_Host, S, m_Done); }
  template <class T> void operator()(const T &) const {
    std::string Id =
        m_Request.operation_id().empty() ? makeOperationId() : m_Request.operation_id();
    ChangeContext Context{m_Host.m_Platform, &m_Host.m_Config, m_Host.m_Settings.m_KeyPepper};
    runChange(Context, m_Statement, Id, m_Request.is_repeat(), m_Done);
  }
};

// Logs the outcome of everything but queries. The text is left out: it could hold a key that was
// pasted by mistake.
OperatorReply logOutcome(const Host &H, OperatorReply Done) {
  return [Counters = H.m_Metrics, Done = std::move(Done)](const RunReply &Reply) {
    if (Counters)
      countEvent(*Counters, "operator_" + Reply.code());
    logLine(LogLevel::Info, "operator_statement",
            {{"outcome", operators::Outcome_Name(Reply.outcome())},
             {"code", Reply.code()},
             {"message", Reply.message()},
             {"version", std::to_string(Reply.version())}});
    Done(Reply);
  };
}

} // namespace

void runOperator(Host &H, const operators::RunRequest &Request, OperatorReply Done) {
  if (Request.text().size() > MaxTextLength || Request.operation_id().size() > MaxOperationId)
    return Done(makeReply(operators::REFUSED, "too_long", "the statement is too long"));
  auto Parsed = parseStatement(Request.text());
  if (auto *Error = std::get_if<SyntaxError>(&Parsed)) {
    RunReply Reply = makeReply(operators::REFUSED, "syntax", "expected " + Error->m_ExpectedText);
    Reply.set_error_position(static_cast<uint32_t>(Error->m_Position));
    return Done(std::move(Reply));
  }
  const auto &Statement = std::get<OperatorStatement>(Parsed);
  bool Query = std::holds_alternative<ShowStatement>(Statement);
  std::visit(RunStatement{H, Request, Statement, Query ? std::move(Done) : logOutcome(H, Done)},
             Statement);
}

std::variant<std::shared_ptr<OperatorServer>, std::string> startOperators(Host &H,
                                                                          const Settings &S) {
  return startOperatorServer(S.m_Operators, S.m_OperatorSecret, H.m_Run,
                             [&H](const operators::RunRequest &Request, OperatorReply Done) {
                               runOperator(H, Request, std::move(Done));
                             });
}

} // namespace quetzalpaddle

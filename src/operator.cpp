// Parses, runs and logs the statements of operators on a host.
#include "operator.h"

#include "host.h"

#include <fmt/format.h>
#include <openssl/rand.h>

namespace quetzalpaddle {

namespace {

using operators::RunReply;

constexpr size_t MaxTextLength = size_t{64} * 1024;
constexpr size_t MaxOperationIdLength = 64;

std::string makeOperationId() {
  std::array<unsigned char, 16> Bytes{};
  RAND_bytes(Bytes.data(), Bytes.size());
  std::string Text = "op-";
  for (unsigned char Byte : Bytes)
    Text += fmt::format("{:02x}", Byte);
  return Text;
}

void runPromoteGroup(Host &ThisHost, const PromoteGroup &S, const OperatorCallback &OnDone) {
  if (!ThisHost.m_Config.m_Groups.contains(S.m_Group))
    return OnDone(makeReply(operators::REFUSED, "missing", "there is no group " + S.m_Group));
  const Instance *Candidate = S.m_RequestedInstance.empty()
                                  ? nullptr
                                  : findInstance(ThisHost, S.m_Group, S.m_RequestedInstance);
  if (!S.m_RequestedInstance.empty() && !Candidate)
    return OnDone(makeReply(operators::REFUSED, "missing",
                            "the group has no instance " + S.m_RequestedInstance));
  if (Candidate && Candidate->m_IsLeaving)
    return OnDone(makeReply(operators::REFUSED, "leaving", S.m_RequestedInstance + " is leaving"));
  requestGroupPromotion(ThisHost, S.m_Group, S.m_RequestedInstance);
  OnDone(makeReply(operators::ACCEPTED, "started", "see show promotions on this host"));
}

void runDrainHost(Host &ThisHost, const DrainHost &S, const OperatorCallback &OnDone) {
  if (S.m_Id == ThisHost.m_Settings.m_HostId) {
    if (ThisHost.m_BeginDrain)
      ThisHost.m_BeginDrain();
    else
      ThisHost.m_IsDraining = true;
    return OnDone(makeReply(operators::ACCEPTED, "draining", "the host stops when it is idle"));
  }
  auto It = ThisHost.m_Members.m_Hosts.find(S.m_Id);
  if (It == ThisHost.m_Members.m_Hosts.end())
    return OnDone(makeReply(operators::REFUSED, "missing", "there is no host " + S.m_Id));
  OnDone(makeReply(operators::REFUSED, "other_host",
                   fmt::format("only {0} itself can be drained: ask its operators' listener; its "
                               "listener for hosts is {1}",
                               S.m_Id, It->second.m_Address)));
}

struct StatementRunner {
  Host &m_Host;
  const operators::RunRequest &m_Request;
  const OperatorStatement &m_Statement;
  OperatorCallback m_OnDone;

  void operator()(const ShowStatement &S) const { m_OnDone(showTopic(m_Host, S.m_Topic)); }
  void operator()(const PromoteGroup &S) const { runPromoteGroup(m_Host, S, m_OnDone); }
  void operator()(const DrainHost &S) const { runDrainHost(m_Host, S, m_OnDone); }
  template <class T> void operator()(const T &) const {
    std::string Id =
        m_Request.operation_id().empty() ? makeOperationId() : m_Request.operation_id();
    ChangeContext Context{m_Host.m_Platform, &m_Host.m_Config, m_Host.m_Settings.m_KeyPepper};
    runChange(Context, m_Statement, Id, m_Request.is_repeat(), m_OnDone);
  }
};

// Wraps a callback so that it logs the outcome of a statement other than SHOW. The statement itself
// is not logged, since it may contain a key pasted by mistake.
OperatorCallback addOutcomeLog(const Host &ThisHost, OperatorCallback OnDone) {
  return [Metrics = ThisHost.m_Metrics, OnDone = std::move(OnDone)](const RunReply &Reply) {
    if (Metrics)
      countEvent(*Metrics, "operator_" + Reply.code());
    logLine(LogLevel::Info, "operator_statement",
            {{"outcome", operators::Outcome_Name(Reply.outcome())},
             {"code", Reply.code()},
             {"message", Reply.message()},
             {"version", std::to_string(Reply.version())}});
    OnDone(Reply);
  };
}

} // namespace

void runOperatorStatement(Host &ThisHost, const operators::RunRequest &Request,
                          OperatorCallback OnDone) {
  if (Request.text().size() > MaxTextLength || Request.operation_id().size() > MaxOperationIdLength)
    return OnDone(makeReply(operators::REFUSED, "too_long", "the statement is too long"));
  auto Parsed = parseStatement(Request.text());
  if (auto *Error = std::get_if<SyntaxError>(&Parsed)) {
    RunReply Reply = makeReply(operators::REFUSED, "syntax", "expected " + Error->m_ExpectedText);
    Reply.set_error_position(static_cast<uint32_t>(Error->m_Position));
    return OnDone(std::move(Reply));
  }
  const auto &Statement = std::get<OperatorStatement>(Parsed);
  bool IsQuery = std::holds_alternative<ShowStatement>(Statement);
  std::visit(StatementRunner{ThisHost, Request, Statement,
                             IsQuery ? std::move(OnDone) : addOutcomeLog(ThisHost, OnDone)},
             Statement);
}

std::variant<std::shared_ptr<OperatorServer>, std::string> startOperatorService(Host &ThisHost,
                                                                                const Settings &S) {
  return startOperatorServer(
      S.m_Operators, S.m_OperatorSecret, ThisHost.m_Run,
      [&ThisHost](const operators::RunRequest &Request, OperatorCallback OnDone) {
        runOperatorStatement(ThisHost, Request, std::move(OnDone));
      });
}

} // namespace quetzalpaddle

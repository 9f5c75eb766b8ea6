// Control statements at several instances at a time, and the evaluation of their answers.
#include "line_control.h"

#include <fmt/format.h>

namespace quetzalpaddle {

namespace asio = boost::asio;

Awaitable<std::map<std::string, ControlAnswer>>
runControlStatements(LineHost &Host, std::string Group, std::set<std::string> Instances,
                     std::string Text) {
  struct ControlRound {
    explicit ControlRound(asio::io_context &Io) : m_Completion(Io) {}
    std::map<std::string, ControlAnswer> m_Answers;
    size_t m_RemainingCount = 0;
    Wakeup m_Completion;
  };
  auto Round = std::make_shared<ControlRound>(Host.m_Io);
  Round->m_RemainingCount = Instances.size();
  auto RunOne = [](LineHost &LocalHost, std::shared_ptr<ControlRound> Progress, std::string Address,
                   std::string GroupName, std::string Id,
                   std::string StatementText) -> Awaitable<void> {
    Progress->m_Answers[Id] =
        co_await runControlStatement(LocalHost, Address, GroupName, Id, StatementText);
    if (--Progress->m_RemainingCount == 0)
      Progress->m_Completion.wake();
  };
  if (Instances.empty())
    co_return Round->m_Answers;
  for (const std::string &Id : Instances) {
    const LineInstance *Target = findInstance(Host, Id);
    spawnTask(Host, "control_statement",
              RunOne(Host, Round, Target ? Target->m_Address : "", Group, Id, Text));
  }
  co_await Round->m_Completion.wait();
  co_return Round->m_Answers;
}

std::map<std::string, LineStatus>
collectStatuses(const std::map<std::string, ControlAnswer> &Answers) {
  std::map<std::string, LineStatus> Result;
  for (const auto &[Id, Answer] : Answers)
    if (Answer.m_Status)
      Result[Id] = *Answer.m_Status;
  return Result;
}

std::map<std::string, LineStatus>
collectSuspended(const std::map<std::string, ControlAnswer> &Answers, uint64_t Term) {
  auto Result = collectStatuses(Answers);
  std::erase_if(Result, [&](const auto &Entry) { return Entry.second.m_SuspendTerm < Term; });
  return Result;
}

std::string describeReplicas(const std::map<std::string, LineStatus> &Replicas) {
  std::string Text;
  for (const auto &[Id, Status] : Replicas)
    Text +=
        fmt::format("{}{}:{}.{}/{}", Text.empty() ? "" : " ", Id, Status.m_ReceivedPosition.m_Term,
                    Status.m_ReceivedPosition.m_Index, Status.m_SuspendTerm);
  return Text;
}

std::string describeMissing(const LineGroup &Group, const std::set<std::string> &Ids) {
  std::string Text;
  for (const std::string &Id : Ids) {
    auto It = Group.m_Instances.find(Id);
    bool IsUnlisted = It != Group.m_Instances.end() && !It->second.m_IsListed;
    Text += (Text.empty() ? "" : " ") + Id;
    if (IsUnlisted)
      Text += fmt::format(":unlisted_ms={}", (bootNow() - It->second.m_UnlistedSince) / Millis(1));
  }
  return Text;
}

} // namespace quetzalpaddle

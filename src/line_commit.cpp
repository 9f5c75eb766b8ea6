// Decides whether the acknowledgement of a commit may be passed on to its caller.
//
// An instance acknowledges a commit once syncReplicas replicas have received it. A replica counts
// from its start, before the platform lists it, so a host that promotes may not know the only one
// that has the commit. Three kinds of acknowledgements are therefore checked: those of a primary
// that is being replaced, those that arrive at a host that may not hear of a promotion, because it
// does not hear one of the hubs, and those after a commit that took long, as the replica that ended
// its wait may be new. They are passed on if a replica that the promotion relies on holds the
// commit; otherwise the caller is told that the outcome is unknown. A host that has just started
// passes none on before it knows whether an order is open (learnOrders()).
#include "line_control.h"
#include "line_exchange.h"

#include "platform/line_codec.h"

#include <fmt/format.h>

namespace quetzalpaddle {

using line::RunReply;

namespace {

// How long an acknowledgement waits for a replica to hold its commit.
constexpr Millis HolderTimeout{600};
// Interval at which a replica is asked, and at which the answers are looked at.
constexpr Millis ReplicaAskInterval{40};
constexpr Millis HolderPollInterval{10};

bool isAcknowledgement(bool IsWrite, const RunReply &Reply) {
  return IsWrite && Reply.outcome() == RunReply::ANSWERED && Reply.error_code().empty();
}

Position committedPosition(const RunReply &Reply) {
  return {Reply.position().term(), Reply.position().index()};
}

Awaitable<void> askReplica(LineHost &Host, std::string Group, std::string Id) {
  ControlAnswer Answer;
  if (const LineInstance *Target = findInstance(Host, Id))
    Answer = co_await runControlStatement(Host, Target->m_Address, Group, Id,
                                          std::string(platform::StatusText));
  ReplicaCheck &Check = Host.m_ReplicaChecks[Id];
  if (Answer.m_Status)
    Check.m_Received = Answer.m_Status->m_ReceivedPosition;
  Check.m_IsAsked = false;
}

// Whether an instance is known to hold a commit, from its answers to callers or from its status.
bool isHolder(LineHost &Host, const std::string &Id, Position Committed) {
  const LineInstance *Replica = findInstance(Host, Id);
  return holdsCommit(Host.m_ReplicaChecks[Id].m_Received, Committed) ||
         (Replica && holdsCommit(Replica->m_AppliedPosition, Committed));
}

bool isHeld(LineHost &Host, const RequiredHolders &Required, Position Committed) {
  auto HolderCount = static_cast<size_t>(std::ranges::count_if(
      Required.m_Replicas, [&](const std::string &Id) { return isHolder(Host, Id, Committed); }));
  return HolderCount >= Required.m_Count;
}

// Waits until the acknowledgement of a commit suffices, or enough of the replicas that have to hold
// it do. Returns false if that takes too long.
Awaitable<bool> awaitHolder(LineHost &Host, std::string GroupName, std::string Instance,
                            Position Committed) {
  TimePoint Deadline = bootNow() + HolderTimeout;
  WriteGate &Gate = Host.m_Dispatches[Instance].m_WriteGate;
  for (;;) {
    TimePoint Now = bootNow();
    // While replicas may not be asked, a doubt could not be resolved, and no promotion relies on
    // the others.
    bool IsInDoubt = Gate.m_IsInDoubt && !isPromotionExcluded(Host.m_Groups[GroupName], Instance);
    bool HearsOfPromotions =
        !IsInDoubt && hearsAllHubs(Host.m_Members, Host.m_Roles, Now, Host.m_HubSettings);
    auto Required = listRequiredHolders(Host.m_Groups[GroupName], Instance, HearsOfPromotions, Now);
    if (!Required && Host.m_AreOrdersKnown)
      co_return true;
    if (Required && Host.m_AreOrdersKnown && isHeld(Host, *Required, Committed)) {
      Gate.m_IsInDoubt = false;
      co_return true;
    }
    if ((Required && Required->m_Replicas.empty()) || Now >= Deadline)
      co_return false;
    for (const std::string &Id : Required ? Required->m_Replicas : std::set<std::string>()) {
      ReplicaCheck &Check = Host.m_ReplicaChecks[Id];
      if (Now - Check.m_AskedAt < ReplicaAskInterval || std::exchange(Check.m_IsAsked, true))
        continue;
      Check.m_AskedAt = Now;
      spawnTask(Host, "ask_replica", askReplica(Host, GroupName, Id),
                [&Check] { Check.m_IsAsked = false; });
    }
    co_await sleepFor(Host.m_Io, HolderPollInterval);
  }
}

// Replaces an acknowledgement by a lost answer.
void withhold(LineHost &Host, const LineGroup &Group, const std::string &Instance,
              std::string_view Why, RunReply &Reply) {
  Position Committed = committedPosition(Reply);
  countEvent(*Host.m_Metrics, "acknowledgement_withheld");
  logLine(LogLevel::Info, "acknowledgement_withheld",
          {{"instance", Instance},
           {"group", Group.m_Name},
           {"primary", Group.m_Primary},
           {"pending", std::to_string(Group.m_PendingGeneration)},
           {"position", fmt::format("{}.{}", Committed.m_Term, Committed.m_Index)},
           {"why", std::string(Why)}});
  Reply = makeFailureReply(RunReply::LOST, Reason::OutcomeUnknown);
}

} // namespace

void withholdAcknowledgement(LineHost &Host, const std::string &Instance, bool IsWrite,
                             RunReply &Reply) {
  const LineGroup *Group = findGroupOf(Host, Instance);
  if (isAcknowledgement(IsWrite, Reply) && Group &&
      !mayAcknowledge(*Group, Instance, committedPosition(Reply), bootNow()))
    withhold(Host, *Group, Instance, "the primary is being replaced", Reply);
}

Awaitable<void> checkAcknowledgement(LineHost &Host, std::string Instance, bool IsWrite,
                                     RunReply &Reply) {
  LineGroup *Group = findGroupOf(Host, Instance);
  if (!isAcknowledgement(IsWrite, Reply) || !Group)
    co_return;
  WriteGate &Gate = Host.m_Dispatches[Instance].m_WriteGate;
  if (!co_await awaitHolder(Host, Group->m_Name, Instance, committedPosition(Reply))) {
    // The next writes would wait in vain as well.
    Gate.m_StalledAt = std::max(Gate.m_StalledAt, bootNow());
    withhold(Host, *Group, Instance, "no known replica holds the commit", Reply);
  }
  withholdAcknowledgement(Host, Instance, IsWrite, Reply);
  if (isAcknowledgement(IsWrite, Reply))
    Gate.m_AcknowledgedAt = bootNow();
}

} // namespace quetzalpaddle

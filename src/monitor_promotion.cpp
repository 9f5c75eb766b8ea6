// Promotions in the groups that this host dispatches an instance of, and their record in the
// platform. The record is written afterwards and never delays a promotion; until then other hosts
// learn about the new primary from the instances themselves and from the exchange.
#include "config_codec.h"
#include "monitor_state.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

constexpr size_t MaxHistoryRecords = 50;

// Interval between attempts of a planned promotion that replaces a leaving primary.
constexpr Millis LeavingRetryInterval{2000};

// Checks for a suspect primary per probe interval. A single check would delay the detection, which
// starts the round of status requests, by half an interval on average.
constexpr int ChecksPerProbe = 5;

constexpr Millis RecordInitialBackoff{50};
constexpr Millis RecordMaxBackoff{5000};

void performActions(Host &ThisHost, const std::string &Group,
                    const std::vector<PromotionAction> &Actions);

//-----------------------------------------------------------------------------
// [SECTION] Promotions
//-----------------------------------------------------------------------------

// Records the start of a promotion, and logs and counts its start or failure.
void recordStepChange(Host &ThisHost, const std::string &Group, PromotionStep PreviousStep,
                      const Promotion &GroupPromotion) {
  if (GroupPromotion.m_Step == PreviousStep)
    return;
  if (GroupPromotion.m_Step == PromotionStep::Fencing) {
    ThisHost.m_Monitor->m_FencingStartedAt[Group] = Clock::now();
    countEvent(*ThisHost.m_Metrics, "promotion_started");
    logLine(LogLevel::Warning, "promotion_started",
            {{"group", Group},
             {"term", std::to_string(GroupPromotion.m_Term)},
             {"reason", GroupPromotion.m_LastReason}});
  } else if (PreviousStep >= PromotionStep::Fencing &&
             GroupPromotion.m_Step == PromotionStep::Waiting) {
    countEvent(*ThisHost.m_Metrics, "promotion_failed");
    logLine(LogLevel::Warning, "promotion_failed",
            {{"group", Group},
             {"term", std::to_string(GroupPromotion.m_Term)},
             {"reason", GroupPromotion.m_LastReason}});
  }
}

void handleFenceReply(Host &ThisHost, const std::string &Group, const std::string &Instance,
                      const instance::FenceReply &Reply) {
  const auto *GroupConfig = findGroup(ThisHost, Group);
  if (!GroupConfig)
    return;
  Promotion &GroupPromotion = ThisHost.m_Promotions[Group];
  PromotionStep PreviousStep = GroupPromotion.m_Step;
  auto Actions = handleFenceAnswer(GroupPromotion, *GroupConfig, Instance, Reply.granted(),
                                   Reply.term(), fromWire(Reply.last()), Clock::now(),
                                   ThisHost.m_Rng, scaleFailoverSettings(ThisHost));
  recordStepChange(ThisHost, Group, PreviousStep, GroupPromotion);
  performActions(ThisHost, Group, Actions);
}

void handlePromoteReply(Host &ThisHost, const std::string &Group, const std::string &Instance,
                        uint64_t Term, const instance::PromoteReply &Reply) {
  TimePoint Now = Clock::now();
  bool IsPromoted = Reply.promoted() && Reply.term() == Term;
  if (IsPromoted) {
    // It is the primary of this term even if the reply arrives too late for the promotion.
    InstanceView NewView = ThisHost.m_Views[Group].m_Instances[Instance];
    NewView.m_Term = Term;
    NewView.m_IsPrimary = true;
    NewView.m_ContactAge = {};
    NewView.m_LastSeenAt = Now;
    updateInstanceView(ThisHost, Group, Instance, NewView);
  }
  const auto *GroupConfig = findGroup(ThisHost, Group);
  if (!GroupConfig)
    return;
  Promotion &GroupPromotion = ThisHost.m_Promotions[Group];
  PromotionStep PreviousStep = GroupPromotion.m_Step;
  auto Actions =
      handlePromoteAnswer(GroupPromotion, *GroupConfig, Instance, IsPromoted, Reply.term(), Now,
                          ThisHost.m_Rng, scaleFailoverSettings(ThisHost));
  recordStepChange(ThisHost, Group, PreviousStep, GroupPromotion);
  if (PreviousStep == PromotionStep::Promoting &&
      GroupPromotion.m_Step == PromotionStep::Following) {
    MonitorState &Monitor = *ThisHost.m_Monitor;
    Monitor.m_PromotionHistory.push_back({.m_PromotedAt = std::chrono::system_clock::now(),
                                          .m_Group = Group,
                                          .m_Primary = Instance,
                                          .m_Term = Term,
                                          .m_PromotionReason = GroupPromotion.m_LastReason,
                                          .m_Duration = Now - Monitor.m_FencingStartedAt[Group]});
    if (Monitor.m_PromotionHistory.size() > MaxHistoryRecords)
      Monitor.m_PromotionHistory.pop_front();
    countEvent(*ThisHost.m_Metrics, "promotion_done");
    logLine(LogLevel::Warning, "promotion_done",
            {{"group", Group},
             {"term", std::to_string(Term)},
             {"primary", Instance},
             {"reason", GroupPromotion.m_LastReason}});
    sendReportToAllHosts(ThisHost, Now);
  }
  performActions(ThisHost, Group, Actions);
}

void performAction(Host &ThisHost, const std::string &Group, const QueryStatus &A) {
  if (const Instance *I = findInstance(ThisHost, Group, A.m_Instance))
    probeInstance(ThisHost, Group, *I, nullptr);
}

void performAction(Host &ThisHost, const std::string &Group, const SendFence &A) {
  const Instance *I = findInstance(ThisHost, Group, A.m_Instance);
  if (!I)
    return;
  instance::FenceRequest Request;
  Request.set_term(A.m_Term);
  Request.set_proposer(makeProposerName(ThisHost));
  using Answer = std::variant<instance::FenceReply, LinkError>;
  sendFence(I->m_Address, Request, ThisHost.m_Settings.m_Failover.m_StepTimeout, ThisHost.m_Run,
            guardHandler(ThisHost, [Group, Id = I->m_Id](Host &Self, Answer Result) {
              if (auto *Reply = std::get_if<instance::FenceReply>(&Result))
                handleFenceReply(Self, Group, Id, *Reply);
            }));
}

void performAction(Host &ThisHost, const std::string &Group, const SendPromote &A) {
  const Instance *I = findInstance(ThisHost, Group, A.m_Instance);
  if (!I)
    return;
  instance::PromoteRequest Request;
  Request.set_term(A.m_Term);
  Request.set_proposer(makeProposerName(ThisHost));
  using Answer = std::variant<instance::PromoteReply, LinkError>;
  sendPromote(
      I->m_Address, Request, ThisHost.m_Settings.m_Failover.m_StepTimeout, ThisHost.m_Run,
      guardHandler(ThisHost, [Group, Id = I->m_Id, Term = A.m_Term](Host &Self, Answer Result) {
        if (auto *Reply = std::get_if<instance::PromoteReply>(&Result))
          handlePromoteReply(Self, Group, Id, Term, *Reply);
      }));
}

void performAction(Host &ThisHost, const std::string &Group, const SendFollow &A) {
  const Instance *I = findInstance(ThisHost, Group, A.m_Instance);
  const Instance *Primary = findInstance(ThisHost, Group, A.m_Primary);
  if (!I || !Primary)
    return;
  instance::FollowRequest Request;
  Request.set_term(A.m_Term);
  Request.set_primary(A.m_Primary);
  Request.set_primary_address(Primary->m_Address);
  // Repeated until the instance's status shows that it follows, so the reply is not needed.
  using Answer = std::variant<instance::FollowReply, LinkError>;
  sendFollow(I->m_Address, Request, ThisHost.m_Settings.m_Failover.m_StepTimeout, ThisHost.m_Run,
             [](const Answer &) {});
}

void performAction(Host &ThisHost, const std::string &Group, const RecordPrimary &A) {
  RecordJob &Job = ThisHost.m_Monitor->m_RecordJobs[Group];
  if (Job.m_Term >= A.m_Term)
    return;
  Job = {.m_Primary = A.m_Primary,
         .m_Term = A.m_Term,
         .m_OperationId =
             makeProposerName(ThisHost) + "/" + Group + "/" + std::to_string(A.m_Term)};
}

void performActions(Host &ThisHost, const std::string &Group,
                    const std::vector<PromotionAction> &Actions) {
  for (const PromotionAction &A : Actions)
    std::visit([&](const auto &Action) { performAction(ThisHost, Group, Action); }, A);
}

// Starts a planned promotion if the primary is leaving and another instance can be promoted.
void replaceLeavingPrimary(const Group &GroupConfig, const GroupView &View,
                           Promotion &GroupPromotion, DispatchedGroup &OwnGroup, TimePoint Now) {
  auto Primary = std::ranges::find(GroupConfig.m_Instances, View.m_Primary, &Instance::m_Id);
  if (OwnGroup.m_Rank != 0 || GroupPromotion.m_Step != PromotionStep::Idle ||
      Now < OwnGroup.m_NextLeavingAttemptAt || Primary == GroupConfig.m_Instances.end() ||
      !Primary->m_IsLeaving)
    return;
  const Instance *BestInstance = nullptr;
  Position BestPosition;
  for (const Instance &I : GroupConfig.m_Instances) {
    auto KnownInstance = View.m_Instances.find(I.m_Id);
    if (I.m_IsLeaving || KnownInstance == View.m_Instances.end() ||
        Now - KnownInstance->second.m_LastSeenAt > MaxViewAge)
      continue;
    if (!BestInstance || KnownInstance->second.m_LastPosition > BestPosition) {
      BestInstance = &I;
      BestPosition = KnownInstance->second.m_LastPosition;
    }
  }
  if (!BestInstance)
    return;
  OwnGroup.m_NextLeavingAttemptAt = Now + LeavingRetryInterval;
  orderPromotion(GroupPromotion, BestInstance->m_Id, Now);
  GroupPromotion.m_LastReason = "primary is leaving";
}

void tickGroup(Host &ThisHost, const std::string &Name, uint32_t Rank, TimePoint Now,
               const FailoverSettings &Settings) {
  const Group *GroupConfig = findGroup(ThisHost, Name);
  if (!GroupConfig)
    return;
  Promotion &GroupPromotion = ThisHost.m_Promotions[Name];
  PromotionStep PreviousStep = GroupPromotion.m_Step;
  auto Actions = tickPromotion(GroupPromotion, *GroupConfig, ThisHost.m_Views[Name], Rank, Now,
                               ThisHost.m_Rng, Settings);
  recordStepChange(ThisHost, Name, PreviousStep, GroupPromotion);
  performActions(ThisHost, Name, Actions);
}

//-----------------------------------------------------------------------------
// [SECTION] Record of the primary at the platform
//-----------------------------------------------------------------------------

void retryRecord(Host &ThisHost, const std::string &Group, uint64_t Term) {
  auto Job = ThisHost.m_Monitor->m_RecordJobs.find(Group);
  if (Job == ThisHost.m_Monitor->m_RecordJobs.end() || Job->second.m_Term != Term)
    return;
  Job->second.m_IsInFlight = false;
  Job->second.m_NextAttemptAt =
      Clock::now() + RecordInitialBackoff +
      computeBackoffDelay(Job->second.m_AttemptCount++, RecordInitialBackoff, RecordMaxBackoff,
                          ThisHost.m_Rng);
}

void finishRecord(Host &ThisHost, const std::string &Group, uint64_t Term, bool IsWritten) {
  auto Job = ThisHost.m_Monitor->m_RecordJobs.find(Group);
  if (Job == ThisHost.m_Monitor->m_RecordJobs.end() || Job->second.m_Term != Term)
    return;
  ThisHost.m_Monitor->m_RecordJobs.erase(Job);
  for (PromotionRecord &R : ThisHost.m_Monitor->m_PromotionHistory)
    if (R.m_Group == Group && R.m_Term == Term)
      R.m_IsRecorded = IsWritten;
}

// Overwrites the object that was read if its term is lower. A write whose reply was lost is
// recognized by its operation id at the next read.
void writeRecord(Host &ThisHost, const std::string &Group, const RecordJob &Job,
                 const platform::Object &Current) {
  objects::GroupStatus Status;
  bool IsKnown = Current.version() != 0 && decodeMessage(Current.value(), Status);
  if (IsKnown && (Status.term() >= Job.m_Term || Status.operation_id() == Job.m_OperationId)) {
    finishRecord(ThisHost, Group, Job.m_Term, Status.operation_id() == Job.m_OperationId);
    return;
  }
  Status.Clear();
  Status.set_group(Group);
  Status.set_term(Job.m_Term);
  Status.set_primary(Job.m_Primary);
  Status.set_promoted_by(makeProposerName(ThisHost));
  Status.set_operation_id(Job.m_OperationId);
  using Answer = std::variant<platform::WriteReply, PlatformError>;
  putObject(*ThisHost.m_Platform, "status/group/" + Group, encodeMessage(Status), Current.version(),
            guardHandler(ThisHost, [Group, Term = Job.m_Term](Host &Self, Answer Result) {
              auto *Reply = std::get_if<platform::WriteReply>(&Result);
              if (Reply && Reply->applied())
                finishRecord(Self, Group, Term, true);
              else
                retryRecord(Self, Group, Term);
            }));
}

} // namespace

void applyStatus(Host &ThisHost, const std::string &GroupName, const std::string &InstanceId,
                 const instance::StatusReply &Reply) {
  TimePoint Now = Clock::now();
  updateInstanceView(ThisHost, GroupName, InstanceId,
                     {.m_Term = Reply.term(),
                      .m_IsPrimary = Reply.primary(),
                      .m_LastPosition = fromWire(Reply.last()),
                      .m_AppliedPosition = fromWire(Reply.applied()),
                      .m_AppliedAt = Now,
                      .m_ContactAge = Millis(Reply.contact_age_ms()),
                      .m_DataAge = Millis(Reply.data_age_ms()),
                      .m_LastSeenAt = Now,
                      .m_LastFailedAt = {}});
  // A hint is used only if this host has no view of the hinted instance: see
  // adoptReportedPrimary().
  const GroupView &View = ThisHost.m_Views[GroupName];
  if (!Reply.primary() && !View.m_Instances.contains(Reply.primary_hint()))
    adoptReportedPrimary(ThisHost, GroupName, Reply.term(), Reply.primary_hint());
  const Group *GroupConfig = findGroup(ThisHost, GroupName);
  auto GroupPromotion = ThisHost.m_Promotions.find(GroupName);
  if (!GroupConfig || GroupPromotion == ThisHost.m_Promotions.end())
    return;
  StatusAnswer Answer{.m_Term = Reply.term(),
                      .m_IsPrimary = Reply.primary(),
                      .m_LastPosition = fromWire(Reply.last()),
                      .m_ContactAge = Millis(Reply.contact_age_ms())};
  PromotionStep PreviousStep = GroupPromotion->second.m_Step;
  auto Actions = handleStatusAnswer(GroupPromotion->second, *GroupConfig, View, InstanceId, Answer,
                                    Now, ThisHost.m_Rng, scaleFailoverSettings(ThisHost));
  recordStepChange(ThisHost, GroupName, PreviousStep, GroupPromotion->second);
  performActions(ThisHost, GroupName, Actions);
}

void tickPromotions(Host &ThisHost, TimePoint Now) {
  FailoverSettings Settings = scaleFailoverSettings(ThisHost);
  MonitorState &Monitor = *ThisHost.m_Monitor;
  for (auto &[Name, OwnGroup] : Monitor.m_OwnedGroups) {
    const Group *GroupConfig = findGroup(ThisHost, Name);
    if (!GroupConfig)
      continue;
    Promotion &GroupPromotion = ThisHost.m_Promotions[Name];
    replaceLeavingPrimary(*GroupConfig, ThisHost.m_Views[Name], GroupPromotion, OwnGroup, Now);
    if (GroupPromotion.m_Step == PromotionStep::Idle && !GroupPromotion.m_IsOrdered &&
        Now < OwnGroup.m_NextTickAt)
      continue;
    OwnGroup.m_NextTickAt = Now + Settings.m_ProbeInterval / ChecksPerProbe;
    tickGroup(ThisHost, Name, OwnGroup.m_Rank, Now, Settings);
  }
  // Completes promotions requested on this host or started before the group's dispatchers changed.
  std::vector<std::string> OtherGroups;
  for (const auto &[Name, GroupPromotion] : ThisHost.m_Promotions)
    if (!Monitor.m_OwnedGroups.contains(Name) &&
        (GroupPromotion.m_IsOrdered || GroupPromotion.m_Step != PromotionStep::Idle))
      OtherGroups.push_back(Name);
  for (const std::string &Name : OtherGroups)
    tickGroup(ThisHost, Name, 0, Now, Settings);
}

void tickRecords(Host &ThisHost, TimePoint Now) {
  for (auto &[Group, Job] : ThisHost.m_Monitor->m_RecordJobs) {
    if (Job.m_IsInFlight || Now < Job.m_NextAttemptAt || !ThisHost.m_Platform)
      continue;
    Job.m_IsInFlight = true;
    using Answer = std::variant<platform::Object, PlatformError>;
    getObject(*ThisHost.m_Platform, "status/group/" + Group,
              guardHandler(ThisHost, [Group = Group, Copy = Job](Host &Self, Answer Result) {
                if (auto *Object = std::get_if<platform::Object>(&Result))
                  writeRecord(Self, Group, Copy, *Object);
                else
                  retryRecord(Self, Group, Copy.m_Term);
              }));
  }
}
void requestGroupPromotion(Host &ThisHost, const std::string &Group, const std::string &Candidate) {
  orderPromotion(ThisHost.m_Promotions[Group], Candidate, Clock::now());
}

std::vector<PromotionRecord> listPromotions(const Host &ThisHost) {
  return {ThisHost.m_Monitor->m_PromotionHistory.begin(),
          ThisHost.m_Monitor->m_PromotionHistory.end()};
}

} // namespace quetzalpaddle

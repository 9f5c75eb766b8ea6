// Promotions of the groups that this host dispatches an instance of, and their record at the
// platform. The record is written after the fact and never holds a promotion up; until then other
// hosts learn of the primary from the instances themselves and from the exchange.
#include "config_codec.h"
#include "monitor_state.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

constexpr size_t MaxHistory = 50;

// How often a planned promotion away from a leaving primary is tried.
constexpr Millis LeavingRetry{2000};

// Looks for silence within a probe interval. One look for each probe would add half an interval to
// the detection, and the status round begins with it.
constexpr int LooksPerProbe = 5;

constexpr Millis RecordRetryFirst{50};
constexpr Millis RecordRetryMost{5000};

void performActions(Host &H, const std::string &Group, const std::vector<PromotionAction> &Actions);

//-----------------------------------------------------------------------------
// [SECTION] Promotions
//-----------------------------------------------------------------------------

// Remembers when a promotion began and which reason it had.
void noteStep(Host &H, const std::string &Group, PromotionStep Before, const Promotion &P) {
  if (P.m_Step == Before)
    return;
  if (P.m_Step == PromotionStep::Fencing) {
    H.m_Monitor->m_FencingSince[Group] = Clock::now();
    countEvent(*H.m_Metrics, "promotion_started");
    logLine(LogLevel::Warning, "promotion_started",
            {{"group", Group}, {"term", std::to_string(P.m_Term)}, {"reason", P.m_LastReason}});
  } else if (Before >= PromotionStep::Fencing && P.m_Step == PromotionStep::Waiting) {
    countEvent(*H.m_Metrics, "promotion_failed");
    logLine(LogLevel::Warning, "promotion_failed",
            {{"group", Group}, {"term", std::to_string(P.m_Term)}, {"reason", P.m_LastReason}});
  }
}

void takeFence(Host &H, const std::string &Group, const std::string &Instance,
               const instance::FenceReply &Reply) {
  const auto *G = findGroup(H, Group);
  if (!G)
    return;
  Promotion &P = H.m_Promotions[Group];
  PromotionStep Before = P.m_Step;
  auto Actions =
      handleFenceAnswer(P, *G, Instance, Reply.granted(), Reply.term(), fromWire(Reply.last()),
                        Clock::now(), H.m_Rng, stretchSettings(H));
  noteStep(H, Group, Before, P);
  performActions(H, Group, Actions);
}

void takePromote(Host &H, const std::string &Group, const std::string &Instance, uint64_t Term,
                 const instance::PromoteReply &Reply) {
  TimePoint Now = Clock::now();
  bool Promoted = Reply.promoted() && Reply.term() == Term;
  if (Promoted) {
    // It is the primary of this term even if the answer comes too late for the promotion.
    InstanceView Seen = H.m_Views[Group].m_Instances[Instance];
    Seen.m_Term = Term;
    Seen.m_IsPrimary = true;
    Seen.m_ContactAge = {};
    Seen.m_LastSeenAt = Now;
    learnView(H, Group, Instance, Seen);
  }
  const auto *G = findGroup(H, Group);
  if (!G)
    return;
  Promotion &P = H.m_Promotions[Group];
  PromotionStep Before = P.m_Step;
  auto Actions = handlePromoteAnswer(P, *G, Instance, Promoted, Reply.term(), Now, H.m_Rng,
                                     stretchSettings(H));
  noteStep(H, Group, Before, P);
  if (Before == PromotionStep::Promoting && P.m_Step == PromotionStep::Following) {
    MonitorState &M = *H.m_Monitor;
    M.m_History.push_back({.m_At = std::chrono::system_clock::now(),
                           .m_Group = Group,
                           .m_Primary = Instance,
                           .m_Term = Term,
                           .m_Why = P.m_LastReason,
                           .m_Took = Now - M.m_FencingSince[Group]});
    if (M.m_History.size() > MaxHistory)
      M.m_History.pop_front();
    countEvent(*H.m_Metrics, "promotion_done");
    logLine(LogLevel::Warning, "promotion_done",
            {{"group", Group},
             {"term", std::to_string(Term)},
             {"primary", Instance},
             {"reason", P.m_LastReason}});
    tellAllHosts(H, Now);
  }
  performActions(H, Group, Actions);
}

void performAction(Host &H, const std::string &Group, const QueryStatus &A) {
  if (const Instance *I = findInstance(H, Group, A.m_Instance))
    probeInstance(H, Group, *I, nullptr);
}

void performAction(Host &H, const std::string &Group, const SendFence &A) {
  const Instance *I = findInstance(H, Group, A.m_Instance);
  if (!I)
    return;
  instance::FenceRequest Request;
  Request.set_term(A.m_Term);
  Request.set_proposer(proposerName(H));
  using Answer = std::variant<instance::FenceReply, LinkError>;
  sendFence(I->m_Address, Request, H.m_Settings.m_Failover.m_StepTimeout, H.m_Run,
            guardHandler(H, [Group, Id = I->m_Id](Host &Self, Answer Got) {
              if (auto *Reply = std::get_if<instance::FenceReply>(&Got))
                takeFence(Self, Group, Id, *Reply);
            }));
}

void performAction(Host &H, const std::string &Group, const SendPromote &A) {
  const Instance *I = findInstance(H, Group, A.m_Instance);
  if (!I)
    return;
  instance::PromoteRequest Request;
  Request.set_term(A.m_Term);
  Request.set_proposer(proposerName(H));
  using Answer = std::variant<instance::PromoteReply, LinkError>;
  sendPromote(I->m_Address, Request, H.m_Settings.m_Failover.m_StepTimeout, H.m_Run,
              guardHandler(H, [Group, Id = I->m_Id, Term = A.m_Term](Host &Self, Answer Got) {
                if (auto *Reply = std::get_if<instance::PromoteReply>(&Got))
                  takePromote(Self, Group, Id, Term, *Reply);
              }));
}

void performAction(Host &H, const std::string &Group, const SendFollow &A) {
  const Instance *I = findInstance(H, Group, A.m_Instance);
  const Instance *Primary = findInstance(H, Group, A.m_Primary);
  if (!I || !Primary)
    return;
  instance::FollowRequest Request;
  Request.set_term(A.m_Term);
  Request.set_primary(A.m_Primary);
  Request.set_primary_address(Primary->m_Address);
  // Sent again until the instance's status shows that it follows, so the answer is not needed.
  using Answer = std::variant<instance::FollowReply, LinkError>;
  sendFollow(I->m_Address, Request, H.m_Settings.m_Failover.m_StepTimeout, H.m_Run,
             [](const Answer &) {});
}

void performAction(Host &H, const std::string &Group, const RecordPrimary &A) {
  RecordJob &Job = H.m_Monitor->m_Records[Group];
  if (Job.m_Term >= A.m_Term)
    return;
  Job = {.m_Primary = A.m_Primary,
         .m_Term = A.m_Term,
         .m_OperationId = proposerName(H) + "/" + Group + "/" + std::to_string(A.m_Term)};
}

void performActions(Host &H, const std::string &Group,
                    const std::vector<PromotionAction> &Actions) {
  for (const PromotionAction &A : Actions)
    std::visit([&](const auto &Each) { performAction(H, Group, Each); }, A);
}

// Starts a planned promotion if the primary is marked leaving and another instance can take over.
void replaceLeavingPrimary(const Group &G, const GroupView &View, Promotion &P, OwnedGroup &Mine,
                           TimePoint Now) {
  auto Primary = std::ranges::find(G.m_Instances, View.m_Primary, &Instance::m_Id);
  if (Mine.m_Rank != 0 || P.m_Step != PromotionStep::Idle || Now < Mine.m_NextLeavingTry ||
      Primary == G.m_Instances.end() || !Primary->m_IsLeaving)
    return;
  const Instance *Best = nullptr;
  Position BestLast;
  for (const Instance &I : G.m_Instances) {
    auto Known = View.m_Instances.find(I.m_Id);
    if (I.m_IsLeaving || Known == View.m_Instances.end() ||
        Now - Known->second.m_LastSeenAt > MaxReportedAge)
      continue;
    if (!Best || Known->second.m_LastPosition > BestLast) {
      Best = &I;
      BestLast = Known->second.m_LastPosition;
    }
  }
  if (!Best)
    return;
  Mine.m_NextLeavingTry = Now + LeavingRetry;
  orderPromotion(P, Best->m_Id, Now);
  P.m_LastReason = "primary is leaving";
}

void tickGroup(Host &H, const std::string &Name, uint32_t Rank, TimePoint Now,
               const FailoverSettings &Settings) {
  const Group *G = findGroup(H, Name);
  if (!G)
    return;
  Promotion &P = H.m_Promotions[Name];
  PromotionStep Before = P.m_Step;
  auto Actions = tickPromotion(P, *G, H.m_Views[Name], Rank, Now, H.m_Rng, Settings);
  noteStep(H, Name, Before, P);
  performActions(H, Name, Actions);
}

//-----------------------------------------------------------------------------
// [SECTION] Record of the primary at the platform
//-----------------------------------------------------------------------------

void retryRecord(Host &H, const std::string &Group, uint64_t Term) {
  auto Job = H.m_Monitor->m_Records.find(Group);
  if (Job == H.m_Monitor->m_Records.end() || Job->second.m_Term != Term)
    return;
  Job->second.m_InFlight = false;
  Job->second.m_Next =
      Clock::now() + RecordRetryFirst +
      computeBackoffDelay(Job->second.m_Tries++, RecordRetryFirst, RecordRetryMost, H.m_Rng);
}

void finishRecord(Host &H, const std::string &Group, uint64_t Term, bool Written) {
  auto Job = H.m_Monitor->m_Records.find(Group);
  if (Job == H.m_Monitor->m_Records.end() || Job->second.m_Term != Term)
    return;
  H.m_Monitor->m_Records.erase(Job);
  for (PromotionRecord &R : H.m_Monitor->m_History)
    if (R.m_Group == Group && R.m_Term == Term)
      R.m_Recorded = Written;
}

// Writes over the object that was read, unless its term is not lower. A write whose answer is lost
// is found by its operation id at the next read.
void writeRecord(Host &H, const std::string &Group, const RecordJob &Job,
                 const platform::Object &Current) {
  objects::GroupStatus Status;
  bool Known = Current.version() != 0 && decodeMessage(Current.value(), Status);
  if (Known && (Status.term() >= Job.m_Term || Status.operation_id() == Job.m_OperationId)) {
    finishRecord(H, Group, Job.m_Term, Status.operation_id() == Job.m_OperationId);
    return;
  }
  Status.Clear();
  Status.set_group(Group);
  Status.set_term(Job.m_Term);
  Status.set_primary(Job.m_Primary);
  Status.set_promoted_by(proposerName(H));
  Status.set_operation_id(Job.m_OperationId);
  using Answer = std::variant<platform::WriteReply, PlatformError>;
  putObject(*H.m_Platform, "status/group/" + Group, encodeMessage(Status), Current.version(),
            guardHandler(H, [Group, Term = Job.m_Term](Host &Self, Answer Got) {
              auto *Reply = std::get_if<platform::WriteReply>(&Got);
              if (Reply && Reply->applied())
                finishRecord(Self, Group, Term, true);
              else
                retryRecord(Self, Group, Term);
            }));
}

} // namespace

void takeStatus(Host &H, const std::string &GroupName, const std::string &InstanceId,
                const instance::StatusReply &Reply) {
  TimePoint Now = Clock::now();
  learnView(H, GroupName, InstanceId,
            {.m_Term = Reply.term(),
             .m_IsPrimary = Reply.primary(),
             .m_LastPosition = fromWire(Reply.last()),
             .m_AppliedPosition = fromWire(Reply.applied()),
             .m_AppliedAt = Now,
             .m_ContactAge = Millis(Reply.contact_age_ms()),
             .m_DataAge = Millis(Reply.data_age_ms()),
             .m_LastSeenAt = Now,
             .m_LastFailedAt = {}});
  // A hint is used only for a primary that nobody has reached: see learnPrimary().
  const GroupView &View = H.m_Views[GroupName];
  if (!Reply.primary() && !View.m_Instances.contains(Reply.primary_hint()))
    learnPrimary(H, GroupName, Reply.term(), Reply.primary_hint());
  const Group *G = findGroup(H, GroupName);
  auto P = H.m_Promotions.find(GroupName);
  if (!G || P == H.m_Promotions.end())
    return;
  StatusAnswer Answer{.m_Term = Reply.term(),
                      .m_IsPrimary = Reply.primary(),
                      .m_LastPosition = fromWire(Reply.last()),
                      .m_ContactAge = Millis(Reply.contact_age_ms())};
  PromotionStep Before = P->second.m_Step;
  auto Actions =
      handleStatusAnswer(P->second, *G, View, InstanceId, Answer, Now, H.m_Rng, stretchSettings(H));
  noteStep(H, GroupName, Before, P->second);
  performActions(H, GroupName, Actions);
}

void tickPromotions(Host &H, TimePoint Now) {
  FailoverSettings Settings = stretchSettings(H);
  MonitorState &M = *H.m_Monitor;
  for (auto &[Name, Mine] : M.m_Owned) {
    const Group *G = findGroup(H, Name);
    if (!G)
      continue;
    Promotion &P = H.m_Promotions[Name];
    replaceLeavingPrimary(*G, H.m_Views[Name], P, Mine, Now);
    if (P.m_Step == PromotionStep::Idle && !P.m_IsOrdered && Now < Mine.m_NextTick)
      continue;
    Mine.m_NextTick = Now + Settings.m_ProbeInterval / LooksPerProbe;
    tickGroup(H, Name, Mine.m_Rank, Now, Settings);
  }
  // Promotions ordered here, or begun before the group's dispatchers changed, are finished.
  std::vector<std::string> Others;
  for (const auto &[Name, P] : H.m_Promotions)
    if (!M.m_Owned.contains(Name) && (P.m_IsOrdered || P.m_Step != PromotionStep::Idle))
      Others.push_back(Name);
  for (const std::string &Name : Others)
    tickGroup(H, Name, 0, Now, Settings);
}

void tickRecords(Host &H, TimePoint Now) {
  for (auto &[Group, Job] : H.m_Monitor->m_Records) {
    if (Job.m_InFlight || Now < Job.m_Next || !H.m_Platform)
      continue;
    Job.m_InFlight = true;
    using Answer = std::variant<platform::Object, PlatformError>;
    getObject(*H.m_Platform, "status/group/" + Group,
              guardHandler(H, [Group = Group, Copy = Job](Host &Self, Answer Got) {
                if (auto *Object = std::get_if<platform::Object>(&Got))
                  writeRecord(Self, Group, Copy, *Object);
                else
                  retryRecord(Self, Group, Copy.m_Term);
              }));
  }
}
void orderGroupPromotion(Host &H, const std::string &Group, const std::string &Wanted) {
  orderPromotion(H.m_Promotions[Group], Wanted, Clock::now());
}

std::vector<PromotionRecord> listPromotions(const Host &H) {
  return {H.m_Monitor->m_History.begin(), H.m_Monitor->m_History.end()};
}

} // namespace quetzalpaddle

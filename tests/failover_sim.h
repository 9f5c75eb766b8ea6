// Simulates one group and the hosts that monitor it, on a virtual clock. A seeded scheduler drops,
// delays, duplicates and reorders messages and injects faults; every decision comes from the
// functions under test. The same seed gives the same run.
#pragma once

#include "quetzalpaddle.h"

#include <algorithm>
#include <memory>
#include <queue>

namespace quetzalpaddle::sim {

struct Entry {
  uint64_t m_Term = 0;
  uint64_t m_WriteId = 0; // 0: first entry of a term
};
using Log = std::vector<Entry>;

struct FakeInstance {
  bool m_IsUp = true;
  TimePoint m_FrozenUntil{};
  // Persistent: kept across a restart.
  uint64_t m_PromisedTerm = 1;
  std::string m_Proposer;
  Log m_Log{{1, 0}};
  uint64_t m_LogTerm = 1; // term of the last replication accepted
  int m_FollowedNode = 0;
  // Volatile: lost in a restart.
  bool m_HasPrimaryRole = false;
  std::vector<size_t> m_MatchedLengths;
  std::vector<TimePoint> m_ConfirmedAt;
  std::map<size_t, uint64_t> m_PendingWrites; // writes to acknowledge, by log length
  TimePoint m_LastContactAt{};
};

struct FakeHost {
  uint64_t m_Incarnation = 1;
  GroupView m_View;
  Promotion m_Promotion;
};

// Breaks one safety rule on purpose, to show that the checker detects it.
enum class Mutation { None, NoMajority, ShorterLog };

struct Options {
  int m_InstanceCount = 3;
  int m_HostCount = 3;
  Mutation m_Mutation = Mutation::None;
  double m_DropRate = 0;      // fraction of messages dropped while m_HasMessageFaults is set
  double m_DuplicateRate = 0; // fraction of messages sent twice, likewise
  double m_DelayRate = 0;     // fraction of messages delayed by 5 to 300 ms, likewise
  Millis m_WriteInterval{20};
};

constexpr int FirstHostNode = 100; // nodes from this number on are hosts

struct Simulation {
  Options m_Options;
  Random m_Rng;
  TimePoint m_Now{std::chrono::hours(1)};
  Group m_Group;
  FailoverSettings m_Settings;
  std::vector<FakeInstance> m_Instances;
  std::vector<FakeHost> m_Hosts;
  std::set<std::pair<int, int>> m_CutLinks;
  bool m_HasMessageFaults = false; // messages are dropped, duplicated and delayed
  double m_StepFaultChance = 0;    // probability of a fault at each step of a promotion
  uint64_t m_NextWriteId = 1;
  // State of the checker.
  std::vector<std::string> m_Violations;
  std::vector<std::string> m_Trace;
  std::map<uint64_t, int> m_PrimaryByTerm;
  // Writes in the log of a term's primary when it was promoted.
  std::map<uint64_t, std::set<uint64_t>> m_InitialWritesByTerm;
  std::set<uint64_t> m_WritesAfterFence; // begun after a majority was fenced to a higher term
  std::map<uint64_t, TimePoint> m_WriteBegunAt; // by write id
  std::map<uint64_t, TimePoint> m_WriteAcknowledgedAt;
  std::map<uint64_t, uint64_t> m_AcknowledgedTerm; // by write id

  struct Event {
    TimePoint m_At;
    uint64_t m_Order;
    std::function<void()> m_Callback;
    bool operator>(const Event &Other) const {
      return std::tie(m_At, m_Order) > std::tie(Other.m_At, Other.m_Order);
    }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
  uint64_t m_Order = 0;
};

inline std::string instanceName(int Node) { return "i" + std::to_string(Node); }
inline int parseInstanceNode(const std::string &Name) { return std::stoi(Name.substr(1)); }

inline void addTrace(Simulation &Sim, const std::string &Text) {
  auto Ms = std::chrono::duration_cast<Millis>(Sim.m_Now.time_since_epoch()).count() - 3600000;
  Sim.m_Trace.push_back(std::to_string(Ms) + " ms: " + Text);
}

inline void addViolation(Simulation &Sim, const std::string &Text) {
  Sim.m_Violations.push_back(Text);
  addTrace(Sim, "VIOLATION " + Text);
}

inline void runAfter(Simulation &Sim, Duration Delay, std::function<void()> Callback) {
  Sim.m_Events.push({Sim.m_Now + Delay, Sim.m_Order++, std::move(Callback)});
}

inline bool drawChance(Simulation &Sim, double Chance) {
  return std::uniform_real_distribution<double>(0, 1)(Sim.m_Rng) < Chance;
}

inline int drawNumber(Simulation &Sim, int Min, int Max) {
  return std::uniform_int_distribution<int>(Min, Max)(Sim.m_Rng);
}

inline bool isLinkCut(const Simulation &Sim, int NodeA, int NodeB) {
  return Sim.m_CutLinks.contains({std::min(NodeA, NodeB), std::max(NodeA, NodeB)});
}

inline void cutLink(Simulation &Sim, int NodeA, int NodeB) {
  Sim.m_CutLinks.insert({std::min(NodeA, NodeB), std::max(NodeA, NodeB)});
}

// Runs the callback at the receiver. It is delayed while the receiver is frozen, and dropped if the
// receiver is down or the link is cut.
inline void deliver(Simulation &Sim, int From, int To, const std::function<void()> &Callback) {
  if (isLinkCut(Sim, From, To))
    return;
  if (To < FirstHostNode) {
    FakeInstance &Instance = Sim.m_Instances[To];
    if (!Instance.m_IsUp)
      return;
    if (Instance.m_FrozenUntil > Sim.m_Now) {
      runAfter(Sim, Instance.m_FrozenUntil - Sim.m_Now,
               [&Sim, From, To, Callback] { deliver(Sim, From, To, Callback); });
      return;
    }
  }
  Callback();
}

inline void sendMessage(Simulation &Sim, int From, int To, const std::function<void()> &Callback) {
  if (isLinkCut(Sim, From, To) ||
      (Sim.m_HasMessageFaults && drawChance(Sim, Sim.m_Options.m_DropRate)))
    return;
  int Copies = Sim.m_HasMessageFaults && drawChance(Sim, Sim.m_Options.m_DuplicateRate) ? 2 : 1;
  for (int N = 0; N < Copies; ++N) {
    Duration Delay = std::chrono::microseconds(drawNumber(Sim, 300, 3000));
    if (Sim.m_HasMessageFaults && drawChance(Sim, Sim.m_Options.m_DelayRate))
      Delay += Millis(drawNumber(Sim, 5, 300));
    runAfter(Sim, Delay, [&Sim, From, To, Callback] { deliver(Sim, From, To, Callback); });
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Instances
//-----------------------------------------------------------------------------

inline size_t majoritySize(const Simulation &Sim) { return Sim.m_Instances.size() / 2 + 1; }

inline Position endPosition(const Log &L) { return {L.back().m_Term, L.size()}; }

inline uint64_t majorityTerm(const Simulation &Sim) {
  std::vector<uint64_t> Terms(Sim.m_Instances.size());
  std::ranges::transform(Sim.m_Instances, Terms.begin(), &FakeInstance::m_PromisedTerm);
  std::ranges::sort(Terms, std::greater{});
  return Terms[majoritySize(Sim) - 1];
}

// Raises the promised term; an instance that was the primary of a lower term loses this role.
inline void promise(FakeInstance &Instance, uint64_t Term, const std::string &Proposer) {
  if (Term <= Instance.m_PromisedTerm)
    return;
  Instance.m_PromisedTerm = Term;
  Instance.m_Proposer = Proposer;
  Instance.m_HasPrimaryRole = false;
  Instance.m_PendingWrites.clear();
  Instance.m_FollowedNode = -1;
}

inline void acknowledgeWrite(Simulation &Sim, int Node, uint64_t Term, uint64_t WriteId) {
  Sim.m_WriteAcknowledgedAt.emplace(WriteId, Sim.m_Now);
  Sim.m_AcknowledgedTerm.emplace(WriteId, Term);
  if (Sim.m_WritesAfterFence.contains(WriteId))
    addViolation(Sim, instanceName(Node) + " acknowledged a write of term " + std::to_string(Term) +
                          " begun after a majority was fenced to a higher term");
  for (const auto &[LaterTerm, Writes] : Sim.m_InitialWritesByTerm)
    if (LaterTerm > Term && !Writes.contains(WriteId))
      addViolation(Sim, "write acknowledged in term " + std::to_string(Term) +
                            " is not in the log of the primary of term " +
                            std::to_string(LaterTerm));
}

inline void becomePrimary(Simulation &Sim, int Node) {
  FakeInstance &Instance = Sim.m_Instances[Node];
  uint64_t Term = Instance.m_PromisedTerm;
  Instance.m_HasPrimaryRole = true;
  Instance.m_FollowedNode = -1;
  Instance.m_Log.push_back({Term, 0});
  Instance.m_LogTerm = Term;
  Instance.m_MatchedLengths.assign(Sim.m_Instances.size(), 0);
  Instance.m_ConfirmedAt.assign(Sim.m_Instances.size(), Sim.m_Now);
  addTrace(Sim, instanceName(Node) + " is primary of term " + std::to_string(Term));
  if (!Sim.m_PrimaryByTerm.emplace(Term, Node).second && Sim.m_PrimaryByTerm[Term] != Node)
    addViolation(Sim, "two primaries in term " + std::to_string(Term));
  std::set<uint64_t> Writes;
  for (const Entry &LogEntry : Instance.m_Log)
    Writes.insert(LogEntry.m_WriteId);
  // A Promote that arrives late makes a primary of a term below the current one. It cannot
  // acknowledge writes, and its log needs to hold only those acknowledged in still lower terms.
  for (const auto &[WriteId, AcknowledgedTerm] : Sim.m_AcknowledgedTerm)
    if (AcknowledgedTerm < Term && !Writes.contains(WriteId))
      addViolation(Sim, "the primary of term " + std::to_string(Term) +
                            " lacks acknowledged write " + std::to_string(WriteId));
  Sim.m_InitialWritesByTerm.emplace(Term, std::move(Writes));
}

inline void handleMatch(Simulation &Sim, int Node, int Follower, uint64_t Term, size_t Length) {
  FakeInstance &Instance = Sim.m_Instances[Node];
  if (!Instance.m_HasPrimaryRole || Instance.m_PromisedTerm != Term)
    return;
  Instance.m_MatchedLengths[Follower] = std::max(Instance.m_MatchedLengths[Follower], Length);
  Instance.m_ConfirmedAt[Follower] = Sim.m_Now;
  std::vector<size_t> Lengths = Instance.m_MatchedLengths;
  Lengths[Node] = Instance.m_Log.size();
  std::ranges::sort(Lengths, std::greater{});
  size_t MajorityLength = Lengths[majoritySize(Sim) - 1];
  if (MajorityLength == 0 || Instance.m_Log[MajorityLength - 1].m_Term != Term)
    return; // entries of earlier terms are committed only by an entry of the current term
  while (!Instance.m_PendingWrites.empty() &&
         Instance.m_PendingWrites.begin()->first <= MajorityLength) {
    acknowledgeWrite(Sim, Node, Term, Instance.m_PendingWrites.begin()->second);
    Instance.m_PendingWrites.erase(Instance.m_PendingWrites.begin());
  }
}

inline void handleReplication(Simulation &Sim, int Node, int From, uint64_t Term,
                              const std::shared_ptr<const Log> &SentLog) {
  FakeInstance &Instance = Sim.m_Instances[Node];
  if (Instance.m_PromisedTerm != Term || Instance.m_FollowedNode != From ||
      Instance.m_HasPrimaryRole)
    return;
  Instance.m_LastContactAt = Sim.m_Now;
  // Within a term the log of the primary only grows, so a shorter log comes from an older message.
  if (Instance.m_LogTerm < Term || SentLog->size() > Instance.m_Log.size())
    Instance.m_Log = *SentLog;
  Instance.m_LogTerm = Term;
  sendMessage(Sim, Node, From, [&Sim, Node, From, Term, Length = SentLog->size()] {
    handleMatch(Sim, From, Node, Term, Length);
  });
}

inline void replicate(Simulation &Sim, int Node) {
  const FakeInstance &Instance = Sim.m_Instances[Node];
  auto Snapshot = std::make_shared<const Log>(Instance.m_Log);
  for (int Replica = 0; Replica < static_cast<int>(Sim.m_Instances.size()); ++Replica)
    if (Replica != Node)
      sendMessage(Sim, Node, Replica,
                  [&Sim, Replica, Node, Term = Instance.m_PromisedTerm, Snapshot] {
                    handleReplication(Sim, Replica, Node, Term, Snapshot);
                  });
}

inline void handleWrite(Simulation &Sim, int Node, uint64_t WriteId) {
  FakeInstance &Instance = Sim.m_Instances[Node];
  // A duplicated message must not append a second entry: a request id runs once.
  if (!Instance.m_HasPrimaryRole ||
      std::ranges::find(Instance.m_Log, WriteId, &Entry::m_WriteId) != Instance.m_Log.end())
    return;
  Instance.m_Log.push_back({Instance.m_PromisedTerm, WriteId});
  Instance.m_PendingWrites[Instance.m_Log.size()] = WriteId;
  Sim.m_WriteBegunAt[WriteId] = Sim.m_Now;
  if (majorityTerm(Sim) > Instance.m_PromisedTerm)
    Sim.m_WritesAfterFence.insert(WriteId);
  replicate(Sim, Node);
}

inline StatusAnswer makeStatus(const Simulation &Sim, int Node) {
  const FakeInstance &Instance = Sim.m_Instances[Node];
  TimePoint LastContactAt = Instance.m_LastContactAt;
  if (Instance.m_HasPrimaryRole) {
    auto ConfirmedAt = Instance.m_ConfirmedAt;
    ConfirmedAt[Node] = Sim.m_Now;
    std::ranges::sort(ConfirmedAt, std::greater{});
    LastContactAt = ConfirmedAt[majoritySize(Sim) - 1];
  }
  return {.m_Term = Instance.m_PromisedTerm,
          .m_IsPrimary = Instance.m_HasPrimaryRole,
          .m_LastPosition = endPosition(Instance.m_Log),
          .m_ContactAge = Sim.m_Now - LastContactAt};
}

//-----------------------------------------------------------------------------
// [SECTION] Hosts
//-----------------------------------------------------------------------------

inline void restartInstance(Simulation &Sim, int Node) {
  FakeInstance &Instance = Sim.m_Instances[Node];
  Instance.m_IsUp = true;
  Instance.m_HasPrimaryRole = false;
  Instance.m_PendingWrites.clear();
}

inline void killInstance(Simulation &Sim, int Node) {
  addTrace(Sim, "killed " + instanceName(Node));
  Sim.m_Instances[Node].m_IsUp = false;
  Sim.m_Instances[Node].m_HasPrimaryRole = false;
  Sim.m_Instances[Node].m_PendingWrites.clear();
}

// With Mutation::NoMajority a host regards one replica as the whole group, so that this replica
// alone is a majority.
inline Group visibleGroup(const Simulation &Sim, int Host) {
  Group G = Sim.m_Group;
  if (Sim.m_Options.m_Mutation == Mutation::NoMajority)
    G.m_Instances = {G.m_Instances[1 + Host % (G.m_Instances.size() - 1)]};
  return G;
}

inline void performActions(Simulation &Sim, int Host, const std::vector<PromotionAction> &Actions);

// Calls a decision function, traces the step that it reached, may inject a fault at this step, and
// performs the resulting actions.
template <class Decision> void applyDecision(Simulation &Sim, int Host, Decision MakeDecision) {
  FakeHost &HostState = Sim.m_Hosts[Host];
  PromotionStep OldStep = HostState.m_Promotion.m_Step;
  auto Actions = MakeDecision(HostState, visibleGroup(Sim, Host));
  PromotionStep NewStep = HostState.m_Promotion.m_Step;
  if (NewStep != OldStep && std::max(NewStep, OldStep) >= PromotionStep::Fencing) {
    addTrace(Sim, "h" + std::to_string(Host) + " step " +
                      std::to_string(static_cast<int>(NewStep)) + " term " +
                      std::to_string(HostState.m_Promotion.m_Term) + " " +
                      HostState.m_Promotion.m_LastReason);
    if (drawChance(Sim, Sim.m_StepFaultChance)) {
      bool IsCandidate = !HostState.m_Promotion.m_Candidate.empty() && drawChance(Sim, 0.5);
      const std::string &Name =
          IsCandidate ? HostState.m_Promotion.m_Candidate : HostState.m_View.m_Primary;
      if (!Name.empty()) {
        int Node = parseInstanceNode(Name);
        Millis FaultDuration(drawNumber(Sim, 10, 600));
        addTrace(Sim, "injected fault at " + Name + " in this step");
        if (drawChance(Sim, 0.5)) {
          killInstance(Sim, Node);
          runAfter(Sim, FaultDuration, [&Sim, Node] { restartInstance(Sim, Node); });
        } else {
          Sim.m_Instances[Node].m_FrozenUntil = Sim.m_Now + FaultDuration;
        }
      }
    }
  }
  performActions(Sim, Host, Actions);
}

// Sends a request to an instance and the answer back; both messages can be lost.
template <class RequestHandler, class ReplyHandler>
void callInstance(Simulation &Sim, int Host, int Node, Duration Timeout,
                  RequestHandler HandleRequest, ReplyHandler HandleReply) {
  uint64_t Incarnation = Sim.m_Hosts[Host].m_Incarnation;
  TimePoint Deadline = Sim.m_Now + Timeout;
  sendMessage(Sim, FirstHostNode + Host, Node, [=, &Sim] {
    auto Reply = HandleRequest(Sim.m_Instances[Node]);
    sendMessage(Sim, Node, FirstHostNode + Host, [=, &Sim] {
      if (Sim.m_Hosts[Host].m_Incarnation == Incarnation && Sim.m_Now <= Deadline)
        HandleReply(Reply);
    });
  });
}

inline void queryStatus(Simulation &Sim, int Host, int Node) {
  callInstance(
      Sim, Host, Node, Sim.m_Settings.m_ProbeTimeout,
      [&Sim, Node](FakeInstance &) { return makeStatus(Sim, Node); },
      [&Sim, Host, Node](const StatusAnswer &Answer) {
        InstanceView View;
        View.m_Term = Answer.m_Term;
        View.m_IsPrimary = Answer.m_IsPrimary;
        View.m_LastPosition = View.m_AppliedPosition = Answer.m_LastPosition;
        View.m_ContactAge = Answer.m_ContactAge;
        View.m_LastSeenAt = View.m_AppliedAt = Sim.m_Now;
        mergeView(Sim.m_Hosts[Host].m_View, instanceName(Node), View);
        applyDecision(Sim, Host, [&](FakeHost &H, const Group &G) {
          return handleStatusAnswer(H.m_Promotion, G, H.m_View, instanceName(Node), Answer,
                                    Sim.m_Now, Sim.m_Rng, Sim.m_Settings);
        });
      });
}

struct TermReply {
  bool m_IsGranted = false;
  uint64_t m_Term = 0;
  Position m_LogEnd;
};

inline void sendFenceTo(Simulation &Sim, int Host, int Node, uint64_t Term) {
  std::string Proposer =
      std::to_string(Host) + "/" + std::to_string(Sim.m_Hosts[Host].m_Incarnation);
  callInstance(
      Sim, Host, Node, Millis(1000),
      [Term, Proposer](FakeInstance &Instance) {
        promise(Instance, Term, Proposer);
        bool IsGranted = Instance.m_PromisedTerm == Term && Instance.m_Proposer == Proposer;
        return TermReply{IsGranted, Instance.m_PromisedTerm, endPosition(Instance.m_Log)};
      },
      [&Sim, Host, Node](TermReply Reply) {
        if (Sim.m_Options.m_Mutation == Mutation::ShorterLog)
          Reply.m_LogEnd = {1000000 - Reply.m_LogEnd.m_Term, 1000000 - Reply.m_LogEnd.m_Index};
        applyDecision(Sim, Host, [&](FakeHost &H, const Group &G) {
          return handleFenceAnswer(H.m_Promotion, G, instanceName(Node), Reply.m_IsGranted,
                                   Reply.m_Term, Reply.m_LogEnd, Sim.m_Now, Sim.m_Rng,
                                   Sim.m_Settings);
        });
      });
}

inline void sendPromoteTo(Simulation &Sim, int Host, int Node, uint64_t Term) {
  std::string Proposer =
      std::to_string(Host) + "/" + std::to_string(Sim.m_Hosts[Host].m_Incarnation);
  callInstance(
      Sim, Host, Node, Millis(1000),
      [&Sim, Node, Term, Proposer](FakeInstance &Instance) {
        bool IsGranted = Instance.m_PromisedTerm == Term && Instance.m_Proposer == Proposer;
        if (IsGranted && !Instance.m_HasPrimaryRole)
          becomePrimary(Sim, Node);
        return TermReply{IsGranted, Instance.m_PromisedTerm, {}};
      },
      [&Sim, Host, Node](const TermReply &Reply) {
        applyDecision(Sim, Host, [&](FakeHost &H, const Group &G) {
          return handlePromoteAnswer(H.m_Promotion, G, instanceName(Node), Reply.m_IsGranted,
                                     Reply.m_Term, Sim.m_Now, Sim.m_Rng, Sim.m_Settings);
        });
      });
}

inline void sendFollowTo(Simulation &Sim, int Host, int Node, int Primary, uint64_t Term) {
  callInstance(
      Sim, Host, Node, Millis(1000),
      [Term, Primary](FakeInstance &Instance) {
        promise(Instance, Term, "");
        if (Instance.m_PromisedTerm == Term && !Instance.m_HasPrimaryRole)
          Instance.m_FollowedNode = Primary;
        return 0;
      },
      [](int) {});
}

inline void performActions(Simulation &Sim, int Host, const std::vector<PromotionAction> &Actions) {
  for (const PromotionAction &Action : Actions) {
    if (const auto *Query = std::get_if<QueryStatus>(&Action))
      queryStatus(Sim, Host, parseInstanceNode(Query->m_Instance));
    else if (const auto *Fence = std::get_if<SendFence>(&Action))
      sendFenceTo(Sim, Host, parseInstanceNode(Fence->m_Instance), Fence->m_Term);
    else if (const auto *Promote = std::get_if<SendPromote>(&Action))
      sendPromoteTo(Sim, Host, parseInstanceNode(Promote->m_Instance), Promote->m_Term);
    else if (const auto *Follow = std::get_if<SendFollow>(&Action))
      sendFollowTo(Sim, Host, parseInstanceNode(Follow->m_Instance),
                   parseInstanceNode(Follow->m_Primary), Follow->m_Term);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Timers and faults
//-----------------------------------------------------------------------------

inline void repeatEvery(Simulation &Sim, Duration Interval, const std::function<void()> &Callback) {
  runAfter(Sim, Interval, [&Sim, Interval, Callback] {
    Callback();
    repeatEvery(Sim, Interval, Callback);
  });
}

inline int findPrimary(const Simulation &Sim) {
  int Primary = -1;
  for (int Node = 0; Node < static_cast<int>(Sim.m_Instances.size()); ++Node)
    if (Sim.m_Instances[Node].m_HasPrimaryRole &&
        (Primary < 0 ||
         Sim.m_Instances[Node].m_PromisedTerm > Sim.m_Instances[Primary].m_PromisedTerm))
      Primary = Node;
  return Primary;
}

inline std::unique_ptr<Simulation> makeSimulation(const Options &Opts, uint64_t Seed) {
  auto Owner = std::make_unique<Simulation>();
  Simulation &Sim = *Owner;
  Sim.m_Options = Opts;
  Sim.m_Rng.seed(Seed);
  Sim.m_Group.m_Name = "orders";
  Sim.m_Instances.resize(Opts.m_InstanceCount);
  Sim.m_Hosts.resize(Opts.m_HostCount);
  for (int Index = 0; Index < Opts.m_InstanceCount; ++Index) {
    Sim.m_Group.m_Instances.emplace_back().m_Id = instanceName(Index);
    Sim.m_Instances[Index].m_LastContactAt = Sim.m_Now;
  }
  FakeInstance &Primary = Sim.m_Instances[0];
  Primary.m_HasPrimaryRole = true;
  Primary.m_FollowedNode = -1;
  Primary.m_MatchedLengths.assign(Opts.m_InstanceCount, 0);
  Primary.m_ConfirmedAt.assign(Opts.m_InstanceCount, Sim.m_Now);
  Sim.m_PrimaryByTerm[1] = 0;
  for (int Index = 0; Index < Opts.m_InstanceCount; ++Index)
    repeatEvery(Sim, Millis(20), [&Sim, Index] {
      if (Sim.m_Instances[Index].m_HasPrimaryRole &&
          Sim.m_Instances[Index].m_FrozenUntil <= Sim.m_Now)
        replicate(Sim, Index);
    });
  for (int Host = 0; Host < Opts.m_HostCount; ++Host) {
    repeatEvery(Sim, Millis(50), [&Sim, Host] {
      for (int Index = 0; Index < static_cast<int>(Sim.m_Instances.size()); ++Index)
        queryStatus(Sim, Host, Index);
    });
    repeatEvery(Sim, Millis(10), [&Sim, Host] {
      applyDecision(Sim, Host, [&](FakeHost &H, const Group &G) {
        return tickPromotion(H.m_Promotion, G, H.m_View, static_cast<uint32_t>(Host), Sim.m_Now,
                             Sim.m_Rng, Sim.m_Settings);
      });
    });
  }
  // Callers write to the primary that a random host knows, or to a random instance, which may be a
  // replaced primary that does not know it yet.
  repeatEvery(Sim, Opts.m_WriteInterval, [&Sim] {
    int Host = drawNumber(Sim, 0, static_cast<int>(Sim.m_Hosts.size()) - 1);
    std::string PrimaryName = Sim.m_Hosts[Host].m_View.m_Primary;
    int Node = PrimaryName.empty() ? -1 : parseInstanceNode(PrimaryName);
    if (drawChance(Sim, 0.3))
      Node = drawNumber(Sim, 0, static_cast<int>(Sim.m_Instances.size()) - 1);
    if (Node < 0)
      return;
    uint64_t WriteId = Sim.m_NextWriteId++;
    sendMessage(Sim, FirstHostNode + Host, Node,
                [&Sim, Node, WriteId] { handleWrite(Sim, Node, WriteId); });
  });
  return Owner;
}

inline void runUntil(Simulation &Sim, TimePoint Deadline) {
  while (!Sim.m_Events.empty() && Sim.m_Events.top().m_At <= Deadline) {
    auto Next = Sim.m_Events.top();
    Sim.m_Events.pop();
    Sim.m_Now = Next.m_At;
    Next.m_Callback();
  }
  Sim.m_Now = Deadline;
}

} // namespace quetzalpaddle::sim

// A fake of one group and the hosts that watch it, on a virtual clock. A seeded scheduler drops,
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
  uint64_t m_Write = 0; // 0: first entry of a term
};
using Log = std::vector<Entry>;

struct FakeInstance {
  bool m_Up = true;
  TimePoint m_FrozenUntil{};
  // Survives a restart.
  uint64_t m_Promised = 1;
  std::string m_Proposer;
  Log m_Log{{1, 0}};
  uint64_t m_LogTerm = 1; // term of the last replication taken
  int m_Following = 0;
  // Lost in a restart.
  bool m_Primary = false;
  std::vector<size_t> m_Matched;
  std::vector<TimePoint> m_Confirmed;
  std::map<size_t, uint64_t> m_Pending; // writes to acknowledge, by log length
  TimePoint m_Contact{};
};

struct FakeHost {
  uint64_t m_Incarnation = 1;
  GroupView m_View;
  Promotion m_Promotion;
};

enum class Guard { On, NoMajority, ShorterLog };

struct Options {
  int m_Instances = 3;
  int m_Hosts = 3;
  Guard m_Guard = Guard::On;
  double m_Drop = 0;      // share of messages, while faults last
  double m_Duplicate = 0; // same
  double m_Slow = 0;      // share delayed by up to 300 ms
  Millis m_WriteEvery{20};
};

constexpr int HostBase = 100; // hosts are the nodes from here on

struct Simulation {
  Options m_Options;
  Random m_Rng;
  TimePoint m_Now{std::chrono::hours(1)};
  Group m_Group;
  FailoverSettings m_Settings;
  std::vector<FakeInstance> m_Instances;
  std::vector<FakeHost> m_Hosts;
  std::set<std::pair<int, int>> m_Cut;
  bool m_Faulty = false;   // drops, duplicates and slow messages happen
  double m_StepFaults = 0; // chance of a fault at each step of a promotion
  uint64_t m_NextWrite = 1;
  // Of the checker.
  std::vector<std::string> m_Violations;
  std::vector<std::string> m_Trace;
  std::map<uint64_t, int> m_PrimaryOf;               // by term
  std::map<uint64_t, std::set<uint64_t>> m_WritesOf; // in the log of a term's primary at first
  std::set<uint64_t> m_Late;                         // begun after a majority was fenced
  std::map<uint64_t, TimePoint> m_Begun;             // writes, by number
  std::map<uint64_t, TimePoint> m_Acknowledged;
  std::map<uint64_t, uint64_t> m_AcknowledgedIn; // term, by write

  struct Event {
    TimePoint m_At;
    uint64_t m_Order;
    std::function<void()> m_Run;
    bool operator>(const Event &Other) const {
      return std::tie(m_At, m_Order) > std::tie(Other.m_At, Other.m_Order);
    }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
  uint64_t m_Order = 0;
};

inline std::string nameOf(int Node) { return "i" + std::to_string(Node); }
inline int numberOf(const std::string &Name) { return std::stoi(Name.substr(1)); }

inline void addTrace(Simulation &S, const std::string &Text) {
  auto Ms = std::chrono::duration_cast<Millis>(S.m_Now.time_since_epoch()).count() - 3600000;
  S.m_Trace.push_back(std::to_string(Ms) + " ms: " + Text);
}

inline void addViolation(Simulation &S, const std::string &Text) {
  S.m_Violations.push_back(Text);
  addTrace(S, "VIOLATION " + Text);
}

inline void runAfter(Simulation &S, Duration Delay, std::function<void()> Run) {
  S.m_Events.push({S.m_Now + Delay, S.m_Order++, std::move(Run)});
}

inline bool drawChance(Simulation &S, double Chance) {
  return std::uniform_real_distribution<double>(0, 1)(S.m_Rng) < Chance;
}

inline int drawNumber(Simulation &S, int Least, int Most) {
  return std::uniform_int_distribution<int>(Least, Most)(S.m_Rng);
}

inline bool isCut(const Simulation &S, int A, int B) {
  return S.m_Cut.contains({std::min(A, B), std::max(A, B)});
}

inline void cutLink(Simulation &S, int A, int B) {
  S.m_Cut.insert({std::min(A, B), std::max(A, B)});
}

// Runs at the receiver; waits while it is frozen, and is lost if it is down.
inline void deliver(Simulation &S, int From, int To, const std::function<void()> &Run) {
  if (isCut(S, From, To))
    return;
  if (To < HostBase) {
    FakeInstance &I = S.m_Instances[To];
    if (!I.m_Up)
      return;
    if (I.m_FrozenUntil > S.m_Now) {
      runAfter(S, I.m_FrozenUntil - S.m_Now, [&S, From, To, Run] { deliver(S, From, To, Run); });
      return;
    }
  }
  Run();
}

inline void sendMessage(Simulation &S, int From, int To, const std::function<void()> &Run) {
  if (isCut(S, From, To) || (S.m_Faulty && drawChance(S, S.m_Options.m_Drop)))
    return;
  int Copies = S.m_Faulty && drawChance(S, S.m_Options.m_Duplicate) ? 2 : 1;
  for (int N = 0; N < Copies; ++N) {
    Duration Delay = std::chrono::microseconds(drawNumber(S, 300, 3000));
    if (S.m_Faulty && drawChance(S, S.m_Options.m_Slow))
      Delay += Millis(drawNumber(S, 5, 300));
    runAfter(S, Delay, [&S, From, To, Run] { deliver(S, From, To, Run); });
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Instances
//-----------------------------------------------------------------------------

inline size_t majorityOf(const Simulation &S) { return S.m_Instances.size() / 2 + 1; }

inline Position endOf(const Log &L) { return {L.back().m_Term, L.size()}; }

inline uint64_t majorityPromised(const Simulation &S) {
  std::vector<uint64_t> Promised(S.m_Instances.size());
  std::ranges::transform(S.m_Instances, Promised.begin(), &FakeInstance::m_Promised);
  std::ranges::sort(Promised, std::greater{});
  return Promised[majorityOf(S) - 1];
}

// Raises the promised term; whoever was the primary of a lower one is it no more.
inline void promise(FakeInstance &I, uint64_t Term, const std::string &Proposer) {
  if (Term <= I.m_Promised)
    return;
  I.m_Promised = Term;
  I.m_Proposer = Proposer;
  I.m_Primary = false;
  I.m_Pending.clear();
  I.m_Following = -1;
}

inline void acknowledge(Simulation &S, int Node, uint64_t Term, uint64_t Write) {
  S.m_Acknowledged.emplace(Write, S.m_Now);
  S.m_AcknowledgedIn.emplace(Write, Term);
  if (S.m_Late.contains(Write))
    addViolation(S, nameOf(Node) + " acknowledged a write of term " + std::to_string(Term) +
                        " begun after a majority was fenced to a higher term");
  for (const auto &[Later, Writes] : S.m_WritesOf)
    if (Later > Term && !Writes.contains(Write))
      addViolation(S, "write acknowledged in term " + std::to_string(Term) +
                          " is not in the log of the primary of term " + std::to_string(Later));
}

inline void becomePrimary(Simulation &S, int Node) {
  FakeInstance &I = S.m_Instances[Node];
  uint64_t Term = I.m_Promised;
  I.m_Primary = true;
  I.m_Following = -1;
  I.m_Log.push_back({Term, 0});
  I.m_LogTerm = Term;
  I.m_Matched.assign(S.m_Instances.size(), 0);
  I.m_Confirmed.assign(S.m_Instances.size(), S.m_Now);
  addTrace(S, nameOf(Node) + " is primary of term " + std::to_string(Term));
  if (!S.m_PrimaryOf.emplace(Term, Node).second && S.m_PrimaryOf[Term] != Node)
    addViolation(S, "two primaries in term " + std::to_string(Term));
  std::set<uint64_t> Writes;
  for (const Entry &E : I.m_Log)
    Writes.insert(E.m_Write);
  // A Promote that arrives late makes a primary of a term below the present one; it cannot
  // acknowledge, and only what was acknowledged in still lower terms has to be in its log.
  for (const auto &[Write, In] : S.m_AcknowledgedIn)
    if (In < Term && !Writes.contains(Write))
      addViolation(S, "the primary of term " + std::to_string(Term) + " lacks acknowledged write " +
                          std::to_string(Write));
  S.m_WritesOf.emplace(Term, std::move(Writes));
}

inline void takeMatch(Simulation &S, int Node, int Follower, uint64_t Term, size_t Length) {
  FakeInstance &I = S.m_Instances[Node];
  if (!I.m_Primary || I.m_Promised != Term)
    return;
  I.m_Matched[Follower] = std::max(I.m_Matched[Follower], Length);
  I.m_Confirmed[Follower] = S.m_Now;
  std::vector<size_t> Matched = I.m_Matched;
  Matched[Node] = I.m_Log.size();
  std::ranges::sort(Matched, std::greater{});
  size_t Held = Matched[majorityOf(S) - 1];
  if (Held == 0 || I.m_Log[Held - 1].m_Term != Term)
    return; // entries of earlier terms are held only with one of the own term
  while (!I.m_Pending.empty() && I.m_Pending.begin()->first <= Held) {
    acknowledge(S, Node, Term, I.m_Pending.begin()->second);
    I.m_Pending.erase(I.m_Pending.begin());
  }
}

inline void takeReplication(Simulation &S, int Node, int From, uint64_t Term,
                            const std::shared_ptr<const Log> &Sent) {
  FakeInstance &I = S.m_Instances[Node];
  if (I.m_Promised != Term || I.m_Following != From || I.m_Primary)
    return;
  I.m_Contact = S.m_Now;
  // Within a term the primary's log only grows, so a shorter one is an earlier message.
  if (I.m_LogTerm < Term || Sent->size() > I.m_Log.size())
    I.m_Log = *Sent;
  I.m_LogTerm = Term;
  sendMessage(S, Node, From, [&S, Node, From, Term, Length = Sent->size()] {
    takeMatch(S, From, Node, Term, Length);
  });
}

inline void replicate(Simulation &S, int Node) {
  const FakeInstance &I = S.m_Instances[Node];
  auto Copy = std::make_shared<const Log>(I.m_Log);
  for (int Other = 0; Other < static_cast<int>(S.m_Instances.size()); ++Other)
    if (Other != Node)
      sendMessage(S, Node, Other, [&S, Other, Node, Term = I.m_Promised, Copy] {
        takeReplication(S, Other, Node, Term, Copy);
      });
}

inline void takeWrite(Simulation &S, int Node, uint64_t Write) {
  FakeInstance &I = S.m_Instances[Node];
  // A request id runs once: a repeated message adds no second entry.
  if (!I.m_Primary || std::ranges::find(I.m_Log, Write, &Entry::m_Write) != I.m_Log.end())
    return;
  I.m_Log.push_back({I.m_Promised, Write});
  I.m_Pending[I.m_Log.size()] = Write;
  S.m_Begun[Write] = S.m_Now;
  if (majorityPromised(S) > I.m_Promised)
    S.m_Late.insert(Write);
  replicate(S, Node);
}

inline StatusAnswer statusOf(const Simulation &S, int Node) {
  const FakeInstance &I = S.m_Instances[Node];
  TimePoint Contact = I.m_Contact;
  if (I.m_Primary) {
    auto Confirmed = I.m_Confirmed;
    Confirmed[Node] = S.m_Now;
    std::ranges::sort(Confirmed, std::greater{});
    Contact = Confirmed[majorityOf(S) - 1];
  }
  return {.m_Term = I.m_Promised,
          .m_IsPrimary = I.m_Primary,
          .m_LastPosition = endOf(I.m_Log),
          .m_ContactAge = S.m_Now - Contact};
}

//-----------------------------------------------------------------------------
// [SECTION] Hosts
//-----------------------------------------------------------------------------

inline void restartInstance(Simulation &S, int Node) {
  FakeInstance &I = S.m_Instances[Node];
  I.m_Up = true;
  I.m_Primary = false;
  I.m_Pending.clear();
}

inline void killInstance(Simulation &S, int Node) {
  addTrace(S, "killed " + nameOf(Node));
  S.m_Instances[Node].m_Up = false;
  S.m_Instances[Node].m_Primary = false;
  S.m_Instances[Node].m_Pending.clear();
}

// With the guard off, a host takes one replica for the whole group, so that it is its own majority.
inline Group groupOf(const Simulation &S, int Host) {
  Group G = S.m_Group;
  if (S.m_Options.m_Guard == Guard::NoMajority)
    G.m_Instances = {G.m_Instances[1 + Host % (G.m_Instances.size() - 1)]};
  return G;
}

inline void perform(Simulation &S, int Host, const std::vector<PromotionAction> &Actions);

// Calls a decision function, traces steps, injects faults at them and performs the actions.
template <class Decision> void decide(Simulation &S, int Host, Decision Call) {
  FakeHost &H = S.m_Hosts[Host];
  PromotionStep Before = H.m_Promotion.m_Step;
  auto Actions = Call(H, groupOf(S, Host));
  PromotionStep Step = H.m_Promotion.m_Step;
  if (Step != Before && std::max(Step, Before) >= PromotionStep::Fencing) {
    addTrace(S, "h" + std::to_string(Host) + " step " + std::to_string(static_cast<int>(Step)) +
                    " term " + std::to_string(H.m_Promotion.m_Term) + " " +
                    H.m_Promotion.m_LastReason);
    if (drawChance(S, S.m_StepFaults)) {
      bool Chosen = !H.m_Promotion.m_Candidate.empty() && drawChance(S, 0.5);
      const std::string &Name = Chosen ? H.m_Promotion.m_Candidate : H.m_View.m_Primary;
      if (!Name.empty()) {
        int Node = numberOf(Name);
        Millis Length(drawNumber(S, 10, 600));
        addTrace(S, "fault of " + Name + " at this step");
        if (drawChance(S, 0.5)) {
          killInstance(S, Node);
          runAfter(S, Length, [&S, Node] { restartInstance(S, Node); });
        } else {
          S.m_Instances[Node].m_FrozenUntil = S.m_Now + Length;
        }
      }
    }
  }
  perform(S, Host, Actions);
}

// Sends a request to an instance and its answer back; both can be lost.
template <class Ask, class Take>
void callInstance(Simulation &S, int Host, int Node, Duration Timeout, Ask Request, Take Answer) {
  uint64_t Incarnation = S.m_Hosts[Host].m_Incarnation;
  TimePoint Until = S.m_Now + Timeout;
  sendMessage(S, HostBase + Host, Node, [=, &S] {
    auto Reply = Request(S.m_Instances[Node]);
    sendMessage(S, Node, HostBase + Host, [=, &S] {
      if (S.m_Hosts[Host].m_Incarnation == Incarnation && S.m_Now <= Until)
        Answer(Reply);
    });
  });
}

inline void askStatusOf(Simulation &S, int Host, int Node) {
  callInstance(
      S, Host, Node, S.m_Settings.m_ProbeTimeout,
      [&S, Node](FakeInstance &) { return statusOf(S, Node); },
      [&S, Host, Node](const StatusAnswer &A) {
        InstanceView Seen;
        Seen.m_Term = A.m_Term;
        Seen.m_IsPrimary = A.m_IsPrimary;
        Seen.m_LastPosition = Seen.m_AppliedPosition = A.m_LastPosition;
        Seen.m_ContactAge = A.m_ContactAge;
        Seen.m_LastSeenAt = Seen.m_AppliedAt = S.m_Now;
        mergeView(S.m_Hosts[Host].m_View, nameOf(Node), Seen);
        decide(S, Host, [&](FakeHost &H, const Group &G) {
          return handleStatusAnswer(H.m_Promotion, G, H.m_View, nameOf(Node), A, S.m_Now, S.m_Rng,
                                    S.m_Settings);
        });
      });
}

struct TermReply {
  bool m_Ok = false;
  uint64_t m_Term = 0;
  Position m_Last;
};

inline void sendFenceTo(Simulation &S, int Host, int Node, uint64_t Term) {
  std::string Proposer = std::to_string(Host) + "/" + std::to_string(S.m_Hosts[Host].m_Incarnation);
  callInstance(
      S, Host, Node, Millis(1000),
      [Term, Proposer](FakeInstance &I) {
        promise(I, Term, Proposer);
        bool Granted = I.m_Promised == Term && I.m_Proposer == Proposer;
        return TermReply{Granted, I.m_Promised, endOf(I.m_Log)};
      },
      [&S, Host, Node](TermReply R) {
        if (S.m_Options.m_Guard == Guard::ShorterLog)
          R.m_Last = {1000000 - R.m_Last.m_Term, 1000000 - R.m_Last.m_Index};
        decide(S, Host, [&](FakeHost &H, const Group &G) {
          return handleFenceAnswer(H.m_Promotion, G, nameOf(Node), R.m_Ok, R.m_Term, R.m_Last,
                                   S.m_Now, S.m_Rng, S.m_Settings);
        });
      });
}

inline void sendPromoteTo(Simulation &S, int Host, int Node, uint64_t Term) {
  std::string Proposer = std::to_string(Host) + "/" + std::to_string(S.m_Hosts[Host].m_Incarnation);
  callInstance(
      S, Host, Node, Millis(1000),
      [&S, Node, Term, Proposer](FakeInstance &I) {
        bool Granted = I.m_Promised == Term && I.m_Proposer == Proposer;
        if (Granted && !I.m_Primary)
          becomePrimary(S, Node);
        return TermReply{Granted, I.m_Promised, {}};
      },
      [&S, Host, Node](const TermReply &R) {
        decide(S, Host, [&](FakeHost &H, const Group &G) {
          return handlePromoteAnswer(H.m_Promotion, G, nameOf(Node), R.m_Ok, R.m_Term, S.m_Now,
                                     S.m_Rng, S.m_Settings);
        });
      });
}

inline void sendFollowTo(Simulation &S, int Host, int Node, int Primary, uint64_t Term) {
  callInstance(
      S, Host, Node, Millis(1000),
      [Term, Primary](FakeInstance &I) {
        promise(I, Term, "");
        if (I.m_Promised == Term && !I.m_Primary)
          I.m_Following = Primary;
        return 0;
      },
      [](int) {});
}

inline void perform(Simulation &S, int Host, const std::vector<PromotionAction> &Actions) {
  for (const PromotionAction &A : Actions) {
    if (const auto *Ask = std::get_if<QueryStatus>(&A))
      askStatusOf(S, Host, numberOf(Ask->m_Instance));
    else if (const auto *Fence = std::get_if<SendFence>(&A))
      sendFenceTo(S, Host, numberOf(Fence->m_Instance), Fence->m_Term);
    else if (const auto *Promote = std::get_if<SendPromote>(&A))
      sendPromoteTo(S, Host, numberOf(Promote->m_Instance), Promote->m_Term);
    else if (const auto *Follow = std::get_if<SendFollow>(&A))
      sendFollowTo(S, Host, numberOf(Follow->m_Instance), numberOf(Follow->m_Primary),
                   Follow->m_Term);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Timers and faults
//-----------------------------------------------------------------------------

inline void repeatEvery(Simulation &S, Duration Interval, const std::function<void()> &Run) {
  runAfter(S, Interval, [&S, Interval, Run] {
    Run();
    repeatEvery(S, Interval, Run);
  });
}

inline int findPrimary(const Simulation &S) {
  int Best = -1;
  for (int N = 0; N < static_cast<int>(S.m_Instances.size()); ++N)
    if (S.m_Instances[N].m_Primary &&
        (Best < 0 || S.m_Instances[N].m_Promised > S.m_Instances[Best].m_Promised))
      Best = N;
  return Best;
}

inline std::unique_ptr<Simulation> makeSimulation(const Options &O, uint64_t Seed) {
  auto Made = std::make_unique<Simulation>();
  Simulation &S = *Made;
  S.m_Options = O;
  S.m_Rng.seed(Seed);
  S.m_Group.m_Name = "orders";
  S.m_Instances.resize(O.m_Instances);
  S.m_Hosts.resize(O.m_Hosts);
  for (int N = 0; N < O.m_Instances; ++N) {
    S.m_Group.m_Instances.emplace_back().m_Id = nameOf(N);
    S.m_Instances[N].m_Contact = S.m_Now;
  }
  FakeInstance &First = S.m_Instances[0];
  First.m_Primary = true;
  First.m_Following = -1;
  First.m_Matched.assign(O.m_Instances, 0);
  First.m_Confirmed.assign(O.m_Instances, S.m_Now);
  S.m_PrimaryOf[1] = 0;
  for (int N = 0; N < O.m_Instances; ++N)
    repeatEvery(S, Millis(20), [&S, N] {
      if (S.m_Instances[N].m_Primary && S.m_Instances[N].m_FrozenUntil <= S.m_Now)
        replicate(S, N);
    });
  for (int Host = 0; Host < O.m_Hosts; ++Host) {
    repeatEvery(S, Millis(50), [&S, Host] {
      for (int N = 0; N < static_cast<int>(S.m_Instances.size()); ++N)
        askStatusOf(S, Host, N);
    });
    repeatEvery(S, Millis(10), [&S, Host] {
      decide(S, Host, [&](FakeHost &H, const Group &G) {
        return tickPromotion(H.m_Promotion, G, H.m_View, static_cast<uint32_t>(Host), S.m_Now,
                             S.m_Rng, S.m_Settings);
      });
    });
  }
  // Callers write through the view of any host, or at whoever still takes itself for the primary.
  repeatEvery(S, O.m_WriteEvery, [&S] {
    int Host = drawNumber(S, 0, static_cast<int>(S.m_Hosts.size()) - 1);
    std::string Name = S.m_Hosts[Host].m_View.m_Primary;
    int Node = Name.empty() ? -1 : numberOf(Name);
    if (drawChance(S, 0.3))
      Node = drawNumber(S, 0, static_cast<int>(S.m_Instances.size()) - 1);
    if (Node < 0)
      return;
    uint64_t Write = S.m_NextWrite++;
    sendMessage(S, HostBase + Host, Node, [&S, Node, Write] { takeWrite(S, Node, Write); });
  });
  return Made;
}

inline void runUntil(Simulation &S, TimePoint Until) {
  while (!S.m_Events.empty() && S.m_Events.top().m_At <= Until) {
    auto Next = S.m_Events.top();
    S.m_Events.pop();
    S.m_Now = Next.m_At;
    Next.m_Run();
  }
  S.m_Now = Until;
}

} // namespace quetzalpaddle::sim

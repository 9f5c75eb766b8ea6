// Gap in service when a primary is killed, frozen or cut off, at the rope works' sizes.
//
// Writers are open loop: a write's latency counts from its intended start, so that a write that
// waits because others hang is counted too. The gap of a group is the time from the intended start
// of the first write that failed or took over 100 ms to the first acknowledgement after the longest
// time without any. Each run starts a system with the platform up, one with the platform down and
// one with random promotion order, and breaks the primary of each of its three groups in turn.
#include "report.h"
#include "system.h"

#include "host.h"

#include <fmt/core.h>

#include <algorithm>
#include <ranges>
#include <thread>

using namespace quetzalpaddle;

namespace {

constexpr Millis WriteInterval{5}; // of each group
constexpr Millis LateAfter{100};
constexpr Millis PauseLength{300};
constexpr Millis SamplingInterval{5};
constexpr double ReachMs = 1000;
constexpr std::chrono::seconds WarmUpLimit{15};
constexpr std::chrono::seconds RecoveryLimit{10};
constexpr uint32_t Rows = 32;

enum class Fault { Kill, Freeze, Cut };

std::string_view faultName(Fault F) {
  constexpr std::array<std::string_view, 3> Names = {"killed", "frozen", "cut off"};
  return Names.at(static_cast<size_t>(F));
}

struct Variant {
  std::string m_Name;
  bool m_PlatformDown = false;
  bool m_RandomOrder = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Writers
//-----------------------------------------------------------------------------

struct WriteSample {
  TimePoint m_Intended{};
  TimePoint m_Answered{};
  AnswerClass m_Class = AnswerClass::Unknown;
  Reason m_Reason = Reason::None;
};

struct GroupWrites {
  History m_History;
  std::vector<WriteSample> m_Samples; // guarded by m_Lock of the writers
};

struct Writers {
  explicit Writers(TestSystem &S) : m_System(S) {}

  TestSystem &m_System;
  std::vector<Host *> m_Hosts;
  std::map<std::string, GroupWrites> m_Groups;
  std::mutex m_Lock;
  std::atomic<bool> m_Stopping = false;
  std::atomic<size_t> m_Open = 0;
  Random m_Rng;
  uint64_t m_Next = 1;
  std::thread m_Pacer;
};

void takeAnswer(Writers &W, const std::string &Group, HistoryEvent Event,
                const CallerAnswer &Answer) {
  Event.m_AnsweredAt = Clock::now();
  Event.m_Class = Answer.m_Class;
  if (!Answer.m_Rows.empty()) {
    Event.m_AnsweredRow = Answer.m_Rows[0].key();
    Event.m_Value = std::stoll(Answer.m_Rows[0].value());
  }
  GroupWrites &Writes = W.m_Groups.at(Group);
  {
    std::scoped_lock Locked(W.m_Lock);
    Writes.m_Samples.push_back(
        {Event.m_InvokedAt, Event.m_AnsweredAt, Answer.m_Class, Answer.m_Reason});
  }
  recordEvent(Writes.m_History, std::move(Event));
  --W.m_Open;
}

void sendWrite(Writers &W, const std::string &Group, TimePoint Intended) {
  const auto &Customers = W.m_System.m_Options.m_Customers;
  HistoryEvent Event;
  Event.m_Kind = HistoryKind::Add;
  Event.m_Session = W.m_Next++;
  Event.m_Customer = Customers[W.m_Rng() % Customers.size()].m_Id;
  Event.m_Row = fmt::format("row{}", W.m_Rng() % Rows);
  Event.m_RequestId = fmt::format("w{}", Event.m_Session);
  Event.m_InvokedAt = Intended;
  CallerRequest Request;
  Request.m_Kind = RequestKind::Write;
  Request.m_Route = Group;
  Request.m_KeyText = W.m_System.m_Keys.at(Event.m_Customer);
  Request.m_RequestId = Event.m_RequestId;
  Request.m_BodyHash = Event.m_Row;
  Request.m_Statements = {makeStatement(instance::OP_ADD, "counters", Event.m_Row, "1"),
                          makeStatement(instance::OP_INSERT, "requests", Event.m_RequestId, "1")};
  ++W.m_Open;
  handleRequest(*W.m_Hosts[W.m_Rng() % W.m_Hosts.size()], std::move(Request),
                [&W, Group, Event](const CallerAnswer &A) { takeAnswer(W, Group, Event, A); });
}

std::unique_ptr<Writers> startWriters(TestSystem &S, uint64_t Seed) {
  auto W = std::make_unique<Writers>(S);
  W->m_Rng.seed(Seed);
  for (TestHost &Each : S.m_Hosts)
    runOnControlThread(*Each.m_Running, [&](Host &H) { W->m_Hosts.push_back(&H); });
  for (const std::string &Name : S.m_Options.m_Groups)
    W->m_Groups[Name];
  W->m_Pacer = std::thread([W = W.get()] {
    TimePoint Due = Clock::now();
    while (!W->m_Stopping) {
      Due += WriteInterval;
      std::this_thread::sleep_until(Due);
      for (const std::string &Name : W->m_System.m_Options.m_Groups)
        sendWrite(*W, Name, Due);
    }
  });
  return W;
}

// Returns false if requests are still open after the longest time that a request may take.
bool stopWriters(Writers &W) {
  W.m_Stopping = true;
  W.m_Pacer.join();
  return waitUntil([&] { return W.m_Open == 0; }, std::chrono::seconds(15));
}

bool isLate(const WriteSample &Sample) {
  return Sample.m_Class != AnswerClass::Done || Sample.m_Answered - Sample.m_Intended > LateAfter;
}

// Waits until all writes of the last half second were answered in time.
bool warmUp(Writers &W) {
  constexpr Millis Window{500};
  TimePoint Start = Clock::now();
  return waitUntil(
      [&] {
        TimePoint Now = Clock::now();
        std::scoped_lock Locked(W.m_Lock);
        return Now - Start > 2 * Window &&
               std::ranges::all_of(W.m_Groups | std::views::values, [&](const GroupWrites &G) {
                 auto Recent = [&](const WriteSample &S) { return S.m_Intended > Now - Window; };
                 auto Late = [&](const WriteSample &S) { return Recent(S) && isLate(S); };
                 return std::ranges::any_of(G.m_Samples, Recent) &&
                        std::ranges::none_of(G.m_Samples, Late);
               });
      },
      WarmUpLimit);
}

//-----------------------------------------------------------------------------
// [SECTION] Observation of the hosts
//-----------------------------------------------------------------------------

struct Timeline {
  TimePoint m_Fault{};
  std::optional<TimePoint> m_Suspected; // first host that waits for its turn
  std::optional<TimePoint> m_Checking;  // first host whose turn has come
  std::vector<TimePoint> m_Learned;     // one for each host that knows the new primary
  std::optional<TimePoint> m_FenceBegun;
  std::optional<TimePoint> m_Promoted;
  size_t m_Promotions = 0;
};

void observeHost(Host &H, const std::string &Group, const std::string &Old, Timeline &T,
                 bool &Knows) {
  TimePoint Now = Clock::now();
  if (auto P = H.m_Promotions.find(Group); P != H.m_Promotions.end()) {
    if (P->second.m_Step >= PromotionStep::Waiting && !T.m_Suspected)
      T.m_Suspected = Now;
    if (P->second.m_Step >= PromotionStep::Checking && !T.m_Checking)
      T.m_Checking = Now;
  }
  const GroupView &View = H.m_Views[Group];
  if (!Knows && !View.m_Primary.empty() && View.m_Primary != Old) {
    Knows = true;
    T.m_Learned.push_back(Now);
  }
}

// Samples all hosts until each knows the new primary. Returns false at the limit.
bool observeRecovery(TestSystem &S, const std::string &Group, const std::string &Old, Timeline &T) {
  std::vector<char> Knows(S.m_Hosts.size(), 0);
  TimePoint End = T.m_Fault + RecoveryLimit;
  while (T.m_Learned.size() < S.m_Hosts.size() && Clock::now() < End) {
    for (size_t Number = 0; Number < S.m_Hosts.size(); ++Number)
      runOnControlThread(*S.m_Hosts[Number].m_Running, [&](Host &H) {
        bool Knew = Knows[Number] != 0;
        observeHost(H, Group, Old, T, Knew);
        Knows[Number] = Knew ? 1 : 0;
      });
    std::this_thread::sleep_for(SamplingInterval);
  }
  return T.m_Learned.size() == S.m_Hosts.size();
}

// Takes the promotions since the fault from the histories of all hosts.
void readPromotions(TestSystem &S, const std::string &Group, Timeline &T) {
  for (TestHost &Each : S.m_Hosts)
    runOnControlThread(*Each.m_Running, [&](Host &H) {
      auto Offset =
          std::chrono::system_clock::now().time_since_epoch() - Clock::now().time_since_epoch();
      for (const PromotionRecord &R : listPromotions(H)) {
        TimePoint At(
            std::chrono::duration_cast<Duration>(R.m_PromotedAt.time_since_epoch() - Offset));
        if (R.m_Group != Group || At < T.m_Fault)
          continue;
        ++T.m_Promotions;
        if (T.m_Promoted && *T.m_Promoted <= At)
          continue;
        T.m_Promoted = At;
        T.m_FenceBegun = At - R.m_Duration;
      }
    });
}

uint64_t countPromotions(TestSystem &S, const std::string &Group) {
  Timeline T;
  readPromotions(S, Group, T);
  return T.m_Promotions;
}

//-----------------------------------------------------------------------------
// [SECTION] One run
//-----------------------------------------------------------------------------

struct Run {
  BenchReport &m_Report;
  uint64_t m_Seed = 1;
  bool m_Correct = true;
};

void fail(Run &R, const std::string &What) {
  fmt::print(stderr, "seed {}: {}\n", R.m_Seed, What);
  R.m_Correct = false;
}

SystemOptions makeOptions(const Variant &V) {
  SystemOptions Options;
  Options.m_DataCentres = 4;
  Options.m_HostCounts = {4, 4, 3, 3};
  Options.m_Groups = {"g1", "g2", "g3"};
  Options.m_InstanceOptions.m_SlotCount = 5;
  Options.m_InstanceOptions.m_ConnectionLimit = 65;
  Options.m_InstanceOptions.m_ConnectDelay = Millis(10);
  Options.m_InstanceOptions.m_StatementDuration = std::chrono::microseconds(500);
  Options.m_Customers.clear();
  for (int Number = 1; Number <= 8; ++Number)
    Options.m_Customers.push_back({fmt::format("customer{}", Number), 20000, 5000});
  if (V.m_RandomOrder)
    Options.m_Settings.m_Failover.m_MaxRandomDelay = Millis(1000);
  return Options;
}

void applyFault(TestSystem &S, const std::string &Group, const std::string &Id, Fault F, bool On) {
  standin::FaultRequest Request;
  switch (F) {
  case Fault::Kill:
    if (On)
      std::erase_if(S.m_Groups.at(Group), [&](const auto &I) { return instanceId(*I) == Id; });
    return;
  case Fault::Freeze:
    Request.set_freeze(On);
    break;
  case Fault::Cut:
    Request.set_cut_hosts(On);
    Request.set_cut_peers(On);
    break;
  }
  setFaults(getInstance(S, Group, Id), Request);
}

double toMs(Duration D) { return std::chrono::duration<double, std::milli>(D).count(); }

struct Gap {
  TimePoint m_From{}; // intended start of the first write that failed, but for refusals by rate, or
                      // was late
  TimePoint m_To{};   // first acknowledgement after the longest time without one
  TimePoint m_LateUntil{};
  std::map<Reason, size_t> m_Failed;
};

std::optional<Gap> findGap(std::vector<WriteSample> Samples, TimePoint Fault, TimePoint End) {
  std::erase_if(Samples, [&](const WriteSample &Sample) {
    return Sample.m_Intended < Fault - LateAfter || Sample.m_Intended > End;
  });
  Gap Found;
  Found.m_From = End;
  std::vector<TimePoint> Acks;
  for (const WriteSample &Sample : Samples) {
    if (Sample.m_Class == AnswerClass::Done)
      Acks.push_back(Sample.m_Answered);
    else
      ++Found.m_Failed[Sample.m_Reason];
    if (!isLate(Sample) || Sample.m_Reason == Reason::RateLimited)
      continue;
    Found.m_From = std::min(Found.m_From, Sample.m_Intended);
    Found.m_LateUntil = std::max(Found.m_LateUntil, Sample.m_Answered);
  }
  std::ranges::sort(Acks);
  Duration Longest{};
  for (size_t Number = 1; Number < Acks.size(); ++Number)
    if (Acks[Number] - Acks[Number - 1] > Longest) {
      Longest = Acks[Number] - Acks[Number - 1];
      Found.m_To = Acks[Number];
    }
  if (Found.m_From == End || Found.m_To <= Found.m_From)
    return {};
  return Found;
}

void addParts(Run &R, const Variant &V, Timeline &T, const Gap &G) {
  auto Add = [&](const std::string &Part, Duration Took) {
    addSample(R.m_Report, fmt::format("part, {}: {}", V.m_Name, Part), R.m_Seed, toMs(Took));
  };
  if (!T.m_Promoted || !T.m_Suspected || !T.m_Checking)
    return;
  Add("1 fault to suspicion", *T.m_Suspected - T.m_Fault);
  Add("2 suspicion to turn", *T.m_Checking - *T.m_Suspected);
  Add("3 check", std::max(Duration{}, *T.m_FenceBegun - *T.m_Checking));
  Add("4 fence and promote", *T.m_Promoted - *T.m_FenceBegun);
  Add("5 first acknowledgement", G.m_To - *T.m_Promoted);
  std::ranges::sort(T.m_Learned);
  Add("half of the hosts know", T.m_Learned[T.m_Learned.size() / 2] - *T.m_Promoted);
  Add("all hosts know", T.m_Learned.back() - *T.m_Promoted);
}

void runFault(Run &R, const Variant &V, TestSystem &S, Writers &W, const std::string &Group,
              Fault F) {
  std::string Old = findPrimary(S, Group);
  Timeline T;
  T.m_Fault = Clock::now();
  applyFault(S, Group, Old, F, true);
  std::string What = fmt::format("{}, {}, {}", V.m_Name, Group, faultName(F));
  if (!observeRecovery(S, Group, Old, T))
    fail(R, What + ": not every host knows a new primary");
  std::this_thread::sleep_for(Millis(500));
  TimePoint End = Clock::now();
  readPromotions(S, Group, T);
  std::vector<WriteSample> Samples;
  // The last writes of the time span are still to be answered.
  std::this_thread::sleep_for(Millis(200));
  {
    std::scoped_lock Locked(W.m_Lock);
    Samples = W.m_Groups.at(Group).m_Samples;
  }
  applyFault(S, Group, Old, F, false);
  auto Found = findGap(std::move(Samples), T.m_Fault, End);
  if (!Found || T.m_Learned.empty()) {
    fail(R, What + ": no gap found");
    return;
  }
  std::optional<double> Reach;
  if (!V.m_RandomOrder)
    Reach = ReachMs;
  double Length = toMs(Found->m_To - Found->m_From);
  addSample(R.m_Report, fmt::format("gap, {}, all faults", V.m_Name), R.m_Seed, Length, Reach);
  addSample(R.m_Report, fmt::format("gap, {}, {}", V.m_Name, faultName(F)), R.m_Seed, Length,
            Reach);
  addSample(R.m_Report, fmt::format("last late write answered, {}", V.m_Name), R.m_Seed,
            toMs(Found->m_LateUntil - Found->m_From));
  size_t Failed = 0;
  for (const auto &[Why, Count] : Found->m_Failed) {
    if (Why != Reason::RateLimited)
      Failed += Count;
    fmt::print(stderr, "seed {}: {}: {} writes failed, {}\n", R.m_Seed, What, Count,
               reasonName(Why));
  }
  addSample(R.m_Report, fmt::format("failed writes per fault, {}", V.m_Name), R.m_Seed,
            static_cast<double>(Failed), {}, "writes");
  addSample(R.m_Report, fmt::format("rate_limited although within rate, {}", V.m_Name), R.m_Seed,
            static_cast<double>(Found->m_Failed[Reason::RateLimited]), {}, "writes");
  addSample(R.m_Report, fmt::format("promotions per fault, {}", V.m_Name), R.m_Seed,
            static_cast<double>(T.m_Promotions), {}, "promotions");
  addParts(R, V, T, *Found);
}

// Freezes the primaries for a time that must not cause a promotion.
void runPause(Run &R, const Variant &V, TestSystem &S, const std::string &Group) {
  std::string Old = findPrimary(S, Group);
  uint64_t Before = countPromotions(S, Group);
  applyFault(S, Group, Old, Fault::Freeze, true);
  std::this_thread::sleep_for(PauseLength);
  applyFault(S, Group, Old, Fault::Freeze, false);
  std::this_thread::sleep_for(Millis(600));
  uint64_t Promotions = countPromotions(S, Group) - Before;
  addSample(R.m_Report, fmt::format("promotions after a pause of 300 ms, {}", V.m_Name), R.m_Seed,
            static_cast<double>(Promotions), 1, "promotions");
}

void checkRun(Run &R, const Variant &V, TestSystem &S, Writers &W) {
  for (auto &[Name, Writes] : W.m_Groups)
    for (const Violation &Found :
         checkHistory(Writes.m_History, readFinalState(S, Name), std::chrono::seconds(5)))
      fail(R, fmt::format("{}, {}: {}: {}", V.m_Name, Name, ruleName(Found.m_Rule),
                          Found.m_Description));
}

void runVariant(Run &R, const Variant &V) {
  auto S = startSystem(makeOptions(V));
  if (!S) {
    fail(R, V.m_Name + ": the system does not start");
    return;
  }
  auto W = startWriters(*S, R.m_Seed);
  if (!warmUp(*W))
    fail(R, V.m_Name + ": writes are not answered in time before the fault");
  if (V.m_PlatformDown) {
    standin::FaultRequest Down;
    Down.set_down(true);
    setFaults(*S->m_Platform, Down);
    std::this_thread::sleep_for(Millis(1000));
  }
  const std::vector<std::string> &Groups = S->m_Options.m_Groups;
  if (!V.m_RandomOrder)
    runPause(R, V, *S, Groups[R.m_Seed % Groups.size()]);
  for (size_t Number = 0; Number < Groups.size(); ++Number)
    runFault(R, V, *S, *W, Groups[Number], static_cast<Fault>((Number + R.m_Seed) % Groups.size()));
  if (!stopWriters(*W))
    fail(R, V.m_Name + ": writes were never answered");
  checkRun(R, V, *S, *W);
  S.reset(); // before the writers, whose answers may still be on the way
}

} // namespace

int main(int Count, char **Arguments) {
  auto Options = parseBenchOptions(Count, Arguments);
  if (!Options)
    return 2;
  BenchReport Report{"failover", joinArguments(Count, Arguments), {}};
  std::vector<Variant> Variants = {{"platform up", false, false},
                                   {"platform down", true, false},
                                   {"baseline random order", false, true}};
  if (Options->m_Smoke)
    Variants.resize(1);
  bool Correct = true;
  for (uint32_t Number = 0; Number < Options->m_Runs; ++Number) {
    Run R{Report, Options->m_Seed + Number, true};
    for (const Variant &V : Variants)
      runVariant(R, V);
    Correct = Correct && R.m_Correct;
  }
  bool Written = finishReport(Report, *Options);
  return Correct && Written ? 0 : 1;
}

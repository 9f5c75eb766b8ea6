// Measures the gap in service when a primary is killed, frozen or cut off, at the sizes of the rope
// works deployment.
//
// The write load is open-loop: the latency of a write counts from its intended start, which
// includes the time that it waits behind writes that hang. The gap of a group lasts from the
// intended start of the first write that failed or took over 100 ms to the first acknowledgement
// after the longest interval without one. Each run starts a system with the platform up, one with
// the platform down and one with random promotion order, and injects a fault into the primary of
// each of its three groups in turn.
#include "report.h"
#include "system.h"

#include "host.h"

#include <fmt/core.h>

#include <algorithm>
#include <ranges>
#include <thread>

using namespace quetzalpaddle;

namespace {

constexpr Millis WriteInterval{5}; // per group
constexpr Millis LateThreshold{100};
constexpr Millis PauseDuration{300};
constexpr Millis SamplingInterval{5};
constexpr double TargetMs = 1000;
constexpr std::chrono::seconds WarmUpLimit{15};
constexpr std::chrono::seconds RecoveryLimit{10};
constexpr uint32_t RowCount = 32;

enum class Fault { Kill, Freeze, Cut };

std::string_view faultName(Fault InjectedFault) {
  constexpr std::array<std::string_view, 3> Names = {"killed", "frozen", "cut off"};
  return Names.at(static_cast<size_t>(InjectedFault));
}

struct BenchVariant {
  std::string m_Name;
  bool m_IsPlatformDown = false;
  bool m_HasRandomOrder = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Write load
//-----------------------------------------------------------------------------

struct WriteSample {
  TimePoint m_IntendedAt{};
  TimePoint m_AnsweredAt{};
  AnswerClass m_Class = AnswerClass::Unknown;
  Reason m_Reason = Reason::None;
};

struct GroupWrites {
  History m_History;
  std::vector<WriteSample> m_Samples; // guarded by WriteLoad::m_Lock
};

struct WriteLoad {
  explicit WriteLoad(TestSystem &System) : m_System(System) {}

  TestSystem &m_System;
  std::vector<Host *> m_Hosts;
  std::map<std::string, GroupWrites> m_Groups;
  std::mutex m_Lock;
  std::atomic<bool> m_IsStopping = false;
  std::atomic<size_t> m_OpenRequestCount = 0;
  Random m_Rng;
  uint64_t m_NextSession = 1;
  std::thread m_PacingThread;
};

void recordAnswer(WriteLoad &Load, const std::string &Group, HistoryEvent Event,
                  const CallerAnswer &Answer) {
  Event.m_AnsweredAt = Clock::now();
  Event.m_Class = Answer.m_Class;
  if (!Answer.m_Rows.empty()) {
    Event.m_AnsweredRow = Answer.m_Rows[0].key();
    Event.m_Value = std::stoll(Answer.m_Rows[0].value());
  }
  GroupWrites &Writes = Load.m_Groups.at(Group);
  {
    std::scoped_lock Locked(Load.m_Lock);
    Writes.m_Samples.push_back(
        {Event.m_InvokedAt, Event.m_AnsweredAt, Answer.m_Class, Answer.m_Reason});
  }
  recordEvent(Writes.m_History, std::move(Event));
  --Load.m_OpenRequestCount;
}

void sendWrite(WriteLoad &Load, const std::string &Group, TimePoint IntendedAt) {
  const auto &Customers = Load.m_System.m_Options.m_Customers;
  HistoryEvent Event;
  Event.m_Kind = HistoryKind::Add;
  Event.m_Session = Load.m_NextSession++;
  Event.m_Customer = Customers[Load.m_Rng() % Customers.size()].m_Id;
  Event.m_Row = fmt::format("row{}", Load.m_Rng() % RowCount);
  Event.m_RequestId = fmt::format("w{}", Event.m_Session);
  Event.m_InvokedAt = IntendedAt;
  CallerRequest Request;
  Request.m_Kind = RequestKind::Write;
  Request.m_Route = Group;
  Request.m_KeyText = Load.m_System.m_Keys.at(Event.m_Customer);
  Request.m_RequestId = Event.m_RequestId;
  Request.m_BodyHash = Event.m_Row;
  Request.m_Statements = {makeStatement(instance::OP_ADD, "counters", Event.m_Row, "1"),
                          makeStatement(instance::OP_INSERT, "requests", Event.m_RequestId, "1")};
  ++Load.m_OpenRequestCount;
  handleRequest(*Load.m_Hosts[Load.m_Rng() % Load.m_Hosts.size()], std::move(Request),
                [&Load, Group, Event](const CallerAnswer &Answer) {
                  recordAnswer(Load, Group, Event, Answer);
                });
}

std::unique_ptr<WriteLoad> startWriteLoad(TestSystem &System, uint64_t Seed) {
  auto Load = std::make_unique<WriteLoad>(System);
  Load->m_Rng.seed(Seed);
  for (TestHost &Each : System.m_Hosts)
    runOnControlThread(*Each.m_Running, [&](Host &H) { Load->m_Hosts.push_back(&H); });
  for (const std::string &Name : System.m_Options.m_Groups)
    Load->m_Groups[Name];
  Load->m_PacingThread = std::thread([Load = Load.get()] {
    TimePoint IntendedAt = Clock::now();
    while (!Load->m_IsStopping) {
      IntendedAt += WriteInterval;
      std::this_thread::sleep_until(IntendedAt);
      for (const std::string &Name : Load->m_System.m_Options.m_Groups)
        sendWrite(*Load, Name, IntendedAt);
    }
  });
  return Load;
}

// Returns false if requests are unanswered after the longest time that a request may take.
bool stopWriteLoad(WriteLoad &Load) {
  Load.m_IsStopping = true;
  Load.m_PacingThread.join();
  return waitUntil([&] { return Load.m_OpenRequestCount == 0; }, std::chrono::seconds(15));
}

bool isLate(const WriteSample &Sample) {
  return Sample.m_Class != AnswerClass::Done ||
         Sample.m_AnsweredAt - Sample.m_IntendedAt > LateThreshold;
}

// Waits until all writes of the last half second were answered in time. Returns false after
// WarmUpLimit.
bool waitForTimelyWrites(WriteLoad &Load) {
  constexpr Millis Window{500};
  TimePoint Start = Clock::now();
  return waitUntil(
      [&] {
        TimePoint Now = Clock::now();
        std::scoped_lock Locked(Load.m_Lock);
        return Now - Start > 2 * Window &&
               std::ranges::all_of(Load.m_Groups | std::views::values,
                                   [&](const GroupWrites &Writes) {
                                     auto IsRecent = [&](const WriteSample &Sample) {
                                       return Sample.m_IntendedAt > Now - Window;
                                     };
                                     auto IsRecentAndLate = [&](const WriteSample &Sample) {
                                       return IsRecent(Sample) && isLate(Sample);
                                     };
                                     return std::ranges::any_of(Writes.m_Samples, IsRecent) &&
                                            std::ranges::none_of(Writes.m_Samples, IsRecentAndLate);
                                   });
      },
      WarmUpLimit);
}

//-----------------------------------------------------------------------------
// [SECTION] Observation of the hosts
//-----------------------------------------------------------------------------

struct RecoveryTimeline {
  TimePoint m_FaultAt{};
  std::optional<TimePoint> m_SuspectedAt; // first host that waits for its turn to promote
  std::optional<TimePoint> m_CheckingAt;  // first host that checks the group in its turn
  std::vector<TimePoint> m_LearnedAt;     // one for each host that knows the new primary
  std::optional<TimePoint> m_FenceStartedAt;
  std::optional<TimePoint> m_PrimaryPromotedAt;
  size_t m_PromotionCount = 0;
};

void observeHost(Host &H, const std::string &Group, const std::string &OldPrimary,
                 RecoveryTimeline &Timeline, bool &KnowsPrimary) {
  TimePoint Now = Clock::now();
  if (auto Found = H.m_Promotions.find(Group); Found != H.m_Promotions.end()) {
    if (Found->second.m_Step >= PromotionStep::Waiting && !Timeline.m_SuspectedAt)
      Timeline.m_SuspectedAt = Now;
    if (Found->second.m_Step >= PromotionStep::Checking && !Timeline.m_CheckingAt)
      Timeline.m_CheckingAt = Now;
  }
  const GroupView &View = H.m_Views[Group];
  if (!KnowsPrimary && !View.m_Primary.empty() && View.m_Primary != OldPrimary) {
    KnowsPrimary = true;
    Timeline.m_LearnedAt.push_back(Now);
  }
}

// Polls all hosts until each knows the new primary. Returns false after RecoveryLimit.
bool observeRecovery(TestSystem &System, const std::string &Group, const std::string &OldPrimary,
                     RecoveryTimeline &Timeline) {
  std::vector<char> KnowsPrimary(System.m_Hosts.size(), 0);
  TimePoint Deadline = Timeline.m_FaultAt + RecoveryLimit;
  while (Timeline.m_LearnedAt.size() < System.m_Hosts.size() && Clock::now() < Deadline) {
    for (size_t HostIndex = 0; HostIndex < System.m_Hosts.size(); ++HostIndex)
      runOnControlThread(*System.m_Hosts[HostIndex].m_Running, [&](Host &H) {
        bool HostKnowsPrimary = KnowsPrimary[HostIndex] != 0;
        observeHost(H, Group, OldPrimary, Timeline, HostKnowsPrimary);
        KnowsPrimary[HostIndex] = HostKnowsPrimary ? 1 : 0;
      });
    std::this_thread::sleep_for(SamplingInterval);
  }
  return Timeline.m_LearnedAt.size() == System.m_Hosts.size();
}

// Counts the promotions since the fault in the histories of all hosts, and keeps the times of the
// first.
void readPromotions(TestSystem &System, const std::string &Group, RecoveryTimeline &Timeline) {
  for (TestHost &Each : System.m_Hosts)
    runOnControlThread(*Each.m_Running, [&](Host &H) {
      auto ClockOffset =
          std::chrono::system_clock::now().time_since_epoch() - Clock::now().time_since_epoch();
      for (const PromotionRecord &Record : listPromotions(H)) {
        TimePoint PromotedAt(std::chrono::duration_cast<Duration>(
            Record.m_PromotedAt.time_since_epoch() - ClockOffset));
        if (Record.m_Group != Group || PromotedAt < Timeline.m_FaultAt)
          continue;
        ++Timeline.m_PromotionCount;
        if (Timeline.m_PrimaryPromotedAt && *Timeline.m_PrimaryPromotedAt <= PromotedAt)
          continue;
        Timeline.m_PrimaryPromotedAt = PromotedAt;
        Timeline.m_FenceStartedAt = PromotedAt - Record.m_Duration;
      }
    });
}

uint64_t countPromotions(TestSystem &System, const std::string &Group) {
  RecoveryTimeline Timeline;
  readPromotions(System, Group, Timeline);
  return Timeline.m_PromotionCount;
}

//-----------------------------------------------------------------------------
// [SECTION] One run
//-----------------------------------------------------------------------------

struct BenchRun {
  BenchReport &m_Report;
  uint64_t m_Seed = 1;
  bool m_HasPassed = true;
};

void recordFailure(BenchRun &Run, const std::string &Message) {
  fmt::print(stderr, "seed {}: {}\n", Run.m_Seed, Message);
  Run.m_HasPassed = false;
}

SystemOptions makeOptions(const BenchVariant &Variant) {
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
  if (Variant.m_HasRandomOrder)
    Options.m_Settings.m_Failover.m_MaxRandomDelay = Millis(1000);
  return Options;
}

void applyFault(TestSystem &System, const std::string &Group, const std::string &InstanceId,
                Fault InjectedFault, bool IsActive) {
  standin::FaultRequest Request;
  switch (InjectedFault) {
  case Fault::Kill:
    if (IsActive)
      std::erase_if(System.m_Groups.at(Group),
                    [&](const auto &I) { return instanceId(*I) == InstanceId; });
    return;
  case Fault::Freeze:
    Request.set_freeze(IsActive);
    break;
  case Fault::Cut:
    Request.set_cut_hosts(IsActive);
    Request.set_cut_peers(IsActive);
    break;
  }
  setFaults(getInstance(System, Group, InstanceId), Request);
}

double toMs(Duration D) { return std::chrono::duration<double, std::milli>(D).count(); }

struct Gap {
  TimePoint m_StartAt{}; // intended start of the first write that failed or was late, without
                         // rate-limited ones
  TimePoint m_EndAt{};   // first acknowledgement after the longest interval without one
  TimePoint m_LastLateAnswerAt{};
  std::map<Reason, size_t> m_FailedCounts;
};

std::optional<Gap> findGap(std::vector<WriteSample> Samples, TimePoint FaultAt, TimePoint EndAt) {
  std::erase_if(Samples, [&](const WriteSample &Sample) {
    return Sample.m_IntendedAt < FaultAt - LateThreshold || Sample.m_IntendedAt > EndAt;
  });
  Gap Result;
  Result.m_StartAt = EndAt;
  std::vector<TimePoint> AckTimes;
  for (const WriteSample &Sample : Samples) {
    if (Sample.m_Class == AnswerClass::Done)
      AckTimes.push_back(Sample.m_AnsweredAt);
    else
      ++Result.m_FailedCounts[Sample.m_Reason];
    if (!isLate(Sample) || Sample.m_Reason == Reason::RateLimited)
      continue;
    Result.m_StartAt = std::min(Result.m_StartAt, Sample.m_IntendedAt);
    Result.m_LastLateAnswerAt = std::max(Result.m_LastLateAnswerAt, Sample.m_AnsweredAt);
  }
  std::ranges::sort(AckTimes);
  Duration LongestPause{};
  for (size_t Index = 1; Index < AckTimes.size(); ++Index)
    if (AckTimes[Index] - AckTimes[Index - 1] > LongestPause) {
      LongestPause = AckTimes[Index] - AckTimes[Index - 1];
      Result.m_EndAt = AckTimes[Index];
    }
  if (Result.m_StartAt == EndAt || Result.m_EndAt <= Result.m_StartAt)
    return {};
  return Result;
}

void addPhaseSamples(BenchRun &Run, const BenchVariant &Variant, RecoveryTimeline &Timeline,
                     const Gap &ServiceGap) {
  auto AddPhase = [&](const std::string &Phase, Duration PhaseDuration) {
    addSample(Run.m_Report, fmt::format("part, {}: {}", Variant.m_Name, Phase), Run.m_Seed,
              toMs(PhaseDuration));
  };
  if (!Timeline.m_PrimaryPromotedAt || !Timeline.m_SuspectedAt || !Timeline.m_CheckingAt)
    return;
  AddPhase("1 fault to suspicion", *Timeline.m_SuspectedAt - Timeline.m_FaultAt);
  AddPhase("2 suspicion to turn", *Timeline.m_CheckingAt - *Timeline.m_SuspectedAt);
  AddPhase("3 check", std::max(Duration{}, *Timeline.m_FenceStartedAt - *Timeline.m_CheckingAt));
  AddPhase("4 fence and promote", *Timeline.m_PrimaryPromotedAt - *Timeline.m_FenceStartedAt);
  AddPhase("5 first acknowledgement", ServiceGap.m_EndAt - *Timeline.m_PrimaryPromotedAt);
  std::ranges::sort(Timeline.m_LearnedAt);
  AddPhase("half of the hosts know",
           Timeline.m_LearnedAt[Timeline.m_LearnedAt.size() / 2] - *Timeline.m_PrimaryPromotedAt);
  AddPhase("all hosts know", Timeline.m_LearnedAt.back() - *Timeline.m_PrimaryPromotedAt);
}

void runFault(BenchRun &Run, const BenchVariant &Variant, TestSystem &System, WriteLoad &Load,
              const std::string &Group, Fault InjectedFault) {
  std::string OldPrimary = findPrimary(System, Group);
  RecoveryTimeline Timeline;
  Timeline.m_FaultAt = Clock::now();
  applyFault(System, Group, OldPrimary, InjectedFault, true);
  std::string Description =
      fmt::format("{}, {}, {}", Variant.m_Name, Group, faultName(InjectedFault));
  if (!observeRecovery(System, Group, OldPrimary, Timeline))
    recordFailure(Run, Description + ": not every host knows the new primary in time");
  std::this_thread::sleep_for(Millis(500));
  TimePoint EndAt = Clock::now();
  readPromotions(System, Group, Timeline);
  std::vector<WriteSample> Samples;
  // Leaves time for the answers to the last writes before EndAt.
  std::this_thread::sleep_for(Millis(200));
  {
    std::scoped_lock Locked(Load.m_Lock);
    Samples = Load.m_Groups.at(Group).m_Samples;
  }
  applyFault(System, Group, OldPrimary, InjectedFault, false);
  auto Found = findGap(std::move(Samples), Timeline.m_FaultAt, EndAt);
  if (!Found || Timeline.m_LearnedAt.empty()) {
    recordFailure(Run, Description + ": no gap between acknowledgements found");
    return;
  }
  std::optional<double> Target;
  if (!Variant.m_HasRandomOrder)
    Target = TargetMs;
  double GapMs = toMs(Found->m_EndAt - Found->m_StartAt);
  addSample(Run.m_Report, fmt::format("gap, {}, all faults", Variant.m_Name), Run.m_Seed, GapMs,
            Target);
  addSample(Run.m_Report, fmt::format("gap, {}, {}", Variant.m_Name, faultName(InjectedFault)),
            Run.m_Seed, GapMs, Target);
  addSample(Run.m_Report, fmt::format("last late write answered, {}", Variant.m_Name), Run.m_Seed,
            toMs(Found->m_LastLateAnswerAt - Found->m_StartAt));
  size_t FailedCount = 0;
  for (const auto &[RefusalReason, Count] : Found->m_FailedCounts) {
    if (RefusalReason != Reason::RateLimited)
      FailedCount += Count;
    fmt::print(stderr, "seed {}: {}: {} writes failed, {}\n", Run.m_Seed, Description, Count,
               reasonName(RefusalReason));
  }
  addSample(Run.m_Report, fmt::format("failed writes per fault, {}", Variant.m_Name), Run.m_Seed,
            static_cast<double>(FailedCount), {}, "writes");
  addSample(Run.m_Report, fmt::format("rate_limited although within rate, {}", Variant.m_Name),
            Run.m_Seed, static_cast<double>(Found->m_FailedCounts[Reason::RateLimited]), {},
            "writes");
  addSample(Run.m_Report, fmt::format("promotions per fault, {}", Variant.m_Name), Run.m_Seed,
            static_cast<double>(Timeline.m_PromotionCount), {}, "promotions");
  addPhaseSamples(Run, Variant, Timeline, *Found);
}

// Freezes the primary for a time that must not cause a promotion.
void runPause(BenchRun &Run, const BenchVariant &Variant, TestSystem &System,
              const std::string &Group) {
  std::string OldPrimary = findPrimary(System, Group);
  uint64_t CountBefore = countPromotions(System, Group);
  applyFault(System, Group, OldPrimary, Fault::Freeze, true);
  std::this_thread::sleep_for(PauseDuration);
  applyFault(System, Group, OldPrimary, Fault::Freeze, false);
  std::this_thread::sleep_for(Millis(600));
  uint64_t NewPromotionCount = countPromotions(System, Group) - CountBefore;
  addSample(Run.m_Report, fmt::format("promotions after a pause of 300 ms, {}", Variant.m_Name),
            Run.m_Seed, static_cast<double>(NewPromotionCount), 1, "promotions");
}

void checkWriteHistory(BenchRun &Run, const BenchVariant &Variant, TestSystem &System,
                       WriteLoad &Load) {
  for (auto &[Name, Writes] : Load.m_Groups)
    for (const Violation &Found :
         checkHistory(Writes.m_History, readFinalState(System, Name), std::chrono::seconds(5)))
      recordFailure(Run, fmt::format("{}, {}: {}: {}", Variant.m_Name, Name, ruleName(Found.m_Rule),
                                     Found.m_Description));
}

void runVariant(BenchRun &Run, const BenchVariant &Variant) {
  auto System = startSystem(makeOptions(Variant));
  if (!System) {
    recordFailure(Run, Variant.m_Name + ": the system did not start");
    return;
  }
  auto Load = startWriteLoad(*System, Run.m_Seed);
  if (!waitForTimelyWrites(*Load))
    recordFailure(Run, Variant.m_Name + ": writes were not answered in time before the fault");
  if (Variant.m_IsPlatformDown) {
    standin::FaultRequest DownRequest;
    DownRequest.set_down(true);
    setFaults(*System->m_Platform, DownRequest);
    std::this_thread::sleep_for(Millis(1000));
  }
  const std::vector<std::string> &Groups = System->m_Options.m_Groups;
  if (!Variant.m_HasRandomOrder)
    runPause(Run, Variant, *System, Groups[Run.m_Seed % Groups.size()]);
  for (size_t GroupIndex = 0; GroupIndex < Groups.size(); ++GroupIndex)
    runFault(Run, Variant, *System, *Load, Groups[GroupIndex],
             static_cast<Fault>((GroupIndex + Run.m_Seed) % Groups.size()));
  if (!stopWriteLoad(*Load))
    recordFailure(Run, Variant.m_Name + ": some writes were not answered");
  checkWriteHistory(Run, Variant, *System, *Load);
  System.reset(); // stops before Load, to which late answers still refer
}

} // namespace

int main(int Count, char **Arguments) {
  auto Options = parseBenchOptions(Count, Arguments);
  if (!Options)
    return 2;
  BenchReport Report{"failover", joinArguments(Count, Arguments), {}};
  std::vector<BenchVariant> Variants = {{"platform up", false, false},
                                        {"platform down", true, false},
                                        {"baseline random order", false, true}};
  if (Options->m_Smoke)
    Variants.resize(1);
  bool HasPassed = true;
  for (uint32_t Index = 0; Index < Options->m_RunCount; ++Index) {
    BenchRun Run{Report, Options->m_Seed + Index, true};
    for (const BenchVariant &Variant : Variants)
      runVariant(Run, Variant);
    HasPassed = HasPassed && Run.m_HasPassed;
  }
  bool IsWritten = finishReport(Report, *Options);
  return HasPassed && IsWritten ? 0 : 1;
}

// Table of faults, and runs of the workload under them.
#include "faults.h"

#include "config_codec.h"
#include "host.h"

#include <fmt/core.h>

#include <algorithm>
#include <future>
#include <ranges>
#include <thread>

namespace quetzalpaddle {

namespace {

using std::chrono::seconds;
using Faults = standin::FaultRequest;

// Limits for "within seconds" in the invariants on withdrawn keys and on leaving endpoints.
constexpr seconds KeyGrace{5};
constexpr seconds LeaveGrace{3};
// Time limit for recovery after the faults are healed. Long, because the machine is shared.
constexpr seconds RecoveryTimeout{20};

void report(Scenario &S, std::string Problem) { S.m_Problems.push_back(std::move(Problem)); }

void setInstanceFaults(Scenario &S, const std::string &Id, const Faults &Change) {
  for (auto &Each : S.m_System->m_Groups["g1"])
    if (instanceId(*Each) == Id)
      setFaults(*Each, Change);
}

void setGroupFaults(Scenario &S, const Faults &Change) {
  for (auto &Each : S.m_System->m_Groups["g1"])
    setFaults(*Each, Change);
}

std::string choosePrimary(Scenario &S) {
  std::string Primary;
  if (!waitUntil([&] { return !(Primary = findPrimary(*S.m_System, "g1")).empty(); },
                 RecoveryTimeout))
    report(S, "no primary to inject the fault at");
  return Primary;
}

size_t chooseHost(Scenario &S) { return S.m_Rng() % S.m_System->m_Hosts.size(); }

// Returns a random running host other than Excluded.
size_t chooseLiveHost(Scenario &S, size_t Excluded) {
  size_t Number = chooseHost(S);
  while (Number == Excluded || !getHost(*S.m_System, Number))
    Number = (Number + 1) % S.m_System->m_Hosts.size();
  return Number;
}

// Returns the host with the most requests in progress: it dispatches to the primary and holds its
// transactions.
size_t chooseBusyHost(Scenario &S) {
  size_t Busiest = 0;
  uint32_t MaxInProgress = 0;
  for (size_t Number = 0; Number < S.m_System->m_Hosts.size(); ++Number)
    if (auto Running = getHost(*S.m_System, Number))
      runOnControlThread(*Running, [&](const Host &H) {
        if (countInProgress(H) > MaxInProgress) {
          MaxInProgress = countInProgress(H);
          Busiest = Number;
        }
      });
  return getHost(*S.m_System, Busiest) ? Busiest : chooseLiveHost(S, Busiest);
}

uint64_t readVersion(Scenario &S, const std::string &Name) {
  return readObject(*S.m_System->m_Platform, Name).version();
}

// Makes a fault of the primary: Set is called with On = true to inject it and On = false to heal
// it.
Fault makePrimaryFault(std::string_view Name, const std::function<void(Faults &, bool On)> &Set) {
  auto Apply = [Set](Scenario &S, const std::string &Instance, bool On) {
    Faults FaultChange;
    Set(FaultChange, On);
    setInstanceFaults(S, Instance, FaultChange);
  };
  return {Name, Millis(1800),
          [Apply](Scenario &S, FaultState &F) { Apply(S, F.m_Instance = choosePrimary(S), true); },
          [Apply](Scenario &S, FaultState &F) { Apply(S, F.m_Instance, false); }};
}

Fault makeGroupFault(std::string_view Name, const std::function<void(Faults &, bool On)> &Set) {
  auto Apply = [Set](Scenario &S, bool On) {
    Faults FaultChange;
    Set(FaultChange, On);
    setGroupFaults(S, FaultChange);
  };
  return {Name, Millis(1500), [Apply](Scenario &S, FaultState &) { Apply(S, true); },
          [Apply](Scenario &S, FaultState &) { Apply(S, false); }};
}

Fault makePlatformFault(std::string_view Name, const std::function<void(Faults &, bool On)> &Set) {
  auto Apply = [Set](Scenario &S, bool On) {
    Faults FaultChange;
    Set(FaultChange, On);
    setFaults(*S.m_System->m_Platform, FaultChange);
  };
  return {Name, Millis(1500), [Apply](Scenario &S, FaultState &) { Apply(S, true); },
          [Apply](Scenario &S, FaultState &) { Apply(S, false); }, true};
}

//-----------------------------------------------------------------------------
// [SECTION] Hosts
//-----------------------------------------------------------------------------

void killBusyHost(Scenario &S, FaultState &F) {
  killHost(*S.m_System, F.m_Host = chooseBusyHost(S));
}

void restartAffectedHost(Scenario &S, FaultState &F) {
  if (!restartHost(*S.m_System, F.m_Host))
    report(S, "the host does not restart");
}

void restartDuringOutage(Scenario &S, FaultState &F) {
  killBusyHost(S, F);
  Faults OutageRequest;
  OutageRequest.set_down(true);
  setFaults(*S.m_System->m_Platform, OutageRequest);
  restartAffectedHost(S, F);
}

CallerAnswer sendWrite(Scenario &S, size_t Number) {
  CallerRequest Request;
  Request.m_Kind = RequestKind::Write;
  Request.m_Route = "g1";
  Request.m_KeyText = S.m_System->m_Keys.at("acme");
  Request.m_Statements = {makeStatement(instance::OP_PUT, "checks", "row", "1")};
  return callHost(*S.m_System, Number, Request);
}

bool servesWrites(Scenario &S, size_t Number) {
  return waitUntil([&] { return sendWrite(S, Number).m_Class == AnswerClass::Done; },
                   RecoveryTimeout);
}

void endOutage(Scenario &S, FaultState &F) {
  if (!servesWrites(S, F.m_Host))
    report(S, fmt::format("a host that started without the platform does not serve writes: {}",
                          sendWrite(S, F.m_Host).m_Message));
  Faults RecoveryRequest;
  RecoveryRequest.set_down(false);
  setFaults(*S.m_System->m_Platform, RecoveryRequest);
}

void stopBusyHost(Scenario &S, FaultState &F) {
  F.m_InjectedAt = Clock::now();
  F.m_Host = chooseBusyHost(S);
  if (!stopHost(*S.m_System, F.m_Host, seconds(15)))
    report(S, "requests were still in progress when the planned stop timed out");
}

// Valid only if no other fault is injected, because that one may abort requests as well.
void checkNoRequestAborted(Scenario &S, FaultState &F) {
  restartAffectedHost(S, F);
  std::scoped_lock Locked(S.m_History.m_Lock);
  for (const HistoryEvent &Event : S.m_History.m_Events)
    if (Event.m_AnsweredAt >= F.m_InjectedAt &&
        (Event.m_Class == AnswerClass::Unknown || Event.m_Reason == Reason::TransactionAborted ||
         Event.m_Reason == Reason::NoTransaction))
      report(S, fmt::format("a planned stop aborted request {} of session {}: {}",
                            Event.m_RequestId, Event.m_Session, reasonName(Event.m_Reason)));
}

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

void withdrawKey(Scenario &S, FaultState &F) {
  F.m_Host = chooseLiveHost(S, S.m_System->m_Hosts.size());
  operators::RunReply Reply = runStatement(
      *S.m_System, F.m_Host,
      fmt::format("withdraw key k-gone expect {}", readVersion(S, "config/key/k-gone")));
  F.m_InjectedAt = Clock::now();
  if (Reply.outcome() != operators::ACCEPTED) {
    report(S, "the key was not withdrawn: " + Reply.message());
    return;
  }
  std::scoped_lock Locked(S.m_History.m_Lock);
  S.m_History.m_Withdrawals.push_back({"k-gone", F.m_InjectedAt});
}

// checkHistory() reports uses of the key after the grace period.
void checkWithdrawn(Scenario &S, FaultState &F) {
  std::scoped_lock Locked(S.m_History.m_Lock);
  if (std::ranges::none_of(S.m_History.m_Events, [&](const HistoryEvent &Event) {
        return Event.m_Customer == "gone" && Event.m_InvokedAt > F.m_InjectedAt + KeyGrace &&
               Event.m_Reason == Reason::KeyWithdrawn;
      }))
    report(S, "no request was refused with key_withdrawn after the grace period");
}

void withdrawKeyDuringPartition(Scenario &S, FaultState &F) {
  Faults PartitionRequest;
  for (const TestHost &Host : S.m_System->m_Hosts)
    if (Host.m_Settings.m_DataCentre == "dc3")
      PartitionRequest.add_cut_host_ids(Host.m_Settings.m_HostId);
  setFaults(*S.m_System->m_Platform, PartitionRequest);
  size_t Number = S.m_Rng() % 4; // a host in dc1 or dc2
  operators::RunReply Reply = runStatement(
      *S.m_System, Number,
      fmt::format("withdraw key k-gone expect {}", readVersion(S, "config/key/k-gone")));
  F.m_InjectedAt = Clock::now();
  if (Reply.outcome() == operators::ACCEPTED)
    S.m_History.m_Withdrawals.push_back({"k-gone", F.m_InjectedAt});
  else
    report(S, "the key was not withdrawn: " + Reply.message());
}

void healPartition(Scenario &S, FaultState &F) {
  Faults HealRequest;
  HealRequest.set_heal_host_ids(true);
  setFaults(*S.m_System->m_Platform, HealRequest);
  checkWithdrawn(S, F);
}

void markReplicaLeaving(Scenario &S, FaultState &F) {
  std::string Primary = choosePrimary(S);
  for (const auto &Each : S.m_System->m_Groups["g1"])
    if (instanceId(*Each) != Primary)
      F.m_Instance = instanceId(*Each);
  F.m_RestoreData = readObject(*S.m_System->m_Platform, "config/group/g1").value();
  operators::RunReply Reply =
      runStatement(*S.m_System, chooseLiveHost(S, 99),
                   fmt::format("leave instance {} group g1 expect {}", F.m_Instance,
                               readVersion(S, "config/group/g1")));
  if (Reply.outcome() != operators::ACCEPTED)
    report(S, "the leave statement was not accepted: " + Reply.message());
  F.m_InjectedAt = Clock::now();
}

void checkNoNewWork(Scenario &S, FaultState &F) {
  {
    FrameLog &Log = *S.m_System->m_FrameLog;
    std::scoped_lock Locked(Log.m_Lock);
    if (Log.m_LastWorkAt[F.m_Instance] > F.m_InjectedAt + LeaveGrace)
      report(S, "a leaving instance received new work");
  }
  storeObject(*S.m_System, "config/group/g1", F.m_RestoreData);
}

std::string makeSetRateStatement(Scenario &S, uint64_t Rate) {
  return fmt::format("set customer acme rate {} burst 9000 expect {}", Rate,
                     readVersion(S, "config/customer/acme"));
}

// Two operators change the same version of an object through two hosts at the same time.
void raceOperators(Scenario &S, FaultState &) {
  for (uint64_t Round = 0; Round < 5; ++Round) {
    size_t First = chooseLiveHost(S, 99);
    size_t Second = chooseLiveHost(S, First);
    std::string FirstStatement = makeSetRateStatement(S, 90000 + Round);
    std::string SecondStatement = makeSetRateStatement(S, 80000 + Round);
    auto Running = std::async(std::launch::async, [&] {
      return runStatement(*S.m_System, First, FirstStatement).outcome();
    });
    operators::Outcome SecondOutcome = runStatement(*S.m_System, Second, SecondStatement).outcome();
    operators::Outcome FirstOutcome = Running.get();
    if ((FirstOutcome == operators::ACCEPTED) == (SecondOutcome == operators::ACCEPTED) &&
        FirstOutcome != operators::UNCERTAIN && SecondOutcome != operators::UNCERTAIN)
      report(S, fmt::format("{} of two concurrent changes were accepted",
                            FirstOutcome == operators::ACCEPTED ? "both" : "none"));
  }
}

// Writes made directly to the platform conflict with an operator's change and with the removal of
// the same object.
void makeConflictingChanges(Scenario &S, FaultState &) {
  for (uint64_t Round = 0; Round < 5; ++Round) {
    std::string SetStatement = makeSetRateStatement(S, 70000 + Round);
    size_t Number = chooseLiveHost(S, 99);
    auto Running =
        std::async(std::launch::async, [&] { runStatement(*S.m_System, Number, SetStatement); });
    Customer ChangedCustomer{"acme", 60000 + static_cast<double>(Round), 8000};
    storeObject(*S.m_System, "config/customer/acme", encodeCustomer(ChangedCustomer, "past"));
    if (runStatement(
            *S.m_System, chooseLiveHost(S, Number),
            fmt::format("remove customer acme expect {}", readVersion(S, "config/customer/acme")))
            .outcome() == operators::ACCEPTED)
      report(S, "a customer that has keys was removed");
  }
}

void doNothing(Scenario &, FaultState &) {}

} // namespace

const std::vector<Fault> &listFaults() {
  static const std::vector<Fault> All = {
      {"primaryKilled", Millis(1800),
       [](Scenario &S, FaultState &F) {
         F.m_Instance = choosePrimary(S);
         F.m_RestoreData = killInstance(*S.m_System, "g1", F.m_Instance);
       },
       [](Scenario &S, FaultState &F) {
         if (!restartInstance(*S.m_System, "g1", F.m_Instance, F.m_RestoreData))
           report(S, "the instance does not restart");
       }},
      makePrimaryFault("primaryFrozen", [](Faults &F, bool On) { F.set_freeze(On); }),
      makePrimaryFault("primaryCutOff",
                       [](Faults &F, bool On) {
                         F.set_cut_peers(On);
                         F.set_cut_hosts(On);
                       }),
      makePrimaryFault("primaryCutFromReplicas", [](Faults &F, bool On) { F.set_cut_peers(On); }),
      makePrimaryFault("primaryCutFromHosts", [](Faults &F, bool On) { F.set_cut_hosts(On); }),
      makeGroupFault("replicasBehind",
                     [](Faults &F, bool On) {
                       F.set_replay_lag_ms(On ? 2000 : 0);
                       F.set_receive_lag_ms(On ? 50 : 0);
                     }),
      makeGroupFault("answersLate",
                     [](Faults &F, bool On) { F.set_answer_delay_ms(On ? 700 : 0); }),
      makeGroupFault("answersCrossed",
                     [](Faults &F, bool On) { F.set_cross_answers(On ? 30 : 0); }),
      makeGroupFault("droppedBeforeCommit",
                     [](Faults &F, bool On) { F.set_drop_before_commit(On ? 20 : 0); }),
      makeGroupFault("droppedAfterCommit",
                     [](Faults &F, bool On) { F.set_drop_after_commit(On ? 20 : 0); }),
      {"hostKilled", Millis(1200), killBusyHost, doNothing},
      {"hostRestarted", Millis(600), killBusyHost, restartAffectedHost},
      {"hostStopped", Millis(100), stopBusyHost, checkNoRequestAborted},
      makePlatformFault("platformDown", [](Faults &F, bool On) { F.set_down(On); }),
      makePlatformFault("platformSlow", [](Faults &F, bool On) { F.set_latency_ms(On ? 700 : 0); }),
      makePlatformFault("platformAnswersLost",
                        [](Faults &F, bool On) { F.set_lose_answers(On ? 20 : 0); }),
      {"hostStartedWithoutPlatform", Millis(500), restartDuringOutage, endOutage, true},
      {"keyWithdrawn", Millis(6500), withdrawKey, checkWithdrawn, false, true},
      {"keyWithdrawnWhileCut", Millis(6500), withdrawKeyDuringPartition, healPartition, false,
       true},
      {"instanceLeaving", Millis(4500), markReplicaLeaving, checkNoNewWork, false, true},
      {"operatorsRace", Millis(200), raceOperators, doNothing, false, true},
      {"configConflicts", Millis(200), makeConflictingChanges, doNothing, false, true},
  };
  return All;
}

//-----------------------------------------------------------------------------
// [SECTION] Runs
//-----------------------------------------------------------------------------

namespace {

// Polls the hosts' configuration until Stopping is set and records each revision that has changed.
void watchRevisions(Scenario &S, const std::atomic<bool> &Stopping) {
  std::map<std::pair<size_t, std::string>, uint64_t> LastRevisions;
  while (!Stopping) {
    for (size_t Number = 0; Number < S.m_System->m_Hosts.size(); ++Number) {
      std::shared_ptr<RunningHost> Running = getHost(*S.m_System, Number);
      if (!Running)
        continue;
      std::map<std::string, uint64_t> Revisions;
      runOnControlThread(*Running, [&](const Host &H) {
        for (const auto &[Name, Record] : H.m_Config.m_Records)
          Revisions[Name] = Record.m_Revision;
      });
      std::scoped_lock Locked(S.m_History.m_Lock);
      for (const auto &[Name, Revision] : Revisions)
        if (std::exchange(LastRevisions[{Number, Name}], Revision) != Revision)
          S.m_History.m_Revisions.push_back(
              {S.m_System->m_Hosts[Number].m_Settings.m_HostId, Name, Revision, Clock::now()});
    }
    std::this_thread::sleep_for(Millis(20));
  }
}

bool hasCurrentConfig(Scenario &S, RunningHost &Running) {
  bool IsCurrent = true;
  runOnControlThread(Running, [&](const Host &H) {
    for (const char *Name : {"config/customer/acme", "config/customer/small", "config/key/k-gone",
                             "config/group/g1", "config/route/g1"}) {
      auto Found = H.m_Config.m_Records.find(Name);
      IsCurrent = IsCurrent && Found != H.m_Config.m_Records.end() &&
                  Found->second.m_Revision == readVersion(S, Name);
    }
  });
  return IsCurrent;
}

void checkRecovered(Scenario &S) {
  for (size_t Number = 0; Number < S.m_System->m_Hosts.size(); ++Number) {
    std::shared_ptr<RunningHost> Running = getHost(*S.m_System, Number);
    if (!Running)
      continue;
    const std::string &Id = S.m_System->m_Hosts[Number].m_Settings.m_HostId;
    if (!servesWrites(S, Number))
      report(S, fmt::format("host {} does not serve writes after the faults were healed: {}", Id,
                            sendWrite(S, Number).m_Message));
    if (!waitUntil([&] { return hasCurrentConfig(S, *Running); }, RecoveryTimeout))
      report(S, fmt::format("host {} does not have the current configuration", Id));
  }
}

void checkFinalState(Scenario &S) {
  checkRecovered(S);
  FrameLog &Log = *S.m_System->m_FrameLog;
  std::scoped_lock Locked(Log.m_Lock);
  if (Log.m_LeakCount > 0 || Log.m_FrameCount == 0)
    report(S, fmt::format("{} of {} frames sent to instances contain a key", Log.m_LeakCount,
                          Log.m_FrameCount));
  if (S.m_History.m_Events.size() < 100)
    report(S, fmt::format("only {} events were recorded", S.m_History.m_Events.size()));
  if (std::ranges::none_of(S.m_History.m_Events, [](const HistoryEvent &Event) {
        return Event.m_Kind == HistoryKind::PairWrite && Event.m_Class == AnswerClass::Done;
      }))
    report(S, "no interactive transaction was committed");
  FinalState End = readFinalState(*S.m_System, "g1");
  for (const Violation &Each : checkHistory(S.m_History, End, KeyGrace))
    report(S, fmt::format("{}: {}", ruleName(Each.m_Rule), Each.m_Description));
}

} // namespace

std::vector<std::string> runFaults(const std::vector<const Fault *> &Faults, uint64_t Seed) {
  Scenario S;
  S.m_Rng.seed(Seed);
  SystemOptions Options;
  Options.m_InstanceOptions.m_ConnectDelay = Millis(10);
  Options.m_InstanceOptions.m_StatementDuration = std::chrono::microseconds(200);
  Options.m_Customers = {{"acme", 100000, 10000}, {"small", 60, 30}, {"gone", 1000, 100}};
  Options.m_Settings.m_Drain.m_NoticeDuration = Millis(500);
  S.m_System = startSystem(Options);
  if (!S.m_System)
    return {"the system does not start"};
  std::atomic<bool> Stopping = false;
  std::thread Watcher([&] { watchRevisions(S, Stopping); });
  auto Load = startWorkload(*S.m_System, S.m_History,
                            {.m_SessionCount = 9, .m_Seed = Seed, .m_MaxTimeout = Millis(1600)});
  std::vector<FaultState> States(Faults.size());
  for (size_t Number = 0; Number < Faults.size(); ++Number) {
    std::this_thread::sleep_for(Millis(200 + S.m_Rng() % 400));
    Faults[Number]->m_Start(S, States[Number]);
  }
  std::this_thread::sleep_for(std::ranges::max(Faults, {}, &Fault::m_Duration)->m_Duration);
  for (size_t Number = 0; Number < Faults.size(); ++Number)
    Faults[Number]->m_Heal(S, States[Number]);
  std::this_thread::sleep_for(Millis(500));
  stopWorkload(*Load);
  checkFinalState(S);
  Stopping = true;
  Watcher.join();
  return S.m_Problems;
}

} // namespace quetzalpaddle

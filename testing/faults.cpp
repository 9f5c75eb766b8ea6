// Table of faults, and the run of a workload under them.
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

// "Within seconds" of the invariants on keys and on endpoints that leave.
constexpr seconds KeyGrace{5};
constexpr seconds LeaveGrace{3};
// After the faults are healed. Generous, because the machine is shared.
constexpr seconds RecoveryLimit{20};

void report(Scenario &S, std::string Problem) { S.m_Problems.push_back(std::move(Problem)); }

void setOn(Scenario &S, const std::string &Id, const Faults &Set) {
  for (auto &Each : S.m_System->m_Groups["g1"])
    if (instanceId(*Each) == Id)
      setFaults(*Each, Set);
}

void setOnAll(Scenario &S, const Faults &Set) {
  for (auto &Each : S.m_System->m_Groups["g1"])
    setFaults(*Each, Set);
}

std::string choosePrimary(Scenario &S) {
  std::string Primary;
  if (!waitUntil([&] { return !(Primary = findPrimary(*S.m_System, "g1")).empty(); },
                 RecoveryLimit))
    report(S, "no primary to bring the fault about at");
  return Primary;
}

size_t chooseHost(Scenario &S) { return S.m_Rng() % S.m_System->m_Hosts.size(); }

// A live host other than Not.
size_t chooseLiveHost(Scenario &S, size_t Not) {
  size_t Number = chooseHost(S);
  while (Number == Not || !getHost(*S.m_System, Number))
    Number = (Number + 1) % S.m_System->m_Hosts.size();
  return Number;
}

// The host with most in progress, which dispatches to the primary and holds its transactions.
size_t chooseBusyHost(Scenario &S) {
  size_t Busiest = 0;
  uint32_t Most = 0;
  for (size_t Number = 0; Number < S.m_System->m_Hosts.size(); ++Number)
    if (auto Running = getHost(*S.m_System, Number))
      runOnControlThread(*Running, [&](const Host &H) {
        if (countInProgress(H) > Most) {
          Most = countInProgress(H);
          Busiest = Number;
        }
      });
  return getHost(*S.m_System, Busiest) ? Busiest : chooseLiveHost(S, Busiest);
}

uint64_t versionOf(Scenario &S, const std::string &Name) {
  return readObject(*S.m_System->m_Platform, Name).version();
}

// A fault that is a pair of settings of the primary's switches.
Fault primaryFault(std::string_view Name, const std::function<void(Faults &, bool On)> &Set) {
  auto Apply = [Set](Scenario &S, const std::string &Instance, bool On) {
    Faults Changed;
    Set(Changed, On);
    setOn(S, Instance, Changed);
  };
  return {Name, Millis(1800),
          [Apply](Scenario &S, FaultState &F) { Apply(S, F.m_Instance = choosePrimary(S), true); },
          [Apply](Scenario &S, FaultState &F) { Apply(S, F.m_Instance, false); }};
}

Fault instancesFault(std::string_view Name, const std::function<void(Faults &, bool On)> &Set) {
  auto Apply = [Set](Scenario &S, bool On) {
    Faults Changed;
    Set(Changed, On);
    setOnAll(S, Changed);
  };
  return {Name, Millis(1500), [Apply](Scenario &S, FaultState &) { Apply(S, true); },
          [Apply](Scenario &S, FaultState &) { Apply(S, false); }};
}

Fault platformFault(std::string_view Name, const std::function<void(Faults &, bool On)> &Set) {
  auto Apply = [Set](Scenario &S, bool On) {
    Faults Changed;
    Set(Changed, On);
    setFaults(*S.m_System->m_Platform, Changed);
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

void restartStopped(Scenario &S, FaultState &F) {
  if (!restartHost(*S.m_System, F.m_Host))
    report(S, "the host does not start again");
}

void killBeforeOutage(Scenario &S, FaultState &F) {
  killBusyHost(S, F);
  Faults Down;
  Down.set_down(true);
  setFaults(*S.m_System->m_Platform, Down);
  restartStopped(S, F);
}

CallerAnswer writeAt(Scenario &S, size_t Number) {
  CallerRequest Request;
  Request.m_Kind = RequestKind::Write;
  Request.m_Route = "g1";
  Request.m_KeyText = S.m_System->m_Keys.at("acme");
  Request.m_Statements = {makeStatement(instance::OP_PUT, "checks", "row", "1")};
  return callHost(*S.m_System, Number, Request);
}

bool servesWrites(Scenario &S, size_t Number) {
  return waitUntil([&] { return writeAt(S, Number).m_Class == AnswerClass::Done; }, RecoveryLimit);
}

void endOutage(Scenario &S, FaultState &F) {
  if (!servesWrites(S, F.m_Host))
    report(S, "a host that started without the platform does not serve");
  Faults Up;
  Up.set_down(false);
  setFaults(*S.m_System->m_Platform, Up);
}

void stopBusyHost(Scenario &S, FaultState &F) {
  F.m_At = Clock::now();
  F.m_Host = chooseBusyHost(S);
  if (!stopHost(*S.m_System, F.m_Host, seconds(15)))
    report(S, "requests were in progress when the planned stop ended");
}

// Only run without another fault: another one may cut requests for its own reasons.
void checkNothingCut(Scenario &S, FaultState &F) {
  restartStopped(S, F);
  std::scoped_lock Locked(S.m_History.m_Lock);
  for (const HistoryEvent &Event : S.m_History.m_Events)
    if (Event.m_Answered >= F.m_At &&
        (Event.m_Class == AnswerClass::Unknown || Event.m_Reason == Reason::TransactionAborted ||
         Event.m_Reason == Reason::NoTransaction))
      report(S, fmt::format("cut by a planned stop: {} of session {}: {}", Event.m_RequestId,
                            Event.m_Session, reasonName(Event.m_Reason)));
}

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

void withdrawKey(Scenario &S, FaultState &F) {
  F.m_Host = chooseLiveHost(S, S.m_System->m_Hosts.size());
  operators::RunReply Reply =
      runStatement(*S.m_System, F.m_Host,
                   fmt::format("withdraw key k-gone expect {}", versionOf(S, "config/key/k-gone")));
  F.m_At = Clock::now();
  if (Reply.outcome() != operators::ACCEPTED) {
    report(S, "the key was not withdrawn: " + Reply.message());
    return;
  }
  std::scoped_lock Locked(S.m_History.m_Lock);
  S.m_History.m_Withdrawals.push_back({"k-gone", F.m_At});
}

// Uses after the grace are reported by the history's rule.
void checkWithdrawn(Scenario &S, FaultState &F) {
  std::scoped_lock Locked(S.m_History.m_Lock);
  if (std::ranges::none_of(S.m_History.m_Events, [&](const HistoryEvent &Event) {
        return Event.m_Customer == "gone" && Event.m_Invoked > F.m_At + KeyGrace &&
               Event.m_Reason == Reason::KeyWithdrawn;
      }))
    report(S, "no request was refused with key_withdrawn after the grace");
}

void withdrawWhileCut(Scenario &S, FaultState &F) {
  Faults Cut;
  for (const TestHost &Host : S.m_System->m_Hosts)
    if (Host.m_Settings.m_DataCentre == "dc3")
      Cut.add_cut_host_ids(Host.m_Settings.m_HostId);
  setFaults(*S.m_System->m_Platform, Cut);
  size_t Number = S.m_Rng() % 4; // of dc1 or dc2
  operators::RunReply Reply =
      runStatement(*S.m_System, Number,
                   fmt::format("withdraw key k-gone expect {}", versionOf(S, "config/key/k-gone")));
  F.m_At = Clock::now();
  if (Reply.outcome() == operators::ACCEPTED)
    S.m_History.m_Withdrawals.push_back({"k-gone", F.m_At});
  else
    report(S, "the key was not withdrawn: " + Reply.message());
}

void healCut(Scenario &S, FaultState &F) {
  Faults Heal;
  Heal.set_heal_host_ids(true);
  setFaults(*S.m_System->m_Platform, Heal);
  checkWithdrawn(S, F);
}

void leaveReplica(Scenario &S, FaultState &F) {
  std::string Primary = choosePrimary(S);
  for (const auto &Each : S.m_System->m_Groups["g1"])
    if (instanceId(*Each) != Primary)
      F.m_Instance = instanceId(*Each);
  F.m_Text = readObject(*S.m_System->m_Platform, "config/group/g1").value();
  operators::RunReply Reply =
      runStatement(*S.m_System, chooseLiveHost(S, 99),
                   fmt::format("leave instance {} group g1 expect {}", F.m_Instance,
                               versionOf(S, "config/group/g1")));
  if (Reply.outcome() != operators::ACCEPTED)
    report(S, "leave was not accepted: " + Reply.message());
  F.m_At = Clock::now();
}

void checkLeft(Scenario &S, FaultState &F) {
  {
    FrameLog &Log = *S.m_System->m_Frames;
    std::scoped_lock Locked(Log.m_Lock);
    if (Log.m_NewWork[F.m_Instance] > F.m_At + LeaveGrace)
      report(S, "new work at an instance that is leaving");
  }
  storeObject(*S.m_System, "config/group/g1", F.m_Text);
}

std::string setRate(Scenario &S, uint64_t Rate) {
  return fmt::format("set customer acme rate {} burst 9000 expect {}", Rate,
                     versionOf(S, "config/customer/acme"));
}

// Two operators change the same object from the same version at two hosts.
void raceOperators(Scenario &S, FaultState &) {
  for (uint64_t Round = 0; Round < 5; ++Round) {
    size_t First = chooseLiveHost(S, 99);
    size_t Second = chooseLiveHost(S, First);
    std::string One = setRate(S, 90000 + Round);
    std::string Other = setRate(S, 80000 + Round);
    auto Running = std::async(std::launch::async,
                              [&] { return runStatement(*S.m_System, First, One).outcome(); });
    operators::Outcome B = runStatement(*S.m_System, Second, Other).outcome();
    operators::Outcome A = Running.get();
    if ((A == operators::ACCEPTED) == (B == operators::ACCEPTED) && A != operators::UNCERTAIN &&
        B != operators::UNCERTAIN)
      report(S, fmt::format("of two racing operators {} were accepted",
                            A == operators::ACCEPTED ? "both" : "none"));
  }
}

// Changes past the hosts compete with an operator's and with the removal of the same object.
void changeConflicting(Scenario &S, FaultState &) {
  for (uint64_t Round = 0; Round < 5; ++Round) {
    std::string Set = setRate(S, 70000 + Round);
    size_t Number = chooseLiveHost(S, 99);
    auto Running = std::async(std::launch::async, [&] { runStatement(*S.m_System, Number, Set); });
    Customer Changed{"acme", 60000 + static_cast<double>(Round), 8000};
    storeObject(*S.m_System, "config/customer/acme", encodeCustomer(Changed, "past"));
    if (runStatement(
            *S.m_System, chooseLiveHost(S, Number),
            fmt::format("remove customer acme expect {}", versionOf(S, "config/customer/acme")))
            .outcome() == operators::ACCEPTED)
      report(S, "a customer that has keys was removed");
  }
}

void nothing(Scenario &, FaultState &) {}

} // namespace

const std::vector<Fault> &listFaults() {
  static const std::vector<Fault> All = {
      {"primaryKilled", Millis(1800),
       [](Scenario &S, FaultState &F) {
         F.m_Instance = choosePrimary(S);
         F.m_Text = killInstance(*S.m_System, "g1", F.m_Instance);
       },
       [](Scenario &S, FaultState &F) {
         if (!restartInstance(*S.m_System, "g1", F.m_Instance, F.m_Text))
           report(S, "the instance does not start again");
       }},
      primaryFault("primaryFrozen", [](Faults &F, bool On) { F.set_freeze(On); }),
      primaryFault("primaryCutOff",
                   [](Faults &F, bool On) {
                     F.set_cut_peers(On);
                     F.set_cut_hosts(On);
                   }),
      primaryFault("primaryCutFromReplicas", [](Faults &F, bool On) { F.set_cut_peers(On); }),
      primaryFault("primaryCutFromHosts", [](Faults &F, bool On) { F.set_cut_hosts(On); }),
      instancesFault("replicasBehind",
                     [](Faults &F, bool On) {
                       F.set_replay_lag_ms(On ? 2000 : 0);
                       F.set_receive_lag_ms(On ? 50 : 0);
                     }),
      instancesFault("answersLate",
                     [](Faults &F, bool On) { F.set_answer_delay_ms(On ? 700 : 0); }),
      instancesFault("answersCrossed",
                     [](Faults &F, bool On) { F.set_cross_answers(On ? 30 : 0); }),
      instancesFault("droppedBeforeCommit",
                     [](Faults &F, bool On) { F.set_drop_before_commit(On ? 20 : 0); }),
      instancesFault("droppedAfterCommit",
                     [](Faults &F, bool On) { F.set_drop_after_commit(On ? 20 : 0); }),
      {"hostKilled", Millis(1200), killBusyHost, nothing},
      {"hostRestarted", Millis(600), killBusyHost, restartStopped},
      {"hostStopped", Millis(100), stopBusyHost, checkNothingCut},
      platformFault("platformDown", [](Faults &F, bool On) { F.set_down(On); }),
      platformFault("platformSlow", [](Faults &F, bool On) { F.set_latency_ms(On ? 700 : 0); }),
      platformFault("platformAnswersLost",
                    [](Faults &F, bool On) { F.set_lose_answers(On ? 20 : 0); }),
      {"hostStartedWithoutPlatform", Millis(500), killBeforeOutage, endOutage, true},
      {"keyWithdrawn", Millis(6500), withdrawKey, checkWithdrawn, false, true},
      {"keyWithdrawnWhileCut", Millis(6500), withdrawWhileCut, healCut, false, true},
      {"instanceLeaving", Millis(4500), leaveReplica, checkLeft, false, true},
      {"operatorsRace", Millis(200), raceOperators, nothing, false, true},
      {"configConflicts", Millis(200), changeConflicting, nothing, false, true},
  };
  return All;
}

//-----------------------------------------------------------------------------
// [SECTION] Runs
//-----------------------------------------------------------------------------

namespace {

// Records each revision that a host has, when it differs from what was last seen there.
void watchRevisions(Scenario &S, const std::atomic<bool> &Stopping) {
  std::map<std::pair<size_t, std::string>, uint64_t> Last;
  while (!Stopping) {
    for (size_t Number = 0; Number < S.m_System->m_Hosts.size(); ++Number) {
      std::shared_ptr<RunningHost> Running = getHost(*S.m_System, Number);
      if (!Running)
        continue;
      std::map<std::string, uint64_t> Seen;
      runOnControlThread(*Running, [&](const Host &H) {
        for (const auto &[Name, Record] : H.m_Config.m_Records)
          Seen[Name] = Record.m_Revision;
      });
      std::scoped_lock Locked(S.m_History.m_Lock);
      for (const auto &[Name, Revision] : Seen)
        if (std::exchange(Last[{Number, Name}], Revision) != Revision)
          S.m_History.m_Revisions.push_back(
              {S.m_System->m_Hosts[Number].m_Settings.m_HostId, Name, Revision, Clock::now()});
    }
    std::this_thread::sleep_for(Millis(20));
  }
}

bool hasCurrentConfig(Scenario &S, RunningHost &Running) {
  bool Current = true;
  runOnControlThread(Running, [&](const Host &H) {
    for (const char *Name : {"config/customer/acme", "config/customer/small", "config/key/k-gone",
                             "config/group/g1", "config/route/g1"}) {
      auto Found = H.m_Config.m_Records.find(Name);
      Current = Current && Found != H.m_Config.m_Records.end() &&
                Found->second.m_Revision == versionOf(S, Name);
    }
  });
  return Current;
}

void checkRecovered(Scenario &S) {
  for (size_t Number = 0; Number < S.m_System->m_Hosts.size(); ++Number) {
    std::shared_ptr<RunningHost> Running = getHost(*S.m_System, Number);
    if (!Running)
      continue;
    const std::string &Id = S.m_System->m_Hosts[Number].m_Settings.m_HostId;
    if (!servesWrites(S, Number))
      report(S, fmt::format("host {} serves no write after the fault: {}", Id,
                            writeAt(S, Number).m_Message));
    if (!waitUntil([&] { return hasCurrentConfig(S, *Running); }, RecoveryLimit))
      report(S, fmt::format("host {} has not got the current configuration", Id));
  }
}

void checkEnd(Scenario &S) {
  checkRecovered(S);
  FrameLog &Log = *S.m_System->m_Frames;
  std::scoped_lock Locked(Log.m_Lock);
  if (Log.m_Leaks > 0 || Log.m_Frames == 0)
    report(S, fmt::format("{} of {} frames contain a key", Log.m_Leaks, Log.m_Frames));
  if (S.m_History.m_Events.size() < 100)
    report(S, fmt::format("only {} events", S.m_History.m_Events.size()));
  if (std::ranges::none_of(S.m_History.m_Events, [](const HistoryEvent &Event) {
        return Event.m_Kind == HistoryKind::PairWrite && Event.m_Class == AnswerClass::Done;
      }))
    report(S, "no interactive transaction was committed");
  FinalState End = readFinalState(*S.m_System, "g1");
  for (const Violation &Each : checkHistory(S.m_History, End, KeyGrace))
    report(S, fmt::format("{}: {}", ruleName(Each.m_Rule), Each.m_What));
}

} // namespace

std::vector<std::string> runFaults(const std::vector<const Fault *> &Faults, uint64_t Seed) {
  Scenario S;
  S.m_Rng.seed(Seed);
  SystemOptions Options;
  Options.m_Instance.m_Connect = Millis(10);
  Options.m_Instance.m_Statement = std::chrono::microseconds(200);
  Options.m_Customers = {{"acme", 100000, 10000}, {"small", 60, 30}, {"gone", 1000, 100}};
  Options.m_Settings.m_Drain.m_NoticeDuration = Millis(500);
  S.m_System = startSystem(Options);
  if (!S.m_System)
    return {"the system does not start"};
  std::atomic<bool> Stopping = false;
  std::thread Watcher([&] { watchRevisions(S, Stopping); });
  auto W = startWorkload(*S.m_System, S.m_History,
                         {.m_Sessions = 9, .m_Seed = Seed, .m_Timeout = Millis(1600)});
  std::vector<FaultState> States(Faults.size());
  for (size_t Number = 0; Number < Faults.size(); ++Number) {
    std::this_thread::sleep_for(Millis(200 + S.m_Rng() % 400));
    Faults[Number]->m_Start(S, States[Number]);
  }
  std::this_thread::sleep_for(std::ranges::max(Faults, {}, &Fault::m_Lasts)->m_Lasts);
  for (size_t Number = 0; Number < Faults.size(); ++Number)
    Faults[Number]->m_Heal(S, States[Number]);
  std::this_thread::sleep_for(Millis(500));
  stopWorkload(*W);
  checkEnd(S);
  Stopping = true;
  Watcher.join();
  return S.m_Problems;
}

} // namespace quetzalpaddle

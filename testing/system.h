// A whole system in one process for tests and benchmarks: a stand-in platform, groups of stand-in
// instances, and hosts with their real listeners on loopback. Callers call hosts directly.
#pragma once

#include "entry.h"
#include "history.h"
#include "operator.h"
#include "serve.h"
#include "standin_instance.h"
#include "standin_platform.h"

#include <atomic>

namespace quetzalpaddle {

struct SystemOptions {
  uint32_t m_DataCentres = 3;
  uint32_t m_HostsPerDataCentre = 2;
  std::vector<uint32_t> m_HostCounts; // by data centre; empty: m_HostsPerDataCentre in each
  std::vector<std::string> m_Groups = {"g1"};
  uint32_t m_InstancesPerGroup = 3; // per group, one data centre after the other
  StandinOptions m_InstanceOptions;
  std::vector<Customer> m_Customers = {{"acme", 100000, 10000}};
  Settings m_Settings; // of every host; names, addresses and secrets are set here
};

struct TestHost {
  Settings m_Settings;
  bool m_IsClosed = false;                // accepts no new requests, as after a drain's notice
  std::shared_ptr<RunningHost> m_Running; // null while it is down
};

// What the instances have received from hosts. Filled by the stand-ins' threads.
struct FrameLog {
  std::mutex m_Lock;
  std::vector<std::string> m_Secrets;            // texts that no frame may contain
  std::map<std::string, TimePoint> m_LastWorkAt; // by instance: last EXECUTE or BEGIN
  uint64_t m_FrameCount = 0;
  uint64_t m_LeakCount = 0; // frames that contain a secret
};

struct TestSystem {
  SystemOptions m_Options;
  std::shared_ptr<StandinPlatform> m_Platform;
  std::map<std::string, std::vector<std::shared_ptr<StandinInstance>>> m_Groups;
  std::vector<TestHost> m_Hosts;
  std::map<std::string, std::string> m_Keys; // by customer: key "k-CUSTOMER"
  std::mutex m_Lock;                         // guards m_Running and m_IsClosed of the hosts
  std::shared_ptr<FrameLog> m_FrameLog = std::make_shared<FrameLog>();
};

// Starts everything and waits until each host knows the configuration and every primary, and serves
// the first customer. A route named like each group is open to all customers. Returns null and
// prints why if it fails.
std::unique_ptr<TestSystem> startSystem(const SystemOptions &Options);

// Stops a host at once, as a kill would: its connections break. Restarting makes a new one.
void killHost(TestSystem &S, size_t Number);
bool restartHost(TestSystem &S, size_t Number);

// Stops a host as SIGTERM does, while its callers go on until the notice has passed. Returns
// whether everything in progress ended in time.
bool stopHost(TestSystem &S, size_t Number, Duration Timeout);

// Runs a statement of the operators' language at a host.
operators::RunReply runStatement(TestSystem &S, size_t Number, const std::string &Text);

// Stops an instance; its data are lost. Returns its address.
std::string killInstance(TestSystem &S, const std::string &Group, const std::string &Id);

// Starts it again without data, in its running group.
bool restartInstance(TestSystem &S, const std::string &Group, const std::string &Id,
                     const std::string &Address);

// The running host; null if it is down.
std::shared_ptr<RunningHost> getHost(TestSystem &S, size_t Number);

// Sends a request to a host and waits for the answer. A host that is down answers NotRun,
// HostUnavailable. A host that is killed meanwhile gives Unknown.
CallerAnswer callHost(TestSystem &S, size_t Number, CallerRequest Request);

// Waits until a condition holds; returns false after the limit.
bool waitUntil(const std::function<bool()> &Condition, Duration Timeout);

// The instance that is the primary of the highest term; empty if none answers.
std::string findPrimary(TestSystem &S, const std::string &Group);
StandinInstance &getInstance(TestSystem &S, const std::string &Group, const std::string &Id);

// Stores a configuration object past the hosts, unconditionally.
void storeObject(TestSystem &S, const std::string &Name, const std::string &Payload);

instance::Statement makeStatement(instance::Op Op, const std::string &Table, const std::string &Key,
                                  const std::string &Value = {});

//-----------------------------------------------------------------------------
// Workload: sessions that roam between hosts and record a history.
//-----------------------------------------------------------------------------

struct WorkloadOptions {
  uint32_t m_SessionCount = 8;
  uint32_t m_RowCount = 4;
  std::string m_Group = "g1";
  Duration m_Pause = Millis(2); // between the requests of a session
  uint64_t m_Seed = 1;
  Millis m_MaxTimeout{0}; // of requests: between a half and the whole of it; 0: the host's default
};

struct Workload; // runs until stopWorkload()

std::shared_ptr<Workload> startWorkload(TestSystem &S, History &H, const WorkloadOptions &Options);
void stopWorkload(Workload &W);

// Reads what the group holds at the end, from the instance with the longest log.
FinalState readFinalState(TestSystem &S, const std::string &Group);

} // namespace quetzalpaddle

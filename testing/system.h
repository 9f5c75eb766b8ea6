// A whole system in one process for tests and benchmarks: stand-ins for the platform and for groups
// of instances, and hosts with their real listeners on loopback. Callers call hosts directly.
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
  uint32_t m_InstancesPerGroup = 3; // assigned to the data centres in turn
  StandinOptions m_InstanceOptions;
  std::vector<Customer> m_Customers = {{"acme", 100000, 10000}};
  Settings m_Settings; // of every host; startSystem() sets names, addresses and secrets
};

struct TestHost {
  Settings m_Settings;
  bool m_IsClosed = false; // accepts no new requests, as after the notice period of a drain
  std::shared_ptr<RunningHost> m_Running; // null while it is down
};

// Frames that instances have received from hosts. Updated by the threads of the stand-ins.
struct FrameLog {
  std::mutex m_Lock;
  std::vector<std::string> m_Secrets;            // texts that no frame may contain
  std::map<std::string, TimePoint> m_LastWorkAt; // by instance id: last EXECUTE or BEGIN
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
// the first customer. Each group has a route of the same name that is open to all customers.
// Returns null and prints the reason if it fails.
std::unique_ptr<TestSystem> startSystem(const SystemOptions &Options);

// Stops a host immediately, like a kill: its connections break. restartHost() starts a new one with
// the same settings; it returns false and prints the reason if it fails.
void killHost(TestSystem &S, size_t Number);
bool restartHost(TestSystem &S, size_t Number);

// Stops a host like SIGTERM; its callers continue until the notice period has passed. Returns
// whether all requests in progress ended within Timeout.
bool stopHost(TestSystem &S, size_t Number, Duration Timeout);

// Runs an operator statement at a host. The outcome is UNCERTAIN if the host is down or does not
// answer in time.
operators::RunReply runStatement(TestSystem &S, size_t Number, const std::string &Text);

// Stops an instance, whose data are lost. Returns its address.
std::string killInstance(TestSystem &S, const std::string &Group, const std::string &Id);

// Restarts an instance without data in its running group. Returns false if it cannot be started.
bool restartInstance(TestSystem &S, const std::string &Group, const std::string &Id,
                     const std::string &Address);

// Returns the running host, or null if it is down.
std::shared_ptr<RunningHost> getHost(TestSystem &S, size_t Number);

// Sends a request to a host and waits for the answer: NotRun with HostUnavailable if the host is
// down, Unknown if it is killed meanwhile or does not answer in time.
CallerAnswer callHost(TestSystem &S, size_t Number, CallerRequest Request);

// Polls a condition until it holds; returns false after Timeout.
bool waitUntil(const std::function<bool()> &Condition, Duration Timeout);

// Returns the id of the primary with the highest term that a host knows; empty if there is none.
std::string findPrimary(TestSystem &S, const std::string &Group);
StandinInstance &getInstance(TestSystem &S, const std::string &Group, const std::string &Id);

// Stores a configuration object directly on the platform, unconditionally.
void storeObject(TestSystem &S, const std::string &Name, const std::string &Payload);

instance::Statement makeStatement(instance::Op Op, const std::string &Table, const std::string &Key,
                                  const std::string &Value = {});

//-----------------------------------------------------------------------------
// Workload: sessions that send each request to a random host and record a history.
//-----------------------------------------------------------------------------

struct WorkloadOptions {
  uint32_t m_SessionCount = 8;
  uint32_t m_RowCount = 4;
  std::string m_Group = "g1";
  Duration m_Pause = Millis(2); // between the requests of a session
  uint64_t m_Seed = 1;
  // Requests use a random timeout from half of it up to it; 0: the host's default.
  Millis m_MaxTimeout{0};
};

struct Workload; // runs until stopWorkload()

std::shared_ptr<Workload> startWorkload(TestSystem &S, History &H, const WorkloadOptions &Options);
void stopWorkload(Workload &W);

// Reads the contents of a group from the instance that knows the most committed requests.
FinalState readFinalState(TestSystem &S, const std::string &Group);

} // namespace quetzalpaddle

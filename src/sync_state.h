// State and functions shared by sync.cpp (configuration, hosts), leases.cpp (leases) and
// rate_control.cpp (slots, admission). Internal to the synchronization.
#pragma once

#include "host.h"
#include "objects.pb.h"

#include <nlohmann/json_fwd.hpp>

namespace quetzalpaddle {

// Backoff between calls to the platform.
constexpr Millis InitialBackoff{25};
constexpr Millis MaxBackoff{1000};

// Send time of a write on two clocks, since the steady clock stops while the machine is suspended.
struct SentWrite {
  TimePoint m_SentAt{};
  Duration m_SentBootTime{};
};

// This host's lease object.
struct OwnLease {
  bool m_IsHeld = false;       // the store has the current incarnation, not marked as expired
  bool m_IsSuperseded = false; // a newer incarnation of this host is running
  bool m_NeedsRead = true;     // m_Version is not known
  bool m_IsInFlight = false;
  uint64_t m_Version = 0;
  uint64_t m_Incarnation = 0;
  uint64_t m_RenewalCount = 0;
  Duration m_BootExpiry{}; // end of the lease on the boot clock, which runs during suspension
  TimePoint m_NextAttemptAt{};
  uint32_t m_FailureCount = 0;
  std::map<std::string, SentWrite>
      m_SentWrites; // by operation id: writes that may have taken effect
};

// The lease object of a slot holder that appears to be down.
struct WatchedLease {
  LeaseObservation m_Observation;
  objects::HostLease m_Lease;
  bool m_IsRead = false;
  bool m_IsInFlight = false;
  TimePoint m_NextReadAt{};
  TimePoint m_NeededAt{}; // when a slot plan last needed it
};

// A write of rate/CUSTOMER whose outcome is not known. Until a newer version is read, this host
// allows for both outcomes: it uses the smaller rate share and none of the slots that it gave back.
struct PendingSlots {
  uint64_t m_BaseRevision = 0; // revision that the write expected
  uint32_t m_SlotCount = 0;
  std::set<std::pair<std::string, uint32_t>>
      m_KeptSlots; // own slots that it keeps: data centre and number
};

struct PlanState {
  std::optional<PendingSlots> m_PendingWrite;
  TimePoint m_DueAt{};
  bool m_IsInFlight = false;
  uint32_t m_FailureCount = 0;
};

struct SlotRelease {
  uint32_t m_RemainingCustomerCount = 0; // customers whose slots have not been returned yet
  TimePoint m_Deadline{};
  std::function<void()> m_OnDone;
};

struct SyncState {
  // Configuration
  bool m_IsLoaded = false;
  bool m_NeedsList = true;
  bool m_IsListInFlight = false;
  uint32_t m_ListFailureCount = 0;
  TimePoint m_NextListAt{};
  TimePoint m_NextPeerLoadAt{};
  size_t m_PeerLoadCount = 0; // selects the next host in turn
  bool m_IsPullInFlight = false;

  // Hosts
  bool m_HasHostList = false; // received from the platform
  bool m_IsHostListInFlight = false;
  TimePoint m_NextHostListAt{};
  TimePoint m_PlatformLastSeenAt{}; // time of the last reply from the platform

  // Watch
  std::shared_ptr<PlatformWatch> m_Watch;
  bool m_IsWatchConfirmed = false; // its first event has been received
  TimePoint m_WatchOpenedAt{};
  TimePoint m_NextWatchAt{};
  uint32_t m_WatchFailureCount = 0;
  bool m_IsRelay = false;
  TimePoint m_NextRelayCheckAt{};

  // Leases and slots
  OwnLease m_OwnLease;
  std::map<std::string, WatchedLease> m_WatchedLeases; // by host
  std::map<std::string, PlanState> m_Plans;            // by customer
  std::vector<std::string> m_UsableHosts;              // when all plans were last scheduled
  TimePoint m_NextUsableCheckAt{};
  std::optional<SlotRelease> m_SlotRelease; // set by releaseSlots()

  // Admission
  uint64_t m_NextRequestId = 1;
  std::unordered_map<uint64_t, std::function<void(Reason)>> m_WaitingCallbacks;

  uint64_t m_NextOperationId = 1;
  std::map<std::string, uint64_t> m_PlatformCallCounts; // by kind of call
};

// Wraps a callback so that it does nothing once the host's state has been destroyed.
template <class Function> auto guardHost(Host &ThisHost, Function Callback) {
  return [WeakState = std::weak_ptr<SyncState>(ThisHost.m_Sync), &ThisHost,
          Callback = std::move(Callback)](auto Result) {
    if (WeakState.lock())
      Callback(ThisHost, std::move(Result));
  };
}

// Returns the time since the machine booted, including time suspended.
Duration readBootClock();

// Returns a randomized delay that grows with the number of failures so far, up to Max.
Duration computeBackoff(Host &ThisHost, uint32_t Failures, Duration Max = MaxBackoff);
// Returns a random duration between zero and Max.
Duration makeJitter(Host &ThisHost, Duration Max);
// Returns an operation id that no other write has, also after a restart.
std::string makeOperationId(Host &ThisHost);

// Counts a call to the platform by kind, and records whether it was answered.
void countPlatformCall(Host &ThisHost, const std::string &Kind);
void recordPlatformResult(Host &ThisHost, bool HasSucceeded);

// Applies an object under config/ or rate/ that the platform sent.
void applyObject(Host &ThisHost, const platform::Object &Object);
// Cancels the requests and closes the connections of invalidated keys, and refreshes rate slots,
// after a configuration change.
void applyEffects(Host &ThisHost, const std::vector<ConfigEffect> &Effects);

// Recomputes the slots that this host may use from rate/CUSTOMER, the lease and the customer.
void refreshSlots(Host &ThisHost, const std::string &Customer, TimePoint Now);

// Schedules planning of the slots of one customer, or of all customers, after a short random delay.
void schedulePlan(Host &ThisHost, const std::string &Customer, TimePoint Now);
void scheduleAllPlans(Host &ThisHost, TimePoint Now);

// Updates whether this host's slots may hand out tokens now. Must be called before every use of the
// slots: the machine may have been suspended at any time, which only the boot clock shows.
void checkLease(Host &ThisHost, TimePoint Now);

// Acquires or renews this host's lease when due.
void tickLease(Host &ThisHost, TimePoint Now);

// Watches the leases of slot holders that appear to be down; leases of healthy holders are not
// read, which saves calls. Returns when the first watched lease expires, TimePoint::max() if none
// does.
TimePoint watchHolders(Host &ThisHost, const std::vector<SlotAssignment> &Slots, TimePoint Now);
void tickWatchedLeases(Host &ThisHost, TimePoint Now);

// Marks another host's lease as expired. The write fails if the holder renews the lease first.
void expireLease(Host &ThisHost, const std::string &Holder);

void tickRateControl(Host &ThisHost, TimePoint Now);
nlohmann::json dumpRateControl(const Host &ThisHost, TimePoint Now);

} // namespace quetzalpaddle

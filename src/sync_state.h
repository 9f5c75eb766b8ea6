// State and internal functions of sync.cpp (configuration, hosts), leases.cpp and rate_control.cpp
// (slots, admission).
#pragma once

#include "host.h"
#include "objects.pb.h"

#include <nlohmann/json_fwd.hpp>

namespace quetzalpaddle {

// Back-off of calls to the platform.
constexpr Millis InitialBackoff{25};
constexpr Millis MaxBackoff{1000};

// When a write was sent, on two clocks: the steady clock stops while the machine is suspended.
struct SentWrite {
  TimePoint m_SentAt{};
  Duration m_SentBootTime{};
};

// This host's lease object.
struct OwnLease {
  bool m_IsHeld = false;       // the store has the current incarnation, not marked expired
  bool m_IsSuperseded = false; // a newer incarnation of this host is running
  bool m_NeedsRead = true;     // m_Version is not known
  bool m_InFlight = false;
  uint64_t m_Version = 0;
  uint64_t m_Incarnation = 0;
  uint64_t m_RenewalCount = 0;
  Duration m_BootExpiry{}; // end of the lease on the clock that runs during suspension
  TimePoint m_NextAttemptAt{};
  uint32_t m_FailureCount = 0;
  std::map<std::string, SentWrite>
      m_SentWrites; // by operation id: writes that may have taken effect
};

// The lease object of a holder that seems to be gone.
struct WatchedLease {
  LeaseObservation m_Observation;
  objects::HostLease m_Lease;
  bool m_IsRead = false;
  bool m_InFlight = false;
  TimePoint m_NextReadAt{};
  TimePoint m_NeededAt{}; // by a slot plan
};

// A write of rate/CUSTOMER whose outcome is not known. Until a newer version is read, this host
// acts as if it had and had not taken effect: with the smaller share, and without what it gave
// back.
struct PendingSlots {
  uint64_t m_BaseRevision = 0; // revision that it was written upon
  uint32_t m_SlotCount = 0;
  std::set<std::pair<std::string, uint32_t>> m_KeptSlots; // own slots: data centre and number
};

struct PlanState {
  std::optional<PendingSlots> m_PendingWrite;
  TimePoint m_DueAt{};
  bool m_InFlight = false;
  uint32_t m_FailureCount = 0;
};

struct SlotRelease {
  uint32_t m_OpenCustomerCount = 0; // customers whose slots are not given back yet
  TimePoint m_Deadline{};
  std::function<void()> m_OnDone;
};

struct SyncState {
  // Configuration
  bool m_IsLoaded = false;
  bool m_NeedsList = true;
  bool m_ListInFlight = false;
  uint32_t m_ListFailureCount = 0;
  TimePoint m_NextListAt{};
  TimePoint m_NextPeerLoadAt{};
  size_t m_PeerLoadCount = 0; // so far, to take turns
  bool m_PullInFlight = false;

  // Hosts
  bool m_HasHostList = false; // by the platform
  bool m_HostsInFlight = false;
  TimePoint m_NextHostListAt{};
  TimePoint m_PlatformLastSeenAt{}; // last answer of the platform

  // Watch
  std::shared_ptr<PlatformWatch> m_Watch;
  bool m_IsWatchConfirmed = false; // its first event has come
  TimePoint m_WatchSince{};
  TimePoint m_NextWatchAt{};
  uint32_t m_WatchFailureCount = 0;
  bool m_IsRelay = false;
  TimePoint m_NextRelayCheckAt{};

  // Leases and slots
  OwnLease m_OwnLease;
  std::map<std::string, WatchedLease> m_WatchedLeases; // by host
  std::map<std::string, PlanState> m_Plans;            // by customer
  std::vector<std::string> m_UsableHosts;              // that plans were last made for
  TimePoint m_NextUsableCheckAt{};
  std::optional<SlotRelease> m_SlotRelease; // set by releaseSlots()

  // Admission
  uint64_t m_NextRequestId = 1;
  std::unordered_map<uint64_t, std::function<void(Reason)>> m_WaitingCallbacks;

  uint64_t m_NextOperationId = 1;
  std::map<std::string, uint64_t> m_PlatformCallCounts; // to the platform, by kind
};

// Wraps a handler so that it does nothing once the host's state is gone.
template <class Function> auto guardHost(Host &H, Function Callback) {
  return [WeakState = std::weak_ptr<SyncState>(H.m_Sync), &H,
          Callback = std::move(Callback)](auto Result) {
    if (WeakState.lock())
      Callback(H, std::move(Result));
  };
}

// Time since start of the machine, including suspension.
Duration readBootClock();

Duration computeBackoff(Host &H, uint32_t Failures, Duration Max = MaxBackoff);
Duration makeJitter(Host &H, Duration Max);
std::string makeOperationId(Host &H);

// Counts a call to the platform, and notes its answer.
void countPlatformCall(Host &H, const std::string &Kind);
void recordPlatformResult(Host &H, bool HasSucceeded);

// Takes over an object of config/ or rate/ that the platform has sent.
void applyObject(Host &H, const platform::Object &Object);
void applyEffects(Host &H, const std::vector<ConfigEffect> &Effects);

// Recomputes the slots that this host may use, from rate/CUSTOMER, the lease and the customer.
void refreshSlots(Host &H, const std::string &Customer, TimePoint Now);

// Plans a customer's slots, or all customers', after a short random time.
void schedulePlan(Host &H, const std::string &Customer, TimePoint Now);
void scheduleAllPlans(Host &H, TimePoint Now);

// Decides whether this host's slots may hand out tokens now. Called before every use of them: the
// host may have been suspended at any time, and only the boot clock shows it.
void checkLease(Host &H, TimePoint Now);

// Acquires and renews this host's lease.
void tickLease(Host &H, TimePoint Now);

// Follows the leases of holders that seem to be gone; those of other holders cost no calls. Returns
// when the first of these leases will be over.
TimePoint watchHolders(Host &H, const std::vector<SlotAssignment> &Slots, TimePoint Now);
void tickWatchedLeases(Host &H, TimePoint Now);

// Marks another host's lease as expired; fails if the holder renews it first.
void expireLease(Host &H, const std::string &Holder);

void tickRateControl(Host &H, TimePoint Now);
nlohmann::json dumpRateControl(const Host &H, TimePoint Now);

} // namespace quetzalpaddle

// Leases of hosts: this host's own lease, and those of slot holders that appear to be down.
#include "sync_state.h"

#include "config_codec.h"

#include <algorithm>
#include <ctime>
#include <fmt/format.h>

namespace quetzalpaddle {

namespace {

// Spreads the renewals of all hosts after an outage; leases last longer than this.
constexpr Millis LeaseMaxBackoff{10000};
// Interval between reads of another host's lease, which expires minutes after its last change.
constexpr std::chrono::seconds LeaseReadInterval{60};
// A lease that no slot plan needed for this long no longer belongs to a slot holder.
constexpr std::chrono::seconds MaxUnneededAge{120};

std::string makeLeaseName(std::string_view Host) { return fmt::format("lease/{}", Host); }

} // namespace

Duration readBootClock() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return std::chrono::seconds(Time.tv_sec) + std::chrono::nanoseconds(Time.tv_nsec);
}

void checkLease(Host &ThisHost, TimePoint Now) {
  const OwnLease &Lease = ThisHost.m_Sync->m_OwnLease;
  bool IsValid = Lease.m_IsHeld && Now < ThisHost.m_Rate.m_LeaseExpiresAt &&
                 readBootClock() < Lease.m_BootExpiry;
  if (IsValid == ThisHost.m_Rate.m_IsLeaseValid)
    return;
  ThisHost.m_Rate.m_IsLeaseValid = IsValid;
  logLine(IsValid ? LogLevel::Info : LogLevel::Warning, IsValid ? "lease_valid" : "lease_ended",
          {{"incarnation", std::to_string(Lease.m_Incarnation)}});
  for (const auto &[Id, Value] : ThisHost.m_Config.m_Customers)
    refreshSlots(ThisHost, Id, Now);
  if (IsValid)
    scheduleAllPlans(ThisHost, Now);
}

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Own lease
//-----------------------------------------------------------------------------

void scheduleLeaseRetry(Host &ThisHost) {
  OwnLease &Lease = ThisHost.m_Sync->m_OwnLease;
  Lease.m_NextAttemptAt =
      Clock::now() + computeBackoff(ThisHost, Lease.m_FailureCount++, LeaseMaxBackoff);
}

// Extends the lease after a write has taken effect. It counts from the time the write was sent.
void applyLeaseWrite(Host &ThisHost, const SentWrite &Write) {
  OwnLease &Lease = ThisHost.m_Sync->m_OwnLease;
  const RateSettings &Settings = ThisHost.m_Settings.m_Rate;
  TimePoint Now = Clock::now();
  Lease.m_IsHeld = true;
  Lease.m_NeedsRead = false;
  Lease.m_FailureCount = 0;
  Lease.m_SentWrites.clear(); // earlier writes expect an older version
  Lease.m_BootExpiry = Write.m_SentBootTime + Settings.m_LeaseDuration;
  ThisHost.m_Rate.m_LeaseExpiresAt = Write.m_SentAt + Settings.m_LeaseDuration;
  Duration RenewalInterval = Settings.m_LeaseRenewalInterval;
  Lease.m_NextAttemptAt =
      Now + RenewalInterval * 9 / 10 + makeJitter(ThisHost, RenewalInterval / 5);
  checkLease(ThisHost, Now);
}

// Applies the lease object as read from the store.
void applyStoredLease(Host &ThisHost, const platform::Object &Object) {
  OwnLease &Lease = ThisHost.m_Sync->m_OwnLease;
  TimePoint Now = Clock::now();
  Lease.m_NeedsRead = false;
  Lease.m_Version = Object.version();
  Lease.m_NextAttemptAt = Now;
  objects::HostLease StoredLease;
  if (Object.version() != 0 && !decodeMessage(Object.value(), StoredLease))
    logLine(LogLevel::Warning, "lease_damaged", {{"version", std::to_string(Object.version())}});
  auto Write = Lease.m_SentWrites.find(StoredLease.operation_id());
  if (Write != Lease.m_SentWrites.end() && !StoredLease.expired()) {
    applyLeaseWrite(ThisHost, SentWrite(Write->second));
    return;
  }
  bool WasHeld = Lease.m_IsHeld;
  if (WasHeld && StoredLease.incarnation() > Lease.m_Incarnation) {
    Lease.m_IsHeld = false;
    Lease.m_IsSuperseded = true;
    logLine(LogLevel::Error, "lease_superseded",
            {{"own", std::to_string(Lease.m_Incarnation)},
             {"stored", std::to_string(StoredLease.incarnation())}});
    checkLease(ThisHost, Now);
    return;
  }
  if (WasHeld && StoredLease.incarnation() == Lease.m_Incarnation && !StoredLease.expired())
    return; // still held; the next renewal expects the version just read
  // Not held before, marked as expired, damaged or deleted: start a new incarnation without slots.
  Lease.m_IsHeld = false;
  Lease.m_RenewalCount = 0;
  Lease.m_SentWrites.clear();
  Lease.m_Incarnation =
      std::max({ThisHost.m_Incarnation, Lease.m_Incarnation, StoredLease.incarnation()});
  if (WasHeld || StoredLease.incarnation() == Lease.m_Incarnation)
    ++Lease.m_Incarnation;
  checkLease(ThisHost, Now);
}

void readLease(Host &ThisHost) {
  ThisHost.m_Sync->m_OwnLease.m_IsInFlight = true;
  countPlatformCall(ThisHost, "get");
  using Answer = std::variant<platform::Object, PlatformError>;
  getObject(*ThisHost.m_Platform, makeLeaseName(ThisHost.m_Rate.m_Host),
            guardHost(ThisHost, [](Host &ThisHost, const Answer &Result) {
              ThisHost.m_Sync->m_OwnLease.m_IsInFlight = false;
              const auto *Object = std::get_if<platform::Object>(&Result);
              recordPlatformResult(ThisHost, Object != nullptr);
              if (Object)
                applyStoredLease(ThisHost, *Object);
              else
                scheduleLeaseRetry(ThisHost);
            }));
}

void writeLease(Host &ThisHost) {
  OwnLease &Lease = ThisHost.m_Sync->m_OwnLease;
  std::string OperationId = makeOperationId(ThisHost);
  objects::HostLease NewLease;
  NewLease.set_host(ThisHost.m_Rate.m_Host);
  NewLease.set_incarnation(Lease.m_Incarnation);
  NewLease.set_renewals(++Lease.m_RenewalCount);
  NewLease.set_operation_id(OperationId);
  // Taken before the write is sent, since the lease counts from here.
  SentWrite Write{.m_SentAt = Clock::now(), .m_SentBootTime = readBootClock()};
  Lease.m_SentWrites[OperationId] = Write;
  Lease.m_IsInFlight = true;
  countPlatformCall(ThisHost, "put");
  using Answer = std::variant<platform::WriteReply, PlatformError>;
  putObject(*ThisHost.m_Platform, makeLeaseName(ThisHost.m_Rate.m_Host), encodeMessage(NewLease),
            Lease.m_Version,
            guardHost(ThisHost, [OperationId, Write](Host &ThisHost, const Answer &Result) {
              OwnLease &Lease = ThisHost.m_Sync->m_OwnLease;
              Lease.m_IsInFlight = false;
              const auto *Reply = std::get_if<platform::WriteReply>(&Result);
              recordPlatformResult(ThisHost, Reply != nullptr);
              if (Reply && Reply->applied()) {
                Lease.m_Version = Reply->current().version();
                applyLeaseWrite(ThisHost, Write);
              } else if (Reply) {
                Lease.m_SentWrites.erase(OperationId);
                applyStoredLease(ThisHost, Reply->current());
                Lease.m_NextAttemptAt =
                    std::max(Lease.m_NextAttemptAt,
                             Clock::now() + computeBackoff(ThisHost, Lease.m_FailureCount++));
              } else {
                if (std::get<PlatformError>(Result) == PlatformError::Unavailable)
                  Lease.m_SentWrites.erase(OperationId);
                else
                  Lease.m_NeedsRead = true;
                scheduleLeaseRetry(ThisHost);
              }
            }));
}

} // namespace

void tickLease(Host &ThisHost, TimePoint Now) {
  const OwnLease &Lease = ThisHost.m_Sync->m_OwnLease;
  checkLease(ThisHost, Now);
  if (Lease.m_IsInFlight || Lease.m_IsSuperseded || ThisHost.m_Sync->m_SlotRelease ||
      Now < Lease.m_NextAttemptAt)
    return;
  if (Lease.m_NeedsRead)
    readLease(ThisHost);
  else
    writeLease(ThisHost);
}

//-----------------------------------------------------------------------------
// [SECTION] Leases of other hosts
//-----------------------------------------------------------------------------

namespace {

void applyWatchedLease(Host &ThisHost, const std::string &Holder, const platform::Object &Object) {
  auto It = ThisHost.m_Sync->m_WatchedLeases.find(Holder);
  if (It == ThisHost.m_Sync->m_WatchedLeases.end())
    return;
  WatchedLease &HolderLease = It->second;
  // The holder counts its lease from before its last write, so counting from now cannot expire the
  // lease too early.
  if (!HolderLease.m_IsRead || HolderLease.m_Observation.m_Version != Object.version()) {
    HolderLease.m_Observation.m_UnchangedSince = Clock::now();
    scheduleAllPlans(ThisHost, HolderLease.m_Observation.m_UnchangedSince);
  }
  HolderLease.m_IsRead = true;
  HolderLease.m_Lease.Clear();
  if (Object.version() == 0 || !decodeMessage(Object.value(), HolderLease.m_Lease))
    HolderLease.m_Lease.set_host(Holder);
  HolderLease.m_Observation.m_Version = Object.version();
  HolderLease.m_Observation.m_Incarnation = HolderLease.m_Lease.incarnation();
  HolderLease.m_Observation.m_IsExpired = HolderLease.m_Lease.expired();
}

void readWatchedLease(Host &ThisHost, const std::string &Holder) {
  WatchedLease &HolderLease = ThisHost.m_Sync->m_WatchedLeases[Holder];
  HolderLease.m_IsInFlight = true;
  HolderLease.m_NextReadAt =
      Clock::now() + LeaseReadInterval * 9 / 10 + makeJitter(ThisHost, LeaseReadInterval / 5);
  countPlatformCall(ThisHost, "get");
  using Answer = std::variant<platform::Object, PlatformError>;
  getObject(*ThisHost.m_Platform, makeLeaseName(Holder),
            guardHost(ThisHost, [Holder](Host &ThisHost, const Answer &Result) {
              auto It = ThisHost.m_Sync->m_WatchedLeases.find(Holder);
              if (It != ThisHost.m_Sync->m_WatchedLeases.end())
                It->second.m_IsInFlight = false;
              const auto *Object = std::get_if<platform::Object>(&Result);
              recordPlatformResult(ThisHost, Object != nullptr);
              if (Object)
                applyWatchedLease(ThisHost, Holder, *Object);
            }));
}

} // namespace

void expireLease(Host &ThisHost, const std::string &Holder) {
  auto It = ThisHost.m_Sync->m_WatchedLeases.find(Holder);
  if (It == ThisHost.m_Sync->m_WatchedLeases.end() || !It->second.m_IsRead ||
      It->second.m_IsInFlight)
    return;
  WatchedLease &HolderLease = It->second;
  objects::HostLease NewLease = HolderLease.m_Lease;
  NewLease.set_expired(true);
  NewLease.set_operation_id(makeOperationId(ThisHost));
  HolderLease.m_IsInFlight = true;
  countPlatformCall(ThisHost, "put");
  using Answer = std::variant<platform::WriteReply, PlatformError>;
  putObject(*ThisHost.m_Platform, makeLeaseName(Holder), encodeMessage(NewLease),
            HolderLease.m_Observation.m_Version,
            guardHost(ThisHost, [Holder](Host &ThisHost, const Answer &Result) {
              auto It = ThisHost.m_Sync->m_WatchedLeases.find(Holder);
              if (It != ThisHost.m_Sync->m_WatchedLeases.end()) {
                It->second.m_IsInFlight = false;
                It->second.m_NextReadAt =
                    TimePoint{}; // shows whether an unanswered write took effect
              }
              const auto *Reply = std::get_if<platform::WriteReply>(&Result);
              recordPlatformResult(ThisHost, Reply != nullptr);
              if (!Reply)
                return;
              logLine(LogLevel::Info, Reply->applied() ? "lease_marked_expired" : "lease_renewed",
                      {{"holder", Holder}});
              applyWatchedLease(ThisHost, Holder, Reply->current());
              scheduleAllPlans(ThisHost, Clock::now());
            }));
}

TimePoint watchHolders(Host &ThisHost, const std::vector<SlotAssignment> &Slots, TimePoint Now) {
  const RateSettings &Settings = ThisHost.m_Settings.m_Rate;
  auto ExpiryDelay =
      std::chrono::duration_cast<Duration>(Settings.m_LeaseDuration * (1 + Settings.m_DriftMargin));
  TimePoint FirstExpiry = TimePoint::max();
  for (const SlotAssignment &Slot : Slots) {
    if (Slot.m_Holder.empty() || Slot.m_Holder == ThisHost.m_Rate.m_Host)
      continue;
    auto It = ThisHost.m_Members.m_Hosts.find(Slot.m_Holder);
    // A draining host returns its slots itself.
    bool IsAlive = It != ThisHost.m_Members.m_Hosts.end() &&
                   (It->second.m_IsDraining || isUsable(ThisHost.m_Members, It->second, Now,
                                                        ThisHost.m_Settings.m_Membership));
    if (IsAlive) {
      ThisHost.m_Sync->m_WatchedLeases.erase(Slot.m_Holder);
      continue;
    }
    WatchedLease &HolderLease =
        ThisHost.m_Sync->m_WatchedLeases.try_emplace(Slot.m_Holder).first->second;
    HolderLease.m_NeededAt = Now;
    if (TimePoint Expiry = HolderLease.m_Observation.m_UnchangedSince + ExpiryDelay;
        HolderLease.m_IsRead && Expiry > Now)
      FirstExpiry = std::min(FirstExpiry, Expiry);
  }
  return FirstExpiry;
}

void tickWatchedLeases(Host &ThisHost, TimePoint Now) {
  std::erase_if(ThisHost.m_Sync->m_WatchedLeases,
                [&](const auto &Entry) { return Now - Entry.second.m_NeededAt > MaxUnneededAge; });
  std::vector<std::string> DueHolders;
  for (const auto &[Holder, HolderLease] : ThisHost.m_Sync->m_WatchedLeases)
    if (!HolderLease.m_IsInFlight && Now >= HolderLease.m_NextReadAt)
      DueHolders.push_back(Holder);
  for (const std::string &Holder : DueHolders)
    readWatchedLease(ThisHost, Holder);
}

} // namespace quetzalpaddle

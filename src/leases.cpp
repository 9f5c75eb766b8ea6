// Leases of hosts: this host's own, and those of slot holders that seem to be gone.
#include "sync_state.h"

#include "config_codec.h"

#include <algorithm>
#include <ctime>
#include <fmt/format.h>

namespace quetzalpaddle {

namespace {

// After an outage all hosts renew; a lease lasts long enough to spread this over 10 s.
constexpr Millis LeaseBackoffMost{10000};
// A lease ends minutes after its last change, so that reading it once a minute is enough.
constexpr std::chrono::seconds LeaseReadInterval{60};
// A lease that no plan has asked for since then no longer belongs to a slot holder.
constexpr std::chrono::seconds UnwantedAfter{120};

std::string leaseName(std::string_view Host) { return fmt::format("lease/{}", Host); }

} // namespace

Duration readBootClock() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return std::chrono::seconds(Time.tv_sec) + std::chrono::nanoseconds(Time.tv_nsec);
}

void checkLease(Host &H, TimePoint Now) {
  const OwnLease &L = H.m_Sync->m_Lease;
  bool Valid = L.m_Held && Now < H.m_Rate.m_LeaseExpiresAt && readBootClock() < L.m_BootUntil;
  if (Valid == H.m_Rate.m_IsLeaseValid)
    return;
  H.m_Rate.m_IsLeaseValid = Valid;
  logLine(Valid ? LogLevel::Info : LogLevel::Warning, Valid ? "lease_valid" : "lease_ended",
          {{"incarnation", std::to_string(L.m_Incarnation)}});
  for (const auto &[Id, Value] : H.m_Config.m_Customers)
    refreshSlots(H, Id, Now);
  if (Valid)
    planAllSoon(H, Now);
}

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Own lease
//-----------------------------------------------------------------------------

void leaseFailed(Host &H) {
  OwnLease &L = H.m_Sync->m_Lease;
  L.m_NextTry = Clock::now() + backoffAfter(H, L.m_Failures++, LeaseBackoffMost);
}

// The write with this operation id has taken effect.
void leaseWritten(Host &H, const SentWrite &Sent) {
  OwnLease &L = H.m_Sync->m_Lease;
  const RateSettings &Settings = H.m_Settings.m_Rate;
  TimePoint Now = Clock::now();
  L.m_Held = true;
  L.m_NeedsRead = false;
  L.m_Failures = 0;
  L.m_Sent.clear(); // earlier ones expected an older version
  L.m_BootUntil = Sent.m_Boot + Settings.m_LeaseDuration;
  H.m_Rate.m_LeaseExpiresAt = Sent.m_At + Settings.m_LeaseDuration;
  Duration Renewal = Settings.m_LeaseRenewalInterval;
  L.m_NextTry = Now + Renewal * 9 / 10 + jitterUpTo(H, Renewal / 5);
  checkLease(H, Now);
}

// Takes over the lease object as it is in the store.
void takeLease(Host &H, const platform::Object &Object) {
  OwnLease &L = H.m_Sync->m_Lease;
  TimePoint Now = Clock::now();
  L.m_NeedsRead = false;
  L.m_Version = Object.version();
  L.m_NextTry = Now;
  objects::HostLease Stored;
  if (Object.version() != 0 && !decodeMessage(Object.value(), Stored))
    logLine(LogLevel::Warning, "lease_damaged", {{"version", std::to_string(Object.version())}});
  auto Sent = L.m_Sent.find(Stored.operation_id());
  if (Sent != L.m_Sent.end() && !Stored.expired()) {
    leaseWritten(H, SentWrite(Sent->second));
    return;
  }
  bool WasHeld = L.m_Held;
  if (WasHeld && Stored.incarnation() > L.m_Incarnation) {
    L.m_Held = false;
    L.m_Superseded = true;
    logLine(LogLevel::Error, "lease_superseded",
            {{"own", std::to_string(L.m_Incarnation)},
             {"stored", std::to_string(Stored.incarnation())}});
    checkLease(H, Now);
    return;
  }
  if (WasHeld && Stored.incarnation() == L.m_Incarnation && !Stored.expired())
    return; // still held; the next renewal uses the version just read
  // Not held before, marked expired, damaged or gone: a new incarnation starts without slots.
  L.m_Held = false;
  L.m_Renewals = 0;
  L.m_Sent.clear();
  L.m_Incarnation = std::max({H.m_Incarnation, L.m_Incarnation, Stored.incarnation()});
  if (WasHeld || Stored.incarnation() == L.m_Incarnation)
    ++L.m_Incarnation;
  checkLease(H, Now);
}

void readLease(Host &H) {
  H.m_Sync->m_Lease.m_InFlight = true;
  countCall(H, "get");
  using Answer = std::variant<platform::Object, PlatformError>;
  getObject(*H.m_Platform, leaseName(H.m_Rate.m_Host),
            guardHost(H, [](Host &H, const Answer &Result) {
              H.m_Sync->m_Lease.m_InFlight = false;
              const auto *Object = std::get_if<platform::Object>(&Result);
              noteAnswered(H, Object != nullptr);
              if (Object)
                takeLease(H, *Object);
              else
                leaseFailed(H);
            }));
}

void writeLease(Host &H) {
  OwnLease &L = H.m_Sync->m_Lease;
  std::string Operation = makeOperationId(H);
  objects::HostLease New;
  New.set_host(H.m_Rate.m_Host);
  New.set_incarnation(L.m_Incarnation);
  New.set_renewals(++L.m_Renewals);
  New.set_operation_id(Operation);
  // Read before the write is sent: the lease counts from here.
  SentWrite Sent{.m_At = Clock::now(), .m_Boot = readBootClock()};
  L.m_Sent[Operation] = Sent;
  L.m_InFlight = true;
  countCall(H, "put");
  using Answer = std::variant<platform::WriteReply, PlatformError>;
  putObject(*H.m_Platform, leaseName(H.m_Rate.m_Host), encodeMessage(New), L.m_Version,
            guardHost(H, [Operation, Sent](Host &H, const Answer &Result) {
              OwnLease &L = H.m_Sync->m_Lease;
              L.m_InFlight = false;
              const auto *Reply = std::get_if<platform::WriteReply>(&Result);
              noteAnswered(H, Reply != nullptr);
              if (Reply && Reply->applied()) {
                L.m_Version = Reply->current().version();
                leaseWritten(H, Sent);
              } else if (Reply) {
                L.m_Sent.erase(Operation);
                takeLease(H, Reply->current());
                L.m_NextTry = std::max(L.m_NextTry, Clock::now() + backoffAfter(H, L.m_Failures++));
              } else {
                if (std::get<PlatformError>(Result) == PlatformError::Unavailable)
                  L.m_Sent.erase(Operation);
                else
                  L.m_NeedsRead = true;
                leaseFailed(H);
              }
            }));
}

} // namespace

void tickLease(Host &H, TimePoint Now) {
  const OwnLease &L = H.m_Sync->m_Lease;
  checkLease(H, Now);
  if (L.m_InFlight || L.m_Superseded || H.m_Sync->m_Release || Now < L.m_NextTry)
    return;
  if (L.m_NeedsRead)
    readLease(H);
  else
    writeLease(H);
}

//-----------------------------------------------------------------------------
// [SECTION] Leases of other hosts
//-----------------------------------------------------------------------------

namespace {

void takeWatchedLease(Host &H, const std::string &Holder, const platform::Object &Object) {
  auto Found = H.m_Sync->m_Leases.find(Holder);
  if (Found == H.m_Sync->m_Leases.end())
    return;
  WatchedLease &W = Found->second;
  // The holder's lease counts from before its last write, which is before now.
  if (!W.m_Read || W.m_Seen.m_Version != Object.version()) {
    W.m_Seen.m_UnchangedSince = Clock::now();
    planAllSoon(H, W.m_Seen.m_UnchangedSince);
  }
  W.m_Read = true;
  W.m_Lease.Clear();
  if (Object.version() == 0 || !decodeMessage(Object.value(), W.m_Lease))
    W.m_Lease.set_host(Holder);
  W.m_Seen.m_Version = Object.version();
  W.m_Seen.m_Incarnation = W.m_Lease.incarnation();
  W.m_Seen.m_IsExpired = W.m_Lease.expired();
}

void readWatchedLease(Host &H, const std::string &Holder) {
  WatchedLease &W = H.m_Sync->m_Leases[Holder];
  W.m_InFlight = true;
  W.m_NextRead = Clock::now() + LeaseReadInterval * 9 / 10 + jitterUpTo(H, LeaseReadInterval / 5);
  countCall(H, "get");
  using Answer = std::variant<platform::Object, PlatformError>;
  getObject(*H.m_Platform, leaseName(Holder), guardHost(H, [Holder](Host &H, const Answer &Result) {
    auto Found = H.m_Sync->m_Leases.find(Holder);
    if (Found != H.m_Sync->m_Leases.end())
      Found->second.m_InFlight = false;
    const auto *Object = std::get_if<platform::Object>(&Result);
    noteAnswered(H, Object != nullptr);
    if (Object)
      takeWatchedLease(H, Holder, *Object);
  }));
}

} // namespace

void expireLease(Host &H, const std::string &Holder) {
  auto Found = H.m_Sync->m_Leases.find(Holder);
  if (Found == H.m_Sync->m_Leases.end() || !Found->second.m_Read || Found->second.m_InFlight)
    return;
  WatchedLease &W = Found->second;
  objects::HostLease New = W.m_Lease;
  New.set_expired(true);
  New.set_operation_id(makeOperationId(H));
  W.m_InFlight = true;
  countCall(H, "put");
  using Answer = std::variant<platform::WriteReply, PlatformError>;
  putObject(*H.m_Platform, leaseName(Holder), encodeMessage(New), W.m_Seen.m_Version,
            guardHost(H, [Holder](Host &H, const Answer &Result) {
              auto Found = H.m_Sync->m_Leases.find(Holder);
              if (Found != H.m_Sync->m_Leases.end()) {
                Found->second.m_InFlight = false;
                Found->second.m_NextRead = TimePoint{}; // an unanswered write is seen on reading
              }
              const auto *Reply = std::get_if<platform::WriteReply>(&Result);
              noteAnswered(H, Reply != nullptr);
              if (!Reply)
                return;
              logLine(LogLevel::Info, Reply->applied() ? "lease_marked_expired" : "lease_renewed",
                      {{"holder", Holder}});
              takeWatchedLease(H, Holder, Reply->current());
              planAllSoon(H, Clock::now());
            }));
}

TimePoint watchHolders(Host &H, const std::vector<SlotAssignment> &Slots, TimePoint Now) {
  const RateSettings &Settings = H.m_Settings.m_Rate;
  auto Wait =
      std::chrono::duration_cast<Duration>(Settings.m_LeaseDuration * (1 + Settings.m_DriftMargin));
  TimePoint First = TimePoint::max();
  for (const SlotAssignment &Slot : Slots) {
    if (Slot.m_Holder.empty() || Slot.m_Holder == H.m_Rate.m_Host)
      continue;
    auto Found = H.m_Members.m_Hosts.find(Slot.m_Holder);
    // A draining host gives its slots back by itself.
    bool Alive = Found != H.m_Members.m_Hosts.end() &&
                 (Found->second.m_IsDraining ||
                  isUsable(H.m_Members, Found->second, Now, H.m_Settings.m_Membership));
    if (Alive) {
      H.m_Sync->m_Leases.erase(Slot.m_Holder);
      continue;
    }
    WatchedLease &Watched = H.m_Sync->m_Leases.try_emplace(Slot.m_Holder).first->second;
    Watched.m_WantedAt = Now;
    if (TimePoint End = Watched.m_Seen.m_UnchangedSince + Wait; Watched.m_Read && End > Now)
      First = std::min(First, End);
  }
  return First;
}

void tickWatchedLeases(Host &H, TimePoint Now) {
  std::erase_if(H.m_Sync->m_Leases,
                [&](const auto &Each) { return Now - Each.second.m_WantedAt > UnwantedAfter; });
  std::vector<std::string> Due;
  for (const auto &[Holder, Watched] : H.m_Sync->m_Leases)
    if (!Watched.m_InFlight && Now >= Watched.m_NextRead)
      Due.push_back(Holder);
  for (const std::string &Holder : Due)
    readWatchedLease(H, Holder);
}

} // namespace quetzalpaddle

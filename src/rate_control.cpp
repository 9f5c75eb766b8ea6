// Admission by rate and the slots that this host holds.
//
// Index of this file:
// [SECTION] Slots in use
// [SECTION] Slot plans
// [SECTION] Release of slots
// [SECTION] Admission
#include "sync_state.h"

#include "config_codec.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quetzalpaddle {

namespace {

// All hosts hear of a change at about the same time; they write the same object.
constexpr Millis PlanJitter{500};
// Plans are looked at again in case a host has failed or come back.
constexpr std::chrono::seconds PlanInterval{30};
constexpr size_t PlansPerTick =
    5; // at 2,000 hosts a plan takes about 0.25 ms of the control thread
constexpr std::chrono::seconds UsableCheckInterval{1};

// Limit of the time that a graceful shutdown spends on giving slots back.
constexpr Millis ReleaseLimit{2000};
constexpr uint32_t ReleaseTries = 4;

constexpr std::string_view RatePrefix = "rate/";

std::string rateName(std::string_view Customer) {
  return fmt::format("{}{}", RatePrefix, Customer);
}

//-----------------------------------------------------------------------------
// [SECTION] Slots in use
//-----------------------------------------------------------------------------

// What this host knows of rate/CUSTOMER.
struct KnownSlots {
  std::vector<SlotAssignment> m_Slots;
  uint64_t m_Version = 0;  // expected by the next write
  uint64_t m_Revision = 0; // of the last change or deletion
};

KnownSlots readSlots(const Host &H, const std::string &Customer) {
  KnownSlots Known;
  auto Found = H.m_Config.m_Records.find(rateName(Customer));
  if (Found == H.m_Config.m_Records.end())
    return Known;
  const ConfigRecord &Record = Found->second;
  Known.m_Revision = Record.m_Revision;
  Known.m_Version = Record.m_IsDeleted ? 0 : Record.m_Revision;
  bool Newest = Record.m_ActiveRevision == Record.m_Revision;
  objects::RateSlots Object;
  if (!decodeMessage(Newest ? Record.m_Payload : Record.m_ActivePayload, Object))
    return Known;
  for (const objects::RateSlot &Slot : Object.slots())
    Known.m_Slots.push_back({.m_DataCentre = Slot.data_centre(),
                             .m_Number = Slot.number(),
                             .m_Holder = Slot.holder(),
                             .m_Incarnation = Slot.incarnation(),
                             .m_RateDivisor = Slot.split()});
  return Known;
}

bool isOwn(const Host &H, const SlotAssignment &Slot) {
  return Slot.m_Holder == H.m_Rate.m_Host && Slot.m_Incarnation == H.m_Sync->m_Lease.m_Incarnation;
}

void finishWaiting(Host &H, uint64_t Id, Reason Why) {
  auto Found = H.m_Sync->m_Waiting.find(Id);
  if (Found == H.m_Sync->m_Waiting.end())
    return;
  std::function<void(Reason)> Done = std::move(Found->second);
  H.m_Sync->m_Waiting.erase(Found);
  Done(Why);
}

void dropCustomer(Host &H, const std::string &Customer) {
  H.m_Sync->m_Plans.erase(Customer);
  auto Found = H.m_Rate.m_Customers.find(Customer);
  if (Found == H.m_Rate.m_Customers.end())
    return;
  std::deque<WaitingRequest> Waiting = std::move(Found->second.m_WaitingRequests);
  H.m_Rate.m_Customers.erase(Found);
  for (const WaitingRequest &Each : Waiting)
    finishWaiting(H, Each.m_Id, Reason::RateLimited);
}

//-----------------------------------------------------------------------------
// [SECTION] Slot plans
//-----------------------------------------------------------------------------

std::string encodeSlots(const std::string &Customer, const std::vector<SlotAssignment> &Slots,
                        const std::string &Operation) {
  objects::RateSlots Object;
  Object.set_customer(Customer);
  for (const SlotAssignment &Slot : Slots) {
    objects::RateSlot *Added = Object.add_slots();
    Added->set_data_centre(Slot.m_DataCentre);
    Added->set_number(Slot.m_Number);
    Added->set_holder(Slot.m_Holder);
    Added->set_incarnation(Slot.m_Incarnation);
    Added->set_split(Slot.m_RateDivisor);
  }
  Object.set_operation_id(Operation);
  return encodeMessage(Object);
}

// The usable hosts of each data centre; ordering each part by itself takes one hash per host.
using HostsByDataCentre = std::map<std::string, Membership>;

HostsByDataCentre splitHosts(const Host &H, TimePoint Now) {
  HostsByDataCentre Parts;
  for (const auto &[Id, View] : H.m_Members.m_Hosts) {
    Membership &Part = Parts[View.m_DataCentre];
    Part.m_Self = H.m_Members.m_Self;
    if (isUsable(H.m_Members, View, Now, H.m_Settings.m_Membership))
      Part.m_Hosts.emplace(Id, View);
  }
  return Parts;
}

// Whether this host may take slots of a customer: planSlots() gives slot N of a data centre to the
// host at place N of its order. Other hosts neither plan nor follow leases.
bool isCandidate(const Host &H, const std::string &Customer, const HostsByDataCentre &Parts,
                 TimePoint Now) {
  auto Own = Parts.find(H.m_Members.m_DataCentre);
  if (Own == Parts.end())
    return false;
  std::vector<std::string> Order = orderHosts(Own->second, Customer, H.m_Members.m_DataCentre,
                                              false, Now, H.m_Settings.m_Membership);
  auto Place = std::ranges::find(Order, H.m_Members.m_Self) - Order.begin();
  return Place < static_cast<std::ptrdiff_t>(
                     std::min<size_t>(Order.size(), H.m_Settings.m_Rate.m_SlotsPerDataCentre));
}

SlotPlan planCustomer(const Host &H, const std::string &Customer, const KnownSlots &Known,
                      const HostsByDataCentre &Parts, bool Draining, TimePoint Now) {
  std::map<std::string, std::vector<std::string>> Preferred;
  for (const auto &[DataCentre, Part] : Parts)
    Preferred[DataCentre] =
        orderHosts(Part, Customer, DataCentre, false, Now, H.m_Settings.m_Membership);
  std::map<std::string, LeaseObservation> Leases;
  for (const auto &[Holder, Watched] : H.m_Sync->m_Leases)
    if (Watched.m_Read)
      Leases[Holder] = Watched.m_Seen;
  const OwnLease &Own = H.m_Sync->m_Lease;
  Leases[H.m_Rate.m_Host] = {.m_Version = Own.m_Version,
                             .m_Incarnation = Own.m_Incarnation,
                             .m_IsExpired = false,
                             .m_UnchangedSince = Now};
  return planSlots(Known.m_Slots, Preferred, H.m_Rate.m_Host, Own.m_Incarnation, Draining, Leases,
                   Now, H.m_Settings.m_Rate);
}

void retryPlan(Host &H, const std::string &Customer) {
  PlanState &Plan = H.m_Sync->m_Plans[Customer];
  Plan.m_Due = Clock::now() + backoffAfter(H, Plan.m_Failures++);
}

// A write of rate/CUSTOMER may have taken effect; the object tells.
void readSlotsAgain(Host &H, const std::string &Customer) {
  H.m_Sync->m_Plans[Customer].m_InFlight = true;
  countCall(H, "get");
  using Answer = std::variant<platform::Object, PlatformError>;
  getObject(*H.m_Platform, rateName(Customer),
            guardHost(H, [Customer](Host &H, const Answer &Result) {
              H.m_Sync->m_Plans[Customer].m_InFlight = false;
              const auto *Object = std::get_if<platform::Object>(&Result);
              noteAnswered(H, Object != nullptr);
              if (Object && Object->version() != 0)
                takeObject(H, *Object);
              retryPlan(H, Customer);
            }));
}

// Notes what a write gives up, before it is sent. Earlier writes upon the same version may still
// take effect too.
void notePending(Host &H, PlanState &Plan, const KnownSlots &Known, const SlotPlan &Planned) {
  PendingSlots New{.m_Base = Known.m_Revision,
                   .m_Split = static_cast<uint32_t>(Planned.m_Slots.size()),
                   .m_Kept = {}};
  for (const SlotAssignment &Slot : Planned.m_Slots)
    if (isOwn(H, Slot))
      New.m_Kept.emplace(Slot.m_DataCentre, Slot.m_Number);
  if (Plan.m_Pending && Plan.m_Pending->m_Base == Known.m_Revision) {
    New.m_Split = std::max(New.m_Split, Plan.m_Pending->m_Split);
    std::erase_if(New.m_Kept,
                  [&](const auto &Slot) { return !Plan.m_Pending->m_Kept.contains(Slot); });
  }
  Plan.m_Pending = std::move(New);
}

void writeSlots(Host &H, const std::string &Customer, const KnownSlots &Known,
                const SlotPlan &Planned) {
  PlanState &Plan = H.m_Sync->m_Plans[Customer];
  Plan.m_InFlight = true;
  notePending(H, Plan, Known, Planned);
  refreshSlots(H, Customer, Clock::now());
  std::string Payload = encodeSlots(Customer, Planned.m_Slots, makeOperationId(H));
  countCall(H, "put");
  using Answer = std::variant<platform::WriteReply, PlatformError>;
  putObject(*H.m_Platform, rateName(Customer), Payload, Known.m_Version,
            guardHost(H, [Customer](Host &H, const Answer &Result) {
              PlanState &Plan = H.m_Sync->m_Plans[Customer];
              Plan.m_InFlight = false;
              const auto *Reply = std::get_if<platform::WriteReply>(&Result);
              noteAnswered(H, Reply != nullptr);
              if (Reply) {
                // Holds this host's slots, or those of the host that was faster.
                if (Reply->current().version() != 0)
                  takeObject(H, Reply->current());
                if (Reply->applied())
                  Plan.m_Failures = 0;
                else
                  retryPlan(H, Customer);
              } else if (std::get<PlatformError>(Result) == PlatformError::Unanswered) {
                readSlotsAgain(H, Customer);
              } else {
                retryPlan(H, Customer);
              }
            }));
}

void runPlan(Host &H, const std::string &Customer, const HostsByDataCentre &Parts, TimePoint Now) {
  if (!H.m_Config.m_Customers.contains(Customer)) {
    H.m_Sync->m_Plans.erase(Customer);
    return;
  }
  KnownSlots Known = readSlots(H, Customer);
  bool Concerned = isCandidate(H, Customer, Parts, Now) ||
                   std::ranges::any_of(Known.m_Slots, [&](const SlotAssignment &Slot) {
                     return Slot.m_Holder == H.m_Rate.m_Host;
                   });
  TimePoint LeaseEnd = Concerned ? watchHolders(H, Known.m_Slots, Now) : TimePoint::max();
  H.m_Sync->m_Plans[Customer].m_Due =
      std::min(LeaseEnd == TimePoint::max() ? LeaseEnd : LeaseEnd + jitterUpTo(H, PlanJitter),
               Now + PlanInterval * 3 / 4 + jitterUpTo(H, PlanInterval / 2));
  if (!Concerned)
    return;
  SlotPlan Planned = planCustomer(H, Customer, Known, Parts, false, Now);
  // The slots of these hosts are taken by a later plan, once the store has the mark.
  for (const std::string &Holder : Planned.m_LeasesToExpire)
    expireLease(H, Holder);
  if (Planned.m_HasChanged && Planned.m_LeasesToExpire.empty())
    writeSlots(H, Customer, Known, Planned);
}

void tickPlans(Host &H, TimePoint Now) {
  SyncState &S = *H.m_Sync;
  // Without the platform's host list the data centres are not known.
  if (!S.m_Loaded || !S.m_HostsListed || !H.m_Rate.m_IsLeaseValid || H.m_Draining || S.m_Release)
    return;
  if (Now >= S.m_NextUsableCheck) {
    S.m_NextUsableCheck = Now + UsableCheckInterval;
    std::vector<std::string> Usable;
    for (const auto &[Id, View] : H.m_Members.m_Hosts)
      if (isUsable(H.m_Members, View, Now, H.m_Settings.m_Membership))
        Usable.push_back(Id);
    if (Usable != std::exchange(S.m_UsableHosts, Usable))
      planAllSoon(H, Now);
  }
  std::vector<std::string> Due;
  for (const auto &[Customer, Plan] : S.m_Plans) {
    if (!Plan.m_InFlight && Now >= Plan.m_Due)
      Due.push_back(Customer);
    if (Due.size() == PlansPerTick)
      break;
  }
  if (Due.empty())
    return;
  HostsByDataCentre Parts = splitHosts(H, Now);
  for (const std::string &Customer : Due)
    runPlan(H, Customer, Parts, Now);
}

//-----------------------------------------------------------------------------
// [SECTION] Release of slots
//-----------------------------------------------------------------------------

void finishRelease(Host &H) {
  if (!H.m_Sync->m_Release)
    return;
  std::function<void()> Done = std::exchange(H.m_Sync->m_Release->m_Done, nullptr);
  if (Done)
    Done();
}

void customerReleased(Host &H) {
  if (--H.m_Sync->m_Release->m_Open == 0)
    finishRelease(H);
}

void releaseCustomer(Host &H, const std::string &Customer, uint32_t Tries) {
  KnownSlots Known = readSlots(H, Customer);
  TimePoint Now = Clock::now();
  SlotPlan Planned = planCustomer(H, Customer, Known, splitHosts(H, Now), true, Now);
  if (!Planned.m_HasChanged || Tries == 0) {
    customerReleased(H);
    return;
  }
  countCall(H, "put");
  using Answer = std::variant<platform::WriteReply, PlatformError>;
  putObject(*H.m_Platform, rateName(Customer),
            encodeSlots(Customer, Planned.m_Slots, makeOperationId(H)), Known.m_Version,
            guardHost(H, [Customer, Tries](Host &H, const Answer &Result) {
              const auto *Reply = std::get_if<platform::WriteReply>(&Result);
              noteAnswered(H, Reply != nullptr);
              if (Reply && Reply->current().version() != 0)
                takeObject(H, Reply->current());
              releaseCustomer(H, Customer, Tries - 1);
            }));
}

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

void sendAsks(Host &H, const std::vector<TokenRequest> &Asks);

void takeGrant(Host &H, const TokenRequest &Ask, double Granted, double Level) {
  if (!H.m_Rate.m_Customers.contains(Ask.m_Customer))
    return;
  TimePoint Now = Clock::now();
  AddTokensResult Added = addTokens(H.m_Rate, Ask.m_Customer, Ask.m_Host, Granted, Level,
                                    Ask.m_RequestedAt, Now, H.m_Settings.m_Rate);
  for (uint64_t Id : Added.m_AdmittedIds)
    finishWaiting(H, Id, Reason::None);
  sendAsks(H, Added.m_TokenRequests);
}

void sendAsks(Host &H, const std::vector<TokenRequest> &Asks) {
  using Answer = std::variant<peer::AcquireTokensReply, PeerError>;
  for (const TokenRequest &Ask : Asks) {
    auto Found = H.m_Members.m_Hosts.find(Ask.m_Host);
    if (!H.m_Links || Found == H.m_Members.m_Hosts.end() || Found->second.m_Address.empty()) {
      // Later, so that a decision that asks the same holder again cannot recurse without end.
      H.m_Run([Guarded = guardHost(H, [Ask](Host &H, int) { takeGrant(H, Ask, 0, 0); })] {
        Guarded(0);
      });
      continue;
    }
    peer::AcquireTokensRequest Request;
    Request.set_customer(Ask.m_Customer);
    Request.set_wanted(Ask.m_RequestedTokens);
    Request.set_host(H.m_Rate.m_Host);
    callAcquireTokens(*H.m_Links, Found->second.m_Address, Request,
                      H.m_Settings.m_Rate.m_TransferValidity,
                      guardHost(H, [Ask](Host &H, const Answer &Result) {
                        const auto *Reply = std::get_if<peer::AcquireTokensReply>(&Result);
                        takeGrant(H, Ask, Reply ? Reply->granted() : 0, Reply ? Reply->level() : 0);
                      }));
  }
}

double sumLevels(const CustomerRate &Rate) {
  double Sum = 0;
  for (const Bucket &Slot : Rate.m_HeldSlots)
    Sum += Slot.m_Level;
  return Sum;
}

} // namespace

void refreshSlots(Host &H, const std::string &Customer, TimePoint Now) {
  auto Found = H.m_Config.m_Customers.find(Customer);
  if (Found == H.m_Config.m_Customers.end()) {
    dropCustomer(H, Customer);
    return;
  }
  KnownSlots Known = readSlots(H, Customer);
  auto Count = static_cast<uint32_t>(std::max<size_t>(1, Known.m_Slots.size()));
  PendingSlots *Pending = nullptr;
  if (auto Plan = H.m_Sync->m_Plans.find(Customer); Plan != H.m_Sync->m_Plans.end()) {
    std::optional<PendingSlots> &Written = Plan->second.m_Pending;
    if (Written && Written->m_Base < Known.m_Revision)
      Written.reset(); // the version that was written upon has been replaced
    Pending = Written ? &*Written : nullptr;
  }
  if (Pending)
    Count = std::max(Count, Pending->m_Split);
  uint32_t Held = 0;
  std::map<std::string, SlotHolder> Others;
  for (const SlotAssignment &Slot : Known.m_Slots) {
    if (Slot.m_Holder.empty())
      continue;
    if (Slot.m_Holder != H.m_Rate.m_Host) {
      SlotHolder &Holder = Others[Slot.m_Holder];
      Holder.m_SlotCount = Holder.m_Host.empty() ? 1 : Holder.m_SlotCount + 1;
      Holder.m_Host = Slot.m_Holder;
      Holder.m_DataCentre = Slot.m_DataCentre;
    } else if (H.m_Rate.m_IsLeaseValid && isOwn(H, Slot) &&
               (!Pending || Pending->m_Kept.contains({Slot.m_DataCentre, Slot.m_Number}))) {
      ++Held;
    }
  }
  std::vector<SlotHolder> Holders;
  Holders.reserve(Others.size());
  for (auto &[Host, Holder] : Others)
    Holders.push_back(std::move(Holder));
  setSlots(H.m_Rate, Customer, splitRate(Found->second, Count, H.m_Settings.m_Rate), Held, Holders,
           Now);
}

void planSoon(Host &H, const std::string &Customer, TimePoint Now) {
  TimePoint Due = Now + jitterUpTo(H, PlanJitter);
  auto [Plan, New] = H.m_Sync->m_Plans.try_emplace(Customer);
  if (New || Due < Plan->second.m_Due)
    Plan->second.m_Due = Due;
}

void planAllSoon(Host &H, TimePoint Now) {
  for (const auto &[Id, Value] : H.m_Config.m_Customers)
    planSoon(H, Id, Now);
}

void tickRateControl(Host &H, TimePoint Now) {
  if (H.m_Platform) {
    tickLease(H, Now);
    tickPlans(H, Now);
    tickWatchedLeases(H, Now);
  }
  for (uint64_t Id : expireWaiting(H.m_Rate, Now, H.m_Settings.m_Rate))
    finishWaiting(H, Id, Reason::RateLimited);
  if (H.m_Sync->m_Release && Now >= H.m_Sync->m_Release->m_Deadline)
    finishRelease(H);
}

void admitByRate(Host &H, const std::string &Customer, std::function<void(Reason)> Done) {
  TimePoint Now = Clock::now();
  checkLease(H, Now);
  uint64_t Id = H.m_Sync->m_NextRequest++;
  AdmitResult Result = admitRequest(H.m_Rate, Customer, Id, Now, H.m_Settings.m_Rate);
  if (Result.m_Admission == Admission::Waiting)
    H.m_Sync->m_Waiting[Id] = std::move(Done);
  else
    Done(Result.m_Admission == Admission::Admitted ? Reason::None : Reason::RateLimited);
  sendAsks(H, Result.m_TokenRequests);
}

peer::AcquireTokensReply handleAcquire(Host &H, const peer::AcquireTokensRequest &Request) {
  TimePoint Now = Clock::now();
  checkLease(H, Now);
  peer::AcquireTokensReply Reply;
  auto Found = H.m_Rate.m_Customers.find(Request.customer());
  if (Found == H.m_Rate.m_Customers.end() || Found->second.m_HeldSlots.empty())
    return Reply;
  Reply.set_holder(true);
  Reply.set_granted(
      grantTokens(H.m_Rate, Request.customer(), Request.wanted(), Now, H.m_Settings.m_Rate));
  Reply.set_level(sumLevels(Found->second));
  return Reply;
}

void releaseSlots(Host &H, std::function<void()> Done) {
  SyncState &S = *H.m_Sync;
  if (S.m_Release) { // a second request for the same shutdown
    Done();
    return;
  }
  TimePoint Now = Clock::now();
  std::vector<std::string> Customers;
  for (const auto &[Id, Value] : H.m_Config.m_Customers)
    if (std::ranges::any_of(readSlots(H, Id).m_Slots,
                            [&](const SlotAssignment &Slot) { return isOwn(H, Slot); }))
      Customers.push_back(Id);
  // Stops handing out tokens before others may take the slots.
  S.m_Lease.m_Held = false;
  checkLease(H, Now);
  S.m_Release = {.m_Open = static_cast<uint32_t>(Customers.size()),
                 .m_Deadline = Now + ReleaseLimit,
                 .m_Done = std::move(Done)};
  if (Customers.empty() || !H.m_Platform) {
    finishRelease(H);
    return;
  }
  for (const std::string &Customer : Customers)
    releaseCustomer(H, Customer, ReleaseTries);
}

nlohmann::json dumpRateControl(const Host &H, TimePoint Now) {
  const OwnLease &L = H.m_Sync->m_Lease;
  nlohmann::json Customers = nlohmann::json::object();
  for (const auto &[Id, Rate] : H.m_Rate.m_Customers) {
    nlohmann::json Holders = nlohmann::json::array();
    for (const SlotHolder &Holder : Rate.m_Holders)
      Holders.push_back(Holder.m_Host);
    Customers[Id] = {{"slots", Rate.m_HeldSlots.size()},
                     {"level", sumLevels(Rate)},
                     {"waiting", Rate.m_WaitingRequests.size()},
                     {"other_holders", std::move(Holders)}};
  }
  nlohmann::json Watched = nlohmann::json::object();
  for (const auto &[Holder, Lease] : H.m_Sync->m_Leases)
    Watched[Holder] = {{"version", Lease.m_Seen.m_Version}, {"expired", Lease.m_Seen.m_IsExpired}};
  auto Left = std::chrono::duration_cast<Millis>(H.m_Rate.m_LeaseExpiresAt - Now);
  return {{"lease",
           {{"valid", H.m_Rate.m_IsLeaseValid},
            {"held", L.m_Held},
            {"superseded", L.m_Superseded},
            {"incarnation", L.m_Incarnation},
            {"left_ms", std::max<int64_t>(0, Left.count())}}},
          {"customers", std::move(Customers)},
          {"leases_of_missing_hosts", std::move(Watched)}};
}

} // namespace quetzalpaddle

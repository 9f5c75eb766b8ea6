// Admission of requests by rate, and the rate slots that this host holds.
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

// Maximum random delay before a slot plan, so that hosts that learn about a change together do not
// all write the same object.
constexpr Millis MaxPlanJitter{500};
// Plans are recomputed at this interval in case a host has failed or recovered.
constexpr std::chrono::seconds PlanInterval{30};
// With 2,000 hosts, each plan occupies the control thread for about 0.25 ms.
constexpr size_t MaxPlansPerTick = 5;
constexpr std::chrono::seconds UsableCheckInterval{1};

// Time that a graceful shutdown may spend on returning slots.
constexpr Millis ReleaseTimeout{2000};
constexpr uint32_t MaxReleaseAttempts = 4;

constexpr std::string_view RatePrefix = "rate/";

std::string makeRateName(std::string_view Customer) {
  return fmt::format("{}{}", RatePrefix, Customer);
}

//-----------------------------------------------------------------------------
// [SECTION] Slots in use
//-----------------------------------------------------------------------------

// Content of rate/CUSTOMER as known to this host.
struct KnownSlots {
  std::vector<SlotAssignment> m_Slots;
  uint64_t m_Version = 0;  // that the next write expects; 0 if deleted
  uint64_t m_Revision = 0; // of the last change or deletion
};

KnownSlots readSlots(const Host &ThisHost, const std::string &Customer) {
  KnownSlots CurrentSlots;
  auto It = ThisHost.m_Config.m_Records.find(makeRateName(Customer));
  if (It == ThisHost.m_Config.m_Records.end())
    return CurrentSlots;
  const ConfigRecord &Record = It->second;
  CurrentSlots.m_Revision = Record.m_Revision;
  CurrentSlots.m_Version = Record.m_IsDeleted ? 0 : Record.m_Revision;
  bool IsNewestValid = Record.m_ActiveRevision == Record.m_Revision;
  objects::RateSlots Object;
  if (!decodeMessage(IsNewestValid ? Record.m_Payload : Record.m_ActivePayload, Object))
    return CurrentSlots;
  for (const objects::RateSlot &Slot : Object.slots())
    CurrentSlots.m_Slots.push_back({.m_DataCentre = Slot.data_centre(),
                                    .m_Number = Slot.number(),
                                    .m_Holder = Slot.holder(),
                                    .m_Incarnation = Slot.incarnation(),
                                    .m_RateDivisor = Slot.split()});
  return CurrentSlots;
}

bool isOwnSlot(const Host &ThisHost, const SlotAssignment &Slot) {
  return Slot.m_Holder == ThisHost.m_Rate.m_Host &&
         Slot.m_Incarnation == ThisHost.m_Sync->m_OwnLease.m_Incarnation;
}

void finishWaitingRequest(Host &ThisHost, uint64_t Id, Reason Outcome) {
  auto It = ThisHost.m_Sync->m_WaitingCallbacks.find(Id);
  if (It == ThisHost.m_Sync->m_WaitingCallbacks.end())
    return;
  std::function<void(Reason)> OnDone = std::move(It->second);
  ThisHost.m_Sync->m_WaitingCallbacks.erase(It);
  OnDone(Outcome);
}

void dropCustomer(Host &ThisHost, const std::string &Customer) {
  ThisHost.m_Sync->m_Plans.erase(Customer);
  auto It = ThisHost.m_Rate.m_Customers.find(Customer);
  if (It == ThisHost.m_Rate.m_Customers.end())
    return;
  std::deque<WaitingRequest> WaitingRequests = std::move(It->second.m_WaitingRequests);
  ThisHost.m_Rate.m_Customers.erase(It);
  for (const WaitingRequest &Request : WaitingRequests)
    finishWaitingRequest(ThisHost, Request.m_Id, Reason::RateLimited);
}

//-----------------------------------------------------------------------------
// [SECTION] Slot plans
//-----------------------------------------------------------------------------

std::string encodeSlots(const std::string &Customer, const std::vector<SlotAssignment> &Slots,
                        const std::string &OperationId) {
  objects::RateSlots Object;
  Object.set_customer(Customer);
  for (const SlotAssignment &Slot : Slots) {
    objects::RateSlot *NewSlot = Object.add_slots();
    NewSlot->set_data_centre(Slot.m_DataCentre);
    NewSlot->set_number(Slot.m_Number);
    NewSlot->set_holder(Slot.m_Holder);
    NewSlot->set_incarnation(Slot.m_Incarnation);
    NewSlot->set_split(Slot.m_RateDivisor);
  }
  Object.set_operation_id(OperationId);
  return encodeMessage(Object);
}

// The usable hosts of each data centre. Ordering each data centre separately takes one hash per
// host.
using HostsByDataCentre = std::map<std::string, Membership>;

HostsByDataCentre partitionHostsByDataCentre(const Host &ThisHost, TimePoint Now) {
  HostsByDataCentre HostPartitions;
  for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts) {
    Membership &DataCentreHosts = HostPartitions[View.m_DataCentre];
    DataCentreHosts.m_Self = ThisHost.m_Members.m_Self;
    if (isUsable(ThisHost.m_Members, View, Now, ThisHost.m_Settings.m_Membership))
      DataCentreHosts.m_Hosts.emplace(Id, View);
  }
  return HostPartitions;
}

// Whether this host may hold slots of a customer: planSlots() assigns slot N of a data centre to
// the host at position N of the customer's host order. Other hosts neither plan nor watch leases.
bool canHoldSlots(const Host &ThisHost, const std::string &Customer,
                  const HostsByDataCentre &HostPartitions, TimePoint Now) {
  auto OwnDataCentre = HostPartitions.find(ThisHost.m_Members.m_DataCentre);
  if (OwnDataCentre == HostPartitions.end())
    return false;
  std::vector<std::string> HostOrder =
      orderHosts(OwnDataCentre->second, Customer, ThisHost.m_Members.m_DataCentre, false, Now,
                 ThisHost.m_Settings.m_Membership);
  auto Rank = std::ranges::find(HostOrder, ThisHost.m_Members.m_Self) - HostOrder.begin();
  return Rank < static_cast<std::ptrdiff_t>(std::min<size_t>(
                    HostOrder.size(), ThisHost.m_Settings.m_Rate.m_SlotsPerDataCentre));
}

SlotPlan planCustomer(const Host &ThisHost, const std::string &Customer,
                      const KnownSlots &CurrentSlots, const HostsByDataCentre &HostPartitions,
                      SlotPhase Phase, TimePoint Now) {
  std::map<std::string, std::vector<std::string>> PreferredHosts;
  for (const auto &[DataCentre, DataCentreHosts] : HostPartitions)
    PreferredHosts[DataCentre] = orderHosts(DataCentreHosts, Customer, DataCentre, false, Now,
                                            ThisHost.m_Settings.m_Membership);
  std::map<std::string, LeaseObservation> Leases;
  for (const auto &[Holder, HolderLease] : ThisHost.m_Sync->m_WatchedLeases)
    if (HolderLease.m_IsRead)
      Leases[Holder] = HolderLease.m_Observation;
  const OwnLease &OwnLeaseState = ThisHost.m_Sync->m_OwnLease;
  Leases[ThisHost.m_Rate.m_Host] = {.m_Version = OwnLeaseState.m_Version,
                                    .m_Incarnation = OwnLeaseState.m_Incarnation,
                                    .m_IsExpired = false,
                                    .m_UnchangedSince = Now};
  return planSlots(CurrentSlots.m_Slots, PreferredHosts, ThisHost.m_Rate.m_Host,
                   OwnLeaseState.m_Incarnation, Phase, Leases, Now, ThisHost.m_Settings.m_Rate);
}

void retryPlan(Host &ThisHost, const std::string &Customer) {
  PlanState &Plan = ThisHost.m_Sync->m_Plans[Customer];
  Plan.m_DueAt = Clock::now() + computeBackoff(ThisHost, Plan.m_FailureCount++);
}

// Reads rate/CUSTOMER to find out whether an unanswered write has taken effect.
void rereadSlots(Host &ThisHost, const std::string &Customer) {
  ThisHost.m_Sync->m_Plans[Customer].m_IsInFlight = true;
  countPlatformCall(ThisHost, "get");
  using Answer = std::variant<platform::Object, PlatformError>;
  getObject(*ThisHost.m_Platform, makeRateName(Customer),
            guardHost(ThisHost, [Customer](Host &ThisHost, const Answer &Result) {
              ThisHost.m_Sync->m_Plans[Customer].m_IsInFlight = false;
              const auto *Object = std::get_if<platform::Object>(&Result);
              recordPlatformResult(ThisHost, Object != nullptr);
              if (Object && Object->version() != 0)
                applyObject(ThisHost, *Object);
              retryPlan(ThisHost, Customer);
            }));
}

// Records before a write is sent which slots it gives up. Earlier writes that expected the same
// version may still take effect too.
void recordPendingWrite(Host &ThisHost, PlanState &Plan, const KnownSlots &CurrentSlots,
                        const SlotPlan &NewPlan) {
  PendingSlots NewSlots{.m_BaseRevision = CurrentSlots.m_Revision,
                        .m_SlotCount = static_cast<uint32_t>(NewPlan.m_Slots.size()),
                        .m_KeptSlots = {}};
  for (const SlotAssignment &Slot : NewPlan.m_Slots)
    if (isOwnSlot(ThisHost, Slot))
      NewSlots.m_KeptSlots.emplace(Slot.m_DataCentre, Slot.m_Number);
  if (Plan.m_PendingWrite && Plan.m_PendingWrite->m_BaseRevision == CurrentSlots.m_Revision) {
    NewSlots.m_SlotCount = std::max(NewSlots.m_SlotCount, Plan.m_PendingWrite->m_SlotCount);
    std::erase_if(NewSlots.m_KeptSlots, [&](const auto &Slot) {
      return !Plan.m_PendingWrite->m_KeptSlots.contains(Slot);
    });
  }
  Plan.m_PendingWrite = std::move(NewSlots);
}

void writeSlots(Host &ThisHost, const std::string &Customer, const KnownSlots &CurrentSlots,
                const SlotPlan &NewPlan) {
  PlanState &Plan = ThisHost.m_Sync->m_Plans[Customer];
  Plan.m_IsInFlight = true;
  recordPendingWrite(ThisHost, Plan, CurrentSlots, NewPlan);
  refreshSlots(ThisHost, Customer, Clock::now());
  std::string Payload = encodeSlots(Customer, NewPlan.m_Slots, makeOperationId(ThisHost));
  countPlatformCall(ThisHost, "put");
  using Answer = std::variant<platform::WriteReply, PlatformError>;
  putObject(*ThisHost.m_Platform, makeRateName(Customer), Payload, CurrentSlots.m_Version,
            guardHost(ThisHost, [Customer](Host &ThisHost, const Answer &Result) {
              PlanState &Plan = ThisHost.m_Sync->m_Plans[Customer];
              Plan.m_IsInFlight = false;
              const auto *Reply = std::get_if<platform::WriteReply>(&Result);
              recordPlatformResult(ThisHost, Reply != nullptr);
              if (Reply) {
                // The current object is the one just written or that of a host that wrote first.
                if (Reply->current().version() != 0)
                  applyObject(ThisHost, Reply->current());
                if (Reply->applied())
                  Plan.m_FailureCount = 0;
                else
                  retryPlan(ThisHost, Customer);
              } else if (std::get<PlatformError>(Result) == PlatformError::Unanswered) {
                rereadSlots(ThisHost, Customer);
              } else {
                retryPlan(ThisHost, Customer);
              }
            }));
}

void runPlan(Host &ThisHost, const std::string &Customer, const HostsByDataCentre &HostPartitions,
             TimePoint Now) {
  if (!ThisHost.m_Config.m_Customers.contains(Customer)) {
    ThisHost.m_Sync->m_Plans.erase(Customer);
    return;
  }
  KnownSlots CurrentSlots = readSlots(ThisHost, Customer);
  bool IsInvolved = canHoldSlots(ThisHost, Customer, HostPartitions, Now) ||
                    std::ranges::any_of(CurrentSlots.m_Slots, [&](const SlotAssignment &Slot) {
                      return Slot.m_Holder == ThisHost.m_Rate.m_Host;
                    });
  TimePoint LeaseEnd =
      IsInvolved ? watchHolders(ThisHost, CurrentSlots.m_Slots, Now) : TimePoint::max();
  ThisHost.m_Sync->m_Plans[Customer].m_DueAt = std::min(
      LeaseEnd == TimePoint::max() ? LeaseEnd : LeaseEnd + makeJitter(ThisHost, MaxPlanJitter),
      Now + PlanInterval * 3 / 4 + makeJitter(ThisHost, PlanInterval / 2));
  if (!IsInvolved)
    return;
  SlotPhase Phase = ThisHost.m_IsDraining ? SlotPhase::Draining : SlotPhase::Serving;
  SlotPlan NewPlan = planCustomer(ThisHost, Customer, CurrentSlots, HostPartitions, Phase, Now);
  // A later plan takes over the slots of these hosts, once their leases are marked as expired in
  // the store.
  for (const std::string &Holder : NewPlan.m_LeasesToExpire)
    expireLease(ThisHost, Holder);
  if (NewPlan.m_HasChanged && NewPlan.m_LeasesToExpire.empty())
    writeSlots(ThisHost, Customer, CurrentSlots, NewPlan);
}

void tickPlans(Host &ThisHost, TimePoint Now) {
  SyncState &Sync = *ThisHost.m_Sync;
  // The data centres are not known before the platform's host list has been read.
  if (!Sync.m_IsLoaded || !Sync.m_HasHostList || !ThisHost.m_Rate.m_IsLeaseValid ||
      Sync.m_SlotRelease)
    return;
  if (Now >= Sync.m_NextUsableCheckAt) {
    Sync.m_NextUsableCheckAt = Now + UsableCheckInterval;
    std::vector<std::string> UsableHosts;
    for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts)
      if (isUsable(ThisHost.m_Members, View, Now, ThisHost.m_Settings.m_Membership))
        UsableHosts.push_back(Id);
    if (UsableHosts != std::exchange(Sync.m_UsableHosts, UsableHosts))
      scheduleAllPlans(ThisHost, Now);
  }
  std::vector<std::string> DueCustomers;
  for (const auto &[Customer, Plan] : Sync.m_Plans) {
    if (!Plan.m_IsInFlight && Now >= Plan.m_DueAt)
      DueCustomers.push_back(Customer);
    if (DueCustomers.size() == MaxPlansPerTick)
      break;
  }
  if (DueCustomers.empty())
    return;
  HostsByDataCentre HostPartitions = partitionHostsByDataCentre(ThisHost, Now);
  for (const std::string &Customer : DueCustomers)
    runPlan(ThisHost, Customer, HostPartitions, Now);
}

//-----------------------------------------------------------------------------
// [SECTION] Release of slots
//-----------------------------------------------------------------------------

void finishRelease(Host &ThisHost) {
  if (!ThisHost.m_Sync->m_SlotRelease)
    return;
  std::function<void()> OnDone = std::exchange(ThisHost.m_Sync->m_SlotRelease->m_OnDone, nullptr);
  if (OnDone)
    OnDone();
}

void finishCustomerRelease(Host &ThisHost) {
  if (--ThisHost.m_Sync->m_SlotRelease->m_RemainingCustomerCount == 0)
    finishRelease(ThisHost);
}

void releaseCustomerSlots(Host &ThisHost, const std::string &Customer, uint32_t RemainingAttempts) {
  KnownSlots CurrentSlots = readSlots(ThisHost, Customer);
  TimePoint Now = Clock::now();
  SlotPlan NewPlan =
      planCustomer(ThisHost, Customer, CurrentSlots, partitionHostsByDataCentre(ThisHost, Now),
                   SlotPhase::Releasing, Now);
  if (!NewPlan.m_HasChanged || RemainingAttempts == 0) {
    finishCustomerRelease(ThisHost);
    return;
  }
  countPlatformCall(ThisHost, "put");
  using Answer = std::variant<platform::WriteReply, PlatformError>;
  putObject(
      *ThisHost.m_Platform, makeRateName(Customer),
      encodeSlots(Customer, NewPlan.m_Slots, makeOperationId(ThisHost)), CurrentSlots.m_Version,
      guardHost(ThisHost, [Customer, RemainingAttempts](Host &ThisHost, const Answer &Result) {
        const auto *Reply = std::get_if<platform::WriteReply>(&Result);
        recordPlatformResult(ThisHost, Reply != nullptr);
        if (Reply && Reply->current().version() != 0)
          applyObject(ThisHost, Reply->current());
        releaseCustomerSlots(ThisHost, Customer, RemainingAttempts - 1);
      }));
}

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

void sendTokenRequests(Host &ThisHost, const std::vector<TokenRequest> &Requests);

void applyGrant(Host &ThisHost, const TokenRequest &HolderRequest, double GrantedTokens,
                double Level) {
  if (!ThisHost.m_Rate.m_Customers.contains(HolderRequest.m_Customer))
    return;
  TimePoint Now = Clock::now();
  AddTokensResult Result =
      addTokens(ThisHost.m_Rate, HolderRequest.m_Customer, HolderRequest.m_Host, GrantedTokens,
                Level, HolderRequest.m_RequestedAt, Now, ThisHost.m_Settings.m_Rate);
  for (uint64_t Id : Result.m_AdmittedIds)
    finishWaitingRequest(ThisHost, Id, Reason::None);
  sendTokenRequests(ThisHost, Result.m_TokenRequests);
}

void sendTokenRequests(Host &ThisHost, const std::vector<TokenRequest> &Requests) {
  using Answer = std::variant<peer::AcquireTokensReply, PeerError>;
  for (const TokenRequest &HolderRequest : Requests) {
    auto It = ThisHost.m_Members.m_Hosts.find(HolderRequest.m_Host);
    if (!ThisHost.m_PeerLinks || It == ThisHost.m_Members.m_Hosts.end() ||
        It->second.m_Address.empty()) {
      // Deferred, since applyGrant() may request from the same holder again and would recurse
      // without bound.
      ThisHost.m_Run([GuardedCall = guardHost(ThisHost, [HolderRequest](Host &ThisHost, int) {
                        applyGrant(ThisHost, HolderRequest, 0, 0);
                      })] { GuardedCall(0); });
      continue;
    }
    peer::AcquireTokensRequest Request;
    Request.set_customer(HolderRequest.m_Customer);
    Request.set_wanted(HolderRequest.m_RequestedTokens);
    Request.set_host(ThisHost.m_Rate.m_Host);
    callAcquireTokens(*ThisHost.m_PeerLinks, It->second.m_Address, Request,
                      ThisHost.m_Settings.m_Rate.m_TransferValidity,
                      guardHost(ThisHost, [HolderRequest](Host &ThisHost, const Answer &Result) {
                        const auto *Reply = std::get_if<peer::AcquireTokensReply>(&Result);
                        applyGrant(ThisHost, HolderRequest, Reply ? Reply->granted() : 0,
                                   Reply ? Reply->level() : 0);
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

void refreshSlots(Host &ThisHost, const std::string &Customer, TimePoint Now) {
  auto It = ThisHost.m_Config.m_Customers.find(Customer);
  if (It == ThisHost.m_Config.m_Customers.end()) {
    dropCustomer(ThisHost, Customer);
    return;
  }
  KnownSlots CurrentSlots = readSlots(ThisHost, Customer);
  auto SlotCount = static_cast<uint32_t>(std::max<size_t>(1, CurrentSlots.m_Slots.size()));
  PendingSlots *PendingWrite = nullptr;
  if (auto Plan = ThisHost.m_Sync->m_Plans.find(Customer); Plan != ThisHost.m_Sync->m_Plans.end()) {
    std::optional<PendingSlots> &LastWrite = Plan->second.m_PendingWrite;
    if (LastWrite && LastWrite->m_BaseRevision < CurrentSlots.m_Revision)
      LastWrite.reset(); // the version that the write expected has been replaced
    PendingWrite = LastWrite ? &*LastWrite : nullptr;
  }
  if (PendingWrite)
    SlotCount = std::max(SlotCount, PendingWrite->m_SlotCount);
  uint32_t HeldCount = 0;
  std::map<std::string, SlotHolder> OtherHolders;
  for (const SlotAssignment &Slot : CurrentSlots.m_Slots) {
    if (Slot.m_Holder.empty())
      continue;
    if (Slot.m_Holder != ThisHost.m_Rate.m_Host) {
      SlotHolder &Holder = OtherHolders[Slot.m_Holder];
      Holder.m_SlotCount = Holder.m_Host.empty() ? 1 : Holder.m_SlotCount + 1;
      Holder.m_Host = Slot.m_Holder;
      Holder.m_DataCentre = Slot.m_DataCentre;
    } else if (ThisHost.m_Rate.m_IsLeaseValid && isOwnSlot(ThisHost, Slot) &&
               (!PendingWrite ||
                PendingWrite->m_KeptSlots.contains({Slot.m_DataCentre, Slot.m_Number}))) {
      ++HeldCount;
    }
  }
  std::vector<SlotHolder> Holders;
  Holders.reserve(OtherHolders.size());
  for (auto &[Host, Holder] : OtherHolders)
    Holders.push_back(std::move(Holder));
  setSlots(ThisHost.m_Rate, Customer, splitRate(It->second, SlotCount, ThisHost.m_Settings.m_Rate),
           HeldCount, Holders, Now);
}

void schedulePlan(Host &ThisHost, const std::string &Customer, TimePoint Now) {
  TimePoint DueAt = Now + makeJitter(ThisHost, MaxPlanJitter);
  auto [Plan, IsNew] = ThisHost.m_Sync->m_Plans.try_emplace(Customer);
  if (IsNew || DueAt < Plan->second.m_DueAt)
    Plan->second.m_DueAt = DueAt;
}

void scheduleAllPlans(Host &ThisHost, TimePoint Now) {
  for (const auto &[Id, Value] : ThisHost.m_Config.m_Customers)
    schedulePlan(ThisHost, Id, Now);
}

void tickRateControl(Host &ThisHost, TimePoint Now) {
  if (ThisHost.m_Platform) {
    tickLease(ThisHost, Now);
    tickPlans(ThisHost, Now);
    tickWatchedLeases(ThisHost, Now);
  }
  WaitingResult Waiting = tickWaiting(ThisHost.m_Rate, Now, ThisHost.m_Settings.m_Rate);
  for (uint64_t Id : Waiting.m_AdmittedIds)
    finishWaitingRequest(ThisHost, Id, Reason::None);
  for (uint64_t Id : Waiting.m_RefusedIds)
    finishWaitingRequest(ThisHost, Id, Reason::RateLimited);
  sendTokenRequests(ThisHost, Waiting.m_TokenRequests);
  if (ThisHost.m_Sync->m_SlotRelease && Now >= ThisHost.m_Sync->m_SlotRelease->m_Deadline)
    finishRelease(ThisHost);
}

void admitByRate(Host &ThisHost, const std::string &Customer, std::function<void(Reason)> OnDone) {
  TimePoint Now = Clock::now();
  checkLease(ThisHost, Now);
  uint64_t Id = ThisHost.m_Sync->m_NextRequestId++;
  AdmitResult Result = admitRequest(ThisHost.m_Rate, Customer, Id, Now, ThisHost.m_Settings.m_Rate);
  if (Result.m_Admission == Admission::Waiting)
    ThisHost.m_Sync->m_WaitingCallbacks[Id] = std::move(OnDone);
  else
    OnDone(Result.m_Admission == Admission::Admitted ? Reason::None : Reason::RateLimited);
  sendTokenRequests(ThisHost, Result.m_TokenRequests);
}

peer::AcquireTokensReply handleAcquire(Host &ThisHost, const peer::AcquireTokensRequest &Request) {
  TimePoint Now = Clock::now();
  checkLease(ThisHost, Now);
  peer::AcquireTokensReply Reply;
  auto It = ThisHost.m_Rate.m_Customers.find(Request.customer());
  if (It == ThisHost.m_Rate.m_Customers.end() || It->second.m_HeldSlots.empty())
    return Reply;
  Reply.set_holder(true);
  Reply.set_granted(grantTokens(ThisHost.m_Rate, Request.customer(), Request.wanted(), Now,
                                ThisHost.m_Settings.m_Rate));
  Reply.set_level(sumLevels(It->second));
  return Reply;
}

void releaseSlots(Host &ThisHost, std::function<void()> OnDone) {
  SyncState &Sync = *ThisHost.m_Sync;
  if (Sync.m_SlotRelease) { // already requested for this shutdown
    OnDone();
    return;
  }
  TimePoint Now = Clock::now();
  std::vector<std::string> Customers;
  for (const auto &[Id, Value] : ThisHost.m_Config.m_Customers)
    if (std::ranges::any_of(readSlots(ThisHost, Id).m_Slots,
                            [&](const SlotAssignment &Slot) { return isOwnSlot(ThisHost, Slot); }))
      Customers.push_back(Id);
  // Stops handing out tokens before other hosts may take the slots.
  Sync.m_OwnLease.m_IsHeld = false;
  checkLease(ThisHost, Now);
  Sync.m_SlotRelease = {.m_RemainingCustomerCount = static_cast<uint32_t>(Customers.size()),
                        .m_Deadline = Now + ReleaseTimeout,
                        .m_OnDone = std::move(OnDone)};
  if (Customers.empty() || !ThisHost.m_Platform) {
    finishRelease(ThisHost);
    return;
  }
  for (const std::string &Customer : Customers)
    releaseCustomerSlots(ThisHost, Customer, MaxReleaseAttempts);
}

nlohmann::json dumpRateControl(const Host &ThisHost, TimePoint Now) {
  const OwnLease &OwnLeaseState = ThisHost.m_Sync->m_OwnLease;
  nlohmann::json Customers = nlohmann::json::object();
  for (const auto &[Id, Rate] : ThisHost.m_Rate.m_Customers) {
    nlohmann::json Holders = nlohmann::json::array();
    for (const SlotHolder &Holder : Rate.m_Holders)
      Holders.push_back(Holder.m_Host);
    Customers[Id] = {{"slots", Rate.m_HeldSlots.size()},
                     {"level", sumLevels(Rate)},
                     {"waiting", Rate.m_WaitingRequests.size()},
                     {"other_holders", std::move(Holders)}};
  }
  nlohmann::json WatchedLeases = nlohmann::json::object();
  for (const auto &[Holder, HolderLease] : ThisHost.m_Sync->m_WatchedLeases)
    WatchedLeases[Holder] = {{"version", HolderLease.m_Observation.m_Version},
                             {"expired", HolderLease.m_Observation.m_IsExpired}};
  auto RemainingTime = std::chrono::duration_cast<Millis>(ThisHost.m_Rate.m_LeaseExpiresAt - Now);
  return {{"lease",
           {{"valid", ThisHost.m_Rate.m_IsLeaseValid},
            {"held", OwnLeaseState.m_IsHeld},
            {"superseded", OwnLeaseState.m_IsSuperseded},
            {"incarnation", OwnLeaseState.m_Incarnation},
            {"left_ms", std::max<int64_t>(0, RemainingTime.count())}}},
          {"customers", std::move(Customers)},
          {"leases_of_missing_hosts", std::move(WatchedLeases)}};
}

} // namespace quetzalpaddle

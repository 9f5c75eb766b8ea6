// Probes of instances and exchange of reports between hosts.
//
// Each instance is probed by its dispatcher only, and the results are distributed by the exchange,
// so that the number of probes does not grow with the number of hosts. As a consequence, other
// hosts see the state of an instance one or two exchange intervals late; a change of primary is
// therefore sent immediately instead of at the next interval.
#include "monitor_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzalpaddle {

namespace {

// Interval between checks for changes of the list of instances that this host dispatches to.
constexpr Millis OwnershipCheckInterval{50};

// Limits on the hosts other than neighbours that are contacted in one round because they may be
// down, and on the hosts listed as unreachable in one report.
constexpr size_t MaxExtraHosts = 8;
constexpr int MaxUnreachableHosts = 32;

// Fleets up to this size are sent the report of a promotion directly. In a larger fleet, the
// promoting host would have to make more calls at once than it otherwise makes in a second.
constexpr size_t MaxBroadcastHosts = 64;

instance::Position toWire(Position P) {
  instance::Position Out;
  Out.set_term(P.m_Term);
  Out.set_index(P.m_Index);
  return Out;
}

uint32_t toMillis(Duration D) {
  auto Count = std::chrono::duration_cast<Millis>(D).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(Count, 0, UINT32_MAX));
}

} // namespace

std::shared_ptr<MonitorState> makeMonitorState() { return std::make_shared<MonitorState>(); }

const Group *findGroup(const Host &ThisHost, const std::string &Name) {
  auto It = ThisHost.m_Config.m_Groups.find(Name);
  return It == ThisHost.m_Config.m_Groups.end() ? nullptr : &It->second;
}

std::string makeProposerName(const Host &ThisHost) {
  return ThisHost.m_Settings.m_HostId + "/" + std::to_string(ThisHost.m_Incarnation);
}

void updateInstanceView(Host &ThisHost, const std::string &Group, const std::string &Instance,
                        const InstanceView &NewView) {
  GroupView &View = ThisHost.m_Views[Group];
  auto OldTermAndPrimary = std::pair(View.m_Term, View.m_Primary);
  mergeView(View, Instance, NewView);
  if (OldTermAndPrimary == std::pair(View.m_Term, View.m_Primary))
    return;
  ThisHost.m_Monitor->m_NextExchangeAt = TimePoint{};
  logLine(LogLevel::Info, "group_primary_changed",
          {{"group", Group}, {"term", std::to_string(View.m_Term)}, {"primary", View.m_Primary}});
}

void adoptReportedPrimary(Host &ThisHost, const std::string &Group, uint64_t Term,
                          const std::string &Primary) {
  GroupView &View = ThisHost.m_Views[Group];
  if (Primary.empty() || Term < View.m_Term || (Term == View.m_Term && !View.m_Primary.empty()))
    return;
  auto KnownInstance = View.m_Instances.find(Primary);
  bool IsDenied = KnownInstance != View.m_Instances.end() && KnownInstance->second.m_Term >= Term &&
                  !KnownInstance->second.m_IsPrimary;
  if (IsDenied)
    return;
  View.m_Term = Term;
  View.m_Primary = Primary;
  ThisHost.m_Monitor->m_NextExchangeAt = TimePoint{};
}

FailoverSettings scaleFailoverSettings(const Host &ThisHost) {
  FailoverSettings Settings = ThisHost.m_Settings.m_Failover;
  uint32_t PerSecond = std::max(1U, Settings.m_MaxProbesPerSecond);
  Millis RequiredInterval{1000 * ThisHost.m_Monitor->m_OwnedInstanceCount / PerSecond};
  if (RequiredInterval <= Settings.m_ProbeInterval)
    return Settings;
  auto Factor = static_cast<double>(RequiredInterval.count()) /
                static_cast<double>(std::max<int64_t>(1, Settings.m_ProbeInterval.count()));
  Settings.m_ProbeInterval = RequiredInterval;
  // With the default settings, the suspect timeout still covers four probes at up to twice the
  // probe interval.
  if (Factor > 2)
    for (Millis *Time : {&Settings.m_SuspectTimeout, &Settings.m_UnreachableTimeout})
      *Time = Millis(static_cast<int64_t>(static_cast<double>(Time->count()) * Factor / 2));
  return Settings;
}

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Instances that this host dispatches to
//-----------------------------------------------------------------------------

void addToSignature(uint64_t &Signature, std::string_view Text) {
  Signature = Signature * 0x9E3779B97F4A7C15ULL + std::hash<std::string_view>{}(Text) + 1;
}

// Rebuilds the list only if the usable hosts or the configuration have changed, since hashing all
// pairs of thousands of instances and hosts on every tick would take most of a core.
void updateOwnership(Host &ThisHost, TimePoint Now) {
  MonitorState &Monitor = *ThisHost.m_Monitor;
  if (Now < Monitor.m_NextOwnershipCheckAt)
    return;
  Monitor.m_NextOwnershipCheckAt = Now + OwnershipCheckInterval;
  const MembershipSettings &Settings = ThisHost.m_Settings.m_Membership;
  std::map<std::string, Membership> UsableHosts; // by data centre
  uint64_t Signature = ThisHost.m_Config.m_Revision + ThisHost.m_Config.m_Groups.size();
  for (const auto &[Name, G] : ThisHost.m_Config.m_Groups)
    if (auto Record = ThisHost.m_Config.m_Records.find("config/group/" + Name);
        Record != ThisHost.m_Config.m_Records.end())
      Signature = Signature * 31 + Record->second.m_Revision;
  for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts)
    if (isUsable(ThisHost.m_Members, View, Now, Settings))
      addToSignature(Signature, Id);
  if (Signature == Monitor.m_OwnershipSignature)
    return;
  Monitor.m_OwnershipSignature = Signature;
  for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts) {
    if (!isUsable(ThisHost.m_Members, View, Now, Settings))
      continue;
    Membership &DataCentreHosts = UsableHosts[View.m_DataCentre];
    DataCentreHosts.m_Self = ThisHost.m_Members.m_Self;
    DataCentreHosts.m_DataCentre = ThisHost.m_Members.m_DataCentre;
    DataCentreHosts.m_Hosts.emplace(Id, View);
  }
  auto FindDispatcher = [&](const Instance &I) {
    auto DataCentreHosts = UsableHosts.find(I.m_DataCentre);
    return chooseDispatcher(DataCentreHosts == UsableHosts.end() ? ThisHost.m_Members
                                                                 : DataCentreHosts->second,
                            I, {}, Now, Settings);
  };
  std::map<std::string, DispatchedGroup> OwnedGroups;
  Monitor.m_OwnedInstanceCount = 0;
  for (const auto &[Name, G] : ThisHost.m_Config.m_Groups) {
    DispatchedGroup OwnGroup;
    Membership Dispatchers;
    for (const Instance &I : G.m_Instances) {
      std::string Id = FindDispatcher(I);
      Dispatchers.m_Hosts[Id].m_Id = Id;
      if (Id == ThisHost.m_Members.m_Self)
        OwnGroup.m_Instances.push_back(I.m_Id);
    }
    if (OwnGroup.m_Instances.empty())
      continue;
    auto HostOrder = orderHosts(Dispatchers, Name, "", false, Now, Settings);
    OwnGroup.m_Rank = static_cast<uint32_t>(
        std::ranges::find(HostOrder, ThisHost.m_Members.m_Self) - HostOrder.begin());
    if (auto OldGroup = Monitor.m_OwnedGroups.find(Name); OldGroup != Monitor.m_OwnedGroups.end())
      OwnGroup.m_NextLeavingAttemptAt = OldGroup->second.m_NextLeavingAttemptAt;
    Monitor.m_OwnedInstanceCount += OwnGroup.m_Instances.size();
    OwnedGroups.emplace(Name, std::move(OwnGroup));
  }
  Monitor.m_OwnedGroups = std::move(OwnedGroups);
  std::erase_if(Monitor.m_Probes,
                [&](const auto &P) { return P.second.m_NextProbeAt + Millis(60000) < Now; });
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Probes
//-----------------------------------------------------------------------------

void probeInstance(Host &ThisHost, const std::string &Group, const Instance &I,
                   const std::function<void(Host &)> &OnReply) {
  using Answer = std::variant<instance::StatusReply, LinkError>;
  requestStatus(I.m_Address, ThisHost.m_Settings.m_Failover.m_ProbeTimeout, ThisHost.m_Run,
                guardHandler(ThisHost, [Group, Id = I.m_Id, OnReply](Host &Self, Answer A) {
                  if (OnReply)
                    OnReply(Self);
                  if (auto *Reply = std::get_if<instance::StatusReply>(&A))
                    applyStatus(Self, Group, Id, *Reply);
                  else
                    recordInstanceFailure(Self, Group, Id);
                }));
}

namespace {

void tickProbes(Host &ThisHost, TimePoint Now) {
  MonitorState &Monitor = *ThisHost.m_Monitor;
  Duration Interval = scaleFailoverSettings(ThisHost).m_ProbeInterval;
  for (const auto &[Group, OwnGroup] : Monitor.m_OwnedGroups) {
    for (const std::string &Id : OwnGroup.m_Instances) {
      Probe &ProbeState = Monitor.m_Probes[Id];
      if (ProbeState.m_IsInFlight || Now < ProbeState.m_NextProbeAt)
        continue;
      const Instance *I = findInstance(ThisHost, Group, Id);
      if (!I)
        continue;
      // Scheduled from the previous due time, since the tick may be up to 10 ms late.
      ProbeState.m_NextProbeAt = std::max(ProbeState.m_NextProbeAt + Interval, Now + Interval / 2);
      ProbeState.m_IsInFlight = true;
      probeInstance(ThisHost, Group, *I, [Id](Host &Self) {
        if (auto FoundProbe = Self.m_Monitor->m_Probes.find(Id);
            FoundProbe != Self.m_Monitor->m_Probes.end())
          FoundProbe->second.m_IsInFlight = false;
      });
    }
  }
}

} // namespace

void recordInstanceReply(Host &ThisHost, const std::string &Group, const std::string &Instance,
                         const peer::ForwardReply &Reply) {
  // Either a host refused the request without a reply of the instance, or this is the reply to a
  // statement of a transaction, whose instance is known to the dispatcher only.
  if (Reply.term() == 0 || Instance.empty())
    return;
  TimePoint Now = Clock::now();
  InstanceView NewView;
  if (auto KnownInstance = ThisHost.m_Views[Group].m_Instances.find(Instance);
      KnownInstance != ThisHost.m_Views[Group].m_Instances.end())
    NewView = KnownInstance->second;
  if (Reply.has_applied()) {
    NewView.m_AppliedPosition = fromWire(Reply.applied());
    NewView.m_AppliedAt = Now;
  }
  NewView.m_Term = Reply.term();
  NewView.m_IsPrimary = Reply.primary() == Instance;
  NewView.m_LastSeenAt = Now;
  updateInstanceView(ThisHost, Group, Instance, NewView);
  if (!ThisHost.m_Views[Group].m_Instances.contains(Reply.primary()))
    adoptReportedPrimary(ThisHost, Group, Reply.term(), Reply.primary());
}

void recordInstanceFailure(Host &ThisHost, const std::string &Group, const std::string &Instance) {
  InstanceView NewView;
  NewView.m_LastFailedAt = Clock::now();
  updateInstanceView(ThisHost, Group, Instance, NewView);
}

//-----------------------------------------------------------------------------
// [SECTION] Exchange of reports
//-----------------------------------------------------------------------------

namespace {

bool isUnreachable(const HostView &View) {
  return View.m_LastFailedAt != TimePoint{} && View.m_LastFailedAt >= View.m_LastSeenAt;
}

double computeLevel(const CustomerRate &Rate, TimePoint Now) {
  double Sum = 0;
  for (const Bucket &B : Rate.m_HeldSlots) {
    double ElapsedSeconds = std::chrono::duration<double>(Now - B.m_FilledAt).count();
    Sum += std::min(B.m_Burst, B.m_Level + B.m_Rate * std::max(0.0, ElapsedSeconds));
  }
  return Sum;
}

void addGroupReport(peer::ExchangeRequest &Report, const std::string &Name, const GroupView &View,
                    TimePoint Now) {
  peer::GroupReport Out;
  for (const auto &[Id, V] : View.m_Instances) {
    if (V.m_LastSeenAt == TimePoint{} || Now - V.m_LastSeenAt > MaxViewAge)
      continue;
    peer::InstanceReport &I = *Out.add_instances();
    I.set_instance(Id);
    I.set_term(V.m_Term);
    I.set_primary(V.m_IsPrimary);
    *I.mutable_last() = toWire(V.m_LastPosition);
    *I.mutable_applied() = toWire(V.m_AppliedPosition);
    I.set_contact_age_ms(toMillis(V.m_ContactAge));
    I.set_data_age_ms(toMillis(V.m_DataAge));
    I.set_seen_ago_ms(toMillis(Now - V.m_LastSeenAt));
    I.set_applied_ago_ms(toMillis(Now - V.m_AppliedAt));
  }
  if (Out.instances().empty())
    return;
  Out.set_group(Name);
  Out.set_term(View.m_Term);
  Out.set_primary(View.m_Primary);
  Report.mutable_groups()->Add(std::move(Out));
}

peer::ExchangeRequest makeReport(const Host &ThisHost, TimePoint Now) {
  peer::ExchangeRequest Report;
  Report.set_host(ThisHost.m_Members.m_Self);
  Report.set_incarnation(ThisHost.m_Incarnation);
  Report.set_data_centre(ThisHost.m_Members.m_DataCentre);
  Report.set_draining(ThisHost.m_IsDraining);
  Report.set_config_revision(ThisHost.m_Config.m_Revision);
  for (const auto &[Name, View] : ThisHost.m_Views)
    addGroupReport(Report, Name, View, Now);
  for (const auto &[Name, Rate] : ThisHost.m_Rate.m_Customers) {
    if (Rate.m_HeldSlots.empty())
      continue;
    peer::BucketLevel &Level = *Report.add_levels();
    Level.set_customer(Name);
    Level.set_level(computeLevel(Rate, Now));
  }
  for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts)
    if (isUnreachable(View) && Report.silent_size() < MaxUnreachableHosts)
      Report.add_silent(Id);
  return Report;
}

void applyLevels(Host &ThisHost, const peer::ExchangeRequest &Report, TimePoint Now) {
  for (const peer::BucketLevel &Level : Report.levels()) {
    auto Rate = ThisHost.m_Rate.m_Customers.find(Level.customer());
    if (Rate == ThisHost.m_Rate.m_Customers.end())
      continue;
    auto &Holders = Rate->second.m_Holders;
    auto Holder = std::ranges::find(Holders, Report.host(), &SlotHolder::m_Host);
    if (Holder == Holders.end())
      continue;
    Holder->m_LastLevel = Level.level();
    Holder->m_LastLevelAt = Now;
  }
}

void applyGroupReport(Host &ThisHost, const peer::GroupReport &Report, TimePoint Now) {
  // Reports on a group are ignored until its configuration has arrived.
  if (!findGroup(ThisHost, Report.group()))
    return;
  for (const peer::InstanceReport &I : Report.instances()) {
    if (!findInstance(ThisHost, Report.group(), I.instance()))
      continue;
    InstanceView NewView;
    NewView.m_Term = I.term();
    NewView.m_IsPrimary = I.primary();
    NewView.m_LastPosition = fromWire(I.last());
    NewView.m_AppliedPosition = fromWire(I.applied());
    NewView.m_AppliedAt = Now - Millis(I.applied_ago_ms());
    NewView.m_ContactAge = Millis(I.contact_age_ms());
    NewView.m_DataAge = Millis(I.data_age_ms());
    NewView.m_LastSeenAt = Now - Millis(I.seen_ago_ms());
    updateInstanceView(ThisHost, Report.group(), I.instance(), NewView);
  }
  adoptReportedPrimary(ThisHost, Report.group(), Report.term(), Report.primary());
}

void applyReport(Host &ThisHost, const peer::ExchangeRequest &Report, TimePoint Now) {
  auto Sender = ThisHost.m_Members.m_Hosts.find(Report.host());
  if (Sender == ThisHost.m_Members.m_Hosts.end() || Report.host() == ThisHost.m_Members.m_Self)
    return; // not in the platform's host list yet
  HostView &View = Sender->second;
  if (Report.incarnation() < View.m_Incarnation)
    return; // sent before the sender's restart and delayed
  View.m_Incarnation = Report.incarnation();
  View.m_IsDraining = Report.draining();
  View.m_ConfigRevision = Report.config_revision();
  View.m_LastSeenAt = Now;
  for (const peer::GroupReport &Group : Report.groups())
    applyGroupReport(ThisHost, Group, Now);
  applyLevels(ThisHost, Report, Now);
  for (const std::string &Id : Report.silent()) {
    auto UnreachableHost = ThisHost.m_Members.m_Hosts.find(Id);
    if (UnreachableHost != ThisHost.m_Members.m_Hosts.end() &&
        !isUnreachable(UnreachableHost->second))
      ThisHost.m_Monitor->m_SuspectHosts.insert(Id);
  }
  pullNewerConfig(ThisHost, Report.host(), Report.config_revision());
}

// Returns hosts other than neighbours that have to be contacted: unreachable ones, to detect that
// they are back, and those that others report as unreachable or that have not been seen recently,
// to detect that they are down. Otherwise, the host that is next in line to dispatch to an instance
// would not learn that it has to take over.
std::vector<std::string>
chooseExtraHosts(Host &ThisHost, const std::vector<std::string> &Neighbours, TimePoint Now) {
  MonitorState &Monitor = *ThisHost.m_Monitor;
  std::vector<std::string> ExtraHosts;
  for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts) {
    if (Id == ThisHost.m_Members.m_Self || std::ranges::find(Neighbours, Id) != Neighbours.end())
      continue;
    bool IsStale = View.m_LastSeenAt != TimePoint{} &&
                   Now - View.m_LastSeenAt > ThisHost.m_Settings.m_Membership.m_LastSeenTimeout / 2;
    if (isUnreachable(View) || IsStale || Monitor.m_SuspectHosts.contains(Id))
      ExtraHosts.push_back(Id);
  }
  Monitor.m_SuspectHosts.clear();
  if (ExtraHosts.size() > MaxExtraHosts) {
    std::ranges::rotate(ExtraHosts, std::ranges::upper_bound(ExtraHosts, Monitor.m_LastExtraHost));
    ExtraHosts.resize(MaxExtraHosts);
    Monitor.m_LastExtraHost = ExtraHosts.back();
  }
  return ExtraHosts;
}

void startExchange(Host &ThisHost, const std::string &Id, const peer::ExchangeRequest &Report,
                   bool IsNeighbour) {
  auto It = ThisHost.m_Members.m_Hosts.find(Id);
  if (It == ThisHost.m_Members.m_Hosts.end() ||
      !ThisHost.m_Monitor->m_ExchangesInFlight.insert(Id).second)
    return;
  ThisHost.m_Monitor->m_PendingUpdateHosts.erase(Id);
  using Answer = std::variant<peer::ExchangeReply, PeerError>;
  Duration Timeout = 2 * ThisHost.m_Settings.m_Sync.m_ExchangeInterval;
  callExchange(*ThisHost.m_PeerLinks, It->second.m_Address, Report, Timeout,
               guardHandler(ThisHost, [Id, IsNeighbour](Host &Self, const Answer &Result) {
                 Self.m_Monitor->m_ExchangesInFlight.erase(Id);
                 if (Self.m_Monitor->m_PendingUpdateHosts.contains(Id))
                   startExchange(Self, Id, makeReport(Self, Clock::now()), IsNeighbour);
                 auto View = Self.m_Members.m_Hosts.find(Id);
                 if (View == Self.m_Members.m_Hosts.end())
                   return;
                 TimePoint Now = Clock::now();
                 const auto *Reply = std::get_if<peer::ExchangeReply>(&Result);
                 if (!Reply) {
                   // A single late reply does not make a host unreachable; a refused connection
                   // does.
                   bool IsRefused = std::get<PeerError>(Result) == PeerError::NotSent;
                   if (IsRefused || Now - View->second.m_LastSeenAt >=
                                        Self.m_Settings.m_Membership.m_LastSeenTimeout)
                     View->second.m_LastFailedAt = Now;
                   return;
                 }
                 applyReport(Self, Reply->report(), Now);
                 // A host that is not contacted regularly would otherwise become unusable after
                 // MembershipSettings::m_LastSeenTimeout.
                 if (!IsNeighbour)
                   View->second.m_LastSeenAt = View->second.m_LastFailedAt = TimePoint{};
               }));
}

void tickExchange(Host &ThisHost, TimePoint Now) {
  MonitorState &Monitor = *ThisHost.m_Monitor;
  if (Now < Monitor.m_NextExchangeAt || !ThisHost.m_PeerLinks)
    return;
  Monitor.m_NextExchangeAt = Now + ThisHost.m_Settings.m_Sync.m_ExchangeInterval;
  peer::ExchangeRequest Report = makeReport(ThisHost, Now);
  auto Neighbours = chooseNeighbours(ThisHost.m_Members, Now, ThisHost.m_Settings.m_Membership);
  for (const std::string &Id : Neighbours)
    startExchange(ThisHost, Id, Report, true);
  for (const std::string &Id : chooseExtraHosts(ThisHost, Neighbours, Now))
    startExchange(ThisHost, Id, Report, false);
}

} // namespace

void sendReportToAllHosts(Host &ThisHost, TimePoint Now) {
  MonitorState &Monitor = *ThisHost.m_Monitor;
  if (!ThisHost.m_PeerLinks || ThisHost.m_Members.m_Hosts.size() > MaxBroadcastHosts)
    return;
  peer::ExchangeRequest Report = makeReport(ThisHost, Now);
  auto Neighbours = chooseNeighbours(ThisHost.m_Members, Now, ThisHost.m_Settings.m_Membership);
  for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts) {
    if (Id == ThisHost.m_Members.m_Self)
      continue;
    // The report in flight does not include the promotion.
    if (Monitor.m_ExchangesInFlight.contains(Id))
      Monitor.m_PendingUpdateHosts.insert(Id);
    else
      startExchange(ThisHost, Id, Report, std::ranges::find(Neighbours, Id) != Neighbours.end());
  }
}

peer::ExchangeReply handleExchange(Host &ThisHost, const peer::ExchangeRequest &Request) {
  TimePoint Now = Clock::now();
  applyReport(ThisHost, Request, Now);
  peer::ExchangeReply Reply;
  *Reply.mutable_report() = makeReport(ThisHost, Now);
  return Reply;
}

void tickMonitor(Host &ThisHost, TimePoint Now) {
  updateOwnership(ThisHost, Now);
  tickProbes(ThisHost, Now);
  tickPromotions(ThisHost, Now);
  tickExchange(ThisHost, Now);
  tickRecords(ThisHost, Now);
}

//-----------------------------------------------------------------------------
// [SECTION] State dump
//-----------------------------------------------------------------------------

namespace {

using nlohmann::json;

json formatPosition(Position P) { return {{"term", P.m_Term}, {"index", P.m_Index}}; }

// Returns milliseconds since a point in time; null if it is not set.
json formatAge(TimePoint At, TimePoint Now) {
  if (At == TimePoint{})
    return nullptr;
  return std::chrono::duration_cast<Millis>(Now - At).count();
}

json formatGroup(const Host &ThisHost, const std::string &Name, const GroupView &View,
                 TimePoint Now) {
  constexpr std::array Steps{"idle",      "waiting",   "checking", "fencing",
                             "promoting", "following", "recording"};
  json Out{{"term", View.m_Term}, {"primary", View.m_Primary}};
  for (const auto &[Id, V] : View.m_Instances)
    Out["instances"][Id] = {{"term", V.m_Term},
                            {"primary", V.m_IsPrimary},
                            {"last", formatPosition(V.m_LastPosition)},
                            {"applied", formatPosition(V.m_AppliedPosition)},
                            {"apply_rate", V.m_ApplyRate},
                            {"contact_age_ms", toMillis(V.m_ContactAge)},
                            {"data_age_ms", toMillis(V.m_DataAge)},
                            {"seen_ago_ms", formatAge(V.m_LastSeenAt, Now)},
                            {"failed_ago_ms", formatAge(V.m_LastFailedAt, Now)}};
  if (auto P = ThisHost.m_Promotions.find(Name); P != ThisHost.m_Promotions.end())
    Out["promotion"] = {{"step", Steps.at(static_cast<size_t>(P->second.m_Step))},
                        {"term", P->second.m_Term},
                        {"ordered", P->second.m_IsOrdered},
                        {"chosen", P->second.m_Candidate},
                        {"failures", P->second.m_FailureCount},
                        {"reason", P->second.m_LastReason}};
  if (auto OwnGroup = ThisHost.m_Monitor->m_OwnedGroups.find(Name);
      OwnGroup != ThisHost.m_Monitor->m_OwnedGroups.end())
    Out["dispatched_here"] = OwnGroup->second.m_Instances;
  return Out;
}

} // namespace

std::string dumpMonitor(const Host &ThisHost) {
  TimePoint Now = Clock::now();
  json Out{{"groups", json::object()}, {"hosts", json::object()}, {"promotions", json::array()}};
  for (const auto &[Name, View] : ThisHost.m_Views)
    Out["groups"][Name] = formatGroup(ThisHost, Name, View, Now);
  for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts)
    Out["hosts"][Id] = {
        {"data_centre", View.m_DataCentre},
        {"address", View.m_Address},
        {"usable", isUsable(ThisHost.m_Members, View, Now, ThisHost.m_Settings.m_Membership)},
        {"leaving", View.m_IsLeaving},
        {"draining", View.m_IsDraining},
        {"incarnation", View.m_Incarnation},
        {"config_revision", View.m_ConfigRevision},
        {"heard_ago_ms", formatAge(View.m_LastSeenAt, Now)},
        {"failed_ago_ms", formatAge(View.m_LastFailedAt, Now)}};
  for (const PromotionRecord &R : ThisHost.m_Monitor->m_PromotionHistory)
    Out["promotions"].push_back(
        {{"unix_time_ms",
          std::chrono::duration_cast<Millis>(R.m_PromotedAt.time_since_epoch()).count()},
         {"group", R.m_Group},
         {"primary", R.m_Primary},
         {"term", R.m_Term},
         {"reason", R.m_PromotionReason},
         {"took_ms", toMillis(R.m_Duration)},
         {"recorded", R.m_IsRecorded}});
  // Names come from the configuration, which may contain invalid UTF-8.
  return Out.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace quetzalpaddle

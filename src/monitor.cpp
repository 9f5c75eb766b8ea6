// Probes of instances and exchange of reports between hosts.
//
// Each instance is probed by its dispatcher only, and what it learns travels in the exchange, so
// that the number of probes does not grow with the number of hosts. The cost is that other hosts
// see an instance one or two exchange intervals late; a change of primary is therefore passed on at
// once instead of at the next interval.
#include "monitor_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzalpaddle {

namespace {

// How often the list of instances that this host dispatches to is checked for changes.
constexpr Millis OwnershipInterval{50};

// Hosts outside the neighbours that are asked in one round because they seem to be gone, and hosts
// listed as silent in one report.
constexpr size_t MaxExtraHosts = 8;
constexpr int MaxSilent = 32;

// Fleets up to this size are told of a promotion directly. A larger one would cost the promoting
// host more calls at once than it makes in a second.
constexpr size_t MaxToldHosts = 64;

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

const Group *findGroup(const Host &H, const std::string &Name) {
  auto Found = H.m_Config.m_Groups.find(Name);
  return Found == H.m_Config.m_Groups.end() ? nullptr : &Found->second;
}

std::string proposerName(const Host &H) {
  return H.m_Settings.m_Host + "/" + std::to_string(H.m_Incarnation);
}

void learnView(Host &H, const std::string &Group, const std::string &Instance,
               const InstanceView &Seen) {
  GroupView &View = H.m_Views[Group];
  auto Before = std::pair(View.m_Term, View.m_Primary);
  mergeView(View, Instance, Seen);
  if (Before == std::pair(View.m_Term, View.m_Primary))
    return;
  H.m_Monitor->m_NextExchange = TimePoint{};
  logLine(LogLevel::Info, "group_primary_changed",
          {{"group", Group}, {"term", std::to_string(View.m_Term)}, {"primary", View.m_Primary}});
}

void learnPrimary(Host &H, const std::string &Group, uint64_t Term, const std::string &Primary) {
  GroupView &View = H.m_Views[Group];
  if (Primary.empty() || Term < View.m_Term || (Term == View.m_Term && !View.m_Primary.empty()))
    return;
  auto Known = View.m_Instances.find(Primary);
  bool Denied =
      Known != View.m_Instances.end() && Known->second.m_Term >= Term && !Known->second.m_IsPrimary;
  if (Denied)
    return;
  View.m_Term = Term;
  View.m_Primary = Primary;
  H.m_Monitor->m_NextExchange = TimePoint{};
}

FailoverSettings stretchSettings(const Host &H) {
  FailoverSettings S = H.m_Settings.m_Failover;
  uint32_t PerSecond = std::max(1U, S.m_MaxProbesPerSecond);
  Millis Needed{1000 * H.m_Monitor->m_OwnedInstances / PerSecond};
  if (Needed <= S.m_ProbeInterval)
    return S;
  auto Factor = static_cast<double>(Needed.count()) /
                static_cast<double>(std::max<int64_t>(1, S.m_ProbeInterval.count()));
  S.m_ProbeInterval = Needed;
  // Up to twice the interval the suspicion time still covers four probes.
  if (Factor > 2)
    for (Millis *Time : {&S.m_SuspectTimeout, &S.m_UnreachableTimeout})
      *Time = Millis(static_cast<int64_t>(static_cast<double>(Time->count()) * Factor / 2));
  return S;
}

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Instances that this host dispatches to
//-----------------------------------------------------------------------------

void mixInto(uint64_t &Signature, std::string_view Text) {
  Signature = Signature * 0x9E3779B97F4A7C15ULL + std::hash<std::string_view>{}(Text) + 1;
}

// The list is made anew only when the usable hosts or the configuration have changed: at thousands
// of instances and hosts, hashing all pairs on every tick would take most of a core.
void updateOwnership(Host &H, TimePoint Now) {
  MonitorState &M = *H.m_Monitor;
  if (Now < M.m_NextOwnership)
    return;
  M.m_NextOwnership = Now + OwnershipInterval;
  const MembershipSettings &Settings = H.m_Settings.m_Membership;
  std::map<std::string, Membership> Usable; // by data centre
  uint64_t Signature = H.m_Config.m_Revision + H.m_Config.m_Groups.size();
  for (const auto &[Name, G] : H.m_Config.m_Groups)
    if (auto Record = H.m_Config.m_Records.find("config/group/" + Name);
        Record != H.m_Config.m_Records.end())
      Signature = Signature * 31 + Record->second.m_Revision;
  for (const auto &[Id, View] : H.m_Members.m_Hosts)
    if (isUsable(H.m_Members, View, Now, Settings))
      mixInto(Signature, Id);
  if (Signature == M.m_Signature)
    return;
  M.m_Signature = Signature;
  for (const auto &[Id, View] : H.m_Members.m_Hosts) {
    if (!isUsable(H.m_Members, View, Now, Settings))
      continue;
    Membership &Part = Usable[View.m_DataCentre];
    Part.m_Self = H.m_Members.m_Self;
    Part.m_DataCentre = H.m_Members.m_DataCentre;
    Part.m_Hosts.emplace(Id, View);
  }
  auto Dispatcher = [&](const Instance &I) {
    auto Part = Usable.find(I.m_DataCentre);
    return chooseDispatcher(Part == Usable.end() ? H.m_Members : Part->second, I, {}, Now,
                            Settings);
  };
  std::map<std::string, OwnedGroup> Owned;
  M.m_OwnedInstances = 0;
  for (const auto &[Name, G] : H.m_Config.m_Groups) {
    OwnedGroup Mine;
    Membership Dispatchers;
    for (const Instance &I : G.m_Instances) {
      std::string Id = Dispatcher(I);
      Dispatchers.m_Hosts[Id].m_Id = Id;
      if (Id == H.m_Members.m_Self)
        Mine.m_Instances.push_back(I.m_Id);
    }
    if (Mine.m_Instances.empty())
      continue;
    auto Order = orderHosts(Dispatchers, Name, "", false, Now, Settings);
    Mine.m_Rank =
        static_cast<uint32_t>(std::ranges::find(Order, H.m_Members.m_Self) - Order.begin());
    if (auto Old = M.m_Owned.find(Name); Old != M.m_Owned.end())
      Mine.m_NextLeavingTry = Old->second.m_NextLeavingTry;
    M.m_OwnedInstances += Mine.m_Instances.size();
    Owned.emplace(Name, std::move(Mine));
  }
  M.m_Owned = std::move(Owned);
  std::erase_if(M.m_Probes, [&](const auto &P) { return P.second.m_Next + Millis(60000) < Now; });
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Probes
//-----------------------------------------------------------------------------

void probeInstance(Host &H, const std::string &Group, const Instance &I,
                   const std::function<void(Host &)> &Answered) {
  using Answer = std::variant<instance::StatusReply, LinkError>;
  askStatus(I.m_Address, H.m_Settings.m_Failover.m_ProbeTimeout, H.m_Run,
            guardHandler(H, [Group, Id = I.m_Id, Answered](Host &Self, Answer A) {
              if (Answered)
                Answered(Self);
              if (auto *Reply = std::get_if<instance::StatusReply>(&A))
                takeStatus(Self, Group, Id, *Reply);
              else
                noteFailure(Self, Group, Id);
            }));
}

namespace {

void tickProbes(Host &H, TimePoint Now) {
  MonitorState &M = *H.m_Monitor;
  Duration Interval = stretchSettings(H).m_ProbeInterval;
  for (const auto &[Group, Mine] : M.m_Owned) {
    for (const std::string &Id : Mine.m_Instances) {
      Probe &Due = M.m_Probes[Id];
      if (Due.m_InFlight || Now < Due.m_Next)
        continue;
      const Instance *I = findInstance(H, Group, Id);
      if (!I)
        continue;
      // Kept in step with the interval rather than with the tick, which comes up to 10 ms late.
      Due.m_Next = std::max(Due.m_Next + Interval, Now + Interval / 2);
      Due.m_InFlight = true;
      probeInstance(H, Group, *I, [Id](Host &Self) {
        if (auto Asked = Self.m_Monitor->m_Probes.find(Id); Asked != Self.m_Monitor->m_Probes.end())
          Asked->second.m_InFlight = false;
      });
    }
  }
}

} // namespace

void noteAnswer(Host &H, const std::string &Group, const std::string &Instance,
                const peer::ForwardReply &Reply) {
  // Refused by a host, without an answer of the instance; or the answer to a transaction's
  // statement, whose instance only the dispatcher knows.
  if (Reply.term() == 0 || Instance.empty())
    return;
  TimePoint Now = Clock::now();
  InstanceView Seen;
  if (auto Known = H.m_Views[Group].m_Instances.find(Instance);
      Known != H.m_Views[Group].m_Instances.end())
    Seen = Known->second;
  if (Reply.has_applied()) {
    Seen.m_AppliedPosition = fromWire(Reply.applied());
    Seen.m_AppliedAt = Now;
  }
  Seen.m_Term = Reply.term();
  Seen.m_IsPrimary = Reply.primary() == Instance;
  Seen.m_LastSeenAt = Now;
  learnView(H, Group, Instance, Seen);
  if (!H.m_Views[Group].m_Instances.contains(Reply.primary()))
    learnPrimary(H, Group, Reply.term(), Reply.primary());
}

void noteFailure(Host &H, const std::string &Group, const std::string &Instance) {
  InstanceView Seen;
  Seen.m_LastFailedAt = Clock::now();
  learnView(H, Group, Instance, Seen);
}

//-----------------------------------------------------------------------------
// [SECTION] Exchange of reports
//-----------------------------------------------------------------------------

namespace {

bool isSilent(const HostView &Host) {
  return Host.m_LastFailedAt != TimePoint{} && Host.m_LastFailedAt >= Host.m_LastSeenAt;
}

double levelNow(const CustomerRate &Rate, TimePoint Now) {
  double Sum = 0;
  for (const Bucket &B : Rate.m_HeldSlots) {
    double Passed = std::chrono::duration<double>(Now - B.m_FilledAt).count();
    Sum += std::min(B.m_Burst, B.m_Level + B.m_Rate * std::max(0.0, Passed));
  }
  return Sum;
}

void addGroupReport(peer::ExchangeRequest &Report, const std::string &Name, const GroupView &View,
                    TimePoint Now) {
  peer::GroupReport Out;
  for (const auto &[Id, V] : View.m_Instances) {
    if (V.m_LastSeenAt == TimePoint{} || Now - V.m_LastSeenAt > MaxReportedAge)
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

peer::ExchangeRequest makeReport(const Host &H, TimePoint Now) {
  peer::ExchangeRequest Report;
  Report.set_host(H.m_Members.m_Self);
  Report.set_incarnation(H.m_Incarnation);
  Report.set_data_centre(H.m_Members.m_DataCentre);
  Report.set_draining(H.m_Draining);
  Report.set_config_revision(H.m_Config.m_Revision);
  for (const auto &[Name, View] : H.m_Views)
    addGroupReport(Report, Name, View, Now);
  for (const auto &[Name, Rate] : H.m_Rate.m_Customers) {
    if (Rate.m_HeldSlots.empty())
      continue;
    peer::BucketLevel &Level = *Report.add_levels();
    Level.set_customer(Name);
    Level.set_level(levelNow(Rate, Now));
  }
  for (const auto &[Id, View] : H.m_Members.m_Hosts)
    if (isSilent(View) && Report.silent_size() < MaxSilent)
      Report.add_silent(Id);
  return Report;
}

void takeLevels(Host &H, const peer::ExchangeRequest &Report, TimePoint Now) {
  for (const peer::BucketLevel &Level : Report.levels()) {
    auto Rate = H.m_Rate.m_Customers.find(Level.customer());
    if (Rate == H.m_Rate.m_Customers.end())
      continue;
    auto &Holders = Rate->second.m_Holders;
    auto Holder = std::ranges::find(Holders, Report.host(), &SlotHolder::m_Host);
    if (Holder == Holders.end())
      continue;
    Holder->m_LastLevel = Level.level();
    Holder->m_LastLevelAt = Now;
  }
}

void takeGroup(Host &H, const peer::GroupReport &Report, TimePoint Now) {
  // A group that is not configured here is left out; its configuration comes first.
  if (!findGroup(H, Report.group()))
    return;
  for (const peer::InstanceReport &I : Report.instances()) {
    if (!findInstance(H, Report.group(), I.instance()))
      continue;
    InstanceView Seen;
    Seen.m_Term = I.term();
    Seen.m_IsPrimary = I.primary();
    Seen.m_LastPosition = fromWire(I.last());
    Seen.m_AppliedPosition = fromWire(I.applied());
    Seen.m_AppliedAt = Now - Millis(I.applied_ago_ms());
    Seen.m_ContactAge = Millis(I.contact_age_ms());
    Seen.m_DataAge = Millis(I.data_age_ms());
    Seen.m_LastSeenAt = Now - Millis(I.seen_ago_ms());
    learnView(H, Report.group(), I.instance(), Seen);
  }
  learnPrimary(H, Report.group(), Report.term(), Report.primary());
}

void takeReport(Host &H, const peer::ExchangeRequest &Report, TimePoint Now) {
  auto Sender = H.m_Members.m_Hosts.find(Report.host());
  if (Sender == H.m_Members.m_Hosts.end() || Report.host() == H.m_Members.m_Self)
    return; // not in the platform's list yet
  HostView &View = Sender->second;
  if (Report.incarnation() < View.m_Incarnation)
    return; // delayed since before the sender's restart
  View.m_Incarnation = Report.incarnation();
  View.m_IsDraining = Report.draining();
  View.m_ConfigRevision = Report.config_revision();
  View.m_LastSeenAt = Now;
  for (const peer::GroupReport &Group : Report.groups())
    takeGroup(H, Group, Now);
  takeLevels(H, Report, Now);
  for (const std::string &Id : Report.silent()) {
    auto Silent = H.m_Members.m_Hosts.find(Id);
    if (Silent != H.m_Members.m_Hosts.end() && !isSilent(Silent->second))
      H.m_Monitor->m_Suspects.insert(Id);
  }
  noteRevision(H, Report.host(), Report.config_revision());
}

// Hosts outside the neighbours that have to be asked: silent ones, to learn that they are back, and
// those that others report as silent or that have not been heard lately, to learn that they are
// gone. Without this, the next dispatcher of an instance would not learn that it is the next.
std::vector<std::string> chooseExtraHosts(Host &H, const std::vector<std::string> &Neighbours,
                                          TimePoint Now) {
  MonitorState &M = *H.m_Monitor;
  std::vector<std::string> Extra;
  for (const auto &[Id, View] : H.m_Members.m_Hosts) {
    if (Id == H.m_Members.m_Self || std::ranges::find(Neighbours, Id) != Neighbours.end())
      continue;
    bool Stale = View.m_LastSeenAt != TimePoint{} &&
                 Now - View.m_LastSeenAt > H.m_Settings.m_Membership.m_LastSeenTimeout / 2;
    if (isSilent(View) || Stale || M.m_Suspects.contains(Id))
      Extra.push_back(Id);
  }
  M.m_Suspects.clear();
  if (Extra.size() > MaxExtraHosts) {
    std::ranges::rotate(Extra, std::ranges::upper_bound(Extra, M.m_LastExtra));
    Extra.resize(MaxExtraHosts);
    M.m_LastExtra = Extra.back();
  }
  return Extra;
}

void exchangeWith(Host &H, const std::string &Id, const peer::ExchangeRequest &Report,
                  bool Neighbour) {
  auto Found = H.m_Members.m_Hosts.find(Id);
  if (Found == H.m_Members.m_Hosts.end() || !H.m_Monitor->m_ExchangesInFlight.insert(Id).second)
    return;
  H.m_Monitor->m_ToldLater.erase(Id);
  using Answer = std::variant<peer::ExchangeReply, PeerError>;
  Duration Timeout = 2 * H.m_Settings.m_Sync.m_ExchangeInterval;
  callExchange(*H.m_Links, Found->second.m_Address, Report, Timeout,
               guardHandler(H, [Id, Neighbour](Host &Self, const Answer &Got) {
                 Self.m_Monitor->m_ExchangesInFlight.erase(Id);
                 if (Self.m_Monitor->m_ToldLater.contains(Id))
                   exchangeWith(Self, Id, makeReport(Self, Clock::now()), Neighbour);
                 auto View = Self.m_Members.m_Hosts.find(Id);
                 if (View == Self.m_Members.m_Hosts.end())
                   return;
                 TimePoint Now = Clock::now();
                 const auto *Reply = std::get_if<peer::ExchangeReply>(&Got);
                 if (!Reply) {
                   // One answer that is late does not yet make a host silent; a refusal does.
                   bool Refused = std::get<PeerError>(Got) == PeerError::NotSent;
                   if (Refused || Now - View->second.m_LastSeenAt >=
                                      Self.m_Settings.m_Membership.m_LastSeenTimeout)
                     View->second.m_LastFailedAt = Now;
                   return;
                 }
                 takeReport(Self, Reply->report(), Now);
                 // A host that is not asked regularly must not count as unheard a second later.
                 if (!Neighbour)
                   View->second.m_LastSeenAt = View->second.m_LastFailedAt = TimePoint{};
               }));
}

void tickExchange(Host &H, TimePoint Now) {
  MonitorState &M = *H.m_Monitor;
  if (Now < M.m_NextExchange || !H.m_Links)
    return;
  M.m_NextExchange = Now + H.m_Settings.m_Sync.m_ExchangeInterval;
  peer::ExchangeRequest Report = makeReport(H, Now);
  auto Neighbours = chooseNeighbours(H.m_Members, Now, H.m_Settings.m_Membership);
  for (const std::string &Id : Neighbours)
    exchangeWith(H, Id, Report, true);
  for (const std::string &Id : chooseExtraHosts(H, Neighbours, Now))
    exchangeWith(H, Id, Report, false);
}

} // namespace

void tellAllHosts(Host &H, TimePoint Now) {
  MonitorState &M = *H.m_Monitor;
  if (!H.m_Links || H.m_Members.m_Hosts.size() > MaxToldHosts)
    return;
  peer::ExchangeRequest Report = makeReport(H, Now);
  auto Neighbours = chooseNeighbours(H.m_Members, Now, H.m_Settings.m_Membership);
  for (const auto &[Id, View] : H.m_Members.m_Hosts) {
    if (Id == H.m_Members.m_Self)
      continue;
    // The report in flight does not have the news.
    if (M.m_ExchangesInFlight.contains(Id))
      M.m_ToldLater.insert(Id);
    else
      exchangeWith(H, Id, Report, std::ranges::find(Neighbours, Id) != Neighbours.end());
  }
}

peer::ExchangeReply handleExchange(Host &H, const peer::ExchangeRequest &Request) {
  TimePoint Now = Clock::now();
  takeReport(H, Request, Now);
  peer::ExchangeReply Reply;
  *Reply.mutable_report() = makeReport(H, Now);
  return Reply;
}

void tickMonitor(Host &H, TimePoint Now) {
  updateOwnership(H, Now);
  tickProbes(H, Now);
  tickPromotions(H, Now);
  tickExchange(H, Now);
  tickRecords(H, Now);
}

//-----------------------------------------------------------------------------
// [SECTION] State dump
//-----------------------------------------------------------------------------

namespace {

using nlohmann::json;

json formatPosition(Position P) { return {{"term", P.m_Term}, {"index", P.m_Index}}; }

// Milliseconds since a time; null if it has not come yet.
json formatAge(TimePoint At, TimePoint Now) {
  if (At == TimePoint{})
    return nullptr;
  return std::chrono::duration_cast<Millis>(Now - At).count();
}

json formatGroup(const Host &H, const std::string &Name, const GroupView &View, TimePoint Now) {
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
  if (auto P = H.m_Promotions.find(Name); P != H.m_Promotions.end())
    Out["promotion"] = {{"step", Steps.at(static_cast<size_t>(P->second.m_Step))},
                        {"term", P->second.m_Term},
                        {"ordered", P->second.m_IsOrdered},
                        {"chosen", P->second.m_Candidate},
                        {"failures", P->second.m_FailureCount},
                        {"reason", P->second.m_LastReason}};
  if (auto Mine = H.m_Monitor->m_Owned.find(Name); Mine != H.m_Monitor->m_Owned.end())
    Out["dispatched_here"] = Mine->second.m_Instances;
  return Out;
}

} // namespace

std::string dumpMonitor(const Host &H) {
  TimePoint Now = Clock::now();
  json Out{{"groups", json::object()}, {"hosts", json::object()}, {"promotions", json::array()}};
  for (const auto &[Name, View] : H.m_Views)
    Out["groups"][Name] = formatGroup(H, Name, View, Now);
  for (const auto &[Id, View] : H.m_Members.m_Hosts)
    Out["hosts"][Id] = {{"data_centre", View.m_DataCentre},
                        {"address", View.m_Address},
                        {"usable", isUsable(H.m_Members, View, Now, H.m_Settings.m_Membership)},
                        {"leaving", View.m_IsLeaving},
                        {"draining", View.m_IsDraining},
                        {"incarnation", View.m_Incarnation},
                        {"config_revision", View.m_ConfigRevision},
                        {"heard_ago_ms", formatAge(View.m_LastSeenAt, Now)},
                        {"failed_ago_ms", formatAge(View.m_LastFailedAt, Now)}};
  for (const PromotionRecord &R : H.m_Monitor->m_History)
    Out["promotions"].push_back(
        {{"unix_time_ms", std::chrono::duration_cast<Millis>(R.m_At.time_since_epoch()).count()},
         {"group", R.m_Group},
         {"primary", R.m_Primary},
         {"term", R.m_Term},
         {"reason", R.m_Why},
         {"took_ms", toMillis(R.m_Took)},
         {"recorded", R.m_Recorded}});
  // Names come from the configuration, which may hold bytes that are not UTF-8.
  return Out.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace quetzalpaddle

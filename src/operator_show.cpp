// Queries by operators: tables built from a host's state.
#include "operator.h"

#include "host.h"

#include <algorithm>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <numeric>

namespace quetzalpaddle {

namespace {

using operators::RunReply;

RunReply makeTable(const std::vector<std::string> &Columns) {
  RunReply Reply = makeReply(operators::ACCEPTED, "ok", "");
  for (const std::string &Column : Columns)
    Reply.add_columns(Column);
  return Reply;
}

std::string formatCell(const std::string &Text) { return Text; }
std::string formatCell(std::string_view Text) { return std::string(Text); }
std::string formatCell(const char *Text) { return Text; }
std::string formatCell(bool Value) { return Value ? "yes" : "no"; }
template <class Number> std::string formatCell(Number Value) { return fmt::format("{}", Value); }

template <class... Cells> void addRow(RunReply &Reply, const Cells &...Values) {
  auto *Row = Reply.add_rows();
  (Row->add_cells(formatCell(Values)), ...);
}

uint64_t findVersion(const Host &ThisHost, const std::string &Name) {
  auto It = ThisHost.m_Config.m_Records.find(Name);
  return It == ThisHost.m_Config.m_Records.end() ? 0 : It->second.m_Revision;
}

// Returns milliseconds since a point in time; "-" if it is not set.
std::string formatAge(TimePoint At, TimePoint Now) {
  if (At == TimePoint{})
    return "-";
  return std::to_string(std::chrono::duration_cast<Millis>(Now - At).count());
}

RunReply showCustomers(const Host &ThisHost) {
  RunReply Reply = makeTable({"customer", "rate", "burst", "version"});
  for (const auto &[Id, C] : ThisHost.m_Config.m_Customers)
    addRow(Reply, Id, C.m_Rate, C.m_Burst, findVersion(ThisHost, "config/customer/" + Id));
  return Reply;
}

RunReply showKeys(const Host &ThisHost) {
  RunReply Reply = makeTable({"key_id", "customer", "withdrawn", "version"});
  for (const auto &[Id, K] : ThisHost.m_Config.m_Keys)
    addRow(Reply, Id, K.m_Customer, K.m_IsWithdrawn, findVersion(ThisHost, "config/key/" + Id));
  return Reply;
}

RunReply showRates(const Host &ThisHost) {
  RunReply Reply = makeTable({"customer", "rate", "burst", "slots_here", "level_here",
                              "demand_here", "waiting", "other_holders"});
  for (const auto &[Id, C] : ThisHost.m_Config.m_Customers) {
    auto It = ThisHost.m_Rate.m_Customers.find(Id);
    CustomerRate R = It == ThisHost.m_Rate.m_Customers.end() ? CustomerRate{} : It->second;
    double Level = std::accumulate(R.m_HeldSlots.begin(), R.m_HeldSlots.end(), 0.0,
                                   [](double Sum, const Bucket &B) { return Sum + B.m_Level; });
    std::string OtherHolders;
    for (const SlotHolder &Holder : R.m_Holders)
      OtherHolders += (OtherHolders.empty() ? "" : ",") + Holder.m_Host;
    addRow(Reply, Id, C.m_Rate, C.m_Burst, R.m_HeldSlots.size(), fmt::format("{:.1f}", Level),
           fmt::format("{:.1f}", R.m_DemandPerSecond), R.m_WaitingRequests.size(), OtherHolders);
  }
  return Reply;
}

RunReply showRoutes(const Host &ThisHost) {
  RunReply Reply = makeTable({"route", "group", "customers", "open", "read_only", "version"});
  for (const auto &[Name, R] : ThisHost.m_Config.m_Routes)
    addRow(Reply, Name, R.m_Group, fmt::format("{}", fmt::join(R.m_AllowedCustomers, ",")),
           R.m_IsPublic, R.m_IsReadOnly, findVersion(ThisHost, "config/route/" + Name));
  return Reply;
}

RunReply showGroups(const Host &ThisHost) {
  RunReply Reply = makeTable({"group", "instances", "leaving", "term", "primary", "version"});
  for (const auto &[Name, G] : ThisHost.m_Config.m_Groups) {
    auto It = ThisHost.m_Views.find(Name);
    GroupView View = It == ThisHost.m_Views.end() ? GroupView{} : It->second;
    addRow(Reply, Name, G.m_Instances.size(),
           std::ranges::count(G.m_Instances, true, &Instance::m_IsLeaving), View.m_Term,
           View.m_Primary, findVersion(ThisHost, "config/group/" + Name));
  }
  return Reply;
}

RunReply showInstances(const Host &ThisHost, TimePoint Now) {
  RunReply Reply =
      makeTable({"instance", "group", "data_centre", "address", "slots", "connections", "leaving",
                 "primary", "term", "applied", "seen_ms_ago", "failed_ms_ago"});
  for (const auto &[Name, G] : ThisHost.m_Config.m_Groups) {
    auto It = ThisHost.m_Views.find(Name);
    GroupView View = It == ThisHost.m_Views.end() ? GroupView{} : It->second;
    for (const Instance &I : G.m_Instances) {
      const InstanceView &InstanceInfo = View.m_Instances[I.m_Id];
      addRow(Reply, I.m_Id, Name, I.m_DataCentre, I.m_Address, I.m_SlotCount, I.m_ConnectionLimit,
             I.m_IsLeaving, View.m_Primary == I.m_Id, InstanceInfo.m_Term,
             fmt::format("{}:{}", InstanceInfo.m_AppliedPosition.m_Term,
                         InstanceInfo.m_AppliedPosition.m_Index),
             formatAge(InstanceInfo.m_LastSeenAt, Now),
             formatAge(InstanceInfo.m_LastFailedAt, Now));
    }
  }
  return Reply;
}

RunReply showHosts(const Host &ThisHost, TimePoint Now) {
  RunReply Reply = makeTable({"host", "data_centre", "address", "incarnation", "usable", "leaving",
                              "draining", "config_revision", "heard_ms_ago"});
  for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts) {
    bool IsSelf = Id == ThisHost.m_Settings.m_HostId;
    addRow(Reply, Id, View.m_DataCentre, View.m_Address, View.m_Incarnation,
           isUsable(ThisHost.m_Members, View, Now, ThisHost.m_Settings.m_Membership),
           View.m_IsLeaving, IsSelf ? ThisHost.m_IsDraining : View.m_IsDraining,
           IsSelf ? ThisHost.m_Config.m_Revision : View.m_ConfigRevision,
           IsSelf ? "-" : formatAge(View.m_LastSeenAt, Now));
  }
  return Reply;
}

// A data centre has confirmed a change, such as a withdrawn key, when all of its listed hosts have
// reported a revision that includes it. A host that is cut off keeps its data centre unconfirmed.
RunReply showConfig(const Host &ThisHost, TimePoint Now) {
  RunReply Reply = makeTable({"kind", "name", "revision", "state"});
  addRow(Reply, "host", ThisHost.m_Settings.m_HostId, ThisHost.m_Config.m_Revision, "this host");
  struct Summary {
    uint64_t m_MinRevision = UINT64_MAX;
    size_t m_HostCount = 0;
    size_t m_BehindCount = 0;
    size_t m_NotSeenCount = 0;
  };
  std::map<std::string, Summary> DataCentres;
  for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts) {
    Summary &CentreSummary = DataCentres[View.m_DataCentre];
    bool IsSelf = Id == ThisHost.m_Settings.m_HostId;
    uint64_t Revision = IsSelf ? ThisHost.m_Config.m_Revision : View.m_ConfigRevision;
    ++CentreSummary.m_HostCount;
    CentreSummary.m_MinRevision = std::min(CentreSummary.m_MinRevision, Revision);
    CentreSummary.m_BehindCount += Revision < ThisHost.m_Config.m_Revision ? 1 : 0;
    bool IsRecentlySeen =
        View.m_LastSeenAt != TimePoint{} &&
        Now - View.m_LastSeenAt <= ThisHost.m_Settings.m_Membership.m_LastSeenTimeout;
    CentreSummary.m_NotSeenCount += IsSelf || IsRecentlySeen ? 0 : 1;
  }
  for (const auto &[Name, CentreSummary] : DataCentres)
    addRow(Reply, "data_centre", Name, CentreSummary.m_MinRevision,
           CentreSummary.m_BehindCount == 0
               ? std::string("confirmed")
               : fmt::format("not confirmed: {} of {} hosts behind, {} silent",
                             CentreSummary.m_BehindCount, CentreSummary.m_HostCount,
                             CentreSummary.m_NotSeenCount));
  for (const auto &[Name, Record] : ThisHost.m_Config.m_Records)
    if (!Record.m_ParseError.empty())
      addRow(Reply, "object", Name, Record.m_Revision,
             fmt::format("does not parse, version {} is in force: {}", Record.m_ActiveRevision,
                         Record.m_ParseError));
  return Reply;
}

// Built from the dispatcher's part of the state dump; fields missing there are left empty.
RunReply showQueues(const Host &ThisHost) {
  RunReply Reply = makeTable(
      {"group", "instance", "customer", "slots", "running", "queued", "transactions", "budget"});
  auto Dump = nlohmann::json::parse(dumpDispatch(ThisHost), nullptr, false);
  if (!Dump.is_object() || !Dump.contains("dispatchers"))
    return Reply;
  auto GetField = [](const nlohmann::json &Object, const char *Field) {
    auto It = Object.find(Field);
    if (It == Object.end())
      return std::string();
    return It->is_string() ? It->get<std::string>() : It->dump();
  };
  for (const auto &Dispatcher : Dump["dispatchers"]) {
    addRow(Reply, GetField(Dispatcher, "group"), GetField(Dispatcher, "instance"), "*",
           GetField(Dispatcher, "slots"), GetField(Dispatcher, "running"),
           GetField(Dispatcher, "queued"), GetField(Dispatcher, "transactions"),
           GetField(Dispatcher, "budget"));
    if (!Dispatcher.contains("customers"))
      continue;
    for (const auto &[Customer, Queue] : Dispatcher["customers"].items())
      addRow(Reply, GetField(Dispatcher, "group"), GetField(Dispatcher, "instance"), Customer, "",
             GetField(Queue, "running"), GetField(Queue, "queued"), "", "");
  }
  return Reply;
}

RunReply showRefusals(const Host &ThisHost) {
  RunReply Reply = makeTable({"route", "customer", "reason", "count"});
  if (!ThisHost.m_Metrics)
    return Reply;
  for (const RefusalCount &R : listRefusals(*ThisHost.m_Metrics))
    addRow(Reply, R.m_Route, R.m_Customer, R.m_Reason, R.m_Count);
  return Reply;
}

std::string_view formatStep(PromotionStep Step) {
  constexpr std::array<std::string_view, 7> Names = {
      "idle", "waiting", "checking", "fencing", "promoting", "following", "recording"};
  return Names.at(static_cast<size_t>(Step));
}

RunReply showPromotions(const Host &ThisHost) {
  RunReply Reply = makeTable({"time", "group", "primary", "term", "state", "took_ms", "reason"});
  for (const PromotionRecord &R : listPromotions(ThisHost))
    addRow(Reply,
           fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(R.m_PromotedAt))),
           R.m_Group, R.m_Primary, R.m_Term, R.m_IsRecorded ? "recorded" : "not recorded",
           std::chrono::duration_cast<Millis>(R.m_Duration).count(), R.m_PromotionReason);
  for (const auto &[Group, P] : ThisHost.m_Promotions)
    if (P.m_Step != PromotionStep::Idle || P.m_IsOrdered)
      addRow(Reply, "now", Group, P.m_Candidate, P.m_Term, formatStep(P.m_Step), "",
             P.m_LastReason);
  return Reply;
}

RunReply showLimits(const Host &ThisHost) {
  RunReply Reply = makeTable({"setting", "value"});
  for (const auto &[Path, Value] : listSettings(ThisHost.m_Settings))
    addRow(Reply, Path, Value);
  return Reply;
}

} // namespace

RunReply showTopic(const Host &ThisHost, ShowTopic Topic) {
  TimePoint Now = Clock::now();
  switch (Topic) {
  case ShowTopic::Customers:
    return showCustomers(ThisHost);
  case ShowTopic::Keys:
    return showKeys(ThisHost);
  case ShowTopic::Rates:
    return showRates(ThisHost);
  case ShowTopic::Routes:
    return showRoutes(ThisHost);
  case ShowTopic::Groups:
    return showGroups(ThisHost);
  case ShowTopic::Instances:
    return showInstances(ThisHost, Now);
  case ShowTopic::Hosts:
    return showHosts(ThisHost, Now);
  case ShowTopic::Config:
    return showConfig(ThisHost, Now);
  case ShowTopic::Queues:
    return showQueues(ThisHost);
  case ShowTopic::Refusals:
    return showRefusals(ThisHost);
  case ShowTopic::Promotions:
    return showPromotions(ThisHost);
  case ShowTopic::Limits:
    return showLimits(ThisHost);
  }
  return makeReply(operators::REFUSED, "internal", "unknown topic");
}

} // namespace quetzalpaddle

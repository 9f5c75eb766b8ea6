// Operators' queries: rows made from a host's state.
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

template <class... Cells> void addRow(RunReply &Reply, const Cells &...All) {
  auto *Row = Reply.add_rows();
  (Row->add_cells(formatCell(All)), ...);
}

uint64_t findVersion(const Host &H, const std::string &Name) {
  auto Found = H.m_Config.m_Records.find(Name);
  return Found == H.m_Config.m_Records.end() ? 0 : Found->second.m_Revision;
}

// Milliseconds since a point in time; "-" if it has not come yet.
std::string formatAge(TimePoint At, TimePoint Now) {
  if (At == TimePoint{})
    return "-";
  return std::to_string(std::chrono::duration_cast<Millis>(Now - At).count());
}

RunReply showCustomers(const Host &H) {
  RunReply Reply = makeTable({"customer", "rate", "burst", "version"});
  for (const auto &[Id, C] : H.m_Config.m_Customers)
    addRow(Reply, Id, C.m_Rate, C.m_Burst, findVersion(H, "config/customer/" + Id));
  return Reply;
}

RunReply showKeys(const Host &H) {
  RunReply Reply = makeTable({"key_id", "customer", "withdrawn", "version"});
  for (const auto &[Id, K] : H.m_Config.m_Keys)
    addRow(Reply, Id, K.m_Customer, K.m_IsWithdrawn, findVersion(H, "config/key/" + Id));
  return Reply;
}

RunReply showRates(const Host &H) {
  RunReply Reply = makeTable({"customer", "rate", "burst", "slots_here", "level_here",
                              "demand_here", "waiting", "other_holders"});
  for (const auto &[Id, C] : H.m_Config.m_Customers) {
    auto Found = H.m_Rate.m_Customers.find(Id);
    CustomerRate R = Found == H.m_Rate.m_Customers.end() ? CustomerRate{} : Found->second;
    double Level = std::accumulate(R.m_HeldSlots.begin(), R.m_HeldSlots.end(), 0.0,
                                   [](double Sum, const Bucket &B) { return Sum + B.m_Level; });
    std::string Others;
    for (const SlotHolder &Other : R.m_Holders)
      Others += (Others.empty() ? "" : ",") + Other.m_Host;
    addRow(Reply, Id, C.m_Rate, C.m_Burst, R.m_HeldSlots.size(), fmt::format("{:.1f}", Level),
           fmt::format("{:.1f}", R.m_DemandPerSecond), R.m_WaitingRequests.size(), Others);
  }
  return Reply;
}

RunReply showRoutes(const Host &H) {
  RunReply Reply = makeTable({"route", "group", "customers", "open", "read_only", "version"});
  for (const auto &[Name, R] : H.m_Config.m_Routes)
    addRow(Reply, Name, R.m_Group, fmt::format("{}", fmt::join(R.m_AllowedCustomers, ",")),
           R.m_IsPublic, R.m_IsReadOnly, findVersion(H, "config/route/" + Name));
  return Reply;
}

RunReply showGroups(const Host &H) {
  RunReply Reply = makeTable({"group", "instances", "leaving", "term", "primary", "version"});
  for (const auto &[Name, G] : H.m_Config.m_Groups) {
    auto Found = H.m_Views.find(Name);
    GroupView View = Found == H.m_Views.end() ? GroupView{} : Found->second;
    addRow(Reply, Name, G.m_Instances.size(),
           std::ranges::count(G.m_Instances, true, &Instance::m_IsLeaving), View.m_Term,
           View.m_Primary, findVersion(H, "config/group/" + Name));
  }
  return Reply;
}

RunReply showInstances(const Host &H, TimePoint Now) {
  RunReply Reply =
      makeTable({"instance", "group", "data_centre", "address", "slots", "connections", "leaving",
                 "primary", "term", "applied", "seen_ms_ago", "failed_ms_ago"});
  for (const auto &[Name, G] : H.m_Config.m_Groups) {
    auto Found = H.m_Views.find(Name);
    GroupView View = Found == H.m_Views.end() ? GroupView{} : Found->second;
    for (const Instance &I : G.m_Instances) {
      const InstanceView &Seen = View.m_Instances[I.m_Id];
      addRow(Reply, I.m_Id, Name, I.m_DataCentre, I.m_Address, I.m_SlotCount, I.m_ConnectionLimit,
             I.m_IsLeaving, View.m_Primary == I.m_Id, Seen.m_Term,
             fmt::format("{}:{}", Seen.m_AppliedPosition.m_Term, Seen.m_AppliedPosition.m_Index),
             formatAge(Seen.m_LastSeenAt, Now), formatAge(Seen.m_LastFailedAt, Now));
    }
  }
  return Reply;
}

RunReply showHosts(const Host &H, TimePoint Now) {
  RunReply Reply = makeTable({"host", "data_centre", "address", "incarnation", "usable", "leaving",
                              "draining", "config_revision", "heard_ms_ago"});
  for (const auto &[Id, View] : H.m_Members.m_Hosts) {
    bool Self = Id == H.m_Settings.m_Host;
    addRow(Reply, Id, View.m_DataCentre, View.m_Address, View.m_Incarnation,
           isUsable(H.m_Members, View, Now, H.m_Settings.m_Membership), View.m_IsLeaving,
           Self ? H.m_Draining : View.m_IsDraining,
           Self ? H.m_Config.m_Revision : View.m_ConfigRevision,
           Self ? "-" : formatAge(View.m_LastSeenAt, Now));
  }
  return Reply;
}

// A data centre has confirmed a change, such as a withdrawn key, when each of its listed hosts has
// reported a revision that includes it. A host that is cut off keeps its data centre unconfirmed.
RunReply showConfig(const Host &H, TimePoint Now) {
  RunReply Reply = makeTable({"kind", "name", "revision", "state"});
  addRow(Reply, "host", H.m_Settings.m_Host, H.m_Config.m_Revision, "this host");
  struct Summary {
    uint64_t m_Lowest = UINT64_MAX;
    size_t m_Hosts = 0;
    size_t m_Behind = 0;
    size_t m_Silent = 0;
  };
  std::map<std::string, Summary> Centres;
  for (const auto &[Id, View] : H.m_Members.m_Hosts) {
    Summary &Sum = Centres[View.m_DataCentre];
    bool Self = Id == H.m_Settings.m_Host;
    uint64_t Revision = Self ? H.m_Config.m_Revision : View.m_ConfigRevision;
    ++Sum.m_Hosts;
    Sum.m_Lowest = std::min(Sum.m_Lowest, Revision);
    Sum.m_Behind += Revision < H.m_Config.m_Revision ? 1 : 0;
    bool Heard = View.m_LastSeenAt != TimePoint{} &&
                 Now - View.m_LastSeenAt <= H.m_Settings.m_Membership.m_LastSeenTimeout;
    Sum.m_Silent += Self || Heard ? 0 : 1;
  }
  for (const auto &[Name, Sum] : Centres)
    addRow(Reply, "data_centre", Name, Sum.m_Lowest,
           Sum.m_Behind == 0 ? std::string("confirmed")
                             : fmt::format("not confirmed: {} of {} hosts behind, {} silent",
                                           Sum.m_Behind, Sum.m_Hosts, Sum.m_Silent));
  for (const auto &[Name, Record] : H.m_Config.m_Records)
    if (!Record.m_ParseError.empty())
      addRow(Reply, "object", Name, Record.m_Revision,
             fmt::format("does not parse, version {} is in force: {}", Record.m_ActiveRevision,
                         Record.m_ParseError));
  return Reply;
}

// From the dispatcher's share of the state dump; fields that are missing there stay empty.
RunReply showQueues(const Host &H) {
  RunReply Reply = makeTable(
      {"group", "instance", "customer", "slots", "running", "queued", "transactions", "budget"});
  auto Dump = nlohmann::json::parse(dumpDispatch(H), nullptr, false);
  if (!Dump.is_object() || !Dump.contains("dispatchers"))
    return Reply;
  auto Get = [](const nlohmann::json &Object, const char *Field) {
    auto Found = Object.find(Field);
    if (Found == Object.end())
      return std::string();
    return Found->is_string() ? Found->get<std::string>() : Found->dump();
  };
  for (const auto &D : Dump["dispatchers"]) {
    addRow(Reply, Get(D, "group"), Get(D, "instance"), "*", Get(D, "slots"), Get(D, "running"),
           Get(D, "queued"), Get(D, "transactions"), Get(D, "budget"));
    if (!D.contains("customers"))
      continue;
    for (const auto &[Customer, Queue] : D["customers"].items())
      addRow(Reply, Get(D, "group"), Get(D, "instance"), Customer, "", Get(Queue, "running"),
             Get(Queue, "queued"), "", "");
  }
  return Reply;
}

RunReply showRefusals(const Host &H) {
  RunReply Reply = makeTable({"route", "customer", "reason", "count"});
  if (!H.m_Metrics)
    return Reply;
  for (const RefusalCount &R : listRefusals(*H.m_Metrics))
    addRow(Reply, R.m_Route, R.m_Customer, R.m_Reason, R.m_Count);
  return Reply;
}

std::string_view formatStep(PromotionStep Step) {
  constexpr std::array<std::string_view, 7> Names = {
      "idle", "waiting", "checking", "fencing", "promoting", "following", "recording"};
  return Names.at(static_cast<size_t>(Step));
}

RunReply showPromotions(const Host &H) {
  RunReply Reply = makeTable({"time", "group", "primary", "term", "state", "took_ms", "reason"});
  for (const PromotionRecord &R : listPromotions(H))
    addRow(Reply,
           fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(R.m_At))),
           R.m_Group, R.m_Primary, R.m_Term, R.m_Recorded ? "recorded" : "not recorded",
           std::chrono::duration_cast<Millis>(R.m_Took).count(), R.m_Why);
  for (const auto &[Group, P] : H.m_Promotions)
    if (P.m_Step != PromotionStep::Idle || P.m_IsOrdered)
      addRow(Reply, "now", Group, P.m_Candidate, P.m_Term, formatStep(P.m_Step), "",
             P.m_LastReason);
  return Reply;
}

RunReply showLimits(const Host &H) {
  RunReply Reply = makeTable({"setting", "value"});
  for (const auto &[Path, Value] : listSettings(H.m_Settings))
    addRow(Reply, Path, Value);
  return Reply;
}

} // namespace

RunReply showTopic(const Host &H, ShowTopic Topic) {
  TimePoint Now = Clock::now();
  switch (Topic) {
  case ShowTopic::Customers:
    return showCustomers(H);
  case ShowTopic::Keys:
    return showKeys(H);
  case ShowTopic::Rates:
    return showRates(H);
  case ShowTopic::Routes:
    return showRoutes(H);
  case ShowTopic::Groups:
    return showGroups(H);
  case ShowTopic::Instances:
    return showInstances(H, Now);
  case ShowTopic::Hosts:
    return showHosts(H, Now);
  case ShowTopic::Config:
    return showConfig(H, Now);
  case ShowTopic::Queues:
    return showQueues(H);
  case ShowTopic::Refusals:
    return showRefusals(H);
  case ShowTopic::Promotions:
    return showPromotions(H);
  case ShowTopic::Limits:
    return showLimits(H);
  }
  return makeReply(operators::REFUSED, "internal", "unknown topic");
}

} // namespace quetzalpaddle

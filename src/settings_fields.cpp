// Table of settings fields, conversion of units, and the commented example generated from the
// table.
#include "settings_fields.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quetzalpaddle {

namespace settings_table {

namespace {

using Json = nlohmann::ordered_json;

void addListenerFields(std::vector<Field> &Fields, const std::string &Path,
                       ListenSettings &Listener, std::string_view Comment, bool HasAuthorityFile) {
  Fields.push_back({Path + ".address", Address{&Listener.m_Address}, 0, 0, Comment});
  Fields.push_back({Path + ".port", &Listener.m_Port, 1, 65535, "TCP port", true});
  Fields.push_back({Path + ".plain_text", &Listener.m_IsPlainText, 0, 0, "disables TLS"});
  Fields.push_back({Path + ".certificate_file", &Listener.m_CertificateFile, 0, 0, "PEM"});
  Fields.push_back({Path + ".key_file", &Listener.m_KeyFile, 0, 0, "PEM"});
  if (HasAuthorityFile)
    Fields.push_back({Path + ".authority_file", &Listener.m_AuthorityFile, 0, 0,
                      "PEM; CA for certificates of other hosts"});
}

std::vector<Field> listFrontFields(FrontSettings &Front) {
  return {
      {"front.max_header_size", Size{&Front.m_MaxHeaderBytes}, KiB, MiB, "of a request's header"},
      {"front.max_body_size", Size{&Front.m_MaxBodyBytes}, KiB, 16 * MiB, "of a request's body"},
      {"front.max_connections", &Front.m_MaxConnections, 1, 1000000, "callers' connections"},
      {"front.max_in_progress", &Front.m_MaxInProgress, 1, 1000000, "requests in progress"},
      {"front.traffic_threads", &Front.m_TrafficThreadCount, 1, 64,
       "threads that parse and write HTTP"},
      {"front.header_timeout", &Front.m_HeaderTimeout, 10, Minute,
       "to receive a request's header, and again to receive its body"},
      {"front.idle_timeout", &Front.m_IdleTimeout, 10, Hour,
       "connections without a request are closed after this time"},
      {"front.request_timeout", &Front.m_RequestTimeout, 10, 10 * Minute,
       "deadline of a request that sets none"},
      {"front.reserved_descriptors", &Front.m_ReservedDescriptors, 0, 100000,
       "kept for the platform, instances and hosts; at most half of the process's limit"},
      {"front.max_buffered", Size{&Front.m_MaxBufferedBytes}, MiB, 2048 * MiB,
       "bytes of requests and answers of all callers"},
      {"front.write_timeout", &Front.m_WriteTimeout, 10, 10 * Minute,
       "for a caller to read an answer"},
      {"front.max_request_timeout", &Front.m_MaxRequestTimeout, 10, 10 * Minute,
       "longest deadline; longer ones are reduced to it"},
  };
}

std::vector<Field> listPolicyFields(Settings &Values) {
  return {
      {"drain.notice", &Values.m_Drain.m_NoticeDuration, 0, 10 * Minute,
       "from announcing the drain to refusing new connections"},
      {"drain.limit", &Values.m_Drain.m_DrainTimeout, 0, Hour, "to complete requests in progress"},
      {"sync.exchange_interval", &Values.m_Sync.m_ExchangeInterval, 10, Minute,
       "between exchanges with other hosts"},
      {"sync.platform_timeout", &Values.m_Sync.m_PlatformTimeout, 10, Minute,
       "for a call to the platform"},
      {"sync.cut_off_limit", &Values.m_Sync.m_CutOffLimit, 0, 24 * Hour,
       "without contact for longer, requests with a key are refused; 0s = never"},
      {"rate.transfer_validity", &Values.m_Rate.m_TransferValidity, 10, 10 * Second,
       "tokens from another host expire after this time"},
      {"rate.admission_wait", &Values.m_Rate.m_AdmissionTimeout, 0, 10 * Second,
       "how long a request waits for tokens"},
      {"rate.share_lease", &Values.m_Rate.m_LeaseDuration, Second, 24 * Hour,
       "how long rate slots stay valid without the platform"},
      {"rate.lease_renewal", &Values.m_Rate.m_LeaseRenewalInterval, Second, 24 * Hour,
       "between renewals of the lease"},
      {"rate.drift_margin", &Values.m_Rate.m_DriftMargin, 0, 1,
       "fraction added to the lease of another host before it counts as expired, for clock drift"},
      {"rate.slots_per_data_centre", &Values.m_Rate.m_SlotsPerDataCentre, 1, 64,
       "that a customer's rate is divided into"},
      {"queue.max_per_customer", &Values.m_Queue.m_MaxPerCustomer, 1, 100000,
       "queued requests per instance"},
      {"queue.max_total", &Values.m_Queue.m_MaxTotal, 1, 1000000, "queued requests per instance"},
      {"queue.max_wait", &Values.m_Queue.m_MaxWait, 1, 10 * Minute, "longest time in a queue"},
      {"pool.budget_share", &Values.m_Pool.m_ConnectionShare, 0.01, 1,
       "fraction of an instance's connections; above 0.5, two dispatchers exceed its limit"},
      {"pool.max_opening", &Values.m_Pool.m_MaxConcurrentOpens, 1, 1000,
       "connections to an instance that are opened concurrently"},
      {"pool.idle_transaction", &Values.m_Pool.m_TransactionIdleTimeout, 10, Hour,
       "idle transactions are aborted after this time"},
      {"pool.max_transaction", &Values.m_Pool.m_MaxTransactionAge, 10, Hour,
       "transactions are aborted after this time"},
      {"pool.idle_connection", &Values.m_Pool.m_ConnectionIdleTimeout, 100, 24 * Hour,
       "idle connections are closed after this time, so that a former dispatcher releases them"},
      {"pool.open_timeout", &Values.m_Pool.m_OpenTimeout, 10, Minute, "for opening a connection"},
      {"route.max_replica_wait", &Values.m_Route.m_MaxReplicaWait, 0, Minute,
       "longest wait at a replica that is about to reach the required position"},
      {"route.avoid_after_failure", &Values.m_Route.m_FailureCooldown, 0, Minute,
       "how long an instance is avoided after a failure"},
      {"membership.pass_over_after", &Values.m_Membership.m_LastSeenTimeout, 10, Hour,
       "a host not seen for this long gets no new work"},
      {"membership.avoid_after_failure", &Values.m_Membership.m_FailureCooldown, 0, Minute,
       "how long a host is avoided after a failure"},
      {"membership.relays_per_data_centre", &Values.m_Membership.m_RelaysPerDataCentre, 1, 64,
       "hosts that watch the platform"},
      {"membership.neighbours", &Values.m_Membership.m_NeighbourCount, 1, 1000,
       "hosts that reports are exchanged with"},
      {"failover.probe_interval", &Values.m_Failover.m_ProbeInterval, 5, Minute, "between probes"},
      {"failover.probe_timeout", &Values.m_Failover.m_ProbeTimeout, 5, Minute,
       "for the reply to a probe"},
      {"failover.suspect_after", &Values.m_Failover.m_SuspectTimeout, 10, 10 * Minute,
       "a primary without contact for this long is suspect"},
      {"failover.unreachable_after", &Values.m_Failover.m_UnreachableTimeout, 10, 10 * Minute,
       "a primary that no host has reached for this long is replaced by a promotion"},
      {"failover.rank_delay", &Values.m_Failover.m_RankDelay, 0, Minute,
       "between the starts of promotions by hosts of successive ranks"},
      {"failover.step_timeout", &Values.m_Failover.m_StepTimeout, 5, Minute,
       "for the replies to one step of a promotion"},
      {"failover.retry_first", &Values.m_Failover.m_BaseRetryDelay, 1, Minute,
       "first backoff after a failed promotion"},
      {"failover.retry_most", &Values.m_Failover.m_MaxRetryJitter, 1, 10 * Minute,
       "longest backoff"},
      {"failover.max_probes_per_second", &Values.m_Failover.m_MaxProbesPerSecond, 1, 100000,
       "of this host; the probe interval is extended to stay below this"},
  };
}

std::string formatMillis(Millis Value) {
  return formatQuantity(static_cast<double>(Value.count()), DurationUnits);
}

struct FormatValue {
  std::string operator()(const std::string *Text) const { return Json(*Text).dump(); }
  std::string operator()(Name Value) const { return Json(*Value.m_Text).dump(); }
  std::string operator()(Address Value) const { return Json(*Value.m_Text).dump(); }
  std::string operator()(Secret Value) const { return Json(*Value.m_Text).dump(); }
  std::string operator()(const std::vector<std::string> *List) const { return Json(*List).dump(); }
  std::string operator()(const bool *Value) const { return *Value ? "true" : "false"; }
  std::string operator()(const double *Value) const { return fmt::format("{}", *Value); }
  std::string operator()(const uint32_t *Value) const { return fmt::format("{}", *Value); }
  std::string operator()(const uint16_t *Value) const { return fmt::format("{}", *Value); }
  std::string operator()(Size Value) const {
    return '"' + formatQuantity(*Value.m_Bytes, SizeUnits) + '"';
  }
  std::string operator()(const Millis *Value) const { return '"' + formatMillis(*Value) + '"'; }
  std::string operator()(const std::chrono::seconds *Value) const {
    return '"' + formatMillis(*Value) + '"';
  }
};

std::string describeRange(const Field &F) {
  auto FormatRange = [&](std::span<const Unit> Units) {
    return fmt::format("; {} to {}", formatQuantity(F.m_Min, Units),
                       formatQuantity(F.m_Max, Units));
  };
  if (std::holds_alternative<Millis *>(F.m_Target) ||
      std::holds_alternative<std::chrono::seconds *>(F.m_Target))
    return FormatRange(DurationUnits);
  if (std::holds_alternative<Size>(F.m_Target))
    return FormatRange(SizeUnits);
  return F.m_Max > 0 ? fmt::format("; {} to {}", F.m_Min, F.m_Max) : "";
}

// Returns the defaults, with example values for required fields, which have no default.
Settings makeExample() {
  Settings Example;
  Example.m_HostId = "host-1";
  Example.m_DataCentre = "dc-1";
  Example.m_PlatformAddresses = {"127.0.0.1:7600"};
  Example.m_SeedPeers = {"127.0.0.1:7411"};
  Example.m_TokenSecret = Example.m_KeyPepper = Example.m_OperatorSecret = Example.m_PeerSecret =
      "replace by 32 random characters";
  uint16_t Port = 7400;
  for (ListenSettings *L : {&Example.m_Callers, &Example.m_Peers, &Example.m_Operators}) {
    L->m_Port = Port++;
    L->m_CertificateFile = "/etc/quetzalpaddle/certificate.pem";
    L->m_KeyFile = "/etc/quetzalpaddle/key.pem";
  }
  Example.m_Peers.m_AuthorityFile = "/etc/quetzalpaddle/authority.pem";
  Example.m_MetricsListen.m_Port = Port;
  Example.m_MetricsListen.m_IsPlainText = true;
  return Example;
}

} // namespace

std::vector<Field> listFields(Settings &Values) {
  std::vector<Field> Fields = {
      {"host", Name{&Values.m_HostId}, 0, 0, "id of this host", true},
      {"data_centre", Name{&Values.m_DataCentre}, 0, 0, "of this host", true},
  };
  addListenerFields(Fields, "callers", Values.m_Callers, "HTTP for callers", false);
  addListenerFields(Fields, "peers", Values.m_Peers, "gRPC for other hosts", true);
  addListenerFields(Fields, "operators", Values.m_Operators, "gRPC for operators", false);
  addListenerFields(Fields, "metrics", Values.m_MetricsListen,
                    "HTTP for /metrics, /health, /ready, /dump", false);
  std::vector<Field> Common = {
      {"platform", &Values.m_PlatformAddresses, 0, 0, "IP:port of the platform's object API", true},
      {"seed_peers", &Values.m_SeedPeers, 0, 0,
       "IP:port of other hosts, used until a host list has been read"},
      {"token_secret", Secret{&Values.m_TokenSecret}, 0, 0,
       "seals session tokens; same on all hosts", true},
      {"key_pepper", Secret{&Values.m_KeyPepper}, 0, 0,
       "mixed into the hashes of keys; same on all hosts", true},
      {"operator_secret", Secret{&Values.m_OperatorSecret}, 0, 0, "sent by operators", true},
      {"peer_secret", Secret{&Values.m_PeerSecret}, 0, 0, "between hosts; same on all hosts", true},
      {"log_json", &Values.m_IsLogJson, 0, 0, "write log lines as JSON"},
  };
  std::ranges::copy(Common, std::back_inserter(Fields));
  std::ranges::copy(listFrontFields(Values.m_Front), std::back_inserter(Fields));
  std::ranges::copy(listPolicyFields(Values), std::back_inserter(Fields));
  return Fields;
}

std::optional<double> parseQuantity(std::string_view Text, std::span<const Unit> Units) {
  size_t DigitCount = std::min(Text.find_first_not_of("0123456789"), Text.size());
  auto It = std::ranges::find(Units, Text.substr(DigitCount), &Unit::m_Name);
  if (DigitCount == 0 || DigitCount > 9 || It == Units.end())
    return std::nullopt;
  return std::stod(std::string(Text.substr(0, DigitCount))) * It->m_Factor;
}

std::string formatQuantity(double Value, std::span<const Unit> Units) {
  if (Value == 0)
    return fmt::format("0{}", Units[Units.size() - 2].m_Name);
  auto IsWhole = [Value](const Unit &U) { return std::fmod(Value, U.m_Factor) == 0; };
  auto It = std::ranges::find_if(Units, IsWhole);
  return fmt::format("{:.0f}{}", Value / It->m_Factor, It->m_Name);
}

} // namespace settings_table

std::vector<std::pair<std::string, std::string>> listSettings(const Settings &Values) {
  using namespace settings_table;
  Settings Copy = Values;
  std::vector<std::pair<std::string, std::string>> Entries;
  for (const Field &F : listFields(Copy))
    if (!std::holds_alternative<Secret>(F.m_Target))
      Entries.emplace_back(F.m_Path, std::visit(FormatValue{}, F.m_Target));
  return Entries;
}

std::string formatDefaultSettings() {
  using namespace settings_table;
  Settings Example = makeExample();
  std::vector<Field> Fields = listFields(Example);
  std::string Text =
      "// Settings of a host. Fields marked \"required\" have no default and show an "
      "example.\n{\n";
  std::string Section;
  for (size_t Index = 0; Index < Fields.size(); ++Index) {
    const Field &CurrentField = Fields[Index];
    auto GetSection = [](const Field &G) {
      size_t Dot = G.m_Path.find('.');
      return Dot == std::string::npos ? std::string() : G.m_Path.substr(0, Dot);
    };
    std::string OwnSection = GetSection(CurrentField);
    std::string NextSection = Index + 1 < Fields.size() ? GetSection(Fields[Index + 1]) : "";
    bool IsLast = Index + 1 == Fields.size();
    if (OwnSection != Section && !OwnSection.empty())
      Text += fmt::format("  \"{}\": {{\n", OwnSection);
    Section = OwnSection;
    std::string FieldName = OwnSection.empty() ? CurrentField.m_Path
                                               : CurrentField.m_Path.substr(OwnSection.size() + 1);
    bool EndsSection = !OwnSection.empty() && (IsLast || NextSection != OwnSection);
    Text +=
        fmt::format("{}\"{}\": {}{} // {}{}{}\n", OwnSection.empty() ? "  " : "    ", FieldName,
                    std::visit(FormatValue{}, CurrentField.m_Target),
                    EndsSection || IsLast ? "" : ",", CurrentField.m_IsRequired ? "required; " : "",
                    CurrentField.m_Comment, describeRange(CurrentField));
    if (EndsSection)
      Text += IsLast ? "  }\n" : "  },\n";
  }
  return Text + "}\n";
}

} // namespace quetzalpaddle

// Settings: JSON with comments, checked against proto/settings.proto, then against the table of
// fields, then for contradictions.
//
// Index of this file:
// [SECTION] Reading the text
// [SECTION] Taking over fields
// [SECTION] Contradictions
#include "settings_fields.h"

#include "settings.pb.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <google/protobuf/reflection.h>
#include <google/protobuf/util/json_util.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace quetzalpaddle {

using namespace settings_table;

namespace {

using Json = nlohmann::ordered_json;
using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr size_t LeastSecret = 16; // bytes; shorter ones can be guessed

//-----------------------------------------------------------------------------
// [SECTION] Reading the text
//-----------------------------------------------------------------------------

// Collects errors, with the line of the field if the text has it.
struct Report {
  std::string m_File;
  std::map<std::string, uint32_t> m_Lines; // by path
  std::vector<SettingsError> m_Errors;
};

void addError(Report &R, const std::string &Path, const std::string &Text) {
  auto Line = R.m_Lines.find(Path);
  // A field that is missing is reported at the object that lacks it.
  if (Line == R.m_Lines.end() && Path.find('.') != std::string::npos)
    Line = R.m_Lines.find(Path.substr(0, Path.find('.')));
  uint32_t Number = Line == R.m_Lines.end() ? 0 : Line->second;
  R.m_Errors.push_back({R.m_File, Number, Path, Text});
}

bool hasError(const Report &R, std::string_view Path) {
  return std::ranges::find(R.m_Errors, Path, &SettingsError::m_Field) != R.m_Errors.end();
}

// Counts the lines that the JSON reader has consumed.
struct LineCounter {
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char *;
  using reference = const char &;
  const char *m_At = nullptr;
  uint32_t *m_Line = nullptr;
  reference operator*() const { return *m_At; }
  LineCounter &operator++() {
    if (*m_At == '\n')
      ++*m_Line;
    ++m_At;
    return *this;
  }
  bool operator==(const LineCounter &Other) const { return m_At == Other.m_At; }
  bool operator!=(const LineCounter &Other) const { return m_At != Other.m_At; }
};

// Builds the tree and notes the line of each field. The names of the functions are the library's.
// NOLINTBEGIN(readability-identifier-naming)
class FieldReader : public nlohmann::json_sax<Json> {
public:
  FieldReader(Report &R, const uint32_t &Line) : m_Report(R), m_Line(Line) {}
  bool null() override { return addValue(nullptr); }
  bool boolean(bool Value) override { return addValue(Value); }
  bool number_integer(number_integer_t Value) override { return addValue(Value); }
  bool number_unsigned(number_unsigned_t Value) override { return addValue(Value); }
  bool number_float(number_float_t Value, const string_t &) override { return addValue(Value); }
  bool string(string_t &Value) override { return addValue(Value); }
  bool binary(binary_t &) override { return false; }
  bool start_object(size_t) override { return addContainer(Json::object()); }
  bool start_array(size_t) override { return addContainer(Json::array()); }
  bool end_object() override { return endContainer(); }
  bool end_array() override { return endContainer(); }
  bool key(string_t &Name) override {
    m_Key = Name;
    std::string Path = makePath();
    if (m_Open.back()->contains(Name))
      m_Report.m_Errors.push_back({m_Report.m_File, m_Line, Path, "is given twice"});
    m_Report.m_Lines[Path] = m_Line;
    return true;
  }
  bool parse_error(size_t, const std::string &, const nlohmann::detail::exception &Error) override {
    std::string Text = Error.what();
    size_t Start = Text.find("line ");
    Text = Start == std::string::npos ? Text : Text.substr(Start);
    m_Report.m_Errors.push_back({m_Report.m_File, m_Line, "", "not JSON: " + Text});
    return false;
  }
  Json m_Root;

private:
  std::string makePath() const {
    std::string Path;
    for (const std::string &Name : m_Names)
      Path += Name + ".";
    return Path + m_Key;
  }
  Json &place(Json Value) {
    if (m_Open.empty())
      return m_Root = std::move(Value);
    if (m_Open.back()->is_array())
      return m_Open.back()->emplace_back(std::move(Value));
    return (*m_Open.back())[m_Key] = std::move(Value);
  }
  bool addValue(Json Value) {
    place(std::move(Value));
    return true;
  }
  bool addContainer(Json Value) {
    // The schema is three levels deep; more can only be a mistake.
    if (m_Open.size() >= 8) {
      m_Report.m_Errors.push_back({m_Report.m_File, m_Line, makePath(), "is nested too deeply"});
      return false;
    }
    if (!m_Open.empty())
      m_Names.push_back(m_Key);
    m_Open.push_back(&place(std::move(Value)));
    return true;
  }
  bool endContainer() {
    m_Open.pop_back();
    if (!m_Names.empty()) {
      m_Key = m_Names.back();
      m_Names.pop_back();
    }
    return true;
  }
  Report &m_Report;
  const uint32_t &m_Line;
  std::vector<Json *> m_Open;
  std::vector<std::string> m_Names; // of the open containers below the root
  std::string m_Key;
};
// NOLINTEND(readability-identifier-naming)

std::string_view describeType(const FieldDescriptor &Expected) {
  switch (Expected.cpp_type()) {
  case FieldDescriptor::CPPTYPE_BOOL:
    return "must be true or false";
  case FieldDescriptor::CPPTYPE_DOUBLE:
    return "must be a number";
  case FieldDescriptor::CPPTYPE_UINT32:
    return "must be a whole number that is not negative";
  default:
    return "must be a text in quotation marks";
  }
}

bool hasType(const Json &Value, const FieldDescriptor &Expected) {
  switch (Expected.cpp_type()) {
  case FieldDescriptor::CPPTYPE_BOOL:
    return Value.is_boolean();
  case FieldDescriptor::CPPTYPE_DOUBLE:
    return Value.is_number();
  case FieldDescriptor::CPPTYPE_UINT32:
    return Value.is_number_unsigned() && Value.get<uint64_t>() <= UINT32_MAX;
  default:
    return Value.is_string();
  }
}

// Returns the object without the members that the schema does not know or that have another type;
// these are reported. So the rest can still be checked.
Json keepKnown(Report &R, const Json &Object, const Descriptor &Schema, const std::string &Prefix) {
  Json Known = Json::object();
  for (const auto &[Key, Value] : Object.items()) {
    std::string Path = Prefix + Key;
    const FieldDescriptor *Expected = Schema.FindFieldByName(Key);
    if (!Expected) {
      addError(R, Path, "is not a known field");
    } else if (Expected->is_repeated()) {
      auto Fits = [&](const Json &Element) { return hasType(Element, *Expected); };
      if (Value.is_array() && std::ranges::all_of(Value, Fits))
        Known[Key] = Value;
      else
        addError(R, Path, "must be a list of texts");
    } else if (Expected->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      if (Value.is_object())
        Known[Key] = keepKnown(R, Value, *Expected->message_type(), Path + ".");
      else
        addError(R, Path, "must be an object in braces");
    } else if (hasType(Value, *Expected)) {
      Known[Key] = Value;
    } else {
      addError(R, Path, std::string(describeType(*Expected)));
    }
  }
  return Known;
}

//-----------------------------------------------------------------------------
// [SECTION] Taking over fields
//-----------------------------------------------------------------------------

bool isIpNumber(const std::string &Text) {
  std::array<unsigned char, sizeof(in6_addr)> Bytes{};
  return inet_pton(AF_INET, Text.c_str(), Bytes.data()) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), Bytes.data()) == 1;
}

// "192.0.2.1:7000" or "[2001:db8::1]:7000".
bool isEndpoint(const std::string &Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Ip = Text.substr(0, Colon);
  std::string Port = Text.substr(Colon + 1);
  if (Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']')
    Ip = Ip.substr(1, Ip.size() - 2);
  else if (Ip.find(':') != std::string::npos)
    return false;
  bool Digits = !Port.empty() && Port.size() <= 5 &&
                Port.find_first_not_of("0123456789") == std::string::npos;
  return Digits && std::stoul(Port) >= 1 && std::stoul(Port) <= 65535 && isIpNumber(Ip);
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= 64 && std::ranges::all_of(Text, [](unsigned char Letter) {
    return std::isalnum(Letter) != 0 || Letter == '.' || Letter == '-' || Letter == '_';
  });
}

// The value of a path in the message; null if it is not set.
struct Found {
  const Message *m_Message = nullptr;
  const FieldDescriptor *m_Field = nullptr;
};

Found findField(const Message &Root, std::string_view Path) {
  const Message *At = &Root;
  for (size_t Dot = Path.find('.'); Dot != std::string_view::npos; Dot = Path.find('.')) {
    const auto *Field = At->GetDescriptor()->FindFieldByName(std::string(Path.substr(0, Dot)));
    if (!At->GetReflection()->HasField(*At, Field))
      return {};
    At = &At->GetReflection()->GetMessage(*At, Field);
    Path.remove_prefix(Dot + 1);
  }
  const auto *Field = At->GetDescriptor()->FindFieldByName(std::string(Path));
  bool Set = Field->is_repeated() ? At->GetReflection()->FieldSize(*At, Field) > 0
                                  : At->GetReflection()->HasField(*At, Field);
  return Set ? Found{At, Field} : Found{};
}

std::string getText(const Found &F) {
  return F.m_Message->GetReflection()->GetString(*F.m_Message, F.m_Field);
}

// Each returns what is wrong, or an empty text.
struct TakeOver {
  const Field &m_Rule;
  const Found &m_Found;

  std::string operator()(std::string *Text) const {
    *Text = getText(m_Found);
    return "";
  }
  std::string operator()(Name Value) const {
    *Value.m_Text = getText(m_Found);
    return isName(*Value.m_Text) ? "" : "must be 1 to 64 letters, digits, '.', '-' or '_'";
  }
  std::string operator()(Address Value) const {
    *Value.m_Text = getText(m_Found);
    return isIpNumber(*Value.m_Text) ? "" : "must be an IP number";
  }
  std::string operator()(Secret Value) const {
    *Value.m_Text = getText(m_Found);
    return Value.m_Text->size() >= LeastSecret
               ? ""
               : fmt::format("must have at least {} characters", LeastSecret);
  }
  std::string operator()(std::vector<std::string> *List) const {
    const auto &Texts = m_Found.m_Message->GetReflection()->GetRepeatedFieldRef<std::string>(
        *m_Found.m_Message, m_Found.m_Field);
    List->assign(Texts.begin(), Texts.end());
    return std::ranges::all_of(*List, isEndpoint) ? "" : "must be a list of IP:port";
  }
  std::string operator()(bool *Value) const {
    *Value = m_Found.m_Message->GetReflection()->GetBool(*m_Found.m_Message, m_Found.m_Field);
    return "";
  }
  std::string operator()(double *Value) const {
    *Value = m_Found.m_Message->GetReflection()->GetDouble(*m_Found.m_Message, m_Found.m_Field);
    return checkNumber(*Value);
  }
  std::string operator()(uint32_t *Value) const {
    *Value = m_Found.m_Message->GetReflection()->GetUInt32(*m_Found.m_Message, m_Found.m_Field);
    return checkNumber(*Value);
  }
  std::string operator()(uint16_t *Value) const {
    uint32_t Wide = 0;
    std::string Wrong = (*this)(&Wide);
    *Value = static_cast<uint16_t>(Wide);
    return Wrong;
  }
  std::string operator()(Size Value) const {
    std::optional<double> Bytes = parseQuantity(getText(m_Found), SizeUnits);
    if (!Bytes)
      return "must be a size such as \"16KiB\"";
    if (!isInRange(*Bytes))
      return describeRange(SizeUnits);
    *Value.m_Bytes = static_cast<uint32_t>(*Bytes);
    return "";
  }
  std::string operator()(Millis *Value) const {
    std::optional<double> Parsed = parseQuantity(getText(m_Found), DurationUnits);
    if (!Parsed)
      return "must be a duration such as \"400ms\", \"5s\" or \"12min\"";
    if (!isInRange(*Parsed))
      return describeRange(DurationUnits);
    *Value = Millis(static_cast<int64_t>(*Parsed));
    return "";
  }
  std::string operator()(std::chrono::seconds *Value) const {
    Millis Parsed{};
    std::string Wrong = (*this)(&Parsed);
    if (Wrong.empty() && Parsed % std::chrono::seconds(1) != Millis(0))
      Wrong = "must be whole seconds";
    *Value = std::chrono::duration_cast<std::chrono::seconds>(Parsed);
    return Wrong;
  }

  bool isInRange(double Value) const { return Value >= m_Rule.m_Least && Value <= m_Rule.m_Most; }
  std::string checkNumber(double Value) const {
    return isInRange(Value) ? ""
                            : fmt::format("must be from {} to {}", m_Rule.m_Least, m_Rule.m_Most);
  }
  std::string describeRange(std::span<const Unit> Units) const {
    return fmt::format("must be from {} to {}", formatQuantity(m_Rule.m_Least, Units),
                       formatQuantity(m_Rule.m_Most, Units));
  }
};

void takeFields(Report &R, const settings::Settings &Read, Settings &S) {
  for (const Field &Rule : listFields(S)) {
    Found F = findField(Read, Rule.m_Path);
    if (F.m_Message) {
      std::string Wrong = std::visit(TakeOver{Rule, F}, Rule.m_Target);
      if (!Wrong.empty())
        addError(R, Rule.m_Path, Wrong);
    } else if (Rule.m_Required && !hasError(R, Rule.m_Path)) {
      addError(R, Rule.m_Path, "is missing");
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Contradictions
//-----------------------------------------------------------------------------

// Reports Path unless it has been reported for something else already.
void contradict(Report &R, bool Wrong, const std::string &Path, const std::string &Text) {
  if (Wrong && !hasError(R, Path))
    addError(R, Path, Text);
}

struct NamedListener {
  std::string m_Name;
  const ListenSettings *m_Listen;
};

void checkListeners(Report &R, const Settings &S) {
  const std::array<NamedListener, 4> Listeners = {
      NamedListener{"callers", &S.m_Callers}, NamedListener{"peers", &S.m_Peers},
      NamedListener{"operators", &S.m_Operators}, NamedListener{"metrics", &S.m_Metrics}};
  for (size_t At = 0; At < Listeners.size(); ++At) {
    const auto &[Name, L] = Listeners[At];
    bool Files = !L->m_CertificateFile.empty() || !L->m_KeyFile.empty();
    contradict(R, !L->m_PlainText && L->m_CertificateFile.empty(), Name + ".certificate_file",
               "is needed for TLS; set plain_text to go without");
    contradict(R, !L->m_PlainText && L->m_KeyFile.empty(), Name + ".key_file",
               "is needed for TLS; set plain_text to go without");
    contradict(R, L->m_PlainText && Files, Name + ".plain_text",
               "contradicts certificate_file and key_file");
    for (size_t Before = 0; Before < At; ++Before) {
      const ListenSettings *Other = Listeners[Before].m_Listen;
      // A wildcard address takes the port on every address.
      auto IsWildcard = [](const std::string &A) { return A == "0.0.0.0" || A == "::"; };
      bool Overlap = L->m_Address == Other->m_Address || IsWildcard(L->m_Address) ||
                     IsWildcard(Other->m_Address);
      contradict(R, L->m_Port != 0 && L->m_Port == Other->m_Port && Overlap, Name + ".port",
                 fmt::format("is the same as {}.port", Listeners[Before].m_Name));
    }
  }
  contradict(R, !S.m_Peers.m_PlainText && S.m_Peers.m_AuthorityFile.empty(), "peers.authority_file",
             "is needed for TLS between hosts");
}

void checkTimes(Report &R, const Settings &S) {
  const FailoverSettings &F = S.m_Failover;
  contradict(R, F.m_SuspectTimeout < F.m_ProbeInterval, "failover.suspect_after",
             "is below failover.probe_interval: every primary would be suspected");
  contradict(R, F.m_UnreachableTimeout < F.m_SuspectTimeout, "failover.unreachable_after",
             "is below failover.suspect_after");
  contradict(R, F.m_MaxRetryJitter < F.m_BaseRetryDelay, "failover.retry_most",
             "is below failover.retry_first");
  contradict(R, S.m_Rate.m_LeaseRenewalInterval * 2 > S.m_Rate.m_LeaseDuration,
             "rate.lease_renewal",
             "is over half of rate.share_lease: one missed renewal would end the lease");
  contradict(R, S.m_Rate.m_AdmissionTimeout > S.m_Front.m_RequestTimeout, "rate.admission_wait",
             "is over front.request_timeout");
  contradict(R, S.m_Front.m_RequestTimeout > S.m_Front.m_MaxRequestTimeout, "front.request_timeout",
             "is over front.max_request_timeout");
  contradict(R, S.m_Pool.m_TransactionIdleTimeout > S.m_Pool.m_MaxTransactionAge,
             "pool.idle_transaction", "is over pool.max_transaction");
  contradict(R, S.m_Membership.m_LastSeenTimeout < S.m_Sync.m_ExchangeInterval * 2,
             "membership.pass_over_after",
             "is below twice sync.exchange_interval: hosts would be passed over without a fault");
  contradict(R,
             S.m_Sync.m_CutOffLimit > Millis(0) &&
                 S.m_Sync.m_CutOffLimit < S.m_Sync.m_ExchangeInterval * 2,
             "sync.cut_off_limit", "is below twice sync.exchange_interval");
  contradict(R, S.m_Queue.m_MaxPerCustomer > S.m_Queue.m_MaxTotal, "queue.max_per_customer",
             "is over queue.max_total");
}

} // namespace

std::variant<Settings, std::vector<SettingsError>> parseSettings(const std::string &Text,
                                                                 const std::string &File) {
  Report R{File, {}, {}};
  uint32_t Line = 1;
  FieldReader Reader(R, Line);
  LineCounter Begin{Text.data(), &Line};
  LineCounter End{Text.data() + Text.size(), &Line};
  if (!Json::sax_parse(Begin, End, &Reader, nlohmann::detail::input_format_t::json, true, true))
    return R.m_Errors;
  if (!Reader.m_Root.is_object()) {
    R.m_Errors.push_back({File, 1, "", "must be an object in braces"});
    return R.m_Errors;
  }
  settings::Settings Read;
  Json Known = keepKnown(R, Reader.m_Root, *settings::Settings::descriptor(), "");
  auto Status = google::protobuf::util::JsonStringToMessage(Known.dump(), &Read);
  if (!Status.ok())
    R.m_Errors.push_back({File, 0, "", std::string(Status.message())});
  Settings S;
  takeFields(R, Read, S);
  checkListeners(R, S);
  checkTimes(R, S);
  if (R.m_Errors.empty())
    return S;
  std::ranges::stable_sort(R.m_Errors, {}, &SettingsError::m_Line);
  return R.m_Errors;
}

} // namespace quetzalpaddle

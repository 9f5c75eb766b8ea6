// Parses settings: JSON with comments, checked against proto/settings.proto, then against the table
// of fields, then for conflicts between fields.
//
// Index of this file:
// [SECTION] Parsing JSON
// [SECTION] Applying fields
// [SECTION] Conflicts between fields
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

constexpr size_t MinSecretBytes = 16; // shorter secrets can be guessed

//-----------------------------------------------------------------------------
// [SECTION] Parsing JSON
//-----------------------------------------------------------------------------

// Errors found so far, and the lines of the fields in the text.
struct ErrorReport {
  std::string m_File;
  std::map<std::string, uint32_t> m_Lines; // by path
  std::vector<SettingsError> m_Errors;
};

void addError(ErrorReport &Report, const std::string &Path, const std::string &Text) {
  auto Line = Report.m_Lines.find(Path);
  // A missing field is reported at the line of the object that should contain it.
  if (Line == Report.m_Lines.end() && Path.find('.') != std::string::npos)
    Line = Report.m_Lines.find(Path.substr(0, Path.find('.')));
  uint32_t LineNumber = Line == Report.m_Lines.end() ? 0 : Line->second;
  Report.m_Errors.push_back({Report.m_File, LineNumber, Path, Text});
}

bool hasError(const ErrorReport &Report, std::string_view Path) {
  return std::ranges::find(Report.m_Errors, Path, &SettingsError::m_Field) != Report.m_Errors.end();
}

// Input iterator that counts the lines consumed by the JSON parser.
struct LineCounter {
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char *;
  using reference = const char &;
  const char *m_Position = nullptr;
  uint32_t *m_Line = nullptr;
  reference operator*() const { return *m_Position; }
  LineCounter &operator++() {
    if (*m_Position == '\n')
      ++*m_Line;
    ++m_Position;
    return *this;
  }
  bool operator==(const LineCounter &Other) const { return m_Position == Other.m_Position; }
  bool operator!=(const LineCounter &Other) const { return m_Position != Other.m_Position; }
};

// Builds the JSON tree and records the line of each field. The function names are given by the
// library.
// NOLINTBEGIN(readability-identifier-naming)
class FieldReader : public nlohmann::json_sax<Json> {
public:
  FieldReader(ErrorReport &Report, const uint32_t &Line) : m_Report(Report), m_Line(Line) {}
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
    if (m_OpenContainers.back()->contains(Name))
      m_Report.m_Errors.push_back({m_Report.m_File, m_Line, Path, "is given twice"});
    m_Report.m_Lines[Path] = m_Line;
    return true;
  }
  bool parse_error(size_t, const std::string &, const nlohmann::detail::exception &Error) override {
    std::string Text = Error.what();
    size_t Start = Text.find("line ");
    Text = Start == std::string::npos ? Text : Text.substr(Start);
    m_Report.m_Errors.push_back({m_Report.m_File, m_Line, "", "invalid JSON: " + Text});
    return false;
  }
  Json m_Root;

private:
  std::string makePath() const {
    std::string Path;
    for (const std::string &Name : m_ContainerNames)
      Path += Name + ".";
    return Path + m_Key;
  }
  Json &insertValue(Json Value) {
    if (m_OpenContainers.empty())
      return m_Root = std::move(Value);
    if (m_OpenContainers.back()->is_array())
      return m_OpenContainers.back()->emplace_back(std::move(Value));
    return (*m_OpenContainers.back())[m_Key] = std::move(Value);
  }
  bool addValue(Json Value) {
    insertValue(std::move(Value));
    return true;
  }
  bool addContainer(Json Value) {
    // The schema is three levels deep; the limit bounds the depth of invalid input.
    if (m_OpenContainers.size() >= 8) {
      m_Report.m_Errors.push_back({m_Report.m_File, m_Line, makePath(), "is nested too deeply"});
      return false;
    }
    if (!m_OpenContainers.empty())
      m_ContainerNames.push_back(m_Key);
    m_OpenContainers.push_back(&insertValue(std::move(Value)));
    return true;
  }
  bool endContainer() {
    m_OpenContainers.pop_back();
    if (!m_ContainerNames.empty()) {
      m_Key = m_ContainerNames.back();
      m_ContainerNames.pop_back();
    }
    return true;
  }
  ErrorReport &m_Report;
  const uint32_t &m_Line;
  std::vector<Json *> m_OpenContainers;
  std::vector<std::string> m_ContainerNames; // of the open containers below the root
  std::string m_Key;
};
// NOLINTEND(readability-identifier-naming)

std::string_view describeType(const FieldDescriptor &SchemaField) {
  switch (SchemaField.cpp_type()) {
  case FieldDescriptor::CPPTYPE_BOOL:
    return "must be true or false";
  case FieldDescriptor::CPPTYPE_DOUBLE:
    return "must be a number";
  case FieldDescriptor::CPPTYPE_UINT32:
    return "must be an integer from 0 to 4294967295";
  default:
    return "must be a string";
  }
}

bool hasType(const Json &Value, const FieldDescriptor &SchemaField) {
  switch (SchemaField.cpp_type()) {
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

// Reports members that are unknown to the schema or have the wrong type, and returns the object
// without them, so that the remaining members can still be checked.
Json filterKnownFields(ErrorReport &Report, const Json &Object, const Descriptor &Schema,
                       const std::string &Prefix) {
  Json KnownFields = Json::object();
  for (const auto &[Key, Value] : Object.items()) {
    std::string Path = Prefix + Key;
    const FieldDescriptor *SchemaField = Schema.FindFieldByName(Key);
    if (!SchemaField) {
      addError(Report, Path, "is not a known field");
    } else if (SchemaField->is_repeated()) {
      auto HasElementType = [&](const Json &Element) { return hasType(Element, *SchemaField); };
      if (Value.is_array() && std::ranges::all_of(Value, HasElementType))
        KnownFields[Key] = Value;
      else
        addError(Report, Path, "must be a list of strings");
    } else if (SchemaField->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      if (Value.is_object())
        KnownFields[Key] =
            filterKnownFields(Report, Value, *SchemaField->message_type(), Path + ".");
      else
        addError(Report, Path, "must be an object");
    } else if (hasType(Value, *SchemaField)) {
      KnownFields[Key] = Value;
    } else {
      addError(Report, Path, std::string(describeType(*SchemaField)));
    }
  }
  return KnownFields;
}

//-----------------------------------------------------------------------------
// [SECTION] Applying fields
//-----------------------------------------------------------------------------

bool isIpAddress(const std::string &Text) {
  std::array<unsigned char, sizeof(in6_addr)> Bytes{};
  return inet_pton(AF_INET, Text.c_str(), Bytes.data()) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), Bytes.data()) == 1;
}

// Accepts "192.0.2.1:7000" and "[2001:db8::1]:7000".
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
  bool IsNumber = !Port.empty() && Port.size() <= 5 &&
                  Port.find_first_not_of("0123456789") == std::string::npos;
  return IsNumber && std::stoul(Port) >= 1 && std::stoul(Port) <= 65535 && isIpAddress(Ip);
}

bool isValidName(std::string_view Text) {
  return !Text.empty() && Text.size() <= 64 && std::ranges::all_of(Text, [](unsigned char Letter) {
    return std::isalnum(Letter) != 0 || Letter == '.' || Letter == '-' || Letter == '_';
  });
}

// A field of a message. Both pointers are null if the field is not set.
struct FieldValue {
  const Message *m_Message = nullptr;
  const FieldDescriptor *m_Field = nullptr;
};

FieldValue findField(const Message &Root, std::string_view Path) {
  const Message *Current = &Root;
  for (size_t Dot = Path.find('.'); Dot != std::string_view::npos; Dot = Path.find('.')) {
    const auto *Field = Current->GetDescriptor()->FindFieldByName(std::string(Path.substr(0, Dot)));
    if (!Current->GetReflection()->HasField(*Current, Field))
      return {};
    Current = &Current->GetReflection()->GetMessage(*Current, Field);
    Path.remove_prefix(Dot + 1);
  }
  const auto *Field = Current->GetDescriptor()->FindFieldByName(std::string(Path));
  bool IsSet = Field->is_repeated() ? Current->GetReflection()->FieldSize(*Current, Field) > 0
                                    : Current->GetReflection()->HasField(*Current, Field);
  return IsSet ? FieldValue{Current, Field} : FieldValue{};
}

std::string getText(const FieldValue &Value) {
  return Value.m_Message->GetReflection()->GetString(*Value.m_Message, Value.m_Field);
}

// Applies the value of a field to its target, by target type. Returns an error message; empty if
// the value is valid.
struct ApplyValue {
  const Field &m_Rule;
  const FieldValue &m_Value;

  std::string operator()(std::string *Text) const {
    *Text = getText(m_Value);
    return "";
  }
  std::string operator()(Name Value) const {
    *Value.m_Text = getText(m_Value);
    return isValidName(*Value.m_Text) ? "" : "must be 1 to 64 letters, digits, '.', '-' or '_'";
  }
  std::string operator()(Address Value) const {
    *Value.m_Text = getText(m_Value);
    return isIpAddress(*Value.m_Text) ? "" : "must be an IP address";
  }
  std::string operator()(Secret Value) const {
    *Value.m_Text = getText(m_Value);
    return Value.m_Text->size() >= MinSecretBytes
               ? ""
               : fmt::format("must have at least {} characters", MinSecretBytes);
  }
  std::string operator()(std::vector<std::string> *List) const {
    const auto &Texts = m_Value.m_Message->GetReflection()->GetRepeatedFieldRef<std::string>(
        *m_Value.m_Message, m_Value.m_Field);
    List->assign(Texts.begin(), Texts.end());
    return std::ranges::all_of(*List, isEndpoint) ? "" : "must be a list of IP:port";
  }
  std::string operator()(bool *Value) const {
    *Value = m_Value.m_Message->GetReflection()->GetBool(*m_Value.m_Message, m_Value.m_Field);
    return "";
  }
  std::string operator()(double *Value) const {
    *Value = m_Value.m_Message->GetReflection()->GetDouble(*m_Value.m_Message, m_Value.m_Field);
    return checkNumber(*Value);
  }
  std::string operator()(uint32_t *Value) const {
    *Value = m_Value.m_Message->GetReflection()->GetUInt32(*m_Value.m_Message, m_Value.m_Field);
    return checkNumber(*Value);
  }
  std::string operator()(uint16_t *Value) const {
    uint32_t WideValue = 0;
    std::string Error = (*this)(&WideValue);
    *Value = static_cast<uint16_t>(WideValue);
    return Error;
  }
  std::string operator()(Size Value) const {
    std::optional<double> Bytes = parseQuantity(getText(m_Value), SizeUnits);
    if (!Bytes)
      return "must be a size such as \"16KiB\"";
    if (!isInRange(*Bytes))
      return describeRange(SizeUnits);
    *Value.m_Bytes = static_cast<uint32_t>(*Bytes);
    return "";
  }
  std::string operator()(Millis *Value) const {
    std::optional<double> Quantity = parseQuantity(getText(m_Value), DurationUnits);
    if (!Quantity)
      return "must be a duration such as \"400ms\", \"5s\" or \"12min\"";
    if (!isInRange(*Quantity))
      return describeRange(DurationUnits);
    *Value = Millis(static_cast<int64_t>(*Quantity));
    return "";
  }
  std::string operator()(std::chrono::seconds *Value) const {
    Millis Quantity{};
    std::string Error = (*this)(&Quantity);
    if (Error.empty() && Quantity % std::chrono::seconds(1) != Millis(0))
      Error = "must be a duration in whole seconds";
    *Value = std::chrono::duration_cast<std::chrono::seconds>(Quantity);
    return Error;
  }

  bool isInRange(double Value) const { return Value >= m_Rule.m_Min && Value <= m_Rule.m_Max; }
  std::string checkNumber(double Value) const {
    return isInRange(Value) ? "" : fmt::format("must be from {} to {}", m_Rule.m_Min, m_Rule.m_Max);
  }
  std::string describeRange(std::span<const Unit> Units) const {
    return fmt::format("must be from {} to {}", formatQuantity(m_Rule.m_Min, Units),
                       formatQuantity(m_Rule.m_Max, Units));
  }
};

void applyFields(ErrorReport &Report, const settings::Settings &Input, Settings &Values) {
  for (const Field &Rule : listFields(Values)) {
    FieldValue Value = findField(Input, Rule.m_Path);
    if (Value.m_Message) {
      std::string Error = std::visit(ApplyValue{Rule, Value}, Rule.m_Target);
      if (!Error.empty())
        addError(Report, Rule.m_Path, Error);
    } else if (Rule.m_IsRequired && !hasError(Report, Rule.m_Path)) {
      addError(Report, Rule.m_Path, "is missing");
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Conflicts between fields
//-----------------------------------------------------------------------------

// Reports an error for Path if IsWrong, unless Path already has an error.
void addErrorIf(ErrorReport &Report, bool IsWrong, const std::string &Path,
                const std::string &Text) {
  if (IsWrong && !hasError(Report, Path))
    addError(Report, Path, Text);
}

struct NamedListener {
  std::string m_Name;
  const ListenSettings *m_Listen;
};

void checkListeners(ErrorReport &Report, const Settings &Values) {
  const std::array<NamedListener, 4> Listeners = {
      NamedListener{"callers", &Values.m_Callers}, NamedListener{"peers", &Values.m_Peers},
      NamedListener{"operators", &Values.m_Operators},
      NamedListener{"metrics", &Values.m_MetricsListen}};
  for (size_t Index = 0; Index < Listeners.size(); ++Index) {
    const auto &[Name, Listener] = Listeners[Index];
    bool HasFiles = !Listener->m_CertificateFile.empty() || !Listener->m_KeyFile.empty();
    addErrorIf(Report, !Listener->m_IsPlainText && Listener->m_CertificateFile.empty(),
               Name + ".certificate_file", "is needed for TLS; set plain_text to disable TLS");
    addErrorIf(Report, !Listener->m_IsPlainText && Listener->m_KeyFile.empty(), Name + ".key_file",
               "is needed for TLS; set plain_text to disable TLS");
    addErrorIf(Report, Listener->m_IsPlainText && HasFiles, Name + ".plain_text",
               "contradicts certificate_file and key_file");
    for (size_t OtherIndex = 0; OtherIndex < Index; ++OtherIndex) {
      const ListenSettings *Other = Listeners[OtherIndex].m_Listen;
      // A wildcard address occupies the port on every address.
      auto IsWildcard = [](const std::string &A) { return A == "0.0.0.0" || A == "::"; };
      bool IsOverlap = Listener->m_Address == Other->m_Address || IsWildcard(Listener->m_Address) ||
                       IsWildcard(Other->m_Address);
      addErrorIf(Report, Listener->m_Port != 0 && Listener->m_Port == Other->m_Port && IsOverlap,
                 Name + ".port",
                 fmt::format("is the same as {}.port", Listeners[OtherIndex].m_Name));
    }
  }
  addErrorIf(Report, !Values.m_Peers.m_IsPlainText && Values.m_Peers.m_AuthorityFile.empty(),
             "peers.authority_file", "is needed for TLS between hosts");
}

void checkTimes(ErrorReport &Report, const Settings &Values) {
  const FailoverSettings &Failover = Values.m_Failover;
  addErrorIf(Report, Failover.m_SuspectTimeout < Failover.m_ProbeInterval, "failover.suspect_after",
             "is below failover.probe_interval: every primary would become suspect");
  addErrorIf(Report, Failover.m_UnreachableTimeout < Failover.m_SuspectTimeout,
             "failover.unreachable_after", "is below failover.suspect_after");
  addErrorIf(Report, Failover.m_MaxRetryJitter < Failover.m_BaseRetryDelay, "failover.retry_most",
             "is below failover.retry_first");
  addErrorIf(Report, Values.m_Rate.m_LeaseRenewalInterval * 2 > Values.m_Rate.m_LeaseDuration,
             "rate.lease_renewal",
             "is over half of rate.share_lease: one missed renewal would end the lease");
  addErrorIf(Report, Values.m_Rate.m_AdmissionTimeout > Values.m_Front.m_RequestTimeout,
             "rate.admission_wait", "is over front.request_timeout");
  addErrorIf(Report, Values.m_Front.m_RequestTimeout > Values.m_Front.m_MaxRequestTimeout,
             "front.request_timeout", "is over front.max_request_timeout");
  // A request of the largest size takes its buffer and the copies of its body, within three
  // quarters of the budget.
  addErrorIf(Report, Values.m_Front.m_MaxBufferedBytes / 8 < Values.m_Front.m_MaxBodyBytes,
             "front.max_buffered", "is below eight times front.max_body_size");
  addErrorIf(Report, Values.m_Pool.m_TransactionIdleTimeout > Values.m_Pool.m_MaxTransactionAge,
             "pool.idle_transaction", "is over pool.max_transaction");
  addErrorIf(Report, Values.m_Membership.m_LastSeenTimeout < Values.m_Sync.m_ExchangeInterval * 2,
             "membership.pass_over_after",
             "is below twice sync.exchange_interval: healthy hosts would be passed over");
  addErrorIf(Report,
             Values.m_Sync.m_CutOffLimit > Millis(0) &&
                 Values.m_Sync.m_CutOffLimit < Values.m_Sync.m_ExchangeInterval * 2,
             "sync.cut_off_limit", "is below twice sync.exchange_interval");
  addErrorIf(Report, Values.m_Queue.m_MaxPerCustomer > Values.m_Queue.m_MaxTotal,
             "queue.max_per_customer", "is over queue.max_total");
}

} // namespace

std::variant<Settings, std::vector<SettingsError>> parseSettings(const std::string &Text,
                                                                 const std::string &File) {
  ErrorReport Report{File, {}, {}};
  uint32_t Line = 1;
  FieldReader Reader(Report, Line);
  LineCounter Begin{Text.data(), &Line};
  LineCounter End{Text.data() + Text.size(), &Line};
  if (!Json::sax_parse(Begin, End, &Reader, nlohmann::detail::input_format_t::json, true, true))
    return Report.m_Errors;
  if (!Reader.m_Root.is_object()) {
    Report.m_Errors.push_back({File, 1, "", "must be an object"});
    return Report.m_Errors;
  }
  settings::Settings Input;
  Json KnownFields =
      filterKnownFields(Report, Reader.m_Root, *settings::Settings::descriptor(), "");
  auto Status = google::protobuf::util::JsonStringToMessage(KnownFields.dump(), &Input);
  if (!Status.ok())
    Report.m_Errors.push_back({File, 0, "", std::string(Status.message())});
  Settings Values;
  applyFields(Report, Input, Values);
  checkListeners(Report, Values);
  checkTimes(Report, Values);
  if (Report.m_Errors.empty())
    return Values;
  std::ranges::stable_sort(Report.m_Errors, {}, &SettingsError::m_Line);
  return Report.m_Errors;
}

} // namespace quetzalpaddle

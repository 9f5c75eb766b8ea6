// Table-driven parser of the operators' language.
//
// Index of this file:
// [SECTION] Grammar
// [SECTION] Words and values
// [SECTION] Matching
// [SECTION] Building statements
#include "language.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>

namespace quetzalpaddle {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Grammar
//-----------------------------------------------------------------------------

// The keywords of a statement and its values by name ("<id"). The names of a repeated part occur
// once per repetition, in order.
using Values = std::multimap<std::string, std::string, std::less<>>;

struct StatementForm {
  // Words are keywords; <name:type> is a value; [ ] encloses an optional part, { } a part that can
  // occur any number of times. Such a part starts with a keyword, which indicates its presence.
  std::string_view m_Pattern;
  OperatorStatement (*m_Build)(const Values &);
};

template <ShowTopic Topic> OperatorStatement buildShow(const Values &) {
  return ShowStatement{Topic};
}
OperatorStatement buildCustomer(const Values &V);
OperatorStatement buildRoute(const Values &V);
OperatorStatement buildGroup(const Values &V);
OperatorStatement buildKey(const Values &V);
OperatorStatement buildWithdraw(const Values &V);
template <ObjectKind Kind> OperatorStatement buildRemove(const Values &V);
OperatorStatement buildLeave(const Values &V);
OperatorStatement buildPromote(const Values &V);
OperatorStatement buildDrain(const Values &V);

constexpr std::array<StatementForm, 26> Grammar = {{
    {"show customers", buildShow<ShowTopic::Customers>},
    {"show keys", buildShow<ShowTopic::Keys>},
    {"show rates", buildShow<ShowTopic::Rates>},
    {"show routes", buildShow<ShowTopic::Routes>},
    {"show groups", buildShow<ShowTopic::Groups>},
    {"show instances", buildShow<ShowTopic::Instances>},
    {"show hosts", buildShow<ShowTopic::Hosts>},
    {"show config", buildShow<ShowTopic::Config>},
    {"show queues", buildShow<ShowTopic::Queues>},
    {"show refusals", buildShow<ShowTopic::Refusals>},
    {"show promotions", buildShow<ShowTopic::Promotions>},
    {"show limits", buildShow<ShowTopic::Limits>},
    {"create customer <id:name> rate <rate:number> burst <burst:number>", buildCustomer},
    {"set customer <id:name> rate <rate:number> burst <burst:number> expect <version:version>",
     buildCustomer},
    {"remove customer <id:name> expect <version:version>", buildRemove<ObjectKind::Customer>},
    {"create key <id:name> for <customer:name>", buildKey},
    {"withdraw key <id:name> expect <version:version>", buildWithdraw},
    {"create route <id:name> group <group:name> [ customers <customers:names> ] [ open ] "
     "[ read-only ]",
     buildRoute},
    {"set route <id:name> group <group:name> [ customers <customers:names> ] [ open ] "
     "[ read-only ] expect <version:version>",
     buildRoute},
    {"remove route <id:name> expect <version:version>", buildRemove<ObjectKind::Route>},
    {"create group <id:name> instance <instance:name> address <address:address> data_centre "
     "<data_centre:name> slots <slots:count> connections <connections:count> { instance "
     "<instance:name> address <address:address> data_centre <data_centre:name> slots <slots:count> "
     "connections <connections:count> }",
     buildGroup},
    {"set group <id:name> instance <instance:name> address <address:address> data_centre "
     "<data_centre:name> slots <slots:count> connections <connections:count> { instance "
     "<instance:name> address <address:address> data_centre <data_centre:name> slots <slots:count> "
     "connections <connections:count> } expect <version:version>",
     buildGroup},
    {"remove group <id:name> expect <version:version>", buildRemove<ObjectKind::Group>},
    {"leave instance <id:name> group <group:name> expect <version:version>", buildLeave},
    {"promote group <group:name> [ to <instance:name> ]", buildPromote},
    {"drain host <id:name>", buildDrain},
}};

//-----------------------------------------------------------------------------
// [SECTION] Words and values
//-----------------------------------------------------------------------------

struct Word {
  std::string_view m_Text;
  size_t m_Position = 0;
};

std::vector<Word> splitWords(std::string_view Text) {
  constexpr std::string_view Space = " \t\r\n";
  std::vector<Word> Words;
  for (size_t At = Text.find_first_not_of(Space); At != std::string_view::npos;) {
    size_t End = std::min(Text.find_first_of(Space, At), Text.size());
    Words.push_back({Text.substr(At, End - At), At});
    At = Text.find_first_not_of(Space, End);
  }
  return Words;
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= 64 &&
         std::ranges::all_of(Text, [](unsigned char Character) {
           return std::isalnum(Character) != 0 || Character == '.' || Character == '-' ||
                  Character == '_';
         });
}

std::vector<std::string> splitNames(std::string_view Text) {
  std::vector<std::string> Names;
  for (size_t At = 0; At <= Text.size();) {
    size_t End = std::min(Text.find(',', At), Text.size());
    Names.emplace_back(Text.substr(At, End - At));
    At = End + 1;
  }
  return Names;
}

template <class T> std::optional<T> readNumber(std::string_view Text) {
  T Value{};
  auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

// Rates and bursts above 1e9 are rejected as typing errors.
bool isRate(std::string_view Text) {
  std::optional<double> Value = readNumber<double>(Text);
  return Value && std::isfinite(*Value) && *Value > 0 && *Value <= 1e9;
}

bool isAddress(std::string_view Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  std::string Ip(Text.substr(0, Colon));
  std::optional<uint16_t> Port = readNumber<uint16_t>(Text.substr(Colon + 1));
  in6_addr Bytes{};
  bool IsIpv6 = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']' &&
                inet_pton(AF_INET6, Ip.substr(1, Ip.size() - 2).c_str(), &Bytes) == 1;
  return Port && *Port > 0 && (IsIpv6 || inet_pton(AF_INET, Ip.c_str(), &Bytes) == 1);
}

struct ValueType {
  std::string_view m_Name;
  std::string_view m_ExpectedText;
  bool (*m_Matches)(std::string_view);
};

constexpr std::array<ValueType, 6> ValueTypes = {{
    {"name", "a name of letters, digits, '.', '-' or '_'", isName},
    {"names", "names separated by commas without spaces",
     [](std::string_view Text) { return std::ranges::all_of(splitNames(Text), isName); }},
    {"number", "a number above 0", isRate},
    {"count", "a whole number from 1 to 100000",
     [](std::string_view Text) {
       std::optional<uint32_t> Value = readNumber<uint32_t>(Text);
       return Value && *Value >= 1 && *Value <= 100000;
     }},
    {"version", "a version above 0, as shown by a query",
     [](std::string_view Text) { return readNumber<uint64_t>(Text).value_or(0) > 0; }},
    {"address", "an address IP:PORT", isAddress},
}};

//-----------------------------------------------------------------------------
// [SECTION] Matching
//-----------------------------------------------------------------------------

// Where a statement did not match a form, and what was expected there.
struct Mismatch {
  size_t m_WordIndex = 0;
  std::string m_ExpectedText;
};

struct Matcher {
  const std::vector<Word> &m_Words;
  size_t m_NextWord = 0;
  Values m_Values;
  std::set<std::string> m_SkippedWords; // keywords of optional parts that are possible here
};

std::string joinAlternatives(const std::set<std::string> &Expected) {
  std::string Text;
  size_t RemainingCount = Expected.size();
  for (const std::string &Part : Expected) {
    Text += Part;
    if (--RemainingCount > 0)
      Text += RemainingCount == 1 ? " or " : ", ";
  }
  return Text;
}

Mismatch makeMismatch(const Matcher &M, const std::string &Expected) {
  std::set<std::string> Alternatives = M.m_SkippedWords;
  Alternatives.insert(Expected);
  return {M.m_NextWord, joinAlternatives(Alternatives)};
}

std::string quote(std::string_view Text) { return "'" + std::string(Text) + "'"; }

// Matches a keyword or a value of the pattern.
std::optional<Mismatch> matchPart(Matcher &M, std::string_view Part) {
  bool HasWord = M.m_NextWord < M.m_Words.size();
  if (Part.front() != '<') {
    if (!HasWord || M.m_Words[M.m_NextWord].m_Text != Part)
      return makeMismatch(M, quote(Part));
    M.m_Values.emplace(Part, "");
  } else {
    size_t Colon = Part.find(':');
    std::string_view Type = Part.substr(Colon + 1, Part.size() - Colon - 2);
    const ValueType *Rule = std::ranges::find(ValueTypes, Type, &ValueType::m_Name);
    if (!HasWord || !Rule->m_Matches(M.m_Words[M.m_NextWord].m_Text))
      return makeMismatch(M, std::string(Rule->m_ExpectedText));
    M.m_Values.emplace(Part.substr(0, Colon), M.m_Words[M.m_NextWord].m_Text);
  }
  M.m_SkippedWords.clear();
  ++M.m_NextWord;
  return std::nullopt;
}

std::optional<Mismatch> matchForm(Matcher &M, const std::vector<Word> &Pattern) {
  for (size_t At = 0; At < Pattern.size(); ++At) {
    std::string_view Part = Pattern[At].m_Text;
    if (Part == "[" || Part == "{") {
      std::string_view First = Pattern[At + 1].m_Text;
      if (M.m_NextWord >= M.m_Words.size() || M.m_Words[M.m_NextWord].m_Text != First) {
        M.m_SkippedWords.insert(quote(First));
        At = std::ranges::find(Pattern.begin() + static_cast<std::ptrdiff_t>(At), Pattern.end(),
                               Part == "[" ? "]" : "}", &Word::m_Text) -
             Pattern.begin();
      }
    } else if (Part == "}") {
      // Returns to the opening bracket, which checks for another repetition.
      while (Pattern[At].m_Text != "{")
        --At;
      --At;
    } else if (Part != "]") {
      if (auto Failure = matchPart(M, Part))
        return Failure;
    }
  }
  if (M.m_NextWord < M.m_Words.size())
    return makeMismatch(M, "the end of the statement");
  return std::nullopt;
}

//-----------------------------------------------------------------------------
// [SECTION] Building statements
//-----------------------------------------------------------------------------

std::string getValue(const Values &V, std::string_view Name) {
  auto Found = V.find(Name);
  return Found == V.end() ? "" : Found->second;
}

// Returns 0, for an object that must not exist, if the statement has no "expect".
uint64_t getVersion(const Values &V) {
  return readNumber<uint64_t>(getValue(V, "<version")).value_or(0);
}

OperatorStatement buildCustomer(const Values &V) {
  return PutCustomer{{getValue(V, "<id"), readNumber<double>(getValue(V, "<rate")).value_or(0),
                      readNumber<double>(getValue(V, "<burst")).value_or(0)},
                     getVersion(V)};
}

OperatorStatement buildRoute(const Values &V) {
  Route R;
  R.m_Name = getValue(V, "<id");
  R.m_Group = getValue(V, "<group");
  if (std::string Names = getValue(V, "<customers"); !Names.empty())
    for (std::string &Name : splitNames(Names))
      R.m_AllowedCustomers.insert(std::move(Name));
  R.m_IsPublic = V.contains("open");
  R.m_IsReadOnly = V.contains("read-only");
  return PutRoute{std::move(R), getVersion(V)};
}

OperatorStatement buildGroup(const Values &V) {
  Group G;
  G.m_Name = getValue(V, "<id");
  auto Address = V.lower_bound("<address");
  auto DataCentre = V.lower_bound("<data_centre");
  auto Slots = V.lower_bound("<slots");
  auto Connections = V.lower_bound("<connections");
  auto [Begin, End] = V.equal_range("<instance");
  for (auto At = Begin; At != End; ++At, ++Address, ++DataCentre, ++Slots, ++Connections)
    G.m_Instances.push_back({At->second, Address->second, DataCentre->second,
                             readNumber<uint32_t>(Slots->second).value_or(1),
                             readNumber<uint32_t>(Connections->second).value_or(1), false});
  return PutGroup{std::move(G), getVersion(V)};
}

OperatorStatement buildKey(const Values &V) {
  return CreateKey{getValue(V, "<id"), getValue(V, "<customer")};
}

OperatorStatement buildWithdraw(const Values &V) {
  return WithdrawKey{getValue(V, "<id"), getVersion(V)};
}

template <ObjectKind Kind> OperatorStatement buildRemove(const Values &V) {
  return RemoveObject{Kind, getValue(V, "<id"), getVersion(V)};
}

OperatorStatement buildLeave(const Values &V) {
  return LeaveInstance{getValue(V, "<id"), getValue(V, "<group"), getVersion(V)};
}

OperatorStatement buildPromote(const Values &V) {
  return PromoteGroup{getValue(V, "<group"), getValue(V, "<instance")};
}

OperatorStatement buildDrain(const Values &V) { return DrainHost{getValue(V, "<id")}; }

} // namespace

std::variant<OperatorStatement, SyntaxError> parseStatement(std::string_view Text) {
  std::vector<Word> Words = splitWords(Text);
  size_t FurthestWord = 0;
  std::set<std::string> Expected;
  for (const StatementForm &F : Grammar) {
    Matcher M{Words, 0, {}, {}};
    auto Failure = matchForm(M, splitWords(F.m_Pattern));
    if (!Failure)
      return F.m_Build(M.m_Values);
    if (Failure->m_WordIndex > FurthestWord)
      Expected.clear();
    if (Failure->m_WordIndex >= FurthestWord)
      Expected.insert(Failure->m_ExpectedText);
    FurthestWord = std::max(FurthestWord, Failure->m_WordIndex);
  }
  size_t Position = FurthestWord < Words.size() ? Words[FurthestWord].m_Position : Text.size();
  return SyntaxError{Position, joinAlternatives(Expected)};
}

std::string describeGrammar() {
  std::string Text;
  for (const StatementForm &F : Grammar)
    Text += std::string(F.m_Pattern) + "\n";
  return Text;
}

} // namespace quetzalpaddle

// Configuration state: changes and versions of objects, authentication of keys.
#include "hmac.h"
#include "quetzalpaddle.h"

#include <algorithm>
#include <openssl/crypto.h>

namespace quetzalpaddle {

namespace {

constexpr std::string_view CustomerPrefix = "config/customer/";
constexpr std::string_view KeyPrefix = "config/key/";
constexpr std::string_view RoutePrefix = "config/route/";
constexpr std::string_view GroupPrefix = "config/group/";
constexpr std::string_view RatePrefix = "rate/";
constexpr std::string_view KeyTextPrefix = "qp_";
constexpr size_t HashSize = 32;

// Returns the part of Name after Prefix, or nothing if Name does not start with Prefix.
std::optional<std::string> stripPrefix(std::string_view Name, std::string_view Prefix) {
  if (!Name.starts_with(Prefix))
    return std::nullopt;
  return std::string(Name.substr(Prefix.size()));
}

// Returns whether the active version of a key or customer is its deletion.
bool isDeleted(const ConfigState &State, std::string_view Prefix, const std::string &Id) {
  auto Found = State.m_Records.find(std::string(Prefix) + Id);
  if (Found == State.m_Records.end() || Found->second.m_ActiveRevision == 0)
    return false;
  if (Prefix == KeyPrefix)
    return !State.m_Keys.contains(Id);
  return !State.m_Customers.contains(Id);
}

std::vector<ConfigEffect> applyCustomer(ConfigState &State, const std::string &Id,
                                        const Customer *New) {
  std::vector<ConfigEffect> Effects{CustomerChanged{Id}};
  if (New) {
    State.m_Customers[Id] = *New;
    return Effects;
  }
  State.m_Customers.erase(Id);
  for (const auto &[KeyId, Value] : State.m_Keys)
    if (Value.m_Customer == Id && !Value.m_IsWithdrawn)
      Effects.push_back(KeyInvalidated{KeyId});
  return Effects;
}

std::vector<ConfigEffect> applyKey(ConfigState &State, const std::string &Id, const Key *New) {
  std::vector<ConfigEffect> Effects;
  auto Old = State.m_Keys.find(Id);
  bool WasKnown = Old != State.m_Keys.end();
  bool WasWithdrawn = WasKnown && Old->second.m_IsWithdrawn;
  bool IsInvalidated = !New || New->m_IsWithdrawn;
  // A key that is created again with the same id invalidates the old one.
  bool IsReplaced =
      WasKnown && New &&
      (Old->second.m_Hash != New->m_Hash || Old->second.m_Customer != New->m_Customer);
  // Also reported for unknown keys: their requests may have been forwarded to this host.
  if ((IsInvalidated && !WasWithdrawn) || IsReplaced)
    Effects.emplace_back(KeyInvalidated{Id});
  if (New)
    State.m_Keys[Id] = *New;
  else
    State.m_Keys.erase(Id);
  return Effects;
}

// Makes a value or a deletion the active version of an object.
std::vector<ConfigEffect> activateValue(ConfigState &State, const std::string &Name,
                                        const ConfigValue &Value) {
  if (auto Id = stripPrefix(Name, CustomerPrefix))
    return applyCustomer(State, *Id, std::get_if<Customer>(&Value));
  if (auto Id = stripPrefix(Name, KeyPrefix))
    return applyKey(State, *Id, std::get_if<Key>(&Value));
  if (auto Id = stripPrefix(Name, RoutePrefix)) {
    if (const Route *New = std::get_if<Route>(&Value))
      State.m_Routes[*Id] = *New;
    else
      State.m_Routes.erase(*Id);
    return {};
  }
  if (auto Id = stripPrefix(Name, GroupPrefix)) {
    if (const Group *New = std::get_if<Group>(&Value))
      State.m_Groups[*Id] = *New;
    else
      State.m_Groups.erase(*Id);
    return {GroupChanged{*Id}};
  }
  if (auto Id = stripPrefix(Name, RatePrefix))
    return {SlotsChanged{*Id}};
  return {};
}

// Returns the id of a key "qp_ID_SECRET". The id may contain "_", the secret does not.
std::optional<std::string> parseKeyId(std::string_view KeyText) {
  if (!KeyText.starts_with(KeyTextPrefix))
    return std::nullopt;
  KeyText.remove_prefix(KeyTextPrefix.size());
  size_t End = KeyText.rfind('_');
  if (End == std::string_view::npos || End == 0)
    return std::nullopt;
  return std::string(KeyText.substr(0, End));
}

} // namespace

std::vector<ConfigEffect> applyChange(ConfigState &State, const ConfigChange &Change) {
  ConfigRecord &Record = State.m_Records[Change.m_Name];
  const auto *Failure = std::get_if<ParseFailure>(&Change.m_Value);
  bool IsNewest = Change.m_Revision > Record.m_Revision;
  // An older version is activated if it is newer than the last valid one.
  bool IsActivated = !Failure && Change.m_Revision > Record.m_ActiveRevision;
  if (IsNewest) {
    if (Failure && Record.m_ActiveRevision == Record.m_Revision)
      Record.m_ActivePayload = Record.m_Payload;
    Record.m_Revision = Change.m_Revision;
    Record.m_IsDeleted = std::holds_alternative<std::monostate>(Change.m_Value);
    Record.m_Payload = Record.m_IsDeleted ? std::string() : Change.m_Payload;
    Record.m_ParseError = Failure ? Failure->m_Message : std::string();
  }
  if (!IsActivated)
    return {};
  Record.m_ActiveRevision = Change.m_Revision;
  Record.m_ActivePayload =
      IsNewest || std::holds_alternative<std::monostate>(Change.m_Value) ? "" : Change.m_Payload;
  return activateValue(State, Change.m_Name, Change.m_Value);
}

std::vector<ConfigEffect>
applySnapshot(ConfigState &State, const std::vector<ConfigChange> &Objects, uint64_t Revision) {
  std::vector<ConfigEffect> Effects;
  auto Apply = [&](const ConfigChange &Change) {
    std::vector<ConfigEffect> NewEffects = applyChange(State, Change);
    Effects.insert(Effects.end(), NewEffects.begin(), NewEffects.end());
  };
  std::set<std::string_view> PresentNames;
  for (const ConfigChange &Object : Objects) {
    PresentNames.insert(Object.m_Name);
    Apply(Object);
  }
  std::vector<std::string> MissingNames;
  for (const auto &[Name, Record] : State.m_Records)
    if (!Record.m_IsDeleted && Record.m_Revision < Revision && !PresentNames.contains(Name))
      MissingNames.push_back(Name);
  // The revision of a deletion is unknown, but not higher than that of the list.
  for (const std::string &Name : MissingNames)
    Apply({.m_Name = Name, .m_Revision = Revision, .m_Value = std::monostate{}, .m_Payload = {}});
  State.m_CompleteSince = std::max(State.m_CompleteSince, Revision);
  advanceRevision(State, Revision);
  return Effects;
}

void advanceRevision(ConfigState &State, uint64_t Revision) {
  State.m_Revision = std::max(State.m_Revision, Revision);
}

std::vector<std::string> listChanges(const ConfigState &State, uint64_t Since) {
  std::vector<std::pair<uint64_t, std::string>> NewerRecords;
  for (const auto &[Name, Record] : State.m_Records)
    if (Record.m_Revision > Since)
      NewerRecords.emplace_back(Record.m_Revision, Name);
  std::ranges::sort(NewerRecords);
  std::vector<std::string> Names;
  Names.reserve(NewerRecords.size());
  for (auto &[Revision, Name] : NewerRecords)
    Names.push_back(std::move(Name));
  return Names;
}

std::string makeKey(std::string_view KeyId, const std::array<uint8_t, 32> &RandomBytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text(KeyTextPrefix);
  Text += KeyId;
  Text += '_';
  for (uint8_t Byte : RandomBytes) {
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 15];
  }
  return Text;
}

std::string hashKey(std::string_view KeyText, std::string_view Pepper) {
  return computeHmac(Pepper, KeyText);
}

std::variant<Caller, Reason> authorizeCaller(const ConfigState &State, const std::string &RouteName,
                                             std::string_view KeyText, bool IsWrite,
                                             std::string_view Pepper) {
  auto FoundRoute = State.m_Routes.find(RouteName);
  if (FoundRoute == State.m_Routes.end())
    return Reason::NoRoute;
  const Route &MatchedRoute = FoundRoute->second;
  bool IsPublicRead = MatchedRoute.m_IsPublic && !IsWrite;
  if (KeyText.empty()) {
    if (IsPublicRead)
      return Caller{};
    return Reason::NoKey;
  }
  std::optional<std::string> Id = parseKeyId(KeyText);
  if (!Id)
    return Reason::BadKey;
  auto FoundKey = State.m_Keys.find(*Id);
  bool IsKnown = FoundKey != State.m_Keys.end() && FoundKey->second.m_Hash.size() == HashSize;
  // Compares a hash for unknown ids as well, so that timing does not reveal which ids exist.
  const std::string ExpectedHash = IsKnown ? FoundKey->second.m_Hash : std::string(HashSize, '\0');
  bool IsMatch = CRYPTO_memcmp(hashKey(KeyText, Pepper).data(), ExpectedHash.data(), HashSize) == 0;
  if (!IsKnown || !IsMatch)
    return Reason::BadKey;
  const Key &MatchedKey = FoundKey->second;
  if (MatchedKey.m_IsWithdrawn || !State.m_Customers.contains(MatchedKey.m_Customer))
    return Reason::KeyWithdrawn;
  if (!IsPublicRead && !MatchedRoute.m_AllowedCustomers.contains(MatchedKey.m_Customer))
    return Reason::RouteDenied;
  if (IsWrite && MatchedRoute.m_IsReadOnly)
    return Reason::ReadOnlyRoute;
  return Caller{.m_Customer = MatchedKey.m_Customer, .m_KeyId = MatchedKey.m_Id};
}

bool isKeyValid(const ConfigState &State, const std::string &KeyId) {
  if (KeyId.empty()) // public route
    return true;
  auto Found = State.m_Keys.find(KeyId);
  if (Found == State.m_Keys.end())
    return !isDeleted(State, KeyPrefix, KeyId);
  return !Found->second.m_IsWithdrawn &&
         !isDeleted(State, CustomerPrefix, Found->second.m_Customer);
}

} // namespace quetzalpaddle

// Changes by operators: conditional writes of objects under config/.
#include "config_codec.h"
#include "operator.h"

#include <algorithm>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>

namespace quetzalpaddle {

namespace {

using operators::RunReply;

// Each attempt waits up to the platform timeout; the limit lets operators get a reply within
// seconds.
constexpr uint32_t MaxAttempts = 3;

constexpr std::string_view CustomerPrefix = "config/customer/";
constexpr std::string_view KeyPrefix = "config/key/";
constexpr std::string_view RoutePrefix = "config/route/";
constexpr std::string_view GroupPrefix = "config/group/";

std::string makeObjectName(std::string_view Prefix, const std::string &Id) {
  return std::string(Prefix) + Id;
}

// A change in progress.
struct Change {
  std::shared_ptr<PlatformClient> m_Platform;
  OperatorCallback m_OnDone;
  std::string m_OperationId;
  bool m_IsUncertain = false; // an earlier attempt may have taken effect
  uint32_t m_AttemptCount = 0;
  std::string m_Name;
  std::string m_Value; // empty: the object is deleted
  uint64_t m_ExpectedVersion = 0;
  RunReply m_AcceptedReply; // reply to send if the change succeeds
  std::string m_KeyHash;    // of a new key
};
using ChangePtr = std::shared_ptr<Change>;

// Replies that the change is refused, or that its outcome is uncertain if an earlier attempt may
// have taken effect.
void refuse(const ChangePtr &PendingChange, const std::string &Code, const std::string &Message) {
  if (!PendingChange->m_IsUncertain)
    return PendingChange->m_OnDone(makeReply(operators::REFUSED, Code, Message));
  PendingChange->m_OnDone(
      makeReply(operators::UNCERTAIN, Code,
                "an earlier try of this change may have taken effect; now: " + Message));
}

void accept(const ChangePtr &PendingChange, uint64_t Version) {
  RunReply Reply = PendingChange->m_AcceptedReply;
  Reply.set_outcome(operators::ACCEPTED);
  Reply.set_version(Version);
  if (Reply.message().empty())
    Reply.set_message(PendingChange->m_Name);
  PendingChange->m_OnDone(std::move(Reply));
}

// Accepts the change because the object has its operation id: an earlier attempt has taken effect.
void acceptEarlierAttempt(const ChangePtr &PendingChange, const platform::Object &Current) {
  if (!PendingChange->m_KeyHash.empty()) {
    ConfigChange StoredChange =
        decodeChange(Current.name(), Current.version(), false, Current.value());
    const Key *K = std::get_if<Key>(&StoredChange.m_Value);
    if (!K || K->m_Hash != PendingChange->m_KeyHash) {
      PendingChange->m_AcceptedReply.clear_columns();
      PendingChange->m_AcceptedReply.clear_rows();
      PendingChange->m_AcceptedReply.set_code("key_not_shown");
      PendingChange->m_AcceptedReply.set_message(
          "an earlier try created the key; its text was only in that answer. "
          "Withdraw the key and create another one");
    }
  }
  accept(PendingChange, Current.version());
}

void resolveConflict(const ChangePtr &PendingChange, const platform::Object &Current) {
  bool Exists = Current.version() != 0 && !Current.deleted();
  if (!PendingChange->m_Value.empty() && Exists &&
      readOperationId(PendingChange->m_Name, Current.value()) == PendingChange->m_OperationId)
    return acceptEarlierAttempt(PendingChange, Current);
  if (PendingChange->m_Value.empty() && !Exists && PendingChange->m_IsUncertain)
    return accept(PendingChange, Current.version());
  if (!Exists)
    return refuse(PendingChange, "conflict", PendingChange->m_Name + " does not exist");
  if (PendingChange->m_ExpectedVersion == 0)
    return refuse(
        PendingChange, "conflict",
        fmt::format("{} exists, at version {}", PendingChange->m_Name, Current.version()));
  refuse(PendingChange, "conflict",
         fmt::format("{} is at version {}, not {}", PendingChange->m_Name, Current.version(),
                     PendingChange->m_ExpectedVersion));
}

void sendWrite(const ChangePtr &PendingChange) {
  auto HandleReply = [PendingChange](std::variant<platform::WriteReply, PlatformError> Answer) {
    if (auto *Reply = std::get_if<platform::WriteReply>(&Answer))
      return Reply->applied() ? accept(PendingChange, Reply->current().version())
                              : resolveConflict(PendingChange, Reply->current());
    if (std::get<PlatformError>(Answer) == PlatformError::Unanswered)
      PendingChange->m_IsUncertain = true;
    // A retry cannot take effect twice, since the write changes the version that it expects.
    if (PendingChange->m_IsUncertain && ++PendingChange->m_AttemptCount < MaxAttempts)
      return sendWrite(PendingChange);
    refuse(PendingChange, "platform_unavailable", "the platform does not answer");
  };
  if (PendingChange->m_Value.empty())
    deleteObject(*PendingChange->m_Platform, PendingChange->m_Name,
                 PendingChange->m_ExpectedVersion, HandleReply);
  else
    putObject(*PendingChange->m_Platform, PendingChange->m_Name, PendingChange->m_Value,
              PendingChange->m_ExpectedVersion, HandleReply);
}

// Writes the value if hosts can decode it, and refuses the change otherwise.
void validateAndWrite(const ChangePtr &PendingChange) {
  ConfigChange DecodedChange =
      decodeChange(PendingChange->m_Name, 1, false, PendingChange->m_Value);
  if (auto *Failure = std::get_if<ParseFailure>(&DecodedChange.m_Value))
    return refuse(PendingChange, "invalid", Failure->m_Message);
  sendWrite(PendingChange);
}

// Reads an object; calls Continuation with it, or refuses the change if the platform is not
// available.
void readObject(const ChangePtr &PendingChange, const std::string &Name,
                std::function<void(const platform::Object &)> Continuation) {
  getObject(*PendingChange->m_Platform, Name,
            [PendingChange, Continuation = std::move(Continuation)](
                std::variant<platform::Object, PlatformError> Answer) {
              if (auto *Object = std::get_if<platform::Object>(&Answer))
                Continuation(*Object);
              else
                refuse(PendingChange, "platform_unavailable", "the platform does not answer");
            });
}

// Calls Continuation if all named objects exist, and refuses the change otherwise.
void requireObjects(const ChangePtr &PendingChange, std::vector<std::string> Names,
                    const std::function<void()> &Continuation) {
  if (Names.empty())
    return Continuation();
  std::string Name = std::move(Names.back());
  Names.pop_back();
  readObject(PendingChange, Name,
             [PendingChange, Name, Names, Continuation](const platform::Object &Object) {
               if (Object.version() == 0)
                 refuse(PendingChange, "missing", Name + " does not exist");
               else
                 requireObjects(PendingChange, Names, Continuation);
             });
}

// Reads the object to be changed and calls Continuation with its decoded value, if the object is at
// the expected version.
template <class T>
void modifyObject(const ChangePtr &PendingChange, std::function<void(T)> Continuation) {
  readObject(PendingChange, PendingChange->m_Name,
             [PendingChange, Continuation](const platform::Object &Object) {
               if (Object.version() != PendingChange->m_ExpectedVersion)
                 return resolveConflict(PendingChange, Object);
               ConfigChange DecodedChange =
                   decodeChange(PendingChange->m_Name, Object.version(), false, Object.value());
               if (auto *Value = std::get_if<T>(&DecodedChange.m_Value))
                 return Continuation(std::move(*Value));
               refuse(PendingChange, "invalid",
                      PendingChange->m_Name + " cannot be parsed; set or remove it");
             });
}

// Returns an object of this host's configuration that refers to the given one; empty if there is
// none. The configuration may lag by seconds, which is harmless: requests with a key of a missing
// customer or on a route to a missing group are refused.
std::string findReference(const ConfigState &State, ObjectKind Kind, const std::string &Id) {
  if (Kind == ObjectKind::Customer)
    for (const auto &[Name, K] : State.m_Keys)
      if (K.m_Customer == Id && !K.m_IsWithdrawn)
        return "key " + Name;
  for (const auto &[Name, R] : State.m_Routes)
    if ((Kind == ObjectKind::Customer && R.m_AllowedCustomers.contains(Id)) ||
        (Kind == ObjectKind::Group && R.m_Group == Id))
      return "route " + Name;
  return "";
}

// Returns an id or address that two instances of a group share; empty if there is none.
std::string findDuplicate(const Group &G) {
  std::set<std::string> Values;
  for (const Instance &I : G.m_Instances)
    for (const std::string &Text : {I.m_Id, I.m_Address})
      if (!Values.insert(Text).second)
        return Text;
  return "";
}

struct ChangeStarter {
  const ChangeContext &m_Context;
  const ChangePtr &m_Change;

  void operator()(const PutCustomer &S) const {
    m_Change->m_Name = makeObjectName(CustomerPrefix, S.m_Customer.m_Id);
    m_Change->m_ExpectedVersion = S.m_ExpectedVersion;
    m_Change->m_Value = encodeCustomer(S.m_Customer, m_Change->m_OperationId);
    validateAndWrite(m_Change);
  }
  void operator()(const PutRoute &S) const {
    m_Change->m_Name = makeObjectName(RoutePrefix, S.m_Route.m_Name);
    m_Change->m_ExpectedVersion = S.m_ExpectedVersion;
    m_Change->m_Value = encodeRoute(S.m_Route, m_Change->m_OperationId);
    std::vector<std::string> RequiredObjects = {makeObjectName(GroupPrefix, S.m_Route.m_Group)};
    for (const std::string &Id : S.m_Route.m_AllowedCustomers)
      RequiredObjects.push_back(makeObjectName(CustomerPrefix, Id));
    requireObjects(m_Change, RequiredObjects,
                   [PendingChange = m_Change] { validateAndWrite(PendingChange); });
  }
  void operator()(const PutGroup &S) const {
    if (std::string Duplicate = findDuplicate(S.m_Group); !Duplicate.empty())
      return refuse(m_Change, "invalid", Duplicate + " is given twice");
    m_Change->m_Name = makeObjectName(GroupPrefix, S.m_Group.m_Name);
    m_Change->m_ExpectedVersion = S.m_ExpectedVersion;
    m_Change->m_Value = encodeGroup(S.m_Group, m_Change->m_OperationId);
    validateAndWrite(m_Change);
  }
  void operator()(const CreateKey &S) const {
    std::array<uint8_t, 32> Bytes{};
    if (RAND_bytes(Bytes.data(), Bytes.size()) != 1)
      return refuse(m_Change, "no_random", "the host has no random numbers");
    std::string Text = makeKey(S.m_Id, Bytes);
    OPENSSL_cleanse(Bytes.data(), Bytes.size());
    Key K{S.m_Id, S.m_Customer, hashKey(Text, m_Context.m_KeyPepper), false};
    m_Change->m_Name = makeObjectName(KeyPrefix, S.m_Id);
    m_Change->m_KeyHash = K.m_Hash;
    m_Change->m_Value = encodeKey(K, m_Change->m_OperationId);
    RunReply &Reply = m_Change->m_AcceptedReply;
    for (const char *Column : {"key_id", "customer", "key"})
      Reply.add_columns(Column);
    auto *Row = Reply.add_rows();
    for (const std::string &Cell : {S.m_Id, S.m_Customer, Text})
      Row->add_cells(Cell);
    Reply.set_message("the key is shown only here");
    OPENSSL_cleanse(Text.data(), Text.size());
    requireObjects(m_Change, {makeObjectName(CustomerPrefix, S.m_Customer)},
                   [PendingChange = m_Change] { validateAndWrite(PendingChange); });
  }
  void operator()(const WithdrawKey &S) const {
    m_Change->m_Name = makeObjectName(KeyPrefix, S.m_Id);
    m_Change->m_ExpectedVersion = S.m_ExpectedVersion;
    m_Change->m_Value = " "; // placeholder until the new value is known, since empty means deletion
    modifyObject<Key>(m_Change, [PendingChange = m_Change](Key K) {
      if (K.m_IsWithdrawn)
        return refuse(PendingChange, "withdrawn", "the key is withdrawn already");
      K.m_IsWithdrawn = true;
      PendingChange->m_Value = encodeKey(K, PendingChange->m_OperationId);
      validateAndWrite(PendingChange);
    });
  }
  void operator()(const LeaveInstance &S) const {
    m_Change->m_Name = makeObjectName(GroupPrefix, S.m_Group);
    m_Change->m_ExpectedVersion = S.m_ExpectedVersion;
    m_Change->m_Value = " "; // placeholder until the new value is known, since empty means deletion
    modifyObject<Group>(m_Change, [PendingChange = m_Change, Id = S.m_Id](Group G) {
      auto It = std::ranges::find(G.m_Instances, Id, &Instance::m_Id);
      if (It == G.m_Instances.end())
        return refuse(PendingChange, "missing", "the group has no instance " + Id);
      It->m_IsLeaving = true;
      PendingChange->m_Value = encodeGroup(G, PendingChange->m_OperationId);
      validateAndWrite(PendingChange);
    });
  }
  void operator()(const RemoveObject &S) const {
    constexpr std::array<std::string_view, 3> Prefixes = {CustomerPrefix, RoutePrefix, GroupPrefix};
    m_Change->m_Name = makeObjectName(Prefixes.at(static_cast<size_t>(S.m_Kind)), S.m_Id);
    m_Change->m_ExpectedVersion = S.m_ExpectedVersion;
    if (std::string Reference = findReference(*m_Context.m_Config, S.m_Kind, S.m_Id);
        !Reference.empty())
      return refuse(m_Change, "in_use", m_Change->m_Name + " is in use by " + Reference);
    sendWrite(m_Change);
  }
  template <class T> void operator()(const T &) const {
    refuse(m_Change, "internal", "the statement changes no object");
  }
};

} // namespace

RunReply makeReply(operators::Outcome Outcome, const std::string &Code,
                   const std::string &Message) {
  RunReply Reply;
  Reply.set_outcome(Outcome);
  Reply.set_code(Code);
  Reply.set_message(Message);
  return Reply;
}

void runChange(const ChangeContext &Context, const OperatorStatement &Statement,
               const std::string &OperationId, bool IsRepeat, OperatorCallback OnDone) {
  auto PendingChange = std::make_shared<Change>();
  PendingChange->m_Platform = Context.m_Platform;
  PendingChange->m_OnDone = std::move(OnDone);
  PendingChange->m_OperationId = OperationId;
  PendingChange->m_IsUncertain = IsRepeat;
  PendingChange->m_AcceptedReply.set_code("ok");
  std::visit(ChangeStarter{Context, PendingChange}, Statement);
}

} // namespace quetzalpaddle

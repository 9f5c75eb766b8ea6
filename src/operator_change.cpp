// Operators' changes: conditional updates of objects under config/.
#include "config_codec.h"
#include "operator.h"

#include <algorithm>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>

namespace quetzalpaddle {

namespace {

using operators::RunReply;

// Each try waits up to the platform timeout, so that an operator has an answer within seconds.
constexpr uint32_t MaxTries = 3;

constexpr std::string_view CustomerPrefix = "config/customer/";
constexpr std::string_view KeyPrefix = "config/key/";
constexpr std::string_view RoutePrefix = "config/route/";
constexpr std::string_view GroupPrefix = "config/group/";

std::string join(std::string_view Prefix, const std::string &Id) {
  return std::string(Prefix) + Id;
}

// One change on its way.
struct Change {
  std::shared_ptr<PlatformClient> m_Platform;
  OperatorReply m_Done;
  std::string m_OperationId;
  bool m_Doubtful = false; // an earlier try may have taken effect
  uint32_t m_Tries = 0;
  std::string m_Name;
  std::string m_Value; // empty: the object is deleted
  uint64_t m_Expect = 0;
  RunReply m_Accepted; // what to add to the answer if it succeeds
  std::string m_Hash;  // of a new key
};
using ChangePtr = std::shared_ptr<Change>;

// A change that may have taken effect before cannot be reported as refused.
void refuse(const ChangePtr &C, const std::string &Code, const std::string &Message) {
  if (!C->m_Doubtful)
    return C->m_Done(makeReply(operators::REFUSED, Code, Message));
  C->m_Done(makeReply(operators::UNCERTAIN, Code,
                      "an earlier try of this change may have taken effect; now: " + Message));
}

void accept(const ChangePtr &C, uint64_t Version) {
  RunReply Reply = C->m_Accepted;
  Reply.set_outcome(operators::ACCEPTED);
  Reply.set_version(Version);
  if (Reply.message().empty())
    Reply.set_message(C->m_Name);
  C->m_Done(std::move(Reply));
}

// The object carries this change's operation id: it has taken effect.
void acceptEarlier(const ChangePtr &C, const platform::Object &Current) {
  if (!C->m_Hash.empty()) {
    ConfigChange Stored = decodeChange(Current.name(), Current.version(), false, Current.value());
    const Key *K = std::get_if<Key>(&Stored.m_Value);
    if (!K || K->m_Hash != C->m_Hash) {
      C->m_Accepted.clear_columns();
      C->m_Accepted.clear_rows();
      C->m_Accepted.set_code("key_not_shown");
      C->m_Accepted.set_message("an earlier try created the key; its text was only in that answer. "
                                "Withdraw the key and create another one");
    }
  }
  accept(C, Current.version());
}

void settleConflict(const ChangePtr &C, const platform::Object &Current) {
  bool Exists = Current.version() != 0 && !Current.deleted();
  if (!C->m_Value.empty() && Exists &&
      readOperationId(C->m_Name, Current.value()) == C->m_OperationId)
    return acceptEarlier(C, Current);
  if (C->m_Value.empty() && !Exists && C->m_Doubtful)
    return accept(C, Current.version());
  if (!Exists)
    return refuse(C, "conflict", C->m_Name + " does not exist");
  if (C->m_Expect == 0)
    return refuse(C, "conflict",
                  fmt::format("{} exists, at version {}", C->m_Name, Current.version()));
  refuse(C, "conflict",
         fmt::format("{} is at version {}, not {}", C->m_Name, Current.version(), C->m_Expect));
}

void sendWrite(const ChangePtr &C) {
  auto Settle = [C](std::variant<platform::WriteReply, PlatformError> Answer) {
    if (auto *Reply = std::get_if<platform::WriteReply>(&Answer))
      return Reply->applied() ? accept(C, Reply->current().version())
                              : settleConflict(C, Reply->current());
    if (std::get<PlatformError>(Answer) == PlatformError::Unanswered)
      C->m_Doubtful = true;
    // Sending it again has at most one effect, since the expected version holds only once.
    if (C->m_Doubtful && ++C->m_Tries < MaxTries)
      return sendWrite(C);
    refuse(C, "platform_unavailable", "the platform does not answer");
  };
  if (C->m_Value.empty())
    deleteObject(*C->m_Platform, C->m_Name, C->m_Expect, Settle);
  else
    putObject(*C->m_Platform, C->m_Name, C->m_Value, C->m_Expect, Settle);
}

// Writes the value unless the hosts would not accept it.
void writeChecked(const ChangePtr &C) {
  ConfigChange Decoded = decodeChange(C->m_Name, 1, false, C->m_Value);
  if (auto *Failure = std::get_if<ParseFailure>(&Decoded.m_Value))
    return refuse(C, "invalid", Failure->m_Message);
  sendWrite(C);
}

// Reads an object; calls Then with it, or refuses the change if the platform is not available.
void readThen(const ChangePtr &C, const std::string &Name,
              std::function<void(const platform::Object &)> Then) {
  getObject(*C->m_Platform, Name,
            [C, Then = std::move(Then)](std::variant<platform::Object, PlatformError> Answer) {
              if (auto *Object = std::get_if<platform::Object>(&Answer))
                Then(*Object);
              else
                refuse(C, "platform_unavailable", "the platform does not answer");
            });
}

// Continues once every named object has been seen to exist.
void requireObjects(const ChangePtr &C, std::vector<std::string> Names,
                    const std::function<void()> &Then) {
  if (Names.empty())
    return Then();
  std::string Name = std::move(Names.back());
  Names.pop_back();
  readThen(C, Name, [C, Name, Names, Then](const platform::Object &Object) {
    if (Object.version() == 0)
      refuse(C, "missing", Name + " does not exist");
    else
      requireObjects(C, Names, Then);
  });
}

// Reads the object that is to be changed and continues with its decoded value, if it is at the
// expected version.
template <class T> void modify(const ChangePtr &C, std::function<void(T)> Then) {
  readThen(C, C->m_Name, [C, Then](const platform::Object &Object) {
    if (Object.version() != C->m_Expect)
      return settleConflict(C, Object);
    ConfigChange Decoded = decodeChange(C->m_Name, Object.version(), false, Object.value());
    if (auto *Value = std::get_if<T>(&Decoded.m_Value))
      return Then(std::move(*Value));
    refuse(C, "invalid", C->m_Name + " cannot be parsed; set or remove it");
  });
}

// Returns what refers to an object, from this host's configuration; empty if nothing does. The
// configuration may lag by seconds, which is harmless: a key of no customer admits nobody, and a
// route to no group refuses.
std::string findUse(const ConfigState &State, ObjectKind Kind, const std::string &Id) {
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

// Whether two instances of a group share an id or an address.
std::string findDouble(const Group &G) {
  std::set<std::string> Seen;
  for (const Instance &I : G.m_Instances)
    for (const std::string &Text : {I.m_Id, I.m_Address})
      if (!Seen.insert(Text).second)
        return Text;
  return "";
}

struct StartChange {
  const ChangeContext &m_Context;
  const ChangePtr &m_Change;

  void operator()(const PutCustomer &S) const {
    m_Change->m_Name = join(CustomerPrefix, S.m_Customer.m_Id);
    m_Change->m_Expect = S.m_ExpectedVersion;
    m_Change->m_Value = encodeCustomer(S.m_Customer, m_Change->m_OperationId);
    writeChecked(m_Change);
  }
  void operator()(const PutRoute &S) const {
    m_Change->m_Name = join(RoutePrefix, S.m_Route.m_Name);
    m_Change->m_Expect = S.m_ExpectedVersion;
    m_Change->m_Value = encodeRoute(S.m_Route, m_Change->m_OperationId);
    std::vector<std::string> Needed = {join(GroupPrefix, S.m_Route.m_Group)};
    for (const std::string &Id : S.m_Route.m_AllowedCustomers)
      Needed.push_back(join(CustomerPrefix, Id));
    requireObjects(m_Change, Needed, [C = m_Change] { writeChecked(C); });
  }
  void operator()(const PutGroup &S) const {
    if (std::string Twice = findDouble(S.m_Group); !Twice.empty())
      return refuse(m_Change, "invalid", Twice + " is given twice");
    m_Change->m_Name = join(GroupPrefix, S.m_Group.m_Name);
    m_Change->m_Expect = S.m_ExpectedVersion;
    m_Change->m_Value = encodeGroup(S.m_Group, m_Change->m_OperationId);
    writeChecked(m_Change);
  }
  void operator()(const CreateKey &S) const {
    std::array<uint8_t, 32> Bytes{};
    if (RAND_bytes(Bytes.data(), Bytes.size()) != 1)
      return refuse(m_Change, "no_random", "the host has no random numbers");
    std::string Text = makeKey(S.m_Id, Bytes);
    OPENSSL_cleanse(Bytes.data(), Bytes.size());
    Key K{S.m_Id, S.m_Customer, hashKey(Text, m_Context.m_KeyPepper), false};
    m_Change->m_Name = join(KeyPrefix, S.m_Id);
    m_Change->m_Hash = K.m_Hash;
    m_Change->m_Value = encodeKey(K, m_Change->m_OperationId);
    RunReply &Reply = m_Change->m_Accepted;
    for (const char *Column : {"key_id", "customer", "key"})
      Reply.add_columns(Column);
    auto *Row = Reply.add_rows();
    for (const std::string &Cell : {S.m_Id, S.m_Customer, Text})
      Row->add_cells(Cell);
    Reply.set_message("the key is shown only here");
    OPENSSL_cleanse(Text.data(), Text.size());
    requireObjects(m_Change, {join(CustomerPrefix, S.m_Customer)},
                   [C = m_Change] { writeChecked(C); });
  }
  void operator()(const WithdrawKey &S) const {
    m_Change->m_Name = join(KeyPrefix, S.m_Id);
    m_Change->m_Expect = S.m_ExpectedVersion;
    m_Change->m_Value = " "; // replaced below; an object is not deleted
    modify<Key>(m_Change, [C = m_Change](Key K) {
      if (K.m_IsWithdrawn)
        return refuse(C, "withdrawn", "the key is withdrawn already");
      K.m_IsWithdrawn = true;
      C->m_Value = encodeKey(K, C->m_OperationId);
      writeChecked(C);
    });
  }
  void operator()(const LeaveInstance &S) const {
    m_Change->m_Name = join(GroupPrefix, S.m_Group);
    m_Change->m_Expect = S.m_ExpectedVersion;
    m_Change->m_Value = " "; // replaced below; an object is not deleted
    modify<Group>(m_Change, [C = m_Change, Id = S.m_Id](Group G) {
      auto Found = std::ranges::find(G.m_Instances, Id, &Instance::m_Id);
      if (Found == G.m_Instances.end())
        return refuse(C, "missing", "the group has no instance " + Id);
      Found->m_IsLeaving = true;
      C->m_Value = encodeGroup(G, C->m_OperationId);
      writeChecked(C);
    });
  }
  void operator()(const RemoveObject &S) const {
    constexpr std::array<std::string_view, 3> Prefixes = {CustomerPrefix, RoutePrefix, GroupPrefix};
    m_Change->m_Name = join(Prefixes.at(static_cast<size_t>(S.m_Kind)), S.m_Id);
    m_Change->m_Expect = S.m_ExpectedVersion;
    if (std::string Use = findUse(*m_Context.m_Config, S.m_Kind, S.m_Id); !Use.empty())
      return refuse(m_Change, "in_use", m_Change->m_Name + " is in use by " + Use);
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
               const std::string &OperationId, bool IsRepeat, OperatorReply Done) {
  auto C = std::make_shared<Change>();
  C->m_Platform = Context.m_Platform;
  C->m_Done = std::move(Done);
  C->m_OperationId = OperationId;
  C->m_Doubtful = IsRepeat;
  C->m_Accepted.set_code("ok");
  std::visit(StartChange{Context, C}, Statement);
}

} // namespace quetzalpaddle

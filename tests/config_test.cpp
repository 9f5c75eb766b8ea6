#include "config_codec.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdlib>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace quetzalpaddle;

namespace {

constexpr const char *Pepper = "pepper of the tests";

// Checks a property with a fixed seed, which is printed so that a failure can be reproduced.
template <class Testable> bool checkProperty(const char *Description, Testable Property) {
  setenv("RC_PARAMS", "seed=20261204 max_success=300", 1);
  fmt::print("{}: RC_PARAMS=\"{}\"\n", Description, getenv("RC_PARAMS"));
  return rc::check(Description, Property);
}

ConfigChange makeCustomerChange(const std::string &Id, uint64_t Revision, double Rate) {
  return decodeChange("config/customer/" + Id, Revision, false,
                      encodeCustomer({.m_Id = Id, .m_Rate = Rate, .m_Burst = 10}, "op"));
}

ConfigChange makeKeyChange(const std::string &Id, const std::string &Owner, uint64_t Revision,
                           bool IsWithdrawn, const std::string &Hash) {
  return decodeChange(
      "config/key/" + Id, Revision, false,
      encodeKey({.m_Id = Id, .m_Customer = Owner, .m_Hash = Hash, .m_IsWithdrawn = IsWithdrawn},
                "op"));
}

ConfigChange makeRouteChange(const Route &R, uint64_t Revision) {
  return decodeChange("config/route/" + R.m_Name, Revision, false, encodeRoute(R, "op"));
}

ConfigChange makeDeletion(const std::string &Name, uint64_t Revision) {
  return decodeChange(Name, Revision, true, "");
}

// Returns all contents of a state as text, so that two states can be compared.
std::string formatState(const ConfigState &State) {
  std::string Text;
  for (const auto &[Name, R] : State.m_Records)
    Text += fmt::format("{} {} {} [{}] [{}] {} [{}]\n", Name, R.m_Revision, R.m_IsDeleted,
                        R.m_Payload, R.m_ParseError, R.m_ActiveRevision, R.m_ActivePayload);
  for (const auto &[Id, C] : State.m_Customers)
    Text += fmt::format("customer {} {} {}\n", Id, C.m_Rate, C.m_Burst);
  for (const auto &[Id, K] : State.m_Keys)
    Text += fmt::format("key {} {} {}\n", Id, K.m_Customer, K.m_IsWithdrawn);
  for (const auto &[Id, R] : State.m_Routes)
    Text += fmt::format("route {} {} {}\n", Id, R.m_Group, R.m_IsPublic);
  for (const auto &[Id, G] : State.m_Groups)
    Text += fmt::format("group {} {}\n", Id, G.m_Instances.size());
  return Text;
}

// Generates changes to a few objects with increasing revisions: valid values, deletions and
// payloads that do not parse.
std::vector<ConfigChange> makeHistory() {
  auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 5)));
  std::vector<ConfigChange> History;
  for (auto [ObjectIndex, ChangeKind] : Steps) {
    uint64_t Revision = History.size() + 1;
    std::string Id = fmt::format("x{}", ObjectIndex % 2);
    ConfigChange Change;
    if (ObjectIndex < 2)
      Change = makeCustomerChange(Id, Revision, static_cast<double>(Revision));
    else if (ObjectIndex < 4)
      Change = makeKeyChange(Id, "x0", Revision, ChangeKind == 3, std::string(32, 'h'));
    else
      Change = makeRouteChange(
          {.m_Name = Id, .m_Group = "g", .m_AllowedCustomers = {}, .m_IsPublic = true}, Revision);
    if (ChangeKind == 0)
      Change = makeDeletion(Change.m_Name, Revision);
    if (ChangeKind == 1)
      Change = decodeChange(Change.m_Name, Revision, false, "{damaged");
    History.push_back(std::move(Change));
  }
  return History;
}

template <class Effect> size_t countEffects(const std::vector<ConfigEffect> &Effects) {
  return static_cast<size_t>(std::ranges::count_if(
      Effects, [](const ConfigEffect &Each) { return std::holds_alternative<Effect>(Each); }));
}

struct KeyFixture {
  ConfigState m_State;
  std::string m_Key = makeKey("k_1", {1, 2, 3});

  KeyFixture() {
    applyChange(m_State, makeCustomerChange("acme", 1, 5));
    applyChange(m_State, makeCustomerChange("other", 2, 5));
    applyChange(m_State, makeKeyChange("k_1", "acme", 3, false, hashKey(m_Key, Pepper)));
    applyChange(
        m_State,
        makeRouteChange({.m_Name = "orders", .m_Group = "g", .m_AllowedCustomers = {"acme"}}, 4));
    applyChange(
        m_State,
        makeRouteChange({.m_Name = "prices", .m_Group = "g", .m_AllowedCustomers = {"other"}}, 5));
    applyChange(m_State, makeRouteChange({.m_Name = "news",
                                          .m_Group = "g",
                                          .m_AllowedCustomers = {"acme"},
                                          .m_IsPublic = true,
                                          .m_IsReadOnly = true},
                                         6));
  }

  Reason rejectionOf(const std::string &RouteName, const std::string &Key, bool IsWrite = false) {
    auto Result = authorizeCaller(m_State, RouteName, Key, IsWrite, Pepper);
    const Reason *Rejection = std::get_if<Reason>(&Result);
    return Rejection ? *Rejection : Reason::None;
  }
};

} // namespace

// Guards against a state that depends on the order in which a host receives changes.
Test(config, anyOrderAndRepetitionGivesTheSameState) {
  cr_assert(checkProperty("any order and repetition", [] {
    std::vector<ConfigChange> History = makeHistory();
    ConfigState OrderedState;
    for (const ConfigChange &Change : History)
      applyChange(OrderedState, Change);
    std::vector<ConfigChange> Shuffled = History;
    Shuffled.insert(Shuffled.end(), History.begin(), History.end());
    Random Rng(*rc::gen::arbitrary<uint64_t>());
    std::ranges::shuffle(Shuffled, Rng);
    ConfigState ShuffledState;
    for (const ConfigChange &Change : Shuffled)
      applyChange(ShuffledState, Change);
    RC_ASSERT(formatState(ShuffledState) == formatState(OrderedState));
  }));
}

// Guards against an object that reverts to an older version when changes arrive out of order.
Test(config, revisionsNeverDecrease) {
  cr_assert(checkProperty("revisions only go up", [] {
    std::vector<ConfigChange> Shuffled = makeHistory();
    Random Rng(*rc::gen::arbitrary<uint64_t>());
    std::ranges::shuffle(Shuffled, Rng);
    ConfigState State;
    std::map<std::string, std::pair<uint64_t, uint64_t>> Maxima;
    for (const ConfigChange &Change : Shuffled) {
      applyChange(State, Change);
      const ConfigRecord &Record = State.m_Records[Change.m_Name];
      auto &[MaxRevision, MaxActiveRevision] = Maxima[Change.m_Name];
      RC_ASSERT(Record.m_Revision >= MaxRevision);
      RC_ASSERT(Record.m_ActiveRevision >= MaxActiveRevision);
      RC_ASSERT(Record.m_Revision >= Change.m_Revision);
      MaxRevision = Record.m_Revision;
      MaxActiveRevision = Record.m_ActiveRevision;
    }
  }));
}

// Guards against a host that misses a deletion: a snapshot lists only the objects that exist, so
// the deleted one has to be recognised by its absence.
Test(config, snapshotAtAnyPointGivesTheSameValues) {
  cr_assert(checkProperty("snapshot", [] {
    std::vector<ConfigChange> History = makeHistory();
    ConfigState Source;
    for (const ConfigChange &Change : History)
      applyChange(Source, Change);
    size_t KnownCount = *rc::gen::inRange<size_t>(0, History.size() + 1);
    ConfigState Receiver;
    for (size_t Index = 0; Index < KnownCount; ++Index)
      applyChange(Receiver, History[Index]);
    // A platform lists the newest version of each object that exists.
    std::vector<ConfigChange> Snapshot;
    for (const auto &[Name, Record] : Source.m_Records)
      if (!Record.m_IsDeleted)
        Snapshot.push_back(decodeChange(Name, Record.m_Revision, false, Record.m_Payload));
    applySnapshot(Receiver, Snapshot, History.size());
    for (const auto &[Name, Record] : Source.m_Records) {
      bool IsPresent = Receiver.m_Records.contains(Name) && !Receiver.m_Records[Name].m_IsDeleted;
      RC_ASSERT(IsPresent == !Record.m_IsDeleted);
      if (IsPresent)
        RC_ASSERT(Receiver.m_Records[Name].m_Revision == Record.m_Revision);
    }
    RC_ASSERT(Receiver.m_Revision == History.size());
    RC_ASSERT(Receiver.m_CompleteSince == History.size());
  }));
}

// Guards against a payload that does not parse and takes a working customer out of service.
Test(config, parseFailureKeepsLastGoodVersion) {
  ConfigState State;
  applyChange(State, makeCustomerChange("acme", 1, 5));
  applyChange(State, decodeChange("config/customer/acme", 4, false, R"({"id":"acme","rate":-1})"));
  cr_assert_eq(State.m_Customers["acme"].m_Rate, 5);
  cr_assert(!State.m_Records["config/customer/acme"].m_ParseError.empty());
  // Arrives late, but is the last valid version.
  applyChange(State, makeCustomerChange("acme", 3, 7));
  cr_assert_eq(State.m_Customers["acme"].m_Rate, 7);
  applyChange(State, makeCustomerChange("acme", 2, 9));
  cr_assert_eq(State.m_Customers["acme"].m_Rate, 7);
  cr_assert_eq(State.m_Records["config/customer/acme"].m_Revision, 4);
  cr_assert(!State.m_Records["config/customer/acme"].m_ActivePayload.empty());
  applyChange(State, makeCustomerChange("acme", 5, 11));
  cr_assert_eq(State.m_Customers["acme"].m_Rate, 11);
  cr_assert(State.m_Records["config/customer/acme"].m_ParseError.empty());
}

// Guards against a withdrawn or deleted key whose invalidation is not reported, or reported twice,
// and against one that becomes valid again through an older version.
Test(config, invalidKeysAreReportedOnce) {
  KeyFixture Env;
  std::string Hash = hashKey(Env.m_Key, Pepper);
  auto Effects = applyChange(Env.m_State, makeKeyChange("k_1", "acme", 10, true, Hash));
  cr_assert_eq(countEffects<KeyInvalidated>(Effects), 1);
  cr_assert_eq(Env.rejectionOf("orders", Env.m_Key), Reason::KeyWithdrawn);
  cr_assert(!isKeyValid(Env.m_State, "k_1"));
  cr_assert(applyChange(Env.m_State, makeKeyChange("k_1", "acme", 9, false, Hash)).empty());
  cr_assert(!isKeyValid(Env.m_State, "k_1"));
  Effects = applyChange(Env.m_State, makeDeletion("config/key/k_1", 11));
  cr_assert_eq(countEffects<KeyInvalidated>(Effects), 0,
               "already reported when the key was withdrawn");
  cr_assert_eq(Env.rejectionOf("orders", Env.m_Key), Reason::BadKey);
  cr_assert(!isKeyValid(Env.m_State, "k_1"));
  cr_assert(isKeyValid(Env.m_State, "not_received_yet"));
}

// Guards against keys that stay valid after their customer is deleted.
Test(config, deletedCustomerInvalidatesItsKeys) {
  KeyFixture Env;
  auto Effects = applyChange(Env.m_State, makeDeletion("config/customer/acme", 10));
  cr_assert_eq(countEffects<KeyInvalidated>(Effects), 1);
  cr_assert_eq(countEffects<CustomerChanged>(Effects), 1);
  cr_assert(!isKeyValid(Env.m_State, "k_1"));
  cr_assert_eq(Env.rejectionOf("orders", Env.m_Key), Reason::KeyWithdrawn);
}

// Guards against a caller who is let onto a route that its customer may not use.
Test(config, callersGetOnlyTheirRoutes) {
  KeyFixture Env;
  auto Result = authorizeCaller(Env.m_State, "orders", Env.m_Key, true, Pepper);
  cr_assert(std::holds_alternative<Caller>(Result));
  cr_assert_eq(std::get<Caller>(Result).m_Customer, "acme");
  cr_assert_eq(std::get<Caller>(Result).m_KeyId, "k_1");
  cr_assert_eq(Env.rejectionOf("nowhere", Env.m_Key), Reason::NoRoute);
  cr_assert_eq(Env.rejectionOf("orders", ""), Reason::NoKey);
  cr_assert_eq(Env.rejectionOf("prices", Env.m_Key), Reason::RouteDenied);
  cr_assert_eq(Env.rejectionOf("news", ""), Reason::None);
  cr_assert_eq(Env.rejectionOf("news", "", true), Reason::NoKey);
  cr_assert_eq(Env.rejectionOf("news", Env.m_Key, true), Reason::ReadOnlyRoute);
  std::string TamperedKey = Env.m_Key;
  TamperedKey.back() = TamperedKey.back() == '0' ? '1' : '0';
  for (const std::string &InvalidKey :
       {TamperedKey, Env.m_Key + "0", std::string("qp_"), std::string("qp__x"), std::string("k_1"),
        makeKey("k_2", {1, 2, 3})})
    cr_assert_eq(Env.rejectionOf("orders", InvalidKey), Reason::BadKey);
}

// Guards against payloads that are accepted although the decision functions cannot work with their
// values, such as a rate of zero or a duplicate instance id.
Test(config, invalidObjectsDoNotParse) {
  auto FailsToParse = [](const std::string &Name, const std::string &Payload) {
    return std::holds_alternative<ParseFailure>(decodeChange(Name, 1, false, Payload).m_Value);
  };
  for (const char *InvalidPayload :
       {"", "[]", R"({"id":"b","rate":1,"burst":1})", R"({"id":"a","rate":"NaN","burst":1})",
        R"({"id":"a","rate":1,"burst":"Infinity"})", R"({"id":"a","rate":0,"burst":1})",
        R"({"id":"a","rate":1})", R"({"id":"a","rate":1,"burst":-2})"})
    cr_assert(FailsToParse("config/customer/a", InvalidPayload), "%s", InvalidPayload);
  cr_assert(
      !FailsToParse("config/customer/a", R"({"id":"a","rate":1,"burst":1,"added_later":true})"));
  cr_assert(FailsToParse("config/customer/a b", R"({"id":"a b","rate":1,"burst":1})"));
  cr_assert(FailsToParse("config/other/a", R"({"id":"a"})"));
  cr_assert(FailsToParse("config/key/a", R"({"id":"a","customer":"c","hash":"AAAA"})"));
  auto GroupText = [](const std::string &Address, uint32_t SlotCount, uint32_t ConnectionLimit,
                      const std::string &SecondId) {
    Group G{.m_Name = "g", .m_Instances = {}};
    for (const std::string &Id : {std::string("i1"), SecondId})
      G.m_Instances.push_back({.m_Id = Id,
                               .m_Address = Address,
                               .m_DataCentre = "dc1",
                               .m_SlotCount = SlotCount,
                               .m_ConnectionLimit = ConnectionLimit});
    return encodeGroup(G, "op");
  };
  cr_assert(!FailsToParse("config/group/g", GroupText("127.0.0.1:80", 1, 1, "i2")));
  cr_assert(!FailsToParse("config/group/g", GroupText("[::1]:80", 1, 1, "i2")));
  cr_assert(FailsToParse("config/group/g", GroupText("127.0.0.1:80", 1, 1, "i1")),
            "duplicate instance id");
  cr_assert(FailsToParse("config/group/g", GroupText("127.0.0.1:80", 0, 1, "i2")));
  cr_assert(FailsToParse("config/group/g", GroupText("127.0.0.1:80", 1, 0, "i2")));
  for (const char *InvalidAddress :
       {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", ":80"})
    cr_assert(FailsToParse("config/group/g", GroupText(InvalidAddress, 1, 1, "i2")), "%s",
              InvalidAddress);
}

// Guards against an operation id that is not read back: an operation whose answer was lost would
// not be recognised.
Test(config, operationIdsAreRead) {
  std::string Text = encodeCustomer({.m_Id = "a", .m_Rate = 1, .m_Burst = 1}, "op-7");
  cr_assert_eq(readOperationId("config/customer/a", Text), "op-7");
  cr_assert_eq(readOperationId("config/customer/a", "{damaged"), "");
  objects::HostLease Lease;
  Lease.set_operation_id("op-8");
  cr_assert_eq(readOperationId("lease/h1", encodeMessage(Lease)), "op-8");
}

// Guards against hashes that depend on what was hashed before: each thread keeps an HMAC context
// per secret, and a stale one would make every stored key stop matching. Expected value: test case
// 2 of RFC 4231.
Test(config, hashesAreHmacSha256AfterOtherHashes) {
  std::string Expected = "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843";
  auto ToHex = [](const std::string &Bytes) {
    std::string Text;
    for (unsigned char Byte : Bytes)
      Text += fmt::format("{:02x}", Byte);
    return Text;
  };
  for (int Round = 0; Round < 40; ++Round) {
    cr_assert_eq(ToHex(hashKey("what do ya want for nothing?", "Jefe")), Expected);
    hashKey(std::string(static_cast<size_t>(Round), 'x'), fmt::format("secret {}", Round));
    hashKey("", "");
  }
  cr_assert_eq(ToHex(hashKey("", "")),
               "b613679a0814d9ec772f95d778c35fc5ff1697c493715653c6c712144292c5ad");
}

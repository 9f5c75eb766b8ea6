// Converts between objects of the platform's store and configuration structs.
#include "config_codec.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

namespace quetzalpaddle {

namespace {

constexpr size_t MaxIdLength = 64;
constexpr size_t HashSize = 32;

using DecodedValue = ConfigValue; // holds ParseFailure if a check fails

bool isValidId(std::string_view Text) {
  constexpr std::string_view AllowedSymbols = "_.-";
  return !Text.empty() && Text.size() <= MaxIdLength && std::ranges::all_of(Text, [&](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') || (C >= '0' && C <= '9') ||
           AllowedSymbols.find(C) != std::string_view::npos;
  });
}

// Accepts 127.0.0.1:80 and [::1]:80.
bool isValidAddress(const std::string &Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return false;
  uint32_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto [ParseEnd, Error] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Error != std::errc{} || ParseEnd != End || Port == 0 || Port > 65535)
    return false;
  in6_addr AddressBytes{}; // large enough for both families
  if (Text.front() == '[')
    return Text[Colon - 1] == ']' &&
           inet_pton(AF_INET6, Text.substr(1, Colon - 2).c_str(), &AddressBytes) == 1;
  return inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &AddressBytes) == 1;
}

bool isPositive(double Value) { return std::isfinite(Value) && Value > 0; }

template <class Message> std::optional<Message> parseObject(const std::string &Payload) {
  Message Result;
  if (!decodeMessage(Payload, Result))
    return std::nullopt;
  return Result;
}

ParseFailure fail(std::string Message) { return {.m_Message = std::move(Message)}; }

DecodedValue decodeCustomer(const std::string &Id, const std::string &Payload) {
  auto Object = parseObject<objects::Customer>(Payload);
  if (!Object)
    return fail("not a customer object");
  if (Object->id() != Id)
    return fail(fmt::format("id \"{}\" differs from the object's name", Object->id()));
  if (!isPositive(Object->rate()))
    return fail("rate is not a positive finite number");
  if (!isPositive(Object->burst()))
    return fail("burst is not a positive finite number");
  return Customer{.m_Id = Id, .m_Rate = Object->rate(), .m_Burst = Object->burst()};
}

DecodedValue decodeKey(const std::string &Id, const std::string &Payload) {
  auto Object = parseObject<objects::Key>(Payload);
  if (!Object)
    return fail("not a key object");
  if (Object->id() != Id)
    return fail(fmt::format("id \"{}\" differs from the object's name", Object->id()));
  if (!isValidId(Object->customer()))
    return fail("customer is not a valid id");
  if (Object->hash().size() != HashSize)
    return fail(fmt::format("hash has {} bytes, not {}", Object->hash().size(), HashSize));
  return Key{.m_Id = Id,
             .m_Customer = Object->customer(),
             .m_Hash = Object->hash(),
             .m_IsWithdrawn = Object->withdrawn()};
}

DecodedValue decodeRoute(const std::string &Name, const std::string &Payload) {
  auto Object = parseObject<objects::Route>(Payload);
  if (!Object)
    return fail("not a route object");
  if (Object->name() != Name)
    return fail(fmt::format("name \"{}\" differs from the object's name", Object->name()));
  if (!isValidId(Object->group()))
    return fail("group is not a valid id");
  if (!std::ranges::all_of(Object->customers(), isValidId))
    return fail("a customer is not a valid id");
  return Route{.m_Name = Name,
               .m_Group = Object->group(),
               .m_AllowedCustomers = {Object->customers().begin(), Object->customers().end()},
               .m_IsPublic = Object->open(),
               .m_IsReadOnly = Object->read_only()};
}

// Returns an error message; empty if the instance is valid.
std::string checkInstance(const objects::Instance &I) {
  if (!isValidId(I.id()))
    return "an instance's id is not valid";
  if (!isValidAddress(I.address()))
    return fmt::format("address of instance {} is not IP:port", I.id());
  if (!isValidId(I.data_centre()))
    return fmt::format("data centre of instance {} is not a valid id", I.id());
  if (I.slots() < 1 || I.connections() < 1)
    return fmt::format("instance {} needs at least 1 slot and 1 connection", I.id());
  return {};
}

DecodedValue decodeGroup(const std::string &Name, const std::string &Payload) {
  auto Object = parseObject<objects::Group>(Payload);
  if (!Object)
    return fail("not a group object");
  if (Object->name() != Name)
    return fail(fmt::format("name \"{}\" differs from the object's name", Object->name()));
  Group Result{.m_Name = Name, .m_Instances = {}};
  std::set<std::string> Ids;
  for (const objects::Instance &I : Object->instances()) {
    if (std::string Error = checkInstance(I); !Error.empty())
      return fail(std::move(Error));
    if (!Ids.insert(I.id()).second)
      return fail(fmt::format("instance {} is listed twice", I.id()));
    Result.m_Instances.push_back({.m_Id = I.id(),
                                  .m_Address = I.address(),
                                  .m_DataCentre = I.data_centre(),
                                  .m_SlotCount = I.slots(),
                                  .m_ConnectionLimit = I.connections(),
                                  .m_IsLeaving = I.leaving()});
  }
  return Result;
}

DecodedValue decodeRateSlots(const std::string &Id, const std::string &Payload) {
  auto Object = parseObject<objects::RateSlots>(Payload);
  if (!Object)
    return fail("not a rate object");
  if (Object->customer() != Id)
    return fail(fmt::format("customer \"{}\" differs from the object's name", Object->customer()));
  std::set<std::pair<std::string, uint32_t>> SlotIds;
  for (const objects::RateSlot &Slot : Object->slots()) {
    if (!isValidId(Slot.data_centre()) || (!Slot.holder().empty() && !isValidId(Slot.holder())))
      return fail("data centre or holder of a slot is not a valid id");
    if (!SlotIds.emplace(Slot.data_centre(), Slot.number()).second)
      return fail(fmt::format("slot {}/{} is listed twice", Slot.data_centre(), Slot.number()));
  }
  return OpaqueObject{};
}

DecodedValue decodeValue(std::string_view Name, const std::string &Payload) {
  struct Kind {
    std::string_view m_Prefix;
    DecodedValue (*m_Decode)(const std::string &Id, const std::string &Payload);
  };
  static constexpr std::array<Kind, 5> Kinds = {{{"config/customer/", decodeCustomer},
                                                 {"config/key/", decodeKey},
                                                 {"config/route/", decodeRoute},
                                                 {"config/group/", decodeGroup},
                                                 {"rate/", decodeRateSlots}}};
  const auto *It = std::ranges::find_if(
      Kinds, [&](const Kind &KnownKind) { return Name.starts_with(KnownKind.m_Prefix); });
  if (It == Kinds.end())
    return fail("unknown kind of object");
  std::string_view Id = Name.substr(It->m_Prefix.size());
  if (!isValidId(Id))
    return fail("the object's name does not end in a valid id");
  return It->m_Decode(std::string(Id), Payload);
}

} // namespace

ConfigChange decodeChange(const std::string &Name, uint64_t Revision, bool IsDeleted,
                          const std::string &Payload) {
  return {.m_Name = Name,
          .m_Revision = Revision,
          .m_Value = IsDeleted ? ConfigValue{std::monostate{}} : decodeValue(Name, Payload),
          .m_Payload = IsDeleted ? std::string() : Payload};
}

std::string encodeCustomer(const Customer &C, const std::string &OperationId) {
  objects::Customer Object;
  Object.set_id(C.m_Id);
  Object.set_rate(C.m_Rate);
  Object.set_burst(C.m_Burst);
  Object.set_operation_id(OperationId);
  return encodeMessage(Object);
}

std::string encodeKey(const Key &K, const std::string &OperationId) {
  objects::Key Object;
  Object.set_id(K.m_Id);
  Object.set_customer(K.m_Customer);
  Object.set_hash(K.m_Hash);
  Object.set_withdrawn(K.m_IsWithdrawn);
  Object.set_operation_id(OperationId);
  return encodeMessage(Object);
}

std::string encodeRoute(const Route &R, const std::string &OperationId) {
  objects::Route Object;
  Object.set_name(R.m_Name);
  Object.set_group(R.m_Group);
  for (const std::string &CustomerId : R.m_AllowedCustomers)
    Object.add_customers(CustomerId);
  Object.set_open(R.m_IsPublic);
  Object.set_read_only(R.m_IsReadOnly);
  Object.set_operation_id(OperationId);
  return encodeMessage(Object);
}

std::string encodeGroup(const Group &G, const std::string &OperationId) {
  objects::Group Object;
  Object.set_name(G.m_Name);
  for (const Instance &I : G.m_Instances) {
    objects::Instance *NewInstance = Object.add_instances();
    NewInstance->set_id(I.m_Id);
    NewInstance->set_address(I.m_Address);
    NewInstance->set_data_centre(I.m_DataCentre);
    NewInstance->set_slots(I.m_SlotCount);
    NewInstance->set_connections(I.m_ConnectionLimit);
    NewInstance->set_leaving(I.m_IsLeaving);
  }
  Object.set_operation_id(OperationId);
  return encodeMessage(Object);
}

std::string readOperationId(const std::string &Name, const std::string &Payload) {
  // The field has the same name in all kinds of objects.
  nlohmann::json Root = nlohmann::json::parse(Payload, nullptr, false);
  if (Name.empty() || !Root.is_object())
    return {};
  auto It = Root.find("operation_id");
  if (It == Root.end())
    It = Root.find("operationId"); // protobuf JSON also accepts this spelling
  return It != Root.end() && It->is_string() ? It->get<std::string>() : std::string();
}

std::string encodeMessage(const google::protobuf::Message &Message) {
  google::protobuf::util::JsonPrintOptions Options;
  Options.preserve_proto_field_names = true;
  std::string Text;
  if (!google::protobuf::util::MessageToJsonString(Message, &Text, Options).ok())
    return {};
  return Text;
}

bool decodeMessage(const std::string &Text, google::protobuf::Message &Message) {
  google::protobuf::util::JsonParseOptions Options;
  // During an upgrade, hosts of a newer version may write fields that this version does not know.
  Options.ignore_unknown_fields = true;
  return google::protobuf::util::JsonStringToMessage(Text, &Message, Options).ok();
}

} // namespace quetzalpaddle

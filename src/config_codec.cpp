// Conversion between objects of the platform's store and the configuration structs.
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

using Decoded = ConfigValue; // with ParseFailure if a check fails

bool isId(std::string_view Text) {
  constexpr std::string_view Extra = "_.-";
  return !Text.empty() && Text.size() <= MaxIdLength && std::ranges::all_of(Text, [&](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') || (C >= '0' && C <= '9') ||
           Extra.find(C) != std::string_view::npos;
  });
}

// Accepts 127.0.0.1:80 and [::1]:80.
bool isAddress(const std::string &Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return false;
  uint32_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Error != std::errc{} || Stop != End || Port == 0 || Port > 65535)
    return false;
  in6_addr Parsed{}; // large enough for both families
  if (Text.front() == '[')
    return Text[Colon - 1] == ']' &&
           inet_pton(AF_INET6, Text.substr(1, Colon - 2).c_str(), &Parsed) == 1;
  return inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Parsed) == 1;
}

bool isPositive(double Value) { return std::isfinite(Value) && Value > 0; }

template <class Message> std::optional<Message> parseObject(const std::string &Payload) {
  Message Parsed;
  if (!decodeMessage(Payload, Parsed))
    return std::nullopt;
  return Parsed;
}

ParseFailure fail(std::string Message) { return {.m_Message = std::move(Message)}; }

Decoded decodeCustomer(const std::string &Id, const std::string &Payload) {
  auto Parsed = parseObject<objects::Customer>(Payload);
  if (!Parsed)
    return fail("not a customer object");
  if (Parsed->id() != Id)
    return fail(fmt::format("id \"{}\" differs from the object's name", Parsed->id()));
  if (!isPositive(Parsed->rate()))
    return fail("rate is not a positive finite number");
  if (!isPositive(Parsed->burst()))
    return fail("burst is not a positive finite number");
  return Customer{.m_Id = Id, .m_Rate = Parsed->rate(), .m_Burst = Parsed->burst()};
}

Decoded decodeKey(const std::string &Id, const std::string &Payload) {
  auto Parsed = parseObject<objects::Key>(Payload);
  if (!Parsed)
    return fail("not a key object");
  if (Parsed->id() != Id)
    return fail(fmt::format("id \"{}\" differs from the object's name", Parsed->id()));
  if (!isId(Parsed->customer()))
    return fail("customer is not a valid id");
  if (Parsed->hash().size() != HashSize)
    return fail(fmt::format("hash has {} bytes, not {}", Parsed->hash().size(), HashSize));
  return Key{.m_Id = Id,
             .m_Customer = Parsed->customer(),
             .m_Hash = Parsed->hash(),
             .m_IsWithdrawn = Parsed->withdrawn()};
}

Decoded decodeRoute(const std::string &Name, const std::string &Payload) {
  auto Parsed = parseObject<objects::Route>(Payload);
  if (!Parsed)
    return fail("not a route object");
  if (Parsed->name() != Name)
    return fail(fmt::format("name \"{}\" differs from the object's name", Parsed->name()));
  if (!isId(Parsed->group()))
    return fail("group is not a valid id");
  if (!std::ranges::all_of(Parsed->customers(), isId))
    return fail("a customer is not a valid id");
  return Route{.m_Name = Name,
               .m_Group = Parsed->group(),
               .m_AllowedCustomers = {Parsed->customers().begin(), Parsed->customers().end()},
               .m_IsPublic = Parsed->open(),
               .m_IsReadOnly = Parsed->read_only()};
}

// Returns what is wrong with an instance; empty if nothing is.
std::string checkInstance(const objects::Instance &I) {
  if (!isId(I.id()))
    return "an instance's id is not valid";
  if (!isAddress(I.address()))
    return fmt::format("address of instance {} is not IP:port", I.id());
  if (!isId(I.data_centre()))
    return fmt::format("data centre of instance {} is not a valid id", I.id());
  if (I.slots() < 1 || I.connections() < 1)
    return fmt::format("instance {} needs at least 1 slot and 1 connection", I.id());
  return {};
}

Decoded decodeGroup(const std::string &Name, const std::string &Payload) {
  auto Parsed = parseObject<objects::Group>(Payload);
  if (!Parsed)
    return fail("not a group object");
  if (Parsed->name() != Name)
    return fail(fmt::format("name \"{}\" differs from the object's name", Parsed->name()));
  Group Result{.m_Name = Name, .m_Instances = {}};
  std::set<std::string> Ids;
  for (const objects::Instance &I : Parsed->instances()) {
    if (std::string Wrong = checkInstance(I); !Wrong.empty())
      return fail(std::move(Wrong));
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

Decoded decodeRateSlots(const std::string &Id, const std::string &Payload) {
  auto Parsed = parseObject<objects::RateSlots>(Payload);
  if (!Parsed)
    return fail("not a rate object");
  if (Parsed->customer() != Id)
    return fail(fmt::format("customer \"{}\" differs from the object's name", Parsed->customer()));
  std::set<std::pair<std::string, uint32_t>> Seen;
  for (const objects::RateSlot &Slot : Parsed->slots()) {
    if (!isId(Slot.data_centre()) || (!Slot.holder().empty() && !isId(Slot.holder())))
      return fail("data centre or holder of a slot is not a valid id");
    if (!Seen.emplace(Slot.data_centre(), Slot.number()).second)
      return fail(fmt::format("slot {}/{} is listed twice", Slot.data_centre(), Slot.number()));
  }
  return OpaqueObject{};
}

Decoded decodeValue(std::string_view Name, const std::string &Payload) {
  struct Kind {
    std::string_view m_Prefix;
    Decoded (*m_Decode)(const std::string &Id, const std::string &Payload);
  };
  static constexpr std::array<Kind, 5> Kinds = {{{"config/customer/", decodeCustomer},
                                                 {"config/key/", decodeKey},
                                                 {"config/route/", decodeRoute},
                                                 {"config/group/", decodeGroup},
                                                 {"rate/", decodeRateSlots}}};
  const auto *Found = std::ranges::find_if(
      Kinds, [&](const Kind &Each) { return Name.starts_with(Each.m_Prefix); });
  if (Found == Kinds.end())
    return fail("unknown kind of object");
  std::string_view Id = Name.substr(Found->m_Prefix.size());
  if (!isId(Id))
    return fail("the object's name does not end in a valid id");
  return Found->m_Decode(std::string(Id), Payload);
}

} // namespace

ConfigChange decodeChange(const std::string &Name, uint64_t Revision, bool Deleted,
                          const std::string &Payload) {
  return {.m_Name = Name,
          .m_Revision = Revision,
          .m_Value = Deleted ? ConfigValue{std::monostate{}} : decodeValue(Name, Payload),
          .m_Payload = Deleted ? std::string() : Payload};
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
  for (const std::string &Each : R.m_AllowedCustomers)
    Object.add_customers(Each);
  Object.set_open(R.m_IsPublic);
  Object.set_read_only(R.m_IsReadOnly);
  Object.set_operation_id(OperationId);
  return encodeMessage(Object);
}

std::string encodeGroup(const Group &G, const std::string &OperationId) {
  objects::Group Object;
  Object.set_name(G.m_Name);
  for (const Instance &I : G.m_Instances) {
    objects::Instance *Added = Object.add_instances();
    Added->set_id(I.m_Id);
    Added->set_address(I.m_Address);
    Added->set_data_centre(I.m_DataCentre);
    Added->set_slots(I.m_SlotCount);
    Added->set_connections(I.m_ConnectionLimit);
    Added->set_leaving(I.m_IsLeaving);
  }
  Object.set_operation_id(OperationId);
  return encodeMessage(Object);
}

std::string readOperationId(const std::string &Name, const std::string &Payload) {
  // Every kind of object has the field under the same name.
  nlohmann::json Parsed = nlohmann::json::parse(Payload, nullptr, false);
  if (Name.empty() || !Parsed.is_object())
    return {};
  auto Found = Parsed.find("operation_id");
  if (Found == Parsed.end())
    Found = Parsed.find("operationId"); // the other spelling that protobuf JSON accepts
  return Found != Parsed.end() && Found->is_string() ? Found->get<std::string>() : std::string();
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
  // A newer version may have added fields; hosts of both versions run during an upgrade.
  Options.ignore_unknown_fields = true;
  return google::protobuf::util::JsonStringToMessage(Text, &Message, Options).ok();
}

} // namespace quetzalpaddle

// Converts between objects of the platform's store and configuration structs. Objects are messages
// of proto/objects.proto encoded as protobuf JSON, which keeps the store readable for people.
#pragma once

#include "objects.pb.h"
#include "quetzalpaddle.h"

namespace quetzalpaddle {

// Decodes an object under config/ or rate/. The value is a ParseFailure if the payload does not
// parse, is invalid or does not match the object name.
ConfigChange decodeChange(const std::string &Name, uint64_t Revision, bool IsDeleted,
                          const std::string &Payload);

std::string encodeCustomer(const Customer &C, const std::string &OperationId);
std::string encodeKey(const Key &K, const std::string &OperationId);
std::string encodeRoute(const Route &R, const std::string &OperationId);
std::string encodeGroup(const Group &G, const std::string &OperationId);

// Returns the operation id of an object's last change; empty if the payload does not parse.
std::string readOperationId(const std::string &Name, const std::string &Payload);

// Encodes any message as JSON (empty if that fails) and decodes it (false if it does not parse).
std::string encodeMessage(const google::protobuf::Message &Message);
bool decodeMessage(const std::string &Text, google::protobuf::Message &Message);

} // namespace quetzalpaddle

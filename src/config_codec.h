// Objects of the platform's store to configuration structs and back (proto/objects.proto, as
// protobuf JSON, so that a person can read the store).
#pragma once

#include "objects.pb.h"
#include "quetzalpaddle.h"

namespace quetzalpaddle {

// Decodes one object under config/. A value that does not parse or contradicts its name becomes a
// ParseFailure.
ConfigChange decodeChange(const std::string &Name, uint64_t Revision, bool IsDeleted,
                          const std::string &Payload);

std::string encodeCustomer(const Customer &C, const std::string &OperationId);
std::string encodeKey(const Key &K, const std::string &OperationId);
std::string encodeRoute(const Route &R, const std::string &OperationId);
std::string encodeGroup(const Group &G, const std::string &OperationId);

// Returns the operation id of an object's last change; empty if it does not parse.
std::string readOperationId(const std::string &Name, const std::string &Payload);

// JSON text of an object that is not under config/, and back. False if it does not parse.
std::string encodeMessage(const google::protobuf::Message &Message);
bool decodeMessage(const std::string &Text, google::protobuf::Message &Message);

} // namespace quetzalpaddle

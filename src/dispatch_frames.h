// Frames to instances for the requests of other hosts, and replies made of their answers; no state.
#pragma once

#include "peer.h"

namespace quetzalpaddle {

// Returns whether the request is a READ, WRITE or BEGIN, which a leaving instance does not get.
bool isNewWork(peer::Kind ReqKind);
// Returns whether the request belongs to an open transaction.
bool isInTransaction(peer::Kind ReqKind);

// Makes the reply to a refused request. A refused RESOLVE gets the class UNKNOWN, because the
// refusal does not show the outcome of the earlier write.
peer::ForwardReply makeRefusal(peer::Kind ReqKind, Reason ReasonCode, std::string Message = {});
// Makes the reply to a request whose connection has failed.
peer::ForwardReply makeLinkReply(peer::Kind ReqKind, LinkError Error);
// Makes the reply of an instance's answer, whose rows it takes. KnownTerm is the highest known term
// of the group: a commit acknowledged in a lower term comes from a replaced primary and may be
// lost.
peer::ForwardReply makeFrameReply(peer::Kind ReqKind, const std::string &Instance,
                                  instance::ServerFrame &Frame, uint64_t KnownTerm);

instance::ClientFrame makeFrame(const peer::ForwardRequest &Request);

enum class ConnectionAction { KeepPinned, Release, Close };

// Decides what to do with the connection after an answer. It is released to the pool only if no
// transaction can be open on it.
ConnectionAction decideConnectionAction(peer::Kind ReqKind, instance::Code Code);

} // namespace quetzalpaddle

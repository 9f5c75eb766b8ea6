// Client of a database instance (proto/instance.proto). Handlers are called through the Executor
// that the caller passes.
#pragma once

#include "instance.pb.h"
#include "quetzalpaddle.h"

#include <memory>

namespace quetzalpaddle {

// Runs a function on the thread that owns the caller's state.
using Executor = std::function<void(std::function<void()>)>;

enum class LinkError {
  Unreachable, // no connection, or the instance refused it: nothing was sent
  Closed,      // the connection closed before the answer arrived
  TimedOut,    // no answer in time; the connection is closed
  Mismatch,    // the answer's sequence number belongs to another frame; the connection is closed
};

struct InstanceConnection; // one database connection

using OpenHandler = std::function<void(std::optional<LinkError>)>;
using FrameHandler = std::function<void(std::variant<instance::ServerFrame, LinkError>)>;

// Opens a connection. OnOpened is called once, without an error when the instance has accepted the
// connection.
std::shared_ptr<InstanceConnection> openConnection(const std::string &Address, Duration Timeout,
                                                   Executor Run, OpenHandler OnOpened);

// Sends a frame and sets its sequence number. OnAnswer is called once. Only one frame may be in
// progress: a second one gets LinkError::Unreachable, without being sent.
void sendFrame(const std::shared_ptr<InstanceConnection> &Connection, instance::ClientFrame Frame,
               Duration Timeout, FrameHandler OnAnswer);

// Closes the connection; a frame in progress gets LinkError::Closed.
void closeConnection(const std::shared_ptr<InstanceConnection> &Connection);

// Control calls, independent of any connection. OnAnswer is called once.
template <class T> using ControlHandler = std::function<void(std::variant<T, LinkError>)>;

void requestStatus(const std::string &Address, Duration Timeout, const Executor &Run,
                   ControlHandler<instance::StatusReply> OnAnswer);
void sendFence(const std::string &Address, const instance::FenceRequest &Request, Duration Timeout,
               const Executor &Run, ControlHandler<instance::FenceReply> OnAnswer);
void sendPromote(const std::string &Address, const instance::PromoteRequest &Request,
                 Duration Timeout, const Executor &Run,
                 ControlHandler<instance::PromoteReply> OnAnswer);
void sendFollow(const std::string &Address, const instance::FollowRequest &Request,
                Duration Timeout, const Executor &Run,
                ControlHandler<instance::FollowReply> OnAnswer);

} // namespace quetzalpaddle

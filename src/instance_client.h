// Adapter to a database instance (proto/instance.proto). Handlers run through the Executor given.
#pragma once

#include "instance.pb.h"
#include "quetzalpaddle.h"

#include <memory>

namespace quetzalpaddle {

// Runs a function on the thread that owns the caller's state.
using Executor = std::function<void(std::function<void()>)>;

enum class LinkError {
  Unreachable, // could not be reached, or refused the connection: nothing was sent
  Closed,      // the connection ended before the answer came
  TimedOut,    // no answer in time; the connection is closed
  Mismatch,    // an answer came that belongs to another frame; the connection is closed
};

struct InstanceConnection; // one database connection

using OpenHandler = std::function<void(std::optional<LinkError>)>;
using FrameHandler = std::function<void(std::variant<instance::ServerFrame, LinkError>)>;

// Opens a connection. OnOpened is called once.
std::shared_ptr<InstanceConnection> openConnection(const std::string &Address, Duration Timeout,
                                                   Executor Run, OpenHandler OnOpened);

// Sends one frame; its sequence number is set here. One frame at a time. OnAnswer is called once.
void sendFrame(const std::shared_ptr<InstanceConnection> &Connection, instance::ClientFrame Frame,
               Duration Timeout, FrameHandler OnAnswer);

// Ends the connection; a frame in progress is answered with LinkError::Closed.
void closeConnection(const std::shared_ptr<InstanceConnection> &Connection);

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

// Sockets of an entry host for the statement protocol: lines to callers and instances, framed
// messages to other hosts, and deadlines. Everything runs on the control thread.
#pragma once

#include "answer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace quetzalpaddle {

template <class Result> using Awaitable = boost::asio::awaitable<Result>;
using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;

// Completes with (error, result) in place of exceptions.
inline constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

// Time that goes on while the machine is suspended, unlike the steady clock.
TimePoint bootNow();

// "IP:port"; nothing if it is not one.
std::optional<Tcp::endpoint> parseEndpoint(const std::string &Address);

// No delay for small packets, and probes that close a connection whose far end went silent.
void configureSocket(Tcp::socket &Socket);

// Runs functions when their time has come. Checked by the host's tick, so that the many deadlines
// of requests cost no timer each.
struct DeadlineQueue {
  std::multimap<TimePoint, std::pair<uint64_t, std::function<void()>>> m_Deadlines;
  std::map<uint64_t, TimePoint> m_TimeById;
  uint64_t m_NextId = 1;
};
uint64_t addDeadline(DeadlineQueue &Queue, TimePoint At, std::function<void()> Callback);
void cancelDeadline(DeadlineQueue &Queue, uint64_t Id);
void runDeadlines(DeadlineQueue &Queue, TimePoint Now);

// Cancels its deadline when it goes out of scope.
class ScopedDeadline {
public:
  ScopedDeadline(DeadlineQueue &Queue, TimePoint At, std::function<void()> Callback)
      : m_DeadlineQueue(Queue), m_Id(addDeadline(Queue, At, std::move(Callback))) {}
  ~ScopedDeadline() { cancelDeadline(m_DeadlineQueue, m_Id); }
  ScopedDeadline(const ScopedDeadline &) = delete;
  ScopedDeadline &operator=(const ScopedDeadline &) = delete;

private:
  DeadlineQueue &m_DeadlineQueue;
  uint64_t m_Id;
};

// Lets one coroutine wait until another one wakes it.
class Wakeup {
public:
  explicit Wakeup(boost::asio::io_context &Io) : m_Timer(Io, Clock::time_point::max()) {}
  Awaitable<void> wait();
  void wake();
  bool isWoken() const { return m_IsWoken; }

private:
  boost::asio::steady_timer m_Timer;
  bool m_IsWoken = false;
};

// A connection of text lines ended by CR LF (a lone LF is accepted).
struct LineConnection {
  explicit LineConnection(Tcp::socket Socket) : m_Socket(std::move(Socket)) {}
  Tcp::socket m_Socket;
  std::string m_Input;
  size_t m_ConsumedBytes = 0; // of m_Input
  bool m_IsTooLong = false;
};

// The next line without its end; nothing if the connection ended or the line is over the limit.
Awaitable<std::optional<std::string>> readLine(LineConnection &Connection, size_t MaxBytes);

// Whether a whole line can be read without waiting.
bool hasLine(const LineConnection &Connection);

// Returns whether everything was written.
Awaitable<bool> writeText(LineConnection &Connection, std::string Text);

void closeSocket(Tcp::socket &Socket);

// Waits; for pauses in loops.
Awaitable<void> sleepFor(boost::asio::io_context &Io, Duration Delay);

// A connection of messages behind a length of four bytes. Messages are sent in order in the
// background; the connection closes itself when a peer does not read.
struct FrameConnection : std::enable_shared_from_this<FrameConnection> {
  explicit FrameConnection(Tcp::socket Socket) : m_Socket(std::move(Socket)) {}
  Tcp::socket m_Socket;
  std::string m_Output;
  std::string m_OutputBeingSent;
  std::string m_Input;
  bool m_IsSending = false;
  bool m_IsClosed = false;
};

void sendFrame(const std::shared_ptr<FrameConnection> &Connection, const std::string &Message);

// Calls Handle for each message until the connection ends.
Awaitable<void> readFrames(std::shared_ptr<FrameConnection> Connection,
                           std::function<void(std::string_view)> Handle);

void closeFrames(FrameConnection &Connection);

} // namespace quetzalpaddle

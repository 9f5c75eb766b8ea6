// Sockets of an entry host for the line protocol: text lines to callers and instances, framed
// messages to other hosts, and deadlines. Everything runs on the control thread.
#pragma once

#include "byte_budget.h"

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

// Completion token: co_await returns (error, result) instead of throwing.
inline constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

// Returns the time since boot. Unlike the steady clock it includes time in suspend.
TimePoint bootNow();

// Parses "IP:port" with an IPv4 address. Returns nothing if the text is malformed.
std::optional<Tcp::endpoint> parseEndpoint(const std::string &Address);

// Disables Nagle's algorithm, and enables keep-alive probes and an acknowledgement timeout, which
// close a connection whose remote end has stopped responding.
void configureSocket(Tcp::socket &Socket);

// Runs callbacks at their deadlines. The host's tick checks the queue, so that the many deadlines
// of requests need no timer of their own.
struct DeadlineQueue {
  // By time; the uint64_t of the pair is the deadline's id, by which m_DeadlineTimes is keyed.
  std::multimap<TimePoint, std::pair<uint64_t, std::function<void()>>> m_Deadlines;
  std::map<uint64_t, TimePoint> m_DeadlineTimes;
  uint64_t m_NextId = 1;
};
uint64_t addDeadline(DeadlineQueue &Queue, TimePoint At, std::function<void()> Callback);
void cancelDeadline(DeadlineQueue &Queue, uint64_t Id);
void runDeadlines(DeadlineQueue &Queue, TimePoint Now);

// A deadline that is cancelled when the object goes out of scope.
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

// A one-shot event: one coroutine waits until another one wakes it.
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

// A connection that carries text lines terminated by CR LF. A line may hold any other bytes, a lone
// CR or LF among them.
struct LineConnection {
  explicit LineConnection(Tcp::socket Socket) : m_Socket(std::move(Socket)) {}
  Tcp::socket m_Socket;
  std::string m_Input;
  size_t m_ConsumedBytes = 0; // at the start of m_Input
  size_t m_SearchedBytes = 0; // at the start of m_Input, known to hold no terminator
  size_t m_PendingBytes = 0;  // received and not yet returned as lines
  bool m_IsTooLong = false;
  bool m_HasEnded = false; // closed or failed; a cancelled read does not set it
  // Counts what the connection holds; null: nothing does. The owner opens the account.
  ByteBudget *m_Budget = nullptr;
  ByteAccount m_Account;
  bool m_EndsOverBudget = false; // if it may not hold more, reading ends instead of pausing
};

// Reads the next line, without its terminator. Returns nothing if the connection ended, which sets
// m_HasEnded, if the line with its terminator is longer than MaxBytes, which sets m_IsTooLong, or
// if the read was cancelled; another call then continues with the part that was received. While the
// connection may not hold more bytes, it is not read.
Awaitable<std::optional<std::string>> readLine(LineConnection &Connection, size_t MaxBytes);

// Returns the next line if all of it has been received already. Sets m_IsTooLong like readLine().
std::optional<std::string> takeLine(LineConnection &Connection, size_t MaxBytes);

// Receives what has arrived, without waiting. Returns false if the connection has ended.
bool receiveAvailable(LineConnection &Connection);

// Returns whether a complete line, or a part of one, has been received already.
bool hasLine(const LineConnection &Connection);
bool hasPartialLine(const LineConnection &Connection);

// Writes all of Text. Returns false if the connection fails.
Awaitable<bool> writeText(LineConnection &Connection, std::string Text);

void closeSocket(Tcp::socket &Socket);

// Suspends the coroutine for a time.
Awaitable<void> sleepFor(boost::asio::io_context &Io, Duration Delay);

// A connection that carries messages, each after its length as a 4-byte big-endian integer.
// Messages are sent in order in the background. The connection is closed if the peer does not read
// and too much output is waiting.
struct FrameConnection : std::enable_shared_from_this<FrameConnection> {
  explicit FrameConnection(Tcp::socket Socket) : m_Socket(std::move(Socket)) {}
  Tcp::socket m_Socket;
  std::string m_Output;
  std::string m_OutputBeingSent;
  std::string m_Input;
  size_t m_SkippedBytes = 0; // still to be received of a message that is skipped
  bool m_IsSending = false;
  bool m_IsClosed = false;
  // Counts what the connection holds; null: nothing does. The owner opens the account.
  ByteBudget *m_Budget = nullptr;
  ByteAccount m_Account;
  size_t m_ReservedBytes = 0;           // for the message that is being received
  std::function<void(size_t)> m_OnSkip; // is told the size of a message that is skipped
};

void sendFrame(const std::shared_ptr<FrameConnection> &Connection, const std::string &Message);

// Reads messages and calls Handle for each one until the connection ends. A message for which there
// is no room in time is skipped.
Awaitable<void> readFrames(std::shared_ptr<FrameConnection> Connection,
                           std::function<void(std::string_view)> Handle);

void closeFrameConnection(FrameConnection &Connection);

} // namespace quetzalpaddle

// Sockets and deadlines of an entry host for the line protocol.
#include "line_transport.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

// A connection is closed if sent data is not acknowledged for this long.
constexpr Millis AckTimeout{2500};
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbeCount = 2;

constexpr std::string_view LineEnd = "\r\n";
constexpr size_t ReadChunkBytes = 8192;
constexpr size_t FrameHeaderBytes = 4;
constexpr size_t MaxFrameBytes = 8 << 20;
// A connection with more unsent output than this is closed.
constexpr size_t MaxOutputBytes = 16 << 20;

// Buffers with more capacity than this are released once they hold little.
constexpr size_t KeptCapacityBytes = 64 << 10;
// Interval of checks whether a paused connection may be read again.
constexpr Millis PausePollInterval{20};
// A frame that has no room for this long is skipped: callers of both hosts share the link.
constexpr Millis FrameRoomTimeout{1000};

// Releases the memory of a buffer that was large.
void shrinkBuffer(std::string &Buffer) {
  if (Buffer.capacity() > KeptCapacityBytes && Buffer.size() < KeptCapacityBytes / 4)
    std::string(Buffer).swap(Buffer);
}

// Waits until a connection may hold another chunk. Returns false if it may not and is not to wait.
Awaitable<bool> waitForRoom(LineConnection &Connection) {
  if (Connection.m_EndsOverBudget)
    co_return false;
  while (Connection.m_Socket.is_open() &&
         !mayReadOn(*Connection.m_Budget, Connection.m_Account, ReadChunkBytes, bootNow())) {
    asio::steady_timer Timer(Connection.m_Socket.get_executor(), PausePollInterval);
    co_await Timer.async_wait(AsTuple);
  }
  co_return true;
}

// Records what a connection holds and since when a message has begun.
void countInput(LineConnection &Connection) {
  setHeld(*Connection.m_Budget, Connection.m_Account, HeldKind::Inbound, Connection.m_Input.size());
  TimePoint &Deadline = Connection.m_Account.m_MessageDeadline;
  if (!Connection.m_Input.empty() && !Connection.m_EndsOverBudget && Deadline == TimePoint{})
    Deadline = bootNow() + Connection.m_Budget->m_Limits.m_MessageTimeout;
}

void countFrames(FrameConnection &Connection) {
  if (Connection.m_Budget)
    setHeld(*Connection.m_Budget, Connection.m_Account, HeldKind::Link,
            std::max(Connection.m_ReservedBytes, Connection.m_Input.size()) +
                Connection.m_Output.size() + Connection.m_OutputBeingSent.size());
}

size_t frameLength(std::string_view Header) {
  size_t Length = 0;
  for (char Byte : Header.substr(0, FrameHeaderBytes))
    Length = Length << 8 | static_cast<unsigned char>(Byte);
  return Length;
}

Awaitable<void> flushFrames(std::shared_ptr<FrameConnection> Connection) {
  while (!Connection->m_Output.empty() && !Connection->m_IsClosed) {
    Connection->m_OutputBeingSent.clear();
    std::swap(Connection->m_OutputBeingSent, Connection->m_Output);
    auto [Error, BytesWritten] = co_await asio::async_write(
        Connection->m_Socket, asio::buffer(Connection->m_OutputBeingSent), AsTuple);
    if (Error)
      closeFrameConnection(*Connection);
    Connection->m_OutputBeingSent.clear();
    shrinkBuffer(Connection->m_OutputBeingSent);
    countFrames(*Connection);
  }
  Connection->m_IsSending = false;
}

} // namespace

std::optional<Tcp::endpoint> parseEndpoint(const std::string &Address) {
  size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  auto [ParsedEnd, ParseStatus] = std::from_chars(Address.data() + Colon + 1, End, Port);
  boost::system::error_code Error;
  auto Ip = asio::ip::make_address_v4(Address.substr(0, Colon), Error);
  if (Error || ParseStatus != std::errc() || ParsedEnd != End)
    return std::nullopt;
  return Tcp::endpoint(Ip, Port);
}

void configureSocket(Tcp::socket &Socket) {
  boost::system::error_code IgnoredError; // the socket works without these options as well
  Socket.set_option(Tcp::no_delay(true), IgnoredError);
  Socket.set_option(asio::socket_base::keep_alive(true), IgnoredError);
  auto SetOption = [&](int Name, int Value) {
    setsockopt(Socket.native_handle(), IPPROTO_TCP, Name, &Value, sizeof Value);
  };
  SetOption(TCP_KEEPIDLE, KeepAliveIdleSeconds);
  SetOption(TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  SetOption(TCP_KEEPCNT, KeepAliveProbeCount);
  SetOption(TCP_USER_TIMEOUT, static_cast<int>(AckTimeout.count()));
}

uint64_t addDeadline(DeadlineQueue &Queue, TimePoint At, std::function<void()> Callback) {
  uint64_t Id = Queue.m_NextId++;
  Queue.m_Deadlines.emplace(At, std::pair{Id, std::move(Callback)});
  Queue.m_DeadlineTimes.emplace(Id, At);
  return Id;
}

void cancelDeadline(DeadlineQueue &Queue, uint64_t Id) {
  auto It = Queue.m_DeadlineTimes.find(Id);
  if (It == Queue.m_DeadlineTimes.end())
    return;
  auto [First, Last] = Queue.m_Deadlines.equal_range(It->second);
  auto Entry =
      std::find_if(First, Last, [&](const auto &Deadline) { return Deadline.second.first == Id; });
  if (Entry != Last)
    Queue.m_Deadlines.erase(Entry);
  Queue.m_DeadlineTimes.erase(It);
}

void runDeadlines(DeadlineQueue &Queue, TimePoint Now) {
  while (!Queue.m_Deadlines.empty() && Queue.m_Deadlines.begin()->first <= Now) {
    auto DueDeadline = std::move(Queue.m_Deadlines.begin()->second);
    Queue.m_Deadlines.erase(Queue.m_Deadlines.begin());
    Queue.m_DeadlineTimes.erase(DueDeadline.first);
    DueDeadline.second();
  }
}

Awaitable<void> Wakeup::wait() {
  if (!m_IsWoken)
    co_await m_Timer.async_wait(AsTuple);
}

void Wakeup::wake() {
  m_IsWoken = true;
  m_Timer.cancel();
}

bool hasLine(const LineConnection &Connection) {
  return Connection.m_Input.find(LineEnd, Connection.m_ConsumedBytes) != std::string::npos;
}

bool hasPartialLine(const LineConnection &Connection) {
  return Connection.m_PendingBytes > 0 && !hasLine(Connection);
}

std::optional<std::string> takeLine(LineConnection &Connection, size_t MaxBytes) {
  size_t Start = Connection.m_ConsumedBytes;
  size_t End = Connection.m_Input.find(LineEnd, std::max(Start, Connection.m_SearchedBytes));
  size_t Size = std::min(End, Connection.m_Input.size()) - Start;
  if (Size + LineEnd.size() > MaxBytes) {
    Connection.m_IsTooLong = true;
    return std::nullopt;
  }
  if (End == std::string::npos) {
    // The first byte of the terminator may have arrived already.
    Connection.m_SearchedBytes = Size == 0 ? 0 : Start + Size - 1;
    return std::nullopt;
  }
  std::string Line = Connection.m_Input.substr(Start, Size);
  Connection.m_ConsumedBytes = End + LineEnd.size();
  Connection.m_SearchedBytes = 0;
  if (Connection.m_ConsumedBytes == Connection.m_Input.size()) {
    Connection.m_Input.clear();
    Connection.m_ConsumedBytes = 0;
  }
  Connection.m_PendingBytes = Connection.m_Input.size() - Connection.m_ConsumedBytes;
  if (Connection.m_PendingBytes == 0)
    shrinkBuffer(Connection.m_Input);
  if (Connection.m_Budget) {
    Connection.m_Account.m_MessageDeadline = {};
    setHeld(*Connection.m_Budget, Connection.m_Account, HeldKind::Inbound,
            Connection.m_Input.size());
  }
  return Line;
}

Awaitable<std::optional<std::string>> readLine(LineConnection &Connection, size_t MaxBytes) {
  for (;;) {
    auto Line = takeLine(Connection, MaxBytes);
    if (Line || Connection.m_IsTooLong)
      co_return Line;
    size_t ConsumedBytes = std::exchange(Connection.m_ConsumedBytes, 0);
    Connection.m_Input.erase(0, ConsumedBytes);
    Connection.m_SearchedBytes -= std::min(ConsumedBytes, Connection.m_SearchedBytes);
    shrinkBuffer(Connection.m_Input);
    if (Connection.m_Budget) {
      countInput(Connection);
      if (!mayReadOn(*Connection.m_Budget, Connection.m_Account, ReadChunkBytes, bootNow()) &&
          !co_await waitForRoom(Connection)) {
        Connection.m_HasEnded = true;
        co_return std::nullopt;
      }
    }
    size_t Size = Connection.m_Input.size();
    Connection.m_Input.resize(Size + ReadChunkBytes);
    auto [Error, BytesRead] = co_await Connection.m_Socket.async_read_some(
        asio::buffer(Connection.m_Input.data() + Size, ReadChunkBytes), AsTuple);
    Connection.m_Input.resize(Size + BytesRead);
    Connection.m_PendingBytes = Size + BytesRead;
    if (Error) {
      Connection.m_HasEnded = Error != asio::error::operation_aborted;
      co_return std::nullopt;
    }
  }
}

bool receiveAvailable(LineConnection &Connection) {
  std::array<char, ReadChunkBytes> Chunk{};
  for (;;) {
    ssize_t BytesRead =
        recv(Connection.m_Socket.native_handle(), Chunk.data(), Chunk.size(), MSG_DONTWAIT);
    if (BytesRead <= 0)
      return BytesRead < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    Connection.m_Input.append(Chunk.data(), static_cast<size_t>(BytesRead));
    Connection.m_PendingBytes += static_cast<size_t>(BytesRead);
  }
}

Awaitable<bool> writeText(LineConnection &Connection, std::string Text) {
  auto [Error, BytesWritten] =
      co_await asio::async_write(Connection.m_Socket, asio::buffer(Text), AsTuple);
  co_return !Error;
}

void closeSocket(Tcp::socket &Socket) {
  boost::system::error_code IgnoredError; // the socket may be closed already
  Socket.shutdown(Tcp::socket::shutdown_both, IgnoredError);
  Socket.close(IgnoredError);
}

void sendFrame(const std::shared_ptr<FrameConnection> &Connection, const std::string &Message) {
  if (Connection->m_IsClosed)
    return;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Connection->m_Output.push_back(static_cast<char>(Message.size() >> Shift & 0xff));
  Connection->m_Output += Message;
  if (Connection->m_Output.size() > MaxOutputBytes) {
    closeFrameConnection(*Connection);
    return;
  }
  countFrames(*Connection);
  if (!std::exchange(Connection->m_IsSending, true))
    asio::co_spawn(Connection->m_Socket.get_executor(), flushFrames(Connection), asio::detached);
}

namespace {

// Reserves room for the message whose first bytes, all of m_Input, were received; without room in
// time the message is skipped.
Awaitable<void> reserveFrame(const std::shared_ptr<FrameConnection> &Connection) {
  if (Connection->m_Input.empty()) {
    if (Connection->m_SkippedBytes == 0)
      Connection->m_Account.m_MessageDeadline = {};
    co_return;
  }
  ByteBudget &Budget = *Connection->m_Budget;
  ByteAccount &Account = Connection->m_Account;
  TimePoint Now = bootNow();
  if (Account.m_MessageDeadline == TimePoint{})
    Account.m_MessageDeadline = Now + Budget.m_Limits.m_FrameTimeout;
  if (Connection->m_Input.size() < FrameHeaderBytes || Connection->m_ReservedBytes > 0)
    co_return;
  size_t Size = FrameHeaderBytes + frameLength(Connection->m_Input);
  TimePoint GiveUpAt = Now + FrameRoomTimeout;
  while (!Connection->m_IsClosed && !mayReadOn(Budget, Account, Size, Now)) {
    if (Now >= GiveUpAt) {
      Connection->m_SkippedBytes = Size - Connection->m_Input.size();
      Connection->m_Input = {};
      Account.m_PausedSince = {};
      if (Connection->m_OnSkip)
        Connection->m_OnSkip(Size);
      co_return;
    }
    asio::steady_timer Timer(Connection->m_Socket.get_executor(), PausePollInterval);
    co_await Timer.async_wait(AsTuple);
    Now = bootNow();
  }
  Connection->m_ReservedBytes = Size;
}

} // namespace

Awaitable<void> readFrames(std::shared_ptr<FrameConnection> Connection,
                           std::function<void(std::string_view)> Handle) {
  while (!Connection->m_IsClosed) {
    size_t Size = Connection->m_Input.size();
    Connection->m_Input.resize(Size + ReadChunkBytes);
    auto [Error, BytesRead] = co_await Connection->m_Socket.async_read_some(
        asio::buffer(Connection->m_Input.data() + Size, ReadChunkBytes), AsTuple);
    Connection->m_Input.resize(Size + BytesRead);
    if (Error)
      break;
    size_t SkippedBytes = std::min(Connection->m_SkippedBytes, Connection->m_Input.size());
    Connection->m_SkippedBytes -= SkippedBytes;
    std::string_view Rest = std::string_view(Connection->m_Input).substr(SkippedBytes);
    while (Rest.size() >= FrameHeaderBytes) {
      size_t Length = frameLength(Rest);
      if (Length > MaxFrameBytes) {
        closeFrameConnection(*Connection);
        co_return;
      }
      if (Rest.size() < FrameHeaderBytes + Length)
        break;
      Handle(Rest.substr(FrameHeaderBytes, Length));
      Rest.remove_prefix(FrameHeaderBytes + Length);
      Connection->m_ReservedBytes = 0;
      Connection->m_Account.m_MessageDeadline = {};
    }
    Connection->m_Input.erase(0, Connection->m_Input.size() - Rest.size());
    shrinkBuffer(Connection->m_Input);
    if (Connection->m_Budget) {
      co_await reserveFrame(Connection);
      countFrames(*Connection);
    }
  }
  closeFrameConnection(*Connection);
}

void closeFrameConnection(FrameConnection &Connection) {
  if (!std::exchange(Connection.m_IsClosed, true))
    closeSocket(Connection.m_Socket);
}

} // namespace quetzalpaddle

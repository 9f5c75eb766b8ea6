// Sockets of the statement protocol's entry host.
#include "line_transport.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <netinet/tcp.h>
#include <utility>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

// A far end that acknowledges nothing for this long is gone.
constexpr Millis SilentAfter{2500};
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

constexpr size_t ReadBytes = 8192;
constexpr size_t FrameHeaderBytes = 4;
constexpr size_t MaxFrameBytes = 8 << 20;
// Output waiting for a peer that does not read.
constexpr size_t MaxOutputBytes = 16 << 20;

size_t frameLength(std::string_view Header) {
  size_t Length = 0;
  for (char Byte : Header.substr(0, FrameHeaderBytes))
    Length = Length << 8 | static_cast<unsigned char>(Byte);
  return Length;
}

Awaitable<void> flushFrames(std::shared_ptr<FrameConnection> C) {
  while (!C->m_Output.empty() && !C->m_IsClosed) {
    C->m_OutputBeingSent.clear();
    std::swap(C->m_OutputBeingSent, C->m_Output);
    auto [Error, Written] =
        co_await asio::async_write(C->m_Socket, asio::buffer(C->m_OutputBeingSent), AsTuple);
    if (Error)
      closeFrames(*C);
  }
  C->m_IsSending = false;
}

} // namespace

TimePoint bootNow() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::seconds(Time.tv_sec) + std::chrono::nanoseconds(Time.tv_nsec));
}

std::optional<Tcp::endpoint> parseEndpoint(const std::string &Address) {
  size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  auto [Stop, Wrong] = std::from_chars(Address.data() + Colon + 1, End, Port);
  boost::system::error_code Error;
  auto Ip = asio::ip::make_address_v4(Address.substr(0, Colon), Error);
  if (Error || Wrong != std::errc() || Stop != End)
    return std::nullopt;
  return Tcp::endpoint(Ip, Port);
}

void configureSocket(Tcp::socket &Socket) {
  boost::system::error_code Ignored; // a socket without these options still works
  Socket.set_option(Tcp::no_delay(true), Ignored);
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  auto SetOption = [&](int Name, int Value) {
    setsockopt(Socket.native_handle(), IPPROTO_TCP, Name, &Value, sizeof Value);
  };
  SetOption(TCP_KEEPIDLE, KeepAliveIdleSeconds);
  SetOption(TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  SetOption(TCP_KEEPCNT, KeepAliveProbes);
  SetOption(TCP_USER_TIMEOUT, static_cast<int>(SilentAfter.count()));
}

uint64_t addDeadline(DeadlineQueue &Queue, TimePoint At, std::function<void()> Callback) {
  uint64_t Id = Queue.m_NextId++;
  Queue.m_Deadlines.emplace(At, std::pair{Id, std::move(Callback)});
  Queue.m_TimeById.emplace(Id, At);
  return Id;
}

void cancelDeadline(DeadlineQueue &Queue, uint64_t Id) {
  auto Found = Queue.m_TimeById.find(Id);
  if (Found == Queue.m_TimeById.end())
    return;
  auto [First, Last] = Queue.m_Deadlines.equal_range(Found->second);
  auto Entry =
      std::find_if(First, Last, [&](const auto &Deadline) { return Deadline.second.first == Id; });
  if (Entry != Last)
    Queue.m_Deadlines.erase(Entry);
  Queue.m_TimeById.erase(Found);
}

void runDeadlines(DeadlineQueue &Queue, TimePoint Now) {
  while (!Queue.m_Deadlines.empty() && Queue.m_Deadlines.begin()->first <= Now) {
    auto Due = std::move(Queue.m_Deadlines.begin()->second);
    Queue.m_Deadlines.erase(Queue.m_Deadlines.begin());
    Queue.m_TimeById.erase(Due.first);
    Due.second();
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

bool hasLine(const LineConnection &C) {
  return C.m_Input.find('\n', C.m_ConsumedBytes) != std::string::npos;
}

Awaitable<std::optional<std::string>> readLine(LineConnection &C, size_t MaxBytes) {
  for (size_t Searched = C.m_ConsumedBytes;;) {
    size_t End = C.m_Input.find('\n', Searched);
    if (End != std::string::npos) {
      std::string Line = C.m_Input.substr(C.m_ConsumedBytes, End - C.m_ConsumedBytes);
      C.m_ConsumedBytes = End + 1;
      if (C.m_ConsumedBytes == C.m_Input.size()) {
        C.m_Input.clear();
        C.m_ConsumedBytes = 0;
      }
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      co_return Line;
    }
    C.m_Input.erase(0, std::exchange(C.m_ConsumedBytes, 0));
    size_t Size = C.m_Input.size();
    if (Size > MaxBytes) {
      C.m_IsTooLong = true;
      co_return std::nullopt;
    }
    Searched = Size;
    C.m_Input.resize(Size + ReadBytes);
    auto [Error, Read] = co_await C.m_Socket.async_read_some(
        asio::buffer(C.m_Input.data() + Size, ReadBytes), AsTuple);
    C.m_Input.resize(Size + Read);
    if (Error)
      co_return std::nullopt;
  }
}

Awaitable<bool> writeText(LineConnection &C, std::string Text) {
  auto [Error, Written] = co_await asio::async_write(C.m_Socket, asio::buffer(Text), AsTuple);
  co_return !Error;
}

void closeSocket(Tcp::socket &Socket) {
  boost::system::error_code Ignored; // it may be closed already
  Socket.shutdown(Tcp::socket::shutdown_both, Ignored);
  Socket.close(Ignored);
}

Awaitable<void> sleepFor(asio::io_context &Io, Duration Delay) {
  asio::steady_timer Timer(Io, Delay);
  co_await Timer.async_wait(AsTuple);
}

void sendFrame(const std::shared_ptr<FrameConnection> &C, const std::string &Message) {
  if (C->m_IsClosed)
    return;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    C->m_Output.push_back(static_cast<char>(Message.size() >> Shift & 0xff));
  C->m_Output += Message;
  if (C->m_Output.size() > MaxOutputBytes) {
    closeFrames(*C);
    return;
  }
  if (!std::exchange(C->m_IsSending, true))
    asio::co_spawn(C->m_Socket.get_executor(), flushFrames(C), asio::detached);
}

Awaitable<void> readFrames(std::shared_ptr<FrameConnection> C,
                           std::function<void(std::string_view)> Handle) {
  while (!C->m_IsClosed) {
    size_t Size = C->m_Input.size();
    C->m_Input.resize(Size + ReadBytes);
    auto [Error, Read] = co_await C->m_Socket.async_read_some(
        asio::buffer(C->m_Input.data() + Size, ReadBytes), AsTuple);
    C->m_Input.resize(Size + Read);
    if (Error)
      break;
    std::string_view Rest = C->m_Input;
    while (Rest.size() >= FrameHeaderBytes) {
      size_t Length = frameLength(Rest);
      if (Length > MaxFrameBytes) {
        closeFrames(*C);
        co_return;
      }
      if (Rest.size() < FrameHeaderBytes + Length)
        break;
      Handle(Rest.substr(FrameHeaderBytes, Length));
      Rest.remove_prefix(FrameHeaderBytes + Length);
    }
    C->m_Input.erase(0, C->m_Input.size() - Rest.size());
  }
  closeFrames(*C);
}

void closeFrames(FrameConnection &C) {
  if (!std::exchange(C.m_IsClosed, true))
    closeSocket(C.m_Socket);
}

} // namespace quetzalpaddle

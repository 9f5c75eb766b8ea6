// Connections of the HTTP server: state, reading, answering. Internal to http_server.cpp and
// http_connection.cpp.
#pragma once

#include "http_server.h"

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <mutex>

namespace quetzalpaddle::http_server {

namespace asio = boost::asio;
namespace ssl = boost::asio::ssl;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Strand = asio::strand<asio::io_context::executor_type>;
using Task = asio::awaitable<void>;

// Completion token that stores the error code instead of throwing an exception.
inline auto redirectError(error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

struct CountGuard {
  std::atomic<size_t> &m_Count;
  explicit CountGuard(std::atomic<size_t> &Count) : m_Count(Count) { ++m_Count; }
  CountGuard(const CountGuard &) = delete;
  CountGuard &operator=(const CountGuard &) = delete;
  ~CountGuard() { --m_Count; }
};

struct Connection {
  Connection(tcp::socket Socket, std::atomic<size_t> &Count)
      : m_CountGuard(Count), m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()) {}
  CountGuard m_CountGuard;
  uint64_t m_Id = 0;
  tcp::socket m_Socket;
  asio::steady_timer m_Timer;     // timeout of the operation in progress
  uint64_t m_TimerGeneration = 0; // a timer of an older generation is ignored if it still fires
  bool m_HasTimedOut = false;
  // Since when it waits for the first byte of a request; zero: it does not.
  std::atomic<TimePoint> m_IdleSince{};
  std::atomic<bool> m_HasSentRequest{false};
  bool m_ShouldClose = false; // close after the answer in progress
  std::set<std::string> m_Tags;
  size_t m_RequestBytes = 0; // counted in ServerCore::m_BufferedBytes
  // Of an answer that is ready or being written.
  std::atomic<size_t> m_AnswerBytes{0};
  std::atomic<TimePoint> m_AnswerAt{};   // when writing began; zero: it has not
  std::atomic<bool> m_IsAborting{false}; // chosen to be closed, so that it is not chosen twice
};

// State shared by the connections and by outstanding replies. It outlives the server's threads.
struct ServerCore : std::enable_shared_from_this<ServerCore> {
  ListenSettings m_Listen;
  FrontSettings m_Limits;
  HttpService m_Service;
  std::atomic<bool> m_IsDraining{false};
  std::atomic<size_t> m_ConnectionCount{0};
  std::atomic<size_t> m_InProgressCount{0};
  std::atomic<size_t> m_BufferedBytes{0}; // of connections that hold over UncountedBytes

  mutable std::mutex m_Lock; // guards the members up to m_Tls
  std::unordered_map<uint64_t, std::weak_ptr<Connection>> m_Connections;
  std::unordered_map<std::string, TimePoint> m_ClosedTags;
  std::shared_ptr<ssl::context> m_Tls; // null: plain text

  // Used by the accepting coroutine only.
  uint64_t m_DescriptorReserve = UINT64_MAX; // lowest number of a descriptor of the reserve
  TimePoint m_IdleClosedAt{};                // when idle connections were looked for
  size_t m_ClosingCount = 0;                 // how many were found then
  uint64_t m_NextConnectionId = 1;
  uint16_t m_Port = 0;
  // Declared last so that it is destroyed first: suspended coroutines refer to the members above.
  asio::io_context m_Io;
  Strand m_AcceptStrand{asio::make_strand(m_Io)};
  tcp::acceptor m_Acceptor{m_AcceptStrand};
  asio::steady_timer m_NoticeTimer{m_AcceptStrand};
};

void reportLimit(ServerCore &Core, const Connection &Conn, std::string_view Limit);

// Serves the requests of a connection until it is closed.
Task serveConnection(ServerCore &Core, std::shared_ptr<Connection> Conn, Strand ConnectionStrand);

} // namespace quetzalpaddle::http_server

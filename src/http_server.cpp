// Listener of the HTTP server: accepting, draining, certificates.
#include "http_budget.h"
#include "http_connection.h"
#include "log.h"

#include <boost/beast/core/string.hpp>
#include <sys/resource.h>
#include <thread>

namespace quetzalpaddle {

using namespace http_server;
namespace beast = boost::beast;

namespace {

// How long closed tags are remembered, for answers that are still in progress. It must exceed the
// maximum request timeout.
constexpr std::chrono::minutes ClosedTagRetention{30};
// Idle connections are looked for at most this often, and at most this part of all is closed, so
// that a flood of connections does not cost a search each.
constexpr Millis IdleSearchInterval{20};
constexpr size_t IdleCloseDivisor = 16;

} // namespace

struct HttpServer {
  std::shared_ptr<ServerCore> m_Core;
  std::vector<std::thread> m_Threads;
  HttpServer() = default;
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer() {
    m_Core->m_Io.stop();
    std::ranges::for_each(m_Threads, &std::thread::join);
  }
};

namespace {

//--- Accepting ---

// Refuses a connection over the limit. Does not wait: the socket's send buffer is empty, so the
// answer fits. TLS connections are closed without an answer.
void refuseConnection(ServerCore &Core, tcp::socket &Socket, bool IsPlainText) {
  error_code Error;
  if (IsPlainText) {
    HttpResponse Output =
        Core.m_Service.m_MakeErrorResponse(HttpError::Overloaded, "too many connections");
    std::string Text = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: " +
                       Output.m_ContentType +
                       "\r\nContent-Length: " + std::to_string(Output.m_Body.size()) + "\r\n\r\n" +
                       Output.m_Body;
    Socket.non_blocking(true, Error);
    Socket.write_some(asio::buffer(Text), Error);
  }
  Socket.shutdown(tcp::socket::shutdown_send, Error);
  Socket.close(Error);
}

void logFailure(const std::exception_ptr &Failure) {
  if (!Failure)
    return;
  try {
    std::rethrow_exception(Failure);
  } catch (const std::exception &E) {
    logLine(LogLevel::Error, "connection_failed", {{"error", E.what()}});
  }
}

// Runs a function on the strand of each open connection.
template <class Function> void forEachConnection(ServerCore &Core, Function Call) {
  std::vector<std::shared_ptr<Connection>> Open;
  {
    std::lock_guard Guard(Core.m_Lock);
    for (const auto &[Id, Weak] : Core.m_Connections)
      if (auto Conn = Weak.lock())
        Open.push_back(std::move(Conn));
  }
  for (auto &Conn : Open) {
    auto Executor = Conn->m_Socket.get_executor();
    asio::post(Executor, [Conn = std::move(Conn), Call] { Call(*Conn); });
  }
}

void closeWhenIdle(Connection &Conn) {
  error_code Error;
  Conn.m_ShouldClose = true;
  if (Conn.m_IdleSince.load() != TimePoint{})
    Conn.m_Socket.cancel(Error);
}

// Closes idle connections in favour of new ones.
void closeIdleConnections(ServerCore &Core, TimePoint Now) {
  std::vector<std::shared_ptr<Connection>> Closing;
  {
    std::lock_guard Guard(Core.m_Lock);
    std::vector<IdleConnection> Idle;
    for (const auto &[Id, Weak] : Core.m_Connections)
      if (auto Conn = Weak.lock())
        if (TimePoint Since = Conn->m_IdleSince; Since != TimePoint{})
          Idle.push_back({Id, Now - Since, Conn->m_HasSentRequest});
    size_t Count = std::max<size_t>(1, Core.m_ConnectionCount / IdleCloseDivisor);
    for (uint64_t Id : chooseIdleConnections(std::move(Idle), Count))
      if (auto Conn = Core.m_Connections[Id].lock())
        Closing.push_back(std::move(Conn));
  }
  Core.m_IdleClosedAt = Now;
  Core.m_ClosingCount = Closing.size();
  for (auto &Conn : Closing) {
    auto Executor = Conn->m_Socket.get_executor();
    asio::post(Executor, [&Core, Conn = std::move(Conn)] {
      if (Conn->m_IdleSince.load() != TimePoint{})
        reportLimit(Core, *Conn, "silent");
      closeWhenIdle(*Conn);
    });
  }
}

// Returns whether a connection can be served within the limits on connections and descriptors. The
// system assigns the lowest free descriptor, so its number shows how many are open. Connections
// that are being closed still count as open for a moment.
bool hasPlace(ServerCore &Core, tcp::socket &Socket) {
  auto Descriptor = static_cast<uint64_t>(Socket.native_handle());
  auto IsOver = [&] {
    return Core.m_ConnectionCount >= Core.m_Limits.m_MaxConnections + Core.m_ClosingCount ||
           Descriptor >= Core.m_DescriptorReserve + Core.m_ClosingCount;
  };
  TimePoint Now = Clock::now();
  if (Now - Core.m_IdleClosedAt > IdleSearchInterval)
    Core.m_ClosingCount = 0;
  if (!IsOver())
    return true;
  if (Now - Core.m_IdleClosedAt > IdleSearchInterval)
    closeIdleConnections(Core, Now);
  return !IsOver();
}

void reportRefusal(ServerCore &Core, const tcp::socket &Socket) {
  error_code Error;
  tcp::endpoint Peer = Socket.remote_endpoint(Error);
  if (Core.m_Service.m_ReportLimit)
    Core.m_Service.m_ReportLimit("connections", Error ? "" : Peer.address().to_string());
}

Task acceptConnections(ServerCore &Core) {
  while (Core.m_Acceptor.is_open()) {
    error_code Error;
    Strand ConnectionStrand = asio::make_strand(Core.m_Io);
    tcp::socket Socket =
        co_await Core.m_Acceptor.async_accept(ConnectionStrand, redirectError(Error));
    if (Error == asio::error::operation_aborted || !Core.m_Acceptor.is_open())
      co_return;
    if (Error) {
      // For example, no file descriptors are left: pause until some may have been closed.
      logLine(LogLevel::Warning, "accept_failed", {{"error", Error.message()}});
      asio::steady_timer Pause(Core.m_AcceptStrand, std::chrono::milliseconds(100));
      co_await Pause.async_wait(redirectError(Error));
      continue;
    }
    if (!hasPlace(Core, Socket)) {
      reportRefusal(Core, Socket);
      refuseConnection(Core, Socket, Core.m_Listen.m_IsPlainText);
      continue;
    }
    auto Conn = std::make_shared<Connection>(std::move(Socket), Core.m_ConnectionCount);
    Conn->m_Id = Core.m_NextConnectionId++;
    asio::co_spawn(ConnectionStrand, serveConnection(Core, Conn, ConnectionStrand), logFailure);
  }
}

std::variant<std::shared_ptr<ssl::context>, std::string> loadTls(const ListenSettings &Listen) {
  if (Listen.m_IsPlainText)
    return std::shared_ptr<ssl::context>();
  auto Context = std::make_shared<ssl::context>(ssl::context::tls_server);
  SSL_CTX_set_min_proto_version(Context->native_handle(), TLS1_2_VERSION);
  error_code Error;
  Context->use_certificate_chain_file(Listen.m_CertificateFile, Error);
  if (Error)
    return Listen.m_CertificateFile + ": " + Error.message();
  Context->use_private_key_file(Listen.m_KeyFile, ssl::context::pem, Error);
  if (Error)
    return Listen.m_KeyFile + ": " + Error.message();
  if (SSL_CTX_check_private_key(Context->native_handle()) != 1)
    return Listen.m_KeyFile + ": the private key does not match the certificate " +
           Listen.m_CertificateFile;
  return Context;
}

// Opens the listening socket. Returns an error message, or an empty string.
std::string openListener(ServerCore &Core) {
  error_code Error;
  auto Address = asio::ip::make_address(Core.m_Listen.m_Address, Error);
  tcp::endpoint Endpoint(Address, Core.m_Listen.m_Port);
  if (!Error)
    Core.m_Acceptor.open(Endpoint.protocol(), Error);
  if (!Error)
    Core.m_Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Core.m_Acceptor.bind(Endpoint, Error);
  if (!Error)
    Core.m_Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return Core.m_Listen.m_Address + ":" + std::to_string(Core.m_Listen.m_Port) + ": " +
           Error.message();
  Core.m_Port = Core.m_Acceptor.local_endpoint().port();
  return "";
}

} // namespace

std::variant<std::shared_ptr<HttpServer>, std::string>
startHttpServer(const ListenSettings &Listen, const FrontSettings &Limits, HttpService Service) {
  auto Core = std::make_shared<ServerCore>();
  Core->m_Listen = Listen;
  Core->m_Limits = Limits;
  Core->m_Service = std::move(Service);
  auto Tls = loadTls(Listen);
  if (auto *Problem = std::get_if<std::string>(&Tls))
    return *Problem;
  Core->m_Tls = std::get<std::shared_ptr<ssl::context>>(Tls);
  if (std::string Problem = openListener(*Core); !Problem.empty())
    return Problem;
  rlimit Descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &Descriptors) == 0)
    Core->m_DescriptorReserve =
        findDescriptorReserve(Descriptors.rlim_cur, Limits.m_ReservedDescriptors);
  asio::co_spawn(Core->m_AcceptStrand, acceptConnections(*Core), logFailure);
  auto Server = std::make_shared<HttpServer>();
  Server->m_Core = Core;
  for (uint32_t Index = 0; Index < std::max(1U, Limits.m_TrafficThreadCount); ++Index)
    Server->m_Threads.emplace_back([&Io = Core->m_Io] {
      auto WorkGuard = asio::make_work_guard(Io);
      Io.run();
    });
  return Server;
}

uint16_t getServerPort(const HttpServer &Server) { return Server.m_Core->m_Port; }

void drainServer(HttpServer &Server, Duration Notice) {
  ServerCore &Core = *Server.m_Core;
  Core.m_IsDraining = true;
  asio::post(Core.m_AcceptStrand, [&Core, Notice] {
    Core.m_NoticeTimer.expires_after(Notice);
    Core.m_NoticeTimer.async_wait([&Core](error_code Error) {
      if (Error)
        return;
      Core.m_Acceptor.close(Error);
      forEachConnection(Core, closeWhenIdle);
    });
  });
}

size_t countConnections(const HttpServer &Server) { return Server.m_Core->m_ConnectionCount; }

size_t countRequests(const HttpServer &Server) { return Server.m_Core->m_InProgressCount; }

size_t countBufferedBytes(const HttpServer &Server) { return Server.m_Core->m_BufferedBytes; }

void closeTaggedConnections(HttpServer &Server, const std::string &Tag) {
  ServerCore &Core = *Server.m_Core;
  {
    std::lock_guard Guard(Core.m_Lock);
    TimePoint Now = Clock::now();
    std::erase_if(Core.m_ClosedTags,
                  [Now](const auto &Ended) { return Now - Ended.second > ClosedTagRetention; });
    Core.m_ClosedTags[Tag] = Now;
  }
  forEachConnection(Core, [Tag](Connection &Conn) {
    if (Conn.m_Tags.contains(Tag))
      closeWhenIdle(Conn);
  });
}

std::optional<std::string> reloadServerCertificates(HttpServer &Server) {
  auto Tls = loadTls(Server.m_Core->m_Listen);
  if (auto *Problem = std::get_if<std::string>(&Tls))
    return *Problem;
  std::lock_guard Guard(Server.m_Core->m_Lock);
  Server.m_Core->m_Tls = std::get<std::shared_ptr<ssl::context>>(Tls);
  return std::nullopt;
}

const std::string *findHeader(const HttpRequest &Input, std::string_view Name) {
  auto Found = std::ranges::find_if(Input.m_Headers, [&](const auto &Header) {
    return beast::iequals(Header.first, beast::string_view(Name.data(), Name.size()));
  });
  return Found == Input.m_Headers.end() ? nullptr : &Found->second;
}

} // namespace quetzalpaddle

// Reads requests with Boost.Beast, passes them to the service and writes the answers. Each
// connection is a coroutine on its own strand. It handles one request at a time, so that answers to
// pipelined requests keep their order.
#include "http_connection.h"

#include "http_budget.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <openssl/crypto.h>

namespace quetzalpaddle::http_server {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Allocator that overwrites memory when it is freed, since it may contain a caller's key.
template <class T> struct WipingAllocator {
  using value_type = T; // NOLINT(readability-identifier-naming)
  WipingAllocator() = default;
  template <class U> WipingAllocator(const WipingAllocator<U> &) {}
  T *allocate(size_t Count) { return std::allocator<T>().allocate(Count); }
  void deallocate(T *Memory, size_t Count) {
    OPENSSL_cleanse(Memory, Count * sizeof(T));
    std::allocator<T>().deallocate(Memory, Count);
  }
  template <class U> bool operator==(const WipingAllocator<U> &) const { return true; }
};

using Buffer = beast::basic_flat_buffer<WipingAllocator<char>>;
using BeastParser = http::request_parser<http::string_body, WipingAllocator<char>>;
using BeastResponse = http::response<http::string_body>;

// Limits for reading and discarding the rest of a refused request. Closing the connection with
// unread data would reset it, and the caller could lose the answer.
constexpr std::chrono::seconds LingerTimeout{1};
constexpr size_t MaxLingerBytes = size_t{1024} * 1024;
// Added to the maximum request timeout before the server stops waiting for the service's answer.
constexpr std::chrono::seconds AnswerGrace{5};

constexpr size_t ReadSize = 4096;
constexpr size_t BodyReadSize = 16384;

// Counts an answer in the byte budget until it has been written.
struct AnswerCharge {
  AnswerCharge(ServerCore &Core, std::shared_ptr<Connection> Conn, size_t Bytes)
      : m_Core(Core), m_Connection(std::move(Conn)), m_Bytes(Bytes) {
    m_Core.m_BufferedBytes += m_Bytes;
    m_Connection->m_AnswerBytes = m_Bytes;
  }
  ~AnswerCharge() {
    m_Core.m_BufferedBytes -= m_Bytes;
    m_Connection->m_AnswerBytes = 0;
  }
  AnswerCharge(const AnswerCharge &) = delete;
  AnswerCharge &operator=(const AnswerCharge &) = delete;
  ServerCore &m_Core;
  std::shared_ptr<Connection> m_Connection;
  size_t m_Bytes;
};

struct ChargedResponse {
  HttpResponse m_Response;
  std::unique_ptr<AnswerCharge> m_Charge; // null: too small to be counted
};

struct ReplyWaiter {
  explicit ReplyWaiter(const Strand &ConnectionStrand) : m_WakeTimer(ConnectionStrand) {}
  asio::steady_timer m_WakeTimer;
  std::optional<ChargedResponse> m_Output;
};

//--- Limits ---

HttpByteBudget getBudget(const ServerCore &Core) {
  return {Core.m_Limits.m_MaxBufferedBytes, Core.m_BufferedBytes};
}

void countRequestBytes(ServerCore &Core, Connection &Conn, size_t Bytes) {
  size_t Counted = Bytes > UncountedBytes ? Bytes : 0;
  if (Counted == Conn.m_RequestBytes)
    return;
  Core.m_BufferedBytes += Counted - Conn.m_RequestBytes; // wraps around if there are fewer
  Conn.m_RequestBytes = Counted;
}

// Counts what a connection holds of a request. Returns false, and counts nothing, if the budget
// does not allow it.
bool holdRequestBytes(ServerCore &Core, Connection &Conn, size_t Bytes) {
  if (!mayHoldBytes(getBudget(Core), Conn.m_RequestBytes, Bytes))
    return false;
  countRequestBytes(Core, Conn, Bytes);
  return true;
}

// Ends a connection whose peer does not read the answer that it is sent now. The system's send
// buffer is dropped too.
void abortConnection(ServerCore &Core, const std::shared_ptr<Connection> &Conn) {
  Conn->m_IsAborting = true;
  asio::post(Conn->m_Socket.get_executor(), [&Core, Conn, At = Conn->m_AnswerAt.load()] {
    Conn->m_IsAborting = false;
    if (Conn->m_AnswerAt.load() != At || !Conn->m_Socket.is_open())
      return;
    reportLimit(Core, *Conn, "unread_answer");
    error_code Error;
    Conn->m_Socket.set_option(asio::socket_base::linger(true, 0), Error);
    Conn->m_Socket.close(Error);
  });
}

// Makes room for an answer by closing connections with unread answers. Returns whether it fits.
bool makeRoom(ServerCore &Core, size_t AnswerBytes) {
  size_t ExcessBytes = findExcessBytes(getBudget(Core), AnswerBytes);
  if (ExcessBytes == 0)
    return true;
  std::vector<UnreadAnswer> Answers;
  std::lock_guard Guard(Core.m_Lock);
  TimePoint Now = Clock::now();
  for (const auto &[Id, Weak] : Core.m_Connections)
    if (auto Conn = Weak.lock())
      if (TimePoint At = Conn->m_AnswerAt;
          At != TimePoint{} && Conn->m_AnswerBytes > 0 && !Conn->m_IsAborting)
        Answers.push_back({Id, Conn->m_AnswerBytes, Now - At});
  std::vector<uint64_t> Ids = chooseUnreadAnswers(std::move(Answers), ExcessBytes);
  for (uint64_t Id : Ids)
    if (auto Conn = Core.m_Connections[Id].lock())
      abortConnection(Core, Conn);
  return !Ids.empty();
}

// Counts an answer, or replaces it by an error if it does not fit into the budget.
ChargedResponse chargeAnswer(ServerCore &Core, const std::shared_ptr<Connection> &Conn,
                             HttpResponse Output) {
  size_t Bytes = Output.m_Body.size();
  if (Bytes <= UncountedBytes)
    return {std::move(Output), nullptr};
  if (makeRoom(Core, Bytes))
    return {std::move(Output), std::make_unique<AnswerCharge>(Core, Conn, Bytes)};
  if (Core.m_Service.m_ReportLimit)
    Core.m_Service.m_ReportLimit("answer_dropped", "");
  return {Core.m_Service.m_MakeErrorResponse(HttpError::AnswerDropped,
                                             "the host has no memory for the answer"),
          nullptr};
}

//--- Timers ---

// Cancels the socket's operation after Limit unless disarmTimer() is called before.
void armTimer(const std::shared_ptr<Connection> &Conn, Duration Limit) {
  Conn->m_HasTimedOut = false;
  Conn->m_Timer.expires_after(Limit);
  Conn->m_Timer.async_wait([Conn, Generation = ++Conn->m_TimerGeneration](error_code Error) {
    if (Error || Generation != Conn->m_TimerGeneration)
      return;
    Conn->m_HasTimedOut = true;
    Conn->m_Socket.cancel(Error);
  });
}

void disarmTimer(const std::shared_ptr<Connection> &Conn) {
  ++Conn->m_TimerGeneration;
  Conn->m_Timer.cancel();
}

//--- Answers ---

BeastResponse makeResponse(HttpResponse Output, unsigned Version, bool KeepAlive, bool IsHead) {
  BeastResponse Message{static_cast<http::status>(Output.m_Status), Version};
  Message.set(http::field::content_type, Output.m_ContentType);
  for (const auto &[Name, Value] : Output.m_Headers)
    Message.set(Name, Value);
  Message.keep_alive(KeepAlive);
  if (!IsHead)
    Message.body() = std::move(Output.m_Body);
  Message.prepare_payload();
  return Message;
}

template <class Stream>
asio::awaitable<bool> writeAnswer(ServerCore &Core, std::shared_ptr<Connection> Conn,
                                  Stream &ClientStream, BeastResponse Answer) {
  error_code Error;
  Conn->m_AnswerAt = Clock::now();
  armTimer(Conn, Core.m_Limits.m_WriteTimeout);
  co_await http::async_write(ClientStream, Answer, redirectError(Error));
  disarmTimer(Conn);
  Conn->m_AnswerAt = TimePoint{};
  if (Error && Conn->m_HasTimedOut)
    reportLimit(Core, *Conn, "slow_reader");
  co_return !Error;
}

// Answers a request with an error, then reads and discards the rest of it.
template <class Stream>
Task refuseAndLinger(ServerCore &Core, std::shared_ptr<Connection> Conn, Stream &ClientStream,
                     HttpError ErrorKind, std::string Message) {
  HttpResponse Output = Core.m_Service.m_MakeErrorResponse(ErrorKind, Message);
  if (!co_await writeAnswer(Core, Conn, ClientStream,
                            makeResponse(std::move(Output), 11, false, false)))
    co_return;
  error_code Error;
  Conn->m_Socket.shutdown(tcp::socket::shutdown_send, Error);
  std::array<char, ReadSize> Rest;
  armTimer(Conn, LingerTimeout);
  for (size_t Read = 0; !Error && Read < MaxLingerBytes;)
    Read += co_await Conn->m_Socket.async_read_some(asio::buffer(Rest), redirectError(Error));
  disarmTimer(Conn);
}

//--- Requests ---

// Returns the kind of error to answer with, or nothing if the connection was closed.
std::optional<HttpError> classifyError(const Connection &Conn, error_code Error) {
  if (Conn.m_HasTimedOut)
    return HttpError::ReadTimeout;
  if (Error == asio::error::no_memory)
    return HttpError::Overloaded;
  if (Error == http::error::end_of_stream || Error == http::error::partial_message)
    return std::nullopt;
  if (Error == http::error::header_limit || Error == http::error::buffer_overflow)
    return HttpError::HeaderTooLarge;
  if (Error == http::error::body_limit)
    return HttpError::BodyTooLarge;
  if (Error.category() == http::make_error_code(http::error::bad_method).category())
    return HttpError::Malformed;
  return std::nullopt;
}

std::string describeError(HttpError ErrorKind, error_code Error) {
  switch (ErrorKind) {
  case HttpError::Overloaded:
    return "the host has no memory for the request";
  case HttpError::ReadTimeout:
    return "the request did not arrive in time";
  case HttpError::HeaderTooLarge:
    return "the header is over the limit";
  case HttpError::BodyTooLarge:
    return "the body is over the limit";
  default:
    return "the request is not valid HTTP: " + Error.message();
  }
}

// Returns whether the end of the body can be told. Beast takes a transfer coding that it does not
// know for none, and a proxy in front of this host might see the end elsewhere.
bool hasClearEnd(BeastParser &RequestParser) {
  return RequestParser.get().count(http::field::transfer_encoding) == 0 || RequestParser.chunked();
}

// Returns how many bytes a request takes that is being read. The parser allocates all of a body
// with a length at once, but memory is taken only as the body arrives.
size_t measureRequest(const Buffer &ReadBuffer, BeastParser &RequestParser) {
  const auto &Request = RequestParser.get();
  auto FieldCount = static_cast<size_t>(std::distance(Request.begin(), Request.end()));
  size_t BodyBytes = RequestParser.chunked() ? Request.body().capacity() : Request.body().size();
  return ReadBuffer.capacity() + FieldCount * HeaderFieldBytes + BodyBytes;
}

// Reads until the header is complete or, after that, until the whole request is. Returns no_memory
// if the byte budget does not allow it.
template <class Stream>
asio::awaitable<error_code> readPart(ServerCore &Core, std::shared_ptr<Connection> Conn,
                                     Stream &ClientStream, Buffer &ReadBuffer,
                                     BeastParser &RequestParser) {
  bool IsBody = RequestParser.is_header_done();
  RequestParser.eager(IsBody);
  while (!(IsBody ? RequestParser.is_done() : RequestParser.is_header_done())) {
    error_code Error;
    if (ReadBuffer.size() > 0)
      ReadBuffer.consume(RequestParser.put(ReadBuffer.data(), Error));
    if (Error && Error != http::error::need_more)
      co_return Error;
    if (!holdRequestBytes(Core, *Conn, measureRequest(ReadBuffer, RequestParser)))
      co_return asio::error::no_memory;
    bool IsDone = IsBody ? RequestParser.is_done() : RequestParser.is_header_done();
    if (IsDone)
      break;
    size_t Room =
        std::min(ReadBuffer.max_size() - ReadBuffer.size(), IsBody ? BodyReadSize : ReadSize);
    if (Room == 0)
      co_return http::error::buffer_overflow;
    Error = {};
    size_t Read =
        co_await ClientStream.async_read_some(ReadBuffer.prepare(Room), redirectError(Error));
    if (Error)
      co_return Error;
    ReadBuffer.commit(Read);
  }
  co_return error_code();
}

// Reads one request. Returns false if the connection has to be closed.
template <class Stream>
asio::awaitable<bool> readRequest(ServerCore &Core, std::shared_ptr<Connection> Conn,
                                  Stream &ClientStream, Buffer &ReadBuffer,
                                  BeastParser &RequestParser) {
  error_code Error;
  RequestParser.header_limit(Core.m_Limits.m_MaxHeaderBytes);
  RequestParser.body_limit(Core.m_Limits.m_MaxBodyBytes);
  armTimer(Conn, Core.m_Limits.m_HeaderTimeout);
  Error = co_await readPart(Core, Conn, ClientStream, ReadBuffer, RequestParser);
  if (!Error && !hasClearEnd(RequestParser))
    Error = http::error::bad_transfer_encoding;
  if (!Error && beast::iequals(RequestParser.get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> Continue{http::status::continue_, 11};
    co_await http::async_write(ClientStream, Continue, redirectError(Error));
  }
  if (!Error && !RequestParser.is_done()) {
    armTimer(Conn, Core.m_Limits.m_HeaderTimeout);
    Error = co_await readPart(Core, Conn, ClientStream, ReadBuffer, RequestParser);
  }
  disarmTimer(Conn);
  if (!Error)
    co_return true;
  std::optional<HttpError> ErrorKind = classifyError(*Conn, Error);
  if (ErrorKind == HttpError::ReadTimeout || ErrorKind == HttpError::Overloaded)
    reportLimit(Core, *Conn,
                *ErrorKind == HttpError::ReadTimeout ? "slow_request" : "buffered_bytes");
  if (ErrorKind)
    co_await refuseAndLinger(Core, Conn, ClientStream, *ErrorKind,
                             describeError(*ErrorKind, Error));
  co_return false;
}

HttpRequest makeHttpRequest(BeastParser &RequestParser, uint64_t Id) {
  auto &Request = RequestParser.get();
  HttpRequest Input;
  Input.m_Method = Request.method_string();
  Input.m_Target = Request.target();
  for (const auto &Header : Request)
    Input.m_Headers.emplace_back(Header.name_string(), Header.value());
  Input.m_Body = std::move(Request.body());
  Input.m_ConnectionId = Id;
  return Input;
}

// Held by the service until it replies. m_Core has to be destroyed after m_Waiter, whose timer
// uses the core's event loop.
struct ReplyTarget {
  std::shared_ptr<ServerCore> m_Core;
  std::shared_ptr<ReplyWaiter> m_Waiter;
  std::weak_ptr<Connection> m_Connection;
  Strand m_Strand;
};

// Passes a request to the service and waits for the answer. An answer that arrives after the
// timeout is discarded.
asio::awaitable<ChargedResponse> callService(ServerCore &Core, std::shared_ptr<Connection> Conn,
                                             Strand ConnectionStrand, HttpRequest Input) {
  auto PendingReply = std::make_shared<ReplyWaiter>(ConnectionStrand);
  PendingReply->m_WakeTimer.expires_after(Core.m_Limits.m_MaxRequestTimeout + AnswerGrace);
  Core.m_Service.m_HandleRequest(
      std::move(Input), [To = ReplyTarget{Core.shared_from_this(), PendingReply, Conn,
                                          ConnectionStrand}](HttpResponse Output) {
        auto Conn = To.m_Connection.lock();
        if (!Conn)
          return;
        ChargedResponse Charged = chargeAnswer(*To.m_Core, Conn, std::move(Output));
        asio::post(To.m_Strand, [Target = To.m_Waiter, Charged = std::move(Charged)]() mutable {
          if (!Target->m_Output)
            Target->m_Output = std::move(Charged);
          Target->m_WakeTimer.cancel();
        });
      });
  error_code Error;
  if (!PendingReply->m_Output)
    co_await PendingReply->m_WakeTimer.async_wait(redirectError(Error));
  if (!PendingReply->m_Output)
    PendingReply->m_Output = {
        Core.m_Service.m_MakeErrorResponse(HttpError::HandlerTimeout, "no answer in time"),
        nullptr};
  co_return std::move(*PendingReply->m_Output);
}

// Returns whether closeTaggedConnections() was called for the tag since the given time. Later
// requests may use a tag that is valid again.
bool wasClosedSince(ServerCore &Core, const std::string &Tag, TimePoint Since) {
  std::lock_guard Guard(Core.m_Lock);
  auto Found = Core.m_ClosedTags.find(Tag);
  return Found != Core.m_ClosedTags.end() && Found->second >= Since;
}

// Overwrites the consumed part of the buffer and keeps the bytes of the next request.
void wipeConsumed(Buffer &ReadBuffer) {
  if (ReadBuffer.size() == 0 && ReadBuffer.capacity() > ReadSize) {
    ReadBuffer = Buffer(ReadBuffer.max_size()); // frees what a large request needed
    return;
  }
  if (ReadBuffer.size() == 0) {
    auto Memory = ReadBuffer.prepare(ReadBuffer.capacity());
    OPENSSL_cleanse(Memory.data(), Memory.size());
    return;
  }
  Buffer Rest(ReadBuffer.max_size());
  Rest.commit(asio::buffer_copy(Rest.prepare(ReadBuffer.size()), ReadBuffer.data()));
  ReadBuffer = std::move(Rest);
}

// Waits for the first byte of a request. Returns false if the connection has to be closed.
template <class Stream>
asio::awaitable<bool> awaitRequest(ServerCore &Core, std::shared_ptr<Connection> Conn,
                                   Stream &ClientStream, Buffer &ReadBuffer) {
  if (ReadBuffer.size() > 0)
    co_return true;
  error_code Error;
  Conn->m_IdleSince = Clock::now();
  armTimer(Conn, Core.m_Limits.m_IdleTimeout);
  size_t Read =
      co_await ClientStream.async_read_some(ReadBuffer.prepare(ReadSize), redirectError(Error));
  ReadBuffer.commit(Read);
  disarmTimer(Conn);
  Conn->m_IdleSince = TimePoint{};
  co_return !Error && Read > 0;
}

template <class Stream>
Task serveRequests(ServerCore &Core, std::shared_ptr<Connection> Conn, Strand ConnectionStrand,
                   Stream &ClientStream) {
  Buffer ReadBuffer(Core.m_Limits.m_MaxHeaderBytes + size_t{65536});
  while (!Conn->m_ShouldClose && co_await awaitRequest(Core, Conn, ClientStream, ReadBuffer)) {
    BeastParser RequestParser;
    if (!co_await readRequest(Core, Conn, ClientStream, ReadBuffer, RequestParser))
      co_return;
    Conn->m_HasSentRequest = true;
    TimePoint Since = Clock::now();
    ChargedResponse Charged;
    HttpResponse &Output = Charged.m_Response;
    {
      // Ends before the answer is written: a client that has its answer may send the next request
      // at once, on another connection.
      CountGuard InProgressGuard(Core.m_InProgressCount);
      if (Core.m_InProgressCount > Core.m_Limits.m_MaxInProgress)
        Output = Core.m_Service.m_MakeErrorResponse(HttpError::Overloaded,
                                                    "too many requests in progress");
      else if (!holdRequestBytes(Core, *Conn,
                                 measureRequest(ReadBuffer, RequestParser) +
                                     (BodyCopies - 1) * RequestParser.get().body().size())) {
        reportLimit(Core, *Conn, "buffered_bytes");
        Output = Core.m_Service.m_MakeErrorResponse(HttpError::Overloaded,
                                                    "the host has no memory for the request");
      } else
        Charged = co_await callService(Core, Conn, ConnectionStrand,
                                       makeHttpRequest(RequestParser, Conn->m_Id));
    }
    countRequestBytes(Core, *Conn, measureRequest(ReadBuffer, RequestParser));
    if (!Output.m_Tag.empty()) {
      Conn->m_Tags.insert(Output.m_Tag);
      Conn->m_ShouldClose |= wasClosedSince(Core, Output.m_Tag, Since);
    }
    bool KeepAlive = RequestParser.get().keep_alive() && !Conn->m_ShouldClose && !Core.m_IsDraining;
    bool IsHead = RequestParser.get().method() == http::verb::head;
    BeastResponse Answer =
        makeResponse(std::move(Output), RequestParser.get().version(), KeepAlive, IsHead);
    if (!co_await writeAnswer(Core, Conn, ClientStream, std::move(Answer)) || !KeepAlive)
      co_return;
    wipeConsumed(ReadBuffer);
    countRequestBytes(Core, *Conn, ReadBuffer.capacity());
  }
}

} // namespace

void reportLimit(ServerCore &Core, const Connection &Conn, std::string_view Limit) {
  error_code Error;
  tcp::endpoint Peer = Conn.m_Socket.remote_endpoint(Error);
  if (Core.m_Service.m_ReportLimit)
    Core.m_Service.m_ReportLimit(Limit, Error ? "" : Peer.address().to_string());
}

Task serveConnection(ServerCore &Core, std::shared_ptr<Connection> Conn, Strand ConnectionStrand) {
  std::shared_ptr<ssl::context> Tls;
  {
    std::lock_guard Guard(Core.m_Lock);
    Tls = Core.m_Tls;
    Core.m_Connections[Conn->m_Id] = Conn;
  }
  error_code Error;
  Conn->m_Socket.set_option(tcp::no_delay(true), Error);
  if (Tls) {
    ssl::stream<tcp::socket &> ClientStream(Conn->m_Socket, *Tls);
    armTimer(Conn, Core.m_Limits.m_HeaderTimeout);
    co_await ClientStream.async_handshake(ssl::stream_base::server, redirectError(Error));
    disarmTimer(Conn);
    if (!Error) {
      co_await serveRequests(Core, Conn, ConnectionStrand, ClientStream);
      armTimer(Conn, LingerTimeout);
      co_await ClientStream.async_shutdown(redirectError(Error));
      disarmTimer(Conn);
    }
  } else {
    co_await serveRequests(Core, Conn, ConnectionStrand, Conn->m_Socket);
  }
  countRequestBytes(Core, *Conn, 0);
  Conn->m_Socket.shutdown(tcp::socket::shutdown_both, Error);
  Conn->m_Socket.close(Error);
  std::lock_guard Guard(Core.m_Lock);
  Core.m_Connections.erase(Conn->m_Id);
}

} // namespace quetzalpaddle::http_server

// Client of a database instance: shared channels, timeouts, one connection per bidirectional
// stream, and control calls.
#include "instance_client.h"
#include "grpc_queue.h"
#include "instance.grpc.pb.h"

#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <queue>
#include <thread>

namespace quetzalpaddle {

using instance::ClientFrame;
using instance::ServerFrame;

//-----------------------------------------------------------------------------
// Channels
//-----------------------------------------------------------------------------

namespace {

// gRPC uses its minimum reconnect backoff as the timeout of a connection attempt. 200 ms is too
// short on a loaded machine, even over loopback.
constexpr int MinReconnectBackoffMs = 1000;

using StubPtr = std::shared_ptr<instance::Instance::Stub>;

struct Stubs {
  std::mutex m_Mutex;
  std::map<std::string, StubPtr> m_ByAddress;
};

} // namespace

// Returns the stub of an address. All users of an address share its channel.
static StubPtr getStub(const std::string &Address) {
  keepCallbackQueue();
  static Stubs Known;
  std::lock_guard Lock(Known.m_Mutex);
  StubPtr &Stub = Known.m_ByAddress[Address];
  if (!Stub) {
    grpc::ChannelArguments Arguments;
    Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 20);
    Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MinReconnectBackoffMs);
    Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 200);
    Arguments.SetMaxReceiveMessageSize(-1);
    Stub = instance::Instance::NewStub(
        grpc::CreateCustomChannel(Address, grpc::InsecureChannelCredentials(), Arguments));
  }
  return Stub;
}

//-----------------------------------------------------------------------------
// Timers
//-----------------------------------------------------------------------------

namespace {

// Calls functions at given times on its own thread. Entries cannot be cancelled: each function
// checks whether it still has something to do.
class Timers {
public:
  ~Timers() {
    {
      std::lock_guard Lock(m_Mutex);
      m_IsStopping = true;
    }
    m_Condition.notify_all();
    m_Thread.join();
  }
  void callAt(TimePoint DueAt, std::function<void()> Call) {
    std::lock_guard Lock(m_Mutex);
    bool IsFirst = m_Entries.empty() || DueAt < m_Entries.top().m_DueAt;
    m_Entries.push({DueAt, std::move(Call)});
    if (IsFirst)
      m_Condition.notify_all();
  }

private:
  struct Entry {
    TimePoint m_DueAt;
    std::function<void()> m_Call;
    bool operator<(const Entry &Other) const { return m_DueAt > Other.m_DueAt; }
  };

  void run() {
    std::unique_lock Lock(m_Mutex);
    while (!m_IsStopping) {
      if (m_Entries.empty()) {
        m_Condition.wait(Lock);
        continue;
      }
      TimePoint DueAt = m_Entries.top().m_DueAt;
      if (DueAt > Clock::now()) {
        m_Condition.wait_until(Lock, DueAt);
        continue;
      }
      std::function<void()> Call = m_Entries.top().m_Call;
      m_Entries.pop();
      Lock.unlock();
      Call();
      Call = nullptr;
      Lock.lock();
    }
  }

  std::mutex m_Mutex;
  std::condition_variable m_Condition;
  std::priority_queue<Entry> m_Entries;
  bool m_IsStopping = false;
  std::thread m_Thread{[this] { run(); }};
};

} // namespace

static Timers &getTimers() {
  static Timers Shared;
  return Shared;
}

//-----------------------------------------------------------------------------
// Connections
//-----------------------------------------------------------------------------

// The reactor keeps itself alive until OnDone(). A read is always pending to detect the end of the
// stream; the hold on the stream is released when that read fails.
struct InstanceConnection : grpc::ClientBidiReactor<ClientFrame, ServerFrame> {
  StubPtr m_Stub;
  Executor m_Run;
  grpc::ClientContext m_Context;
  ServerFrame m_InputFrame;  // used by the pending read
  ClientFrame m_OutputFrame; // used by the pending write
  std::mutex m_Mutex;        // guards the members below
  std::shared_ptr<InstanceConnection> m_Self;
  OpenHandler m_OnOpened;
  FrameHandler m_OnAnswer;
  uint64_t m_Sequence = 0; // sequence number of the last frame sent
  bool m_IsWriting = false;
  std::optional<ClientFrame> m_NextFrame; // sent when the pending write completes
  bool m_HasEnded = false;
  LinkError m_EndError = LinkError::Closed;

  void OnReadDone(bool Ok) override;
  void OnWriteDone(bool Ok) override;
  void OnDone(const grpc::Status &Status) override;
};

// Ends the connection and reports the error to the waiting handlers through the executor. Does
// nothing if the connection has already ended.
static void endConnection(InstanceConnection &Conn, LinkError Error) {
  OpenHandler OnOpened;
  FrameHandler OnAnswer;
  {
    std::lock_guard Lock(Conn.m_Mutex);
    if (Conn.m_HasEnded)
      return;
    Conn.m_HasEnded = true;
    Conn.m_EndError = Error;
    OnOpened = std::exchange(Conn.m_OnOpened, nullptr);
    OnAnswer = std::exchange(Conn.m_OnAnswer, nullptr);
  }
  Conn.m_Context.TryCancel();
  if (OnOpened) // no frame has been sent yet
    Conn.m_Run([OnOpened = std::move(OnOpened), Error] {
      OnOpened(Error == LinkError::Closed ? LinkError::Unreachable : Error);
    });
  if (OnAnswer)
    Conn.m_Run([OnAnswer = std::move(OnAnswer), Error] { OnAnswer(Error); });
}

void InstanceConnection::OnReadDone(bool Ok) {
  if (!Ok) {
    endConnection(*this, LinkError::Closed);
    RemoveHold();
    return;
  }
  OpenHandler OnOpened;
  FrameHandler OnAnswer;
  ServerFrame Frame;
  {
    std::lock_guard Lock(m_Mutex);
    bool IsExpected = m_InputFrame.sequence() == m_Sequence && (m_OnOpened || m_OnAnswer);
    if (IsExpected && !m_HasEnded) {
      OnOpened = std::exchange(m_OnOpened, nullptr);
      OnAnswer = std::exchange(m_OnAnswer, nullptr);
      Frame = std::move(m_InputFrame);
    }
  }
  if (OnOpened)
    m_Run([OnOpened = std::move(OnOpened)] { OnOpened(std::nullopt); });
  else if (OnAnswer)
    m_Run([OnAnswer = std::move(OnAnswer), Frame = std::move(Frame)]() mutable {
      OnAnswer(std::move(Frame));
    });
  else
    endConnection(*this, LinkError::Mismatch);
  m_InputFrame.Clear();
  StartRead(&m_InputFrame);
}

void InstanceConnection::OnWriteDone(bool Ok) {
  {
    std::lock_guard Lock(m_Mutex);
    m_IsWriting = false;
    if (Ok && !m_HasEnded && m_NextFrame) {
      m_OutputFrame = std::move(*m_NextFrame);
      m_IsWriting = true;
      StartWrite(&m_OutputFrame);
    }
    m_NextFrame.reset();
  }
  if (!Ok) // the frame may still have been sent
    endConnection(*this, LinkError::Closed);
}

void InstanceConnection::OnDone(const grpc::Status &) {
  endConnection(*this, LinkError::Closed);
  std::shared_ptr<InstanceConnection> Self;
  std::lock_guard Lock(m_Mutex);
  Self.swap(m_Self);
}

std::shared_ptr<InstanceConnection> openConnection(const std::string &Address, Duration Timeout,
                                                   Executor Run, OpenHandler OnOpened) {
  auto Connection = std::make_shared<InstanceConnection>();
  Connection->m_Stub = getStub(Address);
  Connection->m_Run = std::move(Run);
  Connection->m_OnOpened = std::move(OnOpened);
  Connection->m_Self = Connection;
  Connection->m_Stub->async()->Connect(&Connection->m_Context, Connection.get());
  Connection->AddHold();
  Connection->StartRead(&Connection->m_InputFrame);
  Connection->StartCall();
  getTimers().callAt(Clock::now() + Timeout, [Weak = std::weak_ptr(Connection)] {
    auto Conn = Weak.lock();
    if (!Conn)
      return;
    {
      std::lock_guard Lock(Conn->m_Mutex);
      if (!Conn->m_OnOpened)
        return;
    }
    endConnection(*Conn, LinkError::TimedOut);
  });
  return Connection;
}

void sendFrame(const std::shared_ptr<InstanceConnection> &Connection, ClientFrame Frame,
               Duration Timeout, FrameHandler OnAnswer) {
  InstanceConnection &Conn = *Connection;
  uint64_t Sequence = 0; // stays 0 if nothing is sent
  FrameHandler RefusedHandler;
  {
    std::lock_guard Lock(Conn.m_Mutex);
    // Nothing is sent on a connection that has ended or that still waits for an answer.
    if (!Conn.m_HasEnded && !Conn.m_OnOpened && !Conn.m_OnAnswer) {
      Sequence = ++Conn.m_Sequence;
      Frame.set_sequence(Sequence);
      Conn.m_OnAnswer = std::move(OnAnswer);
      if (Conn.m_IsWriting) { // the last answer arrived before the write of its frame completed
        Conn.m_NextFrame = std::move(Frame);
      } else {
        Conn.m_OutputFrame = std::move(Frame);
        Conn.m_IsWriting = true;
        // Under the lock, since the hold on the stream is released once m_HasEnded is set.
        Conn.StartWrite(&Conn.m_OutputFrame);
      }
    } else {
      RefusedHandler = std::move(OnAnswer);
    }
  }
  if (RefusedHandler) {
    Conn.m_Run(
        [RefusedHandler = std::move(RefusedHandler)] { RefusedHandler(LinkError::Unreachable); });
    return;
  }
  getTimers().callAt(Clock::now() + Timeout, [Weak = std::weak_ptr(Connection), Sequence] {
    auto Conn = Weak.lock();
    if (!Conn)
      return;
    {
      std::lock_guard Lock(Conn->m_Mutex);
      if (!Conn->m_OnAnswer || Conn->m_Sequence != Sequence)
        return;
    }
    endConnection(*Conn, LinkError::TimedOut);
  });
}

void closeConnection(const std::shared_ptr<InstanceConnection> &Connection) {
  endConnection(*Connection, LinkError::Closed);
}

//-----------------------------------------------------------------------------
// Control calls
//-----------------------------------------------------------------------------

namespace {

template <class Request, class Reply> struct ControlCall {
  grpc::ClientContext m_Context;
  Request m_Request;
  Reply m_Reply;
  StubPtr m_Stub;
};

} // namespace

static LinkError classifyFailure(const grpc::Status &Status, const grpc::ClientContext &Context) {
  if (Status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
    return LinkError::TimedOut;
  // Once gRPC has assigned the call to a connection, peer() returns an address such as "ipv4:...";
  // before that, it returns the target as it was passed.
  bool IsSent = Context.peer().starts_with("ipv");
  return Status.error_code() == grpc::StatusCode::UNAVAILABLE && !IsSent ? LinkError::Unreachable
                                                                         : LinkError::Closed;
}

// Makes a unary call. Invoke starts it on the stub's asynchronous interface.
template <class Request, class Reply, class Method>
static void makeCall(const std::string &Address, const Request &Content, Duration Timeout,
                     const Executor &Run, ControlHandler<Reply> OnAnswer, Method Invoke) {
  auto Call = std::make_shared<ControlCall<Request, Reply>>();
  Call->m_Request = Content;
  Call->m_Stub = getStub(Address);
  Call->m_Context.set_deadline(std::chrono::system_clock::now() + Timeout);
  auto Done = [Call, Run, OnAnswer = std::move(OnAnswer)](const grpc::Status &Status) {
    std::variant<Reply, LinkError> Result = LinkError::Closed;
    if (Status.ok())
      Result = std::move(Call->m_Reply);
    else
      Result = classifyFailure(Status, Call->m_Context);
    Run([OnAnswer, Result = std::move(Result)] { OnAnswer(Result); });
  };
  Invoke(*Call->m_Stub->async(), *Call, std::move(Done));
}

void requestStatus(const std::string &Address, Duration Timeout, const Executor &Run,
                   ControlHandler<instance::StatusReply> OnAnswer) {
  makeCall<instance::StatusRequest, instance::StatusReply>(
      Address, {}, Timeout, Run, std::move(OnAnswer), [](auto &Async, auto &Call, auto Done) {
        Async.Status(&Call.m_Context, &Call.m_Request, &Call.m_Reply, std::move(Done));
      });
}

void sendFence(const std::string &Address, const instance::FenceRequest &Request, Duration Timeout,
               const Executor &Run, ControlHandler<instance::FenceReply> OnAnswer) {
  makeCall<instance::FenceRequest, instance::FenceReply>(
      Address, Request, Timeout, Run, std::move(OnAnswer), [](auto &Async, auto &Call, auto Done) {
        Async.Fence(&Call.m_Context, &Call.m_Request, &Call.m_Reply, std::move(Done));
      });
}

void sendPromote(const std::string &Address, const instance::PromoteRequest &Request,
                 Duration Timeout, const Executor &Run,
                 ControlHandler<instance::PromoteReply> OnAnswer) {
  makeCall<instance::PromoteRequest, instance::PromoteReply>(
      Address, Request, Timeout, Run, std::move(OnAnswer), [](auto &Async, auto &Call, auto Done) {
        Async.Promote(&Call.m_Context, &Call.m_Request, &Call.m_Reply, std::move(Done));
      });
}

void sendFollow(const std::string &Address, const instance::FollowRequest &Request,
                Duration Timeout, const Executor &Run,
                ControlHandler<instance::FollowReply> OnAnswer) {
  makeCall<instance::FollowRequest, instance::FollowReply>(
      Address, Request, Timeout, Run, std::move(OnAnswer), [](auto &Async, auto &Call, auto Done) {
        Async.Follow(&Call.m_Context, &Call.m_Request, &Call.m_Reply, std::move(Done));
      });
}

} // namespace quetzalpaddle

// Client of the platform's object API. A call is sent only over an established connection, so that
// a call that was never sent can be distinguished from one whose answer is missing.
#include "platform_client.h"

#include "grpc_queue.h"
#include "platform.grpc.pb.h"

#include <algorithm>
#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <list>
#include <mutex>
#include <thread>

namespace quetzalpaddle {

namespace {

constexpr size_t MaxValueSize = size_t{1} << 20; // bytes, limit of the platform
// Interval at which the connection state is polled while a call waits for a connection.
constexpr Millis ConnectPollInterval{5};
constexpr int InitialReconnectMs = 50;
constexpr int MaxReconnectMs = 500;

struct PlatformLink {
  std::shared_ptr<grpc::Channel> m_Channel;
  std::unique_ptr<platform::ObjectStore::Stub> m_Stub;
};

// A call that waits for a connection to any address.
struct PendingCall {
  TimePoint m_Deadline{};
  std::function<void(size_t Address)> m_Start;
  std::function<void()> m_Fail; // called at the deadline; nothing was sent
};

} // namespace

struct PlatformClient {
  std::vector<PlatformLink> m_Links; // in the order of the addresses
  std::string m_Host;
  Duration m_Timeout{};
  Executor m_Run;
  std::shared_ptr<char> m_LifetimeToken =
      std::make_shared<char>(); // expires with the client; handlers hold it weakly

  std::mutex m_Mutex; // guards the members below except m_Thread
  std::condition_variable m_Condition;
  std::list<PendingCall> m_PendingCalls;
  size_t m_PreferredIndex = 0; // index of the address that is tried first
  bool m_IsStopped = false;
  std::thread m_Thread; // starts pending calls

  PlatformClient() = default;
  PlatformClient(const PlatformClient &) = delete;
  PlatformClient &operator=(const PlatformClient &) = delete;
  ~PlatformClient() {
    {
      std::lock_guard Lock(m_Mutex);
      m_IsStopped = true;
      m_Condition.notify_one();
    }
    if (m_Thread.joinable())
      m_Thread.join();
  }
};

namespace {

// Returns the index of the first connected address, starting with the preferred one. Starts
// connecting to the addresses that are not connected.
std::optional<size_t> findConnected(PlatformClient &Platform) {
  std::optional<size_t> Found;
  for (size_t Step = 0; Step < Platform.m_Links.size(); ++Step) {
    size_t Address = (Platform.m_PreferredIndex + Step) % Platform.m_Links.size();
    if (Platform.m_Links[Address].m_Channel->GetState(true) == GRPC_CHANNEL_READY && !Found)
      Found = Address;
  }
  return Found;
}

void runPending(PlatformClient &Platform) {
  std::unique_lock Lock(Platform.m_Mutex);
  while (!Platform.m_IsStopped) {
    if (Platform.m_PendingCalls.empty()) {
      Platform.m_Condition.wait(Lock);
      continue;
    }
    std::optional<size_t> Address = findConnected(Platform);
    std::list<PendingCall> ReadyCalls;
    TimePoint Now = Clock::now();
    for (auto At = Platform.m_PendingCalls.begin(); At != Platform.m_PendingCalls.end();) {
      auto Next = std::next(At);
      if (Address || At->m_Deadline <= Now)
        ReadyCalls.splice(ReadyCalls.end(), Platform.m_PendingCalls, At);
      At = Next;
    }
    if (ReadyCalls.empty()) {
      Platform.m_Condition.wait_for(Lock, ConnectPollInterval);
      continue;
    }
    Lock.unlock();
    for (PendingCall &Call : ReadyCalls)
      Address ? Call.m_Start(*Address) : Call.m_Fail();
    Lock.lock();
  }
}

void startCall(PlatformClient &Platform, PendingCall Call) {
  std::optional<size_t> Address;
  {
    std::lock_guard Lock(Platform.m_Mutex);
    Address = findConnected(Platform);
    if (!Address) {
      Platform.m_PendingCalls.push_back(std::move(Call));
      Platform.m_Condition.notify_one();
      return;
    }
  }
  Call.m_Start(*Address);
}

// Passes the result to Callback through the executor, unless the client has been released by then.
template <class T>
void reportResult(const Executor &Run, const std::weak_ptr<char> &Alive,
                  PlatformHandler<T> Callback, std::variant<T, PlatformError> Result) {
  Run([Alive, Callback = std::move(Callback), Result = std::move(Result)]() mutable {
    if (!Alive.expired())
      Callback(std::move(Result));
  });
}

// State of a call until its answer, which may arrive after the client was released.
template <class Request, class Reply> struct SentCall {
  grpc::ClientContext m_Context;
  Request m_Request;
  Reply m_Reply;
};

// Prefers the next address if the preferred one did not answer.
void avoidAddress(PlatformClient &Platform, size_t Address) {
  std::lock_guard Lock(Platform.m_Mutex);
  if (Platform.m_PreferredIndex == Address)
    Platform.m_PreferredIndex = (Address + 1) % Platform.m_Links.size();
}

template <class Request, class Reply>
using StubMethod = void (platform::ObjectStore::StubInterface::async_interface::*)(
    grpc::ClientContext *, const Request *, Reply *, std::function<void(grpc::Status)>);

template <class Request, class Reply>
void callPlatform(PlatformClient &Platform, StubMethod<Request, Reply> Method, Request Message,
                  PlatformHandler<Reply> Callback) {
  TimePoint Deadline = Clock::now() + Platform.m_Timeout;
  auto Call = std::make_shared<SentCall<Request, Reply>>();
  Call->m_Request = std::move(Message);
  Call->m_Context.AddMetadata("host", Platform.m_Host);
  std::weak_ptr<char> Alive = Platform.m_LifetimeToken;
  PendingCall Pending;
  Pending.m_Deadline = Deadline;
  Pending.m_Fail = [Run = Platform.m_Run, Alive, Callback] {
    reportResult<Reply>(Run, Alive, Callback, PlatformError::Unavailable);
  };
  Pending.m_Start = [&Platform, Call, Method, Deadline, Alive, Callback](size_t Address) {
    Call->m_Context.set_deadline(std::chrono::system_clock::now() + (Deadline - Clock::now()));
    auto Answered = [&Platform, Run = Platform.m_Run, Alive, Callback, Call,
                     Address](const grpc::Status &Status) {
      if (Status.ok()) {
        reportResult<Reply>(Run, Alive, Callback, std::move(Call->m_Reply));
        return;
      }
      // The platform has rejected the request without effect.
      if (Status.error_code() == grpc::StatusCode::INVALID_ARGUMENT) {
        reportResult<Reply>(Run, Alive, Callback, PlatformError::Unavailable);
        return;
      }
      Run([&Platform, Alive, Callback, Address] {
        if (Alive.expired())
          return;
        avoidAddress(Platform, Address);
        Callback(PlatformError::Unanswered);
      });
    };
    (Platform.m_Links[Address].m_Stub->async()->*Method)(&Call->m_Context, &Call->m_Request,
                                                         &Call->m_Reply, std::move(Answered));
  };
  startCall(Platform, std::move(Pending));
}

using AsyncStub = platform::ObjectStore::StubInterface::async_interface;

// A watch in progress. It is kept alive by itself until OnDone(), and by its PlatformWatch.
class WatchReader : public grpc::ClientReadReactor<platform::WatchEvent> {
public:
  WatchReader(const PlatformClient &Platform, platform::WatchRequest Message,
              PlatformHandler<platform::WatchEvent> OnEvent)
      : m_Run(Platform.m_Run), m_Request(std::move(Message)), m_OnEvent(std::move(OnEvent)) {
    m_Context.AddMetadata("host", Platform.m_Host);
  }

  void start(platform::ObjectStore::Stub &To, std::shared_ptr<WatchReader> Self) {
    m_Self = std::move(Self);
    To.async()->Watch(&m_Context, &m_Request, this);
    StartRead(&m_Event);
    StartCall();
  }

  void cancel() { m_Context.TryCancel(); }

  void OnReadDone(bool Ok) override {
    if (!Ok)
      return; // OnDone() follows
    report(std::move(m_Event));
    m_Event.Clear();
    StartRead(&m_Event);
  }

  void OnDone(const grpc::Status &) override {
    report(PlatformError::Unanswered);
    std::shared_ptr<WatchReader> Last = std::move(m_Self);
  }

  void report(std::variant<platform::WatchEvent, PlatformError> Result) {
    m_Run([Alive = m_LifetimeToken, OnEvent = m_OnEvent, Result = std::move(Result)]() mutable {
      if (!Alive.expired())
        OnEvent(std::move(Result));
    });
  }

  std::weak_ptr<PlatformWatch> m_LifetimeToken; // events are dropped after it has expired

private:
  Executor m_Run;
  grpc::ClientContext m_Context;
  platform::WatchRequest m_Request;
  platform::WatchEvent m_Event;
  PlatformHandler<platform::WatchEvent> m_OnEvent;
  std::shared_ptr<WatchReader> m_Self; // reset in OnDone()
};

template <class Request> Request makePrefixRequest(const std::vector<std::string> &Prefixes) {
  Request Message;
  if (!Prefixes.empty())
    Message.set_prefix(Prefixes.front());
  for (size_t Number = 1; Number < Prefixes.size(); ++Number)
    Message.add_more_prefixes(Prefixes[Number]);
  return Message;
}

} // namespace

struct PlatformWatch {
  std::shared_ptr<WatchReader> m_Reader;

  PlatformWatch() = default;
  PlatformWatch(const PlatformWatch &) = delete;
  PlatformWatch &operator=(const PlatformWatch &) = delete;
  ~PlatformWatch() { m_Reader->cancel(); }
};

std::shared_ptr<PlatformClient> openPlatform(const std::vector<std::string> &Addresses,
                                             const std::string &Host, Duration Timeout,
                                             Executor Run) {
  auto Client = std::make_shared<PlatformClient>();
  Client->m_Host = Host;
  Client->m_Timeout = Timeout;
  Client->m_Run = std::move(Run);
  keepCallbackQueue();
  grpc::ChannelArguments Options;
  Options.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, InitialReconnectMs);
  Options.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MaxReconnectMs); // connect timeout
  Options.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectMs);
  Options.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  Options.SetInt(GRPC_ARG_ENABLE_RETRIES, 0); // a retried write would hide the first one's outcome
  Options.SetMaxReceiveMessageSize(-1);       // list replies grow with the number of objects
  for (const std::string &Address : Addresses) {
    PlatformLink NewLink;
    NewLink.m_Channel =
        grpc::CreateCustomChannel(Address, grpc::InsecureChannelCredentials(), Options);
    NewLink.m_Stub = platform::ObjectStore::NewStub(NewLink.m_Channel);
    NewLink.m_Channel->GetState(true);
    Client->m_Links.push_back(std::move(NewLink));
  }
  Client->m_Thread = std::thread([Own = Client.get()] { runPending(*Own); });
  return Client;
}

void getObject(PlatformClient &Client, const std::string &Name,
               PlatformHandler<platform::Object> Callback) {
  platform::GetRequest Message;
  Message.set_name(Name);
  callPlatform<platform::GetRequest, platform::GetReply>(
      Client, &AsyncStub::Get, std::move(Message),
      [Callback = std::move(Callback)](std::variant<platform::GetReply, PlatformError> Result) {
        if (auto *Reply = std::get_if<platform::GetReply>(&Result))
          Callback(std::move(*Reply->mutable_object()));
        else
          Callback(std::get<PlatformError>(Result));
      });
}

void listObjects(PlatformClient &Client, const std::string &Prefix,
                 PlatformHandler<platform::ListReply> Callback) {
  listObjects(Client, std::vector<std::string>{Prefix}, std::move(Callback));
}

void listObjects(PlatformClient &Client, const std::vector<std::string> &Prefixes,
                 PlatformHandler<platform::ListReply> Callback) {
  callPlatform<platform::ListRequest, platform::ListReply>(
      Client, &AsyncStub::List, makePrefixRequest<platform::ListRequest>(Prefixes),
      std::move(Callback));
}

void putObject(PlatformClient &Client, const std::string &Name, const std::string &Value,
               uint64_t ExpectedVersion, PlatformHandler<platform::WriteReply> Callback) {
  if (Value.size() > MaxValueSize) {
    reportResult<platform::WriteReply>(Client.m_Run, Client.m_LifetimeToken, std::move(Callback),
                                       PlatformError::Unavailable);
    return;
  }
  platform::PutRequest Message;
  Message.set_name(Name);
  Message.set_value(Value);
  Message.set_expected_version(ExpectedVersion);
  callPlatform<platform::PutRequest, platform::WriteReply>(Client, &AsyncStub::Put,
                                                           std::move(Message), std::move(Callback));
}

void deleteObject(PlatformClient &Client, const std::string &Name, uint64_t ExpectedVersion,
                  PlatformHandler<platform::WriteReply> Callback) {
  platform::DeleteRequest Message;
  Message.set_name(Name);
  Message.set_expected_version(ExpectedVersion);
  callPlatform<platform::DeleteRequest, platform::WriteReply>(
      Client, &AsyncStub::Delete, std::move(Message), std::move(Callback));
}

void listPlatformHosts(PlatformClient &Client, PlatformHandler<platform::HostsReply> Callback) {
  callPlatform<platform::HostsRequest, platform::HostsReply>(Client, &AsyncStub::Hosts, {},
                                                             std::move(Callback));
}

std::shared_ptr<PlatformWatch> watchObjects(PlatformClient &Client, const std::string &Prefix,
                                            uint64_t FromRevision,
                                            PlatformHandler<platform::WatchEvent> OnEvent) {
  return watchObjects(Client, std::vector<std::string>{Prefix}, FromRevision, std::move(OnEvent));
}

std::shared_ptr<PlatformWatch> watchObjects(PlatformClient &Client,
                                            const std::vector<std::string> &Prefixes,
                                            uint64_t FromRevision,
                                            PlatformHandler<platform::WatchEvent> OnEvent) {
  auto Message = makePrefixRequest<platform::WatchRequest>(Prefixes);
  Message.set_from_revision(FromRevision);
  auto Watch = std::make_shared<PlatformWatch>();
  Watch->m_Reader = std::make_shared<WatchReader>(Client, std::move(Message), std::move(OnEvent));
  Watch->m_Reader->m_LifetimeToken = Watch;
  PendingCall Pending;
  Pending.m_Deadline = Clock::now() + Client.m_Timeout;
  Pending.m_Fail = [Reader = Watch->m_Reader] { Reader->report(PlatformError::Unavailable); };
  Pending.m_Start = [&Client, Reader = Watch->m_Reader](size_t Address) {
    Reader->start(*Client.m_Links[Address].m_Stub, Reader);
  };
  startCall(Client, std::move(Pending));
  return Watch;
}

} // namespace quetzalpaddle

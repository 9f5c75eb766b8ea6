// Stand-in for the platform's object API. Index of this file:
// [SECTION] Store and timers
// [SECTION] Calls
// [SECTION] Watches
// [SECTION] Services
#include "standin_platform.h"

#include "grpc_queue.h"
#include "platform.grpc.pb.h"
#include "standin.grpc.pb.h"

#include <algorithm>
#include <condition_variable>
#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <thread>

namespace quetzalpaddle {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Store and timers
//-----------------------------------------------------------------------------

constexpr size_t MaxValueSize = size_t{1} << 20;

// Runs functions at given times on its own thread.
struct Timers {
  std::mutex m_Mutex;
  std::condition_variable m_StateChanged;
  std::multimap<TimePoint, std::function<void()>> m_DueTasks;
  bool m_IsStopped = false;
  std::thread m_Thread;
};

void runTimers(Timers &T) {
  std::unique_lock Lock(T.m_Mutex);
  while (!T.m_IsStopped) {
    if (T.m_DueTasks.empty()) {
      T.m_StateChanged.wait(Lock);
      continue;
    }
    auto First = T.m_DueTasks.begin();
    if (TimePoint DueAt = First->first; DueAt > Clock::now()) {
      T.m_StateChanged.wait_until(Lock, DueAt);
      continue;
    }
    std::function<void()> Run = std::move(First->second);
    T.m_DueTasks.erase(First);
    Lock.unlock();
    Run();
    Lock.lock();
  }
}

void runAfter(Timers &T, Duration Delay, std::function<void()> Run) {
  if (Delay <= Duration::zero()) {
    Run();
    return;
  }
  std::lock_guard Lock(T.m_Mutex);
  T.m_DueTasks.emplace(Clock::now() + Delay, std::move(Run));
  T.m_StateChanged.notify_one();
}

void stopTimers(Timers &T) {
  {
    std::lock_guard Lock(T.m_Mutex);
    T.m_IsStopped = true;
    T.m_StateChanged.notify_one();
  }
  if (T.m_Thread.joinable())
    T.m_Thread.join();
}

struct Store {
  std::map<std::string, platform::Object> m_Objects;
  std::vector<platform::Object> m_History; // every change, by revision; never compacted
  uint64_t m_Revision = 0;
};

platform::Object findObject(const Store &S, const std::string &Name) {
  auto Found = S.m_Objects.find(Name);
  if (Found != S.m_Objects.end())
    return Found->second;
  platform::Object Missing;
  Missing.set_name(Name);
  return Missing;
}

platform::WriteReply changeObject(Store &S, const std::string &Name, uint64_t ExpectedVersion,
                                  const std::string *Value) {
  platform::WriteReply Reply;
  platform::Object Current = findObject(S, Name);
  if (Current.version() != ExpectedVersion || (!Value && ExpectedVersion == 0)) {
    *Reply.mutable_current() = std::move(Current);
    return Reply;
  }
  platform::Object NewObject;
  NewObject.set_name(Name);
  NewObject.set_version(++S.m_Revision);
  if (Value) {
    NewObject.set_value(*Value);
    S.m_Objects[Name] = NewObject;
  } else {
    NewObject.set_deleted(true);
    S.m_Objects.erase(Name);
  }
  S.m_History.push_back(NewObject);
  Reply.set_applied(true);
  *Reply.mutable_current() = std::move(NewObject);
  return Reply;
}

template <class Request> std::vector<std::string> listPrefixes(const Request &R) {
  std::vector<std::string> Prefixes{R.prefix()};
  Prefixes.insert(Prefixes.end(), R.more_prefixes().begin(), R.more_prefixes().end());
  return Prefixes;
}

bool hasPrefix(const std::string &Name, const std::vector<std::string> &Prefixes) {
  return std::ranges::any_of(Prefixes,
                             [&](const std::string &Each) { return Name.starts_with(Each); });
}

std::string readHost(const grpc::CallbackServerContext &Context) {
  auto Found = Context.client_metadata().find("host");
  if (Found == Context.client_metadata().end())
    return {};
  return {Found->second.data(), Found->second.size()};
}

class WatchCall;

} // namespace

struct StandinPlatform {
  PlatformOptions m_Options;
  mutable std::mutex m_Mutex; // guards the members above m_Timers
  Store m_Store;
  std::vector<std::pair<TimePoint, standin::SetHostsRequest>> m_HostLists; // by time of change
  std::map<std::pair<std::string, std::string>, uint64_t> m_CallCounts;
  std::set<std::string> m_CutHostIds;
  std::set<WatchCall *> m_Watches;
  bool m_IsDown = false;
  uint32_t m_AnswersToLose = 0; // to writes
  uint64_t m_FailureCount = 0;  // of calls; alternates between the two kinds of failure

  Timers m_Timers;
  std::unique_ptr<platform::ObjectStore::CallbackService> m_ObjectStore;
  std::unique_ptr<standin::Standin::CallbackService> m_Standin;
  std::unique_ptr<grpc::Server> m_Server;
  int m_Port = 0;

  StandinPlatform() = default;
  StandinPlatform(const StandinPlatform &) = delete;
  StandinPlatform &operator=(const StandinPlatform &) = delete;
  ~StandinPlatform() {
    stopTimers(m_Timers);
    if (m_Server)
      m_Server->Shutdown(std::chrono::system_clock::now());
  }
};

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

// One unary call; finished once, by its answer or by cancellation.
class UnaryCall : public grpc::ServerUnaryReactor {
public:
  std::shared_ptr<UnaryCall> m_Self; // keeps the call alive until OnDone()

  // Fill sets the reply. It runs only if the call has not been finished, which destroys the reply.
  void finish(const grpc::Status &Status, const std::function<void()> &Fill = {}) {
    if (m_IsFinished.exchange(true))
      return;
    if (Fill)
      Fill();
    Finish(Status);
  }

  void OnCancel() override { finish({grpc::StatusCode::CANCELLED, "cancelled"}); }
  void OnDone() override { std::shared_ptr<UnaryCall> Last = std::move(m_Self); }

private:
  std::atomic<bool> m_IsFinished = false;
};

// Used for an outage and for a lost answer alike.
grpc::Status unavailable() { return {grpc::StatusCode::UNAVAILABLE, "platform is unavailable"}; }

// Fails a call without revealing the cause, alternately with an error and without an answer.
void failCall(StandinPlatform &P, UnaryCall &Call) {
  {
    std::lock_guard Lock(P.m_Mutex);
    if (++P.m_FailureCount % 2 == 0)
      return; // the call ends when the caller cancels it
  }
  Call.finish(unavailable());
}

void scheduleWatchEvents(StandinPlatform &P);

template <class Request, class Reply>
using CallHandler = std::function<grpc::Status(const Request &, Reply &)>;

// Runs a call with the latency and faults that are set. Handle runs with the platform's mutex held.
template <class Request, class Reply>
grpc::ServerUnaryReactor *serveCall(StandinPlatform &P, const grpc::CallbackServerContext &Context,
                                    const std::string &Kind, const Request &R, Reply *Result,
                                    bool Write, CallHandler<Request, Reply> Handle) {
  auto Call = std::make_shared<UnaryCall>();
  Call->m_Self = Call;
  std::string Host = readHost(Context);
  Duration Latency{};
  {
    std::lock_guard Lock(P.m_Mutex);
    ++P.m_CallCounts[{Kind, Host}];
    if (P.m_CutHostIds.contains(Host))
      return Call.get();
    Latency = P.m_Options.m_Latency;
  }
  // Copies the request, which is destroyed when the caller cancels: a late write still takes
  // effect.
  runAfter(P.m_Timers, Latency / 2, [&P, Call, Copy = R, Result, Write, Handle, Latency] {
    Reply Answer;
    grpc::Status Status;
    bool IsAnswerLost = false;
    {
      std::lock_guard Lock(P.m_Mutex);
      if (P.m_IsDown)
        IsAnswerLost = true;
      if (Write && P.m_AnswersToLose > 0) {
        --P.m_AnswersToLose;
        IsAnswerLost = true;
        Status = Handle(Copy, Answer);
      } else if (!IsAnswerLost) {
        Status = Handle(Copy, Answer);
      }
    }
    if (Write)
      scheduleWatchEvents(P);
    if (IsAnswerLost) {
      failCall(P, *Call);
      return;
    }
    runAfter(P.m_Timers, Latency / 2, [Call, Result, Answer = std::move(Answer), Status]() mutable {
      Call->finish(Status, [&] { *Result = std::move(Answer); });
    });
  });
  return Call.get();
}

//-----------------------------------------------------------------------------
// [SECTION] Watches
//-----------------------------------------------------------------------------

// One watch: sends the history after a revision and then each change. Deletes itself when done.
// Its state is guarded by the platform's mutex.
class WatchCall : public grpc::ServerWriteReactor<platform::WatchEvent> {
public:
  WatchCall(StandinPlatform &P, const platform::WatchRequest &R, std::string Host)
      : m_Platform(P), m_Prefixes(listPrefixes(R)), m_SentRevision(R.from_revision()),
        m_Host(std::move(Host)) {
    std::lock_guard Lock(P.m_Mutex);
    P.m_Watches.insert(this);
  }

  // Prepares the next event, if there is one to send. Called with the platform's mutex held. If it
  // returns true, the caller has to call startEvent() without the mutex.
  bool prepareEvent() {
    const Store &S = m_Platform.m_Store;
    if (m_IsWriting || m_IsEnded || m_Platform.m_IsDown || m_Platform.m_CutHostIds.contains(m_Host))
      return false;
    m_Event.Clear();
    auto Change =
        std::ranges::upper_bound(S.m_History, m_SentRevision, {}, &platform::Object::version);
    uint64_t ReachedRevision = S.m_Revision;
    for (; Change != S.m_History.end(); ++Change) {
      if (!hasPrefix(Change->name(), m_Prefixes))
        continue;
      *m_Event.add_changes() = *Change;
      if (static_cast<size_t>(m_Event.changes_size()) >=
          m_Platform.m_Options.m_MaxChangesPerEvent) {
        ReachedRevision = Change->version();
        break;
      }
    }
    m_SentRevision = std::max(m_SentRevision, ReachedRevision);
    if (m_Event.changes_size() == 0 && m_HasSentFirstEvent)
      return false;
    m_Event.set_revision(m_SentRevision);
    m_HasSentFirstEvent = true;
    m_IsWriting = true;
    return true;
  }

  void startEvent() { StartWrite(&m_Event); }

  // Marks the watch as ended. Called with the platform's mutex held. Returns whether the caller has
  // to call finishNow(), which is not so if the watch has ended already or an event is being
  // written.
  bool markEnded(const grpc::Status &Status) {
    if (m_IsEnded)
      return false;
    m_IsEnded = true;
    m_Status = Status;
    return !m_IsWriting;
  }

  void finishNow() { Finish(m_Status); }

  void end(const grpc::Status &Status) {
    bool MustFinish = false;
    {
      std::lock_guard Lock(m_Platform.m_Mutex);
      MustFinish = markEnded(Status);
    }
    if (MustFinish)
      finishNow();
  }

  void OnWriteDone(bool Ok) override {
    bool IsEnded = false;
    bool Ready = false;
    {
      std::lock_guard Lock(m_Platform.m_Mutex);
      m_IsWriting = false;
      IsEnded = m_IsEnded;
      if (Ok && !IsEnded)
        Ready = prepareEvent();
    }
    if (IsEnded)
      Finish(m_Status);
    else if (!Ok)
      end({grpc::StatusCode::UNAVAILABLE, "write to the watch failed"});
    else if (Ready)
      startEvent();
  }

  void OnCancel() override { end({grpc::StatusCode::CANCELLED, "cancelled"}); }

  void OnDone() override {
    {
      std::lock_guard Lock(m_Platform.m_Mutex);
      m_Platform.m_Watches.erase(this);
    }
    delete this;
  }

private:
  StandinPlatform &m_Platform;
  std::vector<std::string> m_Prefixes;
  uint64_t m_SentRevision = 0; // revision up to which changes have been sent
  std::string m_Host;
  platform::WatchEvent m_Event; // being written
  bool m_HasSentFirstEvent = false;
  bool m_IsWriting = false;
  bool m_IsEnded = false;
  grpc::Status m_Status;
};

// Uses the watches without the mutex: one with a prepared event is not deleted before the event has
// been written.
void sendWatchEvents(StandinPlatform &P) {
  std::vector<WatchCall *> Ready;
  {
    std::lock_guard Lock(P.m_Mutex);
    std::ranges::copy_if(P.m_Watches, std::back_inserter(Ready),
                         [](WatchCall *Watch) { return Watch->prepareEvent(); });
  }
  std::ranges::for_each(Ready, [](WatchCall *Watch) { Watch->startEvent(); });
}

void scheduleWatchEvents(StandinPlatform &P) {
  Duration Latency{};
  {
    std::lock_guard Lock(P.m_Mutex);
    Latency = P.m_Options.m_Latency / 2;
  }
  runAfter(P.m_Timers, Latency, [&P] { sendWatchEvents(P); });
}

//-----------------------------------------------------------------------------
// [SECTION] Services
//-----------------------------------------------------------------------------

class ObjectStoreService : public platform::ObjectStore::CallbackService {
public:
  explicit ObjectStoreService(StandinPlatform &P) : m_Platform(P) {}

  grpc::ServerUnaryReactor *Get(grpc::CallbackServerContext *Context,
                                const platform::GetRequest *Request,
                                platform::GetReply *Reply) override {
    return serveCall<platform::GetRequest, platform::GetReply>(
        m_Platform, *Context, "get", *Request, Reply, false, [&P = m_Platform](auto &R, auto &To) {
          *To.mutable_object() = findObject(P.m_Store, R.name());
          return grpc::Status::OK;
        });
  }

  grpc::ServerUnaryReactor *List(grpc::CallbackServerContext *Context,
                                 const platform::ListRequest *Request,
                                 platform::ListReply *Reply) override {
    return serveCall<platform::ListRequest, platform::ListReply>(
        m_Platform, *Context, "list", *Request, Reply, false, [&P = m_Platform](auto &R, auto &To) {
          std::vector<std::string> Prefixes = listPrefixes(R);
          for (const auto &[Name, Each] : P.m_Store.m_Objects)
            if (hasPrefix(Name, Prefixes))
              *To.add_objects() = Each;
          To.set_revision(P.m_Store.m_Revision);
          return grpc::Status::OK;
        });
  }

  grpc::ServerUnaryReactor *Put(grpc::CallbackServerContext *Context,
                                const platform::PutRequest *Request,
                                platform::WriteReply *Reply) override {
    return serveCall<platform::PutRequest, platform::WriteReply>(
        m_Platform, *Context, "put", *Request, Reply, true, [&P = m_Platform](auto &R, auto &To) {
          if (R.value().size() > MaxValueSize)
            return grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "the value exceeds 1 MiB");
          if (R.name().empty())
            return grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "the name is empty");
          To = changeObject(P.m_Store, R.name(), R.expected_version(), &R.value());
          return grpc::Status::OK;
        });
  }

  grpc::ServerUnaryReactor *Delete(grpc::CallbackServerContext *Context,
                                   const platform::DeleteRequest *Request,
                                   platform::WriteReply *Reply) override {
    return serveCall<platform::DeleteRequest, platform::WriteReply>(
        m_Platform, *Context, "delete", *Request, Reply, true,
        [&P = m_Platform](auto &R, auto &To) {
          To = changeObject(P.m_Store, R.name(), R.expected_version(), nullptr);
          return grpc::Status::OK;
        });
  }

  grpc::ServerUnaryReactor *Hosts(grpc::CallbackServerContext *Context,
                                  const platform::HostsRequest *Request,
                                  platform::HostsReply *Reply) override {
    return serveCall<platform::HostsRequest, platform::HostsReply>(
        m_Platform, *Context, "hosts", *Request, Reply, false, [&P = m_Platform](auto &, auto &To) {
          TimePoint VisibleUntil = Clock::now() - P.m_Options.m_HostListDelay;
          for (const auto &[Since, Hosts] : P.m_HostLists) {
            if (Since > VisibleUntil)
              break;
            To.Clear();
            for (const standin::StandinHost &Each : Hosts.hosts()) {
              platform::HostEntry *Entry = To.add_hosts();
              Entry->set_host(Each.host());
              Entry->set_data_centre(Each.data_centre());
              Entry->set_peer_address(Each.peer_address());
              Entry->set_leaving(Each.leaving());
            }
          }
          return grpc::Status::OK;
        });
  }

  grpc::ServerWriteReactor<platform::WatchEvent> *
  Watch(grpc::CallbackServerContext *Context, const platform::WatchRequest *Request) override {
    std::string Host = readHost(*Context);
    bool IsRefused = false;
    {
      std::lock_guard Lock(m_Platform.m_Mutex);
      ++m_Platform.m_CallCounts[{"watch", Host}];
      IsRefused = m_Platform.m_IsDown && ++m_Platform.m_FailureCount % 2 == 1;
    }
    auto *Call = new WatchCall(m_Platform, *Request, Host);
    if (IsRefused)
      Call->end(unavailable());
    else
      scheduleWatchEvents(m_Platform);
    return Call;
  }

private:
  StandinPlatform &m_Platform;
};

// Answers immediately, regardless of faults.
grpc::ServerUnaryReactor *finishNow(grpc::CallbackServerContext *Context) {
  grpc::ServerUnaryReactor *Reactor = Context->DefaultReactor();
  Reactor->Finish(grpc::Status::OK);
  return Reactor;
}

class StandinService : public standin::Standin::CallbackService {
public:
  explicit StandinService(StandinPlatform &P) : m_Platform(P) {}

  grpc::ServerUnaryReactor *SetFaults(grpc::CallbackServerContext *Context,
                                      const standin::FaultRequest *Request,
                                      standin::FaultReply *) override {
    setFaults(m_Platform, *Request);
    return finishNow(Context);
  }

  grpc::ServerUnaryReactor *SetHosts(grpc::CallbackServerContext *Context,
                                     const standin::SetHostsRequest *Request,
                                     standin::SetHostsReply *) override {
    setHostList(m_Platform, *Request);
    return finishNow(Context);
  }

  grpc::ServerUnaryReactor *Dump(grpc::CallbackServerContext *Context, const standin::DumpRequest *,
                                 standin::DumpReply *Reply) override {
    {
      std::lock_guard Lock(m_Platform.m_Mutex);
      for (const auto &[Name, Each] : m_Platform.m_Store.m_Objects) {
        standin::DumpRow *Row = Reply->add_rows();
        Row->set_table(fmt::format("{}", Each.version()));
        Row->set_key(Name);
        Row->set_value(Each.value());
      }
    }
    for (const auto &[KindAndHost, Calls] : countCalls(m_Platform)) {
      standin::CallCount *Count = Reply->add_call_counts();
      Count->set_kind(KindAndHost.first);
      Count->set_host(KindAndHost.second);
      Count->set_calls(Calls);
      Reply->set_calls(Reply->calls() + Calls);
    }
    return finishNow(Context);
  }

private:
  StandinPlatform &m_Platform;
};

} // namespace

std::shared_ptr<StandinPlatform> startPlatform(const PlatformOptions &Options) {
  auto P = std::make_shared<StandinPlatform>();
  P->m_Options = Options;
  P->m_ObjectStore = std::make_unique<ObjectStoreService>(*P);
  P->m_Standin = std::make_unique<StandinService>(*P);
  P->m_Timers.m_Thread = std::thread([Own = P.get()] { runTimers(Own->m_Timers); });
  keepCallbackQueue();
  grpc::ServerBuilder Builder;
  Builder.AddListeningPort(fmt::format("{}:{}", Options.m_Address, Options.m_Port),
                           grpc::InsecureServerCredentials(), &P->m_Port);
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.RegisterService(P->m_ObjectStore.get());
  Builder.RegisterService(P->m_Standin.get());
  P->m_Server = Builder.BuildAndStart();
  return P->m_Server && P->m_Port != 0 ? P : nullptr;
}

std::string platformAddress(const StandinPlatform &P) {
  return fmt::format("{}:{}", P.m_Options.m_Address, P.m_Port);
}

void setFaults(StandinPlatform &P, const standin::FaultRequest &Faults) {
  std::vector<WatchCall *> EndedWatches;
  {
    std::lock_guard Lock(P.m_Mutex);
    if (Faults.has_down()) {
      // Every second watch fails; the others stay open without events.
      if (Faults.down() && !P.m_IsDown)
        std::ranges::copy_if(P.m_Watches, std::back_inserter(EndedWatches), [&](WatchCall *Watch) {
          return ++P.m_FailureCount % 2 == 1 && Watch->markEnded(unavailable());
        });
      P.m_IsDown = Faults.down();
    }
    if (Faults.has_latency_ms())
      P.m_Options.m_Latency = Millis(Faults.latency_ms());
    if (Faults.has_lose_answers())
      P.m_AnswersToLose = Faults.lose_answers();
    if (Faults.has_hosts_lag_ms())
      P.m_Options.m_HostListDelay = Millis(Faults.hosts_lag_ms());
    if (Faults.heal_host_ids())
      P.m_CutHostIds.clear();
    P.m_CutHostIds.insert(Faults.cut_host_ids().begin(), Faults.cut_host_ids().end());
  }
  std::ranges::for_each(EndedWatches, [](WatchCall *Watch) { Watch->finishNow(); });
  scheduleWatchEvents(P);
}

void setHostList(StandinPlatform &P, const standin::SetHostsRequest &Hosts) {
  std::lock_guard Lock(P.m_Mutex);
  P.m_HostLists.emplace_back(Clock::now(), Hosts);
}

std::map<std::pair<std::string, std::string>, uint64_t> countCalls(const StandinPlatform &P) {
  std::lock_guard Lock(P.m_Mutex);
  return P.m_CallCounts;
}

platform::Object readObject(const StandinPlatform &P, const std::string &Name) {
  std::lock_guard Lock(P.m_Mutex);
  return findObject(P.m_Store, Name);
}

platform::WriteReply writeObject(StandinPlatform &P, const platform::PutRequest &Request) {
  platform::WriteReply Reply;
  {
    std::lock_guard Lock(P.m_Mutex);
    Reply = changeObject(P.m_Store, Request.name(), Request.expected_version(), &Request.value());
  }
  scheduleWatchEvents(P);
  return Reply;
}

} // namespace quetzalpaddle

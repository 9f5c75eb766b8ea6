#include "standin_instance.h"
#include "grpc_queue.h"
#include "standin.grpc.pb.h"
#include "standin_instance_core.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>

namespace quetzalpaddle {

namespace instance_standin {

//-----------------------------------------------------------------------------
// Tasks
//-----------------------------------------------------------------------------

// Runs a task; while the instance is frozen, waits until the freeze ends.
static void runTask(Core &C, const Task &Run) {
  std::unique_lock Lock(C.m_Mutex);
  C.m_StateChanged.wait(Lock, [&] { return !C.m_Faults.freeze() || C.m_IsStopping; });
  Run();
}

void postTask(Core &C, Task Run) {
  boost::asio::post(C.m_Io, [&C, Run = std::move(Run)] { runTask(C, Run); });
}

void postAfter(Core &C, Duration Delay, Task Run) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(C.m_Io, Delay);
  Timer->async_wait(
      [&C, Timer, Run = std::move(Run)](boost::system::error_code) { runTask(C, Run); });
}

void finishCall(const UnaryPtr &Call, const grpc::Status &Status) {
  if (Call->m_Reactor)
    std::exchange(Call->m_Reactor, nullptr)->Finish(Status);
}

//-----------------------------------------------------------------------------
// Services. Reactors only post tasks.
//-----------------------------------------------------------------------------

namespace {

class ConnectReactor : public FrameReactor {
public:
  explicit ConnectReactor(Core &C) : m_Core(C), m_Session(std::make_shared<Session>()) {
    m_Session->m_Reactor = this;
    postTask(m_Core, [&C, S = m_Session] { acceptSession(C, S); });
  }
  void OnReadDone(bool Ok) override {
    postTask(m_Core, [&C = m_Core, S = m_Session, Ok] { handleFrame(C, S, Ok); });
  }
  void OnWriteDone(bool Ok) override {
    postTask(m_Core, [&C = m_Core, S = m_Session, Ok] { handleAnswerSent(C, S, Ok); });
  }
  void OnCancel() override {
    postTask(m_Core, [&C = m_Core, S = m_Session] { endSession(C, S, grpc::Status::CANCELLED); });
  }
  void OnDone() override { delete this; }

private:
  Core &m_Core;
  SessionPtr m_Session;
};

class UnaryReactor : public grpc::ServerUnaryReactor {
public:
  explicit UnaryReactor(Core &C) : m_Core(C), m_Call(std::make_shared<UnaryCall>()) {
    m_Call->m_Reactor = this;
  }
  const UnaryPtr &call() const { return m_Call; }
  void OnCancel() override {
    postTask(m_Core, [Call = m_Call] { finishCall(Call, grpc::Status::CANCELLED); });
  }
  void OnDone() override { delete this; }

private:
  Core &m_Core;
  UnaryPtr m_Call;
};

// Runs Handle for a unary call as a task. Handle may finish the call later.
template <class F> grpc::ServerUnaryReactor *serveAsTask(Core &C, F Handle) {
  auto *Reactor = new UnaryReactor(C);
  postTask(C, [&C, Call = Reactor->call(), Handle = std::move(Handle)] {
    if (C.m_IsStopping)
      finishCall(Call, {grpc::StatusCode::UNAVAILABLE, "stopping"});
    else if (Call->m_Reactor) // otherwise its messages are destroyed
      Handle(Call);
  });
  return Reactor;
}

// Serves a call of a host, which is answered immediately or, while hosts are cut off, not at all.
template <class F> grpc::ServerUnaryReactor *serveHostCall(Core &C, F Handle) {
  return serveAsTask(C, [&C, Handle = std::move(Handle)](const UnaryPtr &Call) {
    if (C.m_Faults.cut_hosts())
      return; // ends when the host cancels the call
    Handle();
    finishCall(Call, grpc::Status::OK);
  });
}

class InstanceService : public instance::Instance::CallbackService {
public:
  explicit InstanceService(Core &C) : m_Core(C) {}
  FrameReactor *Connect(grpc::CallbackServerContext *) override {
    return new ConnectReactor(m_Core);
  }
  grpc::ServerUnaryReactor *Status(grpc::CallbackServerContext *, const instance::StatusRequest *,
                                   instance::StatusReply *Reply) override {
    return serveHostCall(m_Core, [&C = m_Core, Reply] { handleStatus(C, Reply); });
  }
  grpc::ServerUnaryReactor *Fence(grpc::CallbackServerContext *,
                                  const instance::FenceRequest *Request,
                                  instance::FenceReply *Reply) override {
    return serveHostCall(m_Core,
                         [&C = m_Core, Request, Reply] { handleFence(C, *Request, Reply); });
  }
  grpc::ServerUnaryReactor *Promote(grpc::CallbackServerContext *,
                                    const instance::PromoteRequest *Request,
                                    instance::PromoteReply *Reply) override {
    return serveHostCall(m_Core,
                         [&C = m_Core, Request, Reply] { handlePromote(C, *Request, Reply); });
  }
  grpc::ServerUnaryReactor *Follow(grpc::CallbackServerContext *,
                                   const instance::FollowRequest *Request,
                                   instance::FollowReply *Reply) override {
    return serveHostCall(m_Core,
                         [&C = m_Core, Request, Reply] { handleFollow(C, *Request, Reply); });
  }
  grpc::ServerUnaryReactor *Pull(grpc::CallbackServerContext *,
                                 const instance::PullRequest *Request,
                                 instance::PullReply *Reply) override {
    return serveAsTask(m_Core, [&C = m_Core, Request, Reply](const UnaryPtr &Call) {
      handlePull(C, Call, *Request, Reply);
    });
  }

private:
  Core &m_Core;
};

void applyFaults(Core &C, const standin::FaultRequest &Request) {
  std::lock_guard Lock(C.m_Mutex);
  C.m_Faults.MergeFrom(Request);
  C.m_StateChanged.notify_all();
  postTask(C, [&C] { advanceApplied(C); }); // replay_lag_ms may have changed
}

standin::DumpReply makeDump(Core &C) {
  std::lock_guard Lock(C.m_Mutex);
  return dumpLog(C.m_Log, C.m_CommittedIndex);
}

// Answers on gRPC's threads, so that it works while the instance is frozen.
class StandinService : public standin::Standin::CallbackService {
public:
  explicit StandinService(Core &C) : m_Core(C) {}
  grpc::ServerUnaryReactor *SetFaults(grpc::CallbackServerContext *Context,
                                      const standin::FaultRequest *Request,
                                      standin::FaultReply *) override {
    applyFaults(m_Core, *Request);
    auto *Reactor = Context->DefaultReactor();
    Reactor->Finish(grpc::Status::OK);
    return Reactor;
  }
  grpc::ServerUnaryReactor *Dump(grpc::CallbackServerContext *Context, const standin::DumpRequest *,
                                 standin::DumpReply *Reply) override {
    *Reply = makeDump(m_Core);
    auto *Reactor = Context->DefaultReactor();
    Reactor->Finish(grpc::Status::OK);
    return Reactor;
  }

private:
  Core &m_Core;
};

} // namespace

} // namespace instance_standin

//-----------------------------------------------------------------------------
// Start and stop
//-----------------------------------------------------------------------------

using namespace instance_standin;

struct StandinInstance {
  Core m_Core;
  InstanceService m_Service{m_Core};
  StandinService m_Faults{m_Core};
  std::unique_ptr<grpc::Server> m_Server;
  std::thread m_Thread;
  std::string m_Address;

  StandinInstance() = default;
  StandinInstance(const StandinInstance &) = delete;
  StandinInstance &operator=(const StandinInstance &) = delete;
  ~StandinInstance() {
    if (!m_Thread.joinable())
      return;
    {
      std::lock_guard Lock(m_Core.m_Mutex);
      m_Core.m_IsStopping = true; // also ends a freeze
      m_Core.m_StateChanged.notify_all();
      for (const auto &Call : m_Core.m_PullCalls)
        Call->m_Context.TryCancel();
    }
    m_Server->Shutdown(std::chrono::system_clock::now());
    {
      std::unique_lock Lock(m_Core.m_Mutex);
      m_Core.m_StateChanged.wait(Lock, [this] { return m_Core.m_PullCalls.empty(); });
    }
    m_Core.m_Io.stop();
    m_Thread.join();
  }
};

std::shared_ptr<StandinInstance> startInstance(const StandinOptions &Options) {
  auto Instance = std::make_shared<StandinInstance>();
  Core &C = Instance->m_Core;
  C.m_Options = Options;
  C.m_Peers = Options.m_Peers;
  uint32_t Size = Options.m_GroupSize != 0 ? Options.m_GroupSize
                                           : static_cast<uint32_t>(Options.m_Peers.size() + 1);
  C.m_Majority = Size / 2 + 1;

  int Port = 0;
  keepCallbackQueue();
  grpc::ServerBuilder Builder;
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddListeningPort(Options.m_Address, grpc::InsecureServerCredentials(), &Port);
  Builder.RegisterService(&Instance->m_Service);
  Builder.RegisterService(&Instance->m_Faults);
  Instance->m_Server = Builder.BuildAndStart();
  if (!Instance->m_Server || Port == 0)
    return nullptr;
  Instance->m_Address =
      Options.m_Address.substr(0, Options.m_Address.rfind(':') + 1) + std::to_string(Port);
  postTask(C, [&C] { startRole(C); });
  Instance->m_Thread = std::thread([&C] {
    auto Work = boost::asio::make_work_guard(C.m_Io);
    C.m_Io.run();
  });
  return Instance;
}

std::vector<std::shared_ptr<StandinInstance>> startGroup(const StandinOptions &Common,
                                                         uint32_t Size) {
  std::vector<std::shared_ptr<StandinInstance>> Group;
  std::map<std::string, std::string> Addresses;
  for (uint32_t Number = 1; Number <= Size; ++Number) {
    StandinOptions Options = Common;
    Options.m_Id = Common.m_Group + "-" + std::to_string(Number);
    Options.m_Address = "127.0.0.1:0";
    Options.m_Peers.clear();
    Options.m_GroupSize = Size;
    Options.m_Primary = Common.m_Group + "-1";
    Group.push_back(startInstance(Options));
    if (!Group.back())
      return {};
    Addresses[Options.m_Id] = instanceAddress(*Group.back());
  }
  for (const auto &Instance : Group)
    setPeers(*Instance, Addresses);
  return Group;
}

std::string instanceAddress(const StandinInstance &Instance) { return Instance.m_Address; }

std::string instanceId(const StandinInstance &Instance) { return Instance.m_Core.m_Options.m_Id; }

void setPeers(StandinInstance &Instance, const std::map<std::string, std::string> &Peers) {
  Core &C = Instance.m_Core;
  std::lock_guard Lock(C.m_Mutex);
  C.m_Peers = Peers;
  C.m_Peers.erase(C.m_Options.m_Id);
}

void setFaults(StandinInstance &Instance, const standin::FaultRequest &Request) {
  applyFaults(Instance.m_Core, Request);
}

standin::DumpReply dumpInstance(StandinInstance &Instance) { return makeDump(Instance.m_Core); }

} // namespace quetzalpaddle

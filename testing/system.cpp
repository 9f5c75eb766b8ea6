// Start of a whole system, calls to its hosts, and a workload that records a history.
#include "system.h"

#include "config_codec.h"
#include "host.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <future>
#include <ranges>
#include <thread>
#include <unistd.h>

namespace quetzalpaddle {

namespace {

constexpr std::chrono::seconds StartTimeout{20};
constexpr std::chrono::seconds CallTimeout{40};

// Ports are below the range of ephemeral ports, because an outgoing connection could take one of
// those before it is used.
constexpr int FirstPort = 10000;
constexpr int PortsPerBlock = 200;
constexpr int PortBlocks = 100;

bool bindPort(boost::asio::ip::tcp::acceptor &Acceptor, int Port) {
  boost::system::error_code Error;
  Acceptor.open(boost::asio::ip::tcp::v4());
  Acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(Port)}, Error);
  if (Error)
    Acceptor.close();
  return !Error;
}

// Claims a block of ports for this process, which holds the first of them until it ends. A host
// that is down leaves its ports free: if another test started a host there, the hosts of both
// systems would take it for theirs, since all tests use the same names and secrets. Returns the
// claimed port, or 0 if there is no free block.
int claimPortBlock() {
  static boost::asio::io_context Io;
  static boost::asio::ip::tcp::acceptor Claim(Io);
  for (int Tries = 0; Tries < PortBlocks; ++Tries) {
    int Port = FirstPort + (getpid() + Tries) % PortBlocks * PortsPerBlock;
    if (bindPort(Claim, Port))
      return Port;
  }
  return 0;
}

// Returns a free port of this process's block, or 0 if there is none.
uint16_t findFreePort() {
  static const int Block = claimPortBlock();
  static std::atomic<int> NextOffset = 0;
  boost::asio::io_context Io;
  for (int Tries = 1; Block != 0 && Tries < PortsPerBlock; ++Tries) {
    int Port = Block + 1 + NextOffset++ % (PortsPerBlock - 1);
    boost::asio::ip::tcp::acceptor Acceptor(Io);
    if (bindPort(Acceptor, Port))
      return static_cast<uint16_t>(Port);
  }
  return 0;
}

std::string dataCentreName(uint32_t Number) { return fmt::format("dc{}", Number + 1); }

Settings makeSettings(const TestSystem &S, uint32_t DataCentre, uint32_t Number) {
  Settings HostSettings = S.m_Options.m_Settings;
  HostSettings.m_HostId = fmt::format("h{}-{}", DataCentre + 1, Number + 1);
  HostSettings.m_DataCentre = dataCentreName(DataCentre);
  for (ListenSettings *Listen : {&HostSettings.m_Callers, &HostSettings.m_Peers,
                                 &HostSettings.m_Operators, &HostSettings.m_MetricsListen}) {
    Listen->m_IsPlainText = true;
    Listen->m_Port = findFreePort();
  }
  HostSettings.m_PlatformAddresses = {platformAddress(*S.m_Platform)};
  HostSettings.m_TokenSecret = "token-secret-for-tests-0123456789";
  HostSettings.m_KeyPepper = "key-pepper-for-tests-0123456789";
  HostSettings.m_OperatorSecret = "operator-secret-for-tests";
  HostSettings.m_PeerSecret = "peer-secret-for-tests";
  return HostSettings;
}

void storeConfiguration(TestSystem &S) {
  Route R;
  for (const Customer &C : S.m_Options.m_Customers) {
    R.m_AllowedCustomers.insert(C.m_Id);
    storeObject(S, "config/customer/" + C.m_Id, encodeCustomer(C, "start"));
    Key K;
    K.m_Id = "k-" + C.m_Id;
    K.m_Customer = C.m_Id;
    std::array<uint8_t, 32> Bytes{};
    Bytes.fill(static_cast<uint8_t>(S.m_Keys.size() + 1));
    std::string Text = makeKey(K.m_Id, Bytes);
    K.m_Hash = hashKey(Text, S.m_Hosts.at(0).m_Settings.m_KeyPepper);
    S.m_Keys[C.m_Id] = Text;
    S.m_FrameLog->m_Secrets.push_back(Text);
    S.m_FrameLog->m_Secrets.push_back(Text.substr(Text.rfind('_') + 1)); // without the id
    storeObject(S, "config/key/" + K.m_Id, encodeKey(K, "start"));
  }
  for (const auto &[Name, Instances] : S.m_Groups) {
    Group G;
    G.m_Name = Name;
    for (uint32_t Number = 0; const auto &Standin : Instances) {
      Instance I;
      I.m_Id = instanceId(*Standin);
      I.m_Address = instanceAddress(*Standin);
      I.m_DataCentre = dataCentreName(Number++ % S.m_Options.m_DataCentres);
      I.m_SlotCount = S.m_Options.m_InstanceOptions.m_SlotCount;
      I.m_ConnectionLimit = S.m_Options.m_InstanceOptions.m_ConnectionLimit;
      G.m_Instances.push_back(I);
    }
    storeObject(S, "config/group/" + Name, encodeGroup(G, "start"));
    R.m_Name = R.m_Group = Name;
    storeObject(S, "config/route/" + Name, encodeRoute(R, "start"));
  }
}

void recordFrame(FrameLog &Log, const std::string &Instance, const instance::ClientFrame &Frame) {
  std::string Text = Frame.SerializeAsString();
  std::scoped_lock Locked(Log.m_Lock);
  ++Log.m_FrameCount;
  if (std::ranges::any_of(Log.m_Secrets, [&Text](const std::string &Secret) {
        return Text.find(Secret) != std::string::npos;
      }))
    ++Log.m_LeakCount;
  if (Frame.has_execute() || Frame.has_begin())
    Log.m_LastWorkAt[Instance] = Clock::now();
}

bool isHostReady(RunningHost &Running, const TestSystem &S) {
  bool IsReady = false;
  runOnControlThread(Running, [&](Host &H) {
    IsReady = H.m_Config.m_Routes.size() == S.m_Groups.size() &&
              std::ranges::all_of(S.m_Groups | std::views::keys, [&](const std::string &Name) {
                return H.m_Views.contains(Name) && !H.m_Views[Name].m_Primary.empty();
              });
  });
  return IsReady;
}

bool startTestHost(TestHost &Host) {
  auto Started = startHost(Host.m_Settings);
  if (const auto *Error = std::get_if<std::string>(&Started)) {
    fmt::print(stderr, "host {}: {}\n", Host.m_Settings.m_HostId, *Error);
    return false;
  }
  Host.m_Running = std::get<0>(Started);
  return true;
}

} // namespace

instance::Statement makeStatement(instance::Op Op, const std::string &Table, const std::string &Key,
                                  const std::string &Value) {
  instance::Statement Statement;
  Statement.set_op(Op);
  Statement.set_table(Table);
  Statement.set_key(Key);
  Statement.set_value(Value);
  return Statement;
}

void storeObject(TestSystem &S, const std::string &Name, const std::string &Payload) {
  platform::PutRequest Request;
  Request.set_name(Name);
  Request.set_value(Payload);
  Request.set_expected_version(readObject(*S.m_Platform, Name).version());
  writeObject(*S.m_Platform, Request);
}

bool waitUntil(const std::function<bool()> &Condition, Duration Timeout) {
  TimePoint End = Clock::now() + Timeout;
  while (!Condition()) {
    if (Clock::now() >= End)
      return false;
    std::this_thread::sleep_for(Millis(5));
  }
  return true;
}

// The first requests are refused with rate_limited: new rate slots start empty, and not every host
// knows their holders immediately.
static bool servesRead(TestSystem &S, size_t Number) {
  CallerRequest Request;
  Request.m_Route = S.m_Groups.begin()->first;
  Request.m_KeyText = S.m_Keys.begin()->second;
  Request.m_Statements = {makeStatement(instance::OP_GET, "counters", "none")};
  return callHost(S, Number, Request).m_Class == AnswerClass::Done;
}

std::unique_ptr<TestSystem> startSystem(const SystemOptions &Options) {
  auto S = std::make_unique<TestSystem>();
  S->m_Options = Options;
  S->m_Options.m_InstanceOptions.m_OnFrame =
      [Log = S->m_FrameLog](const std::string &Instance, const instance::ClientFrame &Frame) {
        recordFrame(*Log, Instance, Frame);
      };
  S->m_Platform = startPlatform({});
  for (const std::string &Name : Options.m_Groups) {
    StandinOptions Common = S->m_Options.m_InstanceOptions;
    Common.m_Group = Name;
    S->m_Groups[Name] = startGroup(Common, Options.m_InstancesPerGroup);
  }
  standin::SetHostsRequest HostList;
  std::vector<uint32_t> Counts = Options.m_HostCounts;
  Counts.resize(Options.m_DataCentres, Options.m_HostsPerDataCentre);
  for (uint32_t DataCentre = 0; DataCentre < Options.m_DataCentres; ++DataCentre)
    for (uint32_t Number = 0; Number < Counts[DataCentre]; ++Number) {
      TestHost Host;
      Host.m_Settings = makeSettings(*S, DataCentre, Number);
      standin::StandinHost &Entry = *HostList.add_hosts();
      Entry.set_host(Host.m_Settings.m_HostId);
      Entry.set_data_centre(Host.m_Settings.m_DataCentre);
      Entry.set_peer_address(fmt::format("127.0.0.1:{}", Host.m_Settings.m_Peers.m_Port));
      S->m_Hosts.push_back(Host);
    }
  for (TestHost &Host : S->m_Hosts)
    for (const auto &Entry : HostList.hosts())
      if (Entry.host() != Host.m_Settings.m_HostId)
        Host.m_Settings.m_SeedPeers.push_back(Entry.peer_address());
  setHostList(*S->m_Platform, HostList);
  storeConfiguration(*S);
  if (!std::ranges::all_of(S->m_Hosts, startTestHost))
    return nullptr;
  bool IsReady = waitUntil(
      [&] {
        return std::ranges::all_of(
            S->m_Hosts, [&](TestHost &Host) { return isHostReady(*Host.m_Running, *S); });
      },
      StartTimeout);
  for (size_t Number = 0; Number < S->m_Hosts.size() && IsReady; ++Number)
    IsReady = waitUntil([&] { return servesRead(*S, Number); }, StartTimeout);
  if (!IsReady) {
    fmt::print(stderr, "the system is not ready: {}\n", dumpHost(*S->m_Hosts[0].m_Running));
    return nullptr;
  }
  return S;
}

void killHost(TestSystem &S, size_t Number) {
  std::shared_ptr<RunningHost> Killed;
  {
    std::scoped_lock Locked(S.m_Lock);
    std::swap(Killed, S.m_Hosts.at(Number).m_Running);
  }
  std::weak_ptr<RunningHost> Observer = Killed;
  Killed.reset();
  waitUntil([&] { return Observer.expired(); }, StartTimeout); // other threads may still use it
}

bool restartHost(TestSystem &S, size_t Number) {
  std::scoped_lock Locked(S.m_Lock);
  S.m_Hosts.at(Number).m_IsClosed = false;
  return startTestHost(S.m_Hosts.at(Number));
}

std::shared_ptr<RunningHost> getHost(TestSystem &S, size_t Number) {
  std::scoped_lock Locked(S.m_Lock);
  return S.m_Hosts.at(Number).m_Running;
}

bool stopHost(TestSystem &S, size_t Number, Duration Timeout) {
  std::shared_ptr<RunningHost> Running = getHost(S, Number);
  auto Done = std::make_shared<std::promise<void>>();
  drainHost(*Running, [Done] { Done->set_value(); });
  std::this_thread::sleep_for(S.m_Hosts[Number].m_Settings.m_Drain.m_NoticeDuration);
  {
    std::scoped_lock Locked(S.m_Lock);
    S.m_Hosts[Number].m_IsClosed = true;
  }
  bool HasEnded = Done->get_future().wait_for(Timeout) == std::future_status::ready;
  // A drained host waits for its HTTP connections, but callHost() uses none: wait for its requests.
  auto IsIdle = [&] { return dumpHost(*Running).find("\"in_progress\": 0") != std::string::npos; };
  HasEnded = waitUntil(IsIdle, Timeout) && HasEnded;
  Running.reset();
  killHost(S, Number);
  return HasEnded;
}

operators::RunReply runStatement(TestSystem &S, size_t Number, const std::string &Text) {
  static std::atomic<uint64_t> NextOperation = 1;
  operators::RunRequest Request;
  Request.set_text(Text);
  Request.set_operation_id(fmt::format("test-{}", NextOperation++));
  operators::RunReply Reply;
  Reply.set_outcome(operators::UNCERTAIN);
  std::shared_ptr<RunningHost> Running = getHost(S, Number);
  if (!Running)
    return Reply;
  auto Answer = std::make_shared<std::promise<operators::RunReply>>();
  auto Result = Answer->get_future();
  runOnControlThread(*Running, [&](Host &H) {
    runOperatorStatement(H, Request,
                         [Answer](const operators::RunReply &R) { Answer->set_value(R); });
  });
  return Result.wait_for(CallTimeout) == std::future_status::ready ? Result.get() : Reply;
}

std::string killInstance(TestSystem &S, const std::string &Group, const std::string &Id) {
  std::string Address = instanceAddress(getInstance(S, Group, Id));
  std::erase_if(S.m_Groups.at(Group), [&](const auto &Each) { return instanceId(*Each) == Id; });
  return Address;
}

bool restartInstance(TestSystem &S, const std::string &Group, const std::string &Id,
                     const std::string &Address) {
  StandinOptions Options = S.m_Options.m_InstanceOptions;
  Options.m_Group = Group;
  Options.m_Id = Id;
  Options.m_Address = Address;
  Options.m_GroupSize = S.m_Options.m_InstancesPerGroup;
  Options.m_IsRestarted = true;
  for (const auto &Each : S.m_Groups.at(Group))
    Options.m_Peers[instanceId(*Each)] = instanceAddress(*Each);
  std::shared_ptr<StandinInstance> Started = startInstance(Options);
  if (Started)
    S.m_Groups.at(Group).push_back(Started);
  return Started != nullptr;
}

CallerAnswer callHost(TestSystem &S, size_t Number, CallerRequest Request) {
  std::shared_ptr<RunningHost> Running;
  {
    std::scoped_lock Locked(S.m_Lock);
    if (!S.m_Hosts.at(Number).m_IsClosed)
      Running = S.m_Hosts.at(Number).m_Running;
  }
  CallerAnswer Answer;
  if (!Running) {
    Answer.m_Reason = Reason::HostUnavailable;
    return Answer;
  }
  Answer.m_Class = AnswerClass::Unknown;
  Answer.m_Reason = Reason::OutcomeUnknown;
  auto Answered = std::make_shared<std::promise<CallerAnswer>>();
  std::future<CallerAnswer> Result = Answered->get_future();
  Host *State = nullptr;
  runOnControlThread(*Running, [&State](Host &H) { State = &H; });
  handleRequest(*State, std::move(Request), [Answered](CallerAnswer HostAnswer) {
    Answered->set_value(std::move(HostAnswer));
  });
  std::weak_ptr<RunningHost> Observer = Running;
  Running.reset();
  Answered.reset();
  TimePoint End = Clock::now() + CallTimeout;
  while (Clock::now() < End && !Observer.expired())
    if (Result.wait_for(Millis(20)) == std::future_status::ready)
      break;
  if (Result.wait_for(Millis(0)) != std::future_status::ready)
    return Answer;
  try {
    return Result.get();
  } catch (const std::future_error &) {
    return Answer;
  }
}

StandinInstance &getInstance(TestSystem &S, const std::string &Group, const std::string &Id) {
  auto &Instances = S.m_Groups.at(Group);
  return **std::ranges::find_if(Instances,
                                [&](const auto &Standin) { return instanceId(*Standin) == Id; });
}

std::string findPrimary(TestSystem &S, const std::string &Group) {
  std::string Primary;
  uint64_t Term = 0;
  for (TestHost &Host : S.m_Hosts) {
    if (!Host.m_Running)
      continue;
    runOnControlThread(*Host.m_Running, [&](struct Host &H) {
      const GroupView &View = H.m_Views[Group];
      if (View.m_Term > Term && !View.m_Primary.empty()) {
        Term = View.m_Term;
        Primary = View.m_Primary;
      }
    });
  }
  return Primary;
}

//-----------------------------------------------------------------------------
// Workload
//-----------------------------------------------------------------------------

struct Workload {
  TestSystem &m_System;
  History &m_History;
  WorkloadOptions m_Options;
  std::atomic<bool> m_Stopping = false;
  std::vector<std::thread> m_Sessions;
};

namespace {

struct SessionState {
  uint64_t m_Id = 0;
  uint64_t m_NextNumber = 0;
  std::string m_Customer;
  std::string m_Token;
  Random m_Rng;
};

CallerRequest makeRequest(const Workload &W, SessionState &Session, RequestKind Kind) {
  CallerRequest Request;
  Request.m_Kind = Kind;
  Request.m_Route = W.m_Options.m_Group;
  Request.m_KeyText = W.m_System.m_Keys.at(Session.m_Customer);
  Request.m_Token = Session.m_Token;
  if (int64_t MaxTimeout = W.m_Options.m_MaxTimeout.count(); MaxTimeout > 0)
    Request.m_Timeout =
        Millis(MaxTimeout / 2 + static_cast<int64_t>(Session.m_Rng() % (MaxTimeout / 2)));
  return Request;
}

HistoryEvent makeEvent(const SessionState &Session, HistoryKind Kind, const std::string &Row) {
  HistoryEvent Event;
  Event.m_Kind = Kind;
  Event.m_Session = Session.m_Id;
  Event.m_Customer = Session.m_Customer;
  Event.m_KeyId = "k-" + Session.m_Customer;
  Event.m_Row = Row;
  return Event;
}

int64_t readNumber(const instance::Row &Row) {
  return Row.value().empty() ? 0 : std::stoll(Row.value());
}

// Sends a request to a random host and records it with its answer.
CallerAnswer callAndRecord(Workload &W, SessionState &Session, const CallerRequest &Request,
                           HistoryEvent Event) {
  size_t Number = Session.m_Rng() % W.m_System.m_Hosts.size();
  Event.m_Host = W.m_System.m_Hosts[Number].m_Settings.m_HostId;
  Event.m_InvokedAt = Clock::now();
  CallerAnswer Answer = callHost(W.m_System, Number, Request);
  Event.m_AnsweredAt = Clock::now();
  Event.m_Class = Answer.m_Class;
  Event.m_Reason = Answer.m_Reason;
  Event.m_RequestId = Request.m_RequestId;
  if (!Answer.m_Token.empty())
    Session.m_Token = Answer.m_Token;
  if (!Answer.m_Rows.empty()) {
    Event.m_AnsweredRow = Answer.m_Rows[0].key();
    Event.m_Value = readNumber(Answer.m_Rows[0]);
    Event.m_SecondValue = readNumber(Answer.m_Rows.back());
  }
  if (Event.m_Kind == HistoryKind::PairWrite || Event.m_Kind == HistoryKind::PairRead)
    Event.m_AnsweredRow = Event.m_Row;
  recordEvent(W.m_History, std::move(Event));
  return Answer;
}

std::string pickRow(const Workload &W, SessionState &Session, std::string_view Prefix) {
  return fmt::format("{}{}", Prefix, Session.m_Rng() % W.m_Options.m_RowCount);
}

// A write whose outcome is unknown is retried with the same request id at a random host.
void runAdd(Workload &W, SessionState &Session) {
  std::string Row = pickRow(W, Session, "row");
  CallerRequest Request = makeRequest(W, Session, RequestKind::Write);
  Request.m_RequestId = fmt::format("s{}-{}", Session.m_Id, Session.m_NextNumber++);
  Request.m_BodyHash = Row;
  Request.m_Statements = {makeStatement(instance::OP_ADD, "counters", Row, "1"),
                          makeStatement(instance::OP_INSERT, "requests", Request.m_RequestId, "1")};
  for (int Try = 0; Try < 4 && !W.m_Stopping; ++Try) {
    CallerAnswer Answer =
        callAndRecord(W, Session, Request, makeEvent(Session, HistoryKind::Add, Row));
    if (Answer.m_Class != AnswerClass::Unknown)
      return;
    Request.m_Token = Session.m_Token;
  }
}

void runRead(Workload &W, SessionState &Session) {
  std::string Row = pickRow(W, Session, "row");
  CallerRequest Request = makeRequest(W, Session, RequestKind::Read);
  Request.m_Statements = {makeStatement(instance::OP_GET, "counters", Row)};
  HistoryEvent Event = makeEvent(Session, HistoryKind::Read, Row);
  Event.m_HasSessionToken = true;
  callAndRecord(W, Session, Request, Event);
}

void runPairRead(Workload &W, SessionState &Session) {
  std::string Row = pickRow(W, Session, "pair");
  CallerRequest Request = makeRequest(W, Session, RequestKind::Read);
  Request.m_Statements = {makeStatement(instance::OP_GET, "pairs", Row + "a"),
                          makeStatement(instance::OP_GET, "pairs", Row + "b")};
  callAndRecord(W, Session, Request, makeEvent(Session, HistoryKind::PairRead, Row));
}

// Writes both rows of a pair in an interactive transaction, each statement through a random host.
void runPairWrite(Workload &W, SessionState &Session) {
  std::string Row = pickRow(W, Session, "pair");
  std::string Value = std::to_string(Session.m_Id * 1000000 + Session.m_NextNumber);
  auto Send = [&](const CallerRequest &Request) {
    HistoryEvent Event = makeEvent(Session, HistoryKind::PairWrite, Row);
    Event.m_InvokedAt = Clock::now();
    CallerAnswer Answer;
    for (size_t Try = 0; Try < W.m_System.m_Hosts.size(); ++Try) {
      Answer = callHost(W.m_System, Session.m_Rng() % W.m_System.m_Hosts.size(), Request);
      if (Answer.m_Reason != Reason::HostUnavailable)
        break;
    }
    if (Answer.m_Class != AnswerClass::Done) {
      Event.m_AnsweredAt = Clock::now();
      Event.m_Class = Answer.m_Class;
      Event.m_Reason = Answer.m_Reason;
      recordEvent(W.m_History, std::move(Event));
    }
    return Answer;
  };
  CallerAnswer BeginAnswer = Send(makeRequest(W, Session, RequestKind::Begin));
  if (BeginAnswer.m_Class != AnswerClass::Done)
    return;
  for (std::string_view Half : {"a", "b"}) {
    CallerRequest Request = makeRequest(W, Session, RequestKind::Statement);
    Request.m_Transaction = BeginAnswer.m_Transaction;
    Request.m_Statements = {
        makeStatement(instance::OP_PUT, "pairs", Row + std::string(Half), Value)};
    if (Send(Request).m_Class != AnswerClass::Done)
      return;
  }
  CallerRequest Commit = makeRequest(W, Session, RequestKind::Commit);
  Commit.m_Transaction = BeginAnswer.m_Transaction;
  Commit.m_RequestId = fmt::format("s{}-{}", Session.m_Id, Session.m_NextNumber++);
  callAndRecord(W, Session, Commit, makeEvent(Session, HistoryKind::PairWrite, Row));
}

void runSession(Workload &W, SessionState Session) {
  while (!W.m_Stopping) {
    uint64_t Choice = Session.m_Rng() % 10;
    if (Choice < 4)
      runAdd(W, Session);
    else if (Choice < 8)
      runRead(W, Session);
    else if (Choice < 9)
      runPairRead(W, Session);
    else
      runPairWrite(W, Session);
    std::this_thread::sleep_for(W.m_Options.m_Pause);
  }
}

} // namespace

std::shared_ptr<Workload> startWorkload(TestSystem &S, History &H, const WorkloadOptions &Options) {
  std::shared_ptr<Workload> W(new Workload{S, H, Options, false, {}});
  for (const Customer &C : S.m_Options.m_Customers)
    H.m_Limits[C.m_Id] = {C.m_Rate, C.m_Burst};
  for (uint32_t Number = 0; Number < Options.m_SessionCount; ++Number) {
    SessionState Session;
    Session.m_Id = Number + 1;
    Session.m_Customer = S.m_Options.m_Customers[Number % S.m_Options.m_Customers.size()].m_Id;
    Session.m_Rng.seed(Options.m_Seed * 1000 + Number);
    W->m_Sessions.emplace_back([W = W.get(), Session] { runSession(*W, Session); });
  }
  return W;
}

void stopWorkload(Workload &W) {
  W.m_Stopping = true;
  std::ranges::for_each(W.m_Sessions, &std::thread::join);
  W.m_Sessions.clear();
}

FinalState readFinalState(TestSystem &S, const std::string &Group) {
  standin::DumpReply Longest;
  for (const auto &Standin : S.m_Groups.at(Group)) {
    standin::DumpReply Dump = dumpInstance(*Standin);
    if (Dump.committed_requests_size() >= Longest.committed_requests_size())
      Longest = Dump;
  }
  FinalState End;
  for (const standin::DumpRow &Row : Longest.rows())
    if (Row.table() == "counters")
      End.m_Counters[Row.key()] = std::stoll(Row.value());
  for (const std::string &Request : Longest.committed_requests())
    ++End.m_EffectCounts[Request.substr(Request.find('/') + 1)];
  return End;
}

} // namespace quetzalpaddle

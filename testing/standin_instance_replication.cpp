#include "standin_instance_core.h"

#include <algorithm>
#include <ranges>

namespace quetzalpaddle::instance_standin {

// The primary answers a pull without updates after this time. Limits the age of the data in an idle
// group.
constexpr Millis MaxPullWait{25};
// The deadline of a pull is MaxPullWait and this margin.
constexpr Millis PullTimeoutMargin{150};
constexpr Millis PullRetryDelay{50};
// gRPC uses its minimum reconnect backoff as the timeout of a connection attempt. With 200 ms,
// attempts on loopback failed on a loaded machine.
constexpr int ConnectTimeoutMs = 1000;
// A read at the primary waits this long for the followers to confirm the primary.
constexpr Millis FreshnessTimeout{100};
constexpr Millis DiscoveryInterval{100};
constexpr Millis DiscoveryDelay{200}; // time without contact after which it starts
constexpr int MaxEntriesPerPull = 256;
constexpr size_t MaxBytesPerPull = 1 << 20;
constexpr uint32_t NotConfirmed = UINT32_MAX;

bool isPrimary(const Core &C) { return C.m_Role == Role::Primary; }

// Returns the last time at which a majority, including this instance, had confirmed that it had not
// promised a higher term.
static TimePoint confirmedAt(const Core &C) {
  if (C.m_Majority <= 1)
    return Clock::now();
  std::vector<TimePoint> Times;
  Times.reserve(C.m_Followers.size());
  for (const auto &[Id, F] : C.m_Followers)
    Times.push_back(F.m_AcknowledgedSentAt);
  if (Times.size() + 1 < C.m_Majority)
    return {};
  std::ranges::sort(Times, std::greater());
  return Times[C.m_Majority - 2];
}

bool hasMajority(const Core &C) {
  TimePoint Now = Clock::now();
  if (Now - C.m_PrimarySince < ContactTimeout)
    return true; // the followers may not know this primary yet
  auto InContact = std::ranges::count_if(
      C.m_Followers, [&](const auto &F) { return Now - F.second.m_PulledAt < ContactTimeout; });
  return static_cast<uint32_t>(InContact) + 1 >= C.m_Majority;
}

bool hasCommittedInTerm(const Core &C) { return C.m_CommittedIndex >= C.m_TermFirstIndex; }

Duration contactAge(const Core &C) {
  TimePoint Last = isPrimary(C) ? std::max(confirmedAt(C), C.m_PrimarySince) : C.m_LastContactAt;
  return Clock::now() - Last;
}

Duration dataAge(const Core &C) {
  TimePoint FreshAt = C.m_FreshAt;
  if (isPrimary(C) && hasCommittedInTerm(C))
    FreshAt = std::max(FreshAt, confirmedAt(C));
  return FreshAt == TimePoint() ? Duration::max() : Clock::now() - FreshAt;
}

uint32_t toMillis(Duration D) {
  auto Rounded = std::chrono::ceil<Millis>(D).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(Rounded, 0, UINT32_MAX));
}

//-----------------------------------------------------------------------------
// Committed and applied entries
//-----------------------------------------------------------------------------

static void answerPulls(Core &C, bool AnswerAll);

void advanceApplied(Core &C) {
  TimePoint Now = Clock::now();
  uint64_t ReplayedIndex = lastIndex(C.m_Log);
  Millis Lag(C.m_Faults.replay_lag_ms());
  if (!isPrimary(C) && Lag > Millis(0)) {
    ReplayedIndex = C.m_AppliedIndex;
    for (const auto &[Index, At] : C.m_ReceiveTimes)
      if (At + Lag <= Now)
        ReplayedIndex = std::max(ReplayedIndex, Index);
  }
  uint64_t AppliedIndex = std::min(C.m_CommittedIndex, ReplayedIndex);
  C.m_AppliedIndex = std::max(C.m_AppliedIndex, AppliedIndex);
  while (!C.m_ReceiveTimes.empty() && C.m_ReceiveTimes.front().first <= C.m_AppliedIndex)
    C.m_ReceiveTimes.pop_front();
  while (!C.m_FreshnessMarks.empty() && C.m_FreshnessMarks.front().m_Index <= C.m_AppliedIndex) {
    C.m_FreshAt = std::max(C.m_FreshAt, C.m_FreshnessMarks.front().m_FreshAt);
    C.m_FreshnessMarks.pop_front();
  }
  Position P = positionAt(C.m_Log, C.m_AppliedIndex);
  std::vector<std::function<void(bool)>> Ready;
  for (auto &[Id, Waiter] : C.m_PositionWaiters)
    if (Waiter.m_Position <= P)
      Ready.push_back(std::move(Waiter.m_OnDone));
  std::erase_if(C.m_PositionWaiters, [&](const auto &W) { return W.second.m_Position <= P; });
  for (const auto &Done : Ready)
    Done(true);
}

void awaitPosition(Core &C, Position P, Duration Timeout, std::function<void(bool)> Done) {
  if (P <= positionAt(C.m_Log, C.m_AppliedIndex)) {
    Done(true);
    return;
  }
  if (Timeout == Duration::zero()) {
    Done(false);
    return;
  }
  uint64_t Id = C.m_NextWaiterId++;
  C.m_PositionWaiters[Id] = {P, std::move(Done)};
  postAfter(C, Timeout, [&C, Id] {
    auto Waiter = C.m_PositionWaiters.extract(Id);
    if (Waiter)
      Waiter.mapped().m_OnDone(false);
  });
}

void awaitFreshness(Core &C, Duration MaxAge, std::function<void(bool)> Done) {
  bool IsFresh = dataAge(C) <= MaxAge;
  if (IsFresh || !isPrimary(C)) {
    Done(IsFresh);
    return;
  }
  uint64_t Id = C.m_NextWaiterId++;
  C.m_FreshnessWaiters[Id] = {MaxAge, std::move(Done)};
  answerPulls(C, true); // the next pulls of the followers confirm this primary
  postAfter(C, FreshnessTimeout, [&C, Id] {
    auto Waiter = C.m_FreshnessWaiters.extract(Id);
    if (Waiter)
      Waiter.mapped().m_OnDone(false);
  });
}

// Answers the reads that wait for fresh data. Called when a follower has confirmed this primary.
static void updateFreshness(Core &C) {
  Duration Age = dataAge(C);
  std::vector<std::function<void(bool)>> Ready;
  std::erase_if(C.m_FreshnessWaiters, [&](auto &Waiter) {
    if (Waiter.second.m_MaxAge < Age)
      return false;
    Ready.push_back(Waiter.second.m_OnDone);
    return true;
  });
  for (const auto &Done : Ready)
    Done(true);
}

static void expireCommitWaiters(Core &C) {
  C.m_IsCommitTimerSet = false;
  TimePoint Now = Clock::now();
  while (!C.m_CommitWaiters.empty() && C.m_CommitWaiters.front().m_Deadline <= Now) {
    auto Done = std::move(C.m_CommitWaiters.front().m_OnDone);
    C.m_CommitWaiters.pop_front();
    Done(false);
  }
  if (C.m_CommitWaiters.empty() || C.m_IsCommitTimerSet)
    return;
  C.m_IsCommitTimerSet = true;
  postAfter(C, C.m_CommitWaiters.front().m_Deadline - Now, [&C] { expireCommitWaiters(C); });
}

void awaitCommit(Core &C, uint64_t Index, std::function<void(bool)> Done) {
  if (Index <= C.m_CommittedIndex) {
    Done(true);
    return;
  }
  C.m_CommitWaiters.push_back({Index, Clock::now() + CommitTimeout, std::move(Done)});
  if (!C.m_IsCommitTimerSet)
    expireCommitWaiters(C);
}

// Fails every waiting write: another primary decides whether its entry is kept.
static void failCommitWaiters(Core &C) {
  auto Waiters = std::exchange(C.m_CommitWaiters, {});
  for (const CommitWaiter &Waiter : Waiters)
    Waiter.m_OnDone(false);
}

//-----------------------------------------------------------------------------
// Primary
//-----------------------------------------------------------------------------

static void sendPullReply(Core &C, Follower &F, const PendingPull &Pull) {
  if (!Pull.m_Call->m_Reactor)
    return; // cancelled by the follower; its reply message is destroyed
  instance::PullReply &Reply = *Pull.m_Reply;
  Reply.set_accepted(true);
  Reply.set_primary(true);
  Reply.set_term(C.m_Term);
  size_t Bytes = 0;
  for (uint64_t I = Pull.m_LastPosition.m_Index;
       I < lastIndex(C.m_Log) && Reply.entries_size() < MaxEntriesPerPull &&
       Bytes < MaxBytesPerPull;
       ++I) {
    *Reply.add_entries() = C.m_Log.m_Entries[I];
    Bytes += C.m_Log.m_Entries[I].ByteSizeLong();
  }
  toMessage(positionAt(C.m_Log, C.m_CommittedIndex), Reply.mutable_committed());
  F.m_SentCommittedIndex = C.m_CommittedIndex;
  TimePoint Now = Clock::now();
  Reply.set_primary_time(static_cast<uint64_t>(Now.time_since_epoch().count()));
  TimePoint ConfirmedTime = confirmedAt(C);
  bool IsKnown = ConfirmedTime != TimePoint() && hasCommittedInTerm(C);
  Reply.set_confirmed_age_ms(IsKnown ? toMillis(Now - ConfirmedTime) : NotConfirmed);
  finishCall(Pull.m_Call, grpc::Status::OK);
}

// Answers waiting pulls for which there are updates, or all of them.
static void answerPulls(Core &C, bool AnswerAll) {
  for (auto &[Id, F] : C.m_Followers) {
    if (!F.m_PendingPull)
      continue;
    bool HasUpdate = F.m_PendingPull->m_LastPosition.m_Index < lastIndex(C.m_Log) ||
                     F.m_SentCommittedIndex < C.m_CommittedIndex;
    if (!HasUpdate && !AnswerAll)
      continue;
    PendingPull Pull = *std::exchange(F.m_PendingPull, std::nullopt);
    if (C.m_Faults.cut_peers())
      continue; // the answer is lost; the follower's call times out
    sendPullReply(C, F, Pull);
  }
}

static void advanceCommitted(Core &C) {
  std::vector<uint64_t> MatchIndexes{lastIndex(C.m_Log)};
  for (const auto &[Id, F] : C.m_Followers)
    MatchIndexes.push_back(F.m_MatchIndex);
  if (MatchIndexes.size() < C.m_Majority)
    return;
  std::ranges::sort(MatchIndexes, std::greater());
  uint64_t Index = MatchIndexes[C.m_Majority - 1];
  // Entries of earlier terms are committed only together with a later one of this primary's term.
  if (Index <= C.m_CommittedIndex || Index < C.m_TermFirstIndex)
    return;
  C.m_CommittedIndex = Index;
  advanceApplied(C);
  std::vector<std::function<void(bool)>> Ready;
  std::deque<CommitWaiter> Waiting;
  for (CommitWaiter &Waiter : C.m_CommitWaiters) {
    if (Waiter.m_Index > Index)
      Waiting.push_back(std::move(Waiter));
    else
      Ready.push_back(std::move(Waiter.m_OnDone));
  }
  C.m_CommitWaiters = std::move(Waiting);
  for (const auto &Done : Ready)
    Done(true);
  answerPulls(C, false);
}

void commitEntry(Core &C, instance::LogEntry Entry, std::function<void(bool)> Done) {
  uint64_t Index = lastIndex(C.m_Log) + 1;
  toMessage({C.m_Term, Index}, Entry.mutable_position());
  appendEntry(C.m_Log, std::move(Entry), C.m_AppliedIndex);
  awaitCommit(C, Index, std::move(Done));
  answerPulls(C, false);
  advanceCommitted(C); // in a group of one the entry is committed already
}

// Returns the position of the primary's log to which a follower with a diverging log truncates its
// own.
static Position findMatchPosition(const Core &C, Position Last) {
  uint64_t Index = std::min(Last.m_Index, lastIndex(C.m_Log));
  while (Index > 0 && positionAt(C.m_Log, Index).m_Term > Last.m_Term)
    --Index;
  return positionAt(C.m_Log, Index);
}

void handlePull(Core &C, const UnaryPtr &Call, const instance::PullRequest &Request,
                instance::PullReply *Reply) {
  if (C.m_Faults.cut_peers())
    return; // no answer; the follower's call times out
  Reply->set_term(C.m_Term);
  Reply->set_primary(isPrimary(C));
  if (!isPrimary(C) || Request.term() != C.m_Term) {
    finishCall(Call, grpc::Status::OK);
    return;
  }
  Position Last = fromMessage(Request.last());
  if (Last.m_Index > lastIndex(C.m_Log) || positionAt(C.m_Log, Last.m_Index) != Last) {
    Reply->set_accepted(true);
    Reply->set_truncate(true);
    toMessage(findMatchPosition(C, Last), Reply->mutable_match());
    finishCall(Call, grpc::Status::OK);
    return;
  }
  Follower &F = C.m_Followers[Request.follower()];
  F.m_PulledAt = Clock::now();
  F.m_MatchIndex = Last.m_Index; // decreases if the follower has restarted without data
  if (Request.echo_time() != 0)
    F.m_AcknowledgedSentAt =
        std::max(F.m_AcknowledgedSentAt,
                 TimePoint(Duration(static_cast<Duration::rep>(Request.echo_time()))));
  PendingPull Pull{Call, Reply, Last, C.m_NextPullNumber++};
  if (Request.contact_only()) {
    Pull.m_LastPosition.m_Index = lastIndex(C.m_Log);
    sendPullReply(C, F, Pull);
    advanceCommitted(C);
    return;
  }
  if (F.m_PendingPull) // the follower no longer waits for it
    finishCall(F.m_PendingPull->m_Call, {grpc::StatusCode::ABORTED, "replaced by a later pull"});
  F.m_PendingPull = Pull;
  // The timer is set before the call can be finished, which destroys Request.
  Millis Wait = std::min(Millis(Request.wait_ms()), ContactTimeout);
  postAfter(C, Wait, [&C, Id = Request.follower(), Number = Pull.m_Number] {
    auto Found = C.m_Followers.find(Id);
    if (Found == C.m_Followers.end() || !Found->second.m_PendingPull ||
        Found->second.m_PendingPull->m_Number != Number)
      return;
    PendingPull ExpiredPull = *std::exchange(Found->second.m_PendingPull, std::nullopt);
    if (!C.m_Faults.cut_peers())
      sendPullReply(C, Found->second, ExpiredPull);
  });
  advanceCommitted(C);
  updateFreshness(C);
  answerPulls(C, false);
}

//-----------------------------------------------------------------------------
// Roles
//-----------------------------------------------------------------------------

// Ends the current role: no write of it is acknowledged or replicated any more.
static void leaveRole(Core &C) {
  if (isPrimary(C)) {
    if (hasCommittedInTerm(C))
      C.m_FreshAt = std::max(C.m_FreshAt, confirmedAt(C));
    C.m_ReceiveTimes.assign({{lastIndex(C.m_Log), Clock::now()}});
  }
  C.m_Role = Role::Idle;
  ++C.m_Epoch;
  C.m_EchoTime = 0;
  C.m_IsReceiving = false;
  auto Followers = std::exchange(C.m_Followers, {});
  for (auto &[Id, F] : Followers) {
    if (!F.m_PendingPull || !F.m_PendingPull->m_Call->m_Reactor || C.m_Faults.cut_peers())
      continue;
    F.m_PendingPull->m_Reply->set_term(C.m_Term);
    finishCall(F.m_PendingPull->m_Call, grpc::Status::OK);
  }
  failCommitWaiters(C);
}

static void becomePrimary(Core &C) {
  leaveRole(C);
  C.m_Role = Role::Primary;
  C.m_Primary = C.m_Options.m_Id;
  C.m_PrimaryAddress.clear();
  C.m_PrimarySince = Clock::now();
  C.m_FreshnessMarks.clear();
  C.m_TermFirstIndex = lastIndex(C.m_Log) + 1;
  advanceApplied(C);
  commitEntry(C, {}, [](bool) {});
}

static void becomeFollower(Core &C, uint64_t Term, const std::string &Primary,
                           const std::string &Address) {
  if (Term != C.m_Term)
    C.m_Proposer.clear();
  C.m_Term = Term;
  C.m_Primary = Primary;
  leaveRole(C);
  C.m_Role = Role::Following;
  C.m_PrimaryAddress = Address;
  C.m_LastContactAt = Clock::now(); // restarts the time limit for contact with a primary
  pullNext(C);
}

void startRole(Core &C) {
  C.m_LastContactAt = Clock::now();
  C.m_HasCaughtUp = !C.m_Options.m_IsRestarted;
  if (!C.m_Options.m_IsRestarted && !C.m_Options.m_Primary.empty()) {
    C.m_Term = 1;
    if (C.m_Options.m_Primary == C.m_Options.m_Id)
      becomePrimary(C);
    else
      becomeFollower(C, 1, C.m_Options.m_Primary, "");
  }
  discoverPrimary(C);
}

//-----------------------------------------------------------------------------
// Follower
//-----------------------------------------------------------------------------

static void handlePullReply(Core &C, const std::shared_ptr<PullCall> &Call, bool Ok);

static void sendPull(Core &C, const std::string &Peer, const std::string &Address, uint64_t Epoch,
                     bool ContactOnly) {
  auto &Stub = C.m_Stubs[Address];
  if (!Stub) {
    grpc::ChannelArguments Arguments;
    Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 20);
    Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ConnectTimeoutMs);
    Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 100);
    Arguments.SetMaxReceiveMessageSize(-1);
    Stub = instance::Instance::NewStub(
        grpc::CreateCustomChannel(Address, grpc::InsecureChannelCredentials(), Arguments));
  }
  auto Call = std::make_shared<PullCall>();
  Call->m_Peer = Peer;
  Call->m_Epoch = Epoch;
  Call->m_SentAt = Clock::now();
  Call->m_Request.set_follower(C.m_Options.m_Id);
  Call->m_Request.set_term(C.m_Term);
  toMessage(positionAt(C.m_Log, lastIndex(C.m_Log)), Call->m_Request.mutable_last());
  Call->m_Request.set_wait_ms(static_cast<uint32_t>(MaxPullWait.count()));
  Call->m_Request.set_contact_only(ContactOnly);
  if (Epoch != 0)
    Call->m_Request.set_echo_time(C.m_EchoTime);
  Call->m_Context.set_deadline(std::chrono::system_clock::now() + MaxPullWait + PullTimeoutMargin);
  C.m_PullCalls.insert(Call);
  Stub->async()->Pull(&Call->m_Context, &Call->m_Request, &Call->m_Reply,
                      [&C, Call](const grpc::Status &Status) {
                        postTask(C, [&C, Call, Ok = Status.ok()] {
                          C.m_PullCalls.erase(Call);
                          C.m_StateChanged.notify_all();
                          if (!C.m_IsStopping)
                            handlePullReply(C, Call, Ok);
                        });
                      });
}

static std::string primaryAddress(const Core &C) {
  if (!C.m_PrimaryAddress.empty())
    return C.m_PrimaryAddress;
  auto Peer = C.m_Peers.find(C.m_Primary);
  return Peer == C.m_Peers.end() ? "" : Peer->second;
}

static void schedulePull(Core &C, Duration Delay) {
  postAfter(C, Delay, [&C, Epoch = C.m_Epoch] {
    if (Epoch == C.m_Epoch)
      pullNext(C);
  });
}

void pullNext(Core &C) {
  if (C.m_Role != Role::Following || C.m_IsStopping)
    return;
  std::string Address = primaryAddress(C);
  if (Address.empty() || C.m_Faults.cut_peers())
    schedulePull(C, PullRetryDelay);
  else
    sendPull(C, C.m_Primary, Address, C.m_Epoch, C.m_IsReceiving);
}

// Truncates the log to an entry that it may share with the primary's. Removes only entries that are
// known to differ.
static void truncateToMatch(Core &C, Position Match) {
  uint64_t Index = std::min(Match.m_Index, lastIndex(C.m_Log));
  while (Index > 0 && positionAt(C.m_Log, Index).m_Term > Match.m_Term)
    --Index;
  if (Index < C.m_CommittedIndex) {
    // A primary that lacks committed entries has lost its data.
    schedulePull(C, PullRetryDelay);
    return;
  }
  truncateLog(C.m_Log, Index);
  std::erase_if(C.m_ReceiveTimes, [&](const auto &R) { return R.first > Index; });
  pullNext(C);
}

// Appends the entries of an answer and updates the committed and applied indexes.
static void applyPullReply(Core &C, const PullCall &Call) {
  const instance::PullReply &Reply = Call.m_Reply;
  for (const instance::LogEntry &Entry : Reply.entries())
    if (Entry.position().index() == lastIndex(C.m_Log) + 1)
      appendEntry(C.m_Log, Entry, C.m_AppliedIndex);
  if (!Reply.entries().empty())
    C.m_ReceiveTimes.emplace_back(lastIndex(C.m_Log), Clock::now());
  C.m_CommittedIndex =
      std::max(C.m_CommittedIndex, std::min(Reply.committed().index(), lastIndex(C.m_Log)));
  if (Reply.committed().index() <= lastIndex(C.m_Log)) {
    C.m_HasCaughtUp = true;
    if (Reply.confirmed_age_ms() != NotConfirmed)
      C.m_FreshnessMarks.push_back(
          {Reply.committed().index(), Call.m_SentAt - Millis(Reply.confirmed_age_ms())});
  }
  advanceApplied(C);
  if (C.m_Faults.replay_lag_ms() > 0)
    postAfter(C, Millis(C.m_Faults.replay_lag_ms()), [&C] { advanceApplied(C); });
}

// Follows a primary of a higher term, or of the promised term if this instance has no role in it.
// Returns whether it did.
static bool adoptPrimary(Core &C, const PullCall &Call) {
  const instance::PullReply &Reply = Call.m_Reply;
  if (!Reply.primary() || Reply.term() < C.m_Term ||
      (Reply.term() == C.m_Term && C.m_Role != Role::Idle))
    return false;
  becomeFollower(C, Reply.term(), Call.m_Peer, "");
  return true;
}

static void handlePullReply(Core &C, const std::shared_ptr<PullCall> &Call, bool Ok) {
  const instance::PullReply &Reply = Call->m_Reply;
  bool IsCurrent = Call->m_Epoch == C.m_Epoch && C.m_Role == Role::Following;
  if (!Ok || C.m_Faults.cut_peers()) {
    if (IsCurrent)
      schedulePull(C, PullRetryDelay);
    return;
  }
  if ((IsCurrent || Call->m_Epoch == 0) && adoptPrimary(C, *Call))
    return;
  if (!IsCurrent)
    return;
  if (!Reply.accepted()) {
    schedulePull(C, PullRetryDelay);
    return;
  }
  if (Reply.truncate()) {
    truncateToMatch(C, fromMessage(Reply.match()));
    return;
  }
  C.m_LastContactAt = Clock::now();
  C.m_EchoTime = Reply.primary_time();
  if (Call->m_Request.contact_only()) {
    if (C.m_IsReceiving)
      schedulePull(C, PullRetryDelay);
    else
      pullNext(C);
    return;
  }
  Millis Lag(C.m_Faults.receive_lag_ms());
  if (Lag == Millis(0) || Reply.entries().empty()) {
    applyPullReply(C, *Call);
    pullNext(C);
    return;
  }
  // Simulates entries that arrive late; contact with the primary continues meanwhile.
  C.m_IsReceiving = true;
  postAfter(C, Lag, [&C, Call] {
    if (Call->m_Epoch != C.m_Epoch)
      return;
    C.m_IsReceiving = false;
    applyPullReply(C, *Call);
  });
  schedulePull(C, PullRetryDelay);
}

void discoverPrimary(Core &C) {
  if (C.m_IsStopping)
    return;
  bool HasLostContact =
      isPrimary(C) ? !hasMajority(C) : Clock::now() - C.m_LastContactAt > DiscoveryDelay;
  if ((HasLostContact || C.m_Role == Role::Idle) && !C.m_Faults.cut_peers())
    for (const auto &[Peer, Address] : C.m_Peers)
      sendPull(C, Peer, Address, 0, true);
  postAfter(C, DiscoveryInterval, [&C] { discoverPrimary(C); });
}

//-----------------------------------------------------------------------------
// Control calls
//-----------------------------------------------------------------------------

void handleStatus(Core &C, instance::StatusReply *Reply) {
  Reply->set_instance(C.m_Options.m_Id);
  Reply->set_group(C.m_Options.m_Group);
  Reply->set_term(C.m_Term);
  Reply->set_primary(isPrimary(C));
  Reply->set_primary_hint(C.m_Primary);
  toMessage(positionAt(C.m_Log, lastIndex(C.m_Log)), Reply->mutable_last());
  toMessage(positionAt(C.m_Log, C.m_AppliedIndex), Reply->mutable_applied());
  Reply->set_contact_age_ms(toMillis(contactAge(C)));
  Reply->set_data_age_ms(toMillis(dataAge(C)));
  Reply->set_connections(C.m_ConnectionCount);
}

void handleFence(Core &C, const instance::FenceRequest &Request, instance::FenceReply *Reply) {
  bool IsRepeated =
      Request.term() == C.m_Term && !C.m_Proposer.empty() && Request.proposer() == C.m_Proposer;
  bool IsHigherTerm = Request.term() > C.m_Term && C.m_HasCaughtUp && !Request.proposer().empty();
  if (IsHigherTerm) {
    C.m_Term = Request.term();
    C.m_Proposer = Request.proposer();
    C.m_Primary.clear();
    leaveRole(C);
  }
  Reply->set_granted(IsHigherTerm || IsRepeated);
  Reply->set_term(C.m_Term);
  toMessage(positionAt(C.m_Log, lastIndex(C.m_Log)), Reply->mutable_last());
}

void handlePromote(Core &C, const instance::PromoteRequest &Request,
                   instance::PromoteReply *Reply) {
  bool IsGranted = Request.term() == C.m_Term && !C.m_Proposer.empty() &&
                   Request.proposer() == C.m_Proposer && C.m_Role != Role::Following;
  if (IsGranted && !isPrimary(C))
    becomePrimary(C);
  Reply->set_promoted(IsGranted);
  Reply->set_term(C.m_Term);
}

void handleFollow(Core &C, const instance::FollowRequest &Request, instance::FollowReply *Reply) {
  Reply->set_term(C.m_Term);
  if (Request.primary() == C.m_Options.m_Id) {
    Reply->set_accepted(isPrimary(C) && Request.term() == C.m_Term);
    return;
  }
  if (Request.term() == C.m_Term && C.m_Role != Role::Idle) { // a term has one primary
    Reply->set_accepted(C.m_Role == Role::Following && C.m_Primary == Request.primary());
    return;
  }
  if (Request.term() < C.m_Term)
    return;
  becomeFollower(C, Request.term(), Request.primary(), Request.primary_address());
  Reply->set_accepted(true);
  Reply->set_term(C.m_Term);
}

} // namespace quetzalpaddle::instance_standin

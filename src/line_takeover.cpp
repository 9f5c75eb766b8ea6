// Carries out promotions in the groups whose promotion duty this host holds, or takes while no
// other host tells that it holds it and this one is first in rendezvous order.
//
// The holder of a group's duty is recorded in the platform's store; the token rises with every
// holder and with every attempt, by a conditional update before the first call of the attempt. An
// order that was not answered may be carried out later: within an attempt it is repeated for the
// same instance only, and the next attempt's higher token makes the platform refuse it.
#include "line_host.h"

#include "platform/line_codec.h"
#include "platform/store_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

// How often the groups are looked at.
constexpr Millis LookInterval{100};
constexpr Millis LeafLookInterval{500}; // at hosts that are no hubs: only whether they became one
// Polls while a promotion is awaited.
constexpr Millis PollInterval{120};
// The duty is taken over beforehand once this host has been first in order for so long.
constexpr Millis SettleTime{1000};
// A suspension needs a term above the group's newest one, which a replica that lags may not know.
constexpr uint64_t TermMargin = 10;
// Polls until the heir of a handover has caught up.
constexpr int CatchUpRounds = 5;
// Instances are told whom the connection serves.
constexpr const char *ControlCustomer = "quetzalpaddle";

const TakeoverSettings Settings;

// A status, suspend or resume statement on a connection of its own.
struct ControlAnswer {
  bool m_Reached = false; // it answered, if only that it is busy
  std::optional<LineStatus> m_Status;
};

Awaitable<ControlAnswer> control(LineHost &Host, std::string Address, std::string Group,
                                 std::string Instance, std::string Text) {
  ControlAnswer Result;
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    co_return Result;
  auto C = std::make_shared<LineConnection>(Tcp::socket(Host.m_Io));
  ScopedDeadline Limit(Host.m_Watchdog, bootNow() + Settings.m_ProbeTimeout,
                       [C] { closeSocket(C->m_Socket); });
  auto [Error] = co_await C->m_Socket.async_connect(*Endpoint, AsTuple);
  if (Error)
    co_return Result;
  co_await writeText(*C, platform::formatConnect(Group, ControlCustomer, Instance) +
                             platform::formatQuery(platform::OwnStatementId, Text));
  for (int Readies = 0; Readies < 2;) {
    auto Line = co_await readLine(*C, platform::MaxMessageBytes);
    if (!Line)
      break;
    auto Message = platform::parseInstanceMessage(*Line);
    if (auto *Row = std::get_if<platform::RowMessage>(&Message))
      Result.m_Status = platform::parseStatus(Row->m_Row);
    else if (auto *Refused = std::get_if<platform::ErrorMessage>(&Message))
      Result.m_Reached = Refused->m_Code == "BUSY" || Refused->m_Code == "OVERLOAD";
    else if (std::holds_alternative<platform::ReadyMessage>(Message))
      ++Readies;
  }
  Result.m_Reached = Result.m_Reached || Result.m_Status.has_value();
  closeSocket(C->m_Socket);
  co_return Result;
}

// The same statement to several instances at once.
Awaitable<std::map<std::string, ControlAnswer>>
controlAll(LineHost &Host, std::string Group, std::set<std::string> Instances, std::string Text) {
  struct Round {
    explicit Round(asio::io_context &Io) : m_Done(Io) {}
    std::map<std::string, ControlAnswer> m_Answers;
    size_t m_Left = 0;
    Wakeup m_Done;
  };
  auto Shared = std::make_shared<Round>(Host.m_Io);
  Shared->m_Left = Instances.size();
  auto Ask = [](LineHost &H, std::shared_ptr<Round> R, std::string Address, std::string G,
                std::string Id, std::string T) -> Awaitable<void> {
    R->m_Answers[Id] = co_await control(H, Address, G, Id, T);
    if (--R->m_Left == 0)
      R->m_Done.wake();
  };
  if (Instances.empty())
    co_return Shared->m_Answers;
  for (const std::string &Id : Instances) {
    const LineInstance *I = findInstance(Host, Id);
    asio::co_spawn(Host.m_Io, Ask(Host, Shared, I ? I->m_Address : "", Group, Id, Text),
                   asio::detached);
  }
  co_await Shared->m_Done.wait();
  co_return Shared->m_Answers;
}

std::set<std::string> listInstances(const LineGroup &Group, bool Replicas) {
  std::set<std::string> Ids;
  for (const auto &[Id, I] : Group.m_Instances)
    if (I.m_IsListed && !(Replicas && Id == Group.m_Primary))
      Ids.insert(Id);
  return Ids;
}

// Replicas that may hold commits that others lack: also those that have left the list.
std::set<std::string> listMissing(const LineGroup &Group, const std::string &Primary,
                                  const std::map<std::string, LineStatus> &Answered) {
  std::set<std::string> Missing;
  for (const auto &[Id, I] : Group.m_Instances)
    if (Id != Primary && !Answered.contains(Id))
      Missing.insert(Id);
  return Missing;
}

std::map<std::string, LineStatus> statuses(const std::map<std::string, ControlAnswer> &Answers) {
  std::map<std::string, LineStatus> Result;
  for (const auto &[Id, A] : Answers)
    if (A.m_Status)
      Result[Id] = *A.m_Status;
  return Result;
}

void logTakeover(const LineGroup &Group, Takeover &T, std::string_view Event, std::string Why,
                 const std::string &Instance = "") {
  T.m_Reason = Why;
  logLine(LogLevel::Info, Event,
          {{"group", Group.m_Name},
           {"instance", Instance},
           {"primary", Group.m_Primary},
           {"token", std::to_string(T.m_Duty.m_Token)},
           {"why", std::move(Why)}});
}

// The duty as the store has it; token 0 if nobody has held it yet. Nothing if the store does not
// answer.
Awaitable<std::optional<PromotionDuty>> readDuty(LineHost &Host, const std::string &Group) {
  auto Read = co_await platform::getObject(Host.m_StoreClient, platform::DutyKind, Group);
  auto *Object = std::get_if<StoredObjectVersion>(&Read);
  std::optional<PromotionDuty> Result;
  if (Object) {
    auto Decoded = platform::decodeDuty(Object->m_Payload);
    if (auto *Duty = std::get_if<PromotionDuty>(&Decoded))
      Result = *Duty;
    else
      logLine(LogLevel::Error, "duty_malformed",
              {{"group", Group}, {"why", std::get<std::string>(Decoded)}});
  } else if (std::get<StoreFault>(Read) == StoreFault::NotFound) {
    Result.emplace();
  } else {
    logLine(LogLevel::Warning, "duty_unreadable",
            {{"group", Group}, {"why", std::string(storeFaultName(std::get<StoreFault>(Read)))}});
  }
  co_return Result;
}

// Raises the duty's token in the store. Without the store the token that this host holds serves on.
Awaitable<bool> takeDuty(LineHost &Host, LineGroup &Group, Takeover &T) {
  auto Read = co_await readDuty(Host, Group.m_Name);
  if (!Read)
    co_return T.m_Duty.m_Token != 0;
  PromotionDuty Next = *Read;
  auto Holder = Host.m_Members.m_Hosts.find(Next.m_Holder);
  uint64_t Incarnation = Holder == Host.m_Members.m_Hosts.end() ? 0 : Holder->second.m_Incarnation;
  if (!mayTakeDuty(T, Next, Host.m_Settings.m_Host, Incarnation, bootNow(), Settings)) {
    logTakeover(Group, T, "duty_left", "held by " + Next.m_Holder);
    co_return false;
  }
  Next.m_Holder = Host.m_Settings.m_Host;
  Next.m_Incarnation = Host.m_Incarnation;
  ++Next.m_Token;
  std::string Body = platform::encodeDuty(Group.m_Name, Next);
  platform::StoreResult<StoredObjectVersion> Written = StoreFault::NoAnswer;
  if (Next.m_Revision == 0)
    Written = co_await platform::createObject(Host.m_StoreClient, platform::DutyKind, Body);
  else
    Written = co_await platform::replaceObject(Host.m_StoreClient, platform::DutyKind, Group.m_Name,
                                               Body);
  auto *Object = std::get_if<StoredObjectVersion>(&Written);
  if (!Object) {
    logLine(LogLevel::Warning, "duty_not_taken",
            {{"group", Group.m_Name},
             {"why", std::string(storeFaultName(std::get<StoreFault>(Written)))}});
    co_return false;
  }
  Next.m_Revision = Object->m_Revision;
  T.m_Duty = Next;
  T.m_DutyTakenAt = bootNow();
  logTakeover(Group, T, "duty_taken", "token raised");
  co_return true;
}

// Whether no other host has taken the duty since. If the store does not answer, for as long as
// another host has to wait before it takes it.
Awaitable<bool> holdsDuty(LineHost &Host, const std::string &Group, const Takeover &T) {
  auto Read = co_await readDuty(Host, Group);
  if (!Read)
    co_return bootNow() - T.m_DutyTakenAt < Settings.m_HolderGracePeriod / 2;
  co_return Read->m_Token == T.m_Duty.m_Token && Read->m_Holder == T.m_Duty.m_Holder;
}

Awaitable<void> resumeSuspended(LineHost &Host, std::string Group, std::set<std::string> Ids) {
  // An instance that was promoted, or restarted, receives anyway.
  co_await controlAll(Host, std::move(Group), std::move(Ids), std::string(platform::ResumeText));
}

// Lets every replica receive again: an attempt of this or another host may have broken off.
Awaitable<void> resumeAll(LineHost &Host, std::string GroupName) {
  LineGroup &Group = Host.m_Groups[GroupName];
  Takeover &T = Host.m_Takeovers[GroupName];
  bool Holds = co_await takeDuty(Host, Group, T);
  if (Holds) {
    std::set<std::string> Replicas = listInstances(Group, true);
    T.m_ResumedAt = bootNow();
    logTakeover(Group, T, "replicas_resumed", "duty taken or writes stall");
    co_await resumeSuspended(Host, GroupName, Replicas);
  }
  T.m_IsRunning = false;
}

// Orders the promotion until the instance leads. Returns whether it does.
Awaitable<bool> promote(LineHost &Host, LineGroup &Group, Takeover &T, std::string Candidate) {
  TimePoint Until = bootNow() + Settings.m_PromotionTimeout;
  TimePoint OrderedAt{};
  bool Accepted = false;
  // An order without an answer may be carried out later, when the replicas receive again and the
  // candidate no longer holds everything: the attempt goes on until an order is answered.
  bool Unanswered = false;
  while (bootNow() < Until || (Unanswered && !Accepted)) {
    if (!Accepted && bootNow() - OrderedAt > Settings.m_OrderRetryInterval) {
      OrderedAt = bootNow();
      auto Answer =
          co_await platform::orderPromotion(Host.m_StoreClient, Group.m_Name, Candidate, T.m_Duty);
      logTakeover(Group, T, "promotion_ordered",
                  Answer == PromotionResult::Accepted     ? "accepted"
                  : Answer == PromotionResult::Superseded ? "outrun"
                  : Answer == PromotionResult::Refused    ? "refused"
                                                          : "no answer",
                  Candidate);
      Accepted = Answer == PromotionResult::Accepted;
      Unanswered = Unanswered || Answer == PromotionResult::NoAnswer;
      if (Answer == PromotionResult::Superseded)
        co_return false;
    }
    const LineInstance *I = findInstance(Host, Candidate);
    if (!I)
      co_return false;
    if (I->m_ReportsPrimary)
      co_return true;
    auto Asked = co_await control(Host, I->m_Address, Group.m_Name, Candidate,
                                  std::string(platform::StatusText));
    if (Asked.m_Status && Asked.m_Status->m_IsPrimary)
      co_return true;
    co_await sleepFor(Host.m_Io, PollInterval);
  }
  co_return false;
}

uint64_t highestTerm(const std::map<std::string, LineStatus> &Known) {
  uint64_t Term = 0;
  for (const auto &[Id, Status] : Known)
    Term = std::max({Term, Status.m_Term, Status.m_ReceivedPosition.m_Term});
  return Term;
}

// Hands over from a primary that is well: all other replicas stop receiving, so that every
// acknowledged commit goes through the heir.
Awaitable<std::string> prepareHandover(LineHost &Host, LineGroup &Group, Takeover &T) {
  auto Asked = statuses(co_await controlAll(Host, Group.m_Name, listInstances(Group, false),
                                            std::string(platform::StatusText)));
  std::string Heir = chooseSwitchoverCandidate(Group, Asked);
  if (Heir.empty() || !Asked.contains(Group.m_Primary))
    co_return std::string();
  std::set<std::string> Others = listInstances(Group, true);
  Others.erase(Heir);
  auto Suspended = statuses(co_await controlAll(
      Host, Group.m_Name, Others, platform::formatSuspend(highestTerm(Asked) + TermMargin)));
  T.m_SuspendedReplicas = Others;
  if (Suspended.size() != Others.size())
    co_return std::string();
  // The heir has to hold what was acknowledged before the others stopped.
  std::set<std::string> Leader;
  Leader.insert(Group.m_Primary);
  auto Primary =
      statuses(co_await controlAll(Host, Group.m_Name, Leader, std::string(platform::StatusText)));
  if (Primary.empty())
    co_return std::string();
  Position Needed = Primary.begin()->second.m_ReceivedPosition;
  std::set<std::string> Next;
  Next.insert(Heir);
  for (int Round = 0; Round < CatchUpRounds; ++Round) {
    auto Now =
        statuses(co_await controlAll(Host, Group.m_Name, Next, std::string(platform::StatusText)));
    if (!Now.empty() && Now.begin()->second.m_ReceivedPosition >= Needed)
      co_return Heir;
    co_await sleepFor(Host.m_Io, PollInterval);
  }
  co_return std::string();
}

// Replaces a primary that is lost: no replica receives any more, and the longest log wins.
Awaitable<std::string> prepareForced(LineHost &Host, LineGroup &Group, Takeover &T) {
  auto Asked = statuses(co_await controlAll(Host, Group.m_Name, listInstances(Group, true),
                                            std::string(platform::StatusText)));
  // Nothing is suspended in vain: this host may be the one that is cut off.
  SuspendResponses Outlook;
  Outlook.m_Replicas = Asked;
  Outlook.m_MissingReplicas = listMissing(Group, Group.m_Primary, Asked);
  if (chooseFailoverCandidate(Group, Outlook).empty())
    co_return std::string();
  std::set<std::string> Reached;
  for (const auto &[Id, Status] : Asked)
    Reached.insert(Id);
  T.m_SuspendedReplicas = Reached;
  SuspendResponses Ballot;
  Ballot.m_Replicas = statuses(co_await controlAll(
      Host, Group.m_Name, Reached, platform::formatSuspend(highestTerm(Asked) + TermMargin)));
  Ballot.m_MissingReplicas = listMissing(Group, Group.m_Primary, Ballot.m_Replicas);
  co_return chooseFailoverCandidate(Group, Ballot);
}

Awaitable<void> runTakeover(LineHost &Host, std::string GroupName, TakeoverAction Need) {
  LineGroup &Group = Host.m_Groups[GroupName];
  Takeover &T = Host.m_Takeovers[GroupName];
  bool Forced = Need == TakeoverAction::Failover;
  logTakeover(Group, T, "takeover_started", Forced ? "primary lost" : "primary leaving",
              Group.m_Primary);
  countEvent(*Host.m_Metrics, "takeover_started");
  bool Done = false;
  std::string Candidate;
  bool Holds = co_await takeDuty(Host, Group, T);
  bool LeftToHolder = !Holds && T.m_SeenToken > T.m_Duty.m_Token;
  if (Holds) {
    if (Forced) {
      Group.m_PendingGeneration = T.m_Duty.m_Token;
      Group.m_PendingGenerationAt = bootNow();
    }
    if (Forced)
      Candidate = co_await prepareForced(Host, Group, T);
    else
      Candidate = co_await prepareHandover(Host, Group, T);
    if (!Candidate.empty() && co_await holdsDuty(Host, GroupName, T))
      Done = co_await promote(Host, Group, T, Candidate);
  }
  TimePoint Now = bootNow();
  if (Done)
    notePromotion(Group, Candidate, T.m_Duty.m_Token, Now);
  else
    Group.m_PendingGeneration = 0;
  T.m_NextAttemptAt = Now + Settings.m_RetryDelay;
  if (LeftToHolder)
    T.m_NextAttemptAt = std::max(T.m_NextAttemptAt, findGraceEnd(T, Settings));
  else
    T.m_UnreachableSince = {};
  // Another host's attempt may rest on the replicas that this one suspended.
  std::set<std::string> Suspended = std::exchange(T.m_SuspendedReplicas, {});
  if (!Suspended.empty() && co_await holdsDuty(Host, GroupName, T))
    co_await resumeSuspended(Host, GroupName, Suspended);
  T.m_IsRunning = false;
  logTakeover(Group, T, Done ? "takeover_done" : "takeover_failed",
              Candidate.empty() ? "no instance holds every commit for certain" : "", Candidate);
  if (Done)
    sendGossip(Host, bootNow());
}

Awaitable<void> probePrimary(LineHost &Host, std::string GroupName) {
  LineGroup &Group = Host.m_Groups[GroupName];
  Takeover &T = Host.m_Takeovers[GroupName];
  std::string Primary = Group.m_Primary;
  const LineInstance *I = findInstance(Host, Primary);
  TimePoint SentAt = bootNow();
  ControlAnswer Asked;
  if (I)
    Asked =
        co_await control(Host, I->m_Address, GroupName, Primary, std::string(platform::StatusText));
  bool Leads = Asked.m_Status && Asked.m_Status->m_IsPrimary;
  TimePoint Now = bootNow();
  if (Leads)
    addConfirmedPosition(Group.m_History, {Asked.m_Status->m_ReceivedPosition, SentAt}, Now);
  if (Asked.m_Status && !Leads)
    noteNotPrimary(Group, Primary, Now);
  if (Leads || (Asked.m_Reached && !Asked.m_Status))
    T.m_UnreachableSince = {};
  else if (T.m_UnreachableSince == TimePoint{})
    T.m_UnreachableSince = SentAt;
  T.m_IsRunning = false;
}

bool isPromoter(LineHost &Host, const std::string &Group, TimePoint Now) {
  if (!Host.m_Roles.m_IsHub || Host.m_Draining)
    return false;
  auto Order =
      orderHosts(Host.m_Members, "promote/" + Group, "", true, Now, Host.m_MembershipSettings);
  auto First = std::ranges::find_if(
      Order, [&](const std::string &Id) { return Host.m_Roles.m_Hubs.contains(Id); });
  return choosePromoter(Host.m_Takeovers[Group], Host.m_Members.m_Self,
                        First == Order.end() ? std::string() : *First, Now,
                        Settings) == Host.m_Members.m_Self;
}

} // namespace

Awaitable<void> watchPrimaries(LineHost &Host) {
  std::map<std::string, TimePoint> FirstSince;
  for (;;) {
    Duration Pause = Host.m_Roles.m_IsHub ? LookInterval : LeafLookInterval;
    co_await sleepFor(Host.m_Io, Pause);
    TimePoint Now = bootNow();
    for (auto &[Name, Group] : Host.m_Groups) {
      if (Group.m_Instances.empty())
        continue;
      if (!isPromoter(Host, Name, Now)) {
        FirstSince.erase(Name);
        continue;
      }
      TimePoint Since = FirstSince.try_emplace(Name, Now).first->second;
      Takeover &T = Host.m_Takeovers[Name];
      if (T.m_IsRunning || Now < T.m_NextAttemptAt)
        continue;
      TakeoverAction Need = assessPrimary(Group, T, Now, Settings);
      bool Settled = Now - Since > SettleTime;
      if (Need == TakeoverAction::Probe && Now - T.m_ProbedAt > Settings.m_ProbeTimeout / 2) {
        T.m_IsRunning = true;
        T.m_ProbedAt = Now;
        asio::co_spawn(Host.m_Io, probePrimary(Host, Name), asio::detached);
      } else if (Need == TakeoverAction::Switchover || Need == TakeoverAction::Failover) {
        T.m_IsRunning = true;
        asio::co_spawn(Host.m_Io, runTakeover(Host, Name, Need), asio::detached);
      } else if (Need == TakeoverAction::Resume) {
        T.m_IsRunning = true;
        asio::co_spawn(Host.m_Io, resumeAll(Host, Name), asio::detached);
      } else if (Need == TakeoverAction::None) {
        T.m_UnreachableSince = {};
        if (Settled && T.m_Duty.m_Token == 0) {
          T.m_NextAttemptAt = Now + SettleTime;
          T.m_IsRunning = true;
          asio::co_spawn(Host.m_Io, resumeAll(Host, Name), asio::detached);
        }
      }
    }
  }
}

} // namespace quetzalpaddle

// Carries out evacuations of data centres at this host: what the instances there may get, what ends
// at each stage, and the list of evacuated data centres in updates. src/evacuation.h decides.
#include "line_host.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

// A host that knows no list for this long after its start serves without one.
constexpr Millis ListTimeout{3000};
// Ages in updates are given up to this one, which is longer than any limit.
constexpr std::chrono::hours MaxAge{25};
// Interval at which a statement that waits for the limit of a cold instance tries again.
constexpr Millis ColdPollInterval{10};

// Returns an age for an update, rounded up; 0 if the time is unknown.
uint32_t encodeAge(TimePoint At, TimePoint Now) {
  if (At == TimePoint{})
    return 0;
  auto Age = std::clamp<Duration>(Now - At, Duration::zero(), MaxAge);
  return static_cast<uint32_t>(duration_cast<Millis>(Age).count() + 1);
}

void noteStage(LineHost &Host, LineInstance &Instance, EvacuationStage Stage, TimePoint Now) {
  EvacuationStage Former = std::exchange(Instance.m_Evacuation, Stage);
  if (Former == Stage)
    return;
  logLine(LogLevel::Info, "evacuation_stage",
          {{"instance", Instance.m_Id},
           {"dc", Instance.m_DataCentre},
           {"stage", std::string(stageName(Stage))},
           {"before", std::string(stageName(Former))},
           {"revision", std::to_string(Host.m_Evacuations.m_Revision)}});
  if (Stage != EvacuationStage::None)
    return;
  Instance.m_LiftedAt = Now;
  const EvacuationSettings &Settings = Host.m_Settings.m_Evacuation;
  Instance.m_ColdUntil = std::max(Instance.m_ColdUntil, Now + Settings.m_LiftCaution);
  // A promotion may have suspended it and could not resume it.
  if (!acceptsCommands(Former) && Host.m_Roles.m_IsHub)
    Host.m_Takeovers[Instance.m_Group].m_SuspendedReplicas.insert(Instance.m_Id);
}

} // namespace

bool isEvacuationEnabled(const LineHost &Host) {
  return Host.m_Settings.m_Evacuation.m_Timeout > Millis(0);
}

bool knowsEvacuations(const LineHost &Host, TimePoint Now) {
  return !isEvacuationEnabled(Host) || Host.m_Evacuations.m_Revision != 0 ||
         Now - Host.m_StartedAt > ListTimeout;
}

EvacuationStage evacuationStage(LineHost &Host, const std::string &Instance, TimePoint Now) {
  if (Host.m_Evacuations.m_Evacuations.empty())
    return EvacuationStage::None;
  const LineInstance *Target = findInstance(Host, Instance);
  return Target
             ? stageAt(Host.m_Evacuations, Target->m_DataCentre, Now, Host.m_Settings.m_Evacuation)
             : EvacuationStage::None;
}

void tickEvacuations(LineHost &Host, TimePoint Now) {
  if (!isEvacuationEnabled(Host))
    return;
  for (auto &[Name, Group] : Host.m_Groups)
    for (auto &[Id, Instance] : Group.m_Instances) {
      EvacuationStage Stage =
          stageAt(Host.m_Evacuations, Instance.m_DataCentre, Now, Host.m_Settings.m_Evacuation);
      noteStage(Host, Instance, Stage, Now);
      if (!acceptsStatements(Stage))
        evacuateDispatch(Host, Id, !acceptsCommands(Stage));
      refreshColdLimit(Host, Instance, Now);
    }
}

void refreshColdLimit(LineHost &Host, const LineInstance &Instance, TimePoint Now) {
  auto It = Host.m_Dispatches.find(Instance.m_Id);
  if (!isEvacuationEnabled(Host) || It == Host.m_Dispatches.end())
    return;
  double PerSecond = Host.m_Groups[Instance.m_Group].m_ColdPerSecond;
  bool IsCold = Now < Instance.m_ColdUntil && PerSecond > 0;
  bool IsTracked = IsCold || Instance.m_Evacuation != EvacuationStage::None;
  ColdWindow &Window = It->second.m_ColdWindow;
  if (!IsTracked) {
    Window.m_Limit.reset();
    Window.m_SoleSince = {};
    return;
  }
  bool IsSole = findDispatcher(Host, Instance, {}, Now) == Host.m_Members.m_Self &&
                hearsAllHubs(Host.m_Members, Host.m_Roles, Now, Host.m_HubSettings);
  noteSoleDispatcher(Window, IsSole, Now);
  Window.m_Limit = IsCold ? std::optional(coldLimit(Window, PerSecond, Now, Host.m_Settings.m_Cold))
                          : std::nullopt;
  Window.m_MaxBatch = maxColdBatch(Window, PerSecond, Now, Host.m_Settings.m_Cold);
}

Awaitable<bool> awaitColdRoom(std::shared_ptr<LinePoolConnection> Connection, uint32_t Count,
                              bool IsFirst) {
  LineHost &Host = *Connection->m_Host;
  ColdWindow &Window = Connection->m_Dispatch->m_ColdWindow;
  const ColdSettings &Settings = Host.m_Settings.m_Cold;
  ColdRoom Room = findColdRoom(Window, Count, bootNow(), Settings);
  if (Room == ColdRoom::Taken) {
    // A statement that waits here is neither overdue nor unanswered.
    TimePoint SentAt = std::exchange(Connection->m_SentAt, {});
    Window.m_WaitingCount += Count;
    auto MayWait = [&] {
      return bootNow() < Connection->m_ColdWaitUntil && Connection->m_Transport.m_Socket.is_open();
    };
    while (Room == ColdRoom::Taken && MayWait()) {
      co_await sleepFor(Host.m_Io, ColdPollInterval);
      Room = findColdRoom(Window, Count, bootNow(), Settings);
    }
    Window.m_WaitingCount -= Count;
    if (SentAt != TimePoint{})
      Connection->m_SentAt = IsFirst ? bootNow() : SentAt;
    if (!acceptsStatements(evacuationStage(Host, Connection->m_Instance, bootNow())))
      Room = ColdRoom::Never;
  }
  Connection->m_IsHeldBack = Room != ColdRoom::Free;
  if (!Connection->m_IsHeldBack)
    noteSentToCold(Window, Count, bootNow());
  co_return !Connection->m_IsHeldBack;
}

void addEvacuations(const LineHost &Host, line::Gossip &Message, TimePoint Now) {
  const EvacuationList &List = Host.m_Evacuations;
  if (!isEvacuationEnabled(Host) || List.m_Revision == 0)
    return;
  Message.set_evacuations_revision(List.m_Revision);
  Message.set_evacuations_age_ms(encodeAge(List.m_CurrentAt, Now));
  for (const auto &[DataCentre, Entry] : List.m_Evacuations) {
    line::EvacuationNews &News = *Message.add_evacuations();
    News.set_data_centre(DataCentre);
    News.set_age_ms(encodeAge(Entry.m_ReceivedAt, Now));
  }
}

void mergeEvacuationsOf(LineHost &Host, const line::Gossip &Message, TimePoint Now) {
  if (!isEvacuationEnabled(Host) || Message.evacuations_revision() == 0 ||
      static_cast<size_t>(Message.evacuations_size()) > MaxEvacuations)
    return;
  // The sender's time on this host's clock, at the earliest.
  bool HasEcho = Message.echo_us() != 0;
  TimePoint SentAt =
      HasEcho ? TimePoint(microseconds(Message.echo_us())) + microseconds(Message.echo_held_us())
              : Now;
  if (SentAt > Now)
    return;
  auto Decode = [&](uint32_t AgeMs) { return AgeMs == 0 ? TimePoint{} : SentAt - Millis(AgeMs); };
  EvacuationList Reported;
  Reported.m_Revision = Message.evacuations_revision();
  if (HasEcho)
    Reported.m_CurrentAt = Decode(Message.evacuations_age_ms());
  for (const line::EvacuationNews &News : Message.evacuations())
    Reported.m_Evacuations[News.data_centre()] = {Decode(News.age_ms()),
                                                  HasEcho || News.age_ms() == 0};
  if (mergeEvacuations(Host.m_Evacuations, Reported))
    tickEvacuations(Host, Now);
}

void noteColdEntry(LineInstance &Instance, Millis ColdTime, uint64_t Revision, TimePoint Now) {
  if (Revision <= Instance.m_ColdRevision)
    return;
  Instance.m_ColdRevision = Revision;
  Instance.m_ColdUntil = ColdTime > Millis(0) ? Now + ColdTime : TimePoint{};
}

} // namespace quetzalpaddle

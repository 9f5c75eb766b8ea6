// Stages of an evacuation, merging of lists by revision, and the sliding window of cold instances.
#include "evacuation.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

namespace quetzalpaddle {

std::string_view stageName(EvacuationStage Stage) {
  switch (Stage) {
  case EvacuationStage::None:
    return "none";
  case EvacuationStage::Moving:
    return "moving";
  case EvacuationStage::Ending:
    return "ending";
  case EvacuationStage::Closed:
    return "closed";
  }
  return "unknown";
}

bool acceptsReads(EvacuationStage Stage) { return Stage == EvacuationStage::None; }
bool acceptsStatements(EvacuationStage Stage) { return Stage < EvacuationStage::Ending; }
bool acceptsCommands(EvacuationStage Stage) { return Stage < EvacuationStage::Closed; }
bool mayBePromoted(EvacuationStage Stage) { return Stage == EvacuationStage::None; }

EvacuationStage stageAt(const EvacuationList &List, const std::string &DataCentre, TimePoint Now,
                        const EvacuationSettings &Settings) {
  auto It = List.m_Evacuations.find(DataCentre);
  if (Settings.m_Timeout == Millis(0) || It == List.m_Evacuations.end())
    return EvacuationStage::None;
  TimePoint Limit = It->second.m_ReceivedAt + Settings.m_Timeout;
  if (Now >= Limit - Settings.m_CommandMargin)
    return EvacuationStage::Closed;
  return Now >= Limit - Settings.m_StatementMargin ? EvacuationStage::Ending
                                                   : EvacuationStage::Moving;
}

std::set<std::string> limitEvacuations(std::vector<EvacuationEntry> Entries) {
  std::erase_if(Entries, [](const EvacuationEntry &Entry) {
    return Entry.m_DataCentre.size() > MaxDataCentreBytes;
  });
  std::ranges::sort(Entries, {}, [](const EvacuationEntry &Entry) {
    return std::tie(Entry.m_Revision, Entry.m_DataCentre);
  });
  std::set<std::string> Result;
  for (EvacuationEntry &Entry : Entries | std::views::take(MaxEvacuations))
    Result.insert(std::move(Entry.m_DataCentre));
  return Result;
}

bool fitsEvacuations(const EvacuationList &List, const std::map<std::string, bool> &Changes) {
  size_t Count = List.m_Evacuations.size();
  for (const auto &[DataCentre, IsEvacuated] : Changes) {
    bool IsKnown = List.m_Evacuations.contains(DataCentre);
    if (IsEvacuated && DataCentre.size() > MaxDataCentreBytes)
      return false;
    if (IsEvacuated != IsKnown)
      Count = IsEvacuated ? Count + 1 : Count - 1;
  }
  return Count <= MaxEvacuations;
}

bool applyEvacuations(EvacuationList &List, uint64_t Revision,
                      const std::set<std::string> &DataCentres) {
  std::map<std::string, bool> Changes;
  for (const auto &[DataCentre, Entry] : List.m_Evacuations)
    Changes[DataCentre] = false;
  for (const std::string &DataCentre : DataCentres)
    Changes[DataCentre] = true;
  bool WasKnown = List.m_Revision != 0;
  bool HasChanged = applyEvacuationChanges(List, Revision, Changes);
  // A list without entries is known, too.
  if (Revision > List.m_Revision)
    List.m_Revision = Revision;
  return HasChanged || (!WasKnown && List.m_Revision != 0);
}

bool applyEvacuationChanges(EvacuationList &List, uint64_t Revision,
                            const std::map<std::string, bool> &Changes) {
  if (Revision <= List.m_Revision || Changes.empty())
    return false;
  List.m_Revision = Revision;
  bool HasChanged = false;
  for (const auto &[DataCentre, IsEvacuated] : Changes) {
    if (IsEvacuated)
      HasChanged =
          List.m_Evacuations.try_emplace(DataCentre, Evacuation{List.m_CurrentAt, true}).second ||
          HasChanged;
    else
      HasChanged = List.m_Evacuations.erase(DataCentre) > 0 || HasChanged;
  }
  return HasChanged;
}

bool mergeEvacuations(EvacuationList &List, const EvacuationList &Reported) {
  if (Reported.m_Revision == 0 || Reported.m_Revision < List.m_Revision)
    return false;
  if (!fitsEvacuations(Reported, {}) ||
      std::ranges::any_of(Reported.m_Evacuations, [](const auto &Entry) {
        return Entry.first.size() > MaxDataCentreBytes;
      }))
    return false;
  bool HasChanged = false;
  std::map<std::string, Evacuation> Merged;
  for (const auto &[DataCentre, Entry] : Reported.m_Evacuations) {
    Evacuation &Result = Merged[DataCentre] = Entry;
    auto It = List.m_Evacuations.find(DataCentre);
    if (It == List.m_Evacuations.end()) {
      HasChanged = true;
      // This host's list lacked the entry when it was last known to be the newest.
      if (List.m_CurrentAt > Result.m_ReceivedAt)
        Result = {List.m_CurrentAt, true};
      continue;
    }
    const Evacuation &Known = It->second;
    if (Known.m_IsBound && (!Entry.m_IsBound || Known.m_ReceivedAt > Entry.m_ReceivedAt))
      Result = Known;
    else if (!Known.m_IsBound && !Entry.m_IsBound)
      Result.m_ReceivedAt = std::min(Known.m_ReceivedAt, Entry.m_ReceivedAt);
  }
  HasChanged = HasChanged || Merged.size() != List.m_Evacuations.size();
  List.m_Evacuations = std::move(Merged);
  List.m_Revision = Reported.m_Revision;
  List.m_CurrentAt = std::max(List.m_CurrentAt, Reported.m_CurrentAt);
  return HasChanged;
}

void noteSoleDispatcher(ColdWindow &Window, bool IsSole, TimePoint Now) {
  if (!IsSole)
    Window.m_SoleSince = {};
  else if (Window.m_SoleSince == TimePoint{})
    Window.m_SoleSince = Now;
}

uint32_t coldLimit(const ColdWindow &Window, double PerSecond, TimePoint Now,
                   const ColdSettings &Settings) {
  bool IsSettled =
      Window.m_SoleSince != TimePoint{} && Now - Window.m_SoleSince >= Settings.m_HandoverTime;
  if (IsSettled)
    return static_cast<uint32_t>(std::max(std::floor(PerSecond), 1.0));
  double Excess = PerSecond * (Settings.m_Excess - 1) + Settings.m_Slack;
  return static_cast<uint32_t>(std::clamp(std::floor(Excess / 2), 0.0, std::floor(PerSecond)));
}

// A limit of 1 allows a begin and a statement.
static uint32_t usableLimit(uint32_t Limit) { return Limit == 1 ? 2 : Limit; }

uint32_t maxColdBatch(const ColdWindow &Window, double PerSecond, TimePoint Now,
                      const ColdSettings &Settings) {
  uint32_t Limit = usableLimit(coldLimit(Window, PerSecond, Now, Settings));
  uint32_t HandoverLimit = usableLimit(coldLimit({}, PerSecond, Now, Settings));
  if (Limit <= HandoverLimit)
    return Limit;
  double Rest = PerSecond * Settings.m_Excess + Settings.m_Slack - 2.0 * HandoverLimit;
  return std::max(Limit, static_cast<uint32_t>(std::max(std::floor(Rest), 0.0)));
}

static void dropExpired(ColdWindow &Window, TimePoint Now, const ColdSettings &Settings) {
  while (!Window.m_SentAt.empty() && Now - Window.m_SentAt.front() >= Settings.m_Window)
    Window.m_SentAt.pop_front();
}

bool maySendToCold(ColdWindow &Window, TimePoint Now, const ColdSettings &Settings) {
  dropExpired(Window, Now, Settings);
  if (!Window.m_Limit)
    return true;
  // Each reservation may become a begin and a statement.
  size_t ReservedCount = Window.m_ReservedCount + 1;
  return Window.m_SentAt.size() + Window.m_WaitingCount + 2 * ReservedCount <=
         usableLimit(*Window.m_Limit);
}

Duration expectedColdWait(const ColdWindow &Window, uint32_t QueuedCount) {
  if (!Window.m_Limit || QueuedCount == 0)
    return Duration::zero();
  return QueuedCount * Duration(ColdSettings().m_Window) / std::max(*Window.m_Limit, 1U);
}

void reserveForCold(ColdWindow &Window) { ++Window.m_ReservedCount; }

void releaseForCold(ColdWindow &Window) {
  Window.m_ReservedCount -= std::min(Window.m_ReservedCount, 1U);
}

ColdRoom findColdRoom(ColdWindow &Window, uint32_t Count, TimePoint Now,
                      const ColdSettings &Settings) {
  dropExpired(Window, Now, Settings);
  if (!Window.m_Limit)
    return ColdRoom::Free;
  uint32_t Limit = usableLimit(*Window.m_Limit);
  if (Count > std::max(Limit, Window.m_MaxBatch))
    return ColdRoom::Never;
  bool IsFree = Count <= Limit ? Window.m_SentAt.size() + Count <= Limit : Window.m_SentAt.empty();
  return IsFree ? ColdRoom::Free : ColdRoom::Taken;
}

void noteSentToCold(ColdWindow &Window, uint32_t Count, TimePoint Now) {
  if (Window.m_Limit)
    Window.m_SentAt.insert(Window.m_SentAt.end(), Count, Now);
}

} // namespace quetzalpaddle

// The promotion duty of a group, kept in the platform's store: reading, writing and raising it.
//
// A conditional update raises the duty's token with every holder and every attempt. The duty also
// records the open orders: an instance in it may still become primary by an order that was sent.
// The record of the group (group_record.h) stands in the same object.
#include "line_duty.h"

#include "group_record.h"

#include "platform/line_codec.h"
#include "platform/store_client.h"

#include <fmt/format.h>

#include <ranges>

namespace quetzalpaddle {

using platform::Freshness;

namespace {

const TakeoverSettings DefaultSettings;
// Interval at which a host that has started asks for the open orders while it gets no answer.
constexpr Millis OrdersRetryDelay{300};

// Reads the duty from the store. Its token is 0 if no host has held it yet. Returns nothing if the
// duty cannot be read or decoded.
Awaitable<std::optional<PromotionDuty>> readDuty(LineHost &Host, const std::string &Group) {
  auto ReadResult = co_await platform::getObject(Host.m_StoreClient, platform::DutyKind, Group);
  auto *Object = std::get_if<StoredObjectVersion>(&ReadResult);
  std::optional<PromotionDuty> Result;
  if (Object) {
    auto DecodeResult = platform::decodeDuty(Object->m_Payload);
    if (auto *Duty = std::get_if<PromotionDuty>(&DecodeResult))
      Result = *Duty;
    else
      logLine(LogLevel::Error, "duty_malformed",
              {{"group", Group}, {"why", std::get<std::string>(DecodeResult)}});
  } else if (std::get<StoreFault>(ReadResult) == StoreFault::NotFound) {
    Result.emplace();
  } else {
    logLine(
        LogLevel::Warning, "duty_unreadable",
        {{"group", Group}, {"why", std::string(storeFaultName(std::get<StoreFault>(ReadResult)))}});
  }
  co_return Result;
}

// Removes the open orders of a duty if none of them can change the primary any more: all name the
// same instance, and it has become primary.
Awaitable<void> settleOpenOrders(LineHost &Host, const std::string &Group, PromotionDuty &Duty) {
  if (Duty.m_OpenOrders.size() != 1)
    co_return;
  std::string Id = *Duty.m_OpenOrders.begin();
  const LineInstance *Target = findInstance(Host, Id);
  if (!Target)
    co_return;
  ControlAnswer Answer = co_await runControlStatement(Host, Target->m_Address, Group, Id,
                                                      std::string(platform::StatusText));
  if (!Answer.m_Status || !Answer.m_Status->m_IsPrimary)
    co_return;
  Duty.m_OpenOrders.clear();
  Duty.m_Primary = Id;
}

void applyRecordOf(LineHost &Host, LineGroup &Group, const PromotionDuty &Duty) {
  for (const std::string &Id : applyRecord(Group, Duty, bootNow())) {
    Host.m_GroupByInstance[Id] = Group.m_Name;
    logLine(LogLevel::Info, "instance_recorded", {{"instance", Id}, {"group", Group.m_Name}});
  }
}

} // namespace

void logTakeover(const LineGroup &Group, Takeover &State, std::string_view Event,
                 std::string ReasonText, const std::string &Instance) {
  State.m_LastReason = ReasonText;
  logLine(LogLevel::Info, Event,
          {{"group", Group.m_Name},
           {"instance", Instance},
           {"primary", Group.m_Primary},
           {"token", std::to_string(State.m_Duty.m_Token)},
           {"why", std::move(ReasonText)}});
}

Awaitable<bool> writeDuty(LineHost &Host, const LineGroup &Group, Takeover &State,
                          PromotionDuty NewDuty) {
  std::string Body = platform::encodeDuty(Group.m_Name, NewDuty);
  platform::StoreResult<StoredObjectVersion> WriteResult = StoreFault::NoAnswer;
  if (NewDuty.m_Revision == 0)
    WriteResult =
        co_await platform::createObject(Host.m_StoreClient, platform::DutyKind, Group.m_Name, Body);
  else
    WriteResult = co_await platform::replaceObject(Host.m_StoreClient, platform::DutyKind,
                                                   Group.m_Name, Body);
  auto *Object = std::get_if<StoredObjectVersion>(&WriteResult);
  if (Object && platform::showsAnotherDuty(*Object, NewDuty)) {
    WriteResult = StoreFault::Malformed;
    Object = nullptr;
  }
  if (!Object) {
    logLine(LogLevel::Warning, "duty_not_written",
            {{"group", Group.m_Name},
             {"token", std::to_string(NewDuty.m_Token)},
             {"why", std::string(storeFaultName(std::get<StoreFault>(WriteResult)))}});
    co_return false;
  }
  NewDuty.m_Revision = Object->m_Revision;
  State.m_Duty = std::move(NewDuty);
  co_return true;
}

Awaitable<bool> acquireDuty(LineHost &Host, LineGroup &Group, Takeover &State) {
  auto StoredDuty = co_await readDuty(Host, Group.m_Name);
  if (!StoredDuty)
    co_return false;
  PromotionDuty NewDuty = *StoredDuty;
  auto HolderIt = Host.m_Members.m_Hosts.find(NewDuty.m_Holder);
  uint64_t Incarnation =
      HolderIt == Host.m_Members.m_Hosts.end() ? 0 : HolderIt->second.m_Incarnation;
  if (!mayTakeDuty(State, NewDuty, Host.m_Settings.m_Host, Incarnation, bootNow(),
                   DefaultSettings)) {
    logTakeover(Group, State, "duty_left", "held by " + NewDuty.m_Holder);
    co_return false;
  }
  applyRecordOf(Host, Group, NewDuty);
  // The orders of this process are known better here than in the store.
  bool IsOwn = NewDuty.m_Holder == Host.m_Settings.m_Host &&
               NewDuty.m_Incarnation == Host.m_Incarnation &&
               NewDuty.m_Token == State.m_Duty.m_Token;
  if (IsOwn)
    NewDuty.m_OpenOrders = State.m_Duty.m_OpenOrders;
  co_await settleOpenOrders(Host, Group.m_Name, NewDuty);
  NewDuty.m_Holder = Host.m_Settings.m_Host;
  NewDuty.m_Incarnation = Host.m_Incarnation;
  ++NewDuty.m_Token;
  TimePoint TakenAt = bootNow();
  if (!co_await writeDuty(Host, Group, State, std::move(NewDuty)))
    co_return false;
  State.m_DutyTakenAt = TakenAt;
  if (!State.m_Duty.m_OpenOrders.empty())
    noteSuccessors(Group, State.m_Duty.m_OpenOrders, State.m_Duty.m_Token);
  logTakeover(Group, State, "duty_taken",
              State.m_Duty.m_OpenOrders.empty() ? "token raised" : "token raised, an order is open",
              fmt::format("{}", fmt::join(State.m_Duty.m_OpenOrders, " ")));
  co_return true;
}

Awaitable<void> learnOrders(LineHost &Host) {
  while (!Host.m_AreOrdersKnown) {
    auto Result =
        co_await platform::listObjects(Host.m_StoreClient, platform::DutyKind, Freshness::Newest);
    auto *List = std::get_if<StoreSnapshot>(&Result);
    if (!List) {
      co_await sleepFor(Host.m_Io, OrdersRetryDelay);
      continue;
    }
    for (const StoredObjectVersion &Object : List->m_Objects) {
      auto DecodeResult = platform::decodeDuty(Object.m_Payload);
      auto *Duty = std::get_if<PromotionDuty>(&DecodeResult);
      if (!Duty || Duty->m_OpenOrders.empty())
        continue;
      LineGroup &Group = Host.m_Groups[Object.m_Name];
      Group.m_Name = Object.m_Name;
      noteSuccessors(Group, Duty->m_OpenOrders, Duty->m_Token);
    }
    Host.m_AreOrdersKnown = true;
  }
}

Awaitable<void> maintainRecord(LineHost &Host, std::string GroupName) {
  LineGroup &Group = Host.m_Groups[GroupName];
  Takeover &State = Host.m_Takeovers[GroupName];
  auto Questions = listRecordQuestions(Group, State.m_Duty, bootNow(), DefaultSettings);
  auto Statuses = collectStatuses(co_await runControlStatements(
      Host, GroupName, std::move(Questions), std::string(platform::StatusText)));
  PromotionDuty NewDuty = updateRecord(Group, State.m_Duty, Statuses, bootNow(), DefaultSettings);
  bool HasChanged =
      NewDuty.m_Members != State.m_Duty.m_Members || NewDuty.m_Primary != State.m_Duty.m_Primary;
  if (HasChanged && co_await writeDuty(Host, Group, State, std::move(NewDuty))) {
    applyRecordOf(Host, Group, State.m_Duty);
    logTakeover(Group, State, "record_written",
                fmt::format("{}", fmt::join(std::views::keys(State.m_Duty.m_Members), " ")));
  }
  State.m_IsRunning = false;
}

Awaitable<bool> holdsDuty(LineHost &Host, const std::string &Group, const Takeover &State) {
  auto StoredDuty = co_await readDuty(Host, Group);
  if (!StoredDuty)
    co_return bootNow() - State.m_DutyTakenAt <
        DefaultSettings.m_HolderGracePeriod - DefaultSettings.m_StatementMargin;
  co_return StoredDuty->m_Token == State.m_Duty.m_Token &&
      StoredDuty->m_Holder == State.m_Duty.m_Holder;
}

} // namespace quetzalpaddle

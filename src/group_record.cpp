// Changes of the record of a group.
#include "group_record.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

void addUnknownInstance(LineGroup &Group, const std::string &Id, const std::string &Address,
                        TimePoint Now) {
  LineInstance &Unknown = Group.m_Instances[Id];
  Unknown.m_Id = Id;
  Unknown.m_Group = Group.m_Name;
  Unknown.m_Address = Address;
  Unknown.m_IsListed = false;
  Unknown.m_UnlistedSince = Unknown.m_KnownSince = Now;
}

// Whether an instance is to join the record.
bool isJoining(const LineInstance &Instance, const PromotionDuty &Duty) {
  return Instance.m_IsListed && !Instance.m_Address.empty() &&
         !Duty.m_Members.contains(Instance.m_Id);
}

// Returns the position that another replica has to hold before an ended member is removed; nothing
// if the member has not ended, or the primary has confirmed none since.
std::optional<Position> findReplacementPosition(const LineGroup &Group, const std::string &Id,
                                                TimePoint Now, const TakeoverSettings &Settings) {
  auto It = Group.m_Instances.find(Id);
  if (It == Group.m_Instances.end() || Id == Group.m_Primary ||
      !hasEnded(It->second, Now, Settings))
    return std::nullopt;
  return lowestPositionSince(Group.m_History,
                             std::max(It->second.m_UnlistedSince, It->second.m_EndedAt));
}

} // namespace

std::set<std::string> applyRecord(LineGroup &Group, const PromotionDuty &Duty, TimePoint Now) {
  std::map<std::string, std::string> Named = Duty.m_Members;
  for (const std::string &Id : Duty.m_OpenOrders) {
    auto Address = Duty.m_OrderAddresses.find(Id);
    Named.try_emplace(Id, Address == Duty.m_OrderAddresses.end() ? "" : Address->second);
  }
  std::set<std::string> AddedIds;
  for (const auto &[Id, Address] : Named) {
    if (Group.m_Instances.contains(Id))
      continue;
    addUnknownInstance(Group, Id, Address, Now);
    AddedIds.insert(Id);
  }
  for (auto &[Id, Instance] : Group.m_Instances)
    Instance.m_IsRecorded = Duty.m_Members.contains(Id);
  // Nobody but the holders of the duty replaces a primary. If an open order has, its instance
  // answers as the primary, or counts as missing. One that is listed tells its role itself.
  auto Primary = Group.m_Instances.find(Duty.m_Primary);
  if (Group.m_Primary.empty() && Primary != Group.m_Instances.end() && !Primary->second.m_IsListed)
    noteConfirmedPrimary(Group, Duty.m_Primary, Now);
  return AddedIds;
}

std::set<std::string> listRecordQuestions(const LineGroup &Group, const PromotionDuty &Duty,
                                          TimePoint Now, const TakeoverSettings &Settings) {
  std::set<std::string> Ids;
  for (const auto &[Id, Instance] : Group.m_Instances)
    if (isJoining(Instance, Duty))
      Ids.insert(Id);
  bool IsAnyReplaceable = std::ranges::any_of(Duty.m_Members, [&](const auto &Member) {
    return findReplacementPosition(Group, Member.first, Now, Settings).has_value();
  });
  for (const auto &[Id, Address] : Duty.m_Members)
    if (auto It = Group.m_Instances.find(Id);
        IsAnyReplaceable && It != Group.m_Instances.end() && It->second.m_IsListed)
      Ids.insert(Id);
  return Ids;
}

PromotionDuty updateRecord(const LineGroup &Group, const PromotionDuty &Duty,
                           const std::map<std::string, LineStatus> &Statuses, TimePoint Now,
                           const TakeoverSettings &Settings) {
  PromotionDuty Changed = Duty;
  Changed.m_Primary = Group.m_Primary;
  for (const auto &[Id, Status] : Statuses) {
    auto It = Group.m_Instances.find(Id);
    bool HoldsAny = Status.m_ReceivedPosition.m_Index > 0;
    if (It != Group.m_Instances.end() && isJoining(It->second, Duty) && HoldsAny)
      Changed.m_Members[Id] = It->second.m_Address;
  }
  std::erase_if(Changed.m_Members, [&](const auto &Member) {
    auto Required = findReplacementPosition(Group, Member.first, Now, Settings);
    return Required && std::ranges::any_of(Statuses, [&](const auto &Entry) {
             return Entry.first != Member.first && !Entry.second.m_IsPrimary &&
                    Changed.m_Members.contains(Entry.first) &&
                    Entry.second.m_ReceivedPosition >= *Required;
           });
  });
  return Changed;
}

} // namespace quetzalpaddle

// Configuration look-ups shared by the subsystems of a host.
#include "host.h"

#include <algorithm>

namespace quetzalpaddle {

const Instance *findInstance(const Host &ThisHost, const std::string &Group,
                             const std::string &Id) {
  auto GroupEntry = ThisHost.m_Config.m_Groups.find(Group);
  if (GroupEntry == ThisHost.m_Config.m_Groups.end())
    return nullptr;
  auto At = std::ranges::find(GroupEntry->second.m_Instances, Id, &Instance::m_Id);
  return At == GroupEntry->second.m_Instances.end() ? nullptr : &*At;
}

} // namespace quetzalpaddle

#include "quetzalpaddle.h"

#include <criterion/criterion.h>

using namespace quetzalpaddle;

// Guards against a reason code without a name, and against two codes with the same name.
Test(answer, everyReasonHasItsOwnName) {
  std::set<std::string_view> Names;
  for (uint32_t Number = 0; Number < static_cast<uint32_t>(Reason::Count); ++Number) {
    std::string_view Name = reasonName(static_cast<Reason>(Number));
    cr_assert(!Name.empty());
    cr_assert(Names.insert(Name).second, "name used twice");
  }
}

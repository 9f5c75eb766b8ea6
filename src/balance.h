// Choice among the instances of a group by their cost, from load reports that are old.
// Free of I/O, threads and clock reads.
//
// Hosts that all choose the instance with the least expected wait overload one after another until
// their reports catch up. A host therefore compares only two instances: the one that is preferred
// at equal load, and a random other one. The part of a report that differs from the mean decays
// with its age, because an old difference has mostly been made up for by the other hosts; and the
// smaller the gain, the fewer of the statements move.
#pragma once

#include "answer.h"

#include <span>

namespace quetzalpaddle {

// docs/design/load-balancing.md has the model behind the values.
struct BalanceSettings {
  Duration m_ReportDecayTime = Millis(1000); // a difference from the mean falls to 1/e in this time
  // The gain at which half of the statements move is this fraction of the age of the older report,
  // but at most m_MaxDoubt. With a larger one, instances far apart in load are equalised too late.
  double m_DoubtPerAge = 0.02;
  Duration m_MaxDoubt = Millis(5);
};

// An instance that can serve a statement.
struct BalanceCandidate {
  Duration m_ReportedWait{}; // for a slot
  TimePoint m_ReportedAt{};  // when the dispatcher reported it
  Duration m_OwnWait{};      // added by this host's outstanding statements
  Duration m_Penalty{};      // of its place and role, which does not depend on its load
};

// Returns the index of the chosen candidate. Draw: random number in [0, 1). There has to be at
// least one candidate.
size_t chooseCandidate(std::span<const BalanceCandidate> Candidates, double Draw, TimePoint Now,
                       const BalanceSettings &Settings);

} // namespace quetzalpaddle

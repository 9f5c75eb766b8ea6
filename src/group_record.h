// The record of a group: its primary and the instances that may hold an acknowledged commit. It
// stands with the promotion duty in the platform's store and outlives every host. Free of I/O,
// threads and clock reads.
//
// A promotion must not leave out an instance only because no host remembers it: after all hosts
// have restarted, the list of instances shows none that was lost just before. Therefore:
//  - An instance joins the record once it holds something; until then a promotion misses nothing
//    without it. One that may be listed and hold commits for less than the time of a write to the
//    store is known to the hosts by the list.
//  - A member is removed once it has ended and another replica holds a position that the primary
//    has confirmed since: every commit that the member may hold is at or before it.
//  - A member that gives no answer counts as missing for a promotion, listed or not.
// Only the holder of the duty changes the record, by the conditional update that also protects the
// duty. Without the store it stays as it is, which can only delay a promotion.
#pragma once

#include "line_config.h"
#include "takeover.h"

#include <map>
#include <set>
#include <string>

namespace quetzalpaddle {

// Marks the members among the instances of a group and adds those that this process has never seen
// listed: they may run, out of reach of the store, and count like others whose entry has just
// expired. The same for the instances of open orders. Sets the primary if it is not known. Returns
// the ids of the instances that were added.
std::set<std::string> applyRecord(LineGroup &Group, const PromotionDuty &Duty, TimePoint Now);

// Returns the replicas whose status is needed for a change of the record; empty if none is due.
std::set<std::string> listRecordQuestions(const LineGroup &Group, const PromotionDuty &Duty,
                                          TimePoint Now, const TakeoverSettings &Settings);

// Returns the duty with the record that the statuses of the replicas allow.
PromotionDuty updateRecord(const LineGroup &Group, const PromotionDuty &Duty,
                           const std::map<std::string, LineStatus> &Statuses, TimePoint Now,
                           const TakeoverSettings &Settings);

} // namespace quetzalpaddle

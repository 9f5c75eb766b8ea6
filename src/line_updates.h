// What the hosts that build updates (line_updates.cpp) and those that apply them
// (line_updates_apply.cpp) agree on.
#pragma once

#include "answer.h"

namespace quetzalpaddle {

// Unit of the rates in CompactUsage.
inline constexpr double CompactRateUnitsPerRequest = 100;
// Largest weight of a host, as in the store. The heaviest hosts become hubs, so a damaged weight
// would make a hub of any host.
inline constexpr float MaxHostWeight = 1024;
// A report that writes stall expires after this long unless it is renewed.
inline constexpr Millis StallReportTimeout{400};
// A leaf that has not reported for this long is assumed to have another home hub.
inline constexpr Millis LeafTimeout{1500};

} // namespace quetzalpaddle

// The promotion duty of a group, which is kept in the platform's store.
#pragma once

#include "line_control.h"

namespace quetzalpaddle {

// Logs a step of a promotion and records its reason for the state dump.
void logTakeover(const LineGroup &Group, Takeover &State, std::string_view Event,
                 std::string ReasonText, const std::string &Instance = "");

// Writes the duty to the store. Returns whether it was written; it is then this host's.
Awaitable<bool> writeDuty(LineHost &Host, const LineGroup &Group, Takeover &State,
                          PromotionDuty NewDuty);

// Raises the duty's token in the store. Returns whether this host may go on.
Awaitable<bool> acquireDuty(LineHost &Host, LineGroup &Group, Takeover &State);

// Brings the record of a group up to date with what its holder, this host, knows: asks the replicas
// that have to be asked, and writes it if it changes.
Awaitable<void> maintainRecord(LineHost &Host, std::string GroupName);

// Returns whether this host still holds the duty. If the duty cannot be read, it does for as long
// as every other host has to wait before it may take the duty.
Awaitable<bool> holdsDuty(LineHost &Host, const std::string &Group, const Takeover &State);

} // namespace quetzalpaddle

// Concurrency limit of the instances that this host dispatches to (concurrency.h).
#pragma once

#include "line_host.h"

namespace quetzalpaddle {

// Sets the slot count of the queue from the concurrency limit.
void updateSlotCount(InstanceDispatch &Dispatch);

// Returns whether the time that a statement took tells how long others take. Refusals come at once.
bool hasServiceTime(const line::RunReply &Reply);

// Records how a statement fared at its instance. RunningCount: statements that ran when it was
// sent, itself included. Time: from sending to the answer.
void noteStatementResult(LineHost &Host, InstanceDispatch &Dispatch,
                         const line::RunRequest &Request, const line::RunReply &Reply,
                         uint32_t RunningCount, Duration Time);

// Lets what the instance has refused count less, and logs when its limit is low.
void reviewLimit(const std::string &Instance, InstanceDispatch &Dispatch, TimePoint Now);

} // namespace quetzalpaddle

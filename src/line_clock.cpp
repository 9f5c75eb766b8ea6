// Clock and waits of an entry host. In a file of their own, so that a test can run the decisions
// that wait in simulated time.
#include "line_transport.h"

#include <ctime>

namespace quetzalpaddle {

namespace asio = boost::asio;

TimePoint bootNow() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::seconds(Time.tv_sec) + std::chrono::nanoseconds(Time.tv_nsec));
}

Awaitable<void> sleepFor(asio::io_context &Io, Duration Delay) {
  asio::steady_timer Timer(Io, Delay);
  co_await Timer.async_wait(AsTuple);
}

} // namespace quetzalpaddle

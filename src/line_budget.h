// Carries out the decisions of the byte budget (byte_budget.h) on the connections of a host.
#pragma once

#include "line_host.h"

namespace quetzalpaddle {

// Counts what a connection holds until the end of its scope. Close ends the connection; its account
// has been closed by then.
class CountedConnection {
public:
  CountedConnection(LineHost &Host, ByteAccount &Account, const std::string &Customer,
                    std::function<void()> Close);
  ~CountedConnection();
  CountedConnection(const CountedConnection &) = delete;
  CountedConnection &operator=(const CountedConnection &) = delete;

private:
  std::shared_ptr<HostBytes> m_Bytes;
  ByteAccount &m_Account;
  uint64_t m_Id;
};

// Counts the bytes of a request of another host until the end of its scope.
struct CountedRequest {
  CountedRequest(LineHost &Host, const std::string &Customer);
  ~CountedRequest() { closeAccount(m_Bytes->m_Budget, m_Account); }
  CountedRequest(const CountedRequest &) = delete;
  CountedRequest &operator=(const CountedRequest &) = delete;
  std::shared_ptr<HostBytes> m_Bytes;
  ByteAccount m_Account;
};

// Applies the settings' limits, and makes the allocator return what is freed.
void configureByteBudget(LineHost &Host);

// Closes the connections that the budget no longer allows, and returns freed memory to the system.
void enforceByteBudget(LineHost &Host, TimePoint Now);

// Publishes the bytes held, by kind.
void publishByteBudget(const LineHost &Host);

// Returns how many callers' connections may be open now.
size_t currentCallerLimit(const LineHost &Host);
// Returns how many links of other hosts may be open.
size_t currentLinkLimit(const LineHost &Host);

// Suspends the acceptance of connections of a kind while IsFull(). Logs when it stops and when it
// resumes.
Awaitable<void> waitForDescriptors(LineHost &Host, std::string_view Kind,
                                   std::function<bool()> IsFull);

} // namespace quetzalpaddle

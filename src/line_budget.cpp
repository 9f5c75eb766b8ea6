// Byte budget of a host: accounts of connections, closings, metrics and descriptors.
#include "line_budget.h"

#include <malloc.h>
#include <sys/resource.h>

namespace quetzalpaddle {

namespace {

// Blocks of this size and above are mapped on their own, so that freeing them returns their memory
// at once. Setting it also keeps the allocator from raising it.
constexpr int MapThresholdBytes = 128 << 10;
// The allocator's other caches are trimmed after the bytes held have fallen by this much.
constexpr size_t TrimBytes = size_t(4) << 20;
// Threads allocate little; each arena beyond the first keeps freed memory of its own.
constexpr int MaxArenas = 2;
// Interval of checks while no connection can be accepted.
constexpr Millis AcceptPollInterval{50};
// Descriptors of listeners, log, event queue, store and admin address.
constexpr size_t ProcessDescriptors = 32;

uint64_t maxDescriptors(const LineHost &Host) {
  if (Host.m_Settings.m_MaxDescriptors > 0)
    return Host.m_Settings.m_MaxDescriptors;
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return 0;
  return Limit.rlim_cur;
}

size_t countOtherDescriptors(const LineHost &Host) {
  size_t Count = ProcessDescriptors + Host.m_InboundLinks.size() + Host.m_Links.size();
  for (const auto &[Id, Dispatch] : Host.m_Dispatches)
    Count += Dispatch.m_ConnectionCount;
  return Count;
}

} // namespace

CountedConnection::CountedConnection(LineHost &Host, ByteAccount &Account,
                                     const std::string &Customer, std::function<void()> Close)
    : m_Bytes(Host.m_Bytes), m_Account(Account) {
  openAccount(Host.m_ByteBudget, Account, Customer);
  m_Id = Account.m_Id;
  m_Bytes->m_Closers[m_Id] = std::move(Close);
}

CountedConnection::~CountedConnection() {
  closeAccount(m_Bytes->m_Budget, m_Account);
  m_Bytes->m_Closers.erase(m_Id);
}

CountedRequest::CountedRequest(LineHost &Host, const std::string &Customer)
    : m_Bytes(Host.m_Bytes) {
  openAccount(m_Bytes->m_Budget, m_Account, Customer);
}

void configureByteBudget(LineHost &Host) {
  Host.m_ByteBudget.m_Limits = deriveByteLimits(Host.m_Settings.m_MemoryMb);
  mallopt(M_MMAP_THRESHOLD, MapThresholdBytes);
  mallopt(M_ARENA_MAX, MaxArenas);
}

void enforceByteBudget(LineHost &Host, TimePoint Now) {
  ByteBudget &Budget = Host.m_ByteBudget;
  Host.m_Bytes->m_TotalBeforeTrim = std::max(Host.m_Bytes->m_TotalBeforeTrim, Budget.m_Total);
  for (const ByteClosing &Closing : chooseClosings(Budget, Now)) {
    std::string Why(closeReasonName(Closing.m_Reason));
    countEvent(*Host.m_Metrics, "connection_closed_" + Why);
    logLine(LogLevel::Warning, "connection_closed",
            {{"why", Why},
             {"customer", Closing.m_Customer},
             {"bytes", std::to_string(Closing.m_Bytes)},
             {"held", std::to_string(Budget.m_Total)}});
    auto Closer = Host.m_Bytes->m_Closers.find(Closing.m_AccountId);
    if (Closer != Host.m_Bytes->m_Closers.end())
      Closer->second();
  }
  if (Host.m_Bytes->m_TotalBeforeTrim < Budget.m_Total + TrimBytes)
    return;
  malloc_trim(0);
  Host.m_Bytes->m_TotalBeforeTrim = Budget.m_Total;
}

void publishByteBudget(const LineHost &Host) {
  for (size_t Kind = 0; Kind < HeldKindCount; ++Kind)
    setGauge(*Host.m_Metrics, "bytes_held", std::string(heldKindName(static_cast<HeldKind>(Kind))),
             static_cast<double>(Host.m_ByteBudget.m_Held[Kind]));
  setGauge(*Host.m_Metrics, "bytes_limit", "",
           static_cast<double>(Host.m_ByteBudget.m_Limits.m_Process));
}

size_t currentCallerLimit(const LineHost &Host) {
  return callerDescriptorLimit(maxDescriptors(Host), countOtherDescriptors(Host));
}

size_t currentLinkLimit(const LineHost &Host) { return linkDescriptorLimit(maxDescriptors(Host)); }

Awaitable<void> waitForDescriptors(LineHost &Host, std::string_view Kind,
                                   std::function<bool()> IsFull) {
  if (!IsFull())
    co_return;
  countEvent(*Host.m_Metrics, "accept_paused");
  logLine(LogLevel::Warning, "accept_paused",
          {{"kind", std::string(Kind)}, {"sessions", std::to_string(Host.m_SessionCount)}});
  while (IsFull())
    co_await sleepFor(Host.m_Io, AcceptPollInterval);
  logLine(LogLevel::Info, "accept_resumed", {{"kind", std::string(Kind)}});
}

} // namespace quetzalpaddle

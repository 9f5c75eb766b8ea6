#include "platform_client.h"
#include "standin_platform.h"

#include <condition_variable>
#include <criterion/criterion.h>
#include <deque>
#include <fmt/format.h>
#include <mutex>

using namespace quetzalpaddle;

namespace {

constexpr Millis CallTimeout{400};
constexpr std::chrono::seconds WaitLimit{10};
constexpr Millis RetryInterval{50};

// Runs posted functions on the test's thread.
struct Loop {
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::deque<std::function<void()>> m_Posted;

  Executor executor() {
    return [this](std::function<void()> Run) {
      std::lock_guard Lock(m_Mutex);
      m_Posted.push_back(std::move(Run));
      m_Changed.notify_one();
    };
  }

  // The next posted function; nothing if none came in time.
  std::function<void()> take(TimePoint Until) {
    std::unique_lock Lock(m_Mutex);
    if (!m_Changed.wait_until(Lock, Until, [&] { return !m_Posted.empty(); }))
      return nullptr;
    auto Run = std::move(m_Posted.front());
    m_Posted.pop_front();
    return Run;
  }

  // Runs functions until Done() holds; returns whether it did within the limit. Done() may make
  // calls and run functions itself, so the lock is not held, and it is asked again when nothing was
  // posted.
  bool runUntil(const std::function<bool()> &Done, Duration Limit = WaitLimit) {
    TimePoint End = Clock::now() + Limit;
    while (!Done()) {
      if (Clock::now() >= End)
        return false;
      if (auto Run = take(std::min<TimePoint>(End, Clock::now() + RetryInterval)))
        Run();
    }
    return true;
  }
};

struct Bench {
  Loop m_Loop;
  std::shared_ptr<StandinPlatform> m_Platform = startPlatform({});
  std::shared_ptr<PlatformClient> m_Client = connect("h1");

  std::shared_ptr<PlatformClient> connect(const std::string &Host) {
    return openPlatform({platformAddress(*m_Platform)}, Host, CallTimeout, m_Loop.executor());
  }

  void setFault(const std::function<void(standin::FaultRequest &)> &Set) {
    standin::FaultRequest Faults;
    Set(Faults);
    setFaults(*m_Platform, Faults);
  }
};

template <class T> using Result = std::variant<T, PlatformError>;

// Waits for the answer of a call that Start makes.
template <class T> Result<T> await(Loop &L, const std::function<void(PlatformHandler<T>)> &Start) {
  std::optional<Result<T>> Answer;
  Start([&](Result<T> Came) { Answer = std::move(Came); });
  cr_assert(L.runUntil([&] { return Answer.has_value(); }), "no answer");
  return *Answer;
}

Result<platform::WriteReply> put(Bench &B, const std::string &Name, const std::string &Value,
                                 uint64_t Expected) {
  return await<platform::WriteReply>(
      B.m_Loop, [&](auto Done) { putObject(*B.m_Client, Name, Value, Expected, Done); });
}

platform::Object get(Bench &B, const std::string &Name) {
  auto Answer =
      await<platform::Object>(B.m_Loop, [&](auto Done) { getObject(*B.m_Client, Name, Done); });
  cr_assert(std::holds_alternative<platform::Object>(Answer));
  return std::get<platform::Object>(Answer);
}

uint64_t putApplied(Bench &B, const std::string &Name, const std::string &Value,
                    uint64_t Expected) {
  auto Answer = put(B, Name, Value, Expected);
  cr_assert(std::holds_alternative<platform::WriteReply>(Answer));
  const auto &Reply = std::get<platform::WriteReply>(Answer);
  cr_assert(Reply.applied());
  return Reply.current().version();
}

// What a watch has delivered.
struct Seen {
  std::vector<std::string> m_Changes; // NAME=VALUE, or NAME deleted
  uint64_t m_Revision = 0;
  uint32_t m_Events = 0;
  bool m_Ended = false;
};

std::shared_ptr<PlatformWatch>
watch(PlatformClient &Client, const std::vector<std::string> &Prefixes, uint64_t From, Seen &Into) {
  return watchObjects(Client, Prefixes, From, [&](Result<platform::WatchEvent> Came) {
    if (auto *Event = std::get_if<platform::WatchEvent>(&Came)) {
      for (const platform::Object &Each : Event->changes())
        Into.m_Changes.push_back(Each.deleted() ? Each.name() + " deleted"
                                                : Each.name() + "=" + Each.value());
      Into.m_Revision = Event->revision();
      ++Into.m_Events;
    } else {
      Into.m_Ended = true;
    }
  });
}

} // namespace

// Guards against two writers that both believe that their change took effect.
Test(platform, updatesAreConditional) {
  Bench B;
  uint64_t First = putApplied(B, "config/customer/a", "1", 0);
  auto Second = put(B, "config/customer/a", "2", 0);
  cr_assert(!std::get<platform::WriteReply>(Second).applied());
  cr_assert_eq(std::get<platform::WriteReply>(Second).current().value(), "1");
  cr_assert_eq(std::get<platform::WriteReply>(Second).current().version(), First);
  uint64_t Other = putApplied(B, "config/customer/b", "1", 0);
  cr_assert_gt(Other, First, "revisions are store-wide");
  cr_assert_gt(putApplied(B, "config/customer/a", "3", First), Other);
  auto Deleted = await<platform::WriteReply>(
      B.m_Loop, [&](auto Done) { deleteObject(*B.m_Client, "config/customer/a", First, Done); });
  cr_assert(!std::get<platform::WriteReply>(Deleted).applied());
  cr_assert_eq(get(B, "config/customer/a").value(), "3");
  cr_assert_eq(get(B, "config/customer/none").version(), 0);
}

// Guards against a value of the limit's size that does not arrive, and a larger one that does.
Test(platform, valuesUpToOneMebibyte) {
  Bench B;
  constexpr size_t Limit = size_t{1} << 20;
  putApplied(B, "status/large", std::string(Limit, 'x'), 0);
  cr_assert_eq(get(B, "status/large").value().size(), Limit);
  auto Over = put(B, "status/larger", std::string(Limit + 1, 'x'), 0);
  cr_assert_eq(std::get<PlatformError>(Over), PlatformError::Unavailable);
}

// Guards against changes that a watch misses or delivers out of order after it was opened again.
Test(platform, watchesResumeFromARevision) {
  Bench B;
  uint64_t First = putApplied(B, "config/a", "1", 0);
  putApplied(B, "lease/h1", "1", 0);
  putApplied(B, "rate/a", "2", 0);
  Seen S;
  auto Watch = watch(*B.m_Client, {"config/", "rate/"}, 0, S);
  cr_assert(B.m_Loop.runUntil([&] { return S.m_Changes.size() == 2; }));
  uint64_t Reached = S.m_Revision;
  Watch.reset();
  uint64_t Second = putApplied(B, "config/a", "3", First);
  auto Deleted = await<platform::WriteReply>(
      B.m_Loop, [&](auto Done) { deleteObject(*B.m_Client, "config/a", Second, Done); });
  cr_assert(std::get<platform::WriteReply>(Deleted).applied());
  Watch = watch(*B.m_Client, {"config/", "rate/"}, Reached, S);
  cr_assert(B.m_Loop.runUntil([&] { return S.m_Changes.size() == 4; }));
  putApplied(B, "config/b", "4", 0);
  cr_assert(B.m_Loop.runUntil([&] { return S.m_Changes.size() == 5; }));
  const std::vector<std::string> Expected = {"config/a=1", "rate/a=2", "config/a=3",
                                             "config/a deleted", "config/b=4"};
  cr_assert(S.m_Changes == Expected);
}

// Guards against a watch that is taken for running although it has never been opened.
Test(platform, firstEventComesAtOnce) {
  Bench B;
  Seen S;
  auto Watch = watch(*B.m_Client, {"config/"}, 0, S);
  cr_assert(B.m_Loop.runUntil([&] { return S.m_Events == 1; }));
  cr_assert(S.m_Changes.empty());
}

// Guards against an answer that tells whether a failed write took effect, when the host cannot
// know it: an outage and a lost answer have to look the same.
Test(platform, lostAnswersLookLikeAnOutage) {
  Bench B;
  putApplied(B, "config/ready", "1", 0); // connected from here on
  for (int Turn = 0; Turn < 2; ++Turn) {
    std::string Name = fmt::format("config/lost{}", Turn);
    B.setFault([](auto &F) { F.set_lose_answers(1); });
    auto Lost = put(B, Name, "1", 0);
    cr_assert_eq(std::get<PlatformError>(Lost), PlatformError::Unanswered);
    cr_assert_eq(get(B, Name).value(), "1", "took effect");
  }
  for (int Turn = 0; Turn < 2; ++Turn) {
    std::string Name = fmt::format("config/down{}", Turn);
    B.setFault([](auto &F) { F.set_down(true); });
    auto Lost = put(B, Name, "1", 0);
    cr_assert_eq(std::get<PlatformError>(Lost), PlatformError::Unanswered);
    B.setFault([](auto &F) { F.set_down(false); });
    cr_assert_eq(get(B, Name).version(), 0, "took no effect");
  }
}

// Guards against a watch that stays silent for good after an outage.
Test(platform, watchesEndOrContinueAfterAnOutage) {
  Bench B;
  std::array<Seen, 2> S;
  auto First = watch(*B.m_Client, {"config/"}, 0, S[0]);
  auto Second = watch(*B.m_Client, {"config/"}, 0, S[1]);
  cr_assert(B.m_Loop.runUntil([&] { return S[0].m_Events == 1 && S[1].m_Events == 1; }));
  B.setFault([](auto &F) { F.set_down(true); });
  cr_assert(B.m_Loop.runUntil([&] { return S[0].m_Ended || S[1].m_Ended; }));
  B.setFault([](auto &F) { F.set_down(false); });
  putApplied(B, "config/a", "1", 0);
  Seen &Silent = S[0].m_Ended ? S[1] : S[0];
  cr_assert(B.m_Loop.runUntil([&] { return Silent.m_Changes.size() == 1; }));
  cr_assert(!Silent.m_Ended);
}

// Guards against a write that is called not run although it was sent.
Test(platform, unreachablePlatformIsReportedAsNotRun) {
  Bench B;
  std::string Address = platformAddress(*B.m_Platform);
  B.m_Platform.reset();
  auto Client = openPlatform({Address}, "h1", CallTimeout, B.m_Loop.executor());
  auto Refused = await<platform::WriteReply>(
      B.m_Loop, [&](auto Done) { putObject(*Client, "config/a", "1", 0, Done); });
  cr_assert_eq(std::get<PlatformError>(Refused), PlatformError::Unavailable);
}

// Guards against a client that does not use the platform's other addresses, or gives up on one for
// good.
Test(platform, addressesAreTriedInOrderAndAgain) {
  Bench B;
  std::string Second = platformAddress(*B.m_Platform);
  auto Other = startPlatform({});
  std::string First = platformAddress(*Other);
  Other.reset();
  auto Client = openPlatform({First, Second}, "h1", CallTimeout, B.m_Loop.executor());
  auto List = [&] {
    return await<platform::HostsReply>(B.m_Loop,
                                       [&](auto Done) { listPlatformHosts(*Client, Done); });
  };
  cr_assert(std::holds_alternative<platform::HostsReply>(List()));
  auto Port = static_cast<uint16_t>(std::stoul(First.substr(First.rfind(':') + 1)));
  B.m_Platform.reset();
  Other = startPlatform({.m_Port = Port});
  cr_assert(Other != nullptr);
  cr_assert(
      B.m_Loop.runUntil([&] { return std::holds_alternative<platform::HostsReply>(List()); }));
}

// Guards against a cut host that still reaches the platform, and against one that is cut for good.
Test(platform, cutHostsGetNoAnswerAndTheirWatchesGoSilent) {
  Bench B;
  auto Cut = B.connect("h2");
  std::array<Seen, 2> S;
  auto Mine = watch(*B.m_Client, {"config/"}, 0, S[0]);
  auto Theirs = watch(*Cut, {"config/"}, 0, S[1]);
  cr_assert(B.m_Loop.runUntil([&] { return S[0].m_Events == 1 && S[1].m_Events == 1; }));
  B.setFault([](auto &F) { F.add_cut_host_ids("h2"); });
  putApplied(B, "config/a", "1", 0);
  cr_assert(B.m_Loop.runUntil([&] { return S[0].m_Changes.size() == 1; }));
  auto Answer =
      await<platform::Object>(B.m_Loop, [&](auto Done) { getObject(*Cut, "config/a", Done); });
  cr_assert_eq(std::get<PlatformError>(Answer), PlatformError::Unanswered);
  cr_assert(S[1].m_Changes.empty() && !S[1].m_Ended);
  B.setFault([](auto &F) { F.set_heal_host_ids(true); });
  cr_assert(B.m_Loop.runUntil([&] { return S[1].m_Changes.size() == 1; }));
  auto Calls = countCalls(*B.m_Platform);
  cr_assert_eq((Calls[{"get", "h2"}]), 1);
  cr_assert_eq((Calls[{"put", "h1"}]), 1);
  cr_assert_eq((Calls[{"watch", "h2"}]), 1);
}

// Guards against a host list that is shown before its lag has passed, or never.
Test(platform, hostListLags) {
  Bench B;
  B.setFault([](auto &F) { F.set_hosts_lag_ms(300); });
  standin::SetHostsRequest Hosts;
  Hosts.add_hosts()->set_host("h1");
  TimePoint Set = Clock::now();
  setHostList(*B.m_Platform, Hosts);
  int Shown = 0;
  while (Shown == 0 && Clock::now() < Set + WaitLimit) {
    auto Reply = await<platform::HostsReply>(
        B.m_Loop, [&](auto Done) { listPlatformHosts(*B.m_Client, Done); });
    Shown = std::get<platform::HostsReply>(Reply).hosts_size();
  }
  cr_assert_eq(Shown, 1);
  cr_assert(Clock::now() - Set >= Millis(300));
}

// Guards against latency that delays the answer only: a write then takes effect after the caller
// has given up.
Test(platform, slowWritesMayTakeEffectLate) {
  Bench B;
  putApplied(B, "config/ready", "1", 0);
  B.setFault([](auto &F) { F.set_latency_ms(1200); });
  auto Slow = put(B, "config/a", "1", 0);
  cr_assert_eq(std::get<PlatformError>(Slow), PlatformError::Unanswered);
  cr_assert_eq(readObject(*B.m_Platform, "config/a").version(), 0);
  B.m_Loop.runUntil([&] { return readObject(*B.m_Platform, "config/a").version() != 0; },
                    Millis(500));
  cr_assert_neq(readObject(*B.m_Platform, "config/a").version(), 0);
}

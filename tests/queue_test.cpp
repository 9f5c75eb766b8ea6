#include "property.h"
#include "quetzalpaddle.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

const TimePoint Start = TimePoint{} + std::chrono::hours(1);

QueuedRequest makeRequest(uint64_t Id, const std::string &Customer, TimePoint Now) {
  QueuedRequest R;
  R.m_Id = Id;
  R.m_Customer = Customer;
  R.m_KeyId = "key-" + Customer;
  R.m_Deadline = Now + std::chrono::seconds(10);
  R.m_QueuedAt = Now;
  return R;
}

Reason addRequest(FairQueue &Queue, uint64_t Id, const std::string &Customer,
                  TimePoint Now = Start) {
  std::optional<uint64_t> Shed;
  return enqueueRequest(Queue, makeRequest(Id, Customer, Now), Shed, QueueSettings{});
}

struct Arrivals {
  std::string m_Customer;
  Duration m_Every{}; // mean time between two requests
  Duration m_Service{};
};

struct Result {
  std::map<std::string, std::vector<Duration>> m_Took; // wait and service
  std::map<std::string, uint32_t> m_Refused;
};

// Runs the queue with a virtual clock in steps of 100 us, random arrivals and five slots.
Result simulateQueue(const std::vector<Arrivals> &Customers, Duration Length, uint64_t Seed) {
  struct Running {
    QueuedRequest m_Request;
    TimePoint m_Started{};
    TimePoint m_Ends{};
  };
  Random Rng(Seed);
  FairQueue Queue;
  Queue.m_SlotCount = 5;
  Result Out;
  std::vector<Running> Slots;
  std::map<std::string, Duration> Service;
  uint64_t NextId = 1;
  const Duration Step = std::chrono::microseconds(100);
  for (TimePoint Now = Start; Now < Start + Length; Now += Step) {
    for (const Arrivals &A : Customers) {
      Service[A.m_Customer] = A.m_Service;
      double Chance = static_cast<double>(Step.count()) / static_cast<double>(A.m_Every.count());
      if (std::bernoulli_distribution(Chance)(Rng) &&
          addRequest(Queue, NextId++, A.m_Customer, Now) != Reason::None)
        ++Out.m_Refused[A.m_Customer];
    }
    for (const QueuedRequest &R : expireQueuedRequests(Queue, Now, QueueSettings{}))
      ++Out.m_Refused[R.m_Customer];
    std::erase_if(Slots, [&](const Running &R) {
      if (R.m_Ends > Now)
        return false;
      finishRequest(Queue, R.m_Request.m_Customer, Now - R.m_Started);
      Out.m_Took[R.m_Request.m_Customer].push_back(Now - R.m_Request.m_QueuedAt);
      return true;
    });
    while (auto Next = startNextRequest(Queue, Now)) {
      double Spread = std::uniform_real_distribution<double>(0.5, 1.5)(Rng);
      auto Takes = std::chrono::duration_cast<Duration>(Service[Next->m_Customer] * Spread);
      Slots.push_back({*Next, Now, Now + Takes});
    }
  }
  return Out;
}

Duration findP99(std::vector<Duration> Values) {
  std::ranges::sort(Values);
  return Values.at(Values.size() * 99 / 100);
}

} // namespace

// Guards against a customer that sends 5 times the rate of another taking the slots of that one:
// its p99 has to stay under 1.5 times its p99 alone, and none of its requests may be refused.
// Together they ask for 1.2 times what five slots can do.
Test(queue, customerKeepsItsShareBesideOneWithFiveTimesItsRate) {
  const Arrivals Small{"small", Millis(5), Millis(5)};
  const Arrivals Large{"large", Millis(1), Millis(5)};
  for (uint64_t Seed : {11, 12, 13}) {
    Result Alone = simulateQueue({Small}, std::chrono::seconds(30), Seed);
    Result Both = simulateQueue({Small, Large}, std::chrono::seconds(30), Seed);
    double Ratio = std::chrono::duration<double>(findP99(Both.m_Took["small"])) /
                   std::chrono::duration<double>(findP99(Alone.m_Took["small"]));
    std::printf("seed %d: p99 ratio %.2f, refused: small %u, large %u\n", static_cast<int>(Seed),
                Ratio, Both.m_Refused["small"], Both.m_Refused["large"]);
    cr_assert(Ratio < 1.5, "p99 ratio %.2f", Ratio);
    cr_assert(Both.m_Refused["small"] == 0);
    cr_assert(Both.m_Refused["large"] > 0, "the queue was not overloaded");
  }
}

// Guards against counting requests instead of slot time: a customer with statements four times as
// long gets the same slot time, not four times as much.
Test(queue, sharesSlotTimeAndNotRequests) {
  Result Out = simulateQueue({{"short", Millis(1), Millis(4)}, {"long", Millis(1), Millis(16)}},
                             std::chrono::seconds(20), 21);
  double Short = static_cast<double>(Out.m_Took["short"].size()) * 4;
  double Long = static_cast<double>(Out.m_Took["long"].size()) * 16;
  cr_assert(Short > 0.9 * Long && Short < 1.1 * Long, "slot time short %.0f long %.0f", Short,
            Long);
}

// Guards against a customer saving up idle time and then holding all slots for as long.
Test(queue, idleTimeIsNotSavedUp) {
  FairQueue Queue;
  for (uint64_t Id = 1; Id <= 60; ++Id) {
    addRequest(Queue, Id, "busy");
    startNextRequest(Queue, Start);
    if (Id % 2 == 0) {
      finishRequest(Queue, "busy", std::chrono::seconds(1));
      addRequest(Queue, 1000 + Id, "busy");
    }
  }
  for (uint64_t Id = 100; Id < 120; ++Id)
    addRequest(Queue, Id, "late");
  uint32_t Late = 0;
  finishRequest(Queue, "busy", std::chrono::seconds(1));
  for (int I = 0; I < 20; ++I) {
    auto Next = startNextRequest(Queue, Start);
    cr_assert(Next.has_value());
    Late += Next->m_Customer == "late";
    finishRequest(Queue, Next->m_Customer, std::chrono::seconds(1));
  }
  cr_assert(Late >= 8 && Late <= 12, "late customer got %u of 20 starts", Late);
}

// Guards against an unbounded queue, and against one customer filling it for the others.
Test(queue, boundsHoldAndTheLongestQueueGivesWay) {
  FairQueue Queue;
  Queue.m_SlotCount = 0;
  QueueSettings Settings;
  std::optional<uint64_t> Shed;
  uint64_t Id = 1;
  for (; Id <= Settings.m_MaxPerCustomer; ++Id)
    cr_assert(addRequest(Queue, Id, "a") == Reason::None);
  cr_assert(addRequest(Queue, Id++, "a") == Reason::QueueFull);
  for (int Customer = 0; Queue.m_QueuedCount < Settings.m_MaxTotal; ++Customer)
    for (int I = 0; I < 32 && Queue.m_QueuedCount < Settings.m_MaxTotal; ++I)
      cr_assert(addRequest(Queue, Id++, "b" + std::to_string(Customer)) == Reason::None);
  cr_assert(enqueueRequest(Queue, makeRequest(Id++, "new", Start), Shed, Settings) == Reason::None);
  cr_assert(Shed == Settings.m_MaxPerCustomer, "the newest request of the longest queue gives way");
  cr_assert(Queue.m_QueuedCount == Settings.m_MaxTotal);
  cr_assert(enqueueRequest(Queue, makeRequest(Id++, "a", Start), Shed, Settings) ==
            Reason::QueueFull);
  cr_assert(!Shed);
  // A request past its limit gives way before any other.
  QueuedRequest Late = makeRequest(Id++, "new", Start + Settings.m_MaxWait);
  cr_assert(enqueueRequest(Queue, Late, Shed, Settings) == Reason::None);
  cr_assert(Shed.has_value() && *Shed != Settings.m_MaxPerCustomer - 1);
}

// Guards against requests that stay queued past their deadline or after their key was withdrawn.
Test(queue, expiredAndWithdrawnRequestsLeave) {
  FairQueue Queue;
  std::optional<uint64_t> Shed;
  QueuedRequest Short = makeRequest(1, "a", Start);
  Short.m_Deadline = Start + Millis(100);
  enqueueRequest(Queue, Short, Shed, QueueSettings{});
  addRequest(Queue, 2, "a");
  QueuedRequest Other = makeRequest(3, "a", Start);
  Other.m_KeyId = "second";
  enqueueRequest(Queue, Other, Shed, QueueSettings{});
  addRequest(Queue, 4, "b");
  cr_assert(expireQueuedRequests(Queue, Start + Millis(99), QueueSettings{}).empty());
  auto Expired = expireQueuedRequests(Queue, Start + Millis(100), QueueSettings{});
  cr_assert(Expired.size() == 1 && Expired[0].m_Id == 1);
  auto Removed = removeRequestsOfKey(Queue, "key-a");
  cr_assert(Removed.size() == 1 && Removed[0].m_Id == 2);
  cr_assert(Queue.m_QueuedCount == 2);
  cr_assert(expireQueuedRequests(Queue, Start + Millis(1500), QueueSettings{}).size() == 2);
  cr_assert(!startNextRequest(Queue, Start).has_value());
}

// Guards against requests lost or run twice, more running than slots, and a stale index, under any
// order of calls.
Test(queue, everyRequestLeavesOnceUnderAnyOrderOfCalls) {
  bool Held = checkProperty("queue", 7001, 300, [] {
    FairQueue Queue;
    Queue.m_SlotCount = *rc::gen::inRange(1U, 6U);
    QueueSettings Settings{8, 20, Millis(50)};
    Random Rng(*rc::gen::arbitrary<uint64_t>());
    std::set<uint64_t> Inside;
    std::vector<std::string> Running;
    TimePoint Now = Start;
    auto Leave = [&](uint64_t Id) { RC_ASSERT(Inside.erase(Id) == 1U); };
    for (uint64_t Id = 1; Id <= 400; ++Id) {
      Now += Millis(Rng() % 5);
      std::string Customer(1, static_cast<char>('a' + Rng() % 6));
      switch (Rng() % 6) {
      case 0:
      case 1: {
        QueuedRequest R = makeRequest(Id, Customer, Now);
        R.m_Deadline = Now + Millis(Rng() % 100);
        R.m_IsPinned = Rng() % 4 == 0;
        std::optional<uint64_t> Shed;
        if (enqueueRequest(Queue, R, Shed, Settings) == Reason::None)
          Inside.insert(Id);
        if (Shed)
          Leave(*Shed);
        break;
      }
      case 2:
        if (auto Next = startNextRequest(Queue, Now, Rng() % 3 == 0)) {
          Leave(Next->m_Id);
          Running.push_back(Next->m_Customer);
        }
        break;
      case 3:
        if (!Running.empty()) {
          std::swap(Running[Rng() % Running.size()], Running.back());
          finishRequest(Queue, Running.back(), Millis(Rng() % 40));
          Running.pop_back();
        }
        break;
      case 4:
        for (const auto &R : expireQueuedRequests(Queue, Now, Settings))
          Leave(R.m_Id);
        break;
      default:
        if (Rng() % 5 == 0)
          for (const auto &R : removeRequestsOfKey(Queue, "key-" + Customer))
            Leave(R.m_Id);
      }
      RC_ASSERT(Queue.m_QueuedCount == Inside.size());
      RC_ASSERT(Queue.m_QueuedCount <= Settings.m_MaxTotal);
      RC_ASSERT(Queue.m_RunningCount == Running.size());
      RC_ASSERT(Queue.m_RunningCount <= Queue.m_SlotCount);
      RC_ASSERT(Queue.m_RequestsByExpiry.size() == Inside.size());
      RC_ASSERT(std::ranges::is_permutation(
          Queue.m_CustomersByVirtualTime,
          [&] {
            std::vector<std::string> Names;
            for (const auto &[Name, C] : Queue.m_Customers)
              if (!C.m_Requests.empty())
                Names.push_back(Name);
            return Names;
          }(),
          {}, [](const auto &Entry) { return Entry.second; }));
    }
  });
  cr_assert(Held);
}

namespace {

struct Load {
  double m_Factor = 1.7; // of what the slots can run
  Duration m_Length{};
};

// One customer at three slots, statements of 24 ms, a goal of 400 ms and a limit of 1 s, as at the
// pairings directorate. Returns how many were answered within the goal.
uint32_t countInTime(const std::vector<Load> &Loads, bool Goals) {
  constexpr Millis Service{24}, Goal{400}, Limit{1000};
  constexpr std::chrono::microseconds Step{500};
  FairQueue Queue;
  Queue.m_SlotCount = 3;
  std::map<uint64_t, QueuedRequest> Known;
  std::multimap<TimePoint, uint64_t> Ends;
  uint64_t Id = 0;
  uint32_t InTime = 0;
  double Due = 0;
  TimePoint Now = Start;
  for (const Load &L : Loads) {
    for (TimePoint Until = Now + L.m_Length; Now < Until; Now += Step) {
      Due += L.m_Factor * 3 * (Duration(Step) / 1.0) / Duration(Service);
      for (; Due >= 1; Due -= 1) {
        QueuedRequest R = makeRequest(++Id, "a", Now);
        R.m_Deadline = Now + Limit;
        if (Goals)
          R.m_LatencyTargetAt = Now + Goal;
        std::optional<uint64_t> Shed;
        QueueSettings Settings;
        Settings.m_MaxPerCustomer = 200;
        if (enqueueRequest(Queue, R, Shed, Settings) == Reason::None)
          Known[Id] = R;
      }
      while (!Ends.empty() && Ends.begin()->first <= Now) {
        InTime += Now - Known[Ends.begin()->second].m_QueuedAt <= Goal ? 1 : 0;
        finishRequest(Queue, "a", Service);
        Ends.erase(Ends.begin());
      }
      expireQueuedRequests(Queue, Now, {});
      while (auto Next = startNextRequest(Queue, Now))
        Ends.emplace(Now + Service, Next->m_Id);
    }
  }
  return InTime;
}

} // namespace

// The pattern: 1.7 times the usual users for 3 s. In order of arrival every answer is late once the
// queue is longer than the goal, and for as long after the peak as the queue takes to drain.
Test(queue, peak_keeps_the_slots_busy_with_answers_in_time) {
  std::vector<Load> Peak = {{0.7, Millis(1000)}, {1.7, Millis(3000)}, {0.7, Millis(2000)}};
  uint32_t ByArrival = countInTime(Peak, false);
  uint32_t ByGoal = countInTime(Peak, true);
  // 125 statements a second can be run: all of them during the peak, 0.7 of them beside it.
  uint32_t Possible = static_cast<uint32_t>(125 * (3 + 0.7 * 3));
  cr_assert_gt(ByGoal, Possible * 9 / 10, "%u of %u", ByGoal, Possible);
  cr_assert_gt(ByGoal * 2, ByArrival * 3, "%u, in order of arrival %u", ByGoal, ByArrival);
}

// Statements of open transactions hold a connection and locks: they go first whatever their goals.
Test(queue, pinned_statements_do_not_wait_for_goals) {
  FairQueue Queue;
  std::optional<uint64_t> Shed;
  QueuedRequest Soon = makeRequest(1, "a", Start);
  Soon.m_LatencyTargetAt = Start + Millis(50);
  QueuedRequest Pinned = makeRequest(2, "a", Start);
  Pinned.m_IsPinned = true;
  enqueueRequest(Queue, Soon, Shed, QueueSettings{});
  enqueueRequest(Queue, Pinned, Shed, QueueSettings{});
  cr_assert_eq(startNextRequest(Queue, Start)->m_Id, 2);
}

// Late requests are answered when nothing else waits, not dropped.
Test(queue, late_request_starts_when_nothing_is_in_time) {
  FairQueue Queue;
  std::optional<uint64_t> Shed;
  QueuedRequest Late = makeRequest(1, "a", Start);
  Late.m_LatencyTargetAt = Start + Millis(1);
  enqueueRequest(Queue, Late, Shed, QueueSettings{});
  cr_assert_eq(startNextRequest(Queue, Start + Millis(500))->m_Id, 1);
}

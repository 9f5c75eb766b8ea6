#include "property.h"
#include "quetzalpaddle.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

const TimePoint Start = TimePoint{} + std::chrono::hours(1);

// Makes a pool with a budget of Size connections, all open and idle.
Pool makePool(uint32_t Size) {
  PoolSettings Settings;
  Settings.m_MaxConcurrentOpens = Size;
  Pool NewPool;
  NewPool.m_MaxSize = Size;
  for (uint64_t Id : planOpens(NewPool, Size, Start, Settings))
    recordOpenSuccess(NewPool, Id, Start);
  return NewPool;
}

Reason beginTransaction(Pool &Connections, const std::string &Name, const std::string &Customer) {
  auto Id = takeConnection(Connections, Start);
  cr_assert(Id.has_value());
  Reason RefusalReason = pinConnection(Connections, *Id, Name, Customer, "k", Start);
  if (RefusalReason == Reason::None)
    finishPinnedStatement(Connections, *Id, Start);
  else
    releaseConnection(Connections, *Id, true, Start);
  return RefusalReason;
}

} // namespace

// Guards against two transactions on one connection, reuse of a connection that was released
// unclean, and more connections than the budget, under any order of calls.
Test(pool, connectionsAreNeverSharedOrReusedUnclean) {
  bool PropertyHolds = checkProperty("pool", 7002, 300, [] {
    Pool Connections;
    Connections.m_MaxSize = *rc::gen::inRange(1U, 12U);
    Random Rng(*rc::gen::arbitrary<uint64_t>());
    PoolSettings Settings;
    Settings.m_TransactionIdleTimeout = Millis(60);
    Settings.m_MaxTransactionAge = Millis(200);
    std::set<uint64_t> OpeningIds;
    std::set<uint64_t> BusyIds;                       // run a statement outside transactions
    std::map<uint64_t, std::string> PinnedIdsInUse;   // transaction whose statement is in progress
    std::map<std::string, uint64_t> IdsByTransaction; // connection of each open transaction
    std::set<uint64_t> ClosedIds;                     // must not be used again
    TimePoint Now = Start;
    auto Release = [&](uint64_t Id, bool IsClean) {
      if (!releaseConnection(Connections, Id, IsClean, Now))
        ClosedIds.insert(Id);
      RC_ASSERT(IsClean || ClosedIds.contains(Id));
    };
    auto ChooseFrom = [&](auto &Set) { return std::next(Set.begin(), Rng() % Set.size()); };
    for (int Step = 0; Step < 300; ++Step) {
      Now += Millis(Rng() % 8);
      switch (Rng() % 8) {
      case 0:
        for (uint64_t Id : planOpens(Connections, Rng() % 8, Now, Settings))
          RC_ASSERT(OpeningIds.insert(Id).second && !ClosedIds.contains(Id));
        RC_ASSERT(OpeningIds.size() <= Settings.m_MaxConcurrentOpens);
        break;
      case 1:
        if (!OpeningIds.empty()) {
          uint64_t Id = *OpeningIds.begin();
          OpeningIds.erase(Id);
          if (Rng() % 4 == 0) {
            recordOpenFailure(Connections, Id, Now, Rng);
            ClosedIds.insert(Id);
          } else {
            recordOpenSuccess(Connections, Id, Now);
          }
        }
        break;
      case 2:
      case 3:
        if (auto Id = takeConnection(Connections, Now)) {
          RC_ASSERT(!ClosedIds.contains(*Id) && !BusyIds.contains(*Id) &&
                    !PinnedIdsInUse.contains(*Id));
          RC_ASSERT(std::ranges::none_of(IdsByTransaction,
                                         [&](auto &Entry) { return Entry.second == *Id; }));
          std::string Name = "t" + std::to_string(Step);
          if (Rng() % 2 == 0 &&
              pinConnection(Connections, *Id, Name, "c", "k", Now) == Reason::None) {
            IdsByTransaction[Name] = *Id;
            PinnedIdsInUse[*Id] = Name;
          } else {
            BusyIds.insert(*Id);
          }
        }
        break;
      case 4:
        if (!BusyIds.empty()) {
          uint64_t Id = *ChooseFrom(BusyIds);
          BusyIds.erase(Id);
          Release(Id, Rng() % 4 != 0);
        }
        break;
      case 5:
        if (!PinnedIdsInUse.empty()) {
          auto [Id, Name] = *ChooseFrom(PinnedIdsInUse);
          PinnedIdsInUse.erase(Id);
          if (Rng() % 2 == 0) {
            finishPinnedStatement(Connections, Id, Now);
          } else {
            IdsByTransaction.erase(Name);
            Release(Id, Rng() % 2 == 0);
          }
        }
        break;
      case 6:
        if (!IdsByTransaction.empty()) {
          auto [Name, Id] = *ChooseFrom(IdsByTransaction);
          RC_ASSERT(std::get<Reason>(usePinnedConnection(Connections, Name, "other", Now)) ==
                    Reason::NoTransaction);
          auto UseResult = usePinnedConnection(Connections, Name, "c", Now);
          RC_ASSERT(std::holds_alternative<uint64_t>(UseResult) != PinnedIdsInUse.contains(Id));
          if (auto *PinnedId = std::get_if<uint64_t>(&UseResult)) {
            RC_ASSERT(*PinnedId == Id);
            PinnedIdsInUse[Id] = Name;
          }
        }
        break;
      default:
        Connections.m_MaxSize = Rng() % 10 == 0 ? 1 + Rng() % 12 : Connections.m_MaxSize;
        for (uint64_t Id : expireConnections(Connections, Now, Settings)) {
          RC_ASSERT(!BusyIds.contains(Id) && !PinnedIdsInUse.contains(Id));
          std::erase_if(IdsByTransaction, [&](auto &Entry) { return Entry.second == Id; });
          ClosedIds.insert(Id);
        }
      }
      RC_ASSERT(Connections.m_ConnectionsByTransaction.size() == IdsByTransaction.size());
      for (uint64_t Id : ClosedIds)
        RC_ASSERT(!Connections.m_Connections.contains(Id));
    }
  });
  cr_assert(PropertyHolds);
}

// Guards against opening more connections than the budget or more than four at a time.
Test(pool, opensAtMostFourAtATimeWithinTheBudget) {
  Pool TestPool;
  TestPool.m_MaxSize = 6;
  PoolSettings Settings;
  auto FirstIds = planOpens(TestPool, 20, Start, Settings);
  cr_assert(FirstIds.size() == 4);
  cr_assert(planOpens(TestPool, 20, Start, Settings).empty());
  for (uint64_t Id : FirstIds)
    recordOpenSuccess(TestPool, Id, Start);
  cr_assert(planOpens(TestPool, 4, Start, Settings).empty(),
            "idle connections are enough for four");
  cr_assert(planOpens(TestPool, 20, Start, Settings).size() == 2);
}

// Guards against a dispatcher that keeps connecting to an instance that refuses connections: the
// delays grow, stay within their limits and end with a success.
Test(pool, refusedConnectionsBackOff) {
  Random Rng(5);
  PoolSettings Settings;
  for (int Round = 0; Round < 50; ++Round) {
    Pool TestPool;
    TestPool.m_MaxSize = 10;
    TimePoint Now = Start;
    for (int FailureIndex = 0; FailureIndex < 8; ++FailureIndex) {
      auto Ids = planOpens(TestPool, 4, Now, Settings);
      cr_assert(Ids.size() == 4);
      for (uint64_t Id : Ids)
        recordOpenFailure(TestPool, Id, Now, Rng);
      cr_assert(TestPool.m_NextOpenAt >= Now);
      cr_assert(TestPool.m_NextOpenAt <=
                Now + std::min(Millis(25) * (1 << FailureIndex), Millis(1000)));
      cr_assert(TestPool.m_FailedOpenCount == static_cast<uint32_t>(FailureIndex) + 1);
      if (TestPool.m_NextOpenAt > Now)
        cr_assert(planOpens(TestPool, 4, TestPool.m_NextOpenAt - Duration(1), Settings).empty());
      Now = TestPool.m_NextOpenAt;
    }
    recordOpenSuccess(TestPool, planOpens(TestPool, 1, Now, Settings).at(0), Now);
    cr_assert(TestPool.m_FailedOpenCount == 0);
  }
}

// Guards against transactions that take all connections, and against one customer that takes all
// transactions.
Test(pool, transactionsAreLimitedInTotalAndPerCustomer) {
  Pool TestPool = makePool(16);
  for (int I = 0; I < 4; ++I)
    cr_assert(beginTransaction(TestPool, "a" + std::to_string(I), "a") == Reason::None);
  cr_assert(beginTransaction(TestPool, "a4", "a") == Reason::TooManyTransactions);
  for (int I = 0; I < 4; ++I)
    cr_assert(beginTransaction(TestPool, "b" + std::to_string(I), "b") == Reason::None);
  cr_assert(beginTransaction(TestPool, "c0", "c") == Reason::TooManyTransactions);
}

// Guards against abandoned transactions that hold a connection, and against closing a connection
// whose statement is in progress, which would make the outcome of a commit unknown.
Test(pool, idleAndLongTransactionsExpireBetweenStatements) {
  PoolSettings Settings;
  Pool TestPool = makePool(4);
  cr_assert(beginTransaction(TestPool, "t", "a") == Reason::None);
  cr_assert(expireConnections(TestPool, Start + Millis(4999), Settings).empty());
  TimePoint Now = Start;
  for (; Now < Start + Settings.m_MaxTransactionAge; Now += Millis(4000)) {
    auto UseResult = usePinnedConnection(TestPool, "t", "a", Now);
    cr_assert(std::holds_alternative<uint64_t>(UseResult));
    cr_assert(expireConnections(TestPool, Now + std::chrono::seconds(9), Settings).empty());
    finishPinnedStatement(TestPool, std::get<uint64_t>(UseResult), Now);
  }
  cr_assert(expireConnections(TestPool, Now, Settings).size() == 1);
  cr_assert(std::get<Reason>(usePinnedConnection(TestPool, "t", "a", Now)) ==
            Reason::NoTransaction);
  cr_assert(beginTransaction(TestPool, "u", "a") == Reason::None);
  cr_assert(
      expireConnections(TestPool, Start + Settings.m_TransactionIdleTimeout, Settings).size() == 1);
}

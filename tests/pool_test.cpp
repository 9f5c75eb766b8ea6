#include "property.h"
#include "quetzalpaddle.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

const TimePoint Start = TimePoint{} + std::chrono::hours(1);

// A pool with a budget of Size connections, all open and idle.
Pool makePool(uint32_t Size) {
  PoolSettings Settings;
  Settings.m_MaxConcurrentOpens = Size;
  Pool P;
  P.m_MaxSize = Size;
  for (uint64_t Id : planOpens(P, Size, Start, Settings))
    recordOpenSuccess(P, Id, Start);
  return P;
}

Reason beginTransaction(Pool &P, const std::string &Name, const std::string &Customer) {
  auto Id = takeConnection(P, Start);
  cr_assert(Id.has_value());
  Reason Why = pinConnection(P, *Id, Name, Customer, "k", Start);
  if (Why == Reason::None)
    finishPinnedStatement(P, *Id, Start);
  else
    releaseConnection(P, *Id, true, Start);
  return Why;
}

} // namespace

// Guards against two transactions on one connection, reuse of an unclean one, and more connections
// than the budget, under any order of calls.
Test(pool, connectionsAreNeverSharedOrReusedUnclean) {
  bool Held = checkProperty("pool", 7002, 300, [] {
    Pool P;
    P.m_MaxSize = *rc::gen::inRange(1U, 12U);
    Random Rng(*rc::gen::arbitrary<uint64_t>());
    PoolSettings Settings;
    Settings.m_TransactionIdleTimeout = Millis(60);
    Settings.m_MaxTransactionAge = Millis(200);
    std::set<uint64_t> Opening;
    std::set<uint64_t> Busy;               // with one statement outside transactions
    std::map<uint64_t, std::string> InUse; // statement of a transaction in progress
    std::map<std::string, uint64_t> Open;  // transaction to connection
    std::set<uint64_t> Gone;               // closed: must never come back
    TimePoint Now = Start;
    auto Release = [&](uint64_t Id, bool Clean) {
      if (!releaseConnection(P, Id, Clean, Now))
        Gone.insert(Id);
      RC_ASSERT(Clean || Gone.contains(Id));
    };
    auto PickFrom = [&](auto &Set) { return std::next(Set.begin(), Rng() % Set.size()); };
    for (int Step = 0; Step < 300; ++Step) {
      Now += Millis(Rng() % 8);
      switch (Rng() % 8) {
      case 0:
        for (uint64_t Id : planOpens(P, Rng() % 8, Now, Settings))
          RC_ASSERT(Opening.insert(Id).second && !Gone.contains(Id));
        RC_ASSERT(Opening.size() <= Settings.m_MaxConcurrentOpens);
        break;
      case 1:
        if (!Opening.empty()) {
          uint64_t Id = *Opening.begin();
          Opening.erase(Id);
          if (Rng() % 4 == 0) {
            recordOpenFailure(P, Id, Now, Rng);
            Gone.insert(Id);
          } else {
            recordOpenSuccess(P, Id, Now);
          }
        }
        break;
      case 2:
      case 3:
        if (auto Id = takeConnection(P, Now)) {
          RC_ASSERT(!Gone.contains(*Id) && !Busy.contains(*Id) && !InUse.contains(*Id));
          RC_ASSERT(std::ranges::none_of(Open, [&](auto &T) { return T.second == *Id; }));
          std::string Name = "t" + std::to_string(Step);
          if (Rng() % 2 == 0 && pinConnection(P, *Id, Name, "c", "k", Now) == Reason::None) {
            Open[Name] = *Id;
            InUse[*Id] = Name;
          } else {
            Busy.insert(*Id);
          }
        }
        break;
      case 4:
        if (!Busy.empty()) {
          uint64_t Id = *PickFrom(Busy);
          Busy.erase(Id);
          Release(Id, Rng() % 4 != 0);
        }
        break;
      case 5:
        if (!InUse.empty()) {
          auto [Id, Name] = *PickFrom(InUse);
          InUse.erase(Id);
          if (Rng() % 2 == 0) {
            finishPinnedStatement(P, Id, Now);
          } else {
            Open.erase(Name);
            Release(Id, Rng() % 2 == 0);
          }
        }
        break;
      case 6:
        if (!Open.empty()) {
          auto [Name, Id] = *PickFrom(Open);
          RC_ASSERT(std::get<Reason>(usePinnedConnection(P, Name, "other", Now)) ==
                    Reason::NoTransaction);
          auto Used = usePinnedConnection(P, Name, "c", Now);
          RC_ASSERT(std::holds_alternative<uint64_t>(Used) != InUse.contains(Id));
          if (auto *Same = std::get_if<uint64_t>(&Used)) {
            RC_ASSERT(*Same == Id);
            InUse[Id] = Name;
          }
        }
        break;
      default:
        P.m_MaxSize = Rng() % 10 == 0 ? 1 + Rng() % 12 : P.m_MaxSize;
        for (uint64_t Id : expireConnections(P, Now, Settings)) {
          RC_ASSERT(!Busy.contains(Id) && !InUse.contains(Id));
          std::erase_if(Open, [&](auto &T) { return T.second == Id; });
          Gone.insert(Id);
        }
      }
      RC_ASSERT(P.m_ConnectionsByTransaction.size() == Open.size());
      for (uint64_t Id : Gone)
        RC_ASSERT(!P.m_Connections.contains(Id));
    }
  });
  cr_assert(Held);
}

// Guards against opening more connections than the budget or more than four at a time.
Test(pool, opensAtMostFourAtATimeWithinTheBudget) {
  Pool P;
  P.m_MaxSize = 6;
  PoolSettings Settings;
  auto First = planOpens(P, 20, Start, Settings);
  cr_assert(First.size() == 4);
  cr_assert(planOpens(P, 20, Start, Settings).empty());
  for (uint64_t Id : First)
    recordOpenSuccess(P, Id, Start);
  cr_assert(planOpens(P, 4, Start, Settings).empty(), "idle connections are enough for four");
  cr_assert(planOpens(P, 20, Start, Settings).size() == 2);
}

// Guards against a dispatcher that keeps connecting to an instance that refuses: the waits grow,
// stay within their limits and end with a success.
Test(pool, refusedConnectionsBackOff) {
  Random Rng(5);
  PoolSettings Settings;
  for (int Run = 0; Run < 50; ++Run) {
    Pool P;
    P.m_MaxSize = 10;
    TimePoint Now = Start;
    for (int Failure = 0; Failure < 8; ++Failure) {
      auto Ids = planOpens(P, 4, Now, Settings);
      cr_assert(Ids.size() == 4);
      for (uint64_t Id : Ids)
        recordOpenFailure(P, Id, Now, Rng);
      cr_assert(P.m_NextOpenAt >= Now);
      cr_assert(P.m_NextOpenAt <= Now + std::min(Millis(25) * (1 << Failure), Millis(1000)));
      cr_assert(P.m_FailedOpenCount == static_cast<uint32_t>(Failure) + 1);
      if (P.m_NextOpenAt > Now)
        cr_assert(planOpens(P, 4, P.m_NextOpenAt - Duration(1), Settings).empty());
      Now = P.m_NextOpenAt;
    }
    recordOpenSuccess(P, planOpens(P, 1, Now, Settings).at(0), Now);
    cr_assert(P.m_FailedOpenCount == 0);
  }
}

// Guards against transactions that take all connections, or one customer all transactions.
Test(pool, transactionsAreLimitedInAllAndPerCustomer) {
  Pool P = makePool(16);
  for (int I = 0; I < 4; ++I)
    cr_assert(beginTransaction(P, "a" + std::to_string(I), "a") == Reason::None);
  cr_assert(beginTransaction(P, "a4", "a") == Reason::TooManyTransactions);
  for (int I = 0; I < 4; ++I)
    cr_assert(beginTransaction(P, "b" + std::to_string(I), "b") == Reason::None);
  cr_assert(beginTransaction(P, "c0", "c") == Reason::TooManyTransactions);
}

// Guards against abandoned transactions that hold a connection, and against closing one whose
// statement is in progress, which would turn a commit into an unknown outcome.
Test(pool, idleAndLongTransactionsExpireBetweenStatements) {
  PoolSettings Settings;
  Pool P = makePool(4);
  cr_assert(beginTransaction(P, "t", "a") == Reason::None);
  cr_assert(expireConnections(P, Start + Millis(4999), Settings).empty());
  TimePoint Now = Start;
  for (; Now < Start + Settings.m_MaxTransactionAge; Now += Millis(4000)) {
    auto Used = usePinnedConnection(P, "t", "a", Now);
    cr_assert(std::holds_alternative<uint64_t>(Used));
    cr_assert(expireConnections(P, Now + std::chrono::seconds(9), Settings).empty());
    finishPinnedStatement(P, std::get<uint64_t>(Used), Now);
  }
  cr_assert(expireConnections(P, Now, Settings).size() == 1);
  cr_assert(std::get<Reason>(usePinnedConnection(P, "t", "a", Now)) == Reason::NoTransaction);
  cr_assert(beginTransaction(P, "u", "a") == Reason::None);
  cr_assert(expireConnections(P, Start + Settings.m_TransactionIdleTimeout, Settings).size() == 1);
}

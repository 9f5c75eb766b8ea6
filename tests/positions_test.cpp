// Proofs of positions, and the choice of an instance for a read.
#include "positions.h"

#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

LineInstance makeInstance(const std::string &Id, const std::string &DataCentre) {
  LineInstance I;
  I.m_Id = Id;
  I.m_Group = "g";
  I.m_DataCentre = DataCentre;
  I.m_Slots = 3;
  return I;
}

LineGroup makeGroup() {
  LineGroup Group;
  Group.m_Name = "g";
  for (auto [Id, DataCentre] : {std::pair{"p", "a"}, {"r1", "b"}, {"r2", "c"}})
    Group.m_Instances[Id] = makeInstance(Id, DataCentre);
  noteRole(Group, "p", true, Start);
  return Group;
}

} // namespace

// The oldest proof that is fresh enough asks the least of a replica.
Test(positions, oldest_fresh_proof_is_asked_for) {
  PositionHistory History;
  for (uint64_t I = 0; I < 20; ++I)
    addConfirmedPosition(History, {{1, 100 + I}, Start + Millis(100 * I)}, Start + Millis(100 * I));
  auto Needed = lowestPositionSince(History, Start + Millis(950));
  cr_assert(Needed && Needed->m_Index == 110);
  cr_assert_not(lowestPositionSince(History, Start + Millis(1901)));
}

// A proof taken between two others does not make data look fresher than it is.
Test(positions, late_news_keep_their_time) {
  PositionHistory History;
  addConfirmedPosition(History, {{1, 10}, Start}, Start);
  addConfirmedPosition(History, {{1, 30}, Start + Millis(1000)}, Start + Millis(1000));
  addConfirmedPosition(History, {{1, 20}, Start + Millis(500)}, Start + Millis(1100));
  cr_assert_eq(lowestPositionSince(History, Start + Millis(400))->m_Index, 20);
  cr_assert_eq(lowestPositionSince(History, Start + Millis(600))->m_Index, 30);
}

// However proofs arrive, the position for a moment covers every commit acknowledged before it.
Test(positions, bound_holds_for_every_moment) {
  PositionHistory History;
  for (int I = 0; I < 300; ++I) {
    TimePoint At = Start + Millis(7 * ((I * 37) % 300));
    addConfirmedPosition(History, {{1, static_cast<uint64_t>((At - Start) / Millis(7))}, At},
                         Start + Millis(2100));
  }
  for (int Ms = 0; Ms < 2000; Ms += 13) {
    auto Needed = lowestPositionSince(History, Start + Millis(Ms));
    cr_assert(Needed.has_value());
    cr_assert_geq(Needed->m_Index, static_cast<uint64_t>(Ms / 7), "at %d ms", Ms);
  }
}

Test(positions, without_a_proof_only_the_primary_serves) {
  LineGroup Group = makeGroup();
  cr_assert_eq(chooseReadInstance(Group, {"b", std::nullopt, nullptr}, Start), "p");
}

// The pattern: replicas far behind. They are left alone for a moment after each refusal, and the
// primary serves meanwhile.
Test(positions, lagging_replica_is_passed_over) {
  LineGroup Group = makeGroup();
  cr_assert_eq(chooseReadInstance(Group, {"b", Position{1, 5}, nullptr}, Start), "r1");
  noteLagging(Group.m_Instances["r1"], Start);
  cr_assert_eq(chooseReadInstance(Group, {"b", Position{1, 5}, nullptr}, Start), "r2");
  noteLagging(Group.m_Instances["r2"], Start);
  cr_assert_eq(chooseReadInstance(Group, {"b", Position{1, 5}, nullptr}, Start), "p");
  cr_assert_eq(chooseReadInstance(Group, {"b", Position{1, 5}, nullptr}, Start + Millis(500)),
               "r1");
}

// The pattern: the near replica has a queue, as when a data centre's other instances are gone.
Test(positions, busy_replica_sheds_to_others) {
  LineGroup Group = makeGroup();
  Group.m_Instances["r1"].m_ExpectedWait = Millis(80);
  cr_assert_eq(chooseReadInstance(Group, {"b", Position{1, 5}, nullptr}, Start), "r2");
}

// The pattern: an instance that fails part of its statements. Its back-off grows.
Test(positions, repeated_failures_keep_an_instance_out_longer) {
  LineInstance I = makeInstance("r1", "b");
  noteFailure(I, Start);
  Duration First = I.m_BackoffUntil - Start;
  noteFailure(I, Start);
  cr_assert_gt(I.m_BackoffUntil - Start, First);
  noteSuccess(I, {1, 1}, Start);
  noteFailure(I, Start);
  cr_assert_eq(I.m_BackoffUntil - Start, First);
}

Test(positions, promotion_replaces_the_primary_once) {
  LineGroup Group = makeGroup();
  addConfirmedPosition(Group.m_History, {{1, 9}, Start}, Start);
  notePromotion(Group, "r1", 4, Start);
  cr_assert_eq(Group.m_Primary, "r1");
  cr_assert(Group.m_History.m_ConfirmedPositions.empty(),
            "positions of the last primary may be rolled back");
  notePromotion(Group, "p", 3, Start);
  cr_assert_eq(Group.m_Primary, "r1", "older news change nothing");
}

// The pattern: the only instance with the whole log is about to end. It may have to lead for a
// moment, but gets no work.
Test(positions, leaving_primary_gets_no_work_after_its_time) {
  LineGroup Group = makeGroup();
  cr_assert(hasPrimary(Group, Start));
  Group.m_Instances["p"].m_IsLeaving = true;
  Group.m_Instances["p"].m_AcceptsWorkUntil = Start + Millis(5000);
  cr_assert(hasPrimary(Group, Start + Millis(4999)));
  cr_assert_not(hasPrimary(Group, Start + Millis(5000)));
}

// The pattern: the primary's data centre is cut off, so that its entry lapses.
Test(positions, unlisted_primary_gets_no_work_but_is_remembered) {
  LineGroup Group = makeGroup();
  Group.m_Instances["p"].m_IsListed = false;
  cr_assert_not(hasPrimary(Group, Start));
  cr_assert_eq(Group.m_Primary, "p");
}

Test(positions, refusal_makes_the_primary_unknown) {
  LineGroup Group = makeGroup();
  noteNotPrimary(Group, "p", Start);
  cr_assert_not(hasPrimary(Group, Start));
  noteRole(Group, "r2", true, Start);
  cr_assert_eq(Group.m_Primary, "r2");
}

// The pattern: a data centre is cut off, and its hosts cannot reach the primary for seconds.
// Callers are refused at once when a recovery would have been over by now.
Test(positions, caller_is_kept_waiting_only_for_as_long_as_a_recovery_takes) {
  TimePoint Start{std::chrono::hours(1)};
  LineGroup Group;
  Group.m_PrimarySince = Start - std::chrono::seconds(60);
  addConfirmedPosition(Group.m_History, {{3, 100}, Start}, Start);
  cr_assert(expectsPrimary(Group, Start + Millis(2500)));
  cr_assert_not(expectsPrimary(Group, Start + Millis(3500)));
  Group.m_PendingGeneration = 4;
  Group.m_PendingGenerationAt = Start + Millis(3400);
  cr_assert(expectsPrimary(Group, Start + Millis(3500)), "a promotion is in progress");
}

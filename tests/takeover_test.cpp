// When a group needs another primary, and which instance holds every acknowledged commit.
#include "takeover.h"

#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
Takeover Fresh;
const TakeoverSettings Settings;

LineGroup makeGroup() {
  LineGroup Group;
  Group.m_Name = "g";
  Group.m_SyncReplicas = 1;
  for (const char *Id : {"p", "r1", "r2"}) {
    Group.m_Instances[Id].m_Id = Id;
    Group.m_Instances[Id].m_Group = "g";
  }
  Group.m_Primary = "p";
  Group.m_PrimarySince = Start - Millis(5000);
  return Group;
}

LineStatus received(uint64_t Index) { return {false, 1, {1, Index}}; }

} // namespace

Test(takeover, proof_keeps_the_primary) {
  LineGroup Group = makeGroup();
  addConfirmedPosition(Group.m_History, {{1, 1}, Start - Millis(100)}, Start);
  cr_assert(assessPrimary(Group, Fresh, Start, Settings) == TakeoverAction::None);
}

// A pause of 300 ms is no reason to promote.
Test(takeover, short_silence_is_only_probed) {
  LineGroup Group = makeGroup();
  addConfirmedPosition(Group.m_History, {{1, 1}, Start - Millis(900)}, Start);
  Takeover State;
  cr_assert(assessPrimary(Group, State, Start, Settings) == TakeoverAction::Probe);
  State.m_UnreachableSince = Start - Millis(300);
  cr_assert(assessPrimary(Group, State, Start, Settings) == TakeoverAction::Probe);
}

Test(takeover, lasting_silence_forces) {
  LineGroup Group = makeGroup();
  Takeover State;
  State.m_UnreachableSince = Start - Settings.m_UnreachableTimeout;
  cr_assert(assessPrimary(Group, State, Start, Settings) == TakeoverAction::Failover);
}

// The pattern: this host is cut off from the primary, and the others are not.
Test(takeover, proof_of_another_host_counts) {
  LineGroup Group = makeGroup();
  addConfirmedPosition(Group.m_History, {{1, 1}, Start - Millis(200)}, Start);
  Takeover State;
  State.m_UnreachableSince = Start - Millis(2000);
  cr_assert(assessPrimary(Group, State, Start, Settings) == TakeoverAction::None);
}

Test(takeover, leaving_primary_is_replaced) {
  LineGroup Group = makeGroup();
  Group.m_Instances["p"].m_IsLeaving = true;
  addConfirmedPosition(Group.m_History, {{1, 1}, Start}, Start);
  cr_assert(assessPrimary(Group, Fresh, Start, Settings) == TakeoverAction::Switchover);
}

// The pattern: the host that ran an attempt was cut off in the middle of it, and its replicas are
// still suspended. They are resumed; the primary stays, since replicas that receive nothing lack
// commits that it may still get acknowledged.
Test(takeover, stalled_writes_resume_replicas) {
  LineGroup Group = makeGroup();
  Takeover State;
  auto Assess = [&](int Ms) {
    TimePoint Now = Start + Millis(Ms);
    addConfirmedPosition(Group.m_History, {{1, 1}, Now}, Now);
    Group.m_WritesStalled = true;
    Group.m_WritesStalledAt = Now;
    return assessPrimary(Group, State, Now, Settings);
  };
  cr_assert(Assess(0) == TakeoverAction::Resume);
  State.m_ResumedAt = Start;
  cr_assert(Assess(500) == TakeoverAction::None);
  cr_assert(Assess(1100) == TakeoverAction::Resume);
  cr_assert(Assess(9000) == TakeoverAction::Resume);
}

// The pattern: one replica received nothing for a while, then the primary crashes.
Test(takeover, longest_log_succeeds) {
  LineGroup Group = makeGroup();
  SuspendResponses Ballot;
  Ballot.m_Replicas = {{"r1", received(5)}, {"r2", received(50)}};
  cr_assert_eq(chooseFailoverCandidate(Group, Ballot), "r2");
}

Test(takeover, of_equal_logs_the_one_that_stays_succeeds) {
  LineGroup Group = makeGroup();
  Group.m_Instances["r2"].m_IsLeaving = true;
  SuspendResponses Ballot;
  Ballot.m_Replicas = {{"r1", received(50)}, {"r2", received(50)}};
  cr_assert_eq(chooseFailoverCandidate(Group, Ballot), "r1");
}

// An acknowledged commit may rest on the replica that does not answer.
Test(takeover, missing_replica_stops_the_promotion) {
  LineGroup Group = makeGroup();
  SuspendResponses Ballot;
  Ballot.m_Replicas = {{"r1", received(5)}};
  Ballot.m_MissingReplicas = {"r2"};
  cr_assert_eq(chooseFailoverCandidate(Group, Ballot), "");
}

// Commits acknowledged after a replica had left rest on the other one.
Test(takeover, replica_that_left_long_ago_is_not_missed) {
  LineGroup Group = makeGroup();
  Group.m_Instances["r2"].m_IsListed = false;
  Group.m_Instances["r2"].m_UnlistedSince = Start - Millis(3000);
  addConfirmedPosition(Group.m_History, {{1, 40}, Start - Millis(1000)}, Start);
  SuspendResponses Ballot;
  Ballot.m_MissingReplicas = {"r2"};
  Ballot.m_Replicas = {{"r1", received(39)}};
  cr_assert_eq(chooseFailoverCandidate(Group, Ballot), "",
               "has not caught up with what was proved since");
  Ballot.m_Replicas = {{"r1", received(40)}};
  cr_assert_eq(chooseFailoverCandidate(Group, Ballot), "r1");
}

// The pattern: the fleet is split, and both parts see a first host. A second attempt would resume
// the replicas that the first has suspended.
Test(takeover, duty_is_left_to_its_holder_for_a_while) {
  Takeover State;
  PromotionDuty Stored{"other", 4, 7, 17};
  cr_assert_not(mayTakeDuty(State, Stored, "self", 7, Start, Settings));
  cr_assert_not(mayTakeDuty(State, Stored, "self", 7, Start + Millis(2000), Settings));
  Stored.m_Token = 5; // the holder is at it
  cr_assert_not(mayTakeDuty(State, Stored, "self", 7, Start + Millis(6000), Settings));
  cr_assert(mayTakeDuty(State, Stored, "self", 7, Start + Millis(11000), Settings));
  Stored.m_Token = 6;
  cr_assert(mayTakeDuty(State, Stored, "self", 8, Start, Settings), "the holder has restarted");
  Stored.m_Holder = "self";
  cr_assert(mayTakeDuty(State, Stored, "self", 7, Start, Settings));
  cr_assert(mayTakeDuty(State, {}, "self", 7, Start, Settings), "nobody has held it yet");
}

Test(takeover, heir_stays_in_service) {
  LineGroup Group = makeGroup();
  Group.m_Instances["r2"].m_IsLeaving = true;
  cr_assert_eq(chooseSwitchoverCandidate(Group, {{"r1", received(5)}, {"r2", received(9)}}), "r1");
}

// The pattern: a data centre is cut off together with the holder of the duty. The other hosts have
// heard its token for a long time and need not wait to see whether it changes.
Test(takeover, token_heard_for_long_may_be_taken_at_once) {
  Takeover State;
  PromotionDuty Stored{"other", 3, 7, 5};
  noteAnnouncedToken(State, "other", 3, Start);
  noteAnnouncedToken(State, "other", 3, Start + Millis(3000)); // told again and again
  cr_assert(mayTakeDuty(State, Stored, "self", 7, Start + Millis(3000), Settings));
}

// The holder had just begun an attempt when it fell silent: the token is newer than the one heard.
Test(takeover, token_raised_since_it_was_heard_is_left_to_its_holder) {
  Takeover State;
  noteAnnouncedToken(State, "other", 2, Start);
  PromotionDuty Stored{"other", 3, 7, 5};
  TimePoint Read = Start + Millis(5000);
  cr_assert_not(mayTakeDuty(State, Stored, "self", 7, Read, Settings));
  cr_assert(mayTakeDuty(State, Stored, "self", 7, Read + Settings.m_HolderGracePeriod, Settings));
}

// An old datagram does not make the store's token look unchanged.
Test(takeover, late_news_of_a_lower_token_changes_nothing) {
  Takeover State;
  PromotionDuty Stored{"other", 3, 7, 5};
  cr_assert_not(mayTakeDuty(State, Stored, "self", 7, Start, Settings));
  noteAnnouncedToken(State, "other", 2, Start + Millis(100));
  cr_assert_not(mayTakeDuty(State, Stored, "self", 7, Start + Millis(2000), Settings));
}

// The pattern: hosts restart one after the other and the first in order changes with each.
Test(takeover, holder_promotes_while_it_tells_its_token) {
  Takeover State;
  cr_assert_eq(choosePromoter(State, "self", "first", Start, Settings), "first", "none is known");
  noteAnnouncedToken(State, "holder", 3, Start);
  cr_assert_eq(choosePromoter(State, "self", "self", Start, Settings), "holder");
  // It restarted, and no longer holds the duty, or was cut off.
  TimePoint Later = Start + Settings.m_AnnouncementTimeout;
  cr_assert_eq(choosePromoter(State, "self", "self", Later, Settings), "self");
}

// A holder that was cut off comes back and hears that another host has taken the duty.
Test(takeover, earlier_holder_gives_way_to_a_higher_token) {
  Takeover State;
  State.m_Duty = {"self", 3, 7, 5};
  State.m_SeenToken = 2;
  cr_assert_eq(choosePromoter(State, "self", "first", Start, Settings), "self");
  noteAnnouncedToken(State, "other", 4, Start);
  cr_assert_eq(choosePromoter(State, "self", "self", Start, Settings), "other");
}

Test(takeover, attempt_goes_on_when_the_grace_ends) {
  Takeover State;
  PromotionDuty Stored{"other", 3, 7, 5};
  cr_assert_not(mayTakeDuty(State, Stored, "self", 7, Start, Settings));
  TimePoint End = findGraceEnd(State, Settings);
  cr_assert(mayTakeDuty(State, Stored, "self", 7, End, Settings));
  cr_assert_not(mayTakeDuty(State, Stored, "self", 7, End - Millis(1), Settings));
}

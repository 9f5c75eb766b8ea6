// Writes to a primary that acknowledges none.
#include "quetzalpaddle.h"
#include "write_gate.h"

#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

} // namespace

Test(write_gate, one_write_at_a_time_while_none_is_acknowledged) {
  WriteGate Gate;
  Gate.m_InProgressCount = 3;
  cr_assert(canStartWrite(Gate));
  Gate.m_StalledAt = Start;
  cr_assert_not(canStartWrite(Gate));
  Gate.m_InProgressCount = 0;
  cr_assert(canStartWrite(Gate), "one has to find out");
  Gate.m_InProgressCount = 1;
  cr_assert_not(canStartWrite(Gate));
  Gate.m_AcknowledgedAt = Start + Millis(5000);
  cr_assert(canStartWrite(Gate), "an acknowledgement opens the gate");
}

namespace {

// A primary with three slots, a read of 24 ms every 20 ms and a write every 60 ms; writes are
// answered by their time limit of 1 s only. Returns how many reads were answered within 400 ms.
uint32_t countReads(bool Gated) {
  constexpr Millis Service{24}, Goal{400}, Limit{1000}, StallAfter{600};
  FairQueue Queue;
  Queue.m_SlotCount = 3;
  WriteGate Gate;
  struct Running {
    bool m_Write = false;
    TimePoint m_Since{};
    TimePoint m_Sent{};
  };
  std::multimap<TimePoint, Running> Ends;
  std::map<uint64_t, Running> Waiting;
  uint32_t InTime = 0;
  for (TimePoint Now = Start; Now < Start + Millis(5000); Now += Millis(1)) {
    int64_t Tick = (Now - Start) / Millis(1);
    for (bool Write : {false, true}) {
      if (Tick % (Write ? 60 : 20) != 0 || (Write && Gated && !canStartWrite(Gate)))
        continue;
      QueuedRequest R;
      R.m_Id = static_cast<uint64_t>(Tick) * 2 + (Write ? 1 : 0) + 1;
      R.m_Customer = "a";
      R.m_QueuedAt = Now;
      R.m_Deadline = Now + Limit;
      std::optional<uint64_t> Shed;
      if (enqueueRequest(Queue, R, Shed, QueueSettings{}) == Reason::None)
        Waiting[R.m_Id] = {Write, Now, {}};
    }
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      Running Done = Ends.begin()->second;
      Ends.erase(Ends.begin());
      finishRequest(Queue, "a", Service);
      if (Done.m_Write)
        --Gate.m_InProgressCount;
      else
        InTime += Now - Done.m_Since <= Goal ? 1 : 0;
    }
    for (const auto &[End, R] : Ends)
      if (R.m_Write && Now - R.m_Sent > StallAfter)
        Gate.m_StalledAt = Now;
    expireQueuedRequests(Queue, Now, {});
    while (auto Next = startNextRequest(Queue, Now)) {
      Running R = Waiting[Next->m_Id];
      if (R.m_Write && Gated && !canStartWrite(Gate)) {
        finishRequest(Queue, "a", Duration::zero());
        continue;
      }
      R.m_Sent = Now;
      Gate.m_InProgressCount += R.m_Write ? 1 : 0;
      Ends.emplace(Now + (R.m_Write ? Limit : Service), R);
    }
  }
  return InTime;
}

} // namespace

// The pattern: a primary is cut off from its replicas for 5 s.
Test(write_gate, reads_go_on_beside_stalled_writes) {
  uint32_t Open = countReads(false);
  uint32_t Gated = countReads(true);
  // The stall shows after 600 ms, and writes sent by then keep their slots for up to another 1 s:
  // of the 250 reads of 5 s, those of the last 3.4 s.
  cr_assert_geq(Gated, 170, "%u of 250 reads", Gated);
  cr_assert_gt(Gated, 2 * Open, "%u, without the gate %u", Gated, Open);
}

#include "property.h"
#include "quetzalpaddle.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

using Seconds = std::chrono::duration<double>;

// A guard that is left out, to show that the check of the bound notices it.
enum class LeftOut { Nothing, TransferValidity, LeaseWait, SplitConfirmation };

struct Options {
  uint64_t m_Seed = 1;
  Customer m_Customer{"c", 300, 60};
  uint32_t m_DataCentres = 3;
  uint32_t m_HostsEach = 3;
  Seconds m_Length{8};
  bool m_Faults = true;
  double m_FaultRate = 0.02; // of each kind, per host and 100 ms
  double m_Loss = 0;         // of each message; as many come twice
  LeftOut m_LeftOut = LeftOut::Nothing;
  // Requests per second of a host at a time; random if it is empty.
  std::function<double(size_t Host, Seconds Passed)> m_Demand;
};

struct Outcome {
  std::vector<double> m_Admitted; // times in seconds
  size_t m_Refused = 0;
  size_t m_Asks = 0;
};

// A fleet, its platform and its network on a virtual clock. Every host runs the decision functions
// on a clock of its own offset.
struct Fleet {
  struct SimHost {
    RateState m_Rate;
    Duration m_Offset{};
    uint64_t m_Incarnation = 1;
    TimePoint m_PausedUntil{};
    bool m_CutOff = false; // from the platform
    std::map<std::string, LeaseObservation> m_Leases;
    uint64_t m_MinVersion = 0; // older reads are not applied
    double m_Demand = 0;
  };
  struct Lease {
    uint64_t m_Version = 0;
    uint64_t m_Incarnation = 0;
    bool m_Expired = false;
  };

  Options m_Options;
  RateSettings m_Settings;
  Random m_Rng;
  TimePoint m_Now = TimePoint{} + std::chrono::hours(1);
  TimePoint m_Begin = m_Now;
  std::multimap<TimePoint, std::function<void()>> m_Events;
  std::vector<SimHost> m_Hosts;
  std::vector<SlotAssignment> m_Slots; // rate/c
  uint64_t m_Version = 0;
  std::map<std::string, Lease> m_Leases; // lease/HOST
  bool m_Split = false;                  // the first data centre is cut off from the others
  uint64_t m_NextRequest = 1;
  Outcome m_Outcome;
};

using Action = std::function<void(Fleet::SimHost &, TimePoint Local)>;

double drawUniform(Fleet &F, double Low, double High) {
  return std::uniform_real_distribution<double>(Low, High)(F.m_Rng);
}
bool drawChance(Fleet &F, double Chance) { return std::bernoulli_distribution(Chance)(F.m_Rng); }
Duration drawMillis(Fleet &F, double Low, double High) {
  return std::chrono::duration_cast<Duration>(Seconds(drawUniform(F, Low, High) / 1000));
}

// Runs an action on a host later; a pause delays it, a restart cancels it.
void runOn(Fleet &F, size_t Host, Duration After, Action Run) {
  uint64_t Incarnation = F.m_Hosts[Host].m_Incarnation;
  F.m_Events.emplace(F.m_Now + After, [&F, Host, Incarnation, Run = std::move(Run)] {
    Fleet::SimHost &H = F.m_Hosts[Host];
    if (H.m_Incarnation != Incarnation)
      return;
    if (F.m_Now < H.m_PausedUntil)
      runOn(F, Host, H.m_PausedUntil - F.m_Now, Run);
    else
      Run(H, F.m_Now + H.m_Offset);
  });
}

// A call to the platform: Change takes effect there, Done sees its result unless it is lost.
template <class T>
void callPlatform(Fleet &F, size_t Host, std::function<T()> Change,
                  std::function<void(Fleet::SimHost &, TimePoint, T)> Done) {
  if (F.m_Hosts[Host].m_CutOff || (drawChance(F, F.m_Options.m_Loss)))
    return;
  Duration There = drawMillis(F, 1, drawChance(F, F.m_Options.m_Loss) ? 200 : 5);
  // The change arrives even if the caller restarts meanwhile.
  uint64_t Incarnation = F.m_Hosts[Host].m_Incarnation;
  F.m_Events.emplace(F.m_Now + There, [&F, Host, Incarnation, Change, Done] {
    T Result = Change();
    if (F.m_Hosts[Host].m_Incarnation == Incarnation && !(drawChance(F, F.m_Options.m_Loss)))
      runOn(F, Host, drawMillis(F, 1, 5),
            [Done, Result](Fleet::SimHost &H, TimePoint Local) { Done(H, Local, Result); });
  });
}

void noteResult(Fleet &F, size_t Admitted, size_t Refused) {
  F.m_Outcome.m_Admitted.insert(F.m_Outcome.m_Admitted.end(), Admitted,
                                Seconds(F.m_Now - F.m_Begin).count());
  F.m_Outcome.m_Refused += Refused;
}

void sendAsks(Fleet &F, size_t Host, const std::vector<TokenRequest> &Asks);

void handleAnswer(Fleet &F, size_t Host, const TokenRequest &Ask, double Granted, double Level) {
  runOn(F, Host, Duration::zero(), [&F, Host, Ask, Granted, Level](auto &H, TimePoint Local) {
    AddTokensResult Added = addTokens(H.m_Rate, "c", Ask.m_Host, Granted, Level, Ask.m_RequestedAt,
                                      Local, F.m_Settings);
    noteResult(F, Added.m_AdmittedIds.size(), 0);
    sendAsks(F, Host, Added.m_TokenRequests);
  });
}

void sendAsks(Fleet &F, size_t Host, const std::vector<TokenRequest> &Asks) {
  for (const TokenRequest &Ask : Asks) {
    ++F.m_Outcome.m_Asks;
    bool Faults = F.m_Options.m_Faults;
    auto To = static_cast<size_t>(std::stoul(Ask.m_Host));
    bool Cut = F.m_Split && (Host < F.m_Options.m_HostsEach) != (To < F.m_Options.m_HostsEach);
    auto Delay = [&F, Faults] {
      return drawMillis(F, 0.5, Faults && drawChance(F, 0.1) ? 300 : 1.5);
    };
    for (int Copy = 0; Copy < (drawChance(F, F.m_Options.m_Loss) ? 2 : 1); ++Copy)
      if (!Cut && !(drawChance(F, F.m_Options.m_Loss)))
        runOn(F, To, Delay(), [&F, Host, Ask, Delay](auto &Holder, TimePoint Local) {
          double Granted =
              grantTokens(Holder.m_Rate, "c", Ask.m_RequestedTokens, Local, F.m_Settings);
          double Level = 0;
          for (const Bucket &B : Holder.m_Rate.m_Customers["c"].m_HeldSlots)
            Level += B.m_Level;
          for (int Reply = 0; Reply < (drawChance(F, F.m_Options.m_Loss) ? 2 : 1); ++Reply)
            if (!(drawChance(F, F.m_Options.m_Loss)))
              F.m_Events.emplace(F.m_Now + Delay(), [&F, Host, Ask, Granted, Level] {
                handleAnswer(F, Host, Ask, Granted, Level);
              });
        });
    runOn(F, Host, Millis(30),
          [&F, Host, Ask](auto &, TimePoint) { handleAnswer(F, Host, Ask, 0, 0); });
  }
}

void applySlots(Fleet &F, Fleet::SimHost &H, const std::vector<SlotAssignment> &Slots,
                const std::vector<SlotAssignment> &Kept, TimePoint Local) {
  uint32_t Held = 0;
  std::vector<SlotHolder> Others;
  for (size_t I = 0; I < Slots.size(); ++I) {
    auto IsMine = [&](const SlotAssignment &S) {
      return S.m_Holder == H.m_Rate.m_Host && S.m_Incarnation == H.m_Incarnation;
    };
    Held += IsMine(Slots[I]) && I < Kept.size() && IsMine(Kept[I]);
    if (!Slots[I].m_Holder.empty() && Slots[I].m_Holder != H.m_Rate.m_Host) {
      SlotHolder Other;
      Other.m_Host = Slots[I].m_Holder;
      Other.m_DataCentre = Slots[I].m_DataCentre;
      Others.push_back(Other);
    }
  }
  Bucket Slot =
      splitRate(F.m_Options.m_Customer, static_cast<uint32_t>(Slots.size()), F.m_Settings);
  if (F.m_Options.m_LeftOut == LeftOut::TransferValidity)
    Slot.m_TokenValidity = std::chrono::hours(1);
  setSlots(H.m_Rate, "c", Slot, Held, Others, Local);
}

// One round of a host's work on its slots: read, observe leases, plan, write.
void planRound(Fleet &F, size_t Host) {
  struct Snapshot {
    uint64_t m_Version = 0;
    std::vector<SlotAssignment> m_Slots;
    std::map<std::string, Fleet::Lease> m_Leases;
  };
  std::function<Snapshot()> Read = [&F] { return Snapshot{F.m_Version, F.m_Slots, F.m_Leases}; };
  callPlatform<Snapshot>(F, Host, Read, [&F, Host](auto &H, TimePoint Local, Snapshot Seen) {
    for (const auto &[Name, L] : Seen.m_Leases) {
      LeaseObservation &O = H.m_Leases[Name];
      if (O.m_Version >= L.m_Version && O.m_UnchangedSince != TimePoint{})
        continue;
      O = {L.m_Version, L.m_Incarnation, L.m_Expired, Local};
    }
    if (Seen.m_Version < H.m_MinVersion)
      Seen.m_Slots.clear();
    else
      applySlots(F, H, Seen.m_Slots, Seen.m_Slots, Local);
    if (Seen.m_Version + 1 < H.m_MinVersion || (Seen.m_Slots.empty() && Seen.m_Version > 0) ||
        !H.m_Rate.m_IsLeaseValid || Local >= H.m_Rate.m_LeaseExpiresAt)
      return;
    std::map<std::string, std::vector<std::string>> Preferred;
    // The last data centre is added later. Hosts differ in whom they take for usable.
    bool Late = F.m_Now - F.m_Begin > F.m_Options.m_Length / 3 || !F.m_Options.m_Faults;
    for (size_t I = 0; I < F.m_Hosts.size(); ++I)
      if ((Late || I + F.m_Options.m_HostsEach < F.m_Hosts.size()) &&
          (I == Host || !F.m_Options.m_Faults || drawChance(F, 0.8)))
        Preferred[F.m_Hosts[I].m_Rate.m_DataCentre].push_back(std::to_string(I));
    RateSettings Settings = F.m_Settings;
    if (F.m_Options.m_LeftOut == LeftOut::LeaseWait)
      Settings.m_LeaseDuration = std::chrono::seconds(0);
    std::vector<SlotAssignment> Current = Seen.m_Slots;
    if (F.m_Options.m_LeftOut == LeftOut::SplitConfirmation)
      for (SlotAssignment &S : Current)
        S.m_RateDivisor =
            (F.m_Options.m_DataCentres - (Late ? 0 : 1)) * Settings.m_SlotsPerDataCentre;
    bool Draining = F.m_Options.m_Faults && drawChance(F, 0.01);
    SlotPlan Plan = planSlots(Current, Preferred, H.m_Rate.m_Host, H.m_Incarnation, Draining,
                              H.m_Leases, Local, Settings);
    for (const std::string &Name : Plan.m_LeasesToExpire) {
      uint64_t Version = H.m_Leases[Name].m_Version;
      std::function<bool()> Expire = [&F, Name, Version] {
        Fleet::Lease &L = F.m_Leases[Name];
        if (L.m_Version == Version)
          L = {Version + 1, L.m_Incarnation, true};
        return true;
      };
      callPlatform<bool>(F, Host, Expire, [](auto &, TimePoint, bool) {});
    }
    if (!Plan.m_HasChanged)
      return;
    applySlots(F, H, Plan.m_Slots, Seen.m_Slots, Local);
    H.m_MinVersion = Seen.m_Version + 1;
    std::function<bool()> Write = [&F, Plan, Version = Seen.m_Version] {
      if (F.m_Version != Version)
        return false;
      F.m_Slots = Plan.m_Slots;
      ++F.m_Version;
      return true;
    };
    callPlatform<bool>(F, Host, Write, [](auto &, TimePoint, bool) {}); // a later read shows it
  });
  runOn(F, Host, Millis(20), [&F, Host](auto &, TimePoint) { planRound(F, Host); });
}

void startHost(Fleet &F, size_t Host);

void renewRound(Fleet &F, size_t Host) {
  uint64_t Incarnation = F.m_Hosts[Host].m_Incarnation;
  TimePoint Sent = F.m_Now + F.m_Hosts[Host].m_Offset;
  std::function<bool()> Renew = [&F, Incarnation, Name = std::to_string(Host)] {
    Fleet::Lease &L = F.m_Leases[Name];
    if (L.m_Incarnation > Incarnation || (L.m_Incarnation == Incarnation && L.m_Expired))
      return false;
    L = {L.m_Version + 1, Incarnation, false};
    return true;
  };
  callPlatform<bool>(F, Host, Renew, [&F, Host, Sent](auto &H, TimePoint, bool Renewed) {
    if (Renewed) {
      H.m_Rate.m_IsLeaseValid = true;
      H.m_Rate.m_LeaseExpiresAt =
          std::max(H.m_Rate.m_LeaseExpiresAt, Sent + F.m_Settings.m_LeaseDuration);
      return;
    }
    startHost(F, Host); // expired by another host: starts again under a new incarnation
  });
  runOn(F, Host, Millis(100), [&F, Host](auto &, TimePoint) { renewRound(F, Host); });
}

void sendRequests(Fleet &F, size_t Host) {
  Seconds Passed = F.m_Now - F.m_Begin;
  double Demand =
      F.m_Options.m_Demand ? F.m_Options.m_Demand(Host, Passed) : F.m_Hosts[Host].m_Demand;
  Seconds Next(Demand > 0 ? std::exponential_distribution<double>(Demand)(F.m_Rng) : 1e9);
  if (Next > Millis(50)) { // look again: the demand may have changed
    runOn(F, Host, Millis(50), [&F, Host](auto &, TimePoint) { sendRequests(F, Host); });
    return;
  }
  runOn(F, Host, std::chrono::duration_cast<Duration>(Next), [&F, Host](auto &H, TimePoint Local) {
    AdmitResult R = admitRequest(H.m_Rate, "c", F.m_NextRequest++, Local, F.m_Settings);
    noteResult(F, R.m_Admission == Admission::Admitted, R.m_Admission == Admission::Refused);
    sendAsks(F, Host, R.m_TokenRequests);
    sendRequests(F, Host);
  });
}

void tickHost(Fleet &F, size_t Host) {
  runOn(F, Host, Millis(10), [&F, Host](auto &H, TimePoint Local) {
    noteResult(F, 0, expireWaiting(H.m_Rate, Local, F.m_Settings).size());
    tickHost(F, Host);
  });
}

void startHost(Fleet &F, size_t Host) {
  Fleet::SimHost &H = F.m_Hosts[Host];
  uint64_t Incarnation = H.m_Incarnation + 1;
  double Demand = H.m_Demand;
  H = {};
  H.m_Incarnation = Incarnation;
  H.m_Demand = Demand;
  H.m_Rate.m_Host = std::to_string(Host);
  H.m_Rate.m_DataCentre = "dc" + std::to_string(Host / F.m_Options.m_HostsEach);
  H.m_Offset = std::chrono::seconds(F.m_Rng() % 1000);
  planRound(F, Host);
  renewRound(F, Host);
  sendRequests(F, Host);
  tickHost(F, Host);
}

// Pauses beyond the lease, restarts, cut links, outages of the platform and changes of demand.
void injectFaults(Fleet &F) {
  bool Outage = false;
  double Often = F.m_Options.m_FaultRate;
  for (size_t Host = 0; Host < F.m_Hosts.size(); ++Host) {
    Fleet::SimHost &H = F.m_Hosts[Host];
    if (drawChance(F, 0.3))
      H.m_Demand = F.m_Options.m_Customer.m_Rate * std::array{0.0, 0.05, 0.3, 2.0}[F.m_Rng() % 4];
    if (Host % F.m_Options.m_HostsEach == 0) // of the platform, for a data centre
      Outage = drawChance(F, H.m_CutOff ? 0.95 : Often);
    H.m_CutOff = Outage || drawChance(F, H.m_CutOff ? 0.95 : Often);
    if (drawChance(F, Often / 2))
      H.m_PausedUntil = F.m_Now + drawMillis(F, 20, 3000);
    if (drawChance(F, Often / 2))
      startHost(F, Host);
  }
  F.m_Split = drawChance(F, F.m_Split ? 0.8 : 0.05);
  F.m_Events.emplace(F.m_Now + Millis(100), [&F] { injectFaults(F); });
}

Outcome runFleet(const Options &Given) {
  Fleet F;
  F.m_Options = Given;
  F.m_Rng.seed(Given.m_Seed);
  F.m_Settings.m_LeaseDuration = std::chrono::seconds(2);
  F.m_Hosts.resize(static_cast<size_t>(Given.m_DataCentres) * Given.m_HostsEach);
  for (size_t Host = 0; Host < F.m_Hosts.size(); ++Host)
    startHost(F, Host);
  if (Given.m_Faults)
    injectFaults(F);
  while (!F.m_Events.empty() && F.m_Events.begin()->first < F.m_Begin + Given.m_Length) {
    auto Event = F.m_Events.extract(F.m_Events.begin());
    F.m_Now = Event.key();
    Event.mapped()();
  }
  return F.m_Outcome;
}

// How far the admissions of any window exceed rate * length + burst; at most 0 if the bound holds.
double findExcess(const std::vector<double> &Times, const Customer &C) {
  double Lowest = 0;
  double Excess = -C.m_Burst;
  for (size_t I = 0; I < Times.size(); ++I) {
    double Paid = static_cast<double>(I) - C.m_Rate * Times[I]; // admitted before, less the rate
    Lowest = I == 0 ? Paid : std::min(Lowest, Paid);
    Excess = std::max(Excess, Paid + 1 - Lowest - C.m_Burst);
  }
  return Excess;
}

bool checkBound(LeftOut Guard, int Runs) {
  return checkProperty("rate bound", 7003, Runs, [Guard] {
    Options O;
    O.m_Seed = *rc::gen::arbitrary<uint64_t>();
    O.m_Customer.m_Rate = *rc::gen::element(50.0, 300.0, 1000.0);
    O.m_Customer.m_Burst = O.m_Customer.m_Rate * *rc::gen::element(0.05, 0.2, 1.0);
    O.m_DataCentres = *rc::gen::inRange(2U, 4U);
    O.m_Loss = *rc::gen::element(0.0, 0.01, 0.1);
    O.m_FaultRate = *rc::gen::element(0.003, 0.02);
    O.m_LeftOut = Guard;
    if (*rc::gen::arbitrary<bool>())
      O.m_Demand = [Rate = O.m_Customer.m_Rate](size_t, Seconds) { return Rate / 2; };
    Outcome Out = runFleet(O);
    RC_CLASSIFY(Out.m_Admitted.size() > O.m_Customer.m_Rate);
    RC_ASSERT(findExcess(Out.m_Admitted, O.m_Customer) <= 1e-6);
  });
}

} // namespace

// Guards against more admissions than rate * t + burst in any window, under loss, delay and
// duplication of messages, pauses beyond the lease, restarts, takeovers and partitions.
Test(rate, fleetNeverExceedsRateAndBurst, .timeout = 120) {
  cr_assert(checkBound(LeftOut::Nothing, 150));
}

// Guards against a check that cannot fail: without each of the guards it has to find an excess.
Test(rate, checkNoticesTokensUsedAfterTheirValidity, .timeout = 120) {
  cr_assert_not(checkBound(LeftOut::TransferValidity, 150));
}
Test(rate, checkNoticesSlotsTakenBeforeTheLeaseIsOver, .timeout = 120) {
  cr_assert_not(checkBound(LeftOut::LeaseWait, 150));
}
Test(rate, checkNoticesSlotsAddedBeforeHoldersUseSmallerShares, .timeout = 120) {
  cr_assert_not(checkBound(LeftOut::SplitConfirmation, 150));
}

namespace {

// 16 hosts in 4 data centres with demand skewed 10:1 over them and moving every 10 s; none in the
// first 3 s, in which the slots are taken and filled.
Options makeSkewed(double Load, Seconds Length) {
  Options O;
  O.m_Customer = {"c", 500, 100};
  O.m_DataCentres = 4;
  O.m_HostsEach = 4;
  O.m_Length = Length;
  O.m_Faults = false;
  double Unit = Load * O.m_Customer.m_Rate / (4 * 10 + 12);
  O.m_Demand = [Unit](size_t Host, Seconds Passed) {
    auto First = static_cast<size_t>(Passed.count() / 10) * 5;
    return Passed < std::chrono::seconds(3) ? 0
                                            : Unit * ((Host + 16 - First % 16) % 16 < 4 ? 10 : 1);
  };
  return O;
}

} // namespace

// Guards against refusals within the rate when the demand is at other hosts than the slots.
Test(rate, skewedDemandWithinTheRateIsRarelyRefused, .timeout = 120) {
  Outcome Out = runFleet(makeSkewed(0.8, std::chrono::seconds(60)));
  size_t Total = Out.m_Admitted.size() + Out.m_Refused;
  std::printf("admitted %zu, refused %zu, asks %zu\n", Out.m_Admitted.size(), Out.m_Refused,
              Out.m_Asks);
  cr_assert(Total > 20000);
  cr_assert(Out.m_Refused * 1000 < Total, "%zu of %zu refused", Out.m_Refused, Total);
}

// Guards against a customer far over its rate that gets less than its rate, or that causes more
// requests between hosts than it sends.
Test(rate, overloadGetsTheRateAndFewAsks, .timeout = 120) {
  Options O = makeSkewed(5, std::chrono::seconds(20));
  Outcome Out = runFleet(O);
  size_t Total = Out.m_Admitted.size() + Out.m_Refused;
  std::printf("admitted %zu, refused %zu, asks %zu\n", Out.m_Admitted.size(), Out.m_Refused,
              Out.m_Asks);
  cr_assert(findExcess(Out.m_Admitted, O.m_Customer) <= 1e-6);
  cr_assert(static_cast<double>(Out.m_Admitted.size()) > 0.9 * O.m_Customer.m_Rate * 17);
  cr_assert(Out.m_Asks < Total);
}

// Guards against a burst that is small for its rate leaving the slots no tokens at all.
Test(rate, smallBurstStillAdmits) {
  Options O = makeSkewed(0.5, std::chrono::seconds(10));
  O.m_Customer.m_Burst = 20;
  Outcome Out = runFleet(O);
  cr_assert(findExcess(Out.m_Admitted, O.m_Customer) <= 1e-6);
  cr_assert(Out.m_Admitted.size() > Out.m_Refused * 20, "admitted %zu, refused %zu",
            Out.m_Admitted.size(), Out.m_Refused);
}

// Measures how memory, time per call and message sizes grow with the size of the state, for
// docs/CAPACITY.md. Prints a table and writes the same figures as JSON. Usage: capacity_bench
// [REPORT.json]
#include "config_codec.h"
#include "host.h"
#include "instance.pb.h"
#include "measure.h"
#include "monitor_state.h"

namespace quetzalpaddle {

namespace {

constexpr uint64_t Seed = 1;
// Estimated framing of gRPC over HTTP/2, in both directions of one unary call on a warm connection:
// HEADERS with indexed fields about 60 bytes, DATA and message prefix 14, response HEADERS 20, DATA
// 14, trailers 30, window update and ping 30.
constexpr double CallFramingBytes = 170;

struct Series {
  std::string m_Name;
  std::string m_Unit;
  std::string m_SizeName;
  std::vector<Sample> m_Samples;
};

std::vector<Series> &allSeries() {
  static std::vector<Series> StoredSeries;
  return StoredSeries;
}

template <class Function>
void addSeries(const std::string &Name, const std::string &Unit, const std::string &SizeName,
               const std::vector<size_t> &Sizes, Function MeasureValue) {
  Series NewSeries{Name, Unit, SizeName, {}};
  for (size_t Size : Sizes)
    NewSeries.m_Samples.push_back({static_cast<double>(Size), MeasureValue(Size)});
  Fit LineFit = fitLine(NewSeries.m_Samples);
  fmt::print("{:<34} {:>5} by {:<10}", Name, Unit, SizeName);
  for (const Sample &Each : NewSeries.m_Samples)
    fmt::print(" {:>6.0f}:{:<10.1f}", Each.m_Size, Each.m_Value);
  fmt::print(" slope {:.4g} at 0 {:.4g} residual {:.1f}%\n", LineFit.m_Slope, LineFit.m_Intercept,
             LineFit.m_Residual * 100);
  allSeries().push_back(std::move(NewSeries));
}

//-----------------------------------------------------------------------------
// States of a given size
//-----------------------------------------------------------------------------

std::string groupName(size_t Number) { return fmt::format("orders-{:05}", Number); }
std::string customerName(size_t Number) { return fmt::format("customer-{:05}", Number); }
std::string keyName(size_t Number) { return fmt::format("key-{:05}", Number); }
std::string hostName(size_t Number) { return fmt::format("host-{:04}", Number); }
std::string dataCentre(size_t Number) { return fmt::format("dc{:02}", Number % 21); }

// Instances are only in the first data centres, which always have hosts. In a data centre without
// hosts, the measured host could become the dispatcher of an instance and probe it.
constexpr size_t InstanceDataCentreCount = 5;

Group makeGroup(size_t Number) {
  Group NewGroup;
  NewGroup.m_Name = groupName(Number);
  for (size_t Index = 0; Index < 3; ++Index) {
    Instance NewInstance;
    NewInstance.m_Id = fmt::format("{}-{}", NewGroup.m_Name, Index + 1);
    NewInstance.m_Address = fmt::format("127.{}.{}.{}:5432", Index, Number / 250, Number % 250);
    NewInstance.m_DataCentre = dataCentre((Number + Index) % InstanceDataCentreCount);
    NewInstance.m_SlotCount = 5;
    NewInstance.m_ConnectionLimit = 65;
    NewGroup.m_Instances.push_back(NewInstance);
  }
  return NewGroup;
}

Customer makeCustomer(size_t Number) { return {customerName(Number), 100, 50}; }

Key makeKeyObject(size_t Number) {
  Key K;
  K.m_Id = keyName(Number);
  K.m_Customer = customerName(Number);
  K.m_Hash = std::string(32, 'h');
  return K;
}

Route makeRoute(size_t Number) {
  Route R;
  R.m_Name = R.m_Group = groupName(Number);
  R.m_AllowedCustomers = {customerName(Number)};
  return R;
}

enum class ObjectKind { Customer, Key, Route, Group };

ConfigChange makeChange(ObjectKind Kind, size_t Number, uint64_t Revision) {
  ConfigChange Change;
  std::string Operation = "host-0001/1790000000000000/12/0123456789abcdef";
  switch (Kind) {
  case ObjectKind::Customer:
    Change.m_Name = "config/customer/" + customerName(Number);
    Change.m_Value = makeCustomer(Number);
    Change.m_Payload = encodeCustomer(makeCustomer(Number), Operation);
    break;
  case ObjectKind::Key:
    Change.m_Name = "config/key/" + keyName(Number);
    Change.m_Value = makeKeyObject(Number);
    Change.m_Payload = encodeKey(makeKeyObject(Number), Operation);
    break;
  case ObjectKind::Route:
    Change.m_Name = "config/route/" + groupName(Number);
    Change.m_Value = makeRoute(Number);
    Change.m_Payload = encodeRoute(makeRoute(Number), Operation);
    break;
  case ObjectKind::Group:
    Change.m_Name = "config/group/" + groupName(Number);
    Change.m_Value = makeGroup(Number);
    Change.m_Payload = encodeGroup(makeGroup(Number), Operation);
    break;
  }
  Change.m_Revision = Revision;
  return Change;
}

ConfigState makeConfig(ObjectKind Kind, size_t Count) {
  ConfigState State;
  for (size_t Index = 0; Index < Count; ++Index)
    applyChange(State, makeChange(Kind, Index, Index + 1));
  advanceRevision(State, Count);
  return State;
}

Membership makeMembers(size_t Count, TimePoint Now) {
  Membership Members;
  Members.m_Self = hostName(0);
  Members.m_DataCentre = dataCentre(0);
  for (size_t Index = 0; Index < Count; ++Index) {
    HostView View;
    View.m_Id = hostName(Index);
    View.m_DataCentre = dataCentre(Index);
    View.m_Address = fmt::format("127.9.{}.{}:7000", Index / 250, Index % 250);
    View.m_LastSeenAt = Now;
    Members.m_Hosts.emplace(View.m_Id, View);
  }
  return Members;
}

InstanceView makeInstanceView(size_t Index, TimePoint Now) {
  InstanceView View;
  View.m_Term = 12;
  View.m_IsPrimary = Index == 0;
  View.m_LastPosition = {12, 1000000 + Index};
  View.m_AppliedPosition = {12, 1000000};
  View.m_AppliedAt = View.m_LastSeenAt = Now;
  View.m_ContactAge = View.m_DataAge = Millis(20);
  return View;
}

std::map<std::string, GroupView> makeViews(size_t Count, TimePoint Now) {
  std::map<std::string, GroupView> Views;
  for (size_t Index = 0; Index < Count; ++Index)
    for (size_t InstanceIndex = 0; const Instance &I : makeGroup(Index).m_Instances)
      mergeView(Views[groupName(Index)], I.m_Id, makeInstanceView(InstanceIndex++, Now));
  return Views;
}

RateState makeRates(size_t Count, double Rate, TimePoint Now, size_t HolderCount = 42) {
  RateState State;
  State.m_Host = hostName(0);
  State.m_DataCentre = dataCentre(0);
  State.m_IsLeaseValid = true;
  State.m_LeaseExpiresAt = Now + std::chrono::hours(24);
  std::vector<SlotHolder> OtherHolders;
  for (size_t Index = 1; Index < HolderCount; ++Index)
    OtherHolders.push_back({.m_Host = hostName(Index), .m_DataCentre = dataCentre(Index)});
  for (size_t Index = 0; Index < Count; ++Index) {
    Customer C{customerName(Index), Rate, Rate};
    setSlots(State, C.m_Id, splitRate(C, static_cast<uint32_t>(HolderCount), {}), 1, OtherHolders,
             Now);
  }
  return State;
}

QueuedRequest makeQueued(uint64_t Id, size_t Customers, TimePoint Now) {
  QueuedRequest R;
  R.m_Id = Id;
  R.m_Customer = customerName(Id % Customers);
  R.m_KeyId = keyName(Id % Customers);
  R.m_QueuedAt = Now;
  R.m_Deadline = Now + Millis(5000);
  return R;
}

std::vector<SlotAssignment> makeSlots(size_t DataCentreCount) {
  std::vector<SlotAssignment> Slots;
  for (size_t Index = 0; Index < 2 * DataCentreCount; ++Index)
    Slots.push_back({dataCentre(Index / 2), static_cast<uint32_t>(Index % 2), hostName(Index), 1,
                     static_cast<uint32_t>(2 * DataCentreCount)});
  return Slots;
}

std::unique_ptr<Host> makeHost(size_t GroupCount, size_t HostCount, size_t HeldSlotCustomerCount,
                               TimePoint Now) {
  auto NewHost = std::make_unique<Host>();
  NewHost->m_Monitor = makeMonitorState();
  NewHost->m_Sync = makeSyncState();
  NewHost->m_Run = [](const std::function<void()> &Work) { Work(); };
  NewHost->m_Incarnation = 1790000000000000;
  NewHost->m_Config = makeConfig(ObjectKind::Group, GroupCount);
  NewHost->m_Views = makeViews(GroupCount, Now);
  NewHost->m_Members = makeMembers(HostCount, Now);
  // Outside the data centres of all instances, so that this host probes none of them.
  NewHost->m_Members.m_Self = "observer";
  NewHost->m_Members.m_DataCentre = "none";
  HostView &SelfView = NewHost->m_Members.m_Hosts["observer"];
  SelfView.m_Id = NewHost->m_Members.m_Self;
  SelfView.m_DataCentre = NewHost->m_Members.m_DataCentre;
  NewHost->m_Rate = makeRates(HeldSlotCustomerCount, 1e6, Now);
  return NewHost;
}

//-----------------------------------------------------------------------------
// Measured series
//-----------------------------------------------------------------------------

const std::vector<size_t> ObjectCounts{500, 2000, 8000, 18000};
const std::vector<size_t> HostCounts{15, 100, 500, 2000};

void measureTokens() {
  std::string Secret(32, 's');
  auto MakeToken = [](size_t GroupCount) {
    SessionToken Token{"customer-00001", {}, false};
    for (size_t Index = 0; Index < GroupCount; ++Index)
      advancePosition(Token, groupName(Index), {12, 1000000});
    return Token;
  };
  const std::vector<size_t> GroupCounts{1, 4, 16, 64};
  addSeries("token text", "bytes", "group", GroupCounts, [&](size_t Count) {
    return static_cast<double>(encodeToken(MakeToken(Count), Secret).size());
  });
  addSeries("sealToken", "ns", "group", GroupCounts, [&](size_t Count) {
    SessionToken Token = MakeToken(Count);
    return measureCallNs([&] {
      std::string Text = encodeToken(Token, Secret);
      doNotOptimize(Text);
    });
  });
  addSeries("openToken", "ns", "group", GroupCounts, [&](size_t Count) {
    std::string Text = encodeToken(MakeToken(Count), Secret);
    return measureCallNs([&] {
      auto Opened = decodeToken(Text, "customer-00001", Secret);
      doNotOptimize(Opened);
    });
  });
}

void measureConfig() {
  struct Row {
    ObjectKind m_Kind;
    const char *m_Name;
  };
  for (const Row &R : {Row{ObjectKind::Customer, "customer"}, Row{ObjectKind::Key, "key"},
                       Row{ObjectKind::Route, "route"}, Row{ObjectKind::Group, "group"}}) {
    addSeries(fmt::format("ConfigState {}", R.m_Name), "bytes", R.m_Name, ObjectCounts,
              [&](size_t Count) {
                return measureHeap(
                    [&] { return std::make_unique<ConfigState>(makeConfig(R.m_Kind, Count)); });
              });
    addSeries(fmt::format("GetConfigReply {}", R.m_Name), "bytes", R.m_Name, {1, 10, 100},
              [&](size_t Count) {
                auto H = std::make_unique<Host>();
                H->m_Sync = makeSyncState();
                H->m_Config = makeConfig(R.m_Kind, Count);
                return static_cast<double>(handleGetConfig(*H, {}).ByteSizeLong());
              });
  }
  addSeries("applyChange key", "ns", "key", ObjectCounts, [](size_t Count) {
    ConfigState State = makeConfig(ObjectKind::Key, Count);
    std::vector<ConfigChange> Changes;
    for (size_t Index = 0; Index < 256; ++Index)
      Changes.push_back(makeChange(ObjectKind::Key, Index * (Count / 256), 0));
    uint64_t Revision = Count;
    return measureCallNs([&] {
      ConfigChange &Change = Changes[++Revision % Changes.size()];
      Change.m_Revision = Revision;
      auto Effects = applyChange(State, Change);
      doNotOptimize(Effects);
    });
  });
  addSeries("decodeChange group", "ns", "object", {1, 10, 100}, [](size_t Count) {
    ConfigChange Change = makeChange(ObjectKind::Group, 1, 1);
    return measureCallNs([&] {
      for (size_t Index = 0; Index < Count; ++Index) {
        ConfigChange Decoded = decodeChange(Change.m_Name, 1, false, Change.m_Payload);
        doNotOptimize(Decoded);
      }
    });
  });
  addSeries("listChanges, one newer", "ns", "object", ObjectCounts, [](size_t Count) {
    ConfigState State = makeConfig(ObjectKind::Key, Count);
    return measureCallNs([&] {
      auto Names = listChanges(State, Count - 1);
      doNotOptimize(Names);
    });
  });
}

void measureAuthorization() {
  std::string Pepper(32, 'p');
  addSeries("authorizeCaller", "ns", "key", {8, 100, 1000, 10000}, [&](size_t Count) {
    ConfigState State = makeConfig(ObjectKind::Key, Count);
    std::vector<std::string> KeyTexts;
    for (size_t Index = 0; Index < Count; ++Index) {
      std::array<uint8_t, 32> Bytes{};
      Bytes[0] = static_cast<uint8_t>(Index);
      KeyTexts.push_back(makeKey(keyName(Index), Bytes));
      State.m_Keys[keyName(Index)].m_Hash = hashKey(KeyTexts.back(), Pepper);
      State.m_Customers[customerName(Index)] = makeCustomer(Index);
      State.m_Routes["orders"].m_AllowedCustomers.insert(customerName(Index));
    }
    size_t Index = 0;
    return measureCallNs([&] {
      auto Authorized = authorizeCaller(State, "orders", KeyTexts[++Index % Count], true, Pepper);
      if (!std::holds_alternative<Caller>(Authorized))
        std::abort();
    });
  });
}

void measureMembership() {
  TimePoint Now = Clock::now();
  Instance I = makeGroup(1).m_Instances[0];
  addSeries("Membership", "bytes", "host", HostCounts, [&](size_t Count) {
    return measureHeap([&] { return std::make_unique<Membership>(makeMembers(Count, Now)); });
  });
  auto AddTimeSeries = [&](const std::string &Name, auto Function) {
    addSeries(Name, "ns", "host", HostCounts, [&](size_t Count) {
      Membership Members = makeMembers(Count, Now);
      return measureCallNs([&] {
        auto Result = Function(Members);
        doNotOptimize(Result);
      });
    });
  };
  AddTimeSeries("orderHosts", [&](const Membership &Members) {
    return orderHosts(Members, "customer-00001", dataCentre(0), true, Now, {});
  });
  AddTimeSeries("chooseDispatcher", [&](const Membership &Members) {
    return chooseDispatcher(Members, I, {}, Now, {});
  });
  AddTimeSeries("isRelay", [&](const Membership &Members) { return isRelay(Members, Now, {}); });
  AddTimeSeries("chooseNeighbours",
                [&](const Membership &Members) { return chooseNeighbours(Members, Now, {}); });
  addSeries("HostsReply", "bytes", "host", HostCounts, [&](size_t Count) {
    platform::HostsReply Reply;
    for (const auto &[Id, View] : makeMembers(Count, Now).m_Hosts) {
      auto &Entry = *Reply.add_hosts();
      Entry.set_host(Id);
      Entry.set_data_centre(View.m_DataCentre);
      Entry.set_peer_address(View.m_Address);
    }
    return static_cast<double>(Reply.ByteSizeLong());
  });
  addSeries("rate/CUSTOMER payload", "bytes", "slot", {2, 8, 42}, [&](size_t Count) {
    objects::RateSlots Slots;
    Slots.set_customer("customer-00001");
    Slots.set_operation_id("host-0001/1790000000000000/12/0123456789abcdef");
    for (const SlotAssignment &Each : makeSlots(Count / 2)) {
      objects::RateSlot &Slot = *Slots.add_slots();
      Slot.set_data_centre(Each.m_DataCentre);
      Slot.set_number(Each.m_Number);
      Slot.set_holder(Each.m_Holder);
      Slot.set_incarnation(1790000000000000);
      Slot.set_split(Each.m_RateDivisor);
    }
    return static_cast<double>(encodeMessage(Slots).size());
  });
  addSeries("planSlots", "ns", "data centre", {4, 10, 21}, [&](size_t DataCentres) {
    auto Slots = makeSlots(DataCentres);
    std::map<std::string, std::vector<std::string>> Preferred;
    std::map<std::string, LeaseObservation> Leases;
    for (size_t Index = 0; Index < 2 * DataCentres; ++Index)
      Preferred[dataCentre(Index / 2)].push_back(hostName(Index));
    return measureCallNs([&] {
      SlotPlan Plan =
          planSlots(Slots, Preferred, hostName(0), 1, SlotPhase::Serving, Leases, Now, {});
      doNotOptimize(Plan);
    });
  });
}

void measureGroups() {
  TimePoint Now = Clock::now();
  addSeries("GroupView", "bytes", "group", ObjectCounts, [&](size_t Count) {
    return measureHeap(
        [&] { return std::make_unique<std::map<std::string, GroupView>>(makeViews(Count, Now)); });
  });
  addSeries("exchange report", "bytes", "group", {1, 100, 1000, 18000}, [&](size_t Count) {
    auto H = makeHost(Count, 15, 0, Now);
    for (auto &[Name, View] : H->m_Views)
      for (auto &[Id, ReportedView] : View.m_Instances)
        ReportedView.m_LastSeenAt = ReportedView.m_AppliedAt = Clock::now();
    return static_cast<double>(handleExchange(*H, {}).report().ByteSizeLong());
  });
  addSeries("exchange report", "bytes", "slot held", {1, 10, 100}, [&](size_t Count) {
    return static_cast<double>(
        handleExchange(*makeHost(0, 15, Count, Now), {}).report().ByteSizeLong());
  });
  addSeries("exchange report, silent hosts", "bytes", "host", {15, 500, 2000}, [&](size_t Count) {
    auto H = makeHost(0, Count, 0, Now);
    for (auto &[Id, View] : H->m_Members.m_Hosts)
      View.m_LastFailedAt = Clock::now();
    return static_cast<double>(handleExchange(*H, {}).report().ByteSizeLong());
  });
  addSeries("handleExchange, build report", "ns", "group", {100, 1000, 4000}, [&](size_t Count) {
    auto H = makeHost(Count, 15, 0, Now);
    return measureCallNs([&] {
      TimePoint SeenAt = Clock::now();
      for (auto &[Name, View] : H->m_Views)
        for (auto &[Id, EachView] : View.m_Instances)
          EachView.m_LastSeenAt = SeenAt;
      std::string Bytes = handleExchange(*H, {}).SerializeAsString();
      doNotOptimize(Bytes);
    });
  });
  auto AddTickSeries = [&](const std::string &Name, const std::string &SizeName, auto Sizes,
                           bool IsConfigChanged) {
    addSeries(Name, "ns", SizeName, Sizes, [&, IsConfigChanged](size_t Count) {
      bool IsByHost = SizeName == "host";
      auto H = makeHost(IsByHost ? 100 : Count, IsByHost ? Count : 15, 0, Now);
      TimePoint TickTime = Now;
      tickMonitor(*H, TickTime);
      if (H->m_Monitor->m_OwnedInstanceCount > 0) {
        fmt::print(
            stderr,
            "the measured host dispatches to instances, so that its probes would be timed\n");
        std::exit(1);
      }
      return measureCallNs([&] {
        TickTime += Millis(60);
        for (auto &[Id, View] : H->m_Members.m_Hosts)
          View.m_LastSeenAt = TickTime;
        if (IsConfigChanged)
          H->m_Config.m_Revision++;
        tickMonitor(*H, TickTime);
      });
    });
  };
  AddTickSeries("tickMonitor, nothing changed", "group", ObjectCounts, false);
  AddTickSeries("tickMonitor, nothing changed", "host", HostCounts, false);
  AddTickSeries("tickMonitor, list made anew", "group", std::vector<size_t>{100, 400, 1600}, true);
  AddTickSeries("tickMonitor, list made anew", "host", HostCounts, true);
  instance::StatusReply Status;
  Status.set_instance("orders-00001-1");
  Status.set_group(groupName(1));
  Status.set_term(12);
  Status.set_primary(true);
  Status.set_primary_hint("orders-00001-1");
  Status.mutable_last()->set_term(12);
  Status.mutable_last()->set_index(1000000);
  *Status.mutable_applied() = Status.last();
  Status.set_contact_age_ms(20);
  Status.set_data_age_ms(20);
  Status.set_connections(29);
  addSeries("probe, framing estimated", "bytes", "probe", {1, 10, 100}, [&](size_t Count) {
    return static_cast<double>(Count) *
           (static_cast<double>(instance::StatusRequest().ByteSizeLong() + Status.ByteSizeLong()) +
            CallFramingBytes);
  });
}

// Times each decision function on states of growing size. By session: customers and groups stay at
// the sizes of the rope works deployment. By customer: each customer has one session and one group,
// and 41 other hosts hold its rate slots.
void measureDecisions(const std::string &SizeName) {
  TimePoint Now = Clock::now();
  bool IsBySession = SizeName == "session";
  auto CustomerCount = [IsBySession](size_t Count) { return IsBySession ? size_t{8} : Count; };
  auto GroupCount = [IsBySession](size_t Count) { return IsBySession ? size_t{3} : Count; };
  size_t HolderCount = IsBySession ? 8 : 42;
  const std::vector<size_t> Sizes = IsBySession ? std::vector<size_t>{10, 100, 1000, 10000}
                                                : std::vector<size_t>{10, 100, 1000, 4000};
  addSeries("chooseForRead", "ns", SizeName, Sizes, [&](size_t Count) {
    auto Views = makeViews(GroupCount(Count), Now);
    std::vector<Group> Groups;
    for (size_t Index = 0; Index < GroupCount(Count); ++Index)
      Groups.push_back(makeGroup(Index));
    Random Rng(Seed);
    ReadRequirement Requirement{ReadMode::Session, {12, 999990}, {}};
    size_t Index = 0;
    return measureCallNs([&] {
      const Group &G = Groups[++Index % Groups.size()];
      auto Choice = chooseForRead(G, Views.find(G.m_Name)->second, dataCentre(0), Requirement, {},
                                  Now, Rng, {});
      doNotOptimize(Choice);
    });
  });
  addSeries("mergeView", "ns", SizeName, Sizes, [&](size_t Count) {
    auto Views = makeViews(GroupCount(Count), Now);
    std::vector<Group> Groups;
    for (size_t Index = 0; Index < GroupCount(Count); ++Index)
      Groups.push_back(makeGroup(Index));
    size_t Index = 0;
    return measureCallNs([&] {
      const Group &G = Groups[++Index % Groups.size()];
      mergeView(Views.find(G.m_Name)->second, G.m_Instances[1].m_Id,
                makeInstanceView(1, Now + std::chrono::microseconds(Index)));
    });
  });
  addSeries("tickPromotion, healthy", "ns", SizeName, Sizes, [&](size_t Count) {
    auto Views = makeViews(GroupCount(Count), Now);
    std::vector<Group> Groups;
    for (size_t Index = 0; Index < GroupCount(Count); ++Index)
      Groups.push_back(makeGroup(Index));
    std::vector<Promotion> Promotions(Groups.size());
    Random Rng(Seed);
    size_t Index = 0;
    return measureCallNs([&] {
      size_t GroupIndex = ++Index % Groups.size();
      const Group &G = Groups[GroupIndex];
      auto Actions =
          tickPromotion(Promotions[GroupIndex], G, Views.find(G.m_Name)->second, 0, Now, Rng, {});
      doNotOptimize(Actions);
    });
  });
  for (bool IsAdmitted : {true, false})
    addSeries(IsAdmitted ? "admitRequest, admitted" : "admitRequest, over the rate", "ns", SizeName,
              Sizes, [&](size_t Count) {
                RateState Rates =
                    makeRates(CustomerCount(Count), IsAdmitted ? 1e9 : 1e-3, Now, HolderCount);
                std::vector<std::string> CustomerNames;
                for (size_t Index = 0; Index < CustomerCount(Count); ++Index)
                  CustomerNames.push_back(customerName(Index));
                uint64_t Id = 0;
                return measureCallNs([&] {
                  ++Id;
                  auto Result = admitRequest(Rates, CustomerNames[Id % CustomerNames.size()], Id,
                                             Now + std::chrono::microseconds(1000 + Id), {});
                  doNotOptimize(Result);
                });
              });
  addSeries("enqueue, start and finish", "ns", SizeName, Sizes, [&](size_t Count) {
    FairQueue Queue;
    Queue.m_SlotCount = 5;
    std::optional<uint64_t> Shed;
    uint64_t Id = 0;
    // The queue holds at most 512 requests; one place is left for the timed request.
    while (Id < std::min<size_t>(Count, 511)) {
      ++Id;
      enqueueRequest(Queue, makeQueued(Id, CustomerCount(Count), Now), Shed, {});
    }
    std::vector<QueuedRequest> Requests;
    for (uint64_t Index = 0; Index < 1024; ++Index)
      Requests.push_back(makeQueued(Index, CustomerCount(Count), Now));
    return measureCallNs([&] {
      QueuedRequest &R = Requests[++Id % Requests.size()];
      R.m_Id = Id;
      enqueueRequest(Queue, R, Shed, {});
      if (auto Next = startNextRequest(Queue, Now))
        finishRequest(Queue, Next->m_Customer, Millis(1));
    });
  });
}

void measureRateState() {
  TimePoint Now = Clock::now();
  addSeries("RateState", "bytes", "customer", {100, 1000, 4000}, [&](size_t Count) {
    return measureHeap([&] { return std::make_unique<RateState>(makeRates(Count, 100, Now)); });
  });
}

void writeReport(const std::string &File, double LoadBefore) {
  nlohmann::json Report{{"seed", Seed},
                        {"load_before", LoadBefore},
                        {"load_after", loadAverage()},
                        {"series", nlohmann::json::array()}};
  for (const Series &S : allSeries()) {
    Fit LineFit = fitLine(S.m_Samples);
    nlohmann::json Samples = nlohmann::json::array();
    for (const Sample &Each : S.m_Samples)
      Samples.push_back({Each.m_Size, Each.m_Value});
    Report["series"].push_back({{"name", S.m_Name},
                                {"unit", S.m_Unit},
                                {"by", S.m_SizeName},
                                {"samples", Samples},
                                {"slope", LineFit.m_Slope},
                                {"intercept", LineFit.m_Intercept},
                                {"residual", LineFit.m_Residual}});
  }
  writeJson(Report, File);
}

} // namespace

} // namespace quetzalpaddle

int main(int Count, char **Arguments) {
  using namespace quetzalpaddle;
  double Load = loadAverage();
  fmt::print("seed {}, load average {:.1f}\n", Seed, Load);
  measureTokens();
  measureConfig();
  measureAuthorization();
  measureMembership();
  measureGroups();
  measureDecisions("session");
  measureDecisions("customer");
  measureRateState();
  writeReport(Count > 1 ? Arguments[1] : "capacity.json", Load);
  return 0;
}

// Slopes of memory, time and message sizes by the size of the state, for docs/CAPACITY.md. Prints a
// table and writes the same as JSON. Usage: capacity_bench [REPORT.json]
#include "config_codec.h"
#include "host.h"
#include "instance.pb.h"
#include "measure.h"
#include "monitor_state.h"

namespace quetzalpaddle {

namespace {

constexpr uint64_t Seed = 1;
// gRPC over HTTP/2, both directions of one unary call on a warm connection: HEADERS with indexed
// fields about 60 bytes, DATA and message prefix 14, response HEADERS 20, DATA 14, trailers 30,
// window update and ping 30. An estimate, not a measurement.
constexpr double CallFraming = 170;

struct Series {
  std::string m_Name;
  std::string m_Unit;
  std::string m_By;
  std::vector<Sample> m_Samples;
};

std::vector<Series> &results() {
  static std::vector<Series> All;
  return All;
}

template <class Function>
void addSeries(const std::string &Name, const std::string &Unit, const std::string &By,
               const std::vector<size_t> &Sizes, Function Measure) {
  Series S{Name, Unit, By, {}};
  for (size_t Size : Sizes)
    S.m_Samples.push_back({static_cast<double>(Size), Measure(Size)});
  Fit Line = fitLine(S.m_Samples);
  fmt::print("{:<34} {:>5} by {:<10}", Name, Unit, By);
  for (const Sample &Each : S.m_Samples)
    fmt::print(" {:>6.0f}:{:<10.1f}", Each.m_Size, Each.m_Value);
  fmt::print(" slope {:.4g} at 0 {:.4g} residual {:.1f}%\n", Line.m_Slope, Line.m_Intercept,
             Line.m_Residual * 100);
  results().push_back(std::move(S));
}

//-----------------------------------------------------------------------------
// State of a given size
//-----------------------------------------------------------------------------

std::string groupName(size_t Number) { return fmt::format("orders-{:05}", Number); }
std::string customerName(size_t Number) { return fmt::format("customer-{:05}", Number); }
std::string keyName(size_t Number) { return fmt::format("key-{:05}", Number); }
std::string hostName(size_t Number) { return fmt::format("host-{:04}", Number); }
std::string dataCentre(size_t Number) { return fmt::format("dc{:02}", Number % 21); }

// Instances lie in the first data centres only, which always have hosts: this host must not become
// the dispatcher of one and probe it.
constexpr size_t InstanceDataCentres = 5;

Group makeGroup(size_t Number) {
  Group G;
  G.m_Name = groupName(Number);
  for (size_t At = 0; At < 3; ++At) {
    Instance I;
    I.m_Id = fmt::format("{}-{}", G.m_Name, At + 1);
    I.m_Address = fmt::format("127.{}.{}.{}:5432", At, Number / 250, Number % 250);
    I.m_DataCentre = dataCentre((Number + At) % InstanceDataCentres);
    I.m_SlotCount = 5;
    I.m_ConnectionLimit = 65;
    G.m_Instances.push_back(I);
  }
  return G;
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
  for (size_t At = 0; At < Count; ++At)
    applyChange(State, makeChange(Kind, At, At + 1));
  advanceRevision(State, Count);
  return State;
}

Membership makeMembers(size_t Count, TimePoint Now) {
  Membership M;
  M.m_Self = hostName(0);
  M.m_DataCentre = dataCentre(0);
  for (size_t At = 0; At < Count; ++At) {
    HostView View;
    View.m_Id = hostName(At);
    View.m_DataCentre = dataCentre(At);
    View.m_Address = fmt::format("127.9.{}.{}:7000", At / 250, At % 250);
    View.m_LastSeenAt = Now;
    M.m_Hosts.emplace(View.m_Id, View);
  }
  return M;
}

InstanceView makeInstanceView(size_t At, TimePoint Now) {
  InstanceView Seen;
  Seen.m_Term = 12;
  Seen.m_IsPrimary = At == 0;
  Seen.m_LastPosition = {12, 1000000 + At};
  Seen.m_AppliedPosition = {12, 1000000};
  Seen.m_AppliedAt = Seen.m_LastSeenAt = Now;
  Seen.m_ContactAge = Seen.m_DataAge = Millis(20);
  return Seen;
}

std::map<std::string, GroupView> makeViews(size_t Count, TimePoint Now) {
  std::map<std::string, GroupView> Views;
  for (size_t At = 0; At < Count; ++At)
    for (size_t Place = 0; const Instance &I : makeGroup(At).m_Instances)
      mergeView(Views[groupName(At)], I.m_Id, makeInstanceView(Place++, Now));
  return Views;
}

RateState makeRates(size_t Count, double Rate, TimePoint Now, size_t Holders = 42) {
  RateState State;
  State.m_Host = hostName(0);
  State.m_DataCentre = dataCentre(0);
  State.m_IsLeaseValid = true;
  State.m_LeaseExpiresAt = Now + std::chrono::hours(24);
  std::vector<SlotHolder> Others;
  for (size_t At = 1; At < Holders; ++At)
    Others.push_back({.m_Host = hostName(At), .m_DataCentre = dataCentre(At)});
  for (size_t At = 0; At < Count; ++At) {
    Customer C{customerName(At), Rate, Rate};
    setSlots(State, C.m_Id, splitRate(C, static_cast<uint32_t>(Holders), {}), 1, Others, Now);
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

std::vector<SlotAssignment> makeSlots(size_t DataCentres) {
  std::vector<SlotAssignment> Slots;
  for (size_t At = 0; At < 2 * DataCentres; ++At)
    Slots.push_back({dataCentre(At / 2), static_cast<uint32_t>(At % 2), hostName(At), 1,
                     static_cast<uint32_t>(2 * DataCentres)});
  return Slots;
}

std::unique_ptr<Host> makeHost(size_t Groups, size_t Hosts, size_t Held, TimePoint Now) {
  auto H = std::make_unique<Host>();
  H->m_Monitor = makeMonitorState();
  H->m_Sync = makeSyncState();
  H->m_Run = [](const std::function<void()> &Work) { Work(); };
  H->m_Incarnation = 1790000000000000;
  H->m_Config = makeConfig(ObjectKind::Group, Groups);
  H->m_Views = makeViews(Groups, Now);
  H->m_Members = makeMembers(Hosts, Now);
  // Not a host of any instance's data centre, so that this host probes nothing.
  H->m_Members.m_Self = "observer";
  H->m_Members.m_DataCentre = "none";
  HostView &Self = H->m_Members.m_Hosts["observer"];
  Self.m_Id = H->m_Members.m_Self;
  Self.m_DataCentre = H->m_Members.m_DataCentre;
  H->m_Rate = makeRates(Held, 1e6, Now);
  return H;
}

//-----------------------------------------------------------------------------
// Series
//-----------------------------------------------------------------------------

const std::vector<size_t> ManyObjects{500, 2000, 8000, 18000};
const std::vector<size_t> HostCounts{15, 100, 500, 2000};

void measureTokens() {
  std::string Secret(32, 's');
  auto Make = [](size_t Groups) {
    SessionToken Token{"customer-00001", {}, false};
    for (size_t At = 0; At < Groups; ++At)
      advancePosition(Token, groupName(At), {12, 1000000});
    return Token;
  };
  const std::vector<size_t> Groups{1, 4, 16, 64};
  addSeries("token text", "bytes", "group", Groups, [&](size_t Count) {
    return static_cast<double>(encodeToken(Make(Count), Secret).size());
  });
  addSeries("sealToken", "ns", "group", Groups, [&](size_t Count) {
    SessionToken Token = Make(Count);
    return timeCall([&] {
      std::string Text = encodeToken(Token, Secret);
      keepValue(Text);
    });
  });
  addSeries("openToken", "ns", "group", Groups, [&](size_t Count) {
    std::string Text = encodeToken(Make(Count), Secret);
    return timeCall([&] {
      auto Opened = decodeToken(Text, "customer-00001", Secret);
      keepValue(Opened);
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
    addSeries(fmt::format("ConfigState {}", R.m_Name), "bytes", R.m_Name, ManyObjects,
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
  addSeries("applyChange key", "ns", "key", ManyObjects, [](size_t Count) {
    ConfigState State = makeConfig(ObjectKind::Key, Count);
    std::vector<ConfigChange> Changes;
    for (size_t At = 0; At < 256; ++At)
      Changes.push_back(makeChange(ObjectKind::Key, At * (Count / 256), 0));
    uint64_t Revision = Count;
    return timeCall([&] {
      ConfigChange &Change = Changes[++Revision % Changes.size()];
      Change.m_Revision = Revision;
      auto Effects = applyChange(State, Change);
      keepValue(Effects);
    });
  });
  addSeries("decodeChange group", "ns", "object", {1, 10, 100}, [](size_t Count) {
    ConfigChange Change = makeChange(ObjectKind::Group, 1, 1);
    return timeCall([&] {
      for (size_t At = 0; At < Count; ++At) {
        ConfigChange Decoded = decodeChange(Change.m_Name, 1, false, Change.m_Payload);
        keepValue(Decoded);
      }
    });
  });
  addSeries("listChanges, one newer", "ns", "object", ManyObjects, [](size_t Count) {
    ConfigState State = makeConfig(ObjectKind::Key, Count);
    return timeCall([&] {
      auto Names = listChanges(State, Count - 1);
      keepValue(Names);
    });
  });
}

void measureCheck() {
  std::string Pepper(32, 'p');
  addSeries("authorizeCaller", "ns", "key", {8, 100, 1000, 10000}, [&](size_t Count) {
    ConfigState State = makeConfig(ObjectKind::Key, Count);
    std::vector<std::string> Texts;
    for (size_t At = 0; At < Count; ++At) {
      std::array<uint8_t, 32> Bytes{};
      Bytes[0] = static_cast<uint8_t>(At);
      Texts.push_back(makeKey(keyName(At), Bytes));
      State.m_Keys[keyName(At)].m_Hash = hashKey(Texts.back(), Pepper);
      State.m_Customers[customerName(At)] = makeCustomer(At);
      State.m_Routes["orders"].m_AllowedCustomers.insert(customerName(At));
    }
    size_t At = 0;
    return timeCall([&] {
      auto Checked = authorizeCaller(State, "orders", Texts[++At % Count], true, Pepper);
      if (!std::holds_alternative<Caller>(Checked))
        std::abort();
    });
  });
}

void measureHosts() {
  TimePoint Now = Clock::now();
  Instance I = makeGroup(1).m_Instances[0];
  addSeries("Membership", "bytes", "host", HostCounts, [&](size_t Count) {
    return measureHeap([&] { return std::make_unique<Membership>(makeMembers(Count, Now)); });
  });
  auto Time = [&](const std::string &Name, auto Call) {
    addSeries(Name, "ns", "host", HostCounts, [&](size_t Count) {
      Membership M = makeMembers(Count, Now);
      return timeCall([&] {
        auto Result = Call(M);
        keepValue(Result);
      });
    });
  };
  Time("orderHosts", [&](const Membership &M) {
    return orderHosts(M, "customer-00001", dataCentre(0), true, Now, {});
  });
  Time("chooseDispatcher",
       [&](const Membership &M) { return chooseDispatcher(M, I, {}, Now, {}); });
  Time("isRelay", [&](const Membership &M) { return isRelay(M, Now, {}); });
  Time("chooseNeighbours", [&](const Membership &M) { return chooseNeighbours(M, Now, {}); });
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
    for (size_t At = 0; At < 2 * DataCentres; ++At)
      Preferred[dataCentre(At / 2)].push_back(hostName(At));
    return timeCall([&] {
      SlotPlan Plan = planSlots(Slots, Preferred, hostName(0), 1, false, Leases, Now, {});
      keepValue(Plan);
    });
  });
}

void measureGroups() {
  TimePoint Now = Clock::now();
  addSeries("GroupView", "bytes", "group", ManyObjects, [&](size_t Count) {
    return measureHeap(
        [&] { return std::make_unique<std::map<std::string, GroupView>>(makeViews(Count, Now)); });
  });
  addSeries("exchange report", "bytes", "group", {1, 100, 1000, 18000}, [&](size_t Count) {
    auto H = makeHost(Count, 15, 0, Now);
    for (auto &[Name, View] : H->m_Views)
      for (auto &[Id, Seen] : View.m_Instances)
        Seen.m_LastSeenAt = Seen.m_AppliedAt = Clock::now();
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
    return timeCall([&] {
      TimePoint Seen = Clock::now();
      for (auto &[Name, View] : H->m_Views)
        for (auto &[Id, Each] : View.m_Instances)
          Each.m_LastSeenAt = Seen;
      std::string Bytes = handleExchange(*H, {}).SerializeAsString();
      keepValue(Bytes);
    });
  });
  auto Tick = [&](const std::string &Name, const std::string &By, auto Sizes, bool Changed) {
    addSeries(Name, "ns", By, Sizes, [&, Changed](size_t Count) {
      bool ByHost = By == "host";
      auto H = makeHost(ByHost ? 100 : Count, ByHost ? Count : 15, 0, Now);
      TimePoint At = Now;
      tickMonitor(*H, At);
      if (H->m_Monitor->m_OwnedInstanceCount > 0) {
        fmt::print(stderr, "the host under test dispatches instances\n");
        std::exit(1);
      }
      return timeCall([&] {
        At += Millis(60);
        for (auto &[Id, View] : H->m_Members.m_Hosts)
          View.m_LastSeenAt = At;
        if (Changed)
          H->m_Config.m_Revision++;
        tickMonitor(*H, At);
      });
    });
  };
  Tick("tickMonitor, nothing changed", "group", ManyObjects, false);
  Tick("tickMonitor, nothing changed", "host", HostCounts, false);
  Tick("tickMonitor, list made anew", "group", std::vector<size_t>{100, 400, 1600}, true);
  Tick("tickMonitor, list made anew", "host", HostCounts, true);
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
            CallFraming);
  });
}

// Each function against a state of this size. By session: customers and groups stay at the sizes
// of rope works. By customer: one session each, one group each, slots held by 41 other hosts.
void measureDecisions(const std::string &By) {
  TimePoint Now = Clock::now();
  bool Fixed = By == "session";
  auto CustomerCount = [Fixed](size_t Count) { return Fixed ? size_t{8} : Count; };
  auto GroupCount = [Fixed](size_t Count) { return Fixed ? size_t{3} : Count; };
  size_t Holders = Fixed ? 8 : 42;
  const std::vector<size_t> Sizes =
      Fixed ? std::vector<size_t>{10, 100, 1000, 10000} : std::vector<size_t>{10, 100, 1000, 4000};
  addSeries("chooseForRead", "ns", By, Sizes, [&](size_t Count) {
    auto Views = makeViews(GroupCount(Count), Now);
    std::vector<Group> Groups;
    for (size_t At = 0; At < GroupCount(Count); ++At)
      Groups.push_back(makeGroup(At));
    Random Rng(Seed);
    ReadRequirement Need{ReadMode::Session, {12, 999990}, {}};
    size_t At = 0;
    return timeCall([&] {
      const Group &G = Groups[++At % Groups.size()];
      auto Choice =
          chooseForRead(G, Views.find(G.m_Name)->second, dataCentre(0), Need, {}, Now, Rng, {});
      keepValue(Choice);
    });
  });
  addSeries("mergeView", "ns", By, Sizes, [&](size_t Count) {
    auto Views = makeViews(GroupCount(Count), Now);
    std::vector<Group> Groups;
    for (size_t At = 0; At < GroupCount(Count); ++At)
      Groups.push_back(makeGroup(At));
    size_t At = 0;
    return timeCall([&] {
      const Group &G = Groups[++At % Groups.size()];
      mergeView(Views.find(G.m_Name)->second, G.m_Instances[1].m_Id,
                makeInstanceView(1, Now + std::chrono::microseconds(At)));
    });
  });
  addSeries("tickPromotion, healthy", "ns", By, Sizes, [&](size_t Count) {
    auto Views = makeViews(GroupCount(Count), Now);
    std::vector<Group> Groups;
    for (size_t At = 0; At < GroupCount(Count); ++At)
      Groups.push_back(makeGroup(At));
    std::vector<Promotion> Promotions(Groups.size());
    Random Rng(Seed);
    size_t At = 0;
    return timeCall([&] {
      size_t Place = ++At % Groups.size();
      const Group &G = Groups[Place];
      auto Actions =
          tickPromotion(Promotions[Place], G, Views.find(G.m_Name)->second, 0, Now, Rng, {});
      keepValue(Actions);
    });
  });
  for (bool Admitted : {true, false})
    addSeries(Admitted ? "admitRequest, admitted" : "admitRequest, over the rate", "ns", By, Sizes,
              [&](size_t Count) {
                RateState Rates =
                    makeRates(CustomerCount(Count), Admitted ? 1e9 : 1e-3, Now, Holders);
                std::vector<std::string> Names;
                for (size_t At = 0; At < CustomerCount(Count); ++At)
                  Names.push_back(customerName(At));
                uint64_t Id = 0;
                return timeCall([&] {
                  ++Id;
                  auto Result = admitRequest(Rates, Names[Id % Names.size()], Id,
                                             Now + std::chrono::microseconds(1000 + Id), {});
                  keepValue(Result);
                });
              });
  addSeries("enqueue, start and finish", "ns", By, Sizes, [&](size_t Count) {
    FairQueue Queue;
    Queue.m_SlotCount = 5;
    std::optional<uint64_t> Shed;
    uint64_t Id = 0;
    // A queue never holds more than 512; one place is left for the request that is timed.
    while (Id < std::min<size_t>(Count, 511)) {
      ++Id;
      enqueueRequest(Queue, makeQueued(Id, CustomerCount(Count), Now), Shed, {});
    }
    std::vector<QueuedRequest> Ready;
    for (uint64_t At = 0; At < 1024; ++At)
      Ready.push_back(makeQueued(At, CustomerCount(Count), Now));
    return timeCall([&] {
      QueuedRequest &R = Ready[++Id % Ready.size()];
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
  for (const Series &S : results()) {
    Fit Line = fitLine(S.m_Samples);
    nlohmann::json Samples = nlohmann::json::array();
    for (const Sample &Each : S.m_Samples)
      Samples.push_back({Each.m_Size, Each.m_Value});
    Report["series"].push_back({{"name", S.m_Name},
                                {"unit", S.m_Unit},
                                {"by", S.m_By},
                                {"samples", Samples},
                                {"slope", Line.m_Slope},
                                {"intercept", Line.m_Intercept},
                                {"residual", Line.m_Residual}});
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
  measureCheck();
  measureHosts();
  measureGroups();
  measureDecisions("session");
  measureDecisions("customer");
  measureRateState();
  writeReport(Count > 1 ? Arguments[1] : "capacity.json", Load);
  return 0;
}

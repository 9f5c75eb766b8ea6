#include "config_codec.h"
#include "ctl.h"
#include "operator.h"
#include "standin_platform.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <unistd.h>

using namespace quetzalpaddle;

namespace {

using operators::RunReply;

// Changes against the platform's stand-in.
struct Bench {
  std::shared_ptr<StandinPlatform> m_Platform = startPlatform({});
  std::shared_ptr<PlatformClient> m_Client =
      openPlatform({platformAddress(*m_Platform)}, "h1", std::chrono::milliseconds(300),
                   [](const std::function<void()> &Work) { Work(); });
  ConfigState m_Config;

  RunReply run(const std::string &Text, const std::string &Id, bool IsRepeat = false) {
    auto Parsed = parseStatement(Text);
    cr_assert(std::holds_alternative<OperatorStatement>(Parsed), "%s", Text.c_str());
    auto Answer = std::make_shared<std::promise<RunReply>>();
    runChange({m_Client, &m_Config, "pepper"}, std::get<OperatorStatement>(Parsed), Id, IsRepeat,
              [Answer](const RunReply &Reply) { Answer->set_value(Reply); });
    auto Future = Answer->get_future();
    cr_assert(Future.wait_for(std::chrono::seconds(10)) == std::future_status::ready,
              "%s: no answer", Text.c_str());
    return Future.get();
  }
  RunReply expect(operators::Outcome Outcome, const std::string &Code, const std::string &Text,
                  const std::string &Id, bool IsRepeat = false) {
    RunReply Reply = run(Text, Id, IsRepeat);
    cr_assert(Reply.outcome() == Outcome && Reply.code() == Code, "%s: outcome %d, %s: %s",
              Text.c_str(), static_cast<int>(Reply.outcome()), Reply.code().c_str(),
              Reply.message().c_str());
    return Reply;
  }
  template <class T> T read(const std::string &Name) {
    platform::Object Object = readObject(*m_Platform, Name);
    ConfigChange Decoded = decodeChange(Name, Object.version(), false, Object.value());
    cr_assert(std::holds_alternative<T>(Decoded.m_Value), "%s: %s", Name.c_str(),
              Object.value().c_str());
    return std::get<T>(Decoded.m_Value);
  }
  void setFault(const std::function<void(standin::FaultRequest &)> &Set) {
    standin::FaultRequest Faults;
    Set(Faults);
    setFaults(*m_Platform, Faults);
  }
};

constexpr const char *CreateGroup = "create group g instance i1 address 127.0.0.1:1 data_centre d "
                                    "slots 5 connections 65 instance i2 address 127.0.0.1:2 "
                                    "data_centre d slots 5 connections 65";

} // namespace

// Guards against statements that change something else than they say, or answer a stale version.
Test(operators, changesTakeEffect) {
  Bench B;
  uint64_t First =
      B.expect(operators::ACCEPTED, "ok", "create customer acme rate 5 burst 9", "1").version();
  cr_assert(B.read<Customer>("config/customer/acme").m_Burst == 9);
  std::string Set = "set customer acme rate 6 burst 9 expect " + std::to_string(First);
  uint64_t Second = B.expect(operators::ACCEPTED, "ok", Set, "2").version();
  cr_assert(Second > First && B.read<Customer>("config/customer/acme").m_Rate == 6);
  uint64_t Version = B.expect(operators::ACCEPTED, "ok", CreateGroup, "3").version();
  B.expect(operators::ACCEPTED, "ok", "create route r group g customers acme", "4");
  B.expect(operators::ACCEPTED, "ok", "leave instance i2 group g expect " + std::to_string(Version),
           "5");
  Group G = B.read<Group>("config/group/g");
  cr_assert(!G.m_Instances[0].m_IsLeaving && G.m_Instances[1].m_IsLeaving);
  std::string Remove = "remove customer acme expect " + std::to_string(Second);
  B.expect(operators::ACCEPTED, "ok", Remove, "6");
  cr_assert(readObject(*B.m_Platform, "config/customer/acme").version() == 0 ||
            readObject(*B.m_Platform, "config/customer/acme").deleted());
}

// Guards against a key that does not match its stored hash, or one that stays valid.
Test(operators, keysAreShownOnceAndWithdrawn) {
  Bench B;
  B.expect(operators::REFUSED, "missing", "create key k1 for acme", "1");
  B.expect(operators::ACCEPTED, "ok", "create customer acme rate 5 burst 9", "2");
  RunReply Made = B.expect(operators::ACCEPTED, "ok", "create key k1 for acme", "3");
  Key K = B.read<Key>("config/key/k1");
  cr_assert(K.m_Hash == hashKey(Made.rows(0).cells(2), "pepper") && !K.m_IsWithdrawn);
  std::string Stored = readObject(*B.m_Platform, "config/key/k1").value();
  cr_assert(Stored.find(Made.rows(0).cells(2)) == std::string::npos, "the key is stored");
  RunReply Again = B.expect(operators::ACCEPTED, "key_not_shown", "create key k1 for acme", "3");
  cr_assert(Again.rows_size() == 0, "a key that does not work is shown");
  std::string Withdraw = "withdraw key k1 expect " + std::to_string(Made.version());
  B.expect(operators::ACCEPTED, "ok", Withdraw, "4");
  cr_assert(B.read<Key>("config/key/k1").m_IsWithdrawn);
  B.expect(operators::ACCEPTED, "ok", Withdraw, "4");
  B.expect(operators::REFUSED, "conflict", Withdraw, "5");
}

// Guards against two operators who overwrite each other's change.
Test(operators, oneOfTwoGetsConflict) {
  Bench B;
  uint64_t Version =
      B.expect(operators::ACCEPTED, "ok", "create customer acme rate 5 burst 9", "1").version();
  B.expect(operators::REFUSED, "conflict", "create customer acme rate 6 burst 9", "2");
  std::string Expect = " expect " + std::to_string(Version);
  B.expect(operators::ACCEPTED, "ok", "set customer acme rate 7 burst 9" + Expect, "3");
  B.expect(operators::REFUSED, "conflict", "set customer acme rate 8 burst 9" + Expect, "4");
  B.expect(operators::REFUSED, "conflict", "remove customer acme" + Expect, "5");
  B.expect(operators::REFUSED, "conflict", "remove customer other expect 3", "6");
  cr_assert(B.read<Customer>("config/customer/acme").m_Rate == 7);
}

// Guards against a change whose answer was lost being reported as refused, or applied twice.
Test(operators, lostAnswersAreRecognised) {
  Bench B;
  for (int At = 0; At < 4; ++At) {
    B.setFault([](auto &F) { F.set_lose_answers(1); });
    std::string Id = std::to_string(At);
    B.expect(operators::ACCEPTED, "ok", "create customer c" + Id + " rate 5 burst 9", Id);
  }
  B.setFault([](auto &F) { F.set_lose_answers(1); });
  RunReply Made = B.expect(operators::ACCEPTED, "ok", "create key k1 for c1", "key");
  cr_assert(Made.rows_size() == 1, "the key is known, since the same host sent it again");
  B.setFault([](auto &F) { F.set_lose_answers(1); });
  uint64_t Version = readObject(*B.m_Platform, "config/customer/c2").version();
  B.expect(operators::ACCEPTED, "ok", "remove customer c2 expect " + std::to_string(Version), "r");
}

// Guards against an outage that is reported as a refusal although the change may have come through,
// and against a repeat that is reported as refused after another operator's change.
Test(operators, doubtStaysUncertain) {
  Bench B;
  uint64_t Version =
      B.expect(operators::ACCEPTED, "ok", "create customer acme rate 5 burst 9", "1").version();
  std::string Set = "set customer acme rate 6 burst 9 expect " + std::to_string(Version);
  B.setFault([](auto &F) { F.set_lose_answers(100); });
  B.expect(operators::UNCERTAIN, "platform_unavailable", "create customer late rate 5 burst 9",
           "late");
  B.setFault([](auto &F) { F.set_lose_answers(0); });
  B.expect(operators::ACCEPTED, "ok", "create customer late rate 5 burst 9", "late", true);
  B.expect(operators::ACCEPTED, "ok",
           "set customer acme rate 9 burst 9 expect " + std::to_string(Version), "other");
  B.expect(operators::UNCERTAIN, "conflict", Set, "mine", true);
  B.expect(operators::REFUSED, "conflict", Set, "mine");
}

// Guards against changes that the hosts would not accept, or that leave references behind.
Test(operators, wrongChangesAreRefused) {
  Bench B;
  B.expect(operators::REFUSED, "missing", "create route r group g", "1");
  B.expect(operators::REFUSED, "invalid",
           "create group g instance i address 127.0.0.1:1 data_centre d slots 5 connections 9 "
           "instance i address 127.0.0.1:2 data_centre d slots 5 connections 9",
           "2");
  B.m_Config.m_Keys["k"] = Key{"k", "acme", "", false};
  B.expect(operators::REFUSED, "in_use", "remove customer acme expect 1", "3");
  B.m_Config.m_Routes["r"] = Route{"r", "g", {}, false, false};
  B.expect(operators::REFUSED, "in_use", "remove group g expect 1", "4");
}

namespace {

// A listener whose statements are answered by hand, and a way to run ctl against it.
struct CtlBench {
  std::vector<operators::RunRequest> m_Seen;
  std::vector<operators::Outcome> m_Outcomes; // one for each statement, then ACCEPTED
  std::shared_ptr<OperatorServer> m_Server;
  std::string m_Directory =
      std::filesystem::temp_directory_path() / ("operator_test." + std::to_string(getpid()));

  CtlBench() {
    std::filesystem::create_directories(m_Directory);
    writeFile("secret", "the operator secret\n");
    writeFile("other", "qp_k1_0123456789abcdef\n");
    ListenSettings Listen;
    Listen.m_IsPlainText = true;
    auto Started = startOperatorServer(
        Listen, "the operator secret", [](const std::function<void()> &Work) { Work(); },
        [this](const operators::RunRequest &Request, const OperatorCallback &Done) {
          auto Outcome =
              m_Seen.size() < m_Outcomes.size() ? m_Outcomes[m_Seen.size()] : operators::ACCEPTED;
          m_Seen.push_back(Request);
          Done(makeReply(Outcome, "tested", "by hand"));
        });
    m_Server = std::get<std::shared_ptr<OperatorServer>>(Started);
  }
  CtlBench(const CtlBench &) = delete;
  CtlBench &operator=(const CtlBench &) = delete;
  ~CtlBench() { std::filesystem::remove_all(m_Directory); }
  void writeFile(const std::string &Name, const std::string &Text) const {
    std::ofstream(m_Directory + "/" + Name) << Text;
  }
  int run(std::vector<std::string> More, const std::string &Secret = "secret") const {
    std::vector<std::string> All = {"ctl", "--plain-text", "--timeout=2",
                                    "--address=127.0.0.1:" +
                                        std::to_string(getOperatorPort(*m_Server)),
                                    "--secret-file=" + m_Directory + "/" + Secret};
    All.insert(All.end(), More.begin(), More.end());
    std::vector<char *> Pointers(All.size() + 1);
    std::ranges::transform(All, Pointers.begin(), [](std::string &Text) { return Text.data(); });
    return runCtl(static_cast<int>(All.size()), Pointers.data());
  }
};

} // namespace

// Guards against exit statuses that a script would misread.
Test(operators, ctlExitStatus) {
  CtlBench B;
  cr_assert(B.run({"show", "customers"}) == 0);
  cr_assert(B.m_Seen.size() == 1 && B.m_Seen[0].text() == "show customers");
  cr_assert(!B.m_Seen[0].operation_id().empty() && !B.m_Seen[0].is_repeat());
  B.m_Outcomes = {operators::ACCEPTED, operators::REFUSED};
  cr_assert(B.run({"show", "keys"}) == 1);
  cr_assert(B.run({"--output=picture", "show", "keys"}) == 64);
  cr_assert(B.run({"--file=x", "show", "keys"}) == 64);
  cr_assert(B.run({"--secret-file=/nonexistent", "show", "keys"}) == 64);
  cr_assert(B.run({"--address=127.0.0.1:1", "show", "keys"}) == 2);
}

// Guards against a repeated statement that the host would take for a new one.
Test(operators, ctlRepeatsWithTheSameOperationId) {
  CtlBench B;
  B.m_Outcomes = {operators::UNCERTAIN, operators::UNCERTAIN};
  cr_assert(B.run({"drain", "host", "h1"}) == 0);
  cr_assert(B.m_Seen.size() == 3);
  cr_assert(B.m_Seen[0].operation_id() == B.m_Seen[2].operation_id());
  cr_assert(!B.m_Seen[0].is_repeat() && B.m_Seen[1].is_repeat() && B.m_Seen[2].is_repeat());
}

// Guards against a caller's key, or any other text, that gives access to the operators' service.
Test(operators, otherSecretsGiveNoAccess) {
  CtlBench B;
  cr_assert(B.run({"show", "keys"}, "other") == 1);
  cr_assert(B.m_Seen.empty());
}

// Guards against a file whose statements run on after one was not accepted.
Test(operators, ctlFileStopsAtTheFirstRefusal) {
  CtlBench B;
  B.m_Outcomes = {operators::ACCEPTED, operators::REFUSED};
  B.writeFile("script", "# first\nshow keys\n\n  show rates # second\nshow hosts\n");
  cr_assert(B.run({"--file=" + B.m_Directory + "/script"}) == 1);
  cr_assert(B.m_Seen.size() == 2 && B.m_Seen[1].text() == "show rates");
}

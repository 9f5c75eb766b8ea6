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

// Runs operator statements against a stand-in for the platform.
struct Fixture {
  std::shared_ptr<StandinPlatform> m_Platform = startPlatform({});
  std::shared_ptr<PlatformClient> m_Client =
      openPlatform({platformAddress(*m_Platform)}, "h1", std::chrono::milliseconds(300),
                   [](const std::function<void()> &Work) { Work(); });
  ConfigState m_Config;

  RunReply run(const std::string &Text, const std::string &OperationId, bool IsRepeat = false) {
    auto ParseResult = parseStatement(Text);
    cr_assert(std::holds_alternative<OperatorStatement>(ParseResult), "%s", Text.c_str());
    auto Answer = std::make_shared<std::promise<RunReply>>();
    runChange({m_Client, &m_Config, "pepper"}, std::get<OperatorStatement>(ParseResult),
              OperationId, IsRepeat, [Answer](const RunReply &Reply) { Answer->set_value(Reply); });
    auto Future = Answer->get_future();
    cr_assert(Future.wait_for(std::chrono::seconds(10)) == std::future_status::ready,
              "%s: no answer", Text.c_str());
    return Future.get();
  }
  RunReply expect(operators::Outcome Outcome, const std::string &Code, const std::string &Text,
                  const std::string &OperationId, bool IsRepeat = false) {
    RunReply Reply = run(Text, OperationId, IsRepeat);
    cr_assert(Reply.outcome() == Outcome && Reply.code() == Code, "%s: outcome %d, %s: %s",
              Text.c_str(), static_cast<int>(Reply.outcome()), Reply.code().c_str(),
              Reply.message().c_str());
    return Reply;
  }
  template <class T> T read(const std::string &Name) {
    platform::Object StoredObject = readObject(*m_Platform, Name);
    ConfigChange DecodedChange =
        decodeChange(Name, StoredObject.version(), false, StoredObject.value());
    cr_assert(std::holds_alternative<T>(DecodedChange.m_Value), "%s: %s", Name.c_str(),
              StoredObject.value().c_str());
    return std::get<T>(DecodedChange.m_Value);
  }
  void setFault(const std::function<void(standin::FaultRequest &)> &Configure) {
    standin::FaultRequest Faults;
    Configure(Faults);
    setFaults(*m_Platform, Faults);
  }
};

constexpr const char *CreateGroup = "create group g instance i1 address 127.0.0.1:1 data_centre d "
                                    "slots 5 connections 65 instance i2 address 127.0.0.1:2 "
                                    "data_centre d slots 5 connections 65";

} // namespace

// Guards against statements that change something else than they say, or return a stale version.
Test(operators, changesTakeEffect) {
  Fixture Env;
  uint64_t FirstVersion =
      Env.expect(operators::ACCEPTED, "ok", "create customer acme rate 5 burst 9", "1").version();
  cr_assert(Env.read<Customer>("config/customer/acme").m_Burst == 9);
  std::string Set = "set customer acme rate 6 burst 9 expect " + std::to_string(FirstVersion);
  uint64_t SecondVersion = Env.expect(operators::ACCEPTED, "ok", Set, "2").version();
  cr_assert(SecondVersion > FirstVersion && Env.read<Customer>("config/customer/acme").m_Rate == 6);
  uint64_t GroupVersion = Env.expect(operators::ACCEPTED, "ok", CreateGroup, "3").version();
  Env.expect(operators::ACCEPTED, "ok", "create route r group g customers acme", "4");
  Env.expect(operators::ACCEPTED, "ok",
             "leave instance i2 group g expect " + std::to_string(GroupVersion), "5");
  Group StoredGroup = Env.read<Group>("config/group/g");
  cr_assert(!StoredGroup.m_Instances[0].m_IsLeaving && StoredGroup.m_Instances[1].m_IsLeaving);
  std::string Remove = "remove customer acme expect " + std::to_string(SecondVersion);
  Env.expect(operators::ACCEPTED, "ok", Remove, "6");
  cr_assert(readObject(*Env.m_Platform, "config/customer/acme").version() == 0 ||
            readObject(*Env.m_Platform, "config/customer/acme").deleted());
}

// Guards against a key that does not match its stored hash, or that stays valid after its
// withdrawal.
Test(operators, keysAreShownOnceAndWithdrawn) {
  Fixture Env;
  Env.expect(operators::REFUSED, "missing", "create key k1 for acme", "1");
  Env.expect(operators::ACCEPTED, "ok", "create customer acme rate 5 burst 9", "2");
  RunReply CreateReply = Env.expect(operators::ACCEPTED, "ok", "create key k1 for acme", "3");
  Key StoredKey = Env.read<Key>("config/key/k1");
  cr_assert(StoredKey.m_Hash == hashKey(CreateReply.rows(0).cells(2), "pepper") &&
            !StoredKey.m_IsWithdrawn);
  std::string StoredValue = readObject(*Env.m_Platform, "config/key/k1").value();
  cr_assert(StoredValue.find(CreateReply.rows(0).cells(2)) == std::string::npos,
            "the key is stored in plain text");
  RunReply RepeatReply =
      Env.expect(operators::ACCEPTED, "key_not_shown", "create key k1 for acme", "3");
  cr_assert(RepeatReply.rows_size() == 0, "a key that does not work is shown");
  std::string Withdraw = "withdraw key k1 expect " + std::to_string(CreateReply.version());
  Env.expect(operators::ACCEPTED, "ok", Withdraw, "4");
  cr_assert(Env.read<Key>("config/key/k1").m_IsWithdrawn);
  Env.expect(operators::ACCEPTED, "ok", Withdraw, "4");
  Env.expect(operators::REFUSED, "conflict", Withdraw, "5");
}

// Guards against two operators who overwrite each other's change.
Test(operators, oneOfTwoConcurrentChangesConflicts) {
  Fixture Env;
  uint64_t Version =
      Env.expect(operators::ACCEPTED, "ok", "create customer acme rate 5 burst 9", "1").version();
  Env.expect(operators::REFUSED, "conflict", "create customer acme rate 6 burst 9", "2");
  std::string Expect = " expect " + std::to_string(Version);
  Env.expect(operators::ACCEPTED, "ok", "set customer acme rate 7 burst 9" + Expect, "3");
  Env.expect(operators::REFUSED, "conflict", "set customer acme rate 8 burst 9" + Expect, "4");
  Env.expect(operators::REFUSED, "conflict", "remove customer acme" + Expect, "5");
  Env.expect(operators::REFUSED, "conflict", "remove customer other expect 3", "6");
  cr_assert(Env.read<Customer>("config/customer/acme").m_Rate == 7);
}

// Guards against a change whose answer was lost being reported as refused, or applied twice.
Test(operators, changesWithLostAnswersAreRecognised) {
  Fixture Env;
  for (int Index = 0; Index < 4; ++Index) {
    Env.setFault([](auto &F) { F.set_lose_answers(1); });
    std::string Id = std::to_string(Index);
    Env.expect(operators::ACCEPTED, "ok", "create customer c" + Id + " rate 5 burst 9", Id);
  }
  Env.setFault([](auto &F) { F.set_lose_answers(1); });
  RunReply CreateReply = Env.expect(operators::ACCEPTED, "ok", "create key k1 for c1", "key");
  cr_assert(CreateReply.rows_size() == 1,
            "the host that made the key retried, so it can still show it");
  Env.setFault([](auto &F) { F.set_lose_answers(1); });
  uint64_t Version = readObject(*Env.m_Platform, "config/customer/c2").version();
  Env.expect(operators::ACCEPTED, "ok", "remove customer c2 expect " + std::to_string(Version),
             "r");
}

// Guards against an outage that is reported as a refusal although the change may have been applied,
// and against a repeated statement that is reported as refused after another operator's change.
Test(operators, unknownOutcomeStaysUncertain) {
  Fixture Env;
  uint64_t Version =
      Env.expect(operators::ACCEPTED, "ok", "create customer acme rate 5 burst 9", "1").version();
  std::string Set = "set customer acme rate 6 burst 9 expect " + std::to_string(Version);
  Env.setFault([](auto &F) { F.set_lose_answers(100); });
  Env.expect(operators::UNCERTAIN, "platform_unavailable", "create customer late rate 5 burst 9",
             "late");
  Env.setFault([](auto &F) { F.set_lose_answers(0); });
  Env.expect(operators::ACCEPTED, "ok", "create customer late rate 5 burst 9", "late", true);
  Env.expect(operators::ACCEPTED, "ok",
             "set customer acme rate 9 burst 9 expect " + std::to_string(Version), "other");
  Env.expect(operators::UNCERTAIN, "conflict", Set, "mine", true);
  Env.expect(operators::REFUSED, "conflict", Set, "mine");
}

// Guards against changes that the hosts would reject, or that leave dangling references.
Test(operators, invalidChangesAreRefused) {
  Fixture Env;
  Env.expect(operators::REFUSED, "missing", "create route r group g", "1");
  Env.expect(operators::REFUSED, "invalid",
             "create group g instance i address 127.0.0.1:1 data_centre d slots 5 connections 9 "
             "instance i address 127.0.0.1:2 data_centre d slots 5 connections 9",
             "2");
  Env.m_Config.m_Keys["k"] = Key{"k", "acme", "", false};
  Env.expect(operators::REFUSED, "in_use", "remove customer acme expect 1", "3");
  Env.m_Config.m_Routes["r"] = Route{"r", "g", {}, false, false};
  Env.expect(operators::REFUSED, "in_use", "remove group g expect 1", "4");
}

namespace {

// An operator listener that answers with the given outcomes, and a function that runs ctl against
// it.
struct CtlFixture {
  std::vector<operators::RunRequest> m_Requests;
  std::vector<operators::Outcome> m_Outcomes; // one for each statement, then ACCEPTED
  std::shared_ptr<OperatorServer> m_Server;
  std::string m_Directory =
      std::filesystem::temp_directory_path() / ("operator_test." + std::to_string(getpid()));

  CtlFixture() {
    std::filesystem::create_directories(m_Directory);
    writeFile("secret", "the operator secret\n");
    writeFile("other", "qp_k1_0123456789abcdef\n");
    ListenSettings Listen;
    Listen.m_IsPlainText = true;
    auto StartResult = startOperatorServer(
        Listen, "the operator secret", [](const std::function<void()> &Work) { Work(); },
        [this](const operators::RunRequest &Request, const OperatorCallback &Reply) {
          auto Outcome = m_Requests.size() < m_Outcomes.size() ? m_Outcomes[m_Requests.size()]
                                                               : operators::ACCEPTED;
          m_Requests.push_back(Request);
          Reply(makeReply(Outcome, "tested", "by hand"));
        });
    m_Server = std::get<std::shared_ptr<OperatorServer>>(StartResult);
  }
  CtlFixture(const CtlFixture &) = delete;
  CtlFixture &operator=(const CtlFixture &) = delete;
  ~CtlFixture() { std::filesystem::remove_all(m_Directory); }
  void writeFile(const std::string &Name, const std::string &Text) const {
    std::ofstream(m_Directory + "/" + Name) << Text;
  }
  int run(std::vector<std::string> ExtraArguments, const std::string &Secret = "secret") const {
    std::vector<std::string> Arguments = {"ctl", "--plain-text", "--timeout=2",
                                          "--address=127.0.0.1:" +
                                              std::to_string(getOperatorPort(*m_Server)),
                                          "--secret-file=" + m_Directory + "/" + Secret};
    Arguments.insert(Arguments.end(), ExtraArguments.begin(), ExtraArguments.end());
    std::vector<char *> Pointers(Arguments.size() + 1);
    std::ranges::transform(Arguments, Pointers.begin(),
                           [](std::string &Text) { return Text.data(); });
    return runCtl(static_cast<int>(Arguments.size()), Pointers.data());
  }
};

} // namespace

// Guards against exit statuses that a script would misread.
Test(operators, ctlExitStatus) {
  CtlFixture Env;
  cr_assert(Env.run({"show", "customers"}) == 0);
  cr_assert(Env.m_Requests.size() == 1 && Env.m_Requests[0].text() == "show customers");
  cr_assert(!Env.m_Requests[0].operation_id().empty() && !Env.m_Requests[0].is_repeat());
  Env.m_Outcomes = {operators::ACCEPTED, operators::REFUSED};
  cr_assert(Env.run({"show", "keys"}) == 1);
  cr_assert(Env.run({"--output=picture", "show", "keys"}) == 64);
  cr_assert(Env.run({"--file=x", "show", "keys"}) == 64);
  cr_assert(Env.run({"--secret-file=/nonexistent", "show", "keys"}) == 64);
  cr_assert(Env.run({"--address=127.0.0.1:1", "show", "keys"}) == 2);
}

// Guards against a repeated statement that the host would take for a new one.
Test(operators, ctlRepeatsWithTheSameOperationId) {
  CtlFixture Env;
  Env.m_Outcomes = {operators::UNCERTAIN, operators::UNCERTAIN};
  cr_assert(Env.run({"drain", "host", "h1"}) == 0);
  cr_assert(Env.m_Requests.size() == 3);
  cr_assert(Env.m_Requests[0].operation_id() == Env.m_Requests[2].operation_id());
  cr_assert(!Env.m_Requests[0].is_repeat() && Env.m_Requests[1].is_repeat() &&
            Env.m_Requests[2].is_repeat());
}

// Guards against a caller's key, or any other text, that gives access to the operators' service.
Test(operators, otherSecretsGiveNoAccess) {
  CtlFixture Env;
  cr_assert(Env.run({"show", "keys"}, "other") == 1);
  cr_assert(Env.m_Requests.empty());
}

// Guards against a file whose statements are run after one that was not accepted.
Test(operators, ctlFileStopsAtTheFirstRefusal) {
  CtlFixture Env;
  Env.m_Outcomes = {operators::ACCEPTED, operators::REFUSED};
  Env.writeFile("script", "# first\nshow keys\n\n  show rates # second\nshow hosts\n");
  cr_assert(Env.run({"--file=" + Env.m_Directory + "/script"}) == 1);
  cr_assert(Env.m_Requests.size() == 2 && Env.m_Requests[1].text() == "show rates");
}

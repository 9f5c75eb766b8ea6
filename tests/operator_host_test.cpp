#include "host.h"
#include "operator.h"
#include "system.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <future>
#include <set>

using namespace quetzalpaddle;

namespace {

using operators::RunReply;

// Runs a statement on a host as its operator listener does.
RunReply run(TestSystem &System, size_t HostIndex, const std::string &Text) {
  auto Answer = std::make_shared<std::promise<RunReply>>();
  runOnControlThread(*System.m_Hosts[HostIndex].m_Running, [&](Host &H) {
    operators::RunRequest Request;
    Request.set_text(Text);
    runOperatorStatement(H, Request, [Answer](const RunReply &Reply) { Answer->set_value(Reply); });
  });
  auto Future = Answer->get_future();
  cr_assert(Future.wait_for(std::chrono::seconds(10)) == std::future_status::ready, "no answer");
  RunReply Reply = Future.get();
  if (Reply.outcome() != operators::ACCEPTED)
    cr_log_info("%s: %s: %s", Text.c_str(), Reply.code().c_str(), Reply.message().c_str());
  return Reply;
}

// Returns the cell of a column in the first row whose first cell is Id; empty if there is none.
std::string findCell(const RunReply &Reply, const std::string &Id, const std::string &Column) {
  auto ColumnIndex = std::ranges::find(Reply.columns(), Column) - Reply.columns().begin();
  for (const auto &Row : Reply.rows())
    if (Row.cells(0) == Id && ColumnIndex < Row.cells_size())
      return Row.cells(static_cast<int>(ColumnIndex));
  return "";
}

std::unique_ptr<TestSystem> makeSystem() {
  SystemOptions Options;
  Options.m_DataCentres = 2;
  Options.m_HostsPerDataCentre = 1;
  auto System = startSystem(Options);
  cr_assert(System != nullptr);
  return System;
}

} // namespace

// Guards against a query that fails on a running host, or rows that do not fit their columns.
Test(operatorHost, everyTopicIsShown) {
  auto System = makeSystem();
  for (const char *Topic : {"customers", "keys", "rates", "routes", "groups", "instances", "hosts",
                            "config", "queues", "refusals", "promotions", "limits"}) {
    RunReply Reply = run(*System, 0, std::string("show ") + Topic);
    cr_assert(Reply.outcome() == operators::ACCEPTED && Reply.columns_size() > 1, "%s", Topic);
    for (const auto &Row : Reply.rows())
      cr_assert(Row.cells_size() == Reply.columns_size(), "%s", Topic);
  }
  cr_assert(findCell(run(*System, 0, "show customers"), "acme", "rate") == "100000");
  cr_assert(findCell(run(*System, 0, "show groups"), "g1", "primary") ==
            findPrimary(*System, "g1"));
  cr_assert(run(*System, 0, "show hosts").rows_size() == 2);
  RunReply Limits = run(*System, 0, "show limits");
  for (const auto &Row : Limits.rows())
    cr_assert(Row.cells(0).find("secret") == std::string::npos && Row.cells(0) != "key_pepper",
              "a secret is shown");
}

// Guards against a change that does not reach other hosts, or is confirmed before it has.
Test(operatorHost, changesReachOtherHosts) {
  auto System = makeSystem();
  RunReply CreateReply = run(*System, 0, "create customer late rate 50 burst 20");
  cr_assert(CreateReply.outcome() == operators::ACCEPTED);
  std::string Version = std::to_string(CreateReply.version());
  cr_assert(waitUntil(
      [&] { return findCell(run(*System, 1, "show customers"), "late", "version") == Version; },
      std::chrono::seconds(5)));
  auto IsConfirmed = [&] {
    RunReply ConfigReply = run(*System, 0, "show config");
    return std::ranges::count_if(ConfigReply.rows(), [&](const auto &Row) {
             return Row.cells(0) == "data_centre" && Row.cells(3) == "confirmed" &&
                    std::stoull(Row.cells(2)) >= CreateReply.version();
           }) == 2;
  };
  cr_assert(waitUntil(IsConfirmed, std::chrono::seconds(5)));
  RunReply SyntaxReply = run(*System, 0, "create customer late rate x burst 20");
  cr_assert(SyntaxReply.outcome() == operators::REFUSED && SyntaxReply.error_position() == 26);
}

// Guards against a requested promotion that does not happen, and a drain of the wrong host.
Test(operatorHost, promotionAndDrain) {
  auto System = makeSystem();
  std::string OldPrimary = findPrimary(*System, "g1");
  RunReply Instances;
  // A requested instance whose log is shorter than another is passed over for that one, so the logs
  // have to be equal first.
  auto AreLogsEqual = [&] {
    Instances = run(*System, 0, "show instances");
    std::set<std::string> AppliedPositions;
    for (const auto &Row : Instances.rows())
      AppliedPositions.insert(Row.cells(9));
    return AppliedPositions.size() == 1 && !AppliedPositions.contains("0:0");
  };
  cr_assert(waitUntil(AreLogsEqual, std::chrono::seconds(10)));
  auto OtherInstance = std::ranges::find_if(
      Instances.rows(), [&](const auto &Row) { return Row.cells(0) != OldPrimary; });
  const std::string Target = OtherInstance->cells(0);
  cr_assert(run(*System, 0, "promote group g1 to nobody").code() == "missing");
  cr_assert(run(*System, 0, "promote group g1 to " + Target).outcome() == operators::ACCEPTED);
  cr_assert(
      waitUntil([&] { return findPrimary(*System, "g1") == Target; }, std::chrono::seconds(10)));
  std::string OtherHost = System->m_Hosts[1].m_Settings.m_HostId;
  RunReply DrainReply = run(*System, 0, "drain host " + OtherHost);
  std::string Port = std::to_string(System->m_Hosts[1].m_Settings.m_Peers.m_Port);
  cr_assert(DrainReply.code() == "other_host" &&
            DrainReply.message().find(Port) != std::string::npos);
  cr_assert(run(*System, 1, "drain host " + OtherHost).outcome() == operators::ACCEPTED);
  bool IsDraining = false;
  runOnControlThread(*System->m_Hosts[1].m_Running,
                     [&](const Host &H) { IsDraining = H.m_IsDraining; });
  cr_assert(IsDraining);
}

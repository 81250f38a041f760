// Budgets while the process is replaced: whichever process has a request, its limit counts it once
// (docs/incidents/2026-12-budget-at-replacement.md).
#include "holding_replica.hpp"
#include "router_processes.hpp"

using namespace thornwick;
using thornwick::testing::ClientSocket;
using thornwick::testing::HoldingReplica;
using thornwick::testing::request_text;
using thornwick::testing::ServingRouter;
using thornwick::testing::SharedFiles;
using thornwick::testing::write_bytes;

namespace {

// A request reserves 90 tokens and is charged 42, so the budget covers six requests one after another.
constexpr int kBudgetTokens = 300;
constexpr int kCoveredRequests = 6;

enum class Storage { none, store };

// Two processes of one router with a budget, and their replica, which answers at once.
struct BudgetedRouters {
  explicit BudgetedRouters(Storage storage = Storage::none) : files(replica.port) {
    replica.finish_all();
    operator_file = files.scratch.path("operator.toml");
    std::string text =
        "[[budget]]\nname = 'day'\nper = 'day'\nmember = 'each'\ntokens = " + std::to_string(kBudgetTokens) +
        "\n";
    // With a block as large as the limit no request waits for the journal.
    if (storage == Storage::store)
      text += "[budgets]\nblock = 1.0\n[store]\nfile = '" + files.scratch.path("store") + "'\n";
    write_bytes(operator_file, text);
  }
  std::unique_ptr<ServingRouter> start() const {
    return std::make_unique<ServingRouter>(files.config, files.tmp, operator_file);
  }
  HoldingReplica replica;
  SharedFiles files;
  std::string operator_file;
};

bool is_served(ClientSocket& client) {
  static int requests = 0;
  client.send(request_text("request-" + std::to_string(++requests)));
  const std::string status = client.read_until("\r\n");
  if (status.starts_with("HTTP/1.1 429")) return false;
  REQUIRE(status.starts_with("HTTP/1.1 200"));
  REQUIRE(client.read_until("0\r\n\r\n").find("[DONE]") != std::string::npos);
  return true;
}

// Sends requests, each on a new connection, until one is refused for its budget. Returns how many were
// served.
int served_until_refused(const ServingRouter& router) {
  for (int served = 0;; ++served) {
    REQUIRE(served <= 2 * kCoveredRequests);
    ClientSocket client(router.front);
    if (!is_served(client)) return served;
  }
}

void serve(const ServingRouter& router, int requests) {
  for (int i = 0; i < requests; ++i) {
    ClientSocket client(router.front);
    CHECK(is_served(client));
  }
}

bool has_handed_over(ServingRouter& old_process) {
  return old_process.program.wait_for_line("handed-over: a successor serves") != "";
}

}  // namespace

// Guards against a budget that is granted again by each new process (review/9).
TEST_CASE("handover: a budget that was used at the old process stays used at the new one and later ones") {
  const Storage storage = GENERATE(Storage::none, Storage::store);
  const BudgetedRouters routers(storage);
  const auto first = routers.start();
  serve(*first, 2);
  const auto second = routers.start();
  REQUIRE(has_handed_over(*first));
  serve(*second, 2);
  CHECK(first->program.wait_for_exit() == 0);
  if (storage == Storage::store) CHECK(second->program.wait_for_line("after another process") != "");
  const auto third = routers.start();
  REQUIRE(has_handed_over(*second));
  CHECK(served_until_refused(*third) == kCoveredRequests - 4);
  CHECK(second->program.wait_for_exit() == 0);
  if (storage == Storage::none) return;
  CHECK(third->program.wait_for_line("after another process") != "");
  third->program.signal(SIGTERM);
  CHECK(third->program.wait_for_exit() == 0);
  const auto fourth = routers.start();
  CHECK(served_until_refused(*fourth) == 0);
}

TEST_CASE("handover: what the old process serves after its offer counts at the new one") {
  const BudgetedRouters routers;
  const auto first = routers.start();
  ClientSocket kept(first->front);
  CHECK(is_served(kept));
  const auto second = routers.start();
  REQUIRE(has_handed_over(*first));
  CHECK(is_served(kept));
  CHECK(served_until_refused(*second) == kCoveredRequests - 2);
}

TEST_CASE("handover: what is in flight at an old process that is killed stays reserved at the new one") {
  HoldingReplica holding;
  const BudgetedRouters routers;
  const SharedFiles files(holding.port);
  const auto start = [&] {
    return std::make_unique<ServingRouter>(files.config, files.tmp, routers.operator_file);
  };
  const auto first = start();
  ClientSocket open(first->front);
  open.send(request_text("open"));
  REQUIRE(holding.wait_until_begun("open"));
  const auto second = start();
  REQUIRE(has_handed_over(*first));
  first->program.signal(SIGKILL);
  REQUIRE(second->program.wait_for_line("the predecessor has exited") != "");
  holding.finish_all();
  // 210 of 300 tokens are left, which cover three requests one after another.
  CHECK(served_until_refused(*second) == 3);
}

TEST_CASE("handover: what a new process has served counts at the old one if the new one is killed") {
  const BudgetedRouters routers(GENERATE(Storage::none, Storage::store));
  const auto first = routers.start();
  serve(*first, 2);
  const auto second = routers.start();
  REQUIRE(has_handed_over(*first));
  serve(*second, 2);
  second->program.signal(SIGKILL);
  REQUIRE(first->program.wait_for_line("the successor disconnected after") != "");
  CHECK(served_until_refused(*first) == kCoveredRequests - 4);
}

// Guards against a charge larger than a block that a kill forgets, because it was granted ahead of the
// journal.
TEST_CASE("a budget in a store holds over kills, also if single requests are larger than a block") {
  constexpr int kKills = 3;
  constexpr int kChargedTokens = 42;          // of each request
  constexpr int kBlock = kBudgetTokens / 50;  // the default
  const BudgetedRouters routers(Storage::none);
  write_bytes(
      routers.operator_file,
      "[[budget]]\nname = 'day'\nper = 'day'\nmember = 'each'\ntokens = " + std::to_string(kBudgetTokens) +
          "\n[store]\nsync_s = 0.05\nfile = '" + routers.files.scratch.path("store") + "'\n");
  int served = 0;
  for (int start = 0; start <= kKills; ++start) {
    const auto router = routers.start();
    for (int tries = 0; tries < 20; ++tries) {
      ClientSocket client(router->front);
      if (is_served(client)) {
        ++served;
        break;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    router->program.signal(SIGKILL);
  }
  CHECK(served > 0);
  CHECK(served * kChargedTokens <= kBudgetTokens + kKills * kBlock);
}

// The old process is killed without a word of its accounts: the new one reads the store before it grants
// anything.
TEST_CASE("handover: a process that finds its store held grants nothing until it has read it") {
  const BudgetedRouters routers(Storage::store);
  const auto first = routers.start();
  CHECK(served_until_refused(*first) == kCoveredRequests);
  const SharedFiles elsewhere(routers.replica.port);  // no hand-over: another folder
  ServingRouter second(elsewhere.config, elsewhere.tmp, routers.operator_file);
  CHECK(testing::call_admin_endpoint(second.admin_endpoint, "HEALTH") == "+OK serving\n");
  {
    ClientSocket client(second.front);
    CHECK_FALSE(is_served(client));
  }
  first->program.signal(SIGTERM);
  CHECK(first->program.wait_for_exit() == 0);
  CHECK(second.program.wait_for_line("after another process") != "");
  CHECK(served_until_refused(second) == 0);
}

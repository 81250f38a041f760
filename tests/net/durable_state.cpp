// A store whose records cannot be read after it was opened: the router goes on without it.
#include "node/durable_state.hpp"

#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <iterator>
#include <memory>

#include "../store/scratch.hpp"
#include "persistence/tables.hpp"

using namespace thornwick;
using testing::Scratch;

namespace {

constexpr const char* kAccount = "account-of-a-test";

std::string read_bytes(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Damages the checksum of the account's record, which stands behind its key, in every copy.
void damage_account(const std::string& path) {
  const std::string key = kAccount;
  const std::string bytes = read_bytes(path);
  std::fstream file(path, std::ios::binary | std::ios::in | std::ios::out);
  int copies = 0;
  for (std::size_t at = bytes.find(key); at != std::string::npos; at = bytes.find(key, at + 1)) {
    const std::size_t checksum = at + key.size();
    file.seekp(static_cast<std::streamoff>(checksum));
    file.put(static_cast<char>(~bytes[checksum]));
    ++copies;
  }
  REQUIRE(copies > 0);
}

// A router with a budget, and a store that has a record of an account. The disk damages the record just after
// the file was opened and verified.
struct RouterWithDamagedRecord {
  RouterWithDamagedRecord() {
    config.name = "n1";
    config.operator_file.store.file = scratch.path("store");
    config.operator_file.budgets.budgets = {{.name = "day", .period = "day", .tokens = 100}};
    persistence::StateStore store({.path = scratch.path("store"), .holder = "n1"}, {}, {});
    persistence::QuotaStateStore accounts(store.file(), store.writer());
    REQUIRE(accounts.append(kAccount, {.amount = 100, .remaining = 1, .updated_at = 1}) > 0);
    REQUIRE(store.writer().drain(std::chrono::seconds(20)));
  }
  std::unique_ptr<node::DurableState> start(node::StartedBeside beside) {
    const auto open_and_damage = [this](const store::FileOptions& file, const store::WriterOptions& writer,
                                        const persistence::StateStore::ReplicaUidLookup& uid_of) {
      auto store = node::open_state_store(file, writer, uid_of);
      damage_account(file.path);
      ++opened;
      return store;
    };
    return std::make_unique<node::DurableState>(
        config, [](ReplicaId) { return std::string(); }, [](std::string_view) { return ReplicaId{0}; },
        beside, open_and_damage);
  }
  Scratch scratch;
  config::Config config;
  int opened = 0;
};

}  // namespace

// Guards against an error that left the callback of a timer and ended the process.
TEST_CASE("a store that opens late and cannot be read does not end the process") {
  RouterWithDamagedRecord router;
  auto holder = std::make_unique<store::File>(
      store::FileOptions{.path = router.scratch.path("store"), .holder = "n0"}, persistence::state_tables());
  const auto state = router.start(node::StartedBeside::predecessor);
  CHECK(router.opened == 0);
  holder.reset();
  while (router.opened == 0) g_main_context_iteration(nullptr, TRUE);
  CHECK(state->store_is_open() == false);
  REQUIRE(state->quota_service() != nullptr);
  CHECK(state->save(seconds(1)));
}

TEST_CASE("a store that cannot be read at the start does not keep the router from serving") {
  RouterWithDamagedRecord router;
  const auto state = router.start(node::StartedBeside::nobody);
  CHECK(router.opened == 1);
  CHECK(state->store_is_open() == false);
  REQUIRE(state->quota_service() != nullptr);
  CHECK(state->save(seconds(1)));
}

// The store's file, as an earlier version wrote it.
//
// An LMDB file also holds page numbers and whatever lay in unused parts of its pages, so two files with the
// same records need not have the same bytes. The committed file is what the reading tests read. What is
// written now is compared with it record by record: every key and value of every table in order as LMDB has
// them, checksums and the table of versions included.
#include <catch2/catch.hpp>

#include "committed.hpp"
#include "persistence/affinity_records.hpp"
#include "persistence/quota_records.hpp"
#include "persistence/quota_state_store.hpp"
#include "persistence/state_store.hpp"
#include "raw_records.hpp"

using namespace thornwick;
using namespace thornwick::persistence;
using thornwick::testing::data_path;
using thornwick::testing::raw_records;
using thornwick::testing::read_bytes;
using thornwick::testing::Scratch;
using thornwick::testing::to_hex;
using thornwick::testing::write_bytes;

namespace {

constexpr const char* kFile = "router.store";
constexpr Time kNow = seconds(1'764'000'000);
constexpr std::uint64_t kSessionKey = 0x0123456789abcdef, kPrefixKey = 0xfedcba9876543210;
constexpr affinity::Slot kFirstSlot = 0, kSecondSlot = 300;
const std::string kAccount = "tenant|model|*|day";

affinity::Replica first_replica() {
  affinity::Replica replica;
  replica.id = 4;
  replica.in_use = true;
  replica.started_at = kNow - 5;
  replica.epoch = 3;
  replica.sent_tokens = 1234.5;
  replica.last_sent_at = kNow;
  replica.sent_tokens_per_s = 10;
  return replica;
}
affinity::Replica second_replica() {
  affinity::Replica replica;
  replica.id = 70'000;
  replica.in_use = true;
  return replica;
}
constexpr affinity::Copy kCopies[] = {
    {.tokens = 900, .odometer = 12, .last_used_s = 1'764'000'000, .replica = kFirstSlot, .epoch = 3},
    {.tokens = 70'000, .odometer = 0xffffffff, .last_used_s = 1, .replica = kSecondSlot, .epoch = 0}};

template <typename Entry>
Entry with_copies() {
  Entry entry;
  for (const auto& copy : kCopies) entry.copies.items[entry.copies.count++] = copy;
  return entry;
}
affinity::Session session() {
  auto entry = with_copies<affinity::Session>();
  entry.prefix = kPrefixKey;
  entry.cached_size = 850;
  return entry;
}
const budgets::LimitState kOverdrawn = {
    .amount = 1'000'000'000'000, .remaining = -250, .updated_at = kNow - 1};

// All of the content, through the classes that keep it.
void write_all(const std::string& path) {
  StateStore state_store({.path = path, .holder = "r0", .megabytes = 1}, {},
                         [](ReplicaId id) { return "replica-" + std::to_string(id); });
  QuotaStateStore quota_state_store(state_store.file(), state_store.writer());
  REQUIRE(state_store.save_replica(kFirstSlot, first_replica()));
  REQUIRE(state_store.save_replica(kSecondSlot, second_replica()));
  REQUIRE(state_store.save_session(kSessionKey, session()));
  REQUIRE(state_store.save_session(1, {}));
  REQUIRE(state_store.save_prefix(kPrefixKey, with_copies<affinity::Prefix>()));
  REQUIRE(quota_state_store.append(kAccount, kOverdrawn) != 0);
  REQUIRE(state_store.writer().drain(std::chrono::seconds(20)));
}

// The committed file, opened as at a start.
struct Opened {
  Opened() : path(scratch.path("store")) {
    write_bytes(path, read_bytes(data_path(kFile)));
    file = std::make_unique<store::File>(store::FileOptions{.path = path, .megabytes = 1}, state_tables());
    REQUIRE(file->set_aside().empty());
    REQUIRE(file->migrated() == 0);
  }
  std::map<std::string, std::string> records(StateTable table) const {
    std::map<std::string, std::string> found;
    file->each(table, [&](std::string_view key, std::string_view value) { found.emplace(key, value); });
    return found;
  }
  Scratch scratch;
  std::string path;
  std::unique_ptr<store::File> file;
};

template <std::size_t N>
void check_copies(const affinity::Copies<N>& read) {
  REQUIRE(read.count == std::size(kCopies));
  for (std::size_t i = 0; i < read.count; ++i) {
    CHECK(read.items[i].tokens == kCopies[i].tokens);
    CHECK(read.items[i].odometer == kCopies[i].odometer);
    CHECK(read.items[i].last_used_s == kCopies[i].last_used_s);
    CHECK(read.items[i].replica == kCopies[i].replica);
    CHECK(read.items[i].epoch == kCopies[i].epoch);
  }
}

void check_replica(const std::optional<StoredReplica>& read, affinity::Slot slot, const std::string& uid,
                   const affinity::Replica& expected) {
  REQUIRE(read);
  CHECK(read->slot == slot);
  CHECK(read->uid == uid);
  CHECK(read->replica.id == expected.id);
  CHECK(read->replica.in_use == expected.in_use);
  CHECK(read->replica.started_at == expected.started_at);
  CHECK(read->replica.epoch == expected.epoch);
  CHECK(read->replica.sent_tokens == expected.sent_tokens);
  CHECK(read->replica.last_sent_at == expected.last_sent_at);
  CHECK(read->replica.sent_tokens_per_s == expected.sent_tokens_per_s);
}

}  // namespace

TEST_CASE("store: each field of the replicas in a committed file is decoded") {
  const Opened opened;
  const auto records = opened.records(kReplicaTable);
  REQUIRE(records.size() == 2);
  check_replica(decode_replica(encode_key(kFirstSlot), records.at(encode_key(kFirstSlot))), kFirstSlot,
                "replica-4", first_replica());
  check_replica(decode_replica(encode_key(kSecondSlot), records.at(encode_key(kSecondSlot))), kSecondSlot,
                "replica-70000", second_replica());
}

TEST_CASE("store: each field of the sessions and prefixes in a committed file is decoded") {
  const Opened opened;
  const auto sessions = opened.records(kSessionTable);
  REQUIRE(sessions.size() == 2);
  const auto read = decode_session(sessions.at(encode_key(kSessionKey)));
  REQUIRE(read);
  CHECK(read->prefix == kPrefixKey);
  CHECK(read->cached_size == 850);
  check_copies(read->copies);
  const auto empty = decode_session(sessions.at(encode_key(1)));
  REQUIRE(empty);
  CHECK((empty->prefix == 0 && empty->cached_size == 0 && empty->copies.count == 0));
  const auto prefixes = opened.records(kPrefixTable);
  REQUIRE(prefixes.size() == 1);
  const auto prefix = decode_prefix(prefixes.at(encode_key(kPrefixKey)));
  REQUIRE(prefix);
  check_copies(prefix->copies);
}

TEST_CASE("store: each field of the quota accounts in a committed file is decoded") {
  const Opened opened;
  const auto records = opened.records(kQuotaTable);
  REQUIRE(records.size() == 1);
  CHECK(decode_limit(records.at(kAccount)) == kOverdrawn);
}

TEST_CASE("store: a committed file restores the affinity table without an unreadable record") {
  Opened opened;
  opened.file.reset();
  StateStore state_store({.path = opened.path, .holder = "r0", .megabytes = 1}, {},
                         [](ReplicaId) { return std::string(); });
  affinity::AffinityTable affinity_table({.table = {.entries = 1'000}});
  const RestoredCounts loaded = state_store.load(affinity_table, kNow);
  CHECK(loaded.replicas == 2);
  CHECK(loaded.sessions == 2);
  CHECK(loaded.prefixes == 1);
  CHECK(loaded.unreadable + loaded.over_capacity == 0);
}

TEST_CASE("store: the same content encodes to the records of the committed file") {
  const Scratch scratch;
  write_all(scratch.path("store"));
  CHECK(raw_records(scratch.path("store")) == raw_records(data_path(kFile)));
}

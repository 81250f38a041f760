// The learned state of a hand-over, as an earlier version wrote it.
#include <catch2/catch.hpp>

#include "committed.hpp"
#include "persistence/handover_state.hpp"

using namespace thornwick;
using thornwick::testing::check_written;
using thornwick::testing::committed;

namespace {

constexpr const char* kFile = "learned.hex";
constexpr Time kNow = seconds(1'764'000'000);

LearnedState learned_state() {
  LearnedState learned_state;
  learned_state.samples = {{100, 1.5}, {2000.25, 12}};
  learned_state.prefixes = {{7, 3.5}, {0xfedcba9876543210, 0.125}};
  learned_state.replicas = {
      {.id = 4, .started_at = kNow - 5, .failure_points = 3, .ejected_until = kNow + 9, .speed_factor = 0.5},
      {.id = 70'000, .started_at = 0, .failure_points = 0, .ejected_until = 0, .speed_factor = 1}};
  learned_state.kind_speeds = {{2, 0.75}, {300, 1}};
  learned_state.tenant_usage = {0.25, 17};
  learned_state.zone_overflow = 0.0625;
  learned_state.load_shedding = 0.875;
  return learned_state;
}

affinity::Replica replica() {
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

template <typename Entry>
Entry with_copy(const affinity::Copy& copy) {
  Entry entry;
  entry.copies.items[0] = copy;
  entry.copies.count = 1;
  return entry;
}

constexpr affinity::Copy kSessionCopy = {
    .tokens = 900, .odometer = 12, .last_used_s = 1'764'000'000, .replica = 0, .epoch = 3};
constexpr affinity::Copy kPrefixCopy = {
    .tokens = 70'000, .odometer = 13, .last_used_s = 1'763'999'999, .replica = 0, .epoch = 3};

affinity::Options few_entries() { return {.table = {.entries = 1'000}}; }

void fill(affinity::AffinityTable& affinity_table) {
  REQUIRE(affinity_table.restore_replica(0, replica()));
  auto session = with_copy<affinity::Session>(kSessionCopy);
  session.prefix = 7;
  session.cached_size = 850;
  REQUIRE(affinity_table.restore_session(0x0123456789abcdef, session));
  REQUIRE(affinity_table.restore_prefix(7, with_copy<affinity::Prefix>(kPrefixCopy)));
  affinity_table.finish_restore(kNow);
}

void check_same(const affinity::Copy& read, const affinity::Copy& expected) {
  CHECK(read.tokens == expected.tokens);
  CHECK(read.odometer == expected.odometer);
  CHECK(read.last_used_s == expected.last_used_s);
  CHECK(read.replica == expected.replica);
  CHECK(read.epoch == expected.epoch);
}

}  // namespace

TEST_CASE("learned: committed bytes decode to the learned state of the routing policy") {
  const auto decoded = persistence::decode_handover_state(committed(kFile, "with-beliefs"), kNow, nullptr);
  REQUIRE(decoded);
  const LearnedState& read = *decoded;
  const LearnedState expected = learned_state();
  CHECK(read.samples == expected.samples);
  CHECK(read.prefixes == expected.prefixes);
  REQUIRE(read.replicas.size() == expected.replicas.size());
  for (std::size_t i = 0; i < read.replicas.size(); ++i) {
    CHECK(read.replicas[i].id == expected.replicas[i].id);
    CHECK(read.replicas[i].started_at == expected.replicas[i].started_at);
    CHECK(read.replicas[i].failure_points == expected.replicas[i].failure_points);
    CHECK(read.replicas[i].ejected_until == expected.replicas[i].ejected_until);
    CHECK(read.replicas[i].speed_factor == expected.replicas[i].speed_factor);
  }
  CHECK(read.kind_speeds == expected.kind_speeds);
  CHECK(read.tenant_usage == expected.tenant_usage);
  CHECK(read.zone_overflow == expected.zone_overflow);
  CHECK(read.load_shedding == expected.load_shedding);
}

TEST_CASE("learned: committed bytes decode to the estimates of cached prompts") {
  affinity::AffinityTable affinity_table(few_entries());
  REQUIRE(persistence::decode_handover_state(committed(kFile, "with-beliefs"), kNow, &affinity_table));
  REQUIRE(affinity_table.replicas().size() == 1);
  const affinity::Replica& restored = affinity_table.replicas().at(0);
  CHECK(restored.id == 4);
  CHECK(restored.started_at == kNow - 5);
  CHECK(restored.epoch == 3);
  CHECK(restored.sent_tokens == 1234.5);
  CHECK(restored.last_sent_at == kNow);
  CHECK(restored.sent_tokens_per_s == 10);
  REQUIRE(affinity_table.table().sessions().size() == 1);
  affinity_table.table().sessions().for_each([](std::uint64_t key, const affinity::Session& session) {
    CHECK(key == 0x0123456789abcdef);
    CHECK(session.prefix == 7);
    CHECK(session.cached_size == 850);
    REQUIRE(session.copies.count == 1);
    check_same(session.copies.items[0], kSessionCopy);
  });
  REQUIRE(affinity_table.table().prefixes().size() == 1);
  affinity_table.table().prefixes().for_each([](std::uint64_t key, const affinity::Prefix& prefix) {
    CHECK(key == 7);
    REQUIRE(prefix.copies.count == 1);
    check_same(prefix.copies.items[0], kPrefixCopy);
  });
}

TEST_CASE("learned: the same state encodes to the committed bytes") {
  affinity::AffinityTable affinity_table(few_entries());
  fill(affinity_table);
  check_written(kFile, "with-beliefs", persistence::encode_handover_state(learned_state(), &affinity_table));
  check_written(kFile, "without-beliefs", persistence::encode_handover_state(learned_state(), nullptr));
}

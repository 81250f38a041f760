// The codec: the examples in the description of the wire protocol, the settings text, and malformed frames.
#include "simulator_adapter/wire.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "frames.hpp"

namespace thornwick::testing {
namespace {

// Returns a batch with the given records, without its length field.
Bytes batch_of(std::string_view records_hex, std::uint32_t count) {
  FrameBuilder b;
  b.body = from_hex(records_hex);
  b.records = count;
  return b.payload(8'674'394);
}

TEST(Codec, DecodesTheRequestInTheDescription) {
  const auto batch = simulator_adapter::decode_batch(batch_of(
      "0201 0300 c4913a5df7e60500 00009644 e02e0000 640ad2557c3bf091 0000e144 01 107cf3d901648e2b 0000 00 "
      "da05840000000000 00008043",
      1));
  EXPECT_EQ(batch.now, 8'674'394);
  ASSERT_EQ(batch.events.size(), 1u);
  EXPECT_EQ(batch.events[0].instance, 3);
  const auto& r = std::get<Request>(batch.events[0].body);
  EXPECT_EQ(r.id, 0x0005e6f75d3a91c4u);
  EXPECT_EQ(r.prefix_tokens, 1200);
  EXPECT_EQ(r.work_hint, 12000);
  EXPECT_EQ(r.session, 0x91f03b7c55d20a64u);
  EXPECT_EQ(r.prompt_tokens, 1800);
  EXPECT_FALSE(r.client_repeat);
  EXPECT_EQ(r.prefix, 0x2b8e6401d9f37c10u);
  EXPECT_EQ(r.tenant, 0);
  EXPECT_EQ(r.priority_class, 0);
  EXPECT_EQ(r.deadline, 0x8405da);
  EXPECT_EQ(r.max_tokens, 256);
}

TEST(Codec, DecodesTheOtherEventsInTheDescription) {
  const auto batch = simulator_adapter::decode_batch(
      batch_of("0601 0300 4d000000"
               "0501 0500 192b6f0ec9c10700"
               "0401 0300 c4913a5df7e60500 00 074a1203 0000 44480000 01 00000000 00"
               "0a01 00 02000000"
               "0000000000000000 02 0000 074a1203 0000803f 0000 0000"
               "20145d0000000000 02 0000 f211902c 0000c03f 0000 0100"
               "0101 0300 02 2900000000000000 00",
               5));
  ASSERT_EQ(batch.events.size(), 5u);
  EXPECT_EQ(std::get<simulator_adapter::TimerExpired>(batch.events[0].body).token, 77u);
  EXPECT_EQ(batch.events[1].instance, 5);
  EXPECT_EQ(std::get<simulator_adapter::ClientDisconnected>(batch.events[1].body).id, 0x0007c1c90e6f2b19u);
  const auto& result = std::get<simulator_adapter::Result>(batch.events[2].body).result;
  EXPECT_EQ(result.replica, 0x03124a07u);
  EXPECT_EQ(result.outcome, Outcome::served);
  EXPECT_EQ(result.elapsed, 0x4844);
  EXPECT_TRUE(result.concluded);
  const auto& list = std::get<simulator_adapter::EndpointList>(batch.events[3].body);
  ASSERT_EQ(list.members.size(), 2u);
  EXPECT_EQ(list.members[1].started_at, 0x5d1420);
  EXPECT_EQ(list.members[1].weight, 1.5f);
  EXPECT_EQ(list.members[1].zone, 1);
  EXPECT_EQ(list.members[1].state, EndpointState::ready);
  EXPECT_EQ(std::get<simulator_adapter::EndpointListUpdate>(batch.events[4].body).scope,
            EndpointUpdate::cached);
}

TEST(Codec, EncodesTheActionsInTheDescription) {
  Bytes out;
  simulator_adapter::encode_action(
      3, {.kind = ActionKind::send, .id = 0x0005e6f75d3a91c4, .replica = 0x03124a07, .time = 80'000}, 0, out);
  EXPECT_EQ(out, from_hex("0001 0300 c4913a5df7e60500 80380100 074a1203"));
  out.clear();
  simulator_adapter::encode_action(3, {.kind = ActionKind::set_timer, .time = 0x87fd7a, .token = 77}, 0, out);
  EXPECT_EQ(out, from_hex("0401 0300 7afd870000000000 4d000000"));
  out.clear();
  simulator_adapter::encode_action(
      3, {.kind = ActionKind::message_peer, .token = 0xffffffff, .message = "hi 7"}, 0, out);
  EXPECT_EQ(out, from_hex("0701 0300 ffffffff 0400 68692037"));
  EXPECT_EQ(simulator_adapter::frame({}), from_hex("00000000"));
}

TEST(Codec, EncodesTheRemainingActions) {
  const auto encoded = [](const Action& action) {
    Bytes out;
    simulator_adapter::encode_action(1, action, 0, out);
    return out;
  };
  EXPECT_EQ(encoded({.kind = ActionKind::reject, .id = 2, .time = 9}),
            from_hex("0101 0100 0200000000000000 09000000"));
  EXPECT_EQ(encoded({.kind = ActionKind::fail, .id = 2}), from_hex("0201 0100 0200000000000000"));
  EXPECT_EQ(encoded({.kind = ActionKind::cancel, .id = 2, .attempt = 1}),
            from_hex("0301 0100 0200000000000000 01"));
  EXPECT_EQ(encoded({.kind = ActionKind::probe, .replica = 5}), from_hex("0501 0100 05000000"));
  EXPECT_EQ(encoded({.kind = ActionKind::watch_endpoints}), from_hex("0a01 0100 01"));
  EXPECT_EQ(encoded({.kind = ActionKind::fetch_endpoints}), from_hex("0b01 0100"));
}

TEST(Codec, DecodesAnEmptyBatch) {
  const auto batch = simulator_adapter::decode_batch(from_hex("5a5c800000000000 00000000"));
  EXPECT_EQ(batch.now, 8'412'250);
  EXPECT_TRUE(batch.events.empty());
}

// Returns the error message for a malformed batch; empty if the batch is valid.
std::string error_of(const Bytes& payload) {
  try {
    simulator_adapter::decode_batch(payload);
  } catch (const simulator_adapter::MalformedInput& error) {
    return error.what();
  }
  return "";
}

TEST(Malformed, EveryTruncatedBatchIsRejected) {
  FrameBuilder b;
  b.start(1, kSettingsText).endpoint_list(0, {7, 8}).list_update(1, 1, 0).request(1, 5, 99);
  const auto payload = b.payload(1000);
  ASSERT_NO_THROW(simulator_adapter::decode_batch(payload));
  for (std::size_t size = 0; size < payload.size(); ++size) {
    EXPECT_NE(error_of(Bytes(payload.begin(), payload.begin() + static_cast<std::ptrdiff_t>(size))), "")
        << size;
  }
}

TEST(Malformed, ErrorsForExcessiveCountsAndUnknownCodesNameTheirPosition) {
  FrameBuilder unknown;
  unknown.event(999, 1);
  EXPECT_NE(error_of(unknown.payload(1)).find("record 0, byte"), std::string::npos);
  FrameBuilder list;
  ++list.records;
  list.put(std::uint16_t{266}).put(std::uint8_t{0}).put(std::uint32_t{0xffffffff});
  EXPECT_NE(error_of(list.payload(1)).find("count of list entries"), std::string::npos);
  FrameBuilder number;
  number.endpoint_list(16, {});
  EXPECT_NE(error_of(number.payload(1)).find("list number"), std::string::npos);
  FrameBuilder text;
  text.event(256, 1).put(std::uint64_t{0}).put(std::uint32_t{0xfffffff0});
  EXPECT_NE(error_of(text.payload(1)).find("settings"), std::string::npos);
  FrameBuilder left_over;
  left_over.put(std::uint8_t{1});
  EXPECT_NE(error_of(left_over.payload(1)).find("left over"), std::string::npos);
}

// Makes random changes to a valid batch. The codec must decode or reject the result without a crash; the
// sanitizers detect invalid memory accesses.
TEST(Malformed, RandomlyDamagedBatchesAreDecodedOrRejected) {
  FrameBuilder b;
  b.start(1, kSettingsText).endpoint_list(0, {7, 8}).list_update(1, 1, 0).request(1, 5, 99);
  b.event(262, 1).put(std::uint32_t{4}).event(264, 1).put(std::uint16_t{0}).put(std::uint16_t{0});
  const auto payload = b.payload(1000);
  std::mt19937 random(4);
  int decoded = 0, rejected = 0;
  for (int round = 0; round < 20000; ++round) {
    auto damaged = payload;
    for (unsigned n = 1 + random() % 4; n > 0; --n) {
      damaged[random() % damaged.size()] = static_cast<std::uint8_t>(random());
    }
    try {
      for (const auto& event : simulator_adapter::decode_batch(damaged).events) {
        if (const auto* start = std::get_if<simulator_adapter::Start>(&event.body))
          simulator_adapter::parse_settings(start->settings_text, 1);
      }
      ++decoded;
    } catch (const simulator_adapter::MalformedInput&) {
      ++rejected;
    }
  }
  EXPECT_GT(decoded, 0);
  EXPECT_GT(rejected, 0);
}

TEST(SettingsText, IsParsedAndUnknownKeysAreIgnored) {
  const auto s = simulator_adapter::parse_settings(
      "grades.count=2\ngrades.0.credit=1.0\ngrades.0.objective=3000000\ngrades.0.deadline=15000000\n"
      "grades.1.effect=keyed\ngrades.1.dedupScope=cell\ngrades.1.window=5000000\nlocality=2\nzones=a,b,c\n"
      "extra.aimUsPer1000PromptTokens=30000.0,60000.0\nregistryMode=ask\nweights=live\n"
      "report.fields=x1,backlog,surprise\ntenants.count=1\ntenants.0.share=0.26\ntenants.0.quotaPerS=5.0\n"
      "rules.coldFrom=0.12\nrules.cold=23000000\npolicyLimits.secondCopies=true\nsome.future.key=soon\n",
      11);
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].latency_objective, 3'000'000);
  EXPECT_EQ(s.classes[1].latency_objective_per_1000_prompt_tokens, 60'000);
  EXPECT_EQ(s.classes[1].effect, Effect::keyed);
  EXPECT_EQ(s.classes[1].dedup_scope, DedupScope::cell);
  EXPECT_EQ(s.zone, 2);
  EXPECT_EQ(s.zone_count, 3);
  EXPECT_TRUE(s.discovery_by_polling);
  EXPECT_EQ(s.weight_source, WeightSource::live);
  EXPECT_EQ(s.report_fields,
            (std::vector{ReportField::unread_kilotokens, ReportField::backlog, ReportField::unknown}));
  EXPECT_EQ(s.tenants[0].share, 0.26);
  EXPECT_EQ(s.warm_up, 23'000'000);
  EXPECT_TRUE(s.hedging);
  EXPECT_EQ(s.seed, 11u);
}

TEST(SettingsText, ErrorsForInvalidValuesNameTheKey) {
  const auto settings_error_of = [](const char* text) -> std::string {
    try {
      simulator_adapter::parse_settings(text, 0);
    } catch (const simulator_adapter::MalformedInput& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_NE(settings_error_of("rules.cold=soon\n").find("rules.cold"), std::string::npos);
  EXPECT_NE(settings_error_of("rank=-3\n").find("rank"), std::string::npos);
  EXPECT_NE(settings_error_of("grades.count=4000000000\n").find("grades.count"), std::string::npos);
  EXPECT_NE(settings_error_of("grades.count=1\ngrades.0.effect=odd\n").find("effect"), std::string::npos);
  EXPECT_NE(settings_error_of("policyLimits.mayCancel=perhaps\n").find("mayCancel"), std::string::npos);
  EXPECT_NE(settings_error_of("no equals sign").find("without"), std::string::npos);
}

}  // namespace
}  // namespace thornwick::testing

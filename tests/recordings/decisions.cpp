// Recorded decisions of the routing policy. Each test delivers a fixed sequence of events, and compares all
// decisions of the policy with those in the recording. A difference is a changed decision: either a fault, or
// an intended change, whose commit updates the recording and gives the reason.
#include <catch2/catch.hpp>

#include "router_player.hpp"

using namespace thornwick;
using namespace thornwick::recordings;

namespace {

constexpr Time kMillisecond = milliseconds(1);
constexpr Time kSecond = seconds(1);

ClassSettings safe_class() {
  return {.priority_weight = 3,
          .late_weight_fraction = 0.25,
          .latency_objective = 1500 * kMillisecond,
          .latency_objective_per_1000_prompt_tokens = 60 * kMillisecond,
          .deadline = seconds(6)};
}

ClassSettings keyed_class(DedupScope scope) {
  return {.priority_weight = 1,
          .latency_objective = seconds(2),
          .latency_objective_stretch = 0.5,
          .deadline = seconds(8),
          .effect = Effect::keyed,
          .dedup_scope = scope,
          .dedup_window = 400 * kMillisecond};
}

// The deduplication window must have no effect on an unsafe class: a repeat does harm at any time.
ClassSettings unsafe_class() {
  return {.priority_weight = 2,
          .latency_objective = kSecond,
          .deadline = seconds(5),
          .streamed = false,
          .effect = Effect::unsafe,
          .dedup_window = seconds(3)};
}

// Settings of a router in a group of three, with six replicas in one zone.
Settings small_group() {
  Settings settings;
  settings.seed = 11;
  settings.rank = 1;
  settings.group_size = 3;
  settings.classes = {safe_class(), keyed_class(DedupScope::all), unsafe_class()};
  settings.tenants = {{.share = 0.5}, {.share = 0.3}, {.share = 0.2}};
  settings.over_share_weight = 0.2;
  settings.report_fields = {ReportField::outstanding, ReportField::utilization};
  settings.may_cancel = true;
  settings.hedging = true;
  settings.max_attempts = 4;
  settings.drain_grace = 500 * kMillisecond;
  settings.initial_capacity = 0.3;
  settings.warm_up = seconds(6);
  return settings;
}

// Settings of a router in a group of 300 that share observations of sixty replicas in four zones.
Settings large_group() {
  Settings settings;
  settings.seed = 22;
  settings.rank = 17;
  settings.group_size = 300;
  settings.zone = 2;
  settings.zone_count = 4;
  settings.classes = {safe_class(), keyed_class(DedupScope::zone), unsafe_class()};
  settings.tenants = {{.share = 0.7}, {.share = 0.3, .quota_per_s = 20}};
  settings.over_share_weight = 0.5;
  settings.cross_zone_cost = 0.02;
  settings.discovery_by_polling = true;
  settings.max_poll_interval = kSecond;
  settings.weight_source = WeightSource::nominal;
  settings.report_fields = {ReportField::backlog};
  settings.may_cancel = true;
  settings.may_probe = true;
  settings.may_message_peers = true;
  settings.max_attempts = 3;
  settings.initial_capacity = 0.5;
  settings.warm_up = seconds(5);
  settings.overload_multiple = 3;
  return settings;
}

// Settings of a single router with replicas in two zones that have all just started and are overloaded.
Settings cold_overload() {
  Settings settings;
  settings.seed = 33;
  settings.zone_count = 2;
  settings.classes = {safe_class(), keyed_class(DedupScope::zone), keyed_class(DedupScope::cell),
                      unsafe_class()};
  settings.tenants = {{.share = 0.6}, {.share = 0.4}};
  settings.over_share_weight = 0.05;
  settings.discovery_by_polling = true;
  settings.max_poll_interval = seconds(4);
  settings.weight_source = WeightSource::live;
  settings.may_cancel = true;
  settings.hedging = true;
  settings.retry_after = true;
  settings.max_retry_after = seconds(3);
  settings.max_attempts = 3;
  settings.initial_capacity = 0.2;
  settings.warm_up = seconds(12);
  return settings;
}

void compare(const Recording& played, const Recording& expected) {
  INFO("played:\n" << describe(played));
  CHECK(played.actions == expected.actions);
  CHECK(played.outcomes == expected.outcomes);
  CHECK(played.timers_fired == expected.timers_fired);
  CHECK(played.restarts == expected.restarts);
  CHECK(played.ejected == expected.ejected);
  // The first digest that differs shows in which block of events the first difference is.
  CHECK(played.digests == expected.digests);
}

}  // namespace

// The counts are in this order: actions send, reject, fail, cancel, set_timer, watch_endpoints,
// fetch_endpoints, probe, message_peer; outcomes served, error, full, timed_out, connect_failed, reset,
// cancelled, not_sent. The policy never decides fetch_endpoints or probe.

TEST_CASE("decisions of a router in a small group are as recorded") {
  const PlayOptions options{.seed = 101, .replicas = 6, .slow_percent = 12};
  compare(RouterPlayer(small_group(), options).play(),
          {.digests = {0x2ecfdc624c8a80fe, 0x8c2fb0e306880239, 0x75396be0098b7f67, 0x80e31cc77a63d1d8,
                       0xd16f29865055ff0c, 0xa2f605885edd013b, 0x769b1b214430c8bc},
           .actions = {2986, 1225, 53, 8, 3587, 25, 0, 0, 0},
           .outcomes = {3057, 182, 91, 43, 50, 394, 8, 55},
           .timers_fired = 3517,
           .restarts = 3,
           .ejected = 127});
}

TEST_CASE("decisions of a router in a large group that shares observations are as recorded") {
  const PlayOptions options{.seed = 202, .replicas = 60, .zones = 4, .cells = 3, .kinds = 3};
  compare(RouterPlayer(large_group(), options).play(),
          {.digests = {0x21e8a0f0fc8bf044, 0x7db331e5257d3a6a, 0x6ea7e73ed49f659c, 0xf72795b351388082,
                       0x3bc7a3ede7ceff27, 0x0268e87787962274, 0x101c56867a1829c4},
           .actions = {4256, 841, 1029, 1425, 11261, 6, 0, 0, 880},
           .outcomes = {1878, 228, 81, 46, 45, 227, 1198, 32},
           .timers_fired = 11024,
           .restarts = 3,
           .ejected = 5963});
}

TEST_CASE("decisions of a single router with cold and overloaded replicas are as recorded") {
  const PlayOptions options{.seed = 303,
                            .replicas = 12,
                            .zones = 2,
                            .cells = 2,
                            .kinds = 2,
                            .all_cold = true,
                            .max_gap = 30'000,
                            .slow_percent = 50};
  compare(RouterPlayer(cold_overload(), options).play(),
          {.digests = {0x6f7c9a6cf21eb9de, 0x313f65fc62335650, 0x65658726c8488c47, 0x438f2d9056302d45,
                       0x225ca831e0b6f078, 0x4f90816853920f77, 0x832cff2f19996648},
           .actions = {2518, 3175, 161, 10, 3793, 28, 0, 0, 0},
           .outcomes = {2343, 239, 186, 79, 74, 405, 10, 83},
           .timers_fired = 3669,
           .restarts = 3,
           .ejected = 300});
}

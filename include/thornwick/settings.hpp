// Settings of a routing policy: the priority classes, the tenants, and what the deployment allows.
#pragma once

#include <cstdint>
#include <vector>

#include "thornwick/types.hpp"

namespace thornwick {

// The effect of running a request twice.
enum class Effect {
  safe,   // no harm
  keyed,  // no harm where replicas discard repeats, within ClassSettings::dedup_window
  unsafe  // possible harm
};

// The replicas among which repeats of a keyed request are discarded.
enum class DedupScope { all, zone, cell };

// A priority class. Latency objectives and deadlines must be above 0.
struct ClassSettings {
  double priority_weight = 1;           // weight of a request that is answered within its latency objective
  double late_weight_fraction = 0;      // fraction that remains between the objective and the deadline
  Time latency_objective = seconds(1);  // target time to the first token (or to the answer)
  Time latency_objective_per_1000_prompt_tokens = 0;  // added to the objective
  double latency_objective_stretch = 0;  // the objective also grows by this multiple of work_hint
  Time deadline = seconds(10);
  bool streamed = true;
  Effect effect = Effect::safe;
  DedupScope dedup_scope = DedupScope::all;
  Time dedup_window = 0;  // how long after the first attempt replicas discard repeats
};

// A tenant's entitlement to the service.
struct TenantSettings {
  double share = 0;        // proportion of the service that the tenant is allotted
  double quota_per_s = 0;  // requests per second, over all routers, within the share
};

// What the weights in the endpoint list mean.
enum class WeightSource { none, nominal, live };

// The meaning of a value in a load report.
enum class ReportField {
  outstanding,
  backlog,
  utilization,
  recent_ms,
  throughput,
  errors_per_s,
  memory_share,
  unread_kilotokens,
  unknown
};

// All settings of one routing policy.
struct Settings {
  std::uint64_t seed = 0;        // seed of all random numbers
  std::uint32_t rank = 0;        // this router's number among its peers
  std::uint32_t group_size = 1;  // number of routers, including this one
  std::uint16_t zone = 0;        // the zone of this router, below zone_count
  std::uint16_t zone_count = 1;
  std::vector<ClassSettings> classes;  // at least one
  std::vector<TenantSettings> tenants;
  double over_share_weight = 1;          // factor on the weight of a request beyond its tenant's share
  double cross_zone_cost = 0;            // cost of an attempt in another zone, as a fraction of a mean weight
  bool discovery_by_polling = false;     // discovery must be called for the endpoint list
  Time max_poll_interval = seconds(10);  // longest time without a subscription or a call; above 0
  WeightSource weight_source = WeightSource::none;
  std::vector<ReportField> report_fields;  // meanings of the values in a load report, in their order
  bool may_cancel = false;
  bool may_probe = false;
  bool may_message_peers = false;
  bool hedging = false;      // two attempts at a request may be outstanding at the same time
  bool retry_after = false;  // a rejection can carry Retry-After
  Time max_retry_after = 0;
  std::uint32_t max_attempts = 1;  // per request; at least 1
  Time drain_grace = 0;            // time after which nothing more is sent to a draining replica
  double initial_capacity = 1;     // 0..1; smallest fraction of its capacity that a replica starts with
  Time warm_up = 0;                // time from the start of a replica until it has its full capacity
  // A cold replica fails if it is sent more than this multiple of its present capacity (above 0) for
  // `overload_after`.
  double overload_multiple = 2;
  Time overload_after = seconds(1);
};

}  // namespace thornwick

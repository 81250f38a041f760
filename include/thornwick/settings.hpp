// Settings of a routing policy: the classes of request, the tenants, and what the deployment allows.
#pragma once

#include <cstdint>
#include <vector>

#include "thornwick/types.hpp"

namespace thornwick {

// What repeating a request does.
enum class Effect {
  safe,   // nothing
  keyed,  // nothing where repeats are discarded, within ClassSettings::dedup_window
  unsafe  // harm
};

// The replicas among which repeats of a keyed request are discarded.
enum class DedupScope { all, zone, cell };

// A class of request. Objectives and deadlines must be above 0.
struct ClassSettings {
  double priority_weight = 1;       // of a request answered within its latency objective
  double late_weight_fraction = 0;  // proportion of it that is left between the objective and the deadline
  Time latency_objective = seconds(1);                // wanted time to the first token (or to the answer)
  Time latency_objective_per_1000_prompt_tokens = 0;  // is added to it
  double latency_objective_stretch = 0;  // the objective also grows by this multiple of work_hint
  Time deadline = seconds(10);
  bool streamed = true;
  Effect effect = Effect::safe;
  DedupScope dedup_scope = DedupScope::all;
  Time dedup_window = 0;  // repeats are discarded for so long after the first attempt
};

struct TenantSettings {
  double share = 0;        // proportion of the service allotted
  double quota_per_s = 0;  // requests a second, over all routers, within the share
};

// How a listed weight is to be read.
enum class WeightSource { none, nominal, live };

// What a value of a load report means.
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

struct Settings {
  std::uint64_t seed = 0;        // of all random numbers
  std::uint32_t rank = 0;        // this router's number among its peers
  std::uint32_t group_size = 1;  // how many routers there are, with this one
  std::uint16_t zone = 0;        // the zone this router stands in, below zone_count
  std::uint16_t zone_count = 1;
  std::vector<ClassSettings> classes;  // one at least
  std::vector<TenantSettings> tenants;
  double over_share_weight = 1;          // factor on the weight of a request beyond its tenant's share
  double cross_zone_cost = 0;            // cost of an attempt that leaves the zone, as part of a mean weight
  bool discovery_by_polling = false;     // the endpoint list has to be asked for
  Time max_poll_interval = seconds(10);  // longest time without a subscription or a call; above 0
  WeightSource weight_source = WeightSource::none;
  std::vector<ReportField> report_fields;  // of the values in a load report, in their order
  bool may_cancel = false;
  bool may_probe = false;
  bool may_message_peers = false;
  bool hedging = false;      // two attempts of a request may be outstanding at once
  bool retry_after = false;  // a rejection can carry Retry-After
  Time max_retry_after = 0;
  std::uint32_t max_attempts = 1;    // of each request; 1 at least
  Time drain_grace = 0;              // nothing is sent to a draining replica later than this
  double initial_capacity = 1;       // 0..1; a replica starts at this proportion of its capacity or above
  Time warm_up = 0;                  // and has all of it after this time
  double overload_multiple = 2;      // above 0; sent more than this multiple of its present capacity ...
  Time overload_after = seconds(1);  // ... for this long, a cold replica fails
};

}  // namespace thornwick

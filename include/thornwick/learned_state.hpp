// What a routing policy has learned, as plain data that can be stored and handed over to a successor.
#pragma once

#include <cstdint>
#include <vector>

#include "thornwick/types.hpp"

namespace thornwick {

// Everything that a policy has learned and that a successor of the same router can use. Requests in flight
// are not included. The struct does not guarantee valid values: whoever imports it checks each value, because
// it may come from a file or from another process.
struct LearnedState {
  // A recent request: its size in tokens (0 or more) and its work (above 0), in the unit of
  // Request::work_hint.
  struct RequestSample {
    double size = 0;
    double work = 0;
    bool operator==(const RequestSample&) const = default;
  };

  // The decayed sum of the work of the requests that share a prompt prefix.
  struct PrefixWork {
    std::uint64_t prefix = 0;
    double work = 0;
    bool operator==(const PrefixWork&) const = default;
  };

  struct Replica {
    ReplicaId id = 0;
    Time started_at = 0;      // start of the replica's process when this was learned; 0: long ago
    int failure_points = 0;   // points for consecutive failures; 0: none
    Time ejected_until = 0;   // 0: never ejected
    double speed_factor = 1;  // 0..1; factor on the listed weight
    bool operator==(const Replica&) const = default;
  };

  // The speed factor that all replicas of one kind (Endpoint::kind) have in common.
  struct KindSpeed {
    std::uint16_t kind = 0;
    double speed_factor = 1;  // 0..1; factor on the listed weights
    bool operator==(const KindSpeed&) const = default;
  };

  std::vector<RequestSample> samples;  // the oldest first
  std::vector<PrefixWork> prefixes;
  std::vector<Replica> replicas;  // those that were listed
  std::vector<KindSpeed> kind_speeds;
  std::vector<double>
      tenant_usage;          // decayed number of requests of each tenant, in the order of the settings
  double zone_overflow = 0;  // 0..1; fraction of the sessions that are sent to other zones
  double load_shedding = 0;  // 0..1; fraction of the arrivals that are rejected

  bool operator==(const LearnedState&) const = default;
};

}  // namespace thornwick

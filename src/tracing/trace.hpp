// Traces the decisions of one router: one debug line for each event that reaches its decider and for each
// action that the decider returns. scripts/fleet_counts adds up the lines of a whole fleet.
//
// The tracer decorates the decider and changes no decision.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/decider.hpp"

namespace thornwick::tracing {

// Returns the uid of a replica. Trace lines need it because ids differ from router to router and uids do not.
using ReplicaUidLookup = std::function<std::string(ReplicaId)>;

// Returns a decider that traces `inner`. If debug lines are not written at the time of the call, it returns
// `inner` itself, so that tracing costs nothing; a later change of the threshold has no effect.
[[nodiscard]] std::unique_ptr<core::Decider> with_tracing(std::unique_ptr<core::Decider> inner,
                                                          ReplicaUidLookup uid_of);

}  // namespace thornwick::tracing

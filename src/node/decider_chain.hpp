// Builds the chain of deciders that the request manager consults: routing policy, budgets, models, slow
// start, drains.
#pragma once

#include <memory>

#include "config/config.hpp"
#include "core/decider.hpp"
#include "core/drain_tracker.hpp"
#include "models/pools.hpp"
#include "net/endpoint_table.hpp"
#include "node/durable_state.hpp"

namespace thornwick::node {

struct DeciderChain {
  std::unique_ptr<core::Decider> decider;  // the outermost decider
  // Deciders within the chain, owned by it. `pools` is null if there is no catalogue of models,
  // `drain_tracker` if no peers report drains.
  models::Pools* pools = nullptr;
  const core::DrainTracker* drain_tracker = nullptr;
};

// Builds the chain, from the innermost decider to the outermost one: routing policy, AdmissionController (if
// there are budgets or fair shares), models::Pools (if there is a catalogue; with one routing policy for each
// pool), SlowStartBudget, DrainTracker (if peers report drains), tracing. The chain refers to the arguments,
// which must outlive it.
DeciderChain build_decider_chain(const config::Config& config, const net::EndpointTable& endpoints,
                                 const DurableState& durable_state);

}  // namespace thornwick::node

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
  std::unique_ptr<core::Decider> decider;  // the outermost one
  // Parts of the chain. Null if there is no catalogue of models, or no peer that reports drains.
  models::Pools* pools = nullptr;
  const core::DrainTracker* drain_tracker = nullptr;
};

// The chain from the innermost decider to the outermost one: routing policy, AdmissionController (if there
// are budgets or fair shares), models::Pools (if there is a catalogue; with one policy for each pool),
// SlowStartBudget, DrainTracker (if peers report drains), traces. The chain refers to the arguments, which
// have to outlive it.
DeciderChain build_decider_chain(const config::Config& config, const net::EndpointTable& endpoints,
                                 const DurableState& durable_state);

}  // namespace thornwick::node

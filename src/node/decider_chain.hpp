// The chain of deciders that the request manager asks: routing policy, budgets, models, slow start, drains.
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
  // Both within the chain; null where there is no catalogue of models, or no peer that reports drains.
  models::Pools* pools = nullptr;
  const core::DrainTracker* drain_tracker = nullptr;
};

// Built from the inside out: routing policy, AdmissionController (where there are budgets or fair shares),
// models::Pools (where there is a catalogue; one policy for each pool), SlowStartBudget, DrainTracker (where
// drains are learned from peers), traces. The arguments are referred to and have to outlive the chain.
DeciderChain build_decider_chain(const config::Config& config, const net::EndpointTable& endpoints,
                                 const DurableState& durable_state);

}  // namespace thornwick::node

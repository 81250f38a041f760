#include "node/decider_chain.hpp"

#include <string>
#include <utility>

#include "budgets/admission_controller.hpp"
#include "core/slow_start_budget.hpp"
#include "logging/log.hpp"
#include "node/endpoint_names.hpp"
#include "tracing/trace.hpp"

namespace thornwick::node {
namespace {

std::unique_ptr<core::Decider> build_policy(const Settings& settings, Time now,
                                            const DurableState& durable_state) {
  auto policy = core::make_routing_policy(settings, now);
  if (durable_state.quota_service() == nullptr) return policy;
  return std::make_unique<budgets::AdmissionController>(std::move(policy), *durable_state.quota_service(),
                                                        durable_state.fair_share());
}

std::unique_ptr<models::Pools> build_pools(const config::Config& config, Time now,
                                           const net::EndpointTable& endpoints,
                                           const DurableState& durable_state) {
  models::Pools::Options options;
  options.settings = config.settings;
  options.catalogue = config.operator_file.catalogue;
  options.identity_of = [&endpoints](ReplicaId replica) { return replica_identity(endpoints, replica); };
  options.make_decider = [&durable_state](const Settings& settings, Time created_at, models::ModelId) {
    return build_policy(settings, created_at, durable_state);
  };
  return std::make_unique<models::Pools>(std::move(options), now);
}

// If discovery pushes its list, every router learns of a drain from discovery. If routers poll, a router may
// learn of a drain late, so it also uses the reports of its peers.
bool learns_drains_from_peers(const Settings& settings) {
  return settings.may_message_peers && settings.discovery_by_polling && settings.group_size > 1;
}

std::string_view description_of(core::DrainTracker::ReportOutcome outcome) {
  using Outcome = core::DrainTracker::ReportOutcome;
  switch (outcome) {
    case Outcome::sent: return "draining or removed: reported to peers";
    case Outcome::accepted: return "a peer reports it draining or removed: no more attempts";
    case Outcome::unlisted: return "a peer reports it draining or removed: as in the endpoint list";
    case Outcome::held_back:
      return "a peer reports it draining or removed: ignored for now, too many replicas are reported";
    case Outcome::expired: break;
  }
  return "a peer's report expired: ready according to the endpoint list";
}

// Returns an observer that logs the outcome of each report about a replica.
core::DrainTracker::Observer report_logger(const net::EndpointTable& endpoints) {
  return [&endpoints](core::DrainTracker::ReportOutcome outcome, ReplicaId replica) {
    using Outcome = core::DrainTracker::ReportOutcome;
    const auto level = outcome == Outcome::unlisted ? logging::Level::debug : logging::Level::info;
    logging::Line(level, "drain") << "replica " << logging::field("replica", uid_of(endpoints, replica))
                                  << ": " << description_of(outcome);
  };
}

}  // namespace

DeciderChain build_decider_chain(const config::Config& config, const net::EndpointTable& endpoints,
                                 const DurableState& durable_state) {
  const Settings& settings = config.settings;
  const Time now = net::now_us();
  DeciderChain chain;
  if (config.operator_file.catalogue.empty()) {
    chain.decider = build_policy(settings, now, durable_state);
  } else {
    auto pools = build_pools(config, now, endpoints, durable_state);
    chain.pools = pools.get();
    chain.decider = std::move(pools);
  }
  chain.decider = std::make_unique<core::SlowStartBudget>(std::move(chain.decider), settings, net::now_us());
  if (learns_drains_from_peers(settings)) {
    auto drain_tracker =
        std::make_unique<core::DrainTracker>(std::move(chain.decider), settings, report_logger(endpoints));
    chain.drain_tracker = drain_tracker.get();
    chain.decider = std::move(drain_tracker);
  }
  chain.decider = tracing::with_tracing(
      std::move(chain.decider), [&endpoints](ReplicaId replica) { return uid_of(endpoints, replica); });
  return chain;
}

}  // namespace thornwick::node

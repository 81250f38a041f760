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
  options.identity_of = [&endpoints](ReplicaId replica) { return replica_names(endpoints, replica); };
  options.make_decider = [&durable_state](const Settings& settings, Time created, models::ModelId) {
    return build_policy(settings, created, durable_state);
  };
  return std::make_unique<models::Pools>(std::move(options), now);
}

// If discovery pushes its list, every router learns of a drain from it. If routers poll, a router may learn
// of a drain late, and its peers' reports are used too.
bool learns_drains_from_peers(const Settings& settings) {
  return settings.may_message_peers && settings.discovery_by_polling && settings.group_size > 1;
}

std::string_view description_of(core::DrainTracker::ReportOutcome fate) {
  using Fate = core::DrainTracker::ReportOutcome;
  switch (fate) {
    case Fate::sent: return "draining or gone: reported to peers";
    case Fate::accepted: return "a peer reports it draining or gone: no more attempts";
    case Fate::unlisted: return "a peer reports it draining or gone: as in the endpoint list";
    case Fate::held_back:
      return "a peer reports it draining or gone: ignored for now, too many replicas are reported";
    case Fate::expired: break;
  }
  return "a peer's report expired: ready according to the endpoint list";
}

// Logs the fate of each report about a replica.
core::DrainTracker::Observer report_logger(const net::EndpointTable& endpoints) {
  return [&endpoints](core::DrainTracker::ReportOutcome fate, ReplicaId replica) {
    using Fate = core::DrainTracker::ReportOutcome;
    const auto level = fate == Fate::unlisted ? logging::Level::debug : logging::Level::info;
    logging::Line(level, "drain") << "replica " << logging::field("replica", uid_of(endpoints, replica))
                                  << ": " << description_of(fate);
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

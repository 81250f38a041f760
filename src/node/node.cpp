#include "node/node.hpp"

#include <optional>
#include <utility>

#include "logging/log.hpp"
#include "node/config_validation.hpp"
#include "node/connection_options.hpp"
#include "node/counters_report.hpp"
#include "node/decider_chain.hpp"
#include "node/endpoint_names.hpp"
#include "persistence/handover_state.hpp"

namespace thornwick::node {
namespace {

constexpr int kClusterTimeoutDivisor = 4;  // the cluster may take a quarter of the timeout of save()

}  // namespace

Node::Node(const config::Config& config, net::HandoverState handover_state)
    : config_(config),
      metrics_(config.names.classes),
      names_{config.names.classes, config.names.tenants, {}},
      endpoints_(
          endpoint_options(),
          [this](EndpointUpdate scope, std::span<const Endpoint> entries) { on_endpoints(scope, entries); }),
      peers_({.listen = config.listeners.peers,
              .broadcast = config.peers.all,
              .peers = config.peers.each,
              .bound_socket = std::move(handover_state.sockets[config.listeners.peers])},
             [this](std::uint32_t rank, std::span<const std::uint8_t> message) {
               core_->on_peer_message(rank, message);
             }),
      upstream_(upstream_pool_options(), endpoints_),
      flow_exporter_(make_flow_exporter()),
      durable_state_(
          config_, [this](ReplicaId replica) { return uid_of(endpoints_, replica); },
          [this](const std::string& uid) { return id_of(endpoints_, uid); },
          handover_state.connection ? StartedBeside::predecessor : StartedBeside::nobody),
      recorder_(metrics_, endpoints_, flow_exporter_.get()),
      core_(make_core()),
      fronts_({.config = config_, .router_lifecycle = lifecycle_, .names = names_, .metrics = metrics_}),
      admin_commands_(lifecycle_, {.metrics = [this] { return metrics(); },
                                   .phase_changed = [this](PhaseChange reason) { phase_changed(reason); }}),
      drain_watcher_(lifecycle_, [this] { return core_->open_requests() > 0 || fronts_.has_connections(); }),
      handover_({.config = config_,
                 .router_lifecycle = lifecycle_,
                 .endpoints = endpoints_,
                 .peers = peers_,
                 .core = *core_,
                 .affinity_table = durable_state_.affinity_table(),
                 .durable_state = durable_state_,
                 .fronts = fronts_,
                 .drain_watcher = drain_watcher_},
                {.open_cluster = [this] { open_cluster(); },
                 .close_cluster = [this] { cluster_.reset(); },
                 .phase_changed = [this](PhaseChange reason) { phase_changed(reason); }}) {
  clock_.wake = [this] { core_->wake(); };
  upstream_.attach(*core_);
  if (!config_.operator_file.catalogue.empty())
    names_.model = [this](std::string_view name) { return config_.operator_file.catalogue.find(name); };
  restore_state(handover_state);
  if (handover_state.drained) lifecycle_.begin_drain(net::now_us());
  if (handover_state.connection && !config_.listeners.operators.empty()) lifecycle_.begin_succession();
  fronts_.open(*core_, handover_state);
  if (!handover_state.connection) open_cluster();
  if (config_.listeners.operators.empty()) return;
  open_admin_endpoint();
  if (handover_state.connection) {
    handover_.take_over(std::move(handover_state));
  } else {
    handover_.listen_for_successor();
  }
}

net::EndpointTable::Options Node::endpoint_options() const {
  const Settings& settings = config_.settings;
  net::EndpointTable::Options options;
  options.address = config_.discovery.address;
  options.zones = config_.names.zones;
  options.kinds = config_.names.kinds;
  options.schedule.max_poll_interval = settings.max_poll_interval;
  options.schedule.drain_grace = settings.drain_grace;
  options.schedule.routers = settings.group_size;
  options.schedule.uses_local_agent = !settings.discovery_by_polling;
  options.seed = settings.seed;
  return options;
}

net::UpstreamPool::Options Node::upstream_pool_options() {
  auto options = upstream_options(config_);
  options.on_attempt_sent = [this] { metrics_.count_attempt(); };
  return options;
}

std::unique_ptr<net::FlowExporter> Node::make_flow_exporter() const {
  const std::string& collector = config_.operator_file.flow_collector;
  if (collector.empty()) return nullptr;
  return std::make_unique<net::FlowExporter>(collector, config_.operator_file.flow_domain);
}

std::unique_ptr<core::RequestManager> Node::make_core() {
  DeciderChain chain = build_decider_chain(config_, endpoints_, durable_state_);
  pools_ = chain.pools;
  if (chain.drain_tracker != nullptr) {
    endpoints_.set_peer_reports(
        [tracker = chain.drain_tracker](ReplicaId replica) { return tracker->is_reported(replica); });
  }
  core::Dependencies dependencies{clock_,
                                  upstream_,
                                  endpoints_,
                                  peers_,
                                  [this](const core::RequestSummary& summary) { on_request_end(summary); },
                                  durable_state_.affinity_table()};
  return std::make_unique<core::RequestManager>(config_.settings, std::move(dependencies),
                                                std::move(chain.decider));
}

// Restores the state that a predecessor has handed over. Fills the affinity table before the first endpoint
// list arrives, because a replica that the list added first would get another slot. If a store has filled the
// table already, the contents of the table stay: they are as new as the predecessor's and more complete.
void Node::restore_state(const net::HandoverState& handover_state) {
  affinity::AffinityTable* affinity_table =
      durable_state_.state_store() != nullptr ? nullptr : durable_state_.affinity_table();
  std::optional<LearnedState> learned_state;
  if (!handover_state.learned_state.empty()) {
    learned_state =
        persistence::decode_handover_state(handover_state.learned_state, net::now_us(), affinity_table);
    if (!learned_state) logging::warning("handover") << "the predecessor's learned state cannot be decoded";
  }
  restore_endpoints(handover_state);
  core_->learn(learned_state.value_or(LearnedState{}));
}

// Applies the predecessor's endpoint list, which is current, or else the list of the configuration, which may
// be old.
void Node::restore_endpoints(const net::HandoverState& handover_state) {
  const std::string& list_json =
      handover_state.endpoint_list.empty() ? config_.discovery.known_endpoints : handover_state.endpoint_list;
  if (list_json.empty()) return;
  simdjson::dom::parser parser;
  simdjson::dom::element known_endpoints;
  if (parser.parse(list_json).get(known_endpoints) == simdjson::SUCCESS)
    endpoints_.apply_known_list(known_endpoints);
}

void Node::open_admin_endpoint() {
  admin_endpoint_ = std::make_unique<net::AdminEndpoint>(
      config_.listeners.operators, [this](std::string_view line) { return admin_commands_.answer(line); });
  logging::info("process") << "admin endpoint on " << admin_endpoint_->address();
}

// A replica may still run a request that ended without a complete answer. If its id came again, it would run
// twice.
void Node::on_request_end(const core::RequestSummary& summary) {
  recorder_.record(summary);
  const bool answered = summary.status == core::CompletionStatus::served;
  if (summary.may_have_run && !answered) fronts_.retain_id(summary.external_id, net::now_us());
}

void Node::on_endpoints(EndpointUpdate scope, std::span<const Endpoint> entries) {
  upstream_.on_endpoints_changed();
  if (endpoints_.size() > 0) lifecycle_.set_endpoints_known();
  core_->on_endpoints(scope, entries);
}

// Joins the group. If the router's address in the group cannot be opened, throws NetError at the start; after
// a handover was set up, logs an error, and the router continues to serve without its group.
void Node::open_cluster() {
  if (config_.operator_file.group.name.empty() || cluster_) return;
  try {
    cluster_ = std::make_unique<Cluster>(config_, durable_state_.quota_proxy());
  } catch (const net::NetError& error) {
    if (!handover_.active()) throw;
    logging::error("membership") << "cannot join the group: " << error.what();
  }
}

void Node::phase_changed(PhaseChange reason) {
  logging::info("process") << lifecycle::name_of(lifecycle_.phase()) << ": " << to_string(reason) << ", "
                           << core_->open_requests() << " requests in flight";
  fronts_.phase_changed();
}

void Node::reload(const config::Config& config) {
  check_config(config);
  if (const auto changed_keys = config::fields_needing_restart(config_, config); !changed_keys.empty()) {
    logging::warning("process") << "changes that need a restart: " << changed_keys;
  }
  ++reload_count_;
  const Time now = net::now_us();
  reload_models(config, now);
  reload_budgets(config, now);
  if (config.discovery.address == config_.discovery.address) return;
  logging::info("process") << "discovery address changed from " << config_.discovery.address << " to "
                           << config.discovery.address;
  config_.discovery.address = config.discovery.address;
  endpoints_.switch_to(config.discovery.address);
}

// Replaces the catalogue of models. Requests in flight keep their model and replica.
void Node::reload_models(const config::Config& config, Time now) {
  if (pools_ == nullptr || config.operator_file.catalogue.empty()) return;
  config_.operator_file.catalogue =
      models::with_stable_ids(config_.operator_file.catalogue, config.operator_file.catalogue);
  pools_->replace_catalogue(now, config_.operator_file.catalogue);
  logging::info("models") << "catalogue reloaded: " << config_.operator_file.catalogue.models.size()
                          << " models";
}

// Replaces the budgets. Charges that were made earlier stay. A change from no budgets to some, or from some
// to none, takes effect only at the next start.
void Node::reload_budgets(const config::Config& config, Time now) {
  config::BudgetsFile& current = config_.operator_file.budgets;
  const config::BudgetsFile& updated = config.operator_file.budgets;
  if (durable_state_.quota_service() == nullptr || updated.budgets.empty() != current.budgets.empty()) return;
  current.budgets = updated.budgets;
  current.soft_limit_weight = updated.soft_limit_weight;
  durable_state_.budgets_changed(now);
}

void Node::shut_down() {
  lifecycle_.terminate(net::now_us());
  if (cluster_) cluster_->leave();
  phase_changed(PhaseChange::shutdown);
  drain_watcher_.start();
}

bool Node::save(Time timeout) {
  if (cluster_) cluster_->flush_before_exit(timeout / kClusterTimeoutDivisor);
  return durable_state_.save(timeout);
}

std::string Node::metrics() const {
  return metrics_.text({.in_flight = core_->open_requests(),
                        .replicas = endpoints_.listed_count(),
                        .ejected_replicas = core_->ejected().size(),
                        .store_open = durable_state_.store_is_open()});
}

void Node::print_counters(std::ostream& out) const {
  print_request_counters(*core_, out);
  print_downstream_counters(fronts_, out);
  print_upstream_counters(upstream_, out);
  print_memory_counters(out);
  print_discovery_counters(endpoints_, out);
  durable_state_.print_counters(out);
  if (pools_ != nullptr) print_model_counters(*pools_, out);
  out << " phase=" << lifecycle::name_of(lifecycle_.phase()) << " sends=" << metrics_.attempts();
  if (admin_endpoint_) {
    const net::AdminCounters& admin_counters = admin_endpoint_->counters();
    out << " calls=" << admin_counters.calls << " bad_calls=" << admin_counters.invalid_lines
        << " silent_calls=" << admin_counters.timed_out;
  }
  out << " reloads=" << reload_count_;
  if (flow_exporter_) out << " flow_records=" << flow_exporter_->sent_records();
}

}  // namespace thornwick::node

#include "node/cluster_replication.hpp"

#include <glib.h>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>
#include <variant>

#include "logging/log.hpp"
#include "node/identity.hpp"

namespace thornwick::node {
namespace {

constexpr Time kMaxTickInterval = milliseconds(50);
// Records that are not on the disk yet may take the memory limit divided by this, but at least
// kMinStoreMemory bytes.
constexpr std::size_t kStoreMemoryDivisor = 16;
constexpr std::size_t kMinStoreMemory = std::size_t{4} << 20;
// Timeouts and intervals in heartbeat intervals.
constexpr int kElectionHeartbeats = 5;       // without a heartbeat, after which another leader is elected
constexpr int kHelloHeartbeats = 2;          // between two hello messages
constexpr int kAnswerTimeoutHeartbeats = 4;  // for the answer of a ledger replica
constexpr Time kMinInterval =
    milliseconds(200);  // lower bound of the hello interval and of the answer timeout

constexpr std::string_view kLogPart = "replication";
constexpr const char* kPendingAnswer = "+OK pending\n";

replication::Options replication_options(const config::Config& config, const Membership& membership,
                                         std::uint32_t instance_id) {
  const config::ReplicationFile& file = config.operator_file.replication;
  const auto lease = static_cast<Time>(file.lease_s * 1e6);
  const auto heartbeat = static_cast<Time>(file.heartbeat_s * 1e6);
  replication::Options options;
  options.replica.self = membership.self;
  options.replica.roster = membership.roster;
  options.replica.replica_count = file.replica_count;
  options.replica.lease_duration = lease;
  options.replica.heartbeat_interval = heartbeat;
  options.replica.election_timeout = kElectionHeartbeats * heartbeat;
  options.replica.hello_interval = std::max(kMinInterval, kHelloHeartbeats * heartbeat);
  options.quota_client.self = membership.self;
  options.quota_client.roster = membership.roster;
  options.quota_client.replica_count = file.replica_count;
  options.quota_client.lease_duration = lease;
  options.quota_client.ledger_count = replication::ledger_count_for(membership.roster->size());
  options.quota_client.instance_id = instance_id;
  options.quota_client.max_prefetch_fraction = config.operator_file.budgets.block_fraction;
  options.quota_client.response_timeout = std::max(kMinInterval, kAnswerTimeoutHeartbeats * heartbeat);
  options.quota_client.overdraft_fraction = file.without_majority == "lenient" ? file.overdraft_fraction : 0;
  return options;
}

void write_log(replication::Severity severity, const std::string& text) {
  const bool is_warning = severity == replication::Severity::warning;
  logging::Line(is_warning ? logging::Level::warning : logging::Level::info, kLogPart) << text;
}

// Returns the answer to a later CORRECTION command that asks for this outcome.
std::string outcome_answer(const replication::OperatorOutcome& outcome) {
  using Status = replication::OperatorOutcome::Status;
  switch (outcome.status) {
    case Status::accepted: return "+OK yes";
    case Status::rejected: return "-ERR no: " + outcome.reason;
    case Status::unknown: break;
  }
  return "-ERR not known: no answer came in time; ask again with the same id";
}

}  // namespace

ClusterReplication::ClusterReplication(const config::Config& config, const Membership& membership,
                                       net::PeerLinks& links, LocalQuotaProxy& quota_proxy,
                                       std::uint8_t channel, std::uint32_t instance_id)
    : replication_config_(config.operator_file.replication),
      roster_(membership.roster),
      self_(membership.self),
      links_(links),
      quota_proxy_(quota_proxy),
      fragmenter_(channel),
      store_notifier_([this] { on_tick(); }) {
  fragmenter_.attach(links_);
  open_store(config);
  start_replication(replication_options(config, membership, instance_id));
  log_start();
  quota_proxy_.attach(&replication_->quota_client(), [this] { schedule_tick(); });
  on_tick();
}

ClusterReplication::~ClusterReplication() { quota_proxy_.attach(nullptr); }

void ClusterReplication::open_store(const config::Config& config) {
  const std::size_t memory = config.limits.memory_mb * 1024 * 1024;
  store_ = std::make_unique<persistence::LedgerStore>(
      store::FileOptions{.path = replication_config_.file,
                         .holder = config.name,
                         .megabytes = replication_config_.max_megabytes},
      std::max(kMinStoreMemory, memory / kStoreMemoryDivisor), store_notifier_.trigger());
  if (store_->set_aside().empty()) return;
  logging::error(kLogPart) << replication_config_.file << " is damaged: moved to " << store_->set_aside()
                           << ", its ledgers are restored from the other replicas";
}

void ClusterReplication::start_replication(const replication::Options& options) {
  replication::ReplicationNode::Dependencies dependencies;
  dependencies.records = [this](std::size_t ledger) -> replication::Records& {
    return store_->records(ledger);
  };
  dependencies.stored = [this](std::size_t ledger, const replication::RecordVisitor& visit) {
    store_->for_each_stored(ledger, visit);
  };
  dependencies.random_number = random_number;
  dependencies.send = [this](std::size_t member, const std::string& bytes) {
    fragmenter_.send(member, bytes);
  };
  dependencies.write_log = write_log;
  replication_ =
      std::make_unique<replication::ReplicationNode>(options, std::move(dependencies), net::now_us());
  store_->release_stored();
}

void ClusterReplication::log_start() const {
  const std::size_t ledgers = replication_->quota_client().ledger_count();
  if (!replication::survives_site_loss(*roster_, ledgers, replication_config_.replica_count)) {
    logging::warning(kLogPart) << "the ledgers do not survive the loss of a site: "
                               << replication_config_.replica_count << " replicas need three sites";
  }
  logging::info(kLogPart) << ledgers << " ledgers with " << replication_config_.replica_count
                          << " replicas each, " << replication_->replicas().size() << " of them here; "
                          << replication_config_.without_majority << " without a majority";
}

// Maintains links to the routers of all ledger replicas, including routers that have replaced others. The
// leader may change, and a request to the new leader should not wait for a connection.
void ClusterReplication::maintain_replica_links() {
  const auto maintain = [this](const std::vector<std::size_t>& members) {
    for (const std::size_t member : members) {
      if (member != self_) links_.maintain_link(member);
    }
  };
  const auto& quota_client = replication_->quota_client();
  for (std::size_t ledger = 0; ledger < quota_client.ledger_count(); ++ledger)
    maintain(quota_client.replica_routers(ledger));
  for (const auto& [ledger, replica] : replication_->replicas()) maintain(replica->placed_members());
}

void ClusterReplication::on_tick() {
  if (is_processing_) return;
  is_processing_ = true;
  const Time now = net::now_us();
  replication_->on_durable(now, store_->durable());
  replication_->tick(now);
  store_->hand_over();
  maintain_replica_links();
  log_store_state();
  is_processing_ = false;
  next_tick_ = 0;
  schedule_tick();
}

void ClusterReplication::log_store_state() {
  const auto metrics = store_->metrics();
  if (metrics.failing && !store_writes_fail_) {
    logging::error(kLogPart) << "ledger writes fail, retrying: " << metrics.last_error;
  } else if (!metrics.failing && store_writes_fail_) {
    logging::info(kLogPart) << "ledger writes succeed again";
  }
  store_writes_fail_ = metrics.failing;
  if (!store_->failed() || store_full_) return;
  store_full_ = true;
  logging::error(kLogPart)
      << "no room for ledger writes: the replicas of this router do not vote until it restarts";
}

void ClusterReplication::schedule_tick() {
  if (is_processing_) return;
  const Time now = net::now_us();
  const Time next_tick =
      std::min(now + kMaxTickInterval, std::max(now, replication_->quota_client().next_tick()));
  if (next_tick_ != 0 && next_tick_ <= next_tick) return;
  next_tick_ = next_tick;
  tick_timer_.start(next_tick - now, [this] { on_tick(); });
}

void ClusterReplication::on_frame(std::size_t member, std::string_view bytes) {
  fragmenter_.on_frame(member, bytes, [this, member](std::string_view message) {
    is_processing_ = true;
    replication_->on_message(net::now_us(), member, message);
    is_processing_ = false;
    store_->hand_over();
    schedule_tick();
  });
}

void ClusterReplication::flush_before_exit(Time timeout) {
  replication_->quota_client().leave(net::now_us());
  replication_->deliver_to_self(net::now_us());
  store_->hand_over();
  bool timed_out = false;
  net::Timer timer;
  timer.start(timeout, [&timed_out] { timed_out = true; });
  while (!timed_out && !replication_->quota_client().has_left()) g_main_context_iteration(nullptr, TRUE);
}

std::string ClusterReplication::answer(std::string_view line) {
  const auto command = parse_replication_command(line);
  if (!command) return {};
  return std::visit([this](const auto& command_value) { return run_command(command_value); }, *command);
}

ReplicationStatus ClusterReplication::status() const {
  return {replication_config_, *roster_, *replication_, *store_, fragmenter_};
}

std::string ClusterReplication::run_command(const ReplicationStatusQuery& query) const {
  return query.json ? status_json(status()).dump() + "\n" : status_text(status());
}

std::string ClusterReplication::run_command(const OutcomeQuery& query) const {
  const std::string* answer = outcomes_.find(query.id);
  return (answer == nullptr ? "-ERR no: no such id here" : *answer) + "\n";
}

std::string ClusterReplication::run_command(const InvalidCommandId&) const { return "-ERR no: not an id\n"; }

std::string ClusterReplication::run_command(const BudgetCorrection& correction) {
  outcomes_.begin(correction.id);
  std::string answer = begin_correction(correction);
  if (answer != kPendingAnswer) outcomes_.forget(correction.id);
  schedule_tick();
  return answer;
}

std::string ClusterReplication::begin_correction(const BudgetCorrection& correction) {
  if (!correction.tokens) return "-ERR no: not a number of tokens\n";
  const Time now = net::now_us();
  const auto account = replication_->quota_client().describe_account(correction.account, now);
  if (!account) return "-ERR no: there is no account '" + correction.account + "'\n";
  replication::Correction change;
  change.id = correction.id;
  change.set = correction.kind == BudgetCorrection::Kind::set;
  change.units = static_cast<budgets::Units>(std::llround(*correction.tokens * budgets::kUnitsPerToken));
  change.account = *account;
  replication_->quota_client().correct(
      now, change, [this, id = correction.id](const replication::OperatorOutcome& outcome) {
        on_command_decided(id, outcome);
      });
  return kPendingAnswer;
}

std::string ClusterReplication::run_command(const RouterReplacement& replacement) {
  outcomes_.begin(replacement.id);
  replication_->quota_client().replace(
      net::now_us(), {replacement.id, replacement.old_name, replacement.new_name},
      [this, id = replacement.id](const replication::OperatorOutcome& outcome) {
        on_command_decided(id, outcome);
      });
  schedule_tick();
  return kPendingAnswer;
}

void ClusterReplication::on_command_decided(std::uint64_t id, const replication::OperatorOutcome& outcome) {
  const std::string answer = outcome_answer(outcome);
  outcomes_.set(id, answer);
  logging::info(kLogPart) << "operator command " << id << ": " << answer;
}

}  // namespace thornwick::node

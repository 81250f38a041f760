#include "replication/replication_node.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::replication {

ReplicationNode::ReplicationNode(Options options, Dependencies dependencies, Time now)
    : options_(std::move(options)), dependencies_(std::move(dependencies)) {
  const LedgerReplicaOptions& replica = options_.replica;
  for (std::size_t ledger = 0; ledger < options_.quota_client.ledger_count; ++ledger) {
    const auto placed = place_replicas(*replica.roster, ledger, replica.replica_count);
    const bool is_placed_here = std::find(placed.begin(), placed.end(), replica.self) != placed.end();
    if (is_placed_here || has_records(ledger)) open(ledger, now);
  }
  quota_client_ = std::make_unique<QuotaLeaseClient>(
      options_.quota_client,
      QuotaLeaseClient::Dependencies{
          [this](std::size_t member, std::string bytes) { send(member, std::move(bytes)); },
          dependencies_.write_log},
      now);
}

bool ReplicationNode::has_records(std::size_t ledger) const {
  bool any = false;
  dependencies_.stored(ledger, [&any](std::string_view, std::string_view) { any = true; });
  return any;
}

void ReplicationNode::open(std::size_t ledger, Time now) {
  LedgerReplicaOptions options = options_.replica;
  options.ledger = ledger;
  LedgerReplica::Dependencies dependencies{
      .records = dependencies_.records(ledger),
      .random_number = dependencies_.random_number,
      .send = [this](std::size_t member, std::string bytes) { send(member, std::move(bytes)); },
      .write_log = dependencies_.write_log};
  const StoredRecords stored = [this, ledger](const RecordVisitor& visit) {
    dependencies_.stored(ledger, visit);
  };
  ledger_replicas_[ledger] =
      std::make_unique<LedgerReplica>(std::move(options), std::move(dependencies), stored, now);
}

void ReplicationNode::tick(Time now) {
  for (auto& [ledger, replica] : ledger_replicas_) replica->tick(now);
  if (now >= quota_client_->next_tick()) quota_client_->tick(now);
  deliver_to_self(now);
}

void ReplicationNode::on_durable(Time now, std::uint64_t number) {
  for (auto& [ledger, replica] : ledger_replicas_) replica->on_durable(now, number);
  deliver_to_self(now);
}

void ReplicationNode::on_message(Time now, std::size_t member, std::string_view bytes) {
  ++metrics_.received;
  deliver(now, member, bytes);
  deliver_to_self(now);
}

void ReplicationNode::deliver_to_self(Time now) {
  if (std::exchange(is_delivering_to_self_, true)) return;
  while (!to_self_.empty()) {
    const std::string bytes = std::move(to_self_.front());
    to_self_.pop_front();
    deliver(now, options_.replica.self, bytes);
  }
  is_delivering_to_self_ = false;
}

void ReplicationNode::send(std::size_t member, std::string bytes) {
  if (member == options_.replica.self) {
    to_self_.push_back(std::move(bytes));
    return;
  }
  ++metrics_.sent;
  metrics_.sent_bytes += bytes.size();
  dependencies_.send(member, std::move(bytes));
}

void ReplicationNode::deliver(Time now, std::size_t member, std::string_view bytes) {
  const auto header = read<MessageHeader>(bytes);
  if (header && header->version != kVersion) {
    on_other_version(member, header->version);
    return;
  }
  if (!header || header->ledger >= options_.quota_client.ledger_count) {
    ++metrics_.unreadable;
    return;
  }
  const auto kind = static_cast<MessageKind>(header->kind);
  const std::size_t ledger = header->ledger;
  if (kind == MessageKind::lease_response || kind == MessageKind::lease_rejection ||
      kind == MessageKind::operator_response) {
    quota_client_->on_message(now, member, ledger, kind, header->body);
    return;
  }
  if (kind == MessageKind::hello) open_if_placed(ledger, header->body, now);
  const auto replica = ledger_replicas_.find(ledger);
  if (replica != ledger_replicas_.end()) {
    replica->second->on_message(now, member, kind, header->body);
  } else if (kind == MessageKind::lease_request) {
    reject_without_replica(member, ledger, header->body);
  }
}

// Counts a message of another version. Writes a log line for the first one only.
void ReplicationNode::on_other_version(std::size_t member, std::uint8_t version) {
  ++metrics_.other_version;
  if (std::exchange(version_logged_, true)) return;
  dependencies_.write_log(Severity::warning, options_.replica.roster->at(member).name + " uses version " +
                                                 std::to_string(version) +
                                                 " of the replication messages, this program version " +
                                                 std::to_string(kVersion) + ": its messages are ignored");
}

// Opens a replica if the leader's hello names this router, which happens when this router has replaced
// another one.
void ReplicationNode::open_if_placed(std::size_t ledger, std::string_view hello_body, Time now) {
  if (ledger_replicas_.contains(ledger)) return;
  const auto hello = read<Hello>(hello_body);
  if (!hello) return;
  const std::string& local_name = options_.replica.roster->at(options_.replica.self).name;
  const bool is_placed = std::find(hello->placed_routers.begin(), hello->placed_routers.end(), local_name) !=
                         hello->placed_routers.end();
  if (is_placed) open(ledger, now);
}

// Responds to a lease request for a ledger without a replica here, with the routers that have replicas.
void ReplicationNode::reject_without_replica(std::size_t member, std::size_t ledger,
                                             std::string_view request_body) {
  const LedgerReplicaOptions& replica = options_.replica;
  LeaseRejection rejected;
  if (const auto request = read<LeaseRequest>(request_body)) rejected.number = request->number;
  for (const std::size_t router : place_replicas(*replica.roster, ledger, replica.replica_count)) {
    rejected.replica_routers.push_back(replica.roster->at(router).name);
  }
  send(member, write(MessageKind::lease_rejection, ledger, rejected));
}

}  // namespace thornwick::replication

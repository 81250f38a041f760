// Start of a replica from its disk, and the replica's events.
#include "replication/ledger_replica.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::replication {
namespace {

constexpr std::string_view kMetaKey = "m";
constexpr std::string_view kReplacedKey = "r";
constexpr Time kPositionInterval = milliseconds(500);
constexpr Time kDutyInterval = milliseconds(200);
constexpr int kMemberHelloFactor = 4;  // a member sends hellos this many times less often than other stages
constexpr int kStallDivisor = 4;       // a pause longer than the lease divided by this number is a stall

struct Meta {
  ReplicaUid id = 0;
  std::uint32_t start_number = 0;
  std::uint8_t stage = 0;
  Founders founders;
  MSGPACK_DEFINE(id, start_number, stage, founders)
};

StoredRecords visit_all(const std::map<std::string, std::string>& records) {
  return [&records](const RecordVisitor& visit) {
    for (const auto& [key, value] : records) visit(key, value);
  };
}

}  // namespace

LedgerReplica::LedgerReplica(LedgerReplicaOptions options, Dependencies dependencies,
                             const StoredRecords& stored, Time now)
    : options_(std::move(options)),
      dependencies_(std::move(dependencies)),
      now_(now),
      entering_since_(now),
      last_tick_at_(now),
      peers_(dependencies_.records) {
  const LoadResult loaded = load(stored);
  update_placement();
  start_process(loaded);
}

LedgerReplica::LoadResult LedgerReplica::load(const StoredRecords& stored) {
  LoadResult result = LoadResult::nothing;
  stored([&](std::string_view key, std::string_view value) {
    if (result == LoadResult::nothing) result = LoadResult::loaded;
    if (key == kMetaKey) {
      const auto meta = read<Meta>(value);
      if (!meta) {
        result = LoadResult::unreadable;
        return;
      }
      process_.id = meta->id;
      process_.start_number = meta->start_number;
      stage_ = static_cast<Stage>(meta->stage);
      founders_ = meta->founders;
    } else if (key == kReplacedKey) {
      if (const auto replaced = read<ReplacementMap>(value)) replaced_ = *replaced;
    } else if (PeerTable::owns(key)) {
      peers_.load(key, value);
    } else if (Consensus::owns_key(key)) {
      loaded_log_.emplace(key, value);
      loaded_log_keys_.emplace_back(key);
    }
  });
  if (result == LoadResult::loaded && process_.id == 0) return LoadResult::unreadable;
  return result;
}

void LedgerReplica::start_process(LoadResult loaded) {
  process_.instance_id = static_cast<std::uint32_t>(dependencies_.random_number()) | 1;
  if (loaded == LoadResult::unreadable) {
    reset_to_blank("its records on disk cannot be decoded");
    return;
  }
  if (process_.id == 0) process_.id = dependencies_.random_number() | 1;
  if (stage_ == Stage::member) {
    stage_ = Stage::entering;
    try {
      process_.set_position(Consensus::position(visit_all(loaded_log_)));
    } catch (const std::exception&) {
      reset_to_blank("its records on disk cannot be decoded");
      return;
    }
  }
  ++process_.start_number;
  write_meta();
}

void LedgerReplica::write_meta() {
  const Stage stored_stage = stage_ == Stage::entering ? Stage::member : stage_;
  const Meta meta{process_.id, process_.start_number, static_cast<std::uint8_t>(stored_stage), founders_};
  dependencies_.records.write(std::string(kMetaKey), packed(meta));
  meta_write_number_ = dependencies_.records.last_write_number();
}

// Continues like a replica with an empty disk, under a new id. The old id must never send a message again,
// because it may have given votes that this disk does not have.
void LedgerReplica::reset_to_blank(const std::string& reason) {
  dependencies_.write_log(Severity::warning, "replica of " + ledger_label() + " discarded: " + reason +
                                                 "; it is restored from the others");
  discarded_disk_ = true;
  if (consensus_) consensus_->erase();
  consensus_.reset();
  for (const std::string& key : loaded_log_keys_) dependencies_.records.write(key, std::nullopt);
  loaded_log_keys_.clear();
  loaded_log_.clear();
  ledger_ = {};
  was_leader_ = false;
  is_ready_ = false;
  process_.id = dependencies_.random_number() | 1;
  process_.start_number = 1;
  process_.set_position({});
  stage_ = Stage::blank;
  founders_.clear();
  peers_.forget_acknowledgements();
  write_meta();
}

void LedgerReplica::start_consensus(const std::map<std::string, std::string>& log) {
  stage_ = Stage::member;
  write_meta();
  const Consensus::Options options{.id = process_.id,
                                   .name = local_name(),
                                   .election_timeout = options_.election_timeout,
                                   .heartbeat_interval = options_.heartbeat_interval,
                                   .snapshot_threshold = options_.snapshot_threshold,
                                   .trailing_entries = options_.trailing_entries};
  consensus_ = std::make_unique<Consensus>(options, consensus_dependencies(), visit_all(log), now_);
  consensus_->on_durable(now_, durable_number_);
  if (!consensus_->problem().empty()) reset_pending_ = true;
}

Consensus::Dependencies LedgerReplica::consensus_dependencies() {
  return {.records = dependencies_.records,
          .random_number = dependencies_.random_number,
          .send = [this](ReplicaUid receiver, const std::string& router,
                         std::string bytes) { send_raft(receiver, router, std::move(bytes)); },
          .apply = [this](std::string_view command) { on_applied(command); },
          .snapshot = [this] { return ledger_.snapshot(); },
          .restore = [this](std::string_view snapshot) { return restore(snapshot); }};
}

void LedgerReplica::send_raft(ReplicaUid receiver, const std::string& router, std::string bytes) {
  if (!is_in_roster(router) || !consensus_) return;
  const LogPosition position = consensus_->position();
  send(options_.roster->find(router), MessageKind::raft,
       RaftMessage{process_.id, receiver, position.term, position.last_term, position.last_index,
                   std::move(bytes)});
}

bool LedgerReplica::restore(std::string_view snapshot) {
  session_active_at_.clear();
  if (!ledger_.restore(snapshot)) return false;
  update_placement();
  return true;
}

// Stores the ledger's replaced routers in a record of their own, because a process needs the placement before
// it has a ledger.
void LedgerReplica::update_placement() {
  if (!ledger_.replacements().empty() && ledger_.replacements() != replaced_) {
    replaced_ = ledger_.replacements();
    dependencies_.records.write(std::string(kReplacedKey), packed(replaced_));
  }
  placed_members_ = place_replicas(*options_.roster, options_.ledger, options_.replica_count, replaced_);
}

void LedgerReplica::on_durable(Time now, std::uint64_t number) {
  now_ = now;
  durable_number_ = std::max(durable_number_, number);
  if (consensus_) consensus_->on_durable(now, number);
}

void LedgerReplica::tick(Time now) {
  now_ = now;
  compensate_for_stall();
  if (std::exchange(reset_pending_, false)) {
    reset_to_blank(consensus_ ? consensus_->problem() : "its log is damaged");
  }
  send_due_hellos();
  found_when_agreed();
  enter_when_acknowledged();
  if (!consensus_) return;
  consensus_->tick(now);
  if (now - last_duties_at_ < kDutyInterval) return;
  last_duties_at_ = now;
  perform_leader_duties();
}

// After a pause of this process, messages may wait in its sockets. Gives sessions and the wait for hellos the
// time of the pause again, so that none expires before those messages are read.
void LedgerReplica::compensate_for_stall() {
  const Time paused = now_ - last_tick_at_;
  last_tick_at_ = now_;
  if (paused <= options_.lease_duration / kStallDivisor) return;
  for (auto& [session, active_at] : session_active_at_) active_at = now_;
  entering_since_ += paused;
}

void LedgerReplica::send_due_hellos() {
  const Time interval =
      stage_ == Stage::member ? kMemberHelloFactor * options_.hello_interval : options_.hello_interval;
  if (now_ - last_hellos_at_ >= interval) {
    last_hellos_at_ = now_;
    send_hellos();
  }
  if (now_ - last_positions_written_at_ >= kPositionInterval) {
    last_positions_written_at_ = now_;
    peers_.write_positions();
  }
  for (auto& [router, peer] : peers_.all()) {
    if (peer.process_write_number > durable_number_ || !std::exchange(peer.needs_response, false)) continue;
    send_hello(options_.roster->find(router));
  }
}

void LedgerReplica::on_message(Time now, std::size_t member, MessageKind kind, std::string_view body) {
  now_ = now;
  const auto dispatch = [&]<typename Body>(void (LedgerReplica::*handler)(std::size_t, const Body&)) {
    if (const auto message = read<Body>(body)) (this->*handler)(member, *message);
  };
  switch (kind) {
    case MessageKind::hello: return dispatch(&LedgerReplica::on_hello);
    case MessageKind::raft: return dispatch(&LedgerReplica::on_raft_message);
    case MessageKind::lease_request: return dispatch(&LedgerReplica::on_lease_request);
    case MessageKind::correction: return dispatch(&LedgerReplica::on_correction);
    case MessageKind::replacement: return dispatch(&LedgerReplica::on_replacement);
    default: return;
  }
}

void LedgerReplica::on_raft_message(std::size_t member, const RaftMessage& message) {
  if (!consensus_ || message.to != process_.id) return;
  peers_.raise_position(name_of(member), message.from, message.position());
  consensus_->on_message(now_, message.from, name_of(member), message.term, message.bytes);
}

bool LedgerReplica::is_placed(std::size_t member) const {
  return std::find(placed_members_.begin(), placed_members_.end(), member) != placed_members_.end();
}

bool LedgerReplica::is_in_roster(const std::string& router) const {
  return options_.roster->find(router) != options_.roster->size();
}

std::vector<std::size_t> LedgerReplica::other_placed_members() const {
  auto others = placed_members_;
  std::erase(others, options_.self);
  return others;
}

std::string LedgerReplica::ledger_label() const { return "ledger " + std::to_string(options_.ledger); }

}  // namespace thornwick::replication

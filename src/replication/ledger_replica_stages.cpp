// Hellos between replicas, and how a replica leaves the stages blank, founding and entering.
#include <algorithm>
#include <tuple>
#include <utility>

#include "replication/ledger_replica.hpp"

namespace thornwick::replication {

// Sends nothing until the start of this process is durable.
void LedgerReplica::send_hello(std::size_t member) {
  if (meta_write_number_ > durable_number_) return;
  if (consensus_) process_.set_position(consensus_->position());
  Hello hello;
  hello.process = process_;
  hello.stage = static_cast<std::uint8_t>(stage_);
  hello.founders = founders_;
  const PeerRecord* peer = peers_.find(name_of(member));
  if (peer != nullptr && peer->process_write_number <= durable_number_)
    hello.receiver_process = peer->process;
  if (is_leader()) {
    for (const std::size_t placed : placed_members_) hello.placed_routers.push_back(name_of(placed));
  }
  send(member, MessageKind::hello, hello);
}

// Sends hellos to all routers on which replicas are placed. A leader also sends them to members of the log
// that are no longer placed.
void LedgerReplica::send_hellos() {
  for (const std::size_t member : other_placed_members()) send_hello(member);
  if (!is_leader()) return;
  for (const LogMember& log_member : consensus_->members()) {
    const std::size_t member = options_.roster->find(log_member.name);
    if (is_in_roster(log_member.name) && !is_placed(member)) send_hello(member);
  }
}

void LedgerReplica::on_hello(std::size_t member, const Hello& hello) {
  PeerRecord& peer = peers_.record_of(name_of(member));
  // The sender's process has been followed by another process of the same disk. The hello is not recorded,
  // and the response shows the sender which process this replica has recorded.
  if (hello.process.is_followed_by(peer.process)) {
    if (hello.sender_stage() != Stage::member) send_hello(member);
    return;
  }
  if (!peer.process.is_same(hello.process)) peers_.set_process(name_of(member), hello.process);
  peer.needs_response = stage_ == Stage::member && hello.sender_stage() != Stage::member;
  peer.received_at = now_;
  peer.stage = hello.sender_stage();
  peer.founders = hello.founders;
  peer.knows_this_process = hello.receiver_process.is_same(process_);
  if (is_superseded_by(hello.receiver_process) && !options_.trust_any_disk) {
    reset_to_blank("another replica has recorded a later state of this disk");
    return;
  }
  const bool ledger_exists = peer.stage >= Stage::entering;
  if (ledger_exists && stage_ <= Stage::founding) join_existing(hello);
}

// Another replica has the ledger. This replica is either one of the ledger's founders, or starts with an
// empty log and waits for the leader.
void LedgerReplica::join_existing(const Hello& hello) {
  const Founder self{local_name(), process_.id};
  const auto found = std::find(hello.founders.begin(), hello.founders.end(), self);
  if (found == hello.founders.end()) {
    start_consensus({});
    return;
  }
  founders_ = hello.founders;
  found_when_agreed();
}

// Whether another replica has recorded a later process, or a later position, of this replica's disk.
bool LedgerReplica::is_superseded_by(const Process& recorded) const {
  if (process_.is_followed_by(recorded)) return true;
  return recorded.id == process_.id && stage_ == Stage::entering &&
         process_.position().is_behind(recorded.position());
}

// All replicas of a ledger found it together, each after it has durably recorded and announced the agreement.
// A replica that has lost its disk therefore cannot found a second ledger.
void LedgerReplica::found_when_agreed() {
  if (stage_ > Stage::founding) return;
  const FoundingView view = founding_view();
  const bool can_begin =
      view.all_recent && !view.is_founded && view.founders.size() == options_.replica_count;
  if (stage_ == Stage::blank && can_begin) {
    begin_founding(view.founders);
    return;
  }
  const bool all_agreed = stage_ == Stage::founding && view.all_recent && have_all_agreed();
  if (view.is_founded || all_agreed) found();
}

LedgerReplica::FoundingView LedgerReplica::founding_view() const {
  FoundingView view;
  view.founders.push_back({local_name(), process_.id});
  for (const std::size_t member : other_placed_members()) {
    const PeerRecord* peer = peers_.find_recent(name_of(member), now_);
    if (peer == nullptr) {
      view.all_recent = false;
      continue;
    }
    view.founders.push_back({name_of(member), peer->process.id});
    if (peer->stage >= Stage::entering && !founders_.empty() && peer->founders == founders_) {
      view.is_founded = true;
    }
  }
  std::sort(view.founders.begin(), view.founders.end(), [](const Founder& left, const Founder& right) {
    return std::tie(left.name, left.id) < std::tie(right.name, right.id);
  });
  return view;
}

bool LedgerReplica::have_all_agreed() const {
  const auto others = other_placed_members();
  return std::all_of(others.begin(), others.end(), [this](std::size_t member) {
    const PeerRecord* peer = peers_.find(name_of(member));
    return peer != nullptr && peer->stage != Stage::blank && peer->founders == founders_;
  });
}

void LedgerReplica::begin_founding(const Founders& founders) {
  stage_ = Stage::founding;
  founders_ = founders;
  write_meta();
  send_hellos();
}

void LedgerReplica::found() {
  std::vector<LogMember> members;
  for (const Founder& founder : founders_) members.push_back({founder.id, founder.name, true});
  const auto log = Consensus::founding_records(std::move(members));
  for (const auto& [key, value] : log) dependencies_.records.write(key, value);
  start_consensus(log);
  dependencies_.write_log(Severity::info, "created " + ledger_label());
}

// Becomes a member when all other replicas have recorded this process, and none has a later state of its
// disk. After `entry_timeout` a majority suffices, which includes this replica.
void LedgerReplica::enter_when_acknowledged() {
  if (stage_ != Stage::entering || meta_write_number_ > durable_number_) return;
  const std::size_t acknowledged = count_acknowledgements();
  const bool by_all = acknowledged == other_placed_members().size();
  const bool by_majority =
      acknowledged >= options_.replica_count / 2 && now_ - entering_since_ > options_.entry_timeout;
  if (!by_all && !by_majority && !options_.trust_any_disk) return;
  start_consensus(std::exchange(loaded_log_, {}));
  dependencies_.write_log(Severity::info, "rejoined " + ledger_label() + ": " + std::to_string(acknowledged) +
                                              " other replicas acknowledged this start");
}

std::size_t LedgerReplica::count_acknowledgements() const {
  const auto others = other_placed_members();
  const auto count = std::count_if(others.begin(), others.end(), [this](std::size_t member) {
    const PeerRecord* peer = peers_.find(name_of(member));
    return peer != nullptr && peer->knows_this_process;
  });
  return static_cast<std::size_t>(count);
}

}  // namespace thornwick::replication

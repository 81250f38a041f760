// The duties of a replica that leads its ledger: members of the log, sessions of routers, and requests.
#include <algorithm>
#include <utility>

#include "replication/ledger_replica.hpp"
#include "replication/membership_plan.hpp"

namespace thornwick::replication {
namespace {

using ProposalOutcome = Consensus::ProposalOutcome;

constexpr std::int64_t kMaxWindowsAhead =
    1;  // windows that a lease request may be ahead of this router's clock

}  // namespace

void LedgerReplica::perform_leader_duties() {
  const bool is_leader_now = is_leader();
  if (is_leader_now && !was_leader_) begin_leadership();
  was_leader_ = is_leader_now;
  if (!is_leader_now) is_ready_ = false;
  if (!is_ready_) return;
  maintain_members();
  expire_sessions();
}

// Proposes an entry of the new term first, because its commitment commits all entries of earlier leaders
// (Raft, section 5.4.2).
void LedgerReplica::begin_leadership() {
  is_ready_ = false;
  last_proposal_at_ = now_;
  session_active_at_.clear();
  propose(Command(CommandKind::tick), [this](ProposalOutcome outcome) {
    is_ready_ = outcome == ProposalOutcome::committed && is_leader();
  });
  dependencies_.write_log(Severity::info, "became leader of " + ledger_label());
}

void LedgerReplica::maintain_members() {
  if (consensus_->is_changing_members()) return;
  MembershipView view;
  view.members = consensus_->members();
  for (const std::size_t member : placed_members_) view.placed_routers.push_back(name_of(member));
  view.self = {process_.id, local_name(), true};
  view.current_replica = [this](const std::string& router) -> ReplicaUid {
    const PeerRecord* peer = peers_.find_recent(router, now_);
    return peer == nullptr ? 0 : peer->process.id;
  };
  const MembershipChange change = next_membership_change(view);
  switch (change.action) {
    case MembershipAction::none: return;
    case MembershipAction::remove_lost:
      dependencies_.write_log(Severity::info, ledger_label() + ": removing the replica that " + change.name +
                                                  " lost with its disk");
      consensus_->remove(now_, change.id);
      return;
    case MembershipAction::add: consensus_->add(now_, change.id, change.name); return;
    case MembershipAction::promote:
      dependencies_.write_log(Severity::info,
                              ledger_label() + ": promoting the replica of " + change.name + " to a voter");
      consensus_->promote(now_, change.id);
      return;
    case MembershipAction::remove_unplaced: consensus_->remove(now_, change.id); return;
  }
}

// Expires a session only when its lease has ended by the session's clock, too, even if that clock is slower
// by the maximum drift.
void LedgerReplica::expire_sessions() {
  Command command(CommandKind::expiry);
  const auto limit =
      static_cast<Time>(static_cast<double>(options_.lease_duration) * (1 + options_.max_clock_drift));
  for (const auto& [session, state] : ledger_.sessions()) {
    const Time active_at = session_active_at_.try_emplace(session, now_).first->second;
    if (!state.expired && now_ - active_at > limit) command.expired_sessions.push_back(session);
  }
  if (!command.expired_sessions.empty()) propose(std::move(command), [](ProposalOutcome) {});
}

bool LedgerReplica::propose(Command command, Consensus::ProposalDone done) {
  command.elapsed = std::max<Time>(0, now_ - std::exchange(last_proposal_at_, now_));
  return consensus_->propose(now_, Ledger::write(command), std::move(done));
}

void LedgerReplica::on_applied(std::string_view command) {
  last_result_ = ledger_.apply(command);
  if (ledger_.replacements() != replaced_) update_placement();
}

std::string LedgerReplica::leader_name() const {
  if (!consensus_) return {};
  const ReplicaUid leader = consensus_->leader_id();
  if (leader == 0) return {};
  for (const LogMember& member : consensus_->members()) {
    if (member.id == leader) return member.name;
  }
  return {};
}

void LedgerReplica::reject(std::size_t member, std::uint64_t number, RejectReason reason) {
  LeaseRejection rejected{.number = number,
                          .leader = leader_name(),
                          .replica_routers = {},
                          .clock_ahead = reason == RejectReason::clock_ahead};
  for (const std::size_t placed : placed_members_) rejected.replica_routers.push_back(name_of(placed));
  send(member, MessageKind::lease_rejection, rejected);
}

// Guards the ledger against a client whose clock is far ahead: the client's windows would displace the
// current ones.
bool LedgerReplica::is_window_far_ahead(const LeaseRequestLine& line) const {
  if (!is_known_span(line.span) || is_bucket(line.span)) return false;
  const Time length = budgets::window_length(static_cast<budgets::LimitKind>(line.span));
  return line.window > now_ / length + kMaxWindowsAhead;
}

void LedgerReplica::on_lease_request(std::size_t member, const LeaseRequest& request) {
  if (!is_leader() || !is_ready_) {
    reject(member, request.number, RejectReason::not_leader);
    return;
  }
  const bool clock_ahead =
      std::any_of(request.lines.begin(), request.lines.end(),
                  [this](const LeaseRequestLine& line) { return is_window_far_ahead(line); });
  if (clock_ahead) {
    reject(member, request.number, RejectReason::clock_ahead);
    return;
  }
  Command command(CommandKind::lease_request);
  command.lease_request = request;
  if (options_.respond_before_majority) respond_before_commit(member, command);
  const auto on_done = [this, member, session = request.session](ProposalOutcome outcome) {
    if (outcome != ProposalOutcome::committed) return;
    session_active_at_[session] = now_;
    if (last_result_ && last_result_->response && !options_.respond_before_majority) {
      send(member, MessageKind::lease_response, *last_result_->response);
    }
  };
  if (!propose(std::move(command), on_done)) reject(member, request.number, RejectReason::not_leader);
}

// The fault that tests switch on: responds with the command's result before the command is committed.
void LedgerReplica::respond_before_commit(std::size_t member, const Command& command) {
  Ledger guess = ledger_;
  const auto outcome = guess.apply(Ledger::write(command));
  if (outcome && outcome->response) send(member, MessageKind::lease_response, *outcome->response);
}

// Clients send corrections and replacements to all replicas; only the leader responds.
void LedgerReplica::accept_operator(std::size_t member, std::uint64_t id) {
  send(member, MessageKind::operator_response, OperatorResponse{.id = id, .accepted = true, .reason = {}});
}

void LedgerReplica::reject_operator(std::size_t member, std::uint64_t id, OperatorRejection rejection) {
  send(member, MessageKind::operator_response,
       OperatorResponse{.id = id, .accepted = false, .reason = to_string(rejection)});
}

void LedgerReplica::on_correction(std::size_t member, const Correction& correction) {
  if (!is_ready_) return;
  if (is_window_far_ahead(correction.account)) {
    reject_operator(member, correction.id, OperatorRejection::clock_ahead);
    return;
  }
  Command command(CommandKind::correction);
  command.correction = correction;
  if (options_.respond_before_majority) accept_operator(member, correction.id);
  propose(std::move(command), [this, member, id = correction.id](ProposalOutcome outcome) {
    if (outcome != ProposalOutcome::committed || !last_result_) return;
    if (last_result_->correction_outcome == CorrectionOutcome::no_room) {
      reject_operator(member, id, OperatorRejection::no_room);
    } else {
      accept_operator(member, id);
    }
  });
}

void LedgerReplica::on_replacement(std::size_t member, const Replacement& replacement) {
  if (!is_ready_) return;
  const bool two_routers = is_in_roster(replacement.old_name) && is_in_roster(replacement.new_name) &&
                           replacement.old_name != replacement.new_name;
  if (!two_routers) {
    reject_operator(member, replacement.id, OperatorRejection::unknown_routers);
    return;
  }
  Command command(CommandKind::replacement);
  command.old_name = replacement.old_name;
  command.new_name = replacement.new_name;
  propose(std::move(command), [this, member, id = replacement.id](ProposalOutcome outcome) {
    if (outcome == ProposalOutcome::committed) accept_operator(member, id);
  });
}

}  // namespace thornwick::replication

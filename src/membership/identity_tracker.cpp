#include "membership/identity_tracker.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::membership {
namespace {

constexpr std::size_t kMaxSupersededInstances = 4;
constexpr std::size_t kMostRivals = 4;
// This many returns of superseded processes are a conflict, if each came within kReturnPeriods periods of the
// one before.
constexpr std::uint32_t kReturnsOfConflict = 3;
constexpr int kReturnPeriods = 60;
// A conflict ends when no return was seen for this many periods.
constexpr int kConflictPeriods = 60;
// While two processes use a name, each refutes the other at most once in this many periods.
constexpr int kRivalRefutationPeriods = 5;

}  // namespace

// ---------------------------------------------------------------- other members

void IdentityTracker::on_newer_claim(std::size_t member, const Claim& claim) {
  MemberRecord& record = state_.members[member];
  const Identity before = record.view.identity;
  if (claim.identity.instance_id == before.instance_id) return;
  record.view.identity = claim.identity;
  if (record.view.incarnation == 0) return;
  if (supersede(record, before.instance_id, claim.identity.instance_id) == Known::before)
    on_superseded_instance_returned(member);
  else
    report_restart(member, before, claim.identity);
}

IdentityTracker::Known IdentityTracker::supersede(MemberRecord& record, std::uint32_t old_instance,
                                                  std::uint32_t new_instance) {
  auto& runs = record.superseded_instances;
  const bool known = std::find(runs.begin(), runs.end(), new_instance) != runs.end();
  if (std::find(runs.begin(), runs.end(), old_instance) == runs.end()) runs.push_back(old_instance);
  if (runs.size() > kMaxSupersededInstances) runs.pop_front();
  return known ? Known::before : Known::now_first;
}

// A claim shows a superseded process with a higher incarnation. Either both processes run, or the process had
// that incarnation before it ended and the claim is late. A late claim cannot come again and again, so that
// repeated returns are a conflict.
void IdentityTracker::on_superseded_instance_returned(std::size_t member) {
  MemberRecord& record = state_.members[member];
  const bool recent = now_ - record.returned_at <= kReturnPeriods * state_.options.period;
  record.returns = recent ? record.returns + 1 : 1;
  record.returned_at = now_;
  if (record.returns >= kReturnsOfConflict) raise_conflict(member);
}

void IdentityTracker::report_restart(std::size_t member, const Identity& before, const Identity& after) {
  MemberView& view = state_.members[member].view;
  ++view.restart_count;
  view.suspension_count = 0;
  view.last_suspension_s = 0;
  if (after.disk_id != before.disk_id) {
    view.recovery = RecoveryState::new_disk;
    state_.report(member, "started anew with an empty disk: what it had kept is lost", Severity::warning);
  } else if (after.start_number > before.start_number) {
    view.recovery = RecoveryState::same_disk;
    state_.report(member, "started anew with its disk");
  } else {
    view.recovery = RecoveryState::older_disk;
    state_.report(member, "started anew with an older copy of its disk: what it kept since is lost",
                  Severity::warning);
  }
}

// ---------------------------------------------------------------- conflicts

void IdentityTracker::raise_conflict(std::size_t member) {
  MemberRecord& record = state_.members[member];
  record.conflict_at = now_;
  if (std::exchange(record.view.name_conflict, true)) return;
  state_.report(member, "two processes use its name", Severity::warning);
}

void IdentityTracker::expire_conflicts() {
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    MemberRecord& record = state_.members[i];
    const bool recent = now_ - record.conflict_at <= kConflictPeriods * state_.options.period;
    if (!record.view.name_conflict || recent) continue;
    record.view.name_conflict = false;
    state_.report(i, "its name is used by one process again");
  }
}

// ---------------------------------------------------------------- this router's own name

std::deque<Rival>::iterator IdentityTracker::find_rival(std::uint32_t instance_id) {
  return std::find_if(state_.rivals.begin(), state_.rivals.end(),
                      [&](const Rival& rival) { return rival.instance_id == instance_id; });
}

void IdentityTracker::on_rival(const Claim& claim) {
  auto rival = find_rival(claim.identity.instance_id);
  const bool first_seen = rival == state_.rivals.end();
  if (first_seen) report_own_recovery(claim.identity);
  const bool refuted_lately = now_ - state_.refuted_at < kRivalRefutationPeriods * state_.options.period;
  if (state_.own().view.name_conflict && refuted_lately) return;
  if (first_seen) {
    if (state_.rivals.size() >= kMostRivals) state_.rivals.pop_front();
    rival = state_.rivals.insert(state_.rivals.end(), Rival{.instance_id = claim.identity.instance_id});
  } else if (claim.incarnation > rival->refuted_with) {
    ++rival->returns;
    if (rival->returns >= kReturnsOfConflict - 1) raise_conflict(state_.self);
  }
  rival->refuted_with = state_.options.refuting_incarnation(claim.incarnation);
  state_.refute(now_, claim.incarnation);
}

void IdentityTracker::report_own_recovery(const Identity& known) {
  MemberView& own = state_.own().view;
  if (known.disk_id != own.identity.disk_id) {
    own.recovery = RecoveryState::new_disk;
    state_.report(state_.self, "the group knew this name with another disk: this one began empty",
                  Severity::warning);
  } else if (known.start_number >= own.identity.start_number) {
    own.recovery = RecoveryState::older_disk;
    state_.report(state_.self, "the group knew a later start of this disk: this is an older copy",
                  Severity::warning);
  } else {
    own.recovery = RecoveryState::same_disk;
  }
}

}  // namespace thornwick::membership

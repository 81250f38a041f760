#include "membership/identity_tracker.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::membership {
namespace {

constexpr std::size_t kMaxSupersededInstances = 4;
constexpr std::size_t kMaxRivals = 4;
// This many claims of superseded processes are a conflict, if each came within kReturnPeriods periods after
// the one before.
constexpr std::uint32_t kReturnsOfConflict = 3;
constexpr int kReturnPeriods = 60;
// A conflict ends when no superseded process was claimed for this many periods.
constexpr int kConflictPeriods = 60;
// While two processes use a name, each refutes the other at most once in this many periods.
constexpr int kRivalRefutationPeriods = 5;

}  // namespace

void IdentityTracker::on_newer_claim(std::size_t member, const Claim& claim) {
  MemberRecord& record = state_.members[member];
  const Identity before = record.view.identity;
  if (claim.identity.instance_id == before.instance_id) return;
  record.view.identity = claim.identity;
  if (record.view.incarnation == 0) return;
  if (supersede(record, before.instance_id, claim.identity.instance_id) == InstanceHistory::superseded_before)
    on_superseded_instance_returned(member);
  else
    report_restart(member, before, claim.identity);
}

IdentityTracker::InstanceHistory IdentityTracker::supersede(MemberRecord& record, std::uint32_t old_instance,
                                                            std::uint32_t new_instance) {
  auto& superseded = record.superseded_instances;
  const bool is_superseded =
      std::find(superseded.begin(), superseded.end(), new_instance) != superseded.end();
  if (std::find(superseded.begin(), superseded.end(), old_instance) == superseded.end())
    superseded.push_back(old_instance);
  if (superseded.size() > kMaxSupersededInstances) superseded.pop_front();
  return is_superseded ? InstanceHistory::superseded_before : InstanceHistory::first_seen;
}

// Handles a claim of a superseded process with a higher incarnation. Either both processes run, or the
// process had that incarnation before it ended and the claim is late. Late claims do not keep coming, so
// repeated returns are a conflict.
void IdentityTracker::on_superseded_instance_returned(std::size_t member) {
  MemberRecord& record = state_.members[member];
  const bool recent = now_ - record.last_return_at <= kReturnPeriods * state_.options.period;
  record.return_count = recent ? record.return_count + 1 : 1;
  record.last_return_at = now_;
  if (record.return_count >= kReturnsOfConflict) raise_conflict(member);
}

void IdentityTracker::report_restart(std::size_t member, const Identity& before, const Identity& after) {
  MemberView& view = state_.members[member].view;
  ++view.restart_count;
  view.suspension_count = 0;
  view.last_suspension_s = 0;
  if (after.disk_id != before.disk_id) {
    view.recovery = RecoveryState::new_disk;
    state_.report(member, "restarted with an empty disk: its stored state is lost", Severity::warning);
  } else if (after.start_number > before.start_number) {
    view.recovery = RecoveryState::same_disk;
    state_.report(member, "restarted with its disk");
  } else {
    view.recovery = RecoveryState::older_disk;
    state_.report(member, "restarted with an older copy of its disk: later state is lost", Severity::warning);
  }
}

void IdentityTracker::raise_conflict(std::size_t member) {
  MemberRecord& record = state_.members[member];
  record.conflict_confirmed_at = now_;
  if (std::exchange(record.view.name_conflict, true)) return;
  state_.report(member, "two processes use its name", Severity::warning);
}

void IdentityTracker::expire_conflicts() {
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    MemberRecord& record = state_.members[i];
    const bool recent = now_ - record.conflict_confirmed_at <= kConflictPeriods * state_.options.period;
    if (!record.view.name_conflict || recent) continue;
    record.view.name_conflict = false;
    state_.report(i, "only one process uses its name again");
  }
}

std::deque<Rival>::iterator IdentityTracker::find_rival(std::uint32_t instance_id) {
  return std::find_if(state_.rivals.begin(), state_.rivals.end(),
                      [&](const Rival& rival) { return rival.instance_id == instance_id; });
}

void IdentityTracker::on_rival(const Claim& claim) {
  auto rival = find_rival(claim.identity.instance_id);
  const bool is_first_claim = rival == state_.rivals.end();
  if (is_first_claim) report_local_recovery(claim.identity);
  const bool was_refuted_recently =
      now_ - state_.refuted_at < kRivalRefutationPeriods * state_.options.period;
  if (state_.local().view.name_conflict && was_refuted_recently) return;
  if (is_first_claim) {
    if (state_.rivals.size() >= kMaxRivals) state_.rivals.pop_front();
    rival = state_.rivals.insert(state_.rivals.end(), Rival{.instance_id = claim.identity.instance_id});
  } else if (claim.incarnation > rival->refuted_with) {
    ++rival->return_count;
    if (rival->return_count >= kReturnsOfConflict - 1) raise_conflict(state_.self);
  }
  rival->refuted_with = state_.options.refuting_incarnation(claim.incarnation);
  state_.refute(now_, claim.incarnation);
}

void IdentityTracker::report_local_recovery(const Identity& known) {
  MemberView& local = state_.local().view;
  if (known.disk_id != local.identity.disk_id) {
    local.recovery = RecoveryState::new_disk;
    state_.report(state_.self, "the group knew this name with another disk: this disk started empty",
                  Severity::warning);
  } else if (known.start_number >= local.identity.start_number) {
    local.recovery = RecoveryState::older_disk;
    state_.report(state_.self, "the group knew a later start of this disk: this disk is an older copy",
                  Severity::warning);
  } else {
    local.recovery = RecoveryState::same_disk;
  }
}

}  // namespace thornwick::membership

#include "core/drain_tracker.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gossip/gossip.hpp"
#include "random/hashing.hpp"

namespace thornwick::core {
namespace {

// The token of this decorator's timer. The routing policy counts its tokens from 0.
constexpr std::uint32_t kTimerToken = 0xfffffff1;

// Returns whether a start is earlier than another one. Both are milliseconds modulo 2^32; 0 stands for a
// start long ago.
bool is_earlier(std::uint32_t start, std::uint32_t other) {
  if (start == other || other == 0) return false;
  return start == 0 || static_cast<std::int32_t>(start - other) < 0;
}

}  // namespace

DrainTracker::DrainTracker(std::unique_ptr<Decider> inner, const Settings& settings, Observer observer)
    : DeciderDecorator(std::move(inner)),
      settings_(settings),
      observer_(std::move(observer)),
      random_state_(mix(settings.seed ^ kTimerToken)) {}

void DrainTracker::observe(ReportOutcome fate, ReplicaId replica) const {
  if (observer_) observer_(fate, replica);
}

Time DrainTracker::max_delay() const {
  return std::min<Time>(kMaxDelay, kDelayPerRouter * settings_.group_size);
}

void DrainTracker::on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) {
  if (scope == EndpointUpdate::failed) return DeciderDecorator::on_endpoints(now, scope, entries);
  // A cached list is from before the start of this process. It is not reported, because its drains may be
  // long over.
  const Reporting reporting = scope == EndpointUpdate::cached ? Reporting::off : Reporting::on;
  if (scope != EndpointUpdate::cached) list_received_at_ = now;
  if (scope != EndpointUpdate::delta) remove_unlisted(now, entries, reporting);
  std::vector<Endpoint> reported;
  for (const Endpoint& entry : entries) {
    update_listed(now, entry, reporting);
    reported.push_back(with_reported_state(entry));
  }
  std::erase_if(peer_reports_, [&](const auto& report) { return !listed_.contains(report.first); });
  DeciderDecorator::on_endpoints(now, scope, reported);
  apply_held_back_reports(now);  // there may be more ready replicas than before
}

// Removes the replicas that are missing from a full list. The others keep their state, so that
// update_listed() sees what has changed.
void DrainTracker::remove_unlisted(Time now, std::span<const Endpoint> entries, Reporting reporting) {
  auto unlisted = listed_;
  auto draining = std::exchange(draining_starts_, {});
  for (const Endpoint& entry : entries) {
    unlisted.erase(entry.id);
    if (auto listed = draining.extract(entry.id)) draining_starts_.insert(std::move(listed));
  }
  for (const auto& [id, replica] : unlisted) {
    listed_.erase(id);
    if (reporting == Reporting::on) schedule_report(now, replica);
  }
}

void DrainTracker::update_listed(Time now, const Endpoint& entry, Reporting reporting) {
  if (entry.state == EndpointState::ready) return update_ready(entry);
  update_not_ready(now, entry, reporting);
}

void DrainTracker::update_ready(const Endpoint& entry) {
  const auto report = peer_reports_.find(entry.id);
  if (report != peer_reports_.end() && is_earlier(report->second.start_stamp, start_stamp_of(entry)))
    peer_reports_.erase(report);
  listed_[entry.id] = entry;
  draining_starts_.erase(entry.id);
  pending_reports_.erase(entry.id);  // the drain is over
}

void DrainTracker::update_not_ready(Time now, const Endpoint& entry, Reporting reporting) {
  const auto listed = listed_.find(entry.id);
  if (reporting == Reporting::on && is_unreported_drain(entry))
    schedule_report(now, listed == listed_.end() ? entry : listed->second);
  listed_.erase(entry.id);
  if (entry.state == EndpointState::draining) {
    draining_starts_[entry.id] = start_stamp_of(entry);
  } else {
    draining_starts_.erase(entry.id);
  }
}

// Returns whether the drain has to be reported, because peers may not know of it yet.
bool DrainTracker::is_unreported_drain(const Endpoint& entry) const {
  if (listed_.contains(entry.id)) return true;
  if (!is_small_group() || entry.state != EndpointState::draining) return false;
  const auto known = draining_starts_.find(entry.id);
  return known == draining_starts_.end() || known->second != start_stamp_of(entry);
}

Endpoint DrainTracker::with_reported_state(const Endpoint& entry) const {
  Endpoint reported = entry;
  if (entry.state == EndpointState::ready && is_reported(entry.id)) reported.state = EndpointState::draining;
  return reported;
}

bool DrainTracker::is_reported(ReplicaId replica) const {
  const auto report = peer_reports_.find(replica);
  return report != peer_reports_.end() && report->second.in_effect;
}

// Schedules a report to the peers, unless a peer has reported the same drain already.
void DrainTracker::schedule_report(Time now, const Endpoint& replica) {
  if (peer_reports_.erase(replica.id) > 0 || pending_reports_.size() >= kMaxStoredReports) return;
  random_state_ = mix(random_state_);
  const Time send_at =
      now + static_cast<Time>(unit_interval(random_state_) * static_cast<double>(max_delay()));
  pending_reports_[replica.id] = {.start_stamp = start_stamp_of(replica),
                                  .send_at = send_at,
                                  .remaining_repeats = is_small_group() ? kRepeats : 0};
  set_timer(send_at);
}

void DrainTracker::on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) {
  if (!is_drain_message(message)) return DeciderDecorator::on_peer_message(now, peer, message);
  if (peer == settings_.rank) return;
  const auto reports = decode_drain_message(message);
  if (!reports) {
    ++undecodable_messages_;
    return;
  }
  for (const DrainReport& report : *reports) accept_report(now, report);
}

void DrainTracker::accept_report(Time now, const DrainReport& report) {
  const auto pending = pending_reports_.find(report.replica);
  if (pending != pending_reports_.end() && pending->second.start_stamp == report.start_stamp)
    pending_reports_.erase(pending);
  const auto known = peer_reports_.find(report.replica);
  if (known != peer_reports_.end() && !is_earlier(known->second.start_stamp, report.start_stamp)) return;
  if (!is_listed(report)) return observe(ReportOutcome::unlisted, report.replica);
  if (known == peer_reports_.end() && peer_reports_.size() >= kMaxStoredReports) return;
  const bool was_in_effect = known != peer_reports_.end() && known->second.in_effect;
  PeerReport& stored = peer_reports_[report.replica];
  stored = {.start_stamp = report.start_stamp, .received_at = now, .expires_at = now + report_lifetime()};
  set_timer(stored.expires_at);
  if (was_in_effect || may_exclude_another(now)) return apply_report(now, report.replica, stored);
  observe(ReportOutcome::held_back, report.replica);
  set_timer(*list_received_at_ + kMaxFreshListAge);
}

void DrainTracker::apply_report(Time now, ReplicaId replica, PeerReport& report) {
  report.in_effect = true;
  observe(ReportOutcome::accepted, replica);
  const Endpoint entry = with_reported_state(listed_.at(replica));
  DeciderDecorator::on_endpoints(now, EndpointUpdate::delta, {&entry, 1});
}

// Applies reports that were held back, as far as the limit allows now. Otherwise sets a timer for the moment
// at which the local list ceases to be fresh.
void DrainTracker::apply_held_back_reports(Time now) {
  for (auto& [replica, report] : peer_reports_) {
    if (report.in_effect) continue;
    if (!may_exclude_another(now)) return set_timer(*list_received_at_ + kMaxFreshListAge);
    apply_report(now, replica, report);
  }
}

// Returns whether the local list has the replica as ready with the start that the report is about, or with an
// earlier one: the earlier start ended before the reported one began.
bool DrainTracker::is_listed(const DrainReport& report) const {
  const auto listed = listed_.find(report.replica);
  return listed != listed_.end() && !is_earlier(report.start_stamp, start_stamp_of(listed->second));
}

// Returns whether one more report may take a replica out of use. While the local list is fresh, reports take
// out at most half of the ready replicas, which bounds the harm that a faulty peer does. Always true before
// the first list.
bool DrainTracker::may_exclude_another(Time now) const {
  if (!list_is_fresh(now)) return true;
  const auto excluded =
      static_cast<std::size_t>(std::count_if(peer_reports_.begin(), peer_reports_.end(),
                                             [](const auto& report) { return report.second.in_effect; }));
  return 2 * (excluded + 1) <= listed_.size();
}

bool DrainTracker::list_is_fresh(Time now) const {
  return list_received_at_ && now - *list_received_at_ < kMaxFreshListAge;
}

Time DrainTracker::report_lifetime() const {
  return static_cast<Time>(kReportLifetimeFactor * static_cast<double>(settings_.max_poll_interval));
}

void DrainTracker::on_timer(Time now, std::uint32_t token) {
  if (token != kTimerToken) return DeciderDecorator::on_timer(now, token);
  send_due_reports(now);
  expire_reports(now);
  apply_held_back_reports(now);
}

// Removes and returns the reports that are due, as many as fit into one message. Reports that are to be
// repeated remain pending.
std::vector<DrainReport> DrainTracker::take_due_reports(Time now) {
  std::vector<DrainReport> due;
  for (auto at = pending_reports_.begin(); at != pending_reports_.end() && due.size() < kMaxDrainReports;) {
    PendingReport& pending = at->second;
    if (pending.send_at > now) {
      ++at;
      continue;
    }
    due.push_back({.replica = at->first, .start_stamp = pending.start_stamp});
    observe(ReportOutcome::sent, at->first);
    pending.send_at = now + kRepeatInterval;
    at = pending.remaining_repeats-- > 0 ? std::next(at) : pending_reports_.erase(at);
  }
  return due;
}

void DrainTracker::send_due_reports(Time now) {
  const std::vector<DrainReport> due = take_due_reports(now);
  if (due.empty()) return;
  tracker_actions_.push_back(
      {.kind = ActionKind::message_peer, .token = Gossip::kAllPeers, .message = encode_drain_message(due)});
  if (pending_reports_.empty()) return;
  const auto next =
      std::min_element(pending_reports_.begin(), pending_reports_.end(),
                       [](const auto& a, const auto& b) { return a.second.send_at < b.second.send_at; });
  set_timer(next->second.send_at);
}

// Ends the reports that the local list has not confirmed in time. Their replicas are ready again.
void DrainTracker::expire_reports(Time now) {
  for (auto at = peer_reports_.begin(); at != peer_reports_.end();) {
    if (at->second.expires_at <= now && may_be_extended(now, at->second)) {
      at->second.expires_at = at->second.received_at + 2 * report_lifetime();
      set_timer(at->second.expires_at);
    }
    if (at->second.expires_at > now) {
      ++at;
      continue;
    }
    observe(ReportOutcome::expired, at->first);
    const auto listed = listed_.find(at->first);
    const bool was_in_effect = at->second.in_effect;
    at = peer_reports_.erase(at);
    if (was_in_effect && listed != listed_.end())
      DeciderDecorator::on_endpoints(now, EndpointUpdate::delta, {&listed->second, 1});
  }
}

// Returns whether the report's lifetime doubles, because no list that could have confirmed or refuted the
// report has arrived from discovery since.
bool DrainTracker::may_be_extended(Time now, const PeerReport& report) const {
  const bool list_is_older = !list_received_at_ || *list_received_at_ <= report.received_at;
  return list_is_older && now < report.received_at + 2 * report_lifetime();
}

void DrainTracker::set_timer(Time when) {
  tracker_actions_.push_back({.kind = ActionKind::set_timer, .time = when, .token = kTimerToken});
}

std::vector<Action> DrainTracker::take_actions() {
  auto actions = DeciderDecorator::take_actions();
  std::move(tracker_actions_.begin(), tracker_actions_.end(), std::back_inserter(actions));
  tracker_actions_.clear();
  return actions;
}

}  // namespace thornwick::core

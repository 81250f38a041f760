#include "core/drain_tracker.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gossip/gossip.hpp"
#include "random/hashing.hpp"

namespace thornwick::core {
namespace {

// The token of this decorator's timer; those of the routing policy count from 0.
constexpr std::uint32_t kTimerToken = 0xfffffff1;

}  // namespace

DrainTracker::DrainTracker(std::unique_ptr<Decider> inner, const Settings& settings, Observer observer)
    : DeciderDecorator(std::move(inner)),
      settings_(settings),
      observer_(std::move(observer)),
      random_(mix(settings.seed ^ kTimerToken)) {}

void DrainTracker::observe(ReportFate fate, ReplicaId replica) const {
  if (observer_) observer_(fate, replica);
}

Time DrainTracker::max_delay() const {
  return std::min<Time>(kMaxDelay, kDelayPerRouter * settings_.group_size);
}

// ---------------------------------------------------------------- the router's own list

void DrainTracker::on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) {
  if (scope == EndpointUpdate::failed) return DeciderDecorator::on_endpoints(now, scope, entries);
  // A list from before the start of this process holds no news.
  const Reporting reporting = scope == EndpointUpdate::cached ? Reporting::off : Reporting::on;
  if (scope != EndpointUpdate::delta) remove_unlisted(now, entries, reporting);
  std::vector<Endpoint> reported;
  for (const Endpoint& entry : entries) {
    update_listed(now, entry, reporting);
    reported.push_back(with_reported_state(entry));
  }
  std::erase_if(reported_until_, [&](const auto& report) { return !listed_.contains(report.first); });
  DeciderDecorator::on_endpoints(now, scope, reported);
}

// A whole list replaces the one before. Replicas that it does not name are gone; the others stay known as they
// were, so that update_listed() sees what has changed.
void DrainTracker::remove_unlisted(Time now, std::span<const Endpoint> entries, Reporting reporting) {
  auto unlisted = listed_;
  for (const Endpoint& entry : entries) unlisted.erase(entry.id);
  for (const auto& [id, replica] : unlisted) {
    listed_.erase(id);
    if (reporting == Reporting::on) schedule_report(now, replica);
  }
}

void DrainTracker::update_listed(Time now, const Endpoint& entry, Reporting reporting) {
  const auto listed = listed_.find(entry.id);
  const bool was_ready = listed != listed_.end();
  if (entry.state == EndpointState::ready) {
    // Peers have reported another start than this one.
    if (was_ready && listed->second.started != entry.started) reported_until_.erase(entry.id);
    listed_[entry.id] = entry;
  } else if (was_ready) {
    if (reporting == Reporting::on) schedule_report(now, listed->second);
    listed_.erase(listed);
  }
}

Endpoint DrainTracker::with_reported_state(const Endpoint& entry) const {
  Endpoint reported = entry;
  if (entry.state == EndpointState::ready && reported_until_.contains(entry.id))
    reported.state = EndpointState::draining;
  return reported;
}

// What a peer has reported already is not reported again.
void DrainTracker::schedule_report(Time now, const Endpoint& replica) {
  if (reported_until_.erase(replica.id) > 0 || pending_reports_.size() >= kMaxKeptReports) return;
  random_ = mix(random_);
  const Time send_at = now + static_cast<Time>(unit(random_) * static_cast<double>(max_delay()));
  pending_reports_[replica.id] = {.start = start_stamp(replica), .send_at = send_at};
  set_timer(send_at);
}

// ---------------------------------------------------------------- peers' reports

void DrainTracker::on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) {
  if (!is_drain_message(message)) return DeciderDecorator::on_peer_message(now, peer, message);
  if (peer == settings_.rank) return;
  const auto reports = decode_drain_message(message);
  if (!reports) {
    ++unreadable_;
    return;
  }
  for (const DrainReport& report : *reports) apply_report(now, report);
}

void DrainTracker::apply_report(Time now, const DrainReport& report) {
  const auto pending = pending_reports_.find(report.replica);
  if (pending != pending_reports_.end() && pending->second.start == report.start)
    pending_reports_.erase(pending);
  if (reported_until_.contains(report.replica)) return;
  if (!is_listed(report)) return observe(ReportFate::unlisted, report.replica);
  if (!within_limit()) return observe(ReportFate::over_limit, report.replica);
  observe(ReportFate::accepted, report.replica);
  const double lifetime = kReportLifetimeFactor * static_cast<double>(settings_.max_poll_interval);
  const Time until = now + static_cast<Time>(lifetime);
  reported_until_[report.replica] = until;
  const Endpoint entry = with_reported_state(listed_.at(report.replica));
  DeciderDecorator::on_endpoints(now, EndpointUpdate::delta, {&entry, 1});
  set_timer(until);
}

bool DrainTracker::is_listed(const DrainReport& report) const {
  const auto listed = listed_.find(report.replica);
  return listed != listed_.end() && start_stamp(listed->second) == report.start;
}

// A faulty peer can take out half of the ready replicas at the most.
bool DrainTracker::within_limit() const {
  const std::size_t reported = reported_until_.size() + 1;
  return 2 * reported <= listed_.size() && reported <= kMaxKeptReports;
}

// ---------------------------------------------------------------- timers

void DrainTracker::on_timer(Time now, std::uint32_t token) {
  if (token != kTimerToken) return DeciderDecorator::on_timer(now, token);
  send_due_reports(now);
  expire_reports(now);
}

void DrainTracker::send_due_reports(Time now) {
  std::vector<DrainReport> due;
  for (auto at = pending_reports_.begin(); at != pending_reports_.end() && due.size() < kMaxDrainReports;) {
    if (at->second.send_at > now) {
      ++at;
      continue;
    }
    due.push_back({.replica = at->first, .start = at->second.start});
    observe(ReportFate::sent, at->first);
    at = pending_reports_.erase(at);
  }
  if (due.empty()) return;
  own_actions_.push_back(
      {.kind = ActionKind::message_peer, .token = Gossip::kAll, .message = encode_drain_message(due)});
  if (!pending_reports_.empty()) set_timer(now + max_delay());
}

// What the router's own list has not confirmed in time is ready again.
void DrainTracker::expire_reports(Time now) {
  for (auto at = reported_until_.begin(); at != reported_until_.end();) {
    if (at->second > now) {
      ++at;
      continue;
    }
    observe(ReportFate::expired, at->first);
    const auto listed = listed_.find(at->first);
    at = reported_until_.erase(at);
    if (listed != listed_.end())
      DeciderDecorator::on_endpoints(now, EndpointUpdate::delta, {&listed->second, 1});
  }
}

void DrainTracker::set_timer(Time when) {
  own_actions_.push_back({.kind = ActionKind::set_timer, .time = when, .token = kTimerToken});
}

std::vector<Action> DrainTracker::take_actions() {
  auto actions = DeciderDecorator::take_actions();
  std::move(own_actions_.begin(), own_actions_.end(), std::back_inserter(actions));
  own_actions_.clear();
  return actions;
}

}  // namespace thornwick::core

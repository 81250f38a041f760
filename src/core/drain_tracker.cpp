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

// Compares starts modulo 2^32 milliseconds; 0 stands for a start long ago.
bool is_earlier(std::uint32_t start, std::uint32_t other) {
  if (start == other || other == 0) return false;
  return start == 0 || static_cast<std::int32_t>(start - other) < 0;
}

}  // namespace

DrainTracker::DrainTracker(std::unique_ptr<Decider> inner, const Settings& settings, Observer observer)
    : DeciderDecorator(std::move(inner)),
      settings_(settings),
      observer_(std::move(observer)),
      random_(mix(settings.seed ^ kTimerToken)) {}

void DrainTracker::observe(ReportOutcome fate, ReplicaId replica) const {
  if (observer_) observer_(fate, replica);
}

Time DrainTracker::max_delay() const {
  return std::min<Time>(kMaxDelay, kDelayPerRouter * settings_.group_size);
}

// ---------------------------------------------------------------- the router's own list

void DrainTracker::on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) {
  if (scope == EndpointUpdate::failed) return DeciderDecorator::on_endpoints(now, scope, entries);
  // A list from before the start of this process is not reported, as its drains may be long over.
  const Reporting reporting = scope == EndpointUpdate::cached ? Reporting::off : Reporting::on;
  if (scope != EndpointUpdate::cached) list_received_ = now;
  if (scope != EndpointUpdate::delta) remove_unlisted(now, entries, reporting);
  std::vector<Endpoint> reported;
  for (const Endpoint& entry : entries) {
    update_listed(now, entry, reporting);
    reported.push_back(with_reported_state(entry));
  }
  std::erase_if(peer_reports_, [&](const auto& report) { return !listed_.contains(report.first); });
  DeciderDecorator::on_endpoints(now, scope, reported);
  review_held_back(now);  // there may be more ready replicas than before
}

// Removes the replicas that a whole list does not have: they are gone. The others keep their state, so that
// update_listed() sees what has changed.
void DrainTracker::remove_unlisted(Time now, std::span<const Endpoint> entries, Reporting reporting) {
  auto unlisted = listed_;
  auto draining = std::exchange(draining_, {});
  for (const Endpoint& entry : entries) {
    unlisted.erase(entry.id);
    if (auto kept = draining.extract(entry.id)) draining_.insert(std::move(kept));
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
  if (report != peer_reports_.end() && is_earlier(report->second.start, start_stamp(entry)))
    peer_reports_.erase(report);
  listed_[entry.id] = entry;
  draining_.erase(entry.id);
  pending_reports_.erase(entry.id);  // the drain is over
}

void DrainTracker::update_not_ready(Time now, const Endpoint& entry, Reporting reporting) {
  const auto listed = listed_.find(entry.id);
  if (reporting == Reporting::on && is_unreported_drain(entry))
    schedule_report(now, listed == listed_.end() ? entry : listed->second);
  listed_.erase(entry.id);
  if (entry.state == EndpointState::draining) {
    draining_[entry.id] = start_stamp(entry);
  } else {
    draining_.erase(entry.id);
  }
}

// Whether the drain has to be reported, because peers may not know of it yet.
bool DrainTracker::is_unreported_drain(const Endpoint& entry) const {
  if (listed_.contains(entry.id)) return true;
  if (!is_small_group() || entry.state != EndpointState::draining) return false;
  const auto known = draining_.find(entry.id);
  return known == draining_.end() || known->second != start_stamp(entry);
}

Endpoint DrainTracker::with_reported_state(const Endpoint& entry) const {
  Endpoint reported = entry;
  if (entry.state == EndpointState::ready && is_reported(entry.id)) reported.state = EndpointState::draining;
  return reported;
}

bool DrainTracker::is_reported(ReplicaId replica) const {
  const auto report = peer_reports_.find(replica);
  return report != peer_reports_.end() && report->second.in_force;
}

// Schedules a report to the peers, unless a peer has reported the same drain already.
void DrainTracker::schedule_report(Time now, const Endpoint& replica) {
  if (peer_reports_.erase(replica.id) > 0 || pending_reports_.size() >= kMaxKeptReports) return;
  random_ = mix(random_);
  const Time send_at = now + static_cast<Time>(unit_interval(random_) * static_cast<double>(max_delay()));
  pending_reports_[replica.id] = {
      .start = start_stamp(replica), .send_at = send_at, .repeats_left = is_small_group() ? kRepeats : 0};
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
  for (const DrainReport& report : *reports) accept_report(now, report);
}

void DrainTracker::accept_report(Time now, const DrainReport& report) {
  const auto pending = pending_reports_.find(report.replica);
  if (pending != pending_reports_.end() && pending->second.start == report.start)
    pending_reports_.erase(pending);
  const auto known = peer_reports_.find(report.replica);
  if (known != peer_reports_.end() && !is_earlier(known->second.start, report.start)) return;
  if (!is_listed(report)) return observe(ReportOutcome::unlisted, report.replica);
  if (known == peer_reports_.end() && peer_reports_.size() >= kMaxKeptReports) return;
  const bool was_in_force = known != peer_reports_.end() && known->second.in_force;
  PeerReport& kept = peer_reports_[report.replica];
  kept = {.start = report.start, .received = now, .until = now + lifetime()};
  set_timer(kept.until);
  if (was_in_force || may_take_out_another(now)) return put_in_force(now, report.replica, kept);
  observe(ReportOutcome::held_back, report.replica);
  set_timer(*list_received_ + kListIsRenewedFor);
}

void DrainTracker::put_in_force(Time now, ReplicaId replica, PeerReport& report) {
  report.in_force = true;
  observe(ReportOutcome::accepted, replica);
  const Endpoint entry = with_reported_state(listed_.at(replica));
  DeciderDecorator::on_endpoints(now, EndpointUpdate::delta, {&entry, 1});
}

// Puts reports that were held back in force where that is allowed by now. Where it is not, sets a timer for
// the moment at which the own list would cease to be renewed.
void DrainTracker::review_held_back(Time now) {
  for (auto& [replica, report] : peer_reports_) {
    if (report.in_force) continue;
    if (!may_take_out_another(now)) return set_timer(*list_received_ + kListIsRenewedFor);
    put_in_force(now, replica, report);
  }
}

// Whether the own list has the replica as ready with the start that the report is about, or with an earlier
// one: that start has ended before the reported one began.
bool DrainTracker::is_listed(const DrainReport& report) const {
  const auto listed = listed_.find(report.replica);
  return listed != listed_.end() && !is_earlier(report.start, start_stamp(listed->second));
}

// Whether one more report may take a replica out of use. While discovery renews the own list, reports take
// out at most half of the ready replicas, which bounds the harm that a faulty peer does. Never false before
// the first list.
bool DrainTracker::may_take_out_another(Time now) const {
  if (!list_is_renewed(now)) return true;
  const auto out = static_cast<std::size_t>(std::count_if(
      peer_reports_.begin(), peer_reports_.end(), [](const auto& report) { return report.second.in_force; }));
  return 2 * (out + 1) <= listed_.size();
}

bool DrainTracker::list_is_renewed(Time now) const {
  return list_received_ && now - *list_received_ < kListIsRenewedFor;
}

Time DrainTracker::lifetime() const {
  return static_cast<Time>(kReportLifetimeFactor * static_cast<double>(settings_.max_poll_interval));
}

// ---------------------------------------------------------------- timers

void DrainTracker::on_timer(Time now, std::uint32_t token) {
  if (token != kTimerToken) return DeciderDecorator::on_timer(now, token);
  send_due_reports(now);
  expire_reports(now);
  review_held_back(now);
}

// Takes the due reports, as many as fit into one message. Reports that are to be repeated remain pending.
std::vector<DrainReport> DrainTracker::take_due_reports(Time now) {
  std::vector<DrainReport> due;
  for (auto at = pending_reports_.begin(); at != pending_reports_.end() && due.size() < kMaxDrainReports;) {
    PendingReport& pending = at->second;
    if (pending.send_at > now) {
      ++at;
      continue;
    }
    due.push_back({.replica = at->first, .start = pending.start});
    observe(ReportOutcome::sent, at->first);
    pending.send_at = now + kRepeatAfter;
    at = pending.repeats_left-- > 0 ? std::next(at) : pending_reports_.erase(at);
  }
  return due;
}

void DrainTracker::send_due_reports(Time now) {
  const std::vector<DrainReport> due = take_due_reports(now);
  if (due.empty()) return;
  own_actions_.push_back(
      {.kind = ActionKind::message_peer, .token = Gossip::kAllPeers, .message = encode_drain_message(due)});
  if (pending_reports_.empty()) return;
  const auto next =
      std::min_element(pending_reports_.begin(), pending_reports_.end(),
                       [](const auto& a, const auto& b) { return a.second.send_at < b.second.send_at; });
  set_timer(next->second.send_at);
}

// Ends the reports that the router's own list has not confirmed in time; their replicas are ready again.
void DrainTracker::expire_reports(Time now) {
  for (auto at = peer_reports_.begin(); at != peer_reports_.end();) {
    if (at->second.until <= now && may_hold_longer(now, at->second)) {
      at->second.until = at->second.received + 2 * lifetime();
      set_timer(at->second.until);
    }
    if (at->second.until > now) {
      ++at;
      continue;
    }
    observe(ReportOutcome::expired, at->first);
    const auto listed = listed_.find(at->first);
    const bool was_in_force = at->second.in_force;
    at = peer_reports_.erase(at);
    if (was_in_force && listed != listed_.end())
      DeciderDecorator::on_endpoints(now, EndpointUpdate::delta, {&listed->second, 1});
  }
}

// Whether the report's lifetime doubles, because no list has arrived from discovery since that could have
// confirmed or refuted it.
bool DrainTracker::may_hold_longer(Time now, const PeerReport& report) const {
  const bool list_is_older = !list_received_ || *list_received_ <= report.received;
  return list_is_older && now < report.received + 2 * lifetime();
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

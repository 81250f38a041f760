// Shares drains among the routers of a group: every router learns that a replica drains or has been removed
// as soon as one of them does, even if its own subscription to discovery fails. Decorates the decider; does
// no I/O.
//
// In this file the local list is the endpoint list that this router has from discovery.
//
// Guarantees:
// - A peer's report takes a replica out of use and never brings one into use.
// - While the local list is fresh, reports take out at most half of the ready replicas, which bounds the harm
//   that a faulty peer does. Further reports are held back. They take effect once no list has arrived for
//   kMaxFreshListAge, because the peers are then the only source.
// - A report is about one start of the replica and also holds for earlier starts. It ends when the local list
//   confirms it or has a later start.
// - A report that the local list does not confirm ends after kReportLifetimeFactor x max_poll_interval, or
//   after twice that time if no list has arrived from discovery since: a list that is not renewed does not
//   refute a peer.
// - A message that is truncated, too long or of another version changes nothing and is counted.
//
// A router that learns of a drain from discovery waits for a random part of max_delay() before it reports the
// drain, and drops its report if a peer's report arrives first. The number of messages about a drain
// therefore depends on the time that a message takes, and not on the number of routers that learned of the
// drain at once. In a group of up to kMaxSmallGroup routers, where few learn of a drain and each message is
// cheap, the sender repeats its report kRepeats times. There a router also reports drains of replicas that it
// has never known as ready, because it may be the first router of the group to receive them.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "core/decider.hpp"
#include "core/drain_message.hpp"

namespace thornwick::core {

// Not thread-safe, like every decider.
class DrainTracker final : public DeciderDecorator {
 public:
  // The random delay of a report is at most kDelayPerRouter times the number of routers in the group, and at
  // most kMaxDelay.
  static constexpr Time kDelayPerRouter = milliseconds(2);
  static constexpr Time kMaxDelay = milliseconds(400);
  // A report's lifetime as a multiple of max_poll_interval: the longest pause between two calls of discovery
  // in a large group.
  static constexpr double kReportLifetimeFactor = 2.4;
  // The largest number of routers with which reports are repeated.
  static constexpr std::uint32_t kMaxSmallGroup = 40;
  // How often a report is repeated, because a datagram may be lost, and the time between repeats. All repeats
  // are sent before the protocol regards routers as informed.
  static constexpr int kRepeats = 2;
  static constexpr Time kRepeatInterval = seconds(1);
  // The age up to which the local list is fresh: the protocol regards every router as informed this long
  // after a change. An older list does not refute a peer.
  static constexpr Time kMaxFreshListAge = seconds(6);
  // The maximum number of stored reports of peers, and of stored reports that are to be sent.
  static constexpr std::size_t kMaxStoredReports = 1024;

  // What became of a report, for the log.
  enum class ReportOutcome {
    sent,       // this router's report went to all peers
    accepted,   // a peer's report takes its replica out of use
    unlisted,   // a peer's report is ignored: the local list does not have this start of the replica as ready
    held_back,  // a peer's report waits, because reports have taken out too many replicas already
    expired     // the local list did not confirm a peer's report, and the replica is ready again
  };
  // Called for each report, during the event that carried the report or made it due. Must not call the
  // tracker.
  using Observer = std::function<void(ReportOutcome fate, ReplicaId replica)>;

  // `observer` may be empty.
  DrainTracker(std::unique_ptr<Decider> inner, const Settings& settings, Observer observer = {});

  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) override;
  void on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) override;
  void on_timer(Time now, std::uint32_t token) override;
  std::vector<Action> take_actions() override;

  // Returns whether a peer's report takes this replica out of use now. An attempt that was launched but not
  // written yet must then not be written.
  bool is_reported(ReplicaId replica) const;
  // Returns how many drain messages of peers could not be decoded.
  std::uint64_t undecodable_messages() const { return undecodable_messages_; }

 private:
  // A drain that this router has learned of itself and has to report.
  struct PendingReport {
    std::uint32_t start_stamp = 0;
    Time send_at = 0;
    int remaining_repeats = 0;
  };
  // A drain that a peer has reported.
  struct PeerReport {
    std::uint32_t start_stamp = 0;
    Time received_at = 0;
    Time expires_at = 0;
    bool in_effect = false;  // false: the report is held back
  };

  // Whether a change of the list is reported to the peers.
  enum class Reporting { off, on };

  Time max_delay() const;
  void remove_unlisted(Time now, std::span<const Endpoint> entries, Reporting reporting);
  void update_listed(Time now, const Endpoint& entry, Reporting reporting);
  void update_ready(const Endpoint& entry);
  void update_not_ready(Time now, const Endpoint& entry, Reporting reporting);
  bool is_unreported_drain(const Endpoint& entry) const;
  void schedule_report(Time now, const Endpoint& replica);
  void accept_report(Time now, const DrainReport& report);
  void apply_report(Time now, ReplicaId replica, PeerReport& report);
  void apply_held_back_reports(Time now);
  bool is_listed(const DrainReport& report) const;
  bool may_exclude_another(Time now) const;
  bool list_is_fresh(Time now) const;
  Time report_lifetime() const;
  bool is_small_group() const { return settings_.group_size <= kMaxSmallGroup; }
  void observe(ReportOutcome fate, ReplicaId replica) const;
  Endpoint with_reported_state(const Endpoint& entry) const;
  std::vector<DrainReport> take_due_reports(Time now);
  void send_due_reports(Time now);
  bool may_be_extended(Time now, const PeerReport& report) const;
  void expire_reports(Time now);
  void set_timer(Time when);

  Settings settings_;
  Observer observer_;
  std::uint64_t random_state_;
  std::map<ReplicaId, Endpoint> listed_;  // the ready replicas of the local list
  std::map<ReplicaId, std::uint32_t>
      draining_starts_;                           // start stamps of the draining replicas of the local list
  std::map<ReplicaId, PeerReport> peer_reports_;  // about replicas in `listed_`
  std::map<ReplicaId, PendingReport> pending_reports_;  // reports to be sent, or sent again
  std::optional<Time> list_received_at_;                // when the latest list arrived from discovery
  std::vector<Action> tracker_actions_;  // actions of the tracker itself, besides those of the inner decider
  std::uint64_t undecodable_messages_ = 0;
};

}  // namespace thornwick::core

// Reports drains among the routers of a group: each router learns that a replica drains or is gone as soon as
// one of them does, whatever became of its own subscription to discovery. Decorates the decider; no I/O.
//
// Guarantees: a peer's report only ever takes a replica out and never brings one in. While discovery renews
// the own list, reports take out half of the ready replicas at the most, so that a faulty peer does limited
// harm; further ones are held back. Once no list has come for kListIsRenewedFor those hold as well: peers are
// then the only ones that know. A report is about one start of the replica and holds for earlier ones, too;
// it ends when the own list says the same or names a later start. Without that it ends after
// kReportLifetimeFactor x max_poll_interval, or after twice that time if no list has come from discovery
// meanwhile: a list that is not renewed does not refute a peer. A message that is cut, too long or of another
// version changes nothing and is counted.
//
// A router that learns of a drain waits for a random part of max_delay() before it reports it, and does not
// report what it has heard from a peer meanwhile. The number of reports of a drain therefore depends on how
// long a message takes, not on the number of routers that learned of it at the same moment. In a group of up
// to kMaxSmallGroup routers, where few learn of a drain and each message is cheap, the sender repeats its
// report kRepeats times, and a router also reports drains of replicas that it has never known as ready: its
// own list may be the first that any router has for a while.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "core/decider.hpp"
#include "core/drain_message.hpp"

namespace thornwick::core {

class DrainTracker final : public DeciderDecorator {
 public:
  // The random delay of a report, in microseconds: at most this much for each router, and in all.
  static constexpr Time kDelayPerRouter = milliseconds(2);
  static constexpr Time kMaxDelay = milliseconds(400);
  // In max_poll_interval: the longest pause of a large group between two calls of discovery.
  static constexpr double kReportLifetimeFactor = 2.4;
  // Routers; above it reports are not repeated.
  static constexpr std::uint32_t kMaxSmallGroup = 40;
  // Further messages about a drain, and the time between them: all within the time after which the protocol
  // takes routers to be informed. A datagram may be lost.
  static constexpr int kRepeats = 2;
  static constexpr Time kRepeatAfter = seconds(1);
  // The protocol's time from a change to the moment at which every router counts as informed. An own list
  // that is older does not refute a peer.
  static constexpr Time kListIsRenewedFor = seconds(6);
  // Bounds the memory: reports that are kept, from peers and for them.
  static constexpr std::size_t kMaxKeptReports = 1024;

  // What became of a report, for the log.
  enum class ReportFate {
    sent,       // to all peers
    accepted,   // a peer's: the replica is out
    unlisted,   // a peer's: the own list does not have this start of the replica as ready
    held_back,  // a peer's: too many replicas are out by reports already
    expired     // the own list has not confirmed it: the replica is ready again
  };
  // Called for each report, within the event that it came with. Must not call back.
  using Observer = std::function<void(ReportFate fate, ReplicaId replica)>;

  // `observer` may be empty.
  DrainTracker(std::unique_ptr<Decider> inner, const Settings& settings, Observer observer = {});

  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) override;
  void on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) override;
  void on_timer(Time now, std::uint32_t token) override;
  std::vector<Action> take_actions() override;

  // Whether a peer's report takes this replica out now. What is not sent yet may not be sent either.
  bool is_reported(ReplicaId replica) const;
  // Drain messages of peers that could not be decoded.
  std::uint64_t unreadable() const { return unreadable_; }

 private:
  // A drain that this router has learned of itself and has to report.
  struct PendingReport {
    std::uint32_t start = 0;
    Time send_at = 0;
    int repeats_left = 0;
  };
  // A drain that a peer has reported.
  struct PeerReport {
    std::uint32_t start = 0;
    Time received = 0;
    Time until = 0;
    bool in_force = false;  // false: it is held back
  };

  // Whether a change of the list is reported to the peers.
  enum class Reporting { off, on };

  Time max_delay() const;
  void remove_unlisted(Time now, std::span<const Endpoint> entries, Reporting reporting);
  void update_listed(Time now, const Endpoint& entry, Reporting reporting);
  void update_ready(const Endpoint& entry);
  void update_not_ready(Time now, const Endpoint& entry, Reporting reporting);
  bool is_news(const Endpoint& entry) const;
  void schedule_report(Time now, const Endpoint& replica);
  void accept_report(Time now, const DrainReport& report);
  void put_in_force(Time now, ReplicaId replica, PeerReport& report);
  void review_held_back(Time now);
  bool is_listed(const DrainReport& report) const;
  bool may_take_out_another(Time now) const;
  bool list_is_renewed(Time now) const;
  Time lifetime() const;
  bool is_small_group() const { return settings_.group_size <= kMaxSmallGroup; }
  void observe(ReportFate fate, ReplicaId replica) const;
  Endpoint with_reported_state(const Endpoint& entry) const;
  std::vector<DrainReport> take_due_reports(Time now);
  void send_due_reports(Time now);
  bool may_hold_longer(Time now, const PeerReport& report) const;
  void expire_reports(Time now);
  void set_timer(Time when);

  Settings settings_;
  Observer observer_;
  std::uint64_t random_;
  std::map<ReplicaId, Endpoint> listed_;                // the ready replicas of the router's own list
  std::map<ReplicaId, std::uint32_t> draining_;         // starts of its draining replicas
  std::map<ReplicaId, PeerReport> peer_reports_;        // about replicas in `listed_`
  std::map<ReplicaId, PendingReport> pending_reports_;  // to be sent, or sent again
  std::optional<Time> list_received_;                   // the latest list of discovery
  std::vector<Action> own_actions_;                     // besides those of the inner decider
  std::uint64_t unreadable_ = 0;
};

}  // namespace thornwick::core

// This router's share of the group's limits: the client draws leases from the ledgers ahead of need, lets
// requests use them without a message, reports the use, and gives back quota that it no longer needs.
//
// Guarantees: without an overdraft (strict) the client lets nothing beyond its leases be used, and nothing at
// all once they have expired by its own clock. With an `overdraft` it goes on, up to that part of each limit,
// while no majority of a ledger's replicas responds, and reports the use when one does.
//
// Sources: quota_lease_client.cpp (accounts, and events), quota_lease_channel.cpp (lease requests to a ledger
// and their responses). No I/O and no clock of its own; all calls on one thread; times are microseconds.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "budgets/quota_store.hpp"
#include "replication/log_sink.hpp"
#include "replication/message.hpp"
#include "replication/operator_requests.hpp"
#include "replication/replica_placement.hpp"

namespace thornwick::replication {

struct QuotaLeaseOptions {
  std::size_t self = 0;  // this router, in the roster
  std::size_t ledger_count = 1;
  std::size_t replica_count = 3;  // replicas of a ledger
  std::shared_ptr<const membership::Roster> roster;
  std::uint32_t instance_id = 1;        // drawn by this process
  double max_prefetch_fraction = 0.02;  // part of a limit that is leased ahead of need at most
  Time lease_duration = seconds(6);     // duration, from the sending of the request
  double max_clock_drift = 0.02;        // by how much two clocks' rates may differ, as a part
  Time response_timeout = seconds(1);   // for a lease request
  double overdraft_fraction = 0;        // part of each limit; 0: strict
  bool use_expired_leases = false;      // a seeded fault that the tests have to find; for tests only
};

// Counters since the start.
struct QuotaLeaseCounters {
  std::uint64_t requests = 0;          // lease requests sent
  std::uint64_t responses = 0;         // lease requests that were granted or refused by a leader
  std::uint64_t rejections = 0;        // lease requests that the receiver did not accept
  std::uint64_t timeouts = 0;          // lease requests without a response in time
  std::uint64_t insufficient = 0;      // reservations for which the lease had too little quota
  std::uint64_t overdrawn = 0;         // reservations beyond the leases
  std::uint64_t new_sessions = 0;      // sessions begun after the first one of a ledger
  std::uint64_t clock_rejections = 0;  // rejections because this router's clock is far ahead
};

class QuotaLeaseClient final : public budgets::QuotaStore {
 public:
  struct Dependencies {
    std::function<void(std::size_t member, std::string envelope)> send;
    LogSink write_log;
  };
  QuotaLeaseClient(QuotaLeaseOptions options, Dependencies dependencies, Time now);

  AccountIndex open(const std::string& key, const budgets::LimitRule& rule) override;
  void change(AccountIndex place, const budgets::LimitRule& rule) override;
  bool reserve(AccountIndex place, Units units, Time wall) override;
  void settle(AccountIndex place, Units reserved, Units used, Time at, Time wall) override;
  QuotaStatus quota_status(AccountIndex place, Units wanted, Time wall) override;

  void tick(Time now);
  // When the next tick() is due.
  Time next_tick() const { return next_; }
  // Handles a ledger's response. Ignores other messages.
  void on_message(Time now, std::size_t member, std::size_t ledger, MessageKind kind, std::string_view body);
  // Reports all use and gives all leases back, with one message per ledger, before the process ends.
  void leave(Time now);
  // Whether each ledger has responded to the message of leave().
  bool has_left() const;

  // Pass an operator's request on to the ledgers. `done` is called once. A replacement is accepted when every
  // ledger has accepted it.
  void correct(Time now, const Correction& correction, OperatorRequests::Done done);
  void replace(Time now, const Replacement& replacement, OperatorRequests::Done done);
  // Key, rule and current window of an account, for a correction. None if this router has no such account.
  std::optional<LeaseRequestLine> describe_account(const std::string& key, Time wall) const;

  // Whether a majority of the ledger's replicas responds.
  bool has_majority(std::size_t ledger) const { return channels_.at(ledger).has_majority; }
  std::size_t ledger_count() const { return channels_.size(); }
  // Routers with a replica of the ledger, as far as this router knows.
  const std::vector<std::size_t>& replica_routers(std::size_t ledger) const {
    return channels_.at(ledger).replica_routers;
  }
  const QuotaLeaseCounters& metrics() const { return metrics_; }

  // One window of one account, for operators.
  struct WindowStatus {
    std::string key;
    std::int64_t window = 0;
    Units limit = 0;
    Units available = 0;
    Units unreserved = 0;
    Units used = 0;
    Units reserved = 0;
  };
  std::vector<WindowStatus> window_statuses() const;

 private:
  static constexpr Time kMinRequestInterval = milliseconds(20);  // between two requests to one ledger

  // The lease of one window of one account; sums since the session began.
  struct HeldLease {
    Units granted = 0;  // never more than in the ledger: quota given back leaves here as it is sent
    Units used = 0;
    Units reserved = 0;
    Units available = 0;  // in the ledger, by its latest response
    Units reported = 0;   // part of `used` that the ledger has confirmed
    Units reporting = 0;  // part of `used` in the request in flight
    bool known = false;   // a response has come
    Time requested_at = 0;
    // Quota that reservations may still use.
    Units unreserved() const { return granted - used - reserved; }
  };
  // One account, and its leases of all windows in use.
  struct Account {
    std::string key;
    budgets::LimitRule rule;
    std::size_t ledger = 0;
    std::map<std::int64_t, HeldLease> leases;  // by window, three at most
    Units typical_request = 0;                 // the largest recent one, decaying
    Units used_since_request = 0;
    Units need = 0;        // of a client's request for which there was too little quota
    Time reserved_at = 0;  // latest attempt of a reservation
    double overdrawn = 0;
    bool is_changed = true;  // has use to report, or quota to request
  };
  struct RequestedWindow {
    AccountIndex place = 0;
    std::int64_t window = 0;
  };
  // This router's session with one ledger.
  struct Channel {
    std::uint64_t number = 0;       // of the latest request
    std::uint32_t instance_id = 0;  // of the session
    bool is_waiting = false;        // for a lease request
    bool has_majority = false;
    bool is_urgent = false;  // the next request is sent right after the response
    bool is_new = true;      // the session has no response yet
    bool has_left = false;   // the ledger has responded to the message of leave()
    Time sent_at = 0;
    Time lease_until = 0;
    Time due_at = 0;  // when the next request is due, or the current one times out
    std::vector<RequestedWindow> requested_windows;  // of the request in flight, in its order
    std::size_t target = 0;  // counter; modulo the size of `replica_routers` the receiver of requests
    std::vector<std::size_t> replica_routers;
    std::vector<AccountIndex> accounts;
    std::size_t next_account = 0;  // counter; modulo the number of accounts the first one of the next request
  };
  // When an account's change is sent to the ledger.
  enum class Urgency : std::uint8_t { with_next_request, at_once };

  // Accounts.
  static bool is_bucket_rule(const Account& account) {
    return account.rule.kind == budgets::LimitKind::bucket;
  }
  static std::int64_t window_of(const Account& account, Time wall);
  Units block_of(const Account& account) const;
  Units target_in_hand(const Account& account) const;
  bool is_short(const Account& account, const HeldLease& lease) const;
  bool is_within_lease(const Channel& channel) const;
  bool reserve_overdraft(const Channel& channel, Account& account, HeldLease& lease, Units units);
  void request_update(AccountIndex place, Urgency urgency);
  static LeaseRequestLine describe(const Account& account, std::int64_t window);

  // Lease requests and responses.
  void prepare_windows(Account& account) const;
  bool should_report(const Account& account) const;
  LeaseRequestLine request_line(Account& account, std::int64_t window, HeldLease& lease) const;
  void add_account(AccountIndex place, Channel& channel, LeaseRequest& request);
  void request_leases(std::size_t ledger);
  void send_request(std::size_t ledger, const LeaseRequest& request);
  void on_response(std::size_t ledger, const LeaseResponse& response);
  void renew_lease(std::size_t ledger, Channel& channel);
  void apply_response_line(const RequestedWindow& requested, const LeaseResponseLine& line);
  void on_rejected(std::size_t ledger, const LeaseRejection& rejected);
  void update_replica_routers(Channel& channel, const LeaseRejection& rejected) const;
  void on_timeout(Channel& channel);
  void begin_session(Channel& channel);
  void send_to_replicas(std::size_t ledger, const std::string& envelope);
  void schedule();

  QuotaLeaseOptions options_;
  Dependencies dependencies_;
  Time now_ = 0;
  Time next_ = 0;
  std::deque<Account> accounts_;   // by place
  std::vector<Channel> channels_;  // by ledger
  OperatorRequests operator_requests_;
  bool is_leaving_ = false;
  QuotaLeaseCounters metrics_;
};

}  // namespace thornwick::replication

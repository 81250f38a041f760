// This router's share of the group's limits. The client requests leases from the ledgers ahead of need, lets
// requests use the leases without a message, reports the use, and gives back quota that is no longer needed.
//
// Guarantees: without an overdraft (strict) the client grants nothing beyond its leases, and nothing at all
// once the leases have expired by its clock. With an overdraft the client also grants up to that fraction of
// each limit while no majority of a ledger's replicas responds, and reports the use when a majority responds.
//
// Sources: quota_lease_client.cpp (accounts, and events), quota_lease_channel.cpp (lease requests to a ledger
// and their responses). The client does no I/O and has no clock; all calls are on one thread; times are
// microseconds.
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
  std::size_t self = 0;  // index of this router in the roster
  std::size_t ledger_count = 1;
  std::size_t replica_count = 3;  // replicas of a ledger
  std::shared_ptr<const membership::Roster> roster;
  std::uint32_t instance_id = 1;        // random number of this process
  double max_prefetch_fraction = 0.02;  // fraction of a limit that is leased ahead of need at most
  Time lease_duration = seconds(6);     // counts from the sending of the request
  double max_clock_drift = 0.02;        // difference of two clocks' rates at most, as a fraction
  Time response_timeout = seconds(1);   // of a lease request
  double overdraft_fraction = 0;        // fraction of each limit; 0: strict
  bool use_expired_leases = false;      // a fault that tests switch on
};

// Counters since the start.
struct QuotaLeaseCounters {
  std::uint64_t requests = 0;          // lease requests sent
  std::uint64_t responses = 0;         // lease requests to which a leader responded
  std::uint64_t rejections = 0;        // lease requests that the receiver did not accept
  std::uint64_t timeouts = 0;          // lease requests without a response in time
  std::uint64_t insufficient = 0;      // reservations that the lease could not cover
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
  QuotaStatus quota_status(AccountIndex place, Units requested, Time wall) override;

  void tick(Time now);
  // The time at which the next tick() is due.
  Time next_tick() const { return next_; }
  // Handles a ledger's response. Ignores messages of other kinds, and bodies that cannot be decoded.
  void on_message(Time now, std::size_t member, std::size_t ledger, MessageKind kind, std::string_view body);
  // Reports all use and gives all leases back, with one message per ledger, before the process ends.
  void leave(Time now);
  // Whether each ledger has responded to the message of leave().
  bool has_left() const;

  // Send an operator's request to the ledgers, and call `done` once. A replacement is accepted when every
  // ledger has accepted it.
  void correct(Time now, const Correction& correction, OperatorRequests::Done done);
  void replace(Time now, const Replacement& replacement, OperatorRequests::Done done);
  // Returns key, rule and current window of an account, for a correction. None if this router has no such
  // account.
  std::optional<LeaseRequestLine> describe_account(const std::string& key, Time wall) const;

  // Whether a majority of the ledger's replicas responds.
  bool has_majority(std::size_t ledger) const { return channels_.at(ledger).has_majority; }
  std::size_t ledger_count() const { return channels_.size(); }
  // Routers with a replica of the ledger, as far as this router knows.
  const std::vector<std::size_t>& replica_routers(std::size_t ledger) const {
    return channels_.at(ledger).replica_routers;
  }
  const QuotaLeaseCounters& metrics() const { return metrics_; }

  // The state of one window of one account, for operators.
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
  static constexpr Time kMinRequestInterval = milliseconds(20);  // time between two requests to one ledger

  // The lease of one window of one account. Amounts are sums since the session began.
  struct HeldLease {
    Units granted = 0;  // at most the ledger's value: quota to give back is subtracted when sent
    Units used = 0;
    Units reserved = 0;
    Units available = 0;        // quota in the ledger, from its latest response
    Units reported_use = 0;     // part of `used` that the ledger has confirmed
    Units used_in_flight = 0;   // value of `used` that the latest request reports
    bool has_response = false;  // the ledger has responded for this window
    Time requested_at = 0;
    // Quota that further reservations may use.
    Units unreserved() const { return granted - used - reserved; }
  };
  // One account, and the leases of its windows in use.
  struct Account {
    std::string key;
    budgets::LimitRule rule;
    std::size_t ledger = 0;
    std::map<std::int64_t, HeldLease> leases;  // by window number, three at most
    Units typical_request = 0;                 // largest recent request; decays with each request
    Units used_since_request = 0;
    Units required = 0;    // quota of a client's request that the lease could not cover
    Time reserved_at = 0;  // time of the latest reservation, granted or not
    double overdrawn = 0;
    bool needs_report = true;  // there is use to report, or quota to request
  };
  struct RequestedWindow {
    AccountIndex place = 0;
    std::int64_t window = 0;
  };
  // This router's session with one ledger.
  struct Channel {
    std::uint64_t request_number = 0;  // number of the latest request
    std::uint32_t instance_id = 0;     // instance id of the session
    bool is_waiting = false;           // a lease request is in flight
    bool has_majority = false;
    bool is_urgent = false;  // the next request is sent right after the current response
    bool is_new = true;      // the session has no response yet
    bool has_left = false;   // the ledger has responded to the message of leave()
    Time sent_at = 0;
    Time lease_until = 0;
    Time due_at = 0;  // when the next request is due, or the request in flight times out
    std::vector<RequestedWindow> requested_windows;  // windows of the request in flight, in order
    // Modulo the size of `replica_routers`, the index of the receiver of requests.
    std::size_t target_counter = 0;
    std::vector<std::size_t> replica_routers;
    std::vector<AccountIndex> accounts;
    std::size_t account_counter = 0;  // modulo the size of `accounts`, the first one of the next request
  };
  // The time at which an account's change is sent to the ledger.
  enum class Urgency : std::uint8_t { with_next_request, at_once };

  // Accounts.
  static bool is_bucket_rule(const Account& account) {
    return account.rule.kind == budgets::LimitKind::bucket;
  }
  static std::int64_t window_of(const Account& account, Time wall);
  Units max_prefetch(const Account& account) const;
  Units target_unreserved(const Account& account) const;
  bool is_low(const Account& account, const HeldLease& lease) const;
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

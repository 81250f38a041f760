// What this router may use of the group's limits: leases that it draws from the ledgers ahead of need, uses
// without asking anybody, reports, and gives back when it no longer needs them.
//
// It uses nothing beyond its leases (strict), and nothing at all once they are over by its own clock. With an
// `overdraft` it goes on up to that part of each limit while no majority of a ledger's replicas answers, and
// reports what it used when one does.
//
// Sources: quota_lease_client.cpp (accounts, and events), quota_lease_channel.cpp (questions to a ledger and
// their answers). No I/O and no clock of its own; all on one thread; times are microseconds.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "budgets/quota_store.hpp"
#include "replication/message.hpp"
#include "replication/operator_requests.hpp"
#include "replication/replica_placement.hpp"

namespace thornwick::replication {

struct QuotaLeaseOptions {
  std::size_t self = 0;  // this router, in the roster
  std::size_t ledgers = 1;
  std::size_t copies = 3;  // replicas of a ledger
  std::shared_ptr<const membership::Roster> roster;
  std::uint32_t run = 1;       // drawn by this process
  double block = 0.02;         // of a limit: in hand ahead of need at most
  Time lease = seconds(6);     // from a question that was answered
  double clock_bound = 0.02;   // by how much two clocks' rates may differ, as a part
  Time patience = seconds(1);  // for an answer
  double overdraft = 0;        // part of each limit; 0: strict
  bool outlive_lease = false;  // a seeded fault that the checks have to find: for tests only
};

// Sums since the start.
struct QuotaLeaseCounters {
  std::uint64_t asked = 0;
  std::uint64_t answered = 0;
  std::uint64_t rejected = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t behind = 0;  // reservations that found too little in hand
  std::uint64_t overdrawn = 0;
  std::uint64_t sessions = 0;  // begun after the first one of a ledger
  std::uint64_t far = 0;       // questions rejected because of this router's clock
};

class QuotaLeaseClient final : public budgets::QuotaStore {
 public:
  struct Dependencies {
    std::function<void(std::size_t member, std::string envelope)> send;
    std::function<void(bool severe, const std::string& text)> write_log;
  };
  QuotaLeaseClient(QuotaLeaseOptions options, Dependencies dependencies, Time now);

  Place open(const std::string& key, const budgets::Rule& rule) override;
  void change(Place place, const budgets::Rule& rule) override;
  bool reserve(Place place, Units units, Time wall) override;
  void settle(Place place, Units reserved, Units used, Time at, Time wall) override;
  QuotaStatus quota_status(Place place, Units wanted, Time wall) override;

  void tick(Time now);
  // When tick() is due.
  Time next() const { return next_; }
  // A ledger's answer; others are ignored.
  void on_message(Time now, std::size_t member, std::size_t ledger, Kind kind, std::string_view body);
  // A planned end: reports everything and gives it back, as far as one message per ledger does it.
  void leave(Time now);
  // Whether each ledger has answered that.
  bool has_left() const;

  // An operator's requests to a running router. `done` is called once: accepted, or why not; without a reason
  // it is not known.
  void correct(Time now, const Correction& correction, OperatorRequests::Done done);
  void replace(Time now, const Replace& replace, OperatorRequests::Done done);
  // Key, rule and window of an account, for a correction; none: no such account here.
  std::optional<AskLine> account(const std::string& key, Time wall) const;

  // Whether a majority of the ledger's replicas answers.
  bool has_majority(std::size_t ledger) const { return channels_.at(ledger).has_majority; }
  std::size_t ledgers() const { return channels_.size(); }
  // Routers with a replica of the ledger, as far as it is known here.
  const std::vector<std::size_t>& holders(std::size_t ledger) const { return channels_.at(ledger).holders; }
  const QuotaLeaseCounters& metrics() const { return metrics_; }

  // One window of one account, for operators.
  struct Line {
    std::string key;
    std::int64_t window = 0;
    Units limit = 0;
    Units left = 0;
    Units in_hand = 0;
    Units used = 0;
    Units reserved = 0;
  };
  std::vector<Line> lines() const;

 private:
  static constexpr Time kLeastBetweenAsks = milliseconds(20);  // questions to one ledger

  // Of one window of one account; sums since the session began.
  struct HeldLease {
    Units granted = 0;  // never more than in the ledger: what is offered back is gone as it is offered
    Units used = 0;
    Units reserved = 0;
    Units left = 0;       // in the ledger, by its latest answer
    Units reported = 0;   // part of `used` that was answered
    Units reporting = 0;  // ... that is in the question on its way
    bool known = false;   // an answer has come
    Time asked_at = 0;
    Units in_hand() const { return granted - used - reserved; }
  };
  struct Account {
    std::string key;
    budgets::Rule rule;
    std::size_t ledger = 0;
    std::map<std::int64_t, HeldLease> leases;  // by window, three at most
    Units typical_request = 0;                 // the largest lately
    Units used_since_ask = 0;
    Units need = 0;        // of a request that found too little
    Time reserved_at = 0;  // latest reservation that was tried
    double overdrawn = 0;
    bool is_changed = true;  // has something to report or to ask
  };
  struct AskedWindow {
    Place place = 0;
    std::int64_t window = 0;
  };
  // This router's session with one ledger.
  struct Channel {
    std::uint64_t number = 0;  // of the latest question
    std::uint32_t run = 0;     // of the session
    bool is_waiting = false;   // for an answer
    bool has_majority = false;
    bool is_urgent = false;  // to be asked again right after the answer
    bool is_new = true;      // nothing of the session was answered yet
    bool has_left = false;   // its last question was answered
    Time sent_at = 0;
    Time lease_until = 0;
    Time due_at = 0;                         // next question, or the end of the wait for an answer
    std::vector<AskedWindow> asked_windows;  // of the question on its way, in its order
    std::size_t target = 0;                  // index in `holders`, counted on
    std::vector<std::size_t> holders;
    std::vector<Place> accounts;
    std::size_t next_account = 0;  // whose turn it is, counted on
  };
  enum class Urgency : std::uint8_t { with_next_question, at_once };

  // Accounts.
  static bool is_bucket_rule(const Account& account) { return account.rule.span == budgets::Span::bucket; }
  static std::int64_t window_of(const Account& account, Time wall);
  Units block_of(const Account& account) const;
  Units target_in_hand(const Account& account) const;
  bool is_short(const Account& account, const HeldLease& lease) const;
  bool is_within_lease(const Channel& channel) const;
  bool reserve_overdraft(const Channel& channel, Account& account, HeldLease& lease, Units units);
  void request_update(Place place, Urgency urgency);
  static AskLine describe(const Account& account, std::int64_t window);

  // Questions and answers.
  void prepare_windows(Account& account) const;
  bool should_report(const Account& account) const;
  AskLine ask_line(Account& account, std::int64_t window, HeldLease& lease) const;
  void add_account(Place place, Channel& channel, Ask& ask);
  void ask(std::size_t ledger);
  void send_ask(std::size_t ledger, const Ask& ask);
  void on_answer(std::size_t ledger, const Answer& answer);
  void renew_lease(std::size_t ledger, Channel& channel);
  void apply_answer_line(const AskedWindow& asked, const AnswerLine& line);
  void on_rejected(std::size_t ledger, const Rejected& rejected);
  void update_holders(Channel& channel, const Rejected& rejected) const;
  void on_unanswered(Channel& channel);
  void begin_session(Channel& channel);
  void send_to_holders(std::size_t ledger, const std::string& envelope);
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

// Questions of the quota lease client to the ledgers, and their answers.
#include <algorithm>
#include <utility>

#include "replication/quota_lease_client.hpp"

namespace thornwick::replication {
namespace {

constexpr std::size_t kMostLines = 64;          // of a question
constexpr std::size_t kMostWindows = 3;         // of an account
constexpr std::size_t kUnchangedAccounts = 16;  // reported in turn with each question
constexpr int kRenewals = 3;                    // in a lease
constexpr Time kNextWindowAhead = seconds(5);   // before a window ends, a lease of the next one is drawn
constexpr Time kNextWindowPart = 4;             // or this part of the window, if that is less
constexpr Time kLeaderSearchPart = 4;           // of the patience, while the leader is not known

}  // namespace

// ---------------------------------------------------------------- questions

// The windows of which the account has something to say now: the current one, the next one shortly before it
// begins, and those that are not settled yet.
void QuotaLeaseClient::prepare_windows(Account& account) const {
  const std::int64_t current = window_of(account, now_);
  account.leases.try_emplace(current);
  if (!is_bucket_rule(account)) {
    const Time length = budgets::length_of(account.rule.span);
    const Time remaining = length - now_ % length;
    if (remaining < std::min(kNextWindowAhead, length / kNextWindowPart)) {
      account.leases.try_emplace(current + 1);
    }
  }
  std::erase_if(account.leases, [current](const auto& window_and_lease) {
    const auto& [window, lease] = window_and_lease;
    const bool is_settled = lease.reserved == 0 && lease.reported == lease.used;
    return window < current - 1 || (window < current && is_settled);
  });
}

bool QuotaLeaseClient::should_report(const Account& account) const {
  return is_leaving_ || account.is_changed ||
         std::any_of(account.leases.begin(), account.leases.end(),
                     [](const auto& window_and_lease) { return !window_and_lease.second.known; });
}

// An account without requests for the time of a lease gives back what others may need, but for the next
// request. A little too much in hand is kept.
AskLine QuotaLeaseClient::ask_line(Account& account, std::int64_t window, HeldLease& lease) const {
  const bool is_past = !is_bucket_rule(account) && window < window_of(account, now_);
  const bool is_idle = account.reserved_at != 0 && now_ - account.reserved_at > options_.lease;
  const bool is_scarce = lease.known && lease.left < block_of(account);
  Units in_hand = 0;
  if (!is_past && !(is_idle && is_scarce)) in_hand = std::max(target_in_hand(account), account.need);
  const bool is_little_more = lease.in_hand() > in_hand && lease.in_hand() <= 2 * in_hand;
  if (!is_past && !is_scarce && is_little_more) in_hand = lease.in_hand();

  AskLine line = describe(account, window);
  line.used = lease.used;
  line.hold = is_leaving_ ? 0 : lease.reserved + in_hand;
  line.need = lease.reserved + std::max(account.need, is_past ? 0 : account.typical_request);
  lease.granted = std::min(lease.granted, lease.used + lease.reserved + in_hand);
  lease.reporting = lease.used;
  lease.asked_at = now_;
  return line;
}

void QuotaLeaseClient::add_account(Place place, Channel& channel, Ask& ask) {
  Account& account = accounts_[place];
  for (auto& [window, lease] : account.leases) {
    ask.lines.push_back(ask_line(account, window, lease));
    channel.asked_windows.push_back({place, window});
  }
  account.is_changed = false;
  account.used_since_ask = 0;
}

void QuotaLeaseClient::ask(std::size_t ledger) {
  Channel& channel = channels_[ledger];
  ++channel.number;
  channel.is_urgent = false;
  channel.asked_windows.clear();
  Ask ask{.session = session_of(options_.roster->id_of(options_.self), channel.run),
          .number = channel.number,
          .begins = channel.is_new,
          .last = is_leaving_,
          .lines = {}};
  for (std::size_t i = 0; i < channel.accounts.size(); ++i) {
    if (ask.lines.size() + kMostWindows > kMostLines) break;
    const Place place = channel.accounts[channel.next_account % channel.accounts.size()];
    ++channel.next_account;
    prepare_windows(accounts_[place]);
    if (i < kUnchangedAccounts || should_report(accounts_[place])) add_account(place, channel, ask);
  }
  send_ask(ledger, ask);
}

void QuotaLeaseClient::send_ask(std::size_t ledger, const Ask& ask) {
  Channel& channel = channels_[ledger];
  channel.is_waiting = true;
  channel.sent_at = now_;
  channel.due_at = now_ + options_.patience;
  ++metrics_.asked;
  if (channel.holders.empty()) return;
  const std::size_t member = channel.holders[channel.target % channel.holders.size()];
  dependencies_.send(member, write(Kind::ask, ledger, ask));
}

// ---------------------------------------------------------------- answers

// An answer to an earlier question is ignored: another one has taken its place.
void QuotaLeaseClient::on_answer(std::size_t ledger, const Answer& answer) {
  Channel& channel = channels_[ledger];
  if (!channel.is_waiting || answer.number != channel.number) return;
  channel.is_waiting = false;
  channel.has_left = is_leaving_;
  if (channel.has_left) return;
  if (answer.stranger || answer.lines.size() != channel.asked_windows.size()) {
    begin_session(channel);
    return;
  }
  ++metrics_.answered;
  channel.is_new = false;
  renew_lease(ledger, channel);
  for (std::size_t i = 0; i < channel.asked_windows.size(); ++i) {
    apply_answer_line(channel.asked_windows[i], answer.lines[i]);
  }
}

// A lease counts from the sending of its question, by this router's own clock.
void QuotaLeaseClient::renew_lease(std::size_t ledger, Channel& channel) {
  if (!channel.has_majority) {
    dependencies_.write_log(false,
                            "a majority of the holders of ledger " + std::to_string(ledger) + " answers");
    for (const Place place : channel.accounts) accounts_[place].overdrawn = 0;
  }
  channel.has_majority = true;
  const double safe_part = 1 - options_.clock_bound;
  channel.lease_until = channel.sent_at + static_cast<Time>(static_cast<double>(options_.lease) * safe_part);
  channel.due_at = channel.is_urgent ? std::max(now_, channel.sent_at + kLeastBetweenAsks)
                                     : now_ + options_.lease / kRenewals;
}

void QuotaLeaseClient::apply_answer_line(const AskedWindow& asked, const AnswerLine& line) {
  Account& account = accounts_[asked.place];
  const auto found = account.leases.find(asked.window);
  if (found == account.leases.end()) return;
  HeldLease& lease = found->second;
  lease.granted = line.granted;
  lease.left = line.left;
  lease.reported = line.known ? lease.reporting : lease.used;
  lease.known = true;
  const bool has_enough = lease.in_hand() >= account.need;
  const bool can_have_enough = lease.left + lease.in_hand() >= account.need;
  if (has_enough || !can_have_enough) account.need = 0;
  const bool can_fill = lease.left >= target_in_hand(account) && is_short(account, lease);
  if (account.need > 0 || can_fill) request_update(asked.place, Urgency::at_once);
}

// What the old session had in hand is its ledger's to charge; what is settled later counts in the new one.
void QuotaLeaseClient::begin_session(Channel& channel) {
  ++metrics_.sessions;
  channel.run += static_cast<std::uint32_t>(channels_.size());
  channel.number = 0;
  channel.is_new = true;
  channel.lease_until = 0;
  channel.due_at = now_;
  for (const Place place : channel.accounts) {
    for (auto& [window, lease] : accounts_[place].leases) {
      lease.granted = 0;
      lease.used = 0;
      lease.reported = 0;
      lease.reporting = 0;
      lease.known = false;
    }
    accounts_[place].is_changed = true;
  }
  next_ = std::min(next_, now_);
}

void QuotaLeaseClient::on_unanswered(Channel& channel) {
  channel.is_waiting = false;
  for (const AskedWindow& asked : channel.asked_windows) accounts_[asked.place].is_changed = true;
  ++channel.target;
  if (!channel.has_majority || now_ < channel.lease_until) return;
  channel.has_majority = false;
  const std::string consequence = options_.overdraft > 0 ? "budgets go on up to their overdraft"
                                                         : "budgets refuse all that is not in hand";
  dependencies_.write_log(true, "no majority of the holders answers: " + consequence);
}

void QuotaLeaseClient::on_rejected(std::size_t ledger, const Rejected& rejected) {
  Channel& channel = channels_[ledger];
  if (!channel.is_waiting || rejected.number != channel.number) return;
  ++metrics_.rejected;
  if (rejected.clock) ++metrics_.far;
  on_unanswered(channel);
  update_holders(channel, rejected);
  const bool knows_leader = options_.roster->find(rejected.leader) != options_.roster->size();
  channel.due_at = now_ + (knows_leader ? kLeastBetweenAsks : options_.patience / kLeaderSearchPart);
}

// The next question goes to the leader, if the sender knows it.
void QuotaLeaseClient::update_holders(Channel& channel, const Rejected& rejected) const {
  const membership::Roster& roster = *options_.roster;
  std::vector<std::size_t> holders;
  for (const std::string& name : rejected.holders) {
    const std::size_t member = roster.find(name);
    if (member != roster.size()) holders.push_back(member);
  }
  if (!holders.empty()) channel.holders = std::move(holders);
  const std::size_t leader = roster.find(rejected.leader);
  if (leader == roster.size()) return;
  const auto found = std::find(channel.holders.begin(), channel.holders.end(), leader);
  channel.target = static_cast<std::size_t>(found - channel.holders.begin());
  if (found == channel.holders.end()) channel.holders.push_back(leader);
}

}  // namespace thornwick::replication

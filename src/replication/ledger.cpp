#include "replication/ledger.hpp"

#include <algorithm>
#include <utility>

#include "replication/message_pack.hpp"

namespace thornwick::replication {
namespace {

constexpr std::size_t kMaxKeyBytes = 400;
// A lease grows by at most the available quota, divided by this number and by the number of leases of the
// window.
constexpr Units kEvenShareDivisor = 2;

// Refills are products of two 64-bit numbers, which 64 bits cannot hold.
__extension__ using Wide = __int128;

Units clamped(Units value) { return std::clamp<Units>(value, -budgets::kMaxUnits, budgets::kMaxUnits); }

bool is_amount(Units value) { return value >= 0 && value <= budgets::kMaxUnits; }

bool is_valid(const LeaseRequestLine& line) {
  const bool has_key = !line.key.empty() && line.key.size() <= kMaxKeyBytes;
  return has_key && is_amount(line.amount) && is_amount(line.per_s) && is_known_span(line.span);
}

// Charges the quota that the session used since its previous request. Use beyond the session's lease (a
// response that cost more than was reserved, or an overdraft) is taken from the available quota.
void charge_used(WindowLedger& window, Lease& lease, Units reported) {
  const Units used = std::clamp<Units>(reported, lease.used, budgets::kMaxUnits);
  window.charged = clamped(window.charged + used - lease.used);
  if (used > lease.granted) {
    window.available = clamped(window.available - (used - lease.granted));
    lease.granted = used;
  }
  lease.used = used;
}

// Renews a lease that has ended. The unused part of the lease was charged when the lease ended, so only the
// use beyond the granted quota is charged now.
void renew_ended(WindowLedger& window, Lease& lease, Units reported) {
  const Units excess = std::max<Units>(0, reported - lease.granted);
  window.charged = clamped(window.charged + excess);
  window.available = clamped(window.available - excess);
  const Units used = std::max<Units>(0, reported);
  lease = {used, used, false};
}

// Takes quota back, or grants more, until the session has the requested quota or the available quota is used
// up.
void adjust_grant(WindowLedger& window, Lease& lease, const LeaseRequestLine& line) {
  const Units target = std::clamp<Units>(line.requested, 0, budgets::kMaxUnits);
  const Units unused = lease.unused();
  if (target < unused) {
    window.available = clamped(window.available + unused - target);
    lease.granted -= unused - target;
  } else if (target > unused && window.available > 0) {
    const Units even_share =
        window.available / (kEvenShareDivisor * static_cast<Units>(window.leases.size()));
    const Units offered = std::max(even_share, std::min(line.need, target) - unused);
    const Units increase = std::clamp<Units>(std::min(target - unused, offered), 0, window.available);
    window.available -= increase;
    lease.granted += increase;
  }
}

// Counts the unused part of the lease as used, because the session will not report its use any more.
void charge_unused(WindowLedger& window, const Lease& lease) {
  window.charged = clamped(window.charged + lease.granted - lease.used);
}

std::string window_violation(const AccountLedger& account, const WindowLedger& window) {
  for (const auto& [session, lease] : window.leases) {
    if (lease.used > lease.granted) return "a lease with more use than quota";
  }
  const Units uncharged = window.available + window.leased();
  if (is_bucket(account.span)) {
    return uncharged > std::max(window.amount, Units{0})
               ? "the available quota and the unused leases exceed the burst"
               : "";
  }
  const bool is_balanced = uncharged + window.charged == window.amount + window.correction_sum;
  return is_balanced ? "" : "the available quota, the leases and the charges do not add up to the limit";
}

}  // namespace

Units WindowLedger::leased() const {
  Units sum = 0;
  for (const auto& [session, lease] : leases) sum += std::max<Units>(0, lease.unused());
  return sum;
}

std::string Ledger::write(const Command& command) { return packed(command); }

std::optional<CommandResult> Ledger::apply(std::string_view bytes) {
  const auto command = read<Command>(bytes);
  if (!command) return std::nullopt;
  state_.ledger_time += std::max<std::int64_t>(0, command->elapsed);
  CommandResult result;
  switch (static_cast<CommandKind>(command->kind)) {
    case CommandKind::tick: break;
    case CommandKind::lease_request: result.response = respond_unless_repeated(command->lease_request); break;
    case CommandKind::expiry:
      for (const Session session : command->expired_sessions) expire_session(session);
      break;
    case CommandKind::correction: result.correction_outcome = correct_once(command->correction); break;
    case CommandKind::replacement: state_.replacements[command->old_name] = command->new_name; break;
    default: return std::nullopt;
  }
  return result;
}

// A repeated request, or a request that arrives after a later one, changes nothing and gets no response.
std::optional<LeaseResponse> Ledger::respond_unless_repeated(const LeaseRequest& request) {
  const auto session = state_.sessions.find(request.session);
  if (session != state_.sessions.end() && request.number <= session->second.number) return std::nullopt;
  return respond(request);
}

// Refills a bucket up to the burst less all unused leases, so that the available quota and the leases
// together never exceed the burst.
void Ledger::refill(const AccountLedger& account, WindowLedger& window) {
  if (!is_bucket(account.span)) return;
  const std::int64_t elapsed = state_.ledger_time - std::exchange(window.refilled_at, state_.ledger_time);
  const Wide refilled = static_cast<Wide>(elapsed) * account.per_s + window.refill_remainder;
  const Units max_available = window.amount - window.leased();
  const Wide available = static_cast<Wide>(window.available) + refilled / seconds(1);
  window.refill_remainder = available >= max_available ? 0 : static_cast<std::int64_t>(refilled % seconds(1));
  window.available = std::max(window.available, static_cast<Units>(std::min<Wide>(available, max_available)));
}

AccountLedger* Ledger::open_account(const LeaseRequestLine& line) {
  auto found = state_.accounts.find(line.key);
  if (found == state_.accounts.end()) {
    if (state_.accounts.size() >= kMaxAccounts) return nullptr;
    found = state_.accounts.emplace(line.key, AccountLedger{line.span, line.per_s, {}}).first;
  }
  AccountLedger& account = found->second;
  const bool span_changed = account.span != line.span;
  if (span_changed) account = {line.span, line.per_s, {}};
  account.per_s = line.per_s;
  return &account;
}

// An account has several windows at a time, because a router whose clock runs ahead opens the next window
// early, and no unit of either window may be granted twice. A window whose limit changes keeps its charges.
WindowLedger* Ledger::open_window(const LeaseRequestLine& line) {
  if (!is_valid(line)) return nullptr;
  AccountLedger* account = open_account(line);
  if (account == nullptr) return nullptr;
  auto& windows = account->windows;
  const std::int64_t number = is_bucket(line.span) ? 0 : line.window;
  auto found = windows.find(number);
  if (found == windows.end()) {
    if (windows.size() >= kMaxWindows && number < windows.begin()->first) return nullptr;
    const WindowLedger new_window{line.amount, line.amount, 0, 0, state_.ledger_time, 0, {}};
    found = windows.emplace(number, new_window).first;
    if (windows.size() > kMaxWindows) windows.erase(windows.begin());
  }
  WindowLedger& window = found->second;
  window.available = clamped(window.available + line.amount - std::exchange(window.amount, line.amount));
  refill(*account, window);
  return &window;
}

LeaseResponse Ledger::respond(const LeaseRequest& request) {
  if (!admit_session(request.session, request.begins_session))
    return {.number = request.number, .unknown_session = true, .lines = {}};
  state_.sessions[request.session] = {request.number, false};
  LeaseResponse response{.number = request.number, .unknown_session = false, .lines = {}};
  for (const LeaseRequestLine& line : request.lines)
    response.lines.push_back(response_line(request.session, line));
  if (request.ends_session) remove_session(request.session);
  return response;
}

LeaseResponseLine Ledger::response_line(Session session, const LeaseRequestLine& line) {
  WindowLedger* window = open_window(line);
  if (window == nullptr) return {line.used, 0, false};
  Lease& lease = window->leases[session];
  if (lease.ended) renew_ended(*window, lease, line.used);
  charge_used(*window, lease, line.used);
  adjust_grant(*window, lease, line);
  return {lease.granted, window->available, true};
}

// Returns false if the session is not known and does not begin with this request.
bool Ledger::admit_session(Session session, bool begins) {
  if (state_.sessions.contains(session)) return true;
  if (!begins || session == 0) return false;
  make_room_for_session(session);
  state_.sessions[session] = {};
  return true;
}

// If the router has the maximum of sessions, removes its first expired one, or its first one if none has
// expired.
void Ledger::make_room_for_session(Session session) {
  std::vector<Session> others;
  auto next = state_.sessions.lower_bound(session_of(router_of(session), 0));
  while (next != state_.sessions.end() && router_of(next->first) == router_of(session)) {
    others.push_back(next->first);
    ++next;
  }
  if (others.size() < kMaxSessionsPerRouter) return;
  const auto expired = std::find_if(others.begin(), others.end(),
                                    [this](Session other) { return state_.sessions.at(other).expired; });
  remove_session(expired == others.end() ? others.front() : *expired);
}

// Ends the session's leases of buckets and charges their unused part: at worst the router has used that part,
// and the refill since then covers the use.
void Ledger::expire_session(Session session) {
  const auto found = state_.sessions.find(session);
  if (found == state_.sessions.end() || std::exchange(found->second.expired, true)) return;
  for (auto& [key, account] : state_.accounts) {
    if (!is_bucket(account.span)) continue;
    for (auto& [number, window] : account.windows) {
      const auto lease = window.leases.find(session);
      if (lease == window.leases.end()) continue;
      refill(account, window);
      charge_unused(window, lease->second);
      lease->second.used = lease->second.granted;
      lease->second.ended = true;
    }
  }
}

void Ledger::remove_session(Session session) {
  state_.sessions.erase(session);
  for (auto& [key, account] : state_.accounts) {
    for (auto& [number, window] : account.windows) {
      const auto lease = window.leases.find(session);
      if (lease == window.leases.end()) continue;
      charge_unused(window, lease->second);
      window.leases.erase(lease);
    }
  }
}

bool Ledger::has_applied(std::uint64_t id) const {
  return std::find(state_.corrections.begin(), state_.corrections.end(), id) != state_.corrections.end();
}

// Applies a correction that was not applied before, but at most up to the point at which the available quota
// and the unused leases together are the limit.
CorrectionOutcome Ledger::correct_once(const Correction& correction) {
  if (has_applied(correction.id)) return CorrectionOutcome::already_applied;
  WindowLedger* window = open_window(correction.account);
  if (window == nullptr) return CorrectionOutcome::no_room;
  const Units leased = window->leased();
  const Units target =
      correction.set ? clamped(correction.units - leased) : clamped(window->available + correction.units);
  const Units available = std::min(target, window->amount - leased);
  window->correction_sum = clamped(window->correction_sum + available - window->available);
  window->available = available;
  state_.corrections.push_back(correction.id);
  if (state_.corrections.size() > kMaxCorrectionIds) state_.corrections.pop_front();
  return CorrectionOutcome::applied;
}

std::string Ledger::snapshot() const { return packed(state_); }

bool Ledger::restore(std::string_view bytes) {
  auto state = read<State>(bytes);
  if (state) state_ = std::move(*state);
  return state.has_value();
}

std::string Ledger::invariant_violation() const {
  for (const auto& [key, account] : state_.accounts) {
    for (const auto& [number, window] : account.windows) {
      const std::string violation = window_violation(account, window);
      if (violation.empty()) continue;
      std::string text = key;
      text += ", window " + std::to_string(number) + ": " + violation;
      return text;
    }
  }
  return {};
}

}  // namespace thornwick::replication

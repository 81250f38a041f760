// The replicated state machine: the accounts of shared limits, the quota that is available in each, and the
// lease of each session.
//
// Only commands change the ledger, in their order, so that all replicas are equal: it has no clock, no
// randomness and no I/O.
//
// Guarantee: at any time a unit of a limit is available, or in one session's lease, or charged as used. The
// lease of a router that has failed stays until the router sends another request or the window ends, so that
// no unit is granted twice.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "replication/ledger_command.hpp"

namespace thornwick::replication {

enum class CorrectionOutcome : std::uint8_t {
  no_room,         // not applied: there is no room for the account, or the window has long passed
  applied,         // applied by this command
  already_applied  // an earlier command with the same id was applied
};

// The result of applying a command.
struct CommandResult {
  std::optional<LeaseResponse> response;  // to a lease request that was not a repeat
  CorrectionOutcome correction_outcome = CorrectionOutcome::no_room;
};

// The quota of one window that was granted to one session, and the use of that quota. Both are sums since the
// session began.
struct Lease {
  Units granted = 0;
  Units used = 0;
  bool ended = false;  // bucket only: the session expired, and the unused part of its lease was charged
  // Quota that was granted and is not reported as used.
  Units unused() const { return granted - used; }
  MSGPACK_DEFINE(granted, used, ended)
};

// One window of one account. A bucket has a single window, with number 0.
struct WindowLedger {
  Units amount = 0;                   // limit of the rule
  Units available = 0;                // quota that any session may lease; below 0 after an overdraft
  Units charged = 0;                  // quota that was used, or counts as used
  Units correction_sum = 0;           // sum of the operators' corrections
  std::int64_t refilled_at = 0;       // bucket only: ledger time of the latest refill
  std::int64_t refill_remainder = 0;  // bucket only: refilled fraction of a unit, in millionths
  std::map<Session, Lease> leases;
  // The sum of the unused quota of all leases.
  Units leased() const;
  MSGPACK_DEFINE(amount, available, charged, correction_sum, refilled_at, refill_remainder, leases)
};

struct AccountLedger {
  std::uint8_t span = 0;  // a budgets::LimitKind
  Units per_s = 0;
  std::map<std::int64_t, WindowLedger> windows;  // by window number
  MSGPACK_DEFINE(span, per_s, windows)
};

struct SessionState {
  std::uint64_t number = 0;  // number of the latest request
  bool expired = false;      // the session sent no request for the duration of a lease
  MSGPACK_DEFINE(number, expired)
};

class Ledger {
 public:
  static constexpr std::size_t kMaxAccounts = 65'536;
  static constexpr std::size_t kMaxWindows = 3;  // per account
  static constexpr std::size_t kMaxSessionsPerRouter = 4;
  static constexpr std::size_t kMaxCorrectionIds = 4'096;  // ids that are remembered

  // Encodes a command.
  static std::string write(const Command& command);
  // Applies an encoded command. Returns none if the bytes cannot be decoded, which changes nothing, or if the
  // kind is unknown, which only advances the ledger time.
  std::optional<CommandResult> apply(std::string_view bytes);

  std::string snapshot() const;
  // Replaces the state by a snapshot. Returns false, and changes nothing, if the bytes cannot be decoded.
  [[nodiscard]] bool restore(std::string_view bytes);

  const std::map<std::string, AccountLedger>& accounts() const { return state_.accounts; }
  const std::map<Session, SessionState>& sessions() const { return state_.sessions; }
  // Router that was replaced -> router that takes its place, by operators' decisions.
  const std::map<std::string, std::string>& replacements() const { return state_.replacements; }
  // Whether the correction with this id was applied, as far as ids are remembered.
  bool has_applied(std::uint64_t id) const;
  // Describes the first account whose state breaks the guarantee above; empty if there is none.
  std::string invariant_violation() const;

 private:
  struct State {
    std::int64_t ledger_time = 0;  // microseconds, the sum of the time that leaders have counted
    std::map<std::string, AccountLedger> accounts;
    std::map<Session, SessionState> sessions;
    std::deque<std::uint64_t> corrections;  // ids of applied corrections, the latest last
    std::map<std::string, std::string> replacements;
    MSGPACK_DEFINE(ledger_time, accounts, sessions, corrections, replacements)
  };

  // Null if there is no room for the account, or the window has long passed.
  WindowLedger* open_window(const LeaseRequestLine& line);
  // Null if there is no room.
  AccountLedger* open_account(const LeaseRequestLine& line);
  void refill(const AccountLedger& account, WindowLedger& window);

  std::optional<LeaseResponse> respond_unless_repeated(const LeaseRequest& request);
  LeaseResponse respond(const LeaseRequest& request);
  LeaseResponseLine response_line(Session session, const LeaseRequestLine& line);
  bool admit_session(Session session, bool begins);
  void make_room_for_session(Session session);
  void expire_session(Session session);
  void remove_session(Session session);
  CorrectionOutcome correct_once(const Correction& correction);

  State state_;
};

}  // namespace thornwick::replication

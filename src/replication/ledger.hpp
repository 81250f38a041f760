// The replicated state machine: the accounts of shared limits, the quota that is available in each, and the
// lease of each session.
//
// Only commands change the ledger, in their order, so that all replicas are equal: it has no clock, no
// randomness and no I/O.
//
// Guarantee: at any time a unit of a limit is available, or in one session's lease, or charged as used. The
// lease of a router that is gone stays until the router sends another request or the window ends, so that no
// unit is granted twice.
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

// The quota that one session was granted of one window, and its use; sums since the session began.
struct Lease {
  Units granted = 0;
  Units used = 0;
  bool ended = false;  // of a bucket: the session expired, and the unused part of its lease was charged
  // Granted, and not reported as used.
  Units unused() const { return granted - used; }
  MSGPACK_DEFINE(granted, used, ended)
};

// One window of one account. A bucket has one, with number 0.
struct WindowLedger {
  Units amount = 0;          // of the rule
  Units available = 0;       // for any session; below 0 after an overdraft
  Units charged = 0;         // used
  Units correction_sum = 0;  // sum of the operators' corrections
  std::int64_t age = 0;      // bucket: the ledger's age at the latest refill
  std::int64_t filled = 0;   // bucket: refilled part of a unit, in millionths
  std::map<Session, Lease> leases;
  // The sum over all leases.
  Units leased() const;
  MSGPACK_DEFINE(amount, available, charged, correction_sum, age, filled, leases)
};

struct AccountLedger {
  std::uint8_t span = 0;  // a budgets::LimitKind
  Units per_s = 0;
  std::map<std::int64_t, WindowLedger> windows;  // by number
  MSGPACK_DEFINE(span, per_s, windows)
};

struct SessionState {
  std::uint64_t number = 0;  // of the latest request
  bool expired = false;      // sent no request for the time of a lease
  MSGPACK_DEFINE(number, expired)
};

class Ledger {
 public:
  static constexpr std::size_t kMaxAccounts = 65'536;
  static constexpr std::size_t kMaxWindows = 3;  // of an account
  static constexpr std::size_t kMaxSessionsPerRouter = 4;
  static constexpr std::size_t kMaxCorrectionIds = 4'096;  // whose ids are remembered

  // The bytes of a command.
  static std::string write(const Command& command);
  // Returns none, and changes nothing, if the bytes are no command.
  std::optional<CommandResult> apply(std::string_view bytes);

  std::string snapshot() const;
  // Returns false, and changes nothing, if the bytes are no snapshot.
  [[nodiscard]] bool restore(std::string_view bytes);

  const std::map<std::string, AccountLedger>& accounts() const { return state_.accounts; }
  const std::map<Session, SessionState>& sessions() const { return state_.sessions; }
  // Router that is gone -> router that takes its place, by operators' decisions.
  const std::map<std::string, std::string>& replacements() const { return state_.replacements; }
  bool has_applied(std::uint64_t id) const;
  // Says where the guarantee above is broken; empty if it holds.
  std::string invariant_violation() const;

 private:
  struct State {
    std::int64_t age = 0;  // microseconds that leaders have counted
    std::map<std::string, AccountLedger> accounts;
    std::map<Session, SessionState> sessions;
    std::deque<std::uint64_t> corrections;  // ids, the latest last
    std::map<std::string, std::string> replacements;
    MSGPACK_DEFINE(age, accounts, sessions, corrections, replacements)
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

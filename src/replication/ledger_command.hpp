// Lease requests to a ledger, its responses, and the commands that its log replicates.
//
// All structs are packed by position, so the order of their fields must not change. Amounts are
// budgets::Units, times are microseconds.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "budgets/limit.hpp"

namespace thornwick::replication {

using budgets::Units;

// One process of one router: the id of the router's name in the upper 32 bits, and the process's random
// instance id in the lower ones. Never 0.
using Session = std::uint64_t;
inline constexpr Session session_of(std::uint32_t router, std::uint32_t instance_id) {
  return std::uint64_t{router} << 32 | instance_id;
}
inline constexpr std::uint32_t router_of(Session session) {
  return static_cast<std::uint32_t>(session >> 32);
}

// A budgets::LimitKind is a number in messages. A later version may send a span that this program does not
// know.
inline constexpr bool is_known_span(std::uint8_t span) {
  return span <= static_cast<std::uint8_t>(budgets::LimitKind::day);
}
inline constexpr bool is_bucket(std::uint8_t span) {
  return span == static_cast<std::uint8_t>(budgets::LimitKind::bucket);
}

// One session's report on one window of one account, and the session's request for quota. `used` is a sum
// since the session began, so that a repeated request changes nothing.
struct LeaseRequestLine {
  std::string key;
  std::uint8_t span = 0;    // a budgets::LimitKind
  Units amount = 0;         // limit of the rule
  Units per_s = 0;          // refill rate of the rule
  std::int64_t window = 0;  // number of the calendar window; 0 for a bucket
  Units used = 0;
  // The quota that the session is to have beyond `used`. A session that has more gives the excess back.
  Units requested = 0;
  // The part of `requested` that one client's request needs. The session's even share does not limit this
  // part.
  Units need = 0;
  MSGPACK_DEFINE(key, span, amount, per_s, window, used, requested, need)
};

struct LeaseRequest {
  Session session = 0;
  std::uint64_t number = 0;     // counts the session's requests to this ledger, from 1
  bool begins_session = false;  // the session has no response yet, so the ledger may not know the session
  bool ends_session = false;    // the process ends, and this request reports the session's last use
  std::vector<LeaseRequestLine> lines;
  MSGPACK_DEFINE(session, number, begins_session, ends_session, lines)
};

struct LeaseResponseLine {
  Units granted = 0;    // sum since the session began; the session may still use `granted - used`
  Units available = 0;  // quota in the ledger that any session may lease
  bool known = false;   // false: no room for another account, or the window has long passed
  MSGPACK_DEFINE(granted, available, known)
};

struct LeaseResponse {
  std::uint64_t number = 0;  // number of the request
  // The ledger does not have the session, or no longer, so the client has to begin another one.
  bool unknown_session = false;
  std::vector<LeaseResponseLine> lines;  // in the order of the request's lines
  MSGPACK_DEFINE(number, unknown_session, lines)
};

// An operator's correction of one window. The ledger applies each id once, however often the correction is
// repeated.
struct Correction {
  std::uint64_t id = 0;
  bool set = false;  // true: available and leased quota together become `units`; false: adds `units`
  Units units = 0;
  LeaseRequestLine account;  // key, rule and window
  MSGPACK_DEFINE(id, set, units, account)
};

enum class CommandKind : std::uint8_t { tick, lease_request, expiry, correction, replacement };

// An entry of the replicated log. Besides `elapsed`, only the fields of the command's kind are used:
// `lease_request`, `expired_sessions`, `correction`, or the two names of a replacement.
struct Command {
  Command() = default;
  explicit Command(CommandKind command_kind) : kind(static_cast<std::uint8_t>(command_kind)) {}
  std::uint8_t kind = 0;  // a CommandKind, or a kind of a later version
  std::int64_t elapsed =
      0;  // time since the leader's previous command, by the leader's clock; drives refills
  LeaseRequest lease_request;
  std::vector<Session> expired_sessions;
  Correction correction;
  std::string old_name;
  std::string new_name;
  MSGPACK_DEFINE(kind, elapsed, lease_request, expired_sessions, correction, old_name, new_name)
};

}  // namespace thornwick::replication

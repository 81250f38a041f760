// The output of the failure detector for its owner: datagrams to send, changes to log, and counters.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "membership/message.hpp"

namespace thornwick::membership {

// The level at which a change is logged.
enum class Severity : std::uint8_t { info, warning };

// A change that is logged for the operator.
struct Change {
  std::size_t member = 0;  // index of the member in the roster; may be this router itself
  std::string text;
  Severity severity = Severity::info;
};

// A datagram for another member.
struct OutgoingDatagram {
  std::size_t to = 0;  // index in the roster
  std::string bytes;
};

// Counters since the process started.
struct Metrics {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t probe_rounds = 0;              // probe rounds that were started
  std::uint64_t unanswered_rounds = 0;         // probe rounds that ended without an answer
  std::uint64_t suspicions = 0;                // suspicions of this router, and of others that it adopted
  std::uint64_t announced_suspicions = 0;      // suspicions of this router that it passed on
  std::uint64_t false_suspicions = 0;          // suspicions that the member ended by an answer
  std::uint64_t failures = 0;                  // members that were set to failed
  std::uint64_t refuted_suspicions = 0;        // suspicions about this router that it refuted
  std::uint64_t unknown_routers = 0;           // claims about, or messages of, routers not in the roster
  std::uint64_t contradicted_suspicions = 0;   // suspicions of others that this router knew to be false
  std::uint64_t distrusted_claims = 0;         // claims of reporters that are not trusted at present
  std::uint64_t implausible_incarnations = 0;  // claims whose incarnation is implausibly far ahead
  std::uint64_t suspensions = 0;               // suspensions of this process
  std::uint64_t ignored = 0;                   // late answers, and requests above a member's rate
  std::uint64_t unreadable[kReadErrors] = {};  // datagrams that could not be read, by ReadError
};

}  // namespace thornwick::membership

// The journal in which accounts record their states, so that the states survive a stop of the router.
#pragma once

#include <cstdint>
#include <string>

#include "budgets/limit.hpp"

namespace thornwick::budgets {

// Whether a journal records.
enum class JournalState {
  open,    // records are accepted, and grants stay close to what is durable
  absent,  // nothing is recorded here, and grants do not depend on it
  waiting  // nothing is recorded until it opens, and nothing is granted
};

// An append-only log of accounts' states; the newest record of a key is valid. Appending never blocks:
// records become durable later, in the order of their numbers.
class Journal {
 public:
  virtual ~Journal() = default;
  // Appends a record and returns its number. Returns 0 if the journal cannot accept the record now; the
  // caller offers it again later.
  virtual std::uint64_t append(const std::string& key, const LimitState& state) = 0;
  // The number of the newest durable record; records with lower numbers are durable too.
  virtual std::uint64_t last_durable_record() const = 0;
  virtual JournalState state() const { return JournalState::open; }
};

}  // namespace thornwick::budgets

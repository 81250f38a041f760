// Where accounts record their states so that they survive a stop of the router.
#pragma once

#include <cstdint>
#include <string>

#include "budgets/limit.hpp"

namespace thornwick::budgets {

// An append-only log of accounts' states; the newest record of a key counts. Appending never blocks: records
// become durable later, in the order of their numbers.
class Journal {
 public:
  virtual ~Journal() = default;
  // Takes a record and returns its number; 0: it cannot take one now, and the caller offers it again later.
  virtual std::uint64_t append(const std::string& key, const LimitState& state) = 0;
  // Records with this number or a lower one are durable.
  virtual std::uint64_t last_durable_record() const = 0;
};

}  // namespace thornwick::budgets

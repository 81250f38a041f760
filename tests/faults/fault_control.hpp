// Controls the fault shim from a test.
#pragma once

#include <string>

#include "../net/program.hpp"
#include "../store/scratch.hpp"
#include "fault_table.hpp"

namespace thornwick::testing {

struct Fault {
  SystemCall call = SystemCall::none;
  int error = 0;        // an errno, or kShortCount
  double fraction = 1;  // fraction of the matching calls that fail
  SocketSide side = SocketSide::any;
};

// Owns one fault table, for one process at a time. No fault is active at first.
class FaultControl {
 public:
  explicit FaultControl(std::uint64_t seed);
  FaultControl(const FaultControl&) = delete;
  FaultControl& operator=(const FaultControl&) = delete;
  ~FaultControl();

  // Returns the environment of a process that this object controls.
  Program::Environment environment() const;
  // Activates a fault in addition to those that are active, at most kMaxFaultRules in total.
  void add(const Fault& fault);
  // Ends all faults. The count of injected faults stays.
  void clear();
  void step_wall_clock(std::int64_t microseconds) { table_->wall_clock_step_us = microseconds; }
  // Returns the number of calls that were changed since the beginning.
  std::uint64_t injected() const;

 private:
  Scratch scratch_;
  std::string path_;
  FaultTable* table_ = nullptr;
  std::uint64_t injected_before_ = 0;  // by rules that have been cleared
  std::size_t rules_ = 0;
};

}  // namespace thornwick::testing

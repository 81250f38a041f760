// The test's side of the fault shim.
#pragma once

#include <string>

#include "../net/program.hpp"
#include "../store/scratch.hpp"
#include "fault_table.hpp"

namespace thornwick::testing {

struct Fault {
  SystemCall call = SystemCall::none;
  int error = 0;    // an errno, or kShortCount
  double part = 1;  // of the calls that it fits
  SocketSide side = SocketSide::any;
};

// One table, for one process at a time. No fault is on at first.
class FaultControl {
 public:
  explicit FaultControl(std::uint64_t seed);
  FaultControl(const FaultControl&) = delete;
  FaultControl& operator=(const FaultControl&) = delete;
  ~FaultControl();

  // What a process needs to be under this control.
  Program::Environment environment() const;
  // From now on, beside those that are on already: kMaxFaultRules at the most.
  void add(const Fault& fault);
  // All off. What was injected stays counted.
  void clear();
  void step_wall_clock(std::int64_t microseconds) { table_->wall_clock_step_us = microseconds; }
  // How many calls were changed since the beginning.
  std::uint64_t injected() const;

 private:
  Scratch scratch_;
  std::string path_;
  FaultTable* table_ = nullptr;
  std::uint64_t injected_before_ = 0;  // by rules that are off by now
  std::size_t rules_ = 0;
};

}  // namespace thornwick::testing

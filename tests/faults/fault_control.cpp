#include "fault_control.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>

namespace thornwick::testing {

FaultControl::FaultControl(std::uint64_t seed) : path_(scratch_.path("fault-table")) {
  const int fd = open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  REQUIRE(fd >= 0);
  REQUIRE(ftruncate(fd, sizeof(FaultTable)) == 0);
  void* at = mmap(nullptr, sizeof(FaultTable), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  close(fd);
  REQUIRE(at != MAP_FAILED);
  table_ = new (at) FaultTable;
  table_->random = seed;
}

FaultControl::~FaultControl() { munmap(table_, sizeof(FaultTable)); }

Program::Environment FaultControl::environment() const {
  return {{"LD_PRELOAD", THORNWICK_FAULT_SHIM}, {kFaultTableVariable, path_}};
}

void FaultControl::add(const Fault& fault) {
  REQUIRE(rules_ < kMaxFaultRules);
  FaultRule& rule = table_->rules[rules_++];
  rule.side = fault.side;
  rule.error = fault.error;
  rule.per_million = static_cast<std::uint32_t>(fault.fraction * kAlways);
  rule.call = fault.call;
}

void FaultControl::clear() {
  for (FaultRule& rule : table_->rules) {
    rule.call = SystemCall::none;
    injected_before_ += rule.injected.exchange(0);
  }
  rules_ = 0;
}

std::uint64_t FaultControl::injected() const {
  std::uint64_t total = injected_before_;
  for (const FaultRule& rule : table_->rules) total += rule.injected;
  return total;
}

}  // namespace thornwick::testing

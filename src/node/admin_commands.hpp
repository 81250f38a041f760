// Implements the commands of the admin endpoint: HEALTH, DUMP, LEAVE and JOIN (docs/lifecycle.md).
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "lifecycle/lifecycle.hpp"
#include "node/phase_change.hpp"

namespace thornwick::node {

class AdminCommands {
 public:
  struct Callbacks {
    std::function<std::string()> metrics;  // returns the answer to DUMP between its first and last lines
    std::function<void(PhaseChange)> phase_changed;  // called after LEAVE or JOIN has taken effect
  };
  // `router_lifecycle` is not owned and must outlive this object.
  AdminCommands(lifecycle::Lifecycle& router_lifecycle, Callbacks callbacks)
      : lifecycle_(router_lifecycle), callbacks_(std::move(callbacks)) {}

  // Runs the command in `line` and returns its answer. Returns an empty string if the line is not a command.
  std::string answer(std::string_view line);

 private:
  std::string phase_answer(bool success) const;
  std::string leave();
  std::string join();

  lifecycle::Lifecycle& lifecycle_;
  Callbacks callbacks_;
};

}  // namespace thornwick::node

// The commands of the admin endpoint: HEALTH, DUMP, LEAVE and JOIN (docs/lifecycle.md).
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
    std::function<std::string()> metrics;            // returns the text of DUMP, without its last line
    std::function<void(PhaseChange)> phase_changed;  // called after LEAVE or JOIN took effect
  };
  // `router_lifecycle` is not owned and has to outlive the commands.
  AdminCommands(lifecycle::Lifecycle& router_lifecycle, Callbacks callbacks)
      : lifecycle_(router_lifecycle), callbacks_(std::move(callbacks)) {}

  // Runs the command in `line` and returns its answer, or an empty string if the line is no command.
  std::string answer(std::string_view line);

 private:
  std::string phase_answer(bool success) const;
  std::string leave();
  std::string join();

  lifecycle::Lifecycle& lifecycle_;
  Callbacks callbacks_;
};

}  // namespace thornwick::node

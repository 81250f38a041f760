// The commands of the admin endpoint: HEALTH, DUMP, LEAVE and JOIN (docs/lifecycle.md).
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "lifecycle/lifecycle.hpp"

namespace thornwick::node {

class AdminCommands {
 public:
  struct Callbacks {
    std::function<std::string()> metrics;                   // in the form that DUMP answers with
    std::function<void(const char* reason)> phase_changed;  // after LEAVE or JOIN took effect
  };
  // `router_lifecycle` has to outlive the commands.
  AdminCommands(lifecycle::Lifecycle& router_lifecycle, Callbacks callbacks)
      : lifecycle_(router_lifecycle), callbacks_(std::move(callbacks)) {}

  // The answer to one line; empty if it is no command.
  std::string answer(std::string_view line);

 private:
  std::string phase_answer(bool success) const;
  std::string leave();
  std::string join();

  lifecycle::Lifecycle& lifecycle_;
  Callbacks callbacks_;
};

}  // namespace thornwick::node

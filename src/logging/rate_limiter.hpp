// Limits repeated log lines to one per second and kind. Some events, such as invalid entries of an endpoint
// list, can occur thousands of times per second, and a log line for each of them would slow the router down.
// Counters still count all of them.
#pragma once

#include <map>
#include <string_view>

#include "thornwick/time.hpp"

namespace thornwick::logging {

class RateLimiter {
 public:
  // The shortest time between two lines of one kind.
  static constexpr Time kInterval = seconds(1);

  // Returns whether a line of this kind may be written at `now`, a time on a monotonic clock. If so, the next
  // line of this kind is allowed `kInterval` later.
  //
  // `kind` is stored as a reference for the lifetime of the limiter: it must be a string literal, and the
  // number of kinds must be small.
  [[nodiscard]] bool allows(Time now, std::string_view kind) {
    const auto [last_line, is_first] = last_lines_.try_emplace(kind, now);
    if (is_first) return true;
    if (now - last_line->second < kInterval) return false;
    last_line->second = now;
    return true;
  }

 private:
  std::map<std::string_view, Time> last_lines_;  // kind -> time of its last line
};

}  // namespace thornwick::logging

#include "net/clock.hpp"

#include <chrono>
#include <cstdlib>
#include <fstream>

namespace thornwick::net {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

// An error of the clocks that a test requests. The file that $THORNWICK_CLOCK names contains "MS RATE": by
// how many milliseconds the system's clock is ahead, and how fast all clocks run. MS is read on each call, so
// that the system's clock can step; RATE is read once. Without the variable the clocks are right.
struct ClockSkew {
  Time ahead = 0;  // microseconds
  double rate = 1;
};

ClockSkew read_skew() {
  static const char* const path = std::getenv("THORNWICK_CLOCK");
  ClockSkew skew;
  if (path == nullptr) return skew;
  double ahead_ms = 0;
  double rate = 0;
  std::ifstream(path) >> ahead_ms >> rate;
  skew.ahead = static_cast<Time>(1000 * ahead_ms);
  if (rate > 0) skew.rate = rate;
  return skew;
}

}  // namespace

double clock_rate() {
  static const double rate = read_skew().rate;
  return rate;
}

Time wall_clock_us() {
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count() + read_skew().ahead;
}

Time now_us() {
  static const Time wall_at_start = wall_clock_us();
  static const auto start = steady_clock::now();
  const auto elapsed = duration_cast<microseconds>(steady_clock::now() - start).count();
  if (clock_rate() == 1) return wall_at_start + elapsed;
  return wall_at_start + static_cast<Time>(static_cast<double>(elapsed) * clock_rate());
}

}  // namespace thornwick::net

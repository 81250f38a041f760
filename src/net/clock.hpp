// The clocks of this process. All other modules read the time here, so that a test can make the clocks of one
// process wrong.
#pragma once

#include "core/request_manager.hpp"

namespace thornwick::net {

// Microseconds since 1970: the system's time at the first call plus the time that the monotonic clock has
// advanced since that call. The result never steps back and can be compared with `boot_ms` of a discovery
// list.
Time now_us();

// The time of the system's clock, which may step, in microseconds since 1970. now_us() starts from this time.
Time wall_clock_us();

// The speed of this process's clocks relative to real time; 1 unless a test sets another one
// ($THORNWICK_CLOCK).
double clock_rate();

}  // namespace thornwick::net

// The representation of time in the whole program, and functions that name the unit of a constant.
#pragma once

#include <cstdint>

namespace thornwick {

// A time point on a clock that only advances, or a duration, in microseconds. The name of a wall-clock time
// says so.
using Time = std::int64_t;

// Return the duration of a number of whole units, in microseconds.
constexpr Time microseconds(std::int64_t count) { return count; }
constexpr Time milliseconds(std::int64_t count) { return count * 1'000; }
constexpr Time seconds(std::int64_t count) { return count * 1'000'000; }

}  // namespace thornwick

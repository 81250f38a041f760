// Time as the whole program counts it, and functions that name the unit of a constant.
#pragma once

#include <cstdint>

namespace thornwick {

// Microseconds: a point on a clock that only advances, or a span. Where a value is wall time, its name says
// so.
using Time = std::int64_t;

// Spans of whole units; `milliseconds(250)` reads as what it is and costs nothing at run time.
constexpr Time microseconds(std::int64_t count) { return count; }
constexpr Time milliseconds(std::int64_t count) { return count * 1'000; }
constexpr Time seconds(std::int64_t count) { return count * 1'000'000; }

}  // namespace thornwick

// The rate limiter of log lines.
#include <catch2/catch.hpp>

#include "logging/rate_limiter.hpp"

TEST_CASE("the rate limiter allows one log line a second for each kind of event") {
  thornwick::logging::RateLimiter rate_limiter;
  CHECK(rate_limiter.allows(5'000'000, "one"));
  CHECK_FALSE(rate_limiter.allows(5'900'000, "one"));
  CHECK(rate_limiter.allows(5'900'000, "two"));
  CHECK(rate_limiter.allows(6'000'000, "one"));
}

#include "emulator/histogram.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

using namespace thornwick::emulator;

TEST_CASE("every quantile is within Histogram::kError of the exact one") {
  CHECK(rc::check([] {
    auto values = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
        rc::gen::map(rc::gen::pair(rc::gen::inRange(0, 40), rc::gen::inRange<std::int64_t>(0, 1000)),
                     [](const auto& pair) { return (pair.second << pair.first) / 1000; })));
    Histogram histogram;
    Histogram half;
    for (std::size_t i = 0; i < values.size(); ++i) (i % 2 == 0 ? histogram : half).add(values[i]);
    histogram.add(half);
    std::sort(values.begin(), values.end());
    RC_ASSERT(histogram.total() == values.size());
    for (const double fraction : {0.01, 0.5, 0.9, 0.99, 1.0}) {
      const auto at = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size()))) - 1;
      const auto exact = static_cast<double>(values[at]);
      RC_ASSERT(std::abs(histogram.quantile(fraction) - exact) <= Histogram::kError * exact);
    }
  }));
}

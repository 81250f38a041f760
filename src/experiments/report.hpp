// The report of a results file as one HTML page.
#pragma once

#include <string>
#include <vector>

#include "experiments/results.hpp"

namespace thornwick::experiments {

// Returns a page with a table of means and confidence intervals, a plot of each measure by each setting, and
// plots of the days whose complete result is stored. The page refers to nothing outside itself.
std::string write_report(const std::string& title, const std::vector<ResultRow>& rows);

}  // namespace thornwick::experiments

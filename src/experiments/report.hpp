// One HTML file with tables and plots of what a results file holds, readable without a network.
#pragma once

#include <string>
#include <vector>

#include "experiments/results.hpp"

namespace thornwick::experiments {

std::string report(const std::string& title, const std::vector<Row>& rows);

}  // namespace thornwick::experiments

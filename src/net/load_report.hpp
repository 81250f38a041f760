// Reads load reports of replicas, such as "eps=0.5, inflight=3". Replicas send reports in a header, in a
// comment of an event stream, or as the answer to a probe.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace thornwick::net {

// Returns the values of a report in the order of `names`, which are the settings' names of the fields that
// the routing policy uses. Returns an empty vector if one of these fields is missing, occurs twice, or is not
// a number of at least 0, because a malformed report must change nothing. Other fields are ignored.
std::vector<float> read_load_report(std::string_view text, const std::vector<std::string>& names);

}  // namespace thornwick::net

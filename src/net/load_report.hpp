// Load reports of replicas, such as "eps=0.5, inflight=3". They come in a header, in a comment of an event
// stream or as the answer to a probe.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace thornwick::net {

// Returns the values of a report in the order of `names`, the fields that the routing policy uses, as the
// settings name them. Returns an empty vector if a field is missing, occurs twice or is no number from 0 on:
// a malformed report must change nothing. Other fields are ignored.
std::vector<float> read_report(std::string_view text, const std::vector<std::string>& names);

}  // namespace thornwick::net

// The status of this router's view of its group, as one JSON object or as text.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "membership/swim.hpp"
#include "net/links.hpp"

namespace thornwick::node {

// The sources of a status. Holds references, and is to be used within one call.
struct GroupStatus {
  const std::string& group;
  const membership::Swim& swim;
  const net::PeerLinks& links;
  Time now;
  Time started;      // when this process started
  bool empty_start;  // this process found no state of an earlier one on its disk
};

nlohmann::ordered_json status_json(const GroupStatus& status);
std::string status_text(const GroupStatus& status);

}  // namespace thornwick::node

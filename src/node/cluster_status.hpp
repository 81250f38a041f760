// Prints this router's view of its group, as one JSON object or as text.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "membership/swim.hpp"
#include "net/links.hpp"

namespace thornwick::node {

// The data that a status is made from. Holds references, so it must not be kept beyond the call it is made
// for.
struct GroupStatus {
  const std::string& group;
  const membership::Swim& swim;
  const net::PeerLinks& links;
  Time now;
  Time started_at;    // when this process joined the group
  bool has_new_disk;  // whether this process found no state of an earlier process on its disk
};

nlohmann::ordered_json status_json(const GroupStatus& status);
std::string status_text(const GroupStatus& status);

}  // namespace thornwick::node

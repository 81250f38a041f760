// The status of this router's view of its group: one JSON object, or the same as text for people.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "membership/swim.hpp"
#include "net/links.hpp"

namespace thornwick::node {

// What a status is made from; refers to the parts for the length of one call.
struct GroupStatus {
  const std::string& group;
  const membership::Swim& swim;
  const net::Links& links;
  Time now, started;
  bool empty_start;  // this process found nothing of an earlier one on its disk
};

nlohmann::ordered_json status_json(const GroupStatus& status);
std::string status_text(const GroupStatus& status);

}  // namespace thornwick::node

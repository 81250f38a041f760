#include "replication/message.hpp"

namespace thornwick::replication {

std::string to_string(OperatorRejection rejection) {
  switch (rejection) {
    case OperatorRejection::too_many_requests: return "too many corrections at a time";
    case OperatorRejection::clock_ahead: return "the router's clock is far ahead";
    case OperatorRejection::no_room: return "there is no room for this account";
    case OperatorRejection::unknown_routers: return "no two routers of the group are called so";
  }
  return {};
}

}  // namespace thornwick::replication

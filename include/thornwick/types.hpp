// The basic types of the routing policy's interface.
#pragma once

#include <cstdint>

#include "thornwick/time.hpp"

namespace thornwick {

using ReplicaId = std::uint32_t;
using RequestId = std::uint64_t;

}  // namespace thornwick

// The exception of this module, thrown for an address, a socket or a listener that cannot be used.
#pragma once

#include <stdexcept>

namespace thornwick::net {

struct NetError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace thornwick::net

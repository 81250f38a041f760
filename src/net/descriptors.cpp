#include "net/descriptors.hpp"

namespace thornwick::net {

Descriptors& descriptors() {
  static Descriptors counts;
  return counts;
}

}  // namespace thornwick::net

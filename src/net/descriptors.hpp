// The count of file descriptors that this module's sockets hold, and the limit that admission respects.
#pragma once

#include <cstddef>

namespace thornwick::net {

struct Descriptors {
  std::size_t limit = 1024;  // that this process may hold
  std::size_t held = 0;      // that its streams, listeners and datagram sockets hold now
};

// The process's count.
Descriptors& descriptors();

// Counts one descriptor as held while it exists.
class HeldDescriptor {
 public:
  HeldDescriptor() { ++descriptors().held; }
  HeldDescriptor(const HeldDescriptor&) = delete;
  HeldDescriptor& operator=(const HeldDescriptor&) = delete;
  ~HeldDescriptor() { --descriptors().held; }
};

}  // namespace thornwick::net

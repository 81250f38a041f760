// Counts the file descriptors that the sockets of this module hold. The admission of connections respects the
// limit.
#pragma once

#include <cstddef>

namespace thornwick::net {

struct Descriptors {
  std::size_t limit = 1024;  // descriptors that this process may hold
  std::size_t held = 0;      // descriptors that streams, listeners and datagram sockets hold now
};

// The count and the limit of this process.
Descriptors& descriptors();

// Counts one descriptor as held as long as this object exists.
class HeldDescriptor {
 public:
  HeldDescriptor() { ++descriptors().held; }
  HeldDescriptor(const HeldDescriptor&) = delete;
  HeldDescriptor& operator=(const HeldDescriptor&) = delete;
  ~HeldDescriptor() { --descriptors().held; }
};

}  // namespace thornwick::net

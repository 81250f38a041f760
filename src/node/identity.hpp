// Determines the identity of a process in its group: the id of its disk and the number of its start, stored
// in a small file that is written at each start (docs/membership.md).
#pragma once

#include <cstdint>
#include <string>

#include "membership/message.hpp"

namespace thornwick::node {

// Returns a random number from the system's entropy, for seeds and ids of processes and commands.
std::uint64_t random_number();

struct StartupIdentity {
  membership::Identity identity;
  bool new_disk = true;  // whether there was no readable file, or it could not be written
  std::string error;     // why the file could not be read or written; empty if there was no error
};

// Increments the start number in the file, durably, and draws a new instance id. If the file cannot be
// written, the disk gets a new id, as a new and empty disk does, because the group must not rely on state of
// earlier processes. An empty path means that there is no file. Blocks on the disk, so call it before the
// main loop runs.
StartupIdentity load_identity(const std::string& path);

}  // namespace thornwick::node

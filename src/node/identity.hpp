// The identity of a process in its group: the id of its disk and the number of starts, kept in a small file
// that is written at each start (docs/membership.md).
#pragma once

#include <cstdint>
#include <string>

#include "membership/message.hpp"

namespace thornwick::node {

// Returns a random number from the system's entropy, for seeds and ids of processes.
std::uint64_t random_number();

struct StartupIdentity {
  membership::Identity identity;
  bool empty = true;    // there was no readable file
  std::string problem;  // why the file could not be read or written; empty if it could
};

// Counts this start in the file, durably, and draws a new run id. If the file cannot be written, each start
// counts as the first one of a new, empty disk, because the group must not rely on state of earlier
// processes. An empty path means that there is no file. Blocks, so it is to be called before the loop runs.
StartupIdentity load_identity(const std::string& path);

}  // namespace thornwick::node

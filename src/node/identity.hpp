// Which start of which disk this process is: a small file that is written once at each start
// (docs/membership.md).
#pragma once

#include <cstdint>
#include <string>

#include "membership/message.hpp"

namespace thornwick::node {

// From the system's entropy, for seeds and names of processes.
std::uint64_t random_number();

struct StartupIdentity {
  membership::Identity identity;
  bool empty = true;    // there was no file, or none that could be read
  std::string problem;  // why nothing could be read or written; empty: all went well
};

// Counts this start in the file, durably, and draws a new run. Where nothing can be written, each start
// counts as one of a new, empty disk: the group must not rely on anything that such a process held before. An
// empty path: there is no file. Blocks; for the time before the loop runs.
StartupIdentity load_identity(const std::string& path);

}  // namespace thornwick::node

// The state on disk with which a simulated process starts.
#pragma once

namespace thornwick::emulator {

enum class Disk {
  same,   // that of the process before it
  empty,  // a new disk
  older   // a copy from before the last start, if there is one; else as `same`
};

}  // namespace thornwick::emulator

// The state on disk with which a simulated process starts.
#pragma once

namespace thornwick::emulator {

enum class Disk {
  same,   // the disk of the previous process
  empty,  // a new disk without records
  older   // a copy from before the last start, or `same` if there is none
};

}  // namespace thornwick::emulator

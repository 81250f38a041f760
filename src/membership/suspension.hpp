// Detects that this process itself did not run for a while (suspended, swapped out, or in a virtual machine
// that was migrated). Its view of the other members is out of date then, and it must not take their silence
// for failure.
#pragma once

#include "membership/swim_state.hpp"

namespace thornwick::membership {

// Must be called first at every entry into the failure detector, before the view of the members is used.
void check_suspension(SwimState& state, Time now);

}  // namespace thornwick::membership

// Detects that this process itself did not run for a while (suspended, swapped out, or in a virtual machine
// that was migrated). Its view of the other members is then out of date, and missing answers of other members
// do not mean that they have failed.
#pragma once

#include "membership/swim_state.hpp"

namespace thornwick::membership {

// Has to be the first call in every public function of Swim that changes the state, before the view of the
// members is used.
void check_suspension(SwimState& state, Time now);

}  // namespace thornwick::membership

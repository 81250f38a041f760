// Whether what a member claims of others is believed: not while its suspicions were contradicted too often.
#pragma once

#include <cstddef>

#include "membership/swim_state.hpp"

namespace thornwick::membership {

[[nodiscard]] bool is_trusted(const SwimState& state, Time now, std::size_t reporter);

// Notes that `reporter` suspects `member`, although the member answered this router just now. Counts once for
// each incarnation of the member, even if other members repeat the suspicion.
void note_contradiction(SwimState& state, Time now, std::size_t member, std::size_t reporter);

}  // namespace thornwick::membership

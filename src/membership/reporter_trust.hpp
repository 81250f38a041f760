// Whether a member's claims about other members are accepted. They are not while too many of its recent
// suspicions were contradicted.
#pragma once

#include <cstddef>

#include "membership/swim_state.hpp"

namespace thornwick::membership {

[[nodiscard]] bool is_trusted(const SwimState& state, Time now, std::size_t reporter);

// Records that `reporter` suspects `member` although the member has just answered this router. Counts once
// for each incarnation of the member, even if other members repeat the suspicion.
void note_contradiction(SwimState& state, Time now, std::size_t member, std::size_t reporter);

}  // namespace thornwick::membership

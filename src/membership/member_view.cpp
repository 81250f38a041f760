#include "membership/member_view.hpp"

namespace thornwick::membership {

const char* name_of(MemberState state) {
  // In the order of MemberState.
  static constexpr const char* names[] = {"silent", "alive", "suspected", "gone", "leaving", "left"};
  return names[static_cast<int>(state)];
}

const char* name_of(RecoveryState recovery) {
  // In the order of RecoveryState.
  static constexpr const char* names[] = {"first", "kept", "empty", "older"};
  return names[static_cast<int>(recovery)];
}

}  // namespace thornwick::membership

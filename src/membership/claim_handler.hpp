// Evaluates other routers' claims about members: incarnations, suspicions, announced shutdowns.
#pragma once

#include <cstddef>

#include "membership/group_evaluation.hpp"
#include "membership/identity_tracker.hpp"
#include "membership/swim_state.hpp"

namespace thornwick::membership {

class ClaimHandler {
 public:
  ClaimHandler(SwimState& state, Time now)
      : state_(state), now_(now), group_(state, now), identities_(state, now) {}

  // Handles one claim. `reporter` is the member that sent the claim, which may be about the reporter itself.
  void accept(const Claim& claim, std::size_t reporter);

 private:
  enum class Source { member_itself, another };

  void on_claim_about_self(const Claim& claim);
  void on_newer_claim(std::size_t member, const Claim& claim, std::size_t reporter);
  void on_current_claim(std::size_t member, const Claim& claim, std::size_t reporter);
  void on_newer_incarnation(std::size_t member, const Claim& claim, Source source);
  void on_suspicion(std::size_t member, const Claim& claim, std::size_t reporter);
  void on_suspicion_of_live_member(std::size_t member, std::size_t reporter);
  void add_suspecting_member(MemberRecord& record, std::size_t reporter);
  void adopt(std::size_t member, const Claim& claim);

  SwimState& state_;
  Time now_;
  GroupEvaluation group_;
  IdentityTracker identities_;
};

}  // namespace thornwick::membership

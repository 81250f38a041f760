// Draws the conclusions from answers and from missing answers: suspicion, failure, and proof that a member
// runs.
#pragma once

#include <cstddef>
#include <cstdint>

#include "membership/group_evaluation.hpp"
#include "membership/probe_rounds.hpp"
#include "membership/swim_state.hpp"

namespace thornwick::membership {

// The number of members to probe when this router itself may be the one that fails.
inline constexpr std::size_t kWideProbe = 8;

class FailureDetector {
 public:
  FailureDetector(SwimState& state, Time now)
      : state_(state), now_(now), group_(state, now), rounds_(state, now) {}

  // Advances or ends the rounds that are due.
  void process_rounds();
  // Calls the members gone that this tick's rounds condemned, unless the tick also found that this router is
  // cut off or that the member answers.
  void apply_verdicts();
  // Handles an answer to one of this router's rounds. `via` is the member itself or a helper.
  void on_answer(std::size_t member, std::size_t via, std::uint32_t number);
  // Handles proof that the member runs and is reachable: an answer to a probe that was sent after the last
  // such proof.
  void on_proof_of_life(std::size_t member, std::size_t via);

 private:
  void process_round(std::size_t index);
  void on_round_failed(const ProbeRound& round);
  void on_ordinary_round_failed();
  void on_leaving_member_silent(std::size_t member);
  void suspect_if_silent_for_long(std::size_t member);
  bool is_silent_for_long(const MemberRecord& member) const;
  bool another_answers(const MemberRecord& silent) const;
  void condemn_if_silent_for_long(std::size_t member);
  void condemn_silent_members();
  std::uint32_t rounds_until_failure(const MemberRecord& member) const;
  void note_answered_round(ProbeRound& round, bool direct);
  void reset_doubt(MemberRecord& member);
  void restore(std::size_t member, std::size_t via);
  void learn_loss(MemberRecord& member);

  SwimState& state_;
  Time now_;
  GroupEvaluation group_;
  ProbeRounds rounds_;
};

}  // namespace thornwick::membership

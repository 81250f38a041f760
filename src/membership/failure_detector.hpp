// What answers and their absence mean: suspicion, failure, and proof that a member runs.
#pragma once

#include <cstddef>
#include <cstdint>

#include "membership/group_evaluation.hpp"
#include "membership/probe_rounds.hpp"
#include "membership/swim_state.hpp"

namespace thornwick::membership {

// How many members are probed when it may be this router that fails.
inline constexpr std::size_t kWideProbe = 8;

class FailureDetector {
 public:
  FailureDetector(SwimState& state, Time now)
      : state_(state), now_(now), group_(state, now), rounds_(state, now) {}

  // Advances or ends the rounds whose time has come.
  void process_rounds();
  // Calls gone whom the rounds of this tick condemned, unless something else was found out in it.
  void apply_verdicts();
  // An answer to a round of this router's; `via` is the member itself or a helper.
  void on_answer(std::size_t member, std::size_t via, std::uint32_t number);
  // The member answered something that was asked after it was last known to run: it runs, and is reached.
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

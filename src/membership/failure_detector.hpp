// Concludes from answers and missing answers that members are suspected, have failed, or run.
#pragma once

#include <cstddef>
#include <cstdint>

#include "membership/group_evaluation.hpp"
#include "membership/probe_rounds.hpp"
#include "membership/swim_state.hpp"

namespace thornwick::membership {

// The number of members to probe when this router itself may be cut off, was suspended, or shuts down.
inline constexpr std::size_t kWideProbe = 8;

class FailureDetector {
 public:
  FailureDetector(SwimState& state, Time now)
      : state_(state), now_(now), group_(state, now), rounds_(state, now) {}

  // Advances the rounds whose next stage is due, and ends those whose deadline has passed.
  void process_rounds();
  // Sets the members to failed that this tick's rounds found unresponsive, unless the tick also found that
  // this router is cut off or that the member answers.
  void apply_pending_failures();
  // Handles an answer to the round `number` of this router. `via` is the member itself or a helper.
  void on_answer(std::size_t member, std::size_t via, std::uint32_t number);
  // Handles proof that the member runs and is reachable: an answer to a probe that was sent after the last
  // proof. `via` is the member itself or a helper.
  void on_proof_of_life(std::size_t member, std::size_t via);

 private:
  void process_round(std::size_t index);
  void on_round_failed(const ProbeRound& round);
  void on_ordinary_round_failed();
  void on_leaving_member_unresponsive(std::size_t member);
  void suspect_if_unresponsive(std::size_t member);
  bool is_unresponsive(const MemberRecord& member) const;
  bool another_answers(const MemberRecord& unresponsive) const;
  void fail_if_unresponsive(std::size_t member);
  void fail_unresponsive_members();
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

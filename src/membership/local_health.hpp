// Lifeguard's local health score (Dadgar, Phillips and Currey 2018). A high score means that this router
// itself is probably slow.
#pragma once

#include <algorithm>
#include <cstdint>

namespace thornwick::membership {

class LocalHealth {
 public:
  // Called when a healthy member did not answer a probe, or this router had to refute a suspicion.
  void worsen() { score_ = std::min(kMaxScore, score_ + 1); }
  void improve() {
    if (score_ > 0) --score_;
  }
  // The score, from 0 for healthy to kMaxScore.
  std::uint32_t score() const { return score_; }

 private:
  static constexpr std::uint32_t kMaxScore = 8;
  std::uint32_t score_ = 0;
};

}  // namespace thornwick::membership

// Lifeguard's local health score (Dadgar, Phillips and Currey 2018). A high score means that this router
// itself is likely to be slow.
#pragma once

#include <algorithm>
#include <cstdint>

namespace thornwick::membership {

class LocalHealth {
 public:
  // Called when a probe of a healthy member was not answered, or this router had to refute a suspicion.
  void worsen() { score_ = std::min(kWorst, score_ + 1); }
  void improve() {
    if (score_ > 0) --score_;
  }
  // 0: healthy.
  std::uint32_t score() const { return score_; }

 private:
  static constexpr std::uint32_t kWorst = 8;
  std::uint32_t score_ = 0;
};

}  // namespace thornwick::membership

#include "records.hpp"

namespace sprucecourse {

void check_settings(const Settings& s) {
  if (s.classes.empty()) throw std::invalid_argument("settings: no class of request");
  if (s.zone >= s.zone_count) throw std::invalid_argument("settings: own zone beyond the number of zones");
  if (s.group_size == 0) throw std::invalid_argument("settings: no router in the group");
  if (s.max_attempts == 0) throw std::invalid_argument("settings: no attempt allowed");
  if (!(s.cold_from >= 0 && s.cold_from <= 1))
    throw std::invalid_argument("settings: cold_from outside 0..1");
  if (!(s.tip_multiple > 0)) throw std::invalid_argument("settings: tip_multiple not above 0");
  if (s.cold < 0 || s.ask_within <= 0) throw std::invalid_argument("settings: a period that is not positive");
  for (const auto& c : s.classes) {
    if (c.aim <= 0 || c.deadline <= 0) throw std::invalid_argument("settings: class without aim or deadline");
  }
}

}  // namespace sprucecourse

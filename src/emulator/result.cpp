#include "emulator/result.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace thornwick::emulator {
namespace {

// Coefficients of the score (docs/experiments.md, "Score").
constexpr double kTotalCoefficient = 0.6;
constexpr double kWorstWindowCoefficient = 0.1;
constexpr double kWorstClassCoefficient = 0.2;
constexpr double kWorstMemberCoefficient = 0.1;
constexpr double kWasteCoefficient = 0.19;
constexpr double kCrossingCoefficient = 0.022;

// Returns the number of tokens that a replica read in `width` samples, beginning with sample `from`.
double sum_tokens_read(const ReplicaResult& replica, std::size_t from, std::size_t width) {
  double tokens = 0;
  for (std::size_t i = from; i < std::min(from + width, replica.tokens_read.size()); ++i)
    tokens += replica.tokens_read[i];
  return tokens;
}

}  // namespace

double ClassResult::answered_of_longest(double from, double to) const {
  std::vector<const RequestOutcome*> order;
  order.reserve(outcomes.size());
  for (const auto& outcome : outcomes) order.push_back(&outcome);
  std::sort(order.begin(), order.end(), [](const auto* a, const auto* b) { return a->prompt > b->prompt; });
  const auto index_of = [&](double fraction) {
    return static_cast<std::size_t>(fraction * static_cast<double>(order.size()));
  };
  std::size_t answered = 0;
  std::size_t total = 0;
  for (std::size_t i = index_of(from); i < index_of(to); ++i) {
    ++total;
    if (order[i]->answered) ++answered;
  }
  return total == 0 ? 1 : static_cast<double>(answered) / static_cast<double>(total);
}

double ClassResult::rejected_session_excess() const {
  struct Session {
    std::size_t requests = 0;
    std::size_t rejected = 0;
  };
  std::unordered_map<std::uint64_t, Session> sessions;
  std::size_t rejected = 0;
  for (const auto& outcome : outcomes) {
    Session& session = sessions[outcome.session];
    ++session.requests;
    if (outcome.answered) continue;
    ++session.rejected;
    ++rejected;
  }
  if (sessions.empty()) return 0;
  const double probability = static_cast<double>(rejected) / static_cast<double>(outcomes.size());
  double excess = 0;
  for (const auto& [key, session] : sessions) {
    const double all_rejected = session.rejected == session.requests ? 1 : 0;
    excess += all_rejected - std::pow(probability, static_cast<double>(session.requests));
  }
  return excess / static_cast<double>(sessions.size());
}

double worst_share(const Result& result, double window_s, double from_s, double to_s) {
  const auto index_of = [&](double seconds) { return static_cast<std::size_t>(seconds / result.sample_s); };
  const std::size_t width = std::max<std::size_t>(1, index_of(window_s));
  double worst = 0;
  for (std::size_t i = index_of(from_s); i + width <= index_of(to_s); ++i) {
    double largest = 0;
    double total = 0;
    for (const auto& replica : result.fleet) {
      const double tokens = sum_tokens_read(replica, i, width);
      largest = std::max(largest, tokens);
      total += tokens;
    }
    if (total > 0) worst = std::max(worst, largest * static_cast<double>(result.fleet.size()) / total);
  }
  return worst;
}

Result empty_result(const Scenario& scenario, std::uint64_t seed) {
  Result result;
  result.scenario = scenario.name;
  result.policy = scenario.policy;
  result.seed = seed;
  result.seconds = scenario.seconds;
  result.routers = scenario.routers;
  result.replicas = scenario.replicas;
  for (const auto& request_class : scenario.classes) result.classes.emplace_back().name = request_class.name;
  result.members.resize(scenario.members.size());
  for (const auto& member : scenario.members) result.member_names.push_back(member.name);
  return result;
}

double earned_fraction(const RequestClass& request_class, Time objective_at, Time deadline, Time first_at,
                       Time ended_at, double generated) {
  const double token_ms = static_cast<double>(ended_at - first_at) / 1000 / generated;
  if (first_at <= objective_at && token_ms <= request_class.token_ms) return 1;
  const bool late = first_at <= deadline && token_ms <= 2 * request_class.token_ms;
  return late ? request_class.late_weight : 0;
}

bool is_scored(const Scenario& scenario, Time requested_at) {
  return requested_at >= static_cast<Time>(scenario.warm_up_s * 1e6);
}

void add_weight(Result& result, const Scenario& scenario, Time requested_at, std::size_t class_index,
                std::size_t member, double priority_weight, double earned_fraction) {
  if (!is_scored(scenario, requested_at)) return;
  const auto window = static_cast<std::size_t>(static_cast<double>(requested_at) / 1e6 / result.window_s);
  if (window >= result.windows.size()) result.windows.resize(window + 1);
  for (EarnedWeight* weight : {&result.total_weight, &result.classes[class_index].priority_weight,
                               &result.members[member], &result.windows[window]}) {
    weight->requested += priority_weight;
    weight->earned += priority_weight * earned_fraction;
  }
}

void set_score(Result& result) {
  double worst_window = 1;
  double worst_class = 1;
  double worst_member = 1;
  for (const auto& window : result.windows) worst_window = std::min(worst_window, window.share());
  for (const auto& each : result.classes) worst_class = std::min(worst_class, each.priority_weight.share());
  for (const auto& member : result.members) worst_member = std::min(worst_member, member.share());
  const double wasted = result.requested_work > 0 ? result.wasted_work / result.requested_work : 0;
  const double crossed =
      result.turns > 0 ? static_cast<double>(result.cross_zone_attempts) / static_cast<double>(result.turns)
                       : 0;
  result.score = kTotalCoefficient * result.total_weight.share() + kWorstWindowCoefficient * worst_window +
                 kWorstClassCoefficient * worst_class + kWorstMemberCoefficient * worst_member -
                 kWasteCoefficient * std::max(0.0, wasted) - kCrossingCoefficient * crossed;
}

}  // namespace thornwick::emulator

#include "emulator/demand.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "random/hashing.hpp"

namespace thornwick::emulator {
namespace {

constexpr int kSampledSessions =
    4000;                        // number of sessions drawn in advance to estimate the work of one session
constexpr int kMaxTurns = 1000;  // maximum number of requests of a session
constexpr double kTypicalOccupancy =
    0.5;  // fraction of the slots in use for which the work of a token is computed
constexpr double kReadingMsPerToken =
    20;  // time that a client needs to read a token of an answer before its next request
constexpr double kBurstSeconds = 2;  // seconds of its share that a member may save up
constexpr double kMaxTokensFactor =
    2.5;  // maximum multiple of the answer's length that a client sets as its limit

double mean_of(const Range& range) { return (range.low + range.high) / 2; }

double draw(RandomStream& random, const Range& range) { return random.between(range.low, range.high); }

double total_share(const std::vector<Member>& members) {
  double total = 0;
  for (const auto& member : members) total += member.share;
  return total;
}

}  // namespace

DemandModel::DemandModel(const Scenario& scenario, std::uint64_t seed, double capacity, RandomStream& clients)
    : scenario_(scenario),
      seed_(seed),
      capacity_(capacity),
      arrivals_(seed, StreamPurpose::arrivals),
      sizes_(seed, StreamPurpose::sizes),
      class_choice_(std::vector<double>{1}),
      member_choice_(std::vector<double>{1}),
      zone_choice_(std::vector<double>{1}),
      allowance_(scenario.members.size(), 0) {
  draw_means();
  draw_choices(clients);
  const Sample sample = sample_sessions(seed);
  const double fixed_work = scenario.classes.front().mean_us;
  const double load = draw(sizes_, scenario.load);
  sessions_per_s_ =
      load * capacity / (fixed_work > 0 ? fixed_work : sample.work) * kSampledSessions / sample.requests;
}

void DemandModel::draw_means() {
  for (const auto& request_class : scenario_.classes) means_.push_back(draw_class_means(request_class));
}

DemandModel::ClassMeans DemandModel::draw_class_means(const RequestClass& request_class) {
  const double turns = std::max(1.0, draw(sizes_, request_class.turns));
  const double new_tokens = draw(sizes_, request_class.new_tokens);
  const double generated = draw(sizes_, request_class.generated);
  std::vector<double> sizes;
  std::vector<double> weights{1};
  for (std::size_t i = 0; i < request_class.prefixes; ++i) {
    sizes.push_back(std::round(draw(sizes_, request_class.prefix_tokens)));
    if (i > 0) weights.push_back(std::pow(static_cast<double>(i + 1), -request_class.prefix_skew));
  }
  return {turns, new_tokens, generated, std::move(sizes), WeightedChoice(std::move(weights))};
}

void DemandModel::draw_choices(RandomStream& clients) {
  std::vector<double> classes;
  for (std::size_t i = 0; i < means_.size(); ++i)
    classes.push_back(scenario_.classes[i].share / means_[i].turns);
  std::vector<double> members;
  for (const auto& member : scenario_.members) members.push_back(member.demand);
  std::vector<double> zones;
  for (std::size_t i = 0; i < scenario_.zones.size(); ++i) {
    const int sign = i % 2 == 0 ? 1 : -1;
    zones.push_back(1 + scenario_.zone_skew * sign * clients.unit());
  }
  class_choice_ = WeightedChoice(std::move(classes));
  member_choice_ = WeightedChoice(std::move(members));
  zone_choice_ = WeightedChoice(std::move(zones));
}

// Estimates the mean work by sampling. The mean is not calculated, because answers are cut at their limit.
DemandModel::Sample DemandModel::sample_sessions(std::uint64_t seed) const {
  RandomStream random(seed, StreamPurpose::sizes, 1);
  double work = 0;
  double requests = 0;
  for (int i = 0; i < kSampledSessions; ++i) {
    const std::size_t class_index = class_choice_.draw(random);
    const RequestClass& request_class = scenario_.classes[class_index];
    const ClassMeans& mean = means_[class_index];
    const double generated = std::clamp(random.lognormal(mean.generated, request_class.generated_sigma), 1.0,
                                        request_class.max_tokens);
    const double new_tokens = random.lognormal(mean.new_tokens, request_class.new_sigma);
    const double prefix_tokens =
        mean.prefix_sizes.empty() ? 0 : mean.prefix_sizes[mean.prefix_choice.draw(random)];
    const double context = prefix_tokens + (mean.turns + 1) / 2 * (new_tokens + generated);
    work += mean.turns * draw_work(random, request_class, new_tokens, context, generated);
    requests += mean.turns;
  }
  return {work / requests, requests};
}

// Returns the work of a request in microseconds on a replica of speed 1. The replica reads the new tokens,
// and each token of the answer takes its share of a step, whose duration grows with the context. Service
// times of plain queues are drawn instead.
double DemandModel::draw_work(RandomStream& random, const RequestClass& request_class, double unread,
                              double context, double generated) const {
  if (request_class.alpha > 0)
    return random.bounded_pareto(request_class.alpha, request_class.min_us, request_class.max_us);
  const ReplicaKind& kind = scenario_.kinds.front();
  const double running = std::max(1.0, kTypicalOccupancy * mean_of(kind.slots));
  const double token = 1000 * mean_of(kind.step_ms) / running + mean_of(kind.per_sequence_us) +
                       mean_of(kind.context_us_per_k) * context / 1000;
  return 1e6 * unread / mean_of(kind.read_per_s) + generated * token;
}

double DemandModel::draw_gap(double rate_factor) {
  return arrivals_.exponential(1e6 / (sessions_per_s_ * rate_factor));
}

bool DemandModel::accept_candidate(double probability) { return arrivals_.happens(probability); }

Session DemandModel::draw_session() {
  Session session;
  session.class_index = static_cast<std::uint16_t>(class_choice_.draw(arrivals_));
  session.member = static_cast<std::uint16_t>(member_choice_.draw(arrivals_));
  session.zone = static_cast<std::uint16_t>(zone_choice_.draw(arrivals_));
  session.key = arrivals_.bits() | 1;
  const ClassMeans& mean = means_[session.class_index];
  if (scenario_.classes[session.class_index].prefixes > 0) {
    const std::size_t number = mean.prefix_choice.draw(arrivals_);
    session.prefix = mix(seed_ ^ (std::uint64_t{session.class_index} << 32 | number)) | 1;
    session.prefix_tokens = mean.prefix_sizes[number];
    session.context = session.prefix_tokens;
  }
  // The number of turns has a geometric distribution with the class's mean.
  session.remaining_turns = 1;
  while (session.remaining_turns < kMaxTurns && arrivals_.happens(1 - 1 / mean.turns))
    ++session.remaining_turns;
  return session;
}

PlannedRequest DemandModel::draw_request(Session& session, Time now) {
  const RequestClass& request_class = scenario_.classes[session.class_index];
  const ClassMeans& mean = means_[session.class_index];
  PlannedRequest request;
  request.at = now;
  request.class_index = session.class_index;
  request.member = session.member;
  request.zone = session.zone;
  request.session = session.key;
  request.prefix = session.prefix;
  request.prefix_tokens = session.prefix_tokens;
  const double new_tokens =
      std::max(1.0, std::round(sizes_.lognormal(mean.new_tokens, request_class.new_sigma)));
  request.generated = std::clamp(std::round(sizes_.lognormal(mean.generated, request_class.generated_sigma)),
                                 1.0, request_class.max_tokens);
  request.max_tokens =
      std::min(request_class.max_tokens, std::ceil(request.generated * sizes_.between(1, kMaxTokensFactor)));
  request.prompt = session.context + new_tokens;
  request.work = draw_work(sizes_, request_class, new_tokens, request.prompt, request.generated);
  request.hint = scenario_.hint_sigma < 0 ? 0 : sizes_.lognormal(request.work, scenario_.hint_sigma);
  session.context = request.prompt + request.generated;
  --session.remaining_turns;
  const double per_k_ms = request_class.latency_objective_ms_per_k * request.prompt / 1000;
  request.objective_at = now + static_cast<Time>(1000 * (request_class.latency_objective_ms + per_k_ms));
  request.deadline =
      now + static_cast<Time>(1000 * (request_class.deadline_ms +
                                      2 * request_class.latency_objective_ms_per_k * request.prompt / 1000));
  const bool within_share = take_from_allowance(session.member, request.work, now);
  request.priority_weight =
      request_class.priority_weight * request.work * (within_share ? 1 : scenario_.over_share_weight);
  return request;
}

// Takes the work of a request from its member's allowance. Returns false if the request exceeds the member's
// share and such requests have a lower weight. The weight does not depend on the request's outcome.
bool DemandModel::take_from_allowance(std::uint16_t member, double work, Time now) {
  const double total = total_share(scenario_.members);
  const double elapsed_s = static_cast<double>(now - allowance_at_) / 1e6;
  for (std::size_t i = 0; i < allowance_.size(); ++i) {
    const double per_s = capacity_ * scenario_.members[i].share / total;
    allowance_[i] = std::min(per_s * kBurstSeconds, allowance_[i] + per_s * elapsed_s);
  }
  allowance_at_ = now;
  if (allowance_[member] < work && scenario_.over_share_weight < 1) return false;
  allowance_[member] -= work;
  return true;
}

Time DemandModel::draw_think_time(const PlannedRequest& request) {
  const double thinking = sizes_.exponential(1e6 * scenario_.classes[request.class_index].think_s);
  return std::llround(thinking + 1000 * kReadingMsPerToken * request.generated);
}

}  // namespace thornwick::emulator

// The demand of a day: sessions, and the requests of each session. The demand depends neither on the policy
// nor on the answers.
#pragma once

#include <cstdint>
#include <vector>

#include "emulator/day.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/scenario.hpp"

namespace thornwick::emulator {

struct Session {
  std::uint16_t class_index = 0;
  std::uint16_t member = 0;
  std::uint16_t zone = 0;
  std::uint64_t key = 0;     // session key of the requests, never 0
  std::uint64_t prefix = 0;  // 0: the session has no shared prefix
  double prefix_tokens = 0;
  double context = 0;  // number of tokens of the prefix and of all requests and answers so far
  int remaining_turns = 0;
};

class DemandModel {
 public:
  // `capacity` is the work that the fleet can do in a second, in microseconds at speed 1. The differences
  // between the zones are drawn from `clients`. The scenario must outlive the model.
  DemandModel(const Scenario& scenario, std::uint64_t seed, double capacity, RandomStream& clients);

  // Draws the microseconds until the next candidate session of a Poisson process, whose rate is `rate_factor`
  // times the usual one.
  [[nodiscard]] double draw_gap(double rate_factor);

  // Returns whether a candidate becomes a session. Rejected candidates thin the process to a lower rate.
  [[nodiscard]] bool accept_candidate(double probability);

  [[nodiscard]] Session draw_session();

  // Draws the next request of a session and advances the session. `now` must not decrease from call to call.
  [[nodiscard]] PlannedRequest draw_request(Session& session, Time now);

  // Draws the microseconds between a request and the next request of the same session.
  [[nodiscard]] Time draw_think_time(const PlannedRequest& request);

 private:
  // The means of one request class, drawn for the day.
  struct ClassMeans {
    double turns = 1;
    double new_tokens = 0;
    double generated = 0;
    std::vector<double> prefix_sizes;
    WeightedChoice prefix_choice;
  };

  // The totals over sampled sessions.
  struct Sample {
    double work = 0;      // mean work of a request
    double requests = 0;  // number of requests of all sampled sessions
  };

  void draw_means();
  ClassMeans draw_class_means(const RequestClass& request_class);
  void draw_choices(RandomStream& clients);
  Sample sample_sessions(std::uint64_t seed) const;
  double draw_work(RandomStream& random, const RequestClass& request_class, double unread, double context,
                   double generated) const;
  bool take_from_allowance(std::uint16_t member, double work, Time now);

  const Scenario& scenario_;
  std::uint64_t seed_;
  double capacity_;
  RandomStream arrivals_;
  RandomStream sizes_;
  double sessions_per_s_ = 0;  // rate of sessions without bursts
  std::vector<ClassMeans> means_;
  WeightedChoice class_choice_;
  WeightedChoice member_choice_;
  WeightedChoice zone_choice_;
  // For each member, the unused work of the member's share. The value rises with time up to a bound.
  std::vector<double> allowance_;
  Time allowance_at_ = 0;
};

}  // namespace thornwick::emulator

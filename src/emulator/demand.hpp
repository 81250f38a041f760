// The demand of a day: sessions, and the requests of each session. It does not depend on the policy, nor on
// the answers.
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
  std::uint64_t key = 0;     // sticky key of its requests, never 0
  std::uint64_t prefix = 0;  // 0: none
  double prefix_tokens = 0;
  double context = 0;  // tokens of the prefix and of all requests and answers so far
  int turns_left = 0;
};

class DemandModel {
 public:
  // `capacity`: of the fleet, in microseconds of work at speed 1 a second. Draws from `clients` how the zones
  // differ. The scenario must outlive this.
  DemandModel(const Scenario& scenario, std::uint64_t seed, double capacity, RandomStream& clients);

  // Microseconds to the next candidate of a Poisson stream whose rate is this multiple of the usual one.
  [[nodiscard]] double draw_gap(double rate_factor);

  // Whether a candidate is a session; thins the stream to a lower rate.
  [[nodiscard]] bool accept_candidate(double probability);

  [[nodiscard]] Session draw_session();

  // The next request of a session, which advances by it. Times must not decrease from call to call.
  [[nodiscard]] PlannedRequest draw_request(Session& session, Time now);

  // Microseconds between a request and the next one of its session.
  [[nodiscard]] Time draw_think_time(const PlannedRequest& request);

 private:
  // One class's means, drawn for the day.
  struct ClassMeans {
    double turns = 1;
    double new_tokens = 0;
    double generated = 0;
    std::vector<double> prefix_sizes;
    WeightedChoice prefix_choice;
  };

  // Of sampled sessions.
  struct Sample {
    double work = 0;      // mean of a request
    double requests = 0;  // of all these sessions
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
  double sessions_per_s_ = 0;  // at the usual rate
  std::vector<ClassMeans> means_;
  WeightedChoice class_choice_;
  WeightedChoice member_choice_;
  WeightedChoice zone_choice_;
  // For each member, the work within its share that it has not used yet. Rises with time.
  std::vector<double> allowance_;
  Time allowance_at_ = 0;
};

}  // namespace thornwick::emulator

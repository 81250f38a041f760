// Plays a pseudo-random sequence of events on one routing policy and records what it decides.
//
// The player stands for everything around the module: clients, replicas, the directory, peers, timers and
// restarts. Its events depend on the seed and on the module's own actions, so one changed decision changes
// all that follow.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "digest.hpp"
#include "random_source.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::recordings {

inline constexpr std::size_t kActionKinds = 9;
inline constexpr std::size_t kOutcomes = 8;

struct PlayOptions {
  std::uint64_t seed = 1;
  std::size_t events = 12'000;
  std::size_t replicas = 6;
  std::uint16_t zones = 1, cells = 1, kinds = 1;
  bool all_cold = false;                // every replica has just started
  Time longest_gap = milliseconds(40);  // between two events
  std::uint64_t slow_part = 25;         // percent of the time in which replicas answer little
};

// What a play came to, in plain numbers.
struct Recording {
  std::vector<std::uint64_t> digests;  // after each block of events; the last one includes what was learned
  std::array<std::size_t, kActionKinds> actions{};  // decided, in the order of ActionKind
  std::array<std::size_t, kOutcomes> outcomes{};    // reported, in the order of Outcome
  std::size_t timers_fired = 0, restarts = 0, ejected = 0;

  bool operator==(const Recording&) const = default;
};

// As the C++ initializer that a table of expected recordings contains.
std::string describe(const Recording& recording);

class RouterPlayer {
 public:
  RouterPlayer(const Settings& settings, const PlayOptions& options);
  Recording play();

 private:
  struct OpenAttempt {
    RequestId id = 0;
    std::uint8_t attempt = 0;
    ReplicaId replica = 0;
    Time sent = 0;
    bool started = false, cancelled = false;
  };

  // Clock and timers.
  void advance();
  void fire_timers_until(Time until);
  bool slow_period() const;

  // One event each.
  void play_event();
  void play_rare_event();
  void arrive();
  void tell_first_token();
  void tell_result();
  void tell_shared_send();
  void tell_probe();
  void leave_client();
  void hear_peer();
  void change_listing();
  void tell_full_list(EndpointUpdate scope);
  void fail_directory();
  void restart();

  // Parts of events.
  Request make_request();
  CacheHint make_belief();
  Outcome draw_outcome(const OpenAttempt& attempt);
  std::vector<float> make_report();
  std::string make_peer_message();
  std::string damage(std::string message);
  void advance_state(Endpoint& listing);
  ReplicaId any_replica();
  void add_senseless(LearnedState& learned_state);

  // What the module decides.
  void take_actions();
  void carry_out(const Action& action);
  void record(const Action& action);
  void record_left_out();
  void record_learned(const LearnedState& learned_state);

  Settings settings_;
  PlayOptions options_;
  RandomSource random_;
  Time now_;
  std::unique_ptr<RoutingPolicy> router_;
  std::vector<Endpoint> listings_;
  std::vector<OpenAttempt> open_;
  std::map<RequestId, std::uint8_t> attempts_;  // sent for each request
  std::multiset<std::pair<Time, std::uint32_t>> timers_;
  std::string last_message_;  // the latest one that the policy sent to its peers
  RequestId last_id_ = 0;
  bool list_wanted_ = false;
  Digest digest_;
  Recording recording_;
};

}  // namespace thornwick::recordings

// Inside of a day (world.hpp): the agenda, and the parties that act when their events come up. One file for
// each party: replicas.cpp, routers.cpp, clients.cpp, faults.cpp.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <boost/heap/d_ary_heap.hpp>
#include <deque>
#include <memory>
#include <vector>

#include "affinity/affinity_table.hpp"
#include "budgets/admission_controller.hpp"
#include "core/request_manager.hpp"
#include "emulator/engine.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/result.hpp"
#include "emulator/scenario.hpp"
#include "emulator/slab.hpp"
#include "emulator/world.hpp"

namespace thornwick::emulator {

inline constexpr Time kSecond = seconds(1);

enum class What : std::uint8_t {
  session_begins,
  turn_comes,       // name: session
  try_comes,        // name: turn
  impatience,       // name: turn
  router_wakes,     // who: router, name: which of its wakes
  attempt_arrives,  // name: attempt
  attempt_fails,    // name: attempt; no connection
  attempt_refused,  // name: attempt; the replica is full
  attempt_began,    // name: attempt
  attempt_done,     // name: attempt
  attempt_broke,    // name: attempt
  replica_wakes,    // who: replica, name: which of its wakes
  replica_warms,    // who: replica; its pace is set anew while it is cold
  listing_known,    // name: index of a change
  listing_told,     // who: router, name: index of a change
  watch_answered,   // who: router
  peer_heard,       // name: letter
  trouble_begins,   // who: its index
  trouble_ends,
  trouble_goes_on,
  sample
};

struct Event {
  Time at = 0;
  std::uint64_t order = 0;  // events of the same moment come in the order in which they were set
  std::uint64_t name = 0;
  std::uint32_t who = 0;
  What what = What::sample;
};
struct Later {
  bool operator()(const Event& a, const Event& b) const {
    return a.at != b.at ? a.at > b.at : a.order > b.order;
  }
};
using Agenda = boost::heap::d_ary_heap<Event, boost::heap::arity<4>, boost::heap::compare<Later>>;

using Name = std::uint64_t;

struct Session {
  std::uint16_t cls = 0, member = 0, zone = 0;
  std::uint64_t key = 0, prefix = 0;
  double beginning = 0, context = 0;  // tokens: shared; all that went before
  int turns_left = 0;
};

// One request of a client with all its tries.
struct Turn : core::Payload, core::Reply {
  void event(const core::StreamEvent& event) override;
  void finish() override;
  void break_off() override;
  void reject(Time retry_after) override;
  void fail(core::Failure why, Time retry_after) override;

  class Day* day = nullptr;
  Name name = 0;
  std::uint16_t cls = 0, member = 0, zone = 0;
  std::uint64_t key = 0, prefix = 0;
  double prompt = 0, beginning = 0, generated = 0, most_made = 0, work = 0, hint = 0, priority_weight = 0;
  Time asked_at = 0, aim_at = 0, deadline = 0, first_at = 0;
  std::uint32_t router = 0;
  RequestId request_id = 0;  // 0: no try is open
  int tries = 0;
  bool resumed = false, answered = false;
};

struct Attempt {
  core::AttemptId id;
  std::uint32_t router = 0, replica = 0;
  Name turn = 0;
  bool at_replica = false;  // the engine has it
  Time heard = 0;           // when the latest of its bytes reach the router
  double kept = 0, generated = 0;
  double finished = 0;  // tokens that its replica has made to the end, and nobody has heard of yet
};

// Connections of one router to one replica that wait for their next attempt, by when they came to rest.
struct Link {
  std::vector<Time> idle;
};

struct Replica {
  ReplicaId id = 0;
  std::uint16_t zone = 0, kind = 0;
  std::unique_ptr<Engine> engine;
  double speed = 1, pace = 1;     // pace: what faults leave of it
  Time started = 0, warm_up = 0;  // 0: long ago
  double initial_capacity = 1;
  bool up = true, silent = false, draining = false;
  std::size_t connections = 0;
  std::uint64_t wakes = 0;
  Time wake_at = kNever;
  std::deque<std::pair<Time, double>> lately;  // work sent to it while cold
  double lately_sum = 0;
  ReplicaResult result;
};

struct Datagram {
  std::uint32_t from = 0, to = 0;
  std::string text;
};

// What surrounds the core of one router.
class EmulatedRouter final : public core::Clock,
                             public core::UpstreamTransport,
                             public core::Discovery,
                             public core::PeerTransport {
 public:
  EmulatedRouter(Day& day, std::uint32_t its_number, std::uint16_t its_zone)
      : day_(day), number(its_number), zone(its_zone) {}

  Time now() const override;
  void wake_at(Time when) override;
  void launch(core::AttemptId attempt, ReplicaId replica_id, std::shared_ptr<const core::Payload> payload,
              Time until, std::uint16_t model) override;
  bool abandon(core::AttemptId attempt) override;
  void pause_reading(core::AttemptId) override {}
  void resume_reading(core::AttemptId) override {}
  void probe(ReplicaId replica_id) override;
  void watch() override;
  void fetch() override { watch(); }
  void send(std::uint32_t rank, const std::string& message) override;

 private:
  Day& day_;

 public:
  const std::uint32_t number;
  const std::uint16_t zone;
  std::unique_ptr<affinity::AffinityTable> affinity_table;
  std::unique_ptr<budgets::QuotaService> quota_service;  // before the core, whose decider uses both
  std::unique_ptr<budgets::FairShare> fair;
  std::unique_ptr<core::RequestManager> core;
  absl::flat_hash_map<RequestId, Name> attempts;  // the one that is out, of each request
  std::vector<Link> links;                        // by replica
  std::vector<Time> told_off;  // by replica: when this router heard that it drains or is gone; 0: not
  bool subscribed = false, up = true;
  std::uint64_t wakes = 0;
};

class Day {
 public:
  Day(const Scenario& scenario, std::uint64_t seed, const DayOptions& options);
  Result play();

  // ------------------------------------------------------------ agenda
  Time now = 0;
  void at(Time when, What what, Name name = 0, std::uint32_t who = 0) {
    agenda_.push({std::max(when, now), ++order_, name, who, what});
  }

  // ------------------------------------------------------------ network (routers.cpp)
  Time one_way(std::uint16_t from, std::uint16_t to);

  // ------------------------------------------------------------ replicas (replicas.cpp)
  void add_replica(bool at_start);
  void take_down(std::uint32_t replica, bool silent);
  void bring_back(std::uint32_t replica);
  void attempt_arrives(Name name);
  void wake_replica(std::uint32_t replica);
  void set_pace(std::uint32_t replica);
  double ability(const Replica& replica) const;
  void watch_tipping(Replica& replica, std::uint32_t number, double work);

  // ------------------------------------------------------------ discovery (routers.cpp)
  void announce(std::uint32_t replica, EndpointState state, Time after);
  void tell_all_known(EmulatedRouter& router);
  void start_router(std::uint32_t number);
  void stop_router(std::uint32_t number);
  Settings settings_for(std::uint32_t number) const;
  void end_attempt(Name name, Outcome outcome);
  void add_up(const EmulatedRouter& router);
  void forget_attempt(Name name);
  void close(EmulatedRouter& router, const Attempt& attempt, bool reusable);

  // ------------------------------------------------------------ clients (clients.cpp)
  void plan_demand();
  void begin_session();
  void next_turn(Name session);
  void try_turn(Name turn);
  void answered(Turn& turn);
  void turned_away(Turn& turn, Time retry_after, bool broken);
  void give_up(Turn& turn);
  void end_turn(Turn& turn, double part);
  double draw_work(RandomStream& chance, const Demand& demand, double unread, double context,
                   double generated) const;
  std::uint32_t router_for(std::uint16_t zone);

  // ------------------------------------------------------------ faults (faults.cpp)
  void begin_trouble(std::uint32_t index);
  void go_on_with_trouble(std::uint32_t index);
  void end_trouble(std::uint32_t index);
  double rate_factor() const;

  void sample();
  void take(const Event& event);

  const Scenario& scenario;
  const std::uint64_t seed;
  const DayOptions options;
  RandomStream fleet_chance, arrival_chance, size_chance, client_chance, network_chance, replica_random,
      discovery_random, peer_chance, trouble_chance;
  Result result;

  std::vector<Replica> replicas;
  absl::flat_hash_map<ReplicaId, std::uint32_t> replica_index;
  std::vector<std::unique_ptr<EmulatedRouter>> routers;
  Slab<Session> sessions;
  Slab<Turn> turns;
  Slab<Attempt> attempts;
  Slab<Datagram> answer_characters;
  std::vector<std::vector<double>> one_way_us;  // between zones
  double notice_s = 1, silent_notice_s = 5, add_s = 1, peer_us = 1, backoff_us = 0;

  struct Change {
    Endpoint listing;
    std::uint32_t replica = 0;
  };
  std::deque<Change> changes;
  absl::flat_hash_map<ReplicaId, Endpoint> known;  // by discovery

  // Demand, as drawn for the day.
  double capacity = 0;        // microseconds of work a second
  double sessions_per_s = 0;  // at the usual rate
  std::vector<double> mean_turns, mean_new, mean_made;
  std::vector<std::vector<double>> prefix_sizes;
  std::vector<Choice> prefix_choice;
  std::unique_ptr<Choice> class_choice, member_choice, zone_choice;
  std::vector<double> allowance;  // of members: work within their share that is left
  Time allowance_at = 0;

  struct ActiveFault {
    double size = 1;
    Time from = 0, until = 0;
    std::uint16_t zone = 0;
    std::uint32_t replica = 0;
    bool on = false;
  };
  std::vector<ActiveFault> faults;
  double most_rate = 1;

  // Frames without text: what replicas send, as the core sees it.
  core::StreamEvent first_frame, usage_frame, end_frame;
  std::vector<Report> reports;
  std::vector<Asked>* trace = nullptr;  // what is asked goes there instead of to a router
  double module_ns = 0;

 private:
  Agenda agenda_;
  std::uint64_t order_ = 0;
};

}  // namespace thornwick::emulator

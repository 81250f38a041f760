// Model checking of the failure detector: explores every order of a few events. An event delivers, loses or
// repeats a datagram, fires a timer, or ends or restarts a process. A state is explored again only if more
// steps remain than the last time.
#include <catch2/catch.hpp>
#include <unordered_map>

#include "emulator/group.hpp"
#include "random/hashing.hpp"

using namespace thornwick;
using namespace thornwick::membership;

namespace {

#ifdef THORNWICK_SHORT
constexpr std::size_t kMaxStates = 6'000;
#else
constexpr std::size_t kMaxStates = 60'000;
#endif

struct Bounds {
  std::size_t members = 3;
  std::size_t depth = 9;
  std::size_t in_flight = 3;
  std::size_t failures = 1;
  std::size_t max_states = kMaxStates;
};

enum class RestartDisk { same_disk, new_disk };

struct State {
  std::vector<Swim> nodes;
  std::vector<bool> is_running;
  std::vector<Identity> identities;
  std::vector<OutgoingDatagram> in_flight;
  Time now = 0;
  std::size_t failures = 0;
};

class Explorer {
 public:
  Explorer(Bounds bounds, Options options)
      : bounds_(bounds), options_(options), roster_(emulator::make_roster(bounds.members, 1)) {}

  // Returns the first violated rule, or an empty string if all rules held in each state.
  std::string run() {
    State first;
    for (std::uint32_t i = 0; i < bounds_.members; ++i) {
      first.identities.push_back({10 + i, 1, 20 + i});
      first.nodes.emplace_back(roster_, i, first.identities[i], options_, i + 1, 0);
      first.is_running.push_back(true);
    }
    // Starts with a group whose members agree, so that all steps are available for faults.
    for (Time until = seconds(30); first.now < until;) step_without_faults(first);
    first.in_flight.clear();
    explore(first, 0);
    return violation_;
  }
  std::size_t states() const { return explored_.size(); }
  std::size_t end_states() const { return end_states_; }

 private:
  void explore(const State& state, std::size_t depth) {
    if (!violation_.empty() || explored_.size() >= bounds_.max_states) return;
    // Explores a known state again only if more steps remain than the last time.
    const auto [known, is_new] = explored_.emplace(key(state), depth);
    if (!is_new && known->second <= depth) return;
    known->second = depth;
    check(state);
    if (depth == bounds_.depth) {
      // After some of the end states, two minutes pass without faults, after which all members have to agree.
      if (mix(++end_states_) % 16 == 0) settle(state);
      return;
    }
    for (std::size_t i = 0; i < state.in_flight.size(); ++i) {
      State next = state;
      const OutgoingDatagram datagram = next.in_flight[i];
      next.in_flight.erase(next.in_flight.begin() + static_cast<std::ptrdiff_t>(i));
      explore(next, depth + 1);  // the datagram is lost
      if (!state.is_running[datagram.to]) continue;
      deliver(next, datagram);
      explore(next, depth + 1);
      if (next.in_flight.size() >= bounds_.in_flight) continue;
      next.in_flight.push_back(datagram);  // the datagram is repeated
      explore(next, depth + 1);
    }
    State later = state;
    fire_next_timer(later);
    explore(later, depth + 1);
    for (std::size_t member = 0; member < bounds_.members; ++member) {
      if (!state.is_running[member] && state.failures <= bounds_.failures) {
        for (const RestartDisk disk : {RestartDisk::same_disk, RestartDisk::new_disk}) {
          State restarted = state;
          start(restarted, member, disk);
          explore(restarted, depth + 1);
        }
      } else if (state.is_running[member] && state.failures < bounds_.failures) {
        State failed = state;
        failed.is_running[member] = false;
        ++failed.failures;
        explore(failed, depth + 1);
      }
    }
  }

  void start(State& state, std::size_t member, RestartDisk disk) {
    Identity& identity = state.identities[member];
    if (disk == RestartDisk::new_disk) {
      identity.disk_id += 1000;
      identity.start_number = 0;
    }
    ++identity.start_number;
    identity.instance_id += 1000;
    state.nodes[member] = Swim(roster_, member, identity, options_, identity.instance_id, state.now);
    state.is_running[member] = true;
    collect_datagrams(state, member);
  }
  void collect_datagrams(State& state, std::size_t member) {
    state.nodes[member].take_changes();
    for (auto& datagram : state.nodes[member].take_datagrams()) {
      if (state.in_flight.size() < bounds_.in_flight) state.in_flight.push_back(std::move(datagram));
    }
  }
  void deliver(State& state, const OutgoingDatagram& datagram) {
    if (!state.is_running[datagram.to]) return;
    state.nodes[datagram.to].on_message(
        state.now, {reinterpret_cast<const std::uint8_t*>(datagram.bytes.data()), datagram.bytes.size()});
    collect_datagrams(state, datagram.to);
  }
  void fire_next_timer(State& state) {
    std::size_t first = bounds_.members;
    for (std::size_t member = 0; member < bounds_.members; ++member) {
      if (state.is_running[member] &&
          (first == bounds_.members || state.nodes[member].next_tick() < state.nodes[first].next_tick()))
        first = member;
    }
    if (first == bounds_.members) return;
    state.now = std::max(state.now, state.nodes[first].next_tick());
    state.nodes[first].tick(state.now);
    collect_datagrams(state, first);
  }
  void step_without_faults(State& state) {
    fire_next_timer(state);
    while (!state.in_flight.empty()) {
      const auto delivered = std::exchange(state.in_flight, {});
      for (const auto& datagram : delivered) deliver(state, datagram);
    }
  }

  void check(const State& state) {
    for (std::size_t observer = 0; observer < bounds_.members; ++observer) {
      for (std::size_t member = 0; member < bounds_.members; ++member) {
        if (observer == member || !state.is_running[observer] || !state.is_running[member]) continue;
        const auto& view = state.nodes[observer].view(member);
        if (view.identity.instance_id == state.identities[member].instance_id &&
            view.incarnation > state.nodes[member].incarnation())
          violation_ = "a member is known with an incarnation that it never had";
        if (view.name_conflict) violation_ = "a name conflict is reported although one process uses the name";
      }
    }
  }

  void settle(State state) {
    const Time until = state.now + seconds(120);
    while (state.now < until && violation_.empty() && !agree(state)) step_without_faults(state);
    check(state);
    if (!agree(state)) violation_ = "the members do not agree two minutes after the last fault";
  }
  bool agree(const State& state) const {
    const auto alive =
        static_cast<std::size_t>(std::count(state.is_running.begin(), state.is_running.end(), true));
    for (std::size_t observer = 0; observer < bounds_.members; ++observer) {
      if (!state.is_running[observer]) continue;
      // If fewer than half of the members run, each of them has to detect that it is cut off.
      if (2 * alive < bounds_.members) {
        if (!state.nodes[observer].is_cut_off()) return false;
        continue;
      }
      for (std::size_t member = 0; member < bounds_.members; ++member) {
        if (observer == member) continue;
        const auto& view = state.nodes[observer].view(member);
        const bool is_correct = state.is_running[member] ? view.state == MemberState::alive &&
                                                               view.identity == state.identities[member]
                                                         : view.state == MemberState::failed;
        if (!is_correct) return false;
      }
    }
    return true;
  }

  std::uint64_t key(const State& state) const {
    std::string text;
    for (std::size_t member = 0; member < bounds_.members; ++member)
      text += state.is_running[member] ? state.nodes[member].digest() : "down";
    for (const auto& datagram : state.in_flight) text += std::to_string(datagram.to) + datagram.bytes;
    return std::hash<std::string>{}(text);
  }

  Bounds bounds_;
  Options options_;
  std::shared_ptr<const Roster> roster_;
  // Hash of a state -> smallest number of steps to that state.
  std::unordered_map<std::uint64_t, std::size_t> explored_;
  std::size_t end_states_ = 0;
  std::string violation_;
};

}  // namespace

TEST_CASE(
    "model checking: three members agree after every order of losses, repeats, timers, a failure and a "
    "restart") {
  Explorer explorer({.members = 3, .depth = 10, .in_flight = 3, .failures = 1, .max_states = kMaxStates}, {});
  CHECK(explorer.run() == "");
  WARN(explorer.states() << " states, " << explorer.end_states() << " end states");
  CHECK(explorer.states() == kMaxStates);
}

TEST_CASE(
    "model checking: four members agree after every order of losses, repeats, timers, two failures and "
    "restarts") {
  Explorer explorer({.members = 4, .depth = 8, .in_flight = 3, .failures = 2, .max_states = kMaxStates}, {});
  CHECK(explorer.run() == "");
  WARN(explorer.states() << " states, " << explorer.end_states() << " end states");
}

TEST_CASE("model checking finds a member whose refutation has no higher incarnation") {
  Options faulty_options;
  faulty_options.refuting_incarnation = [](std::uint64_t claimed) { return claimed; };
  Explorer explorer({.members = 3, .depth = 10, .in_flight = 3, .failures = 1, .max_states = kMaxStates},
                    faulty_options);
  CHECK(explorer.run() != "");
}

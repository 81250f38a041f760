// A group of routers in virtual time: each has the real failure detector. The network loses, delays, repeats
// and blocks datagrams; processes are killed, suspended, shut down, and started again with or without their
// disks. The seed determines everything.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "emulator/disk.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/scenario.hpp"
#include "membership/swim.hpp"

namespace thornwick::emulator {

struct GroupOptions {
  std::size_t routers = 3;
  std::size_t sites = 1;
  membership::Options swim;
  double loss = 0;            // probability that a datagram is lost
  double repeat = 0;          // probability that it is sent twice
  Range delay_ms = {0.2, 2};  // of a datagram
  bool share_views = true;    // routers share whole views with two neighbours every ten periods
  std::uint64_t seed = 1;
};

class Group {
 public:
  // All processes start at time 0, with empty disks.
  explicit Group(const GroupOptions& options);

  Time now() const { return now_; }
  std::size_t size() const { return nodes_.size(); }
  void run_until(Time until);

  // Faults of processes. Each has no effect on a process that is not in the state for it.
  void kill(std::size_t router);
  void start(std::size_t router, Disk disk);
  void suspend(std::size_t router);    // SIGSTOP
  void resume(std::size_t router);     // SIGCONT
  void shut_down(std::size_t router);  // SIGTERM; the process ends two seconds later
  // Faults of the network: datagrams and views of this direction are lost.
  void block(std::size_t from, std::size_t to);
  void unblock_all();
  void set_network(double loss, double repeat, Range delay_ms);

  // The process runs, and is not suspended.
  bool running(std::size_t router) const { return up(router) && !nodes_[router].suspended; }
  // The process exists, perhaps suspended. at() may be called only then.
  bool up(std::size_t router) const { return nodes_[router].swim != nullptr; }
  bool is_blocked(std::size_t from, std::size_t to) const { return blocked_[from * size() + to]; }
  const membership::Swim& at(std::size_t router) const { return *nodes_[router].swim; }
  membership::Identity identity(std::size_t router) const { return nodes_[router].identity; }

  // Every running router believes of every other what is true: alive if it runs, and absent if it does not.
  bool agree() const;
  // The first belief that is not true, in words; empty if they agree.
  std::string disagreement() const;

  // Called for each change that a router reports.
  std::function<void(std::size_t router, const membership::Change& change)> on_change = [](auto, auto&) {};

 private:
  struct Node {
    std::unique_ptr<membership::Swim> swim;  // null: no process
    membership::Identity identity;
    membership::Identity older;  // that of an older copy of the disk; its disk is 0 if there is none
    bool suspended = false;
    Time due = 0;                      // of its timer
    std::uint64_t timer_version = 0;   // timer events of earlier versions are void
    std::vector<std::string> waiting;  // datagrams that arrived while it was suspended
  };
  enum class EventKind { timer, datagram, view, end };
  struct Event {
    Time at = 0;
    std::uint64_t number = 0;  // events of the same time happen in this order
    EventKind kind = EventKind::timer;
    std::size_t router = 0;
    std::uint64_t version = 0;  // of a timer; of an end, the run of the process that ends
    std::string bytes;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void schedule(Time at, EventKind kind, std::size_t router, std::uint64_t version = 0,
                std::string bytes = {});
  void process(Event event);
  void deliver(Node& node, std::string bytes);
  // After each call of a router's failure detector: sends what it queued, and sets its timer.
  void flush(std::size_t router);
  void transmit(std::size_t from, const membership::OutgoingDatagram& sending);
  void exchange_views(std::size_t router);
  membership::Identity next_identity(const Node& node, Disk disk);
  bool believes_truth(std::size_t observer, std::size_t member) const;

  GroupOptions options_;
  std::shared_ptr<const membership::Roster> roster_;
  RandomStream random_;
  std::vector<Node> nodes_;
  std::vector<bool> blocked_;  // by sender and receiver
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  Time now_ = 0;
  std::uint64_t last_event_ = 0;
};

// Routers r000, r001, ... distributed over sites s0, s1, ... in turn.
std::shared_ptr<const membership::Roster> make_roster(std::size_t routers, std::size_t sites);

}  // namespace thornwick::emulator

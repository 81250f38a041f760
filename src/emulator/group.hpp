// A simulated group of routers in virtual time. Each router runs the real failure detector. The network
// loses, delays, repeats and blocks datagrams; processes are killed, suspended, shut down, and started again
// with or without their disks. The seed determines everything.
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
  double repeat = 0;          // probability that a datagram is sent twice
  Range delay_ms = {0.2, 2};  // delay of a datagram
  bool share_views = true;    // whether routers share full views with two neighbours every ten periods
  std::uint64_t seed = 1;
};

class Group {
 public:
  // Starts all processes at time 0, with empty disks.
  explicit Group(const GroupOptions& options);

  Time now() const { return now_; }
  std::size_t size() const { return nodes_.size(); }
  void run_until(Time until);

  // Faults of processes. A call has no effect on a process whose state does not allow the fault.
  void kill(std::size_t router);
  void start(std::size_t router, Disk disk);
  void suspend(std::size_t router);    // like SIGSTOP
  void resume(std::size_t router);     // like SIGCONT
  void shut_down(std::size_t router);  // like SIGTERM: the process ends two seconds later
  // Faults of the network. Datagrams and views in a blocked direction are lost.
  void block(std::size_t from, std::size_t to);
  void unblock_all();
  void set_network(double loss, double repeat, Range delay_ms);

  // Whether the process runs and is not suspended.
  bool running(std::size_t router) const { return up(router) && !nodes_[router].suspended; }
  // Whether the process exists, running or suspended. at() requires that the process exists.
  bool up(std::size_t router) const { return nodes_[router].swim != nullptr; }
  bool is_blocked(std::size_t from, std::size_t to) const { return blocked_[from * size() + to]; }
  const membership::Swim& at(std::size_t router) const { return *nodes_[router].swim; }
  membership::Identity identity(std::size_t router) const { return nodes_[router].identity; }

  // Whether every running router has the true state of every other router: alive if the other one runs, and
  // failed or left if not.
  bool agree() const;
  // Describes the first wrong state that a router holds; empty if the routers agree.
  std::string disagreement() const;

  // Called for each change that a router reports.
  std::function<void(std::size_t router, const membership::Change& change)> on_change = [](auto, auto&) {};

 private:
  struct Node {
    std::unique_ptr<membership::Swim> swim;  // null if there is no process
    membership::Identity identity;
    membership::Identity older;  // identity on an older copy of the disk; without a copy disk_id is 0
    bool suspended = false;
    Time timer_at = 0;                 // time of the failure detector's next timer event
    std::uint64_t timer_version = 0;   // timer events of earlier versions are ignored
    std::vector<std::string> waiting;  // datagrams that arrived while the process was suspended
  };
  enum class EventKind { timer, datagram, view, end };
  struct Event {
    Time at = 0;
    std::uint64_t number = 0;  // orders events of the same time by when they were scheduled
    EventKind kind = EventKind::timer;
    std::size_t router = 0;
    std::uint64_t version = 0;  // timer: version of the timer; end: instance_id of the process that ends
    std::string bytes;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void schedule(Time at, EventKind kind, std::size_t router, std::uint64_t version = 0,
                std::string bytes = {});
  void process(Event event);
  void deliver(Node& node, std::string bytes);
  // Sends the datagrams that a router's failure detector has queued, reports its changes, and sets its timer.
  // To be called after each call of the failure detector.
  void flush(std::size_t router);
  void transmit(std::size_t from, const membership::OutgoingDatagram& sending);
  void exchange_views(std::size_t router);
  membership::Identity next_identity(const Node& node, Disk disk);
  bool believes_truth(std::size_t observer, std::size_t member) const;

  GroupOptions options_;
  std::shared_ptr<const membership::Roster> roster_;
  RandomStream random_;
  std::vector<Node> nodes_;
  std::vector<bool> blocked_;  // indexed by sender * size() + receiver
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  Time now_ = 0;
  std::uint64_t last_event_ = 0;
};

// Returns a roster of routers r000, r001, ... that are distributed over sites s0, s1, ... in turn.
std::shared_ptr<const membership::Roster> make_roster(std::size_t routers, std::size_t sites);

}  // namespace thornwick::emulator

// A link between two routers that forwards their datagrams and connections. It can lose, delay, reorder,
// repeat, hold back, garble and cut them, separately for each direction.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "emulator/random_stream.hpp"
#include "net/datagrams.hpp"
#include "net/loop.hpp"

namespace thornwick::testbed {

// Faults of one direction. For a connection, `cut` and `hold` keep the bytes until the fault ends, since TCP
// sends them again once a network is repaired. Losses and repeats affect datagrams only.
struct LinkFaults {
  double loss_fraction = 0, repeat_fraction = 0,
         garble_fraction =
             0;  // fractions of the datagrams; `garble_fraction` also of the pieces of a connection
  Time min_delay = 0,
       max_delay = 0;  // microseconds; each delay is drawn between them, which reorders datagrams
  bool cut = false, hold = false;

  bool operator==(const LinkFaults&) const = default;
};

class FaultyLink {
 public:
  enum Direction {
    forward = 0,
    backward = 1
  };  // from the first end to the second, and from the second to the first

  explicit FaultyLink(std::uint64_t seed);
  ~FaultyLink();

  // Addresses at which the first end reaches the second and the second reaches the first. Datagrams and
  // connections use the same port.
  std::string address_of_second() const { return sides_[forward].address; }
  std::string address_of_first() const { return sides_[backward].address; }
  // Set the real addresses of an end, for datagrams and for connections, once they are known.
  void set_first_target(const std::string& datagrams, const std::string& links) {
    sides_[backward].datagram_target = datagrams, sides_[backward].link_target = links;
  }
  void set_second_target(const std::string& datagrams, const std::string& links) {
    sides_[forward].datagram_target = datagrams, sides_[forward].link_target = links;
  }

  void set_faults(Direction direction, const LinkFaults& faults);
  // half_close() ends the sending side of all open connections in one direction, after the bytes that are in
  // transit. reset() closes all open connections.
  void half_close(Direction direction);
  void reset();

  struct Metrics {
    std::uint64_t datagrams = 0, lost = 0, repeated = 0, garbled = 0, connections = 0;
  };
  const Metrics& metrics() const { return metrics_; }

 private:
  class Pipe;
  struct Side {  // forwards what it receives to `datagram_target` and `link_target`
    std::string address, datagram_target, link_target;
    LinkFaults faults;
    std::unique_ptr<net::DatagramSocket> socket;
    std::unique_ptr<net::Listener> listener;
    std::vector<std::string> held_datagrams;
  };
  void open(Direction direction);
  void on_received(Direction direction, std::string bytes);
  void forward_datagram(Direction direction, const std::string& bytes);
  void run_after(Time delay, std::function<void()> action);
  std::string maybe_garble(Direction direction, std::string bytes);

  Side sides_[2];
  std::list<std::unique_ptr<Pipe>> pipes_;
  std::list<net::Timer> timers_;
  emulator::RandomStream chance_;
  Metrics metrics_;
};

}  // namespace thornwick::testbed

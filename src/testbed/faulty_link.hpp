// What lies between two routers of the rig: datagrams and connections pass through it, and it can lose,
// delay, reorder, repeat, hold back, garble and cut them, each way by itself.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "emulator/random_stream.hpp"
#include "net/datagrams.hpp"
#include "net/loop.hpp"

namespace thornwick::testbed {

// Of one way. Of a connection, cut and hold keep what comes until they end, as a network that is mended does
// in the end; losses and repeats are of datagrams alone.
struct LinkFaults {
  double loss_fraction = 0, repeat_fraction = 0, garble_fraction = 0;  // parts of what passes
  Time min_delay = 0, max_delay = 0;  // microseconds; what is drawn between them reorders datagrams
  bool cut = false, hold = false;

  bool operator==(const LinkFaults&) const = default;
};

class FaultyLink {
 public:
  enum Direction { forward = 0, backward = 1 };  // from the one to the other, and from the other to the one

  explicit FaultyLink(std::uint64_t seed);
  ~FaultyLink();

  // Where the one finds the other, and the other the one: datagrams and connections at the same port.
  std::string address_of_second() const { return sides_[forward].address; }
  std::string address_of_first() const { return sides_[backward].address; }
  // Where they really are, once known. Datagrams and connections.
  void set_first_target(const std::string& datagrams, const std::string& links) {
    sides_[backward].datagrams = datagrams, sides_[backward].links = links;
  }
  void set_second_target(const std::string& datagrams, const std::string& links) {
    sides_[forward].datagrams = datagrams, sides_[forward].links = links;
  }

  void set_faults(Direction direction, const LinkFaults& faults);
  // Of the connections that are open: no more bytes that way, but for those that are on it; or none at all.
  void half_close(Direction direction);
  void reset();

  struct Metrics {
    std::uint64_t datagrams = 0, lost = 0, repeated = 0, garbled = 0, connections = 0;
  };
  const Metrics& metrics() const { return metrics_; }

 private:
  class Pipe;
  struct Side {  // what comes in here goes to `datagrams` and `links`
    std::string address, datagrams, links;
    LinkFaults faults;
    std::unique_ptr<net::DatagramSocket> socket;
    std::unique_ptr<net::Listener> listener;
    std::vector<std::string> held;
  };
  void open(Direction direction);
  void arrived(Direction direction, std::string bytes);
  void pass(Direction direction, const std::string& bytes);
  void later(Time delay, std::function<void()> act);
  std::string garbled(Direction direction, std::string bytes);

  Side sides_[2];
  std::list<std::unique_ptr<Pipe>> pipes_;
  std::list<net::Timer> timers_;
  emulator::RandomStream chance_;
  Metrics metrics_;
};

}  // namespace thornwick::testbed

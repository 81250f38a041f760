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
  double lose = 0, repeat = 0, garble = 0;  // parts of what passes
  Time least_delay = 0, most_delay = 0;     // microseconds; what is drawn between them reorders datagrams
  bool cut = false, hold = false;

  bool operator==(const LinkFaults&) const = default;
};

class FaultyLink {
 public:
  enum Way { there = 0, back = 1 };  // from the one to the other, and from the other to the one

  explicit FaultyLink(std::uint64_t seed);
  ~FaultyLink();

  // Where the one finds the other, and the other the one: datagrams and connections at the same port.
  std::string other_at() const { return sides_[there].address; }
  std::string one_at() const { return sides_[back].address; }
  // Where they really are, once known. Datagrams and connections.
  void one_is(const std::string& datagrams, const std::string& links) {
    sides_[back].datagrams = datagrams, sides_[back].links = links;
  }
  void other_is(const std::string& datagrams, const std::string& links) {
    sides_[there].datagrams = datagrams, sides_[there].links = links;
  }

  void set(Way way, const LinkFaults& faults);
  // Of the connections that are open: no more bytes that way, but for those that are on it; or none at all.
  void half_close(Way way);
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
  void open(Way way);
  void arrived(Way way, std::string bytes);
  void pass(Way way, const std::string& bytes);
  void later(Time delay, std::function<void()> act);
  std::string garbled(Way way, std::string bytes);

  Side sides_[2];
  std::list<std::unique_ptr<Pipe>> pipes_;
  std::list<net::Timer> timers_;
  emulator::RandomStream chance_;
  Metrics metrics_;
};

}  // namespace thornwick::testbed

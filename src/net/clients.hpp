// The clients: listens, reads their requests, and carries each answer back over the connection it came on.
#pragma once

#include <map>
#include <set>

#include "core/exchanges.hpp"
#include "fronts/dialect.hpp"
#include "net/loop.hpp"

namespace sprucecourse::net {

struct ClientCounters {
  std::uint64_t accepted = 0, bad = 0, health = 0, crowded = 0;
};

class Clients {
 public:
  struct Options {
    std::string address;
    const fronts::Dialect* dialect = nullptr;
    std::size_t most_connections = 400;
    std::function<bool()> ready;
  };

  Clients(Options options, const fronts::Names& names, core::Exchanges& core);
  ~Clients();

  // A restart is planned: answers close their connections from now on, and idle ones are closed soon.
  void wind_down();
  std::string address() const { return listener_->address(); }
  std::size_t connections() const { return lines_.size(); }
  const ClientCounters& counters() const { return counters_; }

 private:
  class Line;

  bool room();
  bool crowded() const;
  void accepted(Owned<GSocket> socket);
  void gone(Line& line);
  void close_idle();
  void sweep();

  Options options_;
  const fronts::Names& names_;
  core::Exchanges& core_;
  ClientCounters counters_;
  std::map<Line*, std::unique_ptr<Line>> lines_;
  std::size_t held_bytes_ = 0;  // of request bodies
  bool winding_down_ = false;
  Timer winding_;
  std::unique_ptr<Listener> listener_;
};

}  // namespace sprucecourse::net

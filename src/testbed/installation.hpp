// The replicas and the discovery of a scenario in real time, in one process on loopback: what a router needs
// around it to run at all. The replicas compute with the emulator's engines.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "emulator/scenario.hpp"
#include "fronts/dialect.hpp"
#include "testbed/server.hpp"

namespace thornwick::testbed {

class StandInReplica;

struct InstallationOptions {
  emulator::Scenario scenario;
  std::uint64_t seed = 1;
  std::string discovery = "127.0.0.1:0";  // where it listens
  std::string dialect = "platform";       // that the replicas speak; they answer on the other's path, too
  std::string router_listen = "127.0.0.1:8080";
  // Each request that a replica was sent: its id, and for how long the list has said by then that the replica
  // drains; 0: it does not.
  std::function<void(const std::string& id, Time draining)> on_request = [](auto&, auto) {};
  // Each answer that a replica began: what it will tally for it, whether anybody stays to hear of it or not.
  std::function<void(double tokens)> on_answer_started = [](double) {};
};

class Installation {
 public:
  explicit Installation(const InstallationOptions& options);
  ~Installation();

  std::string discovery() const { return discovery_->address(); }
  // A configuration for a router in front of it, as the platform would write it (JSON).
  std::string router_config() const;
  // The replicas' uids and addresses.
  std::vector<std::pair<std::string, std::string>> replicas() const;

  struct Metrics {
    std::uint64_t requests = 0, rejected = 0, started = 0, completed = 0, disconnected = 0;
  };
  const Metrics& metrics() const { return metrics_; }
  // The list says from now on that this replica drains, or no longer.
  void drain(std::size_t replica, bool on);
  // A replica's process dies, or starts again; the list says so a moment later.
  void stop_replica(std::size_t replica);
  void start_replica(std::size_t replica);
  // Troubles of the scenario begin at their times from here on.
  void schedule_faults();

 private:
  friend class StandInReplica;
  struct Watcher {
    std::uint64_t line = 0;
    std::unique_ptr<net::Timer> patience;
  };
  void asked(Server::Connection& line);
  void answer(Server::Connection& line);
  std::string entry(const StandInReplica& replica) const;
  void changed();
  void changed_in(double seconds);
  void begin_trouble(std::size_t index);
  void end_trouble(std::size_t index);

  InstallationOptions options_;
  std::vector<std::unique_ptr<StandInReplica>> replicas_;
  std::unique_ptr<Server> discovery_;
  std::vector<Watcher> watchers_;
  std::vector<std::unique_ptr<net::Timer>> timers_;
  std::uint64_t revision_ = 1;
  std::vector<double> sizes_;
  std::vector<std::size_t> halls_;
  double notice_s_ = 1, add_s_ = 1;
  Metrics metrics_;
};

}  // namespace thornwick::testbed

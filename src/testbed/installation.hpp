// Runs the replicas and the discovery of a scenario in real time, in one process on loopback, as the
// environment of a router. The replicas use the emulator's engines.
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
  std::string discovery = "127.0.0.1:0";  // address at which discovery listens
  std::string dialect =
      "platform";  // dialect of the replicas; they also answer requests on the other dialect's path
  std::string router_listen = "127.0.0.1:8080";
  // Called for each request that a replica receives, with its id and the time for which the endpoint list has
  // named the replica as draining; 0: it does not drain.
  std::function<void(const std::string& id, Time draining)> on_request = [](auto&, auto) {};
  // Called for each answer that a replica begins, with the tokens that the replica will count for the whole
  // answer, even if the client disconnects.
  std::function<void(double tokens)> on_answer_started = [](double) {};
};

class Installation {
 public:
  explicit Installation(const InstallationOptions& options);
  ~Installation();

  std::string discovery() const { return discovery_->address(); }
  // Returns the configuration (JSON) of a router in front of these replicas, as the platform would write it.
  std::string router_config() const;
  // Returns the replicas' uids and addresses.
  std::vector<std::pair<std::string, std::string>> replicas() const;

  struct Metrics {
    std::uint64_t requests = 0, rejected = 0, started = 0, completed = 0, disconnected = 0;
  };
  const Metrics& metrics() const { return metrics_; }
  // Marks the replica as draining in the endpoint list, or removes the mark.
  void drain(std::size_t replica, bool on);
  // Ends a replica's process, or starts it again. The endpoint list follows after the delay of the scenario.
  void stop_replica(std::size_t replica);
  void start_replica(std::size_t replica);
  // Schedules the faults of the scenario, at their times from now.
  void schedule_faults();

 private:
  friend class StandInReplica;
  struct Watcher {
    std::uint64_t connection_number = 0;
    std::unique_ptr<net::Timer> timeout;
  };
  void on_request(Server::Connection& connection);
  void answer(Server::Connection& connection);
  std::string endpoint_entry(const StandInReplica& replica) const;
  void publish_change();
  void publish_change_in(double seconds);
  void begin_fault(std::size_t index);
  void end_fault(std::size_t index);

  InstallationOptions options_;
  std::vector<std::unique_ptr<StandInReplica>> replicas_;
  std::unique_ptr<Server> discovery_;
  std::vector<Watcher> watchers_;
  std::vector<std::unique_ptr<net::Timer>> timers_;
  std::uint64_t revision_ = 1;
  std::vector<double> fault_sizes_;
  std::vector<std::size_t> fault_zones_;
  double removal_delay_s_ = 1, addition_delay_s_ = 1;
  Metrics metrics_;
};

}  // namespace thornwick::testbed

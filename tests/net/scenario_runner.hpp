// Runs scenarios against a router on sockets. A scenario is a text with one step in each line:
//
//   ACTOR send TEXT        writes the text
//   ACTOR expect TEXT      reads until the text has come; the next `expect` continues after the text
//   ACTOR expect close     waits until the other side closes; every byte must have been expected
//   ACTOR close            closes the connection
//   ACTOR end              half-closes the connection
//   ACTOR reset            closes the connection with a reset
//   ACTOR hold             stops reading
//   ACTOR read             reads again
//   CLIENT served ID by ATTEMPT    the client sends the request ID, and the attempt is answered completely
//   router expect NAME=N   waits until the counter has this value
//   router close           begins a graceful shutdown
//   router turn            reloads the configuration with discovery's other address
//   wait MS                runs the loop for this time
//   stall MS               stops the loop for this time
//
// A `send` passes its bytes to the kernel at once, and the loop runs only in `expect`, in `wait`, and while a
// step waits for its actor to exist. Therefore all steps between two such runs take effect in one round of
// the loop, in their order.
//
// Actors are clientN (a client of the platform's front), writerN (a client of the messages front), callN (a
// caller of the admin endpoint), attemptN (the N-th request that has reached a replica), list (discovery) and
// newlist (discovery at its other address). Later connections to discovery are list2, list3, newlist2 and so
// on.
//
// Texts may contain \r, \n, \\ and the macros of scenario_text.hpp, for instance $done.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "node/node.hpp"

namespace thornwick::testing {

// The settings of the router, and of the replicas and clients around it.
struct Setup {
  int replicas = 1;
  std::string replica_dialect = "platform";
  Time keepalive = seconds(5);
  Time silence_timeout = seconds(3);
  std::string known_state = "SERVING";
  std::string ops = {};            // address of the admin endpoint; empty: none
  std::string settings = {};       // further settings, as path=value lines
  std::size_t fragment_bytes = 0;  // actors send their texts in fragments of this size; 0: whole
  std::string flow_collector = {};
  std::size_t max_clients = 0;
  std::size_t memory_mb = 192;
  std::vector<std::string> replica_models = {};  // in discovery's list; "m" for further replicas
  std::string operator_text = {};                // an operator's file with models and budgets
};

class ScenarioRunner {
 public:
  explicit ScenarioRunner(const Setup& setup = {});
  ~ScenarioRunner();

  void run(const std::string& script);

  // The functions below are for tests that need more than a scenario can express.
  std::string received(const std::string& actor);
  void send(const std::string& actor, const std::string& bytes);
  void expect(const std::string& actor, const std::string& text);
  // Waits until one of two counters has its value (NAME=N). Returns whether it is the first.
  bool wait_for_counters(const std::string& first, const std::string& second);
  std::size_t unsent(const std::string& actor);  // bytes of the actor that the router has not read
  // Reloads the configuration with a new operator's file.
  void reload(const std::string& operator_text);
  std::string replica(int index) const { return replicas_.at(static_cast<std::size_t>(index))->address(); }
  std::size_t replica_count() const { return node_->replica_count(); }

 private:
  struct Connection;
  Connection& connection(const std::string& actor);
  std::shared_ptr<Connection> connect_client(const std::string& actor);
  std::string address_for(const std::string& actor) const;
  std::string replica_entries(const Setup& setup);
  void configure(const Setup& setup);
  void listen(std::unique_ptr<net::Listener>& listener, const std::string& actor);
  void read_operator_text(const std::string& text);
  void on_accepted(const std::string& actor, net::Owned<GSocket> socket);
  void on_replica_bytes(const std::shared_ptr<Connection>& connection);
  void run_step(const std::string& text);
  void run_connection_step(const std::string& actor, const std::string& verb, const std::string& rest);
  void run_router_step(const std::string& verb, const std::string& rest);
  void serve(const std::string& client, const std::string& arguments);
  void expect_close(Connection& connection);
  void run_loop_for(Time duration);
  static void reset(Connection& connection);
  bool wait_for(const std::function<bool()>& done);
  std::string counters() const;

  std::size_t fragment_bytes_ = 0;
  std::vector<std::unique_ptr<net::Listener>> replicas_;
  std::unique_ptr<net::Listener> discovery_;
  std::unique_ptr<net::Listener> new_discovery_;
  config::Config config_;
  std::vector<std::shared_ptr<Connection>> accepted_;
  std::map<std::string, std::shared_ptr<Connection>> actors_;
  std::map<std::string, int> connection_counts_;  // connections to discovery, by actor
  int attempts_ = 0;
  std::unique_ptr<node::Node> node_;
};

}  // namespace thornwick::testing

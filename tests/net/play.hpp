// A small language for scenarios on sockets. One line, one step:
//
//   ACTOR send TEXT      ACTOR expect TEXT      ACTOR expect close      ACTOR close      wait MS
//   ACTOR end (half-closes)      ACTOR reset      ACTOR hold, ACTOR read (stops reading, goes on)      stall
//   MS (the loop stands still: what comes due and what is sent meanwhile meets in one round of it)
//
// What is sent is with the kernel at once, and the loop runs only in `expect`, in `wait` and while an actor
// has yet to come: steps between two of these meet in one round, in their order.
//
// Actors: clientN (the platform's front), writerN (the messages front), callN (the admin endpoint), attemptN
// (the N-th request that reached any stand-in replica), list (discovery's stand-in: `send` answers the call
// that waits), newlist (another one, to which `router turn` moves the router; their later connections are
// list2, newlist2, ...) and router
// (`expect` reads its counters, `close` is a planned restart). `expect` goes on reading behind what it found
// last; `expect close` also wants nothing left unread. Texts know \r \n \\ and the words in play.cpp, as
// $done.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "node/node.hpp"

namespace thornwick::testing {

struct Setup {
  int replicas = 1;
  std::string box_dialect = "platform";
  Time keepalive = seconds(5), silence_limit = seconds(3);
  std::string known_state = "SERVING";
  std::string ops = {};       // the admin endpoint
  std::string settings = {};  // more of them: path=value lines
  std::size_t piece = 0;      // all that actors send comes in pieces of so many bytes; 0: whole
  std::string flow_collector = {};
  std::size_t most_clients = 0, memory_mb = 192;
  std::vector<std::string> box_models = {};  // as discovery has them; "m" where there is none
  std::string operator_text = {};            // an operator's file: its models and budgets
};

class Play {
 public:
  explicit Play(const Setup& setup = {});
  ~Play();

  void run(const std::string& script);

  // For tests that need more than the language says.
  std::string received(const std::string& actor);
  void send(const std::string& actor, const std::string& bytes);
  void expect(const std::string& actor, const std::string& text);
  // Waits for one of two counters; whether it is the first.
  bool counts(const std::string& first, const std::string& second);
  std::size_t unsent(const std::string& actor);  // bytes that the router's side does not take
  // A new operator's file, as by SIGHUP.
  void reload(const std::string& operator_text);
  std::string replica(int index) const { return replicas_.at(static_cast<std::size_t>(index))->address(); }
  std::size_t targets() const { return node_->replica_count(); }

 private:
  struct Line;
  Line& line(const std::string& actor);
  void listen(std::unique_ptr<net::Listener>& listener, const std::string& actor);
  void read_operator_text(const std::string& text);
  void box_arrived(std::shared_ptr<Line> line);
  void step(const std::string& text);
  static void reset(Line& line);
  bool wait_for(const std::function<bool()>& done);
  std::string counters() const;

  std::size_t piece_ = 0;
  std::vector<std::unique_ptr<net::Listener>> replicas_;
  std::unique_ptr<net::Listener> list_, new_list_;
  config::Config config_;
  std::vector<std::shared_ptr<Line>> accepted_;
  std::map<std::string, std::shared_ptr<Line>> actors_;
  std::map<std::string, int> connections_;  // to discovery's stand-ins
  int attempts_ = 0;
  std::unique_ptr<node::Node> node_;
};

}  // namespace thornwick::testing

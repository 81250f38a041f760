// Open-loop clients: requests go out at the times at which a scenario's day (or a recorded trace) has them,
// whatever becomes of the earlier ones, and latency counts from the intended start, so that a stall is not
// hidden (coordinated omission). Bounded in time, in connections and in requests.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/day.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/result.hpp"
#include "emulator/scenario.hpp"
#include "fronts/dialect.hpp"
#include "net/loop.hpp"

namespace thornwick::testbed {

struct LoadOptions {
  emulator::Scenario scenario;                     // classes, members, what clients do when they are rejected
  std::vector<emulator::PlannedRequest> requests;  // by time
  std::vector<std::string> routers;                // addresses; requests go to them in turn
  std::string dialect = "platform";
  std::size_t max_connections = 800;
  std::uint64_t seed = 1;
};

class Load {
 public:
  explicit Load(LoadOptions options);
  ~Load();

  // `done` is called once every request has ended.
  void start(std::function<void()> done);
  const emulator::Result& result() const { return result_; }
  struct Metrics {
    std::uint64_t no_connection = 0;  // tries for which there was none left
    std::uint64_t unanswered = 0;     // given up without any final answer: the router's fault
    std::uint64_t late_starts = 0;    // tries that went out 10 ms and more after their time
  };
  const Metrics& metrics() const { return metrics_; }

 private:
  struct Connection;
  struct Turn;
  void go_on();
  void finish();
  void try_turn(Turn& turn);
  void arrived(Connection& line, std::string_view bytes);
  void ended(Connection& line);
  void answered(Connection& line);
  void turned_away(Turn& turn, Time retry_after, bool broken);
  void end_turn(Turn& turn, double part);
  void drop(Connection& line);
  std::string bytes_of(const Turn& turn, Time limit) const;

  LoadOptions options_;
  const fronts::Dialect* dialect_;
  emulator::RandomStream chance_;
  emulator::Result result_;
  Metrics metrics_;
  std::function<void()> done_;
  Time began_ = 0;
  bool finished_ = false;
  std::size_t next_ = 0;
  std::uint64_t last_id_ = 0;
  std::size_t next_router_ = 0;
  double backoff_us_ = 0;
  std::list<std::unique_ptr<Turn>> turns_;
  std::list<std::unique_ptr<Connection>> lines_;
  net::Timer pacer_;
};

}  // namespace thornwick::testbed

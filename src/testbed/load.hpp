// Open-loop clients: each request is sent at the time that a scenario's day or a recorded trace gives,
// whether or not earlier requests have ended. Latency counts from the intended start, so that a stall is not
// hidden (coordinated omission). The time, the connections and the requests are bounded.
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
  emulator::Scenario scenario;                     // classes, members, and how clients react to a rejection
  std::vector<emulator::PlannedRequest> requests;  // in order of time
  std::vector<std::string> routers;                // addresses; each new connection goes to the next one
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
    std::uint64_t no_connection = 0;  // tries that failed because all connections were in use
    std::uint64_t unanswered = 0;     // tries without a final answer in time, which is an error of the router
    std::uint64_t late_starts = 0;    // requests that were sent 10 ms or more after their time
  };
  const Metrics& metrics() const { return metrics_; }

 private:
  struct Connection;
  struct PendingRequest;
  void send_due_requests();
  void finish();
  void send_try(PendingRequest& request);
  void on_bytes(Connection& connection, std::string_view bytes);
  void on_connection_ended(Connection& connection);
  void on_answer(Connection& connection);
  void on_try_failed(PendingRequest& request, Time retry_after, bool partially_answered);
  void end_request(PendingRequest& request, double earned_fraction);
  void close(Connection& connection);
  std::string request_bytes(const PendingRequest& request, Time limit) const;

  LoadOptions options_;
  const fronts::Dialect* dialect_;
  emulator::RandomStream random_;
  emulator::Result result_;
  Metrics metrics_;
  std::function<void()> done_;
  Time started_at_ = 0;
  bool finished_ = false;
  std::size_t next_request_ = 0;
  std::uint64_t last_id_ = 0;
  std::size_t next_router_ = 0;
  double backoff_us_ = 0;
  std::list<std::unique_ptr<PendingRequest>> pending_requests_;
  std::list<std::unique_ptr<Connection>> connections_;
  net::Timer next_request_timer_;
};

}  // namespace thornwick::testbed

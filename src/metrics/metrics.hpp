// The metrics that operators fetch: counters of requests by class since the process started, and gauges, as
// text in the Prometheus exposition format. docs/operations.md describes them for operators, and
// docs/lifecycle.md says which requests are counted how.
//
// No I/O; depends on no other module.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace thornwick::metrics {

// How a request ended, as operators count it.
enum class RequestState {
  answered,  // served completely
  deferred,  // rejected: the client may retry it
  errored    // any other answer
};
inline constexpr std::size_t kRequestStateCount = 3;

// Values at the time at which the metrics are fetched.
struct Gauges {
  std::size_t in_flight = 0;            // requests that were admitted and have not ended
  std::size_t replicas = 0;             // replicas in the endpoint list
  std::size_t ejected_replicas = 0;     // listed replicas that get no requests because they failed
  std::optional<bool> store_open = {};  // whether the store is open; none: there is none
};

// The counters of one router process.
class Metrics {
 public:
  // `classes` are the names of the request classes in the order of the settings. The text has lines for each
  // class from the start; no class is added later.
  explicit Metrics(std::vector<std::string> classes);

  // Counts a request that ended. A class that is not one of `classes` is ignored.
  void count_request(std::size_t class_index, RequestState state);
  void count_request(std::string_view class_name, RequestState state);
  // Counts an attempt whose request was written completely to a replica.
  void count_attempt() { ++attempts_; }

  // Returns all metrics in the exposition format. The text ends with a line feed.
  std::string text(const Gauges& gauges) const;
  // Returns the number of attempts that were counted.
  std::uint64_t attempts() const { return attempts_; }

 private:
  using StateCounts = std::array<std::uint64_t, kRequestStateCount>;

  std::vector<std::string> classes_;
  std::vector<StateCounts> requests_;  // counts of each class, in the order of `classes_`
  std::uint64_t attempts_ = 0;
};

// Returns the value of a label with backslashes, quotes and line feeds escaped, as the exposition format
// requires.
std::string escape_label_value(std::string_view value);

}  // namespace thornwick::metrics

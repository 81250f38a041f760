// Calls discovery for endpoint lists. core::DiscoverySchedule plans the calls so that a watch is always open
// or being opened. A call without an answer stays open while the next call begins; a complete answer ends the
// calls that began before, and all calls to a shared server. Each new list is passed to a callback.
#pragma once

#include <simdjson.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/discovery_schedule.hpp"
#include "logging/log.hpp"
#include "logging/rate_limiter.hpp"
#include "net/address.hpp"
#include "net/discovery_connection.hpp"
#include "net/timer.hpp"

namespace thornwick::net {

// Counts of calls, lists and entries since the start of the process.
struct DiscoveryCounters {
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::uint64_t entries_applied = 0;  // entries of lists from discovery
  std::uint64_t stale_lists = 0;      // lists of an older revision than the one in use, not applied
  std::uint64_t invalid_entries = 0;  // no uid, a uid that the list has already had, or no usable address
};

class DiscoveryClient {
 public:
  struct Options {
    std::string address;
    core::DiscoverySchedule::Options schedule;  // times at which discovery is called
    std::uint64_t seed = 0;                     // of the schedule's jitter
  };
  struct Callbacks {
    // Gets each new list, a JSON object, after the client has noted the list's revision.
    std::function<void(simdjson::dom::element list)> on_list;
    // A call has failed. Is called only if discovery does not push.
    std::function<void()> on_failure;
  };

  // The schedule decides when the first call begins. `counters` is not owned. Throws NetError if
  // `options.address` is not an address.
  DiscoveryClient(Options options, Callbacks callbacks, DiscoveryCounters& counters);
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Requests the full list now, unless a call is open.
  void fetch();
  // Calls `address` from now on, and requests the full list first. Throws NetError, without any effect, if
  // `address` is not an address.
  void switch_to(const std::string& address);
  // Notes the revision of a list that is applied; later calls request only newer changes.
  void note_revision(simdjson::dom::element list);
  // The revision of the list in use; none if that list has no revision.
  std::optional<std::uint64_t> revision() const;

 private:
  enum class Scope { full_list, changes };

  void call();
  void call_at(Time when);
  void send_request(Scope scope);
  std::string request_text(Scope scope, Time wait) const;
  std::unique_ptr<DiscoveryConnection> take_connection();
  std::unique_ptr<DiscoveryConnection> connect();
  void limit_open_calls(std::size_t max_calls);
  void drop_calls_superseded_by(const DiscoveryCall& answered);
  void drop_open_call(std::size_t index);
  static void drop(std::unique_ptr<DiscoveryConnection> connection);
  std::unique_ptr<DiscoveryConnection> take_open_call(const DiscoveryConnection& connection);
  void on_answer(DiscoveryConnection& connection, const std::string& body);
  void on_failure(DiscoveryConnection& connection, const CallFailure& failure);
  void fail(const DiscoveryCall& call, const CallFailure& failure);
  void schedule_after_list(const DiscoveryCall& call, std::uint64_t revision_before);
  bool is_stale(simdjson::dom::element list);
  void log_answer(const DiscoveryCall& call, simdjson::dom::element list,
                  std::uint64_t revision_before) const;
  void describe_call(logging::Line& line, const DiscoveryCall& call) const;

  Options options_;
  Callbacks callbacks_;
  DiscoveryCounters& counters_;
  core::DiscoverySchedule schedule_;
  Owned<GSocketAddress> address_;
  logging::RateLimiter log_limiter_;
  std::vector<std::unique_ptr<DiscoveryConnection>> open_calls_;  // the oldest call first
  // The connection that answered last, which the next call uses; may be null.
  std::unique_ptr<DiscoveryConnection> idle_connection_;
  Timer next_call_;
  simdjson::dom::parser parser_;
  std::uint64_t revision_ = 0;  // of the latest list, which may come from an earlier address
  bool has_revision_ = false;   // calls may request the changes after `revision_`
  // The time of the first of a series of lists older than the list in use; 0: the latest list was not older.
  Time stale_since_ = 0;
};

}  // namespace thornwick::net

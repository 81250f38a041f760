// The calls of discovery. core::DiscoverySchedule plans them so that a watch is always open or being opened.
// A call without an answer stays out while the next one begins; the first whole answer ends all others. Each
// new list is passed to a callback.
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

// Events of discovery and its lists since the start.
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
    core::DiscoverySchedule::Options schedule;  // when discovery is called
    std::uint64_t seed = 0;                     // of the schedule's jitter
    // A list that is older than the one in use is applied only after discovery has sent nothing newer for
    // this time.
    Time stale_list_delay = 0;
  };
  struct Callbacks {
    std::function<void(simdjson::dom::element list)> list;  // an object, whose revision is noted already
    std::function<void()> failed;  // a call has failed; only called if discovery does not push
  };

  // The schedule decides when the first call begins. The counters are not owned. Throws NetError if
  // `options.address` is not an address.
  DiscoveryClient(Options options, Callbacks callbacks, DiscoveryCounters& counters);
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Requests the whole list now, unless a call is out.
  void fetch();
  // Calls another address from now on and requests its whole list first. Throws NetError if it is not an
  // address, and then nothing has changed.
  void switch_to(const std::string& address);
  // Notes the revision of a list that is applied; later calls request only newer changes.
  void note_revision(simdjson::dom::element list);
  // The revision of the list in use, if it has one.
  std::optional<std::uint64_t> revision() const;

 private:
  enum class Scope { whole_list, changes };

  void call();
  void call_at(Time when);
  void send_request(Scope scope);
  std::string request_text(Scope scope, Time wait) const;
  std::unique_ptr<DiscoveryConnection> take_connection();
  std::unique_ptr<DiscoveryConnection> connect();
  void limit_calls_out(std::size_t max_calls);
  static void drop(std::unique_ptr<DiscoveryConnection> connection);
  std::unique_ptr<DiscoveryConnection> take_out(const DiscoveryConnection& connection);
  void on_answer(DiscoveryConnection& connection, const std::string& body);
  void on_failure(DiscoveryConnection& connection, const CallFailure& failure);
  void fail(const DiscoveryCall& call, const CallFailure& failure);
  void schedule_after_list(const DiscoveryCall& call, std::uint64_t revision_before);
  bool is_too_old(simdjson::dom::element list);
  void log_answer(const DiscoveryCall& call, simdjson::dom::element list,
                  std::uint64_t revision_before) const;
  void describe_call(logging::Line& line, const DiscoveryCall& call) const;

  Options options_;
  Callbacks callbacks_;
  DiscoveryCounters& counters_;
  core::DiscoverySchedule schedule_;
  Owned<GSocketAddress> address_;
  logging::RateLimiter log_limiter_;
  std::vector<std::unique_ptr<DiscoveryConnection>> calls_out_;  // the oldest call first
  std::unique_ptr<DiscoveryConnection>
      idle_;  // the connection that answered last, for the next call; may be null
  Timer next_call_;
  simdjson::dom::parser parser_;
  std::uint64_t revision_ = 0;  // of the latest list, which may be of an earlier address
  bool has_revision_ = false;   // calls may request changes after `revision_`
  Time old_since_ = 0;  // when the first of a series of too old lists came; 0: the latest was not too old
};

}  // namespace thornwick::net

// The calls of discovery, planned by core::DiscoverySchedule so that a watch is always open or under way. A
// call without an answer stays out while the next one begins beside it; the first whole answer ends all
// others. Hands each new list to its owner.
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

// What has happened with discovery and its lists since the start.
struct DiscoveryCounters {
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::uint64_t changes = 0;  // entries taken over
  std::uint64_t old = 0;      // lists of an older version than the one in use, not taken over
  std::uint64_t bad = 0;  // entries without a uid or a good address, or of a uid that the same list has had
};

class DiscoveryClient {
 public:
  struct Options {
    std::string address;
    core::DiscoverySchedule::Options calls;  // when discovery is called
    std::uint64_t seed = 0;                  // of the schedule's jitter
    Time bear_old = 0;  // an older list than the one in use is not taken over before there has been none but
                        // such for so long
  };
  struct Callbacks {
    std::function<void(simdjson::dom::element list)> list;  // an object; its revision is noted already
    std::function<void()> failed;                           // only where discovery does not push
  };

  // Calls for the first time when the schedule wants it. The counters are not owned. Throws NetError if the
  // address is none.
  DiscoveryClient(Options options, Callbacks callbacks, DiscoveryCounters& counters);
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Asks for the whole list now, unless a call is out.
  void fetch();
  // Calls another address from now on, for its whole list first. Throws NetError, and then nothing has
  // changed.
  void switch_to(const std::string& address);
  // Notes the version of a list that is taken over; later calls ask for what is newer.
  void note_revision(simdjson::dom::element list);
  // The version of the list in use, if it has one.
  std::optional<std::uint64_t> revision() const;

 private:
  enum class Scope { whole_list, changes };

  void call();
  void call_at(Time when);
  void send_request(Scope scope);
  std::string request_text(Scope scope, Time wait) const;
  std::unique_ptr<DiscoveryConnection> take_connection();
  std::unique_ptr<DiscoveryConnection> connect();
  void limit_calls_out(std::size_t most);
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
  std::unique_ptr<DiscoveryConnection> idle_;  // the one that answered last, until the next call; may be null
  Timer next_call_;
  simdjson::dom::parser parser_;
  std::uint64_t revision_ = 0;  // the latest one known, also of another address than now
  bool has_revision_ = false;   // calls may ask for what is newer than `revision_`
  Time old_since_ = 0;          // 0: the latest list was not too old
};

}  // namespace thornwick::net

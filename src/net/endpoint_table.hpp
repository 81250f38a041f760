// The replicas that discovery lists: where each listens, whether it takes new work, and its number for the
// routing policy. Lists come from a DiscoveryClient, or once from what an earlier process knew.
#pragma once

#include <simdjson.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/discovery_schedule.hpp"
#include "core/request_manager.hpp"
#include "logging/rate_limiter.hpp"
#include "net/discovery_client.hpp"
#include "net/endpoint_list.hpp"
#include "net/gobject_handle.hpp"
#include "net/loop.hpp"

namespace thornwick::net {

struct EndpointEntry : ListedEndpoint {
  Owned<GSocketAddress> address;              // nullptr: there is no good one
  bool remembered = false;                    // gone, and waiting to be forgotten
  std::optional<EndpointState> logged_state;  // the one that the log has; none: the entry is new
};

class EndpointTable : public core::Discovery {
 public:
  struct Options {
    std::string address;
    std::vector<std::string> zones;  // as the settings name them
    std::vector<std::string> kinds;
    // When discovery is called; the routing policy's own pauses decide nothing here.
    core::DiscoverySchedule::Options calls;
    std::uint64_t seed = 0;  // of the chance in it
    // An agent's older list is not taken over before it has given none but such for so long.
    Time bear_old = seconds(10);
  };
  // The table has changed (or a call has failed, without entries): what the routing policy has to learn.
  using OnUpdate = std::function<void(EndpointUpdate, std::span<const Endpoint>)>;

  // Throws NetError if the address is none.
  EndpointTable(Options options, OnUpdate on_update);

  // Asks this from now on, before anything is sent to a replica that the list has as ready: whether peers
  // report that it drains or is gone. It is called until the table is destroyed.
  void consult_peers(std::function<bool(ReplicaId)> reported) { reported_by_peers_ = std::move(reported); }

  // The list as this router last held it.
  void start_from(simdjson::dom::element known);
  // The list of now, in discovery's form, for a process that takes over. Replicas that peers report are in it
  // as draining. It has no version then, so that the other process asks for the whole list: should a report
  // be untrue, no later change of the list would say so.
  std::string list() const;

  // The schedule calls by itself, so that a watch is always open or under way; this only says that one is
  // wanted.
  void watch() override {}
  void fetch() override { client_.fetch(); }

  // Discovery has moved. What is known of the replicas stays until the new address has sent its whole list.
  // Throws NetError, and then nothing has changed.
  void switch_to(const std::string& address) { client_.switch_to(address); }

  // Also of a replica that has gone, for a while; nullptr if it is not known. Valid until the next list.
  const EndpointEntry* find(ReplicaId replica) const;
  // Whether the newest list allows new work for this replica, and no peer's report speaks against it.
  bool may_send(ReplicaId replica) const;
  std::size_t size() const { return endpoints_.size(); }
  // Without those that are gone.
  std::size_t listed() const;
  const DiscoveryCounters& counters() const { return counters_; }

 private:
  enum class Source { discovery, cache };

  void apply_list(simdjson::dom::element list, Source source);
  std::vector<Endpoint> apply_entries(simdjson::dom::element list, Source source);
  bool is_reported(ReplicaId replica) const { return reported_by_peers_ && reported_by_peers_(replica); }
  bool is_usable(const ListedEndpoint& listed, std::set<std::string>& seen);
  Endpoint apply_entry(ListedEndpoint listed);
  void log_state_changes(Source source);
  ReplicaId assign_id(const std::string& uid) const;
  void reject_entry(std::string_view reason, const std::string& uid);
  void forget_gone();

  EndpointNames names_;
  OnUpdate on_update_;
  std::function<bool(ReplicaId)> reported_by_peers_;  // empty: there are no peers
  std::map<ReplicaId, EndpointEntry> endpoints_;
  std::deque<ReplicaId> gone_;  // the one that went first comes first
  DiscoveryCounters counters_;
  logging::RateLimiter log_limiter_;
  DiscoveryClient client_;
};

}  // namespace thornwick::net

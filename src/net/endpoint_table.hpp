// The replicas that discovery lists: the address of each, whether it accepts new requests, and its number for
// the routing policy. Lists come from a DiscoveryClient, and at the start from an earlier process or the
// configuration.
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

// Why an entry of a list cannot be used.
enum class EntryFault { no_uid, duplicate_uid, no_address };

// A replica in the table.
struct EndpointEntry : ListedEndpoint {
  Owned<GSocketAddress> address;              // null: the entry has no usable address
  bool remembered = false;                    // it is gone and in the queue of entries to forget
  std::optional<EndpointState> logged_state;  // the state in the latest log line; none: the entry is new
};

class EndpointTable : public core::Discovery {
 public:
  struct Options {
    std::string address;
    std::vector<std::string> zones;  // as the settings name them
    std::vector<std::string> kinds;
    // When discovery is called. The routing policy's own intervals have no effect here.
    core::DiscoverySchedule::Options schedule;
    std::uint64_t seed = 0;  // of the schedule's jitter
    // A list that is older than the one in use is applied only after discovery has sent nothing newer for
    // this time.
    Time stale_list_delay = seconds(10);
  };
  // Called after the table has changed, with the changed entries; and after a call has failed, without
  // entries.
  using OnUpdate = std::function<void(EndpointUpdate, std::span<const Endpoint>)>;

  // Throws NetError if `options.address` is not an address.
  EndpointTable(Options options, OnUpdate on_update);

  // Sets the function that tells whether peers report a replica as draining or gone. Such a replica gets no
  // new attempt even if the list has it as ready. The function is called until the table is destroyed.
  void set_peer_reports(std::function<bool(ReplicaId)> reported) { reported_by_peers_ = std::move(reported); }

  // Applies a list that is known at the start, before discovery has answered.
  void apply_known_list(simdjson::dom::element known);
  // The current list in discovery's format, for a successor. Replicas that peers report are listed as
  // draining; the list then has no revision, so that the successor requests the whole list. If such a report
  // is wrong, no later change of the list would correct it.
  std::string list_json() const;

  // Does nothing: the schedule keeps a watch open by itself.
  void subscribe() override {}
  void fetch() override { client_.fetch(); }

  // Calls discovery at another address from now on. The table stays until the new address has sent its whole
  // list. Throws NetError if it is not an address, and then nothing has changed.
  void switch_to(const std::string& address) { client_.switch_to(address); }

  // Returns null if the replica is not known. Replicas that are gone stay known for a while. Valid until the
  // next list is applied.
  const EndpointEntry* find(ReplicaId replica) const;
  // Whether the replica may get new attempts: the list has it as ready, and no peer reports it.
  bool may_send(ReplicaId replica) const;
  std::size_t size() const { return endpoints_.size(); }
  // The number of replicas that are not gone.
  std::size_t listed_count() const;
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
  void reject_entry(EntryFault fault, const std::string& uid);
  void forget_gone();

  EndpointNames names_;
  OnUpdate on_update_;
  std::function<bool(ReplicaId)> reported_by_peers_;  // empty: there are no peers
  std::map<ReplicaId, EndpointEntry> endpoints_;
  std::deque<ReplicaId> gone_;  // in the order in which they went
  DiscoveryCounters counters_;
  logging::RateLimiter log_limiter_;
  DiscoveryClient client_;
};

}  // namespace thornwick::net

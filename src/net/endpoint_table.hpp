// The replicas that discovery lists: the address of each replica, whether the replica accepts new requests,
// and the replica's id in the routing policy. Lists come from a DiscoveryClient, and at the start from a
// predecessor or the configuration.
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
#include <unordered_map>
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
  bool queued_for_removal = false;            // removed, and in the queue of entries to forget
  std::optional<EndpointState> logged_state;  // the state in the latest log line; none: the entry is new
};

class EndpointTable : public core::Discovery {
 public:
  struct Options {
    std::string address;
    std::vector<std::string> zones;  // as the settings name them
    std::vector<std::string> kinds;
    // Times at which discovery is called. The intervals of the routing policy have no effect here.
    core::DiscoverySchedule::Options schedule;
    std::uint64_t seed = 0;  // of the schedule's jitter
  };
  // Is called with the changed entries after the table has changed, and without entries after a call has
  // failed. Where a shared server is called, also after an answer without entries, which confirms the list.
  using OnUpdate = std::function<void(EndpointUpdate, std::span<const Endpoint>)>;

  // Throws NetError if `options.address` is not an address.
  EndpointTable(Options options, OnUpdate on_update);

  // Sets the function that returns whether peers report a replica as draining or removed. Such a replica gets
  // no new attempt even if the list has it as ready. The function is called until the table is destroyed.
  void set_peer_reports(std::function<bool(ReplicaId)> reported) { reported_by_peers_ = std::move(reported); }

  // Applies a list that is known at the start, before discovery has answered.
  void apply_known_list(simdjson::dom::element known);
  // Returns the current list in discovery's format, for a successor. Replicas that peers report are listed as
  // draining. The list then has no revision, so that the successor requests the full list: if such a report
  // was wrong, no later change of the list would correct it.
  std::string list_json() const;

  // Does nothing, because the schedule always keeps a watch open.
  void subscribe() override {}
  void fetch() override { client_.fetch(); }

  // Calls discovery at `address` from now on. The table stays until the new address has sent its full list.
  // Throws NetError, without any effect, if `address` is not an address.
  void switch_to(const std::string& address) { client_.switch_to(address); }

  // Returns the replica's entry, valid until the next list is applied; null if the replica is not known.
  // Removed replicas stay known for a while.
  const EndpointEntry* find(ReplicaId replica) const;
  // Returns the replica's id; none if the replica is not known. A listed replica keeps its id.
  std::optional<ReplicaId> id_of(const std::string& uid) const;
  // Whether the replica may get new attempts: the list has it as ready, and no peer reports it as draining or
  // removed.
  bool may_send(ReplicaId replica) const;
  std::size_t size() const { return endpoints_.size(); }
  // The number of replicas that are not removed.
  std::size_t listed_count() const;
  const DiscoveryCounters& counters() const { return counters_; }

 private:
  enum class Source { discovery, cache };

  void apply_list(simdjson::dom::element list, Source source);
  std::vector<ListedEndpoint> read_entries(simdjson::dom::element list);
  void remove_unlisted(std::span<const ListedEndpoint> listed);
  std::vector<Endpoint> apply_entries(std::vector<ListedEndpoint> listed, Source source);
  void check_address(const Endpoint& entry, std::vector<Endpoint>& applied);
  void supersede(ReplicaId replica, std::vector<Endpoint>& applied);
  void forget_address(ReplicaId replica, const std::string& address);
  bool is_reported(ReplicaId replica) const { return reported_by_peers_ && reported_by_peers_(replica); }
  bool is_usable(const ListedEndpoint& listed, std::set<std::string>& uids);
  Endpoint apply_entry(ListedEndpoint listed);
  void log_state_changes(Source source);
  ReplicaId id_for(const std::string& uid) const;
  ReplicaId unused_id_for(const std::string& uid) const;
  void reject_entry(EntryFault fault, const std::string& uid);
  void forget_removed();

  EndpointNames names_;
  bool uses_local_agent_;
  OnUpdate on_update_;
  std::function<bool(ReplicaId)> reported_by_peers_;  // empty: there are no peers
  std::map<ReplicaId, EndpointEntry> endpoints_;
  std::unordered_map<std::string, ReplicaId> ids_;         // of all replicas in endpoints_, by uid
  std::unordered_map<std::string, ReplicaId> by_address_;  // the ready replica that was started there last
  std::deque<ReplicaId> removed_;                          // the replica removed first comes first
  DiscoveryCounters counters_;
  logging::RateLimiter log_limiter_;
  DiscoveryClient client_;
};

}  // namespace thornwick::net

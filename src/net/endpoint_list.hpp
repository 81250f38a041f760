// Reads and writes discovery's endpoint list as JSON:
//
//   {"rev": 7, "all": true, "targets": [
//     {"uid": ..., "endpoint": ..., "az": ..., "model": ..., "pod_group": ...,
//      "state": "SERVING" or "DRAINING", "capacity_hint": ..., "boot_ms": ...}]}
#pragma once

#include <simdjson.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/request_manager.hpp"

namespace thornwick::net {

// One entry of a list.
struct ListedEndpoint {
  Endpoint listing;      // the fields that the routing policy needs
  std::string uid;       // empty: the entry has no uid and cannot be used
  std::string endpoint;  // "127.0.0.1:9000"
  std::string model;     // as discovery names it
  std::int64_t group = 0;
};

// The zones and kinds of replica that the settings name. An Endpoint holds positions in these lists; a name
// that is not listed has position 0.
struct EndpointNames {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

// Reads an entry; fields that are missing or malformed get default values. `listing.id` is not set, because
// it depends on the other entries.
ListedEndpoint read_endpoint(simdjson::dom::element entry, const EndpointNames& names);

// Returns the revision of the list; none if the list has no revision.
std::optional<std::uint64_t> read_revision(simdjson::dom::element list);

// Whether the list is full: replicas that a full list omits are removed. Any other list changes only the
// entries that it contains.
bool is_full_list(simdjson::dom::element list);

// Writes an entry in discovery's format. The state of the entry must not be `removed`.
std::string write_endpoint(const ListedEndpoint& endpoint, const EndpointNames& names);

// Writes a full list. `entries`: results of write_endpoint(), separated by commas.
std::string write_endpoint_list(std::optional<std::uint64_t> revision, const std::string& entries);

// Returns the hexadecimal number at the end of the uid if it has eight digits, as in "s-5be2a07c", or else a
// hash of the whole uid. The routing policy sorts replicas by this id, and routers name replicas to each
// other by it, so it must not depend on which other replicas a router knows.
ReplicaId preferred_id(const std::string& uid);

}  // namespace thornwick::net

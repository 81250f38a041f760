#include "net/endpoint_list.hpp"

#include <algorithm>
#include <charconv>

#include "fronts/json.hpp"

namespace thornwick::net {
namespace {

using fronts::json_text;
using fronts::text_at;

// Constants of FNV-1a with 32 bits.
constexpr ReplicaId kFnvOffset = 0x811c9dc5u;
constexpr ReplicaId kFnvPrime = 0x01000193u;

constexpr std::size_t kReplicaIdDigits = 8;  // hexadecimal digits of a ReplicaId

// Returns 0 for a name that is not in the list.
std::uint16_t index_of(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? 0 : static_cast<std::uint16_t>(found - names.begin());
}

std::string name_at(const std::vector<std::string>& names, std::size_t index) {
  return index < names.size() ? names[index] : std::string();
}

// Returns the hexadecimal number behind the last hyphen of the uid, if it has all digits of an id. A shorter
// one, as in "fast-1" and "standard-1", does not tell replicas apart.
std::optional<ReplicaId> complete_number(const std::string& uid) {
  const std::string digits = uid.substr(uid.rfind('-') + 1);
  if (digits.size() != kReplicaIdDigits) return std::nullopt;
  const char* last = digits.data() + digits.size();
  ReplicaId number = 0;
  const auto [end, error] = std::from_chars(digits.data(), last, number, 16);
  return error == std::errc{} && end == last ? std::optional(number) : std::nullopt;
}

EndpointState read_state(const std::string& text) {
  if (text == "SERVING") return EndpointState::ready;
  if (text == "DRAINING") return EndpointState::draining;
  return EndpointState::removed;
}

}  // namespace

ListedEndpoint read_endpoint(simdjson::dom::element entry, const EndpointNames& names) {
  ListedEndpoint endpoint;
  endpoint.uid = text_at(entry, "/uid");
  endpoint.endpoint = text_at(entry, "/endpoint");
  endpoint.model = text_at(entry, "/model");
  if (entry.at_key("pod_group").get(endpoint.group) != simdjson::SUCCESS) endpoint.group = 0;

  Endpoint& listing = endpoint.listing;
  listing.state = read_state(text_at(entry, "/state"));
  listing.zone = index_of(names.zones, text_at(entry, "/az"));
  listing.kind = index_of(names.kinds, endpoint.model);
  std::uint64_t cell = 0;
  if (entry.at_key("pod_group").get(cell) == simdjson::SUCCESS) {
    listing.cell = static_cast<std::uint16_t>(cell);
  }
  std::uint64_t boot_ms = 0;
  if (entry.at_key("boot_ms").get(boot_ms) == simdjson::SUCCESS) {
    listing.started_at = milliseconds(static_cast<Time>(boot_ms));
  }
  double weight = 1;
  if (entry.at_key("capacity_hint").get(weight) == simdjson::SUCCESS) {
    listing.weight = static_cast<float>(weight);
  }
  return endpoint;
}

std::optional<std::uint64_t> read_revision(simdjson::dom::element list) {
  std::uint64_t revision = 0;
  if (list.at_key("rev").get(revision) != simdjson::SUCCESS) return std::nullopt;
  return revision;
}

bool is_full_list(simdjson::dom::element list) {
  bool full = false;
  return list.at_key("all").get(full) != simdjson::SUCCESS || full;
}

std::string write_endpoint(const ListedEndpoint& endpoint, const EndpointNames& names) {
  const Endpoint& listing = endpoint.listing;
  std::string text = R"({"uid":)" + json_text(endpoint.uid);
  text += R"(,"endpoint":)" + json_text(endpoint.endpoint);
  text += R"(,"az":)" + json_text(name_at(names.zones, listing.zone));
  text += R"(,"model":)" + json_text(endpoint.model);
  text += R"(,"pod_group":)" + std::to_string(endpoint.group);
  text += R"(,"state":")";
  text += listing.state == EndpointState::ready ? "SERVING" : "DRAINING";
  text += R"(","capacity_hint":)" + std::to_string(listing.weight);
  text += R"(,"boot_ms":)" + std::to_string(listing.started_at / milliseconds(1)) + "}";
  return text;
}

std::string write_endpoint_list(std::optional<std::uint64_t> revision, const std::string& entries) {
  const std::string version = revision ? R"("rev":)" + std::to_string(*revision) + "," : std::string();
  return "{" + version + R"("all":true,"targets":[)" + entries + "]}";
}

ReplicaId preferred_id(const std::string& uid) {
  if (const std::optional<ReplicaId> number = complete_number(uid)) return *number;
  ReplicaId hash = kFnvOffset;
  for (const char byte : uid) hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  return hash;
}

}  // namespace thornwick::net

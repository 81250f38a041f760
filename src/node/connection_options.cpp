#include "node/connection_options.hpp"

#include <algorithm>

#include "node/config_validation.hpp"

namespace thornwick::node {
namespace {

// Shares of the descriptors for busy connections of clients and for connections to replicas. The remaining
// descriptors serve clients beyond the clients' share: their requests are read and rejected at once, instead
// of waiting unread in the kernel's queue until they time out.
constexpr double kDownstreamShare = 0.5;
constexpr double kUpstreamShare = 0.42;
// Divisors of the memory limit: for the bodies of requests, and for bytes in flight to clients.
constexpr std::size_t kBodyMemoryDivisor = 4;
constexpr std::size_t kInFlightMemoryDivisor = 8;
// Bounds of the bytes in flight on one connection, in bytes.
constexpr std::size_t kMinBytesInFlight = std::size_t{16} * 1024;
constexpr std::size_t kMaxBytesInFlight = std::size_t{256} * 1024;
constexpr Time kOverloadRetryAfter = seconds(1);  // retry_after of a rejection for overload

std::size_t descriptor_share(double share) {
  return static_cast<std::size_t>(share * static_cast<double>(net::descriptors().limit));
}

std::size_t memory_bytes(const config::Config& config) { return config.limits.memory_mb * 1024 * 1024; }

std::size_t bytes_in_flight(const config::Config& config, std::size_t connections) {
  return std::clamp(memory_bytes(config) / kInFlightMemoryDivisor / connections, kMinBytesInFlight,
                    kMaxBytesInFlight);
}

// Returns the model's name in requests to replicas. Empty if the name that the client sent is forwarded.
std::string upstream_model_name(const models::Catalogue& catalogue, std::uint16_t model_id) {
  const bool known = model_id > 0 && model_id <= catalogue.models.size();
  if (known && catalogue.models[model_id - 1u].accepts_any_name) return {};
  return catalogue.name_of(model_id);
}

}  // namespace

net::UpstreamPool::Options upstream_options(const config::Config& config) {
  net::UpstreamPool::Options options;
  options.keepalive = config.timeouts.keepalive;
  options.connect_timeout = config.timeouts.connect;
  options.silence_timeout = config.timeouts.stream_silence;
  options.report_names = config.names.report_fields;
  options.max_connections = descriptor_share(kUpstreamShare);
  options.max_event_bytes = bytes_in_flight(config, options.max_connections);
  options.dialect = &find_dialect_or_throw(config.operator_file.target_dialect);
  for (const auto& [uid, name] : config.operator_file.targets)
    options.dialects_by_uid[uid] = &find_dialect_or_throw(name);
  if (!config.operator_file.catalogue.empty()) {
    options.model_name = [&config](std::uint16_t model_id) {
      return upstream_model_name(config.operator_file.catalogue, model_id);
    };
  }
  return options;
}

net::DownstreamServer::Options downstream_options(const config::Config& config) {
  net::DownstreamServer::Options options;
  options.max_busy_connections = config.limits.max_client_connections > 0
                                     ? config.limits.max_client_connections
                                     : std::max<std::size_t>(1, descriptor_share(kDownstreamShare));
  const std::size_t non_upstream_descriptors = std::max<std::size_t>(1, descriptor_share(1 - kUpstreamShare));
  options.max_connections = std::max(non_upstream_descriptors, options.max_busy_connections + 1);
  options.max_body_bytes = memory_bytes(config) / kBodyMemoryDivisor;
  options.congestion_bytes = bytes_in_flight(config, options.max_busy_connections);
  options.overload_retry_after =
      config.settings.retry_after ? std::min(kOverloadRetryAfter, config.settings.max_retry_after) : 0;
  options.address_use =
      config.listeners.operators.empty() ? net::AddressUse::exclusive : net::AddressUse::shared;
  if (!config.operator_file.catalogue.empty()) {
    options.model_name = [&config](std::uint16_t model_id) {
      return config.operator_file.catalogue.name_of(model_id);
    };
  }
  return options;
}

}  // namespace thornwick::node

#include "node/connection_options.hpp"

#include <algorithm>

#include "node/config_validation.hpp"

namespace thornwick::node {
namespace {

// Shares of the descriptors. What neither has is kept for clients beyond their share, whose requests are read
// and rejected at once: they must not wait unread in the kernel's queue until they time out.
constexpr double kDownstreamShare = 0.5;
constexpr double kUpstreamShare = 0.42;
// Divisors of the memory: for the bodies of requests, and for bytes on the way to clients.
constexpr std::size_t kBodyDivisor = 4;
constexpr std::size_t kInFlightDivisor = 8;
// Bounds of the bytes in flight on one connection.
constexpr std::size_t kMinInFlight = std::size_t{16} * 1024;
constexpr std::size_t kMaxInFlight = std::size_t{256} * 1024;
constexpr Time kCrowdedRetryAfter = seconds(1);  // advised when there is no room for a request

std::size_t share_of_descriptors(double share) {
  return static_cast<std::size_t>(share * static_cast<double>(net::descriptors().limit));
}

std::size_t memory_bytes(const config::Config& config) { return config.limits.memory_mb * 1024 * 1024; }

std::size_t bytes_in_flight(const config::Config& config, std::size_t connections) {
  return std::clamp(memory_bytes(config) / kInFlightDivisor / connections, kMinInFlight, kMaxInFlight);
}

// The name that replicas are asked for. Empty where the client's own name passes on.
std::string upstream_model_name(const models::Catalogue& catalogue, std::uint16_t number) {
  const bool known = number > 0 && number <= catalogue.models.size();
  if (known && catalogue.models[number - 1u].any_name) return {};
  return catalogue.name_of(number);
}

}  // namespace

net::UpstreamPool::Options upstream_options(const config::Config& config) {
  net::UpstreamPool::Options options;
  options.keepalive = config.timeouts.keepalive;
  options.dial_limit = config.timeouts.connect;
  options.silence_limit = config.timeouts.stream_silence;
  options.report_names = config.names.report_fields;
  options.most_connections = share_of_descriptors(kUpstreamShare);
  options.most_frame = bytes_in_flight(config, options.most_connections);
  options.dialect = &dialect_named(config.operator_file.target_dialect);
  for (const auto& [uid, name] : config.operator_file.targets) options.by_name[uid] = &dialect_named(name);
  if (!config.operator_file.catalogue.empty()) {
    options.model_name = [&config](std::uint16_t number) {
      return upstream_model_name(config.operator_file.catalogue, number);
    };
  }
  return options;
}

net::DownstreamServer::Options downstream_options(const config::Config& config) {
  net::DownstreamServer::Options options;
  options.most_connections = config.limits.max_client_connections > 0
                                 ? config.limits.max_client_connections
                                 : std::max<std::size_t>(1, share_of_descriptors(kDownstreamShare));
  const std::size_t not_upstream = std::max<std::size_t>(1, share_of_descriptors(1 - kUpstreamShare));
  options.most_lines = std::max(not_upstream, options.most_connections + 1);
  options.most_body_bytes = memory_bytes(config) / kBodyDivisor;
  options.congested = bytes_in_flight(config, options.most_connections);
  options.crowded_absence =
      config.settings.retry_after ? std::min(kCrowdedRetryAfter, config.settings.max_retry_after) : 0;
  options.shared = !config.listeners.operators.empty();
  if (!config.operator_file.catalogue.empty()) {
    options.model_name = [&config](std::uint16_t number) {
      return config.operator_file.catalogue.name_of(number);
    };
  }
  return options;
}

}  // namespace thornwick::node

#include "router_config.hpp"

#include "../net/socket.hpp"

namespace thornwick::testing {
namespace {

constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

std::string write_peers(const RouterConfig& config) {
  if (config.peers.empty()) return "";
  std::string peers;
  for (const std::string& peer : config.peers) peers += (peers.empty() ? "\"" : ",\"") + peer + "\"";
  return R"("peer_listen":")" + config.peers[config.rank] + R"(","peers":[)" + peers + R"(],"peers_all":")" +
         config.all_peers + R"(",)";
}

std::string write_settings(const RouterConfig& config) {
  const std::string may_message_peers = config.peers.empty() ? "false" : "true";
  return R"("settings":{"registryMode":")" + config.registry_mode + R"(","rules":{"stopSendingWithin":)" +
         std::to_string(config.drain_grace_us) + R"(},"groupSize":)" + std::to_string(config.group_size) +
         R"(,"rank":)" + std::to_string(config.rank) +
         R"(,"grades":[{"name":"chat","objective":4000000,"deadline":9000000,"streamed":true}],)"
         R"("tenants":[{"name":"acme","share":1.0}],"policyLimits":{"maxAttempts":5,"dialTimeout":)" +
         std::to_string(config.connect_timeout_us) + R"(,"keepalive":)" +
         std::to_string(config.keepalive_us) + R"(,"peers":)" + may_message_peers + "}}";
}

}  // namespace

std::string write_router_config(const RouterConfig& config) {
  const std::string rank = std::to_string(config.rank);
  const std::string admin_endpoint =
      config.admin_endpoint.empty() ? "" : R"("ops":")" + config.admin_endpoint + R"(",)";
  return R"({"name":"n)" + rank + R"(","listen":"127.0.0.1:0",)" + admin_endpoint + R"("discovery":")" +
         config.discovery + R"(","seed":"f)" + rank +
         R"(","limits":{"cores":1,"memory_mb":96,"sockets":256},"known":{"rev":1,"all":true,"targets":[)" +
         config.known + "]}," + write_peers(config) + write_settings(config) + "}";
}

std::string write_router_request(std::size_t number, std::int64_t timeout) {
  const std::string id = std::to_string(number);
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Request-ID: r" + id +
         "\r\nX-Priority-Class: chat\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: " +
         std::to_string(timeout / kMicrosecondsPerMillisecond) + "\r\nX-Route-Key: " + id +
         "\r\nX-Attrs: prompt_len=4,max_out=4\r\nContent-Length: 2\r\n\r\n{}";
}

std::string free_datagram_address() {
  Socket temporary_socket(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  return temporary_socket.bind_any_port();
}

}  // namespace thornwick::testing

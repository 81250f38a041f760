#include "net/address.hpp"

#include <charconv>
#include <limits>

namespace thornwick::net {

Owned<GSocketAddress> parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return nullptr;
  unsigned port = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  const bool is_port = error == std::errc{} && end == last && port <= std::numeric_limits<guint16>::max();
  if (!is_port) return nullptr;
  return Owned<GSocketAddress>(g_inet_socket_address_new_from_string(text.substr(0, colon).c_str(), port));
}

std::string address_text(GSocketAddress* address) {
  if (!G_IS_INET_SOCKET_ADDRESS(address)) return {};
  auto* internet = G_INET_SOCKET_ADDRESS(address);
  char* host = g_inet_address_to_string(g_inet_socket_address_get_address(internet));
  std::string text = std::string(host) + ":" + std::to_string(g_inet_socket_address_get_port(internet));
  g_free(host);
  return text;
}

std::string local_address_text(GSocket* socket) {
  const Owned<GSocketAddress> local(g_socket_get_local_address(socket, nullptr));
  return address_text(local.get());
}

}  // namespace thornwick::net

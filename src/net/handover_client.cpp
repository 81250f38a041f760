#include "net/handover_client.hpp"

#include <gio/gunixsocketaddress.h>
#include <sys/stat.h>

#include <utility>

#include "logging/log.hpp"

namespace thornwick::net {
namespace {

constexpr guint kCallTimeoutSeconds = 1;  // limit of each call to the old process

Owned<GSocket> new_unix_socket() {
  Owned<GSocket> socket(
      g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_DEFAULT, nullptr));
  if (!socket) throw HandoverError(HandoverFault::no_unix_sockets);
  return socket;
}

// Returns null if no process listens at the path because a killed process has left the file, which is not
// worth a log line. Throws HandoverError if connecting fails for another reason.
Owned<GSocket> connect_to_old_process(const std::string& path) {
  auto socket = new_unix_socket();
  g_socket_set_timeout(socket.get(), kCallTimeoutSeconds);
  const Owned<GSocketAddress> address(g_unix_socket_address_new(path.c_str()));
  GLibError error;
  if (g_socket_connect(socket.get(), address.get(), nullptr, error.out())) return socket;
  if (error.matches(G_IO_ERROR_CONNECTION_REFUSED)) return nullptr;
  throw HandoverError(HandoverFault::ended, error.message("the connection ended"));
}

}  // namespace

std::optional<HandoverState> receive_handover(const std::string& path) {
  struct stat status {};
  if (path.empty() || stat(path.c_str(), &status) != 0) return std::nullopt;
  try {
    auto socket = connect_to_old_process(path);
    if (!socket) return std::nullopt;
    HandoverState handover_state = receive_offer(std::move(socket));
    g_socket_set_timeout(handover_state.connection.get(), 0);
    return handover_state;
  } catch (const std::exception& problem) {
    logging::warning("handover") << "handover from the process at " << path << " failed: " << problem.what();
    return std::nullopt;
  }
}

HandoverClient::HandoverClient(Owned<GSocket> connection, Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      stream_({.connected = {},
               .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
               .drained = {},
               .ended = [this] { on_ended(); }}) {
  stream_.adopt(std::move(connection));
}

void HandoverClient::request_ids() { stream_.write(std::string(to_line(HandoverMessage::share_ids))); }

void HandoverClient::send_serving() { stream_.write(std::string(to_line(HandoverMessage::serving))); }

void HandoverClient::send_handed_over() { stream_.write(std::string(to_line(HandoverMessage::handed_over))); }

void HandoverClient::on_bytes(std::string_view bytes) {
  if (lines_.overflowed()) return;
  lines_.feed(bytes);
  while (const auto line = lines_.next()) {
    if (const auto id_message = parse_id_line(*line)) {
      callbacks_.id_message(*id_message);
      continue;
    }
    if (const auto account_message = parse_account_line(*line)) {
      callbacks_.account_message(*account_message);
      continue;
    }
    const auto message = parse_handover_line(*line);
    if (message == HandoverMessage::shares_accounts) callbacks_.accounts_shared();
    if (message == HandoverMessage::yielded || message == HandoverMessage::yielded_drained)
      callbacks_.predecessor_yielded(message == HandoverMessage::yielded_drained);
  }
}

void HandoverClient::on_ended() {
  stream_.close();
  callbacks_.predecessor_exited();
}

}  // namespace thornwick::net

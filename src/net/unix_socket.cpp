#include "net/unix_socket.hpp"

#include <gio/gunixsocketaddress.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <optional>

namespace thornwick::net {
namespace {

constexpr std::size_t kMaxAnswerBytes = 16UL * 1024 * 1024;
constexpr std::size_t kReadBytes = 16384;
constexpr const char* kUnknownError = "the connection ended";

Owned<GSocket> new_unix_socket(GLibError& error) {
  return Owned<GSocket>(
      g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_DEFAULT, error.out()));
}

// Returns a connected socket over which the line was sent. Throws NetError.
Owned<GSocket> send_line(const std::string& path, const std::string& line, Time timeout) {
  GLibError error;
  const Owned<GSocketAddress> address(g_unix_socket_address_new(path.c_str()));
  Owned<GSocket> socket = new_unix_socket(error);
  if (!socket) throw NetError(error.message(kUnknownError));
  g_socket_set_timeout(socket.get(), static_cast<guint>(std::max<Time>(1, timeout / seconds(1))));
  const std::string bytes = line + "\n";
  if (!g_socket_connect(socket.get(), address.get(), nullptr, error.out()) ||
      g_socket_send(socket.get(), bytes.data(), bytes.size(), nullptr, error.out()) !=
          static_cast<gssize>(bytes.size())) {
    throw NetError("no router answers at " + path + ": " + error.message(kUnknownError));
  }
  return socket;
}

}  // namespace

bool fits_unix_socket(const std::string& path) {
  return !path.empty() && path.size() < sizeof(sockaddr_un::sun_path);
}

Owned<GSocket> listen_unix(const std::string& path) {
  if (!fits_unix_socket(path)) throw NetError("the path of a Unix socket is empty or too long: " + path);
  unlink(path.c_str());
  const Owned<GSocketAddress> address(g_unix_socket_address_new(path.c_str()));
  GLibError error;
  Owned<GSocket> socket = new_unix_socket(error);
  if (!socket || !g_socket_bind(socket.get(), address.get(), FALSE, error.out()) ||
      !g_socket_listen(socket.get(), error.out())) {
    throw NetError("cannot listen at " + path + ": " + error.message(kUnknownError));
  }
  chmod(path.c_str(), S_IRUSR | S_IWUSR);
  return socket;
}

bool same_user(GSocket* socket) {
  const Owned<GCredentials> credentials(g_socket_get_credentials(socket, nullptr));
  return credentials && g_credentials_get_unix_user(credentials.get(), nullptr) == geteuid();
}

std::string call_unix_socket(const std::string& path, const std::string& line, Time timeout) {
  if (!fits_unix_socket(path)) throw NetError("the path of a Unix socket is empty or too long: " + path);
  const Owned<GSocket> socket = send_line(path, line, timeout);
  std::string answer;
  std::array<char, kReadBytes> piece{};
  const Time deadline = now_us() + timeout;
  while (now_us() < deadline && answer.size() < kMaxAnswerBytes) {
    GLibError error;
    const gssize received = g_socket_receive(socket.get(), piece.data(), piece.size(), nullptr, error.out());
    if (received == 0) return answer;
    if (received < 0) {
      throw NetError("the answer at " + path + " does not end: " + error.message(kUnknownError));
    }
    answer.append(piece.data(), static_cast<std::size_t>(received));
  }
  throw NetError("the answer at " + path + " does not end");
}

}  // namespace thornwick::net

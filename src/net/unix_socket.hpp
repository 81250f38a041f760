// Unix sockets that only processes of the same user can open.
#pragma once

#include <string>

#include "net/clock.hpp"
#include "net/gobject_handle.hpp"
#include "net/net_error.hpp"

namespace thornwick::net {

// Whether the path is short enough for a Unix socket's address, and not empty.
bool fits_unix_socket(const std::string& path);

// Returns a listening socket whose file only this user can open. Removes a file that an earlier process left
// at the path. Throws NetError.
Owned<GSocket> listen_unix(const std::string& path);

// Whether the process at the other end of the connection belongs to the same user.
bool same_user(GSocket* socket);

// Sends one line to the process that listens at the path and returns its complete answer. Blocks for at most
// `timeout` (microseconds). Throws NetError if no process listens at the path, or the answer does not end in
// time.
std::string call_unix_socket(const std::string& path, const std::string& line, Time timeout);

}  // namespace thornwick::net

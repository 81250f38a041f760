// The hand-over to a successor: a new process with the same address gets the listening sockets and the
// learned state over a Unix socket, and notifies the old process when it serves (docs/lifecycle.md). The old
// process uses HandoverServer; the new process uses receive_handover() and HandoverClient.
#pragma once

// IWYU pragma: begin_exports
#include "net/handover_client.hpp"
#include "net/handover_protocol.hpp"
#include "net/handover_server.hpp"
// IWYU pragma: end_exports

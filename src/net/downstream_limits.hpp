// How long and how much a client's connection may take. Times in microseconds.
#pragma once

#include <cstddef>

#include "core/request_manager.hpp"

namespace thornwick::net {

// A client is owed an answer or a close within 3 s of connecting, and may keep a connection without a request
// for 2 s; both leave room for the time between two checks.

// For a request: the first one from the start of the connection, others from their first byte.
inline constexpr Time kReadLimit = milliseconds(2'400);
// Between the requests of a connection.
inline constexpr Time kIdleLimit = milliseconds(2'200);
// How often connections without a request are checked against these limits.
inline constexpr Time kWaitingCheckInterval = milliseconds(200);
// The first bytes of a new connection come sooner than this.
inline constexpr Time kNewConnectionGrace = milliseconds(500);
// For a client to take what was written.
inline constexpr Time kWriteLimit = seconds(10);
// For the last bytes before a connection is closed.
inline constexpr Time kCloseLimit = seconds(1);
// While no connection is kept: how often those without a request are looked for.
inline constexpr Time kSweepInterval = milliseconds(100);
// Bytes read while an answer is still going out.
inline constexpr std::size_t kMaxReadAhead = 64UL * 1024;
// Bytes read and dropped, so that an answer survives.
inline constexpr std::size_t kMaxDiscarded = 1024UL * 1024;

}  // namespace thornwick::net

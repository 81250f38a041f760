// Limits of time and bytes for a client's connection. Times are in microseconds.
#pragma once

#include <cstddef>

#include "core/request_manager.hpp"

namespace thornwick::net {

// A client must get an answer, or its connection be closed, within 3 s of connecting, and a connection may
// stay open without a request for 2 s. Both limits below leave room for the time between two checks.

// For reading a request: the first request from the start of the connection, others from their first byte.
inline constexpr Time kRequestTimeout = milliseconds(2'400);
// For the pause between two requests of a connection.
inline constexpr Time kIdleTimeout = milliseconds(2'200);
// The time between two checks of connections without a request against these limits.
inline constexpr Time kWaitingCheckInterval = milliseconds(200);
// A new connection is not evicted before this time, because its first bytes normally come sooner.
inline constexpr Time kNewConnectionGrace = milliseconds(500);
// For a client to read the bytes that were written.
inline constexpr Time kWriteTimeout = seconds(10);
// For sending the last bytes before a connection is closed.
inline constexpr Time kCloseTimeout = seconds(1);
// While the router keeps no connections open: the time between two searches for connections without a
// request.
inline constexpr Time kCloseUnusedInterval = milliseconds(100);
// Bytes that are read while an answer is still being sent.
inline constexpr std::size_t kMaxReadAheadBytes = 64UL * 1024;
// Bytes that are read and dropped before the connection is closed, so that no reset destroys the answer.
inline constexpr std::size_t kMaxDiscardedBytes = 1024UL * 1024;

}  // namespace thornwick::net

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
// For a client to read any of the bytes that were written.
inline constexpr Time kWriteTimeout = seconds(10);
// For sending the last bytes before a connection is closed.
inline constexpr Time kCloseTimeout = seconds(1);
// While the router keeps no connections open: the time between two searches for connections without a
// request.
inline constexpr Time kCloseUnusedInterval = milliseconds(100);
// Bytes that are read while an answer is still being sent: at least one request of the largest size.
inline constexpr std::size_t kMaxReadAheadBytes = 320UL * 1024;
// A request of this size is read while memory is short, and a larger one waits.
inline constexpr std::size_t kSmallRequestBytes = 16UL * 1024;
// Requests of one connection that are read without a break, and unsent bytes of answers up to which more are
// read.
inline constexpr int kMaxRequestsPerRound = 16;
inline constexpr std::size_t kMaxUnsentAnswerBytes = 64UL * 1024;
// The number of unsent bytes above which reading from the replica pauses while memory is short.
inline constexpr std::size_t kCongestionBytesUnderPressure = 4096;
// The objects of a connection, and of a request in flight, without their buffers.
inline constexpr std::size_t kConnectionBytes = 4096;
inline constexpr std::size_t kRequestBytes = 4096;
// The time between two checks whether connections may go on that wait for memory, and what one of them may
// read then.
inline constexpr Time kMemoryCheckInterval = milliseconds(20);
inline constexpr std::size_t kBytesPerResumption = 128UL * 1024;
// Bytes that are read and dropped before the connection is closed, so that no reset destroys the answer.
inline constexpr std::size_t kMaxDiscardedBytes = 1024UL * 1024;

}  // namespace thornwick::net

// The HTTP statuses that this module sends or checks for.
#pragma once

namespace thornwick::net {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusMethodNotAllowed = 405;
inline constexpr int kStatusTimeout = 408;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusTooLarge = 413;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;

}  // namespace thornwick::net

// The messages between the old and the new process of a handover, on a Unix socket.
//
// The old process sends its offer: a head of two 32-bit words in host byte order (a magic number and the
// length of what follows) together with the sockets' descriptors, then MessagePack. From then on both send
// messages of one line each (HandoverMessage).
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "net/gobject_handle.hpp"

namespace thornwick::net {

enum class HandoverMessage {
  serving,         // from the new process: it serves
  handed_over,     // from the new process: it has handed over to a successor of its own
  yielded,         // from the old process, in answer to `serving`: it accepts no more
  yielded_drained  // the same from a process that an operator has drained; the new one is to be drained too
};

// The largest length of a message's line, in bytes.
inline constexpr std::size_t kMaxHandoverLine = 64;

// The line of a message, with its newline.
std::string_view to_line(HandoverMessage message);
// The message of a line; nothing if it is none. `line` is with its newline.
std::optional<HandoverMessage> parse_handover_line(std::string_view line);

// The path at which the process that listens at `listen` under the name `name` waits for a successor. Empty
// if `folder` is empty or the path would be too long for a Unix socket.
std::string handover_path(const std::string& folder, const std::string& name, const std::string& listen);

// What the old process offers to the new one.
struct HandoverState {
  std::map<std::string, Owned<GSocket>> sockets;  // listening sockets, by their address in the configuration
  bool drained = false;                           // by an operator
  // The largest number of descriptors that the old process holds while it finishes requests.
  std::size_t reserved_descriptors = 0;
  std::string endpoint_list;  // discovery's endpoint list with its version, as JSON
  std::string learned_state;  // as persistence::encode_handover_state() gives it; not read here
  Owned<GSocket> connection;  // the connection to the old process; not part of the offer
};

// Why a handover does not take place.
enum class HandoverFault {
  no_unix_sockets,   // the system gives no Unix socket
  ended,             // the old process closed the connection, or the connection failed
  other_user,        // the old process is another user's
  other_version,     // the magic number of the offer is not this version's
  offer_too_long,    // the head announces more than the largest offer
  offer_too_slow,    // the offer did not arrive in time
  offer_unreadable,  // the offer is not the expected MessagePack
  not_a_socket,      // a descriptor of the offer is no socket
  sockets_differ     // there are not as many descriptors as names
};

// The text of a fault for the log.
std::string_view to_string(HandoverFault fault);

struct HandoverError : std::runtime_error {
  explicit HandoverError(HandoverFault handover_fault);
  // With the text of the system's error.
  HandoverError(HandoverFault handover_fault, const std::string& text);

  HandoverFault fault;
};

// Reads the offer from a connected socket, and keeps the socket as `connection`. Blocks: for the head up to
// the socket's own time-out, then for at most a second and one time-out. Throws HandoverError.
HandoverState receive_offer(Owned<GSocket> socket);

// An offer whose head was sent with the descriptors, in a single call.
struct SentOffer {
  bool head_sent = false;   // false: the connection failed
  std::string rest;         // the bytes that the caller has to send next
  std::size_t sockets = 0;  // number of descriptors sent
};

// Sends the head of an offer. `connection` is not used, and the sockets stay open in this process.
[[nodiscard]] SentOffer send_offer_head(GSocket* socket, const HandoverState& handover_state);

}  // namespace thornwick::net

// The messages between the old and the new process of a hand-over, on a Unix socket.
//
// First the old process sends its offer: a head of two 32-bit words in host byte order (a magic number, and
// the number of bytes that follow) together with the sockets' descriptors, then MessagePack. After the offer,
// both processes send messages of one line each (HandoverMessage, lifecycle::IdMessage).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "lifecycle/request_ids.hpp"
#include "net/gobject_handle.hpp"

namespace thornwick::net {

enum class HandoverMessage {
  share_ids,        // from the new process: the old one shall report its request ids and ask for later ones
  serving,          // from the new process, when it serves
  handed_over,      // from the new process, when it has handed over to a successor of its own
  shares_accounts,  // from the old process, right behind its offer: it reports the accounts of its budgets,
                    // and takes reports of them
  yielded,          // from the old process, in answer to `serving`: it accepts no more connections
  yielded_drained  // like `yielded`, from a process that an operator has drained; the new process drains, too
};

// The maximal length of a message's line in bytes. A request id has at most 256 bytes, and the key of an
// account that is reported kMaxAccountKey.
inline constexpr std::size_t kMaxHandoverLine = 320;
inline constexpr std::size_t kMaxAccountKey = 224;

// What one process reports of an account of a budget (budgets/usage_change.hpp). Amounts are in the units of
// the budgets, times are wall-clock times in microseconds since 1970.
struct AccountMessage {
  enum class Kind {
    state,  // from the old process: the state of an account
    used    // from both: the usage of an account has changed
  };
  Kind kind = Kind::state;
  std::string key;
  std::int64_t units = 0;  // state: what remains; used: what was taken, below 0 if it was refunded
  std::int64_t limit = 0;  // state: the amount of the limit; used: 0
  std::int64_t time = 0;   // state: the time of the state; used: when the units were taken
  bool operator==(const AccountMessage&) const = default;
};

// Returns the line of a message, with its newline.
std::string_view to_line(HandoverMessage message);
// Returns the message of `line`, which includes the newline; none if the line is not a message.
std::optional<HandoverMessage> parse_handover_line(std::string_view line);

// The same for a message about a request id.
std::string to_line(const lifecycle::IdMessage& message);
std::optional<lifecycle::IdMessage> parse_id_line(std::string_view line);

// The same for a message about an account; empty if its key has too many bytes, or a byte that a line cannot
// have.
std::string to_line(const AccountMessage& message);
std::optional<AccountMessage> parse_account_line(std::string_view line);

// Splits the bytes of a connection into lines.
class HandoverLineReader {
 public:
  void feed(std::string_view bytes) { received_ += bytes; }
  // Returns the next line with its newline; none if no further line is complete.
  std::optional<std::string> next();
  // Whether the bytes that were received are longer than a line may be.
  bool overflowed() const { return received_.size() > kMaxHandoverLine; }

 private:
  std::string received_;
};

// Returns the path in `folder` at which the process with the name `name` and the address `listen` waits for a
// successor. Empty if `folder` is empty or the path would be too long for a Unix socket.
std::string handover_path(const std::string& folder, const std::string& name, const std::string& listen);

// The state that the old process offers to the new process.
struct HandoverState {
  std::map<std::string, Owned<GSocket>> sockets;  // listening sockets, by their address in the configuration
  bool drained = false;                           // an operator has drained the old process
  // The largest number of descriptors that the old process holds while it finishes requests.
  std::size_t reserved_descriptors = 0;
  std::string endpoint_list;  // discovery's endpoint list with its version, as JSON
  std::string learned_state;  // from persistence::encode_handover_state(); not interpreted here
  // The ids that are in use or retained (lifecycle::RequestIdRegistry). None: the old process is of a version
  // that does not share its ids.
  std::optional<std::vector<std::string>> request_ids = {};
  Owned<GSocket> connection;  // the connection to the old process; not part of the offer
};

// Why a hand-over does not take place.
enum class HandoverFault {
  no_unix_sockets,   // the system does not provide Unix sockets
  ended,             // the old process closed the connection, or the connection failed
  other_user,        // the old process belongs to another user
  other_version,     // the offer has the magic number of another version
  offer_too_long,    // the head announces more bytes than an offer may have
  offer_too_slow,    // the offer did not arrive in time
  offer_unreadable,  // the offer is not the expected MessagePack
  not_a_socket,      // a descriptor of the offer is not a socket
  sockets_differ     // the number of descriptors differs from the number of addresses
};

// The text of the fault in log lines.
std::string_view to_string(HandoverFault fault);

struct HandoverError : std::runtime_error {
  explicit HandoverError(HandoverFault handover_fault);
  // `text`: the text of the system's error.
  HandoverError(HandoverFault handover_fault, const std::string& text);

  HandoverFault fault;
};

// Reads the offer from a connected socket, and keeps the socket as `connection`. Blocks up to the socket's
// timeout for the head, and then for at most one second and the socket's timeout. Throws HandoverError.
HandoverState receive_offer(Owned<GSocket> socket);

// An offer whose head and descriptors were sent in a single call.
struct SentOffer {
  bool head_sent = false;        // false: the connection failed
  std::string unsent_bytes;      // the MessagePack, which the caller must send next
  std::size_t socket_count = 0;  // number of descriptors that were sent
};

// Sends the head of an offer. HandoverState::connection is not used. The sockets stay open in this process.
[[nodiscard]] SentOffer send_offer_head(GSocket* socket, const HandoverState& handover_state);

}  // namespace thornwick::net

// Conversion between internet addresses and text such as "127.0.0.1:9000".
#pragma once

#include <string>

#include "net/gobject_handle.hpp"

namespace thornwick::net {

// Whether another socket of this user may be bound to the same address.
enum class AddressUse { exclusive, shared };

// Returns nullptr if the text is not a numeric address with a port.
Owned<GSocketAddress> parse_address(const std::string& text);

// Returns an empty text if `address` is not an internet address.
std::string address_text(GSocketAddress* address);

// Returns the address to which the socket is bound, as text.
std::string local_address_text(GSocket* socket);

}  // namespace thornwick::net

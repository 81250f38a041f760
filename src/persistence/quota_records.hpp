// The stored form of a quota account: a MessagePack array under the account's key.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "budgets/limit.hpp"

namespace thornwick::persistence {

std::string encode(const budgets::LimitState& state);

// Nothing if the bytes are no such record, if the amount is outside 0..kMaxUnits, or if more is left than
// the amount or less than -kMaxUnits.
[[nodiscard]] std::optional<budgets::LimitState> decode_limit(std::string_view bytes);

}  // namespace thornwick::persistence

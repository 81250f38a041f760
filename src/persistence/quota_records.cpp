#include "persistence/quota_records.hpp"

#include "persistence/message_pack.hpp"

namespace thornwick::persistence {
namespace {

struct LimitRecord {
  budgets::Units amount = 0;
  budgets::Units left = 0;
  Time at = 0;
  MSGPACK_DEFINE_ARRAY(amount, left, at)
};

bool is_plausible(const LimitRecord& record) {
  const bool amount_in_range = record.amount >= 0 && record.amount <= budgets::kMaxUnits;
  return amount_in_range && record.left <= record.amount && record.left >= -budgets::kMaxUnits;
}

}  // namespace

std::string encode(const budgets::LimitState& state) {
  return pack_record(LimitRecord{.amount = state.amount, .left = state.remaining, .at = state.updated_at});
}

std::optional<budgets::LimitState> decode_limit(std::string_view bytes) {
  const auto record = unpack_record<LimitRecord>(bytes);
  if (!record || !is_plausible(*record)) return std::nullopt;
  return budgets::LimitState{.amount = record->amount, .remaining = record->left, .updated_at = record->at};
}

}  // namespace thornwick::persistence

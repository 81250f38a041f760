#include "net/flow_record.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace thornwick::net {
namespace {

constexpr std::uint16_t kVersion = 10;
constexpr std::uint16_t kTemplateSet = 2;
constexpr std::uint16_t kVariableLength = 65535;
constexpr std::uint16_t kEnterpriseBit = 0x8000;
constexpr std::uint32_t kEnterprise = 32473;  // reserved for examples (RFC 5612)
constexpr std::size_t kMessageHeadBytes = 16;
constexpr std::size_t kSetHeadBytes = 4;
constexpr std::size_t kTemplateHeadBytes = 4;
// Maximal bytes of records in a message, so that IP does not fragment the message.
constexpr std::size_t kMaxMessageRecordBytes = 1200;
constexpr std::size_t kMaxNameBytes = 200;  // of a replica's name, whose length is stored in one byte
constexpr std::uint64_t kMax32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMax64 = std::numeric_limits<std::uint64_t>::max();

enum class Origin { iana, enterprise };

struct Field {
  std::uint16_t id = 0;
  std::uint16_t length = 0;
  Origin origin = Origin::iana;
};

// IANA's information elements, then those of the enterprise number, in the order in which FlowWriter::add()
// writes them.
constexpr Field kFields[] = {
    {152, 8},                                  // flowStartMilliseconds
    {153, 8},                                  // flowEndMilliseconds
    {1, 8},                                    // octetDeltaCount: bytes of the answer's events
    {2, 8},                                    // packetDeltaCount: events
    {1, 1, Origin::enterprise},                // ending
    {2, 1, Origin::enterprise},                // attempts
    {3, 1, Origin::enterprise},                // class
    {4, 2, Origin::enterprise},                // tenant
    {5, 4, Origin::enterprise},                // prompt tokens
    {6, 4, Origin::enterprise},                // generated tokens
    {7, 4, Origin::enterprise},                // prompt tokens found cached
    {8, 4, Origin::enterprise},                // microseconds to the first event, 0: there was none
    {9, kVariableLength, Origin::enterprise},  // the last replica
};

// Appends the `bytes` least significant bytes of the value in network byte order.
void append_number(std::string& out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t i = bytes; i > 0; --i) out += static_cast<char>(value >> (8 * (i - 1)));
}

std::string template_set() {
  std::string fields;
  for (const Field& field : kFields) {
    const bool is_enterprise = field.origin == Origin::enterprise;
    append_number(fields, field.id | (is_enterprise ? kEnterpriseBit : 0u), 2);
    append_number(fields, field.length, 2);
    if (is_enterprise) append_number(fields, kEnterprise, 4);
  }
  std::string set;
  append_number(set, kTemplateSet, 2);
  append_number(set, fields.size() + kSetHeadBytes + kTemplateHeadBytes, 2);
  append_number(set, kFlowTemplate, 2);
  append_number(set, std::size(kFields), 2);
  return set + fields;
}

std::uint64_t clamped(Time value, std::uint64_t max) {
  return std::min<std::uint64_t>(static_cast<std::uint64_t>(std::max<Time>(0, value)), max);
}

std::uint64_t to_milliseconds(Time value) { return clamped(value / milliseconds(1), kMax64); }

}  // namespace

void FlowWriter::add(const core::RequestSummary& summary, std::string_view replica) {
  const Time to_first_event = summary.first_event_at == 0 ? 0 : summary.first_event_at - summary.arrived_at;
  append_number(records_, to_milliseconds(summary.arrived_at), 8);
  append_number(records_, to_milliseconds(summary.ended_at), 8);
  append_number(records_, summary.bytes, 8);
  append_number(records_, summary.events, 8);
  append_number(records_, static_cast<std::uint64_t>(summary.status), 1);
  append_number(records_, summary.attempts, 1);
  append_number(records_, summary.request.priority_class, 1);
  append_number(records_, summary.request.tenant, 2);
  append_number(records_, std::min(summary.usage.prompt_tokens, kMax32), 4);
  append_number(records_, std::min(summary.usage.generated_tokens, kMax32), 4);
  append_number(records_, std::min(summary.usage.cached_tokens, kMax32), 4);
  append_number(records_, clamped(to_first_event, kMax32), 4);
  const auto name = replica.substr(0, kMaxNameBytes);
  append_number(records_, name.size(), 1);
  records_ += name;
  ++record_count_;
}

bool FlowWriter::full() const { return records_.size() >= kMaxMessageRecordBytes; }

std::string FlowWriter::take(Time now, Template include) {
  std::string sets = include == Template::included ? template_set() : std::string();
  if (record_count_ > 0) {
    append_number(sets, kFlowTemplate, 2);
    append_number(sets, records_.size() + kSetHeadBytes, 2);
    sets += records_;
  }
  std::string message;
  append_number(message, kVersion, 2);
  append_number(message, sets.size() + kMessageHeadBytes, 2);
  append_number(message, clamped(now / seconds(1), kMax32), 4);
  append_number(message, sequence_, 4);
  append_number(message, domain_, 4);
  sequence_ += static_cast<std::uint32_t>(record_count_);
  record_count_ = 0;
  records_.clear();
  return message + sets;
}

}  // namespace thornwick::net

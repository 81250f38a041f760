// Encodes flow records: one IPFIX record (RFC 7011) for each completed request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/events.hpp"

namespace thornwick::net {

inline constexpr std::uint16_t kFlowTemplate = 256;

// Collects records until the caller takes them as one message.
class FlowWriter {
 public:
  // Whether a message contains the template, which collectors need to decode the records.
  enum class Template { included, omitted };

  // `domain`: the observation domain, which identifies the records of this router.
  explicit FlowWriter(std::uint32_t domain) : domain_(domain) {}
  // `replica`: the uid of the replica of the last attempt.
  void add(const core::RequestSummary& summary, std::string_view replica);
  // Whether the message is full. If so, call take() before adding another record.
  bool full() const;
  // The number of records that were added since the last take().
  std::size_t pending() const { return record_count_; }
  // Returns a message with the pending records and removes them here. `now`: microseconds since 1970.
  std::string take(Time now, Template include);

 private:
  std::uint32_t domain_;
  std::uint32_t sequence_ = 0;  // number of records in earlier messages
  std::string records_;
  std::size_t record_count_ = 0;
};

}  // namespace thornwick::net

// Sends flow records (flow_record.hpp) to a collector over UDP.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "net/flow_record.hpp"
#include "net/loop.hpp"

namespace thornwick::net {

class FlowExporter {
 public:
  // Throws NetError if `collector` is not an address or no socket can be created. `domain`: see FlowWriter.
  FlowExporter(const std::string& collector, std::uint32_t domain);
  FlowExporter(const FlowExporter&) = delete;
  FlowExporter& operator=(const FlowExporter&) = delete;
  // Sends the pending records.
  ~FlowExporter();

  // Adds a record, which is sent together with other records after one second at most.
  void add(const core::RequestSummary& summary, std::string_view replica);
  // The number of records that were sent, including records that were lost.
  std::uint64_t sent_records() const { return sent_records_; }

 private:
  void flush();

  FlowWriter writer_;
  Owned<GSocketAddress> collector_;
  Owned<GSocket> socket_;
  HeldDescriptor held_descriptor_;
  Timer flush_timer_;
  Time template_sent_at_ = 0;  // microseconds since 1970; 0: not sent yet
  std::uint64_t sent_records_ = 0;
};

}  // namespace thornwick::net

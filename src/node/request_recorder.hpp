// Records each completed request in the metrics, in the log and as a flow record.
#pragma once

#include <string>

#include "core/request_manager.hpp"
#include "logging/rate_limiter.hpp"
#include "metrics/metrics.hpp"
#include "net/endpoint_table.hpp"
#include "net/flow_exporter.hpp"

namespace thornwick::node {

class RequestRecorder {
 public:
  // `flow_exporter` is null if no flow records are configured. None of the arguments is owned; all must
  // outlive the recorder.
  RequestRecorder(metrics::Metrics& metrics, const net::EndpointTable& endpoints,
                  net::FlowExporter* flow_exporter)
      : metrics_(metrics), endpoints_(endpoints), flow_exporter_(flow_exporter) {}

  void record(const core::RequestSummary& summary);

 private:
  void log_without_answer(const core::RequestSummary& summary);
  std::string replica_name(const core::RequestSummary& summary) const;

  metrics::Metrics& metrics_;
  const net::EndpointTable& endpoints_;
  net::FlowExporter* flow_exporter_;
  logging::RateLimiter log_limiter_;
};

}  // namespace thornwick::node

#include "metrics/metrics.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::metrics {
namespace {

// The values of the label `state`, in the order of RequestState.
constexpr std::array<const char*, kRequestStateCount> kStateNames = {"answered", "deferred", "errored"};

void append_type(std::string& text, const std::string& name, const char* type) {
  text += "# TYPE " + name + " " + type + "\n";
}

// Appends a metric without labels.
void append_metric(std::string& text, const std::string& name, const char* type, std::uint64_t value) {
  append_type(text, name, type);
  text += name + " " + std::to_string(value) + "\n";
}

}  // namespace

std::string escape_label_value(std::string_view value) {
  std::string result;
  for (const char character : value) {
    if (character == '\n') {
      result += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') result += '\\';
    result += character;
  }
  return result;
}

Metrics::Metrics(std::vector<std::string> classes)
    : classes_(std::move(classes)), requests_(classes_.size()) {}

void Metrics::count_request(std::size_t class_index, RequestState state) {
  if (class_index < requests_.size()) ++requests_[class_index][static_cast<std::size_t>(state)];
}

void Metrics::count_request(std::string_view class_name, RequestState state) {
  const auto found = std::find(classes_.begin(), classes_.end(), class_name);
  count_request(static_cast<std::size_t>(found - classes_.begin()), state);
}

std::string Metrics::text(const Gauges& gauges) const {
  std::string exposition;
  append_type(exposition, "svc_transactions_total", "counter");
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    for (std::size_t state = 0; state < kRequestStateCount; ++state) {
      exposition += "svc_transactions_total{group=\"" + escape_label_value(classes_[i]) + "\",state=\"" +
                    kStateNames[state] + "\"} " + std::to_string(requests_[i][state]) + "\n";
    }
  }
  append_metric(exposition, "svc_sends_total", "counter", attempts_);
  append_metric(exposition, "svc_current", "gauge", gauges.in_flight);
  append_metric(exposition, "svc_cluster_size", "gauge", gauges.replicas);
  append_metric(exposition, "svc_cluster_unhealthy", "gauge", gauges.ejected_replicas);
  if (gauges.store_open) append_metric(exposition, "svc_store_open", "gauge", *gauges.store_open ? 1 : 0);
  return exposition;
}

}  // namespace thornwick::metrics

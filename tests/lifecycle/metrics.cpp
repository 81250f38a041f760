// The metrics in the text exposition format.
#include "metrics/metrics.hpp"

#include <catch2/catch.hpp>

using namespace thornwick::metrics;

TEST_CASE("every class has three counters that start at zero, and an unknown class has none") {
  Metrics metrics({"chat", "a\"b\\c\nd"});
  metrics.count_request(std::string_view("nobody"), RequestState::errored);
  metrics.count_request(7, RequestState::errored);
  metrics.count_request(std::string_view("chat"), RequestState::deferred);
  metrics.count_request(std::size_t{0}, RequestState::answered);
  metrics.count_attempt();
  CHECK(metrics.text({.in_flight = 3, .replicas = 12, .ejected_replicas = 1}) ==
        "# TYPE svc_transactions_total counter\n"
        "svc_transactions_total{group=\"chat\",state=\"answered\"} 1\n"
        "svc_transactions_total{group=\"chat\",state=\"deferred\"} 1\n"
        "svc_transactions_total{group=\"chat\",state=\"errored\"} 0\n"
        "svc_transactions_total{group=\"a\\\"b\\\\c\\nd\",state=\"answered\"} 0\n"
        "svc_transactions_total{group=\"a\\\"b\\\\c\\nd\",state=\"deferred\"} 0\n"
        "svc_transactions_total{group=\"a\\\"b\\\\c\\nd\",state=\"errored\"} 0\n"
        "# TYPE svc_sends_total counter\nsvc_sends_total 1\n"
        "# TYPE svc_current gauge\nsvc_current 3\n"
        "# TYPE svc_cluster_size gauge\nsvc_cluster_size 12\n"
        "# TYPE svc_cluster_unhealthy gauge\nsvc_cluster_unhealthy 1\n");
}

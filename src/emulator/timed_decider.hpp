// Measures the time that a policy's decisions take on this machine.
#pragma once

#include <chrono>
#include <memory>
#include <utility>

#include "core/decider.hpp"

namespace thornwick::emulator {

// Adds the duration of each call of the inner decider to a sum.
class TimedDecider final : public core::DeciderDecorator {
 public:
  // `sum_ns` (nanoseconds) must outlive the TimedDecider.
  TimedDecider(std::unique_ptr<core::Decider> inner, double& sum_ns)
      : DeciderDecorator(std::move(inner)), sum_ns_(sum_ns) {}

  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) override {
    timed([&] { inner_->on_endpoints(now, scope, entries); });
  }
  void on_request(Time now, const Request& request) override {
    timed([&] { inner_->on_request(now, request); });
  }
  void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica,
                      Time elapsed) override {
    timed([&] { inner_->on_first_token(now, id, attempt, replica, elapsed); });
  }
  void on_attempt_result(Time now, const AttemptResult& result) override {
    timed([&] { inner_->on_attempt_result(now, result); });
  }
  void on_client_disconnected(Time now, RequestId id) override {
    timed([&] { inner_->on_client_disconnected(now, id); });
  }
  void on_timer(Time now, std::uint32_t token) override {
    timed([&] { inner_->on_timer(now, token); });
  }
  void on_probe_result(Time now, ReplicaId replica, bool alive, std::span<const float> report) override {
    timed([&] { inner_->on_probe_result(now, replica, alive, report); });
  }
  void on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) override {
    timed([&] { inner_->on_peer_message(now, peer, message); });
  }

 private:
  template <typename Call>
  void timed(Call call) {
    const auto start = std::chrono::steady_clock::now();
    call();
    sum_ns_ += std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count();
  }

  double& sum_ns_;
};

}  // namespace thornwick::emulator

#include "faulty_site.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "../incidents/router_config.hpp"

namespace thornwick::testing {
namespace {

constexpr Time kConnectionInterval = milliseconds(4);
// Short enough that many attempts need a new connection.
constexpr long kKeepaliveUs = 4'000;
constexpr Time kLoadRequestTimeout = seconds(5);
constexpr int kStatusOk = 200;

}  // namespace

FaultyClient::FaultyClient(const std::string& address, std::size_t requests, Time timeout,
                           std::size_t& next_request)
    : remaining_requests_(requests), timeout_(timeout), next_request_(next_request) {
  stream_ = std::make_unique<net::Stream>(
      net::Stream::Callbacks{.connected = [this] { send(); },
                             .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
                             .drained = [] {},
                             .ended = [this] { ended_ = true; }});
  REQUIRE(stream_->connect(net::parse_address(address).get()));
}

void FaultyClient::send() {
  ++sent_;
  stream_->write(write_router_request(++next_request_, timeout_));
}

void FaultyClient::on_bytes(std::string_view bytes) {
  reader_.feed(bytes);
  for (;;) {
    switch (reader_.next()) {
      case http::MessageReader::Piece::none: return;
      case http::MessageReader::Piece::head: break;
      case http::MessageReader::Piece::body: reader_.take_body(); break;
      case http::MessageReader::Piece::end: on_answer(); break;
    }
  }
}

void FaultyClient::on_answer() {
  ++answered_;
  if (reader_.head().status == kStatusOk) ++served_;
  if (--remaining_requests_ > 0 && reader_.head().keeps_alive()) return send();
  remaining_requests_ = 0;
  stream_->close();
}

FaultySite::FaultySite(std::uint64_t seed, const std::string& operator_file, Replicas replicas)
    : faults(seed),
      replicas_silent_(replicas == Replicas::silent),
      discovery_(0),
      config_(scratch_.path("config.json")) {
  discovery_.publish(1, entries());
  std::ofstream(config_) << write_router_config(
      {.discovery = discovery_.address(), .known = entries(), .keepalive_us = kKeepaliveUs});
  if (!operator_file.empty()) {
    operator_file_ = scratch_.path("operator.toml");
    std::ofstream(operator_file_) << operator_file;
  }
  start();
}

std::string FaultySite::entries() const {
  if (replicas_silent_) return write_entry("s-01", silent_replica_.address(), "SERVING");
  std::string list;
  for (const CountingReplica& replica : replicas_) {
    const std::string uid = "s-0" + std::to_string(&replica - replicas_.data() + 1);
    list += (list.empty() ? "" : ",") + replica.entry(uid, "SERVING");
  }
  return list;
}

void FaultySite::start() {
  router_ =
      std::make_unique<Program>(config_, "text", scratch_.folder(), faults.environment(), operator_file_);
  address_ = router_->serving_address();
}

int FaultySite::stop(int signal) {
  router_->signal(signal);
  return router_->wait_for_exit();
}

std::size_t FaultySite::descriptors() const {
  const auto folder = "/proc/" + std::to_string(router_->pid()) + "/fd";
  return static_cast<std::size_t>(
      std::distance(std::filesystem::directory_iterator(folder), std::filesystem::directory_iterator()));
}

void FaultySite::run_requests(std::size_t connections, std::size_t requests_on_each) {
  const auto first = static_cast<std::ptrdiff_t>(clients_.size());
  for (std::size_t i = 0; i < connections; ++i) {
    clients_.push_back(
        std::make_unique<FaultyClient>(address_, requests_on_each, kLoadRequestTimeout, next_request_));
    run_until([] { return false; }, kConnectionInterval);
  }
  const auto all_done = [&] {
    return std::all_of(clients_.begin() + first, clients_.end(),
                       [](const auto& client) { return client->done(); });
  };
  run_until(all_done, kMaxWait);
}

void FaultySite::start_requests(std::size_t requests) {
  for (std::size_t i = 0; i < requests; ++i)
    clients_.push_back(std::make_unique<FaultyClient>(address_, 1, kRequestTime, next_request_));
}

std::size_t FaultySite::sum(std::size_t (FaultyClient::*count)() const) const {
  std::size_t total = 0;
  for (const auto& client : clients_) total += (client.get()->*count)();
  return total;
}

}  // namespace thornwick::testing

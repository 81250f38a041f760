#include "slow_discovery.hpp"

#include <algorithm>
#include <cstdlib>

namespace thornwick::testing {
namespace {

using testbed::Server;

// A call that begins on the same connection within this time after an answer renews the subscription.
constexpr Time kMaxRenewalDelay = 200'000;

std::int64_t number_in(const std::string& target, const std::string& name) {
  const auto at = target.find(name);
  return at == std::string::npos ? -1 : std::atoll(target.c_str() + at + name.size());
}

std::string ok_answer(const std::string& type, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

SlowDiscovery::SlowDiscovery(Time answer_delay, Behaviour behaviour)
    : answer_delay_(answer_delay),
      behaviour_(behaviour),
      server_("127.0.0.1:0", [this](Server::Connection& line) { on_call(line); }) {}

void SlowDiscovery::set_behaviour(Behaviour behaviour) {
  behaviour_ = behaviour;
  if (behaviour_ == Behaviour::stays_silent) subscriptions_.clear();
}

void SlowDiscovery::publish(std::uint64_t revision, std::string entries) {
  revision_ = revision;
  entries_ = std::move(entries);
  for (const std::uint64_t watch : std::exchange(subscriptions_, {})) answer(watch);
}

void SlowDiscovery::on_call(Server::Connection& line) {
  ++calls_;
  if (behaviour_ == Behaviour::stays_silent) return;
  const auto answered = answered_at_.find(line.number);
  const bool renews = answered != answered_at_.end() && net::now_us() - answered->second <= kMaxRenewalDelay;
  if (!renews) return answer_after(answer_delay_, line.number);
  const std::string target = line.reader.head().target;
  if (number_in(target, "after=") != static_cast<std::int64_t>(revision_)) return answer(line.number);
  subscriptions_.push_back(line.number);
  const std::uint64_t number = line.number;
  timers_.emplace_back().start(1000 * number_in(target, "wait_ms="), [this, number] {
    if (std::erase(subscriptions_, number) > 0) answer(number);
  });
}

void SlowDiscovery::answer_after(Time delay, std::uint64_t line_number) {
  timers_.emplace_back().start(delay, [this, line_number] { answer(line_number); });
}

void SlowDiscovery::answer(std::uint64_t line_number) {
  Server::Connection* line = server_.find(line_number);
  if (line == nullptr || !line->open()) return;  // the caller has given up the call
  ++answers_;
  answered_at_[line_number] = net::now_us();
  write_answer(*line);
}

void SlowDiscovery::write_answer(Server::Connection& line) {
  const std::string whole = ok_answer("application/json", R"({"rev":)" + std::to_string(revision_) +
                                                              R"(,"all":true,"targets":[)" + entries_ + "]}");
  const std::string half = whole.substr(0, whole.size() / 2);
  switch (behaviour_) {
    case Behaviour::answers: return line.write(whole);
    case Behaviour::stays_silent: return;
    case Behaviour::answers_by_half: return line.write(half);
    case Behaviour::breaks_answers: line.write(half); return line.stream->close();
    case Behaviour::rejects_calls: return line.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  }
}

std::string write_entry(const std::string& uid, const std::string& address, const std::string& state) {
  return R"({"uid":")" + uid + R"(","endpoint":")" + address +
         R"(","az":"a","model":"m","pod_group":1,"state":")" + state +
         R"(","capacity_hint":1.0,"boot_ms":0})";
}

CountingReplica::CountingReplica()
    : server_("127.0.0.1:0", [this](Server::Connection& line) {
        arrivals_.push_back(net::now_us());
        line.write(ok_answer("text/event-stream", "data: [DONE]\n\n"));
      }) {}

std::size_t CountingReplica::requests_after(Time when) const {
  return static_cast<std::size_t>(
      std::count_if(arrivals_.begin(), arrivals_.end(), [when](Time at) { return at > when; }));
}

bool run_until(const std::function<bool()>& holds, Time timeout) {
  bool timed_out = false;
  net::Timer limit;
  limit.start(timeout, [&] { timed_out = true; });
  while (!timed_out && !holds()) g_main_context_iteration(nullptr, TRUE);
  return holds();
}

}  // namespace thornwick::testing

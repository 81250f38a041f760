// Case 10: where lists are pushed, a draining worker gets new work after an outage of discovery. See
// claim.txt. claim.txt. claim.txt.
#include <random>

#include "../standins-2/standin.hpp"

using namespace standin;

namespace {

constexpr int kRounds = 18;
constexpr double kOutage = 2;    // s, at least
constexpr double kLonger = 1.3;  // s, how much longer an outage is at most
constexpr double kGrace = 0.95;  // s: stopSendingWithin, and 50 ms more on sockets
constexpr double kAnswer = 0.2;  // s that an answer takes
constexpr double kEnd = 1.2;     // s after its drain, a worker's process ends: six times the longest answer
constexpr double kPace = 0.02;   // s between two requests of a client
constexpr int kClients = 12;

}  // namespace

int main() {
  return run_case([](const Setting& setting) {
    std::mutex mutex;
    std::map<std::string, std::vector<double>> sends;  // by worker: when the first byte of a request came
    std::vector<std::unique_ptr<Server>> workers;
    std::vector<std::string> uids;
    Discovery agent("agent");
    const auto target = [&](int index, const std::string& state) {
      return Discovery::Target{.uid = uids[index], .port = workers[index]->port(), .state = state};
    };
    for (int i = 0; i < kRounds + 2; ++i) {
      uids.push_back("s-000000" + std::to_string(10 + i));
      workers.push_back(
          std::make_unique<Server>([&, uid = uids.back()](Socket& socket, const std::atomic<bool>& stop) {
            while (const auto request = read_request(socket, stop)) {
              {
                const std::lock_guard lock(mutex);
                sends[uid].push_back(now_s());
              }
              note("worker " + uid + ": runs " + request->header("X-Request-ID"));
              if (!socket.write(stream_head() + chunk(text_event("first")))) return;
              sleep_s(kAnswer);
              if (stop || !socket.write(chunk(stop_event("last")) + chunk(usage_event(100, 2)) +
                                        chunk(kDone) + kLastChunk))
                return;
            }
          }));
      agent.set(target(i, "SERVING"));
    }
    const int port = free_port();
    RouterFile file{.listen = port, .discovery = agent.port(), .known = agent.list()};
    file.settings.registry_mode = "push";
    file.settings.resume = false;
    file.settings.stop_sending_within_us = 900000;
    write_file(setting.temporary + "/config.json", file.json());
    Process router(setting.root, setting.run, {{"GW_CONFIG", setting.temporary + "/config.json"}},
                   setting.temporary + "/router.log");
    wait_until_ready(port);

    std::atomic<bool> over{false};
    std::atomic<int> broken_off{0};
    std::vector<std::thread> clients;
    for (int c = 0; c < kClients; ++c) {
      clients.emplace_back([&, c] {
        int number = 0;
        while (!over) {
          const Answer answer =
              ask(port, {.id = "c" + std::to_string(c) + "-" + std::to_string(++number)}, 6);
          if (answer.status == 200 && !answer.whole) ++broken_off;
          sleep_s(kPace);
        }
      });
    }
    int late_sends = 0, late_rounds = 0;
    std::mt19937 random(std::random_device{}());
    for (int round = 0; round < kRounds; ++round) {
      sleep_s(0.8);
      if (setting.disrupted) agent.set_silent(true);
      // The length of the outage has nothing to do with the router's calls.
      const double outage = std::uniform_real_distribution<double>(kOutage, kOutage + kLonger)(random);
      sleep_s(outage);
      agent.set(target(round, "DRAINING"));
      const double learned = now_s();
      if (setting.disrupted) agent.set_silent(false);
      sleep_s(kEnd);
      note("worker " + uids[round] + ": has had " + std::to_string(kEnd) +
           " s to finish what it had, and ends");
      workers[round]->stop();
      agent.set(target(round, "DELETED"));
      sleep_s(0.5);
      const std::lock_guard lock(mutex);
      int late = 0;
      double last = 0;
      for (const double at : sends[uids[round]]) {
        if (at > learned + kGrace) ++late;
        if (at > learned) last = at - learned;
      }
      note("round " + std::to_string(round + 1) + ", outage of " + std::to_string(outage) +
           " s: the last request to " + uids[round] + " came " + std::to_string(last) +
           " s after the agent had its drain; later than the grace: " + std::to_string(late));
      late_sends += late;
      if (late > 0) ++late_rounds;
    }
    over = true;
    for (auto& client : clients) client.join();
    if (sends.empty()) throw CannotRun("no request reached a worker");
    note("sent later than the grace: " + std::to_string(late_sends) + " requests in " +
         std::to_string(late_rounds) + " of " + std::to_string(kRounds) +
         " rounds; answers that broke off: " + std::to_string(broken_off));
    return late_sends > 0 ? kBroken : kHeld;
  });
}

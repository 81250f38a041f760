// Case 6: a worker sends a second answer some milliseconds behind the first. See claim.txt.
#include "../standins-2/standin.hpp"

using namespace standin;

namespace {

constexpr int kClients = 3;
constexpr int kRequests = 60;    // of each client
constexpr double kLate = 0.005;  // s, how long after its answer a worker sends the second one
constexpr int kOneIn = 20;       // one answer in so many brings a second one

// Whose answer it is: the first event of each answer names the request.
std::string request_named_in(const std::string& body) {
  static const std::string mark = "answer-to-";
  const auto at = body.find(mark);
  if (at == std::string::npos) return "nobody";
  const auto begin = at + mark.size();
  return body.substr(begin, body.find('"', begin) - begin);
}

}  // namespace

int main() {
  return run_case([](const Setting& setting) {
    std::atomic<int> answers{0}, second_answers{0};
    const Server::Serve serve = [&](Socket& socket, const std::atomic<bool>& stop) {
      while (const auto request = read_request(socket, stop)) {
        const std::string id = request->header("X-Request-ID");
        note("worker: runs " + id);
        sleep_s(0.02);
        const std::string answer = whole_stream({"answer-to-" + id, " and", " the", " rest"});
        if (!socket.write(answer)) return;
        if (!setting.disrupted || ++answers % kOneIn != 5) continue;
        sleep_s(kLate);
        note("worker: sends the answer to " + id + " a second time");
        ++second_answers;
        if (!socket.write(answer)) return;
      }
    };
    Server first(serve), second(serve);
    Discovery discovery("discovery");
    discovery.set({.uid = "s-0000000a", .port = first.port()});
    discovery.set({.uid = "s-0000000b", .port = second.port()});
    const int port = free_port();
    const RouterFile file{.listen = port, .discovery = discovery.port(), .known = discovery.list()};
    write_file(setting.temporary + "/config.json", file.json());
    Process router(setting.root, setting.run, {{"GW_CONFIG", setting.temporary + "/config.json"}},
                   setting.temporary + "/router.log");
    wait_until_ready(port);

    std::atomic<int> answered{0}, foreign{0};
    std::vector<std::thread> clients;
    for (int client = 1; client <= kClients; ++client) {
      clients.emplace_back([&, client] {
        Socket socket;
        for (int i = 1; i <= kRequests; ++i) {
          if (!socket.open()) socket = connect_to(port);
          const std::string id = "request-" + std::to_string(client) + "-" + std::to_string(i);
          const Answer answer = ask_on(socket, {.id = id, .session = std::to_string(client)}, 8);
          if (!answer.whole || answer.ended) socket.close();
          if (answer.status == 200) {
            ++answered;
            const std::string named = request_named_in(answer.body);
            if (named != id) {
              ++foreign;
              note("BROKEN: the client of " + id + " got the answer to " + named);
            }
          }
          sleep_s(0.002);
        }
      });
    }
    for (auto& client : clients) client.join();
    note("answers: " + std::to_string(answered) + ", second answers sent: " + std::to_string(second_answers) +
         ", clients that got a foreign answer: " + std::to_string(foreign));
    if (answered == 0) throw CannotRun("no request was answered");
    return foreign == 0 ? kHeld : kBroken;
  });
}

// Case 6: a budget that runs out before a retry makes the router refuse a request that has run. See
// claim.txt.
#include "../standins-2/standin.hpp"

using namespace standin;

namespace {

constexpr int kBudget = 6000;        // tokens a minute
constexpr int kPromptTokens = 4000;  // of each request
constexpr int kRequests = 20;        // each from another member
constexpr int kOneIn = 4;            // one request in so many has its connection reset

}  // namespace

int main() {
  return run_case([](const Setting& setting) {
    std::mutex mutex;
    std::map<std::string, int> ran;  // by request: how often its work was done
    const auto serve_as = [&](const std::string& uid) {
      return [&, uid](Socket& socket, const std::atomic<bool>& stop) {
        while (const auto request = read_request(socket, stop)) {
          const std::string id = request->header("X-Request-ID");
          sleep_s(0.02);
          int times = 0;
          {
            const std::lock_guard lock(mutex);
            times = ++ran[id];
          }
          note("worker " + uid + ": has done the work of " + id);
          const bool is_chosen = std::atoi(id.substr(id.rfind('-') + 1).c_str()) % kOneIn == 0;
          if (setting.disrupted && is_chosen && times == 1) {
            note("worker " + uid + ": the connection is reset under " + id);
            socket.reset();
            return;
          }
          const std::string answer = stream_head() + chunk(text_event("text")) + chunk(stop_event("")) +
                                     chunk(usage_event(kPromptTokens, 60)) + chunk(kDone) + kLastChunk;
          if (!socket.write(answer)) return;
        }
      };
    };
    Server first(serve_as("s-0000000a")), second(serve_as("s-0000000b"));
    Discovery discovery("discovery");
    discovery.set({.uid = "s-0000000a", .port = first.port()});
    discovery.set({.uid = "s-0000000b", .port = second.port()});
    const int port = free_port();
    RouterFile file{.listen = port, .discovery = discovery.port(), .known = discovery.list()};
    file.settings.effect = "keyed";
    file.settings.dedup_scope = "zone";
    for (int i = 1; i <= kRequests; ++i) file.settings.tenants.push_back("member-" + std::to_string(i));
    write_file(setting.temporary + "/config.json", file.json());
    write_file(setting.temporary + "/operator.toml",
               "[[budget]]\nname = \"minute\"\nmember = \"each\"\nper = \"minute\"\ntokens = " +
                   std::to_string(kBudget) + "\n");
    Process router(setting.root, setting.run, {{"GW_CONFIG", setting.temporary + "/config.json"}},
                   setting.temporary + "/router.log");
    wait_until_ready(port);

    int broken = 0, answered = 0;
    for (int i = 1; i <= kRequests; ++i) {
      const std::string id = "request-" + std::to_string(i);
      const Answer answer = ask(port,
                                {.id = id,
                                 .tenant = "member-" + std::to_string(i),
                                 .session = std::to_string(i),
                                 .prompt_tokens = kPromptTokens,
                                 .max_tokens = 500},
                                8);
      if (answer.status != 0) ++answered;
      const std::lock_guard lock(mutex);
      if (!answer.refused() || ran[id] == 0) continue;
      ++broken;
      note("BROKEN: " + id + " was refused with " + std::to_string(answer.status) +
           " after its work was done " + std::to_string(ran[id]) + " time(s)");
    }
    note("refused after their work was done: " + std::to_string(broken) + " of " +
         std::to_string(kRequests / kOneIn) + " whose connection was reset");
    if (answered == 0) throw CannotRun("no request was answered");
    return broken > 0 ? kBroken : kHeld;
  });
}

// Case 9: a member's budget begins anew when the process is replaced. See claim.txt.
#include "../standins-2/standin.hpp"

using namespace standin;

namespace {

constexpr int kBudget = 20000;       // tokens a day
constexpr int kPromptTokens = 4000;  // of each request
constexpr int kMadeTokens = 60;      // of each answer

}  // namespace

int main() {
  return run_case([](const Setting& setting) {
    std::atomic<long> ran{0};  // tokens, as the worker tells them
    Server worker([&](Socket& socket, const std::atomic<bool>& stop) {
      while (const auto request = read_request(socket, stop)) {
        note("worker: runs " + request->header("X-Request-ID"));
        ran += kPromptTokens + kMadeTokens;
        const std::string answer = stream_head() + chunk(text_event("text")) + chunk(stop_event("")) +
                                   chunk(usage_event(kPromptTokens, kMadeTokens)) + chunk(kDone) + kLastChunk;
        if (!socket.write(answer)) return;
      }
    });
    Discovery discovery("discovery");
    discovery.set({.uid = "s-0000000a", .port = worker.port()});
    const int port = free_port();
    const std::string first_ops = address_of(free_port()), second_ops = address_of(free_port());
    RouterFile file{.listen = port, .discovery = discovery.port(), .known = discovery.list()};
    const std::string config = setting.temporary + "/config.json";
    write_file(config, file.json());
    write_file(
        setting.temporary + "/operator.toml",
        "[[budget]]\nname = \"day\"\nmember = \"each\"\nper = \"day\"\ntokens = " + std::to_string(kBudget) +
            "\n[store]\nfile = \"" + setting.temporary + "/thornwick.store\"\n");
    const auto environment = [&](const std::string& ops) {
      return std::vector<std::pair<std::string, std::string>>{
          {"GW_CONFIG", config}, {"GW_OPS", ops}, {"TMPDIR", setting.temporary}};
    };
    Process old_process(setting.root, setting.run, environment(first_ops), setting.temporary + "/old.log");
    wait_until_ready(port);
    int number = 0;
    const auto use_up = [&] {
      for (int i = 0; i < 7; ++i) {
        ask(port, {.id = "r" + std::to_string(++number), .prompt_tokens = kPromptTokens, .max_tokens = 500},
            6);
        sleep_s(0.4);
      }
    };
    use_up();
    const long before = ran;
    note("tokens that ran: " + std::to_string(before) + ", budget: " + std::to_string(kBudget));
    std::unique_ptr<Process> new_process;
    if (setting.disrupted) {
      note("platform: starts the program once more");
      new_process = std::make_unique<Process>(setting.root, setting.run, environment(second_ops),
                                              setting.temporary + "/new.log");
      const int ops_port = std::atoi(second_ops.substr(second_ops.find(':') + 1).c_str());
      const auto says_yes = [&] {
        Socket socket = connect_to(ops_port);
        std::string answer;
        if (!socket.open() || !socket.write("HEALTH\n")) return false;
        socket.read(answer, now_s() + 1);
        return answer.starts_with("+OK");
      };
      if (!wait_until(6, says_yes)) throw CannotRun("the new process does not say yes");
      note("platform: the new process says yes; SIGTERM to the old one");
      old_process.signal(SIGTERM);
      old_process.wait_for_end(10.7);
      note("platform: the old process: " + old_process.how_it_ended());
    }
    use_up();
    note("tokens that ran: " + std::to_string(ran) + ", budget: " + std::to_string(kBudget));
    if (before == 0) throw CannotRun("nothing ran");
    return ran > kBudget ? kBroken : kHeld;
  });
}

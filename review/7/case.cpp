// Case 7: while the process is replaced, the id of an open request runs a second time. See claim.txt.
// claim.txt.
#include "../standins-2/standin.hpp"

using namespace standin;

int main() {
  return run_case([](const Setting& setting) {
    std::mutex mutex;
    std::map<std::string, int> running, most;
    Server worker([&](Socket& socket, const std::atomic<bool>& stop) {
      while (const auto request = read_request(socket, stop)) {
        const std::string id = request->header("X-Request-ID");
        {
          const std::lock_guard lock(mutex);
          most[id] = std::max(most[id], ++running[id]);
          note("worker: begins " + id + ", now running with this id: " + std::to_string(running[id]));
        }
        bool open = socket.write(stream_head() + chunk(text_event("begin")));
        for (int i = 0; open && !stop && i < 40; ++i) {
          sleep_s(0.1);
          open = socket.write(chunk(text_event("more")));
        }
        if (open)
          open =
              socket.write(chunk(stop_event("")) + chunk(usage_event(100, 42)) + chunk(kDone) + kLastChunk);
        {
          const std::lock_guard lock(mutex);
          --running[id];
          note("worker: ends " + id);
        }
        if (!open) return;
      }
    });
    Discovery discovery("discovery");
    discovery.set({.uid = "s-0000000a", .port = worker.port()});
    const int port = free_port();
    const std::string first_ops = address_of(free_port()), second_ops = address_of(free_port());
    RouterFile file{.listen = port, .discovery = discovery.port(), .known = discovery.list()};
    const std::string config = setting.temporary + "/config.json";
    write_file(config, file.json());
    const auto environment = [&](const std::string& ops) {
      return std::vector<std::pair<std::string, std::string>>{
          {"GW_CONFIG", config}, {"GW_OPS", ops}, {"TMPDIR", setting.temporary}};
    };
    Process old_process(setting.root, setting.run, environment(first_ops), setting.temporary + "/old.log");
    wait_until_ready(port);

    Answer usual;
    std::thread client([&] { usual = ask(port, {.id = "open-request"}, 20); });
    if (!wait_until(5, [&] {
          const std::lock_guard lock(mutex);
          return running["open-request"] == 1;
        }))
      throw CannotRun("the worker did not get the request");

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
      note("platform: the new process says yes");
      sleep_s(0.3);
      note("platform: SIGTERM to the old process");
      old_process.signal(SIGTERM);
    }
    note("bad client: sends the id of the open request");
    const Answer bad = ask(port, {.id = "open-request", .prompt = "something else"}, 20);
    client.join();
    const int copies = most["open-request"];
    note("most copies that ran at once: " + std::to_string(copies));
    note(summary("usual client", usual));
    note(summary("bad client", bad));
    const bool served = bad.status == 200;
    return copies > 1 || served ? kBroken : kHeld;
  });
}

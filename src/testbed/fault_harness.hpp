// A group of real processes of this program on one machine, each with a folder that stands for its machine's
// disk, wires with faults between any two, replicas and discovery of a scenario, and clients that keep
// account. Runs in GLib's main loop; every wait is for something that happens, and ends. Only what it started
// is ended, by id.
#pragma once

#include <gio/gio.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "testbed/faulty_link.hpp"
#include "testbed/installation.hpp"
#include "testbed/request_audit.hpp"

namespace thornwick::testbed {

enum class DiskState {
  kept,
  empty,
  older,
  full,
  slow
};  // slow: half a second for each write that is to be durable
const char* name_of(DiskState disk);

struct FaultHarnessOptions {
  std::string program;   // the executable
  std::string folder;    // is made; logs, disks and configurations stay there
  std::string scenario;  // of replicas and discovery
  std::size_t routers = 3, sites = 1;
  double period_s = 0.3;
  double rate = 5;               // requests a second and router; 0: no clients
  bool with_group = true;        // false: the same routers without their group
  bool admin_endpoint = false;   // an admin endpoint, and with it the replacing of the process
  bool with_link_faults = true;  // false: they reach each other straight, and no fault lies between them
  std::uint64_t seed = 1;
  std::string more;  // of each operator's file; {disk} is the router's folder that stands for its disk
  // Each thing that happens, with seconds since the start.
  std::function<void(double at, const std::string& what)> write_log = [](auto, auto&) {};
};

class FaultHarness {
 public:
  explicit FaultHarness(FaultHarnessOptions options);
  ~FaultHarness();

  std::size_t size() const { return routers_.size(); }
  Installation& replicas() { return *installation_; }
  RequestAudit& account() { return *account_; }
  std::string name(std::size_t router) const;

  // Processes. What makes no sense in a router's state changes nothing.
  void start(std::size_t router, DiskState disk = DiskState::kept);
  void kill(std::size_t router);       // SIGKILL
  void stop(std::size_t router);       // SIGSTOP
  void resume(std::size_t router);     // SIGCONT
  void terminate(std::size_t router);  // SIGTERM
  // Another process takes its place under load, and the old one is told to end once the new one serves.
  void replace(std::size_t router);
  void set_clock(std::size_t router, double ahead_ms, double rate);  // the rate from its next start on
  // A replica's process dies, or starts again. An answer that had begun on it ends with it, and no other may
  // take its place.
  void stop_replica(std::size_t replica);
  void start_replica(std::size_t replica);
  // A second process under this router's name, that the others are not told of but that can reach them.
  void start_duplicate(std::size_t router);

  // The network. `from` to `to`, one way.
  void set_faults(std::size_t from, std::size_t to, const LinkFaults& faults);
  void half_close(std::size_t from, std::size_t to);
  void reset(std::size_t a, std::size_t b);
  void isolate(std::size_t router, bool on);
  void heal();

  enum class State { down, starting, serving, stopped, ending };
  State state(std::size_t router) const { return routers_[router].state; }
  bool runs(std::size_t router) const { return state(router) == State::serving; }
  const std::string& log(std::size_t router) const { return routers_[router].log; }
  // What it says after this is what says() looks at.
  void mark_log(std::size_t router) { routers_[router].mark = routers_[router].log.size(); }
  bool has_logged(std::size_t router, const std::string& text) const;

  // Lets the loop run until it holds; false if it does not within the time.
  bool run_until(const std::function<bool()>& holds, Time most = 60'000'000);
  void run_for(Time time);
  // A router's own word, asked anew. Empty where it does not run or does not answer.
  nlohmann::json status(std::size_t router) const;
  // What it answers to a line at its local socket; empty where it does not.
  std::string call(std::size_t router, const std::string& line) const;
  nlohmann::json ask(std::size_t router, const std::string& line) const;  // which is answered with JSON
  // Of all answers that replicas began: as they tally them.
  double tokens() const { return tokens_; }
  // What somebody holds that is not so; empty if all that run hold the same, and it is so.
  std::string disagreement() const;

  // Microseconds: more for a large group.
  Time agree_within() const;
  // Heals all, starts all, waits until they agree, ends them, and says what did not hold; empty if all did.
  std::string recover_and_verify();

  struct Metrics {
    std::size_t requests = 0, served = 0, rejected = 0, expected_failures = 0, starts = 0, max_attempts = 0;
    std::size_t failure_reports = 0, datagrams = 0, lost = 0;
    double agreed_after_s = 0;
    // Of a router that ran to the end: processor time and memory; of an answer: from the question to its end.
    double cpu_ms = 0, memory_mb = 0, cpu_us_per_request = 0;
    double answer_p50_ms = 0, answer_p99_ms = 0;
  };
  Metrics metrics() const;

 private:
  struct Router {
    State state = State::down;
    GSubprocess* process = nullptr;
    GDataInputStream* lines = nullptr;
    int pid = 0;
    std::string folder, log, front, datagrams, links;
    std::size_t mark = 0, starts = 0;
    std::string crashed;                      // how it ended when nobody asked it to
    std::vector<std::pair<Time, Time>> away;  // while no answer is owed: from, to; 0: still
    Time end_asked = 0;
    GSubprocess* before = nullptr;  // whose place the process is taking
    double cpu_ms = 0, memory_mb = 0;
  };
  struct Running {  // what GLib calls back with
    FaultHarness* rig;
    std::size_t router;
    GSubprocess* process;
  };

  void write_files(std::size_t router);
  std::string address_for(std::size_t reader, std::size_t of) const;
  void spawn(std::size_t router, DiskState disk);
  void read_line(std::size_t router, GDataInputStream* lines);
  void said(std::size_t router, const std::string& line);
  void ended(std::size_t router, GSubprocess* process);
  void measure(std::size_t router);
  void tell_wires(std::size_t router);
  void away(std::size_t router, bool on);
  bool excused(const Entry& entry) const;
  FaultyLink& wire(std::size_t a, std::size_t b, FaultyLink::Direction& way);
  std::string broken_promise() const;
  void write_log(const std::string& what) const;

  FaultHarnessOptions options_;
  Time began_ = 0;
  std::unique_ptr<Installation> installation_;
  std::unique_ptr<RequestAudit> account_;
  std::vector<Router> routers_;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<FaultyLink>>
      links_;  // the lower number is "the one"
  std::vector<GSubprocess*> twins_;
  std::map<std::string, std::size_t> attempts_;  // of each request, as the replicas counted them
  std::vector<Time> replica_deaths_;
  bool news_ = true;  // something happened that may make a wait's condition hold
  std::size_t late_to_draining_ = 0;
  double tokens_ = 0;
  std::size_t allowed_attempts_ = 1;
  double agreed_after_s_ = 0;
};

}  // namespace thornwick::testbed

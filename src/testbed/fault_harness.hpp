// Fault-injection harness: runs a group of router processes on one machine, with a folder in place of each
// machine's disk, a faulty link between any two routers, the replicas and the discovery of a scenario, and
// clients that audit every answer. It runs in GLib's main loop. Every wait is for a condition and has a time
// limit. The harness ends only processes that it started, by their id.
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

enum class DiskState { kept, empty, older, full, slow };  // slow: each durable write takes half a second
const char* name_of(DiskState disk);

struct FaultHarnessOptions {
  std::string program;   // path of the executable
  std::string folder;    // created if missing; logs, disks and configurations stay there
  std::string scenario;  // path of the scenario file for replicas and discovery
  std::size_t routers = 3, sites = 1;
  double period_s = 0.3;
  double request_rate = 5;      // requests per second and router; 0: no clients
  bool with_group = true;       // false: the routers run without a group
  bool admin_endpoint = false;  // each router has an admin endpoint, which replace() needs
  bool with_link_faults =
      true;  // false: routers connect directly, and faults cannot be injected between them
  std::uint64_t seed = 1;
  std::string
      extra_config;  // appended to each router's operator file; {disk} stands for the router's disk folder
  // Called for each event, with the seconds since the start.
  std::function<void(double at, const std::string& what)> write_log = [](auto, auto&) {};
};

class FaultHarness {
 public:
  explicit FaultHarness(FaultHarnessOptions options);
  ~FaultHarness();

  std::size_t size() const { return routers_.size(); }
  Installation& installation() { return *installation_; }
  RequestAudit& audit() { return *audit_; }
  std::string name(std::size_t router) const;

  // Control of processes. A call that does not apply to a router's state has no effect.
  void start(std::size_t router, DiskState disk = DiskState::kept);
  void kill(std::size_t router);       // SIGKILL
  void stop(std::size_t router);       // SIGSTOP
  void resume(std::size_t router);     // SIGCONT
  void terminate(std::size_t router);  // SIGTERM
  // Starts a successor under load, and sends the old process SIGTERM once the successor serves.
  void replace(std::size_t router);
  void set_clock(std::size_t router, double ahead_ms,
                 double rate);  // `rate` takes effect at the router's next start
  // Ends a replica's process, or starts it again. An answer that had begun on the replica breaks off, and no
  // other answer may take its place.
  void stop_replica(std::size_t replica);
  void start_replica(std::size_t replica);
  // Starts a second process under this router's name. The configuration of the other routers does not contain
  // it, but it can reach them.
  void start_duplicate(std::size_t router);

  // Control of the network. Faults apply to the direction from `from` to `to`.
  void set_faults(std::size_t from, std::size_t to, const LinkFaults& faults);
  void half_close(std::size_t from, std::size_t to);
  void reset(std::size_t a, std::size_t b);
  void isolate(std::size_t router, bool on);
  void heal();

  enum class State { down, starting, serving, stopped, ending };
  State state(std::size_t router) const { return routers_[router].state; }
  bool is_serving(std::size_t router) const { return state(router) == State::serving; }
  const std::string& log(std::size_t router) const { return routers_[router].log; }
  // has_logged() searches only what the router logs after this call.
  void mark_log(std::size_t router) { routers_[router].log_mark = routers_[router].log.size(); }
  bool has_logged(std::size_t router, const std::string& text) const;

  // Runs the loop until the condition holds. Returns false if it does not hold within `timeout` microseconds.
  bool run_until(const std::function<bool()>& condition, Time timeout = 60'000'000);
  void run_for(Time duration);
  // Requests a router's status. Returns null if the router is not serving or does not answer.
  nlohmann::json status(std::size_t router) const;
  // Sends a line to a router's local socket and returns the answer, or an empty string if there is none.
  std::string call(std::size_t router, const std::string& line) const;
  nlohmann::json call_json(std::size_t router, const std::string& line)
      const;  // the same for a command that is answered with JSON
  // Returns the tokens of all answers that replicas began, as the replicas count them.
  double counted_tokens() const { return counted_tokens_; }
  // Describes the first wrong belief of a serving router about itself or another router. Empty if the beliefs
  // of all serving routers are correct.
  std::string disagreement() const;

  // Returns the time within which routers must agree, in microseconds. It grows with the size of the group.
  Time agreement_timeout() const;
  // Heals all links, starts all routers, waits until they agree, ends them and describes the first violation.
  // Empty if there is none.
  std::string recover_and_verify();

  struct Metrics {
    std::size_t requests = 0, served = 0, rejected = 0, expected_failures = 0, starts = 0, max_attempts = 0;
    std::size_t failure_reports = 0, datagrams = 0, lost = 0;
    double agreed_after_s = 0;
    // Mean processor time and memory of the routers, measured just before SIGTERM, and latencies from the
    // request to the end of its answer.
    double cpu_ms = 0, memory_mb = 0, cpu_us_per_request = 0;
    double answer_p50_ms = 0, answer_p99_ms = 0;
  };
  Metrics metrics() const;

 private:
  struct Router {
    State state = State::down;
    GSubprocess* process = nullptr;
    GDataInputStream* log_stream = nullptr;
    int pid = 0;
    std::string folder, log, front_address, datagram_address, link_address;
    std::size_t log_mark = 0, start_count = 0;
    std::string crash_report;  // how the process ended, if nothing had asked it to end
    std::vector<std::pair<Time, Time>>
        absences;  // [from, to] of periods in which no answer is required; to = 0: the period is not over
    Time terminated_at = 0;
    GSubprocess* predecessor = nullptr;  // the process that is being replaced
    double cpu_ms = 0, memory_mb = 0;
  };
  struct WatchedProcess {  // argument of GLib's callbacks
    FaultHarness* harness;
    std::size_t router;
    GSubprocess* process;
  };

  void write_config_files(std::size_t router);
  std::string address_for(std::size_t reader, std::size_t of) const;
  void spawn(std::size_t router, DiskState disk);
  void read_line(std::size_t router, GDataInputStream* log_stream);
  void on_log_line(std::size_t router, const std::string& line);
  void on_exit(std::size_t router, GSubprocess* process);
  void record_usage(std::size_t router);
  void update_link_targets(std::size_t router);
  void set_absent(std::size_t router, bool absent);
  bool failure_expected(const AuditedRequest& request) const;
  FaultyLink& link_between(std::size_t a, std::size_t b, FaultyLink::Direction& direction);
  std::string first_violation() const;
  void write_log(const std::string& what) const;

  FaultHarnessOptions options_;
  Time started_at_ = 0;
  std::unique_ptr<Installation> installation_;
  std::unique_ptr<RequestAudit> audit_;
  std::vector<Router> routers_;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<FaultyLink>>
      faulty_links_;  // keyed by (lower, higher) router number; the lower is the link's first end
  std::vector<GSubprocess*> duplicates_;
  std::map<std::string, std::size_t> attempts_by_request_;  // by request id, as counted by the replicas
  std::vector<Time> replica_stopped_at_;
  bool state_changed_ = true;  // an event may have made the condition of run_until() true
  std::size_t late_requests_to_draining_ = 0;
  double counted_tokens_ = 0;
  std::size_t max_attempts_ = 1;
  double agreed_after_s_ = 0;
};

}  // namespace thornwick::testbed

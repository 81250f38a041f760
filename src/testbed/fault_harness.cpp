#include "testbed/fault_harness.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

#include "emulator/scenario.hpp"
#include "net/unix_socket.hpp"

namespace thornwick::testbed {
namespace {

using Json = nlohmann::ordered_json;

constexpr Time kStatusTimeout = seconds(2);       // for the answer to a command, such as a status
constexpr Time kPollInterval = milliseconds(50);  // multiplied for groups of five and more routers
constexpr Time kAgreementTimeout = seconds(60);
constexpr Time kShutdownTimeout =
    seconds(30);  // for processes to end after SIGTERM, to start, and for open requests to end
constexpr Time kProcessFaultMargin =
    milliseconds(400);  // before and after a fault of a process, for requests that were in transit
constexpr Time kDrainNoticeMargin = milliseconds(500);  // time for a draining state to reach the routers
constexpr const char* kSlowDiskMs = "500";
constexpr const char* kLoopback = "127.0.0.1:0";

void write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::trunc);
  out << text;
  out.flush();
  if (!out) throw std::runtime_error(path + ": cannot be written");
}

// Returns the text between `label` and the next blank or comma.
std::string value_after(const std::string& line, const std::string& word) {
  const auto at = line.find(word);
  if (at == std::string::npos) return {};
  const auto from = at + word.size();
  return line.substr(from, line.find_first_of(" ,", from) - from);
}

// Ends the process when its parent ends, so that no process outlives a test that was killed.
void die_with_parent(gpointer) { prctl(PR_SET_PDEATHSIG, SIGKILL); }

}  // namespace

const char* name_of(DiskState disk) {
  static constexpr const char* names[] = {"kept", "empty", "older", "full", "slow"};
  return names[static_cast<int>(disk)];
}

FaultHarness::FaultHarness(FaultHarnessOptions options)
    : options_(std::move(options)), started_at_(net::now_us()), routers_(options_.routers) {
  net::descriptors().limit = 18'000;
  std::filesystem::create_directories(options_.folder);
  InstallationOptions replicas;
  replicas.scenario = emulator::read_scenario(options_.scenario);
  replicas.seed = options_.seed;
  max_attempts_ = static_cast<std::size_t>(replicas.scenario.attempts);
  const Time grace = static_cast<Time>(1000 * replicas.scenario.drain_grace_ms);
  replicas.on_request = [this, grace](const std::string& id, Time draining) {
    ++attempts_by_request_[id];
    const auto router = static_cast<std::size_t>(std::atoi(id.c_str() + 1));
    if (draining > grace + kDrainNoticeMargin && router < size() && is_serving(router) &&
        routers_[router].absences.empty())
      ++late_requests_to_draining_;
  };
  replicas.on_answer_started = [this](double counted_tokens) { counted_tokens_ += counted_tokens; };
  installation_ = std::make_unique<Installation>(replicas);
  audit_ = std::make_unique<RequestAudit>(
      RequestAudit::Options{.rate = std::max(0.01, options_.request_rate),
                            .priority_class = replicas.scenario.classes.front().name,
                            .tenant = replicas.scenario.members.front().name},
      size());
  for (std::size_t i = 0; i < size(); ++i) {
    routers_[i].folder = options_.folder + "/" + name(i);
    std::filesystem::create_directories(routers_[i].folder + "/disk");
    for (std::size_t j = i + 1; options_.with_link_faults && options_.with_group && j < size(); ++j) {
      faulty_links_[{i, j}] = std::make_unique<FaultyLink>(options_.seed * 10'007 + i * 1'009 + j);
    }
  }
}

FaultHarness::~FaultHarness() {
  for (auto& router : routers_) {
    if (router.process != nullptr) g_subprocess_force_exit(router.process);
  }
  for (auto* duplicate : duplicates_) g_subprocess_force_exit(duplicate);
  // Pending callbacks refer to this object.
  run_until(
      [this] {
        return std::all_of(routers_.begin(), routers_.end(),
                           [](const auto& r) { return r.process == nullptr && r.log_stream == nullptr; });
      },
      10'000'000);
  for (auto* duplicate : duplicates_) g_object_unref(duplicate);
}

// All names have the same number of digits, because a status lists members in the order of their names.
std::string FaultHarness::name(std::size_t router) const {
  return fmt::format("r{:0{}}", router, size() > 100 ? 3 : 2);
}

void FaultHarness::write_log(const std::string& what) const {
  options_.write_log(static_cast<double>(net::now_us() - started_at_) / 1e6, what);
}

// Returns the address of router `of` in the configuration of router `reader`: that of the link between them.
// Without links each router has a port outside of the kernel's ephemeral range.
std::string FaultHarness::address_for(std::size_t reader, std::size_t of) const {
  if (faulty_links_.empty()) return fmt::format("127.0.0.1:{}", 12'000 + options_.seed % 1'000 * 16 + of);
  if (reader == of) return kLoopback;
  const auto& link = faulty_links_.at({std::min(reader, of), std::max(reader, of)});
  return reader < of ? link->address_of_second() : link->address_of_first();
}

void FaultHarness::write_config_files(std::size_t router) {
  const std::string& folder = routers_[router].folder;
  Json config = Json::parse(installation_->router_config());
  config["name"] = name(router);
  config["listen"] = kLoopback;
  if (options_.admin_endpoint) config["ops"] = kLoopback;
  write_file(folder + "/config.json", config.dump(1));
  std::string file = options_.extra_config;
  for (auto at = file.find("{disk}"); at != std::string::npos; at = file.find("{disk}", at))
    file.replace(at, 6, folder + "/disk");
  if (options_.with_group) {
    file += "\n[group]\nname = \"rig\"\nsites = [";
    for (std::size_t s = 0; s < options_.sites; ++s)
      file += fmt::format("{}\"site{}\"", s > 0 ? ", " : "", s);
    file += fmt::format("]\nstate = \"{0}/disk/group\"\nstatus = \"{0}/status\"\nperiod_s = {1}\n", folder,
                        options_.period_s);
    if (!faulty_links_.empty()) file += fmt::format("listen = \"{}\"\n", kLoopback);
    for (std::size_t i = 0; i < size(); ++i) {
      // A router does not use its own address, but the address must be unique.
      const std::string address =
          i == router && !faulty_links_.empty() ? "127.0.0.1:1" : address_for(router, i);
      file += fmt::format("[[router]]\nname = \"{}\"\nsite = \"site{}\"\naddress = \"{}\"\n", name(i),
                          i % options_.sites, address);
    }
  }
  write_file(folder + "/operator.toml", file);
}

void FaultHarness::start(std::size_t router, DiskState disk) {
  Router& r = routers_[router];
  if (r.state != State::down) return;
  const std::filesystem::path disk_folder = r.folder + "/disk", previous_disk = r.folder + "/before";
  if (disk == DiskState::empty)
    std::filesystem::remove_all(disk_folder), std::filesystem::create_directories(disk_folder);
  if (disk == DiskState::older && std::filesystem::exists(previous_disk)) {
    std::filesystem::remove_all(disk_folder);
    std::filesystem::copy(previous_disk, disk_folder, std::filesystem::copy_options::recursive);
  } else if (r.start_count > 0) {
    // A later start with DiskState::older uses this copy of the disk from before this start.
    std::filesystem::remove_all(previous_disk);
    std::filesystem::copy(disk_folder, previous_disk, std::filesystem::copy_options::recursive);
  }
  write_config_files(router);
  write_log(fmt::format("{} starts, disk {}", name(router), name_of(disk)));
  spawn(router, disk);
}

void FaultHarness::spawn(std::size_t router, DiskState disk) {
  Router& r = routers_[router];
  GSubprocessLauncher* launcher = g_subprocess_launcher_new(
      static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDERR_PIPE | G_SUBPROCESS_FLAGS_STDOUT_SILENCE));
  g_subprocess_launcher_set_child_setup(launcher, die_with_parent, nullptr, nullptr);
  g_subprocess_launcher_setenv(launcher, "TMPDIR", r.folder.c_str(), TRUE);
  if (std::filesystem::exists(r.folder + "/clock"))
    g_subprocess_launcher_setenv(launcher, "THORNWICK_CLOCK", (r.folder + "/clock").c_str(), TRUE);
  if (disk == DiskState::slow) {
    const auto library =
        std::filesystem::path(options_.program).parent_path() / "src/testbed/libthornwick_slow_disk.so";
    g_subprocess_launcher_setenv(launcher, "LD_PRELOAD", library.c_str(), TRUE);
    g_subprocess_launcher_setenv(launcher, "THORNWICK_SLOW_DISK_MS", kSlowDiskMs, TRUE);
    g_subprocess_launcher_setenv(launcher, "ASAN_OPTIONS", "verify_asan_link_order=0", TRUE);
  }
  const std::string config = r.folder + "/config.json", file = r.folder + "/operator.toml";
  std::vector<const char*> words = {
      options_.program.c_str(), "--config", config.c_str(), "--operator", file.c_str(), "serve", nullptr};
  // A file size limit of 0 keeps files from growing, as a full disk does.
  const std::vector<const char*> full = {"/bin/sh", "-c", "trap '' XFSZ; ulimit -f 0; exec \"$@\"", "sh"};
  if (disk == DiskState::full) words.insert(words.begin(), full.begin(), full.end());
  GError* error = nullptr;
  r.process = g_subprocess_launcher_spawnv(launcher, words.data(), &error);
  g_object_unref(launcher);
  if (r.process == nullptr) {
    const std::string why = error->message;
    g_error_free(error);
    throw std::runtime_error("cannot start " + options_.program + ": " + why);
  }
  r.pid = std::atoi(g_subprocess_get_identifier(r.process));
  r.state = State::starting;
  r.front_address.clear(), r.datagram_address.clear(), r.link_address.clear();
  ++r.start_count;
  r.log_stream = g_data_input_stream_new(g_subprocess_get_stderr_pipe(r.process));
  read_line(router, r.log_stream);
  g_subprocess_wait_async(
      r.process, nullptr,
      [](GObject*, GAsyncResult*, gpointer data) {
        const std::unique_ptr<WatchedProcess> watched(static_cast<WatchedProcess*>(data));
        watched->harness->on_exit(watched->router, watched->process);
      },
      new WatchedProcess{this, router, r.process});
}

void FaultHarness::read_line(std::size_t router, GDataInputStream* log_stream) {
  g_data_input_stream_read_line_async(
      log_stream, G_PRIORITY_DEFAULT, nullptr,
      [](GObject* stream, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<WatchedProcess> watched(static_cast<WatchedProcess*>(data));
        char* text =
            g_data_input_stream_read_line_finish(G_DATA_INPUT_STREAM(stream), result, nullptr, nullptr);
        if (text == nullptr) {
          Router& r = watched->harness->routers_[watched->router];
          if (r.log_stream == G_DATA_INPUT_STREAM(stream)) r.log_stream = nullptr;
          g_object_unref(stream);
          return;
        }
        watched->harness->on_log_line(watched->router, text);
        g_free(text);
        watched->harness->read_line(watched->router, G_DATA_INPUT_STREAM(stream));
      },
      new WatchedProcess{this, router, routers_[router].process});
}

void FaultHarness::on_log_line(std::size_t router, const std::string& line) {
  Router& r = routers_[router];
  r.log += line + "\n";
  state_changed_ = true;
  std::ofstream(r.folder + "/log", std::ios::app) << line << '\n';
  if (line.find(" group: ") != std::string::npos || line.find("error ") != std::string::npos)
    write_log(name(router) + "   " + line);
  if (const auto front = value_after(line, "platform front on "); !front.empty()) r.front_address = front;
  if (const auto datagrams = value_after(line, "datagrams at "); !datagrams.empty()) {
    r.datagram_address = datagrams, r.link_address = value_after(line, "links at ");
    update_link_targets(router);
  }
  if (r.predecessor != nullptr && line.find("serving in the place of the predecessor") != std::string::npos) {
    g_subprocess_send_signal(r.predecessor, SIGTERM);
    r.predecessor = nullptr;
  }
  if (line.find(" serves on ") != std::string::npos && r.state == State::starting) {
    r.state = State::serving;
    set_absent(router, false);
    if (options_.request_rate > 0) audit_->send_to(router, r.front_address);
  }
}

void FaultHarness::update_link_targets(std::size_t router) {
  const Router& r = routers_[router];
  for (auto& [pair, link] : faulty_links_) {
    if (pair.first == router) link->set_first_target(r.datagram_address, r.link_address);
    if (pair.second == router) link->set_second_target(r.datagram_address, r.link_address);
  }
}

void FaultHarness::on_exit(std::size_t router, GSubprocess* process) {
  Router& r = routers_[router];
  if (r.process != process) return;
  state_changed_ = true;
  const bool clean_exit = g_subprocess_get_if_exited(process) && g_subprocess_get_exit_status(process) == 0;
  const bool killed = g_subprocess_get_if_signaled(process) && g_subprocess_get_term_sig(process) == SIGKILL;
  if (!killed && !(clean_exit && r.state == State::ending)) {
    r.crash_report = fmt::format("{} ended unexpectedly: {} {}", name(router),
                                 g_subprocess_get_if_exited(process) ? "status" : "signal",
                                 g_subprocess_get_if_exited(process) ? g_subprocess_get_exit_status(process)
                                                                     : g_subprocess_get_term_sig(process));
  }
  write_log(name(router) + (killed ? " is dead" : clean_exit ? " has ended" : " has crashed"));
  audit_->send_to(router, "");
  r.state = State::down;
  g_clear_object(&r.process);
}

void FaultHarness::set_absent(std::size_t router, bool absent) {
  auto& absences = routers_[router].absences;
  if (absent) {
    if (absences.empty() || absences.back().second != 0) absences.emplace_back(net::now_us(), 0);
  } else if (!absences.empty() && absences.back().second == 0) {
    absences.back().second = net::now_us();
  }
}

void FaultHarness::kill(std::size_t router) {
  Router& r = routers_[router];
  if (r.state == State::down) return;
  write_log(name(router) + " is killed");
  set_absent(router, true);
  audit_->send_to(router, "");
  g_subprocess_force_exit(r.process);
}

void FaultHarness::stop(std::size_t router) {
  if (!is_serving(router)) return;
  write_log(name(router) + " is stopped");
  set_absent(router, true);
  routers_[router].state = State::stopped;
  g_subprocess_send_signal(routers_[router].process, SIGSTOP);
}

void FaultHarness::resume(std::size_t router) {
  if (state(router) != State::stopped) return;
  write_log(name(router) + " resumes");
  routers_[router].state = State::serving;
  set_absent(router, false);
  g_subprocess_send_signal(routers_[router].process, SIGCONT);
}

void FaultHarness::replace(std::size_t router) {
  Router& r = routers_[router];
  if (!is_serving(router) || r.predecessor != nullptr) return;
  write_log(name(router) + " is replaced by another process");
  r.predecessor = std::exchange(r.process, nullptr);
  spawn(router, DiskState::kept);
}

// Reads the processor time and memory of a router, just before the router is sent SIGTERM.
void FaultHarness::record_usage(std::size_t router) {
  Router& r = routers_[router];
  const std::string folder = "/proc/" + std::to_string(r.pid);
  std::ifstream stat(folder + "/stat"), statm(folder + "/statm");
  std::string word;
  double user = 0, system = 0, size = 0, resident = 0;
  for (int i = 0; i < 13; ++i) stat >> word;
  stat >> user >> system;
  statm >> size >> resident;
  r.cpu_ms = (user + system) * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
  r.memory_mb = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

// Clients stop sending requests to this router, as the front would direct them elsewhere. The router must
// still answer the requests that it accepted.
void FaultHarness::terminate(std::size_t router) {
  if (!is_serving(router)) return;
  write_log(name(router) + " is sent SIGTERM");
  record_usage(router);
  audit_->send_to(router, "");
  routers_[router].state = State::ending;
  routers_[router].terminated_at = net::now_us();
  g_subprocess_send_signal(routers_[router].process, SIGTERM);
}

void FaultHarness::set_clock(std::size_t router, double ahead_ms, double rate) {
  write_log(fmt::format("{}: the clock is {} ms ahead, at rate {}", name(router), ahead_ms, rate));
  write_file(routers_[router].folder + "/clock", fmt::format("{} {}\n", ahead_ms, rate));
}

void FaultHarness::stop_replica(std::size_t replica) {
  if (replica >= installation_->replicas().size()) return;
  replica_stopped_at_.push_back(net::now_us());
  installation_->stop_replica(replica);
}

void FaultHarness::start_replica(std::size_t replica) {
  if (replica < installation_->replicas().size()) installation_->start_replica(replica);
}

void FaultHarness::start_duplicate(std::size_t router) {
  const std::string folder = routers_[router].folder + "/twin";
  std::filesystem::create_directories(folder);
  std::ifstream file(routers_[router].folder + "/operator.toml");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  for (const std::string word : {"/disk/group", "/status"}) {
    if (const auto at = text.find(word); at != std::string::npos) text.insert(at, "/twin");
  }
  std::filesystem::create_directories(folder + "/disk");
  write_file(folder + "/operator.toml", text);
  write_log("a second process starts under the name " + name(router));
  const std::string config = routers_[router].folder + "/config.json", operators = folder + "/operator.toml";
  GSubprocessLauncher* launcher = g_subprocess_launcher_new(
      static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDERR_SILENCE | G_SUBPROCESS_FLAGS_STDOUT_SILENCE));
  g_subprocess_launcher_set_child_setup(launcher, die_with_parent, nullptr, nullptr);
  const char* words[] = {options_.program.c_str(), "--config", config.c_str(), "--operator",
                         operators.c_str(),        "serve",    nullptr};
  GSubprocess* duplicate = g_subprocess_launcher_spawnv(launcher, words, nullptr);
  g_object_unref(launcher);
  if (duplicate != nullptr) duplicates_.push_back(duplicate);
}

FaultyLink& FaultHarness::link_between(std::size_t a, std::size_t b, FaultyLink::Direction& direction) {
  direction = a < b ? FaultyLink::forward : FaultyLink::backward;
  return *faulty_links_.at({std::min(a, b), std::max(a, b)});
}

void FaultHarness::set_faults(std::size_t from, std::size_t to, const LinkFaults& faults) {
  if (from == to || faulty_links_.empty()) return;
  FaultyLink::Direction direction{};
  link_between(from, to, direction).set_faults(direction, faults);
}

void FaultHarness::half_close(std::size_t from, std::size_t to) {
  if (from == to || faulty_links_.empty()) return;
  FaultyLink::Direction direction{};
  link_between(from, to, direction).half_close(direction);
}

void FaultHarness::reset(std::size_t a, std::size_t b) {
  if (a == b || faulty_links_.empty()) return;
  FaultyLink::Direction direction{};
  link_between(a, b, direction).reset();
}

void FaultHarness::isolate(std::size_t router, bool on) {
  write_log(name(router) + (on ? " is cut off" : " is connected again"));
  LinkFaults faults;
  faults.cut = on;
  for (std::size_t i = 0; i < size(); ++i) set_faults(router, i, faults), set_faults(i, router, faults);
}

void FaultHarness::heal() {
  write_log("all links are healed");
  for (auto& [pair, link] : faulty_links_)
    link->set_faults(FaultyLink::forward, {}), link->set_faults(FaultyLink::backward, {});
}

bool FaultHarness::has_logged(std::size_t router, const std::string& text) const {
  return routers_[router].log.find(text, routers_[router].log_mark) != std::string::npos;
}

bool FaultHarness::run_until(const std::function<bool()>& condition, Time timeout) {
  const Time deadline = net::now_us() + timeout;
  // A condition can become true without an event in this loop, such as one on a router's status, so it is
  // polled. Checking it at each forwarded datagram would delay the links, which run in this loop.
  const Time poll_interval = kPollInterval * static_cast<Time>(1 + size() / 5);
  net::Timer poll_timer;
  std::function<void()> poll = [&] {
    state_changed_ = true;
    poll_timer.start(poll_interval, poll);
  };
  poll();
  for (;;) {
    if (std::exchange(state_changed_, false) && condition()) return true;
    if (net::now_us() > deadline) return false;
    g_main_context_iteration(nullptr, TRUE);
  }
}

void FaultHarness::run_for(Time duration) {
  bool over = false;
  net::Timer end;
  end.start(duration, [&] { over = true; });
  run_until([&] { return over; }, duration + 60'000'000);
}

std::string FaultHarness::call(std::size_t router, const std::string& line) const {
  if (!is_serving(router) || !options_.with_group) return {};
  try {
    return net::call_unix_socket(routers_[router].folder + "/status", line, kStatusTimeout);
  } catch (const net::NetError&) {
    return {};
  }
}

nlohmann::json FaultHarness::call_json(std::size_t router, const std::string& line) const {
  auto reply = nlohmann::json::parse(call(router, line), nullptr, false);
  return reply.is_discarded() ? nlohmann::json() : reply;
}

nlohmann::json FaultHarness::status(std::size_t router) const { return call_json(router, "STATUS JSON"); }

std::string FaultHarness::disagreement() const {
  for (std::size_t i = 0; options_.with_group && i < size(); ++i) {
    if (!is_serving(i)) continue;
    const auto reply = status(i);
    if (!reply.is_object()) return name(i) + " does not answer the status command";
    if (reply.at("cut_off").get<bool>()) return name(i) + " reports that it is cut off";
    if (!reply.at("sure").get<bool>()) return name(i) + " reports that its view of the group is not settled";
    for (std::size_t j = 0; j < size(); ++j) {
      const std::string standing = reply.at("members").at(j).at("standing");
      const bool correct = is_serving(j) ? standing == "alive" : standing == "gone" || standing == "left";
      if (i != j && !correct)
        return fmt::format("{} reports {} as {}, but the process {}", name(i), name(j), standing,
                           is_serving(j) ? "runs" : "does not run");
    }
  }
  return {};
}

Time FaultHarness::agreement_timeout() const {
  return kAgreementTimeout * static_cast<Time>(1 + size() / 50);
}

std::string FaultHarness::recover_and_verify() {
  heal();
  const Time started_at = net::now_us();
  for (std::size_t i = 0; i < size(); ++i) resume(i);
  const auto all_run = [this] {
    for (std::size_t i = 0; i < size(); ++i) {
      if (state(i) == State::down && routers_[i].crash_report.empty()) start(i);
      if (!is_serving(i) && routers_[i].crash_report.empty()) return false;
    }
    return true;
  };
  if (!run_until(all_run, kShutdownTimeout)) return "not all routers are serving after the restart";
  // A process whose disk was full keeps serving and needs no restart here.
  if (!run_until([this] { return disagreement().empty(); }, agreement_timeout()))
    return "the routers do not agree: " + disagreement();
  agreed_after_s_ = static_cast<double>(net::now_us() - started_at) / 1e6;
  write_log("all routers agree");
  audit_->finish();
  if (!run_until([this] { return audit_->open_requests() == 0; }, kShutdownTimeout))
    return "some requests have not ended";
  for (std::size_t i = 0; i < size(); ++i) terminate(i);
  if (!run_until(
          [this] {
            return std::all_of(routers_.begin(), routers_.end(),
                               [](const auto& r) { return r.state == State::down; });
          },
          kShutdownTimeout)) {
    return "a router did not end after SIGTERM";
  }
  return first_violation();
}

// Returns whether a request may have failed: its replica stopped meanwhile, or its router was killed, stopped
// or not running at some time between the request and its end.
bool FaultHarness::failure_expected(const AuditedRequest& request) const {
  const auto stopped_meanwhile = [&](Time stopped_at) {
    return stopped_at >= request.sent_at && stopped_at <= request.ended_at;
  };
  if (request.outcome == Outcome::broken &&
      std::any_of(replica_stopped_at_.begin(), replica_stopped_at_.end(), stopped_meanwhile))
    return true;
  for (const auto& [from, to] : routers_[request.router].absences) {
    if (request.sent_at < (to == 0 ? request.ended_at : to) + kProcessFaultMargin &&
        request.ended_at > from - kProcessFaultMargin)
      return true;
  }
  return false;
}

std::string FaultHarness::first_violation() const {
  for (const auto& r : routers_) {
    if (!r.crash_report.empty()) return r.crash_report;
  }
  for (const auto& request : audit_->requests()) {
    const bool final = request->outcome == Outcome::served || request->outcome == Outcome::rejected;
    // A request that arrived while the process was ending was never accepted.
    const Time terminated_at = routers_[request->router].terminated_at;
    const bool not_accepted = request->outcome == Outcome::not_connected &&
                              request->sent_at <= terminated_at && request->ended_at > terminated_at;
    if (request->outcome == Outcome::answered_twice ||
        (!final && !not_accepted && !failure_expected(*request))) {
      return fmt::format("request {} of {}: {}, {:.3f} s after it was sent at {:.3f} s", request->id,
                         name(request->router), name_of(request->outcome),
                         static_cast<double>(request->ended_at - request->sent_at) / 1e6,
                         static_cast<double>(request->sent_at - started_at_) / 1e6);
    }
  }
  for (const auto& [id, count] : attempts_by_request_) {
    if (count > max_attempts_)
      return fmt::format("request {} had {} attempts, allowed are {}", id, count, max_attempts_);
  }
  if (late_requests_to_draining_ > 0)
    return fmt::format("{} requests went to a replica after its grace period for draining",
                       late_requests_to_draining_);
  return {};
}

FaultHarness::Metrics FaultHarness::metrics() const {
  Metrics metrics;
  for (const auto& request : audit_->requests()) {
    ++metrics.requests;
    metrics.served += request->outcome == Outcome::served;
    metrics.rejected += request->outcome == Outcome::rejected;
    metrics.expected_failures += request->outcome != Outcome::served && request->outcome != Outcome::rejected;
  }
  for (const auto& [id, count] : attempts_by_request_)
    metrics.max_attempts = std::max(metrics.max_attempts, count);
  for (const auto& r : routers_) {
    metrics.starts += r.start_count;
    for (auto at = r.log.find(": gone, was"); at != std::string::npos; at = r.log.find(": gone, was", at + 1))
      ++metrics.failure_reports;
  }
  for (const auto& [pair, link] : faulty_links_)
    metrics.datagrams += link->metrics().datagrams, metrics.lost += link->metrics().lost;
  metrics.agreed_after_s = agreed_after_s_;
  std::vector<double> latencies_ms;
  for (const auto& request : audit_->requests()) {
    if (request->outcome == Outcome::served)
      latencies_ms.push_back(static_cast<double>(request->ended_at - request->sent_at) / 1000);
  }
  std::sort(latencies_ms.begin(), latencies_ms.end());
  if (!latencies_ms.empty())
    metrics.answer_p50_ms = latencies_ms[latencies_ms.size() / 2],
    metrics.answer_p99_ms = latencies_ms[latencies_ms.size() * 99 / 100];
  for (const auto& r : routers_)
    metrics.cpu_ms += r.cpu_ms / static_cast<double>(size()),
        metrics.memory_mb += r.memory_mb / static_cast<double>(size());
  if (metrics.requests > 0)
    metrics.cpu_us_per_request =
        1000 * metrics.cpu_ms * static_cast<double>(size()) / static_cast<double>(metrics.requests);
  return metrics;
}

}  // namespace thornwick::testbed

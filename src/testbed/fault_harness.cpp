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

constexpr Time kAnswers = seconds(2);     // a status
constexpr Time kLook = milliseconds(50);  // and more where there are many routers
constexpr Time kAgree = seconds(60);
constexpr Time kEnds = seconds(30);              // after SIGTERM
constexpr Time kExcuse = milliseconds(400);      // around a fault of a process: what was on its way then
constexpr Time kDrainSlack = milliseconds(500);  // news that a replica drains are on their way for as long
constexpr const char* kSlowDiskMs = "500";
constexpr const char* kLoopback = "127.0.0.1:0";

void write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::trunc);
  out << text;
  out.flush();
  if (!out) throw std::runtime_error(path + ": cannot be written");
}

// What stands between a word and the next blank or comma.
std::string after(const std::string& line, const std::string& word) {
  const auto at = line.find(word);
  if (at == std::string::npos) return {};
  const auto from = at + word.size();
  return line.substr(from, line.find_first_of(" ,", from) - from);
}

// Guards against processes that outlive a test that was killed itself.
void die_with_parent(gpointer) { prctl(PR_SET_PDEATHSIG, SIGKILL); }

}  // namespace

const char* name_of(DiskState disk) {
  static constexpr const char* names[] = {"kept", "empty", "older", "full", "slow"};
  return names[static_cast<int>(disk)];
}

FaultHarness::FaultHarness(FaultHarnessOptions options)
    : options_(std::move(options)), began_(net::now_us()), routers_(options_.routers) {
  net::descriptors().limit = 18'000;
  std::filesystem::create_directories(options_.folder);
  InstallationOptions replicas;
  replicas.scenario = emulator::read_scenario(options_.scenario);
  replicas.seed = options_.seed;
  allowed_attempts_ = static_cast<std::size_t>(replicas.scenario.attempts);
  const Time grace = static_cast<Time>(1000 * replicas.scenario.drain_grace_ms);
  replicas.asked = [this, grace](const std::string& id, Time draining) {
    ++attempts_[id];
    const auto router = static_cast<std::size_t>(std::atoi(id.c_str() + 1));
    if (draining > grace + kDrainSlack && router < size() && runs(router) && routers_[router].away.empty())
      ++late_to_draining_;
  };
  replicas.tallied = [this](double tokens) { tokens_ += tokens; };
  installation_ = std::make_unique<Installation>(replicas);
  account_ =
      std::make_unique<RequestAudit>(RequestAudit::Options{.rate = std::max(0.01, options_.rate),
                                                           .cls = replicas.scenario.classes.front().name,
                                                           .member = replicas.scenario.members.front().name},
                                     size());
  for (std::size_t i = 0; i < size(); ++i) {
    routers_[i].folder = options_.folder + "/" + name(i);
    std::filesystem::create_directories(routers_[i].folder + "/disk");
    for (std::size_t j = i + 1; options_.wires && options_.group && j < size(); ++j) {
      links_[{i, j}] = std::make_unique<FaultyLink>(options_.seed * 10'007 + i * 1'009 + j);
    }
  }
}

FaultHarness::~FaultHarness() {
  for (auto& router : routers_) {
    if (router.process != nullptr) g_subprocess_force_exit(router.process);
  }
  for (auto* twin : twins_) g_subprocess_force_exit(twin);
  // Callbacks that are still owed name this object.
  until(
      [this] {
        return std::all_of(routers_.begin(), routers_.end(),
                           [](const auto& r) { return r.process == nullptr && r.lines == nullptr; });
      },
      10'000'000);
  for (auto* twin : twins_) g_object_unref(twin);
}

// As many digits as the largest has: members are told in the order of their names.
std::string FaultHarness::name(std::size_t router) const {
  return fmt::format("r{:0{}}", router, size() > 100 ? 3 : 2);
}

void FaultHarness::write_log(const std::string& what) const {
  options_.write_log(static_cast<double>(net::now_us() - began_) / 1e6, what);
}

// ---------------------------------------------------------------- files

// Where one router's file has another: the wire between them. Straight: a port for each, outside of those
// that the kernel gives away.
std::string FaultHarness::address_for(std::size_t reader, std::size_t of) const {
  if (links_.empty()) return fmt::format("127.0.0.1:{}", 12'000 + options_.seed % 1'000 * 16 + of);
  if (reader == of) return kLoopback;
  const auto& wire = links_.at({std::min(reader, of), std::max(reader, of)});
  return reader < of ? wire->other_at() : wire->one_at();
}

void FaultHarness::write_files(std::size_t router) {
  const std::string& folder = routers_[router].folder;
  Json config = Json::parse(installation_->router_config());
  config["name"] = name(router);
  config["listen"] = kLoopback;
  if (options_.admin_endpoint) config["ops"] = kLoopback;
  write_file(folder + "/config.json", config.dump(1));
  std::string file = options_.more;
  for (auto at = file.find("{disk}"); at != std::string::npos; at = file.find("{disk}", at))
    file.replace(at, 6, folder + "/disk");
  if (options_.group) {
    file += "\n[group]\nname = \"rig\"\nsites = [";
    for (std::size_t s = 0; s < options_.sites; ++s)
      file += fmt::format("{}\"site{}\"", s > 0 ? ", " : "", s);
    file += fmt::format("]\nstate = \"{0}/disk/group\"\nstatus = \"{0}/status\"\nperiod_s = {1}\n", folder,
                        options_.period_s);
    if (!links_.empty()) file += fmt::format("listen = \"{}\"\n", kLoopback);
    for (std::size_t i = 0; i < size(); ++i) {
      // Its own address is not used by itself, but has to be one that nobody else has.
      const std::string address = i == router && !links_.empty() ? "127.0.0.1:1" : address_for(router, i);
      file += fmt::format("[[router]]\nname = \"{}\"\nsite = \"site{}\"\naddress = \"{}\"\n", name(i),
                          i % options_.sites, address);
    }
  }
  write_file(folder + "/operator.toml", file);
}

// ---------------------------------------------------------------- processes

void FaultHarness::start(std::size_t router, DiskState disk) {
  Router& r = routers_[router];
  if (r.state != State::down) return;
  const std::filesystem::path folder = r.folder + "/disk", before = r.folder + "/before";
  if (disk == DiskState::empty)
    std::filesystem::remove_all(folder), std::filesystem::create_directories(folder);
  if (disk == DiskState::older && std::filesystem::exists(before)) {
    std::filesystem::remove_all(folder);
    std::filesystem::copy(before, folder, std::filesystem::copy_options::recursive);
  } else if (r.starts > 0) {
    // What an older copy is later: the disk as it was before this start.
    std::filesystem::remove_all(before);
    std::filesystem::copy(folder, before, std::filesystem::copy_options::recursive);
  }
  write_files(router);
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
  // No file can grow: what a full disk is to a process.
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
  r.front.clear(), r.datagrams.clear(), r.links.clear();
  ++r.starts;
  r.lines = g_data_input_stream_new(g_subprocess_get_stderr_pipe(r.process));
  read_line(router, r.lines);
  g_subprocess_wait_async(
      r.process, nullptr,
      [](GObject*, GAsyncResult*, gpointer data) {
        const std::unique_ptr<Running> running(static_cast<Running*>(data));
        running->rig->ended(running->router, running->process);
      },
      new Running{this, router, r.process});
}

void FaultHarness::read_line(std::size_t router, GDataInputStream* lines) {
  g_data_input_stream_read_line_async(
      lines, G_PRIORITY_DEFAULT, nullptr,
      [](GObject* stream, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<Running> running(static_cast<Running*>(data));
        char* text =
            g_data_input_stream_read_line_finish(G_DATA_INPUT_STREAM(stream), result, nullptr, nullptr);
        if (text == nullptr) {
          Router& r = running->rig->routers_[running->router];
          if (r.lines == G_DATA_INPUT_STREAM(stream)) r.lines = nullptr;
          g_object_unref(stream);
          return;
        }
        running->rig->said(running->router, text);
        g_free(text);
        running->rig->read_line(running->router, G_DATA_INPUT_STREAM(stream));
      },
      new Running{this, router, routers_[router].process});
}

void FaultHarness::said(std::size_t router, const std::string& line) {
  Router& r = routers_[router];
  r.log += line + "\n";
  news_ = true;
  std::ofstream(r.folder + "/log", std::ios::app) << line << '\n';
  if (line.find(" membership: ") != std::string::npos || line.find("error ") != std::string::npos)
    write_log(name(router) + "   " + line);
  if (const auto front = after(line, "platform front on "); !front.empty()) r.front = front;
  if (const auto datagrams = after(line, "datagrams at "); !datagrams.empty()) {
    r.datagrams = datagrams, r.links = after(line, "links at ");
    tell_wires(router);
  }
  if (r.before != nullptr && line.find("serving in the place of the predecessor") != std::string::npos) {
    g_subprocess_send_signal(r.before, SIGTERM);
    r.before = nullptr;
  }
  if (line.find(" serves on ") != std::string::npos && r.state == State::starting) {
    r.state = State::serving;
    away(router, false);
    if (options_.rate > 0) account_->send_to(router, r.front);
  }
}

void FaultHarness::tell_wires(std::size_t router) {
  const Router& r = routers_[router];
  for (auto& [pair, wire] : links_) {
    if (pair.first == router) wire->one_is(r.datagrams, r.links);
    if (pair.second == router) wire->other_is(r.datagrams, r.links);
  }
}

void FaultHarness::ended(std::size_t router, GSubprocess* process) {
  Router& r = routers_[router];
  if (r.process != process) return;
  news_ = true;
  const bool well = g_subprocess_get_if_exited(process) && g_subprocess_get_exit_status(process) == 0;
  const bool killed = g_subprocess_get_if_signaled(process) && g_subprocess_get_term_sig(process) == SIGKILL;
  if (!killed && !(well && r.state == State::ending)) {
    r.crashed = fmt::format("{} ended by itself: {} {}", name(router),
                            g_subprocess_get_if_exited(process) ? "status" : "signal",
                            g_subprocess_get_if_exited(process) ? g_subprocess_get_exit_status(process)
                                                                : g_subprocess_get_term_sig(process));
  }
  write_log(name(router) + (killed ? " is dead" : well ? " has ended" : " has crashed"));
  account_->send_to(router, "");
  r.state = State::down;
  g_clear_object(&r.process);
}

void FaultHarness::away(std::size_t router, bool on) {
  auto& all = routers_[router].away;
  if (on) {
    if (all.empty() || all.back().second != 0) all.emplace_back(net::now_us(), 0);
  } else if (!all.empty() && all.back().second == 0) {
    all.back().second = net::now_us();
  }
}

void FaultHarness::kill(std::size_t router) {
  Router& r = routers_[router];
  if (r.state == State::down) return;
  write_log(name(router) + " is killed");
  away(router, true);
  account_->send_to(router, "");
  g_subprocess_force_exit(r.process);
}

void FaultHarness::stop(std::size_t router) {
  if (!runs(router)) return;
  write_log(name(router) + " is stopped");
  away(router, true);
  routers_[router].state = State::stopped;
  g_subprocess_send_signal(routers_[router].process, SIGSTOP);
}

void FaultHarness::go(std::size_t router) {
  if (state(router) != State::stopped) return;
  write_log(name(router) + " goes on");
  routers_[router].state = State::serving;
  away(router, false);
  g_subprocess_send_signal(routers_[router].process, SIGCONT);
}

void FaultHarness::replace(std::size_t router) {
  Router& r = routers_[router];
  if (!runs(router) || r.before != nullptr) return;
  write_log(name(router) + " is replaced by another process");
  r.before = std::exchange(r.process, nullptr);
  spawn(router, DiskState::kept);
}

// Just before it is told to end.
void FaultHarness::measure(std::size_t router) {
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

// Clients are led elsewhere, as the front does; what it has taken it owes an answer.
void FaultHarness::end(std::size_t router) {
  if (!runs(router)) return;
  write_log(name(router) + " is told to end");
  measure(router);
  account_->send_to(router, "");
  routers_[router].state = State::ending;
  routers_[router].end_asked = net::now_us();
  g_subprocess_send_signal(routers_[router].process, SIGTERM);
}

void FaultHarness::set_clock(std::size_t router, double ahead_ms, double rate) {
  write_log(fmt::format("{}'s clock is {} ms ahead, its rate {}", name(router), ahead_ms, rate));
  write_file(routers_[router].folder + "/clock", fmt::format("{} {}\n", ahead_ms, rate));
}

void FaultHarness::stop_replica(std::size_t replica) {
  if (replica >= installation_->replicas().size()) return;
  replica_deaths_.push_back(net::now_us());
  installation_->stop_replica(replica);
}

void FaultHarness::start_replica(std::size_t replica) {
  if (replica < installation_->replicas().size()) installation_->start_replica(replica);
}

void FaultHarness::start_twin(std::size_t router) {
  const std::string folder = routers_[router].folder + "/twin";
  std::filesystem::create_directories(folder);
  std::ifstream file(routers_[router].folder + "/operator.toml");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  for (const std::string word : {"/disk/group", "/status"}) {
    if (const auto at = text.find(word); at != std::string::npos) text.insert(at, "/twin");
  }
  std::filesystem::create_directories(folder + "/disk");
  write_file(folder + "/operator.toml", text);
  write_log("a second process calls itself " + name(router));
  const std::string config = routers_[router].folder + "/config.json", operators = folder + "/operator.toml";
  GSubprocessLauncher* launcher = g_subprocess_launcher_new(
      static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDERR_SILENCE | G_SUBPROCESS_FLAGS_STDOUT_SILENCE));
  g_subprocess_launcher_set_child_setup(launcher, die_with_parent, nullptr, nullptr);
  const char* words[] = {options_.program.c_str(), "--config", config.c_str(), "--operator",
                         operators.c_str(),        "serve",    nullptr};
  GSubprocess* twin = g_subprocess_launcher_spawnv(launcher, words, nullptr);
  g_object_unref(launcher);
  if (twin != nullptr) twins_.push_back(twin);
}

// ---------------------------------------------------------------- network

FaultyLink& FaultHarness::wire(std::size_t a, std::size_t b, FaultyLink::Way& way) {
  way = a < b ? FaultyLink::there : FaultyLink::back;
  return *links_.at({std::min(a, b), std::max(a, b)});
}

void FaultHarness::set(std::size_t from, std::size_t to, const LinkFaults& faults) {
  if (from == to || links_.empty()) return;
  FaultyLink::Way way{};
  wire(from, to, way).set(way, faults);
}

void FaultHarness::half_close(std::size_t from, std::size_t to) {
  if (from == to || links_.empty()) return;
  FaultyLink::Way way{};
  wire(from, to, way).half_close(way);
}

void FaultHarness::reset(std::size_t a, std::size_t b) {
  if (a == b || links_.empty()) return;
  FaultyLink::Way way{};
  wire(a, b, way).reset();
}

void FaultHarness::isolate(std::size_t router, bool on) {
  write_log(name(router) + (on ? " is cut off" : " is joined again"));
  LinkFaults faults;
  faults.cut = on;
  for (std::size_t i = 0; i < size(); ++i) set(router, i, faults), set(i, router, faults);
}

void FaultHarness::heal() {
  write_log("all wires are mended");
  for (auto& [pair, wire] : links_) wire->set(FaultyLink::there, {}), wire->set(FaultyLink::back, {});
}

// ---------------------------------------------------------------- looking

bool FaultHarness::says(std::size_t router, const std::string& text) const {
  return routers_[router].log.find(text, routers_[router].mark) != std::string::npos;
}

bool FaultHarness::until(const std::function<bool()>& holds, Time most) {
  const Time limit = net::now_us() + most;
  // Something may come to hold without an event of its own here: a router's status. Looking at each datagram
  // that passes would hold up the wires, which pass in this loop.
  const Time every = kLook * static_cast<Time>(1 + size() / 5);
  net::Timer look;
  std::function<void()> again = [&] {
    news_ = true;
    look.start(every, again);
  };
  again();
  for (;;) {
    if (std::exchange(news_, false) && holds()) return true;
    if (net::now_us() > limit) return false;
    g_main_context_iteration(nullptr, TRUE);
  }
}

void FaultHarness::run_for(Time time) {
  bool over = false;
  net::Timer end;
  end.start(time, [&] { over = true; });
  until([&] { return over; }, time + 60'000'000);
}

std::string FaultHarness::call(std::size_t router, const std::string& line) const {
  if (!runs(router) || !options_.group) return {};
  try {
    return net::call_unix_socket(routers_[router].folder + "/status", line, kAnswers);
  } catch (const net::NetError&) {
    return {};
  }
}

nlohmann::json FaultHarness::ask(std::size_t router, const std::string& line) const {
  auto said = nlohmann::json::parse(call(router, line), nullptr, false);
  return said.is_discarded() ? nlohmann::json() : said;
}

nlohmann::json FaultHarness::status(std::size_t router) const { return ask(router, "STATUS JSON"); }

std::string FaultHarness::disagreement() const {
  for (std::size_t i = 0; options_.group && i < size(); ++i) {
    if (!runs(i)) continue;
    const auto word = status(i);
    if (!word.is_object()) return name(i) + " does not tell its status";
    if (word.at("cut_off").get<bool>()) return name(i) + " holds itself to be cut off";
    if (!word.at("sure").get<bool>()) return name(i) + " is not sure";
    for (std::size_t j = 0; j < size(); ++j) {
      const std::string standing = word.at("members").at(j).at("standing");
      const bool right = runs(j) ? standing == "alive" : standing == "gone" || standing == "left";
      if (i != j && !right)
        return fmt::format("{} holds {} to be {}, which {}", name(i), name(j), standing,
                           runs(j) ? "runs" : "does not run");
    }
  }
  return {};
}

// ---------------------------------------------------------------- judgement

Time FaultHarness::agree_within() const { return kAgree * static_cast<Time>(1 + size() / 50); }

std::string FaultHarness::settle() {
  heal();
  const Time began = net::now_us();
  for (std::size_t i = 0; i < size(); ++i) go(i);
  const auto all_run = [this] {
    for (std::size_t i = 0; i < size(); ++i) {
      if (state(i) == State::down && routers_[i].crashed.empty()) start(i);
      if (!runs(i) && routers_[i].crashed.empty()) return false;
    }
    return true;
  };
  if (!until(all_run, kEnds)) return "not all routers run again";
  // A process whose disk was full serves on; its next start is as good as any.
  if (!until([this] { return disagreement().empty(); }, agree_within()))
    return "they do not agree: " + disagreement();
  agreed_after_s_ = static_cast<double>(net::now_us() - began) / 1e6;
  write_log("all agree");
  account_->finish();
  if (!until([this] { return account_->open() == 0; }, kEnds)) return "there are requests without an end";
  for (std::size_t i = 0; i < size(); ++i) end(i);
  if (!until(
          [this] {
            return std::all_of(routers_.begin(), routers_.end(),
                               [](const auto& r) { return r.state == State::down; });
          },
          kEnds)) {
    return "a router does not end when it is told to";
  }
  return broken_promise();
}

// No answer is owed of a process that was killed, stopped or not there at some time between question and
// answer.
bool FaultHarness::excused(const Entry& entry) const {
  const auto died_meanwhile = [&](Time death) { return death >= entry.asked && death <= entry.ended; };
  if (entry.outcome == Outcome::broken &&
      std::any_of(replica_deaths_.begin(), replica_deaths_.end(), died_meanwhile))
    return true;
  for (const auto& [from, to] : routers_[entry.router].away) {
    if (entry.asked < (to == 0 ? entry.ended : to) + kExcuse && entry.ended > from - kExcuse) return true;
  }
  return false;
}

std::string FaultHarness::broken_promise() const {
  for (const auto& r : routers_) {
    if (!r.crashed.empty()) return r.crashed;
  }
  for (const auto& entry : account_->entries()) {
    const bool final = entry->outcome == Outcome::served || entry->outcome == Outcome::rejected;
    // One that came as the process ended was never taken.
    const Time ended = routers_[entry->router].end_asked;
    const bool ending =
        entry->outcome == Outcome::not_connected && entry->asked <= ended && entry->ended > ended;
    if (entry->outcome == Outcome::twice || (!final && !ending && !excused(*entry))) {
      return fmt::format("request {} of {}: {}, {:.3f} s after it was asked at {:.3f} s", entry->id,
                         name(entry->router), name_of(entry->outcome),
                         static_cast<double>(entry->ended - entry->asked) / 1e6,
                         static_cast<double>(entry->asked - began_) / 1e6);
    }
  }
  for (const auto& [id, count] : attempts_) {
    if (count > allowed_attempts_)
      return fmt::format("request {} was tried {} times, {} are allowed", id, count, allowed_attempts_);
  }
  if (late_to_draining_ > 0)
    return fmt::format("{} requests went to a box long after the list said that it drains",
                       late_to_draining_);
  return {};
}

FaultHarness::Metrics FaultHarness::metrics() const {
  Metrics f;
  for (const auto& entry : account_->entries()) {
    ++f.asked;
    f.served += entry->outcome == Outcome::served;
    f.rejected += entry->outcome == Outcome::rejected;
    f.excused += entry->outcome != Outcome::served && entry->outcome != Outcome::rejected;
  }
  for (const auto& [id, count] : attempts_) f.most_attempts = std::max(f.most_attempts, count);
  for (const auto& r : routers_) {
    f.starts += r.starts;
    for (auto at = r.log.find(": gone, was"); at != std::string::npos; at = r.log.find(": gone, was", at + 1))
      ++f.gone_words;
  }
  for (const auto& [pair, wire] : links_)
    f.datagrams += wire->metrics().datagrams, f.lost += wire->metrics().lost;
  f.agreed_after_s = agreed_after_s_;
  std::vector<double> answers;
  for (const auto& entry : account_->entries()) {
    if (entry->outcome == Outcome::served)
      answers.push_back(static_cast<double>(entry->ended - entry->asked) / 1000);
  }
  std::sort(answers.begin(), answers.end());
  if (!answers.empty())
    f.answer_p50_ms = answers[answers.size() / 2], f.answer_p99_ms = answers[answers.size() * 99 / 100];
  for (const auto& r : routers_)
    f.cpu_ms += r.cpu_ms / static_cast<double>(size()),
        f.memory_mb += r.memory_mb / static_cast<double>(size());
  if (f.asked > 0)
    f.cpu_us_a_request = 1000 * f.cpu_ms * static_cast<double>(size()) / static_cast<double>(f.asked);
  return f;
}

}  // namespace thornwick::testbed

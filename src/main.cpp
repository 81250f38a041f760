// The router: command line, configuration, and the wiring of core, fronts and sockets.
#include <getopt.h>
#include <glib-unix.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <iostream>

#include "config.hpp"
#include "core/exchanges.hpp"
#include "net/clients.hpp"
#include "net/log.hpp"
#include "net/loop.hpp"
#include "net/peers.hpp"
#include "net/route_table.hpp"
#include "net/servers.hpp"

namespace sprucecourse {
namespace {

constexpr const char* kVersion = "0.2.0";
constexpr std::size_t kReserve = 32;      // descriptors for all but clients and egress targets
constexpr Time kReadyAnyway = 5'000'000;  // ready without a list after this, so that clients get answers
constexpr Time kQuiet = 3'000'000;        // after SIGTERM: without clients for this long, the router ends

// GLib's loop as the core sees time.
class LoopClock : public core::Clock {
 public:
  Time now() const override { return net::now_us(); }
  void wake_at(Time when) override {
    timer_.start(when - now(), [this] { wake(); });
  }
  std::function<void()> wake;

 private:
  net::Timer timer_;
};

// Descriptors: the platform's limit or the kernel's, whichever is lower.
std::size_t descriptor_limit(std::size_t wanted) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return wanted;
  if (limit.rlim_cur < wanted) {
    limit.rlim_cur = std::min<rlim_t>(wanted, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  return std::min<std::size_t>(wanted, limit.rlim_cur);
}

const fronts::Dialect* dialect(const std::string& name) {
  const auto* found = fronts::dialect_named(name);
  if (found == nullptr) throw BadConfig("operator's file: no such dialect: " + name);
  return found;
}

class Program {
 public:
  explicit Program(const Config& config)
      : config_(config),
        names_{config.classes, config.tenants},
        routes_({.address = config.discovery, .zones = config.zones, .kinds = config.kinds},
                [this](DirectoryScope scope, std::span<const ReplicaListing> entries) {
                  core_->listed(scope, entries);
                }),
        peers_({.listen = config.peer_listen, .all = config.peers_all, .peers = config.peers},
               [this](std::uint32_t rank, std::span<const std::uint8_t> message) {
                 core_->peer_said(rank, message);
               }),
        servers_(server_options(), routes_),
        core_(std::make_unique<core::Exchanges>(config.settings,
                                                core::Surroundings{clock_, servers_, routes_, peers_})) {
    clock_.wake = [this] { core_->wake(); };
    servers_.serve(*core_);
    if (!config.known.empty()) {
      simdjson::dom::parser parser;
      simdjson::dom::element known;
      if (parser.parse(config.known).get(known) == simdjson::SUCCESS) routes_.start_from(known);
    }
    open_front(config.listen, fronts::platform());
    if (!config.added.messages_listen.empty()) open_front(config.added.messages_listen, fronts::messages());
  }

  void run() {
    std::unique_ptr<GMainLoop, void (*)(GMainLoop*)> loop(g_main_loop_new(nullptr, FALSE), g_main_loop_unref);
    loop_ = loop.get();
    g_unix_signal_add(
        SIGTERM, [](gpointer p) { return static_cast<Program*>(p)->terminate(); }, this);
    g_unix_signal_add(
        SIGINT, [](gpointer p) { return static_cast<Program*>(p)->terminate(); }, this);
    g_unix_signal_add(
        SIGUSR1, [](gpointer p) { return static_cast<Program*>(p)->print_counters(); }, this);
    logging::info("main") << config_.name << " serves on " << config_.listen << ", "
                          << net::descriptors().limit << " descriptors, " << routes_.size()
                          << " targets known";
    g_main_loop_run(loop_);
    print_counters();
  }

 private:
  net::Servers::Options server_options() const {
    net::Servers::Options options;
    options.keepalive = config_.keepalive;
    options.dial_limit = config_.dial_limit;
    options.report_names = config_.report_fields;
    options.most_connections = connections_each();
    options.dialect = dialect(config_.added.target_dialect);
    for (const auto& [uid, name] : config_.added.targets) options.by_name[uid] = dialect(name);
    return options;
  }

  // Clients and egress targets share the descriptors evenly: an exchange needs one of each.
  static std::size_t connections_each() {
    const std::size_t limit = net::descriptors().limit;
    return std::max<std::size_t>(1, (limit - std::min(limit / 4, kReserve)) / 2);
  }

  void open_front(const std::string& address, const fronts::Dialect& speaks) {
    fronts_.push_back(
        std::make_unique<net::Clients>(net::Clients::Options{.address = address,
                                                             .dialect = &speaks,
                                                             .most_connections = connections_each(),
                                                             .ready = [this] { return ready(); }},
                                       names_, *core_));
  }

  bool ready() const { return routes_.size() > 0 || net::now_us() - started_ > kReadyAnyway; }

  // A planned restart: all that comes is still taken and answered; the end comes once nobody is left.
  gboolean terminate() {
    logging::info("main") << "SIGTERM: winding down, " << core_->open() << " exchanges open";
    for (auto& front : fronts_) front->wind_down();
    quiet_since_ = net::now_us();
    watch_quiet();
    return G_SOURCE_CONTINUE;
  }

  void watch_quiet() {
    quiet_.start(kQuiet / 10, [this] {
      const bool busy = core_->open() > 0 || std::any_of(fronts_.begin(), fronts_.end(),
                                                         [](auto& f) { return f->connections() > 0; });
      if (busy) quiet_since_ = net::now_us();
      if (net::now_us() - quiet_since_ >= kQuiet) return g_main_loop_quit(loop_);
      watch_quiet();
    });
  }

  gboolean print_counters() const {
    const auto& c = core_->counters();
    auto line = logging::info("counters");
    line << "taken=" << c.taken << " open=" << core_->open() << " hops=" << c.hops << " served=" << c.served
         << " shed=" << c.shed << " failed=" << c.failed << " timed_out=" << c.timed_out
         << " broken=" << c.broken << " gone=" << c.gone;
    static constexpr const char* outcomes[] = {"served",         "error", "full",      "timed_out",
                                               "connect_failed", "reset", "cancelled", "not_sent"};
    for (const auto& [outcome, count] : c.outcomes) {
      line << " hop_" << outcomes[static_cast<int>(outcome)] << "=" << count;
    }
    for (const auto& front : fronts_) {
      const auto& f = front->counters();
      line << " accepted=" << f.accepted << " bad=" << f.bad << " health=" << f.health
           << " crowded=" << f.crowded << " clients=" << front->connections();
    }
    const auto& s = servers_.counters();
    line << " opened=" << s.opened << " reused=" << s.reused << " lines=" << servers_.connections()
         << " silent=" << s.silent << " no_descriptor=" << s.no_descriptor
         << " drained_meanwhile=" << s.drained_meanwhile << " probes=" << s.probes;
    const auto& d = routes_.counters();
    line << " list_calls=" << d.calls << " list_failures=" << d.failures << " list_entries=" << d.changes;
    return G_SOURCE_CONTINUE;
  }

  Config config_;
  fronts::Names names_;
  LoopClock clock_;
  net::RouteTable routes_;
  net::Peers peers_;
  net::Servers servers_;
  std::unique_ptr<core::Exchanges> core_;
  std::vector<std::unique_ptr<net::Clients>> fronts_;
  GMainLoop* loop_ = nullptr;
  net::Timer quiet_;
  Time started_ = net::now_us(), quiet_since_ = 0;
};

constexpr const char* kHelp =
    "usage: thornwick [serve|check-config|version|help] [options]\n"
    "\n"
    "  serve         route until stopped (the default)\n"
    "  check-config  read the configuration, say what is wrong with it, and end\n"
    "  version       print the version\n"
    "  help          print this page\n"
    "\n"
    "  -c, --config FILE      the platform's configuration, instead of $GW_CONFIG\n"
    "  -o, --operator FILE    the operator's file: a second front, flow records\n"
    "  -l, --log-level LEVEL  debug, info (the default), warning or error\n"
    "\n"
    "SIGUSR1 prints the counters; SIGTERM lets the router finish what it has and end.\n";

struct CommandLine {
  std::string command = "serve", config, operator_file;
};

logging::Level level_named(const std::string& name) {
  static constexpr const char* names[] = {"debug", "info", "warning", "error"};
  const auto at = std::find(std::begin(names), std::end(names), name);
  if (at == std::end(names)) throw BadConfig("no such log level: " + name);
  return static_cast<logging::Level>(at - std::begin(names));
}

CommandLine read_command_line(int argc, char** argv) {
  static const option options[] = {
      {"config", required_argument, nullptr, 'c'},    {"operator", required_argument, nullptr, 'o'},
      {"log-level", required_argument, nullptr, 'l'}, {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'v'},         {nullptr, 0, nullptr, 0}};
  CommandLine line;
  for (int c = 0; (c = getopt_long(argc, argv, "c:o:l:hv", options, nullptr)) != -1;) {
    switch (c) {
      case 'c': line.config = optarg; break;
      case 'o': line.operator_file = optarg; break;
      case 'l': logging::threshold() = level_named(optarg); break;
      case 'h': line.command = "help"; return line;
      case 'v': line.command = "version"; return line;
      default: throw BadConfig("see 'thornwick help'");
    }
  }
  if (optind < argc) line.command = argv[optind++];
  if (optind < argc) throw BadConfig(std::string("one word too many: ") + argv[optind]);
  return line;
}

int run(int argc, char** argv) {
  const CommandLine line = read_command_line(argc, argv);
  if (line.command == "help") {
    std::cout << kHelp;
  } else if (line.command == "version") {
    std::cout << "thornwick " << kVersion << '\n';
  } else if (line.command == "check-config") {
    const Config config = read_config(line.config, line.operator_file);
    dialect(config.added.target_dialect);
    for (const auto& [uid, name] : config.added.targets) dialect(name);
    Router(config.settings, 0);  // the module has its own checks
    std::cout << "the configuration is good\n";
  } else if (line.command == "serve") {
    const Config config = read_config(line.config, line.operator_file);
    net::descriptors().limit =
        descriptor_limit(config.sockets) - std::min<std::size_t>(16, config.sockets / 8);
    net::now_us();
    Program(config).run();
  } else {
    throw BadConfig("no such command: " + line.command + "; see 'thornwick help'");
  }
  return 0;
}

}  // namespace
}  // namespace sprucecourse

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return sprucecourse::run(argc, argv);
  } catch (const std::exception& problem) {
    std::cerr << "thornwick: " << problem.what() << '\n';
    return 2;
  }
}

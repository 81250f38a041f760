// The router's command line and signals.
#include <getopt.h>
#include <glib-unix.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <iostream>

#include "net/log.hpp"
#include "node.hpp"

namespace sprucecourse {
namespace {

constexpr const char* kVersion = "0.2.0";
constexpr std::size_t kOwnDescriptors = 12;  // standard streams, GLib's own, files that are read for a moment

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

struct CommandLine {
  std::string command = "serve", config, operator_file;
};

struct Running {
  Node& node;
  GMainLoop* loop;
  const CommandLine& line;
};

gboolean on_terminate(gpointer data) {
  const auto* running = static_cast<Running*>(data);
  logging::info("main") << "winding down, " << running->node.core().open() << " exchanges open";
  running->node.wind_down([loop = running->loop] { g_main_loop_quit(loop); });
  return G_SOURCE_CONTINUE;
}

// A file that makes no sense changes nothing: the router goes on with what it had.
gboolean on_hangup(gpointer data) {
  const auto* running = static_cast<Running*>(data);
  try {
    running->node.reload(read_config(running->line.config, running->line.operator_file, Reading::again));
    logging::info("main") << "the configuration was read again";
  } catch (const std::exception& problem) {
    logging::error("main") << "the new configuration is not taken: " << problem.what();
  }
  return G_SOURCE_CONTINUE;
}

gboolean on_counters(gpointer data) {
  std::ostringstream text;
  static_cast<Running*>(data)->node.print_counters(text);
  logging::info("counters") << text.str();
  return G_SOURCE_CONTINUE;
}

void serve(const CommandLine& line) {
  const Config config = read_config(line.config, line.operator_file);
  const std::size_t limit = descriptor_limit(config.sockets);
  net::descriptors().limit = limit - std::min(kOwnDescriptors, limit / 4);
  Node node(config);
  const std::unique_ptr<GMainLoop, void (*)(GMainLoop*)> loop(g_main_loop_new(nullptr, FALSE),
                                                              g_main_loop_unref);
  Running running{node, loop.get(), line};
  g_unix_signal_add(SIGTERM, on_terminate, &running);
  g_unix_signal_add(SIGINT, on_terminate, &running);
  g_unix_signal_add(SIGHUP, on_hangup, &running);
  g_unix_signal_add(SIGUSR1, on_counters, &running);
  logging::info("main") << config.name << " serves on " << node.front(0).address() << ", "
                        << net::descriptors().limit << " descriptors, " << node.targets() << " targets known";
  g_main_loop_run(loop.get());
  on_counters(&running);
}

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
    "SIGHUP reads the configuration again; SIGUSR1 prints the counters; SIGTERM lets the router finish what\n"
    "it has and end.\n";

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
    check_config(read_config(line.config, line.operator_file));
    std::cout << "the configuration is good\n";
  } else if (line.command == "serve") {
    serve(line);
  } else {
    throw BadConfig("no such command: " + line.command + "; see 'thornwick help'");
  }
  return 0;
}

}  // namespace
}  // namespace sprucecourse

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until there is something to reload
  try {
    return sprucecourse::run(argc, argv);
  } catch (const std::exception& problem) {
    std::cerr << "thornwick: " << problem.what() << '\n';
    return 2;
  }
}

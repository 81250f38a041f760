#include "tools/serve.hpp"

#include <glib-unix.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <sstream>

#include "config/config.hpp"
#include "logging/log.hpp"
#include "node/config_validation.hpp"
#include "node/node.hpp"
#include "tools/main_loop.hpp"

namespace thornwick::tools {
namespace {

constexpr Time kSaveTimeout = seconds(2);  // of a graceful shutdown, for a slow disk
// Descriptors that net::descriptors() does not count: the standard streams, those of GLib, and files that are
// open for a short time.
constexpr std::size_t kUncountedDescriptors = 12;

// Raises the process's soft limit of descriptors to `wanted` if the hard limit allows it. Returns the number
// of descriptors that the process may hold, at most `wanted`.
std::size_t raise_descriptor_limit(std::size_t wanted) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return wanted;
  if (limit.rlim_cur < wanted) {
    limit.rlim_cur = std::min<rlim_t>(wanted, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  return std::min<std::size_t>(wanted, limit.rlim_cur);
}

// Sets the limit of the descriptors for connections and listeners.
void set_connection_limit(const config::Config& config) {
  const std::size_t limit = raise_descriptor_limit(config.limits.sockets);
  const std::size_t for_operators =
      config.listeners.operators.empty() ? 0 : net::AdminEndpoint::kMaxCallers + 1;
  net::descriptors().limit = limit - std::min(kUncountedDescriptors + for_operators, limit / 4);
}

// The router and its options, for the signal handlers.
struct RunningRouter {
  node::Node& node;
  const ServeOptions& options;
};

void shut_down(RunningRouter& running) {
  logging::info("process") << "shutting down: " << running.node.core().open_requests()
                           << " requests in flight";
  running.node.shut_down();
}

// If the new configuration has errors, the router goes on with the one in use.
void reload(RunningRouter& running) {
  try {
    const ServeOptions& options = running.options;
    running.node.reload(config::read_config(options.config, options.operator_file, config::Reading::again));
    logging::info("process") << "configuration reloaded";
  } catch (const std::exception& error) {
    logging::error("process") << "configuration rejected: " << error.what();
  }
}

void log_counters(RunningRouter& running) {
  std::ostringstream text;
  running.node.print_counters(text);
  logging::info("counters") << text.str();
  running.node.log_replicas([](const std::string& replica) { logging::info("affinity") << replica; });
}

template <void (*handler)(RunningRouter&)>
void on_signal(int signal, RunningRouter& running) {
  const auto call = [](gpointer data) -> gboolean {
    handler(*static_cast<RunningRouter*>(data));
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(signal, call, &running);
}

void log_start(const config::Config& config, const node::Node& node) {
  logging::info("process") << config.name << " serves on " << node.front(0).address() << ", "
                           << net::descriptors().limit << " descriptors, " << node.replica_count()
                           << " targets known";
}

}  // namespace

void serve(const ServeOptions& options) {
  const config::Config config = config::read_config(options.config, options.operator_file);
  set_connection_limit(config);
  auto handover_state = net::receive_handover(node::handover_path(config));
  node::Node node(config, handover_state ? std::move(*handover_state) : net::HandoverState{});
  const MainLoop loop = make_main_loop();
  node.on_shut_down([&loop] { g_main_loop_quit(loop.get()); });
  RunningRouter running{node, options};
  on_signal<shut_down>(SIGTERM, running);
  on_signal<shut_down>(SIGINT, running);
  on_signal<reload>(SIGHUP, running);
  on_signal<log_counters>(SIGUSR1, running);
  log_start(config, node);
  g_main_loop_run(loop.get());
  if (!node.save(kSaveTimeout))
    logging::warning("store") << "shutdown timed out before the last changes were written";
  log_counters(running);
}

}  // namespace thornwick::tools

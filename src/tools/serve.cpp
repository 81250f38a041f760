#include "tools/serve.hpp"

#include <glib-unix.h>
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <sstream>

#include "config/config.hpp"
#include "logging/log.hpp"
#include "net/memory_account.hpp"
#include "node/config_validation.hpp"
#include "node/node.hpp"
#include "tools/main_loop.hpp"

namespace thornwick::tools {
namespace {

constexpr Time kSaveTimeout =
    seconds(2);  // for saving state at a graceful shutdown, which a slow disk delays
// Descriptors that net::descriptors() does not count: the standard streams, descriptors of GLib, and files
// that are open for a short time.
constexpr std::size_t kUncountedDescriptors = 12;

constexpr std::size_t kMebibyte = 1024UL * 1024;
constexpr int kLargeAllocationBytes = 128 * 1024;

// Raises the process's soft limit of descriptors to `wanted` if the hard limit allows it. Returns the number
// of descriptors that the process may hold, at most `wanted`.
std::size_t raise_descriptor_limit(std::size_t target) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return target;
  if (limit.rlim_cur < target) {
    limit.rlim_cur = std::min<rlim_t>(target, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  return std::min<std::size_t>(target, limit.rlim_cur);
}

// Sets the limit of net::descriptors(), which connections and listeners count against.
void set_connection_limit(const config::Config& config) {
  const std::size_t limit = raise_descriptor_limit(config.limits.sockets);
  const std::size_t admin_descriptors =
      config.listeners.operators.empty() ? 0 : net::AdminEndpoint::kMaxCallers + 1;
  net::descriptors().limit = limit - std::min(kUncountedDescriptors + admin_descriptors, limit / 4);
}

// Lets the memory of large bodies return to the system with them, whatever is allocated after them. Without
// this, the C library raises its threshold with each large allocation that is freed.
void limit_memory(const config::Config& config) {
  mallopt(M_MMAP_THRESHOLD, kLargeAllocationBytes);
  mallopt(M_TRIM_THRESHOLD, kLargeAllocationBytes);
  net::memory_account().set_limit(net::memory_for_peers(config.limits.memory_mb * kMebibyte));
}

// The router and its options, as the signal handlers need them.
struct RunningRouter {
  node::Node& node;
  const ServeOptions& options;
};

void shut_down(RunningRouter& running_router) {
  logging::info("process") << "shutting down: " << running_router.node.core().open_requests()
                           << " requests in flight";
  running_router.node.shut_down();
}

// Reloads the configuration. If the new configuration has errors, the one in use stays in force.
void reload(RunningRouter& running_router) {
  try {
    const ServeOptions& options = running_router.options;
    running_router.node.reload(
        config::read_config(options.config, options.operator_file, config::ReadOccasion::reload));
    logging::info("process") << "configuration reloaded";
  } catch (const std::exception& error) {
    logging::error("process") << "configuration rejected: " << error.what();
  }
}

void log_counters(RunningRouter& running_router) {
  std::ostringstream text;
  running_router.node.print_counters(text);
  logging::info("counters") << text.str();
  running_router.node.log_replicas([](const std::string& replica) { logging::info("affinity") << replica; });
}

template <void (*handler)(RunningRouter&)>
void on_signal(int signal, RunningRouter& running_router) {
  const auto call = [](gpointer data) -> gboolean {
    handler(*static_cast<RunningRouter*>(data));
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(signal, call, &running_router);
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
  limit_memory(config);
  auto handover_state = net::receive_handover(node::handover_path(config));
  node::Node node(config, handover_state ? std::move(*handover_state) : net::HandoverState{});
  const MainLoop loop = make_main_loop();
  node.on_shut_down([&loop] { g_main_loop_quit(loop.get()); });
  RunningRouter running_router{node, options};
  on_signal<shut_down>(SIGTERM, running_router);
  on_signal<shut_down>(SIGINT, running_router);
  on_signal<reload>(SIGHUP, running_router);
  on_signal<log_counters>(SIGUSR1, running_router);
  log_start(config, node);
  g_main_loop_run(loop.get());
  if (!node.save(kSaveTimeout))
    logging::warning("store") << "shutdown timed out before the last changes were written";
  log_counters(running_router);
}

}  // namespace thornwick::tools

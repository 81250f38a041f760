#include "tools/main_loop.hpp"

#include <glib-unix.h>

#include <csignal>

namespace thornwick::tools {
namespace {

gboolean quit(gpointer loop) {
  g_main_loop_quit(static_cast<GMainLoop*>(loop));
  return G_SOURCE_CONTINUE;
}

}  // namespace

void quit_on_stop_signals(GMainLoop* loop) {
  g_unix_signal_add(SIGTERM, quit, loop);
  g_unix_signal_add(SIGINT, quit, loop);
}

}  // namespace thornwick::tools

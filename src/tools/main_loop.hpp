// Creates GLib's main loop for commands that run until they are complete or stopped by a signal.
#pragma once

#include <glib.h>

#include <memory>

namespace thornwick::tools {

struct UnrefMainLoop {
  void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};
using MainLoop = std::unique_ptr<GMainLoop, UnrefMainLoop>;

// Returns a main loop on GLib's default context. The loop does not run yet.
inline MainLoop make_main_loop() { return MainLoop(g_main_loop_new(nullptr, FALSE)); }

// Makes SIGTERM and SIGINT quit the loop. The loop must exist as long as these signals may arrive.
void quit_on_stop_signals(GMainLoop* loop);

}  // namespace thornwick::tools

// GLib's main loop, for commands that run until they are complete or stopped.
#pragma once

#include <glib.h>

#include <memory>

namespace thornwick::tools {

struct UnrefMainLoop {
  void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};
using MainLoop = std::unique_ptr<GMainLoop, UnrefMainLoop>;

// Returns a loop of GLib's default context that does not run yet.
inline MainLoop make_main_loop() { return MainLoop(g_main_loop_new(nullptr, FALSE)); }

// Ends the loop at SIGTERM and SIGINT. The loop has to exist as long as these signals may come.
void quit_on_stop_signals(GMainLoop* loop);

}  // namespace thornwick::tools

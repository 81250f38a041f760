// Includes all objects of the main loop for other modules: clock, timers, streams, listeners and addresses.
// Sources of this module include only the headers that they use. One thread runs the loop, and only that
// thread may use these objects.
#pragma once

// IWYU pragma: begin_exports
#include "net/address.hpp"
#include "net/clock.hpp"
#include "net/deferred_delete.hpp"
#include "net/descriptors.hpp"
#include "net/gobject_handle.hpp"
#include "net/io_watcher.hpp"
#include "net/listener.hpp"
#include "net/net_error.hpp"
#include "net/stream.hpp"
#include "net/timer.hpp"
// IWYU pragma: end_exports

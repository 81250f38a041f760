// Ownership of GLib's resources: references to GObjects, and GError.
#pragma once

#include <gio/gio.h>

#include <memory>
#include <string>

namespace thornwick::net {

struct ObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

// One reference to a GObject, which is released when the handle is destroyed.
template <typename T>
using Owned = std::unique_ptr<T, ObjectUnref>;

// Receives and owns the error of one GLib call. It is empty unless that call has failed.
class GLibError {
 public:
  GLibError() = default;
  GLibError(const GLibError&) = delete;
  GLibError& operator=(const GLibError&) = delete;
  ~GLibError() { g_clear_error(&error_); }

  // The location to which the call writes its error. Must not be used again after a call has failed.
  GError** out() { return &error_; }
  explicit operator bool() const { return error_ != nullptr; }
  bool matches(GIOErrorEnum code) const {
    return g_error_matches(error_, G_IO_ERROR, static_cast<gint>(code)) != FALSE;
  }
  // Whether the call must be repeated when the socket is ready.
  bool would_block() const { return matches(G_IO_ERROR_WOULD_BLOCK) || matches(G_IO_ERROR_PENDING); }
  // The text of the error, or `default_text` if there is no error.
  std::string message(const char* default_text = "") const {
    return error_ == nullptr ? default_text : error_->message;
  }

 private:
  GError* error_ = nullptr;
};

}  // namespace thornwick::net

#include "net/deferred_delete.hpp"

#include <glib.h>

#include <utility>

namespace thornwick::net {
namespace {

gboolean delete_object(gpointer object) {
  delete static_cast<DeferredDeletable*>(object);
  return G_SOURCE_REMOVE;
}

}  // namespace

void deferred_delete(std::unique_ptr<DeferredDeletable> object) {
  g_idle_add_full(G_PRIORITY_HIGH, delete_object, object.release(), nullptr);
}

}  // namespace thornwick::net

// Destruction of an object after the callbacks that are running now have returned.
#pragma once

#include <memory>

namespace thornwick::net {

// Base of objects whose owner may give them up while one of the object's own callbacks runs.
struct DeferredDeletable {
  virtual ~DeferredDeletable() = default;
};

// Destroys `object` in the next round of the main loop, before other work of that round.
void deferred_delete(std::unique_ptr<DeferredDeletable> object);

}  // namespace thornwick::net

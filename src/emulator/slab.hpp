// A container that reuses its slots and addresses objects by handles.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

namespace thornwick::emulator {

// Identifies one object of a Slab: the low 32 bits are the index of the object's slot, the high 32 bits the
// slot's generation. A handle is never 0, and never identifies another object after its own was erased.
using Handle = std::uint64_t;

// Owns objects of one type. Addresses of objects stay valid until they are erased.
template <typename T>
class Slab {
 public:
  // Adds a value-initialized object.
  [[nodiscard]] Handle create() {
    const std::uint32_t index = take_free_slot();
    Slot& slot = slots_[index];
    slot.value = T{};
    slot.used = true;
    return handle_of(index, slot);
  }

  // Returns the object, or null if the object was erased.
  T* find(Handle handle) {
    const auto index = static_cast<std::uint32_t>(handle);
    if (index >= slots_.size()) return nullptr;
    Slot& slot = slots_[index];
    return slot.used && slot.generation == handle >> 32 ? &slot.value : nullptr;
  }

  // Erases an object. Has no effect if the object was already erased.
  void erase(Handle handle) {
    if (find(handle) == nullptr) return;
    const auto index = static_cast<std::uint32_t>(handle);
    slots_[index].used = false;
    ++slots_[index].generation;
    free_.push_back(index);
  }

  // Returns the number of objects.
  std::size_t size() const { return slots_.size() - free_.size(); }

  // Calls visit(handle, object) for every object, in the order of the slots. `visit` must not create or
  // erase.
  template <typename Visit>
  void for_each(Visit visit) {
    for (std::uint32_t index = 0; index < slots_.size(); ++index) {
      if (slots_[index].used) visit(handle_of(index, slots_[index]), slots_[index].value);
    }
  }

 private:
  struct Slot {
    T value{};
    std::uint32_t generation = 1;
    bool used = false;
  };

  static Handle handle_of(std::uint32_t index, const Slot& slot) {
    return std::uint64_t{slot.generation} << 32 | index;
  }

  std::uint32_t take_free_slot() {
    if (free_.empty()) {
      slots_.emplace_back();
      return static_cast<std::uint32_t>(slots_.size() - 1);
    }
    const std::uint32_t index = free_.back();
    free_.pop_back();
    return index;
  }

  std::deque<Slot> slots_;  // a deque, because addresses of its elements stay valid when it grows
  std::vector<std::uint32_t> free_;
};

}  // namespace thornwick::emulator

// A table of values in numbered slots. A handle combines the index of a slot with the generation of its
// value, so that a handle of an erased value finds nothing, even after the slot has been reused.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace cluster_manager {

using Handle = std::uint64_t;  // 0: no value

// Owns its values. Freed slots are reused.
template <typename T>
class SlotTable {
 public:
  Handle Insert(T value) {
    std::uint32_t index = 0;
    if (free_.empty()) {
      index = static_cast<std::uint32_t>(slots_.size());
      slots_.emplace_back();
    } else {
      index = free_.back();
      free_.pop_back();
    }
    Slot& slot = slots_[index];
    slot.value.emplace(std::move(value));
    ++size_;
    return Pack(index, slot.generation);
  }
  // Returns null if the value was erased. The pointer is valid until the next Insert or Erase.
  T* Get(Handle handle) {
    const std::uint32_t index = static_cast<std::uint32_t>(handle);
    if (handle == 0 || index >= slots_.size()) return nullptr;
    Slot& slot = slots_[index];
    return slot.value && Pack(index, slot.generation) == handle ? &*slot.value : nullptr;
  }
  const T* Get(Handle handle) const { return const_cast<SlotTable*>(this)->Get(handle); }
  // Returns false if the handle has no value.
  bool Erase(Handle handle) {
    if (Get(handle) == nullptr) return false;
    const std::uint32_t index = static_cast<std::uint32_t>(handle);
    slots_[index].value.reset();
    ++slots_[index].generation;
    free_.push_back(index);
    --size_;
    return true;
  }
  std::size_t size() const { return size_; }
  // Calls visit(handle, value) for each value. `visit` must not insert or erase.
  template <typename Visit>
  void ForEach(Visit visit) {
    for (std::uint32_t i = 0; i < slots_.size(); ++i) {
      if (slots_[i].value) visit(Pack(i, slots_[i].generation), *slots_[i].value);
    }
  }

 private:
  struct Slot {
    std::optional<T> value;
    std::uint32_t generation = 1;
  };
  static Handle Pack(std::uint32_t index, std::uint32_t generation) {
    return Handle{generation} << 32 | index;
  }

  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
  std::size_t size_ = 0;
};

}  // namespace cluster_manager

// Tables that the rooms above share: numbered slots found by a key, and objects that stay where they are,
// found by key, ordered by key, and numbered for an index.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "containers/hash.h"
#include "containers/slot_table.h"

namespace cluster_manager {

// Values in numbered slots, each under a number that its owner chose. A pointer is good until the next
// Insert.
template <typename Key, typename T>
class KeyedTable {
 public:
  T* Find(Key key) {
    const auto it = handles_.find(key);
    return it == handles_.end() ? nullptr : slots_.Get(it->second);
  }
  // What stood under the key before is gone.
  T* Insert(Key key, T value) {
    Erase(key);
    const Handle handle = slots_.Insert(std::move(value));
    handles_[key] = handle;
    return slots_.Get(handle);
  }
  void Erase(Key key) {
    const auto it = handles_.find(key);
    if (it == handles_.end()) return;
    slots_.Erase(it->second);
    handles_.erase(it);
  }
  template <typename Visit>  // visit(value), in no order to rely on
  void ForEach(Visit visit) {
    slots_.ForEach([&](Handle, T& value) { visit(value); });
  }
  std::size_t size() const { return slots_.size(); }
  void Shrink() { ShrinkIfSparse(&handles_); }

 private:
  SlotTable<T> slots_;
  NumberMap<Key, Handle> handles_;
};

// Objects that stay where they are until they are erased. `slot` numbers are small and used again.
template <typename Key, typename T>
class OrderedTable {
 public:
  struct Member : T {
    Key key{};
    std::uint32_t slot = 0;
  };

  Member* Find(Key key) const {
    const auto it = by_key_.find(key);
    return it == by_key_.end() ? nullptr : it->second.get();
  }
  Member* FindOrInsert(Key key) {
    if (Member* known = Find(key)) return known;
    Member* m = (by_key_[key] = std::make_unique<Member>()).get();
    m->key = key;
    if (free_.empty()) {
      m->slot = static_cast<std::uint32_t>(by_slot_.size());
      by_slot_.push_back(m);
    } else {
      m->slot = free_.back();
      free_.pop_back();
      by_slot_[m->slot] = m;
    }
    ordered_.insert(std::ranges::upper_bound(ordered_, key, {}, [](const Member* o) { return o->key; }), m);
    return m;
  }
  template <typename Which>  // which(member): true where it is to go
  void EraseIf(Which which) {
    std::erase_if(ordered_, [&](Member* m) {
      if (!which(m)) return false;
      by_slot_[m->slot] = nullptr;
      free_.push_back(m->slot);
      by_key_.erase(m->key);
      return true;
    });
    ShrinkIfSparse(&by_key_);
  }
  Member* at_slot(std::uint32_t slot) const { return by_slot_[slot]; }
  const std::vector<Member*>& ordered() const { return ordered_; }  // by key
  std::size_t size() const { return ordered_.size(); }

 private:
  NumberMap<Key, std::unique_ptr<Member>> by_key_;
  std::vector<Member*> ordered_, by_slot_;
  std::vector<std::uint32_t> free_;
};

}  // namespace cluster_manager

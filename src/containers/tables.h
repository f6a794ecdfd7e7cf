// Keyed tables: one with values in numbered slots, and one whose objects have stable addresses, a sorted
// order and a small slot number for use in an index.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "containers/hash.h"
#include "containers/slot_table.h"

namespace cluster_manager {

// Values in numbered slots, found by keys that the caller chooses. Pointers are valid until the next Insert
// or Erase.
template <typename Key, typename T>
class KeyedTable {
 public:
  // Returns null if there is no such key.
  T* Find(Key key) {
    const auto it = handles_.find(key);
    return it == handles_.end() ? nullptr : slots_.Get(it->second);
  }
  // Replaces the previous value of the key.
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
  template <typename Visit>  // visit(value), in unspecified order
  void ForEach(Visit visit) {
    slots_.ForEach([&](Handle, T& value) { visit(value); });
  }
  std::size_t size() const { return slots_.size(); }
  // Releases excess memory, see ShrinkIfSparse.
  void Shrink() { ShrinkIfSparse(&handles_); }

 private:
  SlotTable<T> slots_;
  NumberMap<Key, Handle> handles_;
};

// Objects with stable addresses until they are erased. `slot` numbers are dense and reused.
template <typename Key, typename T>
class OrderedTable {
 public:
  struct Member : T {
    Key key{};
    std::uint32_t slot = 0;
  };

  // Returns null if there is no such key.
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
  template <typename Predicate>  // predicate(member): true if it is to be erased
  void EraseIf(Predicate predicate) {
    std::erase_if(ordered_, [&](Member* m) {
      if (!predicate(m)) return false;
      by_slot_[m->slot] = nullptr;
      free_.push_back(m->slot);
      by_key_.erase(m->key);
      return true;
    });
    ShrinkIfSparse(&by_key_);
  }
  Member* at_slot(std::uint32_t slot) const { return by_slot_[slot]; }
  const std::vector<Member*>& ordered() const { return ordered_; }  // sorted by key
  std::size_t size() const { return ordered_.size(); }

 private:
  NumberMap<Key, std::unique_ptr<Member>> by_key_;
  std::vector<Member*> ordered_, by_slot_;
  std::vector<std::uint32_t> free_;
};

}  // namespace cluster_manager

// A callable without heap allocation, so that scheduling a deadline allocates nothing.
#pragma once

#include <cstddef>
#include <cstring>
#include <new>
#include <type_traits>

namespace cluster_manager {

// Stores its captures inline: trivially copyable and destructible values of at most 32 bytes in total.
class Callback {
 public:
  Callback() = default;
  template <typename F>
  requires(!std::is_same_v<std::decay_t<F>, Callback>) Callback(F callable)
      : call_([](void* memory) { (*std::launder(static_cast<F*>(memory)))(); }) {  // NOLINT
    static_assert(sizeof(F) <= kCapacity && alignof(F) <= alignof(std::max_align_t));
    static_assert(std::is_trivially_copyable_v<F> && std::is_trivially_destructible_v<F>);
    new (memory_) F(callable);
  }
  void operator()() { call_(memory_); }
  explicit operator bool() const { return call_ != nullptr; }

 private:
  static constexpr std::size_t kCapacity = 32;
  void (*call_)(void* memory) = nullptr;
  alignas(std::max_align_t) unsigned char memory_[kCapacity]{};
};

}  // namespace cluster_manager

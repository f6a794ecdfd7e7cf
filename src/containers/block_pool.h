// Reference-counted byte blocks from a pool. A task description is copied once into a block, which its
// request and every write queue that holds it then share. Released blocks are kept for reuse up to a bound.
// Not thread-safe: a pool and its blocks belong to one thread.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace cluster_manager {

// Allocates blocks and keeps released ones in one free list per size class. Must outlive its blocks.
class BlockPool {
  struct Block;

 public:
  // Bound on the total capacity of released blocks that are kept for reuse.
  static constexpr std::size_t kMaxIdleBytes = std::size_t{256} * 1024;

  // A counted reference to a block. The block returns to its pool with the last reference.
  class Ref {
   public:
    Ref() = default;
    Ref(const Ref& o) : block_(o.block_) {
      if (block_ != nullptr) ++block_->refs;
    }
    Ref(Ref&& o) noexcept : block_(std::exchange(o.block_, nullptr)) {}
    Ref& operator=(Ref o) noexcept {
      std::swap(block_, o.block_);
      return *this;
    }
    ~Ref() {
      if (block_ != nullptr && --block_->refs == 0) block_->pool->Release(block_);
    }

    // The bytes appended so far. An empty reference has none.
    char* data() const { return block_ == nullptr ? nullptr : block_->bytes(); }
    std::size_t size() const { return block_ == nullptr ? 0 : block_->used; }
    std::string_view view() const { return {data(), size()}; }
    // Bytes beyond the block's capacity are dropped. The reference must not be empty.
    void Append(std::string_view bytes);

   private:
    friend class BlockPool;
    explicit Ref(Block* block) : block_(block) {}
    Block* block_ = nullptr;
  };

  BlockPool() = default;
  ~BlockPool();
  BlockPool(const BlockPool&) = delete;
  BlockPool& operator=(const BlockPool&) = delete;

  // Returns an empty block with a capacity of at least `size` bytes.
  Ref Allocate(std::size_t size);
  std::size_t live() const { return live_; }  // number of referenced blocks
  std::size_t idle_bytes() const { return idle_bytes_; }

 private:
  static constexpr std::array<std::uint32_t, 4> kSizes{256, 1024, 4096, 17 * 1024};

  struct Block {
    BlockPool* pool;
    Block* next;  // in the free list of its size class
    std::uint32_t refs, capacity, used, size_class;
    char* bytes() { return reinterpret_cast<char*>(this + 1); }
  };

  void Release(Block* block);

  std::array<Block*, kSizes.size()> idle_{};
  std::size_t live_ = 0, idle_bytes_ = 0;
};

// The pool of the process. It is destroyed after every connection and request.
BlockPool& SharedBlockPool();

}  // namespace cluster_manager

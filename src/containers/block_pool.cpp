#include "containers/block_pool.h"

#include <algorithm>
#include <cstring>
#include <new>

namespace cluster_manager {

BlockPool::~BlockPool() {
  for (Block* block : idle_) {
    while (block != nullptr) ::operator delete(std::exchange(block, block->next));
  }
}

BlockPool::Ref BlockPool::Allocate(std::size_t size) {
  std::uint32_t size_class = 0;
  while (size_class < kSizes.size() && kSizes[size_class] < size)
    ++size_class;  // kSizes.size(): larger than all size classes
  ++live_;
  if (size_class < kSizes.size() && idle_[size_class] != nullptr) {
    Block* block = idle_[size_class];
    idle_[size_class] = block->next;
    idle_bytes_ -= block->capacity;
    block->refs = 1;
    block->used = 0;
    return Ref(block);
  }
  const std::uint32_t capacity =
      size_class < kSizes.size() ? kSizes[size_class] : static_cast<std::uint32_t>(size);
  void* memory = ::operator new(sizeof(Block) + capacity);
  return Ref(new (memory) Block{this, nullptr, 1, capacity, 0, size_class});
}

void BlockPool::Release(Block* block) {
  --live_;
  if (block->size_class == kSizes.size() || idle_bytes_ + block->capacity > kMaxIdleBytes) {
    ::operator delete(block);
    return;
  }
  block->next = std::exchange(idle_[block->size_class], block);
  idle_bytes_ += block->capacity;
}

void BlockPool::Ref::Append(std::string_view bytes) {
  const std::size_t fitting = std::min<std::size_t>(bytes.size(), block_->capacity - block_->used);
  std::memcpy(block_->bytes() + block_->used, bytes.data(), fitting);
  block_->used += static_cast<std::uint32_t>(fitting);
}

BlockPool& SharedBlockPool() {
  static BlockPool pool;
  return pool;
}

}  // namespace cluster_manager

// Hash tables keyed by numbers that others choose (ids of tasks, of nodes). The numbers are mixed with a seed
// of the process, so that nobody can aim them at one bucket. The tables are tsl::robin_map: entries lie in
// the bucket array itself, so that a table that has grown to its load allocates nothing more.
#pragma once

#include <tsl/robin_map.h>
#include <tsl/robin_set.h>

#include <cstddef>
#include <cstdint>

#define XXH_INLINE_ALL  // eight bytes are hashed in place, not by a call
#include <xxhash.h>

namespace cluster_manager {

inline std::uint64_t hash_seed = 0;  // set once, before any table is filled

struct NumberHash {
  std::size_t operator()(std::uint64_t number) const {
    return XXH3_64bits_withSeed(&number, sizeof number, hash_seed);
  }
};

// A number in (0, 1) that everybody draws alike for a pair of numbers.
inline double HashToUnitInterval(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a * 0x9E3779B97F4A7C15U + b;
  for (int i = 0; i < 2; ++i) {
    x = (x ^ (x >> 31)) * 0xBF58476D1CE4E5B9U;
    x = (x ^ (x >> 29)) * 0x94D049BB133111EBU;
  }
  return (static_cast<double>(x >> 12) + 0.5) / 4503599627370496.0;
}

// References and iterators are good until the next insertion or erasure. The order of iteration is nobody's
// to rely on: no decision may hang on it.
template <typename Key, typename Value>
using NumberMap = tsl::robin_map<Key, Value, NumberHash>;
template <typename Key>
using NumberSet = tsl::robin_set<Key, NumberHash>;

// Gives back the memory of a table that was once much fuller. To be called now and then, not per request.
template <typename Table>
void ShrinkIfSparse(Table* table) {
  constexpr std::size_t kSmall = 64;
  constexpr std::size_t kSpare = 8;
  if (table->bucket_count() > kSmall && table->size() * kSpare < table->bucket_count()) table->rehash(0);
}

}  // namespace cluster_manager

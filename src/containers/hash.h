// Hash tables keyed by integers chosen by other processes, such as task and node ids. Keys are hashed with a
// seed of the process, so that a remote party cannot choose keys that collide. The tables are tsl::robin_map,
// which stores entries in the bucket array: a table that has reached its working size allocates nothing more.
#pragma once

#include <tsl/robin_map.h>
#include <tsl/robin_set.h>

#include <cstddef>
#include <cstdint>

#define XXH_INLINE_ALL  // hashes eight bytes inline, without a call
#include <xxhash.h>

namespace cluster_manager {

inline std::uint64_t hash_seed = 0;  // must be set once, before any table has entries

// Hash of an integer key with the seed of the process.
struct NumberHash {
  std::size_t operator()(std::uint64_t number) const {
    return XXH3_64bits_withSeed(&number, sizeof number, hash_seed);
  }
};

// Maps a pair of integers to a pseudo-random number in (0, 1). Independent of hash_seed, so that all
// processes get the same number for a pair.
inline double HashToUnitInterval(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a * 0x9E3779B97F4A7C15U + b;
  for (int i = 0; i < 2; ++i) {
    x = (x ^ (x >> 31)) * 0xBF58476D1CE4E5B9U;
    x = (x ^ (x >> 29)) * 0x94D049BB133111EBU;
  }
  return (static_cast<double>(x >> 12) + 0.5) / 4503599627370496.0;
}

// References and iterators are valid until the next insertion or erasure. The order of iteration is
// unspecified: no decision may depend on it.
template <typename Key, typename Value>
using NumberMap = tsl::robin_map<Key, Value, NumberHash>;
template <typename Key>
using NumberSet = tsl::robin_set<Key, NumberHash>;

// Releases the excess memory of a table that was much larger before. Rehashes the table: meant for periodic
// calls, not for each request.
template <typename Table>
void ShrinkIfSparse(Table* table) {
  constexpr std::size_t kMinBuckets = 64;
  constexpr std::size_t kMaxBucketsPerEntry = 8;
  if (table->bucket_count() > kMinBuckets && table->size() * kMaxBucketsPerEntry < table->bucket_count())
    table->rehash(0);
}

}  // namespace cluster_manager

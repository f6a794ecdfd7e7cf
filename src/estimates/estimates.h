// How long tasks run, learned from those that ran. Values in, values out: no clock, thread or chance.
//
// It owns: by key a sketch of run times (structures/log_buckets.h), the tasks of this member that stand, and
// what other members told of their own sketches. Who calls: whoever sees tasks start and end; spending and
// backfill ask; the members' talk carries `Said` values. What empties its tables: least used keys are
// forgotten when there are too many, observations fade by half each `half_life`, a member's older
// incarnations go when there are two newer ones.
//
// Keys, from fine to coarse: (tenant, service, class, size), (tenant, service, class), (tenant, class),
// (class). Each observation counts in all four. A key's curve leans on the next coarser one as if `lean`
// observations had followed it, the coarsest on a fixed flat prior (survival.h), so that few samples give
// wide answers. Size is the logarithm to base two of cores, rounded.
//
// Censored: a task that was cut, evicted, moved or lost has run for at least so long, and no more is known.
// A task that still stands is the same, until it ends: its count moves on as it ages, by every fourth bucket
// from 1 s on, and is never ahead of its age.
//
// The owner's own word (a task's `lasts`) is a source of its own: sketches by the same keys hold run time
// over word, whose width is the word's error. Where a task has a word, the answer is the mixture of both
// curves, the word's share w = a^4 / (a^4 + b^4), a and b being the widths (in buckets, from 0.1 to 0.9) of
// the run times' curve and of the word's. A word that says nothing has a wider ratio than the run times
// themselves.
//
// Sharing. A cell is what one incarnation of one member knows of one key, whole, with a version of that
// member. Of two words of a cell the one with the higher version stays: the greatest of a total order, so
// doubled, late and reordered words do nothing, a lost one is made good by the next, and members who have
// heard the same hold the same. Nothing of different origins is ever added up where it is stored, but only
// when asked, in integers: so fading (weights shifted right, by the epoch of the cell) and merging commute
// exactly. A restarted member begins a new incarnation; the one before it stays and fades, and what it said
// of standing tasks no longer counts.
//
// A member that lies or is odd: what it says of a key weighs at most as much as half of what all others say
// of it, or `alone` observations where that is more; so with honest others it has at most a third, and where
// it speaks alone the coarser key still has its say. Buckets that do not exist, weights over the bound,
// epochs of the future and too many cells are cut and counted. A word is of the member that the transport
// says it is from; the caller compares.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <queue>
#include <set>
#include <vector>

#include "containers/hash.h"
#include "estimates/survival.h"
#include "scheduling/scheduler.h"

namespace cluster_manager::estimates {

using scheduling::Task;

struct Terms {
  Time half_life = Time{2} * 3600 * 1'000'000'000;  // observations weigh half after it; an epoch's length
  double lean = 4;                                  // observations that the next coarser curve counts as
  double alone = 8;                                 // observations one other member may have by itself
  std::size_t most_keys = 4096;                     // of this member, all levels together
  std::size_t most_standing = 65536;                // tasks followed
  std::size_t most_members = 128;                   // heard of
  std::size_t most_cells = 4096;                    // of each incarnation of another member
  Time stale = 5'000'000'000;                       // a curve is used for so long while coarser keys change
};

enum class End { kDone, kCut };  // kCut: evicted, moved, lost, taken down: it would have run longer

struct Key {
  enum Level : std::uint8_t { kSized, kService, kTenant, kClass, kLevels };
  Level level = kClass;
  bool word = false;  // of run time over the owner's word
  std::int32_t class_index = 0, tenant = 0, size = 0;
  std::uint64_t service = 0;
  auto operator<=>(const Key&) const = default;
};
Key KeyOf(const Task& task, Key::Level level, bool word);

// What one member says of its own cells.
struct Said {
  struct Cell {
    Key key;
    std::uint64_t version = 0;
    std::int64_t epoch = 0;
    std::vector<BucketCounts::Entry> counts;
    bool operator==(const Cell&) const = default;
  };
  std::uint32_t member = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t after = 0, up_to = 0;  // all its cells with versions in (after, up_to]
  std::vector<Cell> cells;
};

struct Bounds {  // each time one was met
  std::uint64_t keys_forgotten = 0, keys_refused = 0, standing_refused = 0, values_clamped = 0,
                weights_cut = 0, cells_forgotten = 0, cells_refused = 0, members_refused = 0,
                capped = 0;  // answers in which a member's weight was cut
};

class Estimates {
 public:
  Estimates(Terms terms, std::uint32_t member, std::uint64_t incarnation);
  Estimates(Estimates&&) = default;  // it points into itself: no copies
  Estimates& operator=(Estimates&&) = default;

  // --- What is seen ---
  // It stands since `since`, which may be long ago (a task that was found). Again for the same id: the first
  // counts until it is over.
  void Started(const Task& task, Time since, Time now);
  void Ended(scheduling::RequestId id, End how, Time now);   // unknown ids are passed over
  void Note(const Task& task, Time ran, End how, Time now);  // of a task that was not followed

  // --- What is asked; of the task its class, tenant, service, cores and word are read ---
  // By when the share `quantile` of such tasks is over. Off by at most LogBuckets::kRelativeError of what the
  // weighted observations say.
  Time Quantile(const Task& task, double quantile, Time now);
  // Of those that have run for `ran_for`: what they still run.
  double RemainingSeconds(const Task& task, Time ran_for, double quantile, Time now);
  // The share that lives longer than `span` of those that have run for `ran_for`.
  double Outlives(const Task& task, Time ran_for, Time span, Time now);
  // Observations by which the key of this level is known, faded, other members' included.
  double Weight(const Task& task, Key::Level level, Time now);

  // --- What members tell each other ---
  // Own cells changed after version `after`, the longest unchanged first, at most `most` cells.
  Said Delta(std::uint64_t after, std::size_t most, Time now);
  void Merge(const Said& said);
  // Up to which version all cells of that member have been heard, of its latest incarnation: to be said back
  // to it, as `after`.
  std::uint64_t Heard(std::uint32_t member, std::uint64_t* incarnation) const;
  // Everything heard, in order: two members that heard the same have the same here.
  std::vector<Said> Holds() const;

  const Bounds& bounds() const { return bounds_; }
  std::size_t keys() const { return own_.size(); }
  std::size_t standing() const { return standing_.size(); }
  std::size_t Bytes() const;

 private:
  struct Own {
    BucketCounts counts;
    std::int64_t epoch = 0;
    std::uint64_t version = 0, used = 0;
    std::uint32_t stand = 0;
    Time made = -1;  // the curve; -1: not yet
    std::uint64_t made_of = 0;
    Curve curve;
  };
  enum Track { kRun, kWord, kTracks };  // run time, and run time over the word
  struct Standing {
    Task task;
    Time since = 0;
    std::uint32_t turn = 0;
    std::array<int, kTracks> bucket{};
    // Where it is counted; null where there was no room. A key under which something stands stays where it
    // is.
    std::array<std::array<Own*, Key::kLevels>, kTracks> counted{};
  };
  struct Step {  // a standing task comes into its next bucket
    Time at;
    scheduling::RequestId id;
    std::uint32_t turn;
    Track track;
    auto operator<=>(const Step&) const = default;
  };
  struct Cell {
    std::uint64_t version = 0;
    std::int64_t epoch = 0;
    BucketCounts counts;
  };
  struct Incarnation {
    std::uint64_t heard = 0;
    std::map<Key, Cell> cells;
    std::set<std::pair<std::uint64_t, Key>> by_version;
  };

  std::int64_t EpochOf(Time now) const { return now / terms_.half_life; }
  Own* Touch(const Key& key, Time now);  // null where the table is full of keys that stand
  bool Forget();
  void Count(const Task& task, Time ran, End how, Time now);
  void Advance(Time now);
  void Show(scheduling::RequestId id, Standing* standing, Track track, int bucket, Time now);
  const Curve& CurveOf(const Task& task, int level, bool word, bool exact, Time now);
  Tally Sum(const Key& key, Time now);
  struct Mixed {  // the curve of run times and, with this share, the one of the word
    const Curve* run = nullptr;
    const Curve* word = nullptr;
    double share = 0, scale = 1;
    double After(double span) const;
  };
  Mixed Read(const Task& task, Time now);

  Terms terms_;
  std::uint32_t member_;
  std::uint64_t incarnation_;
  std::uint64_t version_ = 0;
  std::map<Key, Own> own_;
  NumberMap<scheduling::RequestId, Standing> standing_;
  std::priority_queue<Step, std::vector<Step>, std::greater<>> steps_;
  std::map<std::uint32_t, std::map<std::uint64_t, Incarnation>> others_;
  std::uint32_t turn_ = 0;
  std::uint64_t uses_ = 0;
  Bounds bounds_;
  std::array<Curve, kTracks> prior_, unkept_;
};

}  // namespace cluster_manager::estimates

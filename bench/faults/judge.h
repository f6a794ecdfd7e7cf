// Judges a trial by what the stand-ins saw. Records in, verdict out: no I/O, no clock, and never the
// program's own word. A record is one JSON object: `t` (Unix nanoseconds), `who`, `what`, and what belongs to
// it:
//
//   o1     ask (id name class m wait_ms try), served (id figure: uid), refused (id figure: stay-away in ms),
//          failed (id), gave_up (id), broken (id), crossed (id: its
//          connection was closed in order before an answer), over (id figure), over_again (id), answer_again
//          (id), hand (id m uid): a client
//   n3     boot (uid), died (uid), arrive (id uid class name), refuse (id), answer (id),
//          end (id why: over, cut, given_up, error, died): a node
//   m0>n3  offered (id link), released (id link), closed (link): as written by the cluster manager
//   list   told (uid state)
//   rig    fault (on, kind), healed (on, kind): `on` is a process ("m1", "list") or a pair ("o1>m0");
//          end (the trial's); place (on zone cell): `on` is the uid of a node; group (on domain): the nodes
//          that discard repeats of class `on`, all, zone or cell
//
// Sources of the rules: the platform's protocol, "The rules on sockets", with its 50 ms of slack, and `slack`
// for a machine that is busy.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cluster_manager::faults {

// What the rules allow. Times are nanoseconds.
struct Terms {
  std::int64_t slack = 0;  // on top of the protocol's
  int most_tries = 3;
  int cold_sends = 24;  // on one cold node within `fall`, by all cluster managers together
  std::int64_t cold = 15'000'000'000;
  std::int64_t fall = 1'500'000'000;
  std::int64_t key_window = 6'000'000'000;
  std::int64_t drain_grace = 500'000'000;
  std::int64_t told_within = 1'000'000'000;  // an end on a node that lives
  std::int64_t lost_within = 8'000'000'000;  // an end with its node
  std::int64_t late = 500'000'000;           // an answer after the wait that was asked for
  std::int64_t crossing = 50'000'000;        // a set-up may cross the close of its connection
};

struct Breach {
  std::string rule;
  std::string about;                    // one line for people
  std::vector<nlohmann::json> witness;  // the records that broke it, in order
};

// Outcomes of the tasks of one class.
struct Tally {
  int asked = 0;
  int served = 0;
  int refused = 0;
  int failed = 0;
  int lost = 0;
  int excused = 0;
};

struct Verdict {
  std::vector<Breach> breaches;
  std::map<std::string, Tally> classes;
  // By class and second of the trial, by when it was asked.
  std::map<std::string, std::vector<Tally>> seconds;
  int handed_over = 0;
  int attempts = 0;
  int told = 0;
  std::map<std::string, int> attempts_on;  // by node
};

// Records in any order. Throws std::invalid_argument, naming the record, where one lacks what its kind has.
Verdict Judge(std::vector<nlohmann::json> records, const Terms& terms);

}  // namespace cluster_manager::faults

// Records what the decision module does with a stream of events: `record_stream calm|crowded|churning SEED`.
// A fleet, owners and a node list of our own answer the module's actions, in virtual time; what passes on the
// simulator's wire goes to standard output, each line marked > (to the module) or < (from it). The streams
// under tests/streams/ were recorded so, and tests/stream_test.cpp replays them against the module of today.
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "wire/host.h"

namespace {

using passbridge::Time;
constexpr Time kMs = 1'000'000, kSecond = 1000 * kMs;

struct Shape {  // of a day
  const char* name;
  int nodes;
  double per_second;  // first asks
  double length_s;
  double hang;    // share of attempts that are never answered
  Time churn;     // a node is replaced this often, 0: never
  double others;  // share of each node's room that other managers' tasks take
};

struct Node {
  int cell = 0, zone = 0, state = 2;
  Time came_up = 0;
  double cores = 0, memory = 0;  // asked by tasks there
  double other_cores = 0, other_memory = 0;
  bool dead = false;
};

struct Ask {
  int node = -1, attempt = -1, attempts = 0, class_index = 0;
  double cores = 0, memory = 0;
  bool out = false, placed = false, over = false;
  Time sent = 0;
};

class Day {
 public:
  Day(const Shape& shape, std::uint64_t seed) : shape_(shape), random_(seed), host_(reply_) {
    for (int i = 0; i < shape.nodes; ++i) AddNode(0);
  }

  void Play() {
    std::ostringstream begin;
    begin
        << "begin\t1\t77\tServices.count=3\tServices.0.Deadline=6000000000\tServices.0.Effect=pure"
           "\tServices.0.Worth=1\tServices.1.Deadline=8000000000\tServices.1.Effect=token"
           "\tServices.1.Group=all\tServices.1.KeyTtl=6000000000\tServices.1.Worth=5"
           "\tServices.2.Deadline=10000000000\tServices.2.Effect=side_effect\tServices.2.Worth=5"
           "\tTenants.count=2\tTenants.0.Name=one\tTenants.1.Name=two\tFamilyInfo.TenantQuotaCores=160,150"
           "\tFamilyInfo.CoresByKind=40\tFamilyInfo.MemoryByKind=64\tFamilyInfo.CoresMultiple=2.5"
           "\tFamilyInfo.AdmitMemory=1.5\tFamilyInfo.View=true\tFamilyInfo.YesAt=running"
           "\tFamilyInfo.MeanCores=1.1\tFamilyInfo.MeanMemory=1.9\tFamilyInfo.ApartBy=none,cell,zone"
           "\tFamilyInfo.ClassMost=1,3,4\tFamilyInfo.ClassCalm=1.0,0.8,0.8"
           "\tFamilyInfo.FadesOver=1.0,0.15,0.2\tFamilyInfo.NeedsKind=-1,-1,-1\tFamilyInfo.ColdSends=24"
           "\tFamilyInfo.MeasuredBy=used\tAllowed.Probing=true\tAllowed.MostTries=3\tAllowed.RetryAfter=true"
           "\tAllowed.MaxRetryAfter=3000000000\tDiscovery=subscribe\tGroupSize=3\tOrdinal=1\tPeriod=2000000"
           "\tRules.AskWithin=10000000000\tRules.Cold=15000000000\tRules.ColdFrom=0.2\tRules.Fall=1500000000"
           "\tOverShareWorth=0.2\n";
    Frame(begin.str() + List(2));
    At(now_ + 5 * kMs, [this] { Arrival(); });
    At(now_ + 700 * kMs, [this] { Update(); });
    if (shape_.churn > 0) At(now_ + shape_.churn, [this] { Churn(); });
    while (!agenda_.empty()) {
      const Item item = agenda_.top();
      agenda_.pop();
      if (item.at > now_) Frame("");
      if (item.at > kStart + static_cast<Time>(shape_.length_s * kSecond)) break;
      now_ = std::max(now_, item.at);
      item.what();
    }
  }

 private:
  struct Item {
    Time at;
    std::uint64_t number;
    std::function<void()> what;
    bool operator<(const Item& o) const { return std::tie(at, number) > std::tie(o.at, o.number); }
  };
  static constexpr Time kStart = 100 * kSecond;

  void At(Time at, std::function<void()> what) { agenda_.push({at, ++number_, std::move(what)}); }
  double Draw() { return static_cast<double>(random_() >> 8) / 16777216.0; }
  std::uint32_t Below(std::uint32_t n) { return random_(n); }
  Time Between(Time low, Time high) {
    return low + static_cast<Time>(Draw() * static_cast<double>(high - low));
  }

  void AddNode(Time came_up) {
    Node n;
    n.cell = static_cast<int>(nodes_.size() % 5);
    n.zone = static_cast<int>(nodes_.size() % 3);
    n.came_up = came_up;
    n.other_cores = came_up > 0 ? 0 : shape_.others * 100 * (0.6 + 0.8 * Draw());
    n.other_memory = n.other_cores * 0.9;
    nodes_[static_cast<int>(nodes_.size()) * 7 + 3] = n;
  }
  std::string Entry(int id, const Node& n) {
    std::ostringstream out;
    out << "m\t" << Round(std::max(0.0, 64 - n.memory - n.other_memory)) << "\t1\t0\t" << n.zone << '\t'
        << n.cell << '\t' << (n.came_up > 0 ? std::to_string(n.came_up) : "-") << '\t' << id << '\t'
        << Round(std::max(0.0, 40 - n.cores - n.other_cores)) << '\t' << n.state << '\n';
    return out.str();
  }
  static double Round(double value) { return std::round(value * 100) / 100; }
  std::string List(int kind) {
    std::ostringstream out;
    int count = 0;
    for (const auto& [id, n] : nodes_) count += n.state != 0;
    out << "catalog\t0\t" << count << '\n';
    for (const auto& [id, n] : nodes_) {
      if (n.state != 0) out << Entry(id, n);
    }
    out << "roster_change\t1\t" << kind << '\t' << ++version_ << "\t0\n";
    return out.str();
  }
  // A late change of some nodes.
  void Update() {
    std::ostringstream out;
    int count = 0;
    for (auto& [id, n] : nodes_) {
      n.other_cores = std::max(0.0, n.other_cores + (Draw() - 0.5) * 2);
      if (id % 3 != static_cast<int>(version_ % 3)) continue;
      out << Entry(id, n);
      ++count;
    }
    const std::string lines = "catalog\t0\t" + std::to_string(count) + "\n" + out.str() +
                              "roster_change\t1\t1\t" + std::to_string(++version_) + "\t0\n";
    At(now_ + 400 * kMs, [this, lines] { Tell(Delta(lines)); });
    At(now_ + 700 * kMs, [this] { Update(); });
  }
  static std::string Delta(std::string lines) {  // kind 0
    const std::size_t at = lines.rfind("roster_change\t1\t1\t");
    lines[at + 16] = '0';
    return lines;
  }
  void Churn() {
    std::vector<int> alive;
    for (const auto& [id, n] : nodes_) {
      if (n.state == 2) alive.push_back(id);
    }
    const int id = alive[Below(static_cast<std::uint32_t>(alive.size()))];
    Node& n = nodes_[id];
    if (Below(3) == 0) {
      n.dead = true;  // no word of it for a while
      At(now_ + 3 * kSecond, [this, id] { Go(id); });
    } else {
      n.state = 3;
      Tell(Delta("catalog\t1\t1\n" + Entry(id, n) + "roster_change\t1\t1\t" + std::to_string(++version_) +
                 "\t1\n"));
      At(now_ + 2 * kSecond, [this, id] { Go(id); });
    }
    Found();
    AddNode(now_);
    const auto& [fresh, entry] = *nodes_.rbegin();
    Tell(Delta("catalog\t1\t1\n" + Entry(fresh, entry) + "roster_change\t1\t1\t" +
               std::to_string(++version_) + "\t1\n"));
    if (Below(4) == 0) {
      Tell("roster_change\t1\t3\t-\t-\n");  // the list fails once
      At(now_ + 900 * kMs, [this] { Tell(List(1)); });
    }
    At(now_ + shape_.churn, [this] { Churn(); });
  }
  // A task that a node holds already is handed over.
  void Found() {
    const std::string name = "s" + std::to_string(1000 + ++found_);
    Ask& ask = asks_[name];
    ask.placed = ask.out = true;
    ask.attempt = 0;
    ask.attempts = 1;
    ask.node = nodes_.rbegin()->first;
    ask.cores = 1;
    ask.memory = 2;
    ask.sent = now_;
    nodes_[ask.node].cores += 1;
    nodes_[ask.node].memory += 2;
    Tell("found\t1\t" + name + "\t-\t1\t0\t" + std::to_string(1100 + found_ % 8) + "\t" +
         std::to_string(ask.node) + "\t1\t" + std::to_string(found_) + "\t2\t1\t-\n");
    At(now_ + Between(kSecond, 6 * kSecond), [this, name] { Lives(name); });
  }
  void Go(int id) {
    Node& n = nodes_[id];
    n.state = 0;
    n.dead = true;
    for (auto& [name, ask] : asks_) {
      if (ask.node == id && ask.placed && !ask.over) End(name, "ABORTED", 0);
    }
    Tell(Delta("catalog\t1\t1\n" + Entry(id, n) + "roster_change\t1\t1\t" + std::to_string(++version_) +
               "\t1\n"));
  }

  void Arrival() {
    const int burst = 1 + static_cast<int>(Below(4));
    const std::uint32_t kind = Below(100);
    const int class_index = kind < 53 ? 0 : kind < 98 ? 1 : 2;
    static const double kCores[] = {0.5, 1, 2, 0.25, 0.5, 1}, kMemory[] = {0.5, 2, 2, 0.5, 1.5, 2};
    const std::uint32_t shape = Below(3) + (class_index == 1 ? 3 : 0);
    const std::uint32_t service = 100 + Below(30) + 1000 * static_cast<std::uint32_t>(class_index);
    for (int i = 0; i < burst; ++i) {
      std::ostringstream name, line;
      name << 'r';
      name.width(7);
      name.fill('0');
      name << ++asked_;
      Ask& ask = asks_[name.str()];
      ask.class_index = class_index;
      ask.cores = class_index == 2 ? 6 : kCores[shape];
      ask.memory = class_index == 2 ? 14 : kMemory[shape];
      const Time wait = (class_index == 0 ? 6 : class_index == 1 ? 8 : 10) * kSecond;
      line << "request\t1\t" << name.str() << '\t' << now_ + wait << "\t0\t" << Below(2) << '\t' << service
           << '\t' << class_index << '\t' << ask.memory << '\t' << asked_ << "\t-\t" << ask.cores << '\n';
      Tell(line.str());
      if (Below(30) == 0) {
        At(now_ + Between(5 * kMs, 2 * kSecond), [this, id = name.str()] {
          Ask& a = asks_[id];
          if (a.placed || a.over) return;
          Tell("cancelled_by_client\t1\t" + id + "\n");
          a.over = true;
          if (a.out) End(id, "CANCELLED", 0);
        });
      }
    }
    const double gap = -std::log(1 - Draw() * 0.999) / shape_.per_second * 2.5 * kSecond;
    At(now_ + static_cast<Time>(gap), [this] { Arrival(); });
  }

  void End(const std::string& name, const char* outcome, int info) {
    Ask& ask = asks_[name];
    if (ask.placed) {
      Node& n = nodes_[ask.node];
      n.cores -= ask.cores;
      n.memory -= ask.memory;
    }
    ask.out = false;
    const bool done = ask.placed || ask.over;
    ask.over = done;
    std::ostringstream line;
    line << "result\t1\t" << name << '\t' << ask.attempt << '\t' << ask.node << '\t' << outcome << '\t'
         << now_ - ask.sent << '\t' << (done ? 1 : 0) << '\t';
    if (info > 0) {
      line << info << "\tx0:" << Round(40 - 0.6 * nodes_[ask.node].cores) << ",waiting:2\n";
    } else {
      line << "-\t-\n";
    }
    Tell(line.str());
  }
  void Offered(const std::string& name, int node, Time until) {
    Ask& ask = asks_[name];
    ask.node = node;
    ask.attempt = ask.attempts++;
    ask.out = true;
    ask.sent = now_;
    Node& n = nodes_[node];
    const int attempt = ask.attempt;
    const auto current = [this, name, attempt] {
      const Ask& a = asks_[name];
      return a.out && a.attempt == attempt && !a.placed;
    };
    if (n.dead) {
      At(now_ + 250 * kMs, [this, name, current] {
        if (current()) End(name, "UNAVAILABLE", 0);
      });
      return;
    }
    At(until, [this, name, current] {
      if (current()) End(name, "DEADLINE_EXCEEDED", 0);
    });
    if (Draw() < shape_.hang) return;
    At(now_ + Between(8 * kMs, 60 * kMs), [this, name, node, current] {
      if (!current()) return;
      Ask& a = asks_[name];
      Node& its = nodes_[node];
      if (its.dead) return End(name, "ABORTED", 0);
      if (its.cores + its.other_cores + a.cores > 100) return End(name, "RESOURCE_EXHAUSTED", 1);
      if (its.memory + its.other_memory + a.memory > 96) return End(name, "RESOURCE_EXHAUSTED", 2);
      if (Below(80) == 0) return End(name, "RESOURCE_EXHAUSTED", 3);
      if (Below(300) == 0) return End(name, "RESOURCE_EXHAUSTED", 0);
      a.placed = true;
      its.cores += a.cores;
      its.memory += a.memory;
      Tell("taken\t1\t" + name + "\t" + std::to_string(a.attempt) + "\t" + std::to_string(node) + "\t" +
           std::to_string(now_ - a.sent) + "\n");
      At(now_ + Between(kSecond, 12 * kSecond), [this, name] { Lives(name); });
      if (Below(4) == 0) {
        At(now_ + kSecond, [this, name] {
          const Ask& stands = asks_[name];
          if (stands.over) return;
          std::ostringstream line;
          line << "signal\t1\t" << name << '\t' << stands.attempt << '\t' << stands.node << '\t';
          if (Below(2) == 0) {
            line << "2\t" << Round(stands.cores * (0.4 + 0.5 * Draw())) << '\n';
          } else if (Below(3) > 0) {
            line << "3\t" << Round(stands.memory * (0.5 + 0.4 * Draw())) << '\n';
          } else {
            line << "4\t" << Round(0.8 + 0.2 * Draw()) << '\n';
          }
          Tell(line.str());
        });
      }
    });
  }
  void Lives(const std::string& name) {
    if (asks_[name].over) return;
    const bool evicted = Below(50) == 0;
    End(name, evicted ? "ABORTED" : "OK", evicted ? 5 : 0);
  }

  // --- The wire ----------------------------------------------------------------------------------------
  void Tell(const std::string& lines) { pending_ += lines; }
  // What is pending goes in one batch; the module's actions become happenings.
  void Frame(const std::string& first) {
    pending_ = first + pending_;
    if (pending_.empty()) return;
    std::istringstream in("round\t" + std::to_string(now_) + "\t" + std::to_string(++batch_) + "\n" +
                          pending_ + "over_to_you\n");
    pending_.clear();
    reply_.str("");
    for (std::string line; std::getline(in, line);) {
      std::printf("> %s\n", line.c_str());
      host_.Line(line);
    }
    std::istringstream out(reply_.str());
    for (std::string line; std::getline(out, line);) {
      std::printf("< %s\n", line.c_str());
      Carry(line);
    }
  }
  void Carry(const std::string& line) {
    std::vector<std::string> f;
    std::istringstream in(line);
    for (std::string part; std::getline(in, part, '\t');) f.push_back(part);
    if (f[0] == "claim_room") {
      Offered(f[2], std::stoi(f[3]), std::stoll(f[4]));
    } else if (f[0] == "not_now" || f[0] == "error") {
      Ask& ask = asks_[f[2]];
      ask.over = true;
      if (ask.out) End(f[2], "DEADLINE_EXCEEDED", 0);
    } else if (f[0] == "test") {
      At(now_ + Between(1 * kMs, 6 * kMs), [this, id = std::stoi(f[2])] {
        const Node& n = nodes_[id];
        std::ostringstream out;
        out << "probed\t1\t" << id << '\t' << (n.dead ? "UNAVAILABLE\t250000000\t-" : "OK\t3000000\t");
        if (!n.dead) {
          out << "x0:" << Round(40 - 0.6 * (n.cores + n.other_cores))
              << ",x1:" << Round(64 - 0.7 * (n.memory + n.other_memory)) << ",waiting:" << Below(4);
        }
        Tell(out.str() + "\n");
      });
    } else if (f[0] == "follow") {
      At(now_ + 3 * kMs,
         [this] { Tell("catalog\t2\t0\nroster_change\t1\t0\t" + std::to_string(version_) + "\t2\n"); });
    } else if (f[0] == "after") {
      // One reminder for each moment: more would only be read and passed over.
      if (reminders_.insert(std::stoll(f[3])).second) {
        At(std::stoll(f[3]), [this, tag = f[2], at = std::stoll(f[3])] {
          reminders_.erase(at);
          Tell("reminder\t1\t" + tag + "\n");
        });
      }
    }
  }

  const Shape shape_;
  pcg32 random_;
  std::ostringstream reply_;
  passbridge::wire::Host host_;
  Time now_ = kStart;
  std::uint64_t number_ = 0, batch_ = 0, version_ = 0;
  std::uint32_t asked_ = 0, found_ = 0;
  std::priority_queue<Item> agenda_;
  std::map<int, Node> nodes_;
  std::map<std::string, Ask> asks_;
  std::set<Time> reminders_;
  std::string pending_;
};

}  // namespace

int main(int count, char** words) {
  const Shape shapes[] = {{"calm", 12, 11, 30, 0.0, 0, 0.30},
                          {"crowded", 10, 40, 16, 0.01, 0, 0.80},
                          {"churning", 14, 14, 24, 0.03, 1500 * kMs, 0.35}};
  for (const Shape& shape : shapes) {
    if (count != 3 || words[1] != std::string(shape.name)) continue;
    Day(shape, std::strtoull(words[2], nullptr, 10)).Play();
    return 0;
  }
  std::fprintf(stderr, "usage: record_stream calm|crowded|churning SEED\n");
  return 2;
}

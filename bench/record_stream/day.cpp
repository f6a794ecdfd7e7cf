#include "record_stream/day.h"

#include <algorithm>
#include <cstdio>
#include <vector>

namespace cluster_manager::recording {

namespace {

const std::string kBegin =
    "begin\t1\t77\tServices.count=3\tServices.0.Deadline=6000000000\tServices.0.Effect=pure"
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

}  // namespace

Day::Day(const Shape& shape, std::uint64_t seed) : shape_(shape), random_(seed), host_(reply_) {
  for (int i = 0; i < shape.nodes; ++i) AddNode(0);
}

void Day::Play() {
  Frame(kBegin + List(2));
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

void Day::Frame(const std::string& first) {
  pending_ = first + pending_;
  if (pending_.empty()) return;
  std::istringstream in("round\t" + std::to_string(now_) + "\t" + std::to_string(++batch_) + "\n" + pending_ +
                        "over_to_you\n");
  pending_.clear();
  reply_.str("");
  for (std::string line; std::getline(in, line);) {
    std::printf("> %s\n", line.c_str());
    host_.ProcessLine(line);
  }
  std::istringstream out(reply_.str());
  for (std::string line; std::getline(out, line);) {
    std::printf("< %s\n", line.c_str());
    Carry(line);
  }
}

void Day::Carry(const std::string& line) {
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
    At(now_ + Between(1 * kMs, 6 * kMs), [this, id = std::stoi(f[2])] { Probed(id); });
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

void Day::Probed(int node) {
  const Node& n = nodes_[node];
  std::ostringstream out;
  out << "probed\t1\t" << node << '\t' << (n.dead ? "UNAVAILABLE\t250000000\t-" : "OK\t3000000\t");
  if (!n.dead) {
    out << "x0:" << Round(40 - 0.6 * (n.cores + n.other_cores))
        << ",x1:" << Round(64 - 0.7 * (n.memory + n.other_memory)) << ",waiting:" << Below(4);
  }
  Tell(out.str() + "\n");
}

}  // namespace cluster_manager::recording

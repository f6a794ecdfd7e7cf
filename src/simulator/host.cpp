#include "simulator/host.h"

#include <exception>
#include <istream>
#include <limits>
#include <ostream>
#include <stdexcept>

#include "simulator/actions.h"
#include "simulator/events.h"
#include "simulator/settings.h"

namespace scheduling::simulator {

void Host::Line(std::string_view line) {
  ++line_number_;
  if (entries_left_ > 0) {
    CatalogEntry(Fields(line, line_number_));
    return;
  }
  if (!in_batch_ && line.empty()) return;  // frames may be set apart by an empty line
  const Fields f(line, line_number_);
  if (!in_batch_) {
    if (f.name() != "round") f.Bad("frame", "outside of a batch");
    OpenBatch(f);
  } else if (f.name() == "over_to_you") {
    CloseBatch(f);
  } else if (f.name() == "begin") {
    BeginInstance(f);
  } else if (f.name() == "catalog") {
    OpenCatalog(f);
  } else if (f.name() == "roster_change") {
    RosterChange(f);
  } else if (f.name() == "destroy") {
    DestroyInstance(f);
  } else if (f.name() == "round" || f.name() == "m") {
    f.Bad("frame", "out of place");
  } else {
    TakeEvent(f);
  }
}

void Host::TakeEvent(const Fields& f) {
  if (f.name() == "request") {
    Instance& instance = Of(f);
    const TaskArrived event = ReadRequest(f, &instance.names);
    Deliver(f, &instance, event, event.task.id);
  } else if (f.name() == "taken") {
    Instance& instance = Of(f);
    const TaskAccepted event = ReadTaken(f, instance.names);
    Deliver(f, &instance, event, event.id);
  } else if (f.name() == "reminder") {
    f.Expect(2);
    Deliver(f, &Of(f), TimerFired{f.Token(1, "Tag")}, 0);
  } else if (f.name() == "found") {
    Instance& instance = Of(f);
    const TaskClaimed event = ReadFound(f, &instance.names);
    Deliver(f, &instance, event, event.task.id);
  } else if (f.name() == "result") {
    Instance& instance = Of(f);
    const AttemptEnded event = ReadResult(f, instance.names);
    Deliver(f, &instance, event, event.id);
  } else if (f.name() == "cancelled_by_client") {
    f.Expect(2);
    Instance& instance = Of(f);
    const RequestCancelled event = ReadCancelled(f, instance.names);
    Deliver(f, &instance, event, event.id);
  } else if (f.name() == "signal") {
    Instance& instance = Of(f);
    if (const auto event = ReadSignal(f, instance.names)) Deliver(f, &instance, *event, event->id);
  } else if (f.name() == "probed") {
    Deliver(f, &Of(f), ReadProbed(f), 0);
  } else if (f.name() == "peer_data") {
    Deliver(f, &Of(f), ReadPeerData(f), 0);
  }  // event kinds that are not known are skipped
}

void Host::DestroyInstance(const Fields& f) {
  f.Expect(1);
  const std::int64_t who = f.Int(0, "Who", 0, kMaxNumber);
  if (instances_.erase(who) == 0) f.Bad("Who", "no instance " + std::to_string(who));
}

void Host::End() const {
  if (!in_batch_) return;
  throw WireError("line " + std::to_string(line_number_ + 1) +
                  ": round: over_to_you: input ended in mid-batch");
}

void Host::OpenBatch(const Fields& f) {
  f.Expect(2);
  now_ = f.Int(0, "clock", 0, kMaxNumber);
  f.Int(1, "batch", std::numeric_limits<std::int64_t>::min(), kMaxNumber);
  batch_ = f.Raw(1);
  in_batch_ = true;
}

void Host::CloseBatch(const Fields& f) {
  f.Expect(0);
  in_batch_ = false;
  out_ << reply_ << "done\t" << batch_ << '\n' << std::flush;
  reply_.clear();
}

void Host::BeginInstance(const Fields& f) {
  if (f.size() < 2) f.Expect(3);
  const std::int64_t who = f.Int(0, "Who", 0, kMaxNumber);
  const std::uint64_t seed = f.Token(1, "InitSeed");
  Settings settings = ReadSettings(f, 2);
  try {
    instances_.insert_or_assign(who, Instance{Scheduler(std::move(settings), seed), {}});
  } catch (const std::invalid_argument& error) {
    f.Bad("Params", error.what());
  }
}

void Host::OpenCatalog(const Fields& f) {
  f.Expect(2);
  open_catalog_ = static_cast<std::size_t>(f.Int(0, "SetId", 0, 15));
  entries_left_ = static_cast<std::size_t>(f.Int(1, "MembersList", 0, 100'000'000));
  open_entries_ = std::make_shared<std::vector<NodeEntry>>();
  catalogs_[open_catalog_] = open_entries_;
}

void Host::CatalogEntry(const Fields& f) {
  if (f.name() != "m") f.Bad("MembersList", std::to_string(entries_left_) + " more entries expected");
  open_entries_->push_back(ReadNodeEntry(f));
  --entries_left_;
}

void Host::RosterChange(const Fields& f) {
  f.Expect(4);
  EndpointListChanged event;
  event.kind = static_cast<EndpointListUpdate>(f.Int(1, "Kind", 0, 3));
  event.version = f.IntOr(2, "SeqNo", 0, kMaxNumber, 0);
  if (event.kind != EndpointListUpdate::kFailed) {
    const std::int64_t set = f.Int(3, "SetId", 0, 15);
    event.entries = catalogs_[static_cast<std::size_t>(set)];
    if (event.entries == nullptr) f.Bad("SetId", "no catalog " + std::to_string(set));
  }
  Deliver(f, &Of(f), event, 0);
}

Host::Instance& Host::Of(const Fields& f) {
  const std::int64_t who = f.Int(0, "Who", 0, kMaxNumber);
  const auto it = instances_.find(who);
  if (it == instances_.end()) f.Bad("Who", "no instance " + std::to_string(who));
  return it->second;
}

// `about`: the request that the event is of, or 0.
void Host::Deliver(const Fields& f, Instance* instance, const Event& event, RequestId about) {
  const std::int64_t who = f.Int(0, "Who", 0, kMaxNumber);
  std::optional<Scheduler>& scheduler = instance->scheduler;
  if (!scheduler) return;
  try {
    const auto over = [&](RequestId id) {
      if (!scheduler->Tracks(id)) instance->names.Forget(id);
    };
    const std::vector<Action>& actions = scheduler->Handle(event, now_);
    for (const Action& action : actions) WriteAction(action, who, instance->names, &reply_);
    for (const Action& action : actions) {
      if (const auto* refused = std::get_if<RejectRequest>(&action)) over(refused->id);
      if (const auto* failed = std::get_if<FailRequest>(&action)) over(failed->id);
    }
    over(about);
  } catch (const std::exception& error) {
    WriteInternalError(who, error.what(), &reply_);
    scheduler.reset();
  }
}

int Run(std::istream& in, std::ostream& out, std::ostream& errors) {
  Host host(out);
  try {
    for (std::string line; std::getline(in, line);) host.ProcessLine(line);
    host.Finish();
  } catch (const WireError& error) {
    errors << "passbridge_wirehost: " << error.what() << std::endl;
    return 1;
  }
  return 0;
}

}  // namespace scheduling::simulator

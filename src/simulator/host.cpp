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

void Host::ProcessLine(std::string_view line) {
  ++line_number_;
  if (remaining_entries_ > 0) {
    AddCatalogEntry(Fields(line, line_number_));
    return;
  }
  if (!in_batch_ && line.empty()) return;  // empty lines between batches are allowed
  const Fields f(line, line_number_);
  if (!in_batch_) {
    if (f.name() != "round") f.ThrowMalformed("frame", "outside of a batch");
    OpenBatch(f);
  } else if (f.name() == "over_to_you") {
    CloseBatch(f);
  } else if (f.name() == "begin") {
    BeginInstance(f);
  } else if (f.name() == "catalog") {
    OpenCatalog(f);
  } else if (f.name() == "roster_change") {
    ChangeEndpointList(f);
  } else if (f.name() == "destroy") {
    DestroyInstance(f);
  } else if (f.name() == "round" || f.name() == "m") {
    f.ThrowMalformed("frame", "out of place");
  } else {
    HandleEvent(f);
  }
}

void Host::HandleEvent(const Fields& f) {
  if (f.name() == "request") {
    Instance& instance = FindInstance(f);
    const TaskArrived event = ReadTaskArrived(f, &instance.names);
    Deliver(f, &instance, event, event.task.id);
  } else if (f.name() == "taken") {
    Instance& instance = FindInstance(f);
    const TaskAccepted event = ReadTaskAccepted(f, instance.names);
    Deliver(f, &instance, event, event.id);
  } else if (f.name() == "reminder") {
    f.ExpectCount(2);
    Deliver(f, &FindInstance(f), TimerFired{f.Unsigned(1, "Tag")}, 0);
  } else if (f.name() == "found") {
    Instance& instance = FindInstance(f);
    const TaskClaimed event = ReadTaskClaimed(f, &instance.names);
    Deliver(f, &instance, event, event.task.id);
  } else if (f.name() == "result") {
    Instance& instance = FindInstance(f);
    const AttemptEnded event = ReadAttemptEnded(f, instance.names);
    Deliver(f, &instance, event, event.id);
  } else if (f.name() == "cancelled_by_client") {
    f.ExpectCount(2);
    Instance& instance = FindInstance(f);
    const RequestCancelled event = ReadRequestCancelled(f, instance.names);
    Deliver(f, &instance, event, event.id);
  } else if (f.name() == "signal") {
    Instance& instance = FindInstance(f);
    if (const auto event = ReadTaskReported(f, instance.names)) Deliver(f, &instance, *event, event->id);
  } else if (f.name() == "probed") {
    Deliver(f, &FindInstance(f), ReadHealthCheckCompleted(f), 0);
  } else if (f.name() == "peer_data") {
    Deliver(f, &FindInstance(f), ReadPeerMessage(f), 0);
  }  // unknown kinds of events are ignored
}

void Host::DestroyInstance(const Fields& f) {
  f.ExpectCount(1);
  const std::int64_t instance_id = f.Int(0, "Who", 0, kMaxNumber);
  if (instances_.erase(instance_id) == 0)
    f.ThrowMalformed("Who", "no instance " + std::to_string(instance_id));
}

void Host::Finish() const {
  if (!in_batch_) return;
  throw ProtocolError("line " + std::to_string(line_number_ + 1) +
                      ": round: over_to_you: input ended in mid-batch");
}

void Host::OpenBatch(const Fields& f) {
  f.ExpectCount(2);
  now_ = f.Int(0, "clock", 0, kMaxNumber);
  f.Int(1, "batch", std::numeric_limits<std::int64_t>::min(), kMaxNumber);
  batch_ = f.Raw(1);
  in_batch_ = true;
}

void Host::CloseBatch(const Fields& f) {
  f.ExpectCount(0);
  in_batch_ = false;
  out_ << reply_ << "done\t" << batch_ << '\n' << std::flush;
  reply_.clear();
}

void Host::BeginInstance(const Fields& f) {
  if (f.size() < 2) f.ExpectCount(3);
  const std::int64_t instance_id = f.Int(0, "Who", 0, kMaxNumber);
  const std::uint64_t seed = f.Unsigned(1, "InitSeed");
  Settings settings = ReadSettings(f, 2);
  try {
    instances_.insert_or_assign(instance_id, Instance{Scheduler(std::move(settings), seed), {}});
  } catch (const std::invalid_argument& error) {
    f.ThrowMalformed("Params", error.what());
  }
}

void Host::OpenCatalog(const Fields& f) {
  f.ExpectCount(2);
  open_catalog_ = static_cast<std::size_t>(f.Int(0, "SetId", 0, 15));
  remaining_entries_ = static_cast<std::size_t>(f.Int(1, "MembersList", 0, 100'000'000));
  open_entries_ = std::make_shared<std::vector<NodeEntry>>();
  catalogs_[open_catalog_] = open_entries_;
}

void Host::AddCatalogEntry(const Fields& f) {
  if (f.name() != "m")
    f.ThrowMalformed("MembersList", std::to_string(remaining_entries_) + " more entries expected");
  open_entries_->push_back(ReadNodeEntry(f));
  --remaining_entries_;
}

void Host::ChangeEndpointList(const Fields& f) {
  f.ExpectCount(4);
  EndpointListChanged event;
  event.kind = static_cast<EndpointListUpdate>(f.Int(1, "Kind", 0, 3));
  event.version = f.IntOr(2, "SeqNo", 0, kMaxNumber, 0);
  if (event.kind != EndpointListUpdate::kFailed) {
    const std::int64_t catalog = f.Int(3, "SetId", 0, 15);
    event.entries = catalogs_[static_cast<std::size_t>(catalog)];
    if (event.entries == nullptr) f.ThrowMalformed("SetId", "no catalog " + std::to_string(catalog));
  }
  Deliver(f, &FindInstance(f), event, 0);
}

Host::Instance& Host::FindInstance(const Fields& f) {
  const std::int64_t instance_id = f.Int(0, "Who", 0, kMaxNumber);
  const auto it = instances_.find(instance_id);
  if (it == instances_.end()) f.ThrowMalformed("Who", "no instance " + std::to_string(instance_id));
  return it->second;
}

// `request_id`: the request that the event concerns, or 0.
void Host::Deliver(const Fields& f, Instance* instance, const Event& event, RequestId request_id) {
  const std::int64_t instance_id = f.Int(0, "Who", 0, kMaxNumber);
  std::optional<Scheduler>& scheduler = instance->scheduler;
  if (!scheduler) return;
  try {
    const auto forget_if_finished = [&](RequestId id) {
      if (!scheduler->Tracks(id)) instance->names.Remove(id);
    };
    const std::vector<Action>& actions = scheduler->Handle(event, now_);
    for (const Action& action : actions) WriteAction(action, instance_id, instance->names, &reply_);
    for (const Action& action : actions) {
      if (const auto* rejected = std::get_if<RejectRequest>(&action)) forget_if_finished(rejected->id);
      if (const auto* failed = std::get_if<FailRequest>(&action)) forget_if_finished(failed->id);
    }
    forget_if_finished(request_id);
  } catch (const std::exception& error) {
    WriteInternalError(instance_id, error.what(), &reply_);
    scheduler.reset();
  }
}

int Run(std::istream& in, std::ostream& out, std::ostream& errors) {
  Host host(out);
  try {
    for (std::string line; std::getline(in, line);) host.ProcessLine(line);
    host.Finish();
  } catch (const ProtocolError& error) {
    errors << "passbridge_wirehost: " << error.what() << std::endl;
    return 1;
  }
  return 0;
}

}  // namespace scheduling::simulator

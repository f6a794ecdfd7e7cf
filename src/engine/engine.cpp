#include "engine/engine.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <memory>
#include <utility>
#include <variant>

#include "net/counters.h"
#include "net/log.h"

namespace willowrail {
namespace {

using passbridge::Outcome;
using passbridge::Reason;

constexpr Time kForever = std::numeric_limits<Time>::max();

}  // namespace

NodeId NodeOf(std::string_view uid) {
  const std::string_view digits = uid.substr(uid.rfind('-') + 1);
  NodeId number = 0;
  const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number, 16);
  if (error == std::errc() && stop == digits.data() + digits.size() && !digits.empty()) return number;
  std::uint32_t hash = 2166136261u;  // FNV-1a
  for (const char c : uid) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  return hash;
}

Engine::Engine(Loop* loop, passbridge::Settings settings, std::uint64_t seed)
    : loop_(loop),
      classes_(settings),
      kind_cores_(settings.kind_cores),
      kind_memory_(settings.kind_memory),
      module_(std::move(settings), seed) {
  CountByClass();
}

void Engine::CountByClass() {
  ends_by_class_.clear();
  for (const passbridge::ClassSettings& c : classes_.settings().classes)
    ends_by_class_.push_back(figures_.Of(c.name));
}

ClassTable::Change Engine::Take(const passbridge::Settings& fresh) {
  ClassTable::Change change = classes_.Apply(fresh);
  kind_cores_ = fresh.kind_cores;
  kind_memory_ = fresh.kind_memory;
  CountByClass();
  Post(passbridge::SettingsChanged{std::make_shared<const passbridge::Settings>(change.settings),
                                   change.learns_from});
  return change;
}

void Engine::Connect(Owners* owners, Agents* agents, Directory* directory) {
  owners_ = owners;
  agents_ = agents;
  directory_ = directory;
}

void Engine::Follow(sites::Sites* sites) {
  sites_ = sites;
  module_.Follow(sites);
  LookAtSites();
}

// While sites are as usual this is a look at the evidence of each node, and nothing else.
void Engine::LookAtSites() {
  const Time now = loop_->Now();
  int waiting = 0;
  if (sites_->in_force()) {
    requests_.ForEach([&](Handle, const Request& r) {
      waiting += r.owed && !r.out && now - r.sent > sites::Sites::kWaits;
    });
  }
  const sites::Sites::Orders orders = sites_->Look(waiting, now);
  for (const std::string& line : orders.log) Log("%s", line.c_str());
  for (const NodeId node : orders.ask) {
    sites_->Asked(node, now);
    agents_->Ask(node);
  }
  if (orders.changed) Post(passbridge::SitesChanged{});
  loop_->After(sites::Sites::kLook, [this] { LookAtSites(); });
}

Engine::Request* Engine::Find(TaskId id) {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : requests_.Get(it->second);
}

// Actions may cause further events at once; these wait until the actions at hand are carried out.
void Engine::Post(const passbridge::Event& event) {
  events_.push_back(event);
  if (std::exchange(handling_, true)) return;
  for (std::size_t i = 0; i < events_.size(); ++i) {
    const passbridge::Event next = std::move(events_[i]);
    for (const passbridge::Action& action : module_.Handle(next, loop_->Now())) Carry(action);
  }
  events_.clear();
  handling_ = false;
}

void Engine::Carry(const passbridge::Action& action) {
  std::visit([this](const auto& a) { Do(a); }, action);
}

// --- What owners say -------------------------------------------------------------------------------------
bool Engine::OnSetUp(SetUp s) {
  if (Request* r = Find(s.id)) {
    // Guards against a set-up that takes over the answer of another: an id is one request's.
    if (r->passage != s.passage || (!s.at && !r->owed)) return false;
    if (s.at) {
      ++counters.setups_at_held;
      if (r->standing) MoveOrigin(r, s.origin);
    } else {  // sent again over a closing connection: the answer goes where it came from last
      ++counters.setups_resent;
      r->origin = s.origin;
    }
    return true;
  }
  if (s.at && !listed_.contains(*s.at)) return false;
  Request request;
  request.id = s.id;
  request.origin = s.origin;
  request.passage = std::move(s.passage);
  request.task = s.task;
  request.owed = !s.at;
  request.sent = loop_->Now();
  classes_.Use(s.task.class_index);
  request.ends = ends_by_class_[static_cast<std::size_t>(s.task.class_index)];
  if (s.at) {
    request.out = request.standing = true;
    request.attempts = 1;
    request.node = *s.at;
  }
  const Handle handle = requests_.Insert(std::move(request));
  by_id_[s.id] = handle;
  s.task.id = handle;
  if (s.at) {
    owners_->Stands(s.origin, true);
    agents_->Stands(*s.at, s.id, true);
    const Handle origin = s.origin;
    Post(passbridge::TaskFound{s.task, *s.at});
    // Guards against waiting for a word that its node has spent already, on whoever was there to hear it.
    const StrayEnds::Said said = stray_ends_.Take(*s.at, s.id, loop_->Now());
    Request* r = requests_.Get(handle);
    if (said != StrayEnds::Said::kNothing && r != nullptr) {
      ++counters.ends_known_before;
      r->origin = origin;
      FinishStanding(handle, r, said == StrayEnds::Said::kEnded ? Outcome::kOk : Outcome::kAborted,
                     Reason::kUntold, true);
    }
  } else {
    ++owed_;
    Post(passbridge::TaskArrived{s.task});
  }
  return true;
}

// A standing task was handed over again: its end is told on the way that this came by.
void Engine::MoveOrigin(Request* r, Handle origin) {
  owners_->Stands(r->origin, false);
  r->origin = origin;
  owners_->Stands(origin, true);
}

void Engine::OnOwnerRelease(TaskId id, Handle origin) {
  Request* r = Find(id);
  if (r == nullptr || r->cutting || (r->owed && r->origin != origin)) return;
  const Handle handle = by_id_.at(id);
  if (r->standing) {
    ++counters.owner_releases;
    Cut(handle, r);
    return;
  }
  ++counters.owner_give_ups;
  Unowe(r);
  Post(passbridge::Withdrawn{handle});
  r = requests_.Get(handle);
  if (r == nullptr) return;
  if (r->out) {
    GiveUp(handle, r, Outcome::kCancelled);
  } else {
    Erase(handle, r);
  }
}

void Engine::OnAbandoned(TaskId id, Handle origin) {
  const Request* r = Find(id);
  if (r == nullptr || !r->owed || r->origin != origin) return;
  ++counters.owner_closed_open;
  OnOwnerRelease(id, origin);
}

void Engine::ToldOver(NodeId node, TaskId id, Over over, bool owed) {
  Request* r = Find(id);
  if (r == nullptr) {
    owed ? owners_->Release(0, id, over) : stray_ends_.Note(node, id, over == Over::kEnded, loop_->Now());
  } else if (r->standing && (owed || r->node == node)) {
    FinishStanding(by_id_.at(id), r, over == Over::kEnded ? Outcome::kOk : Outcome::kAborted, Reason::kUntold,
                   !r->cutting);
  }
}

// --- What agents say -------------------------------------------------------------------------------------
Engine::Request* Engine::Attempted(TaskId id, AttemptId attempt) {
  Request* r = Find(id);
  return r != nullptr && r->out && !r->standing && r->attempt == attempt ? r : nullptr;
}

Begin Engine::MayBegin(TaskId id, AttemptId attempt) {
  Request* r = Attempted(id, attempt);
  if (r == nullptr || !r->owed) return Begin::kNever;
  if (owners_->StillWaits(r->origin, &r->read_by)) return Begin::kNow;
  ++counters.attempts_postponed;
  return Begin::kLater;
}

void Engine::OnAnswer(NodeId node, TaskId id, AttemptId attempt, std::string_view description) {
  if (sites_ != nullptr) sites_->Answered(node, loop_->Now());
  Request* r = Attempted(id, attempt);
  if (r == nullptr) {  // it was given up
    ++counters.agent_stray;
    return;
  }
  const Handle handle = by_id_.at(id);
  ++counters.agent_answers;
  if (sites_ != nullptr) sites_->AttemptOver(node, true);
  loop_->TakeDown(r->timer);
  r->standing = true;
  if (r->owed) ++r->ends->fulfilled;
  Unowe(r);
  owners_->Answer(r->origin, id, description);
  owners_->Stands(r->origin, true);
  agents_->Stands(node, id, true);
  Post(passbridge::Placed{handle, r->attempts - 1, node, loop_->Now() - r->sent});
}

void Engine::TellSites(NodeId node, const Request& attempted, const AgentSays& says) {
  if (sites_ == nullptr) return;
  if (says.outcome == Outcome::kNoConnection) {
    sites_->Unanswered(node, attempted.sent);
  } else if (says.outcome != Outcome::kAborted) {
    sites_->Answered(node, loop_->Now());
  } else if (says.standing != Outcome::kAborted) {
    sites_->Spoke(node, loop_->Now());
  }
  sites_->AttemptOver(node, says.outcome == Outcome::kRefused);
}

void Engine::OnAttemptEnd(NodeId node, TaskId id, AttemptId attempt, const AgentSays& says) {
  Request* r = Attempted(id, attempt);
  if (r == nullptr) {
    ++counters.agent_stray;
    return;
  }
  TellSites(node, *r, says);
  const Handle handle = by_id_.at(id);
  if (says.outcome != Outcome::kOk) {
    EndAttempt(handle, r, says.outcome, says.reason, says.report);
    return;
  }
  // Guards against trying again what is over: a short task can come to its end while it is still being
  // started, and each further node would only say the same. Its client is told so, the module as well.
  const Handle origin = r->origin;
  const bool owed = r->owed;
  if (owed) ++r->ends->faulted;
  Unowe(r);
  EndAttempt(handle, r, Outcome::kOk, says.reason, says.report);
  if (owed) owners_->Fail(origin, id, Over::kEnded);
}

void Engine::OnTaskEnd(NodeId node, TaskId id, const AgentSays& says) {
  if (sites_ != nullptr && says.standing != Outcome::kAborted) sites_->Spoke(node, loop_->Now());
  Request* r = Find(id);
  if (r == nullptr || !r->standing || r->node != node) {
    ++counters.agent_stray;
    const bool stood = says.standing == Outcome::kOk || says.standing == Outcome::kAborted;
    if (r == nullptr && stood) stray_ends_.Note(node, id, says.standing == Outcome::kOk, loop_->Now());
    return;
  }
  const bool owner_ended = r->cutting || says.standing == Outcome::kCancelled;
  FinishStanding(by_id_.at(id), r, r->cutting ? Outcome::kCancelled : says.standing, says.reason,
                 !owner_ended);
}

void Engine::OnNote(NodeId node, TaskId id, passbridge::NoteKind kind, double level) {
  const Request* r = Find(id);
  if (sites_ != nullptr) sites_->Spoke(node, loop_->Now());
  if (r == nullptr || !r->out || r->node != node) return;
  Post(passbridge::Noted{by_id_.at(id), r->attempts - 1, node, kind, level});
}

void Engine::OnProbed(NodeId node, Outcome outcome, Time took, passbridge::Report report) {
  OnAsked(node, outcome, took);
  Post(passbridge::Probed{node, outcome, took, report});
}

void Engine::OnAsked(NodeId node, Outcome outcome, Time took) {
  if (sites_ == nullptr) return;
  const Time now = loop_->Now();
  outcome == Outcome::kOk ? sites_->Answered(node, now) : sites_->Unanswered(node, now - took);
}

void Engine::OnDead(NodeId node) {
  if (sites_ != nullptr) sites_->Unanswered(node, loop_->Now());
  LoseTasks(node, kForever);
}

void Engine::OnStopped(NodeId node) {
  const std::size_t lost = LoseTasks(node, kForever, true);
  counters.tasks_presumed_over += lost;
  Log("agent %u: was to leave and is silent, taken for stopped, %zu tasks over", node, lost);
}

// The module keeps its books under the old node: no event of its moves a task, and the list shows the load.
void Engine::OnHeir(NodeId node, NodeId heir, const std::vector<TaskId>& tasks) {
  for (const TaskId id : tasks) {
    if (Request* r = Find(id); r != nullptr && r->out && r->node == node) r->node = heir;
  }
}

// --- What the directory says -----------------------------------------------------------------------------
void Engine::OnRoster(passbridge::RosterKind kind, std::int64_t version,
                      const std::vector<ListedNode>& nodes) {
  auto entries = std::make_shared<std::vector<passbridge::NodeEntry>>();
  for (const ListedNode& node : nodes) {
    agents_->Know(node);
    const passbridge::NodeEntry decided = AsDecided(node.entry);
    if (sites_ != nullptr) {
      const std::size_t kind = std::min<std::size_t>(node.entry.kind, kind_cores_.size() - 1);
      sites_->Listed(node.entry.node, node.entry.zone, decided.state == passbridge::NodeState::kReady,
                     {kind_cores_[kind], kind_memory_[kind], node.entry.free_cores, node.entry.free_memory},
                     loop_->Now());
    }
    entries->push_back(decided);
    const auto [place, fresh] = listed_.try_emplace(node.entry.node);
    Listed& listed = place->second;
    listed.entry = node.entry;
    listed.gone = node.entry.state == passbridge::NodeState::kGone;
    // Guards against a process that died and came up again between two dials: its new life holds nothing.
    if (std::exchange(listed.came_up, node.entry.came_up) != node.entry.came_up && !fresh) {
      LoseTasks(node.entry.node, node.entry.came_up);
    }
    if (listed.gone) {
      // The list may know that a node is gone before its last releases are read. Guards against waiting for
      // words from a node that fell silent long ago: its ends are owed since then.
      loop_->At(agents_->WordsUntil(node.entry.node), [this, id = node.entry.node] {
        const auto it = listed_.find(id);
        if (it == listed_.end() || !it->second.gone) return;
        LoseTasks(id, kForever, true);
        listed_.erase(id);
        if (rotation_ != nullptr) rotation_->Gone(id);
      });
    }
  }
  const bool told = kind != passbridge::RosterKind::kFailed;
  Post(passbridge::RosterChanged{kind, version, told ? entries : nullptr});
  for (const passbridge::NodeEntry& entry : *entries) {
    if (entry.state != passbridge::NodeState::kReady) Recall(entry.node);
  }
}

// Guards against a node that leaves between a decision and its write: while a connection is being dialled, or
// the client's words are being read.
void Engine::Recall(NodeId node) {
  std::vector<Handle> unwritten;
  requests_.ForEach([&](Handle handle, const Request& r) {
    if (r.out && !r.standing && r.node == node && agents_->Unwritten(node, r.id)) unwritten.push_back(handle);
  });
  for (const Handle handle : unwritten) {
    Request* r = requests_.Get(handle);
    if (r == nullptr || !r->out || r->standing || r->node != node) continue;
    ++counters.attempts_recalled;
    GiveUp(handle, r, Outcome::kCancelled);
  }
}

passbridge::NodeEntry Engine::AsDecided(const passbridge::NodeEntry& entry) const {
  return rotation_ != nullptr ? rotation_->AsDecided(entry) : entry;
}

void Engine::Rotated(NodeId node) {
  const auto it = listed_.find(node);
  if (it == listed_.end() || it->second.gone) return;
  auto entries = std::make_shared<std::vector<passbridge::NodeEntry>>(1, AsDecided(it->second.entry));
  const bool takes_more = entries->front().state == passbridge::NodeState::kReady;
  Post(passbridge::RosterChanged{passbridge::RosterKind::kDelta, 0, entries});
  if (!takes_more) Recall(node);
}

std::size_t Engine::LoseTasks(NodeId node, Time sent_before, bool disown) {
  std::vector<Handle> lost;
  requests_.ForEach([&](Handle handle, const Request& r) {
    if (r.standing && r.node == node && r.sent < sent_before) lost.push_back(handle);
  });
  for (const Handle handle : lost) {
    Request* r = requests_.Get(handle);
    if (r == nullptr) continue;
    ++counters.tasks_lost;
    if (disown) agents_->Disown(node, r->id);  // first: it may still run
    if ((r = requests_.Get(handle)) == nullptr) continue;
    FinishStanding(handle, r, Outcome::kAborted, Reason::kUntold, !r->cutting);
  }
  return lost.size();
}

}  // namespace willowrail

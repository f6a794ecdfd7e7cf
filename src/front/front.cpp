#include "front/front.h"

#include <algorithm>
#include <charconv>
#include <tuple>
#include <utility>

#include "net/counters.h"
#include "net/log.h"
#include "wire/fields.h"

namespace willowrail {
namespace {

using proto::Cause;
using proto::Code;
using proto::Message;
using proto::Type;
using proto::Writer;

constexpr Time kSweep = 250 * kMs;
// Bad clients are owed a word or a close within 3 s of connecting.
constexpr Time kFirstWord = 2 * kSecond;     // without anything that usual owners send
constexpr Time kUnfinished = 1500 * kMs;     // of a message that is not whole
constexpr Time kIdle = 6 * kSecond;          // owners close what carries no task after 4 s
constexpr Time kFresh = 100 * kMs;           // its first message may be on its way
constexpr Time kLinger = 400 * kMs;          // for the other side to read what was written last
constexpr Time kAllResets = 10 * kMs;        // of owners that reset together
constexpr Time kMayBeClosing = 3 * kSecond;  // of idleness: no release goes there if another way is open
constexpr Time kHeldMost = 600 * kMs;        // then a release goes also where nothing was served yet
constexpr std::size_t kMostOpen = 512;       // set-ups on one connection; a busy day sees a tenth
constexpr Time kOverMostAway = kSecond;
constexpr std::int64_t kMostWaits = 10;  // deadlines of its class that a set-up may ask to wait

Cause CauseOf(Over over) { return over == Over::kEnded ? Cause::kEnded : Cause::kReset; }

bool ReadHex(std::string_view text, std::uint64_t* value) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *value, 16);
  return error == std::errc() && stop == end;
}

template <typename List>
int Position(const List& list, std::string_view name) {
  for (std::size_t i = 0; i < list.size(); ++i) {
    if (list[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

}  // namespace

Front::Front(Loop* loop, const Config& config, OwnerEvents* events)
    : loop_(loop),
      settings_(config.settings),
      events_(events),
      listener_(loop, config.listen, [this](int socket) { Accepted(socket); }) {
  SetMost(config.sockets);
  most_cores_ = std::ranges::max(settings_.kind_cores) * settings_.admit_cores;
  most_memory_ = std::ranges::max(settings_.kind_memory) * settings_.admit_memory;
  Sweep();
}

// --- Connections -------------------------------------------------------------------------------------------
void Front::Accepted(int socket) {
  ++counters.owner_connections;
  Owner owner;
  owner.connection = std::make_unique<Connection>(loop_, socket, this);
  owner.since = loop_->Now();
  const Handle handle = owners_.Insert(std::move(owner));
  owners_.Get(handle)->connection->tag = handle;
  if (owners_.size() > most_) Prune();
}

// Guards against connections by the hundred that say nothing, or ask once and stay: the descriptors that
// agents and the bulletin need are never given to owners, who hold no more than a third of all by themselves.
// The first to go is who leaves already, then who has said nothing for longest, then who has had nothing open
// for longest, then who has just come. Whose set-up has come and was not read yet does not go.
void Front::Prune() {
  const Time now = loop_->Now();
  constexpr int kFreshOne = 3, kStays = 4;
  const auto rank = [&](const Owner& owner) -> std::pair<int, Time> {
    if (owner.leaving > 0) return {0, owner.leaving};
    if (!owner.spoke) return {now - owner.since < kFresh ? kFreshOne : 1, owner.since};
    return {owner.open.empty() ? 2 : kStays, owner.connection->last_traffic};
  };
  Handle victim = 0, newest = 0;
  std::pair<int, Time> least{kStays, 0};
  Time last = 0;
  owners_.ForEach([&](Handle handle, const Owner& owner) {
    if (owner.since >= last) std::tie(last, newest) = std::tie(owner.since, handle);
    const std::pair<int, Time> its = rank(owner);
    if (its >= least || (its.first > 0 && owner.connection->Unread())) return;
    least = its;
    victim = handle;
  });
  ++counters.owner_pruned;
  if (victim == 0) victim = newest;
  owners_.Get(victim)->connection->Finish();  // an end in order, not a reset
  Remove(victim);
}

void Front::Sweep() {
  const Time now = loop_->Now();
  std::vector<Handle> left, late;
  owners_.ForEach([&](Handle handle, const Owner& owner) {
    const Time unfinished = owner.connection->unfinished_since;
    if (owner.leaving > 0) {
      if (now - owner.leaving >= kLinger) left.push_back(handle);
    } else if ((unfinished > 0 && now - unfinished >= kUnfinished) ||
               (!owner.spoke && now - owner.since >= kFirstWord) ||
               (owner.open.empty() && now - owner.connection->last_traffic >= kIdle &&
                !owner.connection->Unread())) {
      late.push_back(handle);
    }
  });
  for (const Handle handle : left) Remove(handle);
  for (const Handle handle : late) Dismiss(handle);
  ends_.Tick(now, [this](Handle way) {
    const Owner* owner = owners_.Get(way);
    return owner != nullptr && owner->connection->BackedUp();
  });
  counters.ends_given_up_old = ends_.given_up_old();
  counters.ends_given_up_full = ends_.given_up_full();
  if (ends_.waiting() > 0) SendOwed();
  loop_->After(kSweep, [this] { Sweep(); });
}

// What it has been answered still reaches it; what is open on it is given up.
void Front::Dismiss(Handle handle) {
  Owner* owner = owners_.Get(handle);
  if (owner == nullptr || owner->leaving > 0) return;
  ++counters.owner_dismissed;
  owner->leaving = loop_->Now();
  const std::vector<TaskId> open = std::exchange(owner->open, {});
  owner->connection->Finish();
  for (const TaskId id : open) events_->OnAbandoned(id, handle);
}

void Front::Remove(Handle handle) {
  Owner* owner = owners_.Get(handle);
  if (owner == nullptr) return;
  ++counters.owner_closed;
  const std::vector<TaskId> open = std::move(owner->open);
  loop_->Bury(std::move(owner->connection));
  owners_.Erase(handle);
  for (const TaskId id : open) events_->OnAbandoned(id, handle);
  // Guards against a release that crosses its owner's close: nobody has read it.
  const std::size_t again = ends_.Lost(handle, loop_->Now());
  counters.releases_sent_again += again;
  // Guards against ends that go from one owner to the next as all of them reset: first all that is known to
  // the machine by now is heard.
  if (again == 0 || std::exchange(owed_soon_, true)) return;
  loop_->After(kAllResets, [this] {
    owed_soon_ = false;
    SendOwed();
  });
}

std::size_t Front::OnData(Connection& connection, std::string_view data) {
  bool malformed = false;
  const std::size_t taken = proto::DecodeAll(data, &malformed, [&](const Message& message) {
    malformed = !Take(connection, message);
    return !malformed && connection.open() && !connection.finishing();
  });
  if (malformed && connection.open()) {
    ++counters.malformed;
    Log("an owner's message is malformed, closing its connection");
    Dismiss(connection.tag);
  }
  return taken;
}

void Front::OnEnd(Connection& connection, Ending) { Remove(connection.tag); }

bool Front::idle() {
  bool all = ends_.waiting() == 0;
  owners_.ForEach([&](Handle, const Owner& owner) { all = all && owner.connection->flushed(); });
  return all;
}

void Front::Finish() {
  std::vector<Handle> all;
  owners_.ForEach([&](Handle handle, const Owner&) { all.push_back(handle); });
  for (const Handle handle : all) Dismiss(handle);
}

// --- Receiving ---------------------------------------------------------------------------------------------
bool Front::Take(Connection& connection, const Message& m) {
  Owner* owner = owners_.Get(connection.tag);
  switch (m.type) {
    case Type::kSetUp:
      switch (TakeSetUp(connection, m)) {
        case Verdict::kTaken:
          return true;
        case Verdict::kRejected:
          ++counters.setups_rejected;
          Writer(connection.out(), Type::kRelease, m.task).Add(Cause::kError);
          return true;
        case Verdict::kUnreadable:
          return false;
      }
      return false;
    case Type::kRelease:
      std::erase(owner->open, m.task);
      events_->OnOwnerRelease(m.task, connection.tag);
      return true;
    case Type::kTest:
      ++counters.tests_answered;
      Writer(connection.out(), Type::kTestResult, m.task)
          .Add(draining_ ? Cause::kTestFailed : Cause::kTestPassed);
      owner->spoke = true;
      return true;
    case Type::kReleaseHeard:
      ++counters.owner_heard;
      if (ends_.Heard(m.task, connection.tag)) owner->confirms = true;
      return true;
    default:  // free, or of no meaning here
      return true;
  }
}

// Guards against set-ups that nobody could serve, or that would be served as something else: they are
// answered with an error and reach neither the module nor an agent, who would close on some of them.
Front::Verdict Front::TakeSetUp(Connection& connection, const Message& m) {
  SetUp s;
  s.origin = connection.tag;
  if (!ReadSetUp(m, &s)) {
    ++counters.setups_bad;
    return Verdict::kRejected;
  }
  Owner* owner = owners_.Get(connection.tag);
  const TaskId id = s.id;
  const bool again = std::ranges::find(owner->open, id) != owner->open.end();
  if (s.at) {
    ++counters.setups_at;
    if (!events_->OnSetUp(std::move(s))) return Verdict::kRejected;
    owner->spoke = true;
    Trusted(owner);
    return Verdict::kTaken;
  }
  if (!again && owner->open.size() >= kMostOpen) {
    ++counters.setups_over_most;
    Refuse(connection.tag, id, kOverMostAway);
    return Verdict::kTaken;
  }
  ++counters.setups_taken;
  if (!again) owner->open.push_back(id);
  if (events_->OnSetUp(std::move(s))) {
    owner->spoke = true;
    return Verdict::kTaken;
  }
  // Two requests under one number on one connection: no answer could tell which one it is for.
  if (again) return Verdict::kUnreadable;
  std::erase(owner->open, id);
  return Verdict::kRejected;
}

bool Front::ReadSetUp(const Message& m, SetUp* s) const {
  s->id = m.task;
  s->task.class_index = Position(settings_.classes, m.Get(Code::kClass));
  s->task.tenant = Position(settings_.tenants, m.Get(Code::kTenant));
  if (s->id == 0 || s->task.class_index < 0) return false;
  if (settings_.tenants.empty()) s->task.tenant = 0;
  if (s->task.tenant < 0 || m.Get(Code::kDescription).empty()) return false;
  if (!ReadHex(m.Get(Code::kName), &s->task.name) || !ReadFigures(m.Get(Code::kFigures), s)) return false;
  const passbridge::ClassSettings& its_class =
      settings_.classes[static_cast<std::size_t>(s->task.class_index)];
  if (its_class.effect == passbridge::Effect::kKeyed && m.Get(Code::kKey).empty()) return false;
  std::int64_t wait = 0;
  if (!s->at) {  // else no answer is owed
    if (!passbridge::wire::ReadInt(m.Get(Code::kWait), &wait)) return false;
    if (wait <= 0 || wait > kMostWaits * its_class.deadline / kMs) return false;
  }
  s->task.deadline = loop_->Now() + wait * kMs;
  s->task.repeat = m.Has(Code::kRetry);
  const std::string_view class_name = m.Get(Code::kClass), name = m.Get(Code::kName), key = m.Get(Code::kKey),
                         description = m.Get(Code::kDescription);
  BlockPool::Ref& bytes = s->passage.bytes;
  bytes = Blocks().Make(proto::ParameterBytes(class_name) + proto::ParameterBytes(name) +
                        proto::ParameterBytes(key) + proto::ParameterBytes(description));
  proto::AppendParameter(&bytes, Code::kClass, class_name);
  s->passage.class_end = bytes.size();
  proto::AppendParameter(&bytes, Code::kName, name);
  if (!key.empty()) proto::AppendParameter(&bytes, Code::kKey, key);
  proto::AppendParameter(&bytes, Code::kDescription, description);
  counters.bytes_held += bytes.size();
  return true;
}

// "cores:1;memory:2;service:00000000b4d65521", and at:UID where an agent holds the task already.
bool Front::ReadFigures(std::string_view text, SetUp* s) const {
  bool service = false;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) return false;
    const std::string_view name = pair.substr(0, colon), value = pair.substr(colon + 1);
    bool good = true;
    if (name == "cores") good = passbridge::wire::ReadNumber(value, &s->task.cores);
    if (name == "memory") good = passbridge::wire::ReadNumber(value, &s->task.memory);
    if (name == "service") good = service = ReadHex(value, &s->task.service);
    if (name == "at") s->at = NodeOf(value);
    if (!good) return false;
  }
  const passbridge::Task& task = s->task;
  return service && task.cores > 0 && task.cores <= most_cores_ && task.memory > 0 &&
         task.memory <= most_memory_;
}

// --- Answering ---------------------------------------------------------------------------------------------
// The set-up's connection, on which its answer is due; null where that is gone.
Connection* Front::Settled(Handle origin, TaskId id) {
  Owner* owner = owners_.Get(origin);
  if (owner == nullptr || owner->leaving > 0) return nullptr;
  std::erase(owner->open, id);
  return owner->connection.get();
}

void Front::Answer(Handle origin, TaskId id, std::string_view description) {
  Connection* connection = Settled(origin, id);
  if (connection == nullptr) return;
  ++counters.answers_sent;
  Writer(connection->out(), Type::kAnswer, id).Add(Code::kDescription, description);
  Trusted(owners_.Get(origin));
}

void Front::Refuse(Handle origin, TaskId id, Time stay_away) {
  Connection* connection = Settled(origin, id);
  if (connection == nullptr) return;
  ++counters.refusals_sent;
  Writer message(connection->out(), Type::kRelease, id);
  message.Add(Cause::kRefused);
  if (stay_away > 0) message.Add(Code::kStayAway, (stay_away + kMs - 1) / kMs);
}

void Front::Fail(Handle origin, TaskId id, Over over) {
  Connection* connection = Settled(origin, id);
  if (connection == nullptr) return;
  ++counters.failures_sent;
  Writer(connection->out(), Type::kRelease, id).Add(CauseOf(over));
}

// What ends a task that stands may go on any connection. Guards against one that does not read it: first come
// those that were served, as bad clients never are; of these such as cannot be closing right now; then the
// task's own; then the one heard of last.
Front::Owner* Front::AnyWay(Handle preferred, Handle shunned) {
  const Time now = loop_->Now();
  const auto rank = [&](Handle handle, const Owner& owner) {
    const Time heard = owner.connection->last_traffic;
    return std::tuple(owner.trusted, !owner.open.empty() || now - heard < kMayBeClosing, handle == preferred,
                      heard);
  };
  // The task's own way, where it is a good one, is the first of all: no need to look at the others.
  if (Owner* own = owners_.Get(preferred);
      own != nullptr && own->leaving == 0 && own->trusted && std::get<1>(rank(preferred, *own))) {
    return own;
  }
  Owner* best = nullptr;
  Handle best_handle = 0;
  owners_.ForEach([&](Handle handle, Owner& owner) {
    if (owner.leaving > 0 || handle == shunned) return;
    if (best != nullptr && rank(handle, owner) <= rank(best_handle, *best)) return;
    best = &owner;
    best_handle = handle;
  });
  return best;
}

void Front::Trusted(Owner* owner) {
  if (!std::exchange(owner->trusted, true) && ends_.waiting() > 0) SendOwed();
}

bool Front::TrySend(Handle origin, const OwedEnds::End& end) {
  // Where the only way left is the one that fell silent, that one is better than none.
  Owner* owner = AnyWay(origin, end.shunned);
  if (owner == nullptr && end.shunned != 0) owner = AnyWay(origin, 0);
  const Time now = loop_->Now();
  if (owner == nullptr || (!owner->trusted && now - end.since < kHeldMost)) return false;
  // Guards against an end that is told to a bad client alone: there only its word counts as read.
  ends_.Written(end.task, owner->connection->tag, owner->confirms || !owner->trusted, now);
  const auto type = static_cast<Type>(end.kind);
  Writer message(owner->connection->out(), type, end.task);
  if (type == Type::kRelease) message.Add(static_cast<Cause>(end.cause));
  return true;
}

void Front::Send(Handle origin, Type type, TaskId id, Cause cause) {
  const Time now = loop_->Now();
  ends_.Owe(id, static_cast<int>(type), static_cast<int>(cause), now);
  if (!TrySend(origin, {id, static_cast<int>(type), static_cast<int>(cause), now, 0, 0, 0, false})) {
    ++counters.releases_held;
  }
}

void Front::SendOwed() {
  for (const OwedEnds::End& end : ends_.Waiting()) {
    if (!TrySend(0, end)) return;  // what is owed for longer is sent first, and the same ways are open to all
  }
}

void Front::Release(Handle origin, TaskId id, Over over) {
  ++counters.releases_sent;
  Send(origin, Type::kRelease, id, CauseOf(over));
}

void Front::Move(Handle origin, TaskId id) {
  ++counters.moves_sent;
  Send(origin, Type::kMove, id, Cause::kReset);
}

}  // namespace willowrail

#include "front/front.h"

#include <algorithm>
#include <charconv>
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

// "cores:1;memory:2;service:00000000b4d65521", and at:UID where an agent holds the task already.
bool ReadFigures(std::string_view text, SetUp* s) {
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) return false;
    const std::string_view name = pair.substr(0, colon), value = pair.substr(colon + 1);
    bool good = true;
    if (name == "cores") good = passbridge::wire::ReadNumber(value, &s->task.cores);
    if (name == "memory") good = passbridge::wire::ReadNumber(value, &s->task.memory);
    if (name == "service") good = ReadHex(value, &s->task.service);
    if (name == "at") s->at = NodeOf(value);
    if (!good) return false;
  }
  return true;
}

}  // namespace

Front::Front(Loop* loop, const Config& config, OwnerEvents* events)
    : loop_(loop),
      settings_(config.settings),
      events_(events),
      listener_(loop, config.listen, [this](int socket) { Accepted(socket); }) {}

void Front::Accepted(int socket) {
  ++counters.owner_connections;
  const Handle handle = owners_.Insert({std::make_unique<Connection>(loop_, socket, this), {}});
  owners_.Get(handle)->connection->tag = handle;
  for (const OwedRelease& release : std::exchange(owed_releases_, {})) Send(handle, release);
}

std::size_t Front::OnData(Connection& connection, std::string_view data) {
  bool malformed = false;
  const std::size_t taken = proto::DecodeAll(data, &malformed, [&](const Message& message) {
    malformed = !Take(connection, message);
    return !malformed && connection.open();
  });
  if (malformed && connection.open()) {
    ++counters.malformed;
    Log("an owner's message is malformed, closing its connection");
    connection.Close();
    OnEnd(connection, Ending::kClosed);
  }
  return taken;
}

void Front::OnEnd(Connection& connection, Ending) {
  ++counters.owner_closed;
  Owner* owner = owners_.Get(connection.tag);
  if (owner == nullptr) return;
  const Handle handle = connection.tag;
  const std::vector<TaskId> open = std::move(owner->open);
  loop_->Bury(std::move(owner->connection));
  owners_.Erase(handle);
  for (const TaskId id : open) events_->OnAbandoned(id, handle);
}

bool Front::Take(Connection& connection, const Message& m) {
  switch (m.type) {
    case Type::kSetUp:
      return TakeSetUp(connection, m);
    case Type::kRelease:
      if (Owner* owner = owners_.Get(connection.tag)) std::erase(owner->open, m.task);
      events_->OnOwnerRelease(m.task);
      return true;
    case Type::kTest:
      ++counters.tests_answered;
      Writer(connection.out(), Type::kTestResult, m.task)
          .Add(draining_ ? Cause::kTestFailed : Cause::kTestPassed);
      return true;
    case Type::kReleaseHeard:
      ++counters.owner_heard;
      return true;
    default:  // free, or of no meaning here
      return true;
  }
}

bool Front::TakeSetUp(Connection& connection, const Message& m) {
  SetUp s;
  s.id = m.task;
  s.origin = connection.tag;
  s.task.class_index = Position(settings_.classes, m.Get(Code::kClass));
  s.task.tenant = std::max(0, Position(settings_.tenants, m.Get(Code::kTenant)));
  std::int64_t wait = 0;
  const bool known = s.task.class_index >= 0 && ReadHex(m.Get(Code::kName), &s.task.name) &&
                     ReadFigures(m.Get(Code::kFigures), &s);
  if (!known || (!passbridge::wire::ReadInt(m.Get(Code::kWait), &wait) && !s.at)) {
    ++counters.setups_bad;
    return false;
  }
  s.task.deadline = loop_->Now() + std::clamp<std::int64_t>(wait, 0, 1'000'000'000) * kMs;
  s.task.repeat = m.Has(Code::kRetry);
  s.passage = {std::string(m.Get(Code::kClass)), std::string(m.Get(Code::kName)),
               std::string(m.Get(Code::kKey)), std::string(m.Get(Code::kDescription))};
  ++(s.at ? counters.setups_at : counters.setups_taken);
  if (!s.at) owners_.Get(connection.tag)->open.push_back(s.id);
  events_->OnSetUp(std::move(s));
  return true;
}

// The set-up's connection, on which its answer is due; null where that is gone.
Connection* Front::Settled(Handle origin, TaskId id) {
  Owner* owner = owners_.Get(origin);
  if (owner == nullptr) return nullptr;
  std::erase(owner->open, id);
  return owner->connection.get();
}

void Front::Answer(Handle origin, TaskId id, std::string_view description) {
  Connection* connection = Settled(origin, id);
  if (connection == nullptr) return;
  ++counters.answers_sent;
  Writer(connection->out(), Type::kAnswer, id).Add(Code::kDescription, description);
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

// What ends a task that stands may go on any connection. One with a set-up open is not being closed by its
// owner; of the rest the one heard of last is the least likely to be.
Connection* Front::AnyWay(Handle preferred) {
  Connection* best = nullptr;
  bool best_open = false;
  owners_.ForEach([&](Handle handle, Owner& owner) {
    const bool open = !owner.open.empty();
    if (best != nullptr && best_open > open) return;
    const bool better = best == nullptr || open > best_open || handle == preferred ||
                        (best->tag != preferred && owner.connection->last_traffic > best->last_traffic);
    if (!better) return;
    best = owner.connection.get();
    best_open = open;
  });
  return best;
}

void Front::Send(Handle origin, const OwedRelease& release) {
  Connection* connection = AnyWay(origin);
  if (connection == nullptr) {
    ++counters.releases_held;
    owed_releases_.push_back(release);
    return;
  }
  Writer message(connection->out(), release.type, release.id);
  if (release.type == Type::kRelease) message.Add(release.cause);
}

void Front::Release(Handle origin, TaskId id, Over over) {
  ++counters.releases_sent;
  Send(origin, {Type::kRelease, id, CauseOf(over)});
}

void Front::Move(Handle origin, TaskId id) {
  ++counters.moves_sent;
  Send(origin, {Type::kMove, id, Cause::kReset});
}

}  // namespace willowrail

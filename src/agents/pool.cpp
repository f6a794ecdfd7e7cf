#include "agents/pool.h"

#include <algorithm>
#include <utility>

#include "net/counters.h"
#include "net/log.h"
#include "wire/fields.h"

namespace willowrail {
namespace {

using passbridge::NoteKind;
using passbridge::Outcome;
using passbridge::Reason;
using passbridge::Report;
using proto::Cause;
using proto::Code;
using proto::Message;
using proto::Type;
using proto::Writer;

constexpr Time kRedial = 400 * kMs;
constexpr Time kIdleMargin = kSecond;  // no set-up goes where the agent may be closing for idleness

Outcome BeforeAnswer(int cause) {
  switch (static_cast<Cause>(cause)) {
    case Cause::kEnded:
      return Outcome::kOk;
    case Cause::kFull:
      return Outcome::kRefused;
    case Cause::kError:
      return Outcome::kError;
    case Cause::kMoot:
      return Outcome::kNotSent;
    default:
      return Outcome::kAborted;
  }
}

Outcome AfterAnswer(int cause) {
  switch (static_cast<Cause>(cause)) {
    case Cause::kEnded:
      return Outcome::kOk;
    case Cause::kCancelled:
      return Outcome::kCancelled;
    default:
      return Outcome::kAborted;
  }
}

Reason ReadReason(std::string_view word) {
  static const std::pair<std::string_view, Reason> kReasons[] = {
      {"cpu_full", Reason::kNoCores},   {"mem_full", Reason::kNoMemory}, {"busy", Reason::kQueueFull},
      {"wrong_host", Reason::kNotHere}, {"oom", Reason::kEvicted},       {"preempted", Reason::kPushedOut},
      {"drained", Reason::kSentAway}};
  for (const auto& [name, reason] : kReasons) {
    if (name == word) return reason;
  }
  return Reason::kUntold;
}

// "x0:12;x1:40;queue:3"; what cannot be read is left out.
Report ReadReport(std::string_view text) {
  Report report;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t colon = pair.find(':');
    double value = 0;
    if (colon == std::string_view::npos) continue;
    if (passbridge::wire::ReadNumber(pair.substr(colon + 1), &value)) {
      report[std::string(pair.substr(0, colon))] = value;
    }
  }
  return report;
}

}  // namespace

Pool::Pool(Loop* loop, PoolTimes times, std::uint64_t seed, AgentEvents* events)
    : loop_(loop), times_(times), events_(events), next_test_(seed | 1) {}

void Pool::Know(const ListedNode& node) {
  Peer& peer = peers_[node.entry.node];
  peer.known = ParseAddress(node.endpoint, &peer.address) || peer.known;
  // Guards against addresses that are used again: nothing dials a node that has gone, since another may
  // answer there.
  peer.gone = node.entry.state == passbridge::NodeState::kGone;
  if (Needed(peer) && peer.way == 0 && peer.dialing == 0) Dial(node.entry.node, &peer);
}

// --- Sending -----------------------------------------------------------------------------------------------
// The connection to write to, or null where one has to be dialled first.
Connection* Pool::Way(Peer* peer) {
  Line* line = lines_.Get(peer->way);
  if (line == nullptr || !line->connection->up()) return nullptr;
  // Guards against a set-up that crosses an idle close: it would count as one that may have run.
  const Time idle = loop_->Now() - line->connection->last_traffic;
  return idle < times_.keepalive - kIdleMargin ? line->connection.get() : nullptr;
}

void Pool::Offer(NodeId node, TaskId id, const Passage& passage, Time until) {
  Peer& peer = peers_[node];
  const Waiting waiting{id, passage, until};
  if (Connection* way = Way(&peer)) {
    SendSetUp(&peer, way, waiting);
    return;
  }
  peer.waiting.push_back(waiting);
  Dial(node, &peer);
}

void Pool::SendSetUp(Peer* peer, Connection* way, const Waiting& w) {
  ++counters.offers_sent;
  peer->open[w.id] = way->tag;
  Writer message(way->out(), Type::kSetUp, w.id);
  message.Add(Code::kClass, w.passage.class_name)
      .Add(Code::kWait, std::max<Time>(1, (w.until - loop_->Now()) / kMs))
      .Add(Code::kName, w.passage.name);
  if (!w.passage.key.empty()) message.Add(Code::kKey, w.passage.key);
  message.Add(Code::kDescription, w.passage.description);
}

bool Pool::GiveUp(NodeId node, TaskId id) {
  Peer& peer = peers_[node];
  if (std::erase_if(peer.waiting, [id](const Waiting& w) { return w.id == id; }) > 0) {
    ++counters.offers_unsent;
    return false;
  }
  const auto it = peer.open.find(id);
  if (it == peer.open.end()) return true;
  Line* line = lines_.Get(it->second);
  peer.open.erase(it);
  if (line == nullptr || !line->connection->up()) return true;  // its connection took the set-up with it
  ++counters.give_ups_sent;
  Connection* connection = line->connection.get();
  Writer(connection->out(), Type::kRelease, id).Add(Cause::kEnded);
  // Guards against a second attempt overtaking this: it is written now, and where the socket takes no more,
  // the connection is closed, which gives up all that is open on it.
  connection->Flush();
  if (connection->open() && !connection->flushed()) {
    connection->Close();
    OnEnd(*connection, Ending::kReset);
  }
  Doubt(node, &peers_[node], loop_->Now() - times_.dial);
  return true;
}

void Pool::Cut(NodeId node, TaskId id) {
  Peer& peer = peers_[node];
  peer.cuts.insert(id);  // until the agent says that it is over: a connection may take this with it
  if (Connection* way = Way(&peer)) {
    ++counters.cuts_sent;
    Writer(way->out(), Type::kRelease, id).Add(Cause::kCancelled);
  } else {
    Dial(node, &peer);
  }
}

void Pool::Stands(NodeId node, TaskId id, bool stands) {
  Peer& peer = peers_[node];
  if (stands) {
    peer.standing.insert(id);
    if (lines_.Get(peer.way) == nullptr) Dial(node, &peer);
  } else {
    peer.standing.erase(id);
    peer.cuts.erase(id);
  }
}

void Pool::Probe(NodeId node) {
  Peer& peer = peers_[node];
  const TaskId id = next_test_ += 2;
  const Handle timer =
      loop_->After(2 * times_.dial, [this, node, id] { EndTest(node, id, Outcome::kTimedOut, {}); });
  peer.tests.push_back({id, loop_->Now(), timer});
  if (Connection* way = Way(&peer)) {
    SendTest(&peer, way, id);
  } else {
    Dial(node, &peer);
  }
}

void Pool::SendTest(Peer*, Connection* way, TaskId id) {
  ++counters.probes_sent;
  Writer(way->out(), Type::kTest, id).Add(Cause::kTestPassed);
}

void Pool::EndTest(NodeId node, TaskId id, Outcome outcome, Report report) {
  Peer& peer = peers_[node];
  const auto it = std::ranges::find(peer.tests, id, &Testing::id);
  if (it == peer.tests.end()) return;
  const Testing test = *it;
  peer.tests.erase(it);
  loop_->TakeDown(test.timer);
  if (outcome == Outcome::kTimedOut) {
    Log("agent %u: a test went unanswered", node);
    Doubt(node, &peer, test.asked);
  }
  events_->OnProbed(node, outcome, loop_->Now() - test.asked, std::move(report));
}

void Pool::CloseIdle(NodeId node) {
  Peer& peer = peers_[node];
  Line* line = lines_.Get(peer.way);
  if (line == nullptr || Needed(peer) || !peer.open.empty() || !peer.tests.empty()) return;
  const Handle way = std::exchange(peer.way, 0);
  loop_->Bury(std::move(line->connection));
  lines_.Erase(way);
}

// --- Connections -------------------------------------------------------------------------------------------
void Pool::Dial(NodeId node, Peer* peer) {
  if (lines_.Get(peer->dialing) != nullptr) return;
  loop_->TakeDown(std::exchange(peer->redial, 0));
  if (!peer->known || peer->gone) {
    // Never inside the caller's turn: the outcome is news of its own.
    peer->redial = loop_->After(0, [this, node] { DialFailed(node, Ending::kReset); });
    return;
  }
  ++counters.agent_dials;
  peer->dialing = lines_.Insert({std::make_unique<Connection>(loop_, peer->address, this), node});
  lines_.Get(peer->dialing)->connection->tag = peer->dialing;
  peer->dial_timer = loop_->After(times_.dial, [this, node] { DialFailed(node, Ending::kReset); });
}

void Pool::DialFailed(NodeId node, Ending ending) {
  Peer& peer = peers_[node];
  ++counters.agent_dials_failed;
  Log("agent %u: dial %s, %zu set-ups and %zu tests waiting, %zu tasks stand", node,
      ending == Ending::kRefused ? "refused" : "failed", peer.waiting.size(), peer.tests.size(),
      peer.standing.size());
  loop_->TakeDown(std::exchange(peer.dial_timer, 0));
  if (Line* line = lines_.Get(peer.dialing)) loop_->Bury(std::move(line->connection));
  lines_.Erase(std::exchange(peer.dialing, 0));
  for (const Waiting& w : std::exchange(peer.waiting, {})) {
    ++counters.attempts_no_connection;
    events_->OnEnd(node, w.id, {Outcome::kNoConnection, Outcome::kAborted, Reason::kUntold, {}});
  }
  const std::vector<Testing> tests = peer.tests;
  for (const Testing& test : tests) EndTest(node, test.id, Outcome::kNoConnection, {});
  // Tells a death from a machine that is cut off: only where a process was can a connection be refused.
  if (ending == Ending::kRefused) events_->OnDead(node);
  Peer& after = peers_[node];
  if (ending == Ending::kRefused) after.cuts.clear();
  if (Needed(after) && !after.gone) RedialLater(node, &after);
}

void Pool::RedialLater(NodeId node, Peer* peer) {
  if (peer->redial != 0) return;
  peer->redial = loop_->After(kRedial, [this, node] {
    Peer& again = peers_[node];
    again.redial = 0;
    if (Needed(again) && !again.gone) Dial(node, &again);
  });
}

// Something went unanswered. Where nothing at all was heard since, the connection may be cut off for good:
// another is tried beside it, and what the agent holds back arrives on that.
void Pool::Doubt(NodeId node, Peer* peer, Time since) {
  if (peer->heard < since && peer->dialing == 0 && peer->redial == 0) Dial(node, peer);
}

void Pool::OnUp(Connection& connection) {
  const Line* line = lines_.Get(connection.tag);
  if (line == nullptr) return;
  const NodeId node = line->node;
  Peer& peer = peers_[node];
  if (peer.dialing == connection.tag) {
    loop_->TakeDown(std::exchange(peer.dial_timer, 0));
    peer.dialing = 0;
  }
  peer.way = connection.tag;
  for (const Waiting& w : std::exchange(peer.waiting, {})) SendSetUp(&peer, &connection, w);
  for (const Testing& test : peer.tests) SendTest(&peer, &connection, test.id);
  for (const TaskId id : peer.cuts) {
    ++counters.cuts_sent;
    Writer(connection.out(), Type::kRelease, id).Add(Cause::kCancelled);
  }
}

std::size_t Pool::OnData(Connection& connection, std::string_view data) {
  const Line* line = lines_.Get(connection.tag);
  if (line == nullptr) return data.size();
  const NodeId node = line->node;
  peers_[node].heard = loop_->Now();
  bool malformed = false;
  const std::size_t taken = proto::DecodeAll(data, &malformed, [&](const Message& message) {
    return Take(node, connection, message) && connection.open();
  });
  if (malformed && connection.open()) {
    ++counters.malformed;
    Log("an agent's message is malformed, closing its connection");
    connection.Close();
    OnEnd(connection, Ending::kReset);
  }
  return taken;
}

void Pool::OnEnd(Connection& connection, Ending ending) {
  const Handle handle = connection.tag;
  Line* line = lines_.Get(handle);
  if (line == nullptr) return;
  const NodeId node = line->node;
  if (peers_[node].dialing == handle) {
    DialFailed(node, ending);
    return;
  }
  if (ending == Ending::kReset) ++counters.agent_resets;
  loop_->Bury(std::move(line->connection));
  lines_.Erase(handle);
  Peer& peer = peers_[node];
  if (peer.way == handle) peer.way = 0;
  std::vector<TaskId> open;
  for (const auto& [id, on] : peer.open) {
    if (on == handle) open.push_back(id);
  }
  if (ending == Ending::kReset || !open.empty()) {
    Log("agent %u: connection %s, %zu set-ups open on it, %zu tasks stand", node,
        ending == Ending::kReset ? "reset" : "closed", open.size(), peer.standing.size());
  }
  for (const TaskId id : open) peer.open.erase(id);
  for (const TaskId id : open) {
    ++counters.attempts_reset;
    events_->OnEnd(node, id, {Outcome::kAborted, Outcome::kAborted, Reason::kUntold, {}});
  }
  Peer& after = peers_[node];
  if ((Needed(after) || !after.tests.empty()) && after.way == 0) Dial(node, &after);
}

// --- Receiving ---------------------------------------------------------------------------------------------
bool Pool::Take(NodeId node, Connection& connection, const Message& m) {
  Peer& peer = peers_[node];
  switch (m.type) {
    case Type::kAnswer:
      peer.open.erase(m.task);
      events_->OnAnswer(node, m.task, m.Get(Code::kDescription));
      return true;
    case Type::kRelease:
      TakeRelease(node, &peer, connection, m);
      return true;
    case Type::kNote:
      TakeNote(node, m);
      return true;
    case Type::kTestResult:
      TakeTestResult(node, &peer, m);
      return true;
    default:  // free, or of no meaning here
      return true;
  }
}

void Pool::TakeRelease(NodeId node, Peer* peer, Connection&, const Message& m) {
  ++(peer->open.erase(m.task) > 0 ? counters.agent_refusals : counters.agent_releases);
  const int cause = m.CauseOr(static_cast<int>(Cause::kReset));
  events_->OnEnd(node, m.task,
                 {BeforeAnswer(cause), AfterAnswer(cause), ReadReason(m.Get(Code::kNote)),
                  ReadReport(m.Get(Code::kReport))});
}

void Pool::TakeNote(NodeId node, const Message& m) {
  static const std::pair<std::string_view, NoteKind> kNotes[] = {{"up", NoteKind::kRuns},
                                                                 {"cpu", NoteKind::kCoresUsed},
                                                                 {"mem", NoteKind::kMemoryUsed},
                                                                 {"share", NoteKind::kServed},
                                                                 {"tight", NoteKind::kNodeMemory}};
  ++counters.agent_notes;
  double level = 0;
  passbridge::wire::ReadNumber(m.Get(Code::kLevel), &level);
  for (const auto& [name, kind] : kNotes) {
    if (name == m.Get(Code::kNote)) events_->OnNote(node, m.task, kind, level);
  }
}

void Pool::TakeTestResult(NodeId node, Peer* peer, const Message& m) {
  if (std::ranges::find(peer->tests, m.task, &Testing::id) == peer->tests.end()) return;
  ++counters.probe_answers;
  const bool passed = m.CauseOr(0) == static_cast<int>(Cause::kTestPassed);
  EndTest(node, m.task, passed ? Outcome::kOk : Outcome::kError, ReadReport(m.Get(Code::kReport)));
}

}  // namespace willowrail

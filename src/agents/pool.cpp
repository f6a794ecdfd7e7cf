#include "agents/pool.h"

#include <algorithm>
#include <tuple>
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
constexpr Time kForget = kSecond;
constexpr Time kLookAtLeaving = 100 * kMs;
constexpr Time kUnfinished = 400 * kMs;    // of a message: its pieces follow at once, or never
constexpr std::size_t kMostLines = 4;      // connections to one agent
constexpr std::size_t kBesideDoubted = 2;  // more where those are in doubt
constexpr int kSpare = 16;                 // descriptors for the listener, the bulletin, the loop and files
constexpr Time kIdleMargin = kSecond;      // no set-up goes where the agent may be closing for idleness

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
      passbridge::wire::TellField(&report, pair.substr(0, colon), value);
    }
  }
  return report;
}

}  // namespace

Pool::Pool(Loop* loop, PoolTimes times, int sockets, std::uint64_t seed, AgentEvents* events)
    : loop_(loop), times_(times), sockets_(sockets), events_(events), next_test_(seed | 1) {
  ForgetGone();
  LookAtLeaving();
}

std::size_t Pool::open() const {
  std::size_t all = 0;
  for (const auto& [node, peer] : peers_) all += peer.open.size();
  return all;
}

void Pool::Know(const ListedNode& node) {
  Peer& peer = peers_[node.entry.node];
  peer.known = ParseAddress(node.endpoint, &peer.address) || peer.known;
  // Guards against addresses that are used again: nothing dials a node that has gone, since another may
  // answer there.
  peer.gone = node.entry.state == passbridge::NodeState::kGone;
  const bool left = peer.life.leaving();
  peer.life.Told(peer.gone                                              ? life::Listed::kGone
                 : node.entry.state == passbridge::NodeState::kDraining ? life::Listed::kLeaving
                                                                        : life::Listed::kServing,
                 loop_->Now());
  if (peer.life.leaving() && !left) leaving_.push_back(node.entry.node);
  if (peer.gone) peer.disowned.clear();
  KeepWay(node.entry.node, &peer);
}

// Guards against tables that only grow: agents come and go all day. A node that has gone is forgotten once
// nothing of it is left here.
void Pool::ForgetGone() {
  for (auto it = peers_.begin(); it != peers_.end();) {
    const Peer& peer = it->second;
    const bool idle = peer.open.empty() && peer.tests.empty() && peer.hopeless.empty() &&
                      std::ranges::all_of(peer.lines, [this](Handle handle) {
                        const Line* line = lines_.Get(handle);
                        return line == nullptr || line->waiting.empty();
                      });
    Tighten(&it->second.open);
    Tighten(&it->second.standing);
    if (!idle || Needed(peer) || (peer.known && !peer.gone)) {
      ++it;
      continue;
    }
    for (const Handle handle : std::vector<Handle>(peer.lines)) Remove(handle);
    loop_->TakeDown(peer.redial);
    it = peers_.erase(it);
  }
  loop_->After(kForget, [this] { ForgetGone(); });
}

// --- Sending -----------------------------------------------------------------------------------------------
// The connection to write to: one that answers, with the fewest set-ups open. Null where none is up.
Pool::Line* Pool::Best(const Peer& peer) {
  const auto rank = [](const Line& line) {
    return std::tuple(line.doubted, line.open, -line.connection->last_traffic);
  };
  Line* best = nullptr;
  for (const Handle handle : peer.lines) {
    Line* line = lines_.Get(handle);
    if (line == nullptr || !line->connection->up()) continue;
    // Guards against a set-up that crosses an idle close: it would count as one that may have run.
    if (loop_->Now() - line->connection->last_traffic >= times_.keepalive - kIdleMargin) continue;
    if (best == nullptr || rank(*line) < rank(*best)) best = line;
  }
  return best;
}

Pool::Line* Pool::Dialling(const Peer& peer) {
  for (const Handle handle : peer.lines) {
    Line* line = lines_.Get(handle);
    if (line != nullptr && line->heard == 0) return line;
  }
  return nullptr;
}

// Guards against one spoilt answer, or one reset, that ends many set-ups: each goes on a connection of its
// own while there are few.
void Pool::Offer(NodeId node, TaskId id, const Passage& passage, Time until) {
  Peer& peer = peers_[node];
  const Waiting waiting{id, passage, until};
  const std::size_t room = static_cast<std::size_t>(std::max(sockets_ * 3 / 8 - kSpare, 1));
  const std::size_t most = std::clamp<std::size_t>(room / peers_.size(), 1, kMostLines);
  Line* best = Best(peer);
  const bool sound = best != nullptr && !best->doubted;
  if (sound && (best->open == 0 || peer.lines.size() >= most)) {
    SendSetUp(&peer, best, waiting);
  } else if (Line* dialling = Dialling(peer); dialling != nullptr && peer.lines.size() >= most) {
    dialling->waiting.push_back(waiting);
  } else if (best != nullptr && peer.lines.size() >= most + kBesideDoubted) {
    SendSetUp(&peer, best, waiting);
  } else if (Line* line = Dial(node, &peer)) {
    line->waiting.push_back(waiting);
  } else {
    peer.hopeless.push_back(waiting);
    loop_->After(0, [this, node] { Hopeless(node); });  // never inside the caller's turn: it is news
  }
}

void Pool::SendSetUp(Peer* peer, Line* line, const Waiting& w) {
  ++counters.offers_sent;
  peer->open[w.id] = {line->connection->tag, loop_->turn()};
  ++line->open;
  Connection* connection = line->connection.get();
  const auto& [bytes, class_end] = w.passage;
  Writer message(connection->out(), Type::kSetUp, w.id);
  connection->Refer(bytes, 0, class_end);
  message.Foreign(bytes.size()).Add(Code::kWait, std::max<Time>(1, (w.until - loop_->Now()) / kMs));
  connection->Refer(bytes, class_end, bytes.size());
}

bool Pool::GiveUp(NodeId node, TaskId id) {
  Peer& peer = peers_[node];
  const auto its = [id](const Waiting& w) { return w.id == id; };
  std::size_t unsent = std::erase_if(peer.hopeless, its);
  for (const Handle handle : peer.lines) {
    if (Line* line = lines_.Get(handle)) unsent += std::erase_if(line->waiting, its);
  }
  if (unsent > 0) {
    ++counters.offers_unsent;
    return false;
  }
  const auto it = peer.open.find(id);
  if (it == peer.open.end()) return true;
  const Handle handle = it->second.line;
  peer.open.erase(it);
  Line* line = lines_.Get(handle);
  if (line == nullptr || !line->connection->up()) return true;  // its connection took the set-up with it
  --line->open;
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
  Doubt(node, handle, loop_->Now() - times_.dial);
  return true;
}

void Pool::Cut(NodeId node, TaskId id) {
  Peer& peer = peers_[node];
  Handle& sent_on = peer.cuts[id] = 0;  // until the agent says that it is over
  if (Line* line = Best(peer)) {
    SendCut(id, &sent_on, line);
  } else {
    KeepWay(node, &peer);
  }
}

void Pool::SendCut(TaskId id, Handle* sent_on, Line* line) {
  ++counters.cuts_sent;
  *sent_on = line->connection->tag;
  Writer(line->connection->out(), Type::kRelease, id).Add(Cause::kCancelled);
}

void Pool::Stands(NodeId node, TaskId id, bool stands) {
  Peer& peer = peers_[node];
  if (stands) {
    std::erase(peer.disowned, id);  // its owner has handed it over again: it is wanted after all
    peer.standing.insert(id);
    KeepWay(node, &peer);
  } else {
    peer.standing.erase(id);
    peer.cuts.erase(id);
  }
}

// Where any task stands, a way is open or being dialled.
void Pool::KeepWay(NodeId node, Peer* peer) {
  if (Needed(*peer) && peer->lines.empty() && peer->redial == 0) Dial(node, peer);
}

void Pool::Ask(NodeId node) {
  if (std::ranges::any_of(peers_[node].tests, [](const Testing& t) { return t.asker == Asker::kSites; }))
    return;
  ++counters.site_questions;
  Test(node, Asker::kSites);
}

void Pool::Test(NodeId node, Asker asker) {
  Peer& peer = peers_[node];
  Testing* test = StartTest(node, &peer, asker);
  Line* best = Best(peer);
  if (best != nullptr && !best->doubted) {
    SendTest(test, best);
  } else if (Dialling(peer) == nullptr && Dial(node, &peer) == nullptr) {
    loop_->After(0, [this, node] { Hopeless(node); });
  }
}

Pool::Testing* Pool::StartTest(NodeId node, Peer* peer, Asker asker) {
  const TaskId id = next_test_ += 2;
  // A site whose nodes are all silent is not waited for as long as a single node is.
  const Time patience = asker == Asker::kSites ? times_.dial : 2 * times_.dial;
  const Handle timer =
      loop_->After(patience, [this, node, id] { EndTest(node, id, Outcome::kTimedOut, {}); });
  return &peer->tests.emplace_back(Testing{id, loop_->Now(), timer, 0, asker});
}

void Pool::AskWhetherAlive(NodeId node, Peer* peer, Line* line) {
  if (std::ranges::any_of(peer->tests, [](const Testing& t) { return t.asker == Asker::kLife; })) return;
  ++counters.life_questions;
  peer->life.Asked(loop_->Now());
  SendTest(StartTest(node, peer, Asker::kLife), line);
}

// Guards against a machine that was to leave and is switched off without a sign, while the list says so late:
// where anything of ours stands it is asked until it is heard, gone, or silent for too long.
void Pool::LookAtLeaving() {
  const Time now = loop_->Now();
  std::vector<NodeId> ask, stopped;
  std::erase_if(leaving_, [&](NodeId node) {
    const auto it = peers_.find(node);
    if (it == peers_.end() || !it->second.life.leaving()) return true;
    const Peer& peer = it->second;
    if (peer.standing.empty()) return false;
    if (peer.life.Stopped(now)) {
      stopped.push_back(node);
    } else if (peer.life.ShouldAsk(now)) {
      ask.push_back(node);
    }
    return false;
  });
  for (const NodeId node : ask) {
    Peer& peer = peers_[node];
    Line* best = Best(peer);
    if (best != nullptr && !best->doubted) {
      AskWhetherAlive(node, &peer, best);
    } else if (Dialling(peer) == nullptr) {
      peer.life.Asked(now);
      Dial(node, &peer);
    }
  }
  for (const NodeId node : stopped) events_->OnStopped(node);
  loop_->After(kLookAtLeaving, [this] { LookAtLeaving(); });
}

void Pool::Disown(NodeId node, TaskId id) { peers_[node].disowned.push_back(id); }

Time Pool::WordsUntil(NodeId node) { return peers_[node].life.WordsUntil(loop_->Now()); }

// Something came from the node. What was taken for over there while it was silent is cut now.
void Pool::Heard(NodeId node, Peer* peer, Line* line) {
  line->heard = loop_->Now();
  peer->life.Heard(line->heard);
  if (peer->disowned.empty()) return;
  Log("agent %u: heard again, %zu tasks that were taken for over are cut", node, peer->disowned.size());
  for (const TaskId id : std::exchange(peer->disowned, {})) {
    ++counters.tasks_disowned_cut;
    Writer(line->connection->out(), Type::kRelease, id).Add(Cause::kCancelled);
  }
}

void Pool::SendTest(Testing* test, Line* line) {
  ++counters.probes_sent;
  test->line = line->connection->tag;
  Writer(line->connection->out(), Type::kTest, test->id).Add(Cause::kTestPassed);
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
    peer.life.Unanswered(test.asked);
    Doubt(node, test.line, test.asked);
  }
  const Time took = loop_->Now() - test.asked;
  if (test.asker == Asker::kModule) events_->OnProbed(node, outcome, took, report);
  if (test.asker == Asker::kSites) events_->OnAsked(node, outcome, took);
}

void Pool::CloseIdle(NodeId node) {
  Peer& peer = peers_[node];
  if (Needed(peer) || !peer.open.empty() || !peer.tests.empty()) return;
  for (const Handle handle : std::vector<Handle>(peer.lines)) {
    if (const Line* line = lines_.Get(handle); line != nullptr && line->waiting.empty()) Remove(handle);
  }
}

// --- Connections -------------------------------------------------------------------------------------------
// Null where there is nobody to dial.
Pool::Line* Pool::Dial(NodeId node, Peer* peer) {
  loop_->TakeDown(std::exchange(peer->redial, 0));
  if (!peer->known || peer->gone) return nullptr;
  ++counters.agent_dials;
  Line fresh;
  fresh.connection = std::make_unique<Connection>(loop_, peer->address, this);
  fresh.node = node;
  fresh.dialled = loop_->Now();
  const Handle handle = lines_.Insert(std::move(fresh));
  peer->lines.push_back(handle);
  Line* line = lines_.Get(handle);
  line->connection->tag = handle;
  line->timer = loop_->After(times_.dial, [this, handle] { DialFailed(handle, Ending::kReset); });
  return line;
}

void Pool::Remove(Handle handle) {
  Line* line = lines_.Get(handle);
  if (line == nullptr) return;
  std::erase(peers_[line->node].lines, handle);
  loop_->TakeDown(line->timer);
  loop_->Bury(std::move(line->connection));
  lines_.Erase(handle);
}

void Pool::DialFailed(Handle handle, Ending ending) {
  Line* line = lines_.Get(handle);
  if (line == nullptr) return;
  const NodeId node = line->node;
  const Time dialled = line->dialled;
  const std::vector<Waiting> waiting = std::move(line->waiting);
  Remove(handle);
  Peer* peer = &peers_[node];
  if (ending != Ending::kRefused) peer->life.Unanswered(dialled);
  ++counters.agent_dials_failed;
  Log("agent %u: dial %s, %zu set-ups and %zu tests waiting, %zu tasks stand", node,
      ending == Ending::kRefused ? "refused" : "failed", waiting.size(), peer->tests.size(),
      peer->standing.size());
  // Guards against a machine that is cut off: connections on which nothing was heard while another could not
  // be made are not to be trusted. Tells a death from that: only where a process was can a dial be refused,
  // and then none of its other connections says anything.
  bool dead = ending == Ending::kRefused;
  for (const Handle each : peer->lines) {
    Line* other = lines_.Get(each);
    if (other->heard == 0) continue;
    // Guards against taking a node for dead that is leaving and has closed its door: its old connections
    // tell.
    if (ending == Ending::kRefused && peer->life.leaving() && other->heard < dialled && !other->doubted) {
      dead = false;
      if (other->connection->up()) AskWhetherAlive(node, peer, other);
      continue;
    }
    if (other->heard >= dialled || !std::exchange(other->doubted, true)) dead = false;
  }
  std::vector<TaskId> unsent;
  for (const Waiting& w : waiting) {
    Line* other = Best(*peer);
    if (other != nullptr && !other->doubted) {
      SendSetUp(peer, other, w);
    } else {
      unsent.push_back(w.id);
    }
  }
  for (const TaskId id : unsent) {
    ++counters.attempts_no_connection;
    events_->OnEnd(node, id, {Outcome::kNoConnection, Outcome::kAborted, Reason::kUntold, {}});
  }
  Hopeless(node);
  if (dead) events_->OnDead(node);
  peer = &peers_[node];
  if (dead) peer->cuts.clear();
  if (Needed(*peer) && !peer->gone && (peer->lines.empty() || ending == Ending::kRefused)) {
    RedialLater(node, peer);
  }
}

// What waits and has nowhere to go has not been sent.
void Pool::Hopeless(NodeId node) {
  Peer& peer = peers_[node];
  const std::vector<Waiting> waiting = std::exchange(peer.hopeless, {});
  std::vector<TaskId> tests;
  if (Dialling(peer) == nullptr) {
    for (const Testing& test : peer.tests) {
      if (test.line == 0) tests.push_back(test.id);
    }
  }
  for (const Waiting& w : waiting) {
    ++counters.attempts_no_connection;
    events_->OnEnd(node, w.id, {Outcome::kNoConnection, Outcome::kAborted, Reason::kUntold, {}});
  }
  for (const TaskId id : tests) EndTest(node, id, Outcome::kNoConnection, {});
}

void Pool::RedialLater(NodeId node, Peer* peer) {
  if (peer->redial != 0) return;
  peer->redial = loop_->After(kRedial, [this, node] {
    Peer& again = peers_[node];
    again.redial = 0;
    if (Needed(again) && Dialling(again) == nullptr) Dial(node, &again);
  });
}

// Something went unanswered. Where nothing at all was heard on that connection since, it may be cut off for
// good: another is tried beside it, and what the agent holds back arrives on that.
void Pool::Doubt(NodeId node, Handle handle, Time since) {
  Line* line = lines_.Get(handle);
  if (line == nullptr || line->heard >= since) return;
  line->doubted = true;
  Peer& peer = peers_[node];
  const Line* best = Best(peer);
  if ((best == nullptr || best->doubted) && Dialling(peer) == nullptr && peer.redial == 0) Dial(node, &peer);
}

void Pool::OnUp(Connection& connection) {
  Line* line = lines_.Get(connection.tag);
  if (line == nullptr) return;
  loop_->TakeDown(std::exchange(line->timer, 0));
  Peer& peer = peers_[line->node];
  Heard(line->node, &peer, line);
  for (const Waiting& w : std::exchange(line->waiting, {})) SendSetUp(&peer, line, w);
  for (Testing& test : peer.tests) {
    if (lines_.Get(test.line) == nullptr) SendTest(&test, line);
  }
  for (auto& [id, sent_on] : peer.cuts) {
    const Line* before = lines_.Get(sent_on);
    if (before == nullptr || before->doubted) SendCut(id, &sent_on, line);
  }
}

std::size_t Pool::OnData(Connection& connection, std::string_view data) {
  const Handle handle = connection.tag;
  Line* line = lines_.Get(handle);
  if (line == nullptr) return data.size();
  const NodeId node = line->node;
  Heard(node, &peers_[node], line);
  line->doubted = false;
  bool malformed = false, noise = false;
  const std::size_t taken = proto::DecodeAll(data, &malformed, [&](const Message& message) {
    noise = !Take(node, connection, message);
    return !noise && connection.open();
  });
  if (!connection.open()) return taken;
  if (malformed || noise) {
    ++counters.malformed;
    Log("agent %u: what it says cannot be read, closing its connection", node);
    connection.Close();
    OnEnd(connection, Ending::kReset);
  } else if (line = lines_.Get(handle); taken < data.size() && line != nullptr && line->timer == 0) {
    line->timer = loop_->After(kUnfinished, [this, handle] { WatchAge(handle); });
  }
  return taken;
}

// Guards against a message that stops short, or claims more than comes: whatever follows on that connection
// would be taken for a part of it, so that every set-up there waited until its deadline.
void Pool::WatchAge(Handle handle) {
  Line* line = lines_.Get(handle);
  if (line == nullptr) return;
  line->timer = 0;
  Connection& connection = *line->connection;
  const Time since = connection.unfinished_since;
  if (since == 0) return;
  if (loop_->Now() - since < kUnfinished) {
    line->timer = loop_->At(since + kUnfinished, [this, handle] { WatchAge(handle); });
    return;
  }
  ++counters.unfinished;
  Log("agent %u: a message of its does not end, closing its connection", line->node);
  connection.Close();
  OnEnd(connection, Ending::kReset);
}

void Pool::OnEnd(Connection& connection, Ending ending) {
  const Handle handle = connection.tag;
  const Line* line = lines_.Get(handle);
  if (line == nullptr) return;
  if (line->heard == 0) {
    DialFailed(handle, ending);
    return;
  }
  const NodeId node = line->node;
  if (ending == Ending::kReset) ++counters.agent_resets;
  Remove(handle);
  Peer* peer = &peers_[node];
  std::vector<TaskId> open;
  for (const auto& [id, sent] : peer->open) {
    if (sent.line == handle) open.push_back(id);
  }
  if (ending == Ending::kReset || !open.empty()) {
    Log("agent %u: connection %s, %zu set-ups open on it, %zu tasks stand", node,
        ending == Ending::kReset ? "reset" : "closed", open.size(), peer->standing.size());
  }
  std::ranges::sort(open);  // the order of a table is nobody's to rely on
  for (const TaskId id : open) peer->open.erase(id);
  for (const TaskId id : open) {
    ++counters.attempts_reset;
    events_->OnEnd(node, id, {Outcome::kAborted, Outcome::kAborted, Reason::kUntold, {}});
  }
  peer = &peers_[node];
  bool homeless = false;  // tests and cuts that were sent on it
  for (Testing& test : peer->tests) {
    if (test.line == handle) test.line = 0, homeless = true;
  }
  for (auto& [id, sent_on] : peer->cuts) {
    if (sent_on == handle) sent_on = 0, homeless = true;
  }
  // A reset may be the sign of a process that died: only another dial tells.
  const bool look = ending == Ending::kReset && Needed(*peer);
  if ((look || homeless || (Needed(*peer) && peer->lines.empty())) && Dialling(*peer) == nullptr) {
    if (Dial(node, peer) == nullptr) Hopeless(node);
  }
}

// --- Receiving ---------------------------------------------------------------------------------------------
// False where it is none that an agent sends: noise.
bool Pool::Take(NodeId node, Connection& connection, const Message& m) {
  Peer& peer = peers_[node];
  const bool ends = m.type == Type::kAnswer || m.type == Type::kRelease;
  if (m.type == Type::kAnswer && m.Get(Code::kDescription).empty()) return false;
  if (m.type == Type::kRelease && m.CauseOr(-1) < 0) return false;
  if (const auto it = peer.open.find(m.task); ends && it != peer.open.end()) {
    // Guards against a second copy of what ended an earlier attempt here: a set-up that has not left yet, or
    // that left by another connection, is not what it answers.
    if (it->second.turn == loop_->turn() || it->second.line != connection.tag) {
      ++counters.agent_stray;
      return true;
    }
    if (Line* line = lines_.Get(connection.tag)) --line->open;
    peer.open.erase(it);
    if (m.type == Type::kRelease) ++counters.agent_refusals;
  } else if (m.type == Type::kRelease) {
    ++counters.agent_releases;
  }
  switch (m.type) {
    case Type::kAnswer:
      events_->OnAnswer(node, m.task, m.Get(Code::kDescription));
      return true;
    case Type::kRelease:
      TakeRelease(node, m);
      return true;
    case Type::kNote:
      TakeNote(node, m);
      return true;
    case Type::kTestResult:
      TakeTestResult(node, m);
      return true;
    case Type::kProgress:
    case Type::kReleaseHeard:
    case Type::kTest:
      return true;  // free, or of no meaning here
    default:
      return false;
  }
}

void Pool::TakeRelease(NodeId node, const Message& m) {
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

void Pool::TakeTestResult(NodeId node, const Message& m) {
  const Peer& peer = peers_[node];
  if (std::ranges::find(peer.tests, m.task, &Testing::id) == peer.tests.end()) return;
  ++counters.probe_answers;
  const bool passed = m.CauseOr(0) == static_cast<int>(Cause::kTestPassed);
  EndTest(node, m.task, passed ? Outcome::kOk : Outcome::kError, ReadReport(m.Get(Code::kReport)));
}

}  // namespace willowrail

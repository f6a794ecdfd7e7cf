#include "bulletin/reader.h"

#include <utility>

#include "net/counters.h"
#include "net/log.h"

namespace willowrail {
namespace {

using nlohmann::json;
using passbridge::RosterKind;

// A comment comes every second, so this much silence is a break, also where the connection stays up. Each
// moment more is one for which drains, deaths and starts are not known; a call too many costs one connection.
constexpr Time kSilence = 1500 * kMs;
constexpr Time kUnaskedPause = 300 * kMs;
constexpr std::size_t kMostLine = 4 * 1024 * 1024;

}  // namespace

BulletinReader::BulletinReader(Loop* loop, const Config& config, DirectoryEvents* events)
    : loop_(loop),
      address_(config.bulletin),
      host_(AddressText(config.bulletin)),
      events_(events),
      roster_(config.zones, config.kinds),
      unasked_(!config.settings.ask_discovery) {
  http_parser_settings_init(&callbacks_);
  callbacks_.on_headers_complete = [](http_parser* p) {
    auto* reader = static_cast<BulletinReader*>(p->data);
    reader->failed_ = reader->failed_ || p->status_code != 200;
    return 0;
  };
  callbacks_.on_body = [](http_parser* p, const char* at, std::size_t size) {
    static_cast<BulletinReader*>(p->data)->Body({at, size});
    return 0;
  };
}

void BulletinReader::TellKnown(const json& known) {
  for (const json& item : known.value("items", json::array())) {
    Roster::Change change;
    roster_.Apply(item, &change);
  }
  Tell(RosterKind::kCached, roster_.All());
  if (unasked_) Connect();
}

void BulletinReader::MoveTo(const sockaddr_in& address, const json& known) {
  for (const json& item : known.value("items", json::array())) {
    Roster::Change change;
    if (roster_.Apply(item, &change)) Tell(change.full ? RosterKind::kFull : RosterKind::kDelta, change);
  }
  const std::string host = AddressText(address);
  if (host == host_) return;
  address_ = address;
  host_ = host;
  // Guards against news that only the new bulletin has: the old one falls silent without a sign. A call that
  // waits for its answer gets it there; where none was out, the next one finds the new address.
  if (connection_ == nullptr) return;
  loop_->Bury(std::move(connection_));
  Connect();
}

void BulletinReader::Tell(RosterKind kind, const Roster::Change& change) {
  events_->OnRoster(kind, change.version, change.nodes);
}

void BulletinReader::Subscribe(bool active) {
  if (!active) {
    loop_->Bury(std::move(connection_));
    loop_->TakeDown(std::exchange(silence_, 0));
    loop_->TakeDown(std::exchange(again_, 0));
    asked_ = false;
    return;
  }
  asked_ = true;
  if (connection_ == nullptr) {
    Connect();
  } else if (connection_->up() && loop_->Now() - heard_ < kSilence / 2) {
    AnswerCall();  // the stream is live: there is nothing newer than what was told
  }
}

void BulletinReader::Fetch() {
  const bool live = connection_ != nullptr && connection_->up();
  Tell(live ? RosterKind::kFull : RosterKind::kFailed, live ? roster_.All() : Roster::Change{});
}

void BulletinReader::Connect() {
  loop_->TakeDown(std::exchange(again_, 0));
  failed_ = told_ = false;
  line_.clear();
  data_.clear();
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  connection_ = std::make_unique<Connection>(loop_, address_, this);
  Hear();
}

// Every byte puts off the moment at which silence counts as a break.
void BulletinReader::Hear() {
  heard_ = loop_->Now();
  loop_->TakeDown(silence_);
  silence_ = loop_->At(heard_ + kSilence, [this] { Break("silent"); });
}

void BulletinReader::OnUp(Connection& connection) {
  ++counters.bulletin_connects;
  *connection.out() += "GET /bulletins HTTP/1.1\r\nHost: " + host_ +
                       "\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: " +
                       std::to_string(roster_.last()) + "\r\n\r\n";
}

std::size_t BulletinReader::OnData(Connection&, std::string_view data) {
  Hear();
  const std::size_t parsed = http_parser_execute(&parser_, &callbacks_, data.data(), data.size());
  if (parsed != data.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) failed_ = true;
  if (failed_) Break("unreadable");
  return data.size();
}

void BulletinReader::OnEnd(Connection&, Ending) { Break("closed"); }

void BulletinReader::Break(const char* why) {
  ++counters.bulletin_breaks;
  Log("bulletin: %s", why);
  loop_->Bury(std::move(connection_));
  loop_->TakeDown(std::exchange(silence_, 0));
  asked_ = false;
  if (unasked_) {
    again_ = loop_->After(kUnaskedPause, [this] { Connect(); });
  } else {
    Tell(RosterKind::kFailed, {});
  }
}

void BulletinReader::Body(std::string_view piece) {
  while (!piece.empty() && !failed_) {
    const std::size_t end = piece.find('\n');
    if (end == std::string_view::npos) {
      line_ += piece;
      failed_ = line_.size() > kMostLine;
      return;
    }
    std::string_view line = piece.substr(0, end);
    if (!line_.empty()) line = line_ += line;
    if (line.ends_with('\r')) line.remove_suffix(1);
    LineIn(line);
    line_.clear();
    piece.remove_prefix(end + 1);
  }
}

void BulletinReader::LineIn(std::string_view line) {
  told_ = true;
  if (line.empty()) {
    if (!data_.empty()) EventIn();
    data_.clear();
  } else if (line.starts_with(':')) {
    AnswerCall();  // a comment: nothing was missed
  } else if (line.starts_with("data:")) {
    line.remove_prefix(line.starts_with("data: ") ? 6 : 5);
    if (!data_.empty()) data_ += '\n';
    data_ += line;
    failed_ = failed_ || data_.size() > kMostLine;
  }  // the number of an event stands in its data too
}

void BulletinReader::EventIn() {
  Roster::Change change;
  try {
    if (!roster_.Apply(json::parse(data_), &change)) return;
  } catch (const std::exception& error) {
    Log("bulletin: %s", error.what());
    failed_ = true;
    return;
  }
  ++counters.bulletin_events;
  asked_ = false;
  Tell(change.full ? RosterKind::kFull : RosterKind::kDelta, change);
}

void BulletinReader::AnswerCall() {
  if (std::exchange(asked_, false)) Tell(RosterKind::kDelta, {false, 0, {}});
}

}  // namespace willowrail

#include "simulator/actions.h"

#include <variant>

namespace scheduling::simulator {
namespace {

// Writes one line: the name of the message, then its values, each preceded by a tab.
class LineWriter {
 public:
  LineWriter(std::string* to, const char* name) : to_(to) { *to_ += name; }
  ~LineWriter() { *to_ += '\n'; }
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  LineWriter& operator<<(std::int64_t value) { return *this << std::string_view(std::to_string(value)); }
  LineWriter& operator<<(std::string_view text) {
    *to_ += '\t';
    to_->append(text);
    return *this;
  }

 private:
  std::string* to_;
};

// Replaces control characters, so that the text stays on one line; "-" if it is empty.
std::string Sanitize(std::string_view text) {
  std::string clean(text);
  for (char& c : clean) {
    if (static_cast<unsigned char>(c) < ' ') c = ' ';
  }
  return clean.empty() ? "-" : clean;
}

// Two digits per byte; "-" if there are none.
std::string Hex(const std::string& bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  for (const char c : bytes) {
    out += kDigits[static_cast<unsigned char>(c) >> 4];
    out += kDigits[static_cast<unsigned char>(c) & 15];
  }
  return out.empty() ? "-" : out;
}

// Writes each kind of action as its message.
struct Writer {
  std::string* to;
  std::int64_t instance_id;
  const RequestNames* names;

  void operator()(const StartAttempt& a) const {
    LineWriter(to, "claim_room") << instance_id << names->NameOf(a.id) << a.node << a.deadline;
  }
  void operator()(const CancelAttempt& a) const {
    LineWriter(to, "retract") << instance_id << names->NameOf(a.id) << a.attempt;
  }
  void operator()(const RejectRequest& a) const {
    LineWriter(to, "not_now") << instance_id << names->NameOf(a.id) << a.retry_after;
  }
  void operator()(const FailRequest& a) const {
    LineWriter(to, "error") << instance_id << names->NameOf(a.id);
  }
  void operator()(const MigrateTask& a) const {
    LineWriter(to, "unseat") << instance_id << names->NameOf(a.id);
  }
  void operator()(const CheckNodeHealth& a) const { LineWriter(to, "test") << instance_id << a.node; }
  void operator()(const CloseIdleConnections& a) const {
    LineWriter(to, "drop_conns") << instance_id << a.node;
  }
  void operator()(const WatchEndpointList& a) const {
    LineWriter(to, "follow") << instance_id << (a.active ? 1 : 0);
  }
  void operator()(const FetchEndpointList&) const { LineWriter(to, "refresh") << instance_id; }
  void operator()(const SetTimer& a) const {
    LineWriter(to, "after") << instance_id << static_cast<std::int64_t>(a.tag) << a.at;
  }
  void operator()(const SendPeerMessage& a) const {
    LineWriter(to, "post") << instance_id << a.recipient << Hex(a.body);
  }
  void operator()(const LogMessage& a) const { LineWriter(to, "say_log") << instance_id << Sanitize(a.text); }
};

}  // namespace

void WriteAction(const Action& action, std::int64_t instance_id, const RequestNames& names, std::string* to) {
  std::visit(Writer{to, instance_id, &names}, action);
}

void WriteInternalError(std::int64_t instance_id, std::string_view text, std::string* to) {
  LineWriter(to, "internal_error") << instance_id << Sanitize(text);
}

}  // namespace scheduling::simulator

#include "protocol/message.h"

#include <charconv>
#include <cstdio>

namespace cluster_manager::protocol {
namespace {

constexpr std::size_t kLengthBytes = 2;
constexpr std::size_t kHeaderBytes = 1 + 8;           // type and task id
constexpr std::size_t kParameterHeaderBytes = 1 + 2;  // code and length of the value

std::uint64_t ReadBigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) value = value << 8 | static_cast<unsigned char>(byte);
  return value;
}

void AppendBigEndian(std::string* out, std::uint64_t value, int bytes) {
  char digits[8];
  for (int i = 0; i < bytes; ++i) digits[i] = static_cast<char>(value >> 8 * (bytes - 1 - i));
  out->append(digits, static_cast<std::size_t>(bytes));
}

}  // namespace

int Message::CauseOr(int fallback) const {
  const std::string_view value = Get(Code::kCause);
  return value.size() == 1 ? static_cast<unsigned char>(value[0]) : fallback;
}

DecodeStatus Decode(std::string_view data, Message* message, std::size_t* size) {
  if (data.size() < kLengthBytes) return DecodeStatus::kIncomplete;
  const std::size_t length = ReadBigEndian(data.substr(0, kLengthBytes));
  if (length < kHeaderBytes || kLengthBytes + length > kMaxMessageBytes) return DecodeStatus::kMalformed;
  if (data.size() < kLengthBytes + length) return DecodeStatus::kIncomplete;
  *size = kLengthBytes + length;
  message->type = static_cast<Type>(data[kLengthBytes]);
  message->task = ReadBigEndian(data.substr(kLengthBytes + 1, 8));
  std::string_view rest = data.substr(kLengthBytes + kHeaderBytes, length - kHeaderBytes);
  while (!rest.empty()) {
    if (rest.size() < kParameterHeaderBytes) return DecodeStatus::kMalformed;
    const auto code = static_cast<std::uint8_t>(rest[0]);
    const std::size_t bytes = ReadBigEndian(rest.substr(1, 2));
    if (rest.size() - kParameterHeaderBytes < bytes) return DecodeStatus::kMalformed;
    if (code >= Message::kFirst && code <= Message::kLast) {  // unknown codes are skipped
      message->values_[code - Message::kFirst] = rest.substr(kParameterHeaderBytes, bytes);
      message->present_[code - Message::kFirst] = true;
    }
    rest.remove_prefix(kParameterHeaderBytes + bytes);
  }
  return DecodeStatus::kMessage;
}

Writer::Writer(std::string* out, Type type, TaskId task) : out_(out), start_(out->size()) {
  AppendBigEndian(out_, 0, kLengthBytes);
  AppendBigEndian(out_, static_cast<std::uint8_t>(type), 1);
  AppendBigEndian(out_, task, 8);
}

Writer::~Writer() {
  const std::size_t length = out_->size() - start_ - kLengthBytes + external_bytes_;
  (*out_)[start_] = static_cast<char>(length >> 8);
  (*out_)[start_ + 1] = static_cast<char>(length);
}

Writer& Writer::Add(Code code, std::string_view value) {
  AppendBigEndian(out_, static_cast<std::uint8_t>(code), 1);
  AppendBigEndian(out_, value.size(), 2);
  out_->append(value);
  bytes_written += value.size();
  return *this;
}

Writer& Writer::Add(Code code, std::int64_t value) {
  char digits[24];
  const auto [end, error] = std::to_chars(digits, digits + sizeof digits, value);
  return Add(code, std::string_view(digits, static_cast<std::size_t>(end - digits)));
}

Writer& Writer::AddExternalBytes(std::size_t bytes) {
  external_bytes_ += bytes;
  return *this;
}

void AppendParameter(BlockPool::Ref* block, Code code, std::string_view value) {
  const char header[3] = {static_cast<char>(code), static_cast<char>(value.size() >> 8),
                          static_cast<char>(value.size())};
  block->Append({header, sizeof header});
  block->Append(value);
}

Writer& Writer::Add(Cause cause) {
  const char byte = static_cast<char>(cause);
  return Add(Code::kCause, std::string_view(&byte, 1));
}

std::string FormatTaskId(TaskId task) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(task));
  return text;
}

}  // namespace cluster_manager::protocol

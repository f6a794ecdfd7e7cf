#include "shared_file/shared_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cinttypes>
#include <cstdio>
#include <ctime>

#include "containers/hash.h"

namespace cluster_manager {
namespace {

constexpr std::size_t kMaxFileBytes = 64 << 20;  // a longer file was not written by this program
// Modification times have a coarse resolution: a file that was changed this recently may be changed again
// with the same modification time. Nanoseconds.
constexpr std::int64_t kModificationTimeResolution = 100'000'000;
constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

// Owns the descriptor of an open file.
class OpenFile {
 public:
  OpenFile(const std::string& path, int flags) : descriptor_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
  ~OpenFile() {
    const int saved_errno = errno;               // the caller reports the error of an earlier call
    if (descriptor_ >= 0) ::close(descriptor_);  // releases the lock as well
    errno = saved_errno;
  }
  OpenFile(const OpenFile&) = delete;
  OpenFile& operator=(const OpenFile&) = delete;
  void Lock() const {
    while (::flock(descriptor_, LOCK_EX) != 0 && errno == EINTR) {
    }
  }
  int descriptor() const { return descriptor_; }
  bool is_open() const { return descriptor_ >= 0; }

 private:
  const int descriptor_;
};

std::int64_t NanosecondsSinceEpoch() {
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  return std::int64_t{now.tv_sec} * kNanosecondsPerSecond + now.tv_nsec;
}

// The first line of the file. The time tells two writes of the same text apart; the hash covers it too.
std::string FormatHeader(std::string_view text, std::int64_t written_at) {
  std::array<char, 96> line;
  const std::uint64_t hash =
      XXH3_64bits_withSeed(text.data(), text.size(), static_cast<std::uint64_t>(written_at));
  const int length =
      std::snprintf(line.data(), line.size(), "willowrail 1 %020" PRId64 " %zu %016" PRIx64 "\n", written_at,
                    text.size(), hash);
  return {line.data(), static_cast<std::size_t>(length)};
}

struct StoredText {
  std::string text;
  std::int64_t written_at = 0;  // nanoseconds since the epoch, later than that of every text before it
};

std::string ReadBytes(int descriptor) {
  std::string bytes;
  std::array<char, 16384> buffer;
  while (bytes.size() <= kMaxFileBytes) {
    const ssize_t count = ::pread(descriptor, buffer.data(), buffer.size(), static_cast<off_t>(bytes.size()));
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;
    bytes.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return bytes;
}

// Nothing where the file does not hold a complete text.
std::optional<StoredText> ReadStoredText(int descriptor) {
  const std::string bytes = ReadBytes(descriptor);
  const std::size_t header_end = bytes.find('\n');
  if (header_end == std::string::npos) return std::nullopt;
  StoredText stored{bytes.substr(header_end + 1), 0};
  if (std::sscanf(bytes.c_str(), "willowrail 1 %" SCNd64, &stored.written_at) != 1) return std::nullopt;
  const std::string expected_header = FormatHeader(stored.text, stored.written_at);
  if (bytes.compare(0, header_end + 1, expected_header) != 0) return std::nullopt;
  return stored;
}

// Replaces the content of the file. False, with errno set, where it cannot be written.
bool WriteBytes(int descriptor, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        ::pwrite(descriptor, bytes.data() + written, bytes.size() - written, static_cast<off_t>(written));
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    written += static_cast<std::size_t>(count);
  }
  return ::ftruncate(descriptor, static_cast<off_t>(bytes.size())) == 0;
}

}  // namespace

std::optional<std::string> SharedFile::ReadIfChanged() {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) return std::nullopt;
  const FileState state{status.st_ino,
                        std::int64_t{status.st_mtim.tv_sec} * kNanosecondsPerSecond + status.st_mtim.tv_nsec,
                        status.st_size};
  if (last_read_state_ == state) return std::nullopt;
  const bool is_stable = NanosecondsSinceEpoch() - state.modified_at > kModificationTimeResolution;
  const OpenFile file(
      path_, O_RDONLY);  // without the lock: a text that is being written is recognized as incomplete
  if (!file.is_open()) return std::nullopt;
  std::optional<StoredText> stored = ReadStoredText(file.descriptor());
  last_read_state_ = is_stable ? std::optional(state) : std::nullopt;
  if (!stored || stored->written_at == last_written_at_) return std::nullopt;
  last_written_at_ = stored->written_at;
  return std::move(stored->text);
}

std::optional<std::string> SharedFile::Replace(const Change& change) {
  OpenFile file(path_, O_RDWR | O_CREAT);
  if (!file.is_open()) return std::nullopt;
  file.Lock();
  const std::optional<StoredText> stored = ReadStoredText(file.descriptor());
  std::string text = change(stored ? std::optional(stored->text) : std::nullopt);
  const std::int64_t written_at = std::max(NanosecondsSinceEpoch(), stored ? stored->written_at + 1 : 0);
  if (!WriteBytes(file.descriptor(), FormatHeader(text, written_at) + text)) return std::nullopt;
  last_written_at_ = written_at;
  last_read_state_.reset();
  return text;
}

}  // namespace cluster_manager

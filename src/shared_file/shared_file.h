// A small file that the processes of one cluster manager share during a handover. One process at a time
// changes it (flock on the file itself), and it is read as a whole or not at all: its first line holds the
// length and hash of the rest, so that a text that is being written, or that a killed writer left, is
// recognized as incomplete.
//
// It is written in place and never synced. Replacing it by rename would be slower: some file systems flush a
// file to disk before a rename takes effect, and the caller waits (0.6 to 1.5 s were measured on a busy
// disk). The content need not survive a crash of the machine. ReadIfChanged() does not wait for the lock. Any
// call may wait for the disk, so SharedFileMonitor makes them on its own thread. An object is used by one
// thread at a time.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cluster_manager {

class SharedFile {
 public:
  // Returns the new text. `text` is the current one; nothing where there is no complete text.
  using Change = std::function<std::string(const std::optional<std::string>& text)>;

  // No I/O: the file need not exist.
  explicit SharedFile(std::string path) : path_(std::move(path)) {}

  // Returns the text where another object or process has written it since the last read or write by this
  // object. Nothing where it is unchanged, or where there is no complete text.
  std::optional<std::string> ReadIfChanged();
  // Replaces the text by the result of `change`, under the lock, and returns the new text. Creates the file
  // where it does not exist. Nothing, with errno set, where the file cannot be written; `change` may then not
  // have been called.
  std::optional<std::string> Replace(const Change& change);

 private:
  // The attributes by which a change of the file is detected.
  struct FileState {
    std::uint64_t inode = 0;
    std::int64_t modified_at = 0;  // nanoseconds since the epoch
    std::int64_t size = -1;        // bytes
    bool operator==(const FileState&) const = default;
  };

  std::string path_;
  std::optional<FileState>
      last_read_state_;               // while the file has this state it is not read again; none: always read
  std::int64_t last_written_at_ = 0;  // from the header of the text that was last read or written
};

}  // namespace cluster_manager

// A small file that the processes of one cluster manager share while one takes over from another: always
// whole (written beside it and renamed), changed by one at a time (a lock beside it). It lives where the
// platform says, $TMPDIR, which is memory: nothing is synced, and nothing outlives the machine.
#pragma once

#include <functional>
#include <optional>
#include <string>

namespace willowrail {

class SharedFile {
 public:
  explicit SharedFile(std::string path) : path_(std::move(path)) {}

  // What it holds, where that is not what was read or written here last. Nothing where there is no file.
  std::optional<std::string> Changed();
  // Replaces it by what `change` makes of what it holds now (nothing where there is none). False where the
  // folder cannot be written; `change` may not have been asked then.
  bool Change(const std::function<std::string(const std::optional<std::string>& now)>& change);

 private:
  struct Mark {
    std::uint64_t inode = 0;
    std::int64_t at = 0, size = -1;
    bool operator==(const Mark&) const = default;
  };
  std::optional<Mark> Look() const;

  std::string path_;
  Mark seen_;
};

}  // namespace willowrail

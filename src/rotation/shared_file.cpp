#include "rotation/shared_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iterator>

namespace willowrail {
namespace {

std::string ReadAll(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

std::optional<SharedFile::Mark> SharedFile::Look() const {
  struct stat now {};
  if (::stat(path_.c_str(), &now) != 0) return std::nullopt;
  return Mark{now.st_ino, std::int64_t{now.st_mtim.tv_sec} * 1'000'000'000 + now.st_mtim.tv_nsec,
              now.st_size};
}

std::optional<std::string> SharedFile::Changed() {
  const std::optional<Mark> now = Look();
  if (!now || *now == seen_) return std::nullopt;
  seen_ = *now;  // before it is read: a change in between is met at the next look
  return ReadAll(path_);
}

bool SharedFile::Change(const std::function<std::string(const std::optional<std::string>& now)>& change) {
  const int lock = ::open((path_ + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock < 0) return false;
  bool done = ::flock(lock, LOCK_EX) == 0;
  if (done) {
    const std::string fresh = path_ + ".new";
    {
      std::ofstream file(fresh, std::ios::trunc);
      file << change(Look() ? std::optional(ReadAll(path_)) : std::nullopt);
      file.flush();
      done = file.good();
    }
    done = done && std::rename(fresh.c_str(), path_.c_str()) == 0;
    if (const std::optional<Mark> now = Look(); done && now) seen_ = *now;
  }
  ::close(lock);
  return done;
}

}  // namespace willowrail

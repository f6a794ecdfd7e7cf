// An in-memory file system for SQLite that injects faults. It distinguishes synced data from data that was
// only written. It can fail, crash or become full at the n-th operation that changes anything; after a crash
// the files have the synced data and any part of the unsynced data, torn at sector boundaries.
#pragma once

#include <sqlite3.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace cluster_manager::store {

class FaultVfs {
 public:
  using Data = std::vector<std::uint8_t>;
  static constexpr std::size_t kSector = 512;
  static constexpr const char* kVfsName = "willowrail-test-disk";
  enum class Fault { kNone, kCrash, kError, kFull };

  FaultVfs() {
    static sqlite3_vfs sqlite_vfs = MakeVfs();
    sqlite_vfs.pAppData = this;
    sqlite3_vfs_register(&sqlite_vfs, 0);
  }

  int operations = 0;  // the number of changing operations so far
  int fault_at = -1;   // the operation at which the fault occurs; kFull remains from then on; -1: none
  Fault fault = Fault::kNone;
  bool crashed = false, read_only = false;

  // Restarts the machine after a crash.
  void Restart(pcg32* random) {
    for (auto it = files_.begin(); it != files_.end();) {
      File& file = it->second;
      Data data = file.synced;
      for (const Change& change : file.unsynced) {
        const std::uint32_t choice = (*random)(3);
        if (choice == 0) continue;
        if (change.truncate) {
          data.resize(change.offset);
          continue;
        }
        const std::size_t sectors = (change.data.size() + kSector - 1) / kSector;
        const std::size_t kept_sectors =
            choice == 1 ? sectors : (*random)(static_cast<std::uint32_t>(sectors) + 1);
        const std::size_t length = std::min(change.data.size(), kept_sectors * kSector);
        if (length == 0) continue;
        if (data.size() < change.offset + length) data.resize(change.offset + length);
        std::memcpy(data.data() + change.offset, change.data.data(), length);
      }
      const bool exists = file.name_durable || (*random)(2) == 0;
      file = {data, data, {}, exists};
      it = exists ? std::next(it) : files_.erase(it);
    }
    ClearFault();
  }
  void ClearFault() { operations = 0, fault_at = -1, fault = Fault::kNone, crashed = false; }
  Data ReadFile(const std::string& name) { return files_[name].content; }
  void WriteFile(const std::string& name, Data data) { files_[name] = {data, data, {}, true}; }
  void RemoveAllFiles() { files_.clear(), ClearFault(); }
  bool Exists(const std::string& name) const { return files_.contains(name); }

 private:
  struct Change {
    std::size_t offset;
    bool truncate;
    Data data;
  };
  struct File {
    Data content, synced;
    std::vector<Change> unsynced;
    bool name_durable = false;  // the directory entry is synced
  };
  struct Handle {
    sqlite3_file base;
    FaultVfs* vfs;
    File* file;
  };
  static Handle& HandleOf(sqlite3_file* file) { return *reinterpret_cast<Handle*>(file); }
  static FaultVfs* VfsOf(sqlite3_vfs* sqlite_vfs) { return static_cast<FaultVfs*>(sqlite_vfs->pAppData); }

  // Counts an operation that changes something, and returns SQLITE_OK or the injected error. After a crash
  // every operation fails.
  int CountOperation(int error, bool needs_space) {
    if (crashed) return error;
    const bool fault_now = operations++ == fault_at;
    if (fault == Fault::kCrash && fault_now) crashed = true;
    if (fault == Fault::kFull && fault_at >= 0 && operations > fault_at && needs_space) return SQLITE_FULL;
    return crashed || (fault == Fault::kError && fault_now) ? error : SQLITE_OK;
  }

  static int Open(sqlite3_vfs* sqlite_vfs, const char* name, sqlite3_file* out, int flags, int* out_flags) {
    FaultVfs* vfs = VfsOf(sqlite_vfs);
    Handle& handle = HandleOf(out);
    handle.base.pMethods = nullptr;
    const bool exists = vfs->files_.contains(name);
    if (!exists && (vfs->read_only || (flags & SQLITE_OPEN_CREATE) == 0)) return SQLITE_CANTOPEN;
    if (!exists) {
      if (const int code = vfs->CountOperation(SQLITE_CANTOPEN, false); code != SQLITE_OK) return code;
    }
    if (vfs->crashed) return SQLITE_CANTOPEN;
    if (out_flags != nullptr) *out_flags = vfs->read_only ? SQLITE_OPEN_READONLY : flags;
    static const sqlite3_io_methods methods = MakeMethods();
    handle = {{&methods}, vfs, &vfs->files_[name]};
    return SQLITE_OK;
  }
  static int Delete(sqlite3_vfs* sqlite_vfs, const char* name, int) {
    FaultVfs* vfs = VfsOf(sqlite_vfs);
    if (const int code = vfs->CountOperation(SQLITE_IOERR_DELETE, false); code != SQLITE_OK) return code;
    return vfs->files_.erase(name) == 1 ? SQLITE_OK : SQLITE_IOERR_DELETE_NOENT;
  }
  static int Access(sqlite3_vfs* sqlite_vfs, const char* name, int, int* out) {
    *out =
        VfsOf(sqlite_vfs)->files_.contains(name) && !VfsOf(sqlite_vfs)->files_[name].content.empty() ? 1 : 0;
    return SQLITE_OK;
  }
  static int Read(sqlite3_file* file, void* out, int size, sqlite3_int64 offset) {
    const Data& content = HandleOf(file).file->content;
    const auto from = std::min(content.size(), static_cast<std::size_t>(offset));
    const std::size_t available = std::min(content.size() - from, static_cast<std::size_t>(size));
    std::memset(out, 0, static_cast<std::size_t>(size));
    if (available > 0) std::memcpy(out, content.data() + from, available);
    return available == static_cast<std::size_t>(size) ? SQLITE_OK : SQLITE_IOERR_SHORT_READ;
  }
  static int Write(sqlite3_file* file, const void* in, int size, sqlite3_int64 offset) {
    Handle& handle = HandleOf(file);
    const bool was_crashed = handle.vfs->crashed;
    const int code = handle.vfs->CountOperation(SQLITE_IOERR_WRITE, true);
    if (code != SQLITE_OK && (was_crashed || !handle.vfs->crashed)) return code;
    // The write during which the machine crashes may be present, in whole or in part.
    const auto* data = static_cast<const std::uint8_t*>(in);
    const auto from = static_cast<std::size_t>(offset), length = static_cast<std::size_t>(size);
    handle.file->unsynced.push_back({from, false, Data(data, data + length)});
    Data& content = handle.file->content;
    if (content.size() < from + length) content.resize(from + length);
    std::memcpy(content.data() + from, data, length);
    return code;
  }
  static int Truncate(sqlite3_file* file, sqlite3_int64 size) {
    Handle& handle = HandleOf(file);
    if (const int code = handle.vfs->CountOperation(SQLITE_IOERR_TRUNCATE, false); code != SQLITE_OK)
      return code;
    handle.file->unsynced.push_back({static_cast<std::size_t>(size), true, {}});
    handle.file->content.resize(static_cast<std::size_t>(size));
    return SQLITE_OK;
  }
  static int Sync(sqlite3_file* file, int) {
    Handle& handle = HandleOf(file);
    const int code = handle.vfs->CountOperation(SQLITE_IOERR_FSYNC, false);
    // Like the page cache of an operating system: data that a failed sync did not write is still returned by
    // reads, and is never written again.
    if (code == SQLITE_OK) handle.file->synced = handle.file->content, handle.file->name_durable = true;
    if (!handle.vfs->crashed) handle.file->unsynced.clear();
    return code;
  }
  static int Size(sqlite3_file* file, sqlite3_int64* out) {
    *out = static_cast<sqlite3_int64>(HandleOf(file).file->content.size());
    return SQLITE_OK;
  }
  static sqlite3_io_methods MakeMethods() {
    sqlite3_io_methods methods{};
    methods.iVersion = 1;
    methods.xClose = [](sqlite3_file*) { return SQLITE_OK; };
    methods.xRead = Read;
    methods.xWrite = Write;
    methods.xTruncate = Truncate;
    methods.xSync = Sync;
    methods.xFileSize = Size;
    methods.xLock = methods.xUnlock = [](sqlite3_file*, int) { return SQLITE_OK; };
    methods.xCheckReservedLock = [](sqlite3_file*, int* out) { return *out = 0, SQLITE_OK; };
    methods.xFileControl = [](sqlite3_file*, int, void*) { return SQLITE_NOTFOUND; };
    methods.xSectorSize = [](sqlite3_file*) { return static_cast<int>(kSector); };
    methods.xDeviceCharacteristics = [](sqlite3_file*) { return 0; };
    return methods;
  }
  static sqlite3_vfs MakeVfs() {
    sqlite3_vfs sqlite_vfs =
        *sqlite3_vfs_find(nullptr);  // randomness, sleep and the clock remain those of the system
    sqlite_vfs.zName = kVfsName;
    sqlite_vfs.pNext = nullptr;
    sqlite_vfs.szOsFile = sizeof(Handle);
    sqlite_vfs.xOpen = Open;
    sqlite_vfs.xDelete = Delete;
    sqlite_vfs.xAccess = Access;
    sqlite_vfs.xFullPathname = [](sqlite3_vfs*, const char* name, int size, char* out) {
      return sqlite3_snprintf(size, out, "%s", name), SQLITE_OK;
    };
    return sqlite_vfs;
  }

  std::map<std::string, File> files_;
};

}  // namespace cluster_manager::store

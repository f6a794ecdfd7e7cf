// Runs instances of the scheduler under the simulator protocol: batches of events in, batches of actions out.
#pragma once

#include <array>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scheduling/scheduler.h"
#include "simulator/fields.h"
#include "simulator/request_names.h"

namespace scheduling::simulator {

// Owns the scheduler instances and the endpoint lists (catalogs) sent by the simulator. Not thread-safe.
class Host {
 public:
  // Replies are written to `out`, which must outlive the host.
  explicit Host(std::ostream& out) : out_(out) {}

  // Handles one line, without its newline. Throws ProtocolError if it is malformed.
  void ProcessLine(std::string_view line);
  // Must be called at the end of the input. Throws ProtocolError if a batch is incomplete.
  void Finish() const;

 private:
  using Catalog = std::shared_ptr<const std::vector<NodeEntry>>;

  void OpenBatch(const Fields& fields);
  void CloseBatch(const Fields& fields);
  void BeginInstance(const Fields& fields);
  void OpenCatalog(const Fields& fields);
  void AddCatalogEntry(const Fields& fields);
  void ChangeEndpointList(const Fields& fields);
  void DestroyInstance(const Fields& fields);
  void HandleEvent(const Fields& fields);
  struct Instance {
    std::optional<Scheduler> scheduler;  // empty after an exception
    RequestNames names;
  };
  Instance& FindInstance(const Fields& fields);
  void Deliver(const Fields& fields, Instance* instance, const Event& event, RequestId request_id);

  std::ostream& out_;
  std::size_t line_number_ = 0;
  bool in_batch_ = false;
  Time now_ = 0;
  std::string batch_;
  std::string reply_;
  std::map<std::int64_t, Instance> instances_;
  std::array<Catalog, 16> catalogs_;
  std::size_t remaining_entries_ = 0;
  std::size_t open_catalog_ = 0;
  std::shared_ptr<std::vector<NodeEntry>> open_entries_;
};

// Handles lines until the input ends. Returns the exit status; an error is written to `errors` as one line.
int Run(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace scheduling::simulator

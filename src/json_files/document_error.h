// Errors of JSON files: DocumentError for documents written by operators, StoredDataError for data written by
// an earlier process.
#pragma once

#include <stdexcept>

namespace cluster_manager::json_files {

// A document that cannot be used. The text has one line per error: "FILE: PLACE: the problem, what is valid".
class DocumentError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Stored data that this process cannot use: it has another format, is damaged, or belongs to another process.
// The text names the part and what was expected.
class StoredDataError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace cluster_manager::json_files

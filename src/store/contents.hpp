// A summary of a store file, and the progress of reading it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace thornwick::store {

// A summary of a whole file.
struct Contents {
  struct Table {
    std::string name;
    std::uint32_t version = 0;  // version of the records' form
    std::uint64_t records = 0;
    std::uint64_t bytes = 0;  // size of the keys and values, without checksums
  };
  std::vector<Table> tables;     // in the order of their names
  std::uint64_t serial = 0;      // number of batches ever written
  std::uint64_t file_bytes = 0;  // the file's size
  std::uint64_t used_bytes = 0;  // size of the pages in use
  std::uint64_t max_bytes = 0;   // the largest size that the file may grow to
};

// Called with (records seen so far, records in all).
using Progress = std::function<void(std::uint64_t, std::uint64_t)>;

// Counts records and reports at every ten thousandth and at the last one.
class ProgressReporter {
 public:
  // `progress` may be empty, and must outlive this.
  ProgressReporter(const Progress& progress, std::uint64_t total) : progress_(progress), total_(total) {}

  void on_record() {
    ++seen_;
    if (progress_ && (seen_ % kInterval == 0 || seen_ == total_)) progress_(seen_, total_);
  }

 private:
  static constexpr std::uint64_t kInterval = 10'000;

  const Progress& progress_;
  std::uint64_t total_;
  std::uint64_t seen_ = 0;
};

}  // namespace thornwick::store

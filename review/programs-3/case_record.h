// Defines case_record, the record of what was sent, answered and run.
#ifndef REVIEW_PROGRAMS_3_CASE_RECORD_H_
#define REVIEW_PROGRAMS_3_CASE_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using steady_clock = std::chrono::steady_clock;

// Thread-safe.
class case_record {
 public:
  explicit case_record(const std::string& path) : file_(path) {}

  // Writes a line that begins with the seconds since the start.
  void Write(const std::string& line) {
    const std::scoped_lock lock(mutex_);
    const std::chrono::duration<double> since = steady_clock::now() - begin_;
    file_ << since.count() << ' ' << line << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  steady_clock::time_point begin_ = steady_clock::now();
};

}  // namespace review

#endif  // REVIEW_PROGRAMS_3_CASE_RECORD_H_

// Defines entry_process, one process of the deploy file's role, and the
// settings that the platform gives it.
#ifndef REVIEW_PROGRAMS_3_ENTRY_PROCESS_H_
#define REVIEW_PROGRAMS_3_ENTRY_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace review {

// Where a process runs, and what it reaches.
struct entry_place {
  std::string name;
  std::string zone;
  std::string store;
  std::string cloud;
};

// Keeps its ports over restarts.
class entry_process {
 public:
  // `command` is the line "run" of the deploy file. Settings and output are
  // written to `folder`.
  entry_process(std::string command, std::string folder, entry_place place);

  // The process ends with the thread that calls this.
  void Start();
  // Sends SIGKILL and waits for the end of the process.
  void Kill();
  // Sends SIGTERM, waits for the end of the process and starts it again.
  void Restart();
  // Whether the process says that it is ready.
  bool IsReady() const;

  const std::string& name() const { return place_.name; }
  std::uint16_t port() const { return ports_[0]; }

 private:
  void WriteSettings() const;

  std::string command_;
  std::string folder_;
  entry_place place_;
  // For callers, readiness, administration and reports.
  std::vector<std::uint16_t> ports_;
  pid_t process_ = 0;
};

}  // namespace review

#endif  // REVIEW_PROGRAMS_3_ENTRY_PROCESS_H_

// Defines small_deployment: entry processes, plain engines and the platform,
// with callers that send requests at a steady rate.
#ifndef REVIEW_PROGRAMS_3_SMALL_DEPLOYMENT_H_
#define REVIEW_PROGRAMS_3_SMALL_DEPLOYMENT_H_

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/programs-3/case_record.h"
#include "review/programs-3/engine_stand_in.h"
#include "review/programs-3/entry_process.h"
#include "review/programs-3/platform_stand_in.h"

namespace review {

// What became of one request. Times are those of steady_clock.
struct sent_request {
  std::string id;
  // The entry instance that it was sent to.
  std::string entry;
  steady_clock::time_point sent_at;
  // Status of the answer; 0 without one.
  unsigned status = 0;
  bool answered = false;
  // The engines that it reached.
  std::vector<std::string> engines;
};

// The arguments of a case's program.
struct case_arguments {
  // The line "run" of the deploy file.
  std::string command;
  // A temporary folder for settings and logs.
  std::string folder;
  // The file of the record.
  std::string record;
  // Whether the disruption takes place.
  bool trouble = true;
};

// Returns the arguments COMMAND FOLDER RECORD TROUBLE. Ends the program with 2
// if they are wrong.
case_arguments ReadArguments(int argc, char** argv);

// Never destroyed: the program ends with its threads.
class small_deployment {
 public:
  small_deployment(const case_arguments& arguments,
                   std::size_t entries,
                   std::size_t engines,
                   std::chrono::milliseconds work);
  // Starts one more engine, which writes its entry, and returns its index.
  std::size_t AddEngine();
  small_deployment(const small_deployment&) = delete;
  small_deployment& operator=(const small_deployment&) = delete;

  // Starts the processes and waits until all are ready. False if they are not
  // within ten seconds.
  bool Start();

  // Sends requests of type `non_idempotent` on connections of their own, to one
  // entry instance after the other, until StopCallers().
  void StartCallers(int per_second);
  // Waits until all requests are answered or given up.
  void StopCallers();

  // Ends the entry processes.
  void End();

  platform_stand_in& platform() { return platform_; }
  entry_process& entry(std::size_t index) { return *entries_[index]; }
  std::size_t entries() const { return entries_.size(); }
  engine_stand_in& engine(std::size_t index) { return *engines_[index]; }
  case_record& record() { return record_; }

  std::vector<sent_request> requests() const;
  // When an instance was first told by the store that an entry is gone.
  std::map<std::string, steady_clock::time_point> told_of_removal(
      const std::string& id) const;

 private:
  void NoteRemoval(const std::string& entry, const std::string& id);
  void NoteRun(const std::string& engine, const std::string& request);
  void Send(std::size_t number);

  std::chrono::milliseconds work_;
  case_record record_;
  mutable std::mutex mutex_;
  std::map<std::string, sent_request> requests_;
  std::map<std::string, std::map<std::string, steady_clock::time_point>> told_;
  platform_stand_in platform_;
  std::vector<std::unique_ptr<engine_stand_in>> engines_;
  std::vector<std::unique_ptr<entry_process>> entries_;
  std::atomic<bool> calling_{false};
  std::atomic<int> unanswered_{0};
};

}  // namespace review

#endif  // REVIEW_PROGRAMS_3_SMALL_DEPLOYMENT_H_

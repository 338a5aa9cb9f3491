// Defines engine_stand_in, a stand-in for an engine of a plain service.
#ifndef REVIEW_PROGRAMS_3_ENGINE_STAND_IN_H_
#define REVIEW_PROGRAMS_3_ENGINE_STAND_IN_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <string>

#include "review/programs-3/loopback_server.h"

namespace review {

// Thread-safe.
class engine_stand_in {
 public:
  // Called when a request that names this engine arrives.
  using run_listener =
      std::function<void(const engine_stand_in&, const std::string& request)>;

  engine_stand_in(std::string service,
                  std::string id,
                  std::string zone,
                  std::chrono::milliseconds work,
                  run_listener on_run);

  const std::string& id() const { return id_; }
  // The engine's entry in the store.
  std::string Entry() const;
  // Raises the sequence number of the entry.
  void Beat() { ++sequence_; }
  bool leaving() const { return leaving_; }

  // From now on all answers say that the engine is leaving.
  void Leave() { leaving_ = true; }
  // Ends the engine, with all that it runs.
  void End() { server_.SetAway(true); }

 private:
  std::optional<http_response> Handle(http_request& request);

  std::string service_;
  std::string id_;
  std::string zone_;
  std::chrono::milliseconds work_;
  run_listener on_run_;
  std::atomic<bool> leaving_{false};
  std::atomic<int> sequence_{1};
  long long born_ms_;
  loopback_server server_;
};

}  // namespace review

#endif  // REVIEW_PROGRAMS_3_ENGINE_STAND_IN_H_

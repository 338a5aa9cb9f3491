// Defines worker, what one request-serving thread owns.
#ifndef ENTRY_WORKER_H_
#define ENTRY_WORKER_H_

#include <boost/asio/io_context.hpp>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "entry/process_state.h"
#include "entry/request_metrics.h"
#include "entry/stream_session.h"
#include "wire/http_client.h"
#include "wire/http_object_store.h"

namespace anvilloom {

// Touched only by its own thread, so nothing in it needs a lock.
class worker {
 public:
  worker(process_state& process,
         boost::asio::io_context& context,
         std::size_t thread);

  process_state& process() { return process_; }
  boost::asio::io_context& context() { return context_; }
  std::size_t thread() const { return thread_; }
  http_client& client() { return client_; }
  // The platform's object API, for claims.
  http_object_store& objects() { return objects_; }
  request_metrics& metrics() { return metrics_; }

  // An id that no other stream of any instance has. It names this instance
  // and thread, so that a reconnecting caller can be sent to its stream.
  std::string NextStreamId();
  // A token that no other attempt of any instance has.
  std::string NextAttemptToken() { return NextStreamId(); }

  void AddStream(std::shared_ptr<stream_session> session);
  void RemoveStream(std::string_view stream_id);
  std::shared_ptr<stream_session> FindStream(std::string_view stream_id) const;

  template <std::invocable<stream_session&> Visit>
  void ForEachStream(Visit visit) const {
    for (const auto& [id, session] : streams_) {
      visit(*session);
    }
  }

 private:
  process_state& process_;
  boost::asio::io_context& context_;
  std::size_t thread_;
  http_client client_;
  http_object_store objects_;
  request_metrics metrics_;
  std::uint64_t next_stream_ = 1;
  std::map<std::string, std::shared_ptr<stream_session>, std::less<>> streams_;
};

}  // namespace anvilloom

#endif  // ENTRY_WORKER_H_

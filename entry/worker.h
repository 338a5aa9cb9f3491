// Defines worker, the state owned by one request-serving thread.
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

// Accessed only by its own thread, so it needs no lock.
class worker {
 public:
  worker(process_state& process,
         boost::asio::io_context& context,
         std::size_t thread);

  process_state& process() { return process_; }
  boost::asio::io_context& context() { return context_; }
  std::size_t thread() const { return thread_; }
  http_client& client() { return client_; }
  // Client of the object API, in which claims are stored.
  http_object_store& objects() { return objects_; }
  request_metrics& metrics() { return metrics_; }

  // Returns a stream id that is unique across all instances. It names this
  // instance and thread, so that a reconnecting caller can be routed to its
  // stream.
  std::string NextStreamId();
  // Returns an attempt token that is unique across all instances.
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

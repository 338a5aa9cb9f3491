#include "entry/worker.h"

#include <utility>

namespace anvilloom {

worker::worker(process_state& process,
               boost::asio::io_context& context,
               std::size_t thread)
    : process_(process),
      context_(context),
      thread_(thread),
      client_(context.get_executor()),
      objects_(context.get_executor(), process.settings.object_api) {}

std::string worker::NextStreamId() {
  std::string id = process_.RunName();
  id += '.';
  id += std::to_string(thread_);
  id += '.';
  id += std::to_string(next_stream_++);
  return id;
}

void worker::AddStream(std::shared_ptr<stream_session> session) {
  std::string id = session->order().stream_id;
  streams_.emplace(std::move(id), std::move(session));
}

void worker::RemoveStream(std::string_view stream_id) {
  const auto found = streams_.find(stream_id);
  if (found != streams_.end()) {
    streams_.erase(found);
  }
}

std::shared_ptr<stream_session> worker::FindStream(
    std::string_view stream_id) const {
  const auto found = streams_.find(stream_id);
  return found == streams_.end() ? nullptr : found->second;
}

}  // namespace anvilloom

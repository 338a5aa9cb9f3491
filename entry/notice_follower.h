// Defines notice_follower, which reads from the cloud's instance API which
// upstreams are leaving and when they are reclaimed.
#ifndef ENTRY_NOTICE_FOLLOWER_H_
#define ENTRY_NOTICE_FOLLOWER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry/process_state.h"
#include "entry/worker.h"
#include "wire/http_instance_api.h"

namespace anvilloom {

// Not thread-safe; runs on the control thread. The name of an upstream is the
// name of its instance.
class notice_follower {
 public:
  notice_follower(process_state& process,
                  const std::vector<std::unique_ptr<worker>>& workers,
                  boost::asio::any_io_executor executor);

  // Starts to poll notices and the instance list until the context stops. Does
  // nothing if the settings name no instance API.
  void Start();

 private:
  awaitable<void> PollNotices();
  awaitable<void> PollList();
  // Records when an instance is reclaimed.
  void RecordNotice(const reclaim_notice& notice);
  void ApplyList(const std::vector<listed_instance>& list);
  // Marks the links of all instances with a notice. Also covers upstreams that
  // the configuration declared after their notice was received.
  void ApplyNotices();
  // Makes the streams of all workers check their links.
  void WakeStreams();

  process_state& process_;
  const std::vector<std::unique_ptr<worker>>& workers_;
  boost::asio::any_io_executor executor_;
  // Two clients, since the long poll for notices occupies one.
  http_instance_api notices_api_;
  http_instance_api list_api_;
  std::map<std::string, deadline, std::less<>> reclaims_;
};

}  // namespace anvilloom

#endif  // ENTRY_NOTICE_FOLLOWER_H_

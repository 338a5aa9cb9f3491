// Defines peer_reporter, which exchanges reports with the other instances and
// charges the units granted by them against the shared limits.
#ifndef ENTRY_PEER_REPORTER_H_
#define ENTRY_PEER_REPORTER_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "entry/cloud_duties.h"
#include "entry/gateway_state.h"
#include "instances/paced_queue.h"
#include "instances/peer_report.h"
#include "instances/report_schedule.h"
#include "instances/shared_limits.h"
#include "wire/datagram_socket.h"
#include "wire/object_store.h"

namespace anvilloom {

// Used on the control thread; not thread-safe except where noted.
class peer_reporter {
 public:
  // Throws boost::system::system_error if the address can't be bound.
  peer_reporter(gateway_state& state,
                const boost::asio::any_io_executor& executor);

  const peer_report_table& peer_reports() const { return peer_reports_; }
  // The address that receives reports, with the bound port.
  const std::string& address() const { return address_; }

  // Encodes this instance's entry in the store.
  std::string EncodeSelf() const;
  // Registers the instances listed in the store, whose reports are expected.
  void AddListedInstances(std::span<const stored_object> entries);

  // Charges the limits of the first manifest in advance if there are other
  // instances, which may have just granted the limits in full.
  void ChargeInitialLimits();

  // Receives reports; never returns. `on_report` is called with each report
  // after it was processed.
  awaitable<void> Receive(std::function<void(const peer_report&)> on_report);
  // Sends this instance's load on an upstream to the other instances that use
  // it. Thread-safe.
  void RequestLoad(std::shared_ptr<const pooled_upstream> upstream);
  // Passes news on to a few other instances. This and the calls up to
  // AskForRollouts() send at once, before all messages that wait.
  void Spread(store_news news);
  // Answers the question of another instance.
  void SendNews(std::string_view address, store_news news);
  // Asks another instance for its news.
  void AskForNews(std::string_view address, time_point asked_at);
  // Passes on to a few other instances what is known of prompt parts that may
  // crash upstreams.
  void SendSuspects(std::span<const suspect_report> suspects);
  // Tells the instances that would take over the duty lease the final counts of
  // a window.
  void AnnounceFinalUsage(const usage_report& usage);
  // Tells one instance.
  void SendFinalUsage(std::string_view address, const usage_report& usage);
  // Asks another instance for the final counts of windows.
  void AskForUsage(std::string_view address,
                   std::span<const std::uint64_t> windows);
  // Sends rollouts to one instance, or to a few if `address` is empty.
  // `duty_fencing` is that of this instance if it holds the duties.
  void SendRollouts(std::span<const rollout_report> rollouts,
                    std::uint64_t duty_fencing,
                    std::string_view address);
  // Asks the instances that would take over the duty lease for the rollouts
  // that they know.
  void AskForRollouts();
  // Encodes news for an instance that asked for them.
  std::string EncodeNews(store_news news) const;
  // Sends reports; never returns. `complete` fills in the fields owned by other
  // components: the fencing number of the duty lease and the state of the
  // store. `on_removed` is called with the name of each instance considered
  // removed.
  awaitable<void> Report(std::function<void(peer_report&)> complete,
                         std::function<void(std::string_view)> on_removed);

 private:
  using work_by_upstream = std::map<std::uint64_t, sent_work>;

  peer_report ComposeReport();
  void ProcessReport(const peer_report& report);
  void ChargeUnaccounted(time_point now);
  // Returns the limits of the workspaces, which refer to `view`.
  static std::vector<shared_limit> Limits(const serving_view& view);
  void DivideRetryBudget();
  void ApplyRemoteLoads(const work_by_upstream& loads);
  // Averages the loads, and learns from the answers that the others have got
  // from upstreams which this instance paces.
  void LearnFromLoads(const work_by_upstream& loads, time_point now);
  // Learns the engines' speed from the latest first tokens and reports.
  void UpdateProfiles();

  // Omits workspaces without new grants, except every kSendAllInterval.
  void ComposeGranted(const serving_view& view, peer_report& report);
  void Send();
  // Sends a message to a few other instances, drawn anew each time.
  void SendToSome(std::string_view message);
  // Starts to send the queued messages unless that is in progress.
  void BeginSending();
  awaitable<void> SendQueued();
  // Logs the messages dropped since the last call, and how long the others have
  // waited.
  void LogBacklog();
  void SendLoad(const pooled_upstream& upstream);
  void UpdateFreshLoadFlags(time_point now);
  peer_report MakeHeader() const;
  peer_report MakeFinalUsage(const usage_report& usage) const;
  // Sends a report at once to the instances that would take over the duty
  // lease.
  void SendToSuccessors(const peer_report& report);
  void ComposeSent(const serving_view& view, peer_report& report) const;
  // The interval until the next report, and its values while starting up and
  // afterwards.
  duration Interval() const;
  duration StartupInterval() const;
  duration SteadyInterval() const;

  gateway_state& state_;
  boost::asio::any_io_executor executor_;
  std::function<void(peer_report&)> complete_;
  datagram_socket socket_;
  std::string address_;
  peer_report_table peer_reports_;
  shared_limits limits_{peer_reports_};
  paced_queue queue_;
  bool sending_ = false;
  std::uint64_t sequence_ = 0;
  std::uint64_t logged_dropped_ = 0;
  // The units of each workspace as last sent.
  std::map<std::string, granted_units> sent_units_;
  deadline send_all_at_ = deadline(time_point::min());
  report_schedule schedule_;
};

}  // namespace anvilloom

#endif  // ENTRY_PEER_REPORTER_H_

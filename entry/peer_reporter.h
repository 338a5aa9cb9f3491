// Defines peer_reporter, which exchanges reports with the other instances
// and charges what they have granted.
#ifndef ENTRY_PEER_REPORTER_H_
#define ENTRY_PEER_REPORTER_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <span>
#include <string>

#include "entry/gateway_state.h"
#include "instances/paced_queue.h"
#include "instances/peer_report.h"
#include "wire/datagram_socket.h"
#include "wire/object_store.h"

namespace anvilloom {

// Belongs to the control thread.
class peer_reporter {
 public:
  // Throws boost::system::system_error if the address can't be bound.
  peer_reporter(gateway_state& state,
                const boost::asio::any_io_executor& executor);

  const report_board& board() const { return board_; }
  // Where reports to this instance go, with the port that was bound.
  const std::string& address() const { return address_; }

  // This instance's entry in the store.
  std::string EncodeSelf() const;
  // Takes the entries of the store into account.
  void Expect(std::span<const stored_object> entries);

  // The limits of the first manifest begin empty if there are other instances,
  // which may have granted them just now.
  void TakeFirstLimits();

  // Receives reports for ever. `taken` gets each one after it was taken in.
  awaitable<void> Receive(std::function<void(const peer_report&)> taken);
  // Tells the instances that send to the same upstream of this instance's work
  // there. Any thread may ask.
  void RequestLoad(std::shared_ptr<const pooled_upstream> upstream);
  // Sends changes at once, because others wait for them.
  void Relay(std::span<const upstream_change> changes);
  // Sends reports for ever. `complete` fills in what other parts know: the
  // fencing number under which this instance acts, and its state of the store.
  // `gone` gets the name of each instance that is taken as removed.
  awaitable<void> Report(std::function<void(peer_report&)> complete,
                         std::function<void(std::string_view)> gone);

 private:
  peer_report Compose();
  void Take(const peer_report& report);
  // Takes back from every limit what was charged for an instance.
  void TakeBack(duration limit_time);
  // Takes from a workspace's limit what another instance has granted.
  void Charge(const serving_view& view, const report_board::new_grants& grants);
  void ChargeAs(report_board::grant_time when,
                std::uint64_t units,
                const allowance_terms& terms,
                shared_allowance& allowance) const;
  // Charges the even share of the instances whose grants are not known for the
  // time since the last call.
  void ChargeUnaccounted(time_point now);
  // Visits each workspace with its limit.
  void ForEachLimit(const std::function<void(const manifest_workspace&,
                                             shared_allowance&)>& visit) const;
  void ShareRetries();
  void SpreadLoad(time_point now);

  // Leaves out workspaces without new grants, but for now and then.
  void ComposeGranted(const serving_view& view, peer_report& report);
  void Send();
  // Sends what is queued, unless that is under way.
  void BeginSending();
  awaitable<void> SendQueued();
  // Logs what could not be sent since the last call.
  void NoteDropped();
  void SendLoad(const pooled_upstream& upstream);
  void ChooseWellKnown(time_point now);
  peer_report Header() const;
  void ComposeSent(const serving_view& view, peer_report& report) const;
  // Until the next report, and that of instances that run for longer.
  duration Interval() const;
  duration SteadyInterval() const;

  gateway_state& state_;
  boost::asio::any_io_executor executor_;
  std::function<void(peer_report&)> complete_;
  datagram_socket socket_;
  std::string address_;
  report_board board_;
  paced_queue queue_;
  bool sending_ = false;
  std::uint64_t sequence_ = 0;
  std::uint64_t noted_dropped_ = 0;
  // Units of each workspace when they were last sent, and when.
  std::map<std::string, granted_units> sent_units_;
  deadline send_all_at_ = deadline(time_point::min());
  time_point started_at_;
};

}  // namespace anvilloom

#endif  // ENTRY_PEER_REPORTER_H_

#include "common/log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <sstream>
#include <string>

#include "common/printable_text.h"

INITIALIZE_EASYLOGGINGPP

namespace anvilloom {

namespace {

// Lines above this number within a second are dropped and counted, so that a
// burst of failures does not use up processor time for logging.
constexpr std::uint32_t kMaxLinesPerSecond = 400;
// A pipe that polls as writable accepts this much without blocking (PIPE_BUF).
constexpr std::size_t kMaxLineBytes = 4096;

// Writes each line with one call, or drops it if the reader is slow.
class bounded_writer : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    if (!Admit()) {
      dropped_.fetch_add(1, std::memory_order_relaxed);
      return;
    }
    std::string line = data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), false);
    const std::uint64_t dropped =
        dropped_.exchange(0, std::memory_order_relaxed);
    if (dropped > 0) {
      line += " lines_dropped_before=" + std::to_string(dropped);
    }
    line.resize(CutText(line, kMaxLineBytes - 1).size());
    line += '\n';
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    const bool ready = ::poll(&output, 1, 0) > 0 && (output.revents & POLLOUT);
    // Lines that could not be written are only counted, since there is no other
    // place to report them.
    if (!ready || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
      dropped_.fetch_add(dropped + 1, std::memory_order_relaxed);
    }
  }

 private:
  bool Admit() {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            std::chrono::steady_clock::now().time_since_epoch())
                            .count();
    if (second_.exchange(second, std::memory_order_relaxed) != second) {
      lines_.store(0, std::memory_order_relaxed);
    }
    return lines_.fetch_add(1, std::memory_order_relaxed) < kMaxLinesPerSecond;
  }

  std::atomic<std::int64_t> second_{0};
  std::atomic<std::uint32_t> lines_{0};
  std::atomic<std::uint64_t> dropped_{0};
};

}  // namespace

void InitializeLog() {
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<bounded_writer>("bounded_writer");
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void Log(log_level level,
         log_event event,
         std::initializer_list<log_field> fields) {
  std::ostringstream line;
  line << 'E' << static_cast<unsigned>(event) << ' ' << Name(event);
  for (const log_field& field : fields) {
    line << ' ' << field.name << '=' << LogValue(field.value);
  }
  switch (level) {
    case log_level::kInfo:
      LOG(INFO) << line.str();
      break;
    case log_level::kWarning:
      LOG(WARNING) << line.str();
      break;
    case log_level::kError:
      LOG(ERROR) << line.str();
      break;
  }
}

std::string LogValue(std::string_view value) {
  const bool plain = !value.empty() && std::ranges::all_of(value, [](char c) {
    return c > ' ' && c <= '~' && c != '"' && c != '\\';
  });
  if (plain) {
    return std::string(value);
  }
  std::string escaped;
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c;
  }
  return '"' + ToPrintable(escaped) + '"';
}

std::string_view Name(log_event event) {
  switch (event) {
    case log_event::kStarted:
      return "started";
    case log_event::kReady:
      return "ready";
    case log_event::kDraining:
      return "draining";
    case log_event::kStopped:
      return "stopped";
    case log_event::kStartFailed:
      return "start_failed";
    case log_event::kHandlerFailed:
      return "handler_failed";
    case log_event::kRequestRejected:
      return "request_rejected";
    case log_event::kConfigurationInForce:
      return "configuration_in_force";
    case log_event::kConfigurationRefused:
      return "configuration_refused";
    case log_event::kObjectApiUnavailable:
      return "object_api_unavailable";
    case log_event::kConfigurationRelisted:
      return "configuration_relisted";
    case log_event::kUpstreamFailed:
      return "upstream_failed";
    case log_event::kStreamResumed:
      return "stream_resumed";
    case log_event::kStreamFailed:
      return "stream_failed";
    case log_event::kAnswerRejected:
      return "answer_rejected";
    case log_event::kClaimStoreUnavailable:
      return "claim_store_unavailable";
    case log_event::kClaimClosedUnknown:
      return "claim_closed_unknown";
    case log_event::kClaimNotRecorded:
      return "claim_not_recorded";
    case log_event::kClaimReleased:
      return "claim_released";
    case log_event::kClaimsSwept:
      return "claims_swept";
    case log_event::kMemberJoined:
      return "member_joined";
    case log_event::kMemberSuspected:
      return "member_suspected";
    case log_event::kMemberRecovered:
      return "member_recovered";
    case log_event::kMemberFailed:
      return "member_failed";
    case log_event::kMemberLeft:
      return "member_left";
    case log_event::kSelfRefuted:
      return "self_refuted";
    case log_event::kSelfResumed:
      return "self_resumed";
    case log_event::kStreamHandedOver:
      return "stream_handed_over";
    case log_event::kStreamTakenOver:
      return "stream_taken_over";
    case log_event::kHandoverRefused:
      return "handover_refused";
    case log_event::kHandoverLost:
      return "handover_lost";
    case log_event::kConfigurationRelayed:
      return "configuration_relayed";
    case log_event::kConfigurationRelayFailed:
      return "configuration_relay_failed";
    case log_event::kRequestsRefused:
      return "requests_refused";
    case log_event::kLimitShareChanged:
      return "limit_share_changed";
    case log_event::kStreamMoved:
      return "stream_moved";
    case log_event::kReclaimNotice:
      return "reclaim_notice";
    case log_event::kUpstreamLeaving:
      return "upstream_leaving";
    case log_event::kUpstreamQuarantined:
      return "upstream_quarantined";
    case log_event::kUpstreamOnProbation:
      return "upstream_on_probation";
    case log_event::kUpstreamReadmitted:
      return "upstream_readmitted";
    case log_event::kInstanceApiUnavailable:
      return "instance_api_unavailable";
    case log_event::kCacheMoveFailed:
      return "cache_move_failed";
    case log_event::kLeaseTaken:
      return "lease_taken";
    case log_event::kLeaseLost:
      return "lease_lost";
    case log_event::kLeaseUnreadable:
      return "lease_unreadable";
    case log_event::kLeaseStoreUnavailable:
      return "lease_store_unavailable";
    case log_event::kModelOrdered:
      return "model_ordered";
    case log_event::kOrderFailed:
      return "order_failed";
    case log_event::kLoadUnavailable:
      return "load_unavailable";
    case log_event::kCallEnded:
      return "call_ended";
    case log_event::kCallAttemptEnded:
      return "call_attempt_ended";
    case log_event::kCapacityShort:
      return "capacity_short";
    case log_event::kManifestInForce:
      return "manifest_in_force";
    case log_event::kManifestRefused:
      return "manifest_refused";
    case log_event::kStoreLost:
      return "store_lost";
    case log_event::kStoreRegained:
      return "store_regained";
    case log_event::kStoreRelisted:
      return "store_relisted";
    case log_event::kWatchDelegated:
      return "watch_delegated";
    case log_event::kStoreEraRaised:
      return "store_era_raised";
    case log_event::kStoreEraOutdated:
      return "store_era_outdated";
    case log_event::kStoreEraUnreadable:
      return "store_era_unreadable";
    case log_event::kStoreListIncomplete:
      return "store_list_incomplete";
    case log_event::kNewsNotFetched:
      return "news_not_fetched";
    case log_event::kUpstreamJoined:
      return "upstream_joined";
    case log_event::kUpstreamDraining:
      return "upstream_draining";
    case log_event::kUpstreamGone:
      return "upstream_gone";
    case log_event::kUpstreamEntryIgnored:
      return "upstream_entry_ignored";
    case log_event::kUpstreamAwaitsRemoval:
      return "upstream_awaits_removal";
    case log_event::kPromptPartBlocked:
      return "prompt_part_blocked";
    case log_event::kPromptPartCleared:
      return "prompt_part_cleared";
    case log_event::kBlockedPartsUnreadable:
      return "blocked_parts_unreadable";
    case log_event::kPeerJoined:
      return "peer_joined";
    case log_event::kPeerGone:
      return "peer_gone";
    case log_event::kPeerEntryRemoved:
      return "peer_entry_removed";
    case log_event::kReportsDropped:
      return "reports_dropped";
    case log_event::kReportsDelayed:
      return "reports_delayed";
    case log_event::kUpstreamPaced:
      return "upstream_paced";
    case log_event::kUpstreamPaceEnded:
      return "upstream_pace_ended";
    case log_event::kUpstreamsSlowed:
      return "upstreams_slowed";
    case log_event::kRolloutStep:
      return "rollout_step";
    case log_event::kRolloutIgnored:
      return "rollout_ignored";
    case log_event::kUsageCountsUnreadable:
      return "usage_counts_unreadable";
    case log_event::kUsageWindowInDoubt:
      return "usage_window_in_doubt";
    case log_event::kUsageReported:
      return "usage_reported";
    case log_event::kEnginesOrdered:
      return "engines_ordered";
    case log_event::kSettingsReloaded:
      return "settings_reloaded";
    case log_event::kTaskFailed:
      return "task_failed";
    case log_event::kLoadOwnershipChanged:
      return "load_ownership_changed";
  }
  return "unknown";
}

}  // namespace anvilloom

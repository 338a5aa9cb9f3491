#include "common/log.h"

#include <easylogging++.h>

#include <sstream>

INITIALIZE_EASYLOGGINGPP

namespace anvilloom {

void InitializeLog() {
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
    line << ' ' << field.name << '=' << field.value;
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
    case log_event::kLoadOwnershipChanged:
      return "load_ownership_changed";
  }
  return "unknown";
}

}  // namespace anvilloom

// Defines the numbered log events and Log(), which writes one of them. Their
// causes and the operator's actions are listed in docs/logs.md.
#ifndef COMMON_LOG_H_
#define COMMON_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace anvilloom {

// The numbers are stable and never reused for another event.
enum class log_event : std::uint16_t {
  kStarted = 100,
  kReady = 101,
  kDraining = 102,
  kStopped = 103,
  kStartFailed = 104,
  kHandlerFailed = 105,
  kRequestRejected = 106,
  kConfigurationInForce = 200,
  kConfigurationRefused = 201,
  kObjectApiUnavailable = 202,
  kConfigurationRelisted = 203,
  kUpstreamFailed = 300,
  kStreamResumed = 301,
  kStreamFailed = 302,
  kAnswerRejected = 303,
  kStreamMoved = 304,
  kReclaimNotice = 305,
  kUpstreamLeaving = 306,
  kUpstreamQuarantined = 307,
  kUpstreamOnProbation = 308,
  kUpstreamReadmitted = 309,
  kInstanceApiUnavailable = 310,
  kCacheMoveFailed = 311,
  kLoadUnavailable = 312,
  kLoadOwnershipChanged = 313,
  kClaimStoreUnavailable = 400,
  kClaimClosedUnknown = 401,
  kClaimNotRecorded = 402,
  kClaimReleased = 403,
  kClaimsSwept = 404,
  kMemberJoined = 500,
  kMemberSuspected = 501,
  kMemberRecovered = 502,
  kMemberFailed = 503,
  kMemberLeft = 504,
  kSelfRefuted = 505,
  kSelfResumed = 506,
  kStreamHandedOver = 510,
  kStreamTakenOver = 511,
  kHandoverRefused = 512,
  kHandoverLost = 513,
  kConfigurationRelayed = 520,
  kConfigurationRelayFailed = 521,
  kRequestsRefused = 600,
  kLimitShareChanged = 601,
  kLeaseTaken = 700,
  kLeaseLost = 701,
  kLeaseUnreadable = 702,
  kLeaseStoreUnavailable = 703,
  kModelOrdered = 710,
  kOrderFailed = 711,
  kCallEnded = 800,
  kCallAttemptEnded = 801,
  kCapacityShort = 802,
  kManifestInForce = 810,
  kManifestRefused = 811,
  kStoreLost = 812,
  kStoreRegained = 813,
  kStoreRelisted = 814,
  kWatchDelegated = 815,
  kStoreListIncomplete = 816,
  kNewsNotFetched = 817,
  kStoreEraRaised = 818,
  kStoreEraOutdated = 819,
  kUpstreamJoined = 820,
  kUpstreamDraining = 821,
  kUpstreamGone = 822,
  kUpstreamEntryIgnored = 823,
  kPromptPartBlocked = 824,
  kPromptPartCleared = 825,
  kBlockedPartsUnreadable = 826,
  kUpstreamAwaitsRemoval = 827,
  kStoreEraUnreadable = 829,
  kPeerJoined = 830,
  kPeerGone = 831,
  kReportsDropped = 832,
  kPeerEntryRemoved = 833,
  kReportsDelayed = 834,
  kUpstreamPaced = 836,
  kUpstreamPaceEnded = 837,
  kUpstreamsSlowed = 838,
  kUsageReported = 840,
  kEnginesOrdered = 841,
  kUsageCountsUnreadable = 842,
  kUsageWindowInDoubt = 843,
  kSettingsReloaded = 850,
  kTaskFailed = 851,
  kRolloutStep = 860,
  kRolloutIgnored = 861,
};

enum class log_level { kInfo, kWarning, kError };

// A name and value in a log line.
struct log_field {
  std::string_view name;
  std::string value;
};

// Configures logging; must be called once at startup. Log lines go to standard
// output, at most a few hundred per second. A slow reader never blocks the
// process: lines are dropped instead, and the next line gives their count.
void InitializeLog();

// Writes "E<number> <event name> field=value ...". Thread-safe.
void Log(log_level level,
         log_event event,
         std::initializer_list<log_field> fields = {});

// Returns the text of a field's value: quoted if it is empty or has other
// characters than visible ones of ASCII, a quote or a backslash. What is
// neither printable nor UTF-8 is escaped as \xNN.
std::string LogValue(std::string_view value);

// Stable name of an event, for example "configuration_in_force".
std::string_view Name(log_event event);

}  // namespace anvilloom

#endif  // COMMON_LOG_H_

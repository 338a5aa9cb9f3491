#include "soak/history.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <utility>

#include "platform/standin/upstream.h"
#include "wire/json_text.h"

namespace anvilloom::soak {

namespace {

// Number of events in a stream of the stand-in.
constexpr std::uint32_t kStreamEvents = 10;

std::string ExpectedBody(const call_record& call) {
  if (call.kind != call_kind::kStream) {
    return platform::PlainBody(call.id);
  }
  std::string body;
  for (std::uint32_t number = 1; number <= kStreamEvents; ++number) {
    body += platform::EventText(call.id, number);
  }
  return body;
}

// Returns the duration of a call, less the time in which its gateway was
// paused.
double RunningDurationS(const call_record& call,
                        std::span<const process_pause> pauses) {
  using seconds = std::chrono::duration<double>;
  const auto ended_at =
      call.began_at + std::chrono::round<std::chrono::steady_clock::duration>(
                          seconds(call.duration_s));
  double duration_s = call.duration_s;
  for (const process_pause& pause : pauses) {
    const auto from = std::max(pause.from, call.began_at);
    const auto to = std::min(pause.to, ended_at);
    if (pause.gateway == call.gateway && from < to) {
      duration_s -= seconds(to - from).count();
    }
  }
  return duration_s;
}

bool ReportsNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void history::Add(call_record record) {
  const std::scoped_lock lock(mutex_);
  records_.push_back(std::move(record));
}

std::vector<call_record> history::Records() const {
  const std::scoped_lock lock(mutex_);
  return records_;
}

std::vector<violation> CheckCalls(
    std::span<const call_record> records,
    std::span<const process_pause> pauses,
    const std::map<std::string, std::vector<std::string>>& runs,
    double max_duration_s) {
  std::vector<violation> violations;
  std::map<std::string, call_kind> sent;
  for (const call_record& call : records) {
    sent.emplace(call.id, call.kind);
    const auto ran = runs.find(call.id);
    const std::size_t count = ran == runs.end() ? 0 : ran->second.size();
    if (call.kind == call_kind::kOnce && count > 1) {
      violations.push_back(
          {"a call is executed at most once", call.id, std::to_string(count)});
    }
    if (ReportsNotRun(call.status) && count > 0 &&
        call.kind == call_kind::kOnce) {
      violations.push_back({"a refused call is not executed", call.id,
                            "status " + std::to_string(call.status)});
    }
    if (call.status == 200 && call.body != ExpectedBody(call)) {
      violations.push_back(
          {"a successful response is complete", call.id, call.body});
    }
    if (RunningDurationS(call, pauses) > max_duration_s) {
      violations.push_back({"a call ends within its time limit", call.id,
                            std::to_string(call.duration_s) + " s"});
    }
  }
  for (const auto& [id, workspaces] : runs) {
    if (!sent.contains(id)) {
      violations.push_back({"only requested calls are executed", id, ""});
    }
    for (const std::string& workspace : workspaces) {
      if (workspace != "studio") {
        violations.push_back({"the workspace matches the key", id, workspace});
      }
    }
  }
  return violations;
}

std::vector<violation> CheckDuties(std::string_view duties) {
  std::vector<violation> violations;
  const auto parsed = ParseJson(duties);
  if (!parsed || !parsed->is_array()) {
    return {{"the list of duties is valid", "", std::string(duties)}};
  }
  std::map<std::string, std::string> holders;
  std::map<std::string, std::string> counts;
  for (const auto& call : parsed->get_array()) {
    const std::string subject(StringMember(call, "subject").value_or(""));
    const std::string holder(StringMember(call, "holder").value_or(""));
    const std::string fencing =
        std::to_string(UnsignedMember(call, "fencing").value_or(0));
    std::string fencing_key = subject;
    fencing_key += '#';
    fencing_key += fencing;
    const auto [held, first] = holders.emplace(fencing_key, holder);
    if (!first && held->second != holder) {
      violations.push_back({"a fencing number has one holder", subject,
                            held->second + " and " + holder});
    }
    if (subject != "/usage") {
      continue;
    }
    const auto* body = FindMember(call, "body");
    const std::string window =
        std::to_string(UnsignedMember(*body, "windowId").value_or(0));
    const std::string text =
        boost::json::serialize(*FindMember(*body, "counts"));
    const auto [reported, first_report] = counts.emplace(window, text);
    if (!first_report && reported->second != text) {
      violations.push_back({"a window has one report", window,
                            reported->second + " and " + text});
    }
  }
  return violations;
}

}  // namespace anvilloom::soak

#include "soak/history.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "platform/standin/upstream.h"
#include "wire/json_text.h"

namespace anvilloom::soak {

namespace {

// Events of a stream of the stand-in.
constexpr std::uint32_t kEvents = 10;

std::string WholeBody(const call_record& call) {
  if (call.kind != call_kind::kStream) {
    return platform::PlainBody(call.id);
  }
  std::string body;
  for (std::uint32_t number = 1; number <= kEvents; ++number) {
    body += platform::EventText(call.id, number);
  }
  return body;
}

bool PromisesNotRun(unsigned status) {
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
    const std::map<std::string, std::vector<std::string>>& runs,
    double longest_s) {
  std::vector<violation> found;
  std::map<std::string, call_kind> sent;
  for (const call_record& call : records) {
    sent.emplace(call.id, call.kind);
    const auto ran = runs.find(call.id);
    const std::size_t count = ran == runs.end() ? 0 : ran->second.size();
    if (call.kind == call_kind::kOnce && count > 1) {
      found.push_back({"runs at most once", call.id, std::to_string(count)});
    }
    if (PromisesNotRun(call.status) && count > 0 &&
        call.kind == call_kind::kOnce) {
      found.push_back({"a refusal is true", call.id,
                       "status " + std::to_string(call.status)});
    }
    if (call.status == 200 && call.body != WholeBody(call)) {
      found.push_back({"a success is whole", call.id, call.body});
    }
    if (call.took_s > longest_s) {
      found.push_back({"a call ends in its time", call.id,
                       std::to_string(call.took_s) + " s"});
    }
  }
  for (const auto& [id, workspaces] : runs) {
    if (!sent.contains(id)) {
      found.push_back({"only what was asked runs", id, ""});
    }
    for (const std::string& workspace : workspaces) {
      if (workspace != "studio") {
        found.push_back({"the workspace is that of the key", id, workspace});
      }
    }
  }
  return found;
}

std::vector<violation> CheckDuties(std::string_view duties) {
  std::vector<violation> found;
  const auto parsed = ParseJson(duties);
  if (!parsed || !parsed->is_array()) {
    return {{"the duties can be read", "", std::string(duties)}};
  }
  std::map<std::string, std::string> holders;
  std::map<std::string, std::string> counts;
  for (const auto& call : parsed->get_array()) {
    const std::string subject(StringMember(call, "subject").value_or(""));
    const std::string holder(StringMember(call, "holder").value_or(""));
    const std::string fencing =
        std::to_string(UnsignedMember(call, "fencing").value_or(0));
    std::string numbered = subject;
    numbered += '#';
    numbered += fencing;
    const auto [held, first] = holders.emplace(numbered, holder);
    if (!first && held->second != holder) {
      found.push_back({"one holder for a fencing number", subject,
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
    const auto [reported, fresh] = counts.emplace(window, text);
    if (!fresh && reported->second != text) {
      found.push_back({"one report for a window", window,
                       reported->second + " and " + text});
    }
  }
  return found;
}

}  // namespace anvilloom::soak

#include "entry/usage_record.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>
#include <vector>

#include "wire/json_text.h"

namespace anvilloom {

namespace json = boost::json;

namespace {

// The counts of one process are a list of windows, each with the counts of its
// workspaces.
json::array EncodeWindows(const usage_counts::process_counts& windows) {
  json::array encoded;
  for (const auto& [window, by_workspace] : windows) {
    json::object requests;
    for (const auto& [workspace, count] : by_workspace) {
      requests[workspace] = count;
    }
    encoded.push_back(
        json::object{{"window", window}, {"requests", std::move(requests)}});
  }
  return encoded;
}

bool DecodeWindows(const json::value& process, std::vector<usage_count>& into) {
  const json::value* windows = FindMember(process, "windows");
  if (windows == nullptr || !windows->is_array()) {
    return false;
  }
  for (const json::value& each : windows->get_array()) {
    const auto window = UnsignedMember(each, "window");
    const json::value* requests = FindMember(each, "requests");
    if (!window || requests == nullptr || !requests->is_object()) {
      return false;
    }
    for (const auto& entry : requests->get_object()) {
      const std::string workspace(entry.key().data(), entry.key().size());
      const auto count = UnsignedMember(*requests, workspace);
      if (!count) {
        return false;
      }
      into.push_back({*window, workspace, *count});
    }
  }
  return true;
}

}  // namespace

std::string EncodeUsage(const usage_report& report) {
  json::object requests;
  for (const auto& [workspace, count] : report.requests) {
    requests[workspace] = count;
  }
  return json::serialize(json::object{{"window", report.window},
                                      {"requests", std::move(requests)}});
}

std::optional<usage_report> DecodeUsage(std::string_view text) {
  const auto parsed = ParseJson(text);
  if (!parsed) {
    return std::nullopt;
  }
  const auto window = UnsignedMember(*parsed, "window");
  const json::value* requests = FindMember(*parsed, "requests");
  if (!window || requests == nullptr || !requests->is_object()) {
    return std::nullopt;
  }
  usage_report report;
  report.window = *window;
  for (const auto& each : requests->get_object()) {
    const std::string workspace(each.key().data(), each.key().size());
    const auto count = UnsignedMember(*requests, workspace);
    if (!count) {
      return std::nullopt;
    }
    report.requests[workspace] = *count;
  }
  return report;
}

std::string EncodeUsageCounts(const usage_counts& counts,
                              const era_start& start) {
  json::array processes;
  for (const auto& [process, windows] : counts.processes()) {
    processes.push_back(json::object{{"name", process.name},
                                     {"epoch", process.epoch},
                                     {"windows", EncodeWindows(windows)}});
  }
  json::object encoded{{"processes", std::move(processes)}};
  if (start.era != 0) {
    encoded["era"] = start.era;
    encoded["first_window"] = start.first_window;
  }
  return json::serialize(encoded);
}

era_start DecodeEraStart(std::string_view text) {
  const auto parsed = ParseJson(text);
  const auto era = parsed ? UnsignedMember(*parsed, "era") : std::nullopt;
  const auto first =
      parsed ? UnsignedMember(*parsed, "first_window") : std::nullopt;
  return era && first ? era_start{*era, *first} : era_start{};
}

std::optional<usage_counts> DecodeUsageCounts(std::string_view text) {
  const auto parsed = ParseJson(text);
  const json::value* processes =
      parsed ? FindMember(*parsed, "processes") : nullptr;
  if (processes == nullptr || !processes->is_array()) {
    return std::nullopt;
  }
  usage_counts counts;
  for (const json::value& each : processes->get_array()) {
    const auto name = StringMember(each, "name");
    const auto epoch = UnsignedMember(each, "epoch");
    std::vector<usage_count> counted;
    if (!name || !epoch || !DecodeWindows(each, counted)) {
      return std::nullopt;
    }
    counts.Take({std::string(*name), *epoch}, counted);
  }
  return counts;
}

}  // namespace anvilloom

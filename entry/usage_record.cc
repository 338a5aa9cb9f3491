#include "entry/usage_record.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "wire/json_text.h"

namespace anvilloom {

namespace json = boost::json;

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

}  // namespace anvilloom

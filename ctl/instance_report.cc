#include "ctl/instance_report.h"

#include "common/printable_text.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

std::string TextOrUnknown(const boost::json::value& object,
                          std::string_view key) {
  return ToPrintable(StringMember(object, key).value_or("unknown"));
}

std::string_view Phase(const instance_report& report) {
  if (report.draining) {
    return "draining";
  }
  return report.ready ? "ready" : "not ready";
}

}  // namespace

std::optional<instance_report> DecodeReport(std::string_view dump) {
  const auto parsed = ParseJson(dump);
  const auto revision =
      parsed ? UnsignedMember(*parsed, "revision") : std::nullopt;
  if (!revision) {
    return std::nullopt;
  }
  instance_report report;
  report.name = TextOrUnknown(*parsed, "name");
  report.domain = TextOrUnknown(*parsed, "failure_domain");
  report.ready = BoolMember(*parsed, "ready").value_or(false);
  report.draining = BoolMember(*parsed, "draining").value_or(false);
  report.revision = *revision;
  const boost::json::value* streams = FindMember(*parsed, "streams");
  if (streams != nullptr && streams->is_array()) {
    report.streams = streams->get_array().size();
  }
  const boost::json::value* links = FindMember(*parsed, "links");
  if (links != nullptr && links->is_array()) {
    for (const boost::json::value& link : links->get_array()) {
      ++report.links[TextOrUnknown(link, "condition")];
    }
  }
  return report;
}

std::string StatusLine(const instance_report& report) {
  std::string line = report.name + " in " + report.domain + ": ";
  line += Phase(report);
  line += ", revision " + std::to_string(report.revision);
  line += ", open streams " + std::to_string(report.streams) + ", links";
  if (report.links.empty()) {
    return line + " none";
  }
  for (const auto& [condition, count] : report.links) {
    line += " " + condition + " " + std::to_string(count);
  }
  return line;
}

}  // namespace anvilloom

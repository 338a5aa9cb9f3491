// Defines settings_reader, which reads the members of a settings file and keeps
// the first fault.
#ifndef ENTRY_SETTINGS_READER_H_
#define ENTRY_SETTINGS_READER_H_

#include <boost/json/value.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "entry/settings.h"
#include "wire/endpoint.h"
#include "wire/json_text.h"

namespace anvilloom {

// Collects the first fault while members are read.
class settings_reader {
 public:
  settings_reader(const boost::json::value& settings, std::string_view file)
      : settings_(settings), file_(file) {}

  void Text(std::string_view key, bool required, std::string& into) {
    const boost::json::value* member = FindMember(settings_, key);
    if (member == nullptr) {
      if (required) {
        Fail(settings_fault_kind::kMissingKey, key);
      }
      return;
    }
    const auto text = StringMember(settings_, key);
    if (!text) {
      Fail(settings_fault_kind::kWrongType, key, "a text");
      return;
    }
    into = *text;
  }

  void Address(std::string_view key, bool required, std::string& into) {
    Text(key, required, into);
    if (!into.empty() && !ParseEndpoint(into)) {
      Fail(settings_fault_kind::kBadAddress, key);
    }
  }

  void Count(std::string_view key,
             std::size_t least,
             std::size_t most,
             std::size_t& into) {
    if (FindMember(settings_, key) == nullptr) {
      return;
    }
    const auto number = UnsignedMember(settings_, key);
    if (!number || *number < least || *number > most) {
      Fail(settings_fault_kind::kWrongType, key,
           "a whole number from " + std::to_string(least) + " to " +
               std::to_string(most));
      return;
    }
    into = *number;
  }

  void Addresses(std::string_view key, std::vector<std::string>& into) {
    const boost::json::value* member = FindMember(settings_, key);
    if (member == nullptr) {
      return;
    }
    if (!member->is_array()) {
      Fail(settings_fault_kind::kWrongType, key,
           "a list of IP addresses and ports");
      return;
    }
    for (const boost::json::value& each : member->get_array()) {
      if (!each.is_string() || !ParseEndpoint(each.get_string())) {
        Fail(settings_fault_kind::kBadAddress, key);
        return;
      }
      into.emplace_back(each.get_string());
    }
  }

  void Flag(std::string_view key, bool& into) {
    if (FindMember(settings_, key) == nullptr) {
      return;
    }
    const auto flag = BoolMember(settings_, key);
    if (!flag) {
      Fail(settings_fault_kind::kWrongType, key, "true or false");
      return;
    }
    into = *flag;
  }

  void Fail(settings_fault_kind kind,
            std::string_view key,
            std::string expected = {}) {
    if (!failed_) {
      fault_ = {kind, std::string(file_), std::string(key),
                std::move(expected)};
      failed_ = true;
    }
  }

  // A time in whole milliseconds.
  void Milliseconds(std::string_view key,
                    std::size_t least,
                    std::size_t most,
                    duration& into) {
    auto milliseconds = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(into).count());
    Count(key, least, most, milliseconds);
    into = std::chrono::milliseconds(milliseconds);
  }

  // A number that may have a fraction.
  void Number(std::string_view key, double least, double most, double& into) {
    const boost::json::value* member = FindMember(settings_, key);
    if (member == nullptr) {
      return;
    }
    const double number =
        member->is_number() ? member->to_number<double>() : least - 1;
    if (!(number >= least && number <= most)) {
      Fail(settings_fault_kind::kWrongType, key,
           "a number from " + std::to_string(least) + " to " +
               std::to_string(most));
      return;
    }
    into = number;
  }

  // A time in seconds that may have a fraction.
  void Seconds(std::string_view key,
               double least,
               double most,
               duration& into) {
    constexpr double kMicrosPerSecond = 1e6;
    double seconds = static_cast<double>(into.count()) / kMicrosPerSecond;
    Number(key, least, most, seconds);
    into = duration(static_cast<std::int64_t>(seconds * kMicrosPerSecond));
  }

  bool failed() const { return failed_; }
  const settings_fault& fault() const { return fault_; }

 private:
  const boost::json::value& settings_;
  std::string_view file_;
  bool failed_ = false;
  settings_fault fault_{settings_fault_kind::kNotJson, "", ""};
};

}  // namespace anvilloom

#endif  // ENTRY_SETTINGS_READER_H_

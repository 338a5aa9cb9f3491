// Defines settings_reader, which reads typed members of a settings file and
// records the first fault.
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

// Methods keep the default in `into` if the key is absent. Not thread-safe;
// `settings` and `file` must outlive it.
class settings_reader {
 public:
  settings_reader(const boost::json::value& settings, std::string_view file)
      : settings_(settings), file_(file) {}

  void ReadString(std::string_view key, bool required, std::string& into) {
    const boost::json::value* member = FindMember(settings_, key);
    if (member == nullptr) {
      if (required) {
        Fail(settings_fault_kind::kMissingKey, key);
      }
      return;
    }
    const auto text = StringMember(settings_, key);
    if (!text) {
      Fail(settings_fault_kind::kWrongType, key, "a string");
      return;
    }
    into = *text;
  }

  void ReadAddress(std::string_view key, bool required, std::string& into) {
    ReadString(key, required, into);
    if (!into.empty() && !ParseEndpoint(into)) {
      Fail(settings_fault_kind::kBadAddress, key);
    }
  }

  void ReadCount(std::string_view key,
                 std::size_t min,
                 std::size_t max,
                 std::size_t& into) {
    if (FindMember(settings_, key) == nullptr) {
      return;
    }
    const auto number = UnsignedMember(settings_, key);
    if (!number || *number < min || *number > max) {
      Fail(settings_fault_kind::kWrongType, key,
           "a whole number from " + std::to_string(min) + " to " +
               std::to_string(max));
      return;
    }
    into = *number;
  }

  void ReadAddresses(std::string_view key, std::vector<std::string>& into) {
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

  void ReadBool(std::string_view key, bool& into) {
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

  // Reads a time in whole milliseconds.
  void ReadMilliseconds(std::string_view key,
                        std::size_t min,
                        std::size_t max,
                        duration& into) {
    auto milliseconds = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(into).count());
    ReadCount(key, min, max, milliseconds);
    into = std::chrono::milliseconds(milliseconds);
  }

  // Reads a number that may have a fraction.
  void ReadNumber(std::string_view key, double min, double max, double& into) {
    const boost::json::value* member = FindMember(settings_, key);
    if (member == nullptr) {
      return;
    }
    const double number =
        member->is_number() ? member->to_number<double>() : min - 1;
    if (!(number >= min && number <= max)) {
      Fail(settings_fault_kind::kWrongType, key,
           "a number from " + std::to_string(min) + " to " +
               std::to_string(max));
      return;
    }
    into = number;
  }

  // Reads a time in seconds that may have a fraction.
  void ReadSeconds(std::string_view key,
                   double min,
                   double max,
                   duration& into) {
    constexpr double kMicrosPerSecond = 1e6;
    double seconds = static_cast<double>(into.count()) / kMicrosPerSecond;
    ReadNumber(key, min, max, seconds);
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

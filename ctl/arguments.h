// Defines ctl_arguments, the parsed command line of anvilloomctl, and the help
// text of each command.
#ifndef CTL_ARGUMENTS_H_
#define CTL_ARGUMENTS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "common/time.h"

namespace anvilloom {

enum class ctl_command { kCheck, kPublish, kShow, kStatus, kDump, kDrain };

struct ctl_arguments {
  ctl_command command = ctl_command::kCheck;
  // The folder or the address; empty for commands that take none.
  std::string target;
  std::string object_api;
  // IP addresses and ports of the instances' admin ports.
  std::vector<std::string> instances;
  // Bearer token sent to admin ports; empty to send none.
  std::string admin_token;
  // Revision to use as the merge base in place of the folder's base file.
  std::optional<std::uint64_t> base_revision;
  duration time_limit{};
  // Pause between two reports of `status --watch`; std::nullopt prints one
  // report.
  std::optional<duration> watch_interval;
};

// The command line is not valid; `message` says why.
struct usage_error {
  std::string message;
};

// Help was requested; `text` is the text to print.
struct help_request {
  std::string text;
};

// Parses the arguments after the program name and reads the token file if one
// is given. Fails with a usage_error or a help_request. Safe to call from
// several threads.
boost::leaf::result<ctl_arguments> ParseArguments(
    std::span<const std::string> arguments);

}  // namespace anvilloom

#endif  // CTL_ARGUMENTS_H_

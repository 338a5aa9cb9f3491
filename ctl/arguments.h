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
  // Admin addresses of instances.
  std::vector<std::string> instances;
  // Bearer token for admin ports; empty if none is needed.
  std::string admin_token;
  // Base of the merge in place of the folder's base file.
  std::optional<std::uint64_t> base_revision;
  duration time_limit{};
  // Pause between two reports of `status --watch`; nothing for one report.
  std::optional<duration> watch_interval;
};

// The command line is not valid. A full sentence.
struct usage_fault {
  std::string sentence;
};

// The operator asked for help.
struct help_request {
  std::string text;
};

// Reads the arguments after the program's name, and the token file if one is
// named. Fails with a usage_fault or a help_request.
boost::leaf::result<ctl_arguments> ParseArguments(
    std::span<const std::string> arguments);

}  // namespace anvilloom

#endif  // CTL_ARGUMENTS_H_

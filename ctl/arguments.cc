#include "ctl/arguments.h"

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <sstream>
#include <string_view>

#include "wire/endpoint.h"

namespace anvilloom {

namespace {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

constexpr std::uint32_t kDefaultTimeLimitS = 20;
constexpr std::uint32_t kDefaultWatchIntervalS = 2;

// Bit set of the options that a command accepts.
enum option_set : unsigned {
  kObjectApi = 1U << 0U,
  kInstances = 1U << 1U,
  kToken = 1U << 2U,
  kBase = 1U << 3U,
  kWatch = 1U << 4U,
  kTimeLimit = 1U << 5U,
};

// Describes one command for parsing and for the help texts.
struct command_description {
  ctl_command command;
  std::string_view name;
  // Name of the positional argument, or an empty text.
  std::string_view target;
  std::string_view summary;
  std::string_view details;
  unsigned options;
};

constexpr std::string_view kExitCodes =
    "\nExit codes: 0 success; 1 no answer or refused; 2 invalid command line;\n"
    "3 invalid configuration; 4 another operator changed the same files;\n"
    "5 the object API did not confirm whether the update was accepted;\n"
    "6 an instance is not ready or has another revision in force.\n";

constexpr std::array<command_description, 6> kCommands = {{
    {ctl_command::kCheck, "check", "FOLDER",
     "Checks a folder of configuration files.",
     "Reads the .json files of FOLDER in the order of their names, merges "
     "them\n"
     "and prints every error and warning. Contacts no other process.\n",
     0},
    {ctl_command::kPublish, "publish", "FOLDER",
     "Merges a folder into the accepted configuration.",
     "Merges the changes of FOLDER file by file into the accepted revision,\n"
     "checks the result and makes it the next revision. Changes are relative\n"
     "to the file .anvilloom-base in FOLDER, which records the files of the "
     "last\n"
     "publish, or to the revision given by --base. If another operator also\n"
     "changed one of the files, the command reports a conflict and publishes\n"
     "nothing.\n",
     kObjectApi | kBase | kTimeLimit},
    {ctl_command::kShow, "show", "",
     "Prints the accepted revision and the revisions in force.",
     "Prints the accepted revision and its files, and for each instance of\n"
     "--instances the revision that it has in force.\n",
     kObjectApi | kInstances | kToken | kTimeLimit},
    {ctl_command::kStatus, "status", "", "Prints the state of instances.",
     "Prints readiness, revision in force, open streams and links of each\n"
     "instance of --instances.\n",
     kInstances | kToken | kWatch | kTimeLimit},
    {ctl_command::kDump, "dump", "ADDRESS",
     "Prints the whole state of an instance as JSON.",
     "ADDRESS is the IP address and port of the instance's admin port.\n",
     kToken | kTimeLimit},
    {ctl_command::kDrain, "drain", "ADDRESS",
     "Makes an instance stop gracefully.",
     "The instance withdraws its readiness, finishes or hands over its "
     "streams\n"
     "and exits. ADDRESS is the IP address and port of its admin port.\n",
     kToken | kTimeLimit},
}};

// Destination of the values that Boost.Program_options parses.
struct raw_options {
  std::string target;
  std::string object_api;
  std::string instances;
  std::string token_file;
  std::uint64_t base = 0;
  std::uint32_t time_limit_s = 0;
  std::uint32_t interval_s = 0;
};

options::options_description DescribeOptions(const command_description& entry,
                                             raw_options& into) {
  options::options_description visible("Options");
  auto add = visible.add_options();
  add("help", "Prints this text.");
  if ((entry.options & kObjectApi) != 0) {
    add("object-api",
        options::value(&into.object_api)->default_value("127.0.0.1:9000"),
        "IP address and port of the object API.");
  }
  if ((entry.options & kInstances) != 0) {
    add("instances", options::value(&into.instances),
        "Admin addresses, separated by commas.");
  }
  if ((entry.options & kToken) != 0) {
    add("token-file", options::value(&into.token_file),
        "File whose first line is the admin token.");
  }
  if ((entry.options & kBase) != 0) {
    add("base", options::value(&into.base),
        "Revision that FOLDER is based on, in place of .anvilloom-base.");
  }
  if ((entry.options & kWatch) != 0) {
    add("watch", "Repeats the report until the command is interrupted.");
    add("interval-s",
        options::value(&into.interval_s)->default_value(kDefaultWatchIntervalS),
        "Seconds between two reports.");
  }
  if ((entry.options & kTimeLimit) != 0) {
    add("time-limit-s",
        options::value(&into.time_limit_s)->default_value(kDefaultTimeLimitS),
        "Seconds after which the command times out.");
  }
  return visible;
}

std::string Usage(const command_description& entry) {
  std::string usage = "anvilloomctl " + std::string(entry.name);
  if (!entry.target.empty()) {
    usage += ' ';
    usage += entry.target;
  }
  return usage;
}

std::string CommandHelp(const command_description& entry) {
  raw_options unused;
  std::ostringstream text;
  text << "Usage: " << Usage(entry) << " [options]\n\n"
       << entry.summary << '\n'
       << entry.details << '\n'
       << DescribeOptions(entry, unused) << kExitCodes;
  return text.str();
}

std::string GeneralHelp() {
  std::string text =
      "Usage: anvilloomctl COMMAND [TARGET] [options]\n\nCommands:\n";
  for (const command_description& entry : kCommands) {
    constexpr std::size_t kColumn = 18;
    std::string synopsis(entry.name);
    synopsis += ' ';
    synopsis += entry.target;
    synopsis.resize(std::max(kColumn, synopsis.size()), ' ');
    text += "  " + synopsis + std::string(entry.summary) + "\n";
  }
  text += "\nanvilloomctl COMMAND --help describes a command.\n";
  return text + std::string(kExitCodes);
}

leaf::error_id UsageError(std::string message) {
  return leaf::new_error(usage_error{std::move(message)});
}

leaf::result<std::vector<std::string>> SplitAddresses(std::string_view list) {
  std::vector<std::string> addresses;
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    const std::string_view address = list.substr(0, comma);
    if (!ParseEndpoint(address)) {
      return UsageError("The text \"" + std::string(address) +
                        "\" is not an IP address and a port.");
    }
    addresses.emplace_back(address);
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return addresses;
}

leaf::result<std::string> ReadToken(const std::string& path) {
  if (path.empty()) {
    return std::string();
  }
  std::ifstream file(path);
  std::string token;
  if (!std::getline(file, token) || token.empty()) {
    return UsageError("The token file " + path +
                      " cannot be read or is empty.");
  }
  return token;
}

// Checks that the positional argument is present if the command takes one, and
// valid.
leaf::result<void> CheckTarget(const command_description& entry,
                               std::string_view target) {
  if (entry.target.empty() != target.empty()) {
    return UsageError("The command is used as: " + Usage(entry) + ".");
  }
  if (entry.target == "ADDRESS" && !ParseEndpoint(target)) {
    return UsageError("The text \"" + std::string(target) +
                      "\" is not an IP address and a port.");
  }
  return {};
}

leaf::result<ctl_arguments> MakeArguments(
    const command_description& entry,
    const raw_options& raw,
    const options::variables_map& values) {
  if (auto checked = CheckTarget(entry, raw.target); !checked) {
    return checked.error();
  }
  ctl_arguments arguments;
  arguments.command = entry.command;
  arguments.target = raw.target;
  arguments.object_api = raw.object_api;
  BOOST_LEAF_ASSIGN(arguments.instances, SplitAddresses(raw.instances));
  BOOST_LEAF_ASSIGN(arguments.admin_token, ReadToken(raw.token_file));
  if ((entry.options & kObjectApi) != 0 && !ParseEndpoint(raw.object_api)) {
    return UsageError(
        "The option --object-api must be an IP address and a port.");
  }
  if (entry.command == ctl_command::kStatus && arguments.instances.empty()) {
    return UsageError("The option --instances is required.");
  }
  if (values.count("base") != 0) {
    arguments.base_revision = raw.base;
  }
  if (values.count("watch") != 0) {
    arguments.watch_interval =
        std::chrono::seconds(std::max(raw.interval_s, 1U));
  }
  arguments.time_limit = std::chrono::seconds(raw.time_limit_s);
  return arguments;
}

leaf::result<ctl_arguments> ParseCommand(
    const command_description& entry,
    std::span<const std::string> arguments) {
  raw_options raw;
  options::options_description all;
  all.add(DescribeOptions(entry, raw));
  all.add_options()("target", options::value(&raw.target));
  options::positional_options_description positions;
  positions.add("target", 1);
  options::variables_map values;
  try {
    options::store(
        options::command_line_parser(
            std::vector<std::string>(arguments.begin(), arguments.end()))
            .options(all)
            .positional(positions)
            .run(),
        values);
    options::notify(values);
  } catch (const options::error& failure) {
    return UsageError(
        "The command line is not valid: " + std::string(failure.what()) + ".");
  }
  if (values.count("help") != 0) {
    return leaf::new_error(help_request{CommandHelp(entry)});
  }
  return MakeArguments(entry, raw, values);
}

}  // namespace

leaf::result<ctl_arguments> ParseArguments(
    std::span<const std::string> arguments) {
  if (arguments.empty()) {
    return UsageError("A command is required.\n\n" + GeneralHelp());
  }
  if (arguments.front() == "--help") {
    return leaf::new_error(help_request{GeneralHelp()});
  }
  const auto found = std::ranges::find(kCommands, arguments.front(),
                                       &command_description::name);
  if (found == kCommands.end()) {
    return UsageError(
        "The command \"" + arguments.front() +
        "\" is not known; anvilloomctl --help lists the commands.");
  }
  return ParseCommand(*found, arguments.subspan(1));
}

}  // namespace anvilloom

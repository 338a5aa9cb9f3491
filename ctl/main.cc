// Entry point of anvilloomctl, the command-line tool for operators.

#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "ctl/arguments.h"
#include "ctl/exit_code.h"
#include "ctl/folder_commands.h"
#include "ctl/instance_commands.h"

namespace {

namespace leaf = boost::leaf;
using anvilloom::ctl_arguments;
using anvilloom::ctl_command;
using anvilloom::exit_code;

exit_code Run(const ctl_arguments& arguments) {
  switch (arguments.command) {
    case ctl_command::kCheck:
      return anvilloom::CheckFolder(arguments);
    case ctl_command::kPublish:
      return anvilloom::PublishFolder(arguments);
    case ctl_command::kShow:
      return anvilloom::ShowAccepted(arguments);
    case ctl_command::kStatus:
      return anvilloom::PrintStatus(arguments);
    case ctl_command::kDump:
      return anvilloom::DumpInstance(arguments);
    case ctl_command::kDrain:
      return anvilloom::DrainInstance(arguments);
  }
  return exit_code::kUsageError;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> command_line(argv + 1, argv + argc);
  const exit_code code = leaf::try_handle_all(
      [&]() -> leaf::result<exit_code> {
        BOOST_LEAF_AUTO(arguments, anvilloom::ParseArguments(command_line));
        return Run(arguments);
      },
      [](const anvilloom::help_request& help) {
        std::cout << help.text;
        return exit_code::kSuccess;
      },
      [](const anvilloom::usage_error& error) {
        std::cerr << error.message << '\n';
        return exit_code::kUsageError;
      },
      [] {
        std::cerr << "The command line could not be parsed.\n";
        return exit_code::kUsageError;
      });
  return static_cast<int>(code);
}

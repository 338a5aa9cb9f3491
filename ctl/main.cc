// The operator's command line.

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
  return exit_code::kUsage;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  const exit_code code = leaf::try_handle_all(
      [&]() -> leaf::result<exit_code> {
        BOOST_LEAF_AUTO(arguments, anvilloom::ParseArguments(words));
        return Run(arguments);
      },
      [](const anvilloom::help_request& help) {
        std::cout << help.text;
        return exit_code::kDone;
      },
      [](const anvilloom::usage_fault& fault) {
        std::cerr << fault.sentence << '\n';
        return exit_code::kUsage;
      },
      [] {
        std::cerr << "The command line could not be read.\n";
        return exit_code::kUsage;
      });
  return static_cast<int>(code);
}

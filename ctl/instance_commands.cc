#include "ctl/instance_commands.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <iostream>
#include <optional>
#include <thread>
#include <utility>

#include "common/printable_text.h"
#include "ctl/instance_report.h"
#include "ctl/publisher.h"
#include "ctl/run_coroutine.h"
#include "wire/http_client.h"
#include "wire/http_object_store.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

constexpr std::size_t kDigestPrefixLength = 12;

deadline TimeLimit(const ctl_arguments& arguments) {
  return deadline::After(steady_source().Now(), arguments.time_limit);
}

// Calls an admin port and returns the body of a successful answer. Otherwise
// prints the reason to standard error and returns std::nullopt.
std::optional<std::string> CallAdmin(const ctl_arguments& arguments,
                                     const std::string& address,
                                     http_verb method,
                                     std::string_view path) {
  boost::asio::io_context context(1);
  http_client client(context.get_executor());
  http_request request = MakeRequest(method, path);
  if (!arguments.admin_token.empty()) {
    request.set("Authorization", "Bearer " + arguments.admin_token);
  }
  const auto answer = RunCoroutine(
      context, client.Exchange(address, std::move(request),
                               TimeLimit(arguments), connection_use::kFresh));
  const std::string instance = "The instance at " + address;
  if (!answer) {
    std::cerr << instance << " did not answer.\n";
    return std::nullopt;
  }
  if (answer->result() == http_status::unauthorized) {
    std::cerr << instance << " refused the admin token; use --token-file.\n";
    return std::nullopt;
  }
  constexpr unsigned kFirstErrorStatus = 300;
  if (answer->result_int() >= kFirstErrorStatus) {
    std::cerr << instance << " answered with status " << answer->result_int()
              << ".\n";
    return std::nullopt;
  }
  return answer->body();
}

std::optional<instance_report> FetchReport(const ctl_arguments& arguments,
                                           const std::string& address) {
  const auto dump = CallAdmin(arguments, address, http_verb::get, "/dump");
  if (!dump) {
    return std::nullopt;
  }
  auto report = DecodeReport(*dump);
  if (!report) {
    std::cerr << "The instance at " << address
              << " returned a dump that could not be decoded.\n";
  }
  return report;
}

// kFailure takes precedence over every other code.
exit_code CombineExitCodes(exit_code left, exit_code right) {
  if (left == exit_code::kFailure || right == exit_code::kFailure) {
    return exit_code::kFailure;
  }
  return left == exit_code::kSuccess ? right : left;
}

void PrintManifest(const configuration_manifest& manifest) {
  std::cout << "Revision " << manifest.revision << " is accepted. Files:\n";
  for (const manifest_entry& entry : manifest.files) {
    std::cout << "  "
              << ToPrintable(entry.digest.substr(0, kDigestPrefixLength))
              << "  " << ToPrintable(entry.name) << '\n';
  }
}

exit_code ShowInstance(const ctl_arguments& arguments,
                       const std::string& address,
                       std::uint64_t accepted) {
  const auto report = FetchReport(arguments, address);
  if (!report) {
    return exit_code::kFailure;
  }
  std::cout << address << ' ' << report->name << " has revision "
            << report->revision << " in force.\n";
  return report->revision == accepted ? exit_code::kSuccess
                                      : exit_code::kNotCurrent;
}

exit_code PrintStatusOnce(const ctl_arguments& arguments) {
  exit_code worst = exit_code::kSuccess;
  for (const std::string& address : arguments.instances) {
    const auto report = FetchReport(arguments, address);
    if (!report) {
      worst = exit_code::kFailure;
      continue;
    }
    std::cout << address << ' ' << StatusLine(*report) << '\n';
    worst = CombineExitCodes(
        worst, report->ready ? exit_code::kSuccess : exit_code::kNotCurrent);
  }
  std::cout << std::flush;
  return worst;
}

}  // namespace

exit_code ShowAccepted(const ctl_arguments& arguments) {
  boost::asio::io_context context(1);
  http_object_store store(context.get_executor(), arguments.object_api);
  publisher reader(store, publish_options{TimeLimit(arguments)});
  const auto current = RunCoroutine(context, reader.ReadManifest());
  exit_code worst = exit_code::kSuccess;
  std::uint64_t accepted = 0;
  if (!current) {
    std::cerr << "The accepted revision could not be read from the object "
                 "API.\n";
    worst = exit_code::kFailure;
  } else if (current->version == 0) {
    std::cout << "No configuration has been published yet.\n";
  } else {
    accepted = current->manifest.revision;
    PrintManifest(current->manifest);
  }
  for (const std::string& address : arguments.instances) {
    worst = CombineExitCodes(worst, ShowInstance(arguments, address, accepted));
  }
  return worst;
}

exit_code PrintStatus(const ctl_arguments& arguments) {
  while (arguments.watch_interval) {
    PrintStatusOnce(arguments);
    std::this_thread::sleep_for(*arguments.watch_interval);
  }
  return PrintStatusOnce(arguments);
}

exit_code DumpInstance(const ctl_arguments& arguments) {
  const auto body =
      CallAdmin(arguments, arguments.target, http_verb::get, "/dump");
  if (!body) {
    return exit_code::kFailure;
  }
  std::cout << *body << '\n';
  return exit_code::kSuccess;
}

exit_code DrainInstance(const ctl_arguments& arguments) {
  if (!CallAdmin(arguments, arguments.target, http_verb::post, "/drain")) {
    return exit_code::kFailure;
  }
  std::cout << "The instance at " << arguments.target << " is draining.\n";
  return exit_code::kSuccess;
}

}  // namespace anvilloom

#include "ctl/folder_commands.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <utility>

#include "ctl/base_file.h"
#include "ctl/configuration_folder.h"
#include "ctl/publisher.h"
#include "ctl/run_coroutine.h"
#include "wire/http_object_store.h"

namespace anvilloom {

namespace {

namespace leaf = boost::leaf;

template <typename Command>
exit_code RunWithFolder(const std::string& path, Command command) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<exit_code> {
        BOOST_LEAF_AUTO(files, ReadConfigurationFolder(path));
        return command(std::move(files));
      },
      [](const unreadable_path& unreadable) {
        std::cerr << "The path " << unreadable.path << " could not be read.\n";
        return exit_code::kFailure;
      },
      [] {
        std::cerr << "The folder could not be read.\n";
        return exit_code::kFailure;
      });
}

void PrintWarnings(std::span<const configuration_fault> warnings) {
  for (const configuration_fault& warning : warnings) {
    std::cerr << "Warning: " << ErrorMessage(warning) << '\n';
  }
}

exit_code ExitCodeFor(publish_error error) {
  switch (error) {
    case publish_error::kConflict:
      return exit_code::kConflict;
    case publish_error::kInvalidConfiguration:
      return exit_code::kInvalidConfiguration;
    case publish_error::kOutcomeUnknown:
      return exit_code::kOutcomeUnknown;
    case publish_error::kUnavailable:
    case publish_error::kRefused:
    case publish_error::kUnknownBase:
    case publish_error::kBaseAhead:
    case publish_error::kUnreadable:
      return exit_code::kFailure;
  }
  return exit_code::kFailure;
}

void PrintAccepted(const accepted_publish& accepted) {
  PrintWarnings(accepted.warnings);
  std::cout << "Revision " << accepted.revision
            << (accepted.changed ? " is accepted.\n"
                                 : " already has these files.\n");
  for (const std::string& file : accepted.newer_files) {
    std::cout << "The file " << file
              << " keeps the version that another operator published.\n";
  }
}

// Records the published files as the base of the next merge.
void RecordBase(const ctl_arguments& arguments,
                std::uint64_t revision,
                std::span<const configuration_file> files) {
  configuration_manifest base = internal::MakeManifest(files);
  base.revision = revision;
  if (!WriteBaseFile(arguments.target, base)) {
    std::cerr << "Warning: The file " << kBaseFileName
              << " could not be written; use --base " << revision
              << " for the next publish.\n";
  }
}

exit_code PublishFiles(const ctl_arguments& arguments,
                       std::vector<configuration_file> files) {
  boost::asio::io_context context(1);
  http_object_store store(context.get_executor(), arguments.object_api);
  publisher folder_publisher(
      store, publish_options{
                 deadline::After(steady_source().Now(), arguments.time_limit)});
  publish_source source{files, ReadBaseFile(arguments.target),
                        arguments.base_revision};
  const auto accepted =
      RunCoroutine(context, folder_publisher.Run(std::move(source)));
  if (!accepted) {
    std::cerr << FormatFailure(accepted.error());
    return ExitCodeFor(accepted.error().error);
  }
  PrintAccepted(*accepted);
  RecordBase(arguments, accepted->revision, files);
  return exit_code::kSuccess;
}

exit_code CheckFiles(std::span<const configuration_file> files) {
  const auto warnings = internal::ValidateFiles(files);
  if (!warnings) {
    for (const configuration_fault& fault : warnings.error().faults) {
      std::cerr << ErrorMessage(fault) << '\n';
    }
    return exit_code::kInvalidConfiguration;
  }
  PrintWarnings(*warnings);
  std::cout << "The configuration is valid.\n";
  return exit_code::kSuccess;
}

}  // namespace

exit_code CheckFolder(const ctl_arguments& arguments) {
  return RunWithFolder(arguments.target,
                       [](const std::vector<configuration_file>& files) {
                         return CheckFiles(files);
                       });
}

exit_code PublishFolder(const ctl_arguments& arguments) {
  return RunWithFolder(arguments.target,
                       [&](std::vector<configuration_file> files) {
                         return PublishFiles(arguments, std::move(files));
                       });
}

}  // namespace anvilloom

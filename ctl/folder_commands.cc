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

template <typename Act>
exit_code WithFolder(const std::string& path, Act act) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<exit_code> {
        BOOST_LEAF_AUTO(files, ReadConfigurationFolder(path));
        return act(std::move(files));
      },
      [](const unreadable_path& unreadable) {
        std::cerr << "The path " << unreadable.path << " cannot be read.\n";
        return exit_code::kFailed;
      },
      [] {
        std::cerr << "The folder cannot be read.\n";
        return exit_code::kFailed;
      });
}

void PrintWarnings(std::span<const configuration_fault> warnings) {
  for (const configuration_fault& warning : warnings) {
    std::cerr << "Warning: " << Sentence(warning) << '\n';
  }
}

exit_code CodeOf(publish_error error) {
  switch (error) {
    case publish_error::kConflict:
      return exit_code::kConflict;
    case publish_error::kInvalid:
      return exit_code::kInvalid;
    case publish_error::kOutcomeUnknown:
      return exit_code::kOutcomeUnknown;
    case publish_error::kUnavailable:
    case publish_error::kRefused:
    case publish_error::kUnknownBase:
    case publish_error::kBaseAhead:
    case publish_error::kUnreadable:
      return exit_code::kFailed;
  }
  return exit_code::kFailed;
}

void PrintAccepted(const accepted_publish& accepted) {
  PrintWarnings(accepted.warnings);
  std::cout << "Revision " << accepted.revision
            << (accepted.changed ? " is accepted.\n"
                                 : " holds these files already.\n");
  for (const std::string& file : accepted.newer_files) {
    std::cout << "The file " << file
              << " is accepted as another operator published it.\n";
  }
}

// Records the folder as it was published.
void RecordBase(const ctl_arguments& arguments,
                std::uint64_t revision,
                std::span<const configuration_file> files) {
  configuration_manifest base = internal::ManifestOf(files);
  base.revision = revision;
  if (!WriteBaseFile(arguments.target, base)) {
    std::cerr << "Warning: The file " << kBaseFileName
              << " cannot be written; use --base " << revision
              << " for the next publish.\n";
  }
}

exit_code PublishFiles(const ctl_arguments& arguments,
                       std::vector<configuration_file> files) {
  boost::asio::io_context context(1);
  http_object_store store(context.get_executor(), arguments.object_api);
  publisher one(store, publish_options{deadline::After(steady_source().Now(),
                                                       arguments.time_limit)});
  publish_source source{files, ReadBaseFile(arguments.target),
                        arguments.base_revision};
  const auto accepted = RunCoroutine(context, one.Run(std::move(source)));
  if (!accepted) {
    std::cerr << Sentences(accepted.error());
    return CodeOf(accepted.error().error);
  }
  PrintAccepted(*accepted);
  RecordBase(arguments, accepted->revision, files);
  return exit_code::kDone;
}

exit_code CheckFiles(std::span<const configuration_file> files) {
  const auto warnings = internal::CheckForPublish(files);
  if (!warnings) {
    for (const configuration_fault& fault : warnings.error().faults) {
      std::cerr << Sentence(fault) << '\n';
    }
    return exit_code::kInvalid;
  }
  PrintWarnings(*warnings);
  std::cout << "The configuration has no faults.\n";
  return exit_code::kDone;
}

}  // namespace

exit_code CheckFolder(const ctl_arguments& arguments) {
  return WithFolder(arguments.target,
                    [](const std::vector<configuration_file>& files) {
                      return CheckFiles(files);
                    });
}

exit_code PublishFolder(const ctl_arguments& arguments) {
  return WithFolder(arguments.target,
                    [&](std::vector<configuration_file> files) {
                      return PublishFiles(arguments, std::move(files));
                    });
}

}  // namespace anvilloom

#include "ctl/publish_result.h"

#include <boost/throw_exception.hpp>

#include "common/bad_result_access.h"

namespace anvilloom {

std::string FormatFailure(const publish_failure& failure) {
  const std::string revision = std::to_string(failure.revision);
  std::string text;
  switch (failure.error) {
    case publish_error::kConflict:
      for (const std::string& file : failure.files) {
        text += "The file " + file +
                " was changed both in this folder and by another operator.\n";
      }
      return text + "Merge revision " + revision +
             " into the folder through version control, then publish with "
             "--base " +
             revision + ".\n";
    case publish_error::kInvalidConfiguration:
      for (const configuration_fault& fault : failure.faults) {
        text += ErrorMessage(fault) + "\n";
      }
      return text + "The merged configuration was not published.\n";
    case publish_error::kUnavailable:
      return "The object API did not answer in time; nothing was published.\n";
    case publish_error::kRefused:
      return "The object API refused a write; nothing was published. A file "
             "must be smaller than 1 MB.\n";
    case publish_error::kOutcomeUnknown:
      return "The object API did not confirm whether revision " + revision +
             " was accepted. Publish again; this has no effect if it was.\n";
    case publish_error::kUnknownBase:
      return "The base revision " + revision +
             " is not in the history of the object API. Merge the accepted "
             "revision into the folder and publish with it as --base.\n";
    case publish_error::kBaseAhead:
      return "The object API holds revision " + revision +
             ", which is earlier than the base of the folder. Publish with "
             "--base " +
             revision + " to replace it with the files of the folder.\n";
    case publish_error::kUnreadable:
      return "The manifest in the object API could not be decoded; nothing "
             "was published.\n";
  }
  return "The configuration was not published.\n";
}

void throw_exception_from_error(const publish_failure& failure,
                                const boost::source_location& location) {
  boost::throw_exception(
      bad_result_access<publish_failure>(FormatFailure(failure), failure),
      location);
}

}  // namespace anvilloom

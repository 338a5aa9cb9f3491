// Defines ReadConfigurationFolder, which reads the configuration files of an
// operator's working copy.
#ifndef CTL_CONFIGURATION_FOLDER_H_
#define CTL_CONFIGURATION_FOLDER_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "wire/configuration_json.h"

namespace anvilloom {

// A folder or one of its files could not be read.
struct unreadable_path {
  std::string path;
};

// Returns the ".json" files of the folder sorted by name; other files are
// ignored. Fails with an unreadable_path.
boost::leaf::result<std::vector<configuration_file>> ReadConfigurationFolder(
    std::string_view path);

}  // namespace anvilloom

#endif  // CTL_CONFIGURATION_FOLDER_H_

// Defines ReadConfigurationFolder, which reads the files of a folder that an
// operator keeps under version control.
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

// The ".json" files of the folder in the order of their names; other files are
// ignored. Fails with an unreadable_path.
boost::leaf::result<std::vector<configuration_file>> ReadConfigurationFolder(
    std::string_view path);

}  // namespace anvilloom

#endif  // CTL_CONFIGURATION_FOLDER_H_

#include "ctl/configuration_folder.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace anvilloom {

namespace leaf = boost::leaf;

leaf::result<std::vector<configuration_file>> ReadConfigurationFolder(
    std::string_view path) {
  std::vector<configuration_file> files;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(path, error)) {
    if (entry.path().extension() != ".json") {
      continue;
    }
    std::ifstream input(entry.path());
    if (!input) {
      return leaf::new_error(unreadable_path{entry.path().string()});
    }
    files.push_back({entry.path().filename().string(),
                     std::string(std::istreambuf_iterator<char>(input), {})});
  }
  if (error) {
    return leaf::new_error(unreadable_path{std::string(path)});
  }
  std::ranges::sort(files, {}, &configuration_file::name);
  return files;
}

}  // namespace anvilloom

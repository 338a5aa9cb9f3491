#include "ctl/base_file.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace anvilloom {

namespace {

std::filesystem::path BasePath(std::string_view folder) {
  return std::filesystem::path(folder) / kBaseFileName;
}

}  // namespace

std::optional<configuration_manifest> ReadBaseFile(std::string_view folder) {
  std::ifstream file(BasePath(folder));
  if (!file) {
    return std::nullopt;
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  return DecodeManifest(text);
}

bool WriteBaseFile(std::string_view folder,
                   const configuration_manifest& base) {
  const std::filesystem::path path = BasePath(folder);
  // The process id keeps concurrent publishes from one folder from writing to
  // the same temporary file.
  const std::filesystem::path next =
      path.string() + "." + std::to_string(getpid());
  std::ofstream file(next);
  file << EncodeManifest(base) << '\n';
  file.close();
  std::error_code error;
  if (file) {
    std::filesystem::rename(next, path, error);
    return !error;
  }
  std::filesystem::remove(next, error);
  return false;
}

}  // namespace anvilloom

// Defines the base file of a folder, which records the manifest of the folder's
// last publish and serves as the base of the next three-way merge.
#ifndef CTL_BASE_FILE_H_
#define CTL_BASE_FILE_H_

#include <optional>
#include <string_view>

#include "wire/configuration_json.h"

namespace anvilloom {

// Specific to one working copy; keep it out of version control.
inline constexpr std::string_view kBaseFileName = ".anvilloom-base";

// Returns std::nullopt if the folder was never published or the file cannot be
// read or decoded.
std::optional<configuration_manifest> ReadBaseFile(std::string_view folder);

// Replaces the file atomically by a rename, so that a crash leaves either the
// old or the new file. Returns false on an I/O error.
bool WriteBaseFile(std::string_view folder, const configuration_manifest& base);

}  // namespace anvilloom

#endif  // CTL_BASE_FILE_H_

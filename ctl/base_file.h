// Defines the base file of a folder, which records what the folder held when it
// was last published. It is the base of the next three-way merge.
#ifndef CTL_BASE_FILE_H_
#define CTL_BASE_FILE_H_

#include <optional>
#include <string_view>

#include "wire/configuration_json.h"

namespace anvilloom {

// Belongs to one working copy and is not kept under version control.
inline constexpr std::string_view kBaseFileName = ".anvilloom-base";

// Nothing if the folder was never published, or the file is not readable.
std::optional<configuration_manifest> ReadBaseFile(std::string_view folder);

// Replaces the file in one step, so that a crash leaves the old or the new one.
// Returns whether that succeeded.
bool WriteBaseFile(std::string_view folder, const configuration_manifest& base);

}  // namespace anvilloom

#endif  // CTL_BASE_FILE_H_

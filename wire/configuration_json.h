// Defines the JSON encoding of the configuration: a set of files that merge in
// the order of their names, and the manifest that lists them.
#ifndef WIRE_CONFIGURATION_JSON_H_
#define WIRE_CONFIGURATION_JSON_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "contracts/configuration.h"

namespace anvilloom {

// A configuration file: JSON with comments.
struct configuration_file {
  std::string name;
  std::string text;
};

// One file of a manifest.
struct manifest_entry {
  std::string name;
  // SHA-256 of the text; the name of the object that holds it.
  std::string digest;
};

// The list of files that make up one revision.
struct configuration_manifest {
  std::uint64_t revision = 0;
  std::vector<manifest_entry> files;
};

std::string EncodeManifest(const configuration_manifest& manifest);
std::optional<configuration_manifest> DecodeManifest(std::string_view text);

// Merges the files in the order of their names (RFC 7396) and decodes the
// result; nothing if a file is not JSON or a section has the wrong form.
std::optional<configuration> DecodeConfiguration(
    std::span<const configuration_file> files,
    std::uint64_t revision);

}  // namespace anvilloom

#endif  // WIRE_CONFIGURATION_JSON_H_

// Defines the JSON encoding of the configuration: a set of files that merge in
// the order of their names, and the manifest that lists them.
#ifndef WIRE_CONFIGURATION_JSON_H_
#define WIRE_CONFIGURATION_JSON_H_

#include <boost/leaf/result.hpp>
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
  // Identifies the publish that wrote the manifest, so that a publisher whose
  // answer was lost can recognize its own update. May be empty.
  std::string attempt;
};

// Where the configuration lies in the object API: the accepted manifest, the
// files by their digest, and earlier manifests by their revision.
inline constexpr std::string_view kManifestKind = "configuration";
inline constexpr std::string_view kManifestName = "manifest";
inline constexpr std::string_view kFileKind = "configuration-files";
inline constexpr std::string_view kHistoryKind = "configuration-history";

// The stored object of a file.
std::string EncodeFileObject(std::string_view text);
std::optional<std::string> DecodeFileObject(std::string_view value);

std::string EncodeManifest(const configuration_manifest& manifest);
std::optional<configuration_manifest> DecodeManifest(std::string_view text);

// What is wrong with a value.
enum class configuration_fault_kind : std::uint8_t {
  kNotJson,     // The file is not a JSON object with comments.
  kUnknownKey,  // The key is not known; it may be misspelled or have a unit
                // that is not the expected one.
  kMissingKey,  // A required key is absent.
  kWrongType,
  kOutOfRange,
  kUnknownWord,   // The value is none of a fixed set of words.
  kInconsistent,  // The value does not fit another one.
};

// One fault with its place.
struct configuration_fault {
  configuration_fault_kind kind;
  // The file that set the value last.
  std::string file;
  // Path of the key, for example "upstreams/engine-1/slots". Empty for a whole
  // file.
  std::string key;
  // The end of a sentence that starts with "The value must".
  std::string expected;
};

// A full sentence that names the file, the key and what was expected.
std::string Sentence(const configuration_fault& fault);

// All faults of a set of files; the error object of DecodeConfiguration.
struct configuration_faults {
  std::vector<configuration_fault> faults;
};

// A configuration that may be put in force, and what an operator should look
// at nevertheless.
struct decoded_configuration {
  configuration value;
  std::vector<configuration_fault> warnings;
};

// The form of a value.
enum class value_form : std::uint8_t {
  kText,
  kTextList,
  kFlag,
  kNumber,
  kDigest,  // 64 lower-case hexadecimal digits.
  kWord,    // One of a fixed set of words.
};

// A known key of a section's entries, or of "limits" itself. Units are part of
// the names.
struct configuration_key {
  std::string_view section;
  std::string_view name;
  value_form form;
  bool required;
  // Bounds of a number, both included.
  std::uint64_t least;
  std::uint64_t most;
  // The end of a sentence that starts with "The value must".
  std::string_view expected;
};

// All known keys, ordered by section.
std::span<const configuration_key> KnownConfigurationKeys();

// Merges the files in the order of their names (RFC 7396), decodes the result
// and checks it. Fails with configuration_faults, which holds every fault. When
// a file is not JSON, the checks between values are left out, because they
// would report what that file declares as missing.
boost::leaf::result<decoded_configuration> DecodeWithWarnings(
    std::span<const configuration_file> files,
    std::uint64_t revision);

// As DecodeWithWarnings, without the warnings.
boost::leaf::result<configuration> DecodeConfiguration(
    std::span<const configuration_file> files,
    std::uint64_t revision);

}  // namespace anvilloom

#endif  // WIRE_CONFIGURATION_JSON_H_

// Defines the JSON codec for the configuration: a set of files that are merged
// in the order of their names, and the manifest that lists them.
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
  // SHA-256 of the text, which is also the name of the object that stores it.
  std::string digest;
};

// The files that make up one configuration revision.
struct configuration_manifest {
  std::uint64_t revision = 0;
  std::vector<manifest_entry> files;
  // Identifies the publish attempt that wrote the manifest, so that a publisher
  // that did not receive the response can recognize its own update. May be
  // empty.
  std::string attempt;
};

// Object kinds and names of the configuration in the object API: the accepted
// manifest, the files by digest, and earlier manifests by revision.
inline constexpr std::string_view kManifestKind = "configuration";
inline constexpr std::string_view kManifestName = "manifest";
inline constexpr std::string_view kFileKind = "configuration-files";
inline constexpr std::string_view kHistoryKind = "configuration-history";

// Encodes the text of a configuration file as a stored object.
std::string EncodeFileObject(std::string_view text);
std::optional<std::string> DecodeFileObject(std::string_view value);

std::string EncodeManifest(const configuration_manifest& manifest);
std::optional<configuration_manifest> DecodeManifest(std::string_view text);

// Reasons why a configuration value is rejected.
enum class configuration_fault_kind : std::uint8_t {
  kNotJson,     // The file is not a JSON object (comments are allowed).
  kUnknownKey,  // The key is not known; it may be misspelled or name a unit
                // other than the expected one.
  kMissingKey,  // A required key is absent.
  kWrongType,
  kOutOfRange,
  kUnsupportedValue,  // The value is not one of the allowed strings.
  kInconsistent,      // The value contradicts another one.
};

// A rejected value and its location.
struct configuration_fault {
  configuration_fault_kind kind;
  // The last file that set the value.
  std::string file;
  // Path of the key, for example "upstreams/engine-1/slots". Empty if the fault
  // concerns the entire file.
  std::string key;
  // What is expected, phrased to follow "The value must".
  std::string expected;
};

// Returns an error message, a full sentence that names the file, the key and
// the expected value.
std::string ErrorMessage(const configuration_fault& fault);

// All faults of a set of files; the error object of DecodeConfiguration.
struct configuration_faults {
  std::vector<configuration_fault> faults;
};

// A valid configuration, and warnings for the operator.
struct decoded_configuration {
  configuration value;
  std::vector<configuration_fault> warnings;
};

// Types of configuration values.
enum class value_type : std::uint8_t {
  kString,
  kStringList,
  kBool,
  kNumber,
  kDigest,  // 64 lower-case hexadecimal digits.
  kEnum,    // One of a fixed set of strings.
};

// A key of the entries in a section, or of the section "limits". Key names
// include the unit.
struct configuration_key {
  std::string_view section;
  std::string_view name;
  value_type type;
  bool required;
  // Inclusive range of a number.
  std::uint64_t min_value;
  std::uint64_t max_value;
  // What is expected, phrased to follow "The value must".
  std::string_view expected;
};

// Returns all known keys, ordered by section. Thread-safe.
std::span<const configuration_key> KnownConfigurationKeys();

// Merges the files in the order of their names (RFC 7396), then decodes and
// validates the result. Fails with configuration_faults, which lists every
// fault. If a file is not JSON, consistency checks between values are skipped,
// because they would report the declarations of that file as missing.
boost::leaf::result<decoded_configuration> DecodeConfigurationWithWarnings(
    std::span<const configuration_file> files,
    std::uint64_t revision);

// Same as DecodeConfigurationWithWarnings, but drops the warnings.
boost::leaf::result<configuration> DecodeConfiguration(
    std::span<const configuration_file> files,
    std::uint64_t revision);

}  // namespace anvilloom

#endif  // WIRE_CONFIGURATION_JSON_H_

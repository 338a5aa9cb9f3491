// Lesson 2: checking a configuration and merging the changes of two operators.
//
// Operators keep small JSON files in a folder, which are merged in the order of
// their names. All errors are reported together, each with its file, its key
// and the expected value. Changes that two operators publish are merged by
// file.

#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <iostream>
#include <vector>

#include "ctl/configuration_merge.h"
#include "wire/configuration_json.h"

namespace {

namespace leaf = boost::leaf;
using anvilloom::configuration_file;
using anvilloom::manifest_entry;

// Fails the lesson, which also runs as a test, if a condition is false.
void Expect(bool holds, const char* condition) {
  std::cout << (holds ? "As expected: " : "Not as expected: ") << condition
            << '\n';
  if (!holds) {
    std::exit(EXIT_FAILURE);
  }
}

// Prints the errors and warnings and returns the number of errors.
std::size_t CountFaults(const std::vector<configuration_file>& files) {
  // LEAF passes the typed error object to the handler that names its type.
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::size_t> {
        BOOST_LEAF_AUTO(decoded,
                        anvilloom::DecodeConfigurationWithWarnings(files, 1));
        for (const auto& warning : decoded.warnings) {
          std::cout << "  Warning: " << anvilloom::ErrorMessage(warning)
                    << '\n';
        }
        return std::size_t{0};
      },
      [](const anvilloom::configuration_faults& found) {
        for (const auto& fault : found.faults) {
          std::cout << "  " << anvilloom::ErrorMessage(fault) << '\n';
        }
        return found.faults.size();
      },
      [] { return std::size_t{1}; });
}

}  // namespace

int main() {
  // A failure domain, a service, and an upstream that serves it.
  std::vector<configuration_file> files = {{"10-base.json", R"({
         "failure_domains": {"zone-a": {"region": "region-1"}},
         "services": {"look-up": {"kind": "plain"}},
         "upstreams": {"service-1": {"address": "127.0.0.1:9201",
           "failure_domain": "zone-a", "services": ["look-up"]}}})"}};
  Expect(CountFaults(files) == 0, "the first file has no errors.");

  // A later file overrides individual values. This one has a key with a wrong
  // unit, a value out of range and a dangling reference.
  files.push_back({"20-edit.json", R"({
         "services": {"look-up": {"answer_limit_s": 3}},
         "upstreams": {"service-1": {"slots": 0,
           "failure_domain": "zone-b"}}})"});
  Expect(CountFaults(files) == 3, "the second file has three errors.");

  // A manifest lists files with the digests of their contents. Both operators
  // start from the same base; one edits file a, the other one edits b and adds
  // c.
  const std::vector<manifest_entry> base = {{"a", "1"}, {"b", "1"}};
  const std::vector<manifest_entry> theirs = {{"a", "2"}, {"b", "1"}};
  const std::vector<manifest_entry> ours = {{"a", "1"}, {"b", "2"}, {"c", "1"}};
  const auto merged = anvilloom::MergeManifests(base, theirs, ours);
  Expect(merged.conflicts.empty() && merged.files.size() == 3,
         "changes to different files merge.");
  Expect(merged.files[0].digest == "2" && merged.files[1].digest == "2",
         "the merge contains the changes of both operators.");

  // Different changes to the same file cannot be merged automatically.
  const std::vector<manifest_entry> rival = {{"a", "3"}, {"b", "1"}};
  const auto conflict = anvilloom::MergeManifests(base, theirs, rival);
  Expect(conflict.conflicts == std::vector<std::string>{"a"},
         "changes to the same file are a conflict.");
  return EXIT_SUCCESS;
}

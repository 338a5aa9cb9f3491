// Defines object_api, a stand-in for the platform's object API: an in-memory
// store of versioned objects with conditional updates and watches.
#ifndef STANDINS_OBJECT_API_H_
#define STANDINS_OBJECT_API_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "standins/fault_injector.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// A handler for http_server. Thread-safe.
class object_api {
 public:
  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  struct versioned_value {
    std::uint64_t version;
    std::string value;
  };
  using object_map = std::map<std::string, versioned_value>;
  struct change {
    std::uint64_t version;
    std::string kind;
    // The line that watches send for the change.
    std::string line;
  };
  // The response to a call.
  struct reply {
    http_status status;
    std::string body;
  };
  // The changes to objects of one kind after a version. `gone` is set if they
  // are no longer retained.
  struct change_batch {
    bool gone = false;
    std::uint64_t version = 0;
    std::string lines;
  };

  // Reads the member "value" of a body into `text`. Returns an error reply if
  // it is missing or too large.
  static std::optional<reply> ReadValue(
      const std::optional<boost::json::value>& parsed,
      std::string& text);
  // Returns an error reply if the object does not exist or has another version
  // than `version`.
  static std::optional<reply> RefuseChange(const object_map& objects,
                                           std::string_view name,
                                           std::uint64_t version);
  reply Apply(const http_exchange& exchange,
              std::string_view kind,
              std::string_view name);
  reply List(std::string_view kind);
  reply Get(std::string_view kind, std::string_view name);
  reply Create(std::string_view kind, std::string_view body);
  reply Update(std::string_view kind,
               std::string_view name,
               std::uint64_t version,
               std::string_view body);
  reply Delete(std::string_view kind,
               std::string_view name,
               std::uint64_t version);
  change_batch ChangesAfter(std::string_view kind, std::uint64_t version);
  awaitable<void> Watch(http_exchange& exchange, std::string_view kind);
  // Adds a change to the log that watches read. Requires the lock.
  void Record(std::string_view kind,
              std::string_view type,
              std::string_view name,
              const versioned_value& object);

  fault_injector faults_;
  std::mutex mutex_;
  std::uint64_t version_ = 1;
  std::map<std::string, object_map> kinds_;
  std::deque<change> changes_;
};

}  // namespace anvilloom

#endif  // STANDINS_OBJECT_API_H_

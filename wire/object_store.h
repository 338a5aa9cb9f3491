// Defines the object_store concept, the platform's object API as the system
// uses it: objects with versions, conditional updates and watches.
#ifndef WIRE_OBJECT_STORE_H_
#define WIRE_OBJECT_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/system/result.hpp>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "wire/transfer.h"

namespace anvilloom {

// One object. Versions grow over the whole store, not for each object.
struct stored_object {
  std::string name;
  std::uint64_t version = 0;
  // JSON text, at most 1 MB.
  std::string value;
};

// All objects of a kind, as of one version of the store.
struct object_list {
  std::uint64_t version = 0;
  std::vector<stored_object> objects;
};

enum class object_event_kind { kPut, kDelete };

// One change seen by a watch.
struct object_event {
  object_event_kind kind;
  stored_object object;
};

// Why a call to the object API failed.
enum class store_error {
  kNotFound,     // No such object.
  kConflict,     // It exists already, or its version is another one.
  kGone,         // The version to watch from is too old; list again.
  kRefused,      // The store answered with an error; nothing was changed.
  kUnavailable,  // No answer; a write has certainly not taken effect.
  kAmbiguous,    // No answer; a write may have taken effect.
};

[[noreturn]] void throw_exception_from_error(
    store_error error,
    const boost::source_location& location);

template <typename T>
using store_result = boost::system::result<T, store_error>;

// Receives the events of a watch, in order. Returns whether to watch on.
using object_event_sink = std::function<bool(const object_event&)>;

// The object API. Every call ends by its deadline.
template <typename T>
concept object_store = requires(T& store,
                                std::string_view kind,
                                std::string_view name,
                                std::string_view value,
                                std::uint64_t version,
                                deadline until,
                                const object_event_sink& sink) {
  {
    store.List(kind, until)
    } -> std::same_as<awaitable<store_result<object_list>>>;
  {
    store.Get(kind, name, until)
    } -> std::same_as<awaitable<store_result<stored_object>>>;
  // Creates an object; kConflict if it exists. Returns the new version.
  {
    store.Create(kind, name, value, until)
    } -> std::same_as<awaitable<store_result<std::uint64_t>>>;
  // Replaces an object if its version is `version`. Returns the new version.
  {
    store.Update(kind, name, version, value, until)
    } -> std::same_as<awaitable<store_result<std::uint64_t>>>;
  // Deletes an object if its version is `version`.
  {
    store.Delete(kind, name, version, until)
    } -> std::same_as<awaitable<store_result<std::uint64_t>>>;
  // Delivers every change of a kind after `version` until the sink returns
  // false, the deadline or a failure. Returns the version reached, from which
  // to watch next.
  {
    store.Watch(kind, version, sink, until)
    } -> std::same_as<awaitable<store_result<std::uint64_t>>>;
};

}  // namespace anvilloom

#endif  // WIRE_OBJECT_STORE_H_

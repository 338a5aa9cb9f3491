// Defines the object_store concept, a client of the platform's object API:
// versioned objects, conditional updates and watches.
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

// A stored object. Versions increase across the entire store, not per object.
struct stored_object {
  std::string name;
  std::uint64_t version = 0;
  // JSON text, at most 1 MB.
  std::string value;
  // JSON text of what programs have noted on the object, apart from what it
  // asks for; empty if the store keeps none.
  std::string status = {};
};

// All objects of a kind as of one version of the store.
struct object_list {
  std::uint64_t version = 0;
  // Long lists are read in several calls, so the objects may have changes up to
  // this version; at least `version`.
  std::uint64_t read_until = 0;
  std::vector<stored_object> objects;
  // False if the store has more objects that could not be read: an object that
  // is missing here may exist.
  bool complete = true;
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
  kConflict,     // The object already exists, or has another version.
  kGone,         // The version to watch from is too old; a new list is needed.
  kRefused,      // The store rejected the call, or its response to a read could
                 // not be decoded; nothing was changed.
  kUnavailable,  // No response; a write has not taken effect.
  kAmbiguous,    // No response, a server error or a response to a write that
                 // could not be decoded; the write may have taken effect.
};

[[noreturn]] void throw_exception_from_error(
    store_error error,
    const boost::source_location& location);

template <typename T>
using store_result = boost::system::result<T, store_error>;

// Receives the events of a watch in order. Returns whether to continue.
using object_event_sink = std::function<bool(const object_event&)>;

// A client of the object API. Every call completes by its deadline.
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
  // false, the deadline passes or the watch fails. Returns the last version
  // seen, from which the next watch continues.
  {
    store.Watch(kind, version, sink, until)
    } -> std::same_as<awaitable<store_result<std::uint64_t>>>;
};

}  // namespace anvilloom

#endif  // WIRE_OBJECT_STORE_H_

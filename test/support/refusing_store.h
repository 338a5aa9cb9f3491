// Defines refusing_store, an object store that refuses every call. Tests derive
// from it and override the calls that they need.
#ifndef TEST_SUPPORT_REFUSING_STORE_H_
#define TEST_SUPPORT_REFUSING_STORE_H_

#include <cstdint>
#include <string_view>

#include "common/time.h"
#include "wire/object_store.h"

namespace anvilloom {

class refusing_store {
 public:
  awaitable<store_result<object_list>> List(std::string_view, deadline) {
    co_return store_error::kRefused;
  }
  awaitable<store_result<stored_object>> Get(std::string_view,
                                             std::string_view,
                                             deadline) {
    co_return store_error::kRefused;
  }
  awaitable<store_result<std::uint64_t>> Create(std::string_view,
                                                std::string_view,
                                                std::string_view,
                                                deadline) {
    co_return store_error::kRefused;
  }
  awaitable<store_result<std::uint64_t>> Update(std::string_view,
                                                std::string_view,
                                                std::uint64_t,
                                                std::string_view,
                                                deadline) {
    co_return store_error::kRefused;
  }
  awaitable<store_result<std::uint64_t>> Delete(std::string_view,
                                                std::string_view,
                                                std::uint64_t,
                                                deadline) {
    co_return store_error::kRefused;
  }
  awaitable<store_result<std::uint64_t>> Watch(std::string_view,
                                               std::uint64_t,
                                               const object_event_sink&,
                                               deadline) {
    co_return store_error::kRefused;
  }
};

static_assert(object_store<refusing_store>);

}  // namespace anvilloom

#endif  // TEST_SUPPORT_REFUSING_STORE_H_

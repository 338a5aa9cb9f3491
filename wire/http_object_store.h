// Defines http_object_store, an object_store that calls the platform's HTTP
// API.
#ifndef WIRE_HTTP_OBJECT_STORE_H_
#define WIRE_HTTP_OBJECT_STORE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "wire/http_client.h"
#include "wire/object_store.h"

namespace anvilloom {

// Not thread-safe; use one per io_context.
class http_object_store {
 public:
  // `address` is the IP address and port of the object API.
  http_object_store(boost::asio::any_io_executor executor,
                    std::string_view address);

  awaitable<store_result<object_list>> List(std::string_view kind,
                                            deadline until);
  awaitable<store_result<stored_object>> Get(std::string_view kind,
                                             std::string_view name,
                                             deadline until);
  awaitable<store_result<std::uint64_t>> Create(std::string_view kind,
                                                std::string_view name,
                                                std::string_view value,
                                                deadline until);
  awaitable<store_result<std::uint64_t>> Update(std::string_view kind,
                                                std::string_view name,
                                                std::uint64_t version,
                                                std::string_view value,
                                                deadline until);
  awaitable<store_result<std::uint64_t>> Delete(std::string_view kind,
                                                std::string_view name,
                                                std::uint64_t version,
                                                deadline until);
  awaitable<store_result<std::uint64_t>> Watch(std::string_view kind,
                                               std::uint64_t version,
                                               const object_event_sink& sink,
                                               deadline until);

 private:
  // Sends a write of the object with this name.
  awaitable<store_result<std::uint64_t>> Write(std::string_view name,
                                               http_request request,
                                               deadline until);

  std::string address_;
  http_client client_;
};

static_assert(object_store<http_object_store>);

}  // namespace anvilloom

#endif  // WIRE_HTTP_OBJECT_STORE_H_

// Defines http_instance_api, an instance_api that calls the platform's HTTP
// API.
#ifndef WIRE_HTTP_INSTANCE_API_H_
#define WIRE_HTTP_INSTANCE_API_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/http_client.h"
#include "wire/instance_api.h"

namespace anvilloom {

// Not thread-safe; use one per io_context.
class http_instance_api {
 public:
  // `address` is the IP address and port of the instance API.
  http_instance_api(boost::asio::any_io_executor executor,
                    std::string_view address);

  awaitable<instance_result<std::vector<listed_instance>>> List(deadline until);
  awaitable<instance_result<notice_batch>> AwaitNotices(std::uint64_t from,
                                                        deadline until);
  awaitable<instance_result<std::string>> Start(instance_order order,
                                                deadline until);

 private:
  std::string address_;
  http_client client_;
};

static_assert(instance_api<http_instance_api>);

}  // namespace anvilloom

#endif  // WIRE_HTTP_INSTANCE_API_H_

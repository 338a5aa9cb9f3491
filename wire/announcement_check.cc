#include "wire/announcement_check.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "wire/endpoint.h"
#include "wire/http_text.h"

namespace anvilloom {

bool IsEntryName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes;
}

bool HasShortNames(const upstream_announcement& announced) {
  return std::ranges::all_of(
      std::array<std::string_view, 5>{announced.id, announced.service,
                                      announced.address, announced.domain,
                                      announced.version},
      [](std::string_view each) { return each.size() <= kMaxNameBytes; });
}

bool IsUsable(const upstream_announcement& announced) {
  const auto endpoint = ParseEndpoint(announced.address);
  return endpoint && endpoint->port() != 0 && IsHeaderValue(announced.id) &&
         !announced.service.empty() && HasShortNames(announced);
}

}  // namespace anvilloom

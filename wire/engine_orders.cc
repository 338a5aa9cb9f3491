#include "wire/engine_orders.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "wire/json_text.h"

namespace anvilloom {

std::optional<model_report> DecodeModelReport(std::string_view text) {
  const auto parsed = ParseJson(text);
  const auto model = parsed ? StringMember(*parsed, "model") : std::nullopt;
  if (!model) {
    return std::nullopt;
  }
  return model_report{std::string(*model),
                      BoolMember(*parsed, "loading").value_or(false)};
}

std::string EncodeLoadOrder(const load_order& order) {
  const boost::json::value encoded = {{"model", order.model},
                                      {"fencing", order.fencing}};
  return boost::json::serialize(encoded);
}

}  // namespace anvilloom

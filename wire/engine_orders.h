// Defines the encoding of an engine's report of its model and of the order to
// load one.
#ifndef WIRE_ENGINE_ORDERS_H_
#define WIRE_ENGINE_ORDERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "instances/fleet_plan.h"

namespace anvilloom {

// What an engine says of its model.
struct model_report {
  // The model that it answers with, or that it is loading.
  std::string model;
  bool loading = false;
};

// Reads the answer of GET /load. Nothing if the text is no report, or does not
// name a model: such an engine takes no orders.
std::optional<model_report> DecodeModelReport(std::string_view text);
// The body of POST /orders.
std::string EncodeLoadOrder(const load_order& order);

}  // namespace anvilloom

#endif  // WIRE_ENGINE_ORDERS_H_

// Defines the JSON codec for an engine's model report and for the order to load
// a model.
#ifndef WIRE_ENGINE_ORDERS_H_
#define WIRE_ENGINE_ORDERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "instances/fleet_plan.h"

namespace anvilloom {

// An engine's report of its model.
struct model_report {
  // The model that the engine serves or is loading.
  std::string model;
  bool loading = false;
};

// Decodes the response to GET /load. Returns nullopt if the text is not a
// report or names no model; such an engine accepts no load orders.
std::optional<model_report> DecodeModelReport(std::string_view text);
// Encodes the body of POST /orders.
std::string EncodeLoadOrder(const load_order& order);

}  // namespace anvilloom

#endif  // WIRE_ENGINE_ORDERS_H_

#include "wire/lease_json.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

#include "wire/json_text.h"

namespace anvilloom {

namespace {

namespace json = boost::json;

// A longer period is treated as a corrupt object, because no other instance
// could take over the lease.
constexpr duration kMaxPeriod = std::chrono::hours(1);
// A larger fencing number is treated as a corrupt object, because no larger one
// could be left for the next holders. Each takeover adds one.
constexpr std::uint64_t kMaxFencing = std::uint64_t{1} << 62U;

}  // namespace

std::string EncodeLease(const lease_record& record) {
  json::object encoded;
  encoded["holder"] = record.holder;
  encoded["fencing"] = record.fencing;
  encoded["renewals"] = record.renewals;
  encoded["period_us"] = record.period.count();
  return json::serialize(encoded);
}

std::optional<lease_record> DecodeLease(std::string_view text) {
  const auto parsed = ParseJson(text);
  if (!parsed) {
    return std::nullopt;
  }
  const auto holder = StringMember(*parsed, "holder");
  const auto fencing = UnsignedMember(*parsed, "fencing");
  const auto renewals = UnsignedMember(*parsed, "renewals");
  const auto period = UnsignedMember(*parsed, "period_us");
  if (!holder || !fencing || !renewals || !period) {
    return std::nullopt;
  }
  const auto max_period_us = static_cast<std::uint64_t>(kMaxPeriod.count());
  if (holder->empty() || *fencing == 0 || *fencing > kMaxFencing ||
      *period == 0 || *period > max_period_us) {
    return std::nullopt;
  }
  lease_record record;
  record.holder = *holder;
  record.fencing = *fencing;
  record.renewals = *renewals;
  record.period = duration(static_cast<duration::rep>(*period));
  return record;
}

}  // namespace anvilloom

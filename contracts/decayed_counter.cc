#include "contracts/decayed_counter.h"

#include <bit>
#include <cmath>

namespace anvilloom {

namespace {

constexpr unsigned kValueShift = 32;

std::uint32_t Milliseconds(time_point now) {
  return static_cast<std::uint32_t>(
      std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch())
          .count());
}

}  // namespace

float decayed_counter::Decayed(std::uint64_t packed,
                               std::uint32_t now_ms) const {
  const float value =
      std::bit_cast<float>(static_cast<std::uint32_t>(packed >> kValueShift));
  // Signed, because another thread may have stored a slightly later time.
  const auto age_ms =
      static_cast<std::int32_t>(now_ms - static_cast<std::uint32_t>(packed));
  if (value == 0 || age_ms <= 0) {
    return value;
  }
  const auto time_constant_ms = static_cast<float>(
      std::chrono::duration_cast<std::chrono::milliseconds>(time_constant_)
          .count());
  return value * std::exp(-static_cast<float>(age_ms) / time_constant_ms);
}

void decayed_counter::Add(float amount, time_point now) {
  const std::uint32_t now_ms = Milliseconds(now);
  std::uint64_t old = packed_.load(std::memory_order_relaxed);
  std::uint64_t next = 0;
  do {
    const float value = Decayed(old, now_ms) + amount;
    next = std::uint64_t{std::bit_cast<std::uint32_t>(value)} << kValueShift |
           now_ms;
  } while (
      !packed_.compare_exchange_weak(old, next, std::memory_order_relaxed));
}

float decayed_counter::Value(time_point now) const {
  return Decayed(packed_.load(std::memory_order_relaxed), Milliseconds(now));
}

}  // namespace anvilloom

#include "entry/caller.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include "common/hash.h"

namespace anvilloom {

namespace {

constexpr std::size_t kMaxRequestIdBytes = 128;

bool IsPrintable(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

std::string ValidRequestId(const http_exchange& exchange) {
  const std::string_view id = exchange.Header("X-Request-Id");
  const bool valid = id.size() <= kMaxRequestIdBytes && IsPrintable(id);
  return valid ? std::string(id) : std::string();
}

std::optional<caller> IdentifyCaller(const process_state& process,
                                     const http_exchange& exchange) {
  const auto credential = exchange.BearerToken();
  if (!credential) {
    return std::nullopt;
  }
  const std::string digest = Sha256Hex(*credential);
  const rcu_read_guard guard;
  const topology& world = process.world.Read(guard);
  const auto found = world.FindWorkspace(digest);
  if (!found) {
    return std::nullopt;
  }
  return caller{world.at(*found), ValidRequestId(exchange)};
}

std::optional<deadline> AnswerDeadline(const http_exchange& exchange,
                                       const contract& terms,
                                       time_point now) {
  const deadline limit = deadline::After(now, terms.answer_limit);
  const std::string_view text = exchange.Header("X-Deadline-Ms");
  if (text.empty()) {
    return limit;
  }
  std::uint32_t wait_ms = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), wait_ms);
  if (error != std::errc() || end != text.data() + text.size() ||
      wait_ms == 0) {
    return std::nullopt;
  }
  return limit.Earlier(
      deadline::After(now, std::chrono::milliseconds(wait_ms)));
}

}  // namespace anvilloom

// Defines store_news, what one instance tells another one of the store.
#ifndef INSTANCES_STORE_NEWS_H_
#define INSTANCES_STORE_NEWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "instances/upstream_announcement.h"

namespace anvilloom {

// The stored object that contains a manifest.
struct manifest_document {
  // Revision of the object in the store.
  std::uint64_t revision = 0;
  std::string text;
};

// The sender's view contains all that the store held at one time: the manifest
// of this version or a newer one, and all changes of the upstreams' entries up
// to revision `through`.
struct store_news {
  std::uint64_t manifest_version = 0;
  std::uint64_t through = 0;
  // `changes` holds all changes with revisions above `from`, up to `through`,
  // and none beyond: the receiver keeps them under `through` and vouches for
  // them to others. A receiver that does not know all changes up to `from` has
  // missed some.
  std::uint64_t from = 0;
  // Whether `changes` holds all entries that exist, and any other one is gone.
  bool whole = false;
  std::vector<upstream_change> changes;
  // Time between the moment at which the store held no more than this, and the
  // sending. Unset if the sender doesn't know.
  std::optional<duration> confirmed_age;
  // In the answer to a question, the time at which the receiver asked, by its
  // own clock.
  std::optional<time_point> asked_at;
  // Address from which the receiver can fetch what it lacks.
  std::string fetch_address;
  // Only in the answer to such a request: a manifest that the receiver lacks.
  std::optional<manifest_document> document;
};

}  // namespace anvilloom

#endif  // INSTANCES_STORE_NEWS_H_

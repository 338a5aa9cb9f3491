// Defines Publish, which puts the files of a folder into the object API as the
// next revision of the configuration.
#ifndef CTL_PUBLISH_H_
#define CTL_PUBLISH_H_

#include <cstdint>
#include <span>

#include "wire/configuration_json.h"
#include "wire/http_object_store.h"
#include "wire/object_store.h"

namespace anvilloom {

// Returns the new revision. Fails with kConflict if another operator published
// in between.
awaitable<store_result<std::uint64_t>> Publish(
    http_object_store& store,
    std::span<const configuration_file> files,
    deadline until);

}  // namespace anvilloom

#endif  // CTL_PUBLISH_H_

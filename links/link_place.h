// Defines link_place, a guard that counts one request as outstanding on a link
// during its lifetime.
#ifndef LINKS_LINK_PLACE_H_
#define LINKS_LINK_PLACE_H_

#include <memory>
#include <optional>
#include <utility>

#include "contracts/contract.h"
#include "links/link.h"

namespace anvilloom {

class link_place {
 public:
  // Returns nothing if the link is on probation and has no capacity left.
  static std::optional<link_place> TryTake(std::shared_ptr<link> path,
                                           priority rank) {
    if (!path->TryBegin(rank)) {
      return std::nullopt;
    }
    return link_place(std::move(path), rank);
  }

  ~link_place() { Release(); }
  link_place(link_place&& other) noexcept = default;
  link_place& operator=(link_place&& other) noexcept {
    Release();
    path_ = std::move(other.path_);
    rank_ = other.rank_;
    return *this;
  }

  // Ends the request before the destructor does.
  void Release() {
    if (path_ != nullptr) {
      path_->End(rank_);
      path_.reset();
    }
  }

 private:
  link_place(std::shared_ptr<link> path, priority rank)
      : path_(std::move(path)), rank_(rank) {}

  // Null after Release() or after the object was moved from.
  std::shared_ptr<link> path_;
  priority rank_;
};

}  // namespace anvilloom

#endif  // LINKS_LINK_PLACE_H_

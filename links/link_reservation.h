// Defines link_reservation, a guard that counts one request as outstanding on a
// link during its lifetime.
#ifndef LINKS_LINK_RESERVATION_H_
#define LINKS_LINK_RESERVATION_H_

#include <memory>
#include <optional>
#include <utility>

#include "contracts/contract.h"
#include "links/link.h"

namespace anvilloom {

class link_reservation {
 public:
  // Returns nothing if the link is on probation and has no capacity left.
  static std::optional<link_reservation> TryTake(std::shared_ptr<link> path,
                                                 priority priority_class) {
    if (!path->TryBegin(priority_class)) {
      return std::nullopt;
    }
    return link_reservation(std::move(path), priority_class);
  }

  ~link_reservation() { Release(); }
  link_reservation(link_reservation&& other) noexcept = default;
  link_reservation& operator=(link_reservation&& other) noexcept {
    Release();
    path_ = std::move(other.path_);
    priority_class_ = other.priority_class_;
    return *this;
  }

  // Ends the request before the destructor does.
  void Release() {
    if (path_ != nullptr) {
      path_->End(priority_class_);
      path_.reset();
    }
  }

 private:
  link_reservation(std::shared_ptr<link> path, priority priority_class)
      : path_(std::move(path)), priority_class_(priority_class) {}

  // Null after Release() or after the object was moved from.
  std::shared_ptr<link> path_;
  priority priority_class_;
};

}  // namespace anvilloom

#endif  // LINKS_LINK_RESERVATION_H_

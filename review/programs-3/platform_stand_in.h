// Defines platform_stand_in, a stand-in for the platform's metadata store and
// its API for singleton duties.
#ifndef REVIEW_PROGRAMS_3_PLATFORM_STAND_IN_H_
#define REVIEW_PROGRAMS_3_PLATFORM_STAND_IN_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "review/programs-3/loopback_server.h"

namespace review {

// What the API for duties has accepted or refused.
struct duty_call {
  std::string path;
  std::string holder;
  std::uint64_t fencing = 0;
  std::string body;
  bool accepted = false;
};

// The store is linearizable, and loses writes only with ComeBack(). Each entry
// instance has an address of its own for it, so that the record tells which
// instance has been told what. Thread-safe.
class platform_stand_in {
 public:
  // Called with the name of an instance and of each entry of kind "servers"
  // that an answer tells it is gone.
  using removal_listener =
      std::function<void(const std::string& instance, const std::string& id)>;

  explicit platform_stand_in(removal_listener on_removal = {});

  // Returns the store's address for an instance.
  std::string StoreAddressFor(const std::string& instance);
  std::string cloud_address() const { return cloud_.address(); }

  // Writes of the operator and the engines.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  // A heartbeat: replaces the object if it is there and the store is not away.
  // Its revision stays, since only `sequence` differs.
  void Refresh(const std::string& kind,
               const std::string& name,
               const std::string& spec);

  // The drill: the store goes away, and comes back from the copy that
  // TakeCopy() made, in the next era.
  void TakeCopy();
  void GoAway();
  void ComeBack();

  // The calls to the API for duties so far.
  std::vector<duty_call> duties() const;

 private:
  struct object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    boost::json::value spec;
    boost::json::value status;
  };
  using object_map = std::map<std::string, object>;
  struct change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool deleted = false;
    boost::json::value text;
  };
  // Kind, name and part of a path.
  struct location {
    std::string kind;
    std::string name;
    std::string part;
  };

  std::optional<http_response> HandleStore(const std::string& instance,
                                           http_request& request);
  std::optional<http_response> HandleCloud(http_request& request);
  http_response Respond(const http_request& request,
                        unsigned status,
                        const boost::json::value& body) const;
  http_response Read(const std::string& instance,
                     const http_request& request,
                     const location& at,
                     const std::string& query);
  http_response Write(const http_request& request,
                      const location& at,
                      const std::string& query);
  std::optional<http_response> Watch(const std::string& instance,
                                     const http_request& request,
                                     const std::string& kind,
                                     const std::string& query);
  static boost::json::value Encode(const std::string& name,
                                   const object& stored);
  void Change(const std::string& kind,
              const std::string& name,
              const object& stored,
              bool deleted);

  removal_listener on_removal_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::unique_ptr<loopback_server>> stores_;
  std::map<std::string, object_map> kinds_;
  std::uint64_t revision_ = 10;
  std::uint64_t oldest_ = 10;
  std::uint64_t era_ = 1;
  bool away_ = false;
  std::deque<change> changes_;
  std::map<std::string, object_map> copied_kinds_;
  std::uint64_t copied_revision_ = 10;
  // Entries of kind "servers" that have been removed at some time.
  std::vector<std::string> removed_;
  std::map<std::string, std::uint64_t> highest_fencing_;
  std::vector<duty_call> duties_;
  loopback_server cloud_;
};

}  // namespace review

#endif  // REVIEW_PROGRAMS_3_PLATFORM_STAND_IN_H_

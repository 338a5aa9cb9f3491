#include "review/programs-3/platform_stand_in.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

namespace json = boost::json;
using boost::beast::http::verb;

constexpr const char* kObjects = "/anvilloom/objects/";
constexpr std::size_t kPageEntries = 500;

std::string Decode(const std::string& text) {
  constexpr int kHex = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, kHex));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string QueryValue(const std::string& query, const std::string& name) {
  std::size_t at = 0;
  while (at < query.size()) {
    const std::size_t end = std::min(query.find('&', at), query.size());
    const std::string pair = query.substr(at, end - at);
    if (pair.rfind(name + "=", 0) == 0) {
      return Decode(pair.substr(name.size() + 1));
    }
    at = end + 1;
  }
  return {};
}

std::uint64_t NumberOf(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

// Splits the rest of a path behind kObjects.
std::vector<std::string> Segments(const std::string& path) {
  std::vector<std::string> segments;
  std::size_t at = 0;
  while (at <= path.size()) {
    const std::size_t end = std::min(path.find('/', at), path.size());
    segments.push_back(Decode(path.substr(at, end - at)));
    at = end + 1;
  }
  segments.resize(3);
  return segments;
}

// Returns the revision that a body demands, 0 if none.
std::uint64_t DemandedRevision(const json::value& body) {
  const json::value* metadata = body.as_object().if_contains("metadata");
  const json::value* revision =
      metadata == nullptr ? nullptr
                          : metadata->as_object().if_contains("revision");
  return revision == nullptr ? 0 : revision->to_number<std::uint64_t>();
}

json::value MemberOf(const json::value& body, const char* name) {
  const json::value* member = body.as_object().if_contains(name);
  return member == nullptr ? json::value() : *member;
}

}  // namespace

platform_stand_in::platform_stand_in(removal_listener on_removal)
    : on_removal_(std::move(on_removal)),
      cloud_([this](http_request& request) { return HandleCloud(request); }) {}

std::string platform_stand_in::StoreAddressFor(const std::string& instance) {
  const std::scoped_lock lock(mutex_);
  auto& server = stores_[instance];
  if (!server) {
    server =
        std::make_unique<loopback_server>([this, instance](http_request& each) {
          return HandleStore(instance, each);
        });
  }
  return server->address();
}

void platform_stand_in::Put(const std::string& kind,
                            const std::string& name,
                            const std::string& spec) {
  const std::scoped_lock lock(mutex_);
  object& stored = kinds_[kind][name];
  stored.revision = ++revision_;
  if (stored.created == 0) {
    stored.created = revision_;
  }
  stored.spec = json::parse(spec);
  Change(kind, name, stored, false);
}

void platform_stand_in::Remove(const std::string& kind,
                               const std::string& name) {
  const std::scoped_lock lock(mutex_);
  const auto found = kinds_[kind].find(name);
  if (found == kinds_[kind].end()) {
    return;
  }
  object removed = found->second;
  kinds_[kind].erase(found);
  removed.revision = ++revision_;
  removed_.push_back(name);
  Change(kind, name, removed, true);
}

void platform_stand_in::Refresh(const std::string& kind,
                                const std::string& name,
                                const std::string& spec) {
  const std::scoped_lock lock(mutex_);
  const auto found = kinds_[kind].find(name);
  if (!away_ && found != kinds_[kind].end()) {
    found->second.spec = json::parse(spec);
  }
}

void platform_stand_in::TakeCopy() {
  const std::scoped_lock lock(mutex_);
  copied_kinds_ = kinds_;
  copied_revision_ = revision_;
}

void platform_stand_in::GoAway() {
  const std::scoped_lock lock(mutex_);
  away_ = true;
  changed_.notify_all();
  for (const auto& [instance, server] : stores_) {
    server->SetAway(true);
  }
}

void platform_stand_in::ComeBack() {
  const std::scoped_lock lock(mutex_);
  kinds_ = copied_kinds_;
  revision_ = copied_revision_;
  oldest_ = copied_revision_;
  changes_.clear();
  ++era_;
  away_ = false;
  for (const auto& [instance, server] : stores_) {
    server->SetAway(false);
  }
}

std::vector<duty_call> platform_stand_in::duties() const {
  const std::scoped_lock lock(mutex_);
  return duties_;
}

std::optional<http_response> platform_stand_in::HandleStore(
    const std::string& instance,
    http_request& request) {
  const std::string target(request.target());
  const std::size_t mark = std::min(target.find('?'), target.size());
  const std::string path = target.substr(0, mark);
  const std::string query =
      mark < target.size() ? target.substr(mark + 1) : std::string();
  if (path.rfind(kObjects, 0) != 0) {
    return MakeAnswer(request, 404, "{}");
  }
  const auto segments =
      Segments(path.substr(std::char_traits<char>::length(kObjects)));
  const location at{segments[0], segments[1], segments[2]};
  if (!QueryValue(query, "watch").empty()) {
    return Watch(instance, request, at.kind, query);
  }
  const std::scoped_lock lock(mutex_);
  if (away_) {
    return std::nullopt;
  }
  return request.method() == verb::get ? Read(instance, request, at, query)
                                       : Write(request, at, query);
}

http_response platform_stand_in::Respond(const http_request& request,
                                         unsigned status,
                                         const json::value& body) const {
  http_response answer = MakeAnswer(request, status, json::serialize(body));
  answer.set("Content-Type", "application/json");
  answer.set("Store-Era", std::to_string(era_));
  return answer;
}

http_response platform_stand_in::Read(const std::string& instance,
                                      const http_request& request,
                                      const location& at,
                                      const std::string& query) {
  const object_map& objects = kinds_[at.kind];
  if (!at.name.empty()) {
    const auto found = objects.find(at.name);
    return found == objects.end()
               ? Respond(request, 404, json::object())
               : Respond(request, 200, Encode(found->first, found->second));
  }
  const std::string after = QueryValue(query, "after");
  json::array entries;
  bool truncated = false;
  for (const auto& [name, stored] : objects) {
    if (name <= after) {
      continue;
    }
    truncated = entries.size() == kPageEntries;
    if (truncated) {
      break;
    }
    entries.push_back(Encode(name, stored));
  }
  if (at.kind == "servers" && on_removal_) {
    for (const std::string& id : removed_) {
      if (objects.count(id) == 0) {
        on_removal_(instance, id);
      }
    }
  }
  return Respond(request, 200,
                 json::object{{"entries", std::move(entries)},
                              {"truncated", truncated},
                              {"at", revision_}});
}

http_response platform_stand_in::Write(const http_request& request,
                                       const location& at,
                                       const std::string& query) {
  object_map& objects = kinds_[at.kind];
  if (request.method() == verb::delete_) {
    const auto found = objects.find(at.name);
    if (found == objects.end()) {
      return Respond(request, 404, json::object());
    }
    const std::uint64_t demanded = NumberOf(QueryValue(query, "revision"));
    if (demanded != 0 && demanded != found->second.revision) {
      return Respond(request, 409, Encode(found->first, found->second));
    }
    object removed = found->second;
    objects.erase(found);
    removed.revision = ++revision_;
    Change(at.kind, at.name, removed, true);
    return Respond(request, 200, Encode(at.name, removed));
  }
  const json::value body = json::parse(request.body());
  const bool creates = request.method() == verb::post;
  const std::string name =
      creates ? std::string(body.at("metadata").at("name").as_string().c_str())
              : at.name;
  const auto found = objects.find(name);
  if (creates != (found == objects.end())) {
    return creates ? Respond(request, 409, Encode(name, found->second))
                   : Respond(request, 404, json::object());
  }
  const std::uint64_t demanded = DemandedRevision(body);
  if (!creates && demanded != 0 && demanded != found->second.revision) {
    return Respond(request, 409, Encode(name, found->second));
  }
  object next = creates ? object() : found->second;
  (at.part == "status" ? next.status : next.spec) =
      MemberOf(body, at.part == "status" ? "status" : "spec");
  if (creates || next.spec != found->second.spec ||
      next.status != found->second.status) {
    next.revision = ++revision_;
    next.created = creates ? revision_ : next.created;
    objects[name] = next;
    Change(at.kind, name, next, false);
  }
  return Respond(request, 200, Encode(name, objects[name]));
}

std::optional<http_response> platform_stand_in::Watch(
    const std::string& instance,
    const http_request& request,
    const std::string& kind,
    const std::string& query) {
  const std::uint64_t from = NumberOf(QueryValue(query, "watch"));
  const auto until =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(NumberOf(QueryValue(query, "waitMs")));
  std::unique_lock lock(mutex_);
  const std::uint64_t era = era_;
  for (;;) {
    // A watch that waits is cut off when the store goes away.
    if (away_ || era != era_) {
      return std::nullopt;
    }
    if (from < oldest_ || from > revision_) {
      return Respond(request, 410, json::object());
    }
    json::array events;
    for (const change& each : changes_) {
      if (each.revision > from && each.kind == kind) {
        events.push_back(
            json::object{{"object", each.text}, {"deleted", each.deleted}});
        if (each.deleted && kind == "servers" && on_removal_) {
          on_removal_(instance, each.name);
        }
      }
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= until) {
      return Respond(
          request, 200,
          json::object{{"events", std::move(events)}, {"at", revision_}});
    }
    changed_.wait_until(lock, until);
  }
}

json::value platform_stand_in::Encode(const std::string& name,
                                      const object& stored) {
  return json::object{{"metadata",
                       {{"name", name},
                        {"revision", stored.revision},
                        {"created", stored.created},
                        {"finalizers", json::array()},
                        {"deletionPending", false}}},
                      {"spec", stored.spec},
                      {"status", stored.status}};
}

void platform_stand_in::Change(const std::string& kind,
                               const std::string& name,
                               const object& stored,
                               bool deleted) {
  changes_.push_back({revision_, kind, name, deleted, Encode(name, stored)});
  changed_.notify_all();
}

std::optional<http_response> platform_stand_in::HandleCloud(
    http_request& request) {
  const std::scoped_lock lock(mutex_);
  duty_call call;
  call.path = std::string(request.target());
  call.holder = HeaderOf(request, "X-Lease-Holder");
  call.fencing = NumberOf(HeaderOf(request, "X-Fencing-Token"));
  call.body = request.body();
  std::string subject = call.path;
  if (call.path == "/scaling") {
    const json::value body = json::parse(call.body);
    subject +=
        json::serialize(body.at("service")) + json::serialize(body.at("zone"));
  }
  std::uint64_t& highest = highest_fencing_[subject];
  call.accepted = call.fencing >= highest;
  highest = std::max(highest, call.fencing);
  duties_.push_back(call);
  return MakeAnswer(request, call.accepted ? 200 : 409, "{}");
}

}  // namespace review

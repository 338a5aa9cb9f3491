// The platform of the users' pages: the store of objects, which never fails
// here, and the cloud's calls, which it fences. Entries of engines change when
// more than `sequence` changes, and go after three heartbeats of silence.
//
// --listen ADDRESS

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "review/support-2/net.h"

namespace review {

namespace {

namespace json = boost::json;

constexpr const char* kJsonType = "Content-Type: application/json\r\n";

struct stored {
  std::uint64_t revision = 0;
  std::uint64_t created = 0;
  json::value spec;
  std::int64_t written_ms = 0;
};

// Whether two entries differ in more than their `sequence`.
bool IsSame(json::value left, json::value right) {
  for (json::value* each : {&left, &right}) {
    if (each->is_object()) {
      each->get_object().erase("sequence");
    }
  }
  return left == right;
}

struct change {
  std::uint64_t revision = 0;
  std::string kind;
  json::object event;
};

using reply = std::pair<std::string, json::value>;

class store {
 public:
  reply Handle(const request& asked) {
    std::string path = asked.Path().substr(kPrefix.size());
    const std::size_t slash = path.find('/');
    const std::string name =
        slash == std::string::npos ? "" : path.substr(slash + 1);
    const std::string kind = path.substr(0, slash);
    std::unique_lock lock(mutex_);
    if (asked.method == "GET" && !asked.Query("watch").empty()) {
      return Watch(lock, kind, asked);
    }
    if (asked.method == "GET" && name.empty()) {
      return List(kind, asked.Query("after"));
    }
    auto& objects = kinds_[kind];
    const auto found = objects.find(name);
    if (asked.method == "GET") {
      return found == objects.end()
                 ? reply("404 Not Found", json::object())
                 : reply("200 OK", Encode(name, found->second));
    }
    if (asked.method == "DELETE") {
      return Delete(kind, name, ToNumber(asked.Query("revision")));
    }
    boost::system::error_code error;
    const json::value body = json::parse(asked.body, error);
    if (error || !body.is_object()) {
      return {"400 Bad Request", json::object()};
    }
    const json::object& members = body.get_object();
    const json::value* metadata = members.if_contains("metadata");
    const json::object fields = metadata != nullptr && metadata->is_object()
                                    ? metadata->get_object()
                                    : json::object();
    if (asked.method == "POST") {
      const json::value* named = fields.if_contains("name");
      return Write(kind, named == nullptr ? "" : named->as_string().c_str(), 0,
                   members, true);
    }
    const json::value* revision = fields.if_contains("revision");
    return Write(kind, name,
                 revision == nullptr ? 0 : revision->to_number<std::uint64_t>(),
                 members, false);
  }

  // Removes the entries of engines that have been silent for too long.
  void Expire() {
    constexpr std::int64_t kSilenceMs = std::int64_t{3} * 1200;
    const std::scoped_lock lock(mutex_);
    std::vector<std::string> silent;
    for (const auto& [name, each] : kinds_["servers"]) {
      if (SteadyMs() - each.written_ms > kSilenceMs) {
        silent.push_back(name);
      }
    }
    for (const std::string& name : silent) {
      Delete("servers", name, 0);
    }
  }

  static constexpr std::string_view kPrefix = "/anvilloom/objects/";

 private:
  static std::uint64_t ToNumber(const std::string& text) {
    return std::strtoull(text.c_str(), nullptr, 10);
  }

  static json::object Encode(const std::string& name, const stored& each) {
    return {{"metadata",
             {{"name", name},
              {"revision", each.revision},
              {"created", each.created},
              {"finalizers", json::array()},
              {"deletionPending", false}}},
            {"spec", each.spec},
            {"status", json::object()}};
  }

  reply List(const std::string& kind, const std::string& after) {
    constexpr std::size_t kPage = 500;
    json::array entries;
    bool truncated = false;
    for (const auto& [name, each] : kinds_[kind]) {
      if (name <= after) {
        continue;
      }
      truncated = entries.size() == kPage;
      if (truncated) {
        break;
      }
      entries.push_back(Encode(name, each));
    }
    return {"200 OK", json::object{{"entries", std::move(entries)},
                                   {"truncated", truncated},
                                   {"at", revision_}}};
  }

  reply Watch(std::unique_lock<std::mutex>& lock,
              const std::string& kind,
              const request& asked) {
    const std::uint64_t from = ToNumber(asked.Query("watch"));
    const auto until =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(ToNumber(asked.Query("waitMs")));
    json::array events;
    const auto collect = [&] {
      events.clear();
      for (const change& each : changes_) {
        if (each.revision > from && each.kind == kind) {
          events.push_back(each.event);
        }
      }
      return !events.empty();
    };
    changed_.wait_until(lock, until, collect);
    return {"200 OK",
            json::object{{"events", std::move(events)}, {"at", revision_}}};
  }

  reply Write(const std::string& kind,
              const std::string& name,
              std::uint64_t condition,
              const json::object& members,
              bool create) {
    auto& objects = kinds_[kind];
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    if (!create && !exists) {
      return {"404 Not Found", json::object()};
    }
    const bool conflicts =
        create ? exists : condition != 0 && condition != found->second.revision;
    if (conflicts) {
      return {"409 Conflict", Encode(name, found->second)};
    }
    stored& written = objects[name];
    const json::value* spec = members.if_contains("spec");
    const json::value value = spec == nullptr ? json::value() : *spec;
    written.written_ms = SteadyMs();
    const bool same =
        kind == "servers" ? IsSame(written.spec, value) : written.spec == value;
    if (!create && same) {
      written.spec = value;
      return {"200 OK", Encode(name, written)};
    }
    written.spec = value;
    written.revision = ++revision_;
    written.created = create ? revision_ : written.created;
    Record(kind, Encode(name, written), false);
    return {"200 OK", Encode(name, written)};
  }

  reply Delete(const std::string& kind,
               const std::string& name,
               std::uint64_t condition) {
    auto& objects = kinds_[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
      return {"404 Not Found", json::object()};
    }
    if (condition != 0 && condition != found->second.revision) {
      return {"409 Conflict", Encode(name, found->second)};
    }
    stored removed = std::move(found->second);
    objects.erase(found);
    removed.revision = ++revision_;
    Record(kind, Encode(name, removed), true);
    return {"200 OK", Encode(name, removed)};
  }

  void Record(const std::string& kind, json::object object, bool deleted) {
    changes_.push_back({revision_,
                        kind,
                        {{"object", std::move(object)}, {"deleted", deleted}}});
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, stored>> kinds_;
  std::vector<change> changes_;
};

// Accepts a call unless a higher fence number was seen for its subject.
class cloud {
 public:
  reply Handle(const request& asked) {
    const std::scoped_lock lock(mutex_);
    std::string subject = asked.Path();
    if (subject == "/scaling") {
      const json::object body = json::parse(asked.body).as_object();
      subject += json::serialize(body.at("service")) +
                 json::serialize(body.at("zone"));
    }
    const std::uint64_t fence =
        std::strtoull(asked.Header("x-fencing-token").c_str(), nullptr, 10);
    std::uint64_t& highest = highest_[subject];
    const bool refused = fence < highest;
    highest = std::max(highest, fence);
    PrintLine("cloud " + subject + " " + asked.Header("x-lease-holder") + " " +
              std::to_string(fence) + (refused ? " refused " : " accepted ") +
              asked.body);
    return refused ? reply("409 Conflict", json::object())
                   : reply("200 OK", json::object());
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::uint64_t> highest_;
};

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  const review::options given(argc, argv);
  static review::store objects;
  static review::cloud duties;
  review::Serve(given.Text("listen", "127.0.0.1:9000"),
                [](review::connection& caller, const std::string&) {
                  while (const auto asked = review::ReadRequest(caller)) {
                    const bool is_object =
                        asked->target.starts_with(review::store::kPrefix);
                    const review::reply answer = is_object
                                                     ? objects.Handle(*asked)
                                                     : duties.Handle(*asked);
                    if (!caller.Write(review::FormatAnswer(
                            answer.first, review::kJsonType,
                            boost::json::serialize(answer.second)))) {
                      return;
                    }
                  }
                });
}

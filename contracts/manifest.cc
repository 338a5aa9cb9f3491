#include "contracts/manifest.h"

#include <algorithm>
#include <utility>

namespace anvilloom {

namespace {

std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::ranges::transform(name, name.begin(), [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                          : letter;
  });
  return name;
}

}  // namespace

manifest_index::manifest_index(manifest source) : source_(std::move(source)) {
  for (const manifest_route& each : source_.routes) {
    by_host_[each.host].push_back(&each);
  }
  for (auto& [host, routes] : by_host_) {
    std::ranges::stable_sort(routes, [](const auto* left, const auto* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
  for (const manifest_workspace& each : source_.workspaces) {
    for (const std::string& key : each.keys) {
      by_key_.emplace(key, &each);
    }
  }
}

const manifest_route* manifest_index::FindRoute(std::string_view host,
                                                std::string_view path) const {
  const auto found = by_host_.find(HostName(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  const auto match = std::ranges::find_if(
      found->second,
      [path](const auto* each) { return path.starts_with(each->path_prefix); });
  return match == found->second.end() ? nullptr : *match;
}

const manifest_workspace* manifest_index::FindWorkspace(
    std::string_view key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

const manifest_service* manifest_index::FindService(
    std::string_view name) const {
  const auto found =
      std::ranges::find(source_.services, name, &manifest_service::name);
  return found == source_.services.end() ? nullptr : &*found;
}

const route_target* ChooseTarget(std::span<const route_target> targets,
                                 double draw) {
  std::uint64_t total = 0;
  for (const route_target& each : targets) {
    total += each.weight;
  }
  double left = draw * static_cast<double>(total);
  for (const route_target& each : targets) {
    left -= each.weight;
    if (left < 0 && each.weight > 0) {
      return &each;
    }
  }
  return nullptr;
}

}  // namespace anvilloom

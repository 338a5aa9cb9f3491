#include "links/topology.h"

#include <cstddef>
#include <utility>

#include "common/hash.h"

namespace anvilloom {

namespace {

template <typename Index>
std::size_t Position(Index index) {
  return static_cast<std::size_t>(index);
}

template <typename Map>
auto Find(const Map& map, std::string_view key)
    -> std::optional<typename Map::mapped_type> {
  const auto found = map.find(key);
  if (found == map.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::shared_ptr<link> ReuseOrCreateLink(const topology* previous,
                                        std::string_view name) {
  if (previous != nullptr) {
    if (const auto index = previous->FindUpstream(name)) {
      return previous->shared_link_at(*index);
    }
  }
  return std::make_shared<link>(name);
}

std::shared_ptr<workspace_account> ReuseOrCreateAccount(
    const topology* previous,
    std::string_view name) {
  if (previous != nullptr) {
    if (const auto index = previous->FindWorkspaceByName(name)) {
      return previous->accounts()[Position(*index)];
    }
  }
  return std::make_shared<workspace_account>();
}

upstream MakeUpstream(const upstream_declaration& declared) {
  upstream made;
  made.name = declared.name;
  made.address = declared.address;
  made.host = instance_builder(declared.name)
                  .Domain(declared.domain)
                  .MachineClass(declared.machine_class)
                  .PricePerHour(declared.price_per_hour)
                  .Reclaimable(declared.reclaimable)
                  .Build();
  made.slots = declared.slots;
  made.slots_declared = declared.slots_declared;
  made.checks_fencing = declared.checks_fencing;
  return made;
}

route_candidate MakeCandidate(const upstream& of,
                              upstream_index index,
                              link& path) {
  route_candidate made;
  made.index = index;
  made.slots = of.slots;
  made.name_hash = Hash64(of.name);
  made.domain_hash = static_cast<std::uint32_t>(Hash64(of.host.domain()));
  made.price_per_hour = static_cast<float>(of.host.price_per_hour());
  made.path = &path;
  made.reclaimable = of.host.reclaimable();
  return made;
}

}  // namespace

std::optional<service_index> topology::FindService(
    std::string_view name) const {
  return Find(service_by_name_, name);
}

std::optional<workspace_index> topology::FindWorkspace(
    std::string_view credential_digest) const {
  return Find(workspace_by_credential_, credential_digest);
}

std::optional<workspace_index> topology::FindWorkspaceByName(
    std::string_view name) const {
  return Find(workspace_by_name_, name);
}

std::optional<upstream_index> topology::FindUpstream(
    std::string_view name) const {
  return Find(upstream_by_name_, name);
}

std::span<const upstream_index> topology::UpstreamsOf(
    service_index service) const {
  return upstreams_of_service_[Position(service)];
}

std::span<const route_candidate> topology::CandidatesOf(
    service_index service) const {
  return candidates_of_service_[Position(service)];
}

const prefix_homes& topology::HomesOf(service_index service) const {
  return homes_of_service_[Position(service)];
}

const service& topology::at(service_index index) const {
  return services_[Position(index)];
}

const workspace& topology::at(workspace_index index) const {
  return workspaces_[Position(index)];
}

const upstream& topology::at(upstream_index index) const {
  return upstreams_[Position(index)];
}

link& topology::link_at(upstream_index index) const {
  return *links_[Position(index)];
}

const std::shared_ptr<link>& topology::shared_link_at(
    upstream_index index) const {
  return links_[Position(index)];
}

topology_builder& topology_builder::Configuration(
    const configuration& declared) {
  declared_ = &declared;
  return *this;
}

topology_builder& topology_builder::ReuseLinksAndAccounts(
    const topology& previous) {
  previous_ = &previous;
  return *this;
}

std::unique_ptr<const topology> topology_builder::Build() {
  built_ = std::make_unique<topology>();
  if (declared_ != nullptr) {
    built_->revision_ = declared_->revision;
    built_->limits_ = declared_->limits;
    built_->domains_ = declared_->domains;
    built_->services_ = declared_->services;
    built_->workspaces_ = declared_->workspaces;
    built_->upstreams_of_service_.resize(declared_->services.size());
    built_->candidates_of_service_.resize(declared_->services.size());
    IndexNames();
    AddUpstreams();
    for (const auto& candidates : built_->candidates_of_service_) {
      built_->homes_of_service_.emplace_back(candidates);
    }
  }
  return std::move(built_);
}

void topology_builder::IndexNames() {
  for (std::size_t i = 0; i < built_->services_.size(); ++i) {
    built_->service_by_name_.emplace(built_->services_[i].name,
                                     service_index(i));
  }
  for (std::size_t i = 0; i < built_->workspaces_.size(); ++i) {
    built_->workspace_by_credential_.emplace(
        built_->workspaces_[i].credential_digest, workspace_index(i));
    built_->workspace_by_name_.emplace(built_->workspaces_[i].name,
                                       workspace_index(i));
    built_->accounts_.push_back(
        ReuseOrCreateAccount(previous_, built_->workspaces_[i].name));
  }
}

void topology_builder::AddUpstreams() {
  // Reserved in advance: upstream_by_name_ keeps views of the names, and the
  // characters of short strings move when the vector reallocates.
  built_->upstreams_.reserve(declared_->upstreams.size());
  for (const upstream_declaration& declared : declared_->upstreams) {
    const upstream_index index{
        static_cast<std::uint32_t>(built_->upstreams_.size())};
    upstream& added = built_->upstreams_.emplace_back(MakeUpstream(declared));
    for (const std::string& name : declared.services) {
      if (const auto found = built_->FindService(name)) {
        added.services.push_back(*found);
        built_->upstreams_of_service_[Position(*found)].push_back(index);
      }
    }
    link& path = *built_->links_.emplace_back(
        ReuseOrCreateLink(previous_, declared.name));
    for (const service_index answered : added.services) {
      built_->candidates_of_service_[Position(answered)].push_back(
          MakeCandidate(added, index, path));
    }
    built_->upstream_by_name_.emplace(added.name, index);
  }
}

}  // namespace anvilloom

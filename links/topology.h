// Defines topology, an immutable snapshot of services, workspaces, upstreams
// and links that the request path reads through an rcu_cell.
#ifndef LINKS_TOPOLOGY_H_
#define LINKS_TOPOLOGY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "contracts/configuration.h"
#include "contracts/workspace_account.h"
#include "links/link.h"
#include "links/prefix_homes.h"
#include "links/route_candidate.h"
#include "links/upstream.h"

namespace anvilloom {

// Created by topology_builder. Immutable, thus thread-safe.
class topology {
 public:
  std::uint64_t revision() const { return revision_; }
  std::span<const failure_domain> domains() const { return domains_; }
  std::span<const service> services() const { return services_; }
  std::span<const workspace> workspaces() const { return workspaces_; }
  // Current usage of each workspace, in the order of workspaces().
  std::span<const std::shared_ptr<workspace_account>> accounts() const {
    return accounts_;
  }
  std::span<const upstream> upstreams() const { return upstreams_; }
  std::span<const std::shared_ptr<link>> links() const { return links_; }
  const system_limits& limits() const { return limits_; }

  std::optional<service_index> FindService(std::string_view name) const;
  // Finds a workspace by the SHA-256 of its credential, in hexadecimal.
  std::optional<workspace_index> FindWorkspace(
      std::string_view credential_digest) const;
  std::optional<workspace_index> FindWorkspaceByName(
      std::string_view name) const;
  std::optional<upstream_index> FindUpstream(std::string_view name) const;

  // The upstreams that answer a service.
  std::span<const upstream_index> UpstreamsOf(service_index service) const;

  // The upstreams of UpstreamsOf() in the same order, as data for routing.
  std::span<const route_candidate> CandidatesOf(service_index service) const;

  // The homes of a service's prompt prefixes, as positions in CandidatesOf().
  const prefix_homes& HomesOf(service_index service) const;

  const service& at(service_index index) const;
  const workspace& at(workspace_index index) const;
  const upstream& at(upstream_index index) const;
  link& link_at(upstream_index index) const;
  const std::shared_ptr<link>& shared_link_at(upstream_index index) const;

 private:
  friend class topology_builder;

  std::uint64_t revision_ = 0;
  system_limits limits_;
  std::vector<failure_domain> domains_;
  std::vector<service> services_;
  std::vector<workspace> workspaces_;
  std::vector<std::shared_ptr<workspace_account>> accounts_;
  std::vector<upstream> upstreams_;
  std::vector<std::shared_ptr<link>> links_;
  std::vector<std::vector<upstream_index>> upstreams_of_service_;
  std::vector<std::vector<route_candidate>> candidates_of_service_;
  std::vector<prefix_homes> homes_of_service_;
  // Keys are views of the strings in the vectors above.
  std::unordered_map<std::string_view, service_index> service_by_name_;
  std::unordered_map<std::string_view, workspace_index>
      workspace_by_credential_;
  std::unordered_map<std::string_view, workspace_index> workspace_by_name_;
  std::unordered_map<std::string_view, upstream_index> upstream_by_name_;
};

// Builds a topology from a checked configuration. References to undeclared
// services are ignored, because contracts/configuration_check rejects them.
class topology_builder {
 public:
  topology_builder& Configuration(const configuration& declared);
  // Reuses the links of upstreams and the accounts of workspaces that are still
  // declared, so that their counters and conditions survive.
  topology_builder& ReuseLinksAndAccounts(const topology& previous);

  std::unique_ptr<const topology> Build();

 private:
  void AddUpstreams();
  void IndexNames();

  const configuration* declared_ = nullptr;
  const topology* previous_ = nullptr;
  std::unique_ptr<topology> built_;
};

}  // namespace anvilloom

#endif  // LINKS_TOPOLOGY_H_

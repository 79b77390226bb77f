// Matches requests to routes and API keys to workspaces. No I/O.

#ifndef PLANTAIN_ROUTE_MATCH_H_
#define PLANTAIN_ROUTE_MATCH_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fleet_type.h"
#include "random.h"

namespace plantain {

enum class MatchFailure { kNone, kNoRoute, kUnknownKey };

// The route and workspace of one request. The pointers are valid as long as the matcher's document.
struct RouteMatch {
  MatchFailure failure = MatchFailure::kNone;
  const RouteRule* rule = nullptr;
  // Null on public routes and if the document defines no workspaces.
  const WorkspaceKeys* workspace = nullptr;
  // 0 is the highest priority.
  uint32_t priority = 0;
};

// Looks up the routes and workspaces of one document.
class RouteMatcher {
 public:
  explicit RouteMatcher(std::shared_ptr<const RoutingDocument> document);

  // Returns the route of the host with the longest matching path prefix. The path must not include the query, and the
  // host must not include the port.
  RouteMatch Match(std::string_view host, std::string_view path, std::string_view key) const;

  const RoutingDocument& GetDocument() const { return *m_document; }

  // Returns the pool, or null if the document does not define it.
  const PoolSpec* FindPool(const PoolName& name) const;

  // Returns the priorities that requests to a pool can have.
  const std::set<uint32_t>& GetPriorities(const PoolName& pool) const;

  // Whether the requests to a pool differ in priority, so that its slots are shared by priority.
  bool HasPriorities(const PoolName& pool) const { return GetPriorities(pool).size() > 1; }

 private:
  void CollectPriorities(const RouteRule& rule);

  const std::shared_ptr<const RoutingDocument> m_document;
  // Routes by host in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<const RouteRule*>> m_routes_by_host;
  std::unordered_map<std::string, const WorkspaceKeys*> m_workspaces_by_key;
  std::map<PoolName, const PoolSpec*> m_pools;
  std::map<PoolName, std::set<uint32_t>> m_priorities;
};

// Selects a target pool of the route by weighted random choice.
const PoolName& SelectPool(const RouteRule& rule, Random& random);

// Returns whether both the route and the workspace allow requests to run in a region. An empty list allows all regions.
bool IsRegionAllowed(const RouteRule& rule, const WorkspaceKeys* workspace, const RegionName& region);

}  // namespace plantain

#endif  // PLANTAIN_ROUTE_MATCH_H_

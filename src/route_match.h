// Which route a request takes and whether its key allows it. No I/O.

#ifndef PLANTAIN_ROUTE_MATCH_H_
#define PLANTAIN_ROUTE_MATCH_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fleet_type.h"
#include "random.h"

namespace plantain {

enum class MatchFailure { kNone, kNoRoute, kUnknownKey };

// The rules that hold for one request. The pointers live as long as the matcher's document.
struct RouteMatch {
  MatchFailure failure = MatchFailure::kNone;
  const RouteRule* rule = nullptr;
  // Null on public routes and where no keys are in use.
  const WorkspaceKeys* workspace = nullptr;
  // 0 is the most urgent.
  uint32_t priority = 0;
};

// Finds routes and workspaces of one document.
class RouteMatcher {
 public:
  explicit RouteMatcher(std::shared_ptr<const RoutingDocument> document);

  // Returns the rule of the longest path prefix among those of the host. The path is without its query, the host
  // without its port.
  RouteMatch Match(std::string_view host, std::string_view path, std::string_view key) const;

  const RoutingDocument& GetDocument() const { return *m_document; }

  // Returns the pool, or null.
  const PoolSpec* FindPool(const PoolName& name) const;

 private:
  const std::shared_ptr<const RoutingDocument> m_document;
  // Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const RouteRule*>> m_hosts;
  std::unordered_map<std::string, const WorkspaceKeys*> m_keys;
  std::map<PoolName, const PoolSpec*> m_pools;
};

// Returns the pool that a request of the route goes to, drawn by weight.
const PoolName& DrawPool(const RouteRule& rule, Random& random);

// Returns whether a request may run in a region, which route and workspace must both allow.
bool IsRegionAllowed(const RouteRule& rule, const WorkspaceKeys* workspace, const RegionName& region);

}  // namespace plantain

#endif  // PLANTAIN_ROUTE_MATCH_H_

#include "route_match.h"

#include <algorithm>
#include <cctype>

namespace plantain {
namespace {

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

bool IsEmptyOrContains(const std::vector<RegionName>& regions, const RegionName& region) {
  return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

RouteMatcher::RouteMatcher(std::shared_ptr<const RoutingDocument> document) : m_document(std::move(document)) {
  for (const RouteRule& rule : m_document->routes) m_routes_by_host[ToLower(rule.host)].push_back(&rule);
  for (auto& [host, rules] : m_routes_by_host) {
    std::stable_sort(rules.begin(), rules.end(), [](const RouteRule* a, const RouteRule* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
  for (const WorkspaceKeys& workspace : m_document->workspaces) {
    for (const std::string& key : workspace.keys) m_workspaces_by_key.emplace(key, &workspace);
  }
  for (const PoolSpec& pool : m_document->pools) m_pools.emplace(pool.name, &pool);
  for (const RouteRule& rule : m_document->routes) CollectPriorities(rule);
}

void RouteMatcher::CollectPriorities(const RouteRule& rule) {
  std::set<uint32_t> priorities;
  const bool needs_key = m_document->has_workspaces && !rule.is_public;
  if (!needs_key) priorities.insert(rule.priority);
  if (needs_key) {
    for (const WorkspaceKeys& workspace : m_document->workspaces) {
      priorities.insert(workspace.priority.value_or(rule.priority));
    }
  }
  for (const RouteTarget& target : rule.targets) m_priorities[target.pool].insert(priorities.begin(), priorities.end());
}

const std::set<uint32_t>& RouteMatcher::GetPriorities(const PoolName& pool) const {
  static const std::set<uint32_t> none;
  const auto found = m_priorities.find(pool);
  return found == m_priorities.end() ? none : found->second;
}

RouteMatch RouteMatcher::Match(std::string_view host, std::string_view path, std::string_view key) const {
  RouteMatch match;
  const auto rules = m_routes_by_host.find(ToLower(host));
  if (rules != m_routes_by_host.end()) {
    const auto found = std::find_if(rules->second.begin(), rules->second.end(),
                                    [&](const RouteRule* rule) { return path.starts_with(rule->path_prefix); });
    if (found != rules->second.end()) match.rule = *found;
  }
  if (match.rule == nullptr) {
    match.failure = MatchFailure::kNoRoute;
    return match;
  }
  match.priority = match.rule->priority;
  if (!m_document->has_workspaces || match.rule->is_public) return match;
  const auto workspace = m_workspaces_by_key.find(std::string(key));
  if (workspace == m_workspaces_by_key.end()) {
    match.failure = MatchFailure::kUnknownKey;
    return match;
  }
  match.workspace = workspace->second;
  match.priority = match.workspace->priority.value_or(match.priority);
  return match;
}

const PoolSpec* RouteMatcher::FindPool(const PoolName& name) const {
  const auto found = m_pools.find(name);
  return found == m_pools.end() ? nullptr : found->second;
}

const PoolName& SelectPool(const RouteRule& rule, Random& random) {
  double total = 0;
  for (const RouteTarget& target : rule.targets) total += target.weight;
  double remaining = random.GetUnit() * total;
  for (const RouteTarget& target : rule.targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.pool;
  }
  return rule.targets.back().pool;
}

bool IsRegionAllowed(const RouteRule& rule, const WorkspaceKeys* workspace, const RegionName& region) {
  return IsEmptyOrContains(rule.regions, region) &&
         (workspace == nullptr || IsEmptyOrContains(workspace->regions, region));
}

}  // namespace plantain

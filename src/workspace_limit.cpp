#include "workspace_limit.h"

#include <algorithm>
#include <cmath>

namespace plantain {
namespace {

// Burst size of a workspace, in seconds of its rate.
constexpr double kBurstSeconds = 1;
constexpr Duration kConcurrencyRetryAfter = Milliseconds(200);

}  // namespace

void WorkspaceLimits::SetLimits(const std::vector<WorkspaceSpec>& specs, size_t loop_count) {
  const double share = 1.0 / static_cast<double>(std::max<size_t>(loop_count, 1));
  for (auto& [name, state] : m_states) state.is_configured = false;
  for (const WorkspaceSpec& spec : specs) {
    const auto [found, is_new] = m_states.try_emplace(spec.name);
    WorkspaceState& state = found->second;
    state.is_configured = true;
    const double concurrency = std::ceil(static_cast<double>(spec.concurrency) * share);
    state.concurrency = spec.concurrency == 0 ? 0 : std::max(1U, static_cast<uint32_t>(concurrency));
    SetRate(state.requests, spec.requests_per_s * share, is_new);
    SetRate(state.tokens, spec.tokens_per_s * share, is_new);
  }
  for (auto item = m_states.begin(); item != m_states.end();) {
    const bool is_unused = !item->second.is_configured && item->second.in_flight == 0;
    item = is_unused ? m_states.erase(item) : std::next(item);
  }
}

void WorkspaceLimits::SetRate(TokenBucket& bucket, double rate, bool is_new) const {
  if (!is_new) Refill(bucket);
  bucket.rate = rate;
  bucket.burst = std::max(1.0, rate * kBurstSeconds);
  bucket.level = is_new ? bucket.burst : std::min(bucket.level, bucket.burst);
  bucket.refilled_at = m_clock.GetNow();
}

void WorkspaceLimits::Refill(TokenBucket& bucket) const {
  const TimePoint now = m_clock.GetNow();
  const double elapsed = std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.level = std::min(bucket.burst, bucket.level + elapsed * bucket.rate);
  bucket.refilled_at = now;
}

Duration WorkspaceLimits::GetWait(const TokenBucket& bucket, double wanted) {
  const double seconds = std::max(0.0, wanted - bucket.level) / bucket.rate;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, 30.0)));
}

AdmitResult WorkspaceLimits::Check(const EntryRequest& request) {
  const auto found = m_states.find(request.workspace);
  if (found == m_states.end() || !found->second.is_configured) return {EntryFailure::kUnknownWorkspace, {}};
  WorkspaceState& state = found->second;
  Refill(state.requests);
  Refill(state.tokens);
  if (state.concurrency > 0 && state.in_flight >= state.concurrency) {
    return {EntryFailure::kConcurrencyLimited, kConcurrencyRetryAfter};
  }
  if (state.requests.rate > 0 && state.requests.level < 1) {
    return {EntryFailure::kRateLimited, GetWait(state.requests, 1)};
  }
  // Tokens are deducted as they are generated, so a request is admitted while the level is above zero.
  if (request.IsCompletion() && state.tokens.rate > 0 && state.tokens.level <= 0) {
    return {EntryFailure::kTokensLimited, GetWait(state.tokens, 1)};
  }
  return {};
}

void WorkspaceLimits::OnStarted(const EntryRequest& request) {
  const auto found = m_states.find(request.workspace);
  if (found == m_states.end()) return;
  found->second.requests.level -= 1;
  ++found->second.in_flight;
}

void WorkspaceLimits::OnFinished(const EntryRequest& request) {
  const auto found = m_states.find(request.workspace);
  if (found != m_states.end() && found->second.in_flight > 0) --found->second.in_flight;
}

void WorkspaceLimits::OnTokens(const WorkspaceName& workspace, uint32_t count) {
  const auto found = m_states.find(workspace);
  if (found != m_states.end()) found->second.tokens.level -= count;
}

uint32_t WorkspaceLimits::GetInFlight(const WorkspaceName& workspace) const {
  const auto found = m_states.find(workspace);
  return found == m_states.end() ? 0 : found->second.in_flight;
}

}  // namespace plantain

#include "route_choose.h"

#include <algorithm>
#include <cmath>

namespace plantain {
namespace {

// Half-life of the count of recent requests, in seconds.
constexpr double kRecentHalfLifeSeconds = 10;
// Endpoints with fewer recent requests than this are exempt from the load cap. Without the exemption, the first
// requests of a group would exceed the cap at every endpoint.
constexpr double kCapExemptRequests = 1;
// Limit assumed for an endpoint that has not reported one. Equals the cold limit of agents.
constexpr uint32_t kDefaultLimit = 1;
// An endpoint is full when its load reaches its limit times the factor, or its limit plus the slack if that is larger;
// agents queue the excess. If all endpoints of a zone are full, the next zone is tried. The slack is an agent's queue
// of 32 requests divided among four entries.
constexpr double kFullFactor = 1.5;
constexpr double kFullSlack = 8;
// Initial value of the average attempt duration, and the weight of each new sample.
constexpr Duration kInitialAttemptTime = Milliseconds(100);
constexpr double kAttemptTimeWeight = 0.05;
// Number of endpoints sampled at random, of which the least loaded is selected. In a simulation of 16 entries at 80%
// load over seven seeds, the p99 queue wait at endpoints was 67 to 76 ms. It was 84 to 98 ms with two choices, 80 to
// 89 ms with twice the report decay time, and 240 to 300 ms without decay.
constexpr int kRandomChoices = 3;
// Time constant of the exponential decay of load reports, as a fraction of the average attempt duration.
constexpr double kReportDecayFraction = 0.25;
constexpr Duration kFullRetryAfter = Milliseconds(100);
constexpr Duration kNoEndpointRetryAfter = Milliseconds(1000);

}  // namespace

RouteChooser::RouteChooser(const Clock& clock, Random& random, RouteOptions options)
    : m_clock(clock),
      m_random(random),
      m_options(options),
      m_prefix_affinity(options.max_prefixes),
      m_mean_attempt_time(kInitialAttemptTime) {}

void RouteChooser::SetTable(std::shared_ptr<const RouteTable> table) {
  std::vector<VmState> states(table->GetVms().size());
  std::map<VmId, size_t> index;
  uint32_t spill_in_flight = 0;
  for (size_t i = 0; i < states.size(); ++i) {
    const RouteVm& vm = table->GetVms()[i];
    index[vm.vm] = i;
    const auto known = m_index.find(vm.vm);
    if (known != m_index.end()) states[i] = m_states[known->second];
    VmState& state = states[i];
    if (state.incarnation != vm.incarnation) {
      state.incarnation = vm.incarnation;
      state.is_leaving = false;
      state.report_at = TimePoint();
      state.refusals = 0;
      state.backoff_until = TimePoint();
    }
    UpdateFromHeartbeat(state, vm);
    if (vm.distance != ZoneDistance::kOwnZone) spill_in_flight += state.own_in_flight;
  }
  m_table = std::move(table);
  m_states = std::move(states);
  m_index = std::move(index);
  m_spill_in_flight = spill_in_flight;
}

// Updates the load from a heartbeat, unless the endpoint's last reply is newer.
void RouteChooser::UpdateFromHeartbeat(VmState& state, const RouteVm& vm) const {
  const TimePoint reported_at = m_clock.GetNow() - vm.silence;
  if (reported_at <= state.report_at) return;
  state.report_at = reported_at;
  state.limit = vm.limit;
  state.is_cold = vm.is_cold;
  state.queued = vm.in_flight > vm.limit ? vm.in_flight - vm.limit : 0;
  // The reported load includes this entry's own attempts.
  state.others_in_flight = vm.in_flight > state.own_in_flight ? vm.in_flight - state.own_in_flight : 0;
}

RouteChoice RouteChooser::Choose(const RouteQuery& query) {
  RouteChoice choice;
  choice.retry_after = kNoEndpointRetryAfter;
  if (m_table == nullptr || !m_table->IsKnown(query.key)) {
    choice.failure = RouteFailure::kUnknownKey;
    return choice;
  }
  const TimePoint now = m_clock.GetNow();
  const RouteCandidates& candidates = m_table->FindCandidates(query.key);
  size_t next = 0;
  while (next < candidates.size()) {
    const ZoneDistance distance = m_table->GetVms()[candidates[next].vm_index].distance;
    const Group group = CollectGroup(candidates, next, query, now, choice);
    if (group.indexes.empty()) continue;
    const bool is_spill = distance != ZoneDistance::kOwnZone;
    if (is_spill && m_spill_in_flight >= m_options.spill_limit) {
      choice.failure = RouteFailure::kAllFull;
      choice.retry_after = kFullRetryAfter;
      break;
    }
    const auto index = ChooseInGroup(group, query, now);
    if (!index.has_value()) {
      choice.failure = RouteFailure::kAllFull;
      choice.retry_after = kFullRetryAfter;
      continue;
    }
    RecordChoice(*index, query, now);
    choice.vm = m_table->GetVms()[*index].vm;
    choice.is_spill = is_spill;
    return choice;
  }
  return choice;
}

// Collects the eligible candidates of the zone that starts at `next` and advances `next` past that zone.
RouteChooser::Group RouteChooser::CollectGroup(const RouteCandidates& candidates, size_t& next, const RouteQuery& query,
                                               TimePoint now, RouteChoice& result) const {
  Group group;
  const ZoneName& zone = m_table->GetVms()[candidates[next].vm_index].zone;
  while (next < candidates.size() && m_table->GetVms()[candidates[next].vm_index].zone == zone) {
    if (IsEligible(candidates[next], query, now, result)) group.indexes.push_back(candidates[next].vm_index);
    ++next;
  }
  UpdateOthersRatio(group);
  return group;
}

void RouteChooser::UpdateOthersRatio(Group& group) const {
  double others_in_flight = 0;
  double limits = 0;
  for (const size_t index : group.indexes) {
    others_in_flight += m_states[index].others_in_flight;
    limits += GetLimit(m_states[index]);
  }
  group.others_per_slot = limits > 0 ? others_in_flight / limits : 0;
}

bool RouteChooser::IsEligible(const RouteCandidate& candidate, const RouteQuery& query, TimePoint now,
                              RouteChoice& result) const {
  const VmState& state = m_states[candidate.vm_index];
  if (state.is_leaving) return false;
  if (query.manifest.has_value() && candidate.manifest != *query.manifest) return false;
  const VmId& vm = m_table->GetVms()[candidate.vm_index].vm;
  if (std::find(query.excluded.begin(), query.excluded.end(), vm) != query.excluded.end()) return false;
  if (state.backoff_until > now) {
    const Duration wait = state.backoff_until - now;
    if (result.failure != RouteFailure::kAllBackedOff || wait < result.retry_after) result.retry_after = wait;
    result.failure = RouteFailure::kAllBackedOff;
    return false;
  }
  return true;
}

std::optional<size_t> RouteChooser::ChooseInGroup(const Group& group, const RouteQuery& query, TimePoint now) {
  Group available{{}, group.others_per_slot};
  for (const size_t index : group.indexes) {
    if (!IsFull(index)) available.indexes.push_back(index);
  }
  if (available.indexes.empty()) return std::nullopt;
  if (!query.prefix.empty()) {
    const Group capped = FilterByCap(available, now);
    if (const auto index = ChooseByPrefix(capped, query.prefix)) return index;
  }
  return ChooseByLoad(available);
}

// Returns the endpoints whose recent requests are below the load cap. Each entry enforces the cap on its own requests,
// so it also holds for the sum over all entries. Endpoints with a limit below the mean are checked for a free slot
// instead: their recent requests date from a time with a larger limit, and the cap left recovering endpoints idle for
// many seconds.
RouteChooser::Group RouteChooser::FilterByCap(const Group& group, TimePoint now) {
  double recent_requests = 0;
  double limits = 0;
  for (const size_t index : group.indexes) {
    recent_requests += GetRecentRequests(m_states[index], now);
    limits += GetLimit(m_states[index]);
  }
  const double count = static_cast<double>(group.indexes.size());
  const double mean = (recent_requests + 1) / count;
  const double mean_limit = limits / count;
  Group under_cap{{}, group.others_per_slot};
  for (const size_t index : group.indexes) {
    const VmState& state = m_states[index];
    if (GetLimit(state) < mean_limit) {
      if (GetObservedLoad(state) < GetLimit(state)) under_cap.indexes.push_back(index);
    } else if (state.recent_requests + 1 <= m_options.load_cap * mean || state.recent_requests < kCapExemptRequests) {
      under_cap.indexes.push_back(index);
    }
  }
  return under_cap;
}

std::optional<size_t> RouteChooser::ChooseByPrefix(const Group& group, const PrefixHashes& prefix) const {
  if (group.indexes.empty()) return std::nullopt;
  for (auto hash = prefix.rbegin(); hash != prefix.rend(); ++hash) {
    if (const auto prefix_endpoint = FindPrefixEndpoint(group, *hash)) return prefix_endpoint;
  }
  const auto weight = [&](size_t index) { return ScorePrefixEndpoint(prefix.front(), m_table->GetVms()[index].hash); };
  const auto is_lighter = [&](size_t a, size_t b) { return weight(a) < weight(b); };
  return *std::max_element(group.indexes.begin(), group.indexes.end(), is_lighter);
}

// Returns the least loaded endpoint of the group among those that this prefix was sent to before.
std::optional<size_t> RouteChooser::FindPrefixEndpoint(const Group& group, uint64_t prefix_hash) const {
  const PrefixEndpoints* prefix_endpoints = m_prefix_affinity.Find(prefix_hash);
  if (prefix_endpoints == nullptr) return std::nullopt;
  std::optional<size_t> best;
  for (const size_t index : group.indexes) {
    const uint64_t vm_hash = m_table->GetVms()[index].hash;
    if (std::find(prefix_endpoints->begin(), prefix_endpoints->end(), vm_hash) == prefix_endpoints->end()) continue;
    if (!best.has_value() || EstimateRelativeLoad(index, group) < EstimateRelativeLoad(*best, group)) best = index;
  }
  return best;
}

// Selects the least loaded of kRandomChoices random endpoints. Selecting the least loaded of all endpoints would make
// all entries send to the same one until the next report.
size_t RouteChooser::ChooseByLoad(const Group& group) {
  const std::vector<size_t>& indexes = group.indexes;
  size_t best = indexes[m_random.GetBelow(indexes.size())];
  for (int i = 1; i < kRandomChoices; ++i) {
    const size_t other = indexes[m_random.GetBelow(indexes.size())];
    if (EstimateRelativeLoad(other, group) < EstimateRelativeLoad(best, group)) best = other;
  }
  return best;
}

void RouteChooser::RecordChoice(size_t vm_index, const RouteQuery& query, TimePoint now) {
  VmState& state = m_states[vm_index];
  state.recent_requests = GetRecentRequests(state, now) + 1;
  if (!query.prefix.empty()) m_prefix_affinity.RecordSent(query.prefix, m_table->GetVms()[vm_index].hash);
}

double RouteChooser::GetRecentRequests(VmState& state, TimePoint now) const {
  const double elapsed = std::chrono::duration<double>(now - state.recent_updated_at).count();
  if (elapsed > 0) {
    state.recent_requests *= std::exp2(-elapsed / kRecentHalfLifeSeconds);
    state.recent_updated_at = now;
  }
  return state.recent_requests;
}

uint32_t RouteChooser::GetLimit(const VmState& state) { return state.limit > 0 ? state.limit : kDefaultLimit; }

// Estimates the load of an endpoint. Own attempts are exact. The load from other entries is interpolated from the last
// report towards the mean of the group as the report ages, so a stale report does not make an endpoint look idle or
// full.
double RouteChooser::EstimateLoad(size_t vm_index, const Group& group) const {
  const VmState& state = m_states[vm_index];
  const double mean = group.others_per_slot * GetLimit(state);
  const auto decay_time = kReportDecayFraction * static_cast<double>(m_mean_attempt_time.count());
  const auto age = static_cast<double>((m_clock.GetNow() - state.report_at).count());
  return state.own_in_flight + mean + (state.others_in_flight - mean) * std::exp(-age / decay_time);
}

double RouteChooser::EstimateRelativeLoad(size_t vm_index, const Group& group) const {
  return (EstimateLoad(vm_index, group) + 1) / GetLimit(m_states[vm_index]);
}

// Does not use the group mean: while all other endpoints are full, the mean would make an endpoint with a small limit
// look full too, and it would get no requests right after it has become warm.
bool RouteChooser::IsFull(size_t vm_index) const {
  const VmState& state = m_states[vm_index];
  const double limit = GetLimit(state);
  return GetObservedLoad(state) >= std::max(std::ceil(kFullFactor * limit), limit + kFullSlack);
}

double RouteChooser::GetObservedLoad(const VmState& state) const {
  const auto decay_time = kReportDecayFraction * static_cast<double>(m_mean_attempt_time.count());
  const auto age = static_cast<double>((m_clock.GetNow() - state.report_at).count());
  return state.own_in_flight + state.others_in_flight * std::exp(-age / decay_time);
}

RouteChooser::VmState* RouteChooser::FindState(const VmId& vm) {
  const auto found = m_index.find(vm);
  return found == m_index.end() ? nullptr : &m_states[found->second];
}

void RouteChooser::OnAttemptStarted(const VmId& vm) {
  const auto found = m_index.find(vm);
  if (found == m_index.end()) return;
  ++m_states[found->second].own_in_flight;
  if (m_table->GetVms()[found->second].distance != ZoneDistance::kOwnZone) ++m_spill_in_flight;
}

void RouteChooser::OnAttemptEnded(const VmId& vm, Duration attempt_time) {
  m_mean_attempt_time += Duration(
      static_cast<int64_t>(static_cast<double>((attempt_time - m_mean_attempt_time).count()) * kAttemptTimeWeight));
  const auto found = m_index.find(vm);
  if (found == m_index.end()) return;
  VmState& state = m_states[found->second];
  if (state.own_in_flight == 0) return;
  --state.own_in_flight;
  if (m_table->GetVms()[found->second].distance != ZoneDistance::kOwnZone && m_spill_in_flight > 0) --m_spill_in_flight;
}

void RouteChooser::OnLoad(const VmId& vm, const LoadReport& load) {
  VmState* state = FindState(vm);
  if (state == nullptr) return;
  const uint32_t total = load.in_flight + load.queued;
  state->others_in_flight = total > state->own_in_flight ? total - state->own_in_flight : 0;
  state->limit = load.limit;
  state->queued = load.queued;
  state->is_cold = load.is_cold;
  state->report_at = m_clock.GetNow();
}

void RouteChooser::OnRefused(const VmId& vm, Duration retry_after) {
  VmState* state = FindState(vm);
  if (state == nullptr) return;
  // Refusals during a backoff belong to requests that were already in flight, so they count as one refusal. When each
  // was counted, a burst caused the maximum backoff at once, and an endpoint that had become warm was idle for seconds.
  if (m_clock.GetNow() < state->backoff_until) return;
  const uint32_t doublings = std::min(state->refusals, 10U);
  Duration wait = std::min(m_options.refusal_backoff * (1 << doublings), m_options.max_refusal_backoff);
  wait = std::clamp(retry_after, wait, std::max(wait, m_options.max_refusal_backoff));
  // Jitter prevents all entries from retrying at the same time.
  wait += Duration(static_cast<int64_t>(static_cast<double>(wait.count()) * 0.5 * m_random.GetUnit()));
  ++state->refusals;
  state->backoff_until = std::max(state->backoff_until, m_clock.GetNow() + wait);
}

void RouteChooser::OnSuccess(const VmId& vm) {
  VmState* state = FindState(vm);
  if (state != nullptr) state->refusals = 0;
}

void RouteChooser::OnLeaving(const VmId& vm) {
  VmState* state = FindState(vm);
  if (state != nullptr) state->is_leaving = true;
}

RouteCapacity RouteChooser::GetCapacity(const RouteKey& key) const {
  RouteCapacity sum;
  if (m_table == nullptr) return sum;
  for (const RouteCandidate& candidate : m_table->FindCandidates(key)) {
    const VmState& state = m_states[candidate.vm_index];
    if (state.is_leaving) continue;
    ++sum.endpoints;
    sum.limit += GetLimit(state);
    sum.queued += state.queued;
  }
  return sum;
}

}  // namespace plantain

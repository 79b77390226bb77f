#include "endpoint_balancer.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace plantain {
namespace {

// Load reports older than this are ignored. Requests last about as long, so the load has changed by then.
constexpr Duration kMaxReportAge = Milliseconds(1500);
// Requests beyond its slots that an endpoint may queue when there is only one entry. Without a queue a slot would idle
// after each answer until the entry sends the next request.
constexpr uint32_t kSingleEntryOvercommit = 1;
// Without a recent load report each entry uses up to this multiple of its own slots.
constexpr double kNoReportFactor = 1.5;
// Requests beyond its slots that an endpoint may get when an entry reclaims slots that other entries were using.
constexpr uint32_t kReclaimOvercommit = 1;
// Score penalty of endpoints in another zone of the region and in another region, in milliseconds to the first event.
// Bandwidth between zones and regions is scarce, and load reports from remote endpoints are less accurate.
constexpr double kZonePenaltyMs = 20;
constexpr double kRegionPenaltyMs = 60;
// Score penalty of each request at an endpoint on top of the time to the first event, to avoid filling all its slots.
constexpr double kRequestPenaltyMs = 6;
// Wait for each request queued ahead, as a multiple of a usual request's time divided by the number of slots.
constexpr double kQueueWaitFactor = 1.0;
// Half-life of the estimate of other entries' unprocessed prompt tokens.
constexpr double kPromptHalfLifeMs = 80;
// Decode steps that an engine runs before it processes more prompt tokens.
constexpr double kDecodeStepsPerPass = 6;
// Shares of a cold endpoint's maximum rate that all entries together may send to an endpoint known to be cold, and to
// a warm one. Warm ones are limited too, because they can turn cold without notice.
constexpr double kColdRateFactor = 0.7;
constexpr double kWarmRateFactor = 1.2;
constexpr double kRateBurst = 2;
// Time between two requests to an endpoint that stands still.
constexpr Duration kProbeInterval = Milliseconds(1500);
// Attempts needed before the error rate is used, and how far it must exceed the mean of the pool's other endpoints
// before the endpoint is penalized.
constexpr double kMinAttempts = 5;
constexpr double kOutlierExcess = 0.25;
// The penalty for each request is scaled to this number of slots, as a request takes a larger share of an endpoint with
// fewer slots.
constexpr double kReferenceSlots = 16;
constexpr double kOutlierPenaltyMs = 400;

double ToMs(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

}  // namespace

EndpointBalancer::EndpointBalancer(const Clock& clock, Random& random, BalancerOptions options)
    : m_clock(clock),
      m_random(random),
      m_options(std::move(options)),
      m_fleet(std::make_shared<FleetView>()),
      m_statements(clock, m_options.self),
      m_start_pace(clock),
      m_speeds(clock) {}

void EndpointBalancer::SetFleet(std::shared_ptr<const FleetView> fleet) {
  m_fleet = std::move(fleet);
  m_pools.clear();
  std::map<EndpointId, ListedEndpoint> listed;
  for (auto& [id, state] : m_states) state.is_listed = false;
  for (const EndpointInfo& info : m_fleet->endpoints) {
    const auto [found, is_new] = m_states.try_emplace(info.id);
    State& state = found->second;
    // After a restart nothing learned about the endpoint holds any more, although its id stays the same.
    if (!is_new && state.info.incarnation != info.incarnation) {
      const uint32_t own_requests = state.own_requests;
      state = State();
      state.own_requests = own_requests;
    }
    if (state.rate_tokens_at == TimePoint()) {
      state.rate_tokens = kRateBurst;
      state.rate_tokens_at = m_clock.GetNow();
    }
    // The directory may lag behind the agent's reports, so its weight versions are taken only when they change.
    if (state.info.loaded != info.loaded) state.loaded = info.loaded;
    state.info = info;
    state.is_listed = true;
    m_pools[info.pool].push_back(&state);
    listed[info.id] = {info.pool, info.incarnation};
  }
  m_statements.SetEndpoints(std::move(listed));
  if (m_options.learns_pace) SetPaceEndpoints();
  std::erase_if(m_states, [](const auto& entry) { return !entry.second.is_listed && entry.second.own_requests == 0; });
  ApplyPoolSpecs();
  AssignSlots();
}

void EndpointBalancer::ApplyPoolSpecs() {
  if (m_fleet->routing == nullptr) return;
  for (const PoolSpec& pool : m_fleet->routing->pools) {
    const auto states = m_pools.find(pool.name);
    if (states == m_pools.end()) continue;
    for (State* state : states->second) {
      state->cold_requests_per_s = pool.cold_requests_per_s;
      state->engine = pool.engine;
    }
  }
}

void EndpointBalancer::SetEntries(std::vector<EntryDemand> entries) {
  m_entries = std::move(entries);
  std::set<VmId> live;
  for (const EntryDemand& entry : m_entries) live.insert(entry.entry);
  m_start_pace.SetEntries(live);
  m_speeds.SetEntries(live);
  AssignSlots();
}

std::map<ZoneName, double> EndpointBalancer::GetUsableSlots(const std::vector<State*>& states) const {
  std::map<ZoneName, double> slots;
  for (const State* state : states) {
    double& count = slots[state->info.zone];
    // Slots of an endpoint that takes no connections would keep its zone from slots of other zones until the directory
    // drops it.
    if (!IsInService(state->info) || !HasUsableWeights(*state)) continue;
    // All entries know about the same number in slow start, but not which of them could not reach the endpoint. If
    // their views differed, possibly none would own the slot that finds the endpoint again.
    if (const std::optional<StartNumber> start = m_start_pace.Get(state->info.id); start.has_value()) {
      count += start->number;
    } else if (!state->is_unreachable) {
      count += GetSlots(*state);
    }
  }
  return slots;
}

bool EndpointBalancer::HasUsableWeights(const State& state) const {
  if (!state.engine.has_value()) return true;
  if (state.is_switching && HasFreshReport(state, m_clock.GetNow())) return false;
  const auto loaded = state.loaded.find(state.engine->model);
  if (loaded == state.loaded.end()) return false;
  const auto min_version = m_min_versions.find(state.engine->model);
  return min_version == m_min_versions.end() || loaded->second >= min_version->second;
}

void EndpointBalancer::AssignSlots() {
  for (const auto& [pool, states] : m_pools) {
    const SlotShares shares(m_entries, GetUsableSlots(states), m_options.self, pool);
    uint32_t total_own_slots = 0;
    for (State* state : states) {
      state->share = shares.GetDemandShare();
      state->range = shares.GetRange(state->info.zone);
      state->was_starting = state->was_starting || m_start_pace.Get(state->info.id).has_value();
      state->own_slots = GetOwnSlots(state->range, state->info.id, GetSlots(*state));
      total_own_slots += state->own_slots;
    }
    // Plain endpoints report no load, and a pool may have fewer slots than there are entries.
    for (State* state : states) state->may_probe = !state->engine.has_value() || total_own_slots == 0;
  }
}

void EndpointBalancer::OnLoad(const EndpointLoad& load) {
  const auto found = m_states.find(load.endpoint);
  if (found == m_states.end()) return;
  State& state = found->second;
  const TimePoint now = m_clock.GetNow();
  const uint32_t total = load.running + load.queued;
  const uint32_t other_requests = total > state.own_requests ? total - state.own_requests : 0;
  const uint32_t new_requests = other_requests > state.other_requests ? other_requests - state.other_requests : 0;
  const double mean_prompt_tokens = state.engine.has_value() ? state.engine->mean_prompt_tokens : 0;
  // Requests that arrived since the last report are assumed to be in prompt processing (prefill).
  state.other_prompt_tokens = HasFreshReport(state, now) ? new_requests * mean_prompt_tokens : 0;
  state.other_requests = other_requests;
  state.quota = ComputeQuota(state, total);
  if (load.slowness > 0) state.slowness = load.slowness;
  state.report_at = now;
  state.has_report = true;
  state.is_switching = load.is_switching;
  if (!load.loaded.empty()) state.loaded = load.loaded;
}

bool EndpointBalancer::HasFreshReport(const State& state, TimePoint now) const {
  return state.has_report && now - state.report_at < kMaxReportAge;
}

uint32_t EndpointBalancer::GetLoad(const State& state, TimePoint now) const {
  return state.own_requests + (HasFreshReport(state, now) ? state.other_requests : 0);
}

uint32_t EndpointBalancer::GetSlots(const State& state) { return std::max(1U, state.info.slots); }

uint32_t EndpointBalancer::GetRoom(const State& state, TimePoint now) const {
  const uint32_t room = GetUsualRoom(state, now);
  const std::optional<uint32_t> limit = GetStartLimit(state);
  if (!limit.has_value()) return room;
  return std::min(room, *limit - std::min(*limit, state.own_requests));
}

uint32_t EndpointBalancer::GetUsualRoom(const State& state, TimePoint now) const {
  const auto subtract = [](uint32_t from, uint32_t used) { return from - std::min(from, used); };
  const uint32_t slots = GetSlots(state);
  const uint32_t load = GetLoad(state, now);
  if (m_entries.size() < 2) return subtract(slots + kSingleEntryOvercommit, load);
  if (!HasFreshReport(state, now)) {
    const auto allowed = static_cast<uint32_t>(std::lround(kNoReportFactor * state.own_slots));
    return subtract(std::max(state.may_probe ? 1U : 0U, allowed), state.own_requests);
  }
  if (state.own_requests < state.own_slots) {
    return std::min(subtract(state.own_slots, state.own_requests), subtract(slots + kReclaimOvercommit, load));
  }
  return std::min(subtract(state.quota, state.own_requests), subtract(slots, load));
}

// If each entry uses at most its share of the slots that a report shows as free, all entries together use no more than
// the free slots. With more requests than slots, entries that use more than their own slots reduce their load.
uint32_t EndpointBalancer::ComputeQuota(const State& state, uint32_t total) {
  const uint32_t slots = GetSlots(state);
  if (total > slots) return std::max(state.own_slots, state.own_requests - std::min(state.own_requests, total - slots));
  // Randomized rounding, so that an entry with a share of less than one slot still gets a slot from time to time.
  const double part = state.share * (slots - total) + m_random.GetUnit();
  return std::max(state.own_slots, state.own_requests + static_cast<uint32_t>(part));
}

void EndpointBalancer::RefillRateTokens(State& state, TimePoint now) const {
  const bool is_cold = state.info.cold_until > now;
  double part = 1 / static_cast<double>(std::max<size_t>(1, m_entries.size()));
  double burst = kRateBurst;
  // In slow start the rate belongs to the entries that own slots. Equal parts of all entries would leave most of the
  // rate unused, and their bursts together exceed it when the slow start ends.
  const std::optional<uint32_t> limit = GetStartLimit(state);
  if (limit.has_value()) {
    part = static_cast<double>(*limit) / m_start_pace.Get(state.info.id)->number;
    burst = std::min<double>(kRateBurst, *limit);
  }
  // Only the first slots come with a request that may be sent at once: what entries have saved up while they owned no
  // slot would arrive together.
  const bool is_later_slot =
      limit.has_value() && !state.owned_start_slot && m_start_pace.Get(state.info.id)->number > kFirstStartSlots;
  const bool is_end = state.was_starting && !limit.has_value();
  if (is_later_slot || is_end) {
    state.rate_tokens = 0;
    state.rate_tokens_at = now;
  }
  state.owned_start_slot = limit.has_value();
  state.was_starting = limit.has_value();
  const double rate = state.cold_requests_per_s * (is_cold ? kColdRateFactor : kWarmRateFactor) * part;
  const double elapsed_s = std::chrono::duration<double>(now - state.rate_tokens_at).count();
  state.rate_tokens = std::min(burst, state.rate_tokens + elapsed_s * rate);
  state.rate_tokens_at = now;
}

bool EndpointBalancer::IsLeaving(const EndpointInfo& endpoint) const {
  return endpoint.is_leaving || m_statements.IsLeaving(endpoint.id, endpoint.incarnation);
}

bool EndpointBalancer::IsInService(const EndpointInfo& endpoint) const {
  return !IsLeaving(endpoint) && !m_fleet->zones_out.contains(endpoint.zone);
}

bool EndpointBalancer::IsEligible(const State& state, const EndpointQuery& query) const {
  if (!IsInService(state.info)) return false;
  if (!IsRegionAllowed(*query.rule, query.workspace, state.info.region)) return false;
  return std::find(query.excluded.begin(), query.excluded.end(), state.info.id) == query.excluded.end();
}

bool EndpointBalancer::IsSuperseded(const EndpointQuery& query) {
  return query.exact_version.has_value() && query.min_version.has_value() && *query.exact_version < *query.min_version;
}

bool EndpointBalancer::HasVersion(const State& state, const EndpointQuery& query) const {
  if (query.model.IsEmpty()) return true;
  const auto loaded = state.loaded.find(query.model);
  if (loaded == state.loaded.end()) return false;
  if (query.exact_version.has_value()) return loaded->second == *query.exact_version;
  return !query.min_version.has_value() || loaded->second >= *query.min_version;
}

EndpointBalancer::Availability EndpointBalancer::GetAvailability(State& state, const EndpointQuery& query,
                                                                 TimePoint now) {
  if (!IsEligible(state, query)) return Availability::kIneligible;
  // An endpoint that stands still may go on at any moment.
  if (state.backoff_until > now) return state.silence.IsPaused() ? Availability::kBusy : Availability::kBackedOff;
  if (state.pause_until > now) return Availability::kBusy;
  if (m_statements.GetPauseLeft(state.info.id, state.info.incarnation) > Duration::zero()) return Availability::kBusy;
  if (!IsServing(state, query, now)) return Availability::kBusy;
  if (GetRoomFor(state, query, now) == 0) return Availability::kBusy;
  if (!m_statements.IsAvailable(state.info.id)) return Availability::kBusy;
  if (state.cold_requests_per_s > 0) {
    RefillRateTokens(state, now);
    if (state.rate_tokens < 1) return Availability::kBusy;
  }
  return Availability::kAvailable;
}

bool EndpointBalancer::IsServing(const State& state, const EndpointQuery& query, TimePoint now) const {
  const bool is_switching = state.is_switching && HasFreshReport(state, now);
  return IsEligible(state, query) && state.backoff_until <= now && !is_switching && HasVersion(state, query);
}

bool EndpointBalancer::IsOutlier(const State& state) const {
  if (state.attempts < kMinAttempts) return false;
  const auto pool = m_pools.find(state.info.pool);
  if (pool == m_pools.end()) return false;
  double sum = 0;
  double count = 0;
  for (const State* other : pool->second) {
    if (other == &state || other->attempts < kMinAttempts) continue;
    sum += other->error_rate;
    ++count;
  }
  const double mean = count > 0 ? sum / count : 0;
  return state.error_rate > mean + kOutlierExcess;
}

double EndpointBalancer::GetPendingPromptTokens(const State& state, TimePoint now) const {
  const double age_ms = std::chrono::duration<double, std::milli>(now - state.report_at).count();
  return static_cast<double>(state.own_prompt_tokens) +
         state.other_prompt_tokens * std::exp2(-age_ms / kPromptHalfLifeMs);
}

// An engine alternates between prompt processing (prefill) and a pass of decode steps for the running requests. A new
// request waits for the rest of the current pass, for the prompts ahead of it and its own, and for its first decode
// steps; if all slots are taken, it also waits for a free one.
double EndpointBalancer::GetExpectedMs(const State& state, uint32_t prompt_tokens, TimePoint now) const {
  if (!state.engine.has_value()) return 0;
  const EngineSpec& engine = *state.engine;
  const uint32_t load = GetLoad(state, now);
  const uint32_t slots = GetSlots(state);
  const double step_ms = ToMs(engine.step) + std::min(load, slots) * ToMs(engine.step_per_request);
  const double pass_ms = kDecodeStepsPerPass * step_ms;
  const double read_ms =
      (GetPendingPromptTokens(state, now) + prompt_tokens) * 1000 / std::max(1.0, engine.prefill_tokens_per_s);
  double expected_ms = 1.5 * pass_ms + read_ms;
  if (load >= slots) {
    const double usual_ms = engine.mean_output_tokens * step_ms * 1.5;
    expected_ms += kQueueWaitFactor * (load - slots + 1) * usual_ms / slots;
  }
  return m_options.learns_pace ? expected_ms : expected_ms * std::max(1.0, state.slowness);
}

double EndpointBalancer::GetScoreMs(const State& state, const EndpointQuery& query, TimePoint now) const {
  double score = GetExpectedMs(state, query.prompt_tokens, now);
  score += kRequestPenaltyMs * GetLoad(state, now) * kReferenceSlots / GetSlots(state);
  if (state.info.zone != m_options.zone) {
    score += state.info.region == m_options.region ? kZonePenaltyMs : kRegionPenaltyMs;
  }
  if (IsOutlier(state)) score += kOutlierPenaltyMs;
  // Breaks ties at random.
  return score + m_random.GetUnit();
}

EndpointChoice EndpointBalancer::Choose(const EndpointQuery& query) {
  const TimePoint now = m_clock.GetNow();
  EndpointChoice choice;
  const auto pool = m_pools.find(query.pool);
  choice.failure = NoEndpointReason::kNoneEligible;
  if (pool == m_pools.end() || IsSuperseded(query)) return choice;
  State* best = nullptr;
  double best_score = 0;
  bool is_best_skipped = false;
  for (State* state : pool->second) {
    const Availability availability = GetAvailability(*state, query, now);
    if (availability == Availability::kBusy) choice.failure = NoEndpointReason::kBusy;
    if (availability == Availability::kBackedOff && choice.failure == NoEndpointReason::kNoneEligible)
      choice.failure = NoEndpointReason::kBackedOff;
    if (availability != Availability::kAvailable) continue;
    const double score = GetScoreMs(*state, query, now);
    const bool is_skipped = IsSkippedForSpeed(*state);
    if (best != nullptr && std::tie(is_skipped, score) >= std::tie(is_best_skipped, best_score)) continue;
    best = state;
    best_score = score;
    is_best_skipped = is_skipped;
  }
  if (best == nullptr) return choice;
  choice.endpoint = &best->info;
  choice.failure = NoEndpointReason::kNone;
  const auto loaded = best->loaded.find(query.model);
  if (loaded != best->loaded.end()) choice.version = loaded->second;
  choice.expected = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(GetExpectedMs(*best, query.prompt_tokens, now)));
  choice.load = GetLoad(*best, now);
  choice.load_age = best->has_report ? now - best->report_at : Duration::max();
  return choice;
}

uint32_t EndpointBalancer::GetUsableOwnSlots(const EndpointQuery& query) const {
  const TimePoint now = m_clock.GetNow();
  const auto pool = m_pools.find(query.pool);
  if (pool == m_pools.end()) return 0;
  uint32_t slots = 0;
  for (const State* state : pool->second) {
    if (!IsServing(*state, query, now)) continue;
    slots += GetStartLimit(*state).value_or(std::max(state->own_slots, state->may_probe ? 1U : 0U));
  }
  return slots;
}

bool EndpointBalancer::HasEligible(const EndpointQuery& query) const {
  const auto pool = m_pools.find(query.pool);
  if (pool == m_pools.end() || IsSuperseded(query)) return false;
  return std::any_of(pool->second.begin(), pool->second.end(),
                     [&](const State* state) { return IsEligible(*state, query); });
}

std::optional<WeightVersion> EndpointBalancer::GetVersion(const EndpointId& id, const ModelName& model) const {
  const auto found = m_states.find(id);
  if (found == m_states.end()) return std::nullopt;
  const auto loaded = found->second.loaded.find(model);
  return loaded == found->second.loaded.end() ? std::nullopt : std::optional(loaded->second);
}

void EndpointBalancer::OnPrefillDone(const EndpointId& id, uint32_t prompt_tokens) {
  const auto found = m_states.find(id);
  if (found == m_states.end()) return;
  found->second.own_prompt_tokens -= std::min<uint64_t>(found->second.own_prompt_tokens, prompt_tokens);
}

void EndpointBalancer::OnSent(const EndpointId& id, uint32_t prompt_tokens) {
  const auto found = m_states.find(id);
  if (found == m_states.end()) return;
  ++found->second.own_requests;
  found->second.own_prompt_tokens += prompt_tokens;
  if (found->second.cold_requests_per_s > 0) found->second.rate_tokens -= 1;
  // One request tells whether an endpoint goes on; others would only be held up with it.
  if (found->second.silence.IsPaused()) found->second.backoff_until = m_clock.GetNow() + kProbeInterval;
  m_statements.OnSent(id);
}

Duration EndpointBalancer::GetStatedPause(const PoolName& pool) const {
  const auto states = m_pools.find(pool);
  if (states == m_pools.end()) return Duration::zero();
  std::optional<Duration> shortest;
  for (const State* state : states->second) {
    if (!IsInService(state->info)) continue;
    const Duration left = m_statements.GetPauseLeft(state->info.id, state->info.incarnation);
    shortest = std::min(shortest.value_or(left), left);
  }
  return shortest.value_or(Duration::zero());
}

EndpointBalancer::Occupancy EndpointBalancer::GetOccupancy(const PoolName& pool) const {
  Occupancy occupancy;
  const TimePoint now = m_clock.GetNow();
  const auto states = m_pools.find(pool);
  if (states == m_pools.end()) return occupancy;
  for (const State* state : states->second) {
    if (!IsInService(state->info)) continue;
    occupancy.load += GetLoad(*state, now);
    occupancy.total_slots += GetSlots(*state);
  }
  return occupancy;
}

}  // namespace plantain

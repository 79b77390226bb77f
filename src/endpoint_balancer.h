// Per-endpoint state of an entry, and load balancing over the endpoints of a pool. No I/O.

#ifndef PLANTAIN_ENDPOINT_BALANCER_H_
#define PLANTAIN_ENDPOINT_BALANCER_H_

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "clock.h"
#include "endpoint_silence.h"
#include "endpoint_speed.h"
#include "endpoint_statement.h"
#include "fleet_type.h"
#include "random.h"
#include "route_match.h"
#include "slot_share.h"
#include "start_pace.h"

namespace plantain {

// Load report of an endpoint, sent by its agent.
struct EndpointLoad {
  EndpointId endpoint;
  uint32_t running = 0;
  uint32_t queued = 0;
  // Whether the engine is loading other weights; it accepts no requests until it is done.
  bool is_switching = false;
  // Response time relative to the usual one, so 2 is half as fast; 0 if not known.
  double slowness = 0;
  std::map<ModelName, WeightVersion> loaded;
};

// Outcome of an attempt, as far as it concerns the endpoint's health or load.
enum class AttemptEnd {
  kSuccess,
  // The endpoint answered with an error.
  kError,
  // The endpoint refused the request because it is at capacity.
  kFull,
  // Another endpoint answered at this address, or the endpoint serves other weights.
  kMisdirected,
  // The connection could not be established.
  kUnreachable,
  // Given up while the endpoint was silent, at the deadline or because another endpoint answered first.
  kSilent,
  // The answer was not complete at the deadline, and the endpoint had not been silent for long.
  kOverdue,
  // The connection ended before the answer was complete.
  kConnectionLost,
  // The answer was malformed.
  kBroken,
  // Withdrawn because it had not started when the endpoint's weight version reached its limit.
  kWithdrawn,
  // Cancelled for a reason unrelated to the endpoint.
  kCancelled,
};

struct BalancerOptions {
  // VM of this entry.
  VmId self;
  ZoneName zone;
  RegionName region;
  // Whether endpoints begin slowly after a start or an outage, and are chosen by their observed speed.
  bool learns_pace = false;
};

// Input of one endpoint selection.
struct EndpointQuery {
  PoolName pool;
  const RouteRule* rule = nullptr;
  const WorkspaceKeys* workspace = nullptr;
  ModelName model;
  uint32_t prompt_tokens = 0;
  // Oldest weight version that may start a request; unset if every version may.
  std::optional<WeightVersion> min_version;
  // The only version that the request may use, since the caller has received events of it; unset if there is none.
  std::optional<WeightVersion> exact_version;
  // In a pool that shares its slots by priority, how many requests may be at an endpoint beyond its slots when this one
  // is sent; unset in other pools.
  std::optional<uint32_t> overcommit;
  // Endpoints that this request has already tried.
  std::span<const EndpointId> excluded;
};

// Why no endpoint was selected.
enum class NoEndpointReason {
  kNone,
  // No known endpoint is eligible for the request.
  kNoneEligible,
  // All eligible endpoints are in backoff after failures.
  kBackedOff,
  // Every eligible endpoint that is not in backoff is full, rate-limited, loading weights or wants no requests for now.
  // One that stands still counts as busy too.
  kBusy,
};

struct EndpointChoice {
  const EndpointInfo* endpoint = nullptr;
  NoEndpointReason failure = NoEndpointReason::kNone;
  // Weight version of the requested model that the endpoint last reported.
  std::optional<WeightVersion> version;
  // Estimated time to the first event.
  Duration expected{};
  // Estimated number of requests at the endpoint, and the age of the load report it is based on; for the log.
  uint32_t load = 0;
  Duration load_age{};
};

// Selects endpoints for requests. Used on one traffic loop only. The load of an endpoint is the number of requests that
// this entry has in flight there, plus the requests of other entries according to the agent's last report.
class EndpointBalancer {
 public:
  EndpointBalancer(const Clock& clock, Random& random, BalancerOptions options);

  void SetFleet(std::shared_ptr<const FleetView> fleet);
  // Sets the entries that share the endpoints, including this one.
  void SetEntries(std::vector<EntryDemand> entries);
  // Sets the oldest version of each model that may start a request; models that are not listed have none. Takes effect
  // with the next SetEntries or SetFleet.
  void SetMinVersions(std::map<ModelName, WeightVersion> versions) { m_min_versions = std::move(versions); }
  void OnLoad(const EndpointLoad& load);
  const ZoneName& GetZone() const { return m_options.zone; }

  // What endpoints state in their responses.
  EndpointStatements& GetStatements() { return m_statements; }
  const EndpointStatements& GetStatements() const { return m_statements; }

  // Exchange counts of slow starts, and the speed of endpoints.
  PaceReport GetPaceReport();
  void ApplyPaceReport(const VmId& from, const PaceReport& report);
  StartPace& GetStartPace() { return m_start_pace; }

  // Whether the endpoint leaves, as the directory or one of its responses says.
  bool IsLeaving(const EndpointInfo& endpoint) const;

  EndpointChoice Choose(const EndpointQuery& query);

  // Returns the slots of this entry at endpoints that accept the request now or when a slot is free.
  uint32_t GetUsableOwnSlots(const EndpointQuery& query) const;

  // Whether an endpoint of the pool may run the request, now or later.
  bool HasEligible(const EndpointQuery& query) const;

  // Returns the version of a model that an endpoint last reported, or nothing.
  std::optional<WeightVersion> GetVersion(const EndpointId& id, const ModelName& model) const;

  void OnSent(const EndpointId& id, uint32_t prompt_tokens);
  // Called when the endpoint has finished prompt processing (prefill) for an attempt: on its first event, or on its end
  // if no event came.
  void OnPrefillDone(const EndpointId& id, uint32_t prompt_tokens);
  // `sent_at` tells whether a failed connection shows anything new.
  void OnEnded(const EndpointId& id, AttemptEnd end, TimePoint sent_at);

  // Records that the answer to a request has begun. `expected` is the estimate of EndpointChoice.
  void OnAnswerBegun(const EndpointId& id, Incarnation incarnation, TimePoint sent_at, Duration expected);

  // The next three concern one run of the endpoint and do nothing if it has restarted since.
  // Records that the endpoint has sent a part of an answer. Returns how long it stood still, if it did.
  std::optional<Duration> OnReceived(const EndpointId& id, Incarnation incarnation);
  // Records that an attempt has received nothing from the endpoint since `since`, and backs off. An endpoint that
  // stands still gets one request from time to time until something comes from it.
  SilenceFinding OnSilent(const EndpointId& id, Incarnation incarnation, TimePoint since);
  // Judges a silence again that concerned the request only.
  SilenceFinding ReviewSilence(const EndpointId& id, Incarnation incarnation, TimePoint since);

  // Returns the time until an endpoint of the pool takes requests again, if all in service have stated that they want
  // none for some time; 0 otherwise.
  Duration GetStatedPause(const PoolName& pool) const;

  // Estimated number of requests at a pool, and the total slots, both over its endpoints in service.
  struct Occupancy {
    uint32_t load = 0;
    uint32_t total_slots = 0;
  };
  Occupancy GetOccupancy(const PoolName& pool) const;

 private:
  struct State {
    EndpointInfo info;
    double cold_requests_per_s = 0;
    std::optional<EngineSpec> engine;
    uint32_t own_requests = 0;
    // This entry's share of the endpoint's free slots, from 0 to 1, and the slots that it may use whatever other
    // entries do.
    double share = 1;
    uint32_t own_slots = 1;
    // This entry's range of the slots.
    ShareRange range;
    // Whether this entry may send one request at a time while the endpoint's load is unknown.
    bool may_probe = true;
    // Maximum number of requests of this entry until the next report: its own slots, or its requests in flight plus its
    // share of the free slots if that is more.
    uint32_t quota = 1;
    // Prompt tokens of this entry's requests that the endpoint has not processed yet.
    uint64_t own_prompt_tokens = 0;
    // Estimate of the same for other entries' requests, as of the last report.
    double other_prompt_tokens = 0;
    // From the last load report; `other_requests` counts the requests of other entries.
    uint32_t other_requests = 0;
    TimePoint report_at;
    bool has_report = false;
    bool is_switching = false;
    double slowness = 1;
    std::map<ModelName, WeightVersion> loaded;
    EndpointSilence silence;
    // End of the backoff after failures, and when the last one was found. Attempts that were sent before then and fail
    // too show nothing new.
    TimePoint backoff_until;
    TimePoint failure_found_at;
    // Whether the last connection to the endpoint failed, and nothing has come from it since.
    bool is_unreachable = false;
    // End of the pause after a refusal that does not indicate a failure.
    TimePoint pause_until;
    uint32_t failures = 0;
    // Moving average of the error rate, and the number of attempts in it (at most `kErrorRateWindow`).
    double error_rate = 0;
    double attempts = 0;
    // Token bucket, in requests, that limits the rate at cold endpoints.
    double rate_tokens = 0;
    TimePoint rate_tokens_at;
    // Whether the endpoint was in slow start, and this entry owned a slot, when the tokens were last computed.
    bool was_starting = false;
    bool owned_start_slot = false;
    bool is_listed = true;
  };

  // Availability of an endpoint for one query.
  enum class Availability { kAvailable, kBusy, kBackedOff, kIneligible };

  Availability GetAvailability(State& state, const EndpointQuery& query, TimePoint now);
  bool IsEligible(const State& state, const EndpointQuery& query) const;
  bool IsInService(const EndpointInfo& endpoint) const;
  // Whether the only version that the request may use must not start requests any more.
  static bool IsSuperseded(const EndpointQuery& query);
  bool HasVersion(const State& state, const EndpointQuery& query) const;
  // Whether the endpoint would accept the request if it had a free slot.
  bool IsServing(const State& state, const EndpointQuery& query, TimePoint now) const;
  bool IsOutlier(const State& state) const;
  double GetPendingPromptTokens(const State& state, TimePoint now) const;
  // Returns the estimated time to the first event of a request with this prompt, in milliseconds.
  double GetExpectedMs(const State& state, uint32_t prompt_tokens, TimePoint now) const;
  double GetScoreMs(const State& state, const EndpointQuery& query, TimePoint now) const;
  uint32_t GetLoad(const State& state, TimePoint now) const;
  // Returns the slots of an endpoint; an endpoint that announces none counts as one slot.
  static uint32_t GetSlots(const State& state);
  // Returns the slots of this entry at an endpoint in slow start, or nothing if it is not in slow start.
  std::optional<uint32_t> GetStartLimit(const State& state) const;
  // Returns the time of answers relative to the usual one; 1 if not known.
  double GetSlowness(const State& state) const;
  // Whether a slow endpoint is left out of one choice, so that it gets requests in proportion to its speed.
  bool IsSkippedForSpeed(const State& state);
  void SetPaceEndpoints();
  // Ends the backoff of an endpoint that answers other entries.
  void EndBackOff(const EndpointId& id);
  // Returns how many more requests this entry may send to an endpoint now, at most.
  uint32_t GetRoom(const State& state, TimePoint now) const;
  // Returns the same for a request, by its priority. An entry among many owns too few slots to serve an urgent request
  // in time. So urgent requests may wait at the endpoint, which admits them first, and the least urgent ones are sent
  // only to free slots. The places to wait at are divided among entries as the slots are.
  uint32_t GetRoomFor(const State& state, const EndpointQuery& query, TimePoint now) const;
  uint32_t GetUsualRoom(const State& state, TimePoint now) const;
  State* FindRun(const EndpointId& id, Incarnation incarnation);
  void ApplyPoolSpecs();
  void AssignSlots();
  // Returns the slots of a pool in each zone that requests can use.
  std::map<ZoneName, double> GetUsableSlots(const std::vector<State*>& states) const;
  // Whether the endpoint has weights that may start a request, and is not loading others.
  bool HasUsableWeights(const State& state) const;
  uint32_t ComputeQuota(const State& state, uint32_t total);
  bool HasFreshReport(const State& state, TimePoint now) const;
  void RefillRateTokens(State& state, TimePoint now) const;
  void RecordOutcome(State& state, bool is_error);
  // Backs off after a failure that an attempt has shown which has received nothing since `since`. Returns false if that
  // failure is known already.
  bool BackOff(State& state, TimePoint since, Duration initial, Duration maximum);

  const Clock& m_clock;
  Random& m_random;
  const BalancerOptions m_options;
  std::shared_ptr<const FleetView> m_fleet;
  std::map<EndpointId, State> m_states;
  std::map<PoolName, std::vector<State*>> m_pools;
  std::vector<EntryDemand> m_entries;
  std::map<ModelName, WeightVersion> m_min_versions;
  EndpointStatements m_statements;
  StartPace m_start_pace;
  EndpointSpeeds m_speeds;
};

}  // namespace plantain

#endif  // PLANTAIN_ENDPOINT_BALANCER_H_

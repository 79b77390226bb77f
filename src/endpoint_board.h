// What an entry knows about each endpoint, and the choice among them. No I/O.

#ifndef PLANTAIN_ENDPOINT_BOARD_H_
#define PLANTAIN_ENDPOINT_BOARD_H_

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "clock.h"
#include "fleet_type.h"
#include "random.h"
#include "route_match.h"
#include "slot_share.h"

namespace plantain {

// What an endpoint's agent reports about it.
struct EndpointLoad {
  EndpointId endpoint;
  uint32_t running = 0;
  uint32_t queued = 0;
  // Whether the engine loads other weights and accepts nothing meanwhile.
  bool is_switching = false;
  // How many times slower than usual it is; 0 if not known.
  double slowness = 0;
  std::map<ModelName, WeightVersion> loaded;
};

// How an attempt ended, as far as it tells something about the endpoint.
enum class AttemptEnd {
  kSuccess,
  // The endpoint answered with a failure of its own.
  kError,
  // The endpoint said that it is full.
  kFull,
  // Another endpoint has the address, or it has other weights.
  kMisdirected,
  // No connection.
  kUnreachable,
  // Nothing came for too long.
  kSilent,
  // The answer broke off or was damaged.
  kBroken,
  // Given up for reasons that lie elsewhere.
  kCancelled,
};

struct BoardOptions {
  // This entry.
  VmId self;
  ZoneName zone;
  RegionName region;
};

// What one choice depends on.
struct EndpointQuery {
  PoolName pool;
  const RouteRule* rule = nullptr;
  const WorkspaceKeys* workspace = nullptr;
  ModelName model;
  uint32_t prompt_tokens = 0;
  // Lowest version of the weights that may begin a request, or the exact one.
  std::optional<WeightVersion> min_version;
  std::optional<WeightVersion> exact_version;
  // Endpoints that this request has tried already.
  std::span<const EndpointId> excluded;
};

// Why no endpoint was chosen.
enum class NoEndpoint {
  kNone,
  // None is known that may ever run the request.
  kUnknown,
  // Those that could run it are set aside after failures.
  kSetAside,
  // All are full, paced or loading weights.
  kBusy,
};

struct EndpointChoice {
  const EndpointInfo* endpoint = nullptr;
  NoEndpoint failure = NoEndpoint::kNone;
  // Weights of the query's model that the endpoint is known to have.
  std::optional<WeightVersion> version;
  // Time to the first event that the board expects.
  Duration expected{};
  // Requests believed to be at the endpoint, and the age of the report behind it, for the log.
  uint32_t load = 0;
  Duration load_age{};
};

// Used on one traffic loop. Load is the entry's own count of requests in progress plus what the endpoint's agent last
// reported beyond it.
class EndpointBoard {
 public:
  EndpointBoard(const Clock& clock, Random& random, BoardOptions options);

  void SetFleet(std::shared_ptr<const FleetView> fleet);
  // The entries that send to the same endpoints, this one included.
  void SetEntries(std::vector<EntryDemand> entries);
  void OnLoad(const EndpointLoad& load);

  EndpointChoice Choose(const EndpointQuery& query);

  void OnSent(const EndpointId& id, uint32_t prompt_tokens);
  // The endpoint has read the prompt of an attempt: its first event came, or the attempt ended before.
  void OnPromptRead(const EndpointId& id, uint32_t prompt_tokens);
  void OnEnded(const EndpointId& id, AttemptEnd end);

  // Requests of this entry in progress at the pool, and the places that its endpoints in service have.
  struct Occupancy {
    uint32_t load = 0;
    uint32_t places = 0;
  };
  Occupancy GetOccupancy(const PoolName& pool) const;

 private:
  struct State {
    EndpointInfo info;
    double cold_per_s = 0;
    std::optional<EngineSpec> engine;
    uint32_t own = 0;
    // This entry's part of the endpoint, and the slots that it may fill whatever the others do.
    double share = 1;
    uint32_t own_slots = 1;
    // Most requests of this entry until the next report: its own slots, or what it has and its part of the free ones.
    uint32_t quota = 1;
    // Prompt tokens of own requests that the endpoint has not read yet.
    uint64_t own_unread = 0;
    // The same of requests of other entries, as of the last report.
    double others_unread = 0;
    // The last report.
    uint32_t others = 0;
    TimePoint report_at;
    bool has_report = false;
    bool is_switching = false;
    double slowness = 1;
    std::map<ModelName, WeightVersion> loaded;
    // After failures.
    TimePoint aside_until;
    // After a refusal that says nothing about the endpoint's health.
    TimePoint pause_until;
    uint32_t failures = 0;
    // Recent share of failed attempts and the weight of the attempts behind it.
    double error_share = 0;
    double attempts = 0;
    // Balance of requests that may be sent now, for the bound on cold endpoints.
    double tokens = 0;
    TimePoint tokens_at;
    bool is_listed = true;
  };

  // What an endpoint is to one query.
  enum class Fit { kFree, kBusy, kSetAside, kNever };

  Fit Judge(State& state, const EndpointQuery& query, TimePoint now);
  bool MayRun(const State& state, const EndpointQuery& query) const;
  bool HasVersion(const State& state, const EndpointQuery& query) const;
  bool IsSuspicious(const State& state) const;
  double GetUnread(const State& state, TimePoint now) const;
  // Time to the first event of a request with this prompt, in milliseconds.
  double GetExpectedMs(const State& state, uint32_t prompt_tokens, TimePoint now) const;
  double GetScoreMs(const State& state, const EndpointQuery& query, TimePoint now) const;
  uint32_t GetLoad(const State& state, TimePoint now) const;
  // Slots of an endpoint; one that names none has one.
  static uint32_t GetSlots(const State& state);
  bool IsFull(const State& state, TimePoint now) const;
  void SplitSlots();
  uint32_t ComputeQuota(const State& state, uint32_t total);
  bool HasFreshReport(const State& state, TimePoint now) const;
  void Refill(State& state, TimePoint now) const;
  void NoteOutcome(State& state, bool is_error);
  void SetAside(State& state, Duration first, Duration longest);

  const Clock& m_clock;
  Random& m_random;
  const BoardOptions m_options;
  std::shared_ptr<const FleetView> m_fleet;
  std::map<EndpointId, State> m_states;
  std::map<PoolName, std::vector<State*>> m_pools;
  std::vector<EntryDemand> m_entries;
};

}  // namespace plantain

#endif  // PLANTAIN_ENDPOINT_BOARD_H_

// Fleet state that an entry needs to forward requests: routes, pools, workspaces, endpoints and operator requests.

#ifndef PLANTAIN_FLEET_TYPE_H_
#define PLANTAIN_FLEET_TYPE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core_type.h"
#include "http_type.h"

namespace plantain {

// Id of an endpoint instance in the platform's directory. A restarted endpoint usually has a new id.
using EndpointId = StrongString<struct EndpointIdTag>;
// Version number of a model's weights; only increases.
using WeightVersion = StrongNumber<struct WeightVersionTag, uint64_t>;

// Determines whether a request may be retried after its first attempt failed.
enum class RequestKind {
  // May run any number of times.
  kIdempotent,
  // Must run at most once.
  kOnce,
  // Answered by a stream of events.
  kStream,
};

// A pool that a route sends requests to, with its relative weight.
struct RouteTarget {
  PoolName pool;
  double weight = 1;
};

// Route for requests whose host and path match.
struct RouteRule {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kOnce;
  // Time within which a request must be answered completely.
  Duration timeout{};
  // Latency target for the answer, or for the first event of a stream.
  Duration latency_target{};
  // Target for the longest gap between two events of a stream; 0 if not set.
  Duration max_event_gap{};
  // Maximum number of endpoints that may run one request.
  uint32_t attempts = 1;
  // 0 is the highest priority.
  uint32_t priority = 0;
  std::vector<RouteTarget> targets;
  // Whether requests need no API key.
  bool is_public = false;
  // Whether a stream may be resumed at another endpoint after its last complete event.
  bool is_resumable = false;
  // Regions that requests may run in; empty for all.
  std::vector<RegionName> regions;

  // Whether a request of this route may safely run more than once.
  bool IsRepeatable() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStream && is_resumable);
  }
};

// Properties of the inference engine that the endpoints of a pool run.
struct EngineSpec {
  ModelName model;
  // Maximum number of concurrent requests.
  uint32_t slots = 0;
  uint32_t chunks = 0;
  Bytes chunk_bytes;
  // Prefill rate in prompt tokens per second.
  double prefill_tokens_per_s = 0;
  // Duration of one decode step, and its increase per running request and per 1,000 tokens of context.
  Duration step{};
  Duration step_per_request{};
  Duration step_per_context{};
  // Mean prompt and output length in tokens.
  double mean_prompt_tokens = 0;
  double mean_output_tokens = 0;
};

// Properties shared by the endpoints of a pool.
struct PoolSpec {
  PoolName name;
  // Requests per second that a cold endpoint can handle; 0 if the pool has no cold start.
  double cold_requests_per_s = 0;
  uint32_t max_connections = 0;
  std::optional<EngineSpec> engine;
};

// Origin server from which weights are downloaded.
struct OriginSpec {
  HttpTarget target;
  ZoneName zone;
  BytesPerSecond rate;
};

// A workspace and the API keys of its callers.
struct WorkspaceKeys {
  WorkspaceName name;
  std::vector<std::string> keys;
  // Overrides the priority of routes.
  std::optional<uint32_t> priority;
  // Regions that its requests may run in; empty for all.
  std::vector<RegionName> regions;
};

// Size limits and timeouts for a caller's connection.
struct CallerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

// The operators' configuration for forwarding. Immutable.
struct RoutingDocument {
  ConfigVersion version;
  std::vector<RouteRule> routes;
  std::vector<PoolSpec> pools;
  std::vector<WorkspaceKeys> workspaces;
  // Whether callers need API keys.
  bool has_workspaces = false;
  CallerLimits limits;
  std::optional<OriginSpec> origin;
};

// One endpoint as the platform's directory lists it.
struct EndpointInfo {
  EndpointId id;
  PoolName pool;
  HttpTarget target;
  ZoneName zone;
  RegionName region;
  uint32_t slots = 0;
  bool is_leaving = false;
  // Start time of the endpoint, if reported; distinguishes two instances with the same id.
  Incarnation incarnation;
  // End of its cold start; in the past if it is warm.
  TimePoint cold_until;
  // Weight versions that it has loaded completely.
  std::map<ModelName, WeightVersion> loaded;

  bool operator==(const EndpointInfo&) const = default;
};

// A weight version that operators want on all endpoints.
struct WantedWeights {
  ModelName model;
  WeightVersion version;
  // Latest time at which operators may have requested it: when the first process of those that are known received the
  // request.
  TimePoint since;
  // False if this process may have received the request late and no peer has told its age. `since` is then the earliest
  // possible time.
  bool is_since_known = true;
};

// Time since a process of the fleet received the request for a weight version. An age needs no common clock.
struct WantedAge {
  ModelName model;
  WeightVersion version;
  Duration age{};

  bool operator==(const WantedAge&) const = default;
};

// Maximum number of ages that a process sends.
inline constexpr size_t kMaxWantedAges = 8;

// Snapshot of the fleet state. Immutable.
struct FleetView {
  // Null until a configuration has been received.
  std::shared_ptr<const RoutingDocument> routing;
  std::vector<EndpointInfo> endpoints;
  // Zones that operators have taken out of service.
  std::set<ZoneName> zones_out;
  // Weight versions requested by operators, oldest first.
  std::vector<WantedWeights> wanted;
  // Whether the last call to the platform's store succeeded.
  bool is_store_reachable = false;
};

// Provides the current fleet state.
class FleetSource {
 public:
  virtual ~FleetSource() = default;

  // Returns the latest view; never null. Thread-safe.
  virtual std::shared_ptr<const FleetView> GetFleet() const = 0;

  // Calls `listener` on the control thread after each change. Register before Start.
  virtual void AddFleetListener(std::function<void(const std::shared_ptr<const FleetView>&)> listener) = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_FLEET_TYPE_H_

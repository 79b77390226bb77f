// The fleet as an entry needs it to forward requests: routes, pools, workspaces, endpoints and what operators ask for.

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

// Id of one run of an endpoint in the platform's directory; a restarted endpoint mostly has a new one.
using EndpointId = StrongString<struct EndpointIdTag>;
// Number of a version of a model's weights; versions only grow.
using WeightVersion = StrongNumber<struct WeightVersionTag, uint64_t>;

// What may be done with a request whose first attempt failed.
enum class RequestKind {
  // May run any number of times.
  kIdempotent,
  // Must run at most once.
  kOnce,
  // Answered by a series of events.
  kStream,
};

// One pool that a route sends to, and its share of the route's requests.
struct RouteTarget {
  PoolName pool;
  double weight = 1;
};

// Where requests go whose host and path match, and under which conditions.
struct RouteRule {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kOnce;
  // Time after which a request must have its final answer.
  Duration timeout{};
  // Time within which the answer, or the first event of a stream, is useful in full.
  Duration goal{};
  // Longest useful pause between two events of a stream; 0 if not given.
  Duration max_pause{};
  // Endpoints that may run one request.
  uint32_t attempts = 1;
  // 0 is the most urgent.
  uint32_t priority = 0;
  std::vector<RouteTarget> targets;
  // Whether requests need no key.
  bool is_public = false;
  // Whether a stream may go on at another endpoint after its last whole event.
  bool is_resumable = false;
  // Regions that requests may run in; empty for all.
  std::vector<RegionName> regions;

  // Whether running a request of this route twice is harmless.
  bool IsRepeatable() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStream && is_resumable);
  }
};

// The engine that the endpoints of a pool run.
struct EngineSpec {
  ModelName model;
  // Requests that run at once.
  uint32_t slots = 0;
  uint32_t chunks = 0;
  Bytes chunk_bytes;
  // Prompt tokens that an engine reads in a second.
  double read_per_s = 0;
  // Time of one token step, and what each running request and each 1,000 tokens of context add to it.
  Duration step{};
  Duration step_per_request{};
  Duration step_per_context{};
  // Mean tokens of prompts and answers.
  double usual_prompt = 0;
  double usual_answer = 0;
};

// What the endpoints of one pool have in common.
struct PoolSpec {
  PoolName name;
  // Requests in a second that a cold endpoint bears; 0 if the pool has no cold start.
  double cold_per_s = 0;
  uint32_t max_connections = 0;
  std::optional<EngineSpec> engine;
};

// The origin of weights.
struct OriginSpec {
  HttpTarget target;
  ZoneName zone;
  BytesPerSecond rate;
};

// A workspace and the keys that its callers send.
struct WorkspaceKeys {
  WorkspaceName name;
  std::vector<std::string> keys;
  // Goes before the priority of routes.
  std::optional<uint32_t> priority;
  // Regions that its requests may run in; empty for all.
  std::vector<RegionName> regions;
};

// What a caller may send on one connection, and how slowly.
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
  // Whether callers need keys at all.
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
  // When the endpoint started, if it says so; tells two runs under one id apart.
  Incarnation incarnation;
  // Until when it is cold; a past time if it is warm.
  TimePoint cold_until;
  // Whole versions that it has loaded.
  std::map<ModelName, WeightVersion> loaded;
};

// A version of weights that operators want everywhere.
struct WantedWeights {
  ModelName model;
  WeightVersion version;
  // When this process first knew of it.
  TimePoint since;
};

// Everything that is known at one moment. Immutable.
struct FleetView {
  // Null until a configuration is known.
  std::shared_ptr<const RoutingDocument> routing;
  std::vector<EndpointInfo> endpoints;
  // Zones that operators have taken out of service.
  std::set<ZoneName> zones_out;
  // Versions that operators have named, oldest first.
  std::vector<WantedWeights> wanted;
  // Whether the platform's store answered the last call.
  bool is_store_reachable = false;
};

// Gives access to the fleet's state.
class FleetSource {
 public:
  virtual ~FleetSource() = default;

  // Returns the latest view; never null. Safe from any thread.
  virtual std::shared_ptr<const FleetView> GetFleet() const = 0;

  // Calls `listener` on the control thread after each change. Register before Start.
  virtual void AddFleetListener(std::function<void(const std::shared_ptr<const FleetView>&)> listener) = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_FLEET_TYPE_H_

// The operators' document as typed data. docs/CONFIGURATION.md describes the YAML form.

#ifndef PLANTAIN_DOCUMENT_TYPE_H_
#define PLANTAIN_DOCUMENT_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core_type.h"

namespace plantain {

// One set of weights: a version of a model or of an adapter.
struct WeightsVersion {
  VersionName name;
  // SHA-256 of the manifest.
  Digest manifest;
  Bytes size;
};

struct AdapterSpec {
  AdapterName name;
  std::vector<WeightsVersion> versions;
};

struct ModelSpec {
  ModelName name;
  std::vector<WeightsVersion> versions;
  std::vector<AdapterSpec> adapters;
};

struct ZoneSpec {
  ZoneName name;
  RegionName region;
  // False when operators have taken the zone out of service.
  bool is_in_service = true;
};

struct PlacedAdapter {
  AdapterName name;
  VersionName version;
};

// All endpoint VMs of one pool hold one version of one model with these adapters.
struct PlacementSpec {
  PoolName pool;
  ModelName model;
  VersionName version;
  std::vector<PlacedAdapter> adapters;
};

struct ServiceCallSpec {
  std::string name;
  // False for calls that must run at most once and therefore need an idempotency key.
  bool is_repeatable = false;
};

struct ServiceSpec {
  ServiceName name;
  PoolName pool;
  std::vector<ServiceCallSpec> calls;
};

// Limits of one workspace over all entries.
struct WorkspaceSpec {
  WorkspaceName name;
  // Share of capacity under overload, relative to other workspaces.
  double weight = 1;
  double requests_per_s = 0;
  uint32_t concurrency = 0;
  double tokens_per_s = 0;
};

enum class RolloutPriority { kRoutine, kUrgent };

struct RolloutSpec {
  // Share of a pool's VMs in each zone that must keep serving during a rollout, from 0 to 1.
  double floor = 0.5;
  // Share of a pool's VMs in each zone that may swap at once, from 0 to 1.
  double wave = 0.34;
  // Share of failed requests above which a rollout pauses, from 0 to 1.
  double pause_error_share = 0.05;
  RolloutPriority priority = RolloutPriority::kRoutine;
};

// Service-level objectives and the relative weights of the measures.
struct ObjectiveSpec {
  // Share of requests that get a complete response, from 0 to 1.
  double availability = 0.999;
  double first_token_ms = 420;
  double token_gap_ms = 77;
  // Share of responses within the two times above.
  double latency_share = 0.95;
  double replicas_s = 300;
  double zone_change_s = 3;
  double replicas_weight = 1;
  double origin_weight = 1;
  double zone_weight = 1;
};

struct Document {
  int schema = 1;
  std::string deployment;
  // Whether operators may take the last zone out of service, which stops all service.
  bool allow_all_zones_out = false;
  // Zone in which the platform's weight store and log run.
  ZoneName origin_zone;
  std::vector<ZoneSpec> zones;
  std::vector<ModelSpec> models;
  std::vector<PlacementSpec> placements;
  std::vector<ServiceSpec> services;
  std::vector<WorkspaceSpec> workspaces;
  RolloutSpec rollout;
  ObjectiveSpec objectives;
};

}  // namespace plantain

#endif  // PLANTAIN_DOCUMENT_TYPE_H_

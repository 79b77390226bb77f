// Immutable table of the endpoints that can serve each route key, built from the document and the member view.

#ifndef PLANTAIN_ROUTE_TABLE_H_
#define PLANTAIN_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config_type.h"
#include "entry_type.h"
#include "member_type.h"

namespace plantain {

// Distance of a zone from the entry's own zone.
enum class ZoneDistance { kOwnZone, kOwnRegion, kOtherRegion };

// One VM that can receive requests. The limit and the load are in requests.
struct RouteVm {
  VmId vm;
  ZoneName zone;
  ZoneDistance distance = ZoneDistance::kOwnZone;
  IpAddress address;
  Incarnation incarnation;
  uint32_t limit = 0;
  uint32_t in_flight = 0;
  bool is_cold = false;
  // Age of the heartbeat that reported the load.
  Duration silence{};
  // Hash of the VM id, for rendezvous hashing.
  uint64_t hash = 0;
};

// One endpoint VM that is not dead, whether or not it accepts requests.
struct EndpointContact {
  IpAddress address;
  Incarnation incarnation;
  bool is_suspect = false;
};

// Endpoints whose state has changed in a way that concerns the attempts in progress there.
struct EndpointChanges {
  // Removed, or listed at another address.
  std::vector<VmId> unreachable;
  // A new process runs, which knows nothing of earlier attempts.
  std::vector<VmId> restarted;
  // No heartbeats have come for some time.
  std::vector<VmId> suspect;
};

// Compares two tables of endpoints. An endpoint is in one list at most, the first that applies.
EndpointChanges FindEndpointChanges(const std::map<VmId, EndpointContact>& before,
                                    const std::map<VmId, EndpointContact>& after);

// One VM as a candidate for one route key.
struct RouteCandidate {
  // Index into RouteTable::GetVms.
  size_t vm_index = 0;
  // Manifest of the weights that the endpoint's engine has confirmed; empty for plain services.
  Digest manifest;
};

// Candidates for one key, ordered by zone distance.
using RouteCandidates = std::vector<RouteCandidate>;

// Immutable and thread-safe.
class RouteTable {
 public:
  // Builds the table for an entry in zone `own_zone`.
  RouteTable(std::shared_ptr<const ConfigView> config, const MemberView& members, const ZoneName& own_zone);

  // Returns the candidates for a key; empty if no endpoint serves it.
  const RouteCandidates& FindCandidates(const RouteKey& key) const;

  // Returns the total number of candidates over all keys.
  size_t GetCandidateCount() const;

  // Returns whether the document defines this model with this adapter, or this service.
  bool IsKnown(const RouteKey& key) const;

  // Returns the call of a service, or null if the document does not define it.
  const ServiceCallSpec* FindCall(const ServiceName& service, const std::string& call) const;

  const std::vector<RouteVm>& GetVms() const { return m_vms; }

  // Returns all endpoints that are not dead. Channels to them are kept open.
  const std::map<VmId, EndpointContact>& GetEndpoints() const { return m_endpoints; }

  // Returns the number of live entries, including this one; at least 1.
  size_t GetEntryCount() const { return m_entry_count; }

  const ConfigView& GetConfig() const { return *m_config; }

 private:
  struct ZoneInfo {
    RegionName region;
    bool is_in_service = false;
  };

  void AddKnownKeys();
  void AddMember(const MemberInfo& member, const ZoneName& own_zone);
  void AddEndpoint(const MemberInfo& member, ZoneDistance distance);
  void AddCandidate(const RouteKey& key, size_t vm_index, const Digest& manifest);
  void SortCandidates();
  bool IsPlaced(const PoolName& pool, const ModelName& model, const AdapterName& adapter) const;
  ZoneDistance GetDistance(const ZoneName& zone, const ZoneName& own_zone) const;

  std::shared_ptr<const ConfigView> m_config;
  std::map<ZoneName, ZoneInfo> m_zones;
  std::map<RouteKey, RouteCandidates> m_candidates;
  std::map<ServiceName, const ServiceSpec*> m_services;
  std::vector<RouteVm> m_vms;
  std::map<VmId, EndpointContact> m_endpoints;
  size_t m_entry_count = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_ROUTE_TABLE_H_

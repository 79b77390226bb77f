// Changes in weights and zones that publishing a document would cause.

#ifndef PLANTAIN_CTL_PLAN_H_
#define PLANTAIN_CTL_PLAN_H_

#include <string>
#include <vector>

#include "ctl_type.h"
#include "document_type.h"

namespace plantain {

// Link rates for the time estimate: of a VM's own link and of the link shared between regions.
struct LinkRates {
  BytesPerSecond link;
  BytesPerSecond cross_zone;
};

// Weights that the VMs of a pool would have to fetch.
struct WeightTransfer {
  PoolName pool;
  ModelName model;
  AdapterName adapter;
  VersionName version;
  size_t vms = 0;
  // Zones other than the origin's zone that need a copy over the shared link.
  size_t remote_zones = 0;
  Bytes size;
};

struct ZoneChange {
  ZoneName zone;
  bool is_in_service = false;
};

struct PublishPlan {
  std::vector<WeightTransfer> transfers;
  std::vector<ZoneChange> zones;
  // Bytes received by all VMs, fetched from the origin, and sent between zones.
  Bytes total;
  Bytes origin;
  Bytes cross_zone;
  // Lower bound: the longer of the transfer times over one VM's link and over the shared link.
  Duration estimate{};
};

// Returns the changes between two documents for the listed VMs.
PublishPlan MakePlan(const Document& current, const Document& next, const std::vector<VmListRow>& vms,
                     const LinkRates& rates);

std::string FormatPlanText(const PublishPlan& plan, ConfigVersion base);
std::string FormatPlanJson(const PublishPlan& plan, ConfigVersion base);

}  // namespace plantain

#endif  // PLANTAIN_CTL_PLAN_H_

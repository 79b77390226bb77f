#include "ctl_plan.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "document_func.h"

namespace plantain {
namespace {

std::set<PoolName> GetPools(const Document& document) {
  std::set<PoolName> pools;
  for (const PlacementSpec& placement : document.placements) pools.insert(placement.pool);
  return pools;
}

WeightTransfer MakeTransfer(const PoolName& pool, const Assignment& assignment, const Document& next,
                            const std::vector<VmListRow>& vms) {
  WeightTransfer transfer{pool, assignment.model, assignment.adapter, assignment.version, 0, 0, assignment.size};
  std::set<ZoneName> zones;
  for (const VmListRow& vm : vms) {
    if (vm.kind != MemberKind::kEndpoint || vm.pool != pool) continue;
    ++transfer.vms;
    zones.insert(vm.zone);
  }
  zones.erase(next.origin_zone);
  transfer.remote_zones = zones.size();
  return transfer;
}

Duration EstimateTime(const WeightTransfer& transfer, const LinkRates& rates) {
  const double bytes = static_cast<double>(transfer.size.Get());
  const double link_s = bytes / rates.link.Get();
  const double shared_s = bytes * static_cast<double>(transfer.remote_zones) / rates.cross_zone.Get();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::max(link_s, shared_s)));
}

std::string FormatMiB(Bytes bytes) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << static_cast<double>(bytes.Get()) / (1024 * 1024) << " MiB";
  return out.str();
}

std::string GetWeightsName(const WeightTransfer& transfer) {
  std::string name = transfer.model.Get();
  if (!transfer.adapter.IsEmpty()) name += "+" + transfer.adapter.Get();
  return name + " " + transfer.version.Get();
}

}  // namespace

PublishPlan MakePlan(const Document& current, const Document& next, const std::vector<VmListRow>& vms,
                     const LinkRates& rates) {
  PublishPlan plan;
  for (const PoolName& pool : GetPools(next)) {
    const std::vector<Assignment> before = GetAssignments(current, pool);
    for (const Assignment& assignment : GetAssignments(next, pool)) {
      const auto has_same_manifest = [&](const Assignment& existing) {
        return existing.manifest == assignment.manifest;
      };
      if (std::any_of(before.begin(), before.end(), has_same_manifest)) continue;
      const WeightTransfer transfer = MakeTransfer(pool, assignment, next, vms);
      plan.total += Bytes(transfer.size.Get() * transfer.vms);
      plan.cross_zone += Bytes(transfer.size.Get() * transfer.remote_zones);
      if (transfer.vms > 0) plan.origin += transfer.size;
      plan.estimate += EstimateTime(transfer, rates);
      plan.transfers.push_back(transfer);
    }
  }
  for (const ZoneSpec& zone : next.zones) {
    const ZoneSpec* before = FindZone(current, zone.name);
    if (before != nullptr && before->is_in_service == zone.is_in_service) continue;
    plan.zones.push_back({zone.name, zone.is_in_service});
  }
  return plan;
}

std::string FormatPlanText(const PublishPlan& plan, ConfigVersion base) {
  std::ostringstream out;
  out << "against version " << base << ":\n";
  for (const ZoneChange& change : plan.zones) {
    out << "  zone " << change.zone << " " << (change.is_in_service ? "in service" : "out of service") << "\n";
  }
  for (const WeightTransfer& transfer : plan.transfers) {
    out << "  " << GetWeightsName(transfer) << " to " << transfer.vms << " VMs of pool " << transfer.pool << ", "
        << FormatMiB(transfer.size) << " each\n";
  }
  if (plan.transfers.empty() && plan.zones.empty()) out << "  no weights move and no zone changes\n";
  const double seconds = std::chrono::duration<double>(plan.estimate).count();
  out << "bytes: " << FormatMiB(plan.total) << " to VMs, " << FormatMiB(plan.origin) << " from the origin, "
      << FormatMiB(plan.cross_zone) << " between zones; at least " << std::fixed << std::setprecision(1) << seconds
      << " s at these link rates\n";
  return out.str();
}

std::string FormatPlanJson(const PublishPlan& plan, ConfigVersion base) {
  using nlohmann::json;
  json transfers = json::array();
  for (const WeightTransfer& transfer : plan.transfers) {
    transfers.push_back({{"pool", transfer.pool.Get()},
                         {"model", transfer.model.Get()},
                         {"adapter", transfer.adapter.Get()},
                         {"version", transfer.version.Get()},
                         {"vms", transfer.vms},
                         {"bytes", transfer.size.Get()}});
  }
  json zones = json::array();
  for (const ZoneChange& change : plan.zones) {
    zones.push_back({{"zone", change.zone.Get()}, {"in_service", change.is_in_service}});
  }
  return json{{"base_version", base.Get()},
              {"moves", transfers},
              {"zones", zones},
              {"bytes_total", plan.total.Get()},
              {"bytes_origin", plan.origin.Get()},
              {"bytes_shared", plan.cross_zone.Get()},
              {"estimate_s", std::chrono::duration<double>(plan.estimate).count()}}
             .dump(1) +
         "\n";
}

}  // namespace plantain

#include "document_func.h"

namespace plantain {
namespace {

template <typename Item, typename Name>
const Item* FindByName(const std::vector<Item>& items, const Name& name) {
  for (const Item& item : items) {
    if (item.name == name) return &item;
  }
  return nullptr;
}

bool HasAdapter(const PlacementSpec& placement, const AdapterName& adapter) {
  return adapter.IsEmpty() || FindByName(placement.adapters, adapter) != nullptr;
}

void AddAssignment(const ModelName& model, const AdapterName& adapter, const std::vector<WeightsVersion>& versions,
                   const VersionName& name, std::vector<Assignment>& out) {
  const WeightsVersion* version = FindByName(versions, name);
  if (version != nullptr) out.push_back({model, adapter, name, version->manifest, version->size});
}

}  // namespace

std::vector<Assignment> GetAssignments(const Document& document, const PoolName& pool) {
  std::vector<Assignment> out;
  for (const PlacementSpec& placement : document.placements) {
    if (placement.pool != pool) continue;
    const ModelSpec* model = FindByName(document.models, placement.model);
    if (model == nullptr) continue;
    AddAssignment(model->name, AdapterName(), model->versions, placement.version, out);
    for (const PlacedAdapter& placed : placement.adapters) {
      const AdapterSpec* adapter = FindByName(model->adapters, placed.name);
      if (adapter != nullptr) AddAssignment(model->name, placed.name, adapter->versions, placed.version, out);
    }
  }
  return out;
}

const ZoneSpec* FindZone(const Document& document, const ZoneName& zone) { return FindByName(document.zones, zone); }

bool IsZoneInService(const Document& document, const ZoneName& zone) {
  const ZoneSpec* spec = FindZone(document, zone);
  return spec != nullptr && spec->is_in_service;
}

const WorkspaceSpec* FindWorkspace(const Document& document, const WorkspaceName& workspace) {
  return FindByName(document.workspaces, workspace);
}

const ServiceSpec* FindService(const Document& document, const ServiceName& service) {
  return FindByName(document.services, service);
}

const ServiceCallSpec* FindCall(const ServiceSpec& service, std::string_view call) {
  return FindByName(service.calls, call);
}

const PlacementSpec* FindPlacement(const Document& document, const ModelName& model, const AdapterName& adapter) {
  for (const PlacementSpec& placement : document.placements) {
    if (placement.model == model && HasAdapter(placement, adapter)) return &placement;
  }
  return nullptr;
}

}  // namespace plantain

#include <set>

#include "document_func.h"
#include "document_line.h"

namespace plantain {
namespace {

std::string GetItemPath(const std::string& list, size_t index, const std::string& field = "") {
  const std::string path = list + "[" + std::to_string(index) + "]";
  return field.empty() ? path : path + "." + field;
}

// Checks one document. Skips empty names, which the parser has already reported.
class DocumentChecker {
 public:
  DocumentChecker(const Document& document, const DocumentLines& lines, DocumentFaults& faults)
      : m_document(document), m_lines(lines), m_faults(faults) {}

  void Check() {
    CheckZones();
    CheckModels();
    CheckPlacements();
    CheckServices();
    CheckUnique("workspaces", "name", m_document.workspaces, [](const WorkspaceSpec& w) { return w.name.Get(); });
  }

 private:
  void AddFault(const std::string& field, const std::string& expected) {
    const auto found = m_lines.find(field);
    m_faults.Add(FailureCode::kDocumentImpossible, found == m_lines.end() ? 0 : found->second, field, expected);
  }

  // Reports entries of a list whose name is a duplicate of an earlier one.
  template <typename Item, typename GetName>
  void CheckUnique(const std::string& list, const std::string& field, const std::vector<Item>& items,
                   const GetName& get_name) {
    std::set<std::string> seen;
    for (size_t i = 0; i < items.size(); ++i) {
      const std::string name = get_name(items[i]);
      if (name.empty() || seen.insert(name).second) continue;
      AddFault(GetItemPath(list, i, field), "a name that no earlier entry has, not " + name);
    }
  }

  void CheckZones() {
    const auto& zones = m_document.zones;
    CheckUnique("zones", "name", zones, [](const ZoneSpec& zone) { return zone.name.Get(); });
    if (!m_document.origin_zone.IsEmpty() && FindZone(m_document, m_document.origin_zone) == nullptr) {
      AddFault("origin.zone", "a zone of the document, not " + m_document.origin_zone.Get());
    }
    if (zones.empty()) {
      if (m_lines.count("zones") != 0 || m_lines.empty()) AddFault("zones", "at least one zone");
      return;
    }
    for (const ZoneSpec& zone : zones) {
      if (zone.is_in_service) return;
    }
    if (m_document.allow_all_zones_out) return;
    AddFault("zones", "at least one zone in service, or allow_all_zones_out: true");
  }

  void CheckVersions(const std::string& path, const std::vector<WeightsVersion>& versions) {
    CheckUnique(path, "name", versions, [](const WeightsVersion& version) { return version.name.Get(); });
    if (versions.empty() && (m_lines.count(path) != 0 || m_lines.empty())) AddFault(path, "at least one version");
  }

  void CheckModels() {
    const auto& models = m_document.models;
    CheckUnique("models", "name", models, [](const ModelSpec& model) { return model.name.Get(); });
    for (size_t i = 0; i < models.size(); ++i) {
      CheckVersions(GetItemPath("models", i, "versions"), models[i].versions);
      const std::string adapters = GetItemPath("models", i, "adapters");
      CheckUnique(adapters, "name", models[i].adapters, [](const AdapterSpec& adapter) { return adapter.name.Get(); });
      for (size_t j = 0; j < models[i].adapters.size(); ++j) {
        CheckVersions(GetItemPath(adapters, j, "versions"), models[i].adapters[j].versions);
      }
    }
  }

  const ModelSpec* FindModel(const ModelName& name) const {
    for (const ModelSpec& model : m_document.models) {
      if (model.name == name) return &model;
    }
    return nullptr;
  }

  static bool HasVersion(const std::vector<WeightsVersion>& versions, const VersionName& name) {
    for (const WeightsVersion& version : versions) {
      if (version.name == name) return true;
    }
    return false;
  }

  void CheckPlacements() {
    const auto& placements = m_document.placements;
    CheckUnique("placements", "pool", placements, [](const PlacementSpec& item) { return item.pool.Get(); });
    for (size_t i = 0; i < placements.size(); ++i) CheckPlacement(i, placements[i]);
  }

  void CheckPlacement(size_t index, const PlacementSpec& placement) {
    const ModelSpec* model = FindModel(placement.model);
    if (model == nullptr) {
      if (placement.model.IsEmpty()) return;
      AddFault(GetItemPath("placements", index, "model"), "a model of the document, not " + placement.model.Get());
      return;
    }
    if (!placement.version.IsEmpty() && !HasVersion(model->versions, placement.version)) {
      AddFault(GetItemPath("placements", index, "version"),
               "a version of model " + model->name.Get() + ", not " + placement.version.Get());
    }
    const std::string path = GetItemPath("placements", index, "adapters");
    CheckUnique(path, "name", placement.adapters, [](const PlacedAdapter& adapter) { return adapter.name.Get(); });
    for (size_t i = 0; i < placement.adapters.size(); ++i) {
      CheckPlacedAdapter(GetItemPath(path, i), *model, placement.adapters[i]);
    }
  }

  void CheckPlacedAdapter(const std::string& path, const ModelSpec& model, const PlacedAdapter& placed) {
    if (placed.name.IsEmpty()) return;
    for (const AdapterSpec& adapter : model.adapters) {
      if (adapter.name != placed.name) continue;
      if (!placed.version.IsEmpty() && !HasVersion(adapter.versions, placed.version)) {
        AddFault(path + ".version", "a version of adapter " + placed.name.Get() + ", not " + placed.version.Get());
      }
      return;
    }
    AddFault(path + ".name", "an adapter of model " + model.name.Get() + ", not " + placed.name.Get());
  }

  void CheckServices() {
    const auto& services = m_document.services;
    CheckUnique("services", "name", services, [](const ServiceSpec& service) { return service.name.Get(); });
    std::set<PoolName> placed;
    for (const PlacementSpec& placement : m_document.placements) placed.insert(placement.pool);
    for (size_t i = 0; i < services.size(); ++i) {
      CheckUnique(GetItemPath("services", i, "calls"), "name", services[i].calls,
                  [](const ServiceCallSpec& call) { return call.name; });
      // A VM runs either an engine or a plain service.
      if (!services[i].pool.IsEmpty() && placed.count(services[i].pool) != 0) {
        AddFault(GetItemPath("services", i, "pool"), "a pool without a placement, not " + services[i].pool.Get());
      }
    }
  }

  const Document& m_document;
  const DocumentLines& m_lines;
  DocumentFaults& m_faults;
};

}  // namespace

void CheckDocumentFields(const Document& document, const DocumentLines& lines, DocumentFaults& faults) {
  DocumentChecker(document, lines, faults).Check();
}

absl::Status CheckDocument(std::string_view file, const Document& document) {
  DocumentFaults faults(file);
  CheckDocumentFields(document, DocumentLines(), faults);
  return faults.GetStatus();
}

}  // namespace plantain

#include "document_review.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace plantain {
namespace {

std::string GetItemPath(const std::string& list, size_t index, const std::string& field) {
  return list + "[" + std::to_string(index) + "]." + field;
}

class DocumentReviewer {
 public:
  DocumentReviewer(const Document& document, const DocumentLines& lines) : m_document(document), m_lines(lines) {}

  std::vector<DocumentFinding> Review() {
    ReviewModels();
    ReviewManifests();
    ReviewServices();
    ReviewWorkspaces();
    ReviewRollout();
    ReviewObjectives();
    std::stable_sort(m_findings.begin(), m_findings.end(),
                     [](const DocumentFinding& a, const DocumentFinding& b) { return a.line < b.line; });
    return std::move(m_findings);
  }

 private:
  // A field that is not stated is reported at the line of the nearest map or list around it.
  int FindLine(std::string field) const {
    for (;;) {
      if (const auto found = m_lines.find(field); found != m_lines.end()) return found->second;
      if (field.empty()) return 0;
      const size_t end = field.find_last_of(".[");
      field = end == std::string::npos ? "" : field.substr(0, end);
    }
  }

  void Add(FindingKind kind, const std::string& field, std::string text) {
    m_findings.push_back({kind, FindLine(field), field, std::move(text)});
  }

  void ReviewModels() {
    std::set<ModelName> models;
    std::set<std::pair<ModelName, AdapterName>> adapters;
    for (const PlacementSpec& placement : m_document.placements) {
      models.insert(placement.model);
      for (const PlacedAdapter& adapter : placement.adapters) adapters.emplace(placement.model, adapter.name);
    }
    for (size_t i = 0; i < m_document.models.size(); ++i) {
      const ModelSpec& model = m_document.models[i];
      if (models.count(model.name) == 0) {
        Add(FindingKind::kUnused, GetItemPath("models", i, "name"), "no placement holds model " + model.name.Get());
        continue;
      }
      for (size_t j = 0; j < model.adapters.size(); ++j) {
        const AdapterName& adapter = model.adapters[j].name;
        if (adapters.count({model.name, adapter}) != 0) continue;
        Add(FindingKind::kUnused, GetItemPath(GetItemPath("models", i, "adapters"), j, "name"),
            "no placement holds adapter " + adapter.Get());
      }
    }
  }

  void ReviewManifests() {
    for (size_t i = 0; i < m_document.models.size(); ++i) {
      const ModelSpec& model = m_document.models[i];
      ReviewVersions(GetItemPath("models", i, "versions"), model.versions);
      for (size_t j = 0; j < model.adapters.size(); ++j) {
        const std::string adapter = GetItemPath(GetItemPath("models", i, "adapters"), j, "versions");
        ReviewVersions(adapter, model.adapters[j].versions);
      }
    }
  }

  void ReviewVersions(const std::string& path, const std::vector<WeightsVersion>& versions) {
    std::map<Digest, VersionName> names;
    for (size_t i = 0; i < versions.size(); ++i) {
      const WeightsVersion& version = versions[i];
      const auto [earlier, is_first] = names.emplace(version.manifest, version.name);
      if (!is_first) {
        Add(FindingKind::kUnused, GetItemPath(path, i, "manifest"),
            "the weights of version " + earlier->second.Get() + "; changing to this version replaces nothing");
      }
      const auto [size, is_new] = m_sizes.emplace(version.manifest, version.size);
      if (is_new || size->second == version.size) continue;
      Add(FindingKind::kContradiction, GetItemPath(path, i, "bytes"),
          "the same manifest has " + std::to_string(size->second.Get()) + " bytes elsewhere");
    }
  }

  void ReviewServices() {
    std::map<PoolName, ServiceName> pools;
    for (size_t i = 0; i < m_document.services.size(); ++i) {
      const ServiceSpec& service = m_document.services[i];
      if (service.calls.empty()) {
        Add(FindingKind::kUnused, GetItemPath("services", i, "calls"),
            "callers can make no call to service " + service.name.Get());
      }
      const auto [earlier, is_first] = pools.emplace(service.pool, service.name);
      if (is_first) continue;
      Add(FindingKind::kContradiction, GetItemPath("services", i, "pool"),
          "service " + earlier->second.Get() + " has the same pool, and a VM runs one service");
    }
  }

  void ReviewWorkspaces() {
    if (m_document.workspaces.empty()) {
      Add(FindingKind::kContradiction, "workspaces", "there is no workspace, so that every request is refused");
    }
    for (size_t i = 0; i < m_document.workspaces.size(); ++i) {
      const WorkspaceSpec& workspace = m_document.workspaces[i];
      // A completion makes at least one token.
      if (m_document.models.empty() || workspace.tokens_per_s >= workspace.requests_per_s) continue;
      Add(FindingKind::kContradiction, GetItemPath("workspaces", i, "tokens_per_s"),
          "below requests_per_s, which completions can then never reach");
    }
  }

  void ReviewRollout() {
    const RolloutSpec& rollout = m_document.rollout;
    // Shares such as 0.66 and 0.34 are not exact in binary.
    constexpr double kRounding = 1e-9;
    if (rollout.floor >= 1) {
      Add(FindingKind::kContradiction, "rollout.floor",
          "the whole of a pool cannot keep serving while one of its VMs replaces weights");
    } else if (rollout.floor + rollout.wave > 1 + kRounding) {
      Add(FindingKind::kContradiction, "rollout.wave",
          "floor and wave sum to more than 1, so that a wave never has this share");
    }
    if (rollout.pause_error_share >= 1) {
      Add(FindingKind::kContradiction, "rollout.pause_error_share",
          "no share of failures is above 1, so no rollout pauses");
    }
  }

  void ReviewShare(const std::string& field, double share) {
    if (share >= 1)
      Add(FindingKind::kContradiction, field, "1 leaves no error budget, so that each failure exceeds it");
    if (share <= 0) Add(FindingKind::kUnused, field, "an objective of 0 is always met");
  }

  void ReviewObjectives() {
    const ObjectiveSpec& objectives = m_document.objectives;
    ReviewShare("objectives.availability", objectives.availability);
    ReviewShare("objectives.latency_share", objectives.latency_share);
    if (objectives.replicas_weight <= 0 && objectives.origin_weight <= 0 && objectives.zone_weight <= 0) {
      Add(FindingKind::kContradiction, "objectives.zone_weight", "all three weights are 0, so that no measure counts");
    }
  }

  const Document& m_document;
  const DocumentLines& m_lines;
  // Sizes that the document states for each manifest.
  std::map<Digest, Bytes> m_sizes;
  std::vector<DocumentFinding> m_findings;
};

// Returns the name of a list's entry, or its index if it has none.
std::string GetEntryName(const YamlNode& entry, size_t index) {
  for (const char* key : {"name", "pool"}) {
    const auto found = std::find(entry.keys.begin(), entry.keys.end(), key);
    if (found != entry.keys.end()) return entry.items[static_cast<size_t>(found - entry.keys.begin())].scalar;
  }
  return std::to_string(index);
}

class TreeComparer {
 public:
  std::vector<DocumentDifference> Compare(const YamlNode& before, const YamlNode& after) {
    CompareNodes("", before, after);
    return std::move(m_differences);
  }

 private:
  using Children = std::map<std::string, const YamlNode*>;

  static Children GetChildren(const YamlNode& node, const std::string& path) {
    Children children;
    const bool is_map = node.kind == YamlNode::Kind::kMap;
    for (size_t i = 0; i < node.items.size(); ++i) {
      const YamlNode& item = node.items[i];
      const std::string prefix = path.empty() ? "" : path + ".";
      children.emplace(is_map ? prefix + node.keys[i] : path + "[" + GetEntryName(item, i) + "]", &item);
    }
    return children;
  }

  void CompareNodes(const std::string& path, const YamlNode& before, const YamlNode& after) {
    if (before.kind != after.kind || before.scalar != after.scalar) {
      m_differences.push_back({DifferenceKind::kChanged, after.line, path, before.scalar, after.scalar});
      return;
    }
    const Children old_children = GetChildren(before, path);
    const Children new_children = GetChildren(after, path);
    for (const auto& [name, child] : new_children) {
      const auto found = old_children.find(name);
      if (found != old_children.end()) {
        CompareNodes(name, *found->second, *child);
      } else {
        m_differences.push_back({DifferenceKind::kAdded, child->line, name, "", child->scalar});
      }
    }
    for (const auto& [name, child] : old_children) {
      if (new_children.count(name) != 0) continue;
      m_differences.push_back({DifferenceKind::kRemoved, child->line, name, child->scalar, ""});
    }
  }

  std::vector<DocumentDifference> m_differences;
};

}  // namespace

std::string_view GetFindingKindName(FindingKind kind) {
  switch (kind) {
    case FindingKind::kError:
      return "error";
    case FindingKind::kUnused:
      return "unused";
    case FindingKind::kContradiction:
      return "contradiction";
  }
  return "";
}

std::string_view GetDifferenceKindName(DifferenceKind kind) {
  switch (kind) {
    case DifferenceKind::kAdded:
      return "added";
    case DifferenceKind::kRemoved:
      return "removed";
    case DifferenceKind::kChanged:
      return "changed";
  }
  return "";
}

std::vector<DocumentFinding> ReviewDocument(const Document& document, const DocumentLines& lines) {
  return DocumentReviewer(document, lines).Review();
}

std::vector<DocumentDifference> CompareDocuments(const YamlNode& before, const YamlNode& after) {
  return TreeComparer().Compare(before, after);
}

}  // namespace plantain

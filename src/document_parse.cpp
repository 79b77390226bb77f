#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <set>

#include "document_func.h"
#include "document_line.h"
#include "manifest_func.h"
#include "yaml_tree.h"

namespace plantain {
namespace {

constexpr size_t kMaxNameLength = 64;
constexpr double kMaxRate = 1e9;
constexpr double kMaxMilliseconds = 3.6e6;
constexpr double kMaxSeconds = 86'400;
constexpr double kMaxWeight = 1e6;
constexpr uint64_t kMaxWeightsBytes = 1ull << 50;

// Maximum list lengths: ten times the fleet that the project is designed for, and small enough that their product stays
// below the limit on nodes.
constexpr size_t kMaxZones = 300;
constexpr size_t kMaxModels = 1'000;
constexpr size_t kMaxVersions = 100;
constexpr size_t kMaxAdapters = 1'000;
constexpr size_t kMaxPools = 1'000;
constexpr size_t kMaxCalls = 100;
constexpr size_t kMaxWorkspaces = 5'000;

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  const auto is_allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
           c == '.';
  };
  return std::all_of(text.begin(), text.end(), is_allowed);
}

template <typename Number>
std::optional<Number> ParseNumber(const std::string& text) {
  Number value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  return value;
}

std::string FormatNumber(double value) {
  char text[32];
  const auto [end, error] = std::to_chars(text, text + sizeof(text), value);
  return std::string(text, error == std::errc() ? end : text);
}

// Output of the parser besides the document.
struct ParseOutput {
  DocumentFaults& faults;
  DocumentLines& lines;
};

// Reads the fields of one map and reports missing, invalid and unknown ones.
class MapReader {
 public:
  MapReader(const YamlNode& node, std::string path, ParseOutput output)
      : m_node(node), m_path(std::move(path)), m_output(output) {
    m_output.lines[m_path] = node.line;
    if (node.kind != YamlNode::Kind::kMap) {
      AddFault(node.line, m_path.empty() ? "document" : m_path, "a map");
      return;
    }
    std::set<std::string_view> seen;
    for (size_t i = 0; i < node.items.size(); ++i) {
      if (!seen.insert(node.keys[i]).second) {
        AddFault(node.items[i].line, GetPath(node.keys[i]), "each field once");
      }
    }
  }

  // Returns the field's node, or null. Reports a fault if a required field is missing.
  const YamlNode* FindField(const std::string& name, bool is_required) {
    m_known_fields.insert(name);
    if (m_node.kind != YamlNode::Kind::kMap) return nullptr;
    const auto found = std::find(m_node.keys.begin(), m_node.keys.end(), name);
    if (found == m_node.keys.end()) {
      if (is_required) AddFault(m_node.line, GetPath(name), "a value; the field is required");
      return nullptr;
    }
    const YamlNode& node = m_node.items[static_cast<size_t>(found - m_node.keys.begin())];
    m_output.lines[GetPath(name)] = node.line;
    return &node;
  }

  std::string ReadName(const std::string& name, bool is_required = true) {
    const YamlNode* node = FindField(name, is_required);
    if (node == nullptr) return "";
    if (node->kind == YamlNode::Kind::kScalar && IsName(node->scalar)) return node->scalar;
    AddFault(node->line, GetPath(name), "a name of 1 to 64 letters, digits, dots, underscores and hyphens");
    return "";
  }

  // Returns the index of the scalar among the words, or `fallback`.
  size_t ReadEnum(const std::string& name, const std::vector<std::string>& words, size_t fallback,
                  bool is_required = false) {
    const YamlNode* node = FindField(name, is_required);
    if (node == nullptr) return fallback;
    const auto found = std::find(words.begin(), words.end(), node->scalar);
    if (node->kind == YamlNode::Kind::kScalar && found != words.end()) {
      return static_cast<size_t>(found - words.begin());
    }
    std::string expected;
    for (const std::string& word : words) expected += (expected.empty() ? "" : " or ") + word;
    AddFault(node->line, GetPath(name), expected);
    return fallback;
  }

  bool ReadFlag(const std::string& name, bool fallback, bool is_required = false) {
    return ReadEnum(name, {"false", "true"}, fallback ? 1 : 0, is_required) == 1;
  }

  double ReadNumber(const std::string& name, double min, double max, double fallback, bool is_required = false) {
    const YamlNode* node = FindField(name, is_required);
    if (node == nullptr) return fallback;
    const std::optional<double> value = IsNumeric(*node) ? ParseNumber<double>(node->scalar) : std::nullopt;
    if (value.has_value() && std::isfinite(*value) && *value >= min && *value <= max) return *value;
    AddFault(node->line, GetPath(name), "a number from " + FormatNumber(min) + " to " + FormatNumber(max));
    return fallback;
  }

  uint64_t ReadInteger(const std::string& name, uint64_t min, uint64_t max, uint64_t fallback, bool is_required) {
    const YamlNode* node = FindField(name, is_required);
    if (node == nullptr) return fallback;
    const std::optional<uint64_t> value = IsNumeric(*node) ? ParseNumber<uint64_t>(node->scalar) : std::nullopt;
    if (value.has_value() && *value >= min && *value <= max) return *value;
    AddFault(node->line, GetPath(name), "an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback;
  }

  Digest ReadDigest(const std::string& name) {
    const YamlNode* node = FindField(name, true);
    if (node == nullptr) return Digest();
    const std::optional<Digest> digest = ParseDigest(node->kind == YamlNode::Kind::kScalar ? node->scalar : "");
    if (digest.has_value()) return *digest;
    AddFault(node->line, GetPath(name), "a SHA-256 digest of 64 lower-case hex digits");
    return Digest();
  }

  // Reads each entry of a list of maps with `read(MapReader&)`.
  template <typename Item, typename Read>
  std::vector<Item> ReadList(const std::string& name, size_t max_items, bool is_required, const Read& read) {
    std::vector<Item> out;
    const YamlNode* node = FindField(name, is_required);
    if (node == nullptr) return out;
    if (node->kind != YamlNode::Kind::kList) {
      AddFault(node->line, GetPath(name), "a list");
      return out;
    }
    if (node->items.size() > max_items) {
      AddFault(node->line, GetPath(name), "at most " + std::to_string(max_items) + " entries");
      return out;
    }
    for (size_t i = 0; i < node->items.size(); ++i) {
      MapReader entry(node->items[i], GetPath(name) + "[" + std::to_string(i) + "]", m_output);
      out.push_back(read(entry));
      entry.ReportUnknownFields();
    }
    return out;
  }

  // Reads a nested map with `read(MapReader&)`.
  template <typename Read>
  void ReadMap(const std::string& name, bool is_required, const Read& read) {
    const YamlNode* node = FindField(name, is_required);
    if (node == nullptr) return;
    MapReader entry(*node, GetPath(name), m_output);
    read(entry);
    entry.ReportUnknownFields();
  }

  // Reports fields that were not read.
  void ReportUnknownFields() {
    for (size_t i = 0; i < m_node.keys.size(); ++i) {
      if (m_known_fields.count(m_node.keys[i]) != 0) continue;
      AddFault(m_node.items[i].line, GetPath(m_node.keys[i]), "a known field");
    }
  }

 private:
  static bool IsNumeric(const YamlNode& node) { return node.kind == YamlNode::Kind::kScalar && node.is_plain; }

  std::string GetPath(const std::string& name) const { return m_path.empty() ? name : m_path + "." + name; }

  void AddFault(int line, std::string_view field, std::string_view expected) {
    m_output.faults.Add(FailureCode::kDocumentField, line, field, expected);
  }

  const YamlNode& m_node;
  std::string m_path;
  ParseOutput m_output;
  std::set<std::string> m_known_fields;
};

WeightsVersion ReadVersion(MapReader& map) {
  WeightsVersion version;
  version.name = VersionName(map.ReadName("name"));
  version.manifest = map.ReadDigest("manifest");
  version.size = Bytes(map.ReadInteger("bytes", 1, kMaxWeightsBytes, 0, true));
  return version;
}

AdapterSpec ReadAdapter(MapReader& map) {
  AdapterSpec adapter;
  adapter.name = AdapterName(map.ReadName("name"));
  adapter.versions = map.ReadList<WeightsVersion>("versions", kMaxVersions, true, ReadVersion);
  return adapter;
}

ModelSpec ReadModel(MapReader& map) {
  ModelSpec model;
  model.name = ModelName(map.ReadName("name"));
  model.versions = map.ReadList<WeightsVersion>("versions", kMaxVersions, true, ReadVersion);
  model.adapters = map.ReadList<AdapterSpec>("adapters", kMaxAdapters, false, ReadAdapter);
  return model;
}

ZoneSpec ReadZone(MapReader& map) {
  ZoneSpec zone;
  zone.name = ZoneName(map.ReadName("name"));
  zone.region = RegionName(map.ReadName("region"));
  zone.is_in_service = map.ReadEnum("service", {"out", "in"}, 1) == 1;
  return zone;
}

PlacedAdapter ReadPlacedAdapter(MapReader& map) {
  PlacedAdapter adapter;
  adapter.name = AdapterName(map.ReadName("name"));
  adapter.version = VersionName(map.ReadName("version"));
  return adapter;
}

PlacementSpec ReadPlacement(MapReader& map) {
  PlacementSpec placement;
  placement.pool = PoolName(map.ReadName("pool"));
  placement.model = ModelName(map.ReadName("model"));
  placement.version = VersionName(map.ReadName("version"));
  placement.adapters = map.ReadList<PlacedAdapter>("adapters", kMaxAdapters, false, ReadPlacedAdapter);
  return placement;
}

ServiceCallSpec ReadCall(MapReader& map) {
  ServiceCallSpec call;
  call.name = map.ReadName("name");
  call.is_repeatable = map.ReadFlag("repeatable", false, true);
  return call;
}

ServiceSpec ReadService(MapReader& map) {
  ServiceSpec service;
  service.name = ServiceName(map.ReadName("name"));
  service.pool = PoolName(map.ReadName("pool"));
  service.calls = map.ReadList<ServiceCallSpec>("calls", kMaxCalls, true, ReadCall);
  return service;
}

WorkspaceSpec ReadWorkspace(MapReader& map) {
  constexpr double kMinRate = 1e-3;
  WorkspaceSpec workspace;
  workspace.name = WorkspaceName(map.ReadName("name"));
  workspace.weight = map.ReadNumber("weight", kMinRate, kMaxWeight, workspace.weight);
  workspace.requests_per_s = map.ReadNumber("requests_per_s", kMinRate, kMaxRate, 0, true);
  workspace.concurrency = static_cast<uint32_t>(map.ReadInteger("concurrency", 1, 1'000'000, 0, true));
  workspace.tokens_per_s = map.ReadNumber("tokens_per_s", kMinRate, kMaxRate, 0, true);
  return workspace;
}

void ReadRollout(MapReader& map, RolloutSpec& out) {
  constexpr double kMinWave = 1e-4;
  out.floor = map.ReadNumber("floor", 0, 1, out.floor);
  out.wave = map.ReadNumber("wave", kMinWave, 1, out.wave);
  out.pause_error_share = map.ReadNumber("pause_error_share", 0, 1, out.pause_error_share);
  const size_t priority = map.ReadEnum("priority", {"routine", "hurried"}, 0);
  out.priority = priority == 1 ? RolloutPriority::kUrgent : RolloutPriority::kRoutine;
}

void ReadObjectives(MapReader& map, ObjectiveSpec& out) {
  out.availability = map.ReadNumber("availability", 0, 1, out.availability);
  out.first_token_ms = map.ReadNumber("first_token_ms", 1, kMaxMilliseconds, out.first_token_ms);
  out.token_gap_ms = map.ReadNumber("token_gap_ms", 1, kMaxMilliseconds, out.token_gap_ms);
  out.latency_share = map.ReadNumber("latency_share", 0, 1, out.latency_share);
  out.replicas_s = map.ReadNumber("replicas_s", 0, kMaxSeconds, out.replicas_s);
  out.zone_change_s = map.ReadNumber("zone_change_s", 0, kMaxSeconds, out.zone_change_s);
  out.replicas_weight = map.ReadNumber("replicas_weight", 0, kMaxWeight, out.replicas_weight);
  out.origin_weight = map.ReadNumber("origin_weight", 0, kMaxWeight, out.origin_weight);
  out.zone_weight = map.ReadNumber("zone_weight", 0, kMaxWeight, out.zone_weight);
}

Document ReadDocument(MapReader& map) {
  Document document;
  document.schema = static_cast<int>(map.ReadInteger("schema", 1, 1, 1, true));
  document.deployment = map.ReadName("deployment");
  document.allow_all_zones_out = map.ReadFlag("allow_all_zones_out", false);
  map.ReadMap("origin", true, [&](MapReader& origin) { document.origin_zone = ZoneName(origin.ReadName("zone")); });
  document.zones = map.ReadList<ZoneSpec>("zones", kMaxZones, true, ReadZone);
  document.models = map.ReadList<ModelSpec>("models", kMaxModels, false, ReadModel);
  document.placements = map.ReadList<PlacementSpec>("placements", kMaxPools, false, ReadPlacement);
  document.services = map.ReadList<ServiceSpec>("services", kMaxPools, false, ReadService);
  document.workspaces = map.ReadList<WorkspaceSpec>("workspaces", kMaxWorkspaces, false, ReadWorkspace);
  map.ReadMap("rollout", false, [&](MapReader& rollout) { ReadRollout(rollout, document.rollout); });
  map.ReadMap("objectives", false, [&](MapReader& objectives) { ReadObjectives(objectives, document.objectives); });
  map.ReportUnknownFields();
  return document;
}

}  // namespace

Document ParseDocumentWithLines(std::string_view text, YamlNode& tree, DocumentLines& lines, DocumentFaults& faults) {
  if (!ReadYamlTree(text, YamlLimits(), tree, faults)) {
    tree = YamlNode();
    return Document();
  }
  MapReader map(tree, "", {faults, lines});
  Document document = ReadDocument(map);
  CheckDocumentFields(document, lines, faults);
  return document;
}

absl::StatusOr<Document> ParseDocument(std::string_view file, std::string_view text) {
  DocumentFaults faults(file);
  YamlNode root;
  DocumentLines lines;
  Document document = ParseDocumentWithLines(text, root, lines, faults);
  if (!faults.IsEmpty()) return faults.GetStatus();
  return document;
}

}  // namespace plantain

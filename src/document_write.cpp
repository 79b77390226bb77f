#include <charconv>
#include <sstream>

#include "document_func.h"
#include "failure_type.h"

namespace plantain {
namespace {

std::string FormatDigest(const Digest& digest) {
  constexpr char kHex[] = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : digest.Get()) {
    hex += kHex[byte >> 4];
    hex += kHex[byte & 15];
  }
  return hex;
}

// Returns the shortest form that parses to the same number.
std::string FormatNumber(double value) {
  char text[32];
  const auto [end, error] = std::to_chars(text, text + sizeof(text), value);
  return std::string(text, error == std::errc() ? end : text);
}

// Names are quoted because a plain `null`, `1` or `true` would be parsed as another type.
std::string Quote(const std::string& name) { return "\"" + name + "\""; }

void WriteVersions(std::ostream& out, const std::string& indent, const std::vector<WeightsVersion>& versions) {
  out << indent << "versions:\n";
  for (const WeightsVersion& version : versions) {
    out << indent << "  - name: " << Quote(version.name.Get()) << "\n";
    out << indent << "    manifest: " << Quote(FormatDigest(version.manifest)) << "\n";
    out << indent << "    bytes: " << version.size << "\n";
  }
}

void WriteZones(std::ostream& out, const Document& document) {
  out << "zones:\n";
  for (const ZoneSpec& zone : document.zones) {
    out << "  - name: " << Quote(zone.name.Get()) << "\n";
    out << "    region: " << Quote(zone.region.Get()) << "\n";
    out << "    service: " << (zone.is_in_service ? "in" : "out") << "\n";
  }
}

void WriteModels(std::ostream& out, const Document& document) {
  if (document.models.empty()) return;
  out << "models:\n";
  for (const ModelSpec& model : document.models) {
    out << "  - name: " << Quote(model.name.Get()) << "\n";
    WriteVersions(out, "    ", model.versions);
    if (model.adapters.empty()) continue;
    out << "    adapters:\n";
    for (const AdapterSpec& adapter : model.adapters) {
      out << "      - name: " << Quote(adapter.name.Get()) << "\n";
      WriteVersions(out, "        ", adapter.versions);
    }
  }
}

void WritePlacements(std::ostream& out, const Document& document) {
  if (document.placements.empty()) return;
  out << "placements:\n";
  for (const PlacementSpec& placement : document.placements) {
    out << "  - pool: " << Quote(placement.pool.Get()) << "\n";
    out << "    model: " << Quote(placement.model.Get()) << "\n";
    out << "    version: " << Quote(placement.version.Get()) << "\n";
    if (placement.adapters.empty()) continue;
    out << "    adapters:\n";
    for (const PlacedAdapter& adapter : placement.adapters) {
      out << "      - name: " << Quote(adapter.name.Get()) << "\n";
      out << "        version: " << Quote(adapter.version.Get()) << "\n";
    }
  }
}

void WriteServices(std::ostream& out, const Document& document) {
  if (document.services.empty()) return;
  out << "services:\n";
  for (const ServiceSpec& service : document.services) {
    out << "  - name: " << Quote(service.name.Get()) << "\n";
    out << "    pool: " << Quote(service.pool.Get()) << "\n";
    out << "    calls:" << (service.calls.empty() ? " []" : "") << "\n";
    for (const ServiceCallSpec& call : service.calls) {
      out << "      - name: " << Quote(call.name) << "\n";
      out << "        repeatable: " << (call.is_repeatable ? "true" : "false") << "\n";
    }
  }
}

void WriteWorkspaces(std::ostream& out, const Document& document) {
  if (document.workspaces.empty()) return;
  out << "workspaces:\n";
  for (const WorkspaceSpec& workspace : document.workspaces) {
    out << "  - name: " << Quote(workspace.name.Get()) << "\n";
    out << "    weight: " << FormatNumber(workspace.weight) << "\n";
    out << "    requests_per_s: " << FormatNumber(workspace.requests_per_s) << "\n";
    out << "    concurrency: " << workspace.concurrency << "\n";
    out << "    tokens_per_s: " << FormatNumber(workspace.tokens_per_s) << "\n";
  }
}

void WriteRollout(std::ostream& out, const RolloutSpec& rollout) {
  out << "rollout:\n";
  out << "  floor: " << FormatNumber(rollout.floor) << "\n";
  out << "  wave: " << FormatNumber(rollout.wave) << "\n";
  out << "  pause_error_share: " << FormatNumber(rollout.pause_error_share) << "\n";
  out << "  priority: " << (rollout.priority == RolloutPriority::kUrgent ? "hurried" : "routine") << "\n";
}

void WriteObjectives(std::ostream& out, const ObjectiveSpec& objectives) {
  out << "objectives:\n";
  out << "  availability: " << FormatNumber(objectives.availability) << "\n";
  out << "  first_token_ms: " << FormatNumber(objectives.first_token_ms) << "\n";
  out << "  token_gap_ms: " << FormatNumber(objectives.token_gap_ms) << "\n";
  out << "  latency_share: " << FormatNumber(objectives.latency_share) << "\n";
  out << "  replicas_s: " << FormatNumber(objectives.replicas_s) << "\n";
  out << "  zone_change_s: " << FormatNumber(objectives.zone_change_s) << "\n";
  out << "  replicas_weight: " << FormatNumber(objectives.replicas_weight) << "\n";
  out << "  origin_weight: " << FormatNumber(objectives.origin_weight) << "\n";
  out << "  zone_weight: " << FormatNumber(objectives.zone_weight) << "\n";
}

}  // namespace

std::string FormatDocument(const Document& document) {
  std::ostringstream out;
  out << "schema: " << document.schema << "\n";
  out << "deployment: " << Quote(document.deployment) << "\n";
  if (document.allow_all_zones_out) out << "allow_all_zones_out: true\n";
  out << "origin:\n  zone: " << Quote(document.origin_zone.Get()) << "\n";
  WriteZones(out, document);
  WriteModels(out, document);
  WritePlacements(out, document);
  WriteServices(out, document);
  WriteWorkspaces(out, document);
  WriteRollout(out, document.rollout);
  WriteObjectives(out, document.objectives);
  return out.str();
}

}  // namespace plantain

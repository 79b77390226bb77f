#include <string>
#include <vector>

#include "document_func.h"
#include "failure_type.h"
#include "yaml_tree.h"

namespace plantain {
namespace {

// Splits a text into lines that keep their line ends, so that joining them restores the text.
std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const size_t length = end == std::string_view::npos ? text.size() : end + 1;
    lines.emplace_back(text.substr(0, length));
    text.remove_prefix(length);
  }
  return lines;
}

const YamlNode* FindField(const YamlNode& map, std::string_view name) {
  for (size_t i = 0; i < map.keys.size() && i < map.items.size(); ++i) {
    if (map.keys[i] == name) return &map.items[i];
  }
  return nullptr;
}

const YamlNode* FindZoneNode(const YamlNode& root, const ZoneName& zone) {
  const YamlNode* zones = FindField(root, "zones");
  if (zones == nullptr) return nullptr;
  for (const YamlNode& item : zones->items) {
    const YamlNode* name = FindField(item, "name");
    if (name != nullptr && name->scalar == zone.Get()) return &item;
  }
  return nullptr;
}

// Replaces the value that follows `service:` in a line. Returns false if the line does not have this form.
bool ReplaceServiceValue(std::string& line, std::string_view old_value, std::string_view new_value) {
  const size_t key = line.find("service:");
  if (key == std::string::npos) return false;
  const size_t value = line.find(old_value, key + std::string_view("service:").size());
  if (value == std::string::npos) return false;
  line.replace(value, old_value.size(), new_value);
  return true;
}

// Inserts a `service` line after the `name` line of a zone in block form, with the indent of the name key.
bool InsertServiceLine(std::vector<std::string>& lines, size_t name_line, std::string_view new_value) {
  std::string& line = lines[name_line];
  const size_t indent = line.find("name:");
  if (indent == std::string::npos || line.find('{') != std::string::npos) return false;
  if (line.back() != '\n') line += '\n';
  const std::string added = std::string(indent, ' ') + "service: " + std::string(new_value) + "\n";
  lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(name_line) + 1, added);
  return true;
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += line;
  return text;
}

}  // namespace

absl::StatusOr<std::string> SetZoneServiceInText(std::string_view file, std::string_view text, const ZoneName& zone,
                                                 bool is_in_service) {
  const absl::StatusOr<Document> before = ParseDocument(file, text);
  if (!before.ok()) return before.status();
  const ZoneSpec* spec = FindZone(*before, zone);
  if (spec == nullptr) return MakeFailure(FailureCode::kNotFound, "the document has no zone " + zone.Get());
  if (spec->is_in_service == is_in_service) return std::string(text);

  DocumentFaults faults(file);
  YamlNode root;
  if (!ReadYamlTree(text, YamlLimits(), root, faults)) return faults.GetStatus();
  const YamlNode* node = FindZoneNode(root, zone);
  const YamlNode* service = node == nullptr ? nullptr : FindField(*node, "service");
  std::vector<std::string> lines = SplitLines(text);
  const std::string_view new_value = is_in_service ? "in" : "out";
  bool is_changed = false;
  if (service != nullptr) {
    is_changed = ReplaceServiceValue(lines[static_cast<size_t>(service->line) - 1], service->scalar, new_value);
  } else if (node != nullptr) {
    const YamlNode* name = FindField(*node, "name");
    is_changed = InsertServiceLine(lines, static_cast<size_t>(name->line) - 1, new_value);
  }

  // A line of an unusual form could have been changed in the wrong place, so the result is parsed again.
  const std::string changed = JoinLines(lines);
  const absl::StatusOr<Document> after = ParseDocument(file, changed);
  if (is_changed && !after.ok()) return after.status();
  const ZoneSpec* changed_spec = is_changed ? FindZone(*after, zone) : nullptr;
  if (changed_spec == nullptr || changed_spec->is_in_service != is_in_service) {
    return MakeFailure(FailureCode::kDocumentField,
                       std::string(file) + ": zones: expected zone " + zone.Get() + " in block form, a field a line");
  }
  return changed;
}

}  // namespace plantain

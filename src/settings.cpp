#include <yaml-cpp/yaml.h>

#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <utility>

#include "failure_type.h"
#include "http_address.h"
#include "settings_func.h"

namespace plantain {
namespace {

using Values = std::map<std::string, std::vector<std::string>, std::less<>>;

constexpr size_t kMaxSettingsBytes = 256 * 1024;

struct YamlValue {
  std::vector<std::string> items;
  int line;
  bool is_list;
};

bool IsNumeric(SettingKind kind) {
  switch (kind) {
    case SettingKind::kInteger:
    case SettingKind::kNumber:
    case SettingKind::kDuration:
    case SettingKind::kBytes:
    case SettingKind::kRate:
      return true;
    default:
      return false;
  }
}

std::optional<double> ParseNumber(const std::string& text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::string FormatBound(double value) {
  std::ostringstream out;
  out.precision(15);
  out << value;
  return out.str();
}

std::string DescribeExpectation(const SettingRow& row) {
  switch (row.kind) {
    case SettingKind::kText:
      return "a non-empty string";
    case SettingKind::kAddress:
      return "an IP address";
    case SettingKind::kFlag:
      return "true or false";
    case SettingKind::kList:
      return "a list of strings";
    case SettingKind::kTarget:
      return "an IP address and a port as ADDRESS:PORT";
    default:
      break;
  }
  std::string text = row.kind == SettingKind::kInteger ? "an integer from " : "a number from ";
  return text + FormatBound(row.min) + " to " + FormatBound(row.max) + " in " + std::string(row.unit);
}

bool IsAddressText(const std::string& text) {
  return !text.empty() && text.find_first_not_of("0123456789abcdefABCDEF.:") == std::string::npos;
}

bool IsValid(const SettingRow& row, const std::vector<std::string>& items) {
  if (row.kind == SettingKind::kList) return true;
  if (items.size() != 1) return false;
  const std::string& text = items.front();
  if (row.kind == SettingKind::kText) return !text.empty();
  if (row.kind == SettingKind::kAddress) return IsAddressText(text);
  if (row.kind == SettingKind::kTarget) return ParseHttpTarget(text).has_value();
  if (row.kind == SettingKind::kFlag) return text == "true" || text == "false";
  const std::optional<double> value = ParseNumber(text);
  if (!value.has_value() || *value < row.min || *value > row.max) return false;
  return row.kind != SettingKind::kInteger || *value == std::floor(*value);
}

void Flatten(const YAML::Node& node, const std::string& prefix, std::map<std::string, YamlValue>& out) {
  for (const auto& pair : node) {
    const std::string name = prefix.empty() ? pair.first.Scalar() : prefix + "." + pair.first.Scalar();
    const YAML::Node& value = pair.second;
    if (value.IsMap()) {
      Flatten(value, name, out);
      continue;
    }
    YamlValue yaml_value{{}, value.Mark().line + 1, value.IsSequence()};
    if (value.IsScalar()) yaml_value.items.push_back(value.Scalar());
    if (value.IsSequence()) {
      for (const auto& item : value) yaml_value.items.push_back(item.IsScalar() ? item.Scalar() : "");
    }
    out[name] = std::move(yaml_value);
  }
}

const SettingRow* FindRow(SettingsTable table, std::string_view name) {
  for (const SettingRow& row : table) {
    if (row.name == name) return &row;
  }
  return nullptr;
}

[[noreturn]] void AbortOnInvalidLookup(std::string_view name) {
  std::cerr << "event=setting_lookup_failed name=" << name << "\n";
  std::abort();
}

std::string MakeFault(std::string_view file, int line, std::string_view field, const std::string& expected) {
  std::ostringstream out;
  out << file << ":" << line << ": " << field << ": expected " << expected << "\n";
  return out.str();
}

// Sets the value of one row. Returns a fault text, or an empty string if the value is valid.
std::string ReadValue(const SettingRow& row, std::string_view file, const std::map<std::string, YamlValue>& yaml_values,
                      Values& values) {
  const std::string name(row.name);
  const auto found = yaml_values.find(name);
  if (found == yaml_values.end()) {
    if (row.default_text.empty() && row.kind != SettingKind::kList) {
      return MakeFault(file, 0, name, DescribeExpectation(row) + "; the setting has no default");
    }
    values[name] = {};
    if (row.kind != SettingKind::kList) values[name].emplace_back(row.default_text);
    return "";
  }
  const bool wants_list = row.kind == SettingKind::kList;
  if (found->second.is_list != wants_list || !IsValid(row, found->second.items)) {
    return MakeFault(file, found->second.line, name, DescribeExpectation(row));
  }
  values[name] = found->second.items;
  return "";
}

}  // namespace

Settings::Settings(SettingsTable table, Values values) : m_table(table), m_values(std::move(values)) {}

const std::vector<std::string>& Settings::GetValue(std::string_view name, SettingKind kind) const {
  const SettingRow* row = FindRow(m_table, name);
  if (row == nullptr || row->kind != kind) AbortOnInvalidLookup(name);
  return m_values.find(name)->second;
}

const std::string& Settings::GetText(std::string_view name) const { return GetValue(name, SettingKind::kText).front(); }

IpAddress Settings::GetAddress(std::string_view name) const {
  return IpAddress(GetValue(name, SettingKind::kAddress).front());
}

int64_t Settings::GetInteger(std::string_view name) const {
  return static_cast<int64_t>(*ParseNumber(GetValue(name, SettingKind::kInteger).front()));
}

double Settings::GetNumber(std::string_view name) const {
  return *ParseNumber(GetValue(name, SettingKind::kNumber).front());
}

Duration Settings::GetDuration(std::string_view name) const {
  const double ms = *ParseNumber(GetValue(name, SettingKind::kDuration).front());
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

Bytes Settings::GetBytes(std::string_view name) const {
  return Bytes(static_cast<uint64_t>(*ParseNumber(GetValue(name, SettingKind::kBytes).front())));
}

BytesPerSecond Settings::GetRate(std::string_view name) const {
  return BytesPerSecond(*ParseNumber(GetValue(name, SettingKind::kRate).front()));
}

bool Settings::GetFlag(std::string_view name) const { return GetValue(name, SettingKind::kFlag).front() == "true"; }

const std::vector<std::string>& Settings::GetList(std::string_view name) const {
  return GetValue(name, SettingKind::kList);
}

Port Settings::GetPort(std::string_view name) const { return Port(static_cast<uint16_t>(GetInteger(name))); }

HttpTarget Settings::GetTarget(std::string_view name) const {
  return *ParseHttpTarget(GetValue(name, SettingKind::kTarget).front());
}

absl::StatusOr<Settings> ParseSettings(SettingsTable table, std::string_view file, std::string_view text) {
  if (text.size() > kMaxSettingsBytes) {
    return MakeFailure(FailureCode::kSettingInvalid, std::string(file) + ": expected at most 262144 bytes");
  }
  YAML::Node root;
  try {
    root = YAML::Load(std::string(text));
  } catch (const YAML::Exception& error) {
    return MakeFailure(FailureCode::kSettingInvalid,
                       MakeFault(file, error.mark.line + 1, "document", "YAML (" + error.msg + ")"));
  }
  std::map<std::string, YamlValue> yaml_values;
  if (root.IsMap()) Flatten(root, "", yaml_values);
  std::string faults;
  for (const auto& [name, value] : yaml_values) {
    if (FindRow(table, name) == nullptr) faults += MakeFault(file, value.line, name, "a known setting");
  }
  Values values;
  for (const SettingRow& row : table) faults += ReadValue(row, file, yaml_values, values);
  if (!faults.empty()) {
    faults.pop_back();
    return MakeFailure(FailureCode::kSettingInvalid, faults);
  }
  return Settings(table, std::move(values));
}

absl::StatusOr<Settings> LoadSettings(SettingsTable table, const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return MakeFailure(FailureCode::kSettingInvalid, path + ": expected a readable file");
  std::ostringstream text;
  text << in.rdbuf();
  return ParseSettings(table, path, text.str());
}

std::string FormatSettings(const Settings& settings) {
  std::ostringstream out;
  for (const SettingRow& row : settings.GetTable()) {
    out << "# " << row.help;
    if (IsNumeric(row.kind)) {
      out << " Unit " << row.unit << ", range " << FormatBound(row.min) << " to " << FormatBound(row.max) << ".";
    }
    out << "\n" << row.name << ": ";
    if (row.kind == SettingKind::kList) {
      out << "[";
      std::string_view separator;
      for (const std::string& item : settings.GetList(row.name)) {
        out << separator << item;
        separator = ", ";
      }
      out << "]\n";
      continue;
    }
    switch (row.kind) {
      case SettingKind::kText:
        out << settings.GetText(row.name);
        break;
      case SettingKind::kAddress:
        out << settings.GetAddress(row.name);
        break;
      case SettingKind::kTarget:
        out << settings.GetTarget(row.name).address << ":" << settings.GetTarget(row.name).port;
        break;
      case SettingKind::kFlag:
        out << (settings.GetFlag(row.name) ? "true" : "false");
        break;
      case SettingKind::kInteger:
        out << settings.GetInteger(row.name);
        break;
      case SettingKind::kNumber:
        out << FormatBound(settings.GetNumber(row.name));
        break;
      case SettingKind::kDuration:
        out << FormatBound(std::chrono::duration<double, std::milli>(settings.GetDuration(row.name)).count());
        break;
      case SettingKind::kBytes:
        out << settings.GetBytes(row.name);
        break;
      case SettingKind::kRate:
        out << FormatBound(settings.GetRate(row.name).Get());
        break;
      case SettingKind::kList:
        break;
    }
    out << "\n";
  }
  return out.str();
}

std::string FormatSettingsTable(std::string_view program, SettingsTable table) {
  std::ostringstream out;
  out << "## " << program << "\n\n| setting | unit | range | default | meaning |\n|---|---|---|---|---|\n";
  for (const SettingRow& row : table) {
    const std::string range = IsNumeric(row.kind) ? FormatBound(row.min) + " to " + FormatBound(row.max) : "";
    const std::string_view unit = IsNumeric(row.kind) ? row.unit : "";
    std::string_view fallback = row.default_text;
    if (fallback.empty()) fallback = row.kind == SettingKind::kList ? "empty list" : "required";
    out << "| `" << row.name << "` | " << unit << " | " << range << " | " << fallback << " | " << row.help << " |\n";
  }
  out << "\n";
  return out.str();
}

}  // namespace plantain

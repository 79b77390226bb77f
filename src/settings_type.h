// Settings of a process: a table of names, units, ranges and defaults, and the values read from YAML.

#ifndef PLANTAIN_SETTINGS_TYPE_H_
#define PLANTAIN_SETTINGS_TYPE_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core_type.h"
#include "http_type.h"

namespace plantain {

enum class SettingKind { kText, kAddress, kInteger, kNumber, kDuration, kBytes, kRate, kFlag, kList, kTarget };

// One row of a settings table.
struct SettingRow {
  // Dotted path in the YAML file, for example `peer.port`.
  std::string_view name;
  SettingKind kind;
  // Default in YAML form; empty means that the setting is required.
  std::string_view default_text;
  // Allowed range for numeric kinds, in the setting's unit. Unused for text.
  double min;
  double max;
  // Unit of the value as written, for example `ms`, `bytes`, `bytes/s`, `1`.
  std::string_view unit;
  std::string_view help;
};

using SettingsTable = std::span<const SettingRow>;

// Validated settings of one process. Calling a getter with a name that is not in the table, or that is of another kind,
// is a programming error and aborts the process.
class Settings {
 public:
  Settings(SettingsTable table, std::map<std::string, std::vector<std::string>, std::less<>> values);

  const std::string& GetText(std::string_view name) const;
  IpAddress GetAddress(std::string_view name) const;
  int64_t GetInteger(std::string_view name) const;
  double GetNumber(std::string_view name) const;
  Duration GetDuration(std::string_view name) const;
  Bytes GetBytes(std::string_view name) const;
  BytesPerSecond GetRate(std::string_view name) const;
  bool GetFlag(std::string_view name) const;
  const std::vector<std::string>& GetList(std::string_view name) const;
  Port GetPort(std::string_view name) const;
  HttpTarget GetTarget(std::string_view name) const;

  SettingsTable GetTable() const { return m_table; }

 private:
  const std::vector<std::string>& GetValue(std::string_view name, SettingKind kind) const;

  SettingsTable m_table;
  std::map<std::string, std::vector<std::string>, std::less<>> m_values;
};

}  // namespace plantain

#endif  // PLANTAIN_SETTINGS_TYPE_H_

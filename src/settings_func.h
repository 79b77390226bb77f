// Parsing, validation and formatting of settings.

#ifndef PLANTAIN_SETTINGS_FUNC_H_
#define PLANTAIN_SETTINGS_FUNC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "settings_type.h"

namespace plantain {

// Parses settings from YAML text. All faults are reported in one status, one per line in the form
// `file:line: field: what was expected`. Unknown names are faults.
absl::StatusOr<Settings> ParseSettings(SettingsTable table, std::string_view file, std::string_view text);

// As ParseSettings, from a file.
absl::StatusOr<Settings> LoadSettings(SettingsTable table, const std::string& path);

// Returns the settings in force as YAML, with unit and help as comments.
std::string FormatSettings(const Settings& settings);

// Returns a Markdown table of all settings of one program, for docs/CONFIGURATION.md.
std::string FormatSettingsTable(std::string_view program, SettingsTable table);

// Settings tables of the programs.
SettingsTable GetEntrySettingsTable();
SettingsTable GetAgentSettingsTable();

// Settings tables of the same programs on the hosted platform.
SettingsTable GetHostedEntrySettingsTable();
SettingsTable GetHostedAgentSettingsTable();

}  // namespace plantain

#endif  // PLANTAIN_SETTINGS_FUNC_H_

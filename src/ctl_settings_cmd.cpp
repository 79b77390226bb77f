// The `settings` command: prints the settings tables that docs/CONFIGURATION.md is generated from.

#include "ctl_type.h"
#include "settings_func.h"

namespace plantain {
namespace {

class SettingsCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "settings"; }
  std::string_view GetUsage() const override { return ""; }
  std::string_view GetHelp() const override { return "Print all node settings of all programs as Markdown tables."; }
  std::string_view GetExample() const override { return "plantainctl settings > docs/CONFIGURATION.md"; }

  CtlExitCode Run(const CtlArguments&, CtlPlatform&, CtlOutput output) const override {
    output.out
        << "# Node settings\n\nMade by `plantainctl settings` from `src/settings_table.cpp`; CI checks that this "
           "page is current. Settings are YAML;\na dotted name such as `peer.port` is the key `port` in the "
           "section `peer`. `--check-settings` checks a file and\n`--print-settings` prints what is in force.\n\n"
        << FormatSettingsTable("plantain-entry", GetEntrySettingsTable())
        << FormatSettingsTable("plantain-agent", GetAgentSettingsTable())
        << FormatSettingsTable("plantain-entry --platform hosted", GetHostedEntrySettingsTable())
        << FormatSettingsTable("plantain-agent --platform hosted", GetHostedAgentSettingsTable());
    return CtlExitCode::kOk;
  }
};

}  // namespace

std::vector<std::unique_ptr<CtlCommand>> MakeSettingsCommands() {
  std::vector<std::unique_ptr<CtlCommand>> commands;
  commands.push_back(std::make_unique<SettingsCommand>());
  return commands;
}

}  // namespace plantain

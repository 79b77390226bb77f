// Commands that process a document without publishing it: init, validate, plan, diff, export.

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "ctl_config.h"
#include "ctl_plan.h"
#include "ctl_type.h"
#include "document_func.h"
#include "failure_type.h"

namespace plantain {
namespace {

using nlohmann::json;

// Reads and validates a document file. Prints the errors and returns nullopt if there are any.
std::optional<std::pair<std::string, Document>> LoadDocument(const std::string& path, const CtlArguments& arguments,
                                                             CtlOutput output) {
  const absl::StatusOr<std::string> text = ReadTextFile(path);
  if (!text.ok()) {
    ReportFailure(text.status(), CtlExitCode::kInvalid, arguments, output);
    return std::nullopt;
  }
  absl::StatusOr<Document> document = ParseDocument(path, *text);
  if (document.ok()) return std::make_pair(*text, *std::move(document));
  if (arguments.IsJson()) {
    ReportFailure(document.status(), CtlExitCode::kInvalid, arguments, output);
  } else {
    output.err << GetFailureText(document.status()) << "\n";
  }
  return std::nullopt;
}

bool RequireOneFile(const CtlCommand& command, const CtlArguments& arguments, CtlOutput output) {
  if (arguments.positional.size() == 1) return true;
  output.err << "plantainctl " << command.GetName() << ": expected one FILE\n";
  return false;
}

class ValidateCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "validate"; }
  std::string_view GetUsage() const override { return "FILE"; }
  std::string_view GetHelp() const override { return "Check a document without publishing it."; }
  std::string_view GetExample() const override { return "plantainctl validate config/ustav.yaml"; }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform&, CtlOutput output) const override {
    if (!RequireOneFile(*this, arguments, output)) return CtlExitCode::kInvalid;
    const auto loaded = LoadDocument(arguments.positional[0], arguments, output);
    if (!loaded.has_value()) return CtlExitCode::kInvalid;
    if (arguments.IsJson()) {
      output.out << json{{"valid", true}}.dump() << "\n";
    } else {
      output.out << arguments.positional[0] << ": valid\n";
    }
    return CtlExitCode::kOk;
  }
};

class PlanCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "plan"; }
  std::string_view GetUsage() const override { return "FILE"; }
  std::string_view GetHelp() const override {
    return "Show what publishing a document would change: VMs, bytes and time.";
  }
  std::string_view GetExample() const override {
    return "plantainctl plan ustav.yaml --link-rate 125000000 --log 127.0.0.1:9100 --vms 127.0.0.1:9300";
  }
  std::vector<CtlOption> GetOptions() const override {
    return {{"link-rate", "BYTES/S", "Rate of a VM's link for the time estimate; default 125000000."},
            {"shared-rate", "BYTES/S", "Rate of the link between regions; default 2500000."}};
  }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) const override {
    if (!RequireOneFile(*this, arguments, output)) return CtlExitCode::kInvalid;
    const auto loaded = LoadDocument(arguments.positional[0], arguments, output);
    if (!loaded.has_value()) return CtlExitCode::kInvalid;
    const auto history = ReadConfigHistory(platform);
    if (!history.ok()) return ReportFailure(history.status(), CtlExitCode::kFailed, arguments, output);
    const auto vms = platform.GetVms();
    if (!vms.ok()) return ReportFailure(vms.status(), CtlExitCode::kFailed, arguments, output);
    Document current;
    if (history->version.Get() > 0) {
      const auto parsed = ParseDocument("in force", history->text);
      if (parsed.ok()) current = *parsed;
    }
    LinkRates rates;
    rates.link = BytesPerSecond(std::strtod(arguments.Get("link-rate", "125000000").c_str(), nullptr));
    rates.cross_zone = BytesPerSecond(std::strtod(arguments.Get("shared-rate", "2500000").c_str(), nullptr));
    if (rates.link.Get() <= 0 || rates.cross_zone.Get() <= 0) {
      output.err << "plantainctl plan: --link-rate and --shared-rate: expected a number above 0\n";
      return CtlExitCode::kInvalid;
    }
    const PublishPlan plan = MakePlan(current, loaded->second, *vms, rates);
    output.out << (arguments.IsJson() ? FormatPlanJson(plan, history->version)
                                      : FormatPlanText(plan, history->version));
    return CtlExitCode::kOk;
  }
};

class DiffCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "diff"; }
  std::string_view GetUsage() const override { return "FILE"; }
  std::string_view GetHelp() const override { return "Show the lines that differ from the document in force."; }
  std::string_view GetExample() const override { return "plantainctl diff ustav.yaml --log 127.0.0.1:9100"; }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) const override {
    if (!RequireOneFile(*this, arguments, output)) return CtlExitCode::kInvalid;
    const auto text = ReadTextFile(arguments.positional[0]);
    if (!text.ok()) return ReportFailure(text.status(), CtlExitCode::kInvalid, arguments, output);
    const auto history = ReadConfigHistory(platform);
    if (!history.ok()) return ReportFailure(history.status(), CtlExitCode::kFailed, arguments, output);
    const std::string diff = DiffTexts(history->text, *text);
    if (arguments.IsJson()) {
      output.out << json{{"version", history->version.Get()}, {"diff", diff}}.dump() << "\n";
    } else {
      output.out << (diff.empty() ? "no difference\n" : diff);
    }
    return CtlExitCode::kOk;
  }
};

class ExportCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "export"; }
  std::string_view GetUsage() const override { return ""; }
  std::string_view GetHelp() const override { return "Print the document in force, or an earlier version."; }
  std::string_view GetExample() const override { return "plantainctl export --version 3 --log 127.0.0.1:9100"; }
  std::vector<CtlOption> GetOptions() const override {
    return {{"version", "N", "Version to print; default is the one in force."}};
  }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) const override {
    const auto history = ReadConfigHistory(platform);
    if (!history.ok()) return ReportFailure(history.status(), CtlExitCode::kFailed, arguments, output);
    const ConfigVersion requested_version(arguments.Has("version")
                                              ? std::strtoull(arguments.Get("version").c_str(), nullptr, 10)
                                              : history->version.Get());
    const std::optional<std::string> text = history->FindVersion(requested_version);
    if (!text.has_value()) {
      const std::string detail = "the log does not contain version " + std::to_string(requested_version.Get());
      return ReportFailure(MakeFailure(FailureCode::kNotFound, detail), CtlExitCode::kFailed, arguments, output);
    }
    output.out << (arguments.IsJson() ? json{{"version", requested_version.Get()}, {"document", *text}}.dump() + "\n"
                                      : *text);
    return CtlExitCode::kOk;
  }
};

// Returns the text of a new document for the listed VMs.
std::string MakeInitialText(const std::string& deployment, const std::string& model, const std::string& manifest,
                            uint64_t bytes, const std::vector<VmListRow>& vms) {
  std::map<std::string, std::string> zones;
  std::map<std::string, int> pools;
  for (const VmListRow& vm : vms) {
    zones.emplace(vm.zone.Get(), vm.zone.Get());
    if (vm.kind == MemberKind::kEndpoint) ++pools[vm.pool.Get()];
  }
  std::string largest;
  for (const auto& [pool, count] : pools) {
    if (largest.empty() || count > pools[largest]) largest = pool;
  }
  std::ostringstream out;
  out << "# Written by `plantainctl init`. docs/CONFIGURATION.md explains every field.\nschema: 1\ndeployment: "
      << deployment << "\n\n# Zone of the platform's weight store.\norigin:\n  zone: " << zones.begin()->first
      << "\n\n# `service: out` takes a zone out of service within seconds.\nzones:\n";
  for (const auto& [zone, unused] : zones) {
    out << "  - name: " << zone << "\n    region: " << zone << "\n    service: in\n";
  }
  out << "\n# A manifest is the SHA-256 that the weight store lists for a version.\nmodels:\n  - name: " << model
      << "\n    versions:\n      - name: v1\n        manifest: \"" << manifest << "\"\n        bytes: " << bytes
      << "\n\n# Every VM of a pool holds one version of one model.\nplacements:\n  - pool: " << largest
      << "\n    model: " << model << "\n    version: v1\n\n# Limits of each workspace over all entries.\nworkspaces:\n"
      << "  - name: default\n    weight: 1\n    requests_per_s: 1000\n    concurrency: 500\n    tokens_per_s: 100000\n"
      << "\nrollout:\n  floor: 0.5\n  wave: 0.34\n  pause_error_share: 0.05\n  priority: routine\n"
      << "\nobjectives:\n  availability: 0.999\n  first_token_ms: 420\n  token_gap_ms: 77\n";
  return out.str();
}

class InitCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "init"; }
  std::string_view GetUsage() const override { return "FILE"; }
  std::string_view GetHelp() const override { return "Write an annotated first document for the VMs in the list."; }
  std::string_view GetExample() const override {
    return "plantainctl init ustav.yaml --deployment ustav --model drafting --manifest 9f86d0... --bytes 268435456";
  }
  std::vector<CtlOption> GetOptions() const override {
    return {{"deployment", "NAME", "Name of the fleet; default \"fleet\"."},
            {"model", "NAME", "First model; default \"model\"."},
            {"manifest", "HEX", "SHA-256 of the model's manifest (required)."},
            {"bytes", "N", "Size of the model (required)."}};
  }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) const override {
    if (!RequireOneFile(*this, arguments, output)) return CtlExitCode::kInvalid;
    const auto vms = platform.GetVms();
    if (!vms.ok()) return ReportFailure(vms.status(), CtlExitCode::kFailed, arguments, output);
    if (vms->empty()) {
      return ReportFailure(MakeFailure(FailureCode::kNotFound, "the VM list is empty"), CtlExitCode::kFailed, arguments,
                           output);
    }
    const std::string path = arguments.positional[0];
    const std::string text =
        MakeInitialText(arguments.Get("deployment", "fleet"), arguments.Get("model", "model"),
                        arguments.Get("manifest"), std::strtoull(arguments.Get("bytes").c_str(), nullptr, 10), *vms);
    const auto document = ParseDocument(path, text);
    if (!document.ok()) return ReportFailure(document.status(), CtlExitCode::kInvalid, arguments, output);
    if (std::ifstream(path).good()) {
      return ReportFailure(MakeFailure(FailureCode::kUsage, path + ": expected a file that does not exist yet"),
                           CtlExitCode::kInvalid, arguments, output);
    }
    std::ofstream(path, std::ios::binary) << text;
    output.out << path << ": written\n";
    return CtlExitCode::kOk;
  }
};

}  // namespace

std::vector<std::unique_ptr<CtlCommand>> MakeDocumentCommands() {
  std::vector<std::unique_ptr<CtlCommand>> commands;
  commands.push_back(std::make_unique<InitCommand>());
  commands.push_back(std::make_unique<ValidateCommand>());
  commands.push_back(std::make_unique<PlanCommand>());
  commands.push_back(std::make_unique<DiffCommand>());
  commands.push_back(std::make_unique<ExportCommand>());
  return commands;
}

}  // namespace plantain

// Commands that publish a document or list past publishes: apply, rollback, zone, history.

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "ctl_config.h"
#include "ctl_type.h"
#include "document_func.h"
#include "failure_type.h"
#include "hex_text.h"

namespace plantain {
namespace {

using nlohmann::json;

constexpr CtlOption kCommentOption = {"comment", "TEXT", "Reason, kept with the publish."};
constexpr CtlOption kAuthorOption = {"author", "NAME", "Who publishes; default is $USER."};
constexpr CtlOption kWaitOption = {"wait", "SECONDS", "Wait until in force everywhere and the replicas stand."};
constexpr CtlOption kBaseOption = {"base", "N",
                                   "Version that the document was made from; default is the one in force."};

// Rollout progress of a published version over all processes that respond.
struct RolloutProgress {
  size_t vms = 0;
  size_t responding = 0;
  size_t in_force = 0;
  size_t holdings = 0;
  size_t serving = 0;

  bool IsInForce() const { return vms > 0 && in_force == vms; }
  bool IsComplete() const { return IsInForce() && serving == holdings; }
};

// Returns the manifests of a document's placements in hex.
std::set<std::string> GetPlacedManifests(const std::string& text) {
  std::set<std::string> manifests;
  const absl::StatusOr<Document> document = ParseDocument("published", text);
  if (!document.ok()) return manifests;
  for (const PlacementSpec& placement : document->placements) {
    for (const Assignment& assignment : GetAssignments(*document, placement.pool)) {
      manifests.insert(FormatHex(assignment.manifest.Get()));
    }
  }
  return manifests;
}

void CountHoldings(const json& status, const std::set<std::string>& placed_manifests, RolloutProgress& progress) {
  const auto holdings = status.find("holdings");
  if (holdings == status.end() || !holdings->is_array()) return;
  for (const json& holding : *holdings) {
    if (!placed_manifests.contains(holding.value("manifest", ""))) continue;
    ++progress.holdings;
    progress.serving += holding.value("serving", false) ? 1 : 0;
  }
}

RolloutProgress GetRolloutProgress(CtlPlatform& platform, const std::vector<VmListRow>& vms, ConfigVersion version,
                                   const std::set<std::string>& placed_manifests) {
  RolloutProgress progress;
  progress.vms = vms.size();
  for (const auto& response : platform.FetchFromAll(vms, "/status")) {
    const json status = response.ok() ? json::parse(*response, nullptr, false) : json();
    if (!status.is_object()) continue;
    ++progress.responding;
    const bool is_in_force = status.value("config_version", uint64_t{0}) >= version.Get();
    progress.in_force += is_in_force ? 1 : 0;
    if (is_in_force) CountHoldings(status, placed_manifests, progress);
  }
  return progress;
}

// Prints progress until the version is in force on all VMs and all its replicas are serving.
CtlExitCode WaitForPublish(CtlPlatform& platform, const PublishRow& row, const CtlArguments& arguments,
                           CtlOutput output) {
  const std::set<std::string> placed_manifests = GetPlacedManifests(row.text);
  const double limit = std::strtod(arguments.Get("wait").c_str(), nullptr);
  const TimePoint start = platform.GetNow();
  size_t last_serving = 0;
  for (;;) {
    const auto vms = platform.GetVms();
    if (!vms.ok()) return ReportFailure(vms.status(), CtlExitCode::kFailed, arguments, output);
    const RolloutProgress progress = GetRolloutProgress(platform, *vms, row.version, placed_manifests);
    const double seconds = std::chrono::duration<double>(platform.GetNow() - start).count();
    if (!arguments.IsJson()) {
      output.out << std::fixed << std::setprecision(1) << seconds << " s: in force on " << progress.in_force << "/"
                 << progress.vms << " VMs, weights serving " << progress.serving << "/" << progress.holdings;
      if (progress.serving > last_serving && seconds > 0 && progress.serving < progress.holdings) {
        const double rate = static_cast<double>(progress.serving) / seconds;
        output.out << ", about " << static_cast<double>(progress.holdings - progress.serving) / rate << " s left";
      }
      output.out << "\n" << std::flush;
    }
    last_serving = progress.serving;
    if (progress.IsComplete()) return CtlExitCode::kOk;
    if (seconds >= limit) {
      const std::string detail = "in force on " + std::to_string(progress.in_force) + " of " +
                                 std::to_string(progress.vms) + " VMs, serving " + std::to_string(progress.serving) +
                                 " of " + std::to_string(progress.holdings);
      return ReportFailure(MakeFailure(FailureCode::kTimeout, detail), CtlExitCode::kTimeout, arguments, output);
    }
    platform.Wait(std::chrono::seconds(1));
  }
}

CtlExitCode GetExitCode(PublishOutcome outcome) {
  switch (outcome) {
    case PublishOutcome::kAccepted:
    case PublishOutcome::kRepeated:
      return CtlExitCode::kOk;
    case PublishOutcome::kConflict:
      return CtlExitCode::kConflict;
    case PublishOutcome::kRefused:
      return CtlExitCode::kRefused;
  }
  return CtlExitCode::kFailed;
}

// Prints the changes of both operators since the base version of this publish.
void PrintConflict(CtlPlatform& platform, const PublishRequest& request, CtlOutput output) {
  const auto history = ReadConfigHistory(platform);
  if (!history.ok()) return;
  const std::string base = history->FindVersion(request.base_version).value_or("");
  output.err << "the other publish, version " << history->version << ", changed:\n"
             << DiffTexts(base, history->text) << "this document changes:\n"
             << DiffTexts(base, request.text);
}

CtlExitCode Publish(CtlPlatform& platform, const PublishRequest& request, const CtlArguments& arguments,
                    CtlOutput output) {
  const auto row = PublishDocument(platform, request);
  if (!row.ok()) {
    const bool is_unknown = GetFailureCode(row.status()) == FailureCode::kPublishUnknown;
    return ReportFailure(row.status(), is_unknown ? CtlExitCode::kUnknown : CtlExitCode::kFailed, arguments, output);
  }
  const CtlExitCode exit_code = GetExitCode(row->outcome);
  if (exit_code == CtlExitCode::kOk) {
    if (arguments.IsJson()) {
      output.out << json{{"version", row->version.Get()}, {"publish_id", row->publish_id}}.dump() << "\n";
    } else {
      output.out << "accepted as version " << row->version << "\n";
    }
    return arguments.Has("wait") ? WaitForPublish(platform, *row, arguments, output) : exit_code;
  }
  const FailureCode code =
      exit_code == CtlExitCode::kConflict ? FailureCode::kPublishConflict : FailureCode::kPublishRefused;
  ReportFailure(MakeFailure(code, row->reason), exit_code, arguments, output);
  if (exit_code == CtlExitCode::kConflict && !arguments.IsJson()) PrintConflict(platform, request, output);
  return exit_code;
}

PublishRequest MakeRequest(const std::string& text, ConfigVersion base, const CtlArguments& arguments,
                           const std::string& comment) {
  const char* user = std::getenv("USER");
  return {text, base, arguments.Get("author", user == nullptr ? "operator" : user), arguments.Get("comment", comment)};
}

class ApplyCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "apply"; }
  std::string_view GetUsage() const override { return "FILE"; }
  std::string_view GetHelp() const override { return "Publish a document; optionally wait until it holds everywhere."; }
  std::string_view GetExample() const override {
    return "plantainctl apply ustav.yaml --wait 300 --comment 'drafting v2' --log 127.0.0.1:9100 --vms 127.0.0.1:9300";
  }
  std::vector<CtlOption> GetOptions() const override {
    return {kWaitOption, kBaseOption, kAuthorOption, kCommentOption};
  }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) const override {
    if (arguments.positional.size() != 1) {
      output.err << "plantainctl apply: expected one FILE\n";
      return CtlExitCode::kInvalid;
    }
    const auto text = ReadTextFile(arguments.positional[0]);
    if (!text.ok()) return ReportFailure(text.status(), CtlExitCode::kInvalid, arguments, output);
    const auto document = ParseDocument(arguments.positional[0], *text);
    if (!document.ok()) {
      if (arguments.IsJson()) return ReportFailure(document.status(), CtlExitCode::kInvalid, arguments, output);
      output.err << GetFailureText(document.status()) << "\n";
      return CtlExitCode::kInvalid;
    }
    ConfigVersion base(std::strtoull(arguments.Get("base").c_str(), nullptr, 10));
    if (!arguments.Has("base")) {
      const auto history = ReadConfigHistory(platform);
      if (!history.ok()) return ReportFailure(history.status(), CtlExitCode::kFailed, arguments, output);
      base = history->version;
    }
    return Publish(platform, MakeRequest(*text, base, arguments, ""), arguments, output);
  }
};

class RollbackCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "rollback"; }
  std::string_view GetUsage() const override { return "[VERSION]"; }
  std::string_view GetHelp() const override { return "Publish an earlier document again, as a new version."; }
  std::string_view GetExample() const override { return "plantainctl rollback 3 --log 127.0.0.1:9100"; }
  std::vector<CtlOption> GetOptions() const override { return {kWaitOption, kAuthorOption, kCommentOption}; }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) const override {
    const auto history = ReadConfigHistory(platform);
    if (!history.ok()) return ReportFailure(history.status(), CtlExitCode::kFailed, arguments, output);
    const uint64_t previous = history->version.Get() > 0 ? history->version.Get() - 1 : 0;
    const ConfigVersion requested_version(
        arguments.positional.empty() ? previous : std::strtoull(arguments.positional[0].c_str(), nullptr, 10));
    const std::optional<std::string> text = history->FindVersion(requested_version);
    if (!text.has_value()) {
      const std::string detail = "the log does not contain version " + std::to_string(requested_version.Get());
      return ReportFailure(MakeFailure(FailureCode::kNotFound, detail), CtlExitCode::kFailed, arguments, output);
    }
    const std::string comment = "rollback to version " + std::to_string(requested_version.Get());
    return Publish(platform, MakeRequest(*text, history->version, arguments, comment), arguments, output);
  }
};

class ZoneCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "zone"; }
  std::string_view GetUsage() const override { return "out|in NAME"; }
  std::string_view GetHelp() const override { return "Take an availability zone out of service or back in."; }
  std::string_view GetExample() const override { return "plantainctl zone out brno --yes --log 127.0.0.1:9100"; }
  std::vector<CtlOption> GetOptions() const override {
    return {
        {"yes", "", "Publish; without it only the difference is shown."}, kWaitOption, kAuthorOption, kCommentOption};
  }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) const override {
    const bool is_valid =
        arguments.positional.size() == 2 && (arguments.positional[0] == "out" || arguments.positional[0] == "in");
    if (!is_valid) {
      output.err << "plantainctl zone: expected `out NAME` or `in NAME`\n";
      return CtlExitCode::kInvalid;
    }
    const auto history = ReadConfigHistory(platform);
    if (!history.ok()) return ReportFailure(history.status(), CtlExitCode::kFailed, arguments, output);
    const ZoneName zone(arguments.positional[1]);
    const auto text = SetZoneServiceInText("in force", history->text, zone, arguments.positional[0] == "in");
    if (!text.ok()) return ReportFailure(text.status(), CtlExitCode::kInvalid, arguments, output);
    if (!arguments.IsJson()) output.out << DiffTexts(history->text, *text);
    if (!arguments.Has("yes")) {
      if (!arguments.IsJson()) output.out << "not published; add --yes to publish this change\n";
      return CtlExitCode::kOk;
    }
    const std::string comment = "zone " + zone.Get() + " " + arguments.positional[0];
    return Publish(platform, MakeRequest(*text, history->version, arguments, comment), arguments, output);
  }
};

class HistoryCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "history"; }
  std::string_view GetUsage() const override { return ""; }
  std::string_view GetHelp() const override { return "List publishes with their outcome, oldest first."; }
  std::string_view GetExample() const override { return "plantainctl history --log 127.0.0.1:9100"; }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) const override {
    const auto history = ReadConfigHistory(platform);
    if (!history.ok()) return ReportFailure(history.status(), CtlExitCode::kFailed, arguments, output);
    json list = json::array();
    for (const PublishRow& row : history->publishes) {
      const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(row.time.time_since_epoch()).count();
      if (arguments.IsJson()) {
        list.push_back({{"offset", row.offset.Get()},
                        {"time", seconds},
                        {"version", row.version.Get()},
                        {"outcome", GetPublishOutcomeName(row.outcome)},
                        {"author", row.author},
                        {"comment", row.comment},
                        {"reason", row.reason}});
        continue;
      }
      const std::time_t time = seconds;
      output.out << std::put_time(std::gmtime(&time), "%Y-%m-%dT%H:%M:%SZ") << "  " << std::left << std::setw(9)
                 << GetPublishOutcomeName(row.outcome) << " version " << std::setw(5) << row.version << " by "
                 << row.author << (row.comment.empty() ? "" : ": " + row.comment)
                 << (row.reason.empty() ? "" : " (" + row.reason + ")") << "\n";
    }
    if (arguments.IsJson()) {
      output.out << json{{"version", history->version.Get()}, {"publishes", list}}.dump(1) << "\n";
    } else {
      output.out << "in force: version " << history->version << "\n";
    }
    return CtlExitCode::kOk;
  }
};

}  // namespace

std::vector<std::unique_ptr<CtlCommand>> MakePublishCommands() {
  std::vector<std::unique_ptr<CtlCommand>> commands;
  commands.push_back(std::make_unique<ApplyCommand>());
  commands.push_back(std::make_unique<RollbackCommand>());
  commands.push_back(std::make_unique<ZoneCommand>());
  commands.push_back(std::make_unique<HistoryCommand>());
  return commands;
}

}  // namespace plantain

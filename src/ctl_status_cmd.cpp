// Commands that show the state of VMs and requests: status, explain.

#include <algorithm>
#include <fstream>
#include <functional>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "ctl_type.h"
#include "failure_type.h"
#include "request_diagnosis.h"

namespace plantain {
namespace {

using nlohmann::json;

// Status of the process on a VM; `status` is empty if the process did not respond.
struct ProcessState {
  VmListRow vm;
  bool is_responding = false;
  json status;
};

absl::StatusOr<std::vector<ProcessState>> GetProcessStates(CtlPlatform& platform) {
  const absl::StatusOr<std::vector<VmListRow>> vms = platform.GetVms();
  if (!vms.ok()) return vms.status();
  const auto responses = platform.FetchFromAll(*vms, "/status");
  std::vector<ProcessState> states;
  for (size_t i = 0; i < vms->size(); ++i) {
    ProcessState state{(*vms)[i], false, json::object()};
    if (responses[i].ok()) {
      json parsed = json::parse(*responses[i], nullptr, false);
      state.is_responding = parsed.is_object();
      if (state.is_responding) state.status = std::move(parsed);
    }
    states.push_back(std::move(state));
  }
  return states;
}

std::string GetString(const json& object, const char* key, const std::string& fallback) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>() : fallback;
}

uint64_t GetCount(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number() ? found->get<uint64_t>() : 0;
}

// Transfer and loading progress of a manifest on the VMs that store or fetch it.
struct ManifestProgress {
  std::string model;
  std::string adapter;
  uint64_t vms = 0;
  uint64_t serving = 0;
  uint64_t permille_sum = 0;
};

using ProgressByManifest = std::map<std::string, ManifestProgress>;

ProgressByManifest GetProgress(const std::vector<ProcessState>& states) {
  ProgressByManifest progress;
  for (const ProcessState& state : states) {
    const auto holdings = state.status.find("holdings");
    if (holdings == state.status.end() || !holdings->is_array()) continue;
    for (const json& holding : *holdings) {
      ManifestProgress& row = progress[GetString(holding, "manifest", "")];
      row.model = GetString(holding, "model", "");
      row.adapter = GetString(holding, "adapter", "");
      ++row.vms;
      row.permille_sum += GetCount(holding, "permille");
      const auto serving = holding.find("serving");
      row.serving += serving != holding.end() && serving->is_boolean() && serving->get<bool>() ? 1 : 0;
    }
  }
  return progress;
}

std::string FormatProgressBar(uint64_t done, uint64_t total) {
  constexpr size_t kWidth = 20;
  const size_t filled = total == 0 ? 0 : static_cast<size_t>(done * kWidth / total);
  return "[" + std::string(filled, '#') + std::string(kWidth - filled, '.') + "]";
}

// Formats the rate between two samples, `seconds` apart, and the remaining time at that rate.
std::string FormatTimeLeft(const ManifestProgress& row, const ManifestProgress* before, double seconds) {
  const double total = static_cast<double>(row.vms) * 1000;
  const double left = total - static_cast<double>(row.permille_sum);
  if (left <= 0) return row.serving == row.vms ? "done" : "loading";
  if (before == nullptr || row.permille_sum <= before->permille_sum) return "no progress yet";
  const double rate = static_cast<double>(row.permille_sum - before->permille_sum) / seconds;
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << rate / total * 100 << "%/s, " << left / rate << " s left";
  return out.str();
}

void PrintProgress(const ProgressByManifest& progress, const ProgressByManifest& before, double seconds,
                   std::ostream& out) {
  for (const auto& [manifest, row] : progress) {
    const auto earlier = before.find(manifest);
    const ManifestProgress* last = earlier == before.end() ? nullptr : &earlier->second;
    const std::string name = row.adapter.empty() ? row.model : row.model + "+" + row.adapter;
    out << std::left << std::setw(16) << name << " " << manifest.substr(0, 12) << " "
        << FormatProgressBar(row.permille_sum, row.vms * 1000) << " serving " << row.serving << "/" << row.vms << "  "
        << FormatTimeLeft(row, last, seconds) << "\n";
  }
}

json ProgressToJson(const ProgressByManifest& progress) {
  json list = json::array();
  for (const auto& [manifest, row] : progress) {
    list.push_back({{"manifest", manifest},
                    {"model", row.model},
                    {"adapter", row.adapter},
                    {"vms", row.vms},
                    {"serving", row.serving},
                    {"share", row.vms == 0 ? 0.0 : static_cast<double>(row.permille_sum) / 1000 / row.vms}});
  }
  return list;
}

void PrintProcessStates(const std::vector<ProcessState>& states, std::ostream& out) {
  out << std::left << std::setw(30) << "vm" << std::setw(14) << "zone" << std::setw(9) << "version" << std::setw(10)
      << "state" << std::setw(8) << "limit"
      << "in flight\n";
  for (const ProcessState& state : states) {
    out << std::setw(30) << state.vm.vm.Get() << std::setw(14) << state.vm.zone.Get();
    if (!state.is_responding) {
      out << "does not answer\n";
      continue;
    }
    out << std::setw(9) << GetCount(state.status, "config_version") << std::setw(10)
        << GetString(state.status, "state", "unknown") << std::setw(8) << GetCount(state.status, "limit")
        << GetCount(state.status, "in_flight") << "\n";
  }
}

class StatusCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "status"; }
  std::string_view GetUsage() const override { return ""; }
  std::string_view GetHelp() const override { return "Show every VM, its configuration version and its weights."; }
  std::string_view GetExample() const override {
    return "plantainctl status --rollout --log 127.0.0.1:9100 --vms 127.0.0.1:9300 --zone praha";
  }
  std::vector<CtlOption> GetOptions() const override {
    return {{"rollout", "", "Show the progress of weights with rate and time left."}};
  }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) const override {
    const auto states = GetProcessStates(platform);
    if (!states.ok()) return ReportFailure(states.status(), CtlExitCode::kFailed, arguments, output);
    if (arguments.Has("rollout")) return ShowRollout(*states, arguments, platform, output);
    if (arguments.IsJson()) {
      json list = json::array();
      for (const ProcessState& state : *states) {
        list.push_back({{"vm", state.vm.vm.Get()},
                        {"zone", state.vm.zone.Get()},
                        {"answering", state.is_responding},
                        {"status", state.status}});
      }
      output.out << json{{"vms", list}, {"weights", ProgressToJson(GetProgress(*states))}}.dump(1) << "\n";
      return CtlExitCode::kOk;
    }
    PrintProcessStates(*states, output.out);
    PrintProgress(GetProgress(*states), {}, 1, output.out);
    return CtlExitCode::kOk;
  }

 private:
  static CtlExitCode ShowRollout(const std::vector<ProcessState>& first, const CtlArguments& arguments,
                                 CtlPlatform& platform, CtlOutput output) {
    const ProgressByManifest before = GetProgress(first);
    if (arguments.IsJson()) {
      output.out << json{{"weights", ProgressToJson(before)}}.dump(1) << "\n";
      return CtlExitCode::kOk;
    }
    const TimePoint start = platform.GetNow();
    platform.Wait(std::chrono::seconds(1));
    const auto second = GetProcessStates(platform);
    if (!second.ok()) return ReportFailure(second.status(), CtlExitCode::kFailed, arguments, output);
    const double seconds = std::chrono::duration<double>(platform.GetNow() - start).count();
    PrintProgress(GetProgress(*second), before, seconds, output.out);
    return CtlExitCode::kOk;
  }
};

class ExplainCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "explain"; }
  std::string_view GetUsage() const override { return "REQUEST-ID | --request ID LOGFILE..."; }
  std::string_view GetHelp() const override {
    return "Show what happened to one request and why, from recent events or from log files.";
  }
  std::string_view GetExample() const override {
    return "plantainctl explain --request req-42 entry-*.log agent-*.log";
  }
  std::vector<CtlOption> GetOptions() const override {
    return {{"request", "ID", "Read the files that are named, and tell the cause of this request's end."}};
  }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) const override {
    if (arguments.Has("request")) return ExplainFromFiles(arguments, output);
    if (arguments.positional.size() != 1 || !IsValidRequestId(arguments.positional[0])) {
      output.err << "plantainctl explain: expected one REQUEST-ID of letters, digits, '-', '_', '.' or ':'\n";
      return CtlExitCode::kInvalid;
    }
    const std::string& id = arguments.positional[0];
    const auto vms = platform.GetVms();
    if (!vms.ok()) return ReportFailure(vms.status(), CtlExitCode::kFailed, arguments, output);
    const auto responses = platform.FetchFromAll(*vms, "/events?request=" + id);
    json found = json::array();
    for (size_t i = 0; i < vms->size(); ++i) {
      const json parsed = responses[i].ok() ? json::parse(*responses[i], nullptr, false) : json();
      if (!parsed.is_object() || !parsed.contains("events")) continue;
      for (const json& line : parsed["events"]) found.push_back({{"vm", (*vms)[i].vm.Get()}, {"event", line}});
    }
    if (found.empty()) {
      return ReportFailure(MakeFailure(FailureCode::kNotFound, "no process has events for request " + id),
                           CtlExitCode::kFailed, arguments, output);
    }
    if (arguments.IsJson()) {
      output.out << json{{"request", id}, {"events", found}}.dump(1) << "\n";
      return CtlExitCode::kOk;
    }
    for (const json& row : found) {
      output.out << std::left << std::setw(30) << row["vm"].get<std::string>() << row["event"].get<std::string>()
                 << "\n";
    }
    return CtlExitCode::kOk;
  }

 private:
  static CtlExitCode ExplainFromFiles(const CtlArguments& arguments, CtlOutput output) {
    if (arguments.positional.empty()) {
      output.err << "plantainctl explain: expected one or more files after --request ID\n";
      return CtlExitCode::kInvalid;
    }
    RequestDiagnosis diagnosis{RequestId(arguments.Get("request"))};
    // Endpoint events may precede the line that links the endpoint to the request, so the files are read twice.
    for (const auto add : {&RequestDiagnosis::AddRequestLine, &RequestDiagnosis::AddContextLine}) {
      for (const std::string& path : arguments.positional) {
        const absl::Status status = ForEachLogLine(path, [&](const LogLine& line) { (diagnosis.*add)(line); });
        if (!status.ok()) return ReportFailure(status, CtlExitCode::kFailed, arguments, output);
      }
    }
    if (!diagnosis.IsFound()) {
      return ReportFailure(
          MakeFailure(FailureCode::kNotFound, "no log line contains request " + arguments.Get("request")),
          CtlExitCode::kFailed, arguments, output);
    }
    if (arguments.IsJson()) {
      output.out << DiagnosisToJson(diagnosis).dump(1) << "\n";
      return CtlExitCode::kOk;
    }
    for (const LogLine& line : diagnosis.GetTimeline()) PrintLogLine(line, output.out);
    output.out << diagnosis.GetSummary() << "\n";
    return CtlExitCode::kOk;
  }

  static absl::Status ForEachLogLine(const std::string& path, const std::function<void(const LogLine&)>& on_line) {
    std::ifstream file(path);
    if (!file) return MakeFailure(FailureCode::kNotFound, path + ": expected a readable file");
    std::string text;
    while (std::getline(file, text)) {
      if (const std::optional<LogLine> line = ParseLogLine(text)) on_line(*line);
    }
    return absl::OkStatus();
  }

  static json DiagnosisToJson(const RequestDiagnosis& diagnosis) {
    json lines = json::array();
    for (const LogLine& line : diagnosis.GetTimeline()) {
      lines.push_back({{"time", line.time}, {"vm", line.vm}, {"event", line.event}, {"fields", line.fields}});
    }
    return {{"cause", GetOutcomeCauseName(diagnosis.GetCause())}, {"lines", std::move(lines)}};
  }

  static void PrintLogLine(const LogLine& line, std::ostream& out) {
    out << line.time << " " << std::left << std::setw(18) << line.vm << std::setw(18) << line.event;
    for (const auto& [name, value] : line.fields) {
      if (name != "level") out << " " << name << "=" << value;
    }
    out << "\n";
  }

  static bool IsValidRequestId(const std::string& id) {
    return !id.empty() && std::all_of(id.begin(), id.end(), [](unsigned char c) {
      return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
    });
  }
};

}  // namespace

std::vector<std::unique_ptr<CtlCommand>> MakeStatusCommands() {
  std::vector<std::unique_ptr<CtlCommand>> commands;
  commands.push_back(std::make_unique<StatusCommand>());
  commands.push_back(std::make_unique<ExplainCommand>());
  return commands;
}

}  // namespace plantain

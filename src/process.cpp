#include "process.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <optional>

#include "caller_memory_report.h"
#include "failure_type.h"
#include "settings_func.h"

namespace plantain {
namespace {

namespace options = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr size_t kMaxHistoryEvents = 20'000;
constexpr uint64_t kBytesPerMb = 1024 * 1024;
// Answers being received may hold this part of the VM's memory.
constexpr uint64_t kAnswerMemoryPart = 8;
// Connections to callers' ports, and to the control loop's ports, may hold these parts of the VM's memory. A request
// with a body of 4 MiB takes 12 MiB with its copies, which must fit into the part of callers on a VM of 112 MB.
constexpr size_t kCallerMemoryPart = 4;
constexpr size_t kControlMemoryPart = 8;
// The control loop's ports get their share of this part of the descriptors.
constexpr size_t kControlDescriptorPart = 4;

struct CommandLine {
  std::string settings_path;
  std::string platform;
  bool is_check = false;
  bool is_print = false;
};

// Returns an exit code if the process should end right away.
std::optional<int> ParseCommandLine(int argc, char** argv, const std::string& program, const std::string& platforms,
                                    CommandLine& out) {
  options::options_description description(program + " options");
  description.add_options()("help,h", "Show this help and exit.")(
      "settings,s", options::value<std::string>(&out.settings_path), "YAML file with the node settings (required).")(
      "platform,p", options::value<std::string>(&out.platform), ("Platform that it runs on: " + platforms).c_str())(
      "check-settings", options::bool_switch(&out.is_check), "Check the settings file and exit with 0 or 2.")(
      "print-settings", options::bool_switch(&out.is_print), "Print the settings in force as YAML and exit.");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << program << ": " << error.what() << "\n" << description;
    return kExitUsage;
  }
  if (values.count("help") != 0) {
    std::cout << "Usage: " << program << " --settings FILE\n" << description;
    return kExitOk;
  }
  if (out.settings_path.empty()) {
    std::cerr << program << ": expected --settings FILE\n" << description;
    return kExitUsage;
  }
  return std::nullopt;
}

Bytes GetVmMemory(const Settings& settings) {
  return Bytes(static_cast<uint64_t>(settings.GetInteger("vm.memory_mb")) * kBytesPerMb);
}

size_t GetDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 0;
  return limit.rlim_cur;
}

LogLevel ParseLogLevel(const std::string& text) {
  if (text == "debug") return LogLevel::kDebug;
  if (text == "warn") return LogLevel::kWarn;
  if (text == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

// Looks for a changed settings file, which may change without a signal.
constexpr Duration kSettingsPeriod = std::chrono::seconds(2);

// Reads the settings again when told to.
class SettingsReloader {
 public:
  SettingsReloader(ProcessParts& parts, SettingsTable table, std::string path)
      : m_parts(parts), m_table(table), m_path(std::move(path)), m_text(FormatSettings(parts.settings)) {}

  void Start() {
    m_parts.control_loop.OnHangup([this] { Reload("signal"); });
    m_timer = m_parts.control_loop.RunEvery(kSettingsPeriod, [this] {
      const auto time = GetFileTime();
      if (time == m_file_time) return;
      m_file_time = time;
      Reload("file");
    });
    m_file_time = GetFileTime();
  }

 private:
  std::filesystem::file_time_type GetFileTime() const {
    std::error_code error;
    const auto time = std::filesystem::last_write_time(m_path, error);
    return error ? m_file_time : time;
  }

  void Reload(std::string_view cause) {
    absl::StatusOr<Settings> settings = LoadSettings(m_table, m_path);
    if (!settings.ok()) {
      LogEvent(LogLevel::kWarn, "reload_refused", {{"cause", cause}, MakeFailureField(settings.status())});
      return;
    }
    const std::string text = FormatSettings(*settings);
    const bool is_changed = text != m_text;
    m_text = text;
    m_parts.settings = *std::move(settings);
    SetEventLogLevel(ParseLogLevel(m_parts.settings.GetText("log.level")));
    LogEvent(LogLevel::kInfo, "reloaded", {{"cause", cause}, {"changed", is_changed}});
  }

  ProcessParts& m_parts;
  const SettingsTable m_table;
  const std::string m_path;
  std::string m_text;
  std::filesystem::file_time_type m_file_time{};
  std::unique_ptr<Timer> m_timer;
};

// Runs the loops until the control loop is told to stop.
void RunLoops(ProcessParts& parts) {
  std::vector<std::thread> threads;
  for (const auto& loop : parts.traffic_loops) threads.emplace_back([&loop] { loop->Run(); });
  threads.emplace_back([&parts] { parts.transfer_loop.Run(); });
  parts.control_loop.Run();
  for (const auto& loop : parts.traffic_loops) loop->Stop();
  parts.transfer_loop.Stop();
  for (std::thread& thread : threads) thread.join();
}

// Drains all services that can be drained, then stops the control loop.
void BeginGracefulStop(Kernel& kernel, ProcessParts& parts) {
  LogEvent(LogLevel::kInfo, "drain_started", {});
  const std::vector<Drainable*> drainables = kernel.FindAll<Drainable>();
  const auto waiting = std::make_shared<size_t>(drainables.size() + 1);
  const auto finish_one = [&parts, waiting] {
    if (--*waiting > 0) return;
    LogEvent(LogLevel::kInfo, "drain_finished", {});
    parts.control_loop.Stop();
  };
  for (Drainable* drainable : drainables) drainable->BeginDrain(finish_one);
  finish_one();
}

}  // namespace

ProcessParts::ProcessParts(Settings settings_in)
    : settings(std::move(settings_in)),
      random(MakeSystemSeed()),
      history(kMaxHistoryEvents),
      answer_memory(Bytes(GetVmMemory(settings).Get() / kAnswerMemoryPart)),
      vm(settings.GetText("vm.id")),
      zone(settings.GetText("vm.zone")),
      address(settings.GetAddress("vm.address")),
      incarnation(static_cast<uint64_t>(clock.GetWallTime().time_since_epoch().count())) {
  const auto count = static_cast<size_t>(settings.GetInteger("traffic.threads"));
  const Bytes memory = GetVmMemory(settings);
  const size_t descriptors = GetDescriptorLimit();
  for (size_t i = 0; i < count; ++i) {
    traffic_loops.push_back(std::make_unique<Loop>());
    traffic_caller_memory.push_back(
        std::make_shared<CallerMemory>(clock, ComputeCallerMemoryLimits(memory, kCallerMemoryPart, descriptors, count),
                                       std::make_unique<CallerMemoryReport>(clock, metrics, "callers")));
  }
  control_caller_memory = std::make_shared<CallerMemory>(
      clock, ComputeCallerMemoryLimits(memory, kControlMemoryPart, descriptors / kControlDescriptorPart, 1),
      std::make_unique<CallerMemoryReport>(clock, metrics, "control"));
}

int RunProcess(int argc, char** argv, const std::string& program, const std::vector<ProgramVariant>& variants) {
  std::string platforms;
  for (const ProgramVariant& variant : variants) platforms += (platforms.empty() ? "" : ", ") + variant.platform;
  CommandLine command_line;
  command_line.platform = variants.front().platform;
  if (const auto exit_code = ParseCommandLine(argc, argv, program, platforms, command_line)) return *exit_code;
  const auto variant = std::find_if(variants.begin(), variants.end(), [&](const ProgramVariant& candidate) {
    return candidate.platform == command_line.platform;
  });
  if (variant == variants.end()) {
    std::cerr << program << ": expected --platform to be one of " << platforms << "\n";
    return kExitUsage;
  }
  absl::StatusOr<Settings> settings = LoadSettings(variant->table, command_line.settings_path);
  if (!settings.ok()) {
    std::cerr << GetFailureText(settings.status()) << "\n";
    return kExitUsage;
  }
  if (command_line.is_print) std::cout << FormatSettings(*settings);
  if (command_line.is_print || command_line.is_check) return kExitOk;

  ProcessParts parts(*std::move(settings));
  InitEventLog(ParseLogLevel(parts.settings.GetText("log.level")), program, parts.vm.Get());
  Kernel kernel;
  variant->register_services(kernel, parts);
  const absl::Status status = kernel.Start();
  if (!status.ok()) {
    LogEvent(LogLevel::kError, "start_failed", {MakeFailureField(status)});
    return kExitFailed;
  }
  LogEvent(LogLevel::kInfo, "started", {{"incarnation", parts.incarnation}, {"zone", parts.zone}});
  parts.control_loop.OnTermination([&] { BeginGracefulStop(kernel, parts); });
  SettingsReloader reloader(parts, variant->table, command_line.settings_path);
  reloader.Start();
  RunLoops(parts);
  kernel.Stop();
  LogEvent(LogLevel::kInfo, "stopped", {});
  StopEventLog();
  return kExitOk;
}

void EndProcess(int exit_code) {
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(exit_code);
}

}  // namespace plantain

// Types shared by the plantainctl commands: exit codes, options and platform access.

#ifndef PLANTAIN_CTL_TYPE_H_
#define PLANTAIN_CTL_TYPE_H_

#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "core_type.h"
#include "log_type.h"
#include "vm_list.h"

namespace plantain {

// Exit codes of plantainctl. docs/OPERATIONS.md lists them.
enum class CtlExitCode {
  kOk = 0,
  // The platform or a process did not respond, or another error occurred.
  kFailed = 1,
  // Invalid command line or invalid document.
  kInvalid = 2,
  // Another operator's document was accepted first.
  kConflict = 3,
  // The configuration fold refused the document.
  kRefused = 4,
  // The time limit of --wait expired before the rollout completed.
  kTimeout = 5,
  // The publish was sent, but it is unknown whether the log recorded it.
  kUnknown = 6,
};

// Access to the log, the VM list, the processes and the clock. Calls block. Tests use FakeCtlPlatform instead.
class CtlPlatform {
 public:
  virtual ~CtlPlatform() = default;

  // Returns all records of stream `config` that the log retains.
  virtual absl::StatusOr<std::vector<LogRecord>> ReadConfigRecords() = 0;

  // Appends a record to stream `config`.
  virtual absl::StatusOr<LogOffset> AppendConfigRecord(const std::string& record) = 0;

  // Returns the VM list as seen from the operator's zone.
  virtual absl::StatusOr<std::vector<VmListRow>> GetVms() = 0;

  // Fetches an admin path from all given VMs in parallel; the results are in the order of `vms`.
  virtual std::vector<absl::StatusOr<std::string>> FetchFromAll(const std::vector<VmListRow>& vms,
                                                                const std::string& path) = 0;

  // Blocks for the given time.
  virtual void Wait(Duration time) = 0;

  virtual TimePoint GetNow() const = 0;
  virtual WallTime GetWallTime() const = 0;

  // Returns a random 128-bit id in hex.
  virtual std::string GenerateId() = 0;
};

// Parsed command-line arguments after the command's name.
struct CtlArguments {
  std::vector<std::string> positional;
  // Options by name without dashes; a flag has the value "true".
  std::map<std::string, std::string, std::less<>> options;

  bool Has(std::string_view name) const { return options.find(name) != options.end(); }
  std::string Get(std::string_view name, std::string_view fallback = "") const {
    const auto found = options.find(name);
    return found == options.end() ? std::string(fallback) : found->second;
  }
  bool IsJson() const { return Get("output") == "json"; }
};

// Output streams of a command: results go to `out`, errors to `err`.
struct CtlOutput {
  std::ostream& out;
  std::ostream& err;
};

// Describes a command-line option.
struct CtlOption {
  std::string_view name;
  // Placeholder of the value in help texts; empty for a flag.
  std::string_view value;
  std::string_view help;
};

// A command of plantainctl.
class CtlCommand {
 public:
  virtual ~CtlCommand() = default;
  virtual std::string_view GetName() const = 0;
  // Positional arguments, for example `FILE`.
  virtual std::string_view GetUsage() const = 0;
  virtual std::string_view GetHelp() const = 0;
  virtual std::string_view GetExample() const = 0;
  virtual std::vector<CtlOption> GetOptions() const { return {}; }
  virtual CtlExitCode Run(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) const = 0;
};

// Create the commands of plantainctl, grouped by topic.
std::vector<std::unique_ptr<CtlCommand>> MakeDocumentCommands();
std::vector<std::unique_ptr<CtlCommand>> MakeCheckCommands();
std::vector<std::unique_ptr<CtlCommand>> MakePublishCommands();
std::vector<std::unique_ptr<CtlCommand>> MakeStatusCommands();
std::vector<std::unique_ptr<CtlCommand>> MakeBurnCommands();
std::vector<std::unique_ptr<CtlCommand>> MakeSettingsCommands();

// Options of MakeHttpCtlPlatform, from `--log`, `--vms`, `--zone` and `--timeout`.
struct CtlPlatformOptions {
  std::string log;
  std::string vms;
  ZoneName zone;
  Duration timeout = std::chrono::seconds(5);
};
using CtlPlatformFactory = std::function<absl::StatusOr<std::unique_ptr<CtlPlatform>>(const CtlPlatformOptions&)>;

// Parses the command line, runs the command and returns its exit code. `platform_factory` is called only if the command
// line is valid.
CtlExitCode RunCtl(const std::vector<std::string>& args, CtlOutput output, const CtlPlatformFactory& platform_factory);

// Creates a platform that accesses the log, the VM list and the processes over HTTP.
absl::StatusOr<std::unique_ptr<CtlPlatform>> MakeHttpCtlPlatform(const CtlPlatformOptions& options);

// Prints a failure as `error: type: text` to `err`, or as JSON to `out`, and returns `exit_code`.
CtlExitCode ReportFailure(const absl::Status& status, CtlExitCode exit_code, const CtlArguments& arguments,
                          CtlOutput output);

// Returns the content of a file. Fails with kNotFound if it cannot be read.
absl::StatusOr<std::string> ReadTextFile(const std::string& path);

}  // namespace plantain

#endif  // PLANTAIN_CTL_TYPE_H_

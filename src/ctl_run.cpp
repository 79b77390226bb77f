// The command line of plantainctl: parsing, help and shell completion.

#include <algorithm>
#include <boost/program_options.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "ctl_type.h"
#include "failure_type.h"

namespace plantain {
namespace {

using Commands = std::vector<std::unique_ptr<CtlCommand>>;

// Name for positional arguments in the option parser; no option uses it.
constexpr char kPositionalOption[] = "words";

// Options common to all commands.
constexpr CtlOption kCommonOptions[] = {
    {"log", "HOST:PORT", "Address of the platform's log (or environment PLANTAIN_LOG)."},
    {"vms", "HOST:PORT", "Address of the platform's VM list (or environment PLANTAIN_VMS)."},
    {"zone", "NAME", "Zone whose view of the VM list to use (or environment PLANTAIN_ZONE)."},
    {"timeout", "SECONDS", "Time for one call to the platform or to a process; default 5."},
    {"output", "text|json", "Form of the output; default text."},
    {"help", "", "Show help and exit."},
};

Commands MakeAllCommands() {
  Commands all;
  for (Commands (*make)() : {MakeDocumentCommands, MakeCheckCommands, MakePublishCommands, MakeStatusCommands,
                             MakeBurnCommands, MakeSettingsCommands}) {
    for (auto& command : make()) all.push_back(std::move(command));
  }
  return all;
}

std::vector<CtlOption> GetAllOptions(const CtlCommand& command) {
  std::vector<CtlOption> options = command.GetOptions();
  options.insert(options.end(), std::begin(kCommonOptions), std::end(kCommonOptions));
  return options;
}

void PrintOptions(const std::vector<CtlOption>& options, std::ostream& out) {
  for (const CtlOption& option : options) {
    std::string left = "  --" + std::string(option.name);
    if (!option.value.empty()) left += " " + std::string(option.value);
    left.resize(std::max<size_t>(left.size() + 1, 26), ' ');
    out << left << option.help << "\n";
  }
}

void PrintHelp(const Commands& commands, std::ostream& out) {
  out << "Usage: plantainctl COMMAND [WORDS] [OPTIONS]\n\nCommands:\n";
  for (const auto& command : commands) {
    std::string left = "  " + std::string(command->GetName()) + " " + std::string(command->GetUsage());
    left.resize(std::max<size_t>(left.size() + 1, 34), ' ');
    out << left << command->GetHelp() << "\n";
  }
  out << "  completion                      Print a completion script for bash.\n\nOptions of all commands:\n";
  PrintOptions({std::begin(kCommonOptions), std::end(kCommonOptions)}, out);
  out << "\nExit codes: 0 done, 1 failed, 2 wrong command line or document, 3 conflict with another publish,\n"
         "4 refused, 5 timed out, 6 outcome unknown. Of `check`: 0 no findings, 1 findings, 2 unreadable.\n";
}

void PrintCommandHelp(const CtlCommand& command, std::ostream& out) {
  out << "Usage: plantainctl " << command.GetName() << " " << command.GetUsage() << " [OPTIONS]\n\n"
      << command.GetHelp() << "\n\nOptions:\n";
  PrintOptions(GetAllOptions(command), out);
  out << "\nExample:\n  " << command.GetExample() << "\n";
}

void PrintCompletion(const Commands& commands, std::ostream& out) {
  out << "_plantainctl() {\n  local word=\"${COMP_WORDS[COMP_CWORD]}\" words=\"\"\n  if [ \"$COMP_CWORD\" -eq 1 ]; "
         "then\n"
         "    words=\"completion";
  for (const auto& command : commands) out << " " << command->GetName();
  out << "\"\n  else\n    case \"${COMP_WORDS[1]}\" in\n";
  for (const auto& command : commands) {
    out << "      " << command->GetName() << ") words=\"";
    for (const CtlOption& option : GetAllOptions(*command)) out << "--" << option.name << " ";
    out << "\" ;;\n";
  }
  out << "    esac\n  fi\n  COMPREPLY=($(compgen -W \"$words\" -f -- \"$word\"))\n}\n"
         "complete -F _plantainctl plantainctl\n";
}

// Parses the arguments after the command's name. Returns an error message if they are invalid.
std::optional<std::string> ParseArguments(const CtlCommand& command, const std::vector<std::string>& args,
                                          CtlArguments& arguments) {
  namespace po = boost::program_options;
  po::options_description description;
  for (const CtlOption& option : GetAllOptions(command)) {
    const std::string name(option.name);
    if (option.value.empty()) {
      description.add_options()(name.c_str(), "");
    } else {
      description.add_options()(name.c_str(), po::value<std::string>());
    }
  }
  description.add_options()(kPositionalOption, po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add(kPositionalOption, -1);
  po::variables_map values;
  try {
    const std::vector<std::string> rest(args.begin() + 1, args.end());
    po::store(po::command_line_parser(rest).options(description).positional(positional).run(), values);
  } catch (const po::error& error) {
    return error.what();
  }
  for (const auto& [name, value] : values) {
    if (name == kPositionalOption) {
      arguments.positional = value.as<std::vector<std::string>>();
    } else {
      arguments.options[name] = value.empty() ? "true" : value.as<std::string>();
    }
  }
  const std::string output = arguments.Get("output", "text");
  if (output != "text" && output != "json") return "--output: expected text or json";
  return std::nullopt;
}

std::string GetFromEnvironment(const CtlArguments& arguments, const char* option, const char* variable) {
  const char* value = std::getenv(variable);
  return arguments.Get(option, value == nullptr ? "" : value);
}

CtlExitCode RunCommand(const CtlCommand& command, const CtlArguments& arguments, CtlOutput output,
                       const CtlPlatformFactory& platform_factory) {
  CtlPlatformOptions options;
  options.log = GetFromEnvironment(arguments, "log", "PLANTAIN_LOG");
  options.vms = GetFromEnvironment(arguments, "vms", "PLANTAIN_VMS");
  options.zone = ZoneName(GetFromEnvironment(arguments, "zone", "PLANTAIN_ZONE"));
  const std::string timeout = arguments.Get("timeout", "5");
  char* end = nullptr;
  const double seconds = std::strtod(timeout.c_str(), &end);
  if (timeout.empty() || *end != '\0' || !(seconds > 0) || seconds > 3600) {
    output.err << "plantainctl: --timeout: expected a number of seconds from 0 to 3600\n";
    return CtlExitCode::kInvalid;
  }
  options.timeout = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  absl::StatusOr<std::unique_ptr<CtlPlatform>> platform = platform_factory(options);
  if (!platform.ok()) return ReportFailure(platform.status(), CtlExitCode::kInvalid, arguments, output);
  return command.Run(arguments, **platform, output);
}

}  // namespace

CtlExitCode RunCtl(const std::vector<std::string>& args, CtlOutput output, const CtlPlatformFactory& platform_factory) {
  const Commands commands = MakeAllCommands();
  if (args.empty() || args[0] == "--help" || args[0] == "help") {
    PrintHelp(commands, args.empty() ? output.err : output.out);
    return args.empty() ? CtlExitCode::kInvalid : CtlExitCode::kOk;
  }
  if (args[0] == "completion") {
    PrintCompletion(commands, output.out);
    return CtlExitCode::kOk;
  }
  for (const auto& command : commands) {
    if (command->GetName() != args[0]) continue;
    CtlArguments arguments;
    const std::optional<std::string> error_text = ParseArguments(*command, args, arguments);
    if (arguments.Has("help")) {
      PrintCommandHelp(*command, output.out);
      return CtlExitCode::kOk;
    }
    if (error_text.has_value()) {
      output.err << "plantainctl " << args[0] << ": " << *error_text << "\n";
      return CtlExitCode::kInvalid;
    }
    return RunCommand(*command, arguments, output, platform_factory);
  }
  output.err << "plantainctl: unknown command " << args[0] << "; `plantainctl --help` lists all commands\n";
  return CtlExitCode::kInvalid;
}

CtlExitCode ReportFailure(const absl::Status& status, CtlExitCode exit_code, const CtlArguments& arguments,
                          CtlOutput output) {
  const std::string type(GetFailureName(GetFailureCode(status)));
  if (arguments.IsJson()) {
    output.out << nlohmann::json{{"error", {{"type", type}, {"text", GetFailureText(status)}}}}.dump() << "\n";
  } else {
    output.err << "error: " << type << ": " << GetFailureText(status) << "\n";
  }
  return exit_code;
}

absl::StatusOr<std::string> ReadTextFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return MakeFailure(FailureCode::kNotFound, path + ": expected a readable file");
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace plantain

// The `check` command: errors, entries without effect and contradictions of a document, and what differs from another.

#include <nlohmann/json.hpp>
#include <optional>

#include "ctl_type.h"
#include "document_review.h"

namespace plantain {
namespace {

using nlohmann::json;

// Exit code 1 of this command. Scripts tell findings from a file that cannot be read, which is 2.
constexpr CtlExitCode kHasFindings = CtlExitCode::kFailed;

struct CheckReport {
  std::string file;
  // Empty if the document was compared with no other.
  std::string against;
  std::vector<DocumentFinding> findings;
  // Number of errors that are not listed.
  size_t omitted = 0;
  std::vector<DocumentDifference> differences;
};

void ReviewText(const std::string& text, YamlNode& tree, CheckReport& report) {
  DocumentFaults faults(report.file);
  DocumentLines lines;
  const Document document = ParseDocumentWithLines(text, tree, lines, faults);
  if (faults.IsEmpty()) {
    report.findings = ReviewDocument(document, lines);
    return;
  }
  for (const DocumentFault& fault : faults.GetFaults()) {
    report.findings.push_back({FindingKind::kError, fault.line, fault.field, "expected " + fault.expected});
  }
  report.omitted = faults.GetOmitted();
}

std::string FormatText(const CheckReport& report) {
  std::string out;
  for (const DocumentFinding& finding : report.findings) {
    out += report.file + ":" + std::to_string(finding.line) + ": " + std::string(GetFindingKindName(finding.kind)) +
           ": " + finding.field + ": " + finding.text + "\n";
  }
  if (report.omitted > 0) out += report.file + ": " + std::to_string(report.omitted) + " further errors\n";
  for (const DocumentDifference& difference : report.differences) {
    const bool is_removed = difference.kind == DifferenceKind::kRemoved;
    out += (is_removed ? report.against : report.file) + ":" + std::to_string(difference.line) + ": " +
           std::string(GetDifferenceKindName(difference.kind)) + ": " + difference.field;
    if (!difference.after.empty()) out += ": " + difference.after;
    if (!difference.before.empty()) out += ": in force " + difference.before;
    out += "\n";
  }
  if (report.findings.empty()) out += report.file + ": no findings\n";
  if (!report.against.empty() && report.differences.empty()) out += report.file + ": no differences\n";
  return out;
}

std::string FormatJson(const CheckReport& report) {
  json findings = json::array();
  for (const DocumentFinding& finding : report.findings) {
    findings.push_back({{"kind", GetFindingKindName(finding.kind)},
                        {"line", finding.line},
                        {"field", finding.field},
                        {"text", finding.text}});
  }
  json out{{"file", report.file}, {"findings", findings}, {"omitted", report.omitted}};
  if (report.against.empty()) return out.dump() + "\n";
  json differences = json::array();
  for (const DocumentDifference& difference : report.differences) {
    differences.push_back({{"kind", GetDifferenceKindName(difference.kind)},
                           {"line", difference.line},
                           {"field", difference.field},
                           {"before", difference.before},
                           {"after", difference.after}});
  }
  out["against"] = report.against;
  out["differences"] = differences;
  return out.dump() + "\n";
}

class CheckCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "check"; }
  std::string_view GetUsage() const override { return "FILE"; }
  std::string_view GetHelp() const override {
    return "Report errors, entries without effect and contradictory limits; sends nothing.";
  }
  std::string_view GetExample() const override {
    return "plantainctl check ustav.yaml --against in-force.yaml\n\n"
           "Exit codes: 0 no findings, 1 findings, 2 a file cannot be read.";
  }
  std::vector<CtlOption> GetOptions() const override {
    return {{"against", "FORCE", "File with the document in force (`plantainctl export`); lists what differs."},
            {"json", "", "The same as --output json."}};
  }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform&, CtlOutput output) const override {
    if (arguments.positional.size() != 1) {
      output.err << "plantainctl check: expected one FILE\n";
      return CtlExitCode::kInvalid;
    }
    CtlArguments form = arguments;
    if (arguments.Has("json")) form.options["output"] = "json";
    CheckReport report;
    report.file = arguments.positional[0];
    const absl::StatusOr<std::string> text = ReadTextFile(report.file);
    if (!text.ok()) return ReportFailure(text.status(), CtlExitCode::kInvalid, form, output);
    YamlNode tree;
    ReviewText(*text, tree, report);
    if (arguments.Has("against")) {
      report.against = arguments.Get("against");
      const absl::Status status = Compare(tree, report);
      if (!status.ok()) return ReportFailure(status, CtlExitCode::kInvalid, form, output);
    }
    output.out << (form.IsJson() ? FormatJson(report) : FormatText(report));
    return report.findings.empty() ? CtlExitCode::kOk : kHasFindings;
  }

 private:
  // Lists the differences from the file `report.against`. Fails if that file cannot be read or is not YAML.
  static absl::Status Compare(const YamlNode& tree, CheckReport& report) {
    const absl::StatusOr<std::string> text = ReadTextFile(report.against);
    if (!text.ok()) return text.status();
    DocumentFaults faults(report.against);
    YamlNode in_force;
    if (!ReadYamlTree(*text, YamlLimits(), in_force, faults)) return faults.GetStatus();
    // A text that is not YAML has no fields to compare, so no result of a comparison is reported.
    if (tree.kind == YamlNode::Kind::kNull) {
      report.against.clear();
    } else {
      report.differences = CompareDocuments(in_force, tree);
    }
    return absl::OkStatus();
  }
};

}  // namespace

std::vector<std::unique_ptr<CtlCommand>> MakeCheckCommands() {
  std::vector<std::unique_ptr<CtlCommand>> commands;
  commands.push_back(std::make_unique<CheckCommand>());
  return commands;
}

}  // namespace plantain

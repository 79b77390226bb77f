#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "ctl_type.h"
#include "fake_ctl_platform.h"
#include "wrong_documents.h"

namespace plantain {
namespace {

const std::string kSourceDir = PLANTAIN_SOURCE_DIR;

// A file that exists as long as this object.
class TemporaryFile {
 public:
  TemporaryFile(const std::string& name, const std::string& text)
      : m_path("/tmp/plantainmast-check-" + std::to_string(getpid()) + "-" + name) {
    std::ofstream(m_path, std::ios::binary) << text;
  }
  ~TemporaryFile() { std::remove(m_path.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& GetPath() const { return m_path; }

 private:
  const std::string m_path;
};

struct CheckResult {
  int exit_code = 0;
  std::string out;
  std::string err;
};

// Runs `plantainctl check`. The log is down, so that a command which used it would fail.
CheckResult Check(std::vector<std::string> args) {
  args.insert(args.begin(), "check");
  std::ostringstream out;
  std::ostringstream err;
  const CtlExitCode exit_code =
      RunCtl(args, {out, err}, [](const CtlPlatformOptions&) -> absl::StatusOr<std::unique_ptr<CtlPlatform>> {
        auto platform = std::make_unique<FakeCtlPlatform>();
        platform->m_is_log_down = true;
        return std::unique_ptr<CtlPlatform>(std::move(platform));
      });
  return {static_cast<int>(exit_code), out.str(), err.str()};
}

// Valid documents with one finding each, and how it is reported.
const std::vector<WrongDocument>& GetDocumentsWithFindings() {
  static const std::vector<WrongDocument> documents = {
      {"placements:\n",
       "  - name: spare\n    versions:\n      - {name: v1, bytes: 7, manifest: "
       "\"3333333333333333333333333333333333333333333333333333333333333333\"}\nplacements:\n",
       ":20: unused: models[1].name: no placement holds model spare"},
      {"    adapters:\n      - name: ramy\n        version: v1\n", "",
       ":15: unused: models[0].adapters[0].name: no placement holds adapter ramy"},
      {"    adapters:\n      - name: ramy\n        versions",
       "      - {name: v2, bytes: 1024, manifest: "
       "\"1111111111111111111111111111111111111111111111111111111111111111\"}\n    adapters:\n      - name: ramy\n"
       "        versions",
       ":14: unused: models[0].versions[1].manifest: the weights of version v1"},
      {"2222222222222222222222222222222222222222222222222222222222222222",
       "1111111111111111111111111111111111111111111111111111111111111111",
       ":19: contradiction: models[0].adapters[0].versions[0].bytes: the same manifest has 1024 bytes elsewhere"},
      {"    calls:\n      - name: seal\n        repeatable: false\n", "    calls: []\n",
       ":30: unused: services[0].calls: callers can make no call to service register"},
      {"workspaces:\n", "  - {name: ledger, pool: register, calls: [{name: look, repeatable: true}]}\nworkspaces:\n",
       ":33: contradiction: services[1].pool: service register has the same pool"},
      {"  - name: inspectors\n    requests_per_s: 10\n    concurrency: 4\n    tokens_per_s: 100\n", "  []\n",
       ":34: contradiction: workspaces: there is no workspace"},
      {"workspaces:\n  - name: inspectors\n    requests_per_s: 10\n    concurrency: 4\n    tokens_per_s: 100\n", "",
       ":1: contradiction: workspaces: there is no workspace"},
      {"tokens_per_s: 100", "tokens_per_s: 9", ":37: contradiction: workspaces[0].tokens_per_s: below requests_per_s"},
      {"floor: 0.5", "floor: 1", ":39: contradiction: rollout.floor: the whole of a pool cannot keep serving"},
      {"floor: 0.5", "floor: 0.8\n  wave: 0.3", ":40: contradiction: rollout.wave: floor and wave sum to more than 1"},
      {"floor: 0.5", "floor: 0.8", ":39: contradiction: rollout.wave: floor and wave sum to more than 1"},
      {"floor: 0.5", "pause_error_share: 1", ":39: contradiction: rollout.pause_error_share: no share of failures"},
      {"  priority: hurried\n", "objectives:\n  availability: 1\n",
       ":41: contradiction: objectives.availability: 1 leaves no error budget"},
      {"  priority: hurried\n", "objectives:\n  latency_share: 0\n",
       ":41: unused: objectives.latency_share: an objective of 0 is always met"},
      {"  priority: hurried\n", "objectives: {replicas_weight: 0, origin_weight: 0, zone_weight: 0}\n",
       ":40: contradiction: objectives.zone_weight: all three weights are 0"},
  };
  return documents;
}

// Guards against findings about documents that are in use, on which operators would learn to ignore the command.
TEST_CASE("plantainctl check has no findings about the sample documents") {
  for (const char* name : {"ustav", "atlas-sol"}) {
    const std::string path = kSourceDir + "/config/" + name + ".yaml";
    const CheckResult result = Check({path, "--against", path});
    CHECK(result.exit_code == 0);
    CHECK(result.out == path + ": no findings\n" + path + ": no differences\n");
  }
  const TemporaryFile file("clean.yaml", MakeText());
  CHECK(Check({file.GetPath()}).exit_code == 0);
}

// Guards against a fault that is not reported, or is reported without its line.
TEST_CASE("plantainctl check names each error with its line and exits with 1") {
  REQUIRE(GetWrongDocuments().size() >= 20);
  for (const WrongDocument& wrong : GetWrongDocuments()) {
    const TemporaryFile file("wrong.yaml", Replace(MakeText(), wrong.from, wrong.to));
    const CheckResult result = Check({file.GetPath()});
    INFO(wrong.to << "\n" << result.out);
    CHECK(result.exit_code == 1);
    // The table's faults have the form `d.yaml:LINE: FIELD: expected ...`.
    const std::string location = wrong.fault.substr(std::string("d.yaml").size());
    const size_t line_end = location.find(": ");
    CHECK(result.out.find(file.GetPath() + location.substr(0, line_end) + ": error" + location.substr(line_end)) !=
          std::string::npos);
  }
}

// Guards against an entry without effect, or limits that contradict each other, that pass unnoticed because the
// document is valid; and against findings that have nothing to do with the change.
TEST_CASE("plantainctl check names entries without effect and contradictions of valid documents") {
  for (const WrongDocument& document : GetDocumentsWithFindings()) {
    const std::string text = Replace(MakeText(), document.from, document.to);
    const TemporaryFile file("finding.yaml", text);
    const CheckResult result = Check({file.GetPath()});
    INFO(document.to << "\n" << result.out << result.err);
    CHECK(result.exit_code == 1);
    CHECK(result.out.starts_with(file.GetPath() + document.fault));
    CHECK(std::count(result.out.begin(), result.out.end(), '\n') == 1);
  }
}

// Guards against a change that an operator does not see before publishing, and against exit code 1 for a mere change.
TEST_CASE("plantainctl check lists what differs from the document in force") {
  const TemporaryFile in_force("in-force.yaml", MakeText());
  std::string text = Replace(MakeText(), "service: out", "service: in");
  text = Replace(text, "    repeatable: false\n", "    repeatable: false\n      - {name: look, repeatable: true}\n");
  text = Replace(text, "  priority: hurried\n", "");
  const TemporaryFile file("changed.yaml", "# Comments do not count.\n" + text);
  const CheckResult result = Check({file.GetPath(), "--against", in_force.GetPath()});
  CHECK(result.exit_code == 0);
  CHECK(result.out.find(file.GetPath() + ":8: changed: zones[brno].service: in: in force out\n") != std::string::npos);
  CHECK(result.out.find(file.GetPath() + ":34: added: services[register].calls[look]\n") != std::string::npos);
  CHECK(result.out.find(in_force.GetPath() + ":40: removed: rollout.priority: in force hurried\n") !=
        std::string::npos);
  CHECK(std::count(result.out.begin(), result.out.end(), '\n') == 4);

  const CheckResult json_result = Check({file.GetPath(), "--against", in_force.GetPath(), "--json"});
  const auto json = nlohmann::json::parse(json_result.out);
  CHECK(json["findings"].empty());
  CHECK(json["against"] == in_force.GetPath());
  REQUIRE(json["differences"].size() == 3);
  CHECK(json["differences"][0]["kind"] == "removed");
  CHECK(json["differences"][0]["before"] == "hurried");
}

// Guards against scripts that take a file which cannot be read for one with findings, or for a clean one.
TEST_CASE("plantainctl check exits with 2 if a file cannot be read") {
  const TemporaryFile file("readable.yaml", MakeText());
  const TemporaryFile broken("broken.yaml", "a: [\n");
  const std::string missing = file.GetPath() + ".missing";
  CHECK(Check({missing}).exit_code == 2);
  CHECK(Check({file.GetPath(), "--against", missing}).exit_code == 2);
  CHECK(Check({file.GetPath(), "--against", broken.GetPath()}).exit_code == 2);
  CHECK(Check({}).exit_code == 2);
  CHECK(Check({file.GetPath(), file.GetPath()}).exit_code == 2);
  const CheckResult result = Check({missing, "--json"});
  CHECK(result.exit_code == 2);
  CHECK(nlohmann::json::parse(result.out)["error"]["type"] == "not_found");
}

// Guards against a script that gets no line or no kind of a finding.
TEST_CASE("plantainctl check --json lists each finding with kind, line and field") {
  const TemporaryFile valid("json.yaml", Replace(MakeText(), "floor: 0.5", "floor: 1"));
  const auto json = nlohmann::json::parse(Check({valid.GetPath(), "--json"}).out);
  REQUIRE(json["findings"].size() == 1);
  CHECK(json["findings"][0]["kind"] == "contradiction");
  CHECK(json["findings"][0]["line"] == 39);
  CHECK(json["findings"][0]["field"] == "rollout.floor");
  CHECK_FALSE(json.contains("differences"));
  const TemporaryFile wrong("json-wrong.yaml", Replace(MakeText(), "floor: 0.5", "floor: 2"));
  const auto wrong_json = nlohmann::json::parse(Check({wrong.GetPath(), "--json"}).out);
  REQUIRE(wrong_json["findings"].size() == 1);
  CHECK(wrong_json["findings"][0]["kind"] == "error");
}

}  // namespace
}  // namespace plantain

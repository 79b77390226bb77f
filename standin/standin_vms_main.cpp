// Stand-in for the platform's VM list.

#include <deque>
#include <fstream>
#include <iostream>

#include "clock.h"
#include "failure_type.h"
#include "standin_base.h"

namespace plantain::standin {
namespace {

constexpr char kExamples[] =
    "  standin-vms --file vms.json --lag-ms 2000\n"
    "  curl '127.0.0.1:9300/vms?zone=praha'\n"
    "  curl -X POST -d '{\"vms\":[{\"id\":\"e1\",\"zone\":\"praha\",\"region\":\"cz\",\"kind\":\"entry\",\n"
    "    \"pool\":\"\",\"address\":\"127.0.1.1\",\"state\":\"live\",\"address_from\":{\"brno\":\"127.1.1.1\"}}]}' "
    "127.0.0.1:9300/control\n";
constexpr size_t kMaxBodyBytes = 16 * 1024 * 1024;

// Serves the VM list. Changes become visible after a lag.
class VmsStandin {
 public:
  VmsStandin(Loop& loop, int64_t lag_ms) : m_loop(loop), m_lag_ms(lag_ms) {}

  void SetList(nlohmann::json vms) { m_vms = std::move(vms); }

  HttpResponse Answer(const HttpRequest& request) {
    const std::string_view path = GetPath(request.target);
    if (path == "/stats") return MakeJsonResponse(200, R"({"requests":)" + std::to_string(m_requests) + "}");
    if (path != "/vms") return MakeErrorResponse(404, "not_found");
    ++m_requests;
    const std::string zone = GetQueryValue(request.target, "zone");
    nlohmann::json vms = m_vms;
    for (nlohmann::json& vm : vms) {
      const nlohmann::json address_by_zone = vm.value("address_from", nlohmann::json::object());
      if (address_by_zone.contains(zone)) vm["address"] = address_by_zone[zone];
      vm.erase("address_from");
    }
    return MakeJsonResponse(200, nlohmann::json{{"vms", std::move(vms)}}.dump());
  }

  absl::Status Control(const nlohmann::json& fields) {
    m_lag_ms = fields.value("lag_ms", m_lag_ms);
    if (!fields.contains("vms")) return absl::OkStatus();
    if (!fields["vms"].is_array()) return MakeFailure(FailureCode::kProtocol, "vms: expected a list");
    // Changes with an equal lag become visible in the order of their arrival.
    RunDetached(m_loop, Milliseconds(m_lag_ms), [this, vms = fields["vms"]] { m_vms = vms; });
    return absl::OkStatus();
  }

 private:
  Loop& m_loop;
  int64_t m_lag_ms;
  nlohmann::json m_vms = nlohmann::json::array();
  uint64_t m_requests = 0;
};

// Reads the initial list, either a JSON list or an object with the field `vms`.
absl::Status LoadFile(const std::string& path, VmsStandin& vms) {
  std::ifstream file(path);
  if (!file) return MakeFailure(FailureCode::kSettingInvalid, path + ": cannot be read");
  nlohmann::json content = nlohmann::json::parse(file, nullptr, false);
  if (content.is_object()) content = content.value("vms", nlohmann::json());
  if (!content.is_array()) return MakeFailure(FailureCode::kSettingInvalid, path + ": expected a JSON list of VMs");
  vms.SetList(std::move(content));
  return absl::OkStatus();
}

int Run(int argc, char** argv) {
  CommandLine command_line("standin-vms", 9300, "VM list whose changes become visible after a lag.", kExamples);
  std::string path;
  int64_t lag_ms = 0;
  command_line.GetDescription().add_options()("file", boost::program_options::value(&path),
                                              "JSON file with the initial list.")(
      "lag-ms", boost::program_options::value(&lag_ms)->default_value(lag_ms),
      "Time until a change by POST /control becomes visible.");
  if (const auto exit_code = command_line.Parse(argc, argv)) return *exit_code;

  Loop loop;
  SeededRandom random(command_line.GetSeed());
  HttpStandin standin(loop, random);
  VmsStandin vms(loop, lag_ms);
  standin.SetControlHandler([&](const nlohmann::json& fields) { return vms.Control(fields); });
  absl::Status started = path.empty() ? absl::OkStatus() : LoadFile(path, vms);
  if (started.ok()) {
    started = standin.Listen(
        command_line.GetAddress(), command_line.GetPort(), kMaxBodyBytes,
        [&](HttpRequest request, std::shared_ptr<HttpResponder> responder) { responder->Send(vms.Answer(request)); });
  }
  return RunUntilTerminated(loop, command_line.GetProgram(), started);
}

}  // namespace
}  // namespace plantain::standin

int main(int argc, char** argv) { return plantain::standin::Run(argc, argv); }

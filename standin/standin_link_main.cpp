// Stand-in for the network between zones.

#include <fstream>
#include <iostream>

#include "failure_type.h"
#include "link_relay.h"
#include "standin_base.h"

namespace plantain::standin {
namespace {

constexpr char kExamples[] =
    "  standin-link --file link.json\n"
    "  curl -X POST -d '{\"cut\":[[\"praha\",\"brno\"]]}' 127.0.0.1:9400/control\n"
    "  curl -X POST -d '{\"heal\":[[\"praha\",\"brno\"]]}' 127.0.0.1:9400/control\n"
    "  curl -X POST -d '{\"cut_one_way\":[[\"praha\",\"brno\"]]}' 127.0.0.1:9400/control\n"
    "  curl -X POST -d '{\"reset\":[[\"praha\",\"brno\"]]}' 127.0.0.1:9400/control\n"
    "  curl 127.0.0.1:9400/stats\n"
    "link.json:\n"
    "  {\"rate\":2500000,\n"
    "   \"relays\":[{\"listen_address\":\"127.9.110.1\",\"listen_port\":7400,\n"
    "               \"target_address\":\"127.9.0.1\",\"target_port\":7400,\"from\":\"brno\",\"to\":\"praha\",\n"
    "               \"from_region\":\"morava\",\"to_region\":\"cechy\",\"delay_ms\":1}]}\n";
constexpr size_t kMaxBodyBytes = 16 * 1024 * 1024;

Duration ParseDelay(double milliseconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

RelaySpec ParseRelay(const nlohmann::json& fields) {
  RelaySpec spec;
  spec.listen_address = fields.at("listen_address").get<std::string>();
  spec.listen_port = fields.at("listen_port").get<uint16_t>();
  spec.target_address = fields.at("target_address").get<std::string>();
  spec.target_port = fields.at("target_port").get<uint16_t>();
  spec.from_zone = fields.at("from").get<std::string>();
  spec.to_zone = fields.at("to").get<std::string>();
  // A zone without a region forms its own region.
  spec.from_region = fields.value("from_region", spec.from_zone);
  spec.to_region = fields.value("to_region", spec.to_zone);
  spec.delay = ParseDelay(fields.value("delay_ms", 0.0));
  return spec;
}

absl::Status AddRelays(const nlohmann::json& list, LinkRelays& relays) {
  for (const auto& fields : list) {
    const absl::Status status = relays.Add(ParseRelay(fields));
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

void SetCuts(const nlohmann::json& pairs, bool is_cut, LinkNetwork& network) {
  for (const auto& pair : pairs) network.SetCut(pair.at(0).get<std::string>(), pair.at(1).get<std::string>(), is_cut);
}

absl::Status Control(const nlohmann::json& fields, LinkNetwork& network, LinkRelays& relays) {
  SetCuts(fields.value("cut", nlohmann::json::array()), true, network);
  SetCuts(fields.value("heal", nlohmann::json::array()), false, network);
  for (const auto& pair : fields.value("cut_one_way", nlohmann::json::array())) {
    network.SetOneWayCut(pair.at(0).get<std::string>(), pair.at(1).get<std::string>(), true);
  }
  if (fields.value("heal_all", false)) network.HealAll();
  for (const auto& pair : fields.value("reset", nlohmann::json::array())) {
    relays.Reset(pair.at(0).get<std::string>(), pair.at(1).get<std::string>());
  }
  if (fields.contains("rate")) network.SetRegionRate(fields["rate"].get<double>());
  if (fields.contains("delay_ms")) network.SetExtraDelay(ParseDelay(fields["delay_ms"].get<double>()));
  relays.Resume();
  return AddRelays(fields.value("relays", nlohmann::json::array()), relays);
}

HttpResponse AnswerStats(const HttpRequest& request, const LinkNetwork& network) {
  if (GetPath(request.target) != "/stats") return MakeErrorResponse(404, "not_found");
  nlohmann::json pairs = nlohmann::json::array();
  for (const auto& [pair, stats] : network.GetStats()) {
    pairs.push_back(
        {{"from", pair.first}, {"to", pair.second}, {"bytes", stats.bytes}, {"connections", stats.connections}});
  }
  return MakeJsonResponse(200, nlohmann::json{{"pairs", std::move(pairs)}, {"cuts", network.GetCuts()}}.dump());
}

absl::Status LoadFile(const std::string& path, nlohmann::json& out) {
  std::ifstream file(path);
  if (!file) return MakeFailure(FailureCode::kSettingInvalid, path + ": cannot be read");
  out = nlohmann::json::parse(file, nullptr, false);
  if (!out.is_object()) return MakeFailure(FailureCode::kSettingInvalid, path + ": expected a JSON object");
  return absl::OkStatus();
}

int Run(int argc, char** argv) {
  CommandLine command_line("standin-link", 9400, "TCP relays with rate, delay and partition between zones.", kExamples);
  std::string path;
  command_line.GetDescription().add_options()("file", boost::program_options::value(&path),
                                              "JSON file with the network and its relays.");
  if (const auto exit_code = command_line.Parse(argc, argv)) return *exit_code;

  nlohmann::json content = nlohmann::json::object();
  absl::Status status = path.empty() ? absl::OkStatus() : LoadFile(path, content);
  Loop loop;
  SystemClock clock;
  SeededRandom random(command_line.GetSeed());
  HttpStandin standin(loop, random);
  LinkNetwork network(clock, content.value("rate", 0.0));
  LinkRelays relays(loop, clock, network);
  standin.SetControlHandler([&](const nlohmann::json& fields) { return Control(fields, network, relays); });
  try {
    if (status.ok()) status = AddRelays(content.value("relays", nlohmann::json::array()), relays);
  } catch (const nlohmann::json::exception& error) {
    status = MakeFailure(FailureCode::kSettingInvalid, path + ": " + error.what());
  }
  if (status.ok()) {
    status = standin.Listen(command_line.GetAddress(), command_line.GetPort(), kMaxBodyBytes,
                            [&](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                              responder->Send(AnswerStats(request, network));
                            });
  }
  return RunUntilTerminated(loop, command_line.GetProgram(), status);
}

}  // namespace
}  // namespace plantain::standin

int main(int argc, char** argv) { return plantain::standin::Run(argc, argv); }

#include "engine_report.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "failure_type.h"
#include "hex_text.h"
#include "manifest_func.h"

namespace plantain {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxLoaded = 4096;

EngineState ParseState(const std::string& text) {
  if (text == "empty") return EngineState::kEmpty;
  if (text == "warm") return EngineState::kWarm;
  return EngineState::kCold;
}

// Incarnations are numbers or strings, depending on the engine; strings are hashed.
Incarnation ParseIncarnation(const Json& value) {
  if (value.is_number_unsigned()) return Incarnation(value.get<uint64_t>());
  return Incarnation(std::hash<std::string>()(value.dump()));
}

Digest ParseDigestField(const Json& object, const char* name) {
  const auto digest = ParseDigest(object.value(name, std::string()));
  return digest.value_or(Digest());
}

EngineReport ReadReport(const Json& root) {
  EngineReport report;
  EngineStatus& status = report.status;
  status.state = ParseState(root.at("state").get<std::string>());
  status.incarnation = ParseIncarnation(root.at("incarnation"));
  status.orders = root.value("orders", uint64_t{0});
  status.fence = FencingToken(root.value("fence", uint64_t{0}));
  status.in_flight = root.value("in_flight", 0U);
  status.queued = root.value("queued", 0U);
  status.capacity = root.value("capacity", 0U);
  for (const Json& item : root.at("loaded")) {
    if (status.loaded.size() >= kMaxLoaded) break;
    status.loaded.push_back({ModelName(item.at("model").get<std::string>()),
                             AdapterName(item.value("adapter", std::string())), ParseDigestField(item, "manifest")});
  }
  const auto staged = root.find("staged");
  if (staged != root.end() && staged->is_object()) {
    report.staged_manifest = ParseDigestField(*staged, "manifest");
    const std::optional<std::string> bits = ParseHex(staged->value("have", std::string()));
    if (!bits.has_value()) throw std::invalid_argument("engine status: staged.have is not a hexadecimal string");
    report.staged_bits = *bits;
  }
  return report;
}

}  // namespace

absl::StatusOr<EngineReport> ParseEngineReport(std::string_view json) {
  const Json root = Json::parse(json, nullptr, false);
  if (!root.is_object()) return MakeFailure(FailureCode::kProtocol, "engine status is not a JSON object");
  try {
    return ReadReport(root);
  } catch (const std::exception& error) {
    return MakeFailure(FailureCode::kProtocol, error.what());
  }
}

std::string FormatEngineOrder(const EngineOrder& order) {
  Json root;
  root["fence"] = order.fence.Get();
  root["order"] = order.kind == EngineOrderKind::kLoad ? "load" : "unload";
  root["model"] = order.model.Get();
  root["adapter"] = order.adapter.Get();
  root["manifest"] = FormatDigest(order.manifest);
  return root.dump();
}

}  // namespace plantain

#include "member_heartbeat.h"

#include <xxhash.h>

#include "peer.pb.h"

namespace plantain {
namespace {

constexpr size_t kMaxTextLength = 128;
constexpr int kMaxHoldings = 64;
constexpr size_t kDigestBytes = 32;

void AppendText(const std::string& text, std::string& out) {
  out += std::to_string(text.size());
  out += ':';
  out += text;
}

bool IsLengthValid(const std::string& text) { return text.size() <= kMaxTextLength; }

std::optional<HoldingInfo> ReadHolding(const proto::Holding& in) {
  if (!IsLengthValid(in.model()) || !IsLengthValid(in.adapter()) || in.manifest().size() != kDigestBytes)
    return std::nullopt;
  HoldingInfo holding;
  holding.model = ModelName(in.model());
  holding.adapter = AdapterName(in.adapter());
  holding.manifest = Digest(in.manifest());
  holding.is_serving = in.serving();
  holding.permille = in.permille();
  return holding;
}

}  // namespace

uint32_t HashDetail(const MemberHeartbeat& heartbeat) {
  std::string text;
  AppendText(heartbeat.zone.Get(), text);
  AppendText(heartbeat.pool.Get(), text);
  AppendText(heartbeat.service.Get(), text);
  text += static_cast<char>('0' + static_cast<int>(heartbeat.kind));
  for (const HoldingInfo& holding : heartbeat.holdings) {
    AppendText(holding.model.Get(), text);
    AppendText(holding.adapter.Get(), text);
    text += holding.manifest.Get();
    text += holding.is_serving ? '1' : '0';
    text += std::to_string(holding.permille);
  }
  const auto hash = static_cast<uint32_t>(XXH64(text.data(), text.size(), 0));
  // 0 in the wire format means that there is no hash.
  return hash == 0 ? 1 : hash;
}

void WriteHeartbeat(const MemberHeartbeat& heartbeat, const VmId& sender, proto::Heartbeat& out) {
  if (heartbeat.vm != sender) {
    out.set_vm(heartbeat.vm.Get());
    out.set_incarnation(heartbeat.incarnation.Get());
  }
  out.set_question(heartbeat.is_question);
  out.set_sequence(heartbeat.sequence);
  out.set_state(static_cast<proto::MemberState>(heartbeat.state));
  out.set_config_version(heartbeat.config_version.Get());
  out.set_limit(heartbeat.limit);
  out.set_in_flight(heartbeat.in_flight);
  out.set_cold(heartbeat.is_cold);
  out.set_detail(heartbeat.detail);
  if (heartbeat.is_brief) return;
  out.set_full(true);
  out.set_zone(heartbeat.zone.Get());
  out.set_pool(heartbeat.pool.Get());
  out.set_kind(static_cast<proto::MemberKind>(heartbeat.kind));
  out.set_service(heartbeat.service.Get());
  for (const HoldingInfo& holding : heartbeat.holdings) {
    proto::Holding& item = *out.add_holdings();
    item.set_model(holding.model.Get());
    item.set_adapter(holding.adapter.Get());
    item.set_manifest(holding.manifest.Get());
    item.set_serving(holding.is_serving);
    item.set_permille(holding.permille);
  }
}

std::optional<MemberHeartbeat> ReadHeartbeat(const proto::Heartbeat& in, const VmId& sender) {
  const bool is_known_state = in.state() >= 0 && in.state() <= static_cast<int>(MemberState::kDead);
  const bool is_known_kind = in.kind() >= 0 && in.kind() <= static_cast<int>(MemberKind::kEndpoint);
  if (!is_known_state || !is_known_kind || in.holdings_size() > kMaxHoldings) return std::nullopt;
  if (!IsLengthValid(in.vm()) || !IsLengthValid(in.zone()) || !IsLengthValid(in.pool()) || !IsLengthValid(in.service()))
    return std::nullopt;
  MemberHeartbeat out;
  out.vm = in.vm().empty() ? sender : VmId(in.vm());
  out.incarnation = Incarnation(in.incarnation());
  out.sequence = in.sequence();
  out.is_brief = !in.full();
  out.is_question = in.question();
  out.state = static_cast<MemberState>(in.state());
  out.config_version = ConfigVersion(in.config_version());
  out.limit = in.limit();
  out.in_flight = in.in_flight();
  out.is_cold = in.cold();
  out.detail = in.detail();
  out.zone = ZoneName(in.zone());
  out.pool = PoolName(in.pool());
  out.kind = static_cast<MemberKind>(in.kind());
  out.service = ServiceName(in.service());
  for (const proto::Holding& item : in.holdings()) {
    std::optional<HoldingInfo> holding = ReadHolding(item);
    if (!holding.has_value()) return std::nullopt;
    out.holdings.push_back(*std::move(holding));
  }
  if (!out.is_brief && out.detail != HashDetail(out)) return std::nullopt;
  return out;
}

}  // namespace plantain

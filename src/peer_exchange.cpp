#include "peer_exchange.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <mutex>

#include "peer.pb.h"

namespace plantain {
namespace {

constexpr size_t kMaxIdLength = 128;
constexpr size_t kDigestBytes = 32;
constexpr int kMaxHeartbeats = 4096;
constexpr int kMaxSummaries = 300;
constexpr int kMaxModels = 256;
constexpr size_t kMaxPeers = 4096;
constexpr size_t kMaxQuestions = 16;
constexpr size_t kMaxChangesPerMessage = 512;
constexpr size_t kMaxSummariesPerMessage = 4;
// Changes that the peer has not acknowledged within this time are sent again.
constexpr Duration kAckTimeout = std::chrono::seconds(1);

std::optional<ZoneSummaryInfo> ReadSummary(const proto::ZoneSummary& in) {
  if (in.zone().size() > kMaxIdLength || in.reporter().size() > kMaxIdLength) return std::nullopt;
  if (in.models_size() > kMaxModels) return std::nullopt;
  ZoneSummaryInfo out;
  out.zone = ZoneName(in.zone());
  out.reporter = VmId(in.reporter());
  out.sequence = in.sequence();
  for (const proto::ZoneModelSummary& item : in.models()) {
    if (item.model().size() > kMaxIdLength || item.manifest().size() != kDigestBytes) return std::nullopt;
    out.models.push_back(
        {ModelName(item.model()), Digest(item.manifest()), item.serving(), item.limit(), item.in_flight()});
  }
  return out;
}

void WriteSummary(const ZoneSummaryInfo& summary, proto::ZoneSummary& out) {
  out.set_zone(summary.zone.Get());
  out.set_reporter(summary.reporter.Get());
  out.set_sequence(summary.sequence);
  for (const ZoneModelInfo& model : summary.models) {
    proto::ZoneModelSummary& item = *out.add_models();
    item.set_model(model.model.Get());
    item.set_manifest(model.manifest.Get());
    item.set_serving(model.serving);
    item.set_limit(model.limit);
    item.set_in_flight(model.in_flight);
  }
}

bool HasSameServingState(const std::vector<HoldingInfo>& a, const std::vector<HoldingInfo>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const HoldingInfo& x, const HoldingInfo& y) {
    return x.model == y.model && x.adapter == y.adapter && x.manifest == y.manifest && x.is_serving == y.is_serving;
  });
}

// Reports progress in coarse steps, so that a transfer does not change the detail hash with every chunk.
uint32_t RoundProgress(uint32_t permille) {
  constexpr uint32_t kStep = 50;
  return permille >= 1000 ? 1000 : permille / kStep * kStep;
}

// Disables the protobuf log handler, which writes a line to standard error for each malformed message: a faulty sender
// could flood the log. Malformed messages are counted in a metric instead.
void DisableProtobufLog() {
  static std::once_flag once;
  std::call_once(once, [] { google::protobuf::SetLogHandler(nullptr); });
}

}  // namespace

void RelayTokenBucket::Refill(TimePoint now, double rate, double burst) {
  const std::chrono::duration<double> elapsed = now - m_refilled_at;
  m_tokens = m_is_new ? burst : std::min(burst, m_tokens + elapsed.count() * rate);
  m_is_new = false;
  m_refilled_at = now;
}

PeerExchange::PeerExchange(const Clock& clock, MemberTable& table, ConfigSource& config, ConfigExchange& exchange,
                           PeerTransport& transport, PeerExchangeOptions options)
    : m_clock(clock),
      m_table(table),
      m_config(config),
      m_exchange(exchange),
      m_transport(transport),
      m_options(std::move(options)),
      m_summaries(clock, m_options.zone) {
  DisableProtobufLog();
  m_heartbeat.vm = m_options.vm;
  m_heartbeat.incarnation = m_options.incarnation;
  m_heartbeat.zone = m_options.zone;
  m_heartbeat.pool = m_options.pool;
  m_heartbeat.kind = m_options.kind;
  m_heartbeat.service = m_options.service;
}

PeerExchange::~PeerExchange() = default;

void PeerExchange::UpdateSelf(const SelfState& self) {
  m_heartbeat.state = self.state;
  m_heartbeat.limit = self.limit;
  m_heartbeat.in_flight = self.in_flight;
  m_heartbeat.is_cold = self.is_cold;
  m_heartbeat.holdings = self.holdings;
  for (HoldingInfo& holding : m_heartbeat.holdings) holding.permille = RoundProgress(holding.permille);
  m_heartbeat.detail = HashDetail(m_heartbeat);
  NextSequence();
}

bool PeerExchange::IsUrgent(const SelfState& self) const {
  return self.state != m_heartbeat.state || self.is_cold != m_heartbeat.is_cold ||
         !HasSameServingState(self.holdings, m_heartbeat.holdings);
}

void PeerExchange::NextSequence() {
  ++m_heartbeat.sequence;
  m_heartbeat.config_version = GetOwnVersion();
  m_table.SetSelf(m_heartbeat);
}

void PeerExchange::UpdateOwnSummary(const MemberView& view) {
  const TimePoint now = m_clock.GetNow();
  const bool is_due = now - m_summarized_at >= m_plan.summary_period;
  if (m_options.kind != MemberKind::kEntry || m_plan.is_small || !is_due) return;
  m_summarized_at = now;
  m_summaries.UpdateOwnSummary(view, m_options.vm);
}

void PeerExchange::HandleMessage(std::string_view data, const std::function<bool(const VmId& sender)>& accept_sender) {
  const std::unique_ptr<proto::PeerMessage> message = Decode(data);
  if (message == nullptr) return;
  Peer* peer = ValidateSender(*message);
  if (peer == nullptr) return;
  if (!accept_sender(peer->vm)) {
    m_transport.OnMessageRejected("unexpected_sender");
    return;
  }
  HandleSync(*peer, message->sync());
}

std::unique_ptr<proto::PeerMessage> PeerExchange::Decode(std::string_view data) {
  auto message = std::make_unique<proto::PeerMessage>();
  const bool is_parsed = message->ParseFromArray(data.data(), static_cast<int>(data.size()));
  const bool is_valid =
      is_parsed && message->has_sync() && !message->sender().empty() && message->sender().size() <= kMaxIdLength;
  if (is_valid) return message;
  m_transport.OnMessageRejected("malformed");
  return nullptr;
}

PeerExchange::Peer* PeerExchange::ValidateSender(const proto::PeerMessage& message) {
  const VmId sender(message.sender());
  const Incarnation incarnation(message.incarnation());
  if (sender == m_options.vm) {
    m_transport.OnMessageRejected("own_id");
    return nullptr;
  }
  if (m_peers.count(sender) == 0 && m_peers.size() >= kMaxPeers) {
    m_transport.OnMessageRejected("too_many_peers");
    return nullptr;
  }
  Peer& peer = GetPeer(sender);
  if (incarnation < peer.incarnation) {
    m_transport.OnMessageRejected("old_incarnation");
    return nullptr;
  }
  if (incarnation > peer.incarnation) {
    // A restarted peer has lost everything that was sent to its previous incarnation.
    peer = Peer();
    peer.vm = sender;
    peer.incarnation = incarnation;
  }
  m_exchange.RecordPeerContact();
  return &peer;
}

PeerExchange::Peer& PeerExchange::GetPeer(const VmId& vm) {
  Peer& peer = m_peers[vm];
  peer.vm = vm;
  return peer;
}

void PeerExchange::HandleSync(Peer& peer, const proto::PeerSync& sync) {
  if (sync.heartbeats_size() > kMaxHeartbeats || sync.summaries_size() > kMaxSummaries) {
    m_transport.OnMessageRejected("too_many_items");
    return;
  }
  proto::PeerSync answer;
  UpdateChangeNumbers(peer, sync);
  HandleHeartbeats(peer, sync, answer);
  HandleSummaries(sync);
  HandleConfig(peer, sync, answer);
  const bool has_answer =
      answer.heartbeats_size() > 0 || answer.has_config() || answer.want_document() || answer.has_offer();
  if (has_answer) Send(peer, answer);
}

void PeerExchange::UpdateChangeNumbers(Peer& peer, const proto::PeerSync& sync) {
  if (sync.change_from() <= peer.received_change && sync.change_through() > peer.received_change) {
    peer.received_change = sync.change_through();
  }
  // Changes may have been lost with a broken connection, so unacknowledged ones are sent again.
  const bool is_overdue = m_clock.GetNow() - peer.changes_sent_at > std::max<Duration>(kAckTimeout, m_plan.period * 2);
  if (sync.change_ack() < peer.sent_change && is_overdue) peer.sent_change = sync.change_ack();
}

void PeerExchange::HandleHeartbeats(Peer& peer, const proto::PeerSync& sync, proto::PeerSync& answer) {
  bool needs_own_heartbeat = false;
  for (const proto::Heartbeat& item : sync.heartbeats()) {
    std::optional<MemberHeartbeat> heartbeat = ReadHeartbeat(item, peer.vm);
    if (!heartbeat.has_value()) {
      m_transport.OnMessageRejected("malformed");
      continue;
    }
    if (item.vm().empty()) {
      heartbeat->incarnation = peer.incarnation;
      peer.version = std::max(peer.version, heartbeat->config_version);
    }
    const bool is_question_or_suspicion =
        heartbeat->is_question || heartbeat->state == MemberState::kSuspect || heartbeat->state == MemberState::kDead;
    if (is_question_or_suspicion && heartbeat->vm == m_options.vm) {
      needs_own_heartbeat = true;
      continue;
    }
    HandleHeartbeat(peer, *heartbeat, answer);
  }
  if (!needs_own_heartbeat) return;
  // A heartbeat with a higher sequence number refutes the outdated state at the peer.
  NextSequence();
  AddOwnHeartbeat(peer, true, answer);
}

void PeerExchange::HandleHeartbeat(Peer& peer, const MemberHeartbeat& heartbeat, proto::PeerSync& answer) {
  switch (m_table.HandleHeartbeat(heartbeat, peer.vm)) {
    case HeartbeatVerdict::kDetailMissing: {
      MemberHeartbeat question;
      question.vm = heartbeat.vm;
      question.is_brief = true;
      question.is_question = true;
      WriteHeartbeat(question, m_options.vm, *answer.add_heartbeats());
      break;
    }
    case HeartbeatVerdict::kNeedsAnswer:
      AnswerQuestion(heartbeat, answer);
      break;
    case HeartbeatVerdict::kNew: {
      const MemberInfo* member = m_table.FindMember(heartbeat.vm);
      if (member != nullptr && member->address.IsEmpty()) m_transport.OnNewMember();
      break;
    }
    case HeartbeatVerdict::kStale:
      if (heartbeat.vm == peer.vm) m_transport.OnMessageRejected("replayed");
      break;
    case HeartbeatVerdict::kRefusedFuture:
      m_transport.OnMessageRejected("future_incarnation");
      break;
    case HeartbeatVerdict::kRefusedFull:
      m_transport.OnMessageRejected("table_full");
      break;
    case HeartbeatVerdict::kRefusedSelf:
      m_transport.OnMessageRejected("own_id");
      break;
    case HeartbeatVerdict::kChanged:
    case HeartbeatVerdict::kAdvanced:
      break;
  }
}

void PeerExchange::AnswerQuestion(const MemberHeartbeat& question, proto::PeerSync& answer) {
  const std::optional<MemberHeartbeat> newer = m_table.AnswerQuestion(question);
  if (newer.has_value()) WriteHeartbeat(*newer, m_options.vm, *answer.add_heartbeats());
}

void PeerExchange::HandleSummaries(const proto::PeerSync& sync) {
  bool is_changed = false;
  for (const proto::ZoneSummary& item : sync.summaries()) {
    std::optional<ZoneSummaryInfo> summary = ReadSummary(item);
    if (!summary.has_value()) m_transport.OnMessageRejected("malformed");
    if (summary.has_value() && m_summaries.Take(*std::move(summary))) is_changed = true;
  }
  if (is_changed) m_table.SetZoneSummaries(m_summaries.GetOtherZones());
}

void PeerExchange::AddOwnHeartbeat(const Peer& peer, bool is_full, proto::PeerSync& sync) {
  MemberHeartbeat heartbeat = m_heartbeat;
  heartbeat.is_brief = !is_full && peer.sent_detail_hash == m_heartbeat.detail;
  WriteHeartbeat(heartbeat, m_options.vm, *sync.add_heartbeats());
}

void PeerExchange::AddChanges(Peer& peer, proto::PeerSync& sync) {
  const bool is_same_kind = IsSameKind(peer);
  const double rate = is_same_kind ? m_plan.relay_rate : m_plan.other_kind_relay_rate;
  const double burst = is_same_kind ? m_plan.relay_burst : m_plan.other_kind_relay_burst;
  if (rate <= 0) return;
  peer.relay_bucket.Refill(m_clock.GetNow(), rate, burst);
  const bool is_in_relay_scope = IsInRelayScope(peer);
  const uint64_t from = peer.sent_change;
  for (const MemberTable::Change& change : m_table.GetChangesAfter(from, kMaxChangesPerMessage)) {
    if (!peer.relay_bucket.HasTokens()) break;
    peer.sent_change = change.number;
    const bool is_known_there = change.heartbeat.vm == peer.vm || change.from == peer.vm;
    const bool is_local = m_plan.is_small || (is_in_relay_scope && change.zone == m_options.zone);
    if (change.heartbeat.vm == m_options.vm || is_known_there || !is_local) continue;
    proto::Heartbeat& item = *sync.add_heartbeats();
    WriteHeartbeat(change.heartbeat, m_options.vm, item);
    peer.relay_bucket.Consume(item.ByteSizeLong());
  }
  if (peer.sent_change == from) return;
  sync.set_change_from(from);
  sync.set_change_through(peer.sent_change);
  peer.changes_sent_at = m_clock.GetNow();
}

void PeerExchange::AddSummaries(Peer& peer, proto::PeerSync& sync) {
  if (m_plan.is_small || m_options.kind != MemberKind::kEntry || !peer.relay_bucket.HasTokens()) return;
  const bool is_in_relay_scope = IsInRelayScope(peer);
  for (const ZoneSummaryInfo* summary : m_summaries.GetChangesAfter(peer.sent_summary, kMaxSummariesPerMessage)) {
    // A peer in the own zone computes the summary of that zone itself, so it gets those of other zones only. A peer in
    // another zone gets the summary of the own zone only.
    if (is_in_relay_scope == (summary->zone == m_options.zone)) continue;
    proto::ZoneSummary& item = *sync.add_summaries();
    WriteSummary(*summary, item);
    peer.relay_bucket.Consume(item.ByteSizeLong());
  }
}

void PeerExchange::SendSync(const VmId& vm, bool asks_questions) {
  Peer& peer = GetPeer(vm);
  proto::PeerSync sync;
  AddOwnHeartbeat(peer, false, sync);
  if (peer.version < GetOwnVersion()) AddConfigRef(sync);
  if (asks_questions) {
    for (const MemberHeartbeat& question : m_table.GetQuestions(kMaxQuestions)) {
      if (question.vm != vm) WriteHeartbeat(question, m_options.vm, *sync.add_heartbeats());
    }
  }
  AddChanges(peer, sync);
  AddSummaries(peer, sync);
  if (Send(peer, sync)) peer.sent_detail_hash = m_heartbeat.detail;
}

void PeerExchange::SendChanges(const VmId& vm) {
  Peer& peer = GetPeer(vm);
  if (peer.sent_change == m_table.GetChangeNumber()) return;
  const uint64_t before = peer.sent_change;
  proto::PeerSync sync;
  AddChanges(peer, sync);
  if (sync.heartbeats_size() > 0) {
    Send(peer, sync);
  } else {
    // The peer already has all of these changes; the next periodic message advances its change number.
    peer.sent_change = before;
  }
}

bool PeerExchange::Send(Peer& peer, const proto::PeerSync& sync) {
  proto::PeerMessage message;
  message.set_sender(m_options.vm.Get());
  message.set_incarnation(m_options.incarnation.Get());
  *message.mutable_sync() = sync;
  message.mutable_sync()->set_change_ack(peer.received_change);
  const bool is_sent = m_transport.SendTo(peer.vm, message.SerializeAsString());
  // The lost message may have contained the detail, so it has to be sent again.
  if (!is_sent) peer.sent_detail_hash = 0;
  return is_sent;
}

bool PeerExchange::IsInRelayScope(const Peer& peer) const {
  const MemberInfo* member = m_table.FindMember(peer.vm);
  return m_plan.is_small || (member != nullptr && member->zone == m_options.zone);
}

bool PeerExchange::IsSameKind(const Peer& peer) const {
  const MemberInfo* member = m_table.FindMember(peer.vm);
  return member != nullptr && member->kind == m_options.kind;
}

ConfigVersion PeerExchange::GetOwnVersion() const {
  const std::shared_ptr<const ConfigView> view = m_config.GetConfig();
  return view == nullptr ? ConfigVersion(0) : view->version;
}

}  // namespace plantain

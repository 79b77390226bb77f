#include "peer_service.h"

#include <algorithm>

#include "event_log.h"

namespace plantain {
namespace {

// A message contains at most one document of 1 MiB and a bounded number of heartbeats.
constexpr size_t kMaxMessageBytes = 2 * 1024 * 1024;
constexpr int kQueueMessages = 64;
constexpr size_t kMaxSeeds = 32;
// Interval at which the state of this process is polled; urgent changes are sent immediately.
constexpr Duration kSelfCheckInterval = std::chrono::milliseconds(50);
// Minimum time between two plans, since computing a plan ranks all members of the zone.
constexpr Duration kMinPlanInterval = std::chrono::seconds(1);
// Rounds without a message after which a connection opened by the peer is dropped.
constexpr int kMaxSilentRounds = 40;

// Only the end that opened a connection sends keep-alive probes, since an entry of a large zone has many incoming
// connections.
constexpr Duration kServerProbePeriod = Duration(0);
constexpr Duration kClientProbePeriod = std::chrono::seconds(2);

ChannelOptions MakeChannelOptions(Duration probe_period) {
  ChannelOptions options;
  options.probe_period = probe_period;
  options.max_message_bytes = kMaxMessageBytes;
  options.queue_messages = kQueueMessages;
  return options;
}

// Returns a key that is not a valid VM id, so that it cannot collide with the id of a member.
VmId MakeSeedKey(const std::string& address) { return VmId("seed " + address); }

}  // namespace

PeerService::PeerService(Loop& loop, ChannelContext& channels, const Clock& clock, Random& random, Metrics& metrics,
                         ConfigSource& config, ConfigExchange& exchange, MemberService& members, const SelfSource& self,
                         PeerServiceOptions options)
    : m_loop(loop),
      m_channels(channels),
      m_clock(clock),
      m_random(random),
      m_metrics(metrics),
      m_members(members),
      m_self(self),
      m_options(std::move(options)),
      m_sent_bytes(metrics.GetCounter("control_bytes_total", "Bytes of peer messages.", {{"direction", "sent"}})),
      m_received_bytes(
          metrics.GetCounter("control_bytes_total", "Bytes of peer messages.", {{"direction", "received"}})),
      m_link_gauge(metrics.GetGauge("control_peers", "Peers that this process exchanges messages with.")),
      m_exchange(clock, members.GetTable(), config, exchange, *this, m_options.self) {
  config.AddConfigListener([this](const std::shared_ptr<const ConfigView>&) { SendConfigRefs(); });
}

absl::Status PeerService::Start() {
  m_plan.period = m_options.period;
  m_plan.suspect = m_options.suspect;
  m_plan.dead = m_options.dead;
  m_server = std::make_unique<ServerChannel>(
      m_loop, m_channels, MakeChannelOptions(kServerProbePeriod),
      [this](const ConnectionId& from, std::string_view data) { OnServerMessage(from, data); });
  const absl::Status status = m_server->Start(m_options.address, m_options.port);
  if (!status.ok()) return status;
  m_exchange.UpdateSelf(m_self.GetSelfState());
  OpenSeeds();
  ScheduleRound();
  m_self_timer = m_loop.RunEvery(kSelfCheckInterval, [this] { CheckOwnState(); });
  return absl::OkStatus();
}

void PeerService::Stop() {
  m_round_timer.reset();
  m_self_timer.reset();
  m_links.clear();
  m_server.reset();
}

bool PeerService::SendTo(const VmId& peer, const std::string& data) {
  const auto found = m_links.find(peer);
  if (found == m_links.end()) return false;
  Link& link = found->second;
  // Alternates between the two connections. A process that knows a peer only as a seed learns its id and address from
  // messages on the channel that it opened, and the peer cannot tell which of the connections that is.
  link.is_connection_first = !link.is_connection_first;
  const bool is_sent = link.is_connection_first ? SendOnConnection(link, data) || SendOnChannel(link, data)
                                                : SendOnChannel(link, data) || SendOnConnection(link, data);
  if (is_sent) m_sent_bytes.Increment(static_cast<double>(data.size()));
  return is_sent;
}

bool PeerService::SendOnChannel(Link& link, const std::string& data) {
  return link.channel != nullptr && link.channel->Send(data);
}

bool PeerService::SendOnConnection(Link& link, const std::string& data) {
  if (!link.connection.has_value()) return false;
  if (m_server->Send(*link.connection, data)) return true;
  // The peer closed the connection or does not read from it. If the peer is alive, its next message sets the connection
  // again.
  link.connection.reset();
  return false;
}

void PeerService::OnMessageRejected(const char* reason) {
  m_metrics
      .GetCounter("control_refused_total", "Peer messages or parts of them ignored by reason.", {{"reason", reason}})
      .Increment();
}

void PeerService::OnNewMember() {
  // Only entries send requests to new members, so only they need the address before the next periodic list read.
  if (m_options.self.kind == MemberKind::kEntry && m_members.IsListKnown()) m_members.ReadListEarly();
}

void PeerService::ScheduleRound() {
  // Jitter prevents processes that started together from sending in lockstep.
  const double jitter = 0.9 + 0.2 * m_random.GetUnit();
  const auto delay = std::chrono::duration_cast<Duration>(m_plan.period * jitter);
  m_round_timer = m_loop.RunAfter(delay, [this] { RunRound(); });
}

void PeerService::RunRound() {
  ++m_rounds;
  m_exchange.UpdateSelf(m_self.GetSelfState());
  UpdatePlan();
  const bool includes_incoming = m_rounds % kConnectionRounds == 0;
  for (const auto& [vm, link] : m_links) {
    if (link.channel != nullptr || includes_incoming) m_exchange.SendSync(vm, link.channel != nullptr);
  }
  DropInactiveLinks();
  m_link_gauge.Set(static_cast<double>(m_links.size()));
  m_members.PublishIfChanged();
  ScheduleRound();
}

void PeerService::UpdatePlan() {
  const std::shared_ptr<const MemberView> view = m_members.GetMembers();
  const TimePoint now = m_clock.GetNow();
  if (view->generation == m_planned_generation || now - m_planned_at < kMinPlanInterval) return;
  m_planned_generation = view->generation;
  m_planned_at = now;
  ApplyPlan(*view);
  m_exchange.UpdateOwnSummary(*view);
}

void PeerService::ApplyPlan(const MemberView& view) {
  const PeerExchangeOptions& self = m_options.self;
  m_plan = MakePeerPlan(view, {self.vm, self.zone, self.kind, m_options.period, m_options.suspect, m_options.dead});
  m_exchange.SetPlan(m_plan);
  m_members.GetTable().SetTimeouts(m_plan.suspect, m_plan.dead);
  std::map<VmId, IpAddress> wanted;
  for (const MemberInfo& member : view.members) {
    if (std::find(m_plan.peers.begin(), m_plan.peers.end(), member.vm) == m_plan.peers.end()) continue;
    wanted[member.vm] = member.address;
  }
  CloseUnneeded(wanted);
  for (const auto& [vm, address] : wanted) {
    Link& link = m_links[vm];
    link.is_planned = true;
    if (link.channel == nullptr) OpenLink(vm, address);
  }
}

void PeerService::CloseUnneeded(const std::map<VmId, IpAddress>& wanted) {
  for (auto& [vm, link] : m_links) {
    const auto found = wanted.find(vm);
    link.is_planned = found != wanted.end();
    const bool has_address_changed = link.is_planned && link.address != found->second;
    // Until the VM list of the platform is known, the seeds are the only known peers.
    const bool is_unneeded = !link.is_planned && (!link.is_seed || m_members.IsListKnown());
    if (has_address_changed || is_unneeded) link.channel.reset();
  }
}

void PeerService::OpenSeeds() {
  size_t count = 0;
  for (const std::string& address : m_options.seeds) {
    if (address == m_options.address.Get() || ++count > kMaxSeeds) continue;
    const VmId key = MakeSeedKey(address);
    m_links[key].is_seed = true;
    OpenLink(key, IpAddress(address));
  }
}

void PeerService::OpenLink(const VmId& key, const IpAddress& address) {
  Link& link = m_links[key];
  link.address = address;
  link.last_message_at = m_clock.GetNow();
  // The key is shared because it is replaced by the VM id of a seed with the first reply.
  const auto shared_key = std::make_shared<VmId>(key);
  link.channel = std::make_unique<ClientChannel>(
      m_loop, m_channels, HttpTarget{address, m_options.port}, MakeChannelOptions(kClientProbePeriod),
      [this, shared_key](std::string_view data) { OnLinkMessage(shared_key, data); });
}

void PeerService::DropInactiveLinks() {
  const TimePoint now = m_clock.GetNow();
  const Duration timeout = std::max(m_plan.dead, m_plan.period * kMaxSilentRounds);
  for (auto it = m_links.begin(); it != m_links.end();) {
    Link& link = it->second;
    if (now - link.last_message_at > timeout) link.connection.reset();
    const bool is_needed = link.channel != nullptr || link.connection.has_value();
    if (!is_needed) m_exchange.RemovePeer(it->first);
    it = is_needed ? std::next(it) : m_links.erase(it);
  }
}

void PeerService::CheckOwnState() {
  const SelfState self = m_self.GetSelfState();
  if (m_exchange.IsUrgent(self)) {
    m_exchange.UpdateSelf(self);
    for (const auto& [vm, link] : m_links) {
      if (link.channel != nullptr || m_plan.is_small) m_exchange.SendSync(vm, false);
    }
    m_members.PublishIfChanged();
  }
  for (const auto& [vm, link] : m_links) {
    if (link.is_planned) m_exchange.SendChanges(vm);
  }
}

void PeerService::SendConfigRefs() {
  for (const auto& [vm, link] : m_links) m_exchange.SendConfigRef(vm);
}

void PeerService::OnServerMessage(const ConnectionId& from, std::string_view data) {
  m_received_bytes.Increment(static_cast<double>(data.size()));
  m_exchange.HandleMessage(data, [&](const VmId& sender) {
    Link& link = m_links[sender];
    link.connection = from;
    link.last_message_at = m_clock.GetNow();
    return true;
  });
  m_members.PublishIfChanged();
}

void PeerService::OnLinkMessage(const std::shared_ptr<VmId>& key, std::string_view data) {
  m_received_bytes.Increment(static_cast<double>(data.size()));
  m_exchange.HandleMessage(data, [&](const VmId& sender) { return AssignLink(key, sender); });
  const auto found = m_links.find(*key);
  if (found != m_links.end() && found->second.is_seed) {
    m_members.GetTable().SetSeedAddress(*key, found->second.address);
  }
  m_members.PublishIfChanged();
}

// Returns whether the sender is valid for this link. The link of a seed is assigned to the VM that replies on it.
bool PeerService::AssignLink(const std::shared_ptr<VmId>& key, const VmId& sender) {
  if (*key != sender) {
    const auto seed = m_links.find(*key);
    const bool is_new_seed =
        seed != m_links.end() && seed->second.is_seed && *key == MakeSeedKey(seed->second.address.Get());
    if (!is_new_seed) return false;
    Link& link = m_links[sender];
    if (link.channel == nullptr) link.channel = std::move(seed->second.channel);
    link.address = seed->second.address;
    link.is_seed = true;
    // The channel that received this message may still be in use, so it is closed later if it is not needed.
    if (seed->second.channel == nullptr) m_links.erase(seed);
    *key = sender;
  }
  m_links[sender].last_message_at = m_clock.GetNow();
  return true;
}

}  // namespace plantain

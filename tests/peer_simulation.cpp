#include "peer_simulation.h"

#include <algorithm>

namespace plantain {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
// Members are checked for timeouts, and alarms are counted, every 250 ms as in MemberService.
constexpr uint64_t kStepsPerCheck = 25;
constexpr Duration kPeriod = std::chrono::milliseconds(500);
constexpr Duration kSuspect = std::chrono::seconds(3);
constexpr Duration kDead = std::chrono::seconds(10);

MemberTableOptions MakeTableOptions(const VmListRow& row) {
  MemberTableOptions options;
  options.self = row.vm;
  options.address = row.address;
  options.suspect = kSuspect;
  options.dead = kDead;
  return options;
}

}  // namespace

SimNode::SimNode(Simulation& simulation, VmListRow row, Incarnation incarnation)
    : m_simulation(simulation), m_row(std::move(row)), m_table(simulation.clock, MakeTableOptions(m_row)) {
  PeerExchangeOptions options;
  options.vm = m_row.vm;
  options.zone = m_row.zone;
  options.pool = m_row.pool;
  options.kind = m_row.kind;
  options.incarnation = incarnation;
  m_exchange = std::make_unique<PeerExchange>(simulation.clock, m_table, config, config, *this, options);
  self.state = MemberState::kServing;
  m_exchange->UpdateSelf(self);
  config.AddConfigListener([this](const std::shared_ptr<const ConfigView>&) {
    for (const VmId& vm : m_planned) m_exchange->SendConfigRef(vm);
    for (const VmId& vm : m_connected) m_exchange->SendConfigRef(vm);
  });
}

bool SimNode::SendTo(const VmId& peer, const std::string& data) {
  if (m_planned.count(peer) == 0 && m_connected.count(peer) == 0) return false;
  m_simulation.Post(m_row.vm, peer, data);
  return true;
}

void SimNode::CountAlarms() {
  const std::shared_ptr<const MemberView> view = m_table.MakeView();
  for (const MemberInfo& member : view->members) {
    if (member.state == MemberState::kSuspect || member.state == MemberState::kDead) ++alarms;
  }
}

void SimNode::Step(bool checks_timeouts) {
  const TimePoint now = m_simulation.clock.GetNow();
  if (checks_timeouts) m_table.Tick();
  if (now >= m_next_plan) {
    m_next_plan = now + std::chrono::seconds(1);
    m_table.SetVmList(m_simulation.vm_list);
    m_plan = MakePeerPlan(*m_table.MakeView(), {m_row.vm, m_row.zone, m_row.kind, kPeriod, kSuspect, kDead});
    m_exchange->SetPlan(m_plan);
    m_table.SetTimeouts(m_plan.suspect, m_plan.dead);
    m_planned = std::set<VmId>(m_plan.peers.begin(), m_plan.peers.end());
  }
  if (m_exchange->IsUrgent(self)) {
    m_exchange->UpdateSelf(self);
    for (const VmId& vm : m_planned) m_exchange->SendSync(vm, false);
  }
  if (now >= m_next_round) RunRound();
  for (const VmId& vm : m_planned) m_exchange->SendChanges(vm);
}

void SimNode::RunRound() {
  const double jitter = 0.9 + 0.2 * m_simulation.random.GetUnit();
  m_next_round = m_simulation.clock.GetNow() + std::chrono::duration_cast<Duration>(m_plan.period * jitter);
  ++m_rounds;
  m_exchange->UpdateSelf(self);
  for (const VmId& vm : m_planned) m_exchange->SendSync(vm, true);
  if (m_rounds % kConnectionRounds != 0) return;
  for (const VmId& vm : m_connected) {
    if (m_planned.count(vm) == 0) m_exchange->SendSync(vm, false);
  }
}

void SimNode::Receive(const VmId& from, const std::string& data) {
  m_exchange->HandleMessage(data, [&](const VmId& sender) {
    m_connected.insert(sender);
    return sender == from;
  });
}

MemberState SimNode::GetState(const VmId& vm) {
  m_table.Tick();
  const std::shared_ptr<const MemberView> view = m_table.MakeView();
  for (const MemberInfo& member : view->members) {
    if (member.vm == vm) return member.state;
  }
  return MemberState::kUnknown;
}

Simulation::Simulation(int entries, int agents, uint64_t seed, int zones) : random(seed) {
  for (int i = 0; i < entries + agents; ++i) {
    VmListRow row;
    row.vm = VmId((i < entries ? "entry-" : "agent-") + std::to_string(i));
    row.zone = ZoneName("zone-" + std::to_string(i % zones));
    row.kind = i < entries ? MemberKind::kEntry : MemberKind::kEndpoint;
    row.address = IpAddress("127.0.0." + std::to_string(i + 1));
    vm_list.push_back(row);
  }
  for (const VmListRow& row : vm_list) nodes[row.vm] = std::make_unique<SimNode>(*this, row, Incarnation(1));
}

void Simulation::Run(Duration time) {
  const TimePoint end = clock.GetNow() + time;
  while (clock.GetNow() < end) {
    clock.Advance(kStep);
    while (!m_in_flight.empty() && m_in_flight.begin()->first <= clock.GetNow()) {
      const Message message = std::move(m_in_flight.begin()->second);
      m_in_flight.erase(m_in_flight.begin());
      const auto found = nodes.find(message.to);
      if (found != nodes.end() && found->second->is_up) found->second->Receive(message.from, message.data);
    }
    const bool is_check_due = ++m_steps % kStepsPerCheck == 0;
    for (auto& [vm, node] : nodes) {
      if (!node->is_up) continue;
      node->Step(is_check_due);
      if (is_check_due) node->CountAlarms();
    }
  }
}

void Simulation::Post(const VmId& from, const VmId& to, const std::string& data) {
  bytes += data.size();
  if (network.blocked.count({from, to}) != 0) return;
  const int copies = random.GetUnit() < network.duplication ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (random.GetUnit() < network.loss) continue;
    const auto delay = std::chrono::duration_cast<Duration>(network.max_delay * random.GetUnit());
    m_in_flight.emplace(clock.GetNow() + delay, Message{from, to, data});
  }
}

void Simulation::Restart(const VmId& vm) {
  const auto row = std::find_if(vm_list.begin(), vm_list.end(), [&](const VmListRow& r) { return r.vm == vm; });
  const auto now = static_cast<uint64_t>(clock.GetWallTime().time_since_epoch().count());
  nodes[vm] = std::make_unique<SimNode>(*this, *row, Incarnation(now));
}

std::vector<VmId> Simulation::GetVms(MemberKind kind) const {
  std::vector<VmId> out;
  for (const VmListRow& row : vm_list) {
    if (row.kind == kind) out.push_back(row.vm);
  }
  return out;
}

}  // namespace plantain

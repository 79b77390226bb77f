#include "weight_control.h"

#include <algorithm>

#include "event_log.h"
#include "manifest_func.h"

namespace plantain {
namespace {

// Limits the delay between a membership change and a rollout turn that the change permits.
constexpr Duration kTickPeriod = Milliseconds(100);
constexpr uint32_t kFullPermille = 1000;

}  // namespace

WeightControl::WeightControl(WeightControlOptions options, const WeightControlDeps& deps)
    : m_options(std::move(options)),
      m_deps(deps),
      m_rollout(deps.clock, m_options.rollout_settle),
      m_swap(deps.clock, m_options.swap, deps.gate, *this) {
  m_deps.config.AddConfigListener([this](const std::shared_ptr<const ConfigView>&) { OnConfig(); });
  m_deps.members.AddMemberListener([this](const std::shared_ptr<const MemberView>&) { UpdateTransferGoal(); });
  m_deps.engine.AddEngineListener([this](const std::shared_ptr<const EngineStatus>&) { OnReport(); });
  m_deps.exchange.SetProgressListener([this](const ProgressMap& progress) { OnProgress(progress); });
  m_deps.gate.SetOnEvent([this] { m_deps.loop.Post([this] { OnGateEvent(); }); });
}

absl::Status WeightControl::Start() {
  m_tick_timer = m_deps.loop.RunEvery(kTickPeriod, [this] { Tick(); });
  m_deps.loop.Post([this] { OnConfig(); });
  return absl::OkStatus();
}

void WeightControl::Stop() { m_tick_timer.reset(); }

void WeightControl::OnConfig() {
  const auto config = m_deps.config.GetConfig();
  if (config == nullptr || config == m_config) return;
  m_config = config;
  m_required.clear();
  std::map<WeightSlot, std::set<Digest>> listed;
  for (const Assignment& assignment : GetAssignments(config->document, m_options.pool)) {
    const WeightSlot slot{assignment.model, assignment.adapter};
    m_required.push_back({slot, assignment.manifest});
    listed[slot] = GetListedManifests(config->document, slot);
  }
  m_swap.SetRequired(m_required, std::move(listed));
  UpdateTransferGoal();
  m_swap.Step();
  UpdateStageState();
  UpdateHoldings();
}

void WeightControl::OnReport() {
  m_swap.OnReport(*m_deps.engine.GetReport());
  UpdateStageState();
  UpdateHoldings();
  UpdateTransferGoal();
}

void WeightControl::OnGateEvent() {
  if (m_deps.gate.ConsumeMismatch()) m_swap.OnMismatch();
  m_swap.Step();
  UpdateHoldings();
}

void WeightControl::OnProgress(const ProgressMap& progress) {
  m_progress = progress;
  // Staging counts as complete only once the engine itself reports it, so its status is requested at once.
  const auto target = m_swap.GetStageTarget();
  if (target.has_value()) {
    const auto found = progress.find(target->manifest);
    if (found != progress.end() && found->second.is_staged && !m_swap.IsStaged(target->manifest)) RefreshStatus();
  }
  UpdateHoldings();
}

void WeightControl::Tick() {
  const AdmissionReport admission = m_deps.admission.GetAdmission();
  m_rollout.OnAdmission(admission);
  m_has_live_requests = admission.in_flight > 0;
  m_swap.Step();
  UpdateStageState();
  UpdateHoldings();
  UpdateTransferGoal();
}

void WeightControl::SendOrder(const EngineOrder& order) {
  m_deps.engine.SendOrder(order, [this, order](const OrderResult& result) {
    m_swap.OnOrderDone(order, result);
    UpdateHoldings();
  });
}

bool WeightControl::MaySwap(const RequiredWeights& required) {
  if (m_config == nullptr) return false;
  if (m_config->load_deadline.has_value() && m_deps.clock.GetNow() >= *m_config->load_deadline) return true;
  const SwapQuery query{m_options.vm, m_options.zone, m_options.pool, required.slot, required.manifest};
  const SwapDecision decision = m_rollout.Decide(m_config->document, *GetView(), query);
  if (decision != m_swap_decision)
    LogEvent(LogLevel::kInfo, "rollout_turn", {{"verdict", GetSwapDecisionName(decision)}});
  m_swap_decision = decision;
  return decision == SwapDecision::kGo;
}

size_t WeightControl::GetChunkCount(const Digest& manifest) const {
  const auto found = m_progress.find(manifest);
  return found == m_progress.end() ? 0 : found->second.chunk_count;
}

void WeightControl::UpdateTransferGoal() {
  if (m_config == nullptr) return;
  const auto view = GetView();
  ExchangeGoal goal;
  goal.has_live_requests = m_has_live_requests;
  for (const Assignment& assignment : GetAssignments(m_config->document, m_options.pool)) {
    ExchangeWant want = MakeWant(m_config->document, *view, assignment);
    ExchangeWant next_version_want = want;
    if (want.is_needed || !IsServedByAll(*view, want.peers, want.manifest)) goal.wants.push_back(std::move(want));
    if (m_config->next_manifest.IsEmpty() || goal.wants.size() > 1) continue;
    next_version_want.manifest = m_config->next_manifest;
    next_version_want.is_needed = true;
    goal.wants.push_back(std::move(next_version_want));
  }
  m_deps.exchange.SetGoal(std::move(goal));
}

ExchangeWant WeightControl::MakeWant(const Document& document, const MemberView& view,
                                     const Assignment& assignment) const {
  ExchangeWant want;
  want.slot = {assignment.model, assignment.adapter};
  want.manifest = assignment.manifest;
  if (m_options.has_exchange) {
    want.peers = GetWeightPeers(document, view, m_options.zone, assignment.manifest);
    want.origin_fetch_zone = GetOriginFetchZone(document, want.peers, assignment.manifest);
  } else {
    want.peers = {{m_options.vm, m_options.zone, m_options.address}};
    want.origin_fetch_zone = m_options.zone;
  }
  want.is_urgent = document.rollout.priority == RolloutPriority::kUrgent;
  want.is_needed = m_swap.GetConfirmed(want.slot) != assignment.manifest;
  return want;
}

void WeightControl::UpdateStageState() {
  const auto report = m_deps.engine.GetReport();
  StagingState state;
  if (const auto target = m_swap.GetStageTarget()) state.target = target->manifest;
  if (!report->reserved_manifest.IsEmpty()) state.target = report->reserved_manifest;
  state.incarnation = report->status.incarnation;
  state.staged_manifest = report->staged_manifest;
  state.staged_bits = report->staged_bits;
  m_deps.exchange.SetStagingState(std::move(state));
}

void WeightControl::UpdateHoldings() {
  std::vector<HoldingInfo> holdings;
  for (const RequiredWeights& required : m_required) {
    // While the slot serves an older version, lists both that version and the one being fetched.
    const auto served = m_swap.GetConfirmed(required.slot);
    if (served.has_value() && served != required.manifest && m_deps.gate.IsOpen(required.slot)) {
      const bool is_offered = !m_swap.IsClosing(required.slot);
      holdings.push_back({required.slot.model, required.slot.adapter, *served, is_offered, kFullPermille});
    }
    holdings.push_back(MakeHolding(required));
  }
  m_deps.holdings.SetHoldings(std::move(holdings));
}

HoldingInfo WeightControl::MakeHolding(const RequiredWeights& required) const {
  HoldingInfo holding{required.slot.model, required.slot.adapter, required.manifest, false, 0};
  const bool is_loaded = m_swap.GetConfirmed(required.slot) == required.manifest;
  holding.is_serving = is_loaded && m_deps.gate.IsOpen(required.slot) && !m_swap.IsClosing(required.slot);
  if (is_loaded || m_swap.IsStaged(required.manifest)) {
    holding.permille = kFullPermille;
    return holding;
  }
  const auto found = m_progress.find(required.manifest);
  if (found == m_progress.end() || found->second.chunk_count == 0) return holding;
  const size_t permille = found->second.verified * kFullPermille / found->second.chunk_count;
  // Stays below the full value until the engine itself reports complete staging.
  holding.permille = std::min<uint32_t>(kFullPermille - 1, static_cast<uint32_t>(permille));
  return holding;
}

std::shared_ptr<const MemberView> WeightControl::GetView() const {
  auto view = std::make_shared<MemberView>(*m_deps.members.GetMembers());
  std::erase_if(view->members, [&](const MemberInfo& member) { return member.vm == m_options.vm; });
  view->members.push_back(MakeOwnMemberInfo());
  return view;
}

MemberInfo WeightControl::MakeOwnMemberInfo() const {
  MemberInfo self;
  self.vm = m_options.vm;
  self.zone = m_options.zone;
  self.pool = m_options.pool;
  self.address = m_options.address;
  self.kind = MemberKind::kEndpoint;
  self.state = MemberState::kServing;
  self.holdings = m_deps.holdings.GetHoldings();
  const AdmissionReport admission = m_deps.admission.GetAdmission();
  self.limit = admission.limit;
  self.in_flight = admission.in_flight;
  return self;
}

}  // namespace plantain

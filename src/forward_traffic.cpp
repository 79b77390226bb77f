#include "forward_traffic.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "event_log.h"
#include "failure_type.h"
#include "forward_log.h"
#include "http_status.h"
#include "priority_wait_queue.h"
#include "rendezvous.h"
#include "retry_after.h"
#include "start_pace_log.h"
#include "wait_queue.h"
#include "weight_limit.h"
#include "weight_time.h"

namespace plantain {
namespace {

// Fractions of a route's latency goal that a request may wait in the queue, at least and at most. Between them it waits
// as long as the endpoint's time to the first event leaves. A short wait does no harm, and keeps slots from idling.
constexpr double kMinWaitGoalShare = 0.05;
constexpr double kMaxWaitGoalShare = 0.45;
// The same maximum in pools with several priorities, where the slots of an entry are few for its urgent requests alone.
constexpr double kMaxPriorityWaitGoalShare = 0.75;
// Maximum queue wait of a request that has missed its latency goal, and the divisor that limits the wait to a fraction
// of the time until its deadline.
constexpr Duration kMaxLateWait = Milliseconds(800);
constexpr int kLateWaitDivisor = 6;
// Maximum time that an interrupted stream waits for another endpoint.
constexpr Duration kMaxResumeWait = Milliseconds(600);
// Number of queued requests that are tried when an endpoint may have become free. Requests at the head of the queue may
// need other endpoints than those behind them.
constexpr size_t kDispatchWindow = 6;
// Most requests at an endpoint beyond its slots, in pools with several priorities. An endpoint with 12 slots and
// answers of 1.4 s begins one of them about every 120 ms.
constexpr uint32_t kMaxOvercommit = 2;
// Fractions of the fleet-wide retry budget that all entries together use, since they do not exchange their retry
// counts. The fixed part is divided by the number of known entries, but at least by kMinEntries: an entry that has just
// started does not know the others yet.
constexpr double kRetryShareFraction = 0.75;
constexpr double kRetrySlackFraction = 0.5;
constexpr size_t kMinEntries = 4;
// Values of Retry-After of requests that took no route.
constexpr Duration kNoConfigRetryAfter = std::chrono::seconds(1);
constexpr Duration kDrainingRetryAfter = Milliseconds(20);

FlowId GetFlow(const RouteMatch& match) {
  const std::string workspace = match.workspace == nullptr ? std::string() : match.workspace->name.Get();
  return FlowId(HashName(workspace + '/' + match.rule->name));
}

Duration GetGoalShare(const ActiveRequest& active, double share) {
  return std::chrono::duration_cast<Duration>(active.GetMatch().rule->latency_target * share);
}

}  // namespace

ForwardTraffic::ForwardTraffic(const Clock& clock, Random& random, const CallerProtocol& protocol,
                               AttemptSender& sender, MemoryBudget& answer_memory, ForwardMetrics& metrics,
                               ForwardOptions options)
    : m_clock(clock),
      m_random(random),
      m_protocol(protocol),
      m_metrics(metrics),
      m_options(std::move(options)),
      m_request_deps{clock, protocol, sender, *this, m_loop_time, answer_memory},
      m_balancer(clock, random, m_options.balancer),
      m_quarantine(clock, this),
      m_fleet(std::make_shared<FleetView>()) {}

ForwardTraffic::~ForwardTraffic() = default;

void ForwardTraffic::SetFleet(const std::shared_ptr<const FleetView>& fleet) {
  const bool is_new_routing = fleet->routing != nullptr && fleet->routing != m_fleet->routing;
  m_fleet = fleet;
  m_balancer.SetFleet(fleet);
  if (is_new_routing) {
    m_matcher = std::make_shared<const RouteMatcher>(fleet->routing);
    for (auto& [pool, state] : m_pools) SelectQueue(pool, state);
  }
  RefuseUnservable();
  for (const auto& [pool, state] : m_pools) DispatchQueued(pool);
}

void ForwardTraffic::SetEntries(EntryView view) {
  const auto first = std::min_element(view.entries.begin(), view.entries.end(),
                                      [](const EntryDemand& a, const EntryDemand& b) { return a.entry < b.entry; });
  m_quarantine.SetTrialOwner(first == view.entries.end() || first->entry == m_options.balancer.self);
  std::set<VmId> known = view.named;
  for (const EntryDemand& entry : view.entries) known.insert(entry.entry);
  m_entry_count = known.size();
  for (auto& [pool, state] : m_pools) {
    if (state.budget != nullptr) state.budget->SetReserve(GetRetryReserve());
  }
  m_balancer.SetMinVersions(GetMinVersions());
  m_balancer.SetEntries(view.entries);
  m_balancer.GetStatements().SetEntries(std::move(view));
}

bool ForwardTraffic::TakeHasNews() {
  const bool has_content_news = m_quarantine.TakeHasNews();
  const bool has_pace_news = m_balancer.GetStartPace().TakeHasNews();
  return std::exchange(m_has_statement_news, false) || has_content_news || has_pace_news;
}

std::map<PoolName, double> ForwardTraffic::GetDemand() const {
  std::map<PoolName, double> demand;
  for (const auto& [pool, state] : m_pools) demand[pool] = state.demand.Get(m_clock.GetNow()).value_or(0);
  return demand;
}

std::map<PoolName, PriorityDemand> ForwardTraffic::GetPriorityDemand() const {
  std::map<PoolName, PriorityDemand> demand;
  for (const auto& [pool, state] : m_pools) {
    if (!state.has_priorities) continue;
    PriorityDemand& out = demand[pool];
    out.held_s = state.spare_capacity.GetHeldSeconds();
    for (const auto& [priority, rate] : state.priority_demand) {
      out.requests_per_s[priority] = rate.Get(m_clock.GetNow()).value_or(0);
    }
  }
  return demand;
}

void ForwardTraffic::OnLoad(const std::vector<EndpointLoad>& loads) {
  for (const EndpointLoad& load : loads) m_balancer.OnLoad(load);
  for (const auto& [pool, state] : m_pools) DispatchQueued(pool);
}

double ForwardTraffic::GetRetryReserve() const {
  return m_options.retry_slack * kRetrySlackFraction / static_cast<double>(std::max(kMinEntries, m_entry_count));
}

ForwardTraffic::PoolState& ForwardTraffic::GetPool(const PoolName& pool) {
  PoolState& state = m_pools[pool];
  if (state.budget == nullptr) {
    state.budget = std::make_unique<RetryBudget>(m_options.retry_share * kRetryShareFraction, GetRetryReserve());
    SelectQueue(pool, state);
  }
  return state;
}

// Gives a pool the queue that its requests need, which a new configuration may change while requests wait.
void ForwardTraffic::SelectQueue(const PoolName& pool, PoolState& state) {
  const bool has_priorities = m_matcher != nullptr && m_matcher->HasPriorities(pool);
  if (state.wait_queue != nullptr && has_priorities == state.has_priorities) return;
  std::unique_ptr<RequestQueue> queue;
  if (has_priorities) {
    queue = std::make_unique<PriorityWaitQueue>();
  } else {
    queue = std::make_unique<WaitQueue>();
  }
  if (state.wait_queue != nullptr) {
    for (const WaitingRequest& request : state.wait_queue->GetRequests()) queue->Add(request);
  }
  state.wait_queue = std::move(queue);
  state.has_priorities = has_priorities;
  state.priority_demand.clear();
}

void ForwardTraffic::Refuse(const ForwardRequest& request, const std::shared_ptr<HttpResponder>& responder,
                            ForwardFailure failure, std::string_view reason) {
  m_metrics.CountRefusedRequest(failure);
  const uint64_t version = m_fleet->routing == nullptr ? 0 : m_fleet->routing->version.Get();
  LogRefusedRequest(request, failure, reason, version);
  Duration retry_after{};
  if (failure == ForwardFailure::kNoConfig) retry_after = kNoConfigRetryAfter;
  if (failure == ForwardFailure::kDraining) retry_after = kDrainingRetryAfter;
  responder->Send(MakeForwardErrorResponse(failure, retry_after));
}

void ForwardTraffic::HandleHttp(HttpRequest http, const std::shared_ptr<HttpResponder>& responder) {
  absl::StatusOr<ForwardRequest> request = m_protocol.ParseRequest(std::move(http));
  if (!request.ok()) {
    Refuse(ForwardRequest(), responder, ForwardFailure::kMalformed, GetFailureText(request.status()));
    return;
  }
  if (m_matcher == nullptr) {
    Refuse(*request, responder, ForwardFailure::kNoConfig, "no configuration received yet");
    return;
  }
  const RouteMatch match = m_matcher->Match(request->host, request->path, request->api_key);
  if (match.failure == MatchFailure::kNoRoute) {
    Refuse(*request, responder, ForwardFailure::kNoRoute, "no route matches the host and path");
    return;
  }
  if (match.failure == MatchFailure::kUnknownKey) {
    Refuse(*request, responder, ForwardFailure::kUnknownKey, "API key matches no workspace");
    return;
  }
  if (ExceedsDrainDeadline(*request, *match.rule)) {
    Refuse(*request, responder, ForwardFailure::kDraining, "process stops before the request's deadline");
    return;
  }
  StartRequest(*std::move(request), match, responder);
}

bool ForwardTraffic::ExceedsDrainDeadline(const ForwardRequest& request, const RouteRule& rule) const {
  if (!m_drain_deadline.has_value()) return false;
  const TimePoint now = m_clock.GetNow();
  return now >= m_drain_refuse_at && ComputeDeadline(request, rule, now) > *m_drain_deadline;
}

void ForwardTraffic::StartRequest(ForwardRequest request, const RouteMatch& match,
                                  const std::shared_ptr<HttpResponder>& responder) {
  m_next_ticket = m_next_ticket.Next();
  const WaitTicket ticket = m_next_ticket;
  const PoolName& pool = SelectPool(*match.rule, m_random);
  PoolState& state = GetPool(pool);
  const PoolSpec* spec = m_matcher->FindPool(pool);
  request.has_pool_priorities = state.has_priorities;
  if (state.has_priorities && spec != nullptr && spec->engine.has_value()) request.endpoint_priority = match.priority;
  auto active =
      std::make_shared<ActiveRequest>(m_request_deps, std::move(request), match, m_matcher, pool, ticket, responder);
  m_active_requests.emplace(ticket, active);
  m_metrics.SetInFlight(m_active_requests.size());
  state.budget->OnFirstAttempt();
  state.demand.Count(m_clock.GetNow());
  if (state.has_priorities) {
    state.priority_demand.try_emplace(match.priority, kDemandWindow).first->second.Count(m_clock.GetNow());
  }
  if (!IsLate(*active)) state.spare_capacity.OnNewRequest(m_clock.GetNow(), state.GetLevel(match.priority));
  active->WatchForDisconnect();
  Enqueue(*active);
}

bool ForwardTraffic::HasMissedGoal(const ActiveRequest& active) const {
  const RouteRule& rule = *active.GetMatch().rule;
  const Duration caller_timeout = active.GetRequest().caller_timeout.value_or(rule.timeout);
  const Duration spent = m_clock.GetNow() - active.GetStart();
  // A caller that retries has less time left than the route's timeout.
  return rule.timeout - caller_timeout + spent > rule.latency_target;
}

bool ForwardTraffic::IsLate(const ActiveRequest& active) const { return !active.HasEvents() && HasMissedGoal(active); }

Duration ForwardTraffic::GetMaxWait(const ActiveRequest& active) {
  if (active.HasEvents()) return kMaxResumeWait;
  const TimePoint now = m_clock.GetNow();
  if (HasMissedGoal(active)) {
    return std::min<Duration>(kMaxLateWait, (active.GetDeadline() - now) / kLateWaitDivisor);
  }
  const Duration left = GetMaxTimelyWait(active) - (now - active.GetStart());
  return std::max(left, GetGoalShare(active, kMinWaitGoalShare));
}

Duration ForwardTraffic::GetMaxTimelyWait(const ActiveRequest& active) {
  const PoolState& state = GetPool(active.GetPool());
  const Duration delay = state.first_event_delay.GetEstimate();
  return std::clamp(active.GetMatch().rule->latency_target - delay, GetGoalShare(active, kMinWaitGoalShare),
                    GetGoalShare(active, state.has_priorities ? kMaxPriorityWaitGoalShare : kMaxWaitGoalShare));
}

// Whether a request that was queued as late has waited too long to be answered in time.
bool ForwardTraffic::HasWaitedTooLong(const ActiveRequest& active) {
  const bool is_late = GetPool(active.GetPool()).wait_queue->IsLate(active.GetTicket());
  return is_late && m_clock.GetNow() - active.GetStart() > GetMaxTimelyWait(active);
}

AttemptWeights ForwardTraffic::MakeAttemptWeights(const EndpointQuery& query, const EndpointChoice& choice) const {
  AttemptWeights weights;
  weights.loaded = choice.version;
  weights.min_version = query.min_version;
  weights.is_exact = query.min_version.has_value() || query.exact_version.has_value();
  if (choice.version.has_value()) {
    weights.start_limit = GetStartLimit(m_fleet->wanted, query.model, *choice.version, m_options.version_change_limit);
  }
  return weights;
}

std::optional<WeightVersion> ForwardTraffic::GetMinVersion(const ModelName& model) const {
  return GetMinStartVersion(m_fleet->wanted, model, m_options.version_change_limit - kVersionMargin, m_clock.GetNow());
}

std::map<ModelName, WeightVersion> ForwardTraffic::GetMinVersions() const {
  std::map<ModelName, WeightVersion> versions;
  for (const WantedWeights& wanted : m_fleet->wanted) {
    if (const auto version = GetMinVersion(wanted.model)) versions[wanted.model] = *version;
  }
  return versions;
}

// Returns one for each priority below the request's, since a request that waits at an endpoint leaves room for more
// urgent ones. A request that is owed a slot goes before all others.
std::optional<uint32_t> ForwardTraffic::GetOvercommit(const ActiveRequest& active) const {
  const auto pool = m_pools.find(active.GetPool());
  if (pool == m_pools.end() || !pool->second.has_priorities) return std::nullopt;
  if (pool->second.wait_queue->IsDue(active.GetTicket())) return kMaxOvercommit;
  const std::set<uint32_t>& priorities = m_matcher->GetPriorities(active.GetPool());
  const auto below = std::distance(priorities.upper_bound(active.GetMatch().priority), priorities.end());
  return std::min(kMaxOvercommit, static_cast<uint32_t>(below));
}

EndpointQuery ForwardTraffic::MakeQuery(const ActiveRequest& active) const {
  EndpointQuery query;
  query.pool = active.GetPool();
  query.rule = active.GetMatch().rule;
  query.workspace = active.GetMatch().workspace;
  query.excluded = active.GetTriedEndpoints();
  query.overcommit = GetOvercommit(active);
  if (!active.GetModel().IsEmpty()) {
    query.model = active.GetModel();
    query.prompt_tokens = active.GetRequest().prompt_tokens;
    query.min_version = GetMinVersion(query.model);
    query.exact_version = active.GetWeightVersion();
  }
  return query;
}

bool ForwardTraffic::TryDispatch(ActiveRequest& active, NoEndpointReason& why) {
  if (EndangersEndpoints(active)) {
    why = NoEndpointReason::kBackedOff;
    return false;
  }
  const EndpointQuery query = MakeQuery(active);
  const EndpointChoice choice = m_balancer.Choose(query);
  why = choice.failure;
  if (choice.endpoint == nullptr) return false;
  PoolState& state = GetPool(active.GetPool());
  const bool is_late = IsLate(active) || HasWaitedTooLong(active);
  if (is_late && !MaySendLate(state, query, active)) {
    why = NoEndpointReason::kBusy;
    return false;
  }
  if (is_late) state.spare_capacity.OnLateSent(active.GetTicket());
  m_balancer.OnSent(choice.endpoint->id, active.GetRequest().prompt_tokens);
  state.wait_queue->OnServed({active.GetTicket(), active.GetMatch().priority, is_late, {}}, m_clock.GetNow());
  if (state.has_priorities) {
    m_metrics.CountPriority(active.GetPool(), active.GetMatch().priority, PriorityEvent::kDispatched);
  }
  active.StartAttempt(choice, MakeAttemptWeights(query, choice));
  return true;
}

bool ForwardTraffic::MaySendLate(const PoolState& state, const EndpointQuery& query,
                                 const ActiveRequest& active) const {
  if (state.wait_queue->IsDue(active.GetTicket())) return true;
  return state.spare_capacity.AllowsLate(m_balancer.GetUsableOwnSlots(query), m_clock.GetNow(),
                                         state.GetLevel(active.GetMatch().priority));
}

void ForwardTraffic::Enqueue(ActiveRequest& active) {
  if (!m_quarantine.IsEmpty() && m_quarantine.Admit(GetContentKeys(active)) == ContentAdmission::kBlocked) {
    RefuseBlocked(active);
    return;
  }
  if (EndangersEndpoints(active)) {
    active.RefuseAttempt(ForwardFailure::kNoEndpoint, "kept from the endpoints left: others crashed at this content");
    return;
  }
  const TimePoint now = m_clock.GetNow();
  RequestQueue& wait_queue = *GetPool(active.GetPool()).wait_queue;
  // A hedge may be waiting whose request has lost its other attempt meanwhile.
  wait_queue.Remove(active.GetTicket());
  const WaitingRequest entry{active.GetTicket(), active.GetMatch().priority, IsLate(active), now + GetMaxWait(active),
                             GetFlow(active.GetMatch())};
  NoEndpointReason why = NoEndpointReason::kBusy;
  if (wait_queue.GetSize() == 0 && TryDispatch(active, why)) return;
  if (why != NoEndpointReason::kBusy) {
    RefuseQueued(active, ForwardFailure::kNoEndpoint);
    return;
  }
  if (CanServeInTime(entry, active.GetPool())) {
    wait_queue.Add(entry);
    RefuseTickets(wait_queue.RemoveHopeless(entry.priority, now), PriorityEvent::kShed);
  } else if (const WaitingRequest late = MakeLateEntry(entry, active); CanServeInTime(late, active.GetPool())) {
    // The request will miss its latency goal, but a late response costs the caller less than another round trip.
    wait_queue.Add(late);
  } else {
    RefuseQueued(active, ForwardFailure::kOverloaded);
    return;
  }
  if (wait_queue.GetSize() > 1) DispatchQueued(active.GetPool());
}

// Refuses requests that have been removed from a queue because their turn would come too late.
void ForwardTraffic::RefuseTickets(const std::vector<WaitTicket>& tickets, PriorityEvent event) {
  for (const WaitTicket ticket : tickets) {
    const auto found = m_active_requests.find(ticket);
    if (found == m_active_requests.end()) continue;
    const std::shared_ptr<ActiveRequest> active = found->second;
    if (event == PriorityEvent::kShed) {
      // A hedge that is given up refuses nothing.
      if (active->IsWaiting()) m_metrics.CountPriority(active->GetPool(), active->GetMatch().priority, event);
      active->RefuseAttempt(ForwardFailure::kOverloaded, "more urgent requests came before it");
    } else {
      RefuseQueued(*active, ForwardFailure::kOverloaded);
    }
  }
}

bool ForwardTraffic::CanServeInTime(const WaitingRequest& entry, const PoolName& pool) {
  const TimePoint now = m_clock.GetNow();
  return now + m_balancer.GetStatedPause(pool) < entry.wait_until &&
         GetPool(pool).wait_queue->CanServeInTime(entry, now);
}

WaitingRequest ForwardTraffic::MakeLateEntry(WaitingRequest entry, const ActiveRequest& active) const {
  const TimePoint now = m_clock.GetNow();
  entry.is_late = true;
  entry.wait_until = now + std::min<Duration>(kMaxLateWait, (active.GetDeadline() - now) / kLateWaitDivisor);
  return entry;
}

void ForwardTraffic::RefuseQueued(ActiveRequest& active, ForwardFailure failure) {
  if (active.IsWaiting() && GetPool(active.GetPool()).has_priorities) {
    m_metrics.CountPriority(active.GetPool(), active.GetMatch().priority, PriorityEvent::kRefused);
  }
  active.RefuseAttempt(failure, failure == ForwardFailure::kOverloaded ? "its turn would come too late"
                                                                       : "no endpoint accepts the request");
}

void ForwardTraffic::RefuseUnservable() {
  for (auto& [pool, state] : m_pools) {
    for (const WaitTicket ticket : state.wait_queue->GetNext(state.wait_queue->GetSize())) {
      const auto found = m_active_requests.find(ticket);
      if (found == m_active_requests.end() || m_balancer.HasEligible(MakeQuery(*found->second))) continue;
      state.wait_queue->Remove(ticket);
      const std::shared_ptr<ActiveRequest> active = found->second;
      RefuseQueued(*active, ForwardFailure::kNoEndpoint);
    }
  }
}

void ForwardTraffic::DispatchQueued(const PoolName& pool) {
  RequestQueue& wait_queue = *GetPool(pool).wait_queue;
  bool has_dispatched = true;
  while (has_dispatched && wait_queue.GetSize() > 0) {
    has_dispatched = false;
    for (const WaitTicket ticket : wait_queue.GetNext(kDispatchWindow)) {
      const auto found = m_active_requests.find(ticket);
      if (found == m_active_requests.end()) {
        wait_queue.Remove(ticket);
        continue;
      }
      NoEndpointReason why = NoEndpointReason::kNone;
      if (!TryDispatch(*found->second, why)) continue;
      wait_queue.Remove(ticket);
      has_dispatched = true;
      break;
    }
  }
}

void ForwardTraffic::CheckDue() {
  const TimePoint now = m_clock.GetNow();
  m_loop_time.Update(now);
  m_ended_requests.clear();
  ApplyContentChanges();
  m_balancer.GetStatements().GrantDue();
  LogStatementChanges();
  ReportStartPace(m_balancer.GetStartPace(), m_metrics);
  for (auto& [pool, state] : m_pools) {
    RefuseTickets(state.wait_queue->RemoveExpired(now), PriorityEvent::kRefused);
    DispatchQueued(pool);
    CountWaiting(pool, state);
  }
  std::vector<std::shared_ptr<ActiveRequest>> all;
  all.reserve(m_active_requests.size());
  for (const auto& [ticket, active] : m_active_requests) all.push_back(active);
  for (const auto& active : all) active->CheckDue(now);
}

// Priorities that the configuration has dropped are set to 0.
void ForwardTraffic::CountWaiting(const PoolName& pool, PoolState& state) {
  for (auto& [priority, count] : state.waiting) count = 0;
  if (state.has_priorities) {
    for (const WaitingRequest& request : state.wait_queue->GetRequests()) ++state.waiting[request.priority];
  }
  for (const auto& [priority, count] : state.waiting) m_metrics.SetWaiting(pool, priority, count);
}

Duration ForwardTraffic::GetRetryAfter(const ActiveRequest& active) {
  const uint32_t priority = active.GetMatch().priority;
  RetryAfterQuery query;
  query.turn = GetPool(active.GetPool()).wait_queue->EstimateWait(priority, m_clock.GetNow());
  query.pause = m_balancer.GetStatedPause(active.GetPool());
  const std::set<uint32_t>& priorities = active.GetMatcher().GetPriorities(active.GetPool());
  query.priorities = std::max<size_t>(1, priorities.size());
  query.rank = static_cast<size_t>(std::distance(priorities.begin(), priorities.lower_bound(priority)));
  return ComputeRetryAfter(query, m_random);
}

void ForwardTraffic::OnPrefillDone(ActiveRequest& active, const EndpointId& endpoint) {
  m_balancer.OnPrefillDone(endpoint, active.GetRequest().prompt_tokens);
}

void ForwardTraffic::OnResponseHead(const ActiveRequest&, const ForwardAttempt& attempt) {
  const ResponseHead& head = *attempt.head;
  const EndpointId& endpoint = attempt.choice.endpoint;
  EndpointStatements& statements = m_balancer.GetStatements();
  LogMalformedStatements(endpoint, head);
  const bool is_new_rate = head.malformed_rate.empty() && statements.OnResponse(endpoint, head.requests_per_s);
  if (is_new_rate) m_has_statement_news = true;
  if (statements.OnPause(endpoint, attempt.incarnation, head.pause)) m_has_statement_news = true;
  if (head.is_leaving && statements.OnLeaving(endpoint, attempt.incarnation)) m_has_statement_news = true;
}

void ForwardTraffic::LogStatementChanges() {
  for (const EndpointStatements::Change& change : m_balancer.GetStatements().TakeChanges()) LogStatementChange(change);
  m_metrics.SetLimitedEndpoints(m_balancer.GetStatements().GetLimitCount());
}

void ForwardTraffic::OnReceived(const ForwardAttempt& attempt) {
  const std::optional<Duration> pause = m_balancer.OnReceived(attempt.choice.endpoint, attempt.incarnation);
  if (!pause.has_value()) return;
  LogEvent(LogLevel::kInfo, "endpoint_resumed",
           {{"endpoint", attempt.choice.endpoint}, {"silent_ms", ToMilliseconds(*pause)}});
}

SilenceFinding ForwardTraffic::OnSilent(const ActiveRequest& active, const ForwardAttempt& attempt) {
  const EndpointId& endpoint = attempt.choice.endpoint;
  const bool is_first = !attempt.silence.has_value();
  const SilenceFinding finding = is_first
                                     ? m_balancer.OnSilent(endpoint, attempt.incarnation, attempt.received_at)
                                     : m_balancer.ReviewSilence(endpoint, attempt.incarnation, attempt.received_at);
  if (finding == attempt.silence) return finding;
  LogSilentAttempt(active, attempt, finding, m_clock.GetNow());
  return finding;
}

void ForwardTraffic::OnAnswerBegun(ActiveRequest& active, const ForwardAttempt& attempt) {
  GetPool(active.GetPool()).first_event_delay.Record(m_clock.GetNow() - attempt.sent_at);
  const AttemptChoice& choice = attempt.choice;
  if (!IsServerErrorStatus(attempt.head->status)) {
    m_balancer.OnAnswerBegun(choice.endpoint, attempt.incarnation, attempt.sent_at, choice.expected);
  }
  if (!m_quarantine.IsEmpty()) {
    m_quarantine.OnRunAnswered(GetEndpointRun(attempt.choice.endpoint, attempt.incarnation), attempt.sent_at);
  }
}

void ForwardTraffic::OnAttemptEnded(ActiveRequest& active, const ForwardAttempt& attempt, AttemptEnd end) {
  m_metrics.CountAttempt(end);
  m_balancer.OnEnded(attempt.choice.endpoint, end, attempt.sent_at);
  SpareCapacity& spare_capacity = GetPool(active.GetPool()).spare_capacity;
  spare_capacity.OnEnded(active.GetTicket());
  if (end == AttemptEnd::kSuccess) spare_capacity.OnAnswered(m_clock.GetNow() - attempt.sent_at);
  RecordOutcome(active, attempt, end);
  if (end != AttemptEnd::kSuccess) LogFailedAttempt(active, attempt, end, m_clock.GetNow());
}

void ForwardTraffic::BeginDrain(TimePoint refuse_from, TimePoint end) {
  m_drain_refuse_at = refuse_from;
  m_drain_deadline = end;
}

void ForwardTraffic::GiveUp() {
  std::vector<std::shared_ptr<ActiveRequest>> unfinished;
  for (const auto& [ticket, active] : m_active_requests) unfinished.push_back(active);
  // A request that ends makes room for a queued one, so the queued ones go first.
  std::partition(unfinished.begin(), unfinished.end(), [](const auto& active) { return active->IsWaiting(); });
  for (const auto& active : unfinished) active->GiveUp(ForwardFailure::kDraining, "process stops");
}

void ForwardTraffic::LogUnfinished() const {
  for (const auto& [ticket, active] : m_active_requests) LogUnfinishedRequest(*active, m_clock.GetNow());
}

void ForwardTraffic::RequestAttempt(ActiveRequest& active) { Enqueue(active); }

void ForwardTraffic::WithdrawHedge(ActiveRequest& active) {
  GetPool(active.GetPool()).wait_queue->Remove(active.GetTicket());
  ReturnRetry(active);
}

bool ForwardTraffic::TryAcquireRetry(ActiveRequest& active) { return GetPool(active.GetPool()).budget->TryConsume(); }

std::optional<TimePoint> ForwardTraffic::GetAttemptLimit(const ActiveRequest& active, const EndpointId& endpoint,
                                                         std::optional<WeightVersion> answered) const {
  if (active.GetModel().IsEmpty()) return std::nullopt;
  const std::optional<WeightVersion> version =
      answered.has_value() ? answered : m_balancer.GetVersion(endpoint, active.GetModel());
  if (!version.has_value()) return std::nullopt;
  return GetStartLimit(m_fleet->wanted, active.GetModel(), *version, m_options.version_change_limit);
}

void ForwardTraffic::OnRequestEnded(ActiveRequest& active) {
  m_metrics.CountFinishedRequest(active.GetMatch().rule->kind, active.GetOutcome());
  LogEndedRequest(active, GetPool(active.GetPool()).wait_queue->GetSize());
  const auto found = m_active_requests.find(active.GetTicket());
  if (found == m_active_requests.end()) return;
  GetPool(active.GetPool()).wait_queue->Remove(active.GetTicket());
  m_ended_requests.push_back(std::move(found->second));
  m_active_requests.erase(found);
  m_metrics.SetInFlight(m_active_requests.size());
  DispatchQueued(active.GetPool());
}

}  // namespace plantain

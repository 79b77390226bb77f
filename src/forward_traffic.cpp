#include "forward_traffic.h"

#include <algorithm>
#include <utility>

#include "crash_log.h"
#include "event_log.h"
#include "failure_type.h"
#include "rendezvous.h"
#include "start_pace_log.h"
#include "weight_limit.h"
#include "weight_time.h"

namespace plantain {
namespace {

// Fractions of a route's latency goal that a request may wait in the queue, at least and at most. Between them it waits
// as long as the endpoint's time to the first event leaves. A short wait does no harm, and keeps slots from idling.
constexpr double kMinWaitGoalShare = 0.05;
constexpr double kMaxWaitGoalShare = 0.45;
// Maximum queue wait of a request that has missed its latency goal, and the divisor that limits the wait to a fraction
// of the time until its deadline.
constexpr Duration kMaxLateWait = Milliseconds(800);
constexpr int kLateWaitDivisor = 6;
// Maximum time that an interrupted stream waits for another endpoint.
constexpr Duration kMaxResumeWait = Milliseconds(600);
// Number of queued requests that are tried when an endpoint may have become free. Requests at the head of the queue may
// need other endpoints than those behind them.
constexpr size_t kDispatchWindow = 6;
// Fractions of the fleet-wide retry budget that all entries together use, since they do not exchange their retry
// counts. The fixed part is divided by the number of known entries, but at least by kMinEntries: an entry that has just
// started does not know the others yet.
constexpr double kRetryShareFraction = 0.75;
constexpr double kRetrySlackFraction = 0.5;
constexpr size_t kMinEntries = 4;
// Values of Retry-After.
constexpr Duration kMinRetryAfter = Milliseconds(250);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(3);
constexpr Duration kNoConfigRetryAfter = std::chrono::seconds(1);
constexpr Duration kDrainingRetryAfter = Milliseconds(20);
constexpr Duration kMaxPausedRetryAfter = std::chrono::seconds(30);
// About the duration of a weight switch or a restart, during which few endpoints serve.
constexpr Duration kNoEndpointRetryAfter = Milliseconds(1800);
constexpr int kFirstServerError = 500;

// Returns the number that logs show for a weight version, 0 if there is none.
uint64_t GetVersionNumber(const std::optional<WeightVersion>& version) {
  return version.value_or(WeightVersion()).Get();
}

EndpointRun GetRun(const EndpointId& endpoint, Incarnation incarnation) {
  return EndpointRun(HashName(endpoint.Get() + '/' + std::to_string(incarnation.Get())));
}

Duration GetGoalShare(const ActiveRequest& active, double share) {
  return std::chrono::duration_cast<Duration>(active.GetMatch().rule->latency_target * share);
}

bool IsStream(const ActiveRequest& active) { return active.GetMatch().rule->kind == RequestKind::kStream; }

std::string FormatParts(const std::vector<ContentKey>& parts) {
  std::string text;
  for (const ContentKey& part : parts) {
    if (!text.empty()) text += ',';
    text += part.id;
  }
  return text;
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
      m_quarantine(clock),
      m_fleet(std::make_shared<FleetView>()) {}

ForwardTraffic::~ForwardTraffic() = default;

void ForwardTraffic::SetFleet(const std::shared_ptr<const FleetView>& fleet) {
  const bool is_new_routing = fleet->routing != nullptr && fleet->routing != m_fleet->routing;
  m_fleet = fleet;
  m_balancer.SetFleet(fleet);
  if (is_new_routing) m_matcher = std::make_shared<const RouteMatcher>(fleet->routing);
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
  }
  return state;
}

void ForwardTraffic::Refuse(const ForwardRequest& request, const std::shared_ptr<HttpResponder>& responder,
                            ForwardFailure failure, std::string_view reason) {
  m_metrics.CountRefusedRequest(failure);
  const uint64_t version = m_fleet->routing == nullptr ? 0 : m_fleet->routing->version.Get();
  LogEvent(LogLevel::kInfo, "request_refused",
           {{"request", request.id},
            {"host", request.host},
            {"path", request.path},
            {"failure", GetForwardFailureName(failure)},
            {"reason", reason},
            {"config", version}});
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
  auto active =
      std::make_shared<ActiveRequest>(m_request_deps, std::move(request), match, m_matcher, pool, ticket, responder);
  m_active_requests.emplace(ticket, active);
  m_metrics.SetInFlight(m_active_requests.size());
  GetPool(pool).budget->OnFirstAttempt();
  GetPool(pool).demand.Count(m_clock.GetNow());
  if (!IsLate(*active)) GetPool(pool).spare_capacity.OnNewRequest(m_clock.GetNow());
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
  const Duration delay = GetPool(active.GetPool()).first_event_delay.GetEstimate();
  return std::clamp(active.GetMatch().rule->latency_target - delay, GetGoalShare(active, kMinWaitGoalShare),
                    GetGoalShare(active, kMaxWaitGoalShare));
}

// Whether a request that was queued as late has waited too long to be answered in time.
bool ForwardTraffic::HasWaitedTooLong(const ActiveRequest& active) {
  const bool is_late = GetPool(active.GetPool()).wait_queue.IsLate(active.GetTicket());
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

EndpointQuery ForwardTraffic::MakeQuery(const ActiveRequest& active) const {
  EndpointQuery query;
  query.pool = active.GetPool();
  query.rule = active.GetMatch().rule;
  query.workspace = active.GetMatch().workspace;
  query.excluded = active.GetTriedEndpoints();
  if (!active.GetModel().IsEmpty()) {
    query.model = active.GetModel();
    query.prompt_tokens = active.GetRequest().prompt_tokens;
    query.min_version = GetMinVersion(query.model);
    query.exact_version = active.GetWeightVersion();
  }
  return query;
}

// Returns what is known to end endpoints or not by: the parts of the prompt, and the whole request if any is known.
std::vector<ContentKey> ForwardTraffic::GetContentKeys(const ActiveRequest& active) const {
  std::vector<ContentKey> keys = active.GetRequest().shared_parts;
  if (m_quarantine.KnowsRequests()) keys.push_back(active.GetRequestKey());
  return keys;
}

// Whether a request at which endpoints have just crashed would run at the only endpoint left, which is kept for other
// requests until those endpoints are back, or at another endpoint while it already runs at one.
bool ForwardTraffic::EndangersEndpoints(const ActiveRequest& active) const {
  if (m_quarantine.IsEmpty()) return false;
  const std::vector<ContentKey> keys = GetContentKeys(active);
  if (!m_quarantine.IsSuspect(keys) || !m_quarantine.HasRecentEnd(keys)) return false;
  const bool runs_already = std::any_of(m_active_requests.begin(), m_active_requests.end(), [&](const auto& entry) {
    const ActiveRequest& other = *entry.second;
    return !other.IsWaiting() && other.GetRequestKey() == active.GetRequestKey();
  });
  if (runs_already) return true;
  const auto usable =
      std::count_if(m_fleet->endpoints.begin(), m_fleet->endpoints.end(), [&](const EndpointInfo& endpoint) {
        const bool is_in_service = !m_balancer.IsLeaving(endpoint) && !m_fleet->zones_out.contains(endpoint.zone);
        return endpoint.pool == active.GetPool() && is_in_service &&
               !m_quarantine.HasEnded(GetRun(endpoint.id, endpoint.incarnation));
      });
  return usable <= 1;
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
  SpareCapacity& spare_capacity = GetPool(active.GetPool()).spare_capacity;
  const bool is_late = IsLate(active) || HasWaitedTooLong(active);
  if (is_late && !spare_capacity.AllowsLate(m_balancer.GetUsableOwnSlots(query), m_clock.GetNow())) {
    why = NoEndpointReason::kBusy;
    return false;
  }
  if (is_late) spare_capacity.OnLateSent(active.GetTicket());
  m_balancer.OnSent(choice.endpoint->id, active.GetRequest().prompt_tokens);
  GetPool(active.GetPool()).wait_queue.RecordServed(is_late, m_clock.GetNow());
  active.StartAttempt(choice, MakeAttemptWeights(query, choice));
  return true;
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
  WaitQueue& wait_queue = GetPool(active.GetPool()).wait_queue;
  // A hedge may be waiting whose request has lost its other attempt meanwhile.
  wait_queue.Remove(active.GetTicket());
  const WaitingRequest entry{active.GetTicket(), active.GetMatch().priority, IsLate(active), now + GetMaxWait(active)};
  NoEndpointReason why = NoEndpointReason::kBusy;
  if (wait_queue.GetSize() == 0 && TryDispatch(active, why)) return;
  if (why != NoEndpointReason::kBusy) {
    RefuseQueued(active, ForwardFailure::kNoEndpoint);
    return;
  }
  if (CanServeInTime(entry, active.GetPool())) {
    wait_queue.Add(entry);
  } else if (const WaitingRequest late = MakeLateEntry(entry, active); CanServeInTime(late, active.GetPool())) {
    // The request will miss its latency goal, but a late response costs the caller less than another round trip.
    wait_queue.Add(late);
  } else {
    RefuseQueued(active, ForwardFailure::kOverloaded);
    return;
  }
  if (wait_queue.GetSize() > 1) DispatchQueued(active.GetPool());
}

bool ForwardTraffic::CanServeInTime(const WaitingRequest& entry, const PoolName& pool) {
  const TimePoint now = m_clock.GetNow();
  return now + m_balancer.GetStatedPause(pool) < entry.wait_until &&
         GetPool(pool).wait_queue.CanServeInTime(entry, now);
}

WaitingRequest ForwardTraffic::MakeLateEntry(WaitingRequest entry, const ActiveRequest& active) const {
  const TimePoint now = m_clock.GetNow();
  entry.is_late = true;
  entry.wait_until = now + std::min<Duration>(kMaxLateWait, (active.GetDeadline() - now) / kLateWaitDivisor);
  return entry;
}

void ForwardTraffic::RefuseQueued(ActiveRequest& active, ForwardFailure failure) {
  active.RefuseAttempt(failure, failure == ForwardFailure::kOverloaded ? "its turn would come too late"
                                                                       : "no endpoint accepts the request");
}

void ForwardTraffic::RefuseBlocked(ActiveRequest& active) {
  active.RefuseAttempt(ForwardFailure::kBlockedContent, "endpoints crash at this content");
}

// Logs contents that have been blocked or cleared, and checks queued and sent requests again if one was blocked.
void ForwardTraffic::ApplyContentChanges() {
  bool has_blocked = false;
  for (const CrashQuarantine::Change& change : m_quarantine.TakeChanges()) {
    has_blocked = has_blocked || change.is_blocked;
    LogContentChange(change);
  }
  m_metrics.SetBlockedContents(m_quarantine.GetBlockedCount());
  if (!has_blocked) return;
  std::vector<std::shared_ptr<ActiveRequest>> blocked;
  for (const auto& [ticket, active] : m_active_requests) {
    if (m_quarantine.IsBlocked(GetContentKeys(*active))) blocked.push_back(active);
  }
  for (const auto& active : blocked) {
    if (active->IsWaiting()) {
      RefuseBlocked(*active);
    } else {
      active->WithdrawAttempts("endpoints crash at this content");
    }
  }
}

void ForwardTraffic::RefuseUnservable() {
  for (auto& [pool, state] : m_pools) {
    for (const WaitTicket ticket : state.wait_queue.GetNext(state.wait_queue.GetSize())) {
      const auto found = m_active_requests.find(ticket);
      if (found == m_active_requests.end() || m_balancer.HasEligible(MakeQuery(*found->second))) continue;
      state.wait_queue.Remove(ticket);
      const std::shared_ptr<ActiveRequest> active = found->second;
      RefuseQueued(*active, ForwardFailure::kNoEndpoint);
    }
  }
}

void ForwardTraffic::DispatchQueued(const PoolName& pool) {
  WaitQueue& wait_queue = m_pools[pool].wait_queue;
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
    for (const WaitTicket ticket : state.wait_queue.RemoveExpired(now)) {
      const auto found = m_active_requests.find(ticket);
      if (found == m_active_requests.end()) continue;
      const std::shared_ptr<ActiveRequest> active = found->second;
      RefuseQueued(*active, ForwardFailure::kOverloaded);
    }
    DispatchQueued(pool);
  }
  std::vector<std::shared_ptr<ActiveRequest>> all;
  all.reserve(m_active_requests.size());
  for (const auto& [ticket, active] : m_active_requests) all.push_back(active);
  for (const auto& active : all) active->CheckDue(now);
}

Duration ForwardTraffic::GetRetryAfter(const ActiveRequest& active) {
  const TimePoint now = m_clock.GetNow();
  const Duration turn = GetPool(active.GetPool()).wait_queue.EstimateWait(active.GetMatch().priority, now);
  // Jitter keeps callers that were refused together from retrying together.
  const double jitter = 0.75 + 0.5 * m_random.GetUnit();
  const Duration base = std::max<Duration>(turn, kNoEndpointRetryAfter);
  const auto usual =
      std::clamp<Duration>(std::chrono::duration_cast<Duration>(base * jitter), kMinRetryAfter, kMaxRetryAfter);
  const Duration pause = m_balancer.GetStatedPause(active.GetPool());
  if (pause <= Duration::zero()) return usual;
  const auto after_pause = pause + std::chrono::duration_cast<Duration>(kMinRetryAfter * jitter);
  return std::min<Duration>(std::max<Duration>(usual, after_pause), kMaxPausedRetryAfter);
}

void ForwardTraffic::OnPrefillDone(ActiveRequest& active, const EndpointId& endpoint) {
  m_balancer.OnPrefillDone(endpoint, active.GetRequest().prompt_tokens);
}

void ForwardTraffic::OnResponseHead(const ActiveRequest&, const ForwardAttempt& attempt) {
  const ResponseHead& head = *attempt.head;
  const EndpointId& endpoint = attempt.choice.endpoint;
  EndpointStatements& statements = m_balancer.GetStatements();
  if (!head.malformed_rate.empty()) {
    LogEvent(LogLevel::kWarn, "endpoint_rate_malformed", {{"endpoint", endpoint}, {"value", head.malformed_rate}});
  } else if (statements.OnResponse(endpoint, head.requests_per_s)) {
    m_has_statement_news = true;
  }
  if (!head.malformed_leaving.empty()) {
    LogEvent(LogLevel::kWarn, "endpoint_leaving_malformed",
             {{"endpoint", endpoint}, {"value", head.malformed_leaving}});
  }
  if (!head.malformed_pause.empty()) {
    LogEvent(LogLevel::kWarn, "endpoint_pause_malformed", {{"endpoint", endpoint}, {"value", head.malformed_pause}});
  }
  if (statements.OnPause(endpoint, attempt.incarnation, head.pause)) m_has_statement_news = true;
  if (head.is_leaving && statements.OnLeaving(endpoint, attempt.incarnation)) m_has_statement_news = true;
}

void ForwardTraffic::LogStatementChanges() {
  for (const EndpointStatements::Change& change : m_balancer.GetStatements().TakeChanges()) {
    const std::string_view source = change.is_from_peer ? "peer" : "own";
    switch (change.kind) {
      case StatementKind::kRate:
        LogEvent(LogLevel::kInfo, "endpoint_rate",
                 {{"endpoint", change.endpoint},
                  {"per_s", change.per_s.has_value() ? std::to_string(*change.per_s) : "none"},
                  {"source", source},
                  {"is_granting", change.is_granting}});
        break;
      case StatementKind::kLeaving:
        LogEvent(LogLevel::kInfo, "endpoint_leaving", {{"endpoint", change.endpoint}, {"source", source}});
        break;
      case StatementKind::kPause:
        LogEvent(LogLevel::kInfo, "endpoint_pause",
                 {{"endpoint", change.endpoint}, {"left_ms", ToMilliseconds(change.pause_left)}, {"source", source}});
        break;
    }
  }
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
  LogEvent(LogLevel::kInfo, "endpoint_silent",
           {{"request", active.GetRequest().id},
            {"endpoint", endpoint},
            {"silent_ms", ToMilliseconds(m_clock.GetNow() - attempt.received_at)},
            {"is_pause", finding == SilenceFinding::kPause},
            {"has_events", active.HasEvents()},
            {"attempt", attempt.number}});
  return finding;
}

void ForwardTraffic::OnAnswerBegun(ActiveRequest& active, const ForwardAttempt& attempt) {
  GetPool(active.GetPool()).first_event_delay.Record(m_clock.GetNow() - attempt.sent_at);
  const AttemptChoice& choice = attempt.choice;
  if (attempt.head->status < kFirstServerError) {
    m_balancer.OnAnswerBegun(choice.endpoint, attempt.incarnation, attempt.sent_at, choice.expected);
  }
  if (!m_quarantine.IsEmpty()) {
    m_quarantine.OnRunAnswered(GetRun(attempt.choice.endpoint, attempt.incarnation), attempt.sent_at);
  }
  m_quarantine.OnAnswered(m_quarantine.KnowsRequests() ? GetContentKeys(active) : active.GetRequest().shared_parts);
}

// Records a lost connection as the end of the endpoint, unless it was about to end anyway.
void ForwardTraffic::RecordCrash(const ActiveRequest& active, const ForwardAttempt& attempt) {
  const auto& endpoints = m_fleet->endpoints;
  const bool is_leaving = std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointInfo& endpoint) {
    return endpoint.id == attempt.choice.endpoint && m_balancer.IsLeaving(endpoint);
  });
  if (is_leaving) return;
  std::vector<ContentKey> keys = active.GetRequest().shared_parts;
  keys.push_back(active.GetRequestKey());
  const bool has_header = attempt.GetProgress(IsStream(active)) == AnswerProgress::kHeader;
  m_quarantine.OnCrash(keys, GetRun(attempt.choice.endpoint, attempt.incarnation), attempt.sent_at, has_header);
  if (m_on_crash) m_on_crash();
}

void ForwardTraffic::OnAttemptEnded(ActiveRequest& active, const ForwardAttempt& attempt, AttemptEnd end) {
  const AnswerProgress progress = attempt.GetProgress(IsStream(active));
  m_metrics.CountAttempt(end);
  m_balancer.OnEnded(attempt.choice.endpoint, end, attempt.sent_at);
  SpareCapacity& spare_capacity = GetPool(active.GetPool()).spare_capacity;
  spare_capacity.OnEnded(active.GetTicket());
  if (end == AttemptEnd::kSuccess) spare_capacity.OnAnswered(m_clock.GetNow() - attempt.sent_at);
  if (end == AttemptEnd::kConnectionLost && progress != AnswerProgress::kBegun) RecordCrash(active, attempt);
  if (end == AttemptEnd::kSuccess) return;
  const TimePoint now = m_clock.GetNow();
  LogEvent(LogLevel::kInfo, "attempt_failed",
           {{"request", active.GetRequest().id},
            {"endpoint", attempt.choice.endpoint},
            {"pool", active.GetPool()},
            {"end", GetAttemptEndName(end)},
            {"progress", GetAnswerProgressName(progress)},
            {"after_ms", ToMilliseconds(now - active.GetStart())},
            {"sent_ms", ToMilliseconds(attempt.sent_at - active.GetStart())},
            {"silent_ms", ToMilliseconds(now - attempt.received_at)},
            {"attempt", attempt.number},
            {"is_last", active.IsWaiting()},
            {"prompt", FormatParts(active.GetRequest().shared_parts)},
            {"content", end == AttemptEnd::kConnectionLost ? active.GetRequestKey().id : ""},
            {"version", GetVersionNumber(attempt.choice.version)},
            {"min_version", GetVersionNumber(attempt.choice.min_version)}});
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
  for (const auto& [ticket, active] : m_active_requests) {
    const ActiveRequestOutcome& outcome = active->GetOutcome();
    LogEvent(LogLevel::kWarn, "request_cut",
             {{"request", active->GetRequest().id},
              {"endpoint", outcome.choice.endpoint},
              {"attempts", outcome.attempts},
              {"is_waiting", active->IsWaiting()},
              {"has_events", active->HasEvents()},
              {"age_ms", ToMilliseconds(m_clock.GetNow() - active->GetStart())}});
  }
}

void ForwardTraffic::RequestAttempt(ActiveRequest& active) { Enqueue(active); }

void ForwardTraffic::WithdrawHedge(ActiveRequest& active) {
  GetPool(active.GetPool()).wait_queue.Remove(active.GetTicket());
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
  const ActiveRequestOutcome& outcome = active.GetOutcome();
  const RouteMatch& match = active.GetMatch();
  m_metrics.CountFinishedRequest(match.rule->kind, outcome);
  LogEvent(
      LogLevel::kInfo, "request_end",
      {{"request", active.GetRequest().id},
       {"route", match.rule->name},
       {"workspace", match.workspace == nullptr ? WorkspaceName() : match.workspace->name},
       {"status", outcome.status},
       {"failure", GetForwardFailureName(outcome.failure)},
       {"reason", outcome.reason},
       {"waiting", GetPool(active.GetPool()).wait_queue.GetSize()},
       {"attempts", outcome.attempts},
       {"endpoint", outcome.choice.endpoint},
       {"load", outcome.choice.load},
       {"load_age_ms", outcome.choice.load_age == Duration::max() ? -1 : ToMilliseconds(outcome.choice.load_age)},
       {"wait_ms", ToMilliseconds(outcome.wait_time)},
       {"expected_ms", ToMilliseconds(outcome.choice.expected)},
       {"first_ms", outcome.first_event.has_value() ? ToMilliseconds(*outcome.first_event) : -1},
       {"version", GetVersionNumber(outcome.choice.version)},
       {"min_version", GetVersionNumber(outcome.choice.min_version)},
       {"limit_ms",
        outcome.choice.until_limit.has_value() ? std::to_string(ToMilliseconds(*outcome.choice.until_limit)) : "none"},
       {"total_ms", ToMilliseconds(outcome.total)},
       {"config", active.GetMatcher().GetDocument().version}});
  const auto found = m_active_requests.find(active.GetTicket());
  if (found == m_active_requests.end()) return;
  GetPool(active.GetPool()).wait_queue.Remove(active.GetTicket());
  m_ended_requests.push_back(std::move(found->second));
  m_active_requests.erase(found);
  m_metrics.SetInFlight(m_active_requests.size());
  DispatchQueued(active.GetPool());
}

}  // namespace plantain

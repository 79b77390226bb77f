#include "forward_traffic.h"

#include <algorithm>
#include <utility>

#include "event_log.h"
#include "failure_type.h"
#include "weight_time.h"

namespace plantain {
namespace {

// Fraction of a route's latency goal that a request may wait in the queue. The rest is left for the endpoint's time to
// the first event.
constexpr double kWaitShare = 0.45;
// Maximum queue wait of a request that has missed its latency goal, and the divisor that limits the wait to a fraction
// of the time until its deadline.
constexpr Duration kLongestLateWait = Milliseconds(800);
constexpr int kLateWaitDivisor = 6;
// Maximum time that an interrupted stream waits for another endpoint.
constexpr Duration kResumeWait = Milliseconds(600);
// Number of queued requests that are tried when an endpoint may have become free. Requests at the head of the queue may
// need other endpoints than those behind them.
constexpr size_t kTriedAtOnce = 6;
// Fractions of the fleet-wide retry budget that this entry uses, since entries do not exchange their retry counts.
constexpr double kBudgetShare = 0.75;
constexpr double kSlackShare = 0.5;
constexpr uint32_t kFewestEntries = 4;
// Values of Retry-After.
constexpr Duration kShortestReturn = Milliseconds(250);
constexpr Duration kLongestReturn = std::chrono::seconds(3);
constexpr Duration kReturnWithoutConfig = std::chrono::seconds(1);
constexpr Duration kReturnFromDraining = Milliseconds(20);
// About the duration of a weight switch or a restart, during which few endpoints serve.
constexpr Duration kReturnWithoutEndpoint = Milliseconds(1800);

int64_t ToMilliseconds(Duration time) { return std::chrono::duration_cast<Milliseconds>(time).count(); }

}  // namespace

ForwardTraffic::ForwardTraffic(const Clock& clock, Random& random, const CallerProtocol& protocol,
                               AttemptSender& sender, ForwardMetrics& metrics, ForwardOptions options)
    : m_clock(clock),
      m_random(random),
      m_protocol(protocol),
      m_metrics(metrics),
      m_options(std::move(options)),
      m_run_parts{clock, protocol, sender, *this},
      m_board(clock, random, m_options.board),
      m_fleet(std::make_shared<FleetView>()) {}

ForwardTraffic::~ForwardTraffic() = default;

void ForwardTraffic::SetFleet(const std::shared_ptr<const FleetView>& fleet) {
  const bool is_new_routing = fleet->routing != nullptr && fleet->routing != m_fleet->routing;
  m_fleet = fleet;
  m_board.SetFleet(fleet);
  if (is_new_routing) m_matcher = std::make_shared<const RouteMatcher>(fleet->routing);
  for (const auto& [pool, state] : m_pools) PumpPool(pool);
}

std::map<PoolName, double> ForwardTraffic::GetDemand() const {
  std::map<PoolName, double> demand;
  for (const auto& [pool, state] : m_pools) demand[pool] = state.demand.Get(m_clock.GetNow()).value_or(0);
  return demand;
}

void ForwardTraffic::OnLoad(const std::vector<EndpointLoad>& loads) {
  for (const EndpointLoad& load : loads) m_board.OnLoad(load);
  for (const auto& [pool, state] : m_pools) PumpPool(pool);
}

ForwardTraffic::PoolState& ForwardTraffic::GetPool(const PoolName& pool) {
  PoolState& state = m_pools[pool];
  if (state.budget == nullptr) {
    const double reserve = m_options.retry_slack * kSlackShare / kFewestEntries;
    state.budget = std::make_unique<RetryBudget>(m_options.retry_share * kBudgetShare, reserve);
  }
  return state;
}

void ForwardTraffic::Refuse(const ForwardRequest& request, const std::shared_ptr<HttpResponder>& responder,
                            ForwardFailure failure, std::string_view reason) {
  m_metrics.CountRefusal(failure);
  const uint64_t version = m_fleet->routing == nullptr ? 0 : m_fleet->routing->version.Get();
  LogEvent(LogLevel::kInfo, "request_refused",
           {{"request", request.id},
            {"host", request.host},
            {"path", request.path},
            {"failure", GetForwardFailureName(failure)},
            {"reason", reason},
            {"config", version}});
  Duration retry_after{};
  if (failure == ForwardFailure::kNoConfig) retry_after = kReturnWithoutConfig;
  if (failure == ForwardFailure::kDraining) retry_after = kReturnFromDraining;
  responder->Send(MakeForwardRefusal(failure, retry_after));
}

void ForwardTraffic::HandleHttp(HttpRequest http, const std::shared_ptr<HttpResponder>& responder) {
  absl::StatusOr<ForwardRequest> request = m_protocol.ReadRequest(std::move(http));
  if (!request.ok()) {
    Refuse(ForwardRequest(), responder, ForwardFailure::kMalformed, GetFailureText(request.status()));
    return;
  }
  if (m_matcher == nullptr) {
    Refuse(*request, responder, ForwardFailure::kNoConfig, "no configuration received yet");
    return;
  }
  const RouteMatch match = m_matcher->Match(request->host, request->path, request->key);
  if (match.failure == MatchFailure::kNoRoute) {
    Refuse(*request, responder, ForwardFailure::kNoRoute, "no route matches the host and path");
    return;
  }
  if (match.failure == MatchFailure::kUnknownKey) {
    Refuse(*request, responder, ForwardFailure::kUnknownKey, "API key matches no workspace");
    return;
  }
  if (IsTooLateForStop(*match.rule)) {
    Refuse(*request, responder, ForwardFailure::kDraining, "process stops before the request's deadline");
    return;
  }
  StartRun(*std::move(request), match, responder);
}

bool ForwardTraffic::IsTooLateForStop(const RouteRule& rule) const {
  if (!m_drain_end.has_value()) return false;
  const TimePoint now = m_clock.GetNow();
  return now >= m_drain_refuse_at && now + rule.timeout > *m_drain_end;
}

void ForwardTraffic::StartRun(ForwardRequest request, const RouteMatch& match,
                              const std::shared_ptr<HttpResponder>& responder) {
  m_next_ticket = m_next_ticket.Next();
  const WaitTicket ticket = m_next_ticket;
  const PoolName& pool = DrawPool(*match.rule, m_random);
  auto run = std::make_shared<ForwardRun>(m_run_parts, std::move(request), match, m_matcher, pool, ticket, responder);
  m_runs.emplace(ticket, run);
  m_metrics.SetInFlight(m_runs.size());
  GetPool(pool).budget->OnFirstAttempt();
  GetPool(pool).demand.Count(m_clock.GetNow());
  run->WatchCaller();
  Enqueue(*run);
}

bool ForwardTraffic::IsLate(const ForwardRun& run) const {
  const RouteRule& rule = *run.GetMatch().rule;
  const Duration patience = run.GetRequest().patience.value_or(rule.timeout);
  const Duration spent = m_clock.GetNow() - run.GetStart();
  // A caller that retries has less time left than the route's timeout.
  return rule.timeout - patience + spent > rule.goal;
}

Duration ForwardTraffic::GetLongestWait(const ForwardRun& run) const {
  if (run.HasEvents()) return kResumeWait;
  const RouteRule& rule = *run.GetMatch().rule;
  if (IsLate(run)) {
    return std::min<Duration>(kLongestLateWait, (run.GetDeadline() - m_clock.GetNow()) / kLateWaitDivisor);
  }
  return std::chrono::duration_cast<Duration>(rule.goal * kWaitShare);
}

std::optional<WeightVersion> ForwardTraffic::GetMinVersion(const ModelName& model) const {
  std::optional<WeightVersion> version;
  const TimePoint now = m_clock.GetNow();
  for (const WantedWeights& wanted : m_fleet->wanted) {
    const bool is_due = now - wanted.since > m_options.version_time - kVersionMargin;
    if (wanted.model == model && is_due) version = std::max(version.value_or(WeightVersion()), wanted.version);
  }
  return version;
}

EndpointQuery ForwardTraffic::MakeQuery(const ForwardRun& run) const {
  EndpointQuery query;
  query.pool = run.GetPool();
  query.rule = run.GetMatch().rule;
  query.workspace = run.GetMatch().workspace;
  query.excluded = run.GetTried();
  const PoolSpec* pool = run.GetRules().FindPool(run.GetPool());
  if (pool != nullptr && pool->engine.has_value()) {
    query.model = run.GetRequest().model;
    query.prompt_tokens = run.GetRequest().prompt_tokens;
    query.min_version = GetMinVersion(query.model);
    query.exact_version = run.GetVersion();
  }
  return query;
}

bool ForwardTraffic::TryDispatch(ForwardRun& run, NoEndpoint& why) {
  const EndpointQuery query = MakeQuery(run);
  const EndpointChoice choice = m_board.Choose(query);
  why = choice.failure;
  if (choice.endpoint == nullptr) return false;
  const bool needs_version = query.min_version.has_value() || query.exact_version.has_value();
  m_board.OnSent(choice.endpoint->id, run.GetRequest().prompt_tokens);
  GetPool(run.GetPool()).room.OnTurn(IsLate(run), m_clock.GetNow());
  run.StartAttempt(choice, needs_version ? choice.version : std::nullopt);
  return true;
}

void ForwardTraffic::Enqueue(ForwardRun& run) {
  const TimePoint now = m_clock.GetNow();
  WaitRoom& room = GetPool(run.GetPool()).room;
  const WaitEntry entry{run.GetTicket(), run.GetMatch().priority, IsLate(run) && !run.HasEvents(),
                        now + GetLongestWait(run)};
  NoEndpoint why = NoEndpoint::kBusy;
  if (room.GetSize() == 0 && TryDispatch(run, why)) return;
  if (why != NoEndpoint::kBusy) {
    RefuseWaiting(run, ForwardFailure::kNoEndpoint);
    return;
  }
  if (room.CanExpectTurn(entry, now)) {
    room.Add(entry);
  } else if (const WaitEntry late = MakeLate(entry, run); room.CanExpectTurn(late, now)) {
    // The request will miss its latency goal, but a late response costs the caller less than another round trip.
    room.Add(late);
  } else {
    RefuseWaiting(run, ForwardFailure::kOverloaded);
    return;
  }
  if (room.GetSize() > 1) PumpPool(run.GetPool());
}

WaitEntry ForwardTraffic::MakeLate(WaitEntry entry, const ForwardRun& run) const {
  const TimePoint now = m_clock.GetNow();
  entry.is_late = true;
  entry.wait_until = now + std::min<Duration>(kLongestLateWait, (run.GetDeadline() - now) / kLateWaitDivisor);
  return entry;
}

void ForwardTraffic::RefuseWaiting(ForwardRun& run, ForwardFailure failure) {
  run.Fail(failure,
           failure == ForwardFailure::kOverloaded ? "its turn would come too late" : "no endpoint accepts the request");
}

void ForwardTraffic::PumpPool(const PoolName& pool) {
  WaitRoom& room = m_pools[pool].room;
  bool is_moving = true;
  while (is_moving && room.GetSize() > 0) {
    is_moving = false;
    for (const WaitTicket ticket : room.GetNext(kTriedAtOnce)) {
      const auto found = m_runs.find(ticket);
      if (found == m_runs.end()) {
        room.Remove(ticket);
        continue;
      }
      NoEndpoint why = NoEndpoint::kNone;
      if (!TryDispatch(*found->second, why)) continue;
      room.Remove(ticket);
      is_moving = true;
      break;
    }
  }
}

void ForwardTraffic::CheckDue() {
  const TimePoint now = m_clock.GetNow();
  m_ended.clear();
  for (auto& [pool, state] : m_pools) {
    for (const WaitTicket ticket : state.room.TakeExpired(now)) {
      const auto found = m_runs.find(ticket);
      if (found == m_runs.end()) continue;
      const std::shared_ptr<ForwardRun> run = found->second;
      RefuseWaiting(*run, ForwardFailure::kOverloaded);
    }
    PumpPool(pool);
  }
  std::vector<std::shared_ptr<ForwardRun>> all;
  all.reserve(m_runs.size());
  for (const auto& [ticket, run] : m_runs) all.push_back(run);
  for (const auto& run : all) run->CheckDue(now);
}

Duration ForwardTraffic::GetRetryAfter(const ForwardRun& run) {
  const TimePoint now = m_clock.GetNow();
  const Duration turn = GetPool(run.GetPool()).room.EstimateTurn(run.GetMatch().priority, now);
  // Jitter keeps callers that were refused together from retrying together.
  const double spread = 0.75 + 0.5 * m_random.GetUnit();
  const Duration base = std::max<Duration>(turn, kReturnWithoutEndpoint);
  return std::clamp<Duration>(std::chrono::duration_cast<Duration>(base * spread), kShortestReturn, kLongestReturn);
}

void ForwardTraffic::OnPromptRead(ForwardRun& run, const EndpointId& endpoint) {
  m_board.OnPromptRead(endpoint, run.GetRequest().prompt_tokens);
}

void ForwardTraffic::OnAttemptEnded(ForwardRun& run, const EndpointId& endpoint, AttemptEnd end) {
  m_metrics.CountAttempt(end);
  m_board.OnEnded(endpoint, end);
  if (end != AttemptEnd::kSuccess) {
    LogEvent(LogLevel::kInfo, "attempt_failed",
             {{"request", run.GetRequest().id},
              {"endpoint", endpoint},
              {"pool", run.GetPool()},
              {"end", GetAttemptEndName(end)},
              {"after_ms", ToMilliseconds(m_clock.GetNow() - run.GetStart())},
              {"attempt", run.GetOutcome().attempts}});
  }
}

void ForwardTraffic::RequestPlace(ForwardRun& run) { Enqueue(run); }

bool ForwardTraffic::TakeRetry(ForwardRun& run) { return GetPool(run.GetPool()).budget->TryTake(); }

void ForwardTraffic::OnRunEnded(ForwardRun& run) {
  const RunOutcome& outcome = run.GetOutcome();
  const RouteMatch& match = run.GetMatch();
  m_metrics.CountEnd(match.rule->kind, outcome);
  LogEvent(LogLevel::kInfo, "request_end",
           {{"request", run.GetRequest().id},
            {"route", match.rule->name},
            {"workspace", match.workspace == nullptr ? WorkspaceName() : match.workspace->name},
            {"status", outcome.status},
            {"failure", GetForwardFailureName(outcome.failure)},
            {"reason", outcome.reason},
            {"waiting", GetPool(run.GetPool()).room.GetSize()},
            {"attempts", outcome.attempts},
            {"endpoint", outcome.endpoint},
            {"load", outcome.load},
            {"load_age_ms", outcome.load_age == Duration::max() ? -1 : ToMilliseconds(outcome.load_age)},
            {"wait_ms", ToMilliseconds(outcome.waited)},
            {"expected_ms", ToMilliseconds(outcome.expected)},
            {"first_ms", outcome.first_event.has_value() ? ToMilliseconds(*outcome.first_event) : -1},
            {"total_ms", ToMilliseconds(outcome.total)},
            {"config", run.GetRules().GetDocument().version}});
  const auto found = m_runs.find(run.GetTicket());
  if (found == m_runs.end()) return;
  GetPool(run.GetPool()).room.Remove(run.GetTicket());
  m_ended.push_back(std::move(found->second));
  m_runs.erase(found);
  m_metrics.SetInFlight(m_runs.size());
  PumpPool(run.GetPool());
}

}  // namespace plantain

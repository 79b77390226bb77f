#include "entry_traffic.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "entry_answer.h"
#include "hex_text.h"

namespace plantain {
namespace {

// Weight of a slower sample in the moving estimate of the lowest latency. A faster sample replaces the estimate.
constexpr double kLatencySampleWeight = 0.02;
// Half-life of the estimate while there are no samples. Without decay, an estimate that is too high would refuse every
// request and never be corrected.
constexpr double kLatencyHalfLifeS = 5;
// Requests per endpoint that may be queued beyond its concurrency limit, so that short bursts are not refused when
// limits are small. At the cold-start limit of two, a queued request waits for about one other to finish.
constexpr double kQueueSlotsPerEndpoint = 2;
constexpr Duration kDrainRetryAfter = Milliseconds(100);

// Returns whether an outcome was caused by the caller. Such outcomes do not count against the service-level
// objectives.
bool IsCausedByCaller(EntryFailure outcome) {
  switch (outcome) {
    case EntryFailure::kBadRequest:
    case EntryFailure::kRateLimited:
    case EntryFailure::kConcurrencyLimited:
    case EntryFailure::kTokensLimited:
    case EntryFailure::kCancelled:
      return true;
    default:
      return false;
  }
}

}  // namespace

EntryTraffic::EntryTraffic(const Clock& clock, Random& random, AttemptTransport& transport, Metrics& metrics,
                           RequestHistory& history, SloCounter& slo, TrafficOptions options)
    : m_clock(clock),
      m_random(random),
      m_history(history),
      m_slo(slo),
      m_options(std::move(options)),
      m_metrics(metrics),
      m_chooser(clock, random, m_options.route),
      m_retry_budget(m_options.retry_share, m_options.retry_reserve),
      m_resume_budget(m_options.retry_share, m_options.resume_reserve),
      m_retry_policy(clock, random, m_retry_budget, m_options.retry),
      m_resume_policy(clock, random, m_resume_budget, m_options.retry),
      m_attempt_client(clock, random, transport, *this, m_options.attempt),
      m_joins(clock, m_options.join),
      m_limits(clock),
      m_run_parts{
          clock, m_chooser, m_retry_policy, m_resume_policy, m_attempt_client, *this, [this](const RouteKey& key) {
            return GetExpectedLatency(key);
          }} {}

EntryTraffic::~EntryTraffic() = default;

void EntryTraffic::SetTable(std::shared_ptr<const RouteTable> table) {
  const auto& workspaces = table->GetConfig().document.workspaces;
  m_limits.SetLimits(workspaces, table->GetEntryCount() * m_options.loops);
  m_chooser.SetTable(table);
  m_table = std::move(table);
  for (auto& [key, share] : m_fair_shares) {
    for (const WorkspaceSpec& workspace : workspaces) share.SetWeight(workspace.name, workspace.weight);
    UpdateCapacity(key, share);
  }
}

FairShare& EntryTraffic::GetFairShare(const RouteKey& key) {
  const auto found = m_fair_shares.find(key);
  if (found != m_fair_shares.end()) return found->second;
  FairShare& share = m_fair_shares.try_emplace(key, m_clock).first->second;
  for (const WorkspaceSpec& workspace : m_table->GetConfig().document.workspaces) {
    share.SetWeight(workspace.name, workspace.weight);
  }
  UpdateCapacity(key, share);
  return share;
}

void EntryTraffic::UpdateCapacity(const RouteKey& key, FairShare& share) {
  const RouteCapacity capacity = m_chooser.GetCapacity(key);
  const double queue = kQueueSlotsPerEndpoint * capacity.endpoints;
  const double excess = std::max(0.0, capacity.queued - queue);
  const double queued_share = capacity.limit == 0 ? 0 : excess / capacity.limit;
  share.SetCapacity(capacity.limit + queue, m_table->GetEntryCount() * m_options.loops, queued_share);
}

void EntryTraffic::HandleHttp(HttpRequest http, const std::shared_ptr<HttpResponder>& responder) {
  if (m_table == nullptr) {
    m_metrics.CountRefusal(EntryFailure::kNoConfig);
    const Milliseconds retry_after = m_retry_policy.MakeRetryAfter(Milliseconds(1000));
    responder->Send(MakeErrorResponse({EntryFailure::kNoConfig, true, retry_after, "no configuration received yet"}));
    return;
  }
  ParseResult result = ParseEntryRequest(std::move(http), *m_table, m_clock, m_random, m_options.parse);
  if (const auto* error = std::get_if<EntryError>(&result)) {
    m_metrics.CountRefusal(error->type);
    responder->Send(MakeErrorResponse(*error));
    return;
  }
  HandleRequest(std::get<EntryRequest>(std::move(result)), responder);
}

void EntryTraffic::HandleRequest(EntryRequest request, const std::shared_ptr<HttpResponder>& responder) {
  if (TryJoin(request, responder)) return;
  const AdmitResult result = Admit(request);
  if (!result.IsAdmitted()) return Refuse(request, result, *responder);
  StartRun(std::move(request), responder);
}

bool EntryTraffic::TryJoin(const EntryRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  if (request.caller_attempt == 0) return false;
  const std::shared_ptr<SharedAnswer> answer = m_joins.Find(request);
  if (answer == nullptr) return false;
  m_metrics.GetJoinedRetries().Increment();
  RecordEvent(request, "joined", {{"tokens", answer->GetAnswer().tokens.size()}, {"finished", answer->IsFinished()}});
  AttachCaller(answer, request, responder);
  return true;
}

AdmitResult EntryTraffic::Admit(const EntryRequest& request) {
  if (m_refuse_from.has_value() && m_clock.GetNow() >= *m_refuse_from)
    return {EntryFailure::kDraining, kDrainRetryAfter};
  if (m_clock.GetNow() + GetExpectedLatency(request.key) >= request.deadline) return {EntryFailure::kDeadline, {}};
  AdmitResult result = m_limits.Check(request);
  if (!result.IsAdmitted()) return result;
  result = GetFairShare(request.key).Admit(request.workspace, request.caller_attempt > 0);
  if (!result.IsAdmitted()) return result;
  m_limits.OnStarted(request);
  return result;
}

void EntryTraffic::Refuse(const EntryRequest& request, const AdmitResult& result, HttpResponder& responder) {
  const EntryError error{result.failure, true, m_retry_policy.MakeRetryAfter(result.retry_after),
                         "refused by admission control"};
  m_metrics.CountRefusal(error.type);
  CountOutcome(request, {request.workspace, m_options.zone, VmId()}, error.type);
  RecordEvent(request, "refused", {{"reason", GetEntryFailureName(error.type)}});
  responder.Send(MakeErrorResponse(error));
}

void EntryTraffic::StartRun(EntryRequest request, const std::shared_ptr<HttpResponder>& responder) {
  m_metrics.GetInFlight().Increment();
  const auto answer = std::make_shared<SharedAnswer>();
  m_joins.Add(request, answer);
  AttachCaller(answer, request, responder);
  ActiveRun& active = m_runs[answer.get()];
  active.started_at = m_clock.GetNow();
  active.run = std::make_unique<RequestExecution>(m_run_parts, std::move(request), answer);
  active.run->Start();
}

void EntryTraffic::AttachCaller(const std::shared_ptr<SharedAnswer>& answer, const EntryRequest& request,
                                const std::shared_ptr<HttpResponder>& responder) {
  const std::weak_ptr<SharedAnswer> weak = answer;
  const auto detach = [this, weak](const AnswerSink* sink) { DetachCaller(weak, sink); };
  const auto sink = MakeHttpSink(request, responder, m_options.max_unsent_bytes, detach);
  const AnswerSink* id = sink.get();
  responder->SetOnClosed([detach, id] { detach(id); });
  answer->AddSink(sink);
}

void EntryTraffic::DetachCaller(const std::weak_ptr<SharedAnswer>& weak_answer, const AnswerSink* sink) {
  const std::shared_ptr<SharedAnswer> answer = weak_answer.lock();
  if (answer == nullptr) return;
  answer->RemoveSink(sink);
  const auto found = m_runs.find(answer.get());
  if (found == m_runs.end() || answer->GetSinkCount() > 0) return;
  RequestExecution& run = *found->second.run;
  RecordEvent(run.GetRequest(), "caller_gone", {{"cancelled", run.IsCancellable()}});
  if (run.IsCancellable()) run.Cancel();
}

void EntryTraffic::CheckDue() {
  m_finished.clear();
  m_attempt_client.CheckTimeouts();
  const TimePoint now = m_clock.GetNow();
  std::vector<RequestExecution*> runs;
  runs.reserve(m_runs.size());
  for (const auto& [answer, active] : m_runs) runs.push_back(active.run.get());
  // A run that finishes in this loop stays valid, because it is destroyed only in the next call.
  for (RequestExecution* run : runs) run->CheckDue(now);
  for (auto& [key, share] : m_fair_shares) UpdateCapacity(key, share);
  m_metrics.GetRetryBudget().Set(m_retry_budget.GetBalance());
}

void EntryTraffic::BeginDrain(TimePoint refuse_from, TimePoint) { m_refuse_from = refuse_from; }

void EntryTraffic::GiveUp() {
  std::vector<RequestExecution*> runs;
  for (const auto& [answer, active] : m_runs) runs.push_back(active.run.get());
  for (RequestExecution* run : runs) run->GiveUp();
}

void EntryTraffic::RecordEvent(const EntryRequest& request, std::string_view event,
                               std::initializer_list<EventField> fields) {
  m_history.Add(request.id.Get(), FormatEvent(event, fields));
}

void EntryTraffic::OnAttempt(const RequestExecution& run, AttemptId attempt, const VmId& vm, uint32_t number) {
  const size_t resume_from = run.GetAnswer().GetAnswer().tokens.size();
  m_metrics.GetAttempts().Increment();
  // Counted here rather than at admission, because a request without an available endpoint must not add to the
  // retry budget.
  if (number == 1) {
    m_retry_budget.OnFirstAttempt();
    m_resume_budget.OnFirstAttempt();
    m_metrics.GetFirstAttempts().Increment();
  }
  if (resume_from > 0) {
    m_metrics.GetResumptions().Increment();
  } else if (number > 1) {
    m_metrics.GetRetries().Increment();
  }
  RecordEvent(run.GetRequest(), "attempt",
              {{"attempt", attempt}, {"endpoint", vm}, {"number", number}, {"resume_from", resume_from}});
}

void EntryTraffic::OnAttemptFailed(const RequestExecution& run, AttemptId attempt, const VmId& vm,
                                   std::string_view reason, bool is_not_run) {
  if (attempt == AttemptId()) m_metrics.GetUnsentAttempts().Increment();
  RecordEvent(run.GetRequest(), "attempt_failed",
              {{"attempt", attempt}, {"endpoint", vm}, {"reason", reason}, {"not_run", is_not_run}});
}

void EntryTraffic::OnToken(const RequestExecution& run, const Digest& manifest) {
  const auto found = m_runs.find(&run.GetAnswer());
  if (found == m_runs.end()) return;
  ActiveRun& active = found->second;
  const TimePoint now = m_clock.GetNow();
  m_metrics.GetTokens().Increment();
  m_limits.OnTokens(run.GetRequest().workspace, 1);
  if (run.GetAnswer().GetAnswer().tokens.empty()) {
    const Duration time = now - active.started_at;
    m_metrics.GetFirstToken().Observe(ToSeconds(time));
    m_slo.CountFirstToken(MakeSloContext(run), time);
    UpdateExpectedLatency(run.GetRequest().key, time);
    RecordEvent(run.GetRequest(), "first_token", {{"manifest", FormatHex(manifest.Get())}});
  } else {
    m_metrics.GetTokenGap().Observe(ToSeconds(now - active.last_token_at));
    m_slo.CountTokenGap(MakeSloContext(run), now - active.last_token_at);
  }
  active.last_token_at = now;
}

void EntryTraffic::OnOverload(const RequestExecution& run) { GetFairShare(run.GetRequest().key).OnOverload(); }

void EntryTraffic::OnFinished(const RequestExecution& run, const EntryError* error) {
  const auto found = m_runs.find(&run.GetAnswer());
  if (found == m_runs.end()) return;
  const EntryRequest& request = run.GetRequest();
  const Duration time = m_clock.GetNow() - found->second.started_at;
  const EntryFailure outcome = error == nullptr ? EntryFailure::kNone : error->type;
  CountOutcome(request, MakeSloContext(run), outcome);
  m_metrics.GetDuration().Observe(ToSeconds(time));
  m_metrics.GetInFlight().Decrement();
  if (error == nullptr && !request.IsCompletion()) UpdateExpectedLatency(request.key, time);
  m_limits.OnFinished(request);
  GetFairShare(request.key).OnFinished(request.workspace);
  m_joins.OnFinished(request, run.GetAnswer());
  RecordEvent(request, "finished",
              {{"outcome", GetEntryFailureName(outcome)},
               {"tokens", run.GetAnswer().GetAnswer().tokens.size()},
               {"not_run", error != nullptr && error->is_not_run}});
  m_finished.push_back(std::move(found->second.run));
  m_runs.erase(found);
}

SloContext EntryTraffic::MakeSloContext(const RequestExecution& run) const {
  return {run.GetRequest().workspace, m_options.zone, run.GetEndpoint()};
}

void EntryTraffic::CountOutcome(const EntryRequest& request, const SloContext& context, EntryFailure outcome) {
  // Workspace names that are not configured are chosen by callers and would create metric series without bound.
  if (outcome == EntryFailure::kUnknownWorkspace) return;
  m_metrics.CountRequest(request.workspace, outcome);
  if (IsCausedByCaller(outcome)) return;
  const bool is_good = outcome == EntryFailure::kNone;
  m_slo.CountRequest(context, is_good, is_good ? "" : std::string(GetEntryFailureName(outcome)));
}

Duration EntryTraffic::GetExpectedLatency(const RouteKey& key) const {
  const auto found = m_latency_estimates.find(key);
  if (found == m_latency_estimates.end()) return {};
  const double age = ToSeconds(m_clock.GetNow() - found->second.updated_at);
  return Duration(
      static_cast<int64_t>(static_cast<double>(found->second.time.count()) * std::exp2(-age / kLatencyHalfLifeS)));
}

void EntryTraffic::UpdateExpectedLatency(const RouteKey& key, Duration time) {
  const Duration known = GetExpectedLatency(key);
  LatencyEstimate& expected = m_latency_estimates[key];
  expected.updated_at = m_clock.GetNow();
  if (known == Duration{} || time < known) {
    expected.time = time;
    return;
  }
  const double rise = static_cast<double>((time - known).count()) * kLatencySampleWeight;
  expected.time = known + Duration(static_cast<int64_t>(rise));
}

}  // namespace plantain

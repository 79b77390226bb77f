#include "request_execution.h"

#include <algorithm>
#include <utility>

namespace plantain {
namespace {

// Time until a hedge is tried again after one that could not be had or was refused.
constexpr Duration kHedgeInterval = Milliseconds(200);

// Maps an endpoint's reason for refusal to the failure reported to the caller.
EntryFailure ToFailure(proto::RefusalReason reason) {
  switch (reason) {
    case proto::REFUSAL_REASON_DEADLINE:
      return EntryFailure::kDeadline;
    case proto::REFUSAL_REASON_NO_CONFIG:
      return EntryFailure::kNoConfig;
    case proto::REFUSAL_REASON_BAD_REQUEST:
      return EntryFailure::kBadRequest;
    case proto::REFUSAL_REASON_UNKNOWN_OUTCOME:
    case proto::REFUSAL_REASON_DUPLICATE_RUNNING:
      return EntryFailure::kUnknownOutcome;
    case proto::REFUSAL_REASON_LOG_UNAVAILABLE:
      return EntryFailure::kLogUnavailable;
    case proto::REFUSAL_REASON_ENGINE_FAILED:
      return EntryFailure::kEndpointFailed;
    case proto::REFUSAL_REASON_ZONE_OUT:
    case proto::REFUSAL_REASON_LEAVING:
    case proto::REFUSAL_REASON_GATE_CLOSED:
    case proto::REFUSAL_REASON_WRONG_WEIGHTS:
      return EntryFailure::kNoEndpoint;
    default:
      return EntryFailure::kOverloaded;
  }
}

bool IsOverload(proto::RefusalReason reason) {
  return reason == proto::REFUSAL_REASON_OVERLOADED || reason == proto::REFUSAL_REASON_COLD;
}

// Failures that are reported as an interruption if the caller has already received tokens.
bool IsEndpointFault(EntryFailure failure) {
  return failure == EntryFailure::kEndpointFailed || failure == EntryFailure::kOverloaded ||
         failure == EntryFailure::kNoEndpoint;
}

// Refusals that any other endpoint would give too, so that a retry cannot succeed.
bool IsFinal(proto::RefusalReason reason) {
  return reason == proto::REFUSAL_REASON_BAD_REQUEST || reason == proto::REFUSAL_REASON_DEADLINE ||
         reason == proto::REFUSAL_REASON_UNKNOWN_OUTCOME || reason == proto::REFUSAL_REASON_DUPLICATE_RUNNING ||
         reason == proto::REFUSAL_REASON_LOG_UNAVAILABLE;
}

}  // namespace

RequestExecution::RequestExecution(RequestDeps& deps, EntryRequest request, std::shared_ptr<SharedAnswer> answer)
    : m_deps(deps),
      m_request(std::move(request)),
      m_answer(std::move(answer)),
      m_prefix(m_request.IsCompletion() ? HashPrefix(m_request.prompt) : PrefixHashes()) {}

RequestExecution::~RequestExecution() {
  while (!m_running.empty()) CancelAttempt(m_running.back().id);
}

void RequestExecution::Start() { SendAttempt(); }

RouteChoice RequestExecution::ChooseEndpoint() {
  RouteQuery query;
  query.key = m_request.key;
  query.prefix = m_prefix;
  query.excluded = m_tried;
  if (HasTokens()) query.manifest = m_answer->GetAnswer().manifest;
  return m_deps.chooser.Choose(query);
}

bool RequestExecution::StartAttempt(const VmId& vm) {
  m_endpoint = vm;
  m_tried.push_back(vm);
  ++m_attempts;
  const AttemptId attempt = m_deps.attempts.Start(vm, MakeStart(), *this);
  if (attempt == AttemptId()) {
    m_deps.chooser.OnRefused(vm, Duration{});
    m_deps.observer.OnAttemptFailed(*this, attempt, vm, "not_sent", true);
    return false;
  }
  ++m_sent;
  m_running.push_back({attempt, vm, m_deps.clock.GetNow()});
  m_deps.chooser.OnAttemptStarted(vm);
  m_deps.observer.OnAttempt(*this, attempt, vm, m_sent);
  return true;
}

void RequestExecution::SendAttempt() {
  m_is_waiting = false;
  const RouteChoice choice = ChooseEndpoint();
  if (!choice.vm.has_value()) return HandleNoRoute(choice);
  if (StartAttempt(*choice.vm)) return;
  RetryOrFail(AttemptOutcome::kNotSent, EntryFailure::kNoEndpoint, Duration{}, "endpoint not connected");
}

void RequestExecution::OnSilent(AttemptId attempt) {
  const auto silent = std::find_if(m_running.begin(), m_running.end(),
                                   [attempt](const RunningAttempt& running) { return running.id == attempt; });
  if (silent == m_running.end()) return;
  m_deps.chooser.OnRefused(silent->vm, Duration{});
  m_silent_attempt = attempt;
  TryHedge();
}

void RequestExecution::TryHedge() {
  const bool is_alone = m_running.size() == 1 && m_running.front().id == m_silent_attempt;
  if (!is_alone || !m_request.is_idempotent) return;
  m_hedge_at = m_deps.clock.GetNow() + kHedgeInterval;
  RetryPolicy& retries = GetRetryPolicy();
  if (!retries.Decide(MakeRetryQuery(AttemptOutcome::kMayHaveRun)).is_retry) return;
  const RouteChoice choice = ChooseEndpoint();
  if (!choice.vm.has_value() || !StartAttempt(*choice.vm)) retries.Return();
}

void RequestExecution::HandleNoRoute(const RouteChoice& choice) {
  // Endpoints in backoff may have refused for reasons other than load, for example while switching weights.
  if (choice.failure == RouteFailure::kAllFull) m_deps.observer.OnOverload(*this);
  if (m_last_failure != EntryFailure::kNone) return Fail(m_last_failure, choice.retry_after, "no other endpoint");
  switch (choice.failure) {
    case RouteFailure::kUnknownKey:
      return Fail(EntryFailure::kNoEndpoint, choice.retry_after, "not in the active configuration");
    case RouteFailure::kNoEndpoint:
      return Fail(EntryFailure::kNoEndpoint, choice.retry_after, "no endpoint currently serves this");
    case RouteFailure::kAllBackedOff:
      return Fail(EntryFailure::kOverloaded, choice.retry_after, "all endpoints are in backoff after refusals");
    case RouteFailure::kAllFull:
      return Fail(EntryFailure::kOverloaded, choice.retry_after, "all endpoints are full");
  }
}

proto::AttemptStart RequestExecution::MakeStart() const {
  proto::AttemptStart start;
  start.set_request(m_request.id.Get());
  start.set_workspace(m_request.workspace.Get());
  start.set_priority(m_request.priority);
  const auto left = std::chrono::ceil<Milliseconds>(m_request.deadline - m_deps.clock.GetNow()).count();
  start.set_deadline_ms(static_cast<uint32_t>(std::max<int64_t>(left, 1)));
  start.set_retry(m_sent);
  if (m_request.IsCompletion()) {
    FillCompletion(*start.mutable_completion());
  } else {
    FillService(*start.mutable_service());
  }
  return start;
}

void RequestExecution::FillCompletion(proto::CompletionCall& call) const {
  call.set_model(m_request.key.model.Get());
  call.set_adapter(m_request.key.adapter.Get());
  call.set_prompt(m_request.prompt);
  call.set_max_tokens(m_request.max_tokens);
  if (!HasTokens()) return;
  call.set_resume_from(static_cast<uint32_t>(m_answer->GetAnswer().tokens.size()));
  call.set_manifest(m_answer->GetAnswer().manifest.Get());
}

void RequestExecution::FillService(proto::ServiceCall& call) const {
  call.set_service(m_request.key.service.Get());
  call.set_call(m_request.call);
  call.set_body(m_request.body);
  call.set_repeatable(m_request.is_idempotent);
  call.set_idempotency_key(m_request.idempotency_key);
}

VmId RequestExecution::EndAttempt(AttemptId attempt) {
  const auto found = std::find_if(m_running.begin(), m_running.end(),
                                  [attempt](const RunningAttempt& running) { return running.id == attempt; });
  const RunningAttempt ended = *found;
  m_running.erase(found);
  if (!m_running.empty()) m_endpoint = m_running.back().vm;
  m_deps.chooser.OnAttemptEnded(ended.vm, m_deps.clock.GetNow() - ended.sent_at);
  return ended.vm;
}

void RequestExecution::CancelAttempt(AttemptId attempt) {
  // The endpoint may already be running it.
  m_is_not_run = false;
  EndAttempt(attempt);
  m_deps.attempts.Cancel(attempt);
}

void RequestExecution::CancelOthers(AttemptId attempt) {
  const std::vector<RunningAttempt> running = m_running;
  for (const RunningAttempt& other : running) {
    if (other.id == attempt) continue;
    m_deps.observer.OnAttemptFailed(*this, other.id, other.vm, "replaced", false);
    CancelAttempt(other.id);
  }
}

void RequestExecution::OnToken(AttemptId attempt, std::string text, const Digest& manifest) {
  m_is_not_run = false;
  if (attempt == m_silent_attempt) m_silent_attempt = AttemptId();
  if (m_running.size() > 1) CancelOthers(attempt);
  m_deps.observer.OnToken(*this, manifest);
  m_answer->PublishToken(std::move(text), manifest);
}

void RequestExecution::OnEnd(AttemptId attempt, int status, std::string body) {
  m_is_not_run = false;
  CancelOthers(attempt);
  m_deps.chooser.OnSuccess(EndAttempt(attempt));
  m_answer->PublishComplete(status, std::move(body));
  Finish();
}

void RequestExecution::OnRefused(AttemptId attempt, const proto::AttemptRefused& refused) {
  const VmId vm = EndAttempt(attempt);
  const Duration hint = Milliseconds(refused.retry_after_ms());
  const proto::RefusalReason reason = refused.reason();
  m_deps.observer.OnAttemptFailed(*this, attempt, vm, proto::RefusalReason_Name(reason), refused.not_run());
  // A duplicate did not run, but the original call may be running elsewhere.
  if (!refused.not_run() || reason == proto::REFUSAL_REASON_DUPLICATE_RUNNING) m_is_not_run = false;
  if (IsFinal(reason) && m_running.empty()) return Fail(ToFailure(reason), hint, "refused by the endpoint");
  m_deps.chooser.OnRefused(vm, hint);
  if (IsOverload(reason)) m_deps.observer.OnOverload(*this);
  const AttemptOutcome outcome = refused.not_run() ? AttemptOutcome::kNotRun : AttemptOutcome::kMayHaveRun;
  RetryOrFail(outcome, ToFailure(reason), hint, "refused by the endpoint");
}

void RequestExecution::OnLost(AttemptId attempt, AttemptLoss loss) {
  const VmId vm = EndAttempt(attempt);
  m_is_not_run = false;
  m_deps.chooser.OnRefused(vm, Duration{});
  m_deps.observer.OnAttemptFailed(*this, attempt, vm, GetAttemptLossName(loss), false);
  const EntryFailure failure = !m_request.is_idempotent ? EntryFailure::kUnknownOutcome
                               : HasTokens()            ? EntryFailure::kInterrupted
                                                        : EntryFailure::kEndpointFailed;
  RetryOrFail(AttemptOutcome::kMayHaveRun, failure, Duration{}, "lost the endpoint during the attempt");
}

RetryQuery RequestExecution::MakeRetryQuery(AttemptOutcome outcome) const {
  RetryQuery query;
  query.outcome = outcome;
  query.is_idempotent = m_request.is_idempotent;
  query.attempts = m_attempts;
  query.deadline = m_request.deadline;
  query.expected = m_deps.get_expected(m_request.key);
  return query;
}

void RequestExecution::RetryOrFail(AttemptOutcome outcome, EntryFailure failure, Duration hint, std::string detail) {
  if (m_last_failure == EntryFailure::kNone || outcome != AttemptOutcome::kNotSent) m_last_failure = failure;
  // The other attempt may still answer.
  if (!m_running.empty()) return;
  const RetryDecision decision = GetRetryPolicy().Decide(MakeRetryQuery(outcome));
  if (!decision.is_retry) return Fail(failure, hint, std::move(detail));
  if (decision.delay == Duration{}) return SendAttempt();
  m_is_waiting = true;
  m_next_attempt_at = m_deps.clock.GetNow() + decision.delay;
}

void RequestExecution::CheckDue(TimePoint now) {
  if (m_is_finished) return;
  if (now >= m_request.deadline) return Fail(EntryFailure::kDeadline, Duration{}, "deadline exceeded");
  if (m_is_waiting && now >= m_next_attempt_at) SendAttempt();
  if (m_silent_attempt != AttemptId() && now >= m_hedge_at) TryHedge();
}

void RequestExecution::Cancel() {
  if (m_is_finished) return;
  Fail(EntryFailure::kCancelled, Duration{}, "the caller disconnected");
}

void RequestExecution::GiveUp() {
  if (m_is_finished) return;
  const bool may_have_run = !m_is_not_run || !m_running.empty();
  Fail(may_have_run ? EntryFailure::kEndpointFailed : EntryFailure::kDraining, Duration{}, "the process stops");
}

void RequestExecution::Finish() {
  m_is_finished = true;
  m_deps.observer.OnFinished(*this, nullptr);
}

void RequestExecution::Fail(EntryFailure failure, Duration hint, std::string detail) {
  EntryError error;
  error.type = failure;
  while (!m_running.empty()) CancelAttempt(m_running.back().id);
  error.is_not_run = m_is_not_run;
  if (!m_is_not_run && !m_request.is_idempotent) error.type = EntryFailure::kUnknownOutcome;
  if (HasTokens() && IsEndpointFault(failure)) error.type = EntryFailure::kInterrupted;
  error.retry_after = m_deps.retries.MakeRetryAfter(hint);
  error.detail = std::move(detail);
  m_is_finished = true;
  m_answer->PublishFailed(error);
  m_deps.observer.OnFinished(*this, &error);
}

}  // namespace plantain

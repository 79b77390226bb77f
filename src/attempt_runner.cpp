#include "attempt_runner.h"

#include "document_func.h"
#include "failure_type.h"

namespace plantain {
namespace {

// Applied to attempts without a deadline.
constexpr Duration kDefaultDeadline = std::chrono::minutes(10);

}  // namespace

AttemptRunner::AttemptRunner(RunnerDeps deps) : m_deps(std::move(deps)) {}

void AttemptRunner::Begin(const ConnectionId& from, const proto::AttemptStart& start) {
  const AttemptPtr attempt = m_table.Add({from, AttemptId(start.attempt())});
  if (attempt == nullptr) {
    m_deps.metrics.duplicates.Increment();
    return;
  }
  attempt->start = start;
  const Duration left = start.deadline_ms() > 0 ? Milliseconds(start.deadline_ms()) : kDefaultDeadline;
  attempt->deadline = m_deps.clock.GetNow() + left;
  AddToHistory(*attempt, FormatEvent("attempt_started", {{"attempt", attempt->key.id},
                                                         {"retry", start.retry()},
                                                         {"deadline_ms", start.deadline_ms()}}));
  auto reason = Check(start);
  if (!reason.has_value() && start.has_completion()) reason = CheckGate(start.completion());
  if (reason.has_value()) {
    Refuse(attempt, Refusal{*reason, true, m_deps.admission.GetRetryAfter()}, RequestEnd::kNeutral);
    return;
  }
  RequestAdmission(attempt);
}

std::optional<proto::RefusalReason> AttemptRunner::Check(const proto::AttemptStart& start) const {
  const auto config = m_deps.config.GetConfig();
  return CheckAttempt(m_deps.role, config.get(), m_is_leaving, start);
}

void AttemptRunner::RequestAdmission(const AttemptPtr& attempt) {
  AdmissionCallbacks callbacks;
  callbacks.on_admitted = [this, attempt](SlotId slot) { OnAdmitted(attempt, slot); };
  callbacks.on_refused = [this, attempt](const Refusal& refusal) {
    attempt->waiter.reset();
    Refuse(attempt, refusal, RequestEnd::kNeutral);
  };
  const bool is_retry = attempt->start.retry() > 0;
  const WaiterId waiter =
      m_deps.admission.RequestSlot(attempt->start.priority(), is_retry, attempt->deadline, std::move(callbacks));
  if (!attempt->is_ended && !attempt->slot.has_value()) attempt->waiter = waiter;
}

void AttemptRunner::OnAdmitted(const AttemptPtr& attempt, SlotId slot) {
  attempt->waiter.reset();
  attempt->slot = slot;
  attempt->admitted_at = m_deps.clock.GetNow();
  // The zone may have been taken out of service, or the agent may have begun to leave, while the request waited.
  if (const auto reason = Check(attempt->start)) {
    Refuse(attempt, Refusal{*reason, true, m_deps.admission.GetRetryAfter()}, RequestEnd::kNeutral);
    return;
  }
  m_deps.metrics.admitted.Increment();
  AddToHistory(*attempt, FormatEvent("attempt_admitted", {{"attempt", attempt->key.id}}));
  if (attempt->start.has_completion()) {
    RunCompletion(attempt);
    return;
  }
  const auto config = m_deps.config.GetConfig();
  const CallClass call_class = GetCallClass(config->document, attempt->start.service());
  if (call_class == CallClass::kRepeatable) {
    RunRepeatable(attempt);
  } else {
    RunAtMostOnce(attempt);
  }
}

void AttemptRunner::Cancel(const AttemptKey& key) {
  const AttemptPtr attempt = m_table.Find(key);
  if (attempt == nullptr) {
    m_deps.metrics.unknown_attempts.Increment();
    return;
  }
  m_deps.metrics.cancelled.Increment();
  AddToHistory(*attempt, FormatEvent("attempt_cancelled", {{"attempt", attempt->key.id}}));
  Release(attempt, RequestEnd::kNeutral);
}

void AttemptRunner::BeginLeaving() {
  if (m_is_leaving) return;
  m_is_leaving = true;
  m_deps.admission.RefuseWaiting(proto::REFUSAL_REASON_LEAVING);
}

void AttemptRunner::Tick() {
  if (m_deps.admission.GetQueued() == 0) return;
  const auto config = m_deps.config.GetConfig();
  if (config != nullptr && IsZoneInService(config->document, m_deps.role.zone)) return;
  m_deps.admission.RefuseWaiting(proto::REFUSAL_REASON_ZONE_OUT);
}

void AttemptRunner::EndCompletion(const AttemptPtr& attempt) {
  proto::AttemptMessage message;
  proto::AttemptEnd& end = *message.mutable_end();
  end.set_attempt(attempt->key.id.Get());
  end.set_tokens(attempt->stream->GetNextIndex());
  AddToHistory(*attempt, FormatEvent("attempt_ended", {{"attempt", attempt->key.id}, {"tokens", end.tokens()}}));
  Release(attempt, RequestEnd::kOk);
  *end.mutable_load() = m_deps.admission.GetLoad();
  m_deps.send(attempt->key.from, message);
}

void AttemptRunner::EndService(const AttemptPtr& attempt, uint32_t status, const std::string& body, RequestEnd end_kind,
                               std::optional<Duration> call_time) {
  proto::AttemptMessage message;
  proto::AttemptEnd& end = *message.mutable_end();
  end.set_attempt(attempt->key.id.Get());
  end.set_status(status);
  end.set_body(body);
  AddToHistory(*attempt, FormatEvent("attempt_ended", {{"attempt", attempt->key.id}, {"status", status}}));
  Release(attempt, end_kind, call_time);
  *end.mutable_load() = m_deps.admission.GetLoad();
  m_deps.send(attempt->key.from, message);
}

void AttemptRunner::HandleEngineFailure(const AttemptPtr& attempt, const absl::Status& status) {
  m_deps.metrics.engine_errors.Increment();
  LogEvent(LogLevel::kWarn, "engine_call_failed", {{"request", attempt->start.request()}, MakeFailureField(status)});
  const bool is_late = m_deps.clock.GetNow() >= attempt->deadline;
  const bool not_run = GetFailureCode(status) == FailureCode::kConnectFailed && !attempt->has_token;
  const auto reason = is_late ? proto::REFUSAL_REASON_DEADLINE : proto::REFUSAL_REASON_ENGINE_FAILED;
  // A deadline that expires while the engine is producing tokens is no evidence of an engine failure.
  const RequestEnd end = is_late && attempt->has_token ? RequestEnd::kNeutral : RequestEnd::kFailed;
  Refuse(attempt, Refusal{reason, not_run, m_deps.admission.GetRetryAfter()}, end);
}

void AttemptRunner::Refuse(const AttemptPtr& attempt, const Refusal& refusal, RequestEnd end) {
  if (attempt->is_ended) return;
  m_deps.metrics.GetRefused(refusal.reason).Increment();
  AddToHistory(*attempt, FormatEvent("attempt_refused", {{"attempt", attempt->key.id},
                                                         {"reason", GetReasonName(refusal.reason)},
                                                         {"not_run", refusal.not_run}}));
  Release(attempt, end);
  proto::AttemptMessage message;
  proto::AttemptRefused& refused = *message.mutable_refused();
  refused.set_attempt(attempt->key.id.Get());
  refused.set_reason(refusal.reason);
  refused.set_not_run(refusal.not_run);
  const auto retry_ms = std::chrono::duration_cast<Milliseconds>(refusal.retry_after).count();
  refused.set_retry_after_ms(static_cast<uint32_t>(retry_ms));
  *refused.mutable_load() = m_deps.admission.GetLoad();
  m_deps.send(attempt->key.from, message);
}

// Releases all resources of the attempt. The connection to the engine is closed first, so that the slot is freed only
// after the engine was told to stop.
void AttemptRunner::Release(const AttemptPtr& attempt, RequestEnd end, std::optional<Duration> call_time) {
  if (attempt->is_ended) return;
  attempt->is_ended = true;
  if (attempt->call != nullptr) attempt->call->Cancel();
  attempt->call.reset();
  if (attempt->manifest.has_value()) {
    const proto::CompletionCall& call = attempt->start.completion();
    m_deps.gate->Leave(ModelName(call.model()), AdapterName(call.adapter()));
  }
  m_table.Remove(attempt->key);
  if (attempt->waiter.has_value()) m_deps.admission.Withdraw(*attempt->waiter);
  if (attempt->slot.has_value()) m_deps.admission.End(*attempt->slot, end, call_time);
}

void AttemptRunner::AddToHistory(const Attempt& attempt, std::string line) {
  m_deps.history.Add(attempt.start.request(), std::move(line));
}

}  // namespace plantain

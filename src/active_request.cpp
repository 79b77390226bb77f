#include "active_request.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "failure_type.h"
#include "weight_time.h"

namespace plantain {
namespace {

// Connections within a deployment open within a few milliseconds; a lost packet is retransmitted after 200 ms.
constexpr Duration kConnectTimeout = Milliseconds(350);
// Maximum idle time of a keep-alive connection that is reused, since longer idle ones may be dead.
constexpr Duration kMaxIdleTime = std::chrono::seconds(4);
// An attempt of a repeatable request times out if the endpoint sends nothing for this multiple of the latency goal.
constexpr int kInactivityGoalFactor = 3;
constexpr Duration kMinInactivityTimeout = Milliseconds(250);
// Inactivity timeout between two events of a stream. Callers disconnect soon after it.
constexpr Duration kStreamInactivityTimeout = Milliseconds(1200);
// Attempts with less time until the deadline cannot succeed.
constexpr Duration kMinAttemptTime = Milliseconds(30);
// Maximum number of attempts of one request, including those that endpoints refused without running it.
constexpr uint32_t kMaxAttempts = 4;
constexpr size_t kMaxBodyBytes = 8 * 1024 * 1024;
// Maximum number of bytes buffered for a slow caller before its stream is aborted.
constexpr size_t kMaxUnsentBytes = 1024 * 1024;

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;

bool IsSuccess(int status) { return status >= kFirstSuccess && status < kFirstRedirect; }

// Returns whether callers interpret the status as a guarantee that the request has not run.
bool GuaranteesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

// Returns the model that the endpoints of the pool run the request on, or an empty name if they are no engines.
ModelName FindModel(const RouteMatcher& matcher, const PoolName& name, const ForwardRequest& request) {
  const PoolSpec* pool = matcher.FindPool(name);
  if (pool == nullptr || !pool->engine.has_value()) return ModelName();
  return request.model.IsEmpty() ? pool->engine->model : request.model;
}

}  // namespace

TimePoint ComputeDeadline(const ForwardRequest& request, const RouteRule& rule, TimePoint now) {
  const Duration caller_timeout = request.caller_timeout.value_or(rule.timeout);
  return now + std::min(caller_timeout, rule.timeout);
}

ActiveRequest::ActiveRequest(ActiveRequestDeps& deps, ForwardRequest request, const RouteMatch& match,
                             std::shared_ptr<const RouteMatcher> matcher, PoolName pool, WaitTicket ticket,
                             std::shared_ptr<HttpResponder> responder)
    : m_deps(deps),
      m_request(std::move(request)),
      m_match(match),
      m_matcher(std::move(matcher)),
      m_pool(std::move(pool)),
      m_model(FindModel(*m_matcher, m_pool, m_request)),
      m_ticket(ticket),
      m_responder(std::move(responder)),
      m_started_at(deps.clock.GetNow()),
      m_deadline(ComputeDeadline(m_request, *match.rule, m_started_at)),
      m_last_event_id(m_request.last_event_id) {}

void ActiveRequest::WatchForDisconnect() {
  m_responder->SetOnClosed([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerDisconnected();
  });
}

const ContentKey& ActiveRequest::GetRequestKey() const {
  if (!m_request_key.has_value()) {
    const WorkspaceName workspace = m_match.workspace == nullptr ? WorkspaceName() : m_match.workspace->name;
    m_request_key = MakeRequestKey(workspace, m_request.host, m_request.http);
  }
  return *m_request_key;
}

HttpCallOptions ActiveRequest::MakeOptions(TimePoint now) const {
  HttpCallOptions options;
  options.timeout = std::max<Duration>(m_deadline - now, kMinAttemptTime);
  options.connect_timeout = kConnectTimeout;
  // The server may close a keep-alive connection while the request is being sent. It is then unknown whether the
  // request ran, so that requests that must not be repeated use a new connection.
  options.max_idle = m_match.rule->IsRepeatable() ? kMaxIdleTime : Duration::zero();
  // A stream is passed on event by event, so that only an event needs a limit.
  options.max_body_bytes = IsStream() ? std::numeric_limits<size_t>::max() : kMaxBodyBytes;
  return options;
}

void ActiveRequest::StartAttempt(const EndpointChoice& choice, const AttemptWeights& weights) {
  const TimePoint now = m_deps.clock.GetNow();
  if (m_outcome.attempts == 0) m_outcome.wait_time = now - m_started_at;
  ++m_outcome.attempts;
  m_outcome.endpoint = choice.endpoint->id;
  m_outcome.load = choice.load;
  m_outcome.load_age = choice.load_age;
  m_outcome.expected = choice.expected;
  m_outcome.version = weights.loaded;
  m_outcome.min_version = weights.min_version;
  m_outcome.until_limit.reset();
  if (weights.start_limit.has_value()) m_outcome.until_limit = *weights.start_limit - now;
  m_endpoint = choice.endpoint->id;
  m_sent_at = now;
  m_endpoint_incarnation = choice.endpoint->incarnation;
  m_tried_endpoints.push_back(m_endpoint);
  m_response_head.reset();
  m_response_body.clear();
  m_events = EventSplitter(m_last_event_id);
  m_last_received_at = now;
  m_is_prefill_done = false;
  m_has_body = false;
  AttemptHeader header;
  header.time_left = m_deadline - now;
  header.endpoint = m_endpoint;
  if (m_match.workspace != nullptr) header.workspace = m_match.workspace->name;
  if (weights.is_exact) header.version = weights.loaded;
  header.last_event_id = m_last_event_id;
  HttpCallbacks callbacks;
  // A cancelled call reports nothing, but callbacks that are already queued still run. The attempt number identifies
  // them.
  const uint64_t attempt = ++m_attempt_number;
  const auto is_current = [attempt](const std::shared_ptr<ActiveRequest>& self) {
    return self != nullptr && self->m_attempt_number == attempt && !self->m_is_ended;
  };
  callbacks.on_head = [weak = weak_from_this(), is_current](int status, const HttpHeaders& headers) {
    if (const auto self = weak.lock(); is_current(self)) self->OnHead(status, headers);
  };
  callbacks.on_data = [weak = weak_from_this(), is_current](std::string_view data) {
    if (const auto self = weak.lock(); is_current(self)) self->OnData(data);
  };
  callbacks.on_done = [weak = weak_from_this(), is_current](const absl::Status& status) {
    if (const auto self = weak.lock(); is_current(self)) self->OnDone(status);
  };
  m_call = m_deps.sender.Send(choice.endpoint->target, m_deps.protocol.MakeAttemptRequest(m_request, header),
                              MakeOptions(now), std::move(callbacks));
}

void ActiveRequest::OnHead(int status, const HttpHeaders& headers) {
  m_last_received_at = m_deps.clock.GetNow();
  m_response_head = m_deps.protocol.ParseResponseHead(m_request.id, status, headers, m_call->IsOnKeptConnection());
  if (!m_response_head->has_matching_id) {
    // The answer to this request may follow, so that the connection cannot be used for another one.
    m_call->Cancel();
    FailAttempt(AttemptEnd::kBroken, "response to another request");
    return;
  }
  if (!m_response_head->is_misdirected) m_deps.host.OnResponseHead(*this, *m_response_head);
}

void ActiveRequest::OnData(std::string_view data) {
  // Bytes that complete no event are no activity of a stream: they may come without end.
  if (!IsStream()) m_last_received_at = m_deps.clock.GetNow();
  m_has_body = true;
  const bool is_valid_success = m_response_head->has_receipt && IsSuccess(m_response_head->status);
  if (IsStream() && is_valid_success && m_response_head->is_stream) {
    const uint64_t progress = m_events.GetProgress();
    std::string events = m_events.Take(data);
    if (m_events.GetProgress() != progress) m_last_received_at = m_deps.clock.GetNow();
    OnEvents(std::move(events));
    return;
  }
  if (m_response_body.size() + data.size() > kMaxBodyBytes) {
    m_call->Cancel();
    FinishAttempt(MakeFailure(FailureCode::kProtocol, "response exceeds 8 MiB"));
    return;
  }
  m_response_body.append(data);
}

void ActiveRequest::OnEvents(std::string events) {
  if (m_events.HasGap()) {
    m_call->Cancel();
    FailAttempt(AttemptEnd::kBroken, "gap in the event IDs of the stream");
    return;
  }
  if (m_events.IsTooLong()) {
    m_call->Cancel();
    FailAttempt(AttemptEnd::kBroken, "event of the stream exceeds 1 MiB");
    return;
  }
  if (events.empty()) return;
  if (!m_is_prefill_done) m_deps.host.OnAnswerBegun(*this);
  ReportPrefillDone();
  if (!m_has_events) {
    m_has_events = true;
    m_weight_version = m_response_head->version;
    m_outcome.first_event = m_deps.clock.GetNow() - m_started_at;
    m_responder->StartStream(m_response_head->status, m_response_head->headers);
  }
  m_last_event_id = m_events.GetLastId();
  m_outcome.events += 1;
  m_responder->SendChunk(std::move(events));
  if (m_responder->GetUnsentBytes() <= kMaxUnsentBytes) return;
  m_call->Cancel();
  EndAttempt(AttemptEnd::kCancelled);
  AbortCaller();
  FinishRequest(0, ForwardFailure::kCallerGone, "more than 1 MiB unsent to a slow caller");
}

void ActiveRequest::OnDone(const absl::Status& status) { FinishAttempt(status); }

void ActiveRequest::FinishAttempt(const absl::Status& status) {
  if (!status.ok()) {
    const FailureCode code = GetFailureCode(status);
    if (code == FailureCode::kConnectFailed) {
      EndAttempt(AttemptEnd::kUnreachable);
      RetryOrFail(AttemptOutcome::kNotSent, "connection failed");
      return;
    }
    if (code == FailureCode::kTimeout) {
      FailAttempt(AttemptEnd::kSilent, "no whole answer in time");
      return;
    }
    const bool is_lost = code == FailureCode::kConnectionLost;
    FailAttempt(is_lost ? AttemptEnd::kConnectionLost : AttemptEnd::kBroken,
                "response not complete: " + GetFailureText(status));
    return;
  }
  const ResponseHead& head = *m_response_head;
  if (head.is_not_run || head.is_misdirected) {
    EndAttempt(head.is_misdirected ? AttemptEnd::kMisdirected : AttemptEnd::kFull);
    RetryOrFail(AttemptOutcome::kNotRun, head.is_misdirected ? "wrong endpoint or weight version"
                                                             : "refused by the endpoint without running it");
  } else if (IsSuccess(head.status) && IsStream() && head.is_stream && head.has_receipt) {
    FinishStream();
  } else if (IsSuccess(head.status) && !head.has_receipt) {
    FailAttempt(AttemptEnd::kBroken, "success response without a receipt");
  } else {
    DeliverResponse();
  }
}

void ActiveRequest::FinishStream() {
  // A resumed stream may have nothing left to send, but only an explicit end says so.
  const bool is_empty = m_events.GetProgress() == 0;
  const bool is_end_missing = is_empty && (!m_has_events || m_response_head->ends_with_connection);
  if (!m_events.IsAtBoundary() || is_end_missing) {
    // A response without a length ends with its connection, so that only this shows that it was lost.
    FailAttempt(AttemptEnd::kConnectionLost, "stream ended within an event or without any");
    return;
  }
  m_outcome.executions += 1;
  EndAttempt(AttemptEnd::kSuccess);
  std::string comments = m_events.TakeComments();
  if (!comments.empty()) m_responder->SendChunk(std::move(comments));
  m_responder->EndStream();
  FinishRequest(m_response_head->status, ForwardFailure::kNone, "complete");
}

void ActiveRequest::DeliverResponse() {
  const ResponseHead& head = *m_response_head;
  if (GuaranteesNotRun(head.status) && m_match.rule->kind == RequestKind::kOnce) {
    FailAttempt(AttemptEnd::kError, "endpoint error with a status that would guarantee that the request has not run");
    return;
  }
  HttpResponse response{head.status, head.headers, std::move(m_response_body)};
  const bool is_error = head.status >= kFirstServerError;
  m_deps.host.OnAnswerBegun(*this);
  EndAttempt(is_error ? AttemptEnd::kError : AttemptEnd::kSuccess);
  if (m_has_events) {
    // The response to a resumed stream is not a stream.
    m_may_have_run = true;
    m_outcome.executions += 1;
    RetryOrFail(AttemptOutcome::kMayHaveRun, "response to a resumed stream is not a stream");
    return;
  }
  m_outcome.executions += 1;
  if (is_error && m_match.rule->IsRepeatable()) {
    m_may_have_run = true;
    m_error_response = std::move(response);
    RetryOrFail(AttemptOutcome::kMayHaveRun, "endpoint returned HTTP status " + std::to_string(head.status));
    return;
  }
  m_responder->Send(std::move(response));
  FinishRequest(head.status, ForwardFailure::kNone, is_error ? "endpoint returned an error" : "complete");
}

// Ends an attempt whose response is unusable although the request may have run.
void ActiveRequest::FailAttempt(AttemptEnd end, std::string reason) {
  m_may_have_run = true;
  m_outcome.executions += 1;
  EndAttempt(end);
  RetryOrFail(AttemptOutcome::kMayHaveRun, std::move(reason));
}

void ActiveRequest::ReportPrefillDone() {
  if (std::exchange(m_is_prefill_done, true)) return;
  m_deps.host.OnPrefillDone(*this, m_endpoint);
}

void ActiveRequest::EndAttempt(AttemptEnd end) {
  ReportPrefillDone();
  ++m_attempt_number;
  m_call.reset();
  m_deps.host.OnAttemptEnded(*this, {m_endpoint, end, GetProgress(), m_sent_at, m_endpoint_incarnation});
}

AnswerProgress ActiveRequest::GetProgress() const {
  if (!m_response_head.has_value()) return AnswerProgress::kNone;
  const bool has_begun = IsStream() ? m_events.GetProgress() > 0 : m_has_body;
  return has_begun ? AnswerProgress::kBegun : AnswerProgress::kHeader;
}

void ActiveRequest::RetryOrFail(AttemptOutcome outcome, std::string reason) {
  const bool may_have_run = outcome == AttemptOutcome::kMayHaveRun;
  const TimePoint now = m_deps.clock.GetNow();
  const bool is_allowed = !may_have_run || m_match.rule->IsRepeatable();
  const bool has_executions_left = m_outcome.executions < m_match.rule->attempts;
  const bool has_attempts_left = m_outcome.attempts < kMaxAttempts;
  const bool has_time = m_deadline - now > kMinAttemptTime;
  m_outcome.reason = reason;
  if (!is_allowed || !has_executions_left || !has_attempts_left || !has_time) {
    FailWithoutRetry(m_may_have_run, std::move(reason));
    return;
  }
  if (may_have_run && !m_deps.host.IsRepeatWorthwhile(*this)) {
    FailWithoutRetry(m_may_have_run, reason + "; endpoints crash at this content");
    return;
  }
  if (outcome != AttemptOutcome::kNotSent && !m_deps.host.TryAcquireRetry(*this)) {
    FailWithoutRetry(m_may_have_run, reason + "; retry budget exhausted");
    return;
  }
  m_deps.host.RequestAttempt(*this);
}

void ActiveRequest::FailWithoutRetry(bool may_have_run, std::string reason) {
  if (!may_have_run) {
    Fail(ForwardFailure::kNoEndpoint, std::move(reason));
  } else if (m_deps.clock.GetNow() >= m_deadline) {
    Fail(ForwardFailure::kTimeout, std::move(reason));
  } else {
    Fail(m_match.rule->IsRepeatable() ? ForwardFailure::kBrokenAnswer : ForwardFailure::kUnknownOutcome,
         std::move(reason));
  }
}

void ActiveRequest::Fail(ForwardFailure failure, std::string reason) {
  if (m_is_ended) return;
  if (m_has_events) {
    // The caller detects the truncated stream and can resume it.
    AbortCaller();
    FinishRequest(0, failure, std::move(reason));
    return;
  }
  if (m_error_response.has_value()) {
    const int status = m_error_response->status;
    m_responder->Send(*std::move(m_error_response));
    FinishRequest(status, ForwardFailure::kNone, std::move(reason));
    return;
  }
  // Status 503 guarantees that the request has not run, so it must not be sent for one that may have.
  if (m_may_have_run && GetForwardFailureStatus(failure) == 503) failure = ForwardFailure::kBrokenAnswer;
  // A repeat of a request with blocked content would be refused too.
  const bool may_come_back = GetForwardFailureStatus(failure) == 503 && failure != ForwardFailure::kBlockedContent;
  m_responder->Send(
      MakeForwardErrorResponse(failure, may_come_back ? m_deps.host.SuggestRetryAfter(*this) : Duration::zero()));
  FinishRequest(GetForwardFailureStatus(failure), failure, std::move(reason));
}

// Closes the caller's connection. The request is ended by this side, so that the close is not reported as the caller's.
void ActiveRequest::AbortCaller() {
  m_responder->SetOnClosed(nullptr);
  m_responder->Abort();
}

void ActiveRequest::FinishRequest(int status, ForwardFailure failure, std::string reason) {
  m_is_ended = true;
  ++m_attempt_number;
  m_outcome.status = status;
  m_outcome.failure = failure;
  m_outcome.reason = std::move(reason);
  m_outcome.total = m_deps.clock.GetNow() - m_started_at;
  m_deps.host.OnRequestEnded(*this);
}

void ActiveRequest::OnCallerDisconnected() {
  if (m_is_ended) return;
  // A request that must run once is not cancelled at its endpoint, since cancelling would not undo its effects.
  const bool is_cancelled = m_match.rule->kind != RequestKind::kOnce;
  if (m_call != nullptr && is_cancelled) m_call->Cancel();
  if (m_call != nullptr) EndAttempt(AttemptEnd::kCancelled);
  FinishRequest(0, ForwardFailure::kCallerGone, "caller closed the connection");
}

Duration ActiveRequest::GetInactivityTimeout() const {
  if (m_has_events) return kStreamInactivityTimeout;
  return std::max<Duration>(kMinInactivityTimeout, kInactivityGoalFactor * m_match.rule->latency_target);
}

void ActiveRequest::CheckDue(TimePoint now) {
  if (m_is_ended) return;
  if (now >= m_deadline) {
    GiveUp(ForwardFailure::kNoEndpoint, "deadline");
    return;
  }
  if (IsPastStartLimit(now)) {
    WithdrawAttempt("not started before the limit of the endpoint's weight version");
  } else if (IsSilent(now)) {
    m_call->Cancel();
    FailAttempt(AttemptEnd::kSilent, "endpoint sent nothing within the inactivity timeout");
  }
}

void ActiveRequest::GiveUp(ForwardFailure if_not_run, std::string reason) {
  if (m_is_ended) return;
  if (m_call != nullptr) {
    const bool was_sent = m_call->IsSent();
    m_call->Cancel();
    m_may_have_run = m_may_have_run || was_sent;
    EndAttempt(was_sent ? AttemptEnd::kSilent : AttemptEnd::kUnreachable);
  }
  Fail(m_may_have_run ? ForwardFailure::kTimeout : if_not_run, std::move(reason));
}

void ActiveRequest::WithdrawAttempt(const std::string& reason) {
  const bool has_begun = GetProgress() == AnswerProgress::kBegun;
  if (m_call == nullptr || has_begun || m_match.rule->kind == RequestKind::kOnce) return;
  const bool was_sent = m_call->IsSent();
  m_call->Cancel();
  if (was_sent) {
    FailAttempt(AttemptEnd::kWithdrawn, reason);
    return;
  }
  EndAttempt(AttemptEnd::kWithdrawn);
  RetryOrFail(AttemptOutcome::kNotSent, reason);
}

bool ActiveRequest::IsSilent(TimePoint now) const {
  if (m_call == nullptr || !m_match.rule->IsRepeatable() || !m_call->IsSent()) return false;
  return now - m_last_received_at >= GetInactivityTimeout() && m_outcome.executions + 1 < m_match.rule->attempts;
}

bool ActiveRequest::IsPastStartLimit(TimePoint now) const {
  // The body of a stream shows that it has started; the body of another response comes only at its end. Cancelling a
  // request that must run once would not undo its effects.
  if (m_call == nullptr || m_has_body || !IsStream()) return false;
  const std::optional<WeightVersion> answered = m_response_head.has_value() ? m_response_head->version : std::nullopt;
  const std::optional<TimePoint> limit = m_deps.host.GetAttemptLimit(*this, m_endpoint, answered);
  return limit.has_value() && now >= *limit - kWithdrawalMargin;
}

}  // namespace plantain

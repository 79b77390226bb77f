#include "active_request.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "failure_type.h"
#include "http_status.h"
#include "weight_time.h"

namespace plantain {
namespace {

// Connections within a deployment open within a few milliseconds; a lost packet is retransmitted after 200 ms.
constexpr Duration kConnectTimeout = Milliseconds(350);
// Maximum idle time of a keep-alive connection that is reused, since longer idle ones may be dead.
constexpr Duration kMaxIdleTime = std::chrono::seconds(4);
// An attempt of a repeatable request counts as silent if the endpoint sends nothing for this multiple of the latency
// goal.
constexpr int kInactivityGoalFactor = 3;
constexpr Duration kMinInactivityTimeout = Milliseconds(250);
// The same between two events of a stream. Callers disconnect soon after it.
constexpr Duration kStreamInactivityTimeout = Milliseconds(1200);
// Time until a hedge is requested again after one that could not be had, or an attempt that failed beside another one.
constexpr Duration kHedgeInterval = Milliseconds(200);
// Attempts with less time until the deadline cannot succeed.
constexpr Duration kMinAttemptTime = Milliseconds(30);
// Maximum number of attempts of one request, including those that endpoints refused without running it.
constexpr uint32_t kMaxAttempts = 4;
constexpr size_t kMaxBodyBytes = 8 * 1024 * 1024;
// Maximum number of bytes buffered for a slow caller before its stream is aborted.
constexpr size_t kMaxUnsentBytes = 1024 * 1024;

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
      m_last_event_id(m_request.last_event_id),
      m_memory(deps.answer_memory) {}

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
  // A stream is passed on event by event, so that only an event needs a limit.
  HttpCallOptions options(IsStream() ? std::numeric_limits<size_t>::max() : kMaxBodyBytes);
  options.timeout = std::max<Duration>(m_deadline - now, kMinAttemptTime);
  options.connect_timeout = kConnectTimeout;
  // The server may close a keep-alive connection while the request is being sent. It is then unknown whether the
  // request ran, so that requests that must not be repeated use a new connection.
  options.max_idle = m_match.rule->IsRepeatable() ? kMaxIdleTime : Duration::zero();
  return options;
}

void ActiveRequest::StartAttempt(const EndpointChoice& choice, const AttemptWeights& weights) {
  const TimePoint now = m_deps.clock.GetNow();
  if (m_outcome.attempts == 0) m_outcome.wait_time = now - m_started_at;
  ++m_outcome.attempts;
  m_is_hedge_requested = false;
  m_last_number = m_last_number.Next();
  auto attempt = std::make_unique<ForwardAttempt>(m_deps.answer_memory);
  attempt->number = m_last_number;
  attempt->choice = {choice.endpoint->id, choice.load,         choice.load_age, choice.expected,
                     weights.loaded,      weights.min_version, std::nullopt};
  if (weights.start_limit.has_value()) attempt->choice.until_limit = *weights.start_limit - now;
  attempt->incarnation = choice.endpoint->incarnation;
  attempt->sent_at = now;
  attempt->is_resumed = m_last_event_id.has_value();
  attempt->received_at = now;
  attempt->received_loop_time = m_deps.loop_time.GetElapsed();
  attempt->events = EventSplitter(m_last_event_id);
  m_outcome.choice = attempt->choice;
  m_tried_endpoints.push_back(attempt->choice.endpoint);
  ForwardAttempt& started = *attempt;
  m_running.push_back(std::move(attempt));
  started.call = m_deps.sender.Send(choice.endpoint->target, MakeRequest(started, weights), MakeOptions(now),
                                    MakeCallbacks(started.number));
}

HttpRequest ActiveRequest::MakeRequest(const ForwardAttempt& attempt, const AttemptWeights& weights) const {
  AttemptHeader header;
  header.time_left = m_deadline - attempt.sent_at;
  header.endpoint = attempt.choice.endpoint;
  if (m_match.workspace != nullptr) header.workspace = m_match.workspace->name;
  if (weights.is_exact) header.version = weights.loaded;
  header.last_event_id = m_last_event_id;
  return m_deps.protocol.MakeAttemptRequest(m_request, header);
}

// Queued callbacks run even after a cancel. They keep the responder, so that a request is counted while its call goes
// on.
HttpCallbacks ActiveRequest::MakeCallbacks(AttemptNumber number) {
  const auto run = [weak = weak_from_this(), number, responder = m_responder](const auto& handle) {
    const auto self = weak.lock();
    if (self == nullptr) return;
    if (ForwardAttempt* attempt = self->FindAttempt(number); attempt != nullptr) handle(*self, *attempt);
  };
  HttpCallbacks callbacks;
  callbacks.on_head = [run](int status, const HttpHeaders& headers) {
    run([&](ActiveRequest& self, ForwardAttempt& attempt) { self.OnHead(attempt, status, headers); });
  };
  callbacks.on_data = [run](std::string_view data) {
    run([&](ActiveRequest& self, ForwardAttempt& attempt) { self.OnData(attempt, data); });
  };
  callbacks.on_done = [run](const absl::Status& status) {
    run([&](ActiveRequest& self, ForwardAttempt& attempt) { self.FinishAttempt(attempt, status); });
  };
  return callbacks;
}

ForwardAttempt* ActiveRequest::FindAttempt(AttemptNumber number) {
  const auto found = std::find_if(m_running.begin(), m_running.end(),
                                  [number](const auto& attempt) { return attempt->number == number; });
  return found == m_running.end() ? nullptr : found->get();
}

Duration ActiveRequest::GetRunningTime() const {
  Duration time{};
  for (const auto& attempt : m_running) time += attempt->received_at - attempt->sent_at;
  return time;
}

std::vector<AttemptNumber> ActiveRequest::GetRunning() const {
  std::vector<AttemptNumber> numbers;
  for (const auto& attempt : m_running) numbers.push_back(attempt->number);
  return numbers;
}

void ActiveRequest::RecordReceived(ForwardAttempt& attempt) {
  attempt.received_at = m_deps.clock.GetNow();
  attempt.received_loop_time = m_deps.loop_time.GetElapsed();
  attempt.silence.reset();
  m_deps.host.OnReceived(attempt);
}

void ActiveRequest::OnHead(ForwardAttempt& attempt, int status, const HttpHeaders& headers) {
  RecordReceived(attempt);
  attempt.head = m_deps.protocol.ParseResponseHead(m_request.id, status, headers, attempt.call->IsOnKeptConnection());
  if (!attempt.head->has_matching_id) {
    // The answer to this request may follow, so that the connection cannot be used for another one.
    attempt.call->Cancel();
    FailAttempt(attempt, AttemptEnd::kBroken, "response to another request");
    return;
  }
  if (!attempt.head->is_misdirected) m_deps.host.OnResponseHead(*this, attempt);
}

void ActiveRequest::OnData(ForwardAttempt& attempt, std::string_view data) {
  // Bytes that complete no event are no activity of a stream: they may come without end.
  if (!IsStream()) RecordReceived(attempt);
  attempt.has_body = true;
  const bool is_valid_success = attempt.head->has_receipt && IsSuccessStatus(attempt.head->status);
  if (IsStream() && is_valid_success && attempt.head->is_stream) {
    const uint64_t progress = attempt.events.GetProgress();
    std::string events = attempt.events.Take(data);
    if (attempt.events.GetProgress() != progress) RecordReceived(attempt);
    OnEvents(attempt, std::move(events));
    return;
  }
  const size_t size = attempt.body.size() + data.size();
  if (size > kMaxBodyBytes) {
    attempt.call->Cancel();
    FinishAttempt(attempt, MakeFailure(FailureCode::kProtocol, "response exceeds 8 MiB"));
    return;
  }
  if (!attempt.memory.Resize(size)) {
    attempt.call->Cancel();
    FinishAttempt(attempt, MakeFailure(FailureCode::kMemoryLimit, "no memory for the response among others"));
    return;
  }
  attempt.body.append(data);
}

void ActiveRequest::OnEvents(ForwardAttempt& attempt, std::string events) {
  if (attempt.events.HasGap()) {
    attempt.call->Cancel();
    FailAttempt(attempt, AttemptEnd::kBroken, "gap in the event IDs of the stream");
    return;
  }
  if (attempt.events.IsTooLong()) {
    attempt.call->Cancel();
    FailAttempt(attempt, AttemptEnd::kBroken, "event of the stream exceeds 1 MiB");
    return;
  }
  if (!attempt.memory.Resize(attempt.events.GetHeldBytes())) {
    attempt.call->Cancel();
    FailAttempt(attempt, AttemptEnd::kBroken, "no memory for an event of the stream among other answers");
    return;
  }
  if (events.empty()) return;
  SelectAnswer(attempt);
  if (!attempt.is_prefill_done) m_deps.host.OnAnswerBegun(*this, attempt);
  ReportPrefillDone(attempt);
  if (!m_has_events) {
    m_has_events = true;
    m_weight_version = attempt.head->version;
    m_outcome.first_event = m_deps.clock.GetNow() - m_started_at;
    m_responder->StartStream(attempt.head->status, attempt.head->headers);
  }
  m_last_event_id = attempt.events.GetLastId();
  m_outcome.events += 1;
  m_responder->SendChunk(std::move(events));
  const size_t unsent = m_responder->GetUnsentBytes();
  if (unsent <= kMaxUnsentBytes && m_memory.Resize(unsent)) return;
  CancelAttempt(attempt, AttemptEnd::kCancelled);
  AbortCaller();
  FinishRequest(0, ForwardFailure::kCallerGone, "too many bytes unsent to a slow caller: " + std::to_string(unsent));
}

void ActiveRequest::SelectAnswer(ForwardAttempt& attempt) {
  if (std::exchange(m_is_hedge_requested, false)) m_deps.host.WithdrawHedge(*this);
  for (const AttemptNumber number : GetRunning()) {
    if (number == attempt.number) continue;
    ForwardAttempt& other = *FindAttempt(number);
    CancelAttempt(other, other.silence.has_value() ? AttemptEnd::kSilent : AttemptEnd::kCancelled);
  }
}

void ActiveRequest::FinishAttempt(ForwardAttempt& attempt, const absl::Status& status) {
  if (!status.ok()) {
    const FailureCode code = GetFailureCode(status);
    if (code == FailureCode::kConnectFailed) {
      EndAttempt(attempt, AttemptEnd::kUnreachable);
      RetryOrFail(AttemptOutcome::kNotSent, "connection failed");
      return;
    }
    if (code == FailureCode::kTimeout) {
      FailAttempt(attempt, ReportOverdue(attempt), "no whole answer in time");
      return;
    }
    const bool is_lost = code == FailureCode::kConnectionLost;
    FailAttempt(attempt, is_lost ? AttemptEnd::kConnectionLost : AttemptEnd::kBroken,
                "response not complete: " + GetFailureText(status));
    return;
  }
  const ResponseHead& head = *attempt.head;
  if (head.is_not_run || head.is_misdirected) {
    const bool is_misdirected = head.is_misdirected;
    EndAttempt(attempt, is_misdirected ? AttemptEnd::kMisdirected : AttemptEnd::kFull);
    RetryOrFail(AttemptOutcome::kNotRun,
                is_misdirected ? "wrong endpoint or weight version" : "refused by the endpoint without running it");
  } else if (IsSuccessStatus(head.status) && IsStream() && head.is_stream && head.has_receipt) {
    FinishStream(attempt);
  } else if (IsSuccessStatus(head.status) && !head.has_receipt) {
    FailAttempt(attempt, AttemptEnd::kBroken, "success response without a receipt");
  } else {
    DeliverResponse(attempt);
  }
}

void ActiveRequest::FinishStream(ForwardAttempt& attempt) {
  // A resumed stream may have nothing left to send, but only an explicit end says so.
  const bool is_empty = attempt.events.GetProgress() == 0;
  const bool is_end_missing = is_empty && (!m_has_events || attempt.head->ends_with_connection);
  if (!attempt.events.IsAtBoundary() || is_end_missing) {
    // A response without a length ends with its connection, so that only this shows that it was lost.
    FailAttempt(attempt, AttemptEnd::kConnectionLost, "stream ended within an event or without any");
    return;
  }
  SelectAnswer(attempt);
  const int status = attempt.head->status;
  std::string comments = attempt.events.TakeComments();
  m_outcome.executions += 1;
  EndAttempt(attempt, AttemptEnd::kSuccess);
  if (!comments.empty()) m_responder->SendChunk(std::move(comments));
  m_responder->EndStream();
  FinishRequest(status, ForwardFailure::kNone, "complete");
}

void ActiveRequest::DeliverResponse(ForwardAttempt& attempt) {
  const int status = attempt.head->status;
  // The endpoint has run the request, and the caller of one that must run once would take the status for a promise that
  // it has not. A stream that cannot be resumed is such a request too.
  if (GuaranteesNotRun(status) && !m_match.rule->IsRepeatable()) {
    FailAttempt(attempt, AttemptEnd::kError,
                "endpoint error with a status that would guarantee that the request has not run");
    return;
  }
  HttpResponse response{status, attempt.head->headers, std::move(attempt.body)};
  MemoryReservation memory = std::move(attempt.memory);
  const bool is_error = IsServerErrorStatus(status);
  // An error of an attempt is not the answer while another one may still succeed.
  const bool is_answer = !m_has_events && !(is_error && m_match.rule->IsRepeatable());
  if (is_answer) SelectAnswer(attempt);
  m_deps.host.OnAnswerBegun(*this, attempt);
  m_outcome.executions += 1;
  EndAttempt(attempt, is_error ? AttemptEnd::kError : AttemptEnd::kSuccess);
  if (is_answer) {
    m_responder->Send(std::move(response));
    FinishRequest(status, ForwardFailure::kNone, is_error ? "endpoint returned an error" : "complete");
    return;
  }
  m_may_have_run = true;
  if (m_has_events) {
    RetryOrFail(AttemptOutcome::kMayHaveRun, "response to a resumed stream is not a stream");
    return;
  }
  m_error_response = std::move(response);
  m_memory = std::move(memory);
  RetryOrFail(AttemptOutcome::kMayHaveRun, "endpoint returned HTTP status " + std::to_string(status));
}

// Ends an attempt whose response is unusable although the request may have run.
void ActiveRequest::FailAttempt(ForwardAttempt& attempt, AttemptEnd end, std::string reason) {
  m_may_have_run = true;
  m_outcome.executions += 1;
  EndAttempt(attempt, end);
  RetryOrFail(AttemptOutcome::kMayHaveRun, std::move(reason));
}

void ActiveRequest::CancelAttempt(ForwardAttempt& attempt, AttemptEnd end) {
  if (attempt.call->IsSent()) {
    m_may_have_run = true;
    m_outcome.executions += 1;
  }
  attempt.call->Cancel();
  EndAttempt(attempt, end);
}

void ActiveRequest::ReportPrefillDone(ForwardAttempt& attempt) {
  if (std::exchange(attempt.is_prefill_done, true)) return;
  m_deps.host.OnPrefillDone(*this, attempt.choice.endpoint);
}

// Removes the attempt, which must not be used afterwards.
void ActiveRequest::EndAttempt(ForwardAttempt& attempt, AttemptEnd end) {
  ReportPrefillDone(attempt);
  const auto found = std::find_if(m_running.begin(), m_running.end(),
                                  [&attempt](const auto& running) { return running.get() == &attempt; });
  const std::unique_ptr<ForwardAttempt> ended = std::move(*found);
  m_running.erase(found);
  if (!m_running.empty()) m_outcome.choice = m_running.back()->choice;
  m_deps.host.OnAttemptEnded(*this, *ended, end);
}

bool ActiveRequest::HasRunLeft() const { return m_outcome.executions + m_running.size() < m_match.rule->attempts; }

// Whether the route and the limits of this process allow one more attempt.
bool ActiveRequest::HasAttemptLeft() const {
  const bool has_time = m_deadline - m_deps.clock.GetNow() > kMinAttemptTime;
  return HasRunLeft() && m_outcome.attempts < kMaxAttempts && has_time;
}

void ActiveRequest::RetryOrFail(AttemptOutcome outcome, std::string reason) {
  m_outcome.reason = reason;
  if (!m_running.empty()) {
    m_hedge_from = m_deps.clock.GetNow() + kHedgeInterval;
    return;
  }
  const bool may_have_run = outcome == AttemptOutcome::kMayHaveRun;
  const bool is_allowed = !may_have_run || m_match.rule->IsRepeatable();
  if (!is_allowed || !CanResume() || !HasAttemptLeft()) {
    FailWithoutRetry(m_may_have_run, std::move(reason));
    return;
  }
  if (may_have_run && !m_deps.host.IsRepeatWorthwhile(*this)) {
    FailWithoutRetry(m_may_have_run, reason + "; endpoints crash at this content");
    return;
  }
  const bool needs_retry = outcome != AttemptOutcome::kNotSent;
  // A retry was taken for a hedge that waits.
  if (needs_retry && !m_is_hedge_requested && !m_deps.host.TryAcquireRetry(*this)) {
    FailWithoutRetry(m_may_have_run, reason + "; retry budget exhausted");
    return;
  }
  if (!needs_retry && m_is_hedge_requested) m_deps.host.ReturnRetry(*this);
  m_is_hedge_requested = false;
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

void ActiveRequest::RefuseAttempt(ForwardFailure failure, std::string reason) {
  if (m_running.empty()) {
    Fail(failure, std::move(reason));
    return;
  }
  if (std::exchange(m_is_hedge_requested, false)) m_deps.host.ReturnRetry(*this);
  m_hedge_from = m_deps.clock.GetNow() + kHedgeInterval;
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
  if (std::exchange(m_is_hedge_requested, false)) m_deps.host.WithdrawHedge(*this);
  m_outcome.status = status;
  m_outcome.failure = failure;
  m_outcome.reason = std::move(reason);
  m_outcome.total = m_deps.clock.GetNow() - m_started_at;
  m_deps.host.OnRequestEnded(*this);
}

void ActiveRequest::OnCallerDisconnected() {
  if (m_is_ended) return;
  for (const AttemptNumber number : GetRunning()) {
    ForwardAttempt& attempt = *FindAttempt(number);
    // A request that must run once is not cancelled at its endpoint, since cancelling would not undo its effects.
    if (m_match.rule->kind != RequestKind::kOnce) attempt.call->Cancel();
    EndAttempt(attempt, AttemptEnd::kCancelled);
  }
  FinishRequest(0, ForwardFailure::kCallerGone, "caller closed the connection");
}

void ActiveRequest::CheckDue(TimePoint now) {
  if (m_is_ended) return;
  if (m_has_events) m_memory.ShrinkTo(m_responder->GetUnsentBytes());
  if (now >= m_deadline) {
    GiveUp(ForwardFailure::kNoEndpoint, "deadline");
    return;
  }
  for (const AttemptNumber number : GetRunning()) {
    ForwardAttempt* attempt = FindAttempt(number);
    if (attempt == nullptr || !IsPastStartLimit(*attempt, now)) continue;
    WithdrawAttempt(*attempt, "not started before the limit of the endpoint's weight version");
    if (m_is_ended) return;
  }
  CheckSilence(now);
}

// Returns how an attempt ends that has no whole answer at the deadline, and reports its silence. That a caller left
// little time says nothing about the endpoint.
AttemptEnd ActiveRequest::ReportOverdue(ForwardAttempt& attempt) {
  if (!HasBeenSilent(attempt)) return AttemptEnd::kOverdue;
  ReportSilence(attempt);
  return AttemptEnd::kSilent;
}

void ActiveRequest::GiveUp(ForwardFailure if_not_run, std::string reason) {
  if (m_is_ended) return;
  for (const AttemptNumber number : GetRunning()) {
    ForwardAttempt& attempt = *FindAttempt(number);
    if (!attempt.call->IsSent()) {
      CancelAttempt(attempt, AttemptEnd::kUnreachable);
      continue;
    }
    CancelAttempt(attempt, ReportOverdue(attempt));
  }
  Fail(m_may_have_run ? ForwardFailure::kTimeout : if_not_run, std::move(reason));
}

void ActiveRequest::WithdrawAttempts(const std::string& reason) {
  for (const AttemptNumber number : GetRunning()) {
    ForwardAttempt* attempt = FindAttempt(number);
    if (attempt != nullptr) WithdrawAttempt(*attempt, reason);
  }
}

void ActiveRequest::WithdrawAttempt(ForwardAttempt& attempt, const std::string& reason) {
  const bool has_begun = attempt.GetProgress(IsStream()) == AnswerProgress::kBegun;
  if (has_begun || m_match.rule->kind == RequestKind::kOnce) return;
  const bool was_sent = attempt.call->IsSent();
  CancelAttempt(attempt, AttemptEnd::kWithdrawn);
  RetryOrFail(was_sent ? AttemptOutcome::kMayHaveRun : AttemptOutcome::kNotSent, reason);
}

Duration ActiveRequest::GetInactivityTimeout() const {
  if (m_has_events) return kStreamInactivityTimeout;
  return std::max<Duration>(kMinInactivityTimeout, kInactivityGoalFactor * m_match.rule->latency_target);
}

bool ActiveRequest::IsSilent(const ForwardAttempt& attempt) const {
  return m_match.rule->IsRepeatable() && attempt.call->IsSent() && HasBeenSilent(attempt);
}

bool ActiveRequest::HasBeenSilent(const ForwardAttempt& attempt) const {
  return m_deps.loop_time.GetElapsed() - attempt.received_loop_time >= GetInactivityTimeout();
}

void ActiveRequest::ReportSilence(ForwardAttempt& attempt) {
  if (attempt.silence == SilenceFinding::kPause) return;
  attempt.silence = m_deps.host.OnSilent(*this, attempt);
}

void ActiveRequest::CheckSilence(TimePoint now) {
  bool are_all_silent = !m_running.empty();
  for (const auto& attempt : m_running) {
    const bool is_silent = IsSilent(*attempt);
    are_all_silent = are_all_silent && is_silent;
    // A request that can go nowhere else is no reason to keep others from its endpoint: it may just take long.
    if (is_silent && (HasRunLeft() || attempt->silence.has_value())) ReportSilence(*attempt);
  }
  if (!are_all_silent && std::exchange(m_is_hedge_requested, false)) m_deps.host.WithdrawHedge(*this);
  const bool may_hedge = are_all_silent && !m_is_hedge_requested && now >= m_hedge_from && HasAttemptLeft();
  if (!may_hedge || !CanResume() || !m_deps.host.IsRepeatWorthwhile(*this)) return;
  if (!m_deps.host.TryAcquireRetry(*this)) {
    m_hedge_from = now + kHedgeInterval;
    return;
  }
  m_is_hedge_requested = true;
  m_deps.host.RequestAttempt(*this);
}

bool ActiveRequest::IsPastStartLimit(const ForwardAttempt& attempt, TimePoint now) const {
  // The body of a stream shows that it has started; the body of another response comes only at its end. Cancelling a
  // request that must run once would not undo its effects.
  if (attempt.has_body || !IsStream()) return false;
  const std::optional<WeightVersion> answered = attempt.head.has_value() ? attempt.head->version : std::nullopt;
  const std::optional<TimePoint> limit = m_deps.host.GetAttemptLimit(*this, attempt.choice.endpoint, answered);
  return limit.has_value() && now >= *limit - kWithdrawalMargin;
}

}  // namespace plantain

#include "forward_run.h"

#include <algorithm>
#include <utility>

#include "failure_type.h"

namespace plantain {
namespace {

// Connections within a deployment open within a few milliseconds; a lost packet is retransmitted after 200 ms.
constexpr Duration kConnectTimeout = Milliseconds(350);
// Maximum idle time of a keep-alive connection that is reused, since longer idle ones may be dead.
constexpr Duration kMaxIdle = std::chrono::seconds(4);
// An attempt of a repeatable request times out if the endpoint sends nothing for this multiple of the latency goal.
constexpr int kSilentGoals = 3;
constexpr Duration kShortestSilence = Milliseconds(250);
// Inactivity timeout between two events of a stream. Callers disconnect soon after it.
constexpr Duration kEventSilence = Milliseconds(1200);
// Attempts with less time until the deadline cannot succeed.
constexpr Duration kShortestAttempt = Milliseconds(30);
// Maximum number of attempts of one request, including those that endpoints refused without running it.
constexpr uint32_t kMaxSends = 4;
constexpr size_t kMaxBodyBytes = 8 * 1024 * 1024;
// Maximum number of bytes buffered for a slow caller before its stream is aborted.
constexpr size_t kMaxUnsentBytes = 1024 * 1024;

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;

bool IsSuccess(int status) { return status >= kFirstSuccess && status < kFirstRedirect; }

// Returns whether callers interpret the status as a guarantee that the request has not run.
bool IsPromise(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

TimePoint ComputeDeadline(const ForwardRequest& request, const RouteRule& rule, TimePoint now) {
  const Duration patience = request.patience.value_or(rule.timeout);
  return now + std::min(patience, rule.timeout);
}

}  // namespace

ForwardRun::ForwardRun(RunParts& parts, ForwardRequest request, const RouteMatch& match,
                       std::shared_ptr<const RouteMatcher> rules, PoolName pool, WaitTicket ticket,
                       std::shared_ptr<HttpResponder> responder)
    : m_parts(parts),
      m_request(std::move(request)),
      m_match(match),
      m_rules(std::move(rules)),
      m_pool(std::move(pool)),
      m_ticket(ticket),
      m_responder(std::move(responder)),
      m_started_at(parts.clock.GetNow()),
      m_deadline(ComputeDeadline(m_request, *match.rule, m_started_at)),
      m_last_event(m_request.last_event) {}

void ForwardRun::WatchCaller() {
  m_responder->SetOnClosed([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerGone();
  });
}

HttpCallOptions ForwardRun::MakeOptions(TimePoint now) const {
  HttpCallOptions options;
  options.timeout = std::max<Duration>(m_deadline - now, kShortestAttempt);
  options.connect_timeout = kConnectTimeout;
  // The server may close a keep-alive connection while the request is being sent. It is then unknown whether the
  // request ran, so that requests that must not be repeated use a new connection.
  options.max_idle = m_match.rule->IsRepeatable() ? kMaxIdle : Duration::zero();
  return options;
}

void ForwardRun::StartAttempt(const EndpointChoice& choice, std::optional<WeightVersion> version) {
  const TimePoint now = m_parts.clock.GetNow();
  if (m_outcome.attempts == 0) m_outcome.waited = now - m_started_at;
  ++m_outcome.attempts;
  m_outcome.endpoint = choice.endpoint->id;
  m_outcome.load = choice.load;
  m_outcome.load_age = choice.load_age;
  m_outcome.expected = choice.expected;
  m_endpoint = choice.endpoint->id;
  m_tried.push_back(m_endpoint);
  m_head.reset();
  m_body.clear();
  m_events = EventSplitter(m_last_event);
  m_heard_at = now;
  m_is_prompt_read = false;
  AttemptHeader header;
  header.time_left = m_deadline - now;
  header.endpoint = m_endpoint;
  if (m_match.workspace != nullptr) header.workspace = m_match.workspace->name;
  header.version = version;
  header.last_event = m_last_event;
  HttpCallbacks callbacks;
  // A cancelled call reports nothing, but callbacks that are already queued still run. The attempt number identifies
  // them.
  const uint64_t attempt = ++m_attempt;
  const auto is_current = [attempt](const std::shared_ptr<ForwardRun>& self) {
    return self != nullptr && self->m_attempt == attempt && !self->m_is_ended;
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
  m_call = m_parts.sender.Send(choice.endpoint->target, m_parts.protocol.MakeAttempt(m_request, header),
                               MakeOptions(now), std::move(callbacks));
}

void ForwardRun::OnHead(int status, const HttpHeaders& headers) {
  m_heard_at = m_parts.clock.GetNow();
  m_head = m_parts.protocol.ReadAnswer(m_request.id, status, headers);
}

void ForwardRun::OnData(std::string_view data) {
  m_heard_at = m_parts.clock.GetNow();
  const bool is_answer = m_head->is_own && m_head->has_receipt && IsSuccess(m_head->status);
  if (IsStream() && is_answer && m_head->is_stream) {
    OnEvents(m_events.Take(data));
    return;
  }
  if (m_body.size() + data.size() > kMaxBodyBytes) {
    m_call->Cancel();
    FinishAttempt(MakeFailure(FailureCode::kProtocol, "response exceeds 8 MiB"));
    return;
  }
  m_body.append(data);
}

void ForwardRun::OnEvents(std::string events) {
  if (m_events.HasGap()) {
    m_call->Cancel();
    BreakStream(AttemptEnd::kBroken, "gap in the event IDs of the stream");
    return;
  }
  if (events.empty()) return;
  NotePromptRead();
  if (!m_has_events) {
    m_has_events = true;
    m_version = m_head->version;
    m_outcome.first_event = m_parts.clock.GetNow() - m_started_at;
    m_responder->StartStream(m_head->status, m_head->headers);
  }
  m_last_event = m_events.GetLastId();
  m_outcome.events += 1;
  m_responder->SendChunk(std::move(events));
  if (m_responder->GetUnsentBytes() <= kMaxUnsentBytes) return;
  m_call->Cancel();
  EndAttempt(AttemptEnd::kCancelled);
  m_responder->Abort();
  End(0, ForwardFailure::kCallerGone, "more than 1 MiB unsent to a slow caller");
}

void ForwardRun::OnDone(const absl::Status& status) { FinishAttempt(status); }

void ForwardRun::FinishAttempt(const absl::Status& status) {
  if (!status.ok()) {
    const FailureCode code = GetFailureCode(status);
    if (code == FailureCode::kConnectFailed) {
      EndAttempt(AttemptEnd::kUnreachable);
      TryAgain(false, "connection failed");
      return;
    }
    const std::string reason =
        code == FailureCode::kTimeout ? "no whole answer in time" : "connection lost before the response was complete";
    BreakStream(code == FailureCode::kTimeout ? AttemptEnd::kSilent : AttemptEnd::kBroken, reason);
    return;
  }
  const AnswerHead& head = *m_head;
  if (!head.is_own) {
    BreakStream(AttemptEnd::kBroken, "response carries another request ID");
  } else if (head.is_not_run || head.is_misdirected) {
    EndAttempt(head.is_misdirected ? AttemptEnd::kMisdirected : AttemptEnd::kFull);
    TryAgain(false,
             head.is_misdirected ? "wrong endpoint or weight version" : "refused by the endpoint without running it");
  } else if (IsSuccess(head.status) && IsStream() && head.is_stream && head.has_receipt) {
    FinishStream();
  } else if (IsSuccess(head.status) && !head.has_receipt) {
    BreakStream(AttemptEnd::kBroken, "success response without a receipt");
  } else {
    Deliver();
  }
}

void ForwardRun::FinishStream() {
  if (!m_events.IsAtBoundary() || !m_has_events) {
    BreakStream(AttemptEnd::kBroken, "stream ended within an event or without any");
    return;
  }
  m_outcome.runs += 1;
  EndAttempt(AttemptEnd::kSuccess);
  m_responder->EndStream();
  End(m_head->status, ForwardFailure::kNone, "complete");
}

void ForwardRun::Deliver() {
  const AnswerHead& head = *m_head;
  if (IsPromise(head.status) && m_match.rule->kind == RequestKind::kOnce) {
    BreakStream(AttemptEnd::kError, "endpoint error with a status that would guarantee that the request has not run");
    return;
  }
  HttpResponse response{head.status, head.headers, std::move(m_body)};
  const bool is_error = head.status >= kFirstServerError;
  EndAttempt(is_error ? AttemptEnd::kError : AttemptEnd::kSuccess);
  if (m_has_events) {
    // The response to a resumed stream is not a stream.
    m_may_have_run = true;
    m_outcome.runs += 1;
    TryAgain(true, "response to a resumed stream is not a stream");
    return;
  }
  m_outcome.runs += 1;
  if (is_error && m_match.rule->IsRepeatable()) {
    m_may_have_run = true;
    m_error_answer = std::move(response);
    TryAgain(true, "endpoint returned HTTP status " + std::to_string(head.status));
    return;
  }
  m_responder->Send(std::move(response));
  End(head.status, ForwardFailure::kNone, is_error ? "endpoint returned an error" : "complete");
}

// Ends an attempt whose response is unusable although the request may have run.
void ForwardRun::BreakStream(AttemptEnd end, std::string reason) {
  m_may_have_run = true;
  m_outcome.runs += 1;
  EndAttempt(end);
  TryAgain(true, std::move(reason));
}

void ForwardRun::NotePromptRead() {
  if (std::exchange(m_is_prompt_read, true)) return;
  m_parts.host.OnPromptRead(*this, m_endpoint);
}

void ForwardRun::EndAttempt(AttemptEnd end) {
  NotePromptRead();
  ++m_attempt;
  m_call.reset();
  m_parts.host.OnAttemptEnded(*this, m_endpoint, end);
}

void ForwardRun::TryAgain(bool may_have_run, std::string reason) {
  const TimePoint now = m_parts.clock.GetNow();
  const bool is_allowed = !may_have_run || m_match.rule->IsRepeatable();
  const bool has_runs_left = m_outcome.runs < m_match.rule->attempts;
  const bool has_sends_left = m_outcome.attempts < kMaxSends;
  const bool has_time = m_deadline - now > kShortestAttempt;
  m_outcome.reason = reason;
  if (!is_allowed || !has_runs_left || !has_sends_left || !has_time) {
    GiveUp(m_may_have_run, std::move(reason));
    return;
  }
  if (!m_parts.host.TakeRetry(*this)) {
    GiveUp(m_may_have_run, reason + "; retry budget exhausted");
    return;
  }
  m_parts.host.RequestPlace(*this);
}

void ForwardRun::GiveUp(bool may_have_run, std::string reason) {
  if (!may_have_run) {
    Fail(ForwardFailure::kNoEndpoint, std::move(reason));
  } else if (m_parts.clock.GetNow() >= m_deadline) {
    Fail(ForwardFailure::kTimeout, std::move(reason));
  } else {
    Fail(m_match.rule->IsRepeatable() ? ForwardFailure::kBrokenAnswer : ForwardFailure::kUnknownOutcome,
         std::move(reason));
  }
}

void ForwardRun::Fail(ForwardFailure failure, std::string reason) {
  if (m_is_ended) return;
  if (m_has_events) {
    // The caller detects the truncated stream and can resume it.
    m_responder->Abort();
    End(0, failure, std::move(reason));
    return;
  }
  if (m_error_answer.has_value()) {
    const int status = m_error_answer->status;
    m_responder->Send(*std::move(m_error_answer));
    End(status, ForwardFailure::kNone, std::move(reason));
    return;
  }
  // Status 503 guarantees that the request has not run, so it must not be sent for one that may have.
  if (m_may_have_run && GetForwardFailureStatus(failure) == 503) failure = ForwardFailure::kBrokenAnswer;
  const bool is_not_run = GetForwardFailureStatus(failure) == 503;
  m_responder->Send(MakeForwardRefusal(failure, is_not_run ? m_parts.host.SuggestReturn(*this) : Duration::zero()));
  End(GetForwardFailureStatus(failure), failure, std::move(reason));
}

void ForwardRun::End(int status, ForwardFailure failure, std::string reason) {
  m_is_ended = true;
  ++m_attempt;
  m_outcome.status = status;
  m_outcome.failure = failure;
  m_outcome.reason = std::move(reason);
  m_outcome.total = m_parts.clock.GetNow() - m_started_at;
  m_parts.host.OnRunEnded(*this);
}

void ForwardRun::OnCallerGone() {
  if (m_is_ended) return;
  // A request that must run once is not cancelled at its endpoint, since cancelling would not undo its effects.
  const bool is_cancelled = m_match.rule->kind != RequestKind::kOnce;
  if (m_call != nullptr && is_cancelled) m_call->Cancel();
  if (m_call != nullptr) EndAttempt(AttemptEnd::kCancelled);
  End(0, ForwardFailure::kCallerGone, "caller closed the connection");
}

Duration ForwardRun::GetSilenceLimit() const {
  if (m_has_events) return kEventSilence;
  return std::max<Duration>(kShortestSilence, kSilentGoals * m_match.rule->goal);
}

void ForwardRun::CheckDue(TimePoint now) {
  if (m_is_ended) return;
  if (now >= m_deadline) {
    const bool was_sent = m_call != nullptr && m_call->IsSent();
    if (m_call != nullptr) {
      m_call->Cancel();
      m_may_have_run = m_may_have_run || was_sent;
      EndAttempt(was_sent ? AttemptEnd::kSilent : AttemptEnd::kUnreachable);
    }
    Fail(m_may_have_run ? ForwardFailure::kTimeout : ForwardFailure::kNoEndpoint, "deadline");
    return;
  }
  if (m_call == nullptr || !m_match.rule->IsRepeatable()) return;
  if (now - m_heard_at < GetSilenceLimit() || m_outcome.runs + 1 >= m_match.rule->attempts) return;
  if (!m_call->IsSent()) return;
  m_call->Cancel();
  BreakStream(AttemptEnd::kSilent, "endpoint sent nothing within the inactivity timeout");
}

}  // namespace plantain

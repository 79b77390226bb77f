// Calls from AttemptRunner to the engine or the plain service.

#include <openssl/sha.h>
#include <limits>
#include <nlohmann/json.hpp>

#include "attempt_runner.h"
#include "failure_type.h"
#include "hex_text.h"

namespace plantain {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr uint32_t kFirstServerError = 500;
constexpr size_t kMaxServiceAnswerBytes = 4 * 1024 * 1024;
// Field separator in hashed and joined values, so that different calls cannot produce the same bytes.
constexpr char kSeparator = '\0';

Digest HashCall(const proto::ServiceCall& call) {
  const std::string text = call.service() + kSeparator + call.call() + kSeparator + call.body();
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return Digest(digest);
}

}  // namespace

std::optional<proto::RefusalReason> AttemptRunner::CheckGate(const proto::CompletionCall& call) const {
  const ModelName model(call.model());
  const AdapterName adapter(call.adapter());
  const std::optional<Digest> manifest = m_deps.gate->Enter(model, adapter);
  if (!manifest.has_value()) return proto::REFUSAL_REASON_GATE_CLOSED;
  m_deps.gate->Leave(model, adapter);
  const bool is_wanted = call.manifest().empty() || call.manifest() == manifest->Get();
  if (!is_wanted) return proto::REFUSAL_REASON_WRONG_WEIGHTS;
  return std::nullopt;
}

void AttemptRunner::RunCompletion(const AttemptPtr& attempt) {
  const proto::CompletionCall& call = attempt->start.completion();
  attempt->manifest = m_deps.gate->Enter(ModelName(call.model()), AdapterName(call.adapter()));
  const Duration retry_after = m_deps.admission.GetRetryAfter();
  if (!attempt->manifest.has_value()) {
    Refuse(attempt, Refusal{proto::REFUSAL_REASON_GATE_CLOSED, true, retry_after}, RequestEnd::kNeutral);
    return;
  }
  if (!call.manifest().empty() && call.manifest() != attempt->manifest->Get()) {
    Refuse(attempt, Refusal{proto::REFUSAL_REASON_WRONG_WEIGHTS, true, retry_after}, RequestEnd::kNeutral);
    return;
  }
  const std::string engine_id = attempt->start.request() + "." + std::to_string(m_next_engine_id++);
  const StreamExpectation expectation{engine_id, *attempt->manifest, call.resume_from()};
  const std::weak_ptr<Attempt> weak = attempt;
  attempt->stream =
      std::make_unique<CompletionStream>(expectation, [this, weak](uint32_t index, const std::string& text) {
        if (const AttemptPtr strong = weak.lock()) ForwardToken(strong, index, text);
      });
  HttpCallbacks callbacks;
  callbacks.on_head = [this, attempt](int status, const HttpHeaders&) { OnCompletionHead(attempt, status); };
  callbacks.on_data = [this, attempt](std::string_view data) { OnCompletionData(attempt, data); };
  callbacks.on_done = [this, attempt](const absl::Status& status) { OnCompletionDone(attempt, status); };
  // The answer is passed on event by event, so that only an event needs a limit.
  HttpCallOptions options(std::numeric_limits<size_t>::max());
  options.timeout = attempt->deadline - m_deps.clock.GetNow();
  m_deps.admission.OnDispatched(*attempt->slot);
  attempt->call =
      m_deps.http.Send(m_deps.target, MakeCompletionRequest(*attempt, engine_id), options, std::move(callbacks));
}

HttpRequest AttemptRunner::MakeCompletionRequest(const Attempt& attempt, const std::string& engine_id) const {
  const proto::CompletionCall& call = attempt.start.completion();
  nlohmann::json body;
  body["model"] = call.model();
  body["adapter"] = call.adapter();
  body["prompt"] = call.prompt();
  body["max_tokens"] = call.max_tokens();
  body["stream"] = true;
  body["resume_from"] = call.resume_from();
  body["priority"] = attempt.start.priority();
  body["id"] = engine_id;
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.headers.Add("Content-Type", "application/json");
  // The prompt comes from the caller and may contain invalid UTF-8, on which the default error handler throws.
  request.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return request;
}

void AttemptRunner::OnCompletionHead(AttemptPtr attempt, int status) {
  if (attempt->is_ended || status == kStatusOk) return;
  if (status == kStatusBadRequest) {
    Refuse(attempt, Refusal{proto::REFUSAL_REASON_BAD_REQUEST, false, Duration(0)}, RequestEnd::kNeutral);
    return;
  }
  HandleEngineFailure(attempt, MakeFailure(FailureCode::kEngineRefused, "status " + std::to_string(status)));
}

void AttemptRunner::OnCompletionData(AttemptPtr attempt, std::string_view data) {
  if (attempt->is_ended) return;
  // Bytes after the end marker may come without end, and the connection is not clean anyway.
  if (attempt->stream->Feed({}) == StreamState::kComplete) {
    EndCompletion(attempt);
    return;
  }
  const StreamState state = attempt->stream->Feed(data);
  // ForwardToken ends the attempt if the entry has disconnected.
  if (attempt->is_ended) return;
  switch (state) {
    case StreamState::kOpen:
      return;
    case StreamState::kComplete:
      // Wait for on_done, because the connection is reused only if the engine ends the response cleanly.
      return;
    case StreamState::kWeightsMismatch:
      m_deps.metrics.mismatches.Increment();
      LogEvent(
          LogLevel::kError, "weights_mismatch",
          {{"request", attempt->start.request()}, {"seen", FormatHex(attempt->stream->GetMismatchedManifest().Get())}});
      m_deps.gate->ReportMismatch(attempt->stream->GetMismatchedManifest());
      Refuse(attempt, Refusal{proto::REFUSAL_REASON_WRONG_WEIGHTS, false, m_deps.admission.GetRetryAfter()},
             RequestEnd::kNeutral);
      return;
    case StreamState::kInvalid:
      HandleEngineFailure(attempt, MakeFailure(FailureCode::kProtocol, "malformed response from the engine"));
      return;
  }
}

void AttemptRunner::OnCompletionDone(AttemptPtr attempt, const absl::Status& status) {
  if (attempt->is_ended) return;
  attempt->call.reset();
  // The end marker completes the response even if the connection failed after it.
  if (attempt->stream->Feed({}) == StreamState::kComplete) {
    EndCompletion(attempt);
  } else {
    HandleEngineFailure(attempt,
                        status.ok() ? MakeFailure(FailureCode::kProtocol, "response has no end marker") : status);
  }
}

void AttemptRunner::ForwardToken(const AttemptPtr& attempt, uint32_t index, const std::string& text) {
  if (attempt->is_ended) return;
  m_deps.admission.OnToken(*attempt->slot);
  m_deps.metrics.tokens.Increment();
  proto::AttemptMessage message;
  proto::AttemptToken& token = *message.mutable_token();
  token.set_attempt(attempt->key.id.Get());
  token.set_index(index);
  token.set_text(text);
  if (!attempt->has_token) {
    attempt->has_token = true;
    token.set_manifest(attempt->manifest->Get());
    const Duration wait = m_deps.clock.GetNow() - attempt->admitted_at;
    m_deps.metrics.first_token_seconds.Observe(std::chrono::duration<double>(wait).count());
    AddToHistory(*attempt,
                 FormatEvent("first_token", {{"attempt", attempt->key.id},
                                             {"wait_ms", std::chrono::duration_cast<Milliseconds>(wait).count()}}));
  }
  if (m_deps.send(attempt->key.from, message)) return;
  AddToHistory(*attempt, FormatEvent("entry_gone", {{"attempt", attempt->key.id}, {"index", index}}));
  Release(attempt, RequestEnd::kNeutral);
}

void AttemptRunner::RunRepeatable(const AttemptPtr& attempt) {
  const proto::ServiceCall& call = attempt->start.service();
  HttpRequest request;
  request.method = "POST";
  request.target = "/calls/" + call.call();
  request.headers.Add("X-Call-Key", call.idempotency_key().empty() ? attempt->start.request() : call.idempotency_key());
  request.body = call.body();
  HttpCallOptions options(kMaxServiceAnswerBytes);
  options.timeout = attempt->deadline - m_deps.clock.GetNow();
  // Answers of a plain service carry no id, so that only the first one on a new connection is sure to be this call's.
  options.max_idle = Duration::zero();
  options.is_kept = false;
  m_deps.admission.OnDispatched(*attempt->slot);
  attempt->call = m_deps.http.Fetch(
      m_deps.target, request, options,
      [this, attempt](const absl::StatusOr<HttpResponse>& response) { OnServiceAnswer(attempt, response); });
}

void AttemptRunner::OnServiceAnswer(AttemptPtr attempt, const absl::StatusOr<HttpResponse>& response) {
  if (attempt->is_ended) return;
  attempt->call.reset();
  if (!response.ok()) {
    HandleEngineFailure(attempt, response.status());
    return;
  }
  const auto status = static_cast<uint32_t>(response->status);
  const RequestEnd end = status >= kFirstServerError ? RequestEnd::kFailed : RequestEnd::kOk;
  EndService(attempt, status, response->body, end, m_deps.clock.GetNow() - attempt->admitted_at);
}

void AttemptRunner::RunAtMostOnce(const AttemptPtr& attempt) {
  const proto::ServiceCall& call = attempt->start.service();
  OnceCall once;
  once.key = OnceKey(call.service() + kSeparator + attempt->start.workspace() + kSeparator + call.idempotency_key());
  once.fingerprint = HashCall(call);
  once.call = call.call();
  once.caller_key = call.idempotency_key();
  once.body = call.body();
  once.deadline = attempt->deadline;
  m_deps.submit_once(std::move(once), [this, attempt](const OnceAnswer& answer) { OnOnceAnswer(attempt, answer); });
}

void AttemptRunner::OnOnceAnswer(const AttemptPtr& attempt, const OnceAnswer& answer) {
  if (attempt->is_ended) return;
  const RequestEnd end = answer.is_service_failure ? RequestEnd::kFailed : RequestEnd::kOk;
  if (answer.outcome.has_value()) {
    EndService(attempt, answer.outcome->status, answer.outcome->body, end, answer.call_time);
  } else {
    Refuse(attempt, answer.refusal, answer.is_service_failure ? RequestEnd::kFailed : RequestEnd::kNeutral);
  }
}

}  // namespace plantain

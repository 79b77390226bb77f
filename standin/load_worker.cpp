#include "load_worker.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "failure_type.h"

namespace plantain::standin {
namespace {

// Request timeout without a deadline.
constexpr Duration kDefaultTimeout = std::chrono::seconds(60);
// Added to the deadline, so that an answer that arrives late is still checked instead of being counted as a timeout.
constexpr Duration kTimeoutMargin = std::chrono::seconds(2);
// A request sent later than this after its arrival time counts as sent late, which shows that the load tool itself is
// overloaded.
constexpr Duration kMaxSendDelay = Milliseconds(50);
constexpr size_t kMaxAnswerBytes = 64 * 1024 * 1024;
constexpr Bytes kAnswerMemory{1024 * 1024 * 1024};

}  // namespace

struct LoadWorker::PendingRequest {
  explicit PendingRequest(LoadRequest request_in) : request(std::move(request_in)) {}

  LoadRequest request;
  // Checker of the current attempt's answer.
  std::optional<AnswerCheck> check;
  TimePoint sent_at;
  TimePoint last_token_at;
  Duration first_token{};
  uint32_t retries = 0;
  size_t target = 0;
  size_t connect_failures = 0;
  int status = 0;
  bool is_event_stream = false;
  // Whether any attempt ended without proof that it was not executed.
  bool may_have_run = false;
  Duration retry_after{};
  std::string body;
  std::shared_ptr<HttpCall> call;
  std::unique_ptr<Timer> retry_timer;
};

LoadWorker::LoadWorker(const LoadOptions& options, size_t thread, const Clock& clock)
    : m_options(options),
      m_clock(clock),
      m_answer_memory(kAnswerMemory),
      m_client(m_loop, m_answer_memory),
      m_plan(options, thread),
      m_report(options),
      m_next_target(thread) {}

LoadWorker::~LoadWorker() = default;

void LoadWorker::Run() {
  m_started_at = m_clock.GetNow();
  m_next_at = m_started_at + m_plan.GetNextInterarrivalTime();
  m_sending_ends_at =
      m_started_at + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_options.duration_s));
  ScheduleNextArrival();
  m_loop.Run();
}

void LoadWorker::ScheduleNextArrival() {
  if (m_next_at < m_sending_ends_at) {
    m_arrival_timer =
        m_loop.RunAfter(std::max(Duration(0), m_next_at - m_clock.GetNow()), [this] { SendDueRequests(); });
    return;
  }
  const Duration timeout = m_options.deadline > Duration(0) ? m_options.deadline : kDefaultTimeout;
  m_arrival_timer = m_loop.RunAfter(std::max(Duration(0), m_sending_ends_at - m_clock.GetNow()), [this] {
    m_is_sending = false;
    StopIfDone();
  });
  m_end_timer = m_loop.RunAfter(m_sending_ends_at - m_clock.GetNow() + timeout + 2 * kTimeoutMargin,
                                [this] { FailUnfinished(); });
}

void LoadWorker::SendDueRequests() {
  const TimePoint now = m_clock.GetNow();
  while (m_next_at <= now && m_next_at < m_sending_ends_at) {
    if (now - m_next_at > kMaxSendDelay) m_report.AddSentLate(1);
    auto pending = std::make_shared<PendingRequest>(m_plan.MakeNextRequest());
    pending->sent_at = now;
    pending->target = m_next_target++;
    m_pending_requests.insert(pending);
    m_report.AddSent(pending->request, GetSinceStart());
    StartAttempt(pending);
    m_next_at += m_plan.GetNextInterarrivalTime();
  }
  ScheduleNextArrival();
}

const HttpTarget& LoadWorker::ChooseTarget(const PendingRequest& pending) const {
  return m_options.targets[pending.target % m_options.targets.size()];
}

HttpRequest LoadWorker::MakeHttpRequest(const PendingRequest& pending) const {
  const LoadRequest& request = pending.request;
  HttpRequest http;
  http.method = "POST";
  http.headers.Add("Content-Type", "application/json");
  http.headers.Add("X-Workspace", m_options.workspaces[request.workspace].name);
  http.headers.Add("X-Request-Id", request.id);
  http.headers.Add("X-Attempt", std::to_string(pending.retries));
  if (m_options.priority > 0) http.headers.Add("X-Priority", std::to_string(m_options.priority));
  if (m_options.deadline > Duration(0)) {
    const Duration left = pending.sent_at + m_options.deadline - m_clock.GetNow();
    const int64_t left_ms = std::chrono::duration_cast<Milliseconds>(left).count();
    http.headers.Add("X-Deadline-Ms", std::to_string(std::max<int64_t>(1, left_ms)));
  }
  if (request.is_service) {
    http.target = "/services/" + request.call.service + "/" + request.call.call;
    if (!request.call.is_repeatable) http.headers.Add("Idempotency-Key", request.id);
    http.body = request.body;
    return http;
  }
  http.target = "/v1/completions";
  nlohmann::json body = {{"model", request.model.model},
                         {"prompt", request.prompt},
                         {"max_tokens", request.tokens},
                         {"stream", request.is_streaming},
                         {"id", request.id}};
  if (!request.model.adapter.empty()) body["adapter"] = request.model.adapter;
  http.body = body.dump();
  return http;
}

void LoadWorker::StartAttempt(const std::shared_ptr<PendingRequest>& pending) {
  m_report.AddAttempt(pending->request);
  pending->check.emplace(pending->request, m_options.manifests);
  pending->body.clear();
  pending->status = 0;
  pending->first_token = Duration(0);
  pending->retry_after = Duration(0);
  HttpCallOptions options(kMaxAnswerBytes);
  options.timeout = m_options.deadline > Duration(0)
                        ? pending->sent_at + m_options.deadline + kTimeoutMargin - m_clock.GetNow()
                        : kDefaultTimeout;
  HttpCallbacks callbacks;
  callbacks.on_head = [this, pending](int status, const HttpHeaders& headers) { OnHead(pending, status, headers); };
  callbacks.on_data = [this, pending](std::string_view data) { OnData(pending, data); };
  callbacks.on_done = [this, pending](const absl::Status& status) { OnDone(pending, status); };
  pending->call = m_client.Send(ChooseTarget(*pending), MakeHttpRequest(*pending), options, std::move(callbacks));
}

void LoadWorker::OnHead(const std::shared_ptr<PendingRequest>& pending, int status, const HttpHeaders& headers) {
  pending->status = status;
  pending->is_event_stream = headers.Find("Content-Type").substr(0, 17) == "text/event-stream";
  const std::string retry_after(headers.Find("Retry-After"));
  if (!retry_after.empty()) pending->retry_after = std::chrono::seconds(strtoll(retry_after.c_str(), nullptr, 10));
}

void LoadWorker::OnData(const std::shared_ptr<PendingRequest>& pending, std::string_view data) {
  if (pending->status != 200 || !pending->is_event_stream) {
    pending->body += data;
    return;
  }
  const bool is_first = pending->check->GetTokens() == 0;
  const uint32_t tokens = pending->check->AddStreamBytes(data);
  if (tokens == 0) return;
  const TimePoint now = m_clock.GetNow();
  if (is_first) {
    pending->first_token = now - pending->sent_at;
  } else {
    m_report.AddTokenGap(now - pending->last_token_at);
  }
  pending->last_token_at = now;
}

void LoadWorker::OnDone(const std::shared_ptr<PendingRequest>& pending, const absl::Status& status) {
  pending->call.reset();
  if (status.ok() && pending->status != 200) {
    HandleRefusal(pending);
    return;
  }
  if (status.ok() || (pending->status == 200 && pending->check->GetTokens() > 0)) {
    HandleAnswer(pending);
    return;
  }
  // Fails over to the next entry if one does not accept connections, as the platform's load balancer does.
  if (GetFailureCode(status) == FailureCode::kConnectFailed && ++pending->connect_failures < m_options.targets.size()) {
    ++pending->target;
    StartAttempt(pending);
    return;
  }
  LoadResult result;
  result.outcome = pending->status == 200 ? LoadOutcome::kTruncated : LoadOutcome::kFailed;
  result.type = std::string(GetFailureName(GetFailureCode(status)));
  // No request is sent if the connection fails.
  result.is_not_run = GetFailureCode(status) == FailureCode::kConnectFailed;
  m_report.AddProblem(pending->request, result.type + ": " + GetFailureText(status));
  RetryOrFinish(pending, std::move(result), Duration(0));
}

void LoadWorker::HandleAnswer(const std::shared_ptr<PendingRequest>& pending) {
  AnswerVerdict verdict;
  if (pending->is_event_stream) {
    verdict = pending->check->GetStreamVerdict();
  } else {
    verdict = pending->check->CheckUnary(pending->body);
    pending->first_token = m_clock.GetNow() - pending->sent_at;
  }
  LoadResult result;
  result.first_token = pending->first_token;
  result.total = m_clock.GetNow() - pending->sent_at;
  result.type = pending->check->GetErrorType();
  switch (verdict) {
    case AnswerVerdict::kCorrect:
      result.outcome = LoadOutcome::kAnswered;
      result.tokens = pending->check->GetTokens();
      break;
    case AnswerVerdict::kWrong:
      result.outcome = LoadOutcome::kWrong;
      break;
    case AnswerVerdict::kMixed:
      result.outcome = LoadOutcome::kMixed;
      break;
    case AnswerVerdict::kTruncated:
      result.outcome = LoadOutcome::kTruncated;
      break;
    case AnswerVerdict::kError:
      result.outcome = LoadOutcome::kFailed;
      break;
  }
  if (verdict == AnswerVerdict::kError || verdict == AnswerVerdict::kTruncated) {
    RetryOrFinish(pending, std::move(result), pending->retry_after);
    return;
  }
  if (verdict != AnswerVerdict::kCorrect) m_report.AddProblem(pending->request, pending->check->GetDetail());
  FinishRequest(pending, std::move(result));
}

void LoadWorker::HandleRefusal(const std::shared_ptr<PendingRequest>& pending) {
  LoadResult result;
  result.outcome = LoadOutcome::kRefused;
  result.type = "http_" + std::to_string(pending->status);
  const nlohmann::json answer = nlohmann::json::parse(pending->body, nullptr, false);
  if (answer.is_object() && answer.contains("error") && answer["error"].is_object()) {
    const nlohmann::json& error = answer["error"];
    const auto type = error.find("type");
    const auto not_run = error.find("not_run");
    const auto retry_after = error.find("retry_after_ms");
    if (type != error.end() && type->is_string()) result.type = type->get<std::string>();
    if (not_run != error.end() && not_run->is_boolean()) result.is_not_run = not_run->get<bool>();
    if (retry_after != error.end() && retry_after->is_number()) {
      pending->retry_after = Milliseconds(retry_after->get<int64_t>());
    }
  }
  RetryOrFinish(pending, std::move(result), pending->retry_after);
}

void LoadWorker::RetryOrFinish(const std::shared_ptr<PendingRequest>& pending, LoadResult result,
                               Duration retry_after) {
  if (!result.is_not_run) pending->may_have_run = true;
  result.is_never_run = !pending->may_have_run;
  const Duration pause =
      m_options.is_ignoring_retry_after ? m_options.retry_pause : std::max(retry_after, m_options.retry_pause);
  const TimePoint retry_at = m_clock.GetNow() + pause;
  const bool is_past_deadline = m_options.deadline > Duration(0) && retry_at >= pending->sent_at + m_options.deadline;
  const bool is_client_error = pending->status >= 400 && pending->status < 500 && pending->status != 429;
  if (pending->retries >= m_options.retries || is_past_deadline || is_client_error) {
    FinishRequest(pending, std::move(result));
    return;
  }
  ++pending->retries;
  ++pending->target;
  pending->connect_failures = 0;
  pending->retry_timer = m_loop.RunAfter(pause, [this, pending] { StartAttempt(pending); });
}

void LoadWorker::FinishRequest(const std::shared_ptr<PendingRequest>& pending, LoadResult result) {
  m_report.AddResult(pending->request, result, GetSinceStart());
  m_pending_requests.erase(pending);
  StopIfDone();
}

void LoadWorker::StopIfDone() {
  if (!m_is_sending && m_pending_requests.empty()) m_loop.Stop();
}

void LoadWorker::FailUnfinished() {
  const auto pending_requests = m_pending_requests;
  for (const auto& pending : pending_requests) {
    if (pending->call != nullptr) pending->call->Cancel();
    pending->retry_timer.reset();
    LoadResult result;
    result.type = "unfinished";
    FinishRequest(pending, std::move(result));
  }
  m_is_sending = false;
  StopIfDone();
}

}  // namespace plantain::standin

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
constexpr Duration kLateArrival = Milliseconds(50);

}  // namespace

struct LoadWorker::Flight {
  explicit Flight(LoadRequest request_in) : request(std::move(request_in)) {}

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
      m_client(m_loop),
      m_plan(options, thread),
      m_report(options),
      m_next_target(thread) {}

LoadWorker::~LoadWorker() = default;

void LoadWorker::Run() {
  m_started_at = m_clock.GetNow();
  m_next_at = m_started_at + m_plan.GetNextGap();
  m_ends_at = m_started_at + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_options.duration_s));
  ArmNextArrival();
  m_loop.Run();
}

void LoadWorker::ArmNextArrival() {
  if (m_next_at < m_ends_at) {
    m_arrival_timer = m_loop.RunAfter(std::max(Duration(0), m_next_at - m_clock.GetNow()), [this] { SendDue(); });
    return;
  }
  const Duration timeout = m_options.deadline > Duration(0) ? m_options.deadline : kDefaultTimeout;
  m_arrival_timer = m_loop.RunAfter(std::max(Duration(0), m_ends_at - m_clock.GetNow()), [this] {
    m_is_sending = false;
    StopIfOver();
  });
  m_end_timer =
      m_loop.RunAfter(m_ends_at - m_clock.GetNow() + timeout + 2 * kTimeoutMargin, [this] { EndUnfinished(); });
}

void LoadWorker::SendDue() {
  const TimePoint now = m_clock.GetNow();
  while (m_next_at <= now && m_next_at < m_ends_at) {
    if (now - m_next_at > kLateArrival) m_report.AddUnsentLate(1);
    auto flight = std::make_shared<Flight>(m_plan.MakeNext());
    flight->sent_at = now;
    flight->target = m_next_target++;
    m_flights.insert(flight);
    m_report.AddSent(flight->request, GetSinceStart());
    StartAttempt(flight);
    m_next_at += m_plan.GetNextGap();
  }
  ArmNextArrival();
}

const HttpTarget& LoadWorker::ChooseTarget(const Flight& flight) const {
  return m_options.targets[flight.target % m_options.targets.size()];
}

HttpRequest LoadWorker::MakeHttpRequest(const Flight& flight) const {
  const LoadRequest& request = flight.request;
  HttpRequest http;
  http.method = "POST";
  http.headers.Add("Content-Type", "application/json");
  http.headers.Add("X-Workspace", m_options.workspaces[request.workspace].name);
  http.headers.Add("X-Request-Id", request.id);
  http.headers.Add("X-Attempt", std::to_string(flight.retries));
  if (m_options.priority > 0) http.headers.Add("X-Priority", std::to_string(m_options.priority));
  if (m_options.deadline > Duration(0)) {
    const Duration left = flight.sent_at + m_options.deadline - m_clock.GetNow();
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

void LoadWorker::StartAttempt(const std::shared_ptr<Flight>& flight) {
  m_report.AddAttempt(flight->request);
  flight->check.emplace(flight->request, m_options.manifests);
  flight->body.clear();
  flight->status = 0;
  flight->first_token = Duration(0);
  flight->retry_after = Duration(0);
  HttpCallOptions options;
  options.timeout = m_options.deadline > Duration(0)
                        ? flight->sent_at + m_options.deadline + kTimeoutMargin - m_clock.GetNow()
                        : kDefaultTimeout;
  HttpCallbacks callbacks;
  callbacks.on_head = [this, flight](int status, const HttpHeaders& headers) { OnHead(flight, status, headers); };
  callbacks.on_data = [this, flight](std::string_view data) { OnData(flight, data); };
  callbacks.on_done = [this, flight](const absl::Status& status) { OnDone(flight, status); };
  flight->call = m_client.Send(ChooseTarget(*flight), MakeHttpRequest(*flight), options, std::move(callbacks));
}

void LoadWorker::OnHead(const std::shared_ptr<Flight>& flight, int status, const HttpHeaders& headers) {
  flight->status = status;
  flight->is_event_stream = headers.Find("Content-Type").substr(0, 17) == "text/event-stream";
  const std::string retry_after(headers.Find("Retry-After"));
  if (!retry_after.empty()) flight->retry_after = std::chrono::seconds(strtoll(retry_after.c_str(), nullptr, 10));
}

void LoadWorker::OnData(const std::shared_ptr<Flight>& flight, std::string_view data) {
  if (flight->status != 200 || !flight->is_event_stream) {
    flight->body += data;
    return;
  }
  const bool is_first = flight->check->GetTokens() == 0;
  const uint32_t tokens = flight->check->AddStreamBytes(data);
  if (tokens == 0) return;
  const TimePoint now = m_clock.GetNow();
  if (is_first) {
    flight->first_token = now - flight->sent_at;
  } else {
    m_report.AddTokenGap(now - flight->last_token_at);
  }
  flight->last_token_at = now;
}

void LoadWorker::OnDone(const std::shared_ptr<Flight>& flight, const absl::Status& status) {
  flight->call.reset();
  if (status.ok() && flight->status != 200) {
    JudgeRefusal(flight);
    return;
  }
  if (status.ok() || (flight->status == 200 && flight->check->GetTokens() > 0)) {
    JudgeAnswer(flight);
    return;
  }
  // Fails over to the next entry if one does not accept connections, as the platform's load balancer does.
  if (GetFailureCode(status) == FailureCode::kConnectFailed && ++flight->connect_failures < m_options.targets.size()) {
    ++flight->target;
    StartAttempt(flight);
    return;
  }
  LoadResult result;
  result.outcome = flight->status == 200 ? LoadOutcome::kTruncated : LoadOutcome::kFailed;
  result.type = std::string(GetFailureName(GetFailureCode(status)));
  // No request is sent if the connection fails.
  result.is_not_run = GetFailureCode(status) == FailureCode::kConnectFailed;
  m_report.AddProblem(flight->request, result.type + ": " + GetFailureText(status));
  RetryOrEnd(flight, std::move(result), Duration(0));
}

void LoadWorker::JudgeAnswer(const std::shared_ptr<Flight>& flight) {
  AnswerVerdict verdict;
  if (flight->is_event_stream) {
    verdict = flight->check->GetStreamVerdict();
  } else {
    verdict = flight->check->CheckWhole(flight->body);
    flight->first_token = m_clock.GetNow() - flight->sent_at;
  }
  LoadResult result;
  result.first_token = flight->first_token;
  result.total = m_clock.GetNow() - flight->sent_at;
  result.type = flight->check->GetErrorType();
  switch (verdict) {
    case AnswerVerdict::kGood:
      result.outcome = LoadOutcome::kAnswered;
      result.tokens = flight->check->GetTokens();
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
    RetryOrEnd(flight, std::move(result), flight->retry_after);
    return;
  }
  if (verdict != AnswerVerdict::kGood) m_report.AddProblem(flight->request, flight->check->GetDetail());
  End(flight, std::move(result));
}

void LoadWorker::JudgeRefusal(const std::shared_ptr<Flight>& flight) {
  LoadResult result;
  result.outcome = LoadOutcome::kRefused;
  result.type = "http_" + std::to_string(flight->status);
  const nlohmann::json answer = nlohmann::json::parse(flight->body, nullptr, false);
  if (answer.is_object() && answer.contains("error") && answer["error"].is_object()) {
    const nlohmann::json& error = answer["error"];
    const auto type = error.find("type");
    const auto not_run = error.find("not_run");
    const auto retry_after = error.find("retry_after_ms");
    if (type != error.end() && type->is_string()) result.type = type->get<std::string>();
    if (not_run != error.end() && not_run->is_boolean()) result.is_not_run = not_run->get<bool>();
    if (retry_after != error.end() && retry_after->is_number()) {
      flight->retry_after = Milliseconds(retry_after->get<int64_t>());
    }
  }
  RetryOrEnd(flight, std::move(result), flight->retry_after);
}

void LoadWorker::RetryOrEnd(const std::shared_ptr<Flight>& flight, LoadResult result, Duration retry_after) {
  if (!result.is_not_run) flight->may_have_run = true;
  result.is_never_run = !flight->may_have_run;
  const Duration pause =
      m_options.is_ignoring_retry_after ? m_options.retry_pause : std::max(retry_after, m_options.retry_pause);
  const TimePoint retry_at = m_clock.GetNow() + pause;
  const bool is_late = m_options.deadline > Duration(0) && retry_at >= flight->sent_at + m_options.deadline;
  const bool is_client_error = flight->status >= 400 && flight->status < 500 && flight->status != 429;
  if (flight->retries >= m_options.retries || is_late || is_client_error) {
    End(flight, std::move(result));
    return;
  }
  ++flight->retries;
  ++flight->target;
  flight->connect_failures = 0;
  flight->retry_timer = m_loop.RunAfter(pause, [this, flight] { StartAttempt(flight); });
}

void LoadWorker::End(const std::shared_ptr<Flight>& flight, LoadResult result) {
  m_report.AddResult(flight->request, result, GetSinceStart());
  m_flights.erase(flight);
  StopIfOver();
}

void LoadWorker::StopIfOver() {
  if (!m_is_sending && m_flights.empty()) m_loop.Stop();
}

void LoadWorker::EndUnfinished() {
  const auto flights = m_flights;
  for (const auto& flight : flights) {
    if (flight->call != nullptr) flight->call->Cancel();
    flight->retry_timer.reset();
    LoadResult result;
    result.type = "unfinished";
    End(flight, std::move(result));
  }
  m_is_sending = false;
  StopIfOver();
}

}  // namespace plantain::standin

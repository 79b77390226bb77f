#include "engine_client.h"

#include <utility>

#include "event_log.h"
#include "failure_type.h"

namespace plantain {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;
constexpr int kFirstServerError = 500;
constexpr int kHttpUnavailable = 503;
// Timeout of a status request, after which the engine is considered unreachable.
constexpr Duration kStatusTimeout = std::chrono::seconds(2);

OrderResult ClassifyOrderResponse(const absl::StatusOr<HttpResponse>& response) {
  if (!response.ok()) {
    const bool was_sent = GetFailureCode(response.status()) != FailureCode::kConnectFailed;
    return {was_sent ? OrderOutcome::kUnknown : OrderOutcome::kNotSent, response.status()};
  }
  if (response->status == kHttpOk) return {OrderOutcome::kDone, absl::OkStatus()};
  if (response->status == kHttpConflict) {
    return {OrderOutcome::kRefused, MakeFailure(FailureCode::kEngineFenced, response->body)};
  }
  // Other server errors do not say whether the engine executed the order.
  const bool is_refusal = response->status < kFirstServerError || response->status == kHttpUnavailable;
  return {is_refusal ? OrderOutcome::kRefused : OrderOutcome::kUnknown,
          MakeFailure(FailureCode::kEngineRefused, response->body)};
}

}  // namespace

EngineClient::EngineClient(Loop& loop, MemoryBudget& answer_memory, EngineClientOptions options, Metrics& metrics)
    : m_loop(loop),
      m_answer_memory(answer_memory),
      m_options(std::move(options)),
      m_reachable(metrics.GetGauge("plantain_engine_reachable", "Whether the engine answered the last status read.")),
      m_orders(metrics.GetCounter("plantain_engine_orders_total", "Orders sent to the engine.")),
      m_report(std::make_shared<const EngineReport>()) {}

absl::Status EngineClient::Start() {
  m_client = std::make_unique<HttpClient>(m_loop, m_answer_memory);
  m_poll_timer = m_loop.RunEvery(m_options.poll_period, [this] { Poll(); });
  m_loop.Post([this] { Poll(); });
  return absl::OkStatus();
}

void EngineClient::Stop() {
  m_poll_timer.reset();
  if (m_poll != nullptr) m_poll->Cancel();
  m_poll.reset();
  m_client.reset();
}

std::shared_ptr<const EngineStatus> EngineClient::GetEngineStatus() const {
  const auto report = GetReport();
  return {report, &report->status};
}

std::shared_ptr<const EngineReport> EngineClient::GetReport() const {
  const std::lock_guard lock(m_mutex);
  return m_report;
}

void EngineClient::AddEngineListener(std::function<void(const std::shared_ptr<const EngineStatus>&)> listener) {
  m_listeners.push_back(std::move(listener));
}

void EngineClient::SendOrder(const EngineOrder& order, std::function<void(const OrderResult&)> on_done) {
  m_orders.Increment();
  HttpRequest request{"POST", "/orders", {}, FormatEngineOrder(order)};
  request.headers.Add("Content-Type", "application/json");
  HttpCallOptions options(kMaxEngineStatusBytes);
  options.timeout = m_options.order_timeout;
  m_client->Fetch(m_options.target, request, options,
                  [on_done = std::move(on_done)](const absl::StatusOr<HttpResponse>& response) {
                    on_done(ClassifyOrderResponse(response));
                  });
}

uint64_t EngineClient::RefreshStatus() {
  if (m_is_polling) {
    m_is_repoll_pending = true;
    return m_sequence + 1;
  }
  Poll();
  return m_sequence;
}

void EngineClient::Poll() {
  if (m_is_polling || m_client == nullptr) return;
  m_is_polling = true;
  ++m_sequence;
  HttpCallOptions options(kMaxEngineStatusBytes);
  options.timeout = kStatusTimeout;
  m_poll = m_client->Fetch(m_options.target, HttpRequest{"GET", "/status", {}, ""}, options,
                           [this](const absl::StatusOr<HttpResponse>& response) { OnStatus(response); });
}

void EngineClient::OnStatus(const absl::StatusOr<HttpResponse>& response) {
  m_is_polling = false;
  auto report = std::make_shared<EngineReport>();
  if (response.ok() && response->status == kHttpOk) {
    absl::StatusOr<EngineReport> parsed = ParseEngineReport(response->body);
    if (parsed.ok()) {
      *report = *std::move(parsed);
    } else {
      LogEvent(LogLevel::kWarn, "engine_status_invalid", {MakeFailureField(parsed.status())});
    }
  }
  report->sequence = m_sequence;
  Publish(std::move(report));
  if (std::exchange(m_is_repoll_pending, false)) Poll();
}

void EngineClient::Publish(std::shared_ptr<const EngineReport> report) {
  m_reachable.Set(report->status.state == EngineState::kUnreachable ? 0 : 1);
  {
    const std::lock_guard lock(m_mutex);
    m_report = report;
  }
  const std::shared_ptr<const EngineStatus> status(report, &report->status);
  for (const auto& listener : m_listeners) listener(status);
}

}  // namespace plantain

#include "plain_service.h"

#include <utility>

namespace plantain {
namespace {

constexpr Duration kStatusTimeout = std::chrono::seconds(2);

}  // namespace

PlainServiceSource::PlainServiceSource(Loop& loop, MemoryBudget& answer_memory, HttpTarget target, Duration poll_period)
    : m_loop(loop),
      m_answer_memory(answer_memory),
      m_target(std::move(target)),
      m_poll_period(poll_period),
      m_status(std::make_shared<const EngineStatus>()) {}

absl::Status PlainServiceSource::Start() {
  m_client = std::make_unique<HttpClient>(m_loop, m_answer_memory);
  m_timer = m_loop.RunEvery(m_poll_period, [this] { Poll(); });
  m_loop.Post([this] { Poll(); });
  return absl::OkStatus();
}

void PlainServiceSource::Stop() {
  m_timer.reset();
  if (m_call != nullptr) m_call->Cancel();
  m_call.reset();
  m_client.reset();
}

std::shared_ptr<const EngineStatus> PlainServiceSource::GetEngineStatus() const {
  const std::lock_guard lock(m_mutex);
  return m_status;
}

void PlainServiceSource::AddEngineListener(std::function<void(const std::shared_ptr<const EngineStatus>&)> listener) {
  m_listeners.push_back(std::move(listener));
}

void PlainServiceSource::Poll() {
  if (m_is_polling || m_client == nullptr) return;
  m_is_polling = true;
  HttpCallOptions options(0);
  options.timeout = kStatusTimeout;
  // The protocol has no health path. HEAD of any path shows that the service responds, and does not change its ledger.
  m_call = m_client->Fetch(m_target, HttpRequest{"HEAD", "/ledger", {}, ""}, options,
                           [this](const absl::StatusOr<HttpResponse>& response) { OnAnswer(response.ok()); });
}

void PlainServiceSource::OnAnswer(bool is_answering) {
  m_is_polling = false;
  m_is_answering = is_answering;
  auto status = std::make_shared<EngineStatus>();
  status->state = is_answering ? EngineState::kWarm : EngineState::kUnreachable;
  {
    const std::lock_guard lock(m_mutex);
    m_status = status;
  }
  for (const auto& listener : m_listeners) listener(status);
}

}  // namespace plantain

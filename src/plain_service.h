// Serving gate and status of a plain service, which has no weights.

#ifndef PLANTAIN_PLAIN_SERVICE_H_
#define PLANTAIN_PLAIN_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "gate_type.h"
#include "http_client.h"
#include "kernel.h"

namespace plantain {

// Polls whether the plain service responds. Any HTTP response counts.
class PlainServiceSource : public Service, public EngineSource {
 public:
  PlainServiceSource(Loop& loop, MemoryBudget& answer_memory, HttpTarget target, Duration poll_period);

  absl::Status Start() override;
  void Stop() override;

  std::shared_ptr<const EngineStatus> GetEngineStatus() const override;
  void AddEngineListener(std::function<void(const std::shared_ptr<const EngineStatus>&)> listener) override;

  // Thread-safe.
  bool IsAnswering() const { return m_is_answering; }

 private:
  void Poll();
  void OnAnswer(bool is_answering);

  Loop& m_loop;
  MemoryBudget& m_answer_memory;
  const HttpTarget m_target;
  const Duration m_poll_period;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<HttpCall> m_call;
  bool m_is_polling = false;
  std::atomic<bool> m_is_answering = false;
  std::vector<std::function<void(const std::shared_ptr<const EngineStatus>&)>> m_listeners;
  mutable std::mutex m_mutex;
  std::shared_ptr<const EngineStatus> m_status;
};

// Open while the service responds. The digest of its weights is empty.
class PlainServiceGate : public Service, public ServingGate {
 public:
  explicit PlainServiceGate(const PlainServiceSource& source) : m_source(source) {}

  absl::Status Start() override { return absl::OkStatus(); }
  void Stop() override {}

  std::optional<Digest> Enter(const ModelName&, const AdapterName&) override {
    if (!m_source.IsAnswering()) return std::nullopt;
    return Digest();
  }
  void Leave(const ModelName&, const AdapterName&) override {}
  void ReportMismatch(const Digest&) override {}

 private:
  const PlainServiceSource& m_source;
};

}  // namespace plantain

#endif  // PLANTAIN_PLAIN_SERVICE_H_

// HTTP client of the local engine: polls its status and sends load and unload orders.

#ifndef PLANTAIN_ENGINE_CLIENT_H_
#define PLANTAIN_ENGINE_CLIENT_H_

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "engine_report.h"
#include "http_client.h"
#include "kernel.h"
#include "metrics.h"
#include "order_outcome_type.h"

namespace plantain {

// Sends orders to the engine. Must only be used on the control thread.
class EngineOrders {
 public:
  virtual ~EngineOrders() = default;

  virtual void SendOrder(const EngineOrder& order, std::function<void(const OrderResult&)> on_done) = 0;

  // Reads the status immediately instead of at the next poll. Returns the sequence number of the first report that is
  // guaranteed to describe the state after this call. A read already in progress may describe an earlier state, so in
  // that case another read follows it.
  virtual uint64_t RefreshStatus() = 0;

  // Returns the latest report; never null.
  virtual std::shared_ptr<const EngineReport> GetReport() const = 0;
};

// Status and order interface of the local engine for weight control.
class EngineControl : public EngineSource, public EngineOrders {};

// Options of the engine client.
struct EngineClientOptions {
  HttpTarget target;
  Duration poll_period{};
  Duration order_timeout{};
};

// EngineControl over HTTP. Runs on the control loop; only GetEngineStatus and GetReport are thread-safe.
class EngineClient : public Service, public EngineControl {
 public:
  EngineClient(Loop& loop, MemoryBudget& answer_memory, EngineClientOptions options, Metrics& metrics);

  absl::Status Start() override;
  void Stop() override;

  std::shared_ptr<const EngineStatus> GetEngineStatus() const override;
  void AddEngineListener(std::function<void(const std::shared_ptr<const EngineStatus>&)> listener) override;

  void SendOrder(const EngineOrder& order, std::function<void(const OrderResult&)> on_done) override;
  uint64_t RefreshStatus() override;
  std::shared_ptr<const EngineReport> GetReport() const override;

 private:
  void Poll();
  void OnStatus(const absl::StatusOr<HttpResponse>& response);
  void Publish(std::shared_ptr<const EngineReport> report);

  Loop& m_loop;
  MemoryBudget& m_answer_memory;
  const EngineClientOptions m_options;
  prometheus::Gauge& m_reachable;
  prometheus::Counter& m_orders;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<Timer> m_poll_timer;
  std::shared_ptr<HttpCall> m_poll;
  bool m_is_polling = false;
  uint64_t m_sequence = 0;
  bool m_is_repoll_pending = false;
  std::vector<std::function<void(const std::shared_ptr<const EngineStatus>&)>> m_listeners;
  mutable std::mutex m_mutex;
  std::shared_ptr<const EngineReport> m_report;
};

}  // namespace plantain

#endif  // PLANTAIN_ENGINE_CLIENT_H_

// Talks to the local engine: reads its status in short periods and sends orders.

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

namespace plantain {

// Sends orders to the engine. Used on the control thread.
class EngineOrders {
 public:
  virtual ~EngineOrders() = default;

  // Sends one order. `on_done` gets OK, kEngineFenced or kEngineRefused if the engine answered, kConnectFailed if the
  // order was not sent, and any other failure if the engine may have acted on it.
  virtual void SendOrder(const EngineOrder& order, std::function<void(absl::Status)> on_done) = 0;

  // Reads the status now instead of at the next period. Returns the sequence of the first report that describes the
  // state after this call; a read in progress may describe an earlier one.
  virtual uint64_t RefreshStatus() = 0;

  // Returns the latest report; never null.
  virtual std::shared_ptr<const EngineReport> GetReport() const = 0;
};

// The local engine as weight control sees it.
class EngineControl : public EngineSource, public EngineOrders {};

// Settings of the engine client.
struct EngineClientOptions {
  HttpTarget target;
  Duration poll_period{};
  Duration order_timeout{};
};

// EngineSource for an engine, on the control loop.
class EngineClient : public Service, public EngineControl {
 public:
  EngineClient(Loop& loop, EngineClientOptions options, Metrics& metrics);

  absl::Status Start() override;
  void Stop() override;

  std::shared_ptr<const EngineStatus> GetEngineStatus() const override;
  void AddEngineListener(std::function<void(const std::shared_ptr<const EngineStatus>&)> listener) override;

  void SendOrder(const EngineOrder& order, std::function<void(absl::Status)> on_done) override;
  uint64_t RefreshStatus() override;
  std::shared_ptr<const EngineReport> GetReport() const override;

 private:
  void Poll();
  void OnStatus(const absl::StatusOr<HttpResponse>& response);
  void Publish(std::shared_ptr<const EngineReport> report);

  Loop& m_loop;
  const EngineClientOptions m_options;
  prometheus::Gauge& m_reachable;
  prometheus::Counter& m_orders;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<Timer> m_poll_timer;
  std::shared_ptr<HttpCall> m_poll;
  bool m_is_polling = false;
  uint64_t m_sequence = 0;
  bool m_poll_again = false;
  std::vector<std::function<void(const std::shared_ptr<const EngineStatus>&)>> m_listeners;
  mutable std::mutex m_mutex;
  std::shared_ptr<const EngineReport> m_report;
};

}  // namespace plantain

#endif  // PLANTAIN_ENGINE_CLIENT_H_

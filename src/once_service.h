// Kernel service "once": connects OnceCore to the log and to the local service that runs the calls.

#ifndef PLANTAIN_ONCE_SERVICE_H_
#define PLANTAIN_ONCE_SERVICE_H_

#include <functional>
#include <memory>

#include "http_client.h"
#include "kernel.h"
#include "log_client.h"
#include "loop.h"
#include "metrics.h"
#include "once_core.h"

namespace plantain {

struct OnceServiceOptions {
  OnceOptions core;
  HttpTarget log;
  HttpTarget service;
  Duration log_timeout{};
  // Time between two appends; limits this agent's append rate.
  Duration batch_period{};
  // Maximum wait of one long-poll read of the log.
  Duration poll{};
  Duration drain_limit{};
};

// Runs on the control loop.
class OnceService : public Service, private OnceHost {
 public:
  OnceService(Loop& control_loop, MemoryBudget& answer_memory, const Clock& clock, uint64_t seed, Metrics& metrics,
              OnceServiceOptions options);

  absl::Status Start() override;
  void Stop() override;

  // Accepts a call. Thread-safe. `on_answer` runs on the control thread and must not call Submit.
  void Submit(OnceCall call, OnAnswer on_answer);

  // Calls `done` when no call is in progress and all outcomes are in the log, or when the drain limit has passed. Call
  // on the control thread.
  void Drain(std::function<void()> done);

 private:
  void Append(uint64_t id, const std::string& record) override;
  void Run(const ClaimId& claim, const OnceCall& call) override;

  void ReadNext();
  void OnRead(LogOffset from, const absl::StatusOr<LogBatch>& batch);
  void OnTick();
  void UpdateMetrics();

  Loop& m_control_loop;
  const Clock& m_clock;
  SeededRandom m_random;
  const OnceServiceOptions m_options;
  HttpClient m_http;
  LogClient m_log;
  OnceCore m_core;
  OnceCounters m_published;
  std::unique_ptr<Timer> m_tick;
  std::unique_ptr<Timer> m_next_read;
  std::function<void()> m_on_drained;
  TimePoint m_drain_deadline;

  prometheus::Counter& m_claims;
  prometheus::Counter& m_appends;
  prometheus::Counter& m_runs;
  prometheus::Counter& m_outcomes;
  prometheus::Counter& m_unknown;
  prometheus::Counter& m_replayed;
  prometheus::Counter& m_refused_log;
  prometheus::Gauge& m_usable;
  prometheus::Gauge& m_keys;
};

}  // namespace plantain

#endif  // PLANTAIN_ONCE_SERVICE_H_

// Continuous batching of the engine stand-in: all running requests advance by one token in each step.

#ifndef PLANTAIN_ENGINE_BATCH_H_
#define PLANTAIN_ENGINE_BATCH_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cold_model.h"
#include "engine_weights.h"
#include "http_server.h"
#include "loop.h"

namespace plantain::standin {

// A parsed completion request.
struct EngineRequest {
  std::string id;
  WeightKey key;
  std::string prompt;
  uint32_t first_index = 0;
  // One past the last index.
  uint32_t end_index = 0;
  uint32_t priority = 0;
  bool is_streaming = false;
  // Time until the first token can be produced; not zero if the prompt's prefix is not cached.
  Duration prefill{};
};

struct BatchOptions {
  Duration token_time = Milliseconds(20);
  // Number of requests that run at full speed. Above it, all requests slow down in proportion.
  size_t capacity = 16;
  // Maximum batch size; further requests are queued.
  size_t max_running = 64;
  size_t max_queued = 1024;
  // Factor by which the token time grows while the engine is cold.
  double cold_slowdown = 2;
};

struct BatchStats {
  uint64_t steps = 0;
  uint64_t started = 0;
  uint64_t finished = 0;
  uint64_t cancelled = 0;
  uint64_t failed = 0;
  uint64_t tokens = 0;
  // Requests accepted while cold and already at the cold capacity.
  uint64_t over_limit = 0;
  // Times that a cold engine failed because of overload.
  uint64_t overload_failures = 0;
  // Requests that received tokens from incomplete or corrupt weights.
  uint64_t partial_served = 0;
  // Requests that received tokens from more than one weight version.
  uint64_t mixed_served = 0;
  uint64_t max_in_flight = 0;
  uint64_t max_cold_in_flight = 0;
};

// Schedules and runs requests in one batch. Not thread-safe: use on the loop's thread only.
class EngineBatch {
 public:
  EngineBatch(Loop& loop, const Clock& clock, EngineWeights& weights, ColdModel& cold, BatchOptions options);

  // Adds a request. Returns false if the queue is full.
  bool Add(EngineRequest request, std::shared_ptr<HttpResponder> responder);

  // Sets the callback that runs after an overload of the cold engine has failed all requests.
  void SetOnOverloadFailure(std::function<void()> callback) { m_on_overload_failure = std::move(callback); }

  // Updates the cold model with the elapsed time. If the cold engine is overloaded, fails all requests.
  void UpdateColdState();

  // Aborts all requests and closes their connections.
  void FailAll();

  // Aborts the requests for one model and adapter and closes their connections.
  void FailKey(const WeightKey& key);

  // Suspends the requests for one model and adapter while its weights are replaced.
  void SetLoading(std::optional<WeightKey> key) { m_loading = std::move(key); }

  // While stalled, no tokens are produced.
  void SetStalled(bool is_stalled) { m_is_stalled = is_stalled; }

  void SetTokenTime(Duration token_time) { m_options.token_time = token_time; }
  void SetCapacity(size_t capacity) { m_options.capacity = capacity; }

  size_t GetRunning() const { return m_running.size(); }
  size_t GetQueued() const { return m_queued.size(); }
  size_t GetInFlight() const { return m_running.size() + m_queued.size(); }
  const BatchOptions& GetOptions() const { return m_options; }
  BatchStats& GetStats() { return m_stats; }

 private:
  struct Stream;

  void Cancel(const std::shared_ptr<Stream>& stream);
  void StartQueued();
  void ScheduleStep();
  void Step();
  Duration GetStepTime() const;
  // Produces one token. Returns false if the stream has finished or failed.
  bool Advance(Stream& stream, TimePoint now);
  // Switches the stream to the currently loaded weights. Returns false if none are loaded.
  bool UpdateWeights(Stream& stream);
  void EmitToken(Stream& stream);
  void Finish(Stream& stream);
  void Fail(Stream& stream);

  Loop& m_loop;
  const Clock& m_clock;
  EngineWeights& m_weights;
  ColdModel& m_cold;
  BatchOptions m_options;
  BatchStats m_stats;
  std::vector<std::shared_ptr<Stream>> m_running;
  // By descending priority, then by arrival.
  std::deque<std::shared_ptr<Stream>> m_queued;
  std::optional<WeightKey> m_loading;
  std::unique_ptr<Timer> m_timer;
  std::function<void()> m_on_overload_failure;
  bool m_is_stalled = false;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_ENGINE_BATCH_H_

// HTTP interface of the engine stand-in.

#ifndef PLANTAIN_ENGINE_STANDIN_H_
#define PLANTAIN_ENGINE_STANDIN_H_

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "clock.h"
#include "cold_model.h"
#include "engine_batch.h"
#include "engine_weights.h"
#include "prefix_cache.h"
#include "standin_base.h"

namespace plantain::standin {

struct EngineOptions {
  BatchOptions batch;
  ColdModel::Limits cold;
  PrefixCache::Options prefix;
  // Whether orders with an outdated fencing token are rejected.
  bool has_fences = true;
  // Whether digests are verified on staging and loading.
  bool is_verifying = true;
  // Whether an overload failure also unloads the weights.
  bool is_unloaded_by_overload = false;
  // Whether loading a base model makes the engine cold.
  bool is_cold_after_load = true;
  // Delay of the load values in `GET /status`; zero reports current values.
  Duration load_lag = Milliseconds(500);
  // Time to execute an order.
  Duration order_time = Milliseconds(200);
  // Time until the first token of a prompt whose prefix is not cached.
  Duration prefill_time = Milliseconds(40);
  // Length of the prompt prefix that the cache is keyed by.
  size_t prefix_bytes = 64;
  // Maximum number of distinct prompts in the ledger.
  size_t ledger_entries = 200'000;
};

// Handles the engine's HTTP requests. Not thread-safe: use on the loop's thread only.
class EngineStandin {
 public:
  EngineStandin(HttpStandin& standin, const Clock& clock, Random& random, EngineOptions options);

  void Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

  // Applies the engine's fields of `POST /control`.
  absl::Status Control(const nlohmann::json& fields);

 private:
  struct Order {
    uint64_t fence = 0;
    std::string type;
    WeightKey key;
    std::string manifest;
    std::string role;
    std::shared_ptr<HttpResponder> responder;
  };

  struct LoadSample {
    size_t in_flight = 0;
    size_t queued = 0;
  };

  struct Stats {
    uint64_t refused = 0;
    uint64_t begun_while_loading = 0;
    uint64_t late_admissions = 0;
    uint64_t orders_done = 0;
    uint64_t orders_failed = 0;
    uint64_t orders_fenced = 0;
    uint64_t order_answers_lost = 0;
    uint64_t staged_chunks = 0;
    uint64_t staged_bytes = 0;
    uint64_t rejected_chunks = 0;
  };

  void HandleCompletion(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void HandleStaging(const std::vector<std::string>& parts, HttpRequest request,
                     const std::shared_ptr<HttpResponder>& responder);
  void AcceptOrder(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void StartNextOrder();
  void FinishOrder(uint64_t incarnation);
  WeightResult ExecuteOrder(const Order& order);
  void AnswerOrder(const Order& order, WeightResult result);
  void Crash();
  void HandleOverloadFailure();
  void CountLateAdmission();
  void CountStarted(const std::string& prompt);
  std::string GetLedger() const;
  uint64_t MakeIncarnation();
  std::string GetState() const;
  nlohmann::json GetStatus() const;
  nlohmann::json GetStats();

  HttpStandin& m_standin;
  const Clock& m_clock;
  EngineOptions m_options;
  EngineWeights m_weights;
  ColdModel m_cold;
  PrefixCache m_prefixes;
  EngineBatch m_batch;
  uint64_t m_incarnation = 0;
  uint64_t m_orders = 0;
  uint64_t m_fence = 0;
  std::string m_role;
  // Orders run one at a time; the front one is in progress.
  std::deque<Order> m_order_queue;
  LoadSample m_sampled_load;
  LoadSample m_reported_load;
  std::unique_ptr<Timer> m_sample_timer;
  Stats m_stats;
  // Number of accepted requests for each prompt, by a hash of the prompt.
  std::unordered_map<std::string, uint32_t> m_ledger;
  // Injected faults.
  bool m_is_cold_hidden = false;
  uint64_t m_order_answers_to_lose = 0;
  Duration m_order_delay{};
  // Requests accepted after this time count as late admissions.
  std::optional<TimePoint> m_no_work_after;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_ENGINE_STANDIN_H_

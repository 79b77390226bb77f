// Options of the load tool and its deterministic sequence of requests.

#ifndef PLANTAIN_LOAD_PLAN_H_
#define PLANTAIN_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core_type.h"
#include "http_type.h"
#include "random.h"

namespace plantain::standin {

struct LoadModel {
  std::string model;
  std::string adapter;
};

struct LoadWorkspace {
  std::string name;
  double weight = 1;
};

// A call of a plain service. Calls that are not repeatable carry an idempotency key.
struct LoadCall {
  std::string service;
  std::string call;
  bool is_repeatable = true;
};

struct LoadOptions {
  std::vector<HttpTarget> targets;
  double rate = 10;
  double duration_s = 10;
  uint64_t seed = 1;
  // Part of every request id. Two runs against the same fleet need different values, or the second run would receive
  // the recorded answers of the first.
  std::string run = "load";
  size_t threads = 2;
  std::vector<LoadModel> models;
  std::vector<LoadWorkspace> workspaces;
  // Number of distinct prompt prefixes.
  size_t prompts = 100;
  size_t prompt_bytes = 96;
  uint32_t min_tokens = 16;
  uint32_t max_tokens = 16;
  double stream_share = 1;
  double service_share = 0;
  std::string service;
  std::string once_call;
  std::string repeat_call;
  // Share of `once_call` among service calls.
  double once_share = 0.5;
  uint32_t retries = 0;
  bool is_ignoring_retry_after = false;
  Duration retry_pause{};
  // Zero means that no deadline is sent.
  Duration deadline{};
  Duration timeline{};
  // Manifest digests in hex that answers may come from; empty allows all.
  std::vector<std::string> manifests;
  uint32_t priority = 0;
  // Services and engines whose ledgers are compared with the outcomes that clients received.
  std::vector<HttpTarget> ledgers;
};

// One logical request. Client retries send it again with the same id.
struct LoadRequest {
  std::string id;
  size_t workspace = 0;
  bool is_service = false;
  // Completions only.
  LoadModel model;
  std::string prompt;
  uint32_t tokens = 0;
  bool is_streaming = false;
  // Service calls only.
  LoadCall call;
  std::string body;
};

// Parses `name[:weight],...`.
absl::StatusOr<std::vector<LoadWorkspace>> ParseWorkspaces(const std::string& text);

// Parses `ip:port,...`.
absl::StatusOr<std::vector<HttpTarget>> ParseTargets(const std::string& text);

// Parses `model[:adapter],...`.
std::vector<LoadModel> ParseModels(const std::string& text);

// Parses `n` or `low-high`.
absl::Status ParseTokens(const std::string& text, LoadOptions& options);

// Generates the requests of one thread. Equal options and thread numbers give equal requests and arrival times.
class LoadPlan {
 public:
  LoadPlan(const LoadOptions& options, size_t thread);

  // Returns the time from one arrival to the next. Arrivals form a Poisson process.
  Duration GetNextInterarrivalTime();

  LoadRequest MakeNextRequest();

 private:
  size_t ChooseWorkspace();

  const LoadOptions& m_options;
  size_t m_thread;
  SeededRandom m_random;
  double m_total_weight = 0;
  uint64_t m_count = 0;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_LOAD_PLAN_H_

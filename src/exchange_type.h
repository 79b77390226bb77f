// Interface between the control thread and chunk transfer: fetch requests, staging state and progress.

#ifndef PLANTAIN_EXCHANGE_TYPE_H_
#define PLANTAIN_EXCHANGE_TYPE_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "engine_gate.h"
#include "placement.h"

namespace plantain {

// One set of weights to fetch, or to cache for peers.
struct ExchangeWant {
  WeightSlot slot;
  Digest manifest;
  // All VMs that need the weights, including this one.
  std::vector<WeightPeer> peers;
  // Zone whose chunk owners fetch from the origin.
  ZoneName origin_fetch_zone;
  bool is_urgent = false;
  // False once the engine has loaded the weights; then the chunks are cached only for peers.
  bool is_needed = true;

  bool operator==(const ExchangeWant&) const = default;
};

// All weights that chunk transfer works on. Replaces the previous goal.
struct ExchangeGoal {
  // Ordered by when they are needed.
  std::vector<ExchangeWant> wants;
  // Whether live requests are in progress; they take precedence over chunk transfer.
  bool has_live_requests = false;
};

// Chunks in the staging area of the engine, as last reported by it.
struct StagingState {
  // Manifest to stage; empty for none.
  Digest target;
  Incarnation incarnation;
  // Manifest currently in the staging area.
  Digest staged_manifest;
  std::string staged_bits;
};

// Transfer progress of one manifest.
struct ExchangeProgress {
  // 0 until the manifest is known.
  size_t chunk_count = 0;
  // Verified chunks that are either cached here or staged in the engine.
  size_t verified = 0;
  // True once all chunks have been staged in the engine.
  bool is_staged = false;
};

using ProgressMap = std::map<Digest, ExchangeProgress>;

// Fetches, caches, uploads and stages chunks. Called on the control thread.
class WeightExchange {
 public:
  virtual ~WeightExchange() = default;

  virtual void SetGoal(ExchangeGoal goal) = 0;
  virtual void SetStagingState(StagingState state) = 0;

  // Calls `listener` on the control thread after the progress has changed, rate-limited to once per short period.
  virtual void SetProgressListener(std::function<void(const ProgressMap&)> listener) = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_EXCHANGE_TYPE_H_

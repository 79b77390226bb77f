// A fleet of agents that exchange chunks in virtual time, for tests and measurements of the chunk plan.

#ifndef PLANTAIN_EXCHANGE_SIM_H_
#define PLANTAIN_EXCHANGE_SIM_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "chunk_plan.h"
#include "transfer_rate.h"
#include "upload_queue.h"

namespace plantain::standin {

// What is simulated. Rates are in bytes/s.
struct ExchangeSimOptions {
  uint64_t seed = 1;
  size_t zones = 1;
  // VMs over all zones.
  size_t vms = 15;
  size_t chunks = 128;
  uint32_t chunk_bytes = 64 * 1024;
  double machine_rate = 2e6;
  double origin_rate = 4e6;
  // From one zone to all others together.
  double shared_rate = 6e6;
  Duration delay = Milliseconds(1);
  Duration hedge_time = Milliseconds(500);
  // Share of transfers between VMs whose bytes arrive damaged.
  double corrupt_share = 0;
  // Share of VMs that send nothing once half of the ideal time is over.
  double stalled_share = 0;
  // Share of VMs that die once half of the ideal time is over.
  double killed_share = 0;
  // Time at which the origin stops answering; negative for never.
  double origin_down_s = -1;
  // Bounds the simulated time.
  double limit_s = 600;
  ChunkPlanOptions plan;
};

struct ExchangeSimResult {
  // Time until the last VM that is alive had all chunks; negative if one did not.
  double seconds = -1;
  // Time that these links allow at best.
  double ideal_seconds = 0;
  // Bytes sent by the origin and between zones, in copies of the weights.
  double origin_copies = 0;
  double shared_copies = 0;
  // Bytes that arrived for nothing, in copies for each VM.
  double wasted_copies = 0;
  size_t finished = 0;
  size_t alive = 0;
  // Most sources of any VM.
  size_t max_sources = 0;
};

// Runs one exchange from empty VMs to the end.
ExchangeSimResult RunExchangeSim(const ExchangeSimOptions& options);

}  // namespace plantain::standin

#endif  // PLANTAIN_EXCHANGE_SIM_H_

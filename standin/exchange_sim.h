// Discrete-event simulation of agents that exchange chunks, for tests and benchmarks of the chunk plan.

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

// Rates are in bytes/s.
struct ExchangeSimOptions {
  uint64_t seed = 1;
  size_t zones = 1;
  // Number of VMs in all zones together.
  size_t vms = 15;
  size_t chunks = 128;
  uint32_t chunk_bytes = 64 * 1024;
  double machine_rate = 2e6;
  double origin_rate = 4e6;
  // Outgoing rate of a zone to all other zones together.
  double shared_rate = 6e6;
  Duration delay = Milliseconds(1);
  Duration hedge_time = Milliseconds(500);
  // Share of transfers between VMs whose bytes arrive corrupt.
  double corrupt_share = 0;
  // Share of VMs that stop sending after half of the ideal time.
  double stalled_share = 0;
  // Share of VMs that fail after half of the ideal time.
  double killed_share = 0;
  // Time at which the origin becomes unavailable; negative means never.
  double origin_down_s = -1;
  // Maximum simulated time.
  double limit_s = 600;
  ChunkPlanOptions plan;
};

struct ExchangeSimResult {
  // Time until all surviving VMs had all chunks; negative if at least one did not finish.
  double seconds = -1;
  // Lower bound of the time, given the link rates.
  double ideal_seconds = 0;
  // Bytes sent by the origin and between zones, as multiples of the weights' size.
  double origin_copies = 0;
  double shared_copies = 0;
  // Bytes that were received but not used, as multiples of the weights' size per VM.
  double wasted_copies = 0;
  size_t finished = 0;
  size_t alive = 0;
  // Largest number of sources of any VM.
  size_t max_sources = 0;
};

// Runs one exchange, starting with VMs that have no chunks, until all have finished or the time limit is reached.
ExchangeSimResult RunExchangeSim(const ExchangeSimOptions& options);

}  // namespace plantain::standin

#endif  // PLANTAIN_EXCHANGE_SIM_H_

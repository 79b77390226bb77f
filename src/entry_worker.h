// Worker of one traffic loop: HTTP server, connections to agents and request path.

#ifndef PLANTAIN_ENTRY_WORKER_H_
#define PLANTAIN_ENTRY_WORKER_H_

#include <atomic>
#include <memory>

#include "absl/status/status.h"
#include "attempt_channels.h"
#include "entry_traffic.h"
#include "http_drain.h"
#include "http_server.h"
#include "process.h"
#include "slo_counter.h"

namespace plantain {

// Construct, start and stop it while no loop is running. Use it on its loop otherwise, unless stated differently.
class EntryWorker {
 public:
  EntryWorker(ProcessParts& parts, Loop& loop, std::shared_ptr<CallerMemory> caller_memory, SloCounter& slo);
  ~EntryWorker();
  EntryWorker(const EntryWorker&) = delete;
  EntryWorker& operator=(const EntryWorker&) = delete;

  absl::Status Start();
  void Stop();

  // SetTable and BeginDrain post to the loop and are safe from any thread.
  void SetTable(std::shared_ptr<const RouteTable> table);
  // Begins the stop. `done` is called on the loop when no connection is left or the time is over.
  void BeginDrain(DrainTimes times, std::function<void()> done);

  // Returns the number of requests whose answers are not complete, as of the last tick. Safe from any thread.
  size_t GetInFlight() const { return m_in_flight; }

 private:
  void Tick();

  Loop& m_loop;
  const Clock& m_clock;
  SeededRandom m_random;
  std::unique_ptr<AttemptChannels> m_channels;
  std::unique_ptr<EntryTraffic> m_traffic;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<HttpDrain> m_drain;
  std::unique_ptr<Timer> m_timer;
  std::atomic<size_t> m_in_flight = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_ENTRY_WORKER_H_

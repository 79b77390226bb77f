// Server for attempts that entries send to the attempt port.

#ifndef PLANTAIN_ATTEMPT_SERVER_H_
#define PLANTAIN_ATTEMPT_SERVER_H_

#include <functional>
#include <memory>
#include <set>
#include <string_view>

#include "attempt_metrics.h"
#include "attempt_runner.h"
#include "channel.h"
#include "http_client.h"
#include "kernel.h"
#include "leave_handshake.h"
#include "loop.h"
#include "process.h"

namespace plantain {

struct AttemptServerOptions {
  IpAddress address;
  Port port;
  // Maximum time to wait for attempts in progress at shutdown.
  Duration drain_limit{};
  // Time without a message or heartbeat after which the connection of an entry is lost. Replies to its attempts cannot
  // be delivered from then on.
  Duration silence_timeout = std::chrono::seconds(10);
};

// Decodes attempt messages, dispatches them to the runner and sends its replies. Runs on one traffic loop; Start, Stop
// and BeginDrain must be called on the control thread.
//
// A drain ends when no attempt is in progress and all entries have replied to the notice that this agent leaves, so
// that no attempt can be on its way.
class AttemptServer : public Service, public Drainable {
 public:
  // Calls its argument on the control thread when the at-most-once service has no calls in progress; empty for an
  // engine.
  using DrainOnce = std::function<void(std::function<void()>)>;

  // `deps.send` is overwritten by this class.
  AttemptServer(Loop& traffic_loop, Loop& control_loop, ChannelContext& channels, AttemptServerOptions options,
                RunnerDeps deps, DrainOnce drain_once);

  absl::Status Start() override;
  void Stop() override;
  void BeginDrain(std::function<void()> done) override;

  // Stops accepting new attempts, for example when the VM list marks this VM as leaving. Thread-safe.
  void BeginLeaving();

 private:
  void OnMessage(const ConnectionId& from, std::string_view bytes);
  void OnTick();
  void AnnounceLeaving();
  void NotifyLeaving(const ConnectionId& connection);
  void FinishDrain();

  Loop& m_traffic_loop;
  Loop& m_control_loop;
  const Clock& m_clock;
  const AttemptServerOptions m_options;
  Admission& m_admission;
  AttemptMetrics& m_metrics;
  const DrainOnce m_drain_once;
  ServerChannel m_channel;
  AttemptRunner m_runner;
  std::unique_ptr<Timer> m_tick;
  // Connections that sent a message; they are notified when this agent leaves.
  std::set<ConnectionId> m_connections;
  LeaveHandshake m_leave;
  bool m_is_leaving = false;
  TimePoint m_drain_deadline;
  std::function<void()> m_on_drained;
};

}  // namespace plantain

#endif  // PLANTAIN_ATTEMPT_SERVER_H_

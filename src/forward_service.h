// Service that runs the forwarding path of an entry.

#ifndef PLANTAIN_FORWARD_SERVICE_H_
#define PLANTAIN_FORWARD_SERVICE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

#include "admin_http.h"
#include "fleet_mirror.h"
#include "fleet_relay.h"
#include "forward_traffic.h"
#include "http_drain.h"
#include "kernel.h"
#include "process.h"

namespace plantain {

// Runs the callers' HTTP server on the traffic loop. The control thread passes it fleet state and endpoint loads.
class ForwardService : public Service, public Drainable, public AdminSource, public BeaconSource {
 public:
  ForwardService(ProcessParts& parts, FleetMirror& mirror, FleetRelay& relay, const CallerProtocol& protocol);
  ~ForwardService() override;

  absl::Status Start() override;
  void Stop() override;
  void BeginDrain(std::function<void()> done) override;

  Readiness GetReadiness() const override;
  std::string GetStatusJson() const override;

  // Adds the request rate that this entry's callers offer to each pool.
  void FillBeacon(BeaconInfo& beacon) override;
  // Returns all agents from which a beacon was received, so that they learn the address of this entry.
  BeaconTargets GetBeaconTargets() const override;

 private:
  class HttpAttemptSender;

  void OnFleetUpdate(const std::shared_ptr<const FleetView>& fleet);
  void GreetAgents(const FleetView& fleet);
  void OnBeacon(const BeaconInfo& beacon);
  void TransferBeacons();
  EntryView MakeEntryView() const;
  void ShareState(std::map<PoolName, double> demand);
  void Tick();
  void OnCrash();
  // Sends what other entries need to know at once.
  void SendNews();
  void LogUnfinished() const;

  ProcessParts& m_parts;
  FleetMirror& m_mirror;
  FleetRelay& m_relay;
  Loop& m_loop;
  SeededRandom m_random;
  ForwardMetrics m_metrics;
  std::unique_ptr<HttpAttemptSender> m_sender;
  // Accessed only on the traffic loop while it runs.
  std::unique_ptr<ForwardTraffic> m_traffic;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<HttpDrain> m_drain;
  std::unique_ptr<Timer> m_tick_timer;
  // Requests in progress as of the last tick, for /status.
  std::atomic<size_t> m_in_flight = 0;
  // Guards the next five, which the traffic loop writes and the control thread reads.
  std::mutex m_beacon_mutex;
  std::map<PoolName, double> m_demand;
  std::map<PoolName, PriorityDemand> m_priority_demand;
  std::vector<ContentReport> m_content_reports;
  // When the content reports were made.
  TimePoint m_content_reports_at;
  StatementReport m_statement_report;
  PaceReport m_pace_report;
  // Addresses of engines to which this entry has announced itself. Accessed only on the control thread.
  std::set<VmId> m_greeted;
  // Loads received since the last transfer to the traffic loop. Accessed only on the control thread.
  std::vector<EndpointLoad> m_loads;
  // The same for reports about what endpoints state, by sender.
  std::vector<std::pair<VmId, StatementReport>> m_received_statement_reports;
  // The same for slow starts and the speed of endpoints.
  std::vector<std::pair<VmId, PaceReport>> m_received_pace_reports;
  // When news were last sent. Accessed only on the traffic loop.
  TimePoint m_news_sent_at;
  uint64_t m_transfer_number = 0;
  std::unique_ptr<Timer> m_load_timer;
  std::atomic<bool> m_is_draining = false;
};

}  // namespace plantain

#endif  // PLANTAIN_FORWARD_SERVICE_H_

// Sends beacons between processes and provides records to peers that cannot reach the platform's store.

#ifndef PLANTAIN_FLEET_RELAY_H_
#define PLANTAIN_FLEET_RELAY_H_

#include <functional>
#include <memory>
#include <vector>

#include "beacon_table.h"
#include "fleet_mirror.h"
#include "http_client.h"
#include "http_server.h"
#include "kernel.h"
#include "loop.h"
#include "metrics.h"
#include "record_pull_plan.h"
#include "udp_socket.h"

namespace plantain {

// Adds process-specific fields to each beacon. Implementations register themselves with the relay passed to their
// constructor.
class BeaconSource {
 public:
  virtual ~BeaconSource() = default;
  virtual void FillBeacon(BeaconInfo& beacon) = 0;
  // Returns additional recipients of the beacon.
  virtual BeaconTargets GetBeaconTargets() const = 0;
};

struct RelayOptions {
  VmId vm;
  ZoneName zone;
  bool is_entry = false;
  Incarnation incarnation;
  // Port used for beacons (UDP) and records (TCP) on all VMs.
  Port port;
  std::vector<VmId> seeds;
  Duration period{};
  // Number of entries up to which all entries of a zone read the store.
  size_t direct_readers = 0;
};

// Runs on the control thread.
class FleetRelay : public Service {
 public:
  FleetRelay(Loop& loop, MemoryBudget& answer_memory, std::shared_ptr<CallerMemory> caller_memory, const Clock& clock,
             Random& random, Metrics& metrics, FleetMirror& mirror, RelayOptions options);

  absl::Status Start() override;
  void Stop() override;

  const BeaconTable& GetBeacons() const { return m_beacons; }

  // Sets a handler for requests of peers; requests for which it returns nothing are handled as record requests.
  void SetContentHandler(std::function<std::optional<HttpResponse>(const HttpRequest&)> answer) {
    m_content_handler = std::move(answer);
  }

  // Fetches `target` from the content handler of a peer.
  void FetchContent(const VmId& peer, const std::string& target,
                    std::function<void(absl::StatusOr<HttpResponse>)> on_done);

  // Calls `listener` for each accepted beacon.
  void AddBeaconListener(std::function<void(const BeaconInfo&)> listener);

  // Sets how this entry pulls records: by the plan of a large zone in some role, or, if unset, as in a small zone,
  // where each entry reads the store. An agent finds out itself.
  void SetPullRole(std::optional<PullRole> role) { m_pull_role = role; }

  // Sends a beacon to all targets now.
  void SendNow();

  // Sends a beacon to all live entries of the own zone now.
  void SendNowToZone();

  // Sends a beacon to processes that may not know this one yet.
  void SendNowTo(const std::vector<VmId>& targets);

  // Sets the source that adds fields to each beacon. Call before Start.
  void SetBeaconSource(BeaconSource& source) { m_beacon_source = &source; }

  // Sets what entries state about their reading of the store. Call before Start.
  void SetStoreStatement(std::function<StoreStatement()> get) { m_get_store_statement = std::move(get); }

 private:
  struct LargeBatch {
    std::weak_ptr<HttpResponder> responder;
    TimePoint begun_at;
  };

  void OnDatagram(std::string_view data);
  void SendBeacons();
  void SendUrgentBeacon(const std::string& data);
  std::string MakeBeacon();
  void SendTo(const VmId& target, const std::string& data);
  void SendToAll(const std::vector<VmId>& targets, const std::string& data);
  void LogFaultyBeacon(std::string_view event, const VmId& vm, size_t bytes);
  void OnFleetChanged();
  HttpResponse HandleRecordRequest(const HttpRequest& request) const;
  void HandleRequest(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  // Returns whether one more large batch may be sent, and counts it.
  bool AdmitLargeBatch(const std::shared_ptr<HttpResponder>& responder);
  std::optional<PullRole> GetPullRole() const;
  RecordPullPlan& GetPlan(FleetTopic topic);
  PullStep DecidePull(FleetTopic topic, PullRole role);
  void PullByPlan(PullRole role);
  void PullIfBehind();
  void Pull(const VmId& from, FleetTopic topic);
  PullEnd OnRecordBatch(const VmId& from, FleetTopic topic, const absl::StatusOr<HttpResponse>& response);
  void CountReceived(const VmId& from, FleetTopic topic, size_t bytes);
  TopicState GetTopicState(FleetTopic topic) const;
  void ApplyEraBounds(FleetTopic topic, const TopicState& state);

  Loop& m_loop;
  MemoryBudget& m_answer_memory;
  const std::shared_ptr<CallerMemory> m_caller_memory;
  const Clock& m_clock;
  Metrics& m_metrics;
  FleetMirror& m_mirror;
  BeaconSource* m_beacon_source = nullptr;
  std::function<StoreStatement()> m_get_store_statement;
  const RelayOptions m_options;
  BeaconTable m_beacons;
  std::vector<std::function<void(const BeaconInfo&)>> m_listeners;
  std::function<std::optional<HttpResponse>(const HttpRequest&)> m_content_handler;
  std::unique_ptr<UdpSocket> m_socket;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<Timer> m_beacon_timer;
  std::unique_ptr<Timer> m_pull_timer;
  uint64_t m_sequence = 0;
  // Beacons sent because of their period or an operator's change.
  uint64_t m_regular_beacons = 0;
  // Whose turn it is to get a beacon: processes that exchange records, and those that the beacon source adds.
  RotatingTargets m_own_zone_targets;
  RotatingTargets m_other_targets;
  RotatingTargets m_urgent_targets;
  RotatingTargets m_added_own_zone_targets;
  RotatingTargets m_added_other_targets;
  // Beacons since the last log line about a faulty one.
  uint64_t m_faulty_beacons = 0;
  std::optional<TimePoint> m_faulty_logged_at;
  // Newest operator revision announced in a beacon.
  LogRevision m_announced_revision;
  // Time since which a peer has announced newer records; unset if no peer has.
  std::optional<TimePoint> m_behind_since;
  int m_pulls_in_flight = 0;
  std::optional<PullRole> m_pull_role;
  RecordPullPlan m_operator_plan;
  RecordPullPlan m_directory_plan;
  std::unique_ptr<Timer> m_plan_timer;
  // Connections whose large batch may not be sent completely yet.
  std::vector<LargeBatch> m_large_batches;
};

}  // namespace plantain

#endif  // PLANTAIN_FLEET_RELAY_H_

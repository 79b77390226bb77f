// Maintains the fleet state from records of the platform's topics, received from the store or from peers.

#ifndef PLANTAIN_FLEET_MIRROR_H_
#define PLANTAIN_FLEET_MIRROR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "clock.h"
#include "fleet_type.h"
#include "kernel.h"
#include "log_history.h"
#include "loop.h"
#include "record_mirror.h"
#include "snapshot.h"

namespace plantain {

// Topics of the platform's store that are replicated.
enum class FleetTopic {
  // Configuration and requests of operators.
  kOperator,
  // List of endpoints.
  kDirectory,
};

// Decoded record of an endpoint.
struct DirectoryEntry {
  EndpointInfo info;
  // Remaining cold time when the record was written.
  Duration cold_left{};

  bool operator==(const DirectoryEntry&) const = default;
};

// Decoded operator records.
struct OperatorState {
  std::shared_ptr<const RoutingDocument> routing;
  std::set<ZoneName> zones_out;
  std::map<ModelName, WeightVersion> wanted;
};

// Decodes records in the platform's format.
class FleetDecoder {
 public:
  virtual ~FleetDecoder() = default;

  // Decodes all operator records. `before` is the result of the last call; its routing is kept if no newer version is
  // found, so that the active configuration is never rolled back to an older version.
  virtual OperatorState DecodeOperator(const RecordMirror& records, const OperatorState& before) const = 0;

  // Decodes the record of an endpoint. Returns why, if the record describes no usable endpoint.
  virtual absl::StatusOr<DirectoryEntry> DecodeEndpoint(const std::string& key, const std::string& value) const = 0;

  // Whether two records of an endpoint are equal except for irrelevant fields.
  virtual bool IsSameEndpoint(const std::string& a, const std::string& b) const = 0;
};

// A result of a read that is older than this when it arrives was held up and does not show that the topic is followed.
inline constexpr Duration kMaxReadDelay = Milliseconds(500);

// Source of a batch of records.
enum class RecordOrigin { kStore, kPeer };

// Implements FleetSource. Runs on the control thread.
class FleetMirror : public Service, public FleetSource {
 public:
  FleetMirror(Loop& loop, const Clock& clock, const FleetDecoder& decoder, Duration version_change_limit);

  absl::Status Start() override;
  void Stop() override;

  std::shared_ptr<const FleetView> GetFleet() const override { return m_view.Get(); }
  void AddFleetListener(std::function<void(const std::shared_ptr<const FleetView>&)> listener) override;

  // Applies records in offset order. Afterwards all records before `complete_to` have been applied.
  void ApplyRecords(FleetTopic topic, std::vector<KeyedRecord> records, LogPosition complete_to, RecordOrigin origin);
  // Applies a full listing of a topic as of `end`.
  void ApplyListing(FleetTopic topic, std::vector<KeyedRecord> records, LogPosition end);
  // Applies the first listing after the store came back from an older copy, and the log's records from
  // GetRewindOffset() on, which may be none.
  void ApplyRestored(FleetTopic topic, std::vector<KeyedRecord> listing, LogPosition end, std::vector<KeyedRecord> log,
                     LogPosition complete_to);
  // Returns the offset from which the log must be read beside the first listing of an era: to see where a copy ends,
  // and to have something to compare with after the next restore. Nothing is returned for later listings.
  std::optional<LogOffset> GetRewindOffset(FleetTopic topic, LogPosition end) const;
  // Returns the offset from which a topic must be read again if that is earlier than `next`, else `next`.
  LogOffset TakeReadOffset(FleetTopic topic, LogOffset next);
  // Applies what a peer knows: facts about eras, and that all changes up to its revision have been applied.
  void AddEraBound(FleetTopic topic, const EraBound& bound);
  void RaiseRevision(FleetTopic topic, const LogRevision& revision);
  void SetStoreReachable(bool is_reachable);
  // Gives up what the store has lost in a restore and what has not been written again in time. Runs regularly.
  void ExpireLost();

  // Records that all operator requests made before `as_of` have been applied. Requests that arrive from then on, while
  // the topic is read without interruption, count as made when they arrive.
  void ConfirmOperatorRead(TimePoint as_of);
  // Records that requests may be made from now on without being received at once, because a read failed or was held up.
  void InterruptOperatorRead();

  // Records that a peer has received all operator requests made before `age` ago, as it stated in a beacon with its
  // revision of the topic. Used by a process that gets its records from peers.
  void ConfirmPeerRead(Duration age, const LogRevision& revision);
  // Returns the time since which operator requests may have been made without being received.
  Duration GetOperatorReadAge() const { return m_clock.GetNow() - m_operator_as_of; }

  // Sets whether this entry gets its records from a reader. A removal from a peer may then concern a record that lapsed
  // in an outage and can return.
  void SetStandby(bool is_standby) { m_is_standby = is_standby; }
  // Whether peers have read the store in a later era than this process. What the store has lost and what expires
  // therefore only shows in a read of its own.
  bool HasUnreadEra() const;

  // Applies the ages that a peer has sent. A peer may have received a request for a version earlier than this process,
  // or one that this process never receives because a newer request has replaced it in the store.
  void ApplyWantedAges(const std::vector<WantedAge>& ages);
  // Returns the known ages of the newest versions, to be sent to peers.
  std::vector<WantedAge> GetWantedAges() const;

  const RecordMirror& GetRecords(FleetTopic topic) const;

 private:
  // An endpoint whose record was removed, possibly only because it could not be renewed during an outage.
  struct LapsedEndpoint {
    DirectoryEntry entry;
    TimePoint expires_at;
  };

  // A topic and what is known of the store's eras in it.
  struct TopicMirror {
    explicit TopicMirror(RecordMirror::IsEquivalent is_equivalent) : records(std::move(is_equivalent)) {}

    RecordMirror records;
    LogHistory history;
    // When the topic was first read in the store's current era; unset once nothing is waited for.
    std::optional<TimePoint> era_seen_at;
    // Whether lost keys that the copy does not have were given up, and whether the store was taken as it is.
    bool has_expired_unlisted = false;
    bool has_accepted_store = false;
  };

  TopicMirror& GetTopic(FleetTopic topic);
  void OnEraSeen(FleetTopic topic, LogPosition end);
  void ExpireLost(FleetTopic topic);
  void OnExpired(FleetTopic topic, size_t keys);
  void ComparePeerRecord(FleetTopic topic, const KeyedRecord& record);
  void OnChanged(FleetTopic topic, RecordOrigin origin);
  void UpdateDirectory(RecordOrigin origin);
  void UpdateOperator(RecordOrigin origin);
  void RecordWantedVersions(const OperatorState& state, RecordOrigin origin);
  void AddWanted(const WantedWeights& wanted, std::string_view source);
  bool ApplyWantedAge(const WantedAge& age);
  bool IsFollowingOperator() const;
  void RecordRun();
  void Publish();
  void Tick();
  // Removes lapsed endpoints that were not listed again in time. Returns their number.
  size_t EvictLapsed();
  bool MayHaveLapsed(RecordOrigin origin) const;

  Loop& m_loop;
  const Clock& m_clock;
  const FleetDecoder& m_decoder;
  const Duration m_version_change_limit;
  TopicMirror m_operator;
  TopicMirror m_directory;
  OperatorState m_operator_state;
  bool m_has_operator_state = false;
  std::map<EndpointId, DirectoryEntry> m_endpoints;
  // Raw values that m_endpoints was decoded from; unchanged values are not decoded again.
  std::map<EndpointId, std::string> m_raw_values;
  std::map<EndpointId, LapsedEndpoint> m_lapsed;
  // Time until which all operator requests are known to have been received, and whether the topic has been read without
  // interruption since.
  TimePoint m_operator_as_of;
  bool m_is_operator_followed = false;
  // Last time at which the process is known to have run, and the end of its last standstill.
  TimePoint m_last_run_at;
  std::optional<TimePoint> m_resumed_at;
  // All requested versions, each model's oldest first; each one has its own deadline.
  std::vector<WantedWeights> m_wanted;
  bool m_is_store_reachable = false;
  bool m_had_store_outage = false;
  bool m_is_standby = false;
  TimePoint m_store_recovered_at;
  Snapshot<FleetView> m_view;
  std::vector<std::function<void(const std::shared_ptr<const FleetView>&)>> m_listeners;
  std::unique_ptr<Timer> m_tick_timer;
};

}  // namespace plantain

#endif  // PLANTAIN_FLEET_MIRROR_H_

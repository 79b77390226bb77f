// Keeps the fleet's state from records of the platform's topics, whether they come from the store or from a peer.

#ifndef PLANTAIN_FLEET_MIRROR_H_
#define PLANTAIN_FLEET_MIRROR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "clock.h"
#include "fleet_type.h"
#include "kernel.h"
#include "loop.h"
#include "record_mirror.h"
#include "snapshot.h"

namespace plantain {

// The topics that are followed.
enum class FleetTopic {
  // What operators ask for.
  kOperator,
  // Which endpoints there are.
  kDirectory,
};

// An endpoint's record as decoded.
struct DirectoryEntry {
  EndpointInfo info;
  // How much longer it was cold when the record was written.
  Duration cold_left{};
};

// What operators ask for, as decoded.
struct OperatorState {
  std::shared_ptr<const RoutingDocument> routing;
  std::set<ZoneName> zones_out;
  std::map<ModelName, WeightVersion> wanted;
};

// Decodes the records of the platform.
class FleetDecoder {
 public:
  virtual ~FleetDecoder() = default;

  // Decodes all operator records. `before` is the result of the last call; its routing is kept if no newer one is
  // found, so that a version once in force never goes back.
  virtual OperatorState DecodeOperator(const RecordMirror& records, const OperatorState& before) const = 0;

  // Decodes one endpoint's record. Returns nothing if it names no endpoint to use.
  virtual std::optional<DirectoryEntry> DecodeEndpoint(const std::string& key, const std::string& value) const = 0;

  // Whether two records of an endpoint differ only in what does not matter here.
  virtual bool IsSameEndpoint(const std::string& a, const std::string& b) const = 0;
};

// Where a batch of records comes from.
enum class RecordOrigin { kStore, kPeer };

// FleetSource on the control thread.
class FleetMirror : public Service, public FleetSource {
 public:
  FleetMirror(Loop& loop, const Clock& clock, const FleetDecoder& decoder, Duration version_time);

  absl::Status Start() override;
  void Stop() override;

  std::shared_ptr<const FleetView> GetFleet() const override { return m_view.Get(); }
  void AddFleetListener(std::function<void(const std::shared_ptr<const FleetView>&)> listener) override;

  // Takes records in the order of their offsets; everything before `complete_to` is known then.
  void TakeRecords(FleetTopic topic, std::vector<KeyedRecord> records, LogOffset complete_to, RecordOrigin origin);
  // Takes a whole listing of a topic.
  void TakeListing(FleetTopic topic, std::vector<KeyedRecord> records, LogOffset end);
  void SetStoreReachable(bool is_reachable);

  const RecordMirror& GetRecords(FleetTopic topic) const;

 private:
  // An endpoint whose record is gone but which may only have lapsed.
  struct Lapsed {
    DirectoryEntry entry;
    TimePoint until;
  };

  RecordMirror& GetMutable(FleetTopic topic);
  void OnChanged(FleetTopic topic, RecordOrigin origin);
  void UpdateDirectory(RecordOrigin origin);
  void UpdateOperator();
  void NoteWanted(const OperatorState& state);
  void Publish();
  void Tick();
  // Forgets endpoints that did not come back in time. Returns their number.
  size_t DropExpired();
  bool MayHaveLapsed(RecordOrigin origin) const;

  Loop& m_loop;
  const Clock& m_clock;
  const FleetDecoder& m_decoder;
  const Duration m_version_time;
  RecordMirror m_operator;
  RecordMirror m_directory;
  OperatorState m_operator_state;
  bool m_has_operator_state = false;
  std::map<EndpointId, DirectoryEntry> m_endpoints;
  // Raw values behind m_endpoints, to see which were decoded already.
  std::map<EndpointId, std::string> m_decoded;
  std::map<EndpointId, Lapsed> m_lapsed;
  // All versions named so far, oldest first; each one is due in its own time.
  std::vector<WantedWeights> m_wanted;
  bool m_is_store_reachable = false;
  bool m_was_store_lost = false;
  TimePoint m_regained_at;
  Snapshot<FleetView> m_view;
  std::vector<std::function<void(const std::shared_ptr<const FleetView>&)>> m_listeners;
  std::unique_ptr<Timer> m_tick_timer;
};

}  // namespace plantain

#endif  // PLANTAIN_FLEET_MIRROR_H_

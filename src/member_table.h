// Tracks which members exist and their states. Performs no I/O and reads the time only from the given clock.

#ifndef PLANTAIN_MEMBER_TABLE_H_
#define PLANTAIN_MEMBER_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "clock.h"
#include "member_heartbeat.h"
#include "member_type.h"
#include "vm_list.h"

namespace plantain {

struct MemberTableOptions {
  VmId self;
  IpAddress address;
  // Time without a heartbeat after which a member that is heard directly becomes suspect or dead.
  Duration suspect = std::chrono::seconds(3);
  Duration dead = std::chrono::seconds(10);
  // Maximum number of members that are known only by heartbeats. Bounds the memory that invalid messages can use.
  size_t max_unlisted = 1024;
};

// Result of processing a heartbeat.
enum class HeartbeatVerdict {
  kNew,
  kChanged,
  kAdvanced,
  // Not newer than the known state.
  kStale,
  // The detail that a brief heartbeat refers to is unknown. The caller should request it with a question.
  kDetailMissing,
  // A claim or question about this process itself, or about a member for which the table has a newer heartbeat. The
  // caller should answer it.
  kNeedsAnswer,
  // The incarnation is in the future, or the sequence is further ahead than the heartbeat rate allows.
  kRefusedFuture,
  // There are too many members outside the VM list.
  kRefusedFull,
  // The heartbeat claims to come from this process's own VM.
  kRefusedSelf,
};

// Members of the fleet as seen by one process.
//
// The VM list defines which members should exist and their addresses. Heartbeats report their state; silence and the
// claims of other observers indicate failed members. A member that is heard directly is judged by its silence alone. A
// member known through others is judged by their claims, because its heartbeats are relayed only on changes.
class MemberTable {
 public:
  MemberTable(const Clock& clock, MemberTableOptions options);

  // Sets the time-outs of silence. They depend on the heartbeat period, which grows with the size of the fleet.
  void SetTimeouts(Duration suspect, Duration dead);

  // Replaces the set of listed members.
  void SetVmList(const std::vector<VmListRow>& rows);

  // Sets the summaries of other zones, which become part of the view.
  void SetZoneSummaries(std::vector<ZoneSummaryInfo> zones);

  // Sets the address at which a seed answered with this id. Ignored for listed members: the VM list takes precedence.
  void SetSeedAddress(const VmId& vm, const IpAddress& address);

  // Sets the state that this process reports about itself.
  void SetSelf(const MemberHeartbeat& self);

  // Returns a member, or null if it is unknown. The pointer is valid until the table changes.
  const MemberInfo* FindMember(const VmId& vm) const;

  // Processes a heartbeat received from peer `from`.
  HeartbeatVerdict HandleHeartbeat(const MemberHeartbeat& heartbeat, const VmId& from);

  // Returns the newest heartbeat, in full, of the member that `question` asks about, or nullopt if it is not newer than
  // `question`.
  std::optional<MemberHeartbeat> AnswerQuestion(const MemberHeartbeat& question) const;

  // Returns up to `max` questions about members heard directly that have been silent for half the suspect time-out, and
  // about members that others recently claimed to be silent.
  std::vector<MemberHeartbeat> GetQuestions(size_t max) const;

  // Updates the states of members by their silence, and removes dead members that are not listed.
  void Tick();

  // Returns the number of the latest change to relay. It increases with each change.
  uint64_t GetChangeNumber() const { return m_change; }

  // A change to relay to peers.
  struct Change {
    uint64_t number = 0;
    MemberHeartbeat heartbeat;
    // Zone of the member. It determines which peers receive the change.
    ZoneName zone;
    // Peer from which the change was received; it is not relayed back.
    VmId from;
  };

  // Returns up to `max` changes with numbers above `number`, in order.
  std::vector<Change> GetChangesAfter(uint64_t number, size_t max) const;

  // Kind of the changes since the last call of MakeView.
  enum class PendingChange { kNone, kLoad, kState };
  PendingChange GetPendingChange() const { return m_pending_change; }

  std::shared_ptr<const MemberView> MakeView();

 private:
  struct Record {
    MemberInfo info;
    bool is_listed = false;
    bool is_listed_leaving = false;
    WallTime leaving_since{};
    bool has_heartbeat = false;
    bool has_detail = false;
    // Newest heartbeat received. Contains all fields once has_detail is set.
    MemberHeartbeat last_heartbeat;
    TimePoint last_heartbeat_at{};
    TimePoint last_direct_at{};
    TimePoint last_relayed_at{};
    bool is_direct = false;
    // Claim of another observer, and the sequence that a relayed heartbeat must exceed to refute it.
    std::optional<MemberState> claim;
    uint64_t claim_sequence = 0;
    TimePoint claimed_at{};
    uint64_t change = 0;
    VmId received_from;
  };

  bool IsNewer(const MemberHeartbeat& heartbeat, const Record& record) const;
  bool IsSequencePlausible(const MemberHeartbeat& heartbeat, const Record& record) const;
  HeartbeatVerdict HandleClaim(const MemberHeartbeat& claim, const VmId& from);
  HeartbeatVerdict Merge(const MemberHeartbeat& heartbeat, const VmId& from, Record& record);
  MemberState ComputeState(const Record& record) const;
  bool UpdateState(Record& record);
  void RemoveUnlisted();
  void MarkChanged(Record& record, const VmId& from);
  MemberHeartbeat MakeRelayedHeartbeat(const Record& record) const;

  const Clock& m_clock;
  MemberTableOptions m_options;
  std::map<VmId, Record> m_records;
  // Members from which a heartbeat was received. Only these are checked for silence.
  std::set<VmId> m_monitored;
  std::vector<ZoneSummaryInfo> m_zones;
  // Change number to member, for relaying changes in order.
  std::map<uint64_t, VmId> m_change_order;
  uint64_t m_change = 0;
  uint64_t m_generation = 0;
  size_t m_unlisted_count = 0;
  PendingChange m_pending_change = PendingChange::kState;
};

}  // namespace plantain

#endif  // PLANTAIN_MEMBER_TABLE_H_

// Publishes views of the member table and updates the table from the platform's VM list.

#ifndef PLANTAIN_MEMBER_SERVICE_H_
#define PLANTAIN_MEMBER_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "clock.h"
#include "kernel.h"
#include "loop.h"
#include "member_table.h"
#include "member_type.h"
#include "metrics.h"
#include "random.h"
#include "snapshot.h"
#include "vm_list.h"

namespace plantain {

struct MemberServiceOptions {
  MemberTableOptions table;
  ZoneName zone;
  // Minimum interval between two periodic reads of the VM list.
  Duration list_period{};
  // Interval between two checks for silent members.
  Duration tick_period{};
};

// All methods except GetMembers must be called on the control thread.
class MemberService : public Service, public MemberSource {
 public:
  MemberService(Loop& loop, const Clock& clock, Random& random, Metrics& metrics, VmListClient& list,
                MemberServiceOptions options);

  absl::Status Start() override;
  void Stop() override;

  std::shared_ptr<const MemberView> GetMembers() const override { return m_published.Get(); }
  void AddMemberListener(std::function<void(const std::shared_ptr<const MemberView>&)> listener) override;

  // Used by the peer service.
  MemberTable& GetTable() { return m_table; }

  // Publishes a new view if the table has changed. The rate is limited by the number of members, for changes of load
  // more than for changes of state.
  void PublishIfChanged();

  // Reads the VM list early, because a heartbeat came from a member that is not listed.
  void ReadListEarly();

  bool IsListKnown() const { return m_is_list_known; }

 private:
  void ScheduleListRead(Duration delay);
  void ReadList();
  void OnList(absl::StatusOr<VmListResult> result);
  void Tick();
  void UpdateStateMetrics(const MemberView& view);

  Loop& m_loop;
  const Clock& m_clock;
  Random& m_random;
  Metrics& m_metrics;
  VmListClient& m_list;
  const MemberServiceOptions m_options;
  MemberTable m_table;
  Snapshot<MemberView> m_published;
  std::vector<std::function<void(const std::shared_ptr<const MemberView>&)>> m_listeners;
  bool m_is_list_known = false;
  // Not set until the first read has completed, so that a failure of the first read is logged, too.
  std::optional<bool> m_is_list_reachable;
  bool m_is_reading_list = false;
  Duration m_list_interval{};
  size_t m_list_rows = 0;
  int m_list_failures = 0;
  TimePoint m_last_list_read{};
  TimePoint m_published_at{};
  std::unique_ptr<Timer> m_list_timer;
  std::unique_ptr<Timer> m_tick_timer;
};

}  // namespace plantain

#endif  // PLANTAIN_MEMBER_SERVICE_H_

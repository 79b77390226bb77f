#include "member_service.h"

#include <algorithm>
#include <array>
#include <map>

#include "event_log.h"
#include "failure_type.h"
#include "vm_list_sample.h"

namespace plantain {
namespace {

// Lists of up to this many VMs are read with the configured period.
constexpr size_t kMaxShortListRows = 64;
// Mean rate at which a longer list is read. The list of a fleet of 11,000 VMs is over 1 MB, and all control traffic of
// a VM must stay below 3 KB/s.
constexpr double kListBytesPerSecond = 500;
constexpr Duration kMaxListInterval = std::chrono::hours(1);
// Number of consecutive failed reads after which the interval no longer doubles: 32 times the period.
constexpr int kMaxBackoffSteps = 6;
// Minimum interval between two reads caused by unlisted members.
constexpr Duration kMinEarlyReadInterval = std::chrono::seconds(1);
constexpr int kEarlyReadDivisor = 10;

// Minimum interval between two views per member of the view, because publishing a view copies all members. For changes
// of state this gives 0.3 s at 1,000 members and 15 ms at 50.
constexpr Duration kStateIntervalPerMember = std::chrono::microseconds(300);
constexpr Duration kLoadIntervalPerMember = std::chrono::milliseconds(2);

constexpr std::array<std::string_view, 6> kStateNames = {"unknown", "starting", "serving",
                                                         "leaving", "suspect",  "dead"};

std::string GetStateName(MemberState state) { return std::string(kStateNames[static_cast<size_t>(state)]); }

}  // namespace

MemberService::MemberService(Loop& loop, const Clock& clock, Random& random, Metrics& metrics, VmListClient& list,
                             MemberServiceOptions options)
    : m_loop(loop),
      m_clock(clock),
      m_random(random),
      m_metrics(metrics),
      m_list(list),
      m_options(std::move(options)),
      m_table(clock, m_options.table),
      m_published(std::make_shared<MemberView>()),
      m_list_interval(m_options.list_period) {}

absl::Status MemberService::Start() {
  ScheduleListRead(Duration(0));
  m_tick_timer = m_loop.RunEvery(m_options.tick_period, [this] { Tick(); });
  return absl::OkStatus();
}

void MemberService::Stop() {
  m_list_timer.reset();
  m_tick_timer.reset();
}

void MemberService::AddMemberListener(std::function<void(const std::shared_ptr<const MemberView>&)> listener) {
  m_listeners.push_back(std::move(listener));
}

void MemberService::PublishIfChanged() {
  const MemberTable::PendingChange pending_change = m_table.GetPendingChange();
  if (pending_change == MemberTable::PendingChange::kNone) return;
  const TimePoint now = m_clock.GetNow();
  const auto size = static_cast<int64_t>(m_published.Get()->members.size());
  const bool is_load_only = pending_change == MemberTable::PendingChange::kLoad;
  if (now - m_published_at < size * (is_load_only ? kLoadIntervalPerMember : kStateIntervalPerMember)) return;
  m_published_at = now;
  const std::shared_ptr<const MemberView> view = m_table.MakeView();
  m_published.Set(view);
  UpdateStateMetrics(*view);
  for (const auto& listener : m_listeners) listener(view);
}

void MemberService::ReadListEarly() {
  const Duration interval = std::max<Duration>(kMinEarlyReadInterval, m_list_interval / kEarlyReadDivisor);
  if (m_is_reading_list || m_clock.GetNow() - m_last_list_read < interval) return;
  ScheduleListRead(Duration(0));
}

void MemberService::ScheduleListRead(Duration delay) {
  m_list_timer = m_loop.RunAfter(delay, [this] { ReadList(); });
}

void MemberService::ReadList() {
  if (m_is_reading_list) return;
  m_is_reading_list = true;
  m_last_list_read = m_clock.GetNow();
  m_list.Read([this](absl::StatusOr<VmListResult> result) {
    m_is_reading_list = false;
    OnList(std::move(result));
  });
}

void MemberService::OnList(absl::StatusOr<VmListResult> result) {
  if (m_is_list_reachable != result.ok()) {
    m_is_list_reachable = result.ok();
    if (result.ok()) {
      LogEvent(LogLevel::kInfo, "vm_list_reachable", {{"vms", result->rows.size()}});
    } else {
      LogEvent(LogLevel::kWarn, "vm_list_unreachable", {MakeFailureField(result.status())});
    }
  }
  m_metrics.GetGauge("vm_list_reachable", "Whether the last read of the VM list succeeded.").Set(result.ok() ? 1 : 0);
  m_list_interval = m_options.list_period;
  // Exponential backoff: a VM list that is overloaded by many readers gets slower if all of them retry immediately.
  m_list_failures = result.ok() ? 0 : std::min(m_list_failures + 1, kMaxBackoffSteps);
  for (int i = 1; i < m_list_failures; ++i) m_list_interval *= 2;
  if (result.ok()) {
    m_metrics.GetCounter("vm_list_bytes_total", "Bytes read from the VM list.")
        .Increment(static_cast<double>(result->size.Get()));
    const std::chrono::duration<double> paced_interval(static_cast<double>(result->size.Get()) / kListBytesPerSecond);
    if (!result->is_unchanged) m_list_rows = result->rows.size();
    if (m_list_rows > kMaxShortListRows) {
      m_list_interval = std::clamp(std::chrono::duration_cast<Duration>(paced_interval), m_options.list_period,
                                   std::max<Duration>(m_options.list_period, kMaxListInterval));
    }
    if (!result->is_unchanged) {
      m_table.SetVmList(SampleVmList(result->rows, m_options.table.self, m_options.zone));
    }
    m_is_list_known = true;
    PublishIfChanged();
  }
  // Jitter prevents processes that started at the same time from reading at the same time.
  ScheduleListRead(std::chrono::duration_cast<Duration>(m_list_interval * (0.5 + m_random.GetUnit())));
}

void MemberService::Tick() {
  m_table.Tick();
  PublishIfChanged();
}

void MemberService::UpdateStateMetrics(const MemberView& view) {
  std::map<MemberState, int> counts;
  for (size_t i = 0; i < kStateNames.size(); ++i) counts[static_cast<MemberState>(i)] = 0;
  for (const MemberInfo& member : view.members) ++counts[member.state];
  for (const auto& [state, count] : counts) {
    m_metrics.GetGauge("members", "Members with a known address by state.", {{"state", GetStateName(state)}})
        .Set(count);
  }
}

}  // namespace plantain

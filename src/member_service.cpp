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
constexpr size_t kShortList = 64;
// Mean rate at which a longer list is read. The list of a fleet of 11,000 VMs is over 1 MB, and all control traffic of
// a VM must stay below 3 KB/s.
constexpr double kListBytesPerSecond = 500;
constexpr Duration kMaxListPause = std::chrono::hours(1);
// Number of consecutive failed reads after which the interval no longer doubles: 32 times the period.
constexpr int kMaxBackoffSteps = 6;
// Minimum interval between two reads caused by unlisted members.
constexpr Duration kMinSoonPause = std::chrono::seconds(1);
constexpr int kSoonDivisor = 10;

// Minimum interval between two views per member of the view, because publishing a view copies all members. For changes
// of state this gives 0.3 s at 1,000 members and 15 ms at 50.
constexpr Duration kStateGapPerMember = std::chrono::microseconds(300);
constexpr Duration kLoadGapPerMember = std::chrono::milliseconds(2);

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
      m_list_pause(m_options.list_period) {}

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
  const MemberTable::Staleness staleness = m_table.GetStaleness();
  if (staleness == MemberTable::Staleness::kNone) return;
  const TimePoint now = m_clock.GetNow();
  const auto size = static_cast<int64_t>(m_published.Get()->members.size());
  const bool is_load_only = staleness == MemberTable::Staleness::kLoad;
  if (now - m_published_at < size * (is_load_only ? kLoadGapPerMember : kStateGapPerMember)) return;
  m_published_at = now;
  const std::shared_ptr<const MemberView> view = m_table.MakeView();
  m_published.Set(view);
  ReportStates(*view);
  for (const auto& listener : m_listeners) listener(view);
}

void MemberService::ReadListSoon() {
  const Duration pause = std::max<Duration>(kMinSoonPause, m_list_pause / kSoonDivisor);
  if (m_is_reading_list || m_clock.GetNow() - m_last_list_read < pause) return;
  ScheduleListRead(Duration(0));
}

void MemberService::ScheduleListRead(Duration delay) {
  m_list_timer = m_loop.RunAfter(delay, [this] { ReadList(); });
}

void MemberService::ReadList() {
  if (m_is_reading_list) return;
  m_is_reading_list = true;
  m_last_list_read = m_clock.GetNow();
  m_list.Read([this](absl::StatusOr<VmListAnswer> answer) {
    m_is_reading_list = false;
    OnList(std::move(answer));
  });
}

void MemberService::OnList(absl::StatusOr<VmListAnswer> answer) {
  if (m_is_list_reachable != answer.ok()) {
    m_is_list_reachable = answer.ok();
    if (answer.ok()) {
      LogEvent(LogLevel::kInfo, "vm_list_reachable", {{"vms", answer->rows.size()}});
    } else {
      LogEvent(LogLevel::kWarn, "vm_list_unreachable", {MakeFailureField(answer.status())});
    }
  }
  m_metrics.GetGauge("vm_list_reachable", "Whether the last read of the VM list succeeded.").Set(answer.ok() ? 1 : 0);
  m_list_pause = m_options.list_period;
  // Exponential backoff: a VM list that is overloaded by many readers gets slower if all of them retry immediately.
  m_list_failures = answer.ok() ? 0 : std::min(m_list_failures + 1, kMaxBackoffSteps);
  for (int i = 1; i < m_list_failures; ++i) m_list_pause *= 2;
  if (answer.ok()) {
    m_metrics.GetCounter("vm_list_bytes_total", "Bytes read from the VM list.")
        .Increment(static_cast<double>(answer->size.Get()));
    const std::chrono::duration<double> paced(static_cast<double>(answer->size.Get()) / kListBytesPerSecond);
    if (!answer->is_unchanged) m_list_rows = answer->rows.size();
    if (m_list_rows > kShortList) {
      m_list_pause = std::clamp(std::chrono::duration_cast<Duration>(paced), m_options.list_period,
                                std::max<Duration>(m_options.list_period, kMaxListPause));
    }
    if (!answer->is_unchanged) {
      m_table.SetVmList(SampleVmList(answer->rows, m_options.table.self, m_options.zone));
    }
    m_is_list_known = true;
    PublishIfChanged();
  }
  // Jitter prevents processes that started at the same time from reading at the same time.
  ScheduleListRead(std::chrono::duration_cast<Duration>(m_list_pause * (0.5 + m_random.GetUnit())));
}

void MemberService::Tick() {
  m_table.Tick();
  PublishIfChanged();
}

void MemberService::ReportStates(const MemberView& view) {
  std::map<MemberState, int> counts;
  for (size_t i = 0; i < kStateNames.size(); ++i) counts[static_cast<MemberState>(i)] = 0;
  for (const MemberInfo& member : view.members) ++counts[member.state];
  for (const auto& [state, count] : counts) {
    m_metrics.GetGauge("members", "Members with a known address by state.", {{"state", GetStateName(state)}})
        .Set(count);
  }
}

}  // namespace plantain

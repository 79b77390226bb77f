#include "config_service.h"

#include <algorithm>

#include "event_log.h"
#include "failure_type.h"

namespace plantain {
namespace {

constexpr char kStream[] = "config";
// Maximum number of records per read. A record contains at most one document of 1 MiB.
constexpr size_t kMaxRecords = 32;
constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(5);
// Minimum interval between two reads, in case the log answers long polls immediately.
constexpr Duration kMinReadInterval = std::chrono::milliseconds(5);
// Number of entries that may poll with the configured period. With more entries the duration of a long poll grows, so
// that 370 entries cause no more than about 32 reads/s. A longer poll does not delay a new record.
constexpr size_t kPollingEntries = 32;
constexpr Duration kMaxLongPoll = std::chrono::seconds(20);
constexpr Duration kMinCheckpointCheck = std::chrono::milliseconds(100);
constexpr Duration kMaxCheckpointCheck = std::chrono::seconds(30);
constexpr int kCheckpointChecksPerRetention = 100;
const std::vector<double> kLagBuckets = {0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 17, 30, 60};

}  // namespace

ConfigService::ConfigService(Loop& loop, const Clock& clock, Random& random, Metrics& metrics, LogClient& log,
                             const MemberSource& members, ConfigServiceOptions options)
    : m_loop(loop),
      m_clock(clock),
      m_random(random),
      m_metrics(metrics),
      m_log(log),
      m_members(members),
      m_options(std::move(options)),
      m_active_config(m_options.key),
      m_checkpoint_schedule(clock, m_options.vm, m_options.retention) {}

absl::Status ConfigService::Start() {
  m_metrics.GetGauge("config_version", "Version of the document in force.").Set(0);
  m_metrics.GetGauge("log_reachable", "Whether the platform's log answered the last read.").Set(0);
  // Agents wait for their peers first, so that a restarted fleet does not read the log all at the same time.
  const Duration first = m_options.is_entry ? Duration(0) : m_options.isolated_read_interval;
  ScheduleRead(std::chrono::duration_cast<Duration>(first * m_random.GetUnit()));
  if (!m_options.is_entry) return absl::OkStatus();
  const Duration check = m_options.retention / kCheckpointChecksPerRetention;
  m_checkpoint_timer =
      m_loop.RunEvery(std::clamp(check, kMinCheckpointCheck, kMaxCheckpointCheck), [this] { WriteCheckpointIfDue(); });
  return absl::OkStatus();
}

void ConfigService::Stop() {
  m_read_timer.reset();
  m_checkpoint_timer.reset();
}

void ConfigService::AddConfigListener(std::function<void(const std::shared_ptr<const ConfigView>&)> listener) {
  m_listeners.push_back(std::move(listener));
}

absl::Status ConfigService::AdoptConfigOffer(const ConfigRefInfo& ref, std::string_view text) {
  const ConfigVersion before = m_active_config.GetVersion();
  absl::Status status = m_active_config.AdoptOffer(ref, text);
  if (status.ok() && m_active_config.GetVersion() > before) PublishConfig("peer");
  return status;
}

void ConfigService::ScheduleRead(Duration delay) {
  m_read_timer = m_loop.RunAfter(delay, [this] { ReadLog(); });
}

void ConfigService::ReadLog() {
  // An agent continues from the newer document received from peers instead of folding the records before it.
  if (!m_options.is_entry && m_active_config.GetVersion() > m_fold.GetVersion())
    m_fold.StartFrom(m_active_config.GetView());
  const Duration wait = m_options.is_entry ? GetLongPollDuration() : Duration(0);
  m_log.Read(kStream, m_fold.GetNextOffset(), kMaxRecords, wait,
             [this](absl::StatusOr<LogBatch> batch) { OnBatch(std::move(batch)); });
}

void ConfigService::OnBatch(absl::StatusOr<LogBatch> batch) {
  SetLogReachable(batch.status());
  if (!batch.ok()) {
    ScheduleRead(GetDelayAfterFailure());
    return;
  }
  m_failures = 0;
  const LogOffset before = m_fold.GetNextOffset();
  const std::vector<FoldStep> steps = m_fold.ApplyBatch(*batch);
  ReportSteps(steps, *batch);
  // Log implementations differ in whether X-Next-Offset is the end of the stream, so only an empty response is a
  // reliable sign of the end.
  const bool is_at_end = batch->records.empty() && steps.empty();
  if (is_at_end) StartFromPeersIfNeeded(*batch);
  if (m_active_config.AdoptFolded(m_fold.GetView())) PublishConfig("log");
  if (m_options.is_entry) WriteCheckpointIfDue();
  ScheduleRead(GetDelayAfterSuccess(m_fold.GetNextOffset() != before));
}

Duration ConfigService::GetDelayAfterSuccess(bool has_more) const {
  if (has_more || m_options.is_entry) return kMinReadInterval;
  const bool is_isolated =
      m_active_config.GetView() == nullptr || m_clock.GetNow() - m_last_peer_contact > m_options.peer_timeout;
  const Duration mean = is_isolated ? m_options.isolated_read_interval : m_options.read_interval;
  return std::chrono::duration_cast<Duration>(mean * (0.5 + m_random.GetUnit()));
}

Duration ConfigService::GetDelayAfterFailure() {
  m_failures = std::min(m_failures + 1, 10);
  const Duration backoff = std::min<Duration>(kMinBackoff * (1 << m_failures), kMaxBackoff);
  const Duration base = m_options.is_entry ? backoff : std::max<Duration>(backoff, m_options.isolated_read_interval);
  return std::chrono::duration_cast<Duration>(base * (0.5 + m_random.GetUnit()));
}

Duration ConfigService::GetLongPollDuration() const {
  const auto entries = static_cast<int64_t>(GetLiveEntries().size() / kPollingEntries);
  return std::min<Duration>(m_options.poll * std::max<int64_t>(1, entries),
                            std::max<Duration>(m_options.poll, kMaxLongPoll));
}

void ConfigService::ReportSteps(const std::vector<FoldStep>& steps, const LogBatch& batch) {
  for (const FoldStep& step : steps) {
    const std::string verdict(GetFoldVerdictName(step.verdict));
    m_metrics.GetCounter("config_fold_steps_total", "Steps of the fold of the log by verdict.", {{"verdict", verdict}})
        .Increment();
    const bool is_routine = step.verdict == FoldVerdict::kDuplicate || step.verdict == FoldVerdict::kCheckpointIgnored;
    LogEvent(is_routine ? LogLevel::kDebug : LogLevel::kInfo, "config_record",
             {{"verdict", verdict},
              {"offset", step.offset},
              {"version", step.version},
              {"publish_id", step.publish_id},
              {"reason", GetFailureText(step.status)}});
    if (step.verdict != FoldVerdict::kAccepted) continue;
    for (const LogRecord& record : batch.records) {
      if (record.offset != step.offset) continue;
      const std::chrono::duration<double> lag = m_clock.GetWallTime() - record.time;
      m_metrics
          .GetHistogram("config_adoption_lag_seconds", "Time from the log's acceptance to adoption here.", kLagBuckets)
          .Observe(std::max(0.0, lag.count()));
    }
  }
}

void ConfigService::StartFromPeersIfNeeded(const LogBatch& batch) {
  const auto& view = m_active_config.GetView();
  if (m_fold.IsStarted() || view == nullptr) return;
  // Safe only if no publish after the document in force can have expired.
  if (view->publish_offset.Next() < batch.first_offset) return;
  m_fold.StartFrom(view);
  LogEvent(LogLevel::kInfo, "config_fold_started_from_peer", {{"version", view->version}});
}

void ConfigService::WriteCheckpointIfDue() {
  if (!m_fold.IsStarted() || !IsLogReachable()) return;
  if (!m_checkpoint_schedule.IsDue(m_fold.GetNewestStart(), GetLiveEntries())) return;
  std::optional<std::string> record = m_fold.MakeCheckpoint(m_options.vm.Get());
  if (!record.has_value()) return;
  m_checkpoint_schedule.RecordAttempt();
  LogEvent(LogLevel::kInfo, "config_carry_written", {{"version", m_fold.GetVersion()}});
  m_log.Append(kStream, *std::move(record), [this](const absl::StatusOr<LogOffset>& offset) {
    const std::string result = offset.ok() ? "ok" : std::string(GetFailureName(GetFailureCode(offset.status())));
    m_metrics.GetCounter("config_carries_total", "Carry records written by result.", {{"result", result}}).Increment();
  });
}

std::vector<VmId> ConfigService::GetLiveEntries() const {
  std::vector<VmId> entries;
  const std::shared_ptr<const MemberView> view = m_members.GetMembers();
  for (const MemberInfo& member : view->members) {
    const bool is_failed = member.state == MemberState::kDead || member.state == MemberState::kSuspect;
    if (member.kind == MemberKind::kEntry && !is_failed) entries.push_back(member.vm);
  }
  return entries;
}

void ConfigService::SetLogReachable(const absl::Status& status) {
  const bool is_reachable = status.ok();
  if (m_is_log_reachable.exchange(is_reachable) == is_reachable) return;
  m_metrics.GetGauge("log_reachable", "Whether the platform's log answered the last read.").Set(is_reachable ? 1 : 0);
  if (is_reachable) {
    LogEvent(LogLevel::kInfo, "log_reachable", {});
  } else {
    LogEvent(LogLevel::kWarn, "log_unreachable", {MakeFailureField(status)});
  }
}

void ConfigService::PublishConfig(const char* source) {
  const std::shared_ptr<const ConfigView> view = m_active_config.GetView();
  m_published.Set(view);
  m_metrics.GetGauge("config_version", "Version of the document in force.")
      .Set(static_cast<double>(view->version.Get()));
  m_metrics.GetCounter("config_adoptions_total", "Documents adopted by source.", {{"source", source}}).Increment();
  LogEvent(LogLevel::kInfo, "config_adopted",
           {{"version", view->version}, {"offset", view->publish_offset}, {"source", source}});
  for (const auto& listener : m_listeners) listener(view);
}

}  // namespace plantain

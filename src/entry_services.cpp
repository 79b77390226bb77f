#include "entry_services.h"

#include <utility>

#include "entry_worker.h"
#include "event_log.h"

namespace plantain {
namespace {

constexpr Duration kDrainPollInterval = Milliseconds(20);

}  // namespace

EntryService::EntryService(ProcessParts& parts, ConfigSource& config, MemberSource& members)
    : m_parts(parts), m_config(config), m_members(members), m_slo(parts.metrics, config) {
  for (const auto& loop : parts.traffic_loops) m_workers.push_back(std::make_shared<EntryWorker>(parts, *loop, m_slo));
  config.AddConfigListener([this](const std::shared_ptr<const ConfigView>&) { PublishTable(); });
  members.AddMemberListener([this](const std::shared_ptr<const MemberView>&) { PublishTable(); });
}

EntryService::~EntryService() = default;

absl::Status EntryService::Start() {
  for (const auto& worker : m_workers) {
    const absl::Status status = worker->Start();
    if (!status.ok()) return status;
  }
  PublishTable();
  return absl::OkStatus();
}

void EntryService::Stop() {
  m_drain_timer.reset();
  for (const auto& worker : m_workers) worker->Stop();
}

void EntryService::PublishTable() {
  const std::shared_ptr<const ConfigView> config = m_config.GetConfig();
  if (config == nullptr) return;
  const auto table = std::make_shared<const RouteTable>(config, *m_members.GetMembers(), m_parts.zone);
  LogEvent(LogLevel::kDebug, "route_table",
           {{"config_version", config->version},
            {"entries", table->GetEntryCount()},
            {"endpoints", table->GetEndpoints().size()},
            {"serving", table->GetVms().size()},
            {"candidates", table->GetCandidateCount()}});
  for (const auto& worker : m_workers) worker->SetTable(table);
}

void EntryService::BeginDrain(std::function<void()> done) {
  m_is_draining = true;
  m_on_drained = std::move(done);
  const Settings& settings = m_parts.settings;
  m_drain_deadline =
      m_parts.clock.GetNow() + settings.GetDuration("drain.notice_ms") + settings.GetDuration("drain.limit_ms");
  for (const auto& worker : m_workers) worker->CloseAfterAnswers();
  m_drain_timer = m_parts.control_loop.RunAfter(settings.GetDuration("drain.notice_ms"), [this] { StopAdmission(); });
}

void EntryService::StopAdmission() {
  for (const auto& worker : m_workers) worker->RefuseNewRequests();
  m_drain_timer = m_parts.control_loop.RunEvery(kDrainPollInterval, [this] { CheckDrained(); });
}

void EntryService::CheckDrained() {
  bool is_refusing = true;
  for (const auto& worker : m_workers) is_refusing = is_refusing && worker->IsRefusing();
  const bool is_past_deadline = m_parts.clock.GetNow() >= m_drain_deadline;
  if ((!is_refusing || GetInFlight() > 0) && !is_past_deadline) return;
  if (is_past_deadline) LogEvent(LogLevel::kWarn, "drain_limit_reached", {{"in_flight", GetInFlight()}});
  m_drain_timer->Cancel();
  const std::function<void()> done = std::exchange(m_on_drained, nullptr);
  if (done) done();
}

size_t EntryService::GetInFlight() const {
  size_t sum = 0;
  for (const auto& worker : m_workers) sum += worker->GetInFlight();
  return sum;
}

void RegisterEntryServices(Kernel& kernel, ProcessParts& parts) {
  kernel.Register("entry", [&parts](Kernel& k) {
    return std::make_unique<EntryService>(parts, k.Get<ConfigSource>("config"), k.Get<MemberSource>("members"));
  });
}

}  // namespace plantain

#include "entry_services.h"

#include <utility>

#include "entry_worker.h"
#include "event_log.h"

namespace plantain {
namespace {

// Time in which callers take the answers to requests that were given up.
constexpr Duration kAnswerTime = Milliseconds(500);

}  // namespace

EntryService::EntryService(ProcessParts& parts, ConfigSource& config, MemberSource& members)
    : m_parts(parts), m_config(config), m_members(members), m_slo(parts.metrics, config) {
  for (size_t i = 0; i < parts.traffic_loops.size(); ++i) {
    m_workers.push_back(
        std::make_shared<EntryWorker>(parts, *parts.traffic_loops[i], parts.traffic_caller_memory[i], m_slo));
  }
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
  const Duration notice = m_parts.settings.GetDuration("drain.notice_ms");
  const Duration give_up = notice + m_parts.settings.GetDuration("drain.limit_ms");
  const DrainTimes times{notice, notice, give_up, give_up, give_up + kAnswerTime};
  const auto waiting = std::make_shared<size_t>(m_workers.size());
  const auto finish_one = [waiting, done = std::move(done)] {
    if (--*waiting == 0) done();
  };
  for (const auto& worker : m_workers) {
    worker->BeginDrain(times, [this, finish_one] { m_parts.control_loop.Post(finish_one); });
  }
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

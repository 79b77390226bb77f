#include "forward_service.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "event_log.h"

namespace plantain {
namespace {

// Resolution of queue waits, inactivity timeouts and deadlines.
constexpr Duration kTickInterval = Milliseconds(10);
// What beacons say is passed to the traffic loop in batches of this period.
constexpr Duration kTransferInterval = Milliseconds(50);
// One batch in this many is passed although it brings no news of endpoints, because it tells which entries are live.
constexpr uint64_t kQuietTransferDivisor = 5;
// Time within which the load balancer detects that this process is no longer ready. It polls once a second and needs
// two failed checks.
constexpr Duration kDrainNotice = Milliseconds(2600);
// Time after the start of the drain from which idle keep-alive connections are closed.
constexpr Duration kIdleCloseDelay = Milliseconds(2200);
// Times before the end of the grace period: the last connections are accepted, requests without an answer are given up,
// and the process ends with what is left.
constexpr Duration kListenMargin = Milliseconds(1000);
constexpr Duration kGiveUpMargin = Milliseconds(400);
constexpr Duration kEndMargin = Milliseconds(200);

ForwardOptions ReadOptions(const ProcessParts& parts) {
  ForwardOptions options;
  options.balancer.self = parts.vm;
  options.balancer.zone = parts.zone;
  options.balancer.region = RegionName(parts.settings.GetText("vm.region"));
  options.balancer.learns_pace = parts.settings.GetFlag("balancer.learn_pace");
  options.retry_share = parts.settings.GetNumber("retry.share");
  options.retry_slack = parts.settings.GetNumber("retry.slack");
  options.version_change_limit = parts.settings.GetDuration("version.limit_ms");
  return options;
}

DrainTimes MakeDrainTimes(Duration grace) {
  return {kDrainNotice, kIdleCloseDelay, grace - kListenMargin, grace - kGiveUpMargin, grace - kEndMargin};
}

HttpLimits MakeLimits(const CallerLimits& limits) {
  return {limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout, limits.idle_timeout};
}

}  // namespace

// Sends attempts with an HTTP client on the traffic loop.
class ForwardService::HttpAttemptSender : public AttemptSender {
 public:
  HttpAttemptSender(Loop& loop, MemoryBudget& answer_memory) : m_http(loop, answer_memory) {}

  std::shared_ptr<HttpCall> Send(const HttpTarget& target, const HttpRequest& request, HttpCallOptions options,
                                 HttpCallbacks callbacks) override {
    return m_http.Send(target, request, options, std::move(callbacks));
  }

 private:
  HttpClient m_http;
};

ForwardService::ForwardService(ProcessParts& parts, FleetMirror& mirror, FleetRelay& relay,
                               const CallerProtocol& protocol)
    : m_parts(parts),
      m_mirror(mirror),
      m_relay(relay),
      m_loop(*parts.traffic_loops.front()),
      m_random(parts.random.GetBits()),
      m_metrics(parts.metrics),
      m_sender(std::make_unique<HttpAttemptSender>(m_loop, parts.answer_memory)),
      m_traffic(std::make_unique<ForwardTraffic>(parts.clock, m_random, protocol, *m_sender, parts.answer_memory,
                                                 m_metrics, ReadOptions(parts))) {
  const HttpTarget target = parts.settings.GetTarget("http.target");
  m_server = std::make_unique<HttpServer>(m_loop, parts.traffic_caller_memory.front(), target.address, target.port,
                                          CallerLimits().max_body_bytes,
                                          [this](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
                                            m_traffic->HandleHttp(std::move(request), responder);
                                          });
  m_server->SetLimits(MakeLimits(CallerLimits()));
  mirror.AddFleetListener([this](const std::shared_ptr<const FleetView>& fleet) { OnFleetUpdate(fleet); });
  relay.AddBeaconListener([this](const BeaconInfo& beacon) { OnBeacon(beacon); });
  relay.SetBeaconSource(*this);
}

ForwardService::~ForwardService() = default;

absl::Status ForwardService::Start() {
  if (absl::Status status = m_server->Start(); !status.ok()) return status;
  m_traffic->SetCrashListener([this] { OnCrash(); });
  m_tick_timer = m_loop.RunEvery(kTickInterval, [this] { Tick(); });
  m_load_timer = m_parts.control_loop.RunEvery(kTransferInterval, [this] { TransferBeacons(); });
  return absl::OkStatus();
}

void ForwardService::Stop() {
  m_tick_timer.reset();
  m_load_timer.reset();
  m_drain.reset();
  LogUnfinished();
  m_server.reset();
  m_traffic.reset();
}

// Announces this entry to the agents beside engines. They answer at once with what they keep for entries that start, so
// that it is known before the first requests are sent.
void ForwardService::GreetAgents(const FleetView& fleet) {
  if (fleet.routing == nullptr) return;
  std::set<PoolName> engine_pools;
  for (const PoolSpec& pool : fleet.routing->pools) {
    if (pool.engine.has_value()) engine_pools.insert(pool.name);
  }
  std::set<VmId> agents;
  for (const EndpointInfo& endpoint : fleet.endpoints) {
    if (engine_pools.contains(endpoint.pool)) agents.emplace(endpoint.target.address.Get());
  }
  std::vector<VmId> unknown;
  std::set_difference(agents.begin(), agents.end(), m_greeted.begin(), m_greeted.end(), std::back_inserter(unknown));
  m_greeted = std::move(agents);
  if (!unknown.empty()) m_relay.SendNowTo(unknown);
}

void ForwardService::OnFleetUpdate(const std::shared_ptr<const FleetView>& fleet) {
  GreetAgents(*fleet);
  m_loop.Post([this, fleet] {
    if (m_traffic == nullptr) return;
    if (fleet->routing != nullptr) m_server->SetLimits(MakeLimits(fleet->routing->limits));
    m_traffic->SetFleet(fleet);
  });
}

void ForwardService::OnBeacon(const BeaconInfo& beacon) {
  if (beacon.load.has_value()) m_loads.push_back(*beacon.load);
  // Not held back for the next batch: a request that crashes endpoints comes to the next entry within milliseconds.
  if (!beacon.content_reports.empty()) {
    m_loop.Post([this, from = beacon.vm, reports = beacon.content_reports] {
      if (m_traffic != nullptr) m_traffic->ApplyContentReports(from, reports);
    });
  }
  const StatementReport& report = beacon.statements;
  if (!report.statements.empty() || !report.grants.empty()) {
    m_received_statement_reports.emplace_back(beacon.vm, report);
  }
  if (!beacon.pace.starts.empty() || !beacon.pace.speeds.empty()) {
    m_received_pace_reports.emplace_back(beacon.vm, beacon.pace);
  }
}

void ForwardService::FillBeacon(BeaconInfo& beacon) {
  const std::lock_guard lock(m_beacon_mutex);
  beacon.demand = m_demand;
  beacon.priority_demand = m_priority_demand;
  beacon.content_reports = m_content_reports;
  AddAge(beacon.content_reports, m_parts.clock.GetNow() - m_content_reports_at);
  beacon.statements = m_statement_report;
  beacon.pace = m_pace_report;
}

BeaconTargets ForwardService::GetBeaconTargets() const { return m_relay.GetBeacons().GetAgents(); }

void ForwardService::TransferBeacons() {
  const bool is_due = ++m_transfer_number % kQuietTransferDivisor == 0;
  const bool has_reports = !m_received_statement_reports.empty() || !m_received_pace_reports.empty();
  const bool has_news = !m_loads.empty() || has_reports;
  if (!has_news && !is_due) return;
  m_loop.Post([this, view = MakeEntryView(), loads = std::exchange(m_loads, {}),
               statement_reports = std::exchange(m_received_statement_reports, {}),
               pace_reports = std::exchange(m_received_pace_reports, {})]() mutable {
    if (m_traffic == nullptr) return;
    view.entries.push_back({m_parts.vm, m_parts.zone, m_traffic->GetDemand(), m_traffic->GetPriorityDemand()});
    ShareState(view.entries.back().requests_per_s);
    m_traffic->SetEntries(std::move(view));
    for (const auto& [from, report] : statement_reports) m_traffic->ApplyStatementReport(from, report);
    for (const auto& [from, report] : pace_reports) m_traffic->ApplyPaceReport(from, report);
    m_traffic->OnLoad(loads);
  });
}

// Returns the other live entries, and which entries they and the agents name.
EntryView ForwardService::MakeEntryView() const {
  EntryView view;
  for (const BeaconInfo* beacon : m_relay.GetBeacons().GetLiveBeacons()) {
    view.named.insert(beacon->entries.begin(), beacon->entries.end());
    if (!beacon->is_entry) continue;
    view.entries.push_back({beacon->vm, beacon->zone, beacon->demand, beacon->priority_demand});
    const auto heard = std::find(beacon->entries.begin(), beacon->entries.end(), m_parts.vm);
    view.is_heard_by_all = view.is_heard_by_all && heard != beacon->entries.end();
  }
  return view;
}

// Logs what the end of the process cuts. Requests that callers expect answers to are listed by their ids.
void ForwardService::LogUnfinished() const {
  const size_t requests = m_traffic->GetInFlight();
  const size_t answers = m_server->GetInFlight();
  LogEvent(requests + answers > 0 ? LogLevel::kWarn : LogLevel::kInfo, "connections_left",
           {{"connections", m_server->GetConnectionCount()},
            {"unread", m_server->CountUnread()},
            {"answers", answers},
            {"requests", requests}});
  m_traffic->LogUnfinished();
}

// Makes the traffic loop's state available for beacons.
void ForwardService::ShareState(std::map<PoolName, double> demand) {
  std::vector<ContentReport> content_reports = m_traffic->GetContentReports();
  StatementReport statement_report = m_traffic->GetStatementReport();
  std::map<PoolName, PriorityDemand> priority_demand = m_traffic->GetPriorityDemand();
  PaceReport pace_report = m_traffic->GetPaceReport();
  const std::lock_guard lock(m_beacon_mutex);
  m_demand = std::move(demand);
  m_priority_demand = std::move(priority_demand);
  m_content_reports = std::move(content_reports);
  m_content_reports_at = m_parts.clock.GetNow();
  m_statement_report = std::move(statement_report);
  m_pace_report = std::move(pace_report);
}

void ForwardService::Tick() {
  m_traffic->CheckDue();
  if (m_drain != nullptr) m_drain->Tick();
  m_in_flight = std::max(m_traffic->GetInFlight(), m_server->GetInFlight());
  SendNews();
}

// An endpoint that ends loses many requests at once; the first one is news, and the next tick brings the others.
void ForwardService::OnCrash() {
  if (m_parts.clock.GetNow() - m_news_sent_at >= kTickInterval) SendNews();
}

void ForwardService::SendNews() {
  if (!m_traffic->TakeHasNews()) return;
  m_news_sent_at = m_parts.clock.GetNow();
  ShareState(m_traffic->GetDemand());
  m_parts.control_loop.Post([this] { m_relay.SendNow(); });
}

void ForwardService::BeginDrain(std::function<void()> done) {
  m_is_draining = true;
  const Duration grace = m_parts.settings.GetDuration("drain.grace_ms");
  // The grace period counts from the signal, however late the loop runs this.
  m_loop.Post([this, grace, now = m_parts.clock.GetNow(), done = std::move(done)] {
    if (m_traffic == nullptr) return;
    m_drain = std::make_unique<HttpDrain>(m_parts.clock, *m_server, *m_traffic, MakeDrainTimes(grace));
    m_drain->Begin(now, [this, done] { m_parts.control_loop.Post(done); });
  });
}

Readiness ForwardService::GetReadiness() const {
  if (m_is_draining) return {false, "leaving"};
  const std::shared_ptr<const FleetView> fleet = m_mirror.GetFleet();
  if (fleet->routing == nullptr) return {false, "no configuration received from the store or a peer"};
  if (!fleet->is_store_reachable) return {true, "ready, store unreachable"};
  return {true, "ready"};
}

std::string ForwardService::GetStatusJson() const {
  const std::shared_ptr<const FleetView> fleet = m_mirror.GetFleet();
  nlohmann::json status;
  status["vm"] = m_parts.vm.Get();
  status["zone"] = m_parts.zone.Get();
  status["incarnation"] = m_parts.incarnation.Get();
  status["draining"] = m_is_draining.load();
  status["config_version"] = fleet->routing == nullptr ? 0 : fleet->routing->version.Get();
  status["store_reachable"] = fleet->is_store_reachable;
  status["endpoints"] = fleet->endpoints.size();
  status["zones_out"] = nlohmann::json::array();
  for (const ZoneName& zone : fleet->zones_out) status["zones_out"].push_back(zone.Get());
  status["entries"] = m_relay.GetBeacons().GetEntries().size() + 1;
  status["in_flight"] = m_in_flight.load();
  return status.dump();
}

}  // namespace plantain

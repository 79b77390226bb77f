#include "entry_worker.h"

#include <algorithm>
#include <utility>

namespace plantain {
namespace {

// Resolution of deadlines, timeouts and backoffs. Shorter than the retry backoff, and long enough that the CPU cost is
// negligible.
constexpr Duration kTickInterval = Milliseconds(5);

TrafficOptions ReadTrafficOptions(const ProcessParts& parts) {
  const Settings& settings = parts.settings;
  TrafficOptions options;
  options.route.spill_limit = static_cast<uint32_t>(settings.GetInteger("route.spill"));
  options.route.load_cap = settings.GetNumber("route.load_cap");
  options.route.max_prefixes = static_cast<size_t>(settings.GetInteger("route.prefixes"));
  options.retry.max_attempts = static_cast<uint32_t>(settings.GetInteger("retry.max_attempts"));
  options.attempt.first_timeout = settings.GetDuration("attempt.first_ms");
  options.attempt.silence_timeout = settings.GetDuration("attempt.silence_ms");
  options.join.retention = settings.GetDuration("join.keep_ms");
  options.join.max_bytes = settings.GetBytes("join.max_bytes").Get();
  options.parse.default_deadline = settings.GetDuration("request.deadline_ms");
  options.retry_share = settings.GetNumber("retry.budget_share");
  options.retry_reserve = settings.GetNumber("retry.reserve");
  options.resume_reserve = settings.GetNumber("resume.reserve");
  options.max_unsent_bytes = settings.GetBytes("http.max_unsent_bytes").Get();
  options.loops = static_cast<size_t>(settings.GetInteger("traffic.threads"));
  options.join.max_bytes /= options.loops;
  options.zone = parts.zone;
  return options;
}

// A connection to an agent that stands still is kept until the agent counts as dead, since replies that the agent still
// sends cannot arrive on a new one.
ChannelOptions MakeChannelOptions(const Settings& settings) {
  ChannelOptions options;
  options.silence_timeout = settings.GetDuration("peer.dead_ms");
  return options;
}

}  // namespace

EntryWorker::EntryWorker(ProcessParts& parts, Loop& loop, std::shared_ptr<CallerMemory> caller_memory, SloCounter& slo)
    : m_loop(loop), m_clock(parts.clock), m_random(parts.random.GetBits()) {
  m_channels = std::make_unique<AttemptChannels>(
      loop, parts.channels, parts.settings.GetPort("attempt.port"), MakeChannelOptions(parts.settings),
      [this](const VmId& from, std::string_view message) { m_traffic->HandleMessage(from, message); },
      [this](const VmId& vm) { m_traffic->HandleEndpointGone(vm); },
      [this](const VmId& vm) { m_traffic->HandleEndpointSuspect(vm); });
  m_traffic = std::make_unique<EntryTraffic>(parts.clock, m_random, *m_channels, parts.metrics, parts.history, slo,
                                             ReadTrafficOptions(parts));
  const Bytes max_body = parts.settings.GetBytes("http.max_body_bytes");
  caller_memory->SetLargestRequest(HttpLimits().max_header_bytes, max_body.Get());
  m_server = std::make_unique<HttpServer>(loop, std::move(caller_memory), parts.address,
                                          parts.settings.GetPort("http.port"), max_body.Get(),
                                          [this](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
                                            m_traffic->HandleHttp(std::move(request), responder);
                                          });
}

EntryWorker::~EntryWorker() = default;

absl::Status EntryWorker::Start() {
  m_timer = m_loop.RunEvery(kTickInterval, [this] { Tick(); });
  return m_server->Start();
}

void EntryWorker::Stop() {
  m_timer.reset();
  m_drain.reset();
  m_server.reset();
  m_traffic.reset();
  m_channels.reset();
}

void EntryWorker::Tick() {
  m_traffic->CheckDue();
  if (m_drain != nullptr) m_drain->Tick();
  m_in_flight = std::max(m_traffic->GetInFlight(), m_server->GetInFlight());
}

void EntryWorker::SetTable(std::shared_ptr<const RouteTable> table) {
  m_loop.Post([this, table = std::move(table)] {
    if (m_traffic == nullptr) return;
    m_traffic->SetTable(table);
    m_channels->SetEndpoints(table->GetEndpoints());
  });
}

void EntryWorker::BeginDrain(DrainTimes times, std::function<void()> done) {
  m_loop.Post([this, times, now = m_clock.GetNow(), done = std::move(done)] {
    if (m_server == nullptr) return;
    m_drain = std::make_unique<HttpDrain>(m_clock, *m_server, *m_traffic, times);
    m_drain->Begin(now, done);
  });
}

}  // namespace plantain

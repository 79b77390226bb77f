#include "attempt_services.h"

#include <atomic>

#include "admission_service.h"
#include "attempt_server.h"
#include "engine_report.h"
#include "once_service.h"

namespace plantain {
namespace {

// While a probe is pending, no request above the cold limit is admitted. An engine that takes longer than this to
// report its state counts as not having answered.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);
constexpr int kStatusOk = 200;

bool IsPlainService(const ProcessParts& parts) { return parts.settings.GetText("engine.kind") == "service"; }

HttpTarget GetEngineTarget(const ProcessParts& parts) {
  return {parts.settings.GetAddress("engine.address"), parts.settings.GetPort("engine.port")};
}

Loop& GetTrafficLoop(ProcessParts& parts) { return *parts.traffic_loops.front(); }

std::unique_ptr<Service> MakeAdmission(Kernel& kernel, ProcessParts& parts) {
  AdmissionLimitOptions options;
  options.cold_limit = static_cast<uint32_t>(parts.settings.GetInteger("admission.cold_limit"));
  options.max_limit = static_cast<uint32_t>(parts.settings.GetInteger("admission.max_limit"));
  options.is_plain_service = IsPlainService(parts);
  options.relearn_after = parts.settings.GetDuration("admission.relearn_ms");
  const auto queue = static_cast<uint32_t>(parts.settings.GetInteger("admission.queue"));
  return std::make_unique<AdmissionService>(parts.control_loop, GetTrafficLoop(parts), parts.clock,
                                            parts.random.GetBits(), parts.metrics, kernel.Get<EngineSource>("engine"),
                                            options, queue);
}

std::unique_ptr<Service> MakeOnce(ProcessParts& parts) {
  OnceServiceOptions options;
  options.core.vm = parts.vm;
  options.core.incarnation = parts.incarnation;
  options.core.max_pending = static_cast<size_t>(parts.settings.GetInteger("once.max_pending"));
  options.core.max_outcome_bytes = parts.settings.GetBytes("once.outcome_bytes").Get();
  options.core.max_caller_wait = parts.settings.GetDuration("once.wait_ms");
  options.core.max_claim_age = parts.settings.GetDuration("once.claim_limit_ms");
  options.log = {parts.settings.GetAddress("platform.log_address"), parts.settings.GetPort("platform.log_port")};
  options.service = GetEngineTarget(parts);
  options.log_timeout = parts.settings.GetDuration("platform.timeout_ms");
  options.batch_period = parts.settings.GetDuration("once.batch_ms");
  options.poll = parts.settings.GetDuration("once.poll_ms");
  options.drain_limit = parts.settings.GetDuration("drain.limit_ms");
  return std::make_unique<OnceService>(parts.control_loop, parts.answer_memory, parts.clock, parts.random.GetBits(),
                                       parts.metrics, std::move(options));
}

// Returns a probe that fetches the engine's status on the traffic loop.
ProbeEngine MakeProbe(HttpClient& http, const HttpTarget& target) {
  return [&http, target](std::function<void(const std::optional<EngineStatus>&)> on_done) {
    HttpRequest request;
    request.method = "GET";
    request.target = "/status";
    HttpCallOptions options(kMaxEngineStatusBytes);
    options.timeout = kProbeTimeout;
    http.Fetch(target, request, options, [on_done = std::move(on_done)](const absl::StatusOr<HttpResponse>& response) {
      if (!response.ok() || response->status != kStatusOk) return on_done(std::nullopt);
      const absl::StatusOr<EngineReport> report = ParseEngineReport(response->body);
      on_done(report.ok() ? std::optional<EngineStatus>(report->status) : std::nullopt);
    });
  };
}

// Forwards calls to the at-most-once service on the control loop and returns answers to the traffic loop.
SubmitOnce MakeSubmit(OnceService& once, Loop& traffic_loop) {
  return [&once, &traffic_loop](OnceCall call, OnAnswer on_answer) {
    once.Submit(std::move(call), [&traffic_loop, on_answer = std::move(on_answer)](const OnceAnswer& answer) {
      traffic_loop.Post([on_answer, answer] { on_answer(answer); });
    });
  };
}

// The attempt server together with its metrics and HTTP client.
class AttemptsService : public Service, public Drainable, public Leavable {
 public:
  AttemptsService(Kernel& kernel, ProcessParts& parts)
      : m_metrics(parts.metrics),
        m_http(GetTrafficLoop(parts), parts.answer_memory),
        m_server(MakeServer(kernel, parts)) {
    if (IsPlainService(parts)) return;
    Admission& admission = kernel.Get<AdmissionService>("admission").GetAdmissionControl();
    admission.SetProbe(MakeProbe(m_http, GetEngineTarget(parts)));
  }

  absl::Status Start() override { return m_server.Start(); }
  void Stop() override { m_server.Stop(); }
  void BeginDrain(std::function<void()> done) override {
    m_is_leaving = true;
    m_server.BeginDrain(std::move(done));
  }
  void BeginLeaving() override {
    m_is_leaving = true;
    m_server.BeginLeaving();
  }
  bool IsLeaving() const override { return m_is_leaving; }

 private:
  AttemptServer MakeServer(Kernel& kernel, ProcessParts& parts) {
    const bool is_service = IsPlainService(parts);
    OnceService* once = is_service ? &kernel.Get<OnceService>("once") : nullptr;
    RunnerDeps runner{parts.clock,
                      kernel.Get<AdmissionService>("admission").GetAdmissionControl(),
                      kernel.Get<ConfigSource>("config"),
                      is_service ? nullptr : &kernel.Get<ServingGate>("gate"),
                      m_http,
                      GetEngineTarget(parts),
                      EndpointRole{parts.zone, is_service, ServiceName(parts.settings.GetText("engine.service"))},
                      is_service ? MakeSubmit(*once, GetTrafficLoop(parts)) : SubmitOnce(),
                      m_metrics,
                      parts.history,
                      nullptr};
    AttemptServer::DrainOnce drain_once;
    if (is_service) drain_once = [once](std::function<void()> done) { once->Drain(std::move(done)); };
    AttemptServerOptions options{parts.address, parts.settings.GetPort("attempt.port"),
                                 parts.settings.GetDuration("drain.limit_ms"),
                                 parts.settings.GetDuration("peer.dead_ms")};
    return AttemptServer(GetTrafficLoop(parts), parts.control_loop, parts.channels, std::move(options),
                         std::move(runner), std::move(drain_once));
  }

  AttemptMetrics m_metrics;
  HttpClient m_http;
  AttemptServer m_server;
  std::atomic<bool> m_is_leaving = false;
};

}  // namespace

void RegisterAttemptServices(Kernel& kernel, ProcessParts& parts) {
  kernel.Register("admission", [&parts](Kernel& k) { return MakeAdmission(k, parts); });
  if (IsPlainService(parts)) kernel.Register("once", [&parts](Kernel&) { return MakeOnce(parts); });
  kernel.Register("attempts", [&parts](Kernel& k) { return std::make_unique<AttemptsService>(k, parts); });
}

}  // namespace plantain

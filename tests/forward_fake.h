// Fakes for tests of the forwarding path: a routing document, endpoints, a sender that records calls, and a caller.

#ifndef PLANTAIN_TESTS_FORWARD_FAKE_H_
#define PLANTAIN_TESTS_FORWARD_FAKE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "caller_protocol.h"
#include "forward_traffic.h"

namespace plantain {

inline const PoolName kEnginePool("veil");
inline const PoolName kRegisterPool("register");
inline const ModelName kVeilModel("veil-1");

// Returns routes of host `h.example`: `/draft/` streams from engines, `/letter/` streams and cannot be resumed,
// `/seal/` must run at most once, `/look/` is idempotent.
inline std::shared_ptr<RoutingDocument> MakeForwardDocument() {
  auto document = std::make_shared<RoutingDocument>();
  document->version = ConfigVersion(7);
  RouteRule draft;
  draft.name = "draft";
  draft.host = "h.example";
  draft.path_prefix = "/draft/";
  draft.kind = RequestKind::kStream;
  draft.is_resumable = true;
  draft.timeout = Milliseconds(6000);
  draft.latency_target = Milliseconds(400);
  draft.attempts = 2;
  draft.targets = {{kEnginePool, 1}};
  RouteRule letter = draft;
  letter.name = "letter";
  letter.path_prefix = "/letter/";
  letter.is_resumable = false;
  letter.targets = {{kRegisterPool, 1}};
  RouteRule seal = draft;
  seal.name = "seal";
  seal.path_prefix = "/seal/";
  seal.kind = RequestKind::kOnce;
  seal.is_resumable = false;
  seal.timeout = Milliseconds(1000);
  seal.latency_target = Milliseconds(150);
  seal.attempts = 1;
  seal.targets = {{kRegisterPool, 1}};
  RouteRule look = seal;
  look.name = "look";
  look.path_prefix = "/look/";
  look.kind = RequestKind::kIdempotent;
  look.attempts = 2;
  document->routes = {draft, seal, look, letter};
  PoolSpec engines;
  engines.name = kEnginePool;
  engines.engine = EngineSpec{kVeilModel,
                              4,
                              96,
                              Bytes(24576),
                              30'600,
                              std::chrono::microseconds(6730),
                              std::chrono::microseconds(22),
                              std::chrono::microseconds(7),
                              960,
                              120};
  PoolSpec registers;
  registers.name = kRegisterPool;
  document->pools = {engines, registers};
  return document;
}

inline EndpointInfo MakeEndpoint(const std::string& id, const PoolName& pool, const std::string& zone,
                                 uint32_t slots = 4) {
  EndpointInfo info;
  info.id = EndpointId(id);
  info.pool = pool;
  info.target = {IpAddress("127.0.0.1"), Port(9000)};
  info.zone = ZoneName(zone);
  info.region = RegionName(zone);
  info.slots = slots;
  info.incarnation = Incarnation(1);
  if (pool == kEnginePool) info.loaded[kVeilModel] = WeightVersion(1);
  return info;
}

inline std::shared_ptr<FleetView> MakeFleet(std::vector<EndpointInfo> endpoints) {
  auto view = std::make_shared<FleetView>();
  view->routing = MakeForwardDocument();
  view->endpoints = std::move(endpoints);
  return view;
}

// Records the attempts that were sent. The test supplies the endpoints' responses.
class FakeAttemptSender : public AttemptSender {
 public:
  struct Sent : HttpCall {
    HttpRequest request;
    HttpCallOptions options{0};
    HttpCallbacks callbacks;
    bool is_cancelled = false;
    bool is_sent = true;
    bool is_on_kept_connection = false;

    void Cancel() override { is_cancelled = true; }
    bool IsSent() const override { return is_sent; }
    bool IsOnKeptConnection() const override { return is_on_kept_connection; }
    std::string GetField(std::string_view name) const { return std::string(request.headers.Find(name)); }
    std::string GetEndpoint() const { return GetField("Plantainmast-Expect-Instance"); }

    // Sends the status and header of the endpoint's response.
    void SendHead(int status, std::vector<std::pair<std::string, std::string>> fields) {
      HttpHeaders headers;
      headers.Add("Plantainmast-Attempt-Id", GetField("Plantainmast-Attempt-Id"));
      for (auto& [name, value] : fields) headers.Add(name, value);
      callbacks.on_head(status, headers);
    }
    void SendData(std::string_view data) { callbacks.on_data(data); }
    void FinishResponse(const absl::Status& status = absl::OkStatus()) { callbacks.on_done(status); }
    void BeginStream(const std::string& version = "1") {
      SendHead(200, {{"Plantainmast-Server-Stamp", "s"},
                     {"Content-Type", "text/event-stream"},
                     {"Plantainmast-Weight-Versions", version}});
    }
    void SendResponse(int status, const std::string& body) {
      SendHead(status, {{"Plantainmast-Server-Stamp", "s"}, {"Content-Length", std::to_string(body.size())}});
      SendData(body);
      FinishResponse();
    }
    void RefuseAsNotRun() {
      SendHead(503, {{"Plantainmast-Not-Executed", "1"}});
      FinishResponse();
    }
  };

  std::shared_ptr<HttpCall> Send(const HttpTarget&, const HttpRequest& request, HttpCallOptions options,
                                 HttpCallbacks callbacks) override {
    auto call = std::make_shared<Sent>();
    call->request = request;
    call->options = options;
    call->callbacks = std::move(callbacks);
    m_sent.push_back(call);
    return call;
  }

  Sent& At(size_t index) { return *m_sent.at(index); }
  size_t GetCount() const { return m_sent.size(); }

 private:
  std::vector<std::shared_ptr<Sent>> m_sent;
};

// Records what the caller received.
class FakeForwardCaller : public HttpResponder {
 public:
  void Send(HttpResponse response) override {
    status = response.status;
    headers = std::move(response.headers);
    body = std::move(response.body);
    is_complete = true;
  }
  void StartStream(int status_in, const HttpHeaders& headers_in) override {
    status = status_in;
    headers = headers_in;
  }
  void SendChunk(std::string data) override { body += data; }
  void EndStream() override { is_complete = true; }
  // Reports the close, as a connection does.
  void Abort() override {
    is_aborted = true;
    if (on_closed) std::exchange(on_closed, nullptr)();
  }
  void SetOnClosed(std::function<void()> callback) override { on_closed = std::move(callback); }
  size_t GetUnsentBytes() const override { return 0; }

  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool is_complete = false;
  bool is_aborted = false;
  std::function<void()> on_closed;
};

// Forwarding path of one entry with all its dependencies faked.
struct ForwardFixture {
  explicit ForwardFixture(std::vector<EndpointInfo> endpoints, ForwardOptions options = MakeOptions())
      : random(20261204), forward_metrics(metrics), fleet(MakeFleet(std::move(endpoints))) {
    traffic =
        std::make_unique<ForwardTraffic>(clock, random, protocol, sender, answer_memory, forward_metrics, options);
    traffic->SetFleet(fleet);
  }

  static ForwardOptions MakeOptions() {
    ForwardOptions options;
    options.balancer.zone = ZoneName("praha");
    options.balancer.region = RegionName("praha");
    options.retry_slack = 100;
    return options;
  }

  // Sends a caller's request to the entry. Returns the caller's side of the exchange.
  std::shared_ptr<FakeForwardCaller> SendRequest(const std::string& path, const std::string& deadline_ms,
                                                 std::vector<std::pair<std::string, std::string>> fields = {},
                                                 bool names_model = true) {
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.headers.Add("Host", "h.example");
    request.headers.Add("Plantainmast-Attempt-Id", "r" + std::to_string(++request_count));
    if (!deadline_ms.empty()) request.headers.Add("Plantainmast-Deadline-Ms", deadline_ms);
    if (path.starts_with("/draft/")) {
      if (names_model) request.headers.Add("Plantainmast-Model", kVeilModel.Get());
      request.headers.Add("Plantainmast-Token-Usage", "900,100");
    }
    for (auto& [name, value] : fields) request.headers.Add(name, value);
    auto caller = std::make_shared<FakeForwardCaller>();
    traffic->HandleHttp(std::move(request), caller);
    return caller;
  }

  // Sets the weight versions that operators want.
  void SetWanted(std::vector<WantedWeights> wanted) {
    fleet = std::make_shared<FleetView>(*fleet);
    fleet->wanted = std::move(wanted);
    traffic->SetFleet(fleet);
  }

  void AdvanceTime(Duration time) {
    constexpr Duration kStep = Milliseconds(10);
    for (Duration passed{}; passed < time; passed += kStep) {
      clock.Advance(kStep);
      traffic->CheckDue();
    }
  }

  VirtualClock clock;
  SeededRandom random;
  hosted::HostedCallerProtocol protocol;
  FakeAttemptSender sender;
  Metrics metrics;
  ForwardMetrics forward_metrics;
  std::shared_ptr<FleetView> fleet;
  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  std::unique_ptr<ForwardTraffic> traffic;
  int request_count = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_TESTS_FORWARD_FAKE_H_

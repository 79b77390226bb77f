// Test doubles for the request path: a configuration, members, a recording transport and a recording caller.

#ifndef PLANTAIN_TESTS_ENTRY_FAKE_H_
#define PLANTAIN_TESTS_ENTRY_FAKE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "attempt_client.h"
#include "config_type.h"
#include "entry_traffic.h"
#include "http_server.h"
#include "member_type.h"
#include "route_table.h"

namespace plantain {

inline const Digest kWeightsA{std::string(32, 'a')};
inline const Digest kWeightsB{std::string(32, 'b')};

// Returns a configuration with zones praha and brno in one region and fes in another, model "veil" with adapter
// "soft" in pool "gpu", and service "register" with the non-idempotent call "seal" and the idempotent call "look".
inline std::shared_ptr<ConfigView> MakeEntryConfig() {
  auto view = std::make_shared<ConfigView>();
  view->version = ConfigVersion(1);
  Document& document = view->document;
  document.zones = {{ZoneName("praha"), RegionName("cz"), true},
                    {ZoneName("brno"), RegionName("cz"), true},
                    {ZoneName("fes"), RegionName("ma"), true}};
  ModelSpec model;
  model.name = ModelName("veil");
  model.adapters.push_back({AdapterName("soft"), {}});
  document.models.push_back(model);
  PlacementSpec placement;
  placement.pool = PoolName("gpu");
  placement.model = ModelName("veil");
  placement.adapters.push_back({AdapterName("soft"), VersionName("1")});
  document.placements.push_back(placement);
  ServiceSpec service;
  service.name = ServiceName("register");
  service.pool = PoolName("plain");
  service.calls = {{"seal", false}, {"look", true}};
  document.services.push_back(service);
  WorkspaceSpec workspace;
  workspace.name = WorkspaceName("looms");
  workspace.weight = 1;
  workspace.requests_per_s = 10'000;
  workspace.concurrency = 10'000;
  workspace.tokens_per_s = 10'000'000;
  document.workspaces.push_back(workspace);
  return view;
}

inline MemberInfo MakeEngineMember(const std::string& vm, const std::string& zone, uint32_t limit = 8,
                                   const Digest& manifest = kWeightsA) {
  MemberInfo member;
  member.vm = VmId(vm);
  member.zone = ZoneName(zone);
  member.pool = PoolName("gpu");
  member.kind = MemberKind::kEndpoint;
  member.address = IpAddress("127.0.0.1");
  member.incarnation = Incarnation(1);
  member.state = MemberState::kServing;
  member.limit = limit;
  member.holdings = {{ModelName("veil"), AdapterName(), manifest, true, 1000}};
  return member;
}

inline MemberInfo MakeServiceMember(const std::string& vm, const std::string& zone) {
  MemberInfo member = MakeEngineMember(vm, zone);
  member.pool = PoolName("plain");
  member.service = ServiceName("register");
  member.holdings.clear();
  return member;
}

inline MemberInfo MakeEntryMember(const std::string& vm, const std::string& zone) {
  MemberInfo member = MakeEngineMember(vm, zone);
  member.kind = MemberKind::kEntry;
  member.holdings.clear();
  return member;
}

inline std::shared_ptr<const RouteTable> MakeTable(const std::shared_ptr<const ConfigView>& config,
                                                   const std::vector<MemberInfo>& members,
                                                   const std::string& own_zone = "praha") {
  MemberView view;
  view.members = members;
  return std::make_shared<const RouteTable>(config, view, ZoneName(own_zone));
}

inline const RouteKey kVeilModelKey{ModelName("veil"), AdapterName(), ServiceName()};

// Records sent messages. Sends to VMs marked unreachable fail.
class FakeTransport : public AttemptTransport {
 public:
  struct SentMessage {
    VmId to;
    proto::AttemptMessage message;
  };

  bool Send(const VmId& to, std::string_view bytes) override {
    if (m_unreachable.count(to) != 0) return false;
    SentMessage sent;
    sent.to = to;
    if (!sent.message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
    m_sent.push_back(std::move(sent));
    return true;
  }

  void SetUnreachable(const std::string& vm) { m_unreachable.insert(VmId(vm)); }

  // Returns all AttemptStart messages sent, oldest first.
  std::vector<std::pair<VmId, proto::AttemptStart>> GetStarts() const {
    std::vector<std::pair<VmId, proto::AttemptStart>> starts;
    for (const SentMessage& sent : m_sent) {
      if (sent.message.has_start()) starts.emplace_back(sent.to, sent.message.start());
    }
    return starts;
  }

  // Returns how many notices of a leaving agent were sent back.
  size_t CountLeaving() const {
    return static_cast<size_t>(std::count_if(m_sent.begin(), m_sent.end(),
                                             [](const SentMessage& sent) { return sent.message.has_leaving(); }));
  }

  std::vector<uint64_t> GetCancels() const {
    std::vector<uint64_t> cancels;
    for (const SentMessage& sent : m_sent) {
      if (sent.message.has_cancel()) cancels.push_back(sent.message.cancel().attempt());
    }
    return cancels;
  }

 private:
  std::vector<SentMessage> m_sent;
  std::set<VmId> m_unreachable;
};

inline std::string MakeToken(uint64_t attempt, uint32_t index, const std::string& text,
                             const Digest& manifest = Digest()) {
  proto::AttemptMessage message;
  message.mutable_token()->set_attempt(attempt);
  message.mutable_token()->set_index(index);
  message.mutable_token()->set_text(text);
  message.mutable_token()->set_manifest(manifest.Get());
  return message.SerializeAsString();
}

inline std::string MakeEnd(uint64_t attempt, uint32_t tokens, const std::string& body = "") {
  proto::AttemptMessage message;
  message.mutable_end()->set_attempt(attempt);
  message.mutable_end()->set_tokens(tokens);
  message.mutable_end()->set_status(200);
  message.mutable_end()->set_body(body);
  return message.SerializeAsString();
}

inline std::string MakeRefusal(uint64_t attempt, proto::RefusalReason reason, bool is_not_run,
                               uint32_t retry_after_ms = 0) {
  proto::AttemptMessage message;
  message.mutable_refused()->set_attempt(attempt);
  message.mutable_refused()->set_reason(reason);
  message.mutable_refused()->set_not_run(is_not_run);
  message.mutable_refused()->set_retry_after_ms(retry_after_ms);
  return message.SerializeAsString();
}

// Records the response sent to a caller.
class FakeCaller : public HttpResponder {
 public:
  void Send(HttpResponse response) override {
    m_status = response.status;
    m_body = response.body;
    m_headers = response.headers;
    m_is_complete = true;
  }
  void StartStream(int status, const HttpHeaders& headers) override {
    m_status = status;
    m_headers = headers;
  }
  void SendChunk(std::string data) override { m_body += data; }
  void EndStream() override { m_is_complete = true; }
  void Abort() override { m_is_aborted = true; }
  void SetOnClosed(std::function<void()> callback) override { m_on_closed = std::move(callback); }
  size_t GetUnsentBytes() const override { return m_unsent; }

  // Simulates the caller closing its connection.
  void Disconnect() {
    const auto callback = std::move(m_on_closed);
    m_on_closed = nullptr;
    if (callback) callback();
  }

  int m_status = 0;
  std::string m_body;
  HttpHeaders m_headers;
  bool m_is_complete = false;
  bool m_is_aborted = false;
  size_t m_unsent = 0;

 private:
  std::function<void()> m_on_closed;
};

// Provides no configuration, so that the default service-level objectives apply.
class FakeConfig : public ConfigSource {
 public:
  std::shared_ptr<const ConfigView> GetConfig() const override { return nullptr; }
  void AddConfigListener(std::function<void(const std::shared_ptr<const ConfigView>&)>) override {}
  bool IsLogReachable() const override { return true; }
};

// The request path of a traffic loop with virtual time and without sockets.
struct TrafficFixture {
  explicit TrafficFixture(TrafficOptions options = {}, uint64_t seed = 20261204)
      : random(seed),
        history(1000),
        slo(metrics, config),
        traffic(clock, random, transport, metrics, history, slo, options) {}

  static HttpRequest MakeCompletion(const std::string& id, const std::string& prompt, bool is_stream = true) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers.Add("X-Workspace", "looms");
    request.headers.Add("X-Request-Id", id);
    request.body = R"({"model":"veil","prompt":")" + prompt + R"(","max_tokens":3,"stream":)" +
                   (is_stream ? "true" : "false") + "}";
    return request;
  }

  static HttpRequest MakeCall(const std::string& id, const std::string& call, const std::string& body) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/services/register/" + call;
    request.headers.Add("X-Workspace", "looms");
    request.headers.Add("X-Request-Id", id);
    request.headers.Add("Idempotency-Key", "key-" + id);
    request.body = body;
    return request;
  }

  std::shared_ptr<FakeCaller> Send(const HttpRequest& request) {
    auto caller = std::make_shared<FakeCaller>();
    traffic.HandleHttp(request, caller);
    return caller;
  }

  // Advances the clock in the 5 ms ticks of a traffic loop.
  void AdvanceTime(Duration time) {
    for (Duration passed{}; passed < time; passed += Milliseconds(5)) {
      clock.Advance(Milliseconds(5));
      traffic.CheckDue();
    }
  }

  VirtualClock clock;
  SeededRandom random;
  FakeTransport transport;
  Metrics metrics;
  RequestHistory history;
  FakeConfig config;
  SloCounter slo;
  EntryTraffic traffic;
};

}  // namespace plantain

#endif  // PLANTAIN_TESTS_ENTRY_FAKE_H_

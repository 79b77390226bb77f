#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "ctl_type.h"
#include "engine_client.h"
#include "failure_type.h"
#include "forward_fake.h"
#include "loop_asio.h"
#include "loopback_address.h"
#include "manifest_type.h"
#include "once_service.h"
#include "plain_service.h"
#include "service_fake.h"
#include "store_client.h"
#include "vm_list.h"
#include "weight_http.h"

namespace plantain {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

const IpAddress kAddress = MakeLoopbackAddress(120);
const HttpTarget kLog{kAddress, Port(29985)};
const std::vector<std::string> kNoStatuses = {"000", "001", "099", "600", "999", "abc", "2000", "20"};

// A server that answers each request with the next status line, and further requests with the last one.
class StatusServer {
 public:
  StatusServer(Loop& loop, std::vector<std::string> statuses, const IpAddress& address = kAddress, Port port = Port(0))
      : m_context(loop.GetImpl().context),
        m_acceptor(m_context, tcp::endpoint(asio::ip::make_address(address.Get()), port.Get())),
        m_statuses(std::move(statuses)) {
    Accept();
  }

  HttpTarget GetTarget() const {
    return {IpAddress(m_acceptor.local_endpoint().address().to_string()), Port(m_acceptor.local_endpoint().port())};
  }
  size_t GetRequests() const { return m_requests; }
  size_t GetConnections() const { return m_connections; }

 private:
  struct Session {
    explicit Session(asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    std::string received;
  };

  void Accept() {
    auto session = std::make_shared<Session>(m_context);
    m_acceptor.async_accept(session->socket, [this, session](const ErrorCode& error) {
      if (error) return;
      ++m_connections;
      ReadHead(session);
      Accept();
    });
  }

  void ReadHead(const std::shared_ptr<Session>& session) {
    asio::async_read_until(session->socket, asio::dynamic_buffer(session->received), "\r\n\r\n",
                           [this, session](const ErrorCode& error, size_t size) {
                             if (error) return;
                             const std::string head = session->received.substr(0, size);
                             session->received.erase(0, size);
                             ReadBody(session, head);
                           });
  }

  void ReadBody(const std::shared_ptr<Session>& session, const std::string& head) {
    const std::string length = FindField(head, "Content-Length");
    const size_t size = length.empty() ? 0 : std::stoul(length);
    const size_t missing = size - std::min(size, session->received.size());
    asio::async_read(session->socket, asio::dynamic_buffer(session->received), asio::transfer_exactly(missing),
                     [this, session, head, size](const ErrorCode& error, size_t) {
                       if (error) return;
                       session->received.erase(0, size);
                       Answer(*session, head);
                       ReadHead(session);
                     });
  }

  void Answer(Session& session, const std::string& head) {
    const std::string& status = m_statuses.at(std::min(m_requests, m_statuses.size() - 1));
    ++m_requests;
    std::string answer = "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n";
    answer += "Plantainmast-Attempt-Id: " + FindField(head, "Plantainmast-Attempt-Id") + "\r\n";
    answer += "Plantainmast-Server-Stamp: s\r\nX-First-Offset: 0\r\nX-Next-Offset: 0\r\n\r\n";
    if (!head.starts_with("HEAD")) answer += "{}";
    ErrorCode ignored;
    asio::write(session.socket, asio::buffer(answer), ignored);
  }

  static std::string FindField(const std::string& head, const std::string& name) {
    const size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return "";
    const size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  const std::vector<std::string> m_statuses;
  size_t m_requests = 0;
  size_t m_connections = 0;
};

// The memory, loop and client that every test here needs.
struct ClientFixture {
  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  HttpClient client{loop, answer_memory};
  SystemClock clock;

  // Starts a call and runs the loop until it has reported its result.
  template <typename T, typename Start>
  T Await(const Start& start) {
    std::optional<T> result;
    start([&](T value) {
      result = std::move(value);
      loop.Stop();
    });
    RunUntilStopped(loop);
    REQUIRE(result.has_value());
    return *std::move(result);
  }

  absl::StatusOr<HttpResponse> Fetch(const HttpTarget& target) {
    return Await<absl::StatusOr<HttpResponse>>([&](auto done) {
      client.Fetch(target, HttpRequest{"GET", "/", {}, ""}, HttpCallOptions(1024), std::move(done));
    });
  }
};

// Guards against a status outside 100 to 599 that is taken for an answer, and against reuse of its connection.
TEST_CASE("HttpClient takes a status line without a valid status for no answer") {
  const std::string status = GENERATE(from_range(kNoStatuses));
  INFO("status " << status);
  ClientFixture fixture;
  StatusServer server(fixture.loop, {status});

  SECTION("a call that collects the answer fails, and the next one uses a new connection") {
    for (size_t calls = 1; calls <= 2; ++calls) {
      CHECK(GetFailureCode(fixture.Fetch(server.GetTarget()).status()) == FailureCode::kProtocol);
      CHECK(server.GetConnections() == calls);
    }
  }
  SECTION("a call that gets the answer piece by piece sees no head") {
    bool has_head = false;
    const auto result = fixture.Await<absl::Status>([&](auto done) {
      HttpCallbacks callbacks;
      callbacks.on_head = [&](int, const HttpHeaders&) { has_head = true; };
      callbacks.on_done = done;
      fixture.client.Send(server.GetTarget(), HttpRequest{"GET", "/", {}, ""}, HttpCallOptions(1024), callbacks);
    });
    CHECK(GetFailureCode(result) == FailureCode::kProtocol);
    CHECK_FALSE(has_head);
  }
}

// Guards against a check of the status that refuses answers which servers may give.
TEST_CASE("HttpClient reports each status from 200 to 599") {
  const int status = GENERATE(200, 299, 300, 404, 418, 499, 500, 503, 599);
  ClientFixture fixture;
  StatusServer server(fixture.loop, {std::to_string(status)});
  const absl::StatusOr<HttpResponse> response = fixture.Fetch(server.GetTarget());
  REQUIRE(response.ok());
  CHECK(response->status == status);
}

// Sends every attempt to one server over sockets.
class OneTargetSender : public AttemptSender {
 public:
  OneTargetSender(HttpClient& client, HttpTarget target) : m_client(client), m_target(std::move(target)) {}

  std::shared_ptr<HttpCall> Send(const HttpTarget&, const HttpRequest& request, HttpCallOptions options,
                                 HttpCallbacks callbacks) override {
    return m_client.Send(m_target, request, options, std::move(callbacks));
  }

 private:
  HttpClient& m_client;
  const HttpTarget m_target;
};

// A caller that stops the loop at the end of its answer.
class StoppingCaller : public FakeForwardCaller {
 public:
  explicit StoppingCaller(Loop& loop) : m_loop(loop) {}

  void Send(HttpResponse response) override {
    FakeForwardCaller::Send(std::move(response));
    m_loop.Stop();
  }

 private:
  Loop& m_loop;
};

struct ForwardResult {
  int status = 0;
  size_t requests = 0;
};

// Forwards one request to endpoints that answer with the given status lines.
ForwardResult Forward(const std::string& path, const std::vector<std::string>& statuses) {
  ClientFixture fixture;
  StatusServer server(fixture.loop, statuses);
  SeededRandom random(20261206);
  hosted::HostedCallerProtocol protocol;
  OneTargetSender sender(fixture.client, server.GetTarget());
  Metrics metrics;
  ForwardMetrics forward_metrics(metrics);
  ForwardTraffic traffic(fixture.clock, random, protocol, sender, fixture.answer_memory, forward_metrics,
                         ForwardFixture::MakeOptions());
  traffic.SetFleet(MakeFleet({MakeEndpoint("e1", kEnginePool, "praha"), MakeEndpoint("e2", kEnginePool, "praha"),
                              MakeEndpoint("g1", kRegisterPool, "praha"), MakeEndpoint("g2", kRegisterPool, "praha")}));
  HttpRequest request{"POST", path, {}, "{}"};
  request.headers.Add("Host", "h.example");
  request.headers.Add("Plantainmast-Attempt-Id", "r1");
  request.headers.Add("Plantainmast-Deadline-Ms", "1000");
  const auto caller = std::make_shared<StoppingCaller>(fixture.loop);
  traffic.HandleHttp(std::move(request), caller);
  RunUntilStopped(fixture.loop);
  return {caller->status, server.GetRequests()};
}

// Guards against an endpoint's invalid status that a caller gets as an answer, against a repeat of a request that may
// have run, and against no repeat of one that may be repeated.
TEST_CASE("A request whose endpoint answers with no valid status is repeated if it may be, and else ends with 502") {
  const std::string status = GENERATE(from_range(kNoStatuses));
  INFO("status " << status);

  SECTION("an idempotent request is repeated") {
    const ForwardResult result = Forward("/look/1", {status, "200"});
    CHECK(result.status == 200);
    CHECK(result.requests == 2);
  }
  SECTION("no request is repeated beyond the attempts of its route") {
    const std::string path = GENERATE("/look/1", "/draft/1");
    const ForwardResult result = Forward(path, {status});
    CHECK(result.status == 502);
    CHECK(result.requests == 2);
  }
  SECTION("a request that must run once, or a stream that cannot be resumed, is not repeated") {
    const std::string path = GENERATE("/seal/1", "/letter/1");
    const ForwardResult result = Forward(path, {status, "200"});
    CHECK(result.status == 502);
    CHECK(result.requests == 1);
  }
}

// Always open, with weights whose digest is empty.
class OpenGate : public ServingGate {
 public:
  std::optional<Digest> Enter(const ModelName&, const AdapterName&) override { return Digest(); }
  void Leave(const ModelName&, const AdapterName&) override {}
  void ReportMismatch(const Digest&) override {}
};

// Runs one attempt at an agent. Returns its last message to the entry.
proto::AttemptMessage RunAttempt(ClientFixture& fixture, const HttpTarget& target, const proto::AttemptStart& start) {
  const bool is_service = start.has_service();
  Metrics metrics;
  AttemptMetrics attempt_metrics(metrics);
  RequestHistory history(100);
  FixedConfig config;
  OpenGate gate;
  SeededRandom random(1);
  Admission admission(fixture.clock, random, AdmissionLimitOptions{1, 4, is_service, std::chrono::seconds(60)}, 2);
  proto::AttemptMessage last;
  const auto send = [&](const ConnectionId&, const proto::AttemptMessage& message) {
    last = message;
    fixture.loop.Stop();
    return true;
  };
  AttemptRunner runner(
      RunnerDeps{fixture.clock, admission, config, is_service ? nullptr : &gate, fixture.client, target,
                 EndpointRole{ZoneName("praha"), is_service, is_service ? kRegisterService : ServiceName()},
                 SubmitOnce(), attempt_metrics, history, send});
  runner.Begin(ConnectionId("entry"), start);
  RunUntilStopped(fixture.loop);
  return last;
}

// Guards against an agent that reports an invalid status as the service's answer. The entry turned 000 into 200.
TEST_CASE("An agent refuses an attempt whose engine or service answers with no valid status") {
  const std::string status = GENERATE(from_range(kNoStatuses));
  INFO("status " << status);
  ClientFixture fixture;
  StatusServer server(fixture.loop, {status});
  proto::AttemptStart start;
  start.set_attempt(1);
  start.set_request("r1");
  start.set_deadline_ms(10'000);

  SECTION("a repeatable call to a service") {
    start.mutable_service()->set_service(kRegisterService.Get());
    start.mutable_service()->set_call("look");
    start.mutable_service()->set_repeatable(true);
  }
  SECTION("a completion") { start.mutable_completion()->set_model("drafting"); }

  const proto::AttemptMessage message = RunAttempt(fixture, server.GetTarget(), start);
  REQUIRE(message.has_refused());
  CHECK(message.refused().reason() == proto::REFUSAL_REASON_ENGINE_FAILED);
  CHECK_FALSE(message.refused().not_run());
}

// Guards against an invalid status that is recorded as the outcome of a call, which every repeat of the call then gets.
TEST_CASE("A call that must run once has no known outcome if the service answers with no valid status") {
  const std::string status = GENERATE(from_range(kNoStatuses));
  INFO("status " << status);
  ClientFixture fixture;
  StatusServer server(fixture.loop, {status});
  MemoryLog log(fixture.loop, kLog);
  Metrics metrics;
  OnceServiceOptions options;
  options.core.vm = VmId("127.0.0.1");
  options.log = kLog;
  options.service = server.GetTarget();
  options.log_timeout = std::chrono::seconds(1);
  options.batch_period = Milliseconds(5);
  OnceService once(fixture.loop, fixture.answer_memory, fixture.clock, 1, metrics, options);
  REQUIRE(once.Start().ok());
  const auto caught_up = fixture.loop.RunAfter(Milliseconds(50), [&] { fixture.loop.Stop(); });
  RunUntilStopped(fixture.loop);
  OnceCall call;
  call.key = OnceKey("k1");
  call.fingerprint = Digest(std::string(32, 'f'));
  call.call = "enter";
  call.caller_key = "k1";
  call.deadline = fixture.clock.GetNow() + Milliseconds(2500);
  const auto answer = fixture.Await<OnceAnswer>([&](auto done) { once.Submit(call, done); });
  once.Stop();
  CHECK_FALSE(answer.outcome.has_value());
  CHECK_FALSE(answer.refusal.not_run);
  CHECK(answer.is_service_failure);
  CHECK(server.GetRequests() == 1);
}

// Guards against an engine or a plain service that counts as working, or an order that counts as refused, because of an
// invalid status. An order that the engine may have carried out must not be taken for one that it refused.
TEST_CASE("The agent's clients of engine and service take no invalid status for an answer") {
  const std::string status = GENERATE(from_range(kNoStatuses));
  INFO("status " << status);
  ClientFixture fixture;
  StatusServer server(fixture.loop, {status});

  SECTION("the outcome of an order is unknown") {
    Metrics metrics;
    EngineClient engine(fixture.loop, fixture.answer_memory,
                        {server.GetTarget(), std::chrono::hours(1), std::chrono::seconds(2)}, metrics);
    REQUIRE(engine.Start().ok());
    const auto result =
        fixture.Await<OrderResult>([&](auto done) { engine.SendOrder(EngineOrder(), std::move(done)); });
    engine.Stop();
    CHECK(result.outcome == OrderOutcome::kUnknown);
  }
  SECTION("the engine counts as unreachable") {
    Metrics metrics;
    EngineClient engine(fixture.loop, fixture.answer_memory,
                        {server.GetTarget(), std::chrono::hours(1), std::chrono::seconds(2)}, metrics);
    engine.AddEngineListener([&](const auto&) { fixture.loop.Stop(); });
    REQUIRE(engine.Start().ok());
    RunUntilStopped(fixture.loop);
    engine.Stop();
    CHECK(server.GetRequests() == 1);
    CHECK(engine.GetEngineStatus()->state == EngineState::kUnreachable);
  }
  SECTION("the plain service counts as not answering") {
    PlainServiceSource service(fixture.loop, fixture.answer_memory, server.GetTarget(), std::chrono::hours(1));
    service.AddEngineListener([&](const auto&) { fixture.loop.Stop(); });
    REQUIRE(service.Start().ok());
    RunUntilStopped(fixture.loop);
    service.Stop();
    CHECK(server.GetRequests() == 1);
    CHECK_FALSE(service.IsAnswering());
  }
}

// Guards against weights, records and VMs that are taken from an answer with an invalid status.
TEST_CASE("Clients of the platform take no invalid status for an answer") {
  const std::string status = GENERATE(from_range(kNoStatuses));
  INFO("status " << status);
  ClientFixture fixture;
  StatusServer server(fixture.loop, {status});
  const HttpTarget target = server.GetTarget();

  SECTION("the log, whose append may have been done") {
    LogClient log(fixture.client, target, std::chrono::seconds(2));
    const auto append = fixture.Await<absl::StatusOr<LogOffset>>([&](auto done) { log.Append("s", "r", done); });
    CHECK_FALSE(append.ok());
    CHECK_FALSE(IsCertainlyNotAppended(append.status()));
    const auto read = fixture.Await<absl::StatusOr<LogBatch>>(
        [&](auto done) { log.Read("s", LogOffset(), 10, Duration::zero(), done); });
    CHECK_FALSE(read.ok());
  }
  SECTION("the store") {
    hosted::StoreClient store(fixture.client, target, std::chrono::seconds(2));
    const auto newest = fixture.Await<absl::StatusOr<hosted::Listing>>([&](auto done) { store.ReadNewest("t", done); });
    CHECK(GetFailureCode(newest.status()) == FailureCode::kLogUnavailable);
    const auto read = fixture.Await<absl::StatusOr<hosted::ReadBatch>>(
        [&](auto done) { store.ReadRetained("t", LogOffset(), done); });
    CHECK(GetFailureCode(read.status()) == FailureCode::kLogUnavailable);
  }
  SECTION("the origin and the staging area") {
    HttpChunkOrigin origin(fixture.loop, fixture.answer_memory, target);
    const auto manifest = fixture.Await<absl::StatusOr<HttpResponse>>([&](auto done) {
      origin.FetchManifest(Digest(std::string(32, 'm')), std::chrono::seconds(2), std::move(done));
    });
    CHECK(GetFailureCode(manifest.status()) == FailureCode::kProtocol);
    HttpStagingArea staging(fixture.loop, fixture.answer_memory, target);
    CHECK_FALSE(fixture.Await<bool>([&](auto done) { staging.PutManifest(Manifest(), std::move(done)); }));
  }
  SECTION("the VM list") {
    VmListClient vms(fixture.client, target, ZoneName("praha"), std::chrono::seconds(2));
    CHECK_FALSE(fixture.Await<absl::StatusOr<VmListResult>>([&](auto done) { vms.Read(std::move(done)); }).ok());
  }
}

// Guards against plantainctl printing the body of an answer with an invalid status as a process's own report.
TEST_CASE("plantainctl takes no invalid status of a process for an answer") {
  const std::string status = GENERATE(from_range(kNoStatuses));
  INFO("status " << status);
  const IpAddress address = MakeLoopbackAddress(121);
  Loop loop;
  StatusServer server(loop, {status}, address, Port(8081));
  std::thread thread([&] { loop.Run(); });
  const auto platform = MakeHttpCtlPlatform({"", "", ZoneName("praha"), std::chrono::seconds(2)});
  VmListRow vm;
  vm.address = address;
  const auto responses = (*platform)->FetchFromAll({vm}, "/status");
  loop.Stop();
  thread.join();
  REQUIRE(responses.size() == 1);
  CHECK(GetFailureCode(responses[0].status()) == FailureCode::kProtocol);
}

}  // namespace
}  // namespace plantain

#include "loop_asio.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "attempt_runner.h"
#include "http_server.h"
#include "log_store.h"
#include "loopback_address.h"
#include "once_service.h"
#include "unlimited_caller_memory.h"

namespace plantain {
namespace {

using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

const HttpTarget kService{MakeLoopbackAddress(110), Port(29987)};
const HttpTarget kLog{MakeLoopbackAddress(110), Port(29986)};
const ServiceName kName("register");
const std::string kKeyField = "X-Call-Key: ";

// A plain service that answers with the key of the call. Before each further answer on a connection it writes the first
// one once more.
class RepeatingService {
 public:
  explicit RepeatingService(Loop& loop)
      : m_context(loop.GetImpl().context),
        m_acceptor(m_context,
                   tcp::endpoint(boost::asio::ip::make_address(kService.address.Get()), kService.port.Get())) {
    Accept();
  }

 private:
  struct Connection {
    explicit Connection(boost::asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    std::string received;
    std::string first_answer;
  };

  void Accept() {
    const auto connection = std::make_shared<Connection>(m_context);
    m_acceptor.async_accept(connection->socket, [this, connection](const ErrorCode& error) {
      if (error) return;
      ReadNext(connection);
      Accept();
    });
  }

  void ReadNext(const std::shared_ptr<Connection>& connection) {
    boost::asio::async_read_until(connection->socket, boost::asio::dynamic_buffer(connection->received), "\r\n\r\n",
                                  [this, connection](const ErrorCode& error, size_t size) {
                                    if (error) return;
                                    Answer(*connection, connection->received.substr(0, size));
                                    connection->received.erase(0, size);
                                    ReadNext(connection);
                                  });
  }

  static void Answer(Connection& connection, const std::string& head) {
    const size_t at = head.find(kKeyField) + kKeyField.size();
    const std::string key = head.substr(at, head.find("\r\n", at) - at);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(key.size()) + "\r\n\r\n" + key;
    ErrorCode ignored;
    boost::asio::write(connection.socket, boost::asio::buffer(connection.first_answer + answer), ignored);
    if (connection.first_answer.empty()) connection.first_answer = answer;
  }

  boost::asio::io_context& m_context;
  tcp::acceptor m_acceptor;
};

// A log that keeps one stream in memory.
class MemoryLog {
 public:
  explicit MemoryLog(Loop& loop)
      : m_store(m_clock, Duration::zero()),
        m_server(loop, MakeUnlimitedCallerMemory(), kLog.address, kLog.port, 64 * 1024,
                 [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                   responder->Send(Handle(request));
                 }) {
    REQUIRE(m_server.Start().ok());
  }

 private:
  HttpResponse Handle(const HttpRequest& request) {
    if (request.method == "POST") {
      return MakeJsonResponse(200, R"({"offset":)" + std::to_string(m_store.Append(request.body)) + "}");
    }
    uint64_t next = 0;
    const uint64_t from = std::stoull(std::string(GetQueryValue(request.target, "from")));
    HttpResponse response;
    response.body = m_store.Read(from, 100, m_store.GetNextOffset(), next);
    response.headers.Add("X-First-Offset", "0");
    response.headers.Add("X-Next-Offset", std::to_string(m_store.GetNextOffset()));
    return response;
  }

  SystemClock m_clock;
  standin::LogStore m_store;
  HttpServer m_server;
};

class FixedConfig : public ConfigSource {
 public:
  FixedConfig() {
    const auto view = std::make_shared<ConfigView>();
    view->document.zones.push_back({ZoneName("praha"), RegionName("cechy"), true});
    view->document.services.push_back({kName, PoolName("register"), {{"look", true}}});
    m_view = view;
  }
  std::shared_ptr<const ConfigView> GetConfig() const override { return m_view; }
  void AddConfigListener(std::function<void(const std::shared_ptr<const ConfigView>&)>) override {}
  bool IsLogReachable() const override { return true; }

 private:
  std::shared_ptr<const ConfigView> m_view;
};

// Runs the loop until it is stopped, or for a few seconds.
void RunUntilStopped(Loop& loop) {
  const auto watchdog = loop.RunAfter(std::chrono::seconds(3), [&] { loop.Stop(); });
  loop.Run();
  loop.Restart();
}

// Guards against a call that gets another call's answer, because answers of a plain service carry no id and the service
// has written an earlier one once more.
TEST_CASE("A call to a plain service gets its own answer") {
  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  SystemClock clock;
  Metrics metrics;
  RepeatingService service(loop);
  std::vector<std::string> bodies;

  SECTION("a repeatable one") {
    AttemptMetrics attempt_metrics(metrics);
    RequestHistory history(100);
    HttpClient http(loop, answer_memory);
    FixedConfig config;
    SeededRandom random(1);
    Admission admission(clock, random, AdmissionLimitOptions{1, 4, true, std::chrono::seconds(60)}, 2);
    const auto send = [&](const ConnectionId&, const proto::AttemptMessage& message) {
      bodies.push_back(message.end().body());
      loop.Stop();
      return true;
    };
    AttemptRunner runner(RunnerDeps{clock, admission, config, nullptr, http, kService,
                                    EndpointRole{ZoneName("praha"), true, kName}, SubmitOnce(), attempt_metrics,
                                    history, send});
    for (uint64_t id = 1; id <= 2; ++id) {
      proto::AttemptStart start;
      start.set_attempt(id);
      start.set_request("r" + std::to_string(id));
      start.set_deadline_ms(10'000);
      start.mutable_service()->set_service(kName.Get());
      start.mutable_service()->set_call("look");
      start.mutable_service()->set_repeatable(true);
      runner.Begin(ConnectionId("entry"), start);
      RunUntilStopped(loop);
    }
    CHECK(bodies == std::vector<std::string>{"r1", "r2"});
  }
  SECTION("one that must run once") {
    MemoryLog log(loop);
    OnceServiceOptions options;
    options.core.vm = VmId("127.0.0.1");
    options.log = kLog;
    options.service = kService;
    options.log_timeout = std::chrono::seconds(1);
    options.batch_period = Milliseconds(5);
    OnceService once(loop, answer_memory, clock, 1, metrics, options);
    REQUIRE(once.Start().ok());
    const auto caught_up = loop.RunAfter(Milliseconds(200), [&] { loop.Stop(); });
    RunUntilStopped(loop);
    for (const char* key : {"k1", "k2"}) {
      OnceCall call;
      call.key = OnceKey(key);
      call.fingerprint = Digest(std::string(32, 'f'));
      call.call = "enter";
      call.caller_key = key;
      call.deadline = clock.GetNow() + std::chrono::seconds(5);
      once.Submit(call, [&](const OnceAnswer& answer) {
        bodies.push_back(answer.outcome.has_value() ? answer.outcome->body : "none");
        loop.Stop();
      });
      RunUntilStopped(loop);
    }
    once.Stop();
    CHECK(bodies == std::vector<std::string>{"k1", "k2"});
  }
}

}  // namespace
}  // namespace plantain

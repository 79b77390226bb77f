#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>

#include "failure_type.h"
#include "forward_fake.h"
#include "http_client.h"
#include "loop_asio.h"
#include "loopback_address.h"

namespace plantain {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

const IpAddress kAddress = MakeLoopbackAddress(104);
const std::string kIdField = "Plantainmast-Attempt-Id: r1\r\n";
const std::string kStamp = "Plantainmast-Server-Stamp: s\r\n";

// How an endpoint ends a connection.
enum class End { kClose, kReset };

// An endpoint that answers the first requests whole, and of the next answer sends only the first bytes.
class BreakingEndpoint {
 public:
  BreakingEndpoint(Loop& loop, std::string answer)
      : m_context(loop.GetImpl().context),
        m_acceptor(m_context, tcp::endpoint(asio::ip::make_address(kAddress.Get()), 0)),
        m_answer(std::move(answer)) {
    Accept();
  }

  void BreakAfter(size_t bytes, End end) {
    m_break_after = bytes;
    m_end = end;
  }
  void AnswerWhole() { m_break_after.reset(); }
  HttpTarget GetTarget() const { return {kAddress, Port(m_acceptor.local_endpoint().port())}; }
  size_t GetConnections() const { return m_connections; }

 private:
  struct Session {
    explicit Session(asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    std::string request;
  };

  void Accept() {
    auto session = std::make_shared<Session>(m_context);
    m_acceptor.async_accept(session->socket, [this, session](const ErrorCode& error) {
      if (error) return;
      ++m_connections;
      Read(session);
      Accept();
    });
  }

  void Read(const std::shared_ptr<Session>& session) {
    session->request.clear();
    asio::async_read_until(session->socket, asio::dynamic_buffer(session->request), "\r\n\r\n",
                           [this, session](const ErrorCode& error, size_t) {
                             if (!error) Answer(session);
                           });
  }

  void Answer(const std::shared_ptr<Session>& session) {
    const std::string bytes = m_answer.substr(0, m_break_after.value_or(m_answer.size()));
    ErrorCode ignored;
    asio::write(session->socket, asio::buffer(bytes), ignored);
    if (!m_break_after.has_value()) {
      Read(session);
      return;
    }
    if (m_end == End::kReset) session->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    session->socket.close(ignored);
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  const std::string m_answer;
  std::optional<size_t> m_break_after;
  End m_end = End::kClose;
  size_t m_connections = 0;
};

std::vector<std::string> GetAnswers() {
  const std::string head = "HTTP/1.1 200 OK\r\n" + kIdField + kStamp;
  return {head + "Content-Length: 5\r\n\r\nwhole", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"};
}

// Guards against a head that an endpoint broke off and that a caller gets as an answer with an empty or short body.
TEST_CASE("An answer that is broken off at any byte is a lost connection") {
  const std::string answer = GENERATE(from_range(GetAnswers()));
  const End end = GENERATE(End::kClose, End::kReset);
  const bool is_kept = GENERATE(false, true);
  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  BreakingEndpoint endpoint(loop, answer);
  HttpClient client(loop, answer_memory);
  const auto fetch = [&] {
    std::optional<absl::StatusOr<HttpResponse>> result;
    client.Fetch(endpoint.GetTarget(), HttpRequest{"GET", "/", {}, ""}, HttpCallOptions(1024 * 1024),
                 [&](absl::StatusOr<HttpResponse> response) {
                   result = std::move(response);
                   loop.Stop();
                 });
    loop.Run();
    loop.Restart();
    return *result;
  };
  for (size_t bytes = 0; bytes < answer.size(); ++bytes) {
    INFO("bytes " << bytes << " reset " << (end == End::kReset) << " kept " << is_kept);
    const size_t connections = endpoint.GetConnections();
    if (is_kept) {
      endpoint.AnswerWhole();
      REQUIRE(fetch()->body == "whole");
    }
    endpoint.BreakAfter(bytes, end);
    const absl::StatusOr<HttpResponse> response = fetch();
    REQUIRE_FALSE(response.ok());
    CHECK(GetFailureCode(response.status()) == FailureCode::kConnectionLost);
    CHECK(endpoint.GetConnections() == connections + 1);
  }
}

// Sends attempts to one endpoint over sockets.
class SocketSender : public AttemptSender {
 public:
  SocketSender(Loop& loop, MemoryBudget& answer_memory, HttpTarget target)
      : m_client(loop, answer_memory), m_target(std::move(target)) {}

  std::shared_ptr<HttpCall> Send(const HttpTarget&, const HttpRequest& request, HttpCallOptions options,
                                 HttpCallbacks callbacks) override {
    return m_client.Send(m_target, request, options, std::move(callbacks));
  }

 private:
  HttpClient m_client;
  const HttpTarget m_target;
};

// A caller that notes the end of its answer.
class EndingCaller : public FakeForwardCaller {
 public:
  explicit EndingCaller(Loop& loop) : m_loop(loop) {}

  void Send(HttpResponse response) override {
    FakeForwardCaller::Send(std::move(response));
    m_loop.Stop();
  }
  void EndStream() override {
    FakeForwardCaller::EndStream();
    m_loop.Stop();
  }
  void Abort() override {
    FakeForwardCaller::Abort();
    m_loop.Stop();
  }

 private:
  Loop& m_loop;
};

// Guards against the same on the forwarding path: a success that no endpoint has given, for each kind of request.
TEST_CASE("A caller never gets a success whose head was broken off") {
  const std::string answer = GENERATE(from_range(GetAnswers()));
  const std::string path = GENERATE("/look/1", "/seal/1", "/draft/1");
  const End end = GENERATE(End::kClose, End::kReset);
  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  BreakingEndpoint endpoint(loop, answer);
  SystemClock clock;
  SeededRandom random(20261205);
  hosted::HostedCallerProtocol protocol;
  SocketSender sender(loop, answer_memory, endpoint.GetTarget());
  Metrics metrics;
  ForwardMetrics forward_metrics(metrics);
  for (size_t bytes = 0; bytes < answer.size(); ++bytes) {
    INFO("bytes " << bytes << " reset " << (end == End::kReset) << " path " << path);
    ForwardTraffic traffic(clock, random, protocol, sender, answer_memory, forward_metrics,
                           ForwardFixture::MakeOptions());
    traffic.SetFleet(MakeFleet({MakeEndpoint("e1", kEnginePool, "praha"), MakeEndpoint("g1", kRegisterPool, "praha")}));
    endpoint.BreakAfter(bytes, end);
    HttpRequest request{"POST", path, {}, ""};
    request.headers.Add("Host", "h.example");
    request.headers.Add("Plantainmast-Attempt-Id", "r1");
    request.headers.Add("Plantainmast-Deadline-Ms", "1000");
    auto caller = std::make_shared<EndingCaller>(loop);
    traffic.HandleHttp(std::move(request), caller);
    loop.Run();
    loop.Restart();
    CHECK(caller->status == 502);
  }
}

}  // namespace
}  // namespace plantain

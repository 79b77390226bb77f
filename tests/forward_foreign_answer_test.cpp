#include "loop_asio.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <vector>

#include "forward_fake.h"
#include "http_client.h"
#include "loopback_address.h"

namespace plantain {
namespace {

using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

std::vector<EndpointInfo> MakeRegisters() {
  return {MakeEndpoint("r1", kRegisterPool, "praha"), MakeEndpoint("r2", kRegisterPool, "brno")};
}

// Sends a refusal without an id.
void RefuseWithoutId(FakeAttemptSender::Sent& sent) {
  HttpHeaders headers;
  headers.Add("Plantainmast-Not-Executed", "1");
  sent.callbacks.on_head(503, headers);
  sent.FinishResponse();
}

// Guards against a caller that is told "not run" for a request that an endpoint runs, because the endpoint has written
// the refusal of an earlier request once more.
TEST_CASE("A refusal without an id on a kept connection is no answer to the request") {
  ForwardFixture fixture(MakeRegisters());
  const auto caller = fixture.SendRequest("/look/1", "1000");
  FakeAttemptSender::Sent& first = fixture.sender.At(0);

  SECTION("on a kept connection the request may have run, and the connection is closed") {
    first.is_on_kept_connection = true;
    RefuseWithoutId(first);
    CHECK(first.is_cancelled);
    REQUIRE(fixture.sender.GetCount() == 2);
    fixture.sender.At(1).RefuseAsNotRun();
    CHECK(caller->status == 502);
  }
  SECTION("on a new connection it can only be an answer to this request") {
    RefuseWithoutId(first);
    REQUIRE(fixture.sender.GetCount() == 2);
    fixture.sender.At(1).RefuseAsNotRun();
    CHECK(caller->status == 503);
  }
  SECTION("a refusal with the id of another request is none either, and is noticed at its head") {
    HttpHeaders headers;
    headers.Add("Plantainmast-Attempt-Id", "r0");
    headers.Add("Plantainmast-Not-Executed", "1");
    first.callbacks.on_head(503, headers);
    CHECK(first.is_cancelled);
    REQUIRE(fixture.sender.GetCount() == 2);
    fixture.sender.At(1).RefuseAsNotRun();
    CHECK(caller->status == 502);
  }
}

// An endpoint that answers each request on a connection with the next text.
class ScriptedEndpoint {
 public:
  ScriptedEndpoint(Loop& loop, const HttpTarget& target, std::vector<std::string> answers)
      : m_acceptor(loop.GetImpl().context,
                   tcp::endpoint(boost::asio::ip::make_address(target.address.Get()), target.port.Get())),
        m_socket(loop.GetImpl().context),
        m_answers(std::move(answers)) {
    m_acceptor.async_accept(m_socket, [this](const ErrorCode& error) {
      if (!error) ReadNext();
    });
  }

 private:
  void ReadNext() {
    boost::asio::async_read_until(m_socket, boost::asio::dynamic_buffer(m_request), "\r\n\r\n",
                                  [this](const ErrorCode& error, size_t size) {
                                    if (error || m_answers.empty()) return;
                                    m_request.erase(0, size);
                                    boost::asio::write(m_socket, boost::asio::buffer(m_answers.front()));
                                    m_answers.erase(m_answers.begin());
                                    ReadNext();
                                  });
  }

  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
  std::string m_request;
  std::vector<std::string> m_answers;
};

TEST_CASE("A call knows whether its connection carried other requests") {
  const HttpTarget target{MakeLoopbackAddress(109), Port(29988)};
  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  const std::string answer = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
  ScriptedEndpoint endpoint(loop, target, {answer, answer});
  HttpClient client(loop, answer_memory);
  std::vector<bool> is_kept;
  for (int i = 0; i < 2; ++i) {
    std::shared_ptr<HttpCall> call;
    HttpCallbacks callbacks;
    callbacks.on_head = [&](int, const HttpHeaders&) { is_kept.push_back(call->IsOnKeptConnection()); };
    callbacks.on_done = [&](const absl::Status&) { loop.Stop(); };
    call = client.Send(target, HttpRequest{"GET", "/", {}, ""}, HttpCallOptions(1024 * 1024), std::move(callbacks));
    loop.Run();
    loop.Restart();
  }
  CHECK(is_kept == std::vector<bool>{false, true});
}

}  // namespace
}  // namespace plantain

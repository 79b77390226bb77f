#include "loop_asio.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "http_drain.h"
#include "http_server.h"
#include "loopback_address.h"
#include "unlimited_caller_memory.h"

namespace plantain {
namespace {

using std::chrono::seconds;
using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

const HttpTarget kTarget{MakeLoopbackAddress(108), Port(29989)};
const std::string kRequest = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
const DrainTimes kTimes{Milliseconds(2600), Milliseconds(2200), seconds(7), Milliseconds(7600), Milliseconds(7800)};

// A handler whose requests the test answers.
class HeldRequests : public DrainableRequests {
 public:
  void Handle(const std::shared_ptr<HttpResponder>& responder) { m_held.push_back(responder); }
  void AnswerAll(int status) {
    for (const auto& responder : std::exchange(m_held, {})) responder->Send(MakeTextResponse(status, "answer"));
  }

  // Returns the oldest request's responder, which the test uses itself.
  std::shared_ptr<HttpResponder> Release() {
    const std::shared_ptr<HttpResponder> responder = m_held.at(0);
    m_held.erase(m_held.begin());
    return responder;
  }

  size_t GetInFlight() const override { return m_held.size(); }
  void BeginDrain(TimePoint, TimePoint) override {}
  void GiveUp() override { AnswerAll(504); }

 private:
  std::vector<std::shared_ptr<HttpResponder>> m_held;
};

// A server that stops, on a virtual clock, and callers that write and read raw bytes.
struct DrainFixture {
  DrainFixture()
      : server(loop, MakeUnlimitedCallerMemory(), kTarget.address, kTarget.port, 64,
               [this](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
                 requests.Handle(responder);
               }),
        drain(clock, server, requests, kTimes) {
    REQUIRE(server.Start().ok());
  }

  tcp::socket Connect() {
    tcp::socket socket(loop.GetImpl().context);
    socket.connect(tcp::endpoint(boost::asio::ip::make_address(kTarget.address.Get()), kTarget.port.Get()));
    return socket;
  }
  // Runs all that the loop can do without waiting. Bytes that were written on loopback have arrived by then.
  void RunReady() {
    loop.GetImpl().context.restart();
    while (loop.GetImpl().context.poll() > 0) {
    }
  }
  // Advances the clock by 10 ms and counts, as the entry's timer does.
  void Step() {
    RunReady();
    clock.Advance(Milliseconds(10));
    drain.Tick();
  }
  void StepUntil(Duration passed) {
    while (clock.GetNow() - began_at < passed) Step();
  }
  void Begin() {
    began_at = clock.GetNow();
    drain.Begin(began_at, [this] { is_done = true; });
  }
  // Returns what a caller gets until the server closes its connection, and whether it was reset.
  std::string ReadAll(tcp::socket& socket) {
    RunReady();
    std::string answer;
    std::array<char, 512> bytes;
    ErrorCode error;
    socket.non_blocking(true);
    while (!error) {
      const size_t count = socket.read_some(boost::asio::buffer(bytes), error);
      answer.append(bytes.data(), count);
    }
    if (error == boost::asio::error::connection_reset) answer += "RESET";
    return answer;
  }

  VirtualClock clock;
  Loop loop;
  HeldRequests requests;
  HttpServer server;
  HttpDrain drain;
  TimePoint began_at;
  bool is_done = false;
};

bool IsWhole(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n\r\nanswer");
}

// Guards against requests that are passed on and cut, because the process ends on a count from before they arrived.
TEST_CASE("A stopping server answers whatever it has read") {
  DrainFixture fixture;
  tcp::socket kept = fixture.Connect();
  fixture.Begin();

  SECTION("a request that arrives while the last count is zero") {
    fixture.StepUntil(kTimes.notice - Milliseconds(10));
    tcp::socket late = fixture.Connect();
    boost::asio::write(late, boost::asio::buffer(kRequest));
    fixture.Step();
    fixture.Step();
    CHECK_FALSE(fixture.is_done);
    fixture.requests.AnswerAll(200);
    CHECK(IsWhole(fixture.ReadAll(late)));
    late.close();
    fixture.Step();
    fixture.Step();
    CHECK(fixture.is_done);
  }
  SECTION("a request on a connection that is still in the backlog when the server stops listening") {
    fixture.StepUntil(kTimes.notice - Milliseconds(10));
    tcp::socket late = fixture.Connect();
    boost::asio::write(late, boost::asio::buffer(kRequest));
    // The count is zero here: the loop has not run since the caller connected.
    fixture.clock.Advance(Milliseconds(10));
    fixture.drain.Tick();
    CHECK_FALSE(fixture.is_done);
    fixture.RunReady();
    fixture.requests.AnswerAll(200);
    CHECK(IsWhole(fixture.ReadAll(late)));
  }
  SECTION("a request that lies unread in the socket of a kept connection when idle connections are closed") {
    fixture.StepUntil(kTimes.close_idle - Milliseconds(10));
    boost::asio::write(kept, boost::asio::buffer(kRequest));
    fixture.clock.Advance(Milliseconds(10));
    fixture.drain.Tick();
    fixture.RunReady();
    fixture.requests.AnswerAll(200);
    CHECK(IsWhole(fixture.ReadAll(kept)));
  }
  SECTION("a request that follows its new connection some steps later, while idle connections are closed") {
    fixture.StepUntil(kTimes.close_idle + Milliseconds(20));
    tcp::socket late = fixture.Connect();
    fixture.Step();
    fixture.Step();
    boost::asio::write(late, boost::asio::buffer(kRequest));
    fixture.Step();
    fixture.requests.AnswerAll(200);
    CHECK(IsWhole(fixture.ReadAll(late)));
  }
  SECTION("requests that are left after a suspension past the end") {
    boost::asio::write(kept, boost::asio::buffer(kRequest));
    fixture.Step();
    fixture.clock.Advance(seconds(10));
    for (int i = 0; i < 4; ++i) fixture.Step();
    CHECK(fixture.ReadAll(kept).starts_with("HTTP/1.1 504"));
    CHECK(fixture.is_done);
  }
  SECTION("requests that are left at the end get an answer too") {
    boost::asio::write(kept, boost::asio::buffer(kRequest));
    fixture.StepUntil(kTimes.give_up + Milliseconds(20));
    CHECK(fixture.ReadAll(kept).starts_with("HTTP/1.1 504"));
    kept.close();
    fixture.Step();
    CHECK(fixture.is_done);
  }
}

// Guards against a reset that destroys an answer on its way: the caller goes on using its connection.
TEST_CASE("A caller that sends on while the server closes gets its answer without a reset") {
  DrainFixture fixture;
  tcp::socket kept = fixture.Connect();
  boost::asio::write(kept, boost::asio::buffer(kRequest));
  fixture.RunReady();
  fixture.Begin();
  boost::asio::write(kept, boost::asio::buffer(kRequest));
  fixture.RunReady();
  fixture.requests.AnswerAll(200);
  const std::string answer = fixture.ReadAll(kept);
  CHECK(IsWhole(answer));
  CHECK(fixture.requests.GetInFlight() == 0);
}

// Guards against a request that is read and dropped: the answer before it, whose head is from before the stop, has told
// the caller that its connection stays open.
TEST_CASE("A request that follows an answer which promised to keep the connection is answered") {
  DrainFixture fixture;
  tcp::socket kept = fixture.Connect();
  boost::asio::write(kept, boost::asio::buffer(kRequest));
  fixture.RunReady();
  const std::shared_ptr<HttpResponder> stream = fixture.requests.Release();
  stream->StartStream(200, {});
  fixture.RunReady();
  fixture.Begin();
  boost::asio::write(kept, boost::asio::buffer(kRequest));
  fixture.RunReady();
  stream->EndStream();
  fixture.RunReady();
  REQUIRE(fixture.requests.GetInFlight() == 1);
  fixture.requests.AnswerAll(200);
  const std::string answers = fixture.ReadAll(kept);
  CHECK(IsWhole(answers));
  CHECK(answers.find("Connection: close") != std::string::npos);
}

// Guards against a process that is killed while it still serves, because its loop ran the stop late.
TEST_CASE("The times of a stop count from the signal, not from when the loop begins it") {
  DrainFixture fixture;
  tcp::socket busy = fixture.Connect();
  boost::asio::write(busy, boost::asio::buffer(kRequest));
  fixture.RunReady();
  fixture.began_at = fixture.clock.GetNow();
  fixture.clock.Advance(Milliseconds(900));
  fixture.drain.Begin(fixture.began_at, [&] { fixture.is_done = true; });
  fixture.StepUntil(kTimes.give_up + Milliseconds(20));
  CHECK(fixture.ReadAll(busy).starts_with("HTTP/1.1 504"));
}

TEST_CASE("Idle connections of a stopping server are closed, and it ends") {
  DrainFixture fixture;
  tcp::socket kept = fixture.Connect();
  fixture.RunReady();
  fixture.Begin();
  fixture.StepUntil(kTimes.notice + Milliseconds(30));
  CHECK(fixture.is_done);
  CHECK(fixture.ReadAll(kept).empty());
}

}  // namespace
}  // namespace plantain

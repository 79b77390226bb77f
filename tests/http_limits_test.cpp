#include "loop_asio.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "clock.h"
#include "http_client.h"
#include "http_server.h"
#include "idle_limit.h"
#include "log_writer.h"
#include "loopback_address.h"
#include "unlimited_caller_memory.h"

namespace plantain {
namespace {

using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

const HttpTarget kTarget{MakeLoopbackAddress(102), Port(29991)};

// A loopback server that records the requests it handled, and clients that send raw bytes.
struct RawHttpFixture {
  RawHttpFixture()
      : server(loop, MakeUnlimitedCallerMemory(), kTarget.address, kTarget.port, 0,
               [this](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
                 handled.push_back(request.target + " " + request.body);
                 responder->Send(MakeTextResponse(200, "ok"));
               }) {
    limits.max_header_bytes = 512;
    limits.max_body_bytes = 64;
    // Long enough that a delay of the test itself never exceeds them; sections that test a timeout shorten that one.
    limits.header_timeout = std::chrono::minutes(1);
    limits.idle_timeout = std::chrono::minutes(1);
    server.SetLimits(limits);
    REQUIRE(server.Start().ok());
  }

  void SetHeaderTimeout(Duration timeout) {
    limits.header_timeout = timeout;
    server.SetLimits(limits);
  }
  void SetIdleTimeout(Duration timeout) {
    limits.idle_timeout = timeout;
    server.SetLimits(limits);
  }

  // Sends bytes and returns all that comes back until the server closes the connection.
  std::string Exchange(const std::string& bytes) {
    auto& context = loop.GetImpl().context;
    tcp::socket socket(context);
    socket.connect(tcp::endpoint(boost::asio::ip::make_address(kTarget.address.Get()), kTarget.port.Get()));
    if (!bytes.empty()) boost::asio::write(socket, boost::asio::buffer(bytes));
    std::string answer;
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer),
                            [&](const ErrorCode&, size_t) { loop.Stop(); });
    loop.Run();
    loop.Restart();
    return answer;
  }

  Loop loop;
  std::vector<std::string> handled;
  HttpLimits limits;
  HttpServer server;
};

std::string GetStatusLine(const std::string& answer) { return answer.substr(0, answer.find("\r\n")); }

// Guards against oversized or stalled requests and against request smuggling: none of these may reach the handler.
TEST_CASE("A caller's connection is bounded, and a request that cannot be read is answered and not handled") {
  RawHttpFixture fixture;

  SECTION("a header above the limit") {
    const std::string answer = fixture.Exchange("GET / HTTP/1.1\r\nX: " + std::string(600, 'x') + "\r\n\r\n");
    CHECK(GetStatusLine(answer).starts_with("HTTP/1.1 431"));
  }
  SECTION("a body above the limit") {
    const std::string answer = fixture.Exchange("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'b'));
    CHECK(GetStatusLine(answer).starts_with("HTTP/1.1 413"));
  }
  SECTION("two lengths") {
    const std::string answer = fixture.Exchange("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab");
    CHECK(GetStatusLine(answer).starts_with("HTTP/1.1 400"));
  }
  SECTION("a length and chunks, behind which a second request hides") {
    const std::string answer = fixture.Exchange(
        "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden "
        "HTTP/1.1\r\n\r\n");
    CHECK(GetStatusLine(answer).starts_with("HTTP/1.1 400"));
  }
  SECTION("bytes that are no request") {
    CHECK(GetStatusLine(fixture.Exchange("\x16\x03\x01 hello\r\n\r\n")).starts_with("HTTP/1.1 400"));
  }
  SECTION("a body that HTTP gives the method none") {
    CHECK(GetStatusLine(fixture.Exchange("TRACE / HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab"))
              .starts_with("HTTP/1.1 400"));
    CHECK(GetStatusLine(
              fixture.Exchange(
                  "TRACE / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
              .starts_with("HTTP/1.1 400"));
  }
  SECTION("a header that stops in the middle") {
    fixture.SetHeaderTimeout(Milliseconds(100));
    CHECK(GetStatusLine(fixture.Exchange("GET / HTTP/1.1\r\nHost: a")).starts_with("HTTP/1.1 408"));
  }
  SECTION("a body that stops in the middle") {
    fixture.SetHeaderTimeout(Milliseconds(100));
    const std::string answer = fixture.Exchange("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
    INFO("answer: " << answer);
    CHECK(GetStatusLine(answer).starts_with("HTTP/1.1 408"));
  }
  SECTION("a connection without a request is closed without a response") {
    fixture.SetIdleTimeout(Milliseconds(100));
    CHECK(fixture.Exchange("").empty());
  }
  CHECK(fixture.handled.empty());
}

// Guards against limits that reject valid requests.
TEST_CASE("Proper requests pass, one after the other and in any form of body") {
  RawHttpFixture fixture;
  const std::string answer = fixture.Exchange(
      "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
      "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncde\r\n0\r\n\r\n"
      "GET /c HTTP/1.1\r\nConnection: close\r\n\r\n");
  INFO("answer: " << answer);
  CHECK(fixture.handled == std::vector<std::string>{"/a ab", "/b cde", "/c "});
  CHECK(answer.find("HTTP/1.1 200") != answer.rfind("HTTP/1.1 200"));
}

// Guards against requests that are lost because a configuration shortens the idle time, and all connections that have
// been idle for longer are closed at once, also those on which a request is on its way.
TEST_CASE("A shorter idle time holds for a connection from its next answer on") {
  SECTION("as a decision") {
    const TimePoint begin = VirtualClock().GetNow();
    IdleLimit limit;
    limit.Begin(std::chrono::seconds(60), begin);
    CHECK_FALSE(limit.IsOver(std::chrono::seconds(1), begin + std::chrono::seconds(59)));
    CHECK(limit.IsOver(std::chrono::seconds(1), begin + std::chrono::seconds(60)));
    CHECK_FALSE(limit.IsOver(std::chrono::seconds(90), begin + std::chrono::seconds(89)));
    CHECK_FALSE(limit.IsOver(Duration::zero(), begin + std::chrono::hours(1)));
    limit.Begin(std::chrono::seconds(1), begin + std::chrono::seconds(30));
    CHECK(limit.IsOver(std::chrono::seconds(1), begin + std::chrono::seconds(31)));
  }
  SECTION("on connections") {
    RawHttpFixture fixture;
    tcp::socket kept(fixture.loop.GetImpl().context);
    kept.connect(tcp::endpoint(boost::asio::ip::make_address(kTarget.address.Get()), kTarget.port.Get()));
    // Accepted under the longer limit, as this answer shows.
    fixture.Exchange("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
    fixture.SetIdleTimeout(Milliseconds(100));
    // A connection that comes later is closed by the shorter limit.
    CHECK(fixture.Exchange("").empty());
    boost::asio::write(kept, boost::asio::buffer(std::string("GET /b HTTP/1.1\r\nConnection: close\r\n\r\n")));
    std::string answer;
    boost::asio::async_read(kept, boost::asio::dynamic_buffer(answer),
                            [&](const ErrorCode&, size_t) { fixture.loop.Stop(); });
    fixture.loop.Run();
    CHECK(GetStatusLine(answer).starts_with("HTTP/1.1 200"));
  }
}

std::string FormatDroppedLines(uint64_t dropped) { return "dropped " + std::to_string(dropped) + "\n"; }

// Guards against a stalled log reader that blocks the threads that write log lines.
TEST_CASE("Log lines never wait for their reader, and routine ones are dropped first") {
  int pipe_fds[2];
  REQUIRE(pipe(pipe_fds) == 0);
  // The reader stalls: the pipe is full before the first line.
  REQUIRE(fcntl(pipe_fds[1], F_SETFL, O_NONBLOCK) == 0);
  const std::string filler(4096, '.');
  while (write(pipe_fds[1], filler.data(), filler.size()) > 0) {
  }
  REQUIRE(fcntl(pipe_fds[1], F_SETFL, 0) == 0);
  std::string text;
  {
    constexpr size_t kLimit = 4096;
    LogWriter writer(pipe_fds[1], kLimit, FormatDroppedLines);
    const std::string line(63, 'x');
    // Far more than the buffer can hold. Write must still return.
    for (int i = 0; i < 4000; ++i) writer.Write(line + "\n", LinePriority::kRoutine);
    writer.Write("important\n", LinePriority::kImportant);
    // The reader resumes.
    std::string filled(1024 * 1024, '\0');
    CHECK(read(pipe_fds[0], filled.data(), filled.size()) > 0);
    writer.Stop();
  }
  close(pipe_fds[1]);
  char buffer[4096];
  for (ssize_t size = 0; (size = read(pipe_fds[0], buffer, sizeof(buffer))) > 0;) {
    text.append(buffer, static_cast<size_t>(size));
  }
  close(pipe_fds[0]);
  CHECK(text.find("important\n") != std::string::npos);
  CHECK(text.find("dropped ") != std::string::npos);
}

}  // namespace
}  // namespace plantain

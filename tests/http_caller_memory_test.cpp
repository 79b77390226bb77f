#include "loop_asio.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "caller_memory.h"
#include "http_server.h"
#include "loopback_address.h"

namespace plantain {
namespace {

using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

const HttpTarget kTarget{MakeLoopbackAddress(121), Port(29996)};
constexpr size_t kKiB = 1024;
constexpr size_t kMaxHeader = 1024;
constexpr size_t kMaxBody = 512 * kKiB;
constexpr size_t kMemory = 4 * 1024 * kKiB;
constexpr size_t kMaxConnections = 20;
const std::string kChunkedHead = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string MakeChunk(size_t size) {
  std::array<char, 32> head;
  const int length = std::snprintf(head.data(), head.size(), "%zx\r\n", size);
  return std::string(head.data(), static_cast<size_t>(length)) + std::string(size, 'b') + "\r\n";
}

// A server with little memory, and callers that send raw bytes.
struct CallerFixture {
  explicit CallerFixture(size_t limit = kMemory)
      : memory(std::make_shared<CallerMemory>(clock, CallerMemoryLimits{limit, kMemory, kMaxConnections})),
        server(loop, memory, kTarget.address, kTarget.port, 0,
               [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                 ++handled;
                 if (is_holding) {
                   held.push_back(responder);
                   return;
                 }
                 responder->Send(MakeTextResponse(200, std::string(answer_bytes, 'a') + request.target));
               }) {
    server.SetLimits({kMaxHeader, kMaxBody, std::chrono::minutes(1), std::chrono::minutes(1)});
    REQUIRE(server.Start().ok());
  }

  // Lets the server handle all that has arrived.
  void RunReady() {
    boost::asio::io_context& context = loop.GetImpl().context;
    while (context.poll() > 0) {
    }
  }

  // Returns whether the condition was met before a watchdog ended the wait.
  bool RunUntil(const std::function<bool()>& condition) {
    constexpr int kMaxSteps = 1000;
    for (int i = 0; i < kMaxSteps && !condition(); ++i) loop.GetImpl().context.run_one_for(Milliseconds(10));
    return condition();
  }

  tcp::socket& Connect() {
    sockets.emplace_back(loop.GetImpl().context);
    sockets.back().connect(tcp::endpoint(boost::asio::ip::make_address(kTarget.address.Get()), kTarget.port.Get()));
    return sockets.back();
  }

  // Sends bytes for as long as the server reads them. Returns false if the connection ended.
  bool Send(tcp::socket& socket, const std::string& bytes) {
    socket.non_blocking(true);
    size_t sent = 0;
    ErrorCode error;
    while (sent < bytes.size()) {
      sent += socket.write_some(boost::asio::buffer(bytes) + sent, error);
      RunReady();
      CHECK(memory->GetUsed() <= kMemory);
      if (error && error != boost::asio::error::would_block) return false;
    }
    return true;
  }

  // Returns what has arrived at the caller.
  std::string Read(tcp::socket& socket) {
    RunReady();
    socket.non_blocking(true);
    std::string answer;
    std::array<char, 4096> bytes;
    ErrorCode error;
    while (!error) {
      const size_t count = socket.read_some(boost::asio::buffer(bytes), error);
      answer.append(bytes.data(), count);
      RunReady();
    }
    return answer;
  }

  std::string Exchange(const std::string& bytes) {
    tcp::socket& socket = Connect();
    Send(socket, bytes);
    return Read(socket);
  }

  bool IsOrdinaryRequestAnswered() {
    is_holding = false;
    answer_bytes = 2;
    return Exchange("POST /ordinary HTTP/1.1\r\nContent-Length: 2\r\n\r\nab").starts_with("HTTP/1.1 200");
  }

  SystemClock clock;
  std::shared_ptr<CallerMemory> memory;
  Loop loop;
  int handled = 0;
  bool is_holding = false;
  size_t answer_bytes = 0;
  std::vector<std::shared_ptr<HttpResponder>> held;
  std::list<tcp::socket> sockets;
  HttpServer server;
};

// Guards against trailers, or chunk heads, that a process collects without end.
TEST_CASE("Trailers count as bytes of the head") {
  CallerFixture fixture;
  const std::string trailer = "X-Trailer: " + std::string(200, 't') + "\r\n";
  std::string bytes = kChunkedHead + MakeChunk(3) + "0\r\n";

  SECTION("within the limit the request is handled") {
    const std::string answer = fixture.Exchange(bytes + trailer + "\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(fixture.handled == 1);
    return;
  }
  SECTION("without an end") {
    for (int i = 0; i < 6; ++i) bytes += trailer;
  }
  SECTION("with an end, in one piece") {
    for (int i = 0; i < 6; ++i) bytes += trailer;
    bytes += "\r\n";
  }
  SECTION("a chunk's head without an end") { bytes = kChunkedHead + "1;" + std::string(kMaxHeader, 'x'); }
  const std::string answer = fixture.Exchange(bytes);
  CHECK(answer.starts_with("HTTP/1.1 431"));
  CHECK(fixture.handled == 0);
}

// Guards against limits that refuse a request within the operators' limits while nothing else is held.
TEST_CASE("A lone request of the largest size is handled") {
  CallerFixture fixture;
  std::string bytes;
  SECTION("with a length") {
    bytes = "POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(kMaxBody) + "\r\n\r\n" + std::string(kMaxBody, 'b');
  }
  SECTION("in large chunks") {
    bytes = kChunkedHead;
    for (size_t i = 0; i < kMaxBody; i += 64 * kKiB) bytes += MakeChunk(64 * kKiB);
    bytes += "0\r\n\r\n";
  }
  SECTION("in chunks of one byte") {
    bytes = kChunkedHead;
    for (size_t i = 0; i < kMaxBody; ++i) bytes += "1\r\nb\r\n";
    bytes += "0\r\n\r\n";
  }
  CHECK(fixture.Exchange(bytes).starts_with("HTTP/1.1 200"));
}

// Guards against a request whose body is counted once more while it is handed on, and is refused for it although the
// limit has risen to what the largest request needs.
TEST_CASE("A request of the largest size is handled where the limit has risen just for it") {
  CallerFixture fixture(64 * kKiB);
  const std::string length = "Content-Length: " + std::to_string(kMaxBody);
  const std::string answer =
      fixture.Exchange("POST /a HTTP/1.1\r\n" + length + "\r\n\r\n" + std::string(kMaxBody, 'b'));
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(fixture.handled == 1);
}

// Guards against bodies that stop short of their end, and hold the memory of the process until their time is over.
TEST_CASE("Bodies that stop short of their end make room for others, and are told that they have not run") {
  CallerFixture fixture;
  std::string bytes = kChunkedHead;
  for (size_t i = 0; i + 64 * kKiB < kMaxBody; i += 64 * kKiB) bytes += MakeChunk(64 * kKiB);
  std::vector<tcp::socket*> sockets;
  for (size_t i = 0; i + 4 < kMaxConnections; ++i) {
    sockets.push_back(&fixture.Connect());
    fixture.Send(*sockets.back(), bytes);
  }
  size_t refused = 0;
  for (tcp::socket* socket : sockets) {
    const std::string answer = fixture.Read(*socket);
    if (answer.empty()) continue;
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: 1") != std::string::npos);
    ++refused;
  }
  CHECK(refused > 0);
  CHECK(refused < sockets.size());
  CHECK(fixture.handled == 0);
  CHECK(fixture.IsOrdinaryRequestAnswered());
}

// Guards against heads of many small fields, which take many times their bytes in memory.
TEST_CASE("Small fields are counted with the memory that they take") {
  constexpr size_t kFields = 150;
  CallerFixture fixture;
  std::string bytes = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n";
  for (size_t i = 0; i < kFields; ++i) bytes += "a:b\r\n";
  fixture.Send(fixture.Connect(), bytes + "\r\n");
  CHECK(fixture.RunUntil([&] { return fixture.memory->GetUsed() >= 100 * kFields; }));
  CHECK(fixture.handled == 0);
}

// Guards against answers that callers do not read, and against what is kept for callers that did read theirs.
TEST_CASE("Answers that are not read are cut off") {
  CallerFixture fixture;

  SECTION("while other callers are served") {
    // More than the kernel takes.
    fixture.answer_bytes = 4 * kMemory;
    for (size_t i = 0; i < 4; ++i) {
      boost::asio::write(fixture.Connect(), boost::asio::buffer(std::string("GET /a HTTP/1.1\r\n\r\n")));
    }
    CHECK(fixture.RunUntil([&] { return fixture.handled == 4 && fixture.memory->GetUsed() == 0; }));
    CHECK(fixture.memory->GetConnectionCount() == 0);
    CHECK(fixture.IsOrdinaryRequestAnswered());
  }
  SECTION("and one that is read leaves nothing behind") {
    fixture.answer_bytes = 1024 * kKiB;
    CHECK(fixture.Exchange("GET /a HTTP/1.1\r\n\r\n").size() > fixture.answer_bytes);
    CHECK(fixture.memory->GetConnectionCount() == 1);
    CHECK(fixture.RunUntil([&] { return fixture.memory->GetUsed() <= 2 * kConnectionBytes; }));
  }
}

// Guards against a promise that a request has not run for one that was handed on.
TEST_CASE("A request that was handed on is never refused for memory") {
  CallerFixture fixture;
  fixture.is_holding = true;
  const std::string request =
      "POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(kMaxBody) + "\r\n\r\n" + std::string(kMaxBody, 'b');
  std::vector<tcp::socket*> sockets;
  for (int i = 0; i < 8; ++i) {
    sockets.push_back(&fixture.Connect());
    fixture.Send(*sockets.back(), request);
  }
  const auto handled = static_cast<size_t>(fixture.handled);
  REQUIRE(handled == fixture.held.size());
  CHECK(handled < sockets.size());
  size_t refused = 0;
  for (tcp::socket* socket : sockets) {
    if (fixture.Read(*socket).starts_with("HTTP/1.1 503")) ++refused;
  }
  CHECK(handled + refused == sockets.size());
  for (const auto& responder : fixture.held) responder->Send(MakeTextResponse(200, "ok"));
  size_t answered = 0;
  for (tcp::socket* socket : sockets) {
    if (fixture.Read(*socket).starts_with("HTTP/1.1 200")) ++answered;
  }
  CHECK(answered == handled);
}

// Guards against callers who hand on large requests and leave, while the requests go on at their endpoints.
TEST_CASE("A request stays counted while it goes on, also when its caller has left") {
  CallerFixture fixture;
  fixture.is_holding = true;
  tcp::socket& socket = fixture.Connect();
  const std::string body(kMaxBody, 'b');
  fixture.Send(socket, "POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(kMaxBody) + "\r\n\r\n" + body);
  REQUIRE(fixture.handled == 1);
  socket.close();
  CHECK(fixture.RunUntil([&] { return fixture.memory->GetConnectionCount() == 0; }));
  CHECK(fixture.memory->GetUsed() >= 3 * kMaxBody);
  fixture.held.clear();
  CHECK(fixture.RunUntil([&] { return fixture.memory->GetUsed() == 0; }));
}

// Guards against callers that take all descriptors, so that nobody else can connect.
TEST_CASE("Connections beyond the bound take the place of those that have waited longest") {
  CallerFixture fixture;
  for (size_t i = 0; i < 3 * kMaxConnections; ++i) {
    fixture.Send(fixture.Connect(), "GET /unfinished HTTP/1.1\r\n");
    CHECK(fixture.server.GetConnectionCount() <= kMaxConnections);
  }
  CHECK(fixture.IsOrdinaryRequestAnswered());
}

}  // namespace
}  // namespace plantain

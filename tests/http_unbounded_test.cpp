#include "loop_asio.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "failure_type.h"
#include "http_client.h"

namespace plantain {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

const IpAddress kAddress("127.0.250.3");
// Far more than the sockets of both sides buffer, so that a sender that gets this far has a reader without a limit.
constexpr size_t kGiveUpBytes = 48 * 1024 * 1024;
constexpr size_t kPacedGiveUpBytes = 256 * 1024;
// Turns of the loop in which the client reads what the server has just sent.
constexpr int kPaceTurns = 6;
// Ends a test whose client neither reads nor closes.
constexpr Duration kWatchdog = std::chrono::seconds(20);
constexpr Duration kCallTimeout = std::chrono::seconds(10);

const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// What a server sends: first `begin`, then `unit` again and again.
struct EndlessAnswer {
  std::string begin;
  std::string unit;
  // Whether the client reads each unit by itself.
  bool is_paced = false;
};

// Server that sends an answer without end on each connection until the client closes it.
class EndlessServer {
 public:
  explicit EndlessServer(Loop& loop)
      : m_context(loop.GetImpl().context),
        m_acceptor(m_context, tcp::endpoint(asio::ip::make_address(kAddress.Get()), 0)) {
    Accept();
  }

  void SetAnswer(EndlessAnswer answer) { m_answer = std::move(answer); }
  void SetOnClosed(std::function<void()> callback) { m_on_closed = std::move(callback); }
  HttpTarget GetTarget() const { return {kAddress, Port(m_acceptor.local_endpoint().port())}; }
  size_t GetConnections() const { return m_sessions.size(); }
  size_t GetClosed() const { return m_closed; }
  bool HasGivenUp() const { return m_has_given_up; }

  // Sends bytes on the last connection.
  void SendNow(const std::string& bytes) { asio::write(m_sessions.back()->socket, asio::buffer(bytes)); }

 private:
  struct Session {
    explicit Session(asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    std::string request;
    size_t sent = 0;
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Accept() {
    auto session = std::make_shared<Session>(m_context);
    m_acceptor.async_accept(session->socket, [this, session](const ErrorCode& error) {
      if (error) return;
      m_sessions.push_back(session);
      session->socket.set_option(tcp::no_delay(true));
      ReadRequest(session);
      Accept();
    });
  }

  void ReadRequest(const SessionPtr& session) {
    asio::async_read_until(session->socket, asio::dynamic_buffer(session->request), "\r\n\r\n",
                           [this, session](const ErrorCode& error, size_t size) {
                             if (error) {
                               Close(session);
                               return;
                             }
                             session->request.erase(0, size);
                             Write(session, m_answer.begin);
                           });
  }

  void Write(const SessionPtr& session, const std::string& bytes) {
    asio::async_write(session->socket, asio::buffer(bytes), [this, session](const ErrorCode& error, size_t size) {
      session->sent += size;
      m_has_given_up = m_has_given_up || session->sent > (m_answer.is_paced ? kPacedGiveUpBytes : kGiveUpBytes);
      if (error || m_has_given_up) {
        Close(session);
      } else if (m_answer.unit.empty()) {
        ReadRequest(session);
      } else {
        WriteUnitAfter(session, m_answer.is_paced ? kPaceTurns : 0);
      }
    });
  }

  void WriteUnitAfter(const SessionPtr& session, int turns) {
    if (turns == 0) {
      Write(session, m_answer.unit);
      return;
    }
    asio::post(m_context, [this, session, turns] { WriteUnitAfter(session, turns - 1); });
  }

  void Close(const SessionPtr& session) {
    ErrorCode ignored;
    session->socket.close(ignored);
    ++m_closed;
    if (m_on_closed) m_on_closed();
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  EndlessAnswer m_answer;
  std::function<void()> m_on_closed;
  std::vector<SessionPtr> m_sessions;
  size_t m_closed = 0;
  bool m_has_given_up = false;
};

// A client and a server on one loop.
struct EndlessWorld {
  EndlessWorld()
      : server(loop), client(loop, answer_memory), watchdog(loop.RunAfter(kWatchdog, [this] { loop.Stop(); })) {}

  HttpCallOptions MakeOptions() const {
    HttpCallOptions options(64 * 1024);
    options.timeout = kCallTimeout;
    return options;
  }

  // Sends one request and runs the loop until its answer is there.
  absl::StatusOr<HttpResponse> Fetch() {
    std::optional<absl::StatusOr<HttpResponse>> result;
    client.Fetch(server.GetTarget(), HttpRequest{"GET", "/x", {}, ""}, MakeOptions(),
                 [&](absl::StatusOr<HttpResponse> response) {
                   result = std::move(response);
                   loop.Stop();
                 });
    loop.Run();
    loop.Restart();
    if (!result.has_value()) return MakeFailure(FailureCode::kUnknown, "the client does not end the call");
    return *std::move(result);
  }

  // Runs the loop until the server has noticed that so many connections are closed.
  void WaitUntilClosed(size_t count) {
    if (server.GetClosed() >= count) return;
    server.SetOnClosed([this, count] {
      if (server.GetClosed() >= count) loop.Stop();
    });
    loop.Run();
    loop.Restart();
  }

  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  EndlessServer server;
  HttpClient client;
  std::unique_ptr<Timer> watchdog;
};

// Checks that the client ends the call with a failure and closes the connection by itself.
void CheckRefused(const EndlessAnswer& answer) {
  EndlessWorld world;
  world.server.SetAnswer(answer);
  const absl::StatusOr<HttpResponse> response = world.Fetch();
  CHECK_FALSE(response.ok());
  if (!response.ok()) CHECK(GetFailureCode(response.status()) == FailureCode::kProtocol);
  if (!response.ok()) world.WaitUntilClosed(1);
  CHECK_FALSE(world.server.HasGivenUp());
}

// Guards against a head without end that holds a call and its memory until the time allowed is over.
TEST_CASE("A client refuses a head that does not end") {
  SECTION("status line") { CheckRefused({"HTTP/1.1 200 ", std::string(1000, 'x')}); }
  SECTION("one field") { CheckRefused({"HTTP/1.1 200 OK\r\nX: ", std::string(1000, 'x')}); }
  SECTION("bytes that are no head") { CheckRefused({"?", std::string(1000, '?')}); }
  SECTION("fields, each read by itself") {
    // A read that ends one byte into the next field lets the parser take each field before the head is whole.
    CheckRefused({"HTTP/1.1 200 OK\r\nX", ": " + std::string(123, 'x') + "\r\nX", true});
  }
  SECTION("fields, many read at once") {
    std::string fields;
    for (int i = 0; i < 100; ++i) fields += "X: " + std::string(123, 'x') + "\r\n";
    CheckRefused({"HTTP/1.1 200 OK\r\n", fields});
  }
}

// Guards against the bytes that frame a body growing without a limit in the client's memory.
TEST_CASE("A client refuses a chunk's head and a trailer that do not end") {
  SECTION("chunk size") { CheckRefused({kChunkedHead, std::string(1000, '0')}); }
  SECTION("chunk extension") { CheckRefused({kChunkedHead + "1;", std::string(1000, 'x')}); }
  SECTION("one trailer field") { CheckRefused({kChunkedHead + "0\r\nX: ", std::string(1000, 'x')}); }
  SECTION("trailer fields") { CheckRefused({kChunkedHead + "0\r\n", "X: " + std::string(995, 'x') + "\r\n"}); }
}

// Guards against a body without end that is read until the time allowed is over.
TEST_CASE("A client closes the connection when a body exceeds its limit") {
  SECTION("no length") { CheckRefused({"HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'b')}); }
  SECTION("chunks") { CheckRefused({kChunkedHead, "3e8\r\n" + std::string(1000, 'b') + "\r\n"}); }
  SECTION("a large length") {
    CheckRefused({"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", std::string(1000, 'b')});
  }
  SECTION("a large length and no body") {
    CheckRefused({"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", ""});
  }
}

// Guards against an informational head that is taken for the answer, and against such heads without end.
TEST_CASE("A client skips a few informational heads and refuses more") {
  SECTION("without end") { CheckRefused({"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n"}); }
  SECTION("a switch of protocols that was not asked for") {
    CheckRefused({"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "x"});
  }
  SECTION("one before the answer") {
    EndlessWorld world;
    world.server.SetAnswer({"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ""});
    const absl::StatusOr<HttpResponse> response = world.Fetch();
    REQUIRE(response.ok());
    CHECK(response->status == 200);
    CHECK(response->body == "ok");
  }
}

// Guards against limits that cut proper answers.
TEST_CASE("A client reads answers up to its limits in any form") {
  const std::string body(64 * 1024, 'b');
  EndlessWorld world;
  SECTION("length") { world.server.SetAnswer({"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + body, ""}); }
  SECTION("one chunk") { world.server.SetAnswer({kChunkedHead + "10000\r\n" + body + "\r\n0\r\n\r\n", ""}); }
  SECTION("chunks of one byte with an extension and a trailer") {
    std::string chunks;
    for (size_t i = 0; i < body.size(); ++i) chunks += "1;a=b\r\nb\r\n";
    world.server.SetAnswer({kChunkedHead + chunks + "0\r\nX: y\r\n\r\n", ""});
  }
  SECTION("a long head") {
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n";
    for (int i = 0; i < 50; ++i) head += "X: " + std::string(123, 'x') + "\r\n";
    world.server.SetAnswer({head + "\r\n" + body, ""});
  }
  for (int i = 0; i < 2; ++i) {
    const absl::StatusOr<HttpResponse> response = world.Fetch();
    REQUIRE(response.ok());
    CHECK(response->body == body);
  }
  CHECK(world.server.GetConnections() == 1);
}

// Guards against bytes after an answer that are taken for the next one.
TEST_CASE("A client drops a connection on which bytes follow a whole answer") {
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  EndlessWorld world;
  SECTION("with the answer") {
    world.server.SetAnswer({whole + "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n"});
    REQUIRE(world.Fetch().ok());
    world.WaitUntilClosed(1);
  }
  SECTION("after the answer") {
    world.server.SetAnswer({whole, ""});
    REQUIRE(world.Fetch().ok());
    world.server.SendNow("HTTP/1.1 200 OK\r\n");
  }
  world.server.SetAnswer({whole, ""});
  const absl::StatusOr<HttpResponse> response = world.Fetch();
  REQUIRE(response.ok());
  CHECK(response->body == "ok");
  CHECK(world.server.GetConnections() == 2);
}

// Guards against many answers without end that take the memory of the process together.
TEST_CASE("Answers that arrive at the same time share the memory for them") {
  constexpr size_t kMemory = 1024 * 1024;
  constexpr size_t kCalls = 40;
  MemoryBudget memory{Bytes(kMemory)};
  EndlessWorld world;
  HttpClient client(world.loop, memory);
  // Each call alone may have more than all of them may hold.
  HttpCallOptions options(8 * kMemory);
  options.timeout = kCallTimeout;
  size_t ended = 0;
  size_t used = 0;
  const auto watch =
      world.loop.RunEvery(Milliseconds(1), [&] { used = std::max<size_t>(used, memory.GetUsed().Get()); });
  SECTION("without a length") { world.server.SetAnswer({"HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'b')}); }
  SECTION("in chunks") { world.server.SetAnswer({kChunkedHead, "3e8\r\n" + std::string(1000, 'b') + "\r\n"}); }
  SECTION("with a length") {
    world.server.SetAnswer({"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", std::string(1000, 'b')});
  }
  for (size_t i = 0; i < kCalls; ++i) {
    client.Fetch(world.server.GetTarget(), HttpRequest{"GET", "/x", {}, ""}, options,
                 [&](const absl::StatusOr<HttpResponse>& response) {
                   CHECK(GetFailureCode(response.status()) == FailureCode::kMemoryLimit);
                   if (++ended == kCalls) world.loop.Stop();
                 });
  }
  world.loop.Run();
  world.loop.Restart();
  CHECK(ended == kCalls);
  CHECK(used <= kMemory);
  CHECK(used > 0);
  world.WaitUntilClosed(kCalls);
  CHECK(memory.GetUsed().Get() == 0);
  CHECK_FALSE(world.server.HasGivenUp());
}

}  // namespace
}  // namespace plantain

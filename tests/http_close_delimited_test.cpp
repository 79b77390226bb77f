#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "failure_type.h"
#include "http_client.h"
#include "loop_asio.h"
#include "loopback_address.h"

namespace plantain {
namespace {

using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// What the client made of one answer.
struct ReceivedAnswer {
  std::string body;
  absl::Status status;
};

// Sends a request to a server that answers with these bytes and then closes or resets the connection.
ReceivedAnswer FetchFrom(const std::string& answer, bool is_reset) {
  const HttpTarget target{MakeLoopbackAddress(103), Port(29992)};
  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  auto& context = loop.GetImpl().context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(boost::asio::ip::make_address(target.address.Get()), target.port.Get()));
  HttpClient client(loop, answer_memory);
  tcp::socket server(context);
  std::string request;
  ReceivedAnswer received;
  const auto finish = [&] {
    if (is_reset) server.set_option(boost::asio::socket_base::linger(true, 0));
    server.close();
  };
  HttpCallbacks callbacks;
  callbacks.on_data = [&](std::string_view data) {
    received.body += data;
    // The reset must not overtake the bytes.
    if (is_reset) finish();
  };
  callbacks.on_done = [&](const absl::Status& status) {
    received.status = status;
    loop.Stop();
  };
  acceptor.async_accept(server, [&](const ErrorCode& accept_error) {
    REQUIRE_FALSE(accept_error);
    boost::asio::async_read_until(server, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                  [&](const ErrorCode&, size_t) {
                                    boost::asio::write(server, boost::asio::buffer(answer));
                                    if (!is_reset) finish();
                                  });
  });
  const auto call =
      client.Send(target, HttpRequest{"GET", "/", {}, ""}, HttpCallOptions(1024 * 1024), std::move(callbacks));
  loop.Run();
  return received;
}

// Guards against an answer that an endpoint broke off and that looks complete, and against one that is complete and is
// taken for broken off because it has neither a length nor chunks.
TEST_CASE("An answer without a length ends with its connection, and is complete unless that is reset") {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  const std::string event = "id: 0\ndata: x\n\n";

  SECTION("closed") {
    const ReceivedAnswer received = FetchFrom(head + "\r\n" + event, false);
    CHECK(received.status.ok());
    CHECK(received.body == event);
  }
  SECTION("reset") {
    const ReceivedAnswer received = FetchFrom(head + "\r\n" + event, true);
    CHECK(GetFailureCode(received.status) == FailureCode::kConnectionLost);
    CHECK(received.body == event);
  }
  SECTION("closed before the last chunk") {
    const ReceivedAnswer received = FetchFrom(head + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n", false);
    CHECK(GetFailureCode(received.status) == FailureCode::kConnectionLost);
    CHECK(received.body == event);
  }
  SECTION("closed before its length is reached") {
    const ReceivedAnswer received = FetchFrom(head + "Content-Length: 99\r\n\r\n" + event, false);
    CHECK(GetFailureCode(received.status) == FailureCode::kConnectionLost);
  }
}

}  // namespace
}  // namespace plantain

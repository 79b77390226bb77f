#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "http_client.h"
#include "loop_asio.h"
#include "loopback_address.h"

namespace plantain {
namespace {

using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Guards against an endpoint that stands still and later runs a request whose caller has left: the rule GONE.
TEST_CASE("A cancelled call resets its connection") {
  const HttpTarget target{MakeLoopbackAddress(103), Port(29992)};
  Loop loop;
  auto& context = loop.GetImpl().context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(boost::asio::ip::make_address(target.address.Get()), target.port.Get()));
  HttpClient client(loop);
  const auto call = client.Send(target, HttpRequest{"POST", "/run", {}, "body"}, HttpCallOptions(), HttpCallbacks());
  tcp::socket server(context);
  std::string received;
  ErrorCode end;
  acceptor.async_accept(server, [&](const ErrorCode& accept_error) {
    REQUIRE_FALSE(accept_error);
    server.async_wait(tcp::socket::wait_read, [&](const ErrorCode&) {
      call->Cancel();
      boost::asio::async_read(server, boost::asio::dynamic_buffer(received), [&](const ErrorCode& error, size_t) {
        end = error;
        loop.Stop();
      });
    });
  });
  loop.Run();
  CHECK(end == boost::asio::error::connection_reset);
}

}  // namespace
}  // namespace plantain

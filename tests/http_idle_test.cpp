#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "http_client.h"
#include "http_server.h"
#include "loopback_address.h"
#include "unlimited_caller_memory.h"

namespace plantain {
namespace {

constexpr size_t kMaxBodyBytes = 1024;
// Ends a test whose client closes nothing.
constexpr Duration kWatchdog = std::chrono::seconds(10);
constexpr int kServers = 12;

// Servers on addresses of their own, as endpoints that replace each other have.
struct ReplacedServers {
  ReplacedServers() : watchdog(loop.RunAfter(kWatchdog, [this] { loop.Stop(); })) {
    for (int i = 0; i < kServers; ++i) {
      const HttpTarget target{MakeLoopbackAddress(110 + i), Port(29994)};
      targets.push_back(target);
      servers.push_back(
          std::make_unique<HttpServer>(loop, MakeUnlimitedCallerMemory(), target.address, target.port, kMaxBodyBytes,
                                       [](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
                                         responder->Send(MakeTextResponse(200, "ok"));
                                       }));
      REQUIRE(servers.back()->Start().ok());
    }
  }

  bool Fetch(const HttpTarget& target, Duration max_idle) {
    HttpCallOptions options(kMaxBodyBytes);
    options.max_idle = max_idle;
    bool is_ok = false;
    client.Fetch(target, HttpRequest{"GET", "/x", {}, ""}, options, [&](const absl::StatusOr<HttpResponse>& response) {
      is_ok = response.ok();
      loop.Stop();
    });
    loop.Run();
    loop.Restart();
    return is_ok;
  }

  size_t CountConnections() const {
    size_t count = 0;
    for (const auto& server : servers) count += server->GetConnectionCount();
    return count;
  }

  MemoryBudget answer_memory{Bytes(1024 * 1024)};
  Loop loop;
  std::vector<HttpTarget> targets;
  std::vector<std::unique_ptr<HttpServer>> servers;
  HttpClient client{loop, answer_memory};
  std::unique_ptr<Timer> watchdog;
};

// Guards against connections to servers that are never called again, which stay open until the process has no
// descriptors left.
TEST_CASE("A client closes kept connections that no call may use any more") {
  ReplacedServers world;

  SECTION("while it calls other servers") {
    for (const HttpTarget& target : world.targets) REQUIRE(world.Fetch(target, Milliseconds(50)));
    while (world.CountConnections() > 1) REQUIRE(world.Fetch(world.targets.front(), Milliseconds(50)));
  }
  SECTION("and keeps the others") {
    for (int i = 0; i < 2; ++i) {
      for (const HttpTarget& target : world.targets) REQUIRE(world.Fetch(target, std::chrono::hours(1)));
    }
    CHECK(world.CountConnections() == kServers);
  }
}

}  // namespace
}  // namespace plantain

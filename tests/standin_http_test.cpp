#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "failure_type.h"
#include "http_client.h"
#include "http_server.h"
#include "loopback_address.h"
#include "unlimited_caller_memory.h"

namespace plantain {
namespace {

const HttpTarget kTarget{MakeLoopbackAddress(101), Port(29990)};
constexpr size_t kMaxBodyBytes = 1024;

// Sends one request and runs the loop until it completes.
absl::StatusOr<HttpResponse> FetchOnce(Loop& loop, HttpClient& client,
                                       const HttpRequest& request = {"GET", "/x", {}, ""}) {
  std::optional<absl::StatusOr<HttpResponse>> result;
  HttpCallOptions options(1024 * 1024);
  client.Fetch(kTarget, request, options, [&](absl::StatusOr<HttpResponse> response) {
    result = std::move(response);
    loop.Stop();
  });
  loop.Run();
  return *result;
}

// Guards against the client rejecting every answer with a Content-Length. Boost 1.74 does so if no body limit is set.
TEST_CASE("The HTTP client reads answers with a Content-Length") {
  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  HttpClient client(loop, answer_memory);
  const std::string body(GENERATE(0, 1, 700, 100'000), 'b');
  HttpServer server(loop, MakeUnlimitedCallerMemory(), kTarget.address, kTarget.port, kMaxBodyBytes,
                    [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
                      responder->Send(MakeTextResponse(200, body));
                    });
  REQUIRE(server.Start().ok());

  const absl::StatusOr<HttpResponse> response = FetchOnce(loop, client);
  REQUIRE(response.ok());
  CHECK(response->status == 200);
  CHECK(response->body == body);
}

// Guards against a request that ends the process, because the library throws for it: review/6, LOST.
TEST_CASE("The HTTP client refuses a body that HTTP gives the method none") {
  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  HttpClient client(loop, answer_memory);
  const absl::StatusOr<HttpResponse> response = FetchOnce(loop, client, {"TRACE", "/x", {}, "ab"});
  REQUIRE_FALSE(response.ok());
  CHECK(GetFailureCode(response.status()) == FailureCode::kProtocol);
}

}  // namespace
}  // namespace plantain

#include "caller_protocol.h"

#include <catch2/catch.hpp>

namespace plantain::hosted {
namespace {

std::vector<PromptPartId> ParseParts(const std::string& field) {
  HttpRequest request;
  request.target = "/a/";
  request.headers.Add("Plantainmast-Attempt-Id", "r1");
  request.headers.Add("Plantainmast-Prefix-Hash", field);
  const auto parsed = HostedCallerProtocol().ParseRequest(std::move(request));
  REQUIRE(parsed.ok());
  return parsed->shared_parts;
}

// Guards against blaming a part that belongs to one request only, and against memory that a caller's header fills.
TEST_CASE("The shared parts of a prompt are read without the request's own part") {
  CHECK(ParseParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250") ==
        std::vector{PromptPartId("5c1e07a2"), PromptPartId("91bd3f06")});
  CHECK(ParseParts("e4402b7d:250").empty());
  CHECK(ParseParts("").empty());
  CHECK(ParseParts(",:5,5c1e07a2,e4402b7d:250") == std::vector{PromptPartId("5c1e07a2")});

  SECTION("overlong ids and lists are cut") {
    CHECK(ParseParts(std::string(5000, 'a') + ":1,b:2,c:3") == std::vector{PromptPartId("b")});
    std::string many;
    for (int i = 0; i < 1000; ++i) many += std::to_string(i) + ":1,";
    CHECK(ParseParts(many + "own:1").size() == kMaxSharedParts);
  }
}

}  // namespace
}  // namespace plantain::hosted

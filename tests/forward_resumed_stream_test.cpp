#include <catch2/catch.hpp>

#include "failure_type.h"
#include "forward_fake.h"

namespace plantain {
namespace {

const std::string kFirstEvents = "id: 1\ndata: a\n\n";

// Guards against the text of an endpoint's error, or its head, in the middle of a caller's stream, and against a broken
// stream that ends as if it were complete.
TEST_CASE(
    "What another endpoint answers to a stream that broke off never reaches the caller unless it goes on with it") {
  ForwardFixture fixture({MakeEndpoint("e1", kEnginePool, "praha"), MakeEndpoint("e2", kEnginePool, "brno")});
  const auto caller = fixture.SendRequest("/draft/1", "6000");
  fixture.sender.At(0).BeginStream();
  fixture.sender.At(0).SendData(kFirstEvents + "id: 2\nda");
  fixture.sender.At(0).FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
  REQUIRE(fixture.sender.GetCount() == 2);
  FakeAttemptSender::Sent& second = fixture.sender.At(1);

  SECTION("an error, as text or as a stream") {
    const std::string type = GENERATE("text/plain", "text/event-stream");
    const int status = GENERATE(400, 500, 503);
    second.SendHead(status, {{"Plantainmast-Server-Stamp", "s"}, {"Content-Type", type}});
    second.SendData("id: 2\ndata: broken\n\n");
    second.FinishResponse();
  }
  SECTION("a refusal without running it") { second.RefuseAsNotRun(); }
  SECTION("a success that is no stream") { second.SendResponse(200, "whole"); }
  SECTION("a stream without a receipt") {
    second.SendHead(200, {{"Content-Type", "text/event-stream"}});
    second.SendData("id: 2\ndata: b\n\n");
    second.FinishResponse();
  }
  SECTION("a stream without a length whose connection ends before any event") {
    second.BeginStream();
    second.FinishResponse();
  }
  SECTION("nothing but the end of the connection") {
    second.FinishResponse(MakeFailure(FailureCode::kConnectionLost, "end of stream"));
  }
  CHECK(caller->body == kFirstEvents);
  CHECK(caller->is_aborted);
  CHECK_FALSE(caller->is_complete);
  // The request has one end, the one that this side decided on.
  CHECK(fixture.metrics.GetText().find("caller_gone") == std::string::npos);
}

// Guards against parts of two runs in one stream: without event IDs, another endpoint begins with the first event
// again.
TEST_CASE("A stream whose events have no IDs is not begun anew at another endpoint") {
  ForwardFixture fixture({MakeEndpoint("e1", kEnginePool, "praha"), MakeEndpoint("e2", kEnginePool, "brno")});
  const auto caller = fixture.SendRequest("/draft/1", "6000");
  fixture.sender.At(0).BeginStream();
  fixture.sender.At(0).SendData("data: a\n\n");
  SECTION("its connection is lost") {
    fixture.sender.At(0).FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
    CHECK(caller->is_aborted);
  }
  SECTION("its endpoint is silent") {
    fixture.AdvanceTime(Milliseconds(1300));
    CHECK_FALSE(caller->is_aborted);
  }
  CHECK(fixture.sender.GetCount() == 1);
  CHECK(caller->body == "data: a\n\n");
}

TEST_CASE("A resumed stream that has nothing left and ends explicitly is complete") {
  ForwardFixture fixture({MakeEndpoint("e1", kEnginePool, "praha"), MakeEndpoint("e2", kEnginePool, "brno")});
  const auto caller = fixture.SendRequest("/draft/1", "6000");
  fixture.sender.At(0).BeginStream();
  fixture.sender.At(0).SendData(kFirstEvents);
  fixture.sender.At(0).FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
  REQUIRE(fixture.sender.GetCount() == 2);
  fixture.sender.At(1).SendHead(200, {{"Plantainmast-Server-Stamp", "s"},
                                      {"Content-Type", "text/event-stream"},
                                      {"Plantainmast-Weight-Versions", "1"},
                                      {"Transfer-Encoding", "chunked"}});
  fixture.sender.At(1).FinishResponse();
  CHECK(caller->is_complete);
  CHECK(caller->body == kFirstEvents);
}

}  // namespace
}  // namespace plantain

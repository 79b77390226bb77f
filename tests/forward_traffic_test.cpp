#include "forward_traffic.h"

#include <catch2/catch.hpp>

#include "failure_type.h"
#include "forward_fake.h"

namespace plantain {
namespace {

std::vector<EndpointInfo> MakeRegisters() {
  return {MakeEndpoint("g1", kRegisterPool, "praha"), MakeEndpoint("g2", kRegisterPool, "brno")};
}

std::vector<EndpointInfo> MakeEngines() {
  return {MakeEndpoint("e1", kEnginePool, "praha"), MakeEndpoint("e2", kEnginePool, "praha")};
}

// Guards against a request that is executed twice, or reported as not run although it may have run.
TEST_CASE("A request that must run once is retried only if it is known not to have run") {
  ForwardWorld world(MakeRegisters());
  const auto caller = world.Ask("/seal/1", "1000");
  REQUIRE(world.sender.GetCount() == 1);
  ForwardSenderFake::Sent& first = world.sender.At(0);

  SECTION("it uses a new connection, since a keep-alive connection may be closing") {
    CHECK(first.options.max_idle == Duration::zero());
  }

  SECTION("the endpoint reports that it has not run the request") {
    first.RefuseAsNotRun();
    REQUIRE(world.sender.GetCount() == 2);
    CHECK(world.sender.At(1).GetEndpoint() != first.GetEndpoint());
    world.sender.At(1).AnswerWhole(200, "sealed");
    CHECK(caller->status == 200);
    CHECK(caller->body == "sealed");
  }

  SECTION("the connection attempt fails") {
    first.Done(MakeFailure(FailureCode::kConnectFailed, "refused"));
    CHECK(world.sender.GetCount() == 2);
  }

  SECTION("the connection is reset after the request was sent") {
    first.Done(MakeFailure(FailureCode::kProtocol, "reset"));
    CHECK(world.sender.GetCount() == 1);
    CHECK(caller->status == 502);
  }

  SECTION("the endpoint sends nothing until the deadline") {
    world.Pass(Milliseconds(1010));
    CHECK(world.sender.GetCount() == 1);
    CHECK(caller->status == 504);
  }

  SECTION("the response has a status that would guarantee that the request has not run") {
    first.AnswerWhole(503, "busy");
    CHECK(world.sender.GetCount() == 1);
    CHECK(caller->status == 502);
  }

  SECTION("an endpoint's error response is forwarded unchanged") {
    first.AnswerWhole(500, "no");
    CHECK(caller->status == 500);
    CHECK(caller->body == "no");
  }

  SECTION("a caller that disconnects does not cancel the request") {
    caller->on_closed();
    CHECK_FALSE(first.is_cancelled);
  }
}

// Guards against forwarding responses that belong to another request or are incomplete.
TEST_CASE("Only a complete response to the request itself counts as success") {
  ForwardWorld world(MakeRegisters());
  const auto caller = world.Ask("/look/1", "1000");
  ForwardSenderFake::Sent& first = world.sender.At(0);

  SECTION("a response with another request ID is not forwarded") {
    HttpHeaders headers;
    headers.Add("Plantainmast-Attempt-Id", "somebody-else");
    headers.Add("Plantainmast-Server-Stamp", "s");
    first.callbacks.on_head(200, headers);
    first.Data("other");
    first.Done();
    REQUIRE(world.sender.GetCount() == 2);
    world.sender.At(1).AnswerWhole(200, "mine");
    CHECK(caller->body == "mine");
  }

  SECTION("a success without a receipt is not forwarded") {
    first.Head(200, {});
    first.Data("?");
    first.Done();
    REQUIRE(world.sender.GetCount() == 2);
    world.sender.At(1).RefuseAsNotRun();
    CHECK(caller->status == 502);
  }

  SECTION("an endpoint's error response is forwarded if no further attempt succeeds") {
    first.AnswerWhole(500, "first");
    world.sender.At(1).AnswerWhole(500, "second");
    CHECK(caller->status == 500);
    CHECK(world.sender.GetCount() == 2);
  }

  SECTION("an unresponsive endpoint is abandoned in time to try another one") {
    world.Pass(Milliseconds(470));
    REQUIRE(world.sender.GetCount() == 2);
    CHECK(first.is_cancelled);
  }

  SECTION("a caller that disconnects cancels the attempt") {
    caller->on_closed();
    CHECK(first.is_cancelled);
    CHECK(world.traffic->GetInFlight() == 0);
  }
}

// Guards against streams with missing, repeated or truncated events.
TEST_CASE("A stream resumes at another endpoint after its last complete event") {
  ForwardWorld world(MakeEngines());
  const auto caller = world.Ask("/draft/1", "6000");
  ForwardSenderFake::Sent& first = world.sender.At(0);
  first.BeginStream();
  first.Data("id: 1\ndata: a\n\nid: 2\nda");
  CHECK(caller->body == "id: 1\ndata: a\n\n");

  SECTION("the connection is lost within an event") {
    first.Done(MakeFailure(FailureCode::kProtocol, "reset"));
    REQUIRE(world.sender.GetCount() == 2);
    ForwardSenderFake::Sent& second = world.sender.At(1);
    CHECK(second.GetField("Last-Event-Id") == "1");
    CHECK(second.GetField("Plantainmast-Expect-Version") == "1");
    second.BeginStream();
    second.Data("id: 2\ndata: b\n\n");
    second.Done();
    CHECK(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(caller->is_complete);
  }

  SECTION("events that the caller has already received are dropped") {
    first.Done(MakeFailure(FailureCode::kProtocol, "reset"));
    ForwardSenderFake::Sent& second = world.sender.At(1);
    second.BeginStream();
    second.Data("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }

  SECTION("a stream whose response ends within an event is not reported as complete") {
    first.Done();
    world.sender.At(1).Done(MakeFailure(FailureCode::kProtocol, "reset"));
    CHECK(caller->is_cut);
    CHECK_FALSE(caller->is_complete);
  }

  SECTION("a gap in the event IDs cancels the attempt") {
    first.Data("ta: b\n\nid: 4\ndata: d\n\n");
    CHECK(first.is_cancelled);
    CHECK(caller->body == "id: 1\ndata: a\n\n");
  }

  SECTION("the route's timeout aborts the stream") {
    world.Pass(Milliseconds(6010));
    CHECK(caller->is_cut);
  }
}

// Guards against overload in which callers wait long before they are refused, or are never refused.
TEST_CASE("When demand exceeds the endpoints' capacity, callers are refused early") {
  ForwardWorld world({MakeEndpoint("e1", kEnginePool, "praha")});
  std::vector<std::shared_ptr<ForwardCallerFake>> callers;
  // Four requests run and one waits in the endpoint's queue.
  for (int i = 0; i < 5; ++i) callers.push_back(world.Ask("/draft/1", "6000"));
  REQUIRE(world.sender.GetCount() == 5);

  SECTION("the next request waits for a free slot") {
    const auto next = world.Ask("/draft/1", "6000");
    world.sender.At(0).BeginStream();
    world.sender.At(0).Data("id: 1\ndata: a\n\n");
    world.sender.At(0).Done();
    CHECK(world.sender.GetCount() == 6);
    CHECK(next->status == 0);
  }

  SECTION("a queued request that can no longer meet its latency goal is refused with Retry-After") {
    const auto next = world.Ask("/draft/1", "6000");
    world.Pass(Milliseconds(200));
    CHECK(next->status == 503);
    CHECK_FALSE(next->headers.Find("Retry-After").empty());
  }

  SECTION("requests that can meet their latency goal precede retries that cannot") {
    const auto late = world.Ask("/draft/1", "4000");
    const auto fresh = world.Ask("/draft/1", "6000");
    world.sender.At(0).BeginStream();
    world.sender.At(0).Data("id: 1\ndata: a\n\n");
    world.sender.At(0).Done();
    REQUIRE(world.sender.GetCount() == 6);
    CHECK(world.sender.At(5).GetField("Plantainmast-Attempt-Id") == "r7");
  }
}

// Guards against requests that are interrupted because their entry stops.
TEST_CASE("A draining entry accepts only requests that it can finish") {
  ForwardWorld world(MakeEngines());
  world.traffic->BeginDrain(world.clock.GetNow() + Milliseconds(7600));
  CHECK(world.Ask("/draft/1", "6000")->status == 0);
  world.Pass(Milliseconds(2600));
  const auto caller = world.Ask("/draft/1", "6000");
  CHECK(caller->status == 503);
  CHECK_FALSE(caller->headers.Find("Retry-After").empty());
  // The first request may have been retried; the refused one was never sent.
  for (size_t i = 0; i < world.sender.GetCount(); ++i) {
    CHECK(world.sender.At(i).GetField("Plantainmast-Attempt-Id") == "r1");
  }
}

// Guards against requests that start on a superseded weight version.
TEST_CASE("Superseded weights get no new requests after the time limit for a version change") {
  ForwardWorld world(MakeEngines());
  world.fleet = std::make_shared<FleetView>(*world.fleet);
  world.fleet->endpoints[1].loaded[kVeilModel] = WeightVersion(3);
  world.fleet->wanted = {{kVeilModel, WeightVersion(2), world.clock.GetNow()},
                         {kVeilModel, WeightVersion(3), world.clock.GetNow() + std::chrono::seconds(4)}};
  world.traffic->SetFleet(world.fleet);
  world.Pass(Milliseconds(6900));
  for (int i = 0; i < 4; ++i) world.Ask("/draft/1", "6000");
  REQUIRE(world.sender.GetCount() == 4);
  for (size_t i = 0; i < 4; ++i) {
    CHECK(world.sender.At(i).GetEndpoint() == "e2");
    CHECK(world.sender.At(i).GetField("Plantainmast-Expect-Version") == "3");
  }
}

// Guards against serving callers that are not in the configuration, and against forwarding API keys to endpoints.
TEST_CASE("API keys select the workspace and are not forwarded to endpoints") {
  ForwardWorld world(MakeRegisters());
  auto document = MakeForwardDocument();
  document->has_workspaces = true;
  WorkspaceKeys workspace;
  workspace.name = WorkspaceName("maker");
  workspace.keys = {"k1"};
  document->workspaces = {workspace};
  world.fleet = std::make_shared<FleetView>(*world.fleet);
  world.fleet->routing = document;
  world.traffic->SetFleet(world.fleet);

  SECTION("known key") {
    world.Ask("/look/1", "1000", {{"X-Api-Key", "k1"}, {"Plantainmast-Tenant", "forged"}});
    REQUIRE(world.sender.GetCount() == 1);
    CHECK(world.sender.At(0).GetField("X-Api-Key").empty());
    CHECK(world.sender.At(0).GetField("Plantainmast-Tenant") == "maker");
  }
  SECTION("unknown key") { CHECK(world.Ask("/look/1", "1000", {{"X-Api-Key", "k2"}})->status == 401); }
  SECTION("unknown path") { CHECK(world.Ask("/none/1", "1000", {{"X-Api-Key", "k1"}})->status == 404); }
  SECTION("no configuration") {
    ForwardTraffic fresh(world.clock, world.random, world.protocol, world.sender, world.forward_metrics,
                         ForwardWorld::MakeOptions());
    HttpRequest request{"GET", "/look/1", {}, ""};
    request.headers.Add("Host", "h.example");
    request.headers.Add("Plantainmast-Attempt-Id", "r");
    auto caller = std::make_shared<ForwardCallerFake>();
    fresh.HandleHttp(std::move(request), caller);
    CHECK(caller->status == 503);
  }
}

}  // namespace
}  // namespace plantain

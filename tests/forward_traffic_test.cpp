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
  ForwardFixture fixture(MakeRegisters());
  const auto caller = fixture.SendRequest("/seal/1", "1000");
  REQUIRE(fixture.sender.GetCount() == 1);
  FakeAttemptSender::Sent& first = fixture.sender.At(0);

  SECTION("it uses a new connection, since a keep-alive connection may be closing") {
    CHECK(first.options.max_idle == Duration::zero());
  }

  SECTION("the endpoint reports that it has not run the request") {
    first.RefuseAsNotRun();
    REQUIRE(fixture.sender.GetCount() == 2);
    CHECK(fixture.sender.At(1).GetEndpoint() != first.GetEndpoint());
    fixture.sender.At(1).SendResponse(200, "sealed");
    CHECK(caller->status == 200);
    CHECK(caller->body == "sealed");
  }

  SECTION("the connection attempt fails") {
    first.FinishResponse(MakeFailure(FailureCode::kConnectFailed, "refused"));
    CHECK(fixture.sender.GetCount() == 2);
  }

  SECTION("the connection is reset after the request was sent") {
    first.FinishResponse(MakeFailure(FailureCode::kProtocol, "reset"));
    CHECK(fixture.sender.GetCount() == 1);
    CHECK(caller->status == 502);
  }

  SECTION("the endpoint sends nothing until the deadline") {
    fixture.AdvanceTime(Milliseconds(1010));
    CHECK(fixture.sender.GetCount() == 1);
    CHECK(caller->status == 504);
  }

  SECTION("the response has a status that would guarantee that the request has not run") {
    first.SendResponse(503, "busy");
    CHECK(fixture.sender.GetCount() == 1);
    CHECK(caller->status == 502);
  }

  SECTION("an endpoint's error response is forwarded unchanged") {
    first.SendResponse(500, "no");
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
  ForwardFixture fixture(MakeRegisters());
  const auto caller = fixture.SendRequest("/look/1", "1000");
  FakeAttemptSender::Sent& first = fixture.sender.At(0);

  SECTION("a response with another request ID is not forwarded") {
    HttpHeaders headers;
    headers.Add("Plantainmast-Attempt-Id", "somebody-else");
    headers.Add("Plantainmast-Server-Stamp", "s");
    first.callbacks.on_head(200, headers);
    first.SendData("other");
    first.FinishResponse();
    REQUIRE(fixture.sender.GetCount() == 2);
    fixture.sender.At(1).SendResponse(200, "mine");
    CHECK(caller->body == "mine");
  }

  SECTION("a success without a receipt is not forwarded") {
    first.SendHead(200, {});
    first.SendData("?");
    first.FinishResponse();
    REQUIRE(fixture.sender.GetCount() == 2);
    fixture.sender.At(1).RefuseAsNotRun();
    CHECK(caller->status == 502);
  }

  SECTION("an endpoint's error response is forwarded if no further attempt succeeds") {
    first.SendResponse(500, "first");
    fixture.sender.At(1).SendResponse(500, "second");
    CHECK(caller->status == 500);
    CHECK(fixture.sender.GetCount() == 2);
  }

  SECTION("another endpoint is tried in time beside one that does not respond, which is cancelled once it answers") {
    fixture.AdvanceTime(Milliseconds(470));
    REQUIRE(fixture.sender.GetCount() == 2);
    CHECK_FALSE(first.is_cancelled);
    fixture.sender.At(1).SendResponse(200, "second");
    CHECK(first.is_cancelled);
    CHECK(caller->body == "second");
  }

  SECTION("a caller that disconnects cancels the attempt") {
    caller->on_closed();
    CHECK(first.is_cancelled);
    CHECK(fixture.traffic->GetInFlight() == 0);
  }
}

// Guards against streams with missing, repeated or truncated events.
TEST_CASE("A stream resumes at another endpoint after its last complete event") {
  ForwardFixture fixture(MakeEngines());
  const auto caller = fixture.SendRequest("/draft/1", "6000");
  FakeAttemptSender::Sent& first = fixture.sender.At(0);
  first.BeginStream();
  first.SendData("id: 1\ndata: a\n\nid: 2\nda");
  CHECK(caller->body == "id: 1\ndata: a\n\n");

  SECTION("the connection is lost within an event") {
    first.FinishResponse(MakeFailure(FailureCode::kProtocol, "reset"));
    REQUIRE(fixture.sender.GetCount() == 2);
    FakeAttemptSender::Sent& second = fixture.sender.At(1);
    CHECK(second.GetField("Last-Event-Id") == "1");
    CHECK(second.GetField("Plantainmast-Expect-Version") == "1");
    second.BeginStream();
    second.SendData("id: 2\ndata: b\n\n");
    second.FinishResponse();
    CHECK(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(caller->is_complete);
  }

  SECTION("events that the caller has already received are dropped") {
    first.FinishResponse(MakeFailure(FailureCode::kProtocol, "reset"));
    FakeAttemptSender::Sent& second = fixture.sender.At(1);
    second.BeginStream();
    second.SendData("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }

  SECTION("a stream whose response ends within an event is not reported as complete") {
    first.FinishResponse();
    fixture.sender.At(1).FinishResponse(MakeFailure(FailureCode::kProtocol, "reset"));
    CHECK(caller->is_aborted);
    CHECK_FALSE(caller->is_complete);
  }

  SECTION("a gap in the event IDs cancels the attempt") {
    first.SendData("ta: b\n\nid: 4\ndata: d\n\n");
    CHECK(first.is_cancelled);
    CHECK(caller->body == "id: 1\ndata: a\n\n");
  }

  SECTION("the route's timeout aborts the stream") {
    fixture.AdvanceTime(Milliseconds(6010));
    CHECK(caller->is_aborted);
  }
}

// Guards against reserves of entries that add up to a multiple of the budget of the fleet.
TEST_CASE("The retry reserves of all entries together stay within the budget, whatever their number") {
  for (const size_t entries : {4, 16, 64}) {
    INFO("entries " << entries);
    ForwardOptions options = ForwardFixture::MakeOptions();
    options.retry_slack = 100;
    options.balancer.self = VmId("vm0");
    ForwardFixture fixture({MakeEndpoint("g1", kRegisterPool, "praha"), MakeEndpoint("g2", kRegisterPool, "praha")},
                           options);
    EntryView view;
    for (size_t i = 0; i < entries; ++i) view.entries.push_back({VmId("vm" + std::to_string(i)), {}, {}});
    fixture.traffic->SetEntries(view);
    size_t retries = 0;
    for (int i = 0; i < 100; ++i) {
      fixture.AdvanceTime(Milliseconds(100));
      const size_t sent = fixture.sender.GetCount();
      fixture.SendRequest("/seal/1", "1000");
      REQUIRE(fixture.sender.GetCount() == sent + 1);
      fixture.sender.At(sent).RefuseAsNotRun();
      if (fixture.sender.GetCount() == sent + 1) continue;
      ++retries;
      fixture.sender.At(sent + 1).SendResponse(200, "sealed");
    }
    // 100 first attempts add 15 to what was saved.
    CHECK(static_cast<double>(retries) <= 16 + 100.0 / static_cast<double>(entries));
  }
}

// Guards against requests that are refused for lack of a retry budget although nothing has arrived anywhere.
TEST_CASE("An attempt whose connection fails uses no retry budget") {
  ForwardOptions options = ForwardFixture::MakeOptions();
  options.retry_slack = 0;
  ForwardFixture fixture(MakeRegisters(), options);
  const auto caller = fixture.SendRequest("/seal/1", "1000");
  fixture.sender.At(0).FinishResponse(MakeFailure(FailureCode::kConnectFailed, "refused"));
  REQUIRE(fixture.sender.GetCount() == 2);
  fixture.sender.At(1).SendResponse(200, "sealed");
  CHECK(caller->status == 200);
}

// Guards against overload in which callers wait long before they are refused, or are never refused.
TEST_CASE("When demand exceeds the endpoints' capacity, callers are refused early") {
  ForwardFixture fixture({MakeEndpoint("e1", kEnginePool, "praha")});
  std::vector<std::shared_ptr<FakeForwardCaller>> callers;
  // Four requests run and one waits in the endpoint's queue.
  for (int i = 0; i < 5; ++i) callers.push_back(fixture.SendRequest("/draft/1", "6000"));
  REQUIRE(fixture.sender.GetCount() == 5);

  SECTION("the next request waits for a free slot") {
    const auto next = fixture.SendRequest("/draft/1", "6000");
    fixture.sender.At(0).BeginStream();
    fixture.sender.At(0).SendData("id: 1\ndata: a\n\n");
    fixture.sender.At(0).FinishResponse();
    CHECK(fixture.sender.GetCount() == 6);
    CHECK(next->status == 0);
  }

  SECTION("a queued request that can no longer meet its latency goal is refused with Retry-After") {
    const auto next = fixture.SendRequest("/draft/1", "6000");
    fixture.AdvanceTime(Milliseconds(200));
    CHECK(next->status == 503);
    CHECK_FALSE(next->headers.Find("Retry-After").empty());
  }

  SECTION("requests that can meet their latency goal precede retries that cannot") {
    const auto late = fixture.SendRequest("/draft/1", "4000");
    const auto fresh = fixture.SendRequest("/draft/1", "6000");
    fixture.sender.At(0).BeginStream();
    fixture.sender.At(0).SendData("id: 1\ndata: a\n\n");
    fixture.sender.At(0).FinishResponse();
    REQUIRE(fixture.sender.GetCount() == 6);
    CHECK(fixture.sender.At(5).GetField("Plantainmast-Attempt-Id") == "r7");
  }
}

// Guards against requests that are interrupted because their entry stops.
TEST_CASE("A draining entry accepts only requests that it can finish") {
  ForwardFixture fixture(MakeEngines());
  const TimePoint now = fixture.clock.GetNow();
  fixture.traffic->BeginDrain(now + Milliseconds(2600), now + Milliseconds(7600));
  CHECK(fixture.SendRequest("/draft/1", "6000")->status == 0);
  fixture.AdvanceTime(Milliseconds(2600));
  // A retry whose caller waits for less than the process has left.
  CHECK(fixture.SendRequest("/draft/1", "4000")->status == 0);
  CHECK(fixture.sender.At(fixture.sender.GetCount() - 1).GetField("Plantainmast-Attempt-Id") == "r2");
  const auto caller = fixture.SendRequest("/draft/1", "6000");
  CHECK(caller->status == 503);
  CHECK_FALSE(caller->headers.Find("Retry-After").empty());
  // The accepted requests may have been retried; the refused ones were never sent.
  for (size_t i = 0; i < fixture.sender.GetCount(); ++i) {
    const std::string request = fixture.sender.At(i).GetField("Plantainmast-Attempt-Id");
    CHECK((request == "r1" || request == "r2"));
  }
}

// Guards against requests that start on a superseded weight version.
TEST_CASE("Superseded weights get no new requests after the time limit for a version change") {
  ForwardFixture fixture(MakeEngines());
  fixture.fleet = std::make_shared<FleetView>(*fixture.fleet);
  fixture.fleet->endpoints[1].loaded[kVeilModel] = WeightVersion(3);
  fixture.fleet->wanted = {{kVeilModel, WeightVersion(2), fixture.clock.GetNow()},
                           {kVeilModel, WeightVersion(3), fixture.clock.GetNow() + std::chrono::seconds(4)}};
  fixture.traffic->SetFleet(fixture.fleet);
  fixture.AdvanceTime(Milliseconds(6900));
  for (int i = 0; i < 4; ++i) fixture.SendRequest("/draft/1", "6000");
  REQUIRE(fixture.sender.GetCount() == 4);
  for (size_t i = 0; i < 4; ++i) {
    CHECK(fixture.sender.At(i).GetEndpoint() == "e2");
    CHECK(fixture.sender.At(i).GetField("Plantainmast-Expect-Version") == "3");
  }
}

// Guards against a request without a model name that starts on a superseded weight version.
TEST_CASE("A request that names no model runs on the model of its pool") {
  ForwardFixture fixture(MakeEngines());
  fixture.SetWanted({{kVeilModel, WeightVersion(2), fixture.clock.GetNow()}});
  fixture.AdvanceTime(Milliseconds(6900));
  const auto caller = fixture.SendRequest("/draft/1", "6000", {}, false);
  CHECK(fixture.sender.GetCount() == 0);
}

// Guards against a stream that breaks after the limit of its weight version and is started again on that version.
TEST_CASE("A broken stream does not resume on a weight version whose time limit has passed") {
  ForwardFixture fixture(MakeEngines());
  fixture.SetWanted({{kVeilModel, WeightVersion(2), fixture.clock.GetNow()}});
  fixture.AdvanceTime(Milliseconds(6000));
  const auto caller = fixture.SendRequest("/draft/1", "6000");
  FakeAttemptSender::Sent& first = fixture.sender.At(0);
  first.BeginStream();
  first.SendData("id: 1\ndata: a\n\n");

  SECTION("before the limit it resumes") {
    fixture.AdvanceTime(Milliseconds(500));
    first.FinishResponse(MakeFailure(FailureCode::kProtocol, "reset"));
    REQUIRE(fixture.sender.GetCount() == 2);
    CHECK(fixture.sender.At(1).GetField("Plantainmast-Expect-Version") == "1");
  }

  SECTION("after the limit the caller is told at once and resumes on the new version") {
    fixture.AdvanceTime(Milliseconds(900));
    first.FinishResponse(MakeFailure(FailureCode::kProtocol, "reset"));
    CHECK(fixture.sender.GetCount() == 1);
    CHECK(caller->is_aborted);
    fixture.fleet->endpoints[1].loaded[kVeilModel] = WeightVersion(2);
    fixture.traffic->SetFleet(fixture.fleet);
    fixture.SendRequest("/draft/1", "5000", {{"Last-Event-Id", "1"}});
    REQUIRE(fixture.sender.GetCount() == 2);
    CHECK(fixture.sender.At(1).GetEndpoint() == "e2");
    CHECK(fixture.sender.At(1).GetField("Plantainmast-Expect-Version") == "2");
  }
}

// Guards against a request that waits at a slow endpoint until the limit of the endpoint's weight version has passed,
// and begins on that version then.
TEST_CASE("A request that has not begun when its weight version reaches its time limit is withdrawn") {
  ForwardFixture fixture(MakeEngines());
  fixture.SetWanted({{kVeilModel, WeightVersion(2), fixture.clock.GetNow()}});
  fixture.AdvanceTime(Milliseconds(6600));
  const auto caller = fixture.SendRequest("/draft/1", "6000");
  FakeAttemptSender::Sent& first = fixture.sender.At(0);
  fixture.fleet = std::make_shared<FleetView>(*fixture.fleet);

  SECTION("it goes to an endpoint with the new version") {
    const size_t other = first.GetEndpoint() == "e1" ? 1 : 0;
    fixture.fleet->endpoints[other].loaded[kVeilModel] = WeightVersion(2);
    fixture.traffic->SetFleet(fixture.fleet);
    fixture.AdvanceTime(Milliseconds(1000));
    CHECK(first.is_cancelled);
    REQUIRE(fixture.sender.GetCount() == 2);
    CHECK(fixture.sender.At(1).GetEndpoint() != first.GetEndpoint());
    CHECK(fixture.sender.At(1).GetField("Plantainmast-Expect-Version") == "2");
  }

  SECTION("an answer that has only sent its header has not begun") {
    first.BeginStream();
    fixture.AdvanceTime(Milliseconds(1000));
    CHECK(first.is_cancelled);
  }

  SECTION("one that was not sent yet has not run, so that the caller may repeat it") {
    first.is_sent = false;
    fixture.AdvanceTime(Milliseconds(2000));
    CHECK(first.is_cancelled);
    CHECK(caller->status == 503);
  }

  SECTION("an answer of the new version goes on") {
    first.BeginStream("2");
    fixture.AdvanceTime(Milliseconds(1000));
    CHECK_FALSE(first.is_cancelled);
  }

  SECTION("a stream that has begun goes on") {
    first.BeginStream();
    first.SendData("id: 1\nda");
    fixture.AdvanceTime(Milliseconds(1000));
    CHECK_FALSE(first.is_cancelled);
  }

  SECTION("a request at an endpoint that has loaded the new version meanwhile goes on") {
    for (EndpointInfo& endpoint : fixture.fleet->endpoints) endpoint.loaded[kVeilModel] = WeightVersion(2);
    fixture.traffic->SetFleet(fixture.fleet);
    fixture.AdvanceTime(Milliseconds(1000));
    CHECK_FALSE(first.is_cancelled);
  }
}

// Guards against serving callers that are not in the configuration, and against forwarding API keys to endpoints.
TEST_CASE("API keys select the workspace and are not forwarded to endpoints") {
  ForwardFixture fixture(MakeRegisters());
  auto document = MakeForwardDocument();
  document->has_workspaces = true;
  WorkspaceKeys workspace;
  workspace.name = WorkspaceName("maker");
  workspace.keys = {"k1"};
  document->workspaces = {workspace};
  fixture.fleet = std::make_shared<FleetView>(*fixture.fleet);
  fixture.fleet->routing = document;
  fixture.traffic->SetFleet(fixture.fleet);

  SECTION("known key") {
    fixture.SendRequest("/look/1", "1000", {{"X-Api-Key", "k1"}, {"Plantainmast-Tenant", "forged"}});
    REQUIRE(fixture.sender.GetCount() == 1);
    CHECK(fixture.sender.At(0).GetField("X-Api-Key").empty());
    CHECK(fixture.sender.At(0).GetField("Plantainmast-Tenant") == "maker");
  }
  SECTION("unknown key") { CHECK(fixture.SendRequest("/look/1", "1000", {{"X-Api-Key", "k2"}})->status == 401); }
  SECTION("unknown path") { CHECK(fixture.SendRequest("/none/1", "1000", {{"X-Api-Key", "k1"}})->status == 404); }
  SECTION("no configuration") {
    ForwardTraffic fresh(fixture.clock, fixture.random, fixture.protocol, fixture.sender, fixture.answer_memory,
                         fixture.forward_metrics, ForwardFixture::MakeOptions());
    HttpRequest request{"GET", "/look/1", {}, ""};
    request.headers.Add("Host", "h.example");
    request.headers.Add("Plantainmast-Attempt-Id", "r");
    auto caller = std::make_shared<FakeForwardCaller>();
    fresh.HandleHttp(std::move(request), caller);
    CHECK(caller->status == 503);
  }
}

// Guards against a caller that is told that its request has not run, by a status that an endpoint sent after it had run
// it, and that sends it again.
TEST_CASE("An endpoint's own error does not promise that a request has not run") {
  ForwardFixture fixture({MakeEndpoint("g1", kRegisterPool, "praha"), MakeEndpoint("g2", kRegisterPool, "brno")});
  const int status = GENERATE(408, 429, 503);

  SECTION("of a request that must run once") {
    const auto caller = fixture.SendRequest("/seal/1", "1000");
    fixture.sender.At(0).SendResponse(status, "failed");
    CHECK(caller->status == 502);
    CHECK(fixture.sender.GetCount() == 1);
  }
  SECTION("of a stream that cannot be resumed") {
    const auto caller = fixture.SendRequest("/letter/1", "6000");
    fixture.sender.At(0).SendResponse(status, "failed");
    CHECK(caller->status == 502);
    CHECK(fixture.sender.GetCount() == 1);
  }
  SECTION("unless the endpoint says that it has not run") {
    const auto caller = fixture.SendRequest("/letter/1", "6000");
    fixture.sender.At(0).SendHead(status, {{"Plantainmast-Not-Executed", "1"}});
    fixture.sender.At(0).FinishResponse();
    REQUIRE(fixture.sender.GetCount() == 2);
    fixture.sender.At(1).BeginStream();
    fixture.sender.At(1).SendData("id: 1\ndata: a\n\n");
    fixture.sender.At(1).FinishResponse();
    CHECK(caller->is_complete);
  }
}

}  // namespace
}  // namespace plantain

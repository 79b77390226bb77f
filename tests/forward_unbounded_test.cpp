#include <catch2/catch.hpp>
#include <string>

#include "failure_type.h"
#include "forward_fake.h"

namespace plantain {
namespace {

constexpr size_t kPieceBytes = 64 * 1024;
// More than the memory that one answer may hold, in pieces.
constexpr int kManyPieces = 160;

std::vector<EndpointInfo> MakeEngines() {
  return {MakeEndpoint("e1", kEnginePool, "praha"), MakeEndpoint("e2", kEnginePool, "praha")};
}

std::vector<EndpointInfo> MakeRegisters() {
  return {MakeEndpoint("g1", kRegisterPool, "praha"), MakeEndpoint("g2", kRegisterPool, "brno")};
}

// Sends a piece again and again until the attempt is cancelled.
void SendUntilCancelled(FakeAttemptSender::Sent& sent, const std::string& piece) {
  for (int i = 0; i < kManyPieces && !sent.is_cancelled; ++i) sent.SendData(piece);
}

// Sends bytes every 10 ms for a time, or until the attempt is cancelled.
void Trickle(ForwardFixture& fixture, FakeAttemptSender::Sent& sent, const std::string& piece, Duration time) {
  constexpr Duration kStep = Milliseconds(10);
  for (Duration passed{}; passed < time && !sent.is_cancelled; passed += kStep) {
    sent.SendData(piece);
    fixture.AdvanceTime(kStep);
  }
}

// Guards against an event without end that fills the memory of the entry.
TEST_CASE("A stream that sends bytes without completing an event is broken at a size limit") {
  ForwardFixture fixture(MakeEngines());
  const auto caller = fixture.SendRequest("/draft/1", "6000");
  FakeAttemptSender::Sent& first = fixture.sender.At(0);
  first.BeginStream();

  SECTION("before any event the request goes to another endpoint, and then fails as one that may have run") {
    SendUntilCancelled(first, std::string(kPieceBytes, 'x'));
    CHECK(first.is_cancelled);
    REQUIRE(fixture.sender.GetCount() == 2);
    fixture.sender.At(1).BeginStream();
    SendUntilCancelled(fixture.sender.At(1), std::string(kPieceBytes, 'x'));
    CHECK(fixture.sender.At(1).is_cancelled);
    CHECK(caller->status == 502);
    CHECK(fixture.traffic->GetInFlight() == 0);
  }

  SECTION("after events the stream resumes at another endpoint, and then is aborted") {
    first.SendData("id: 1\ndata: a\n\n");
    SendUntilCancelled(first, "data: " + std::string(kPieceBytes, 'x') + "\n");
    CHECK(first.is_cancelled);
    REQUIRE(fixture.sender.GetCount() == 2);
    CHECK(fixture.sender.At(1).GetField("Last-Event-Id") == "1");
    fixture.sender.At(1).BeginStream();
    SendUntilCancelled(fixture.sender.At(1), ":" + std::string(kPieceBytes, 'x') + "\n\n");
    CHECK(fixture.sender.At(1).is_cancelled);
    CHECK(caller->is_aborted);
    CHECK(caller->body == "id: 1\ndata: a\n\n");
  }
}

// Checks that another endpoint was asked to go on with the stream after `last_event_id`, and that its first event ends
// the attempt which sends no events.
void CheckReplaced(ForwardFixture& fixture, FakeAttemptSender::Sent& first, const std::string& last_event_id) {
  REQUIRE(fixture.sender.GetCount() == 2);
  FakeAttemptSender::Sent& second = fixture.sender.At(1);
  CHECK(second.GetField("Last-Event-Id") == last_event_id);
  second.BeginStream();
  CHECK_FALSE(first.is_cancelled);
  second.SendData(last_event_id.empty() ? "id: 1\ndata: a\n\n" : "id: 2\ndata: b\n\n");
  CHECK(first.is_cancelled);
}

// Guards against bytes that are no events keeping a stream from another endpoint until its deadline.
TEST_CASE("Only events count as activity of a stream") {
  ForwardFixture fixture(MakeEngines());
  const auto caller = fixture.SendRequest("/draft/1", "6000");
  FakeAttemptSender::Sent& first = fixture.sender.At(0);
  first.BeginStream();
  const Duration time = Milliseconds(1300);

  SECTION("comments before any event") {
    Trickle(fixture, first, ": ping\n\n", time);
    CHECK(caller->status == 0);
    CheckReplaced(fixture, first, "");
  }
  SECTION("comments after an event") {
    first.SendData("id: 1\ndata: a\n\n");
    Trickle(fixture, first, ": ping\n\n", time);
    CheckReplaced(fixture, first, "1");
  }
  SECTION("an event that does not end") {
    first.SendData("id: 1\ndata: a\n\nid: 2\ndata: ");
    Trickle(fixture, first, "x", time);
    CheckReplaced(fixture, first, "1");
    CHECK(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }
  SECTION("empty lines") {
    first.SendData("id: 1\ndata: a\n\n");
    Trickle(fixture, first, "\n", time);
    CheckReplaced(fixture, first, "1");
  }
  SECTION("one event again and again") {
    first.SendData("id: 1\ndata: a\n\n");
    Trickle(fixture, first, "id: 1\ndata: a\n\n", time);
    CHECK(caller->body == "id: 1\ndata: a\n\n");
    CheckReplaced(fixture, first, "1");
  }
  SECTION("events go on") {
    for (int i = 1; i <= 3; ++i) {
      first.SendData(": ping\n\nid: " + std::to_string(i) + "\ndata: a\n\n");
      fixture.AdvanceTime(Milliseconds(1000));
    }
    CHECK_FALSE(first.is_cancelled);
    first.SendData(": bye\n\n");
    first.FinishResponse();
    CHECK(caller->is_complete);
    CHECK(caller->body ==
          ": ping\n\nid: 1\ndata: a\n\n: ping\n\nid: 2\ndata: a\n\n: ping\n\nid: 3\ndata: a\n\n: bye\n\n");
  }
}

// Guards against a body without end that fills the memory of the entry.
TEST_CASE("A body that exceeds the limit ends the attempt") {
  ForwardFixture fixture(MakeRegisters());
  const std::string piece(kPieceBytes, 'b');

  SECTION("a request that must run once fails as one that may have run") {
    const auto caller = fixture.SendRequest("/seal/1", "1000");
    fixture.sender.At(0).SendHead(200, {{"Plantainmast-Server-Stamp", "s"}});
    SendUntilCancelled(fixture.sender.At(0), piece);
    CHECK(fixture.sender.At(0).is_cancelled);
    CHECK(caller->status == 502);
    CHECK(fixture.sender.GetCount() == 1);
  }
  SECTION("an idempotent request goes to another endpoint") {
    const auto caller = fixture.SendRequest("/look/1", "1000");
    fixture.sender.At(0).SendHead(500, {{"Plantainmast-Server-Stamp", "s"}});
    SendUntilCancelled(fixture.sender.At(0), piece);
    CHECK(fixture.sender.At(0).is_cancelled);
    REQUIRE(fixture.sender.GetCount() == 2);
    fixture.sender.At(1).SendResponse(200, "found");
    CHECK(caller->body == "found");
  }
}

// Guards against many answers without end that take the memory of an entry together, though each stays under its limit.
TEST_CASE("The answers of all requests share the memory of an entry") {
  constexpr int kRequests = 40;
  const std::string piece(kPieceBytes, 'x');
  std::vector<EndpointInfo> endpoints;
  for (int i = 0; i < kRequests; ++i) {
    endpoints.push_back(MakeEndpoint("e" + std::to_string(i), kEnginePool, "praha"));
    endpoints.push_back(MakeEndpoint("g" + std::to_string(i), kRegisterPool, "praha"));
  }
  ForwardFixture fixture(endpoints);
  const std::string path = GENERATE("/draft/", "/look/");
  std::vector<std::shared_ptr<FakeForwardCaller>> callers;
  for (int i = 0; i < kRequests; ++i) callers.push_back(fixture.SendRequest(path + std::to_string(i), "6000"));
  REQUIRE(fixture.sender.GetCount() == kRequests);
  for (size_t i = 0; i < kRequests; ++i) {
    if (path == "/draft/") {
      fixture.sender.At(i).BeginStream();
    } else {
      fixture.sender.At(i).SendHead(200, {{"Plantainmast-Server-Stamp", "s"}});
    }
  }
  size_t sent = 0;
  for (int round = 0; round < kManyPieces; ++round) {
    for (size_t i = 0; i < kRequests; ++i) {
      if (fixture.sender.At(i).is_cancelled) continue;
      fixture.sender.At(i).SendData(piece);
      sent += piece.size();
      REQUIRE(fixture.answer_memory.GetUsed().Get() <= fixture.answer_memory.GetLimit().Get());
    }
  }
  INFO(sent << " bytes sent");
  for (size_t i = 0; i < kRequests; ++i) CHECK(fixture.sender.At(i).is_cancelled);
}

}  // namespace
}  // namespace plantain

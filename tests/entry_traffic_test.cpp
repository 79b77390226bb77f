#include "entry_traffic.h"

#include <catch2/catch.hpp>

#include "entry_fake.h"
#include "hex_text.h"

namespace plantain {
namespace {

std::string MakeEvent(const std::string& id, int index, const std::string& token, const Digest& weights) {
  return R"(data: {"id":")" + id + R"(","index":)" + std::to_string(index) + R"(,"token":")" + token +
         R"(","weights":")" + FormatHex(weights.Get()) + "\"}\n\n";
}

const std::string kDone = "data: [DONE]\n\n";

bool Contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

// Guards against lost, duplicated or foreign tokens in a stream when messages are lost, repeated, late or misdirected.
TEST_CASE("A stream delivers each token of its answer exactly once") {
  TrafficFixture fixture;
  fixture.traffic.SetTable(
      MakeTable(MakeEntryConfig(), {MakeEngineMember("e1", "praha"), MakeEngineMember("e2", "praha")}));
  const auto caller = fixture.Send(TrafficFixture::MakeCompletion("r1", "hello"));
  REQUIRE(fixture.transport.GetStarts().size() == 1);
  const auto [vm, start] = fixture.transport.GetStarts()[0];
  const VmId other(vm.Get() == "e1" ? "e2" : "e1");
  CHECK(start.completion().prompt() == "hello");
  CHECK(start.deadline_ms() == 30'000);
  const uint64_t id = start.attempt();

  SECTION("tokens received in order form the answer") {
    fixture.traffic.HandleMessage(vm, MakeToken(id, 0, "a", kWeightsA));
    fixture.traffic.HandleMessage(vm, MakeToken(id, 1, "b"));
    fixture.traffic.HandleMessage(vm, MakeEnd(id, 2));
    CHECK(caller->m_status == 200);
    CHECK(caller->m_body == MakeEvent("r1", 0, "a", kWeightsA) + MakeEvent("r1", 1, "b", kWeightsA) + kDone);
    CHECK(caller->m_is_complete);
    CHECK(fixture.traffic.GetInFlight() == 0);

    SECTION("a late token of the ended attempt is dropped and counted") {
      fixture.traffic.HandleMessage(vm, MakeToken(id, 2, "late"));
      CHECK_FALSE(Contains(caller->m_body, "late"));
      CHECK(Contains(fixture.metrics.GetText(), R"(entry_dropped_messages_total{fault="unknown_attempt"} 1)"));
    }
  }

  SECTION("a duplicate token is sent once; a message from another endpoint and a truncated message are dropped") {
    fixture.traffic.HandleMessage(vm, MakeToken(id, 0, "a", kWeightsA));
    fixture.traffic.HandleMessage(vm, MakeToken(id, 0, "a", kWeightsA));
    fixture.traffic.HandleMessage(other, MakeToken(id, 1, "crossed", kWeightsA));
    const std::string whole = MakeToken(id, 1, "truncated", kWeightsA);
    fixture.traffic.HandleMessage(vm, whole.substr(0, whole.size() - 3));
    fixture.traffic.HandleMessage(vm, MakeToken(id, 1, "b"));
    fixture.traffic.HandleMessage(vm, MakeEnd(id, 2));
    CHECK(caller->m_body == MakeEvent("r1", 0, "a", kWeightsA) + MakeEvent("r1", 1, "b", kWeightsA) + kDone);
    const std::string metrics = fixture.metrics.GetText();
    CHECK(Contains(metrics, R"(entry_dropped_messages_total{fault="duplicate_token"} 1)"));
    CHECK(Contains(metrics, R"(entry_dropped_messages_total{fault="wrong_endpoint"} 1)"));
    CHECK(Contains(metrics, R"(entry_dropped_messages_total{fault="unreadable"} 1)"));
  }

  SECTION("if the endpoint times out, another one with the same weights resumes at the next index") {
    fixture.traffic.HandleMessage(vm, MakeToken(id, 0, "a", kWeightsA));
    fixture.AdvanceTime(Milliseconds(2500));
    REQUIRE(fixture.transport.GetStarts().size() == 2);
    const auto [second_vm, second] = fixture.transport.GetStarts()[1];
    CHECK(second_vm == other);
    CHECK(second.completion().resume_from() == 1);
    CHECK(second.completion().manifest() == kWeightsA.Get());
    CHECK(fixture.transport.GetCancels().empty());

    SECTION("the first endpoint goes on and is the one that is kept") {
      fixture.traffic.HandleMessage(vm, MakeToken(id, 1, "b"));
      CHECK(fixture.transport.GetCancels() == std::vector<uint64_t>{second.attempt()});
      fixture.traffic.HandleMessage(second_vm, MakeToken(second.attempt(), 1, "b", kWeightsA));
      fixture.traffic.HandleMessage(vm, MakeEnd(id, 2));
      CHECK(caller->m_body == MakeEvent("r1", 0, "a", kWeightsA) + MakeEvent("r1", 1, "b", kWeightsA) + kDone);
    }

    SECTION("the second endpoint fails and the first one goes on") {
      fixture.traffic.HandleMessage(second_vm,
                                    MakeRefusal(second.attempt(), proto::REFUSAL_REASON_ENGINE_FAILED, false));
      fixture.traffic.HandleMessage(vm, MakeToken(id, 1, "b"));
      fixture.traffic.HandleMessage(vm, MakeEnd(id, 2));
      CHECK(caller->m_body == MakeEvent("r1", 0, "a", kWeightsA) + MakeEvent("r1", 1, "b", kWeightsA) + kDone);
    }

    SECTION("a late token of the first endpoint is not duplicated") {
      fixture.traffic.HandleMessage(second_vm, MakeToken(second.attempt(), 1, "b", kWeightsA));
      CHECK(fixture.transport.GetCancels() == std::vector<uint64_t>{id});
      fixture.traffic.HandleMessage(vm, MakeToken(id, 1, "b"));
      fixture.traffic.HandleMessage(second_vm, MakeEnd(second.attempt(), 2));
      CHECK(caller->m_body == MakeEvent("r1", 0, "a", kWeightsA) + MakeEvent("r1", 1, "b", kWeightsA) + kDone);
    }

    SECTION("tokens from other weights are rejected and the stream ends with a typed error") {
      fixture.traffic.HandleMessage(vm, MakeRefusal(id, proto::REFUSAL_REASON_ENGINE_FAILED, false));
      fixture.traffic.HandleMessage(second_vm, MakeToken(second.attempt(), 1, "b", kWeightsB));
      fixture.AdvanceTime(Milliseconds(300));
      CHECK(caller->m_is_complete);
      CHECK(Contains(caller->m_body, R"("type":"interrupted","not_run":false)"));
      CHECK_FALSE(Contains(caller->m_body, FormatHex(kWeightsB.Get())));
      CHECK_FALSE(Contains(caller->m_body, kDone));
    }
  }

  SECTION("if no other endpoint may go on, a stream waits for the one that is silent") {
    fixture.traffic.SetTable(MakeTable(MakeEntryConfig(), {MakeEngineMember(vm.Get(), "praha")}));
    fixture.traffic.HandleMessage(vm, MakeToken(id, 0, "a", kWeightsA));
    fixture.AdvanceTime(Milliseconds(5000));
    CHECK(fixture.transport.GetCancels().empty());
    fixture.traffic.HandleMessage(vm, MakeToken(id, 1, "b"));
    fixture.traffic.HandleMessage(vm, MakeEnd(id, 2));
    CHECK(caller->m_body == MakeEvent("r1", 0, "a", kWeightsA) + MakeEvent("r1", 1, "b", kWeightsA) + kDone);
  }

  SECTION("a lost token is detected by the index gap and the stream resumes at the missing index") {
    fixture.traffic.HandleMessage(vm, MakeToken(id, 0, "a", kWeightsA));
    fixture.traffic.HandleMessage(vm, MakeToken(id, 2, "c"));
    fixture.AdvanceTime(Milliseconds(50));
    REQUIRE(fixture.transport.GetStarts().size() == 2);
    CHECK(fixture.transport.GetStarts()[1].second.completion().resume_from() == 1);
  }

  SECTION("a lost last token is detected by the token count in the end message") {
    fixture.traffic.HandleMessage(vm, MakeToken(id, 0, "a", kWeightsA));
    fixture.traffic.HandleMessage(vm, MakeEnd(id, 2));
    fixture.AdvanceTime(Milliseconds(50));
    CHECK_FALSE(caller->m_is_complete);
    CHECK(fixture.transport.GetStarts().size() == 2);
  }

  SECTION("the attempt is cancelled when the caller disconnects") {
    caller->Disconnect();
    CHECK(fixture.transport.GetCancels() == std::vector<uint64_t>{id});
    CHECK(fixture.traffic.GetInFlight() == 0);
    // A disconnect by the caller must not count against the service-level objective.
    CHECK_FALSE(Contains(fixture.metrics.GetText(), R"(outcome="bad")"));
  }

  SECTION("a caller's retry joins the running attempt and gets the tokens sent so far") {
    fixture.traffic.HandleMessage(vm, MakeToken(id, 0, "a", kWeightsA));
    HttpRequest again = TrafficFixture::MakeCompletion("r1", "hello");
    again.headers.Add("X-Attempt", "1");
    const auto second = fixture.Send(again);
    CHECK(fixture.transport.GetStarts().size() == 1);
    CHECK(second->m_body == MakeEvent("r1", 0, "a", kWeightsA));

    SECTION("the attempt continues for the retry when the first connection closes") {
      caller->Disconnect();
      CHECK(fixture.transport.GetCancels().empty());
      fixture.traffic.HandleMessage(vm, MakeToken(id, 1, "b"));
      fixture.traffic.HandleMessage(vm, MakeEnd(id, 2));
      CHECK(second->m_body == MakeEvent("r1", 0, "a", kWeightsA) + MakeEvent("r1", 1, "b", kWeightsA) + kDone);

      SECTION("a further retry gets the cached answer") {
        const auto third = fixture.Send(again);
        CHECK(third->m_body == second->m_body);
        CHECK(third->m_is_complete);
        CHECK(fixture.transport.GetStarts().size() == 1);
      }

      SECTION("a retry after the retention time is executed again") {
        fixture.AdvanceTime(std::chrono::seconds(31));
        fixture.Send(again);
        CHECK(fixture.transport.GetStarts().size() == 2);
      }
    }
  }

  SECTION("a retry with the same id but another prompt does not join") {
    HttpRequest again = TrafficFixture::MakeCompletion("r1", "something else");
    again.headers.Add("X-Attempt", "1");
    const auto second = fixture.Send(again);
    CHECK(fixture.transport.GetStarts().size() == 2);
    CHECK(second->m_body.empty());
  }
}

// Guards against answers that are ended because the heartbeats of their endpoint are late or lost, or because it stands
// still for a moment and goes on.
TEST_CASE("An answer of an endpoint that is suspected to be down goes on until another one has begun") {
  TrafficFixture fixture;

  SECTION("a stream without another endpoint") {
    fixture.traffic.SetTable(MakeTable(MakeEntryConfig(), {MakeEngineMember("e1", "praha")}));
    const auto caller = fixture.Send(TrafficFixture::MakeCompletion("r1", "x"));
    const auto [vm, start] = fixture.transport.GetStarts().at(0);
    fixture.traffic.HandleMessage(vm, MakeToken(start.attempt(), 0, "a", kWeightsA));
    fixture.traffic.HandleEndpointSuspect(vm);
    fixture.AdvanceTime(std::chrono::seconds(3));
    CHECK(fixture.transport.GetCancels().empty());
    CHECK_FALSE(caller->m_is_aborted);
    fixture.traffic.HandleMessage(vm, MakeEnd(start.attempt(), 1));
    CHECK(caller->m_body == MakeEvent("r1", 0, "a", kWeightsA) + kDone);
  }

  SECTION("a stream with another endpoint, of which the first one that sends goes on") {
    fixture.traffic.SetTable(
        MakeTable(MakeEntryConfig(), {MakeEngineMember("e1", "praha"), MakeEngineMember("e2", "praha")}));
    const auto caller = fixture.Send(TrafficFixture::MakeCompletion("r1", "x"));
    const auto [vm, start] = fixture.transport.GetStarts().at(0);
    fixture.traffic.HandleMessage(vm, MakeToken(start.attempt(), 0, "a", kWeightsA));
    fixture.traffic.HandleEndpointSuspect(vm);
    REQUIRE(fixture.transport.GetStarts().size() == 2);
    const auto [other_vm, other] = fixture.transport.GetStarts().at(1);
    CHECK(other_vm != vm);
    CHECK(other.completion().resume_from() == 1);
    CHECK(fixture.transport.GetCancels().empty());
    SECTION("the suspected one") {
      fixture.traffic.HandleMessage(vm, MakeToken(start.attempt(), 1, "b"));
      CHECK(fixture.transport.GetCancels() == std::vector<uint64_t>{other.attempt()});
      fixture.traffic.HandleMessage(vm, MakeEnd(start.attempt(), 2));
    }
    SECTION("the other one") {
      fixture.traffic.HandleMessage(other_vm, MakeToken(other.attempt(), 1, "b", kWeightsA));
      CHECK(fixture.transport.GetCancels() == std::vector<uint64_t>{start.attempt()});
      fixture.traffic.HandleMessage(other_vm, MakeEnd(other.attempt(), 2));
    }
    CHECK(caller->m_body == MakeEvent("r1", 0, "a", kWeightsA) + MakeEvent("r1", 1, "b", kWeightsA) + kDone);
  }

  SECTION("a stream whose second endpoint refuses it, or that finds one only later, is sent to the next one soon") {
    const bool is_refused = GENERATE(true, false);
    const std::vector<MemberInfo> all = {MakeEngineMember("e1", "praha"), MakeEngineMember("e2", "praha"),
                                         MakeEngineMember("e3", "praha")};
    fixture.traffic.SetTable(
        MakeTable(MakeEntryConfig(), is_refused ? all : std::vector<MemberInfo>{MakeEngineMember("e1", "praha")}));
    fixture.Send(TrafficFixture::MakeCompletion("r1", "x"));
    const auto [vm, start] = fixture.transport.GetStarts().at(0);
    fixture.traffic.HandleEndpointSuspect(vm);
    if (is_refused) {
      const auto [other_vm, other] = fixture.transport.GetStarts().at(1);
      fixture.traffic.HandleMessage(other_vm, MakeRefusal(other.attempt(), proto::REFUSAL_REASON_OVERLOADED, true));
    }
    const size_t sent = fixture.transport.GetStarts().size();
    fixture.AdvanceTime(Milliseconds(100));
    CHECK(fixture.transport.GetStarts().size() == sent);
    fixture.traffic.SetTable(MakeTable(MakeEntryConfig(), all));
    fixture.AdvanceTime(Milliseconds(200));
    CHECK(fixture.transport.GetStarts().size() == sent + 1);
    fixture.AdvanceTime(std::chrono::seconds(1));
    CHECK(fixture.transport.GetStarts().size() == sent + 1);
    CHECK(fixture.transport.GetCancels().empty());
  }

  SECTION("a call that must run once") {
    fixture.traffic.SetTable(
        MakeTable(MakeEntryConfig(), {MakeServiceMember("s1", "praha"), MakeServiceMember("s2", "praha")}));
    const auto caller = fixture.Send(TrafficFixture::MakeCall("r1", "seal", "futon 7"));
    const auto [vm, start] = fixture.transport.GetStarts().at(0);
    fixture.traffic.HandleEndpointSuspect(vm);
    CHECK(fixture.transport.GetStarts().size() == 1);
    fixture.traffic.HandleMessage(vm, MakeEnd(start.attempt(), 0, "sealed"));
    CHECK(caller->m_body == "sealed");
  }
}

// Guards against an endpoint that is only suspected and is treated as if it had restarted.
TEST_CASE("A change of an endpoint is told by what it means for the attempts there") {
  const EndpointContact contact{IpAddress("127.0.0.1"), Incarnation(1), false};
  EndpointContact changed = contact;
  const auto compare = [&] { return FindEndpointChanges({{VmId("e1"), contact}}, {{VmId("e1"), changed}}); };

  SECTION("nothing") {
    const EndpointChanges changes = compare();
    CHECK((changes.unreachable.empty() && changes.restarted.empty() && changes.suspect.empty()));
  }
  SECTION("suspected") {
    changed.is_suspect = true;
    const EndpointChanges changes = compare();
    CHECK(changes.suspect.size() == 1);
    CHECK((changes.unreachable.empty() && changes.restarted.empty()));
    CHECK(FindEndpointChanges({{VmId("e1"), changed}}, {{VmId("e1"), changed}}).suspect.empty());
    CHECK(FindEndpointChanges({{VmId("e1"), changed}}, {{VmId("e1"), contact}}).suspect.empty());
  }
  SECTION("restarted, and suspected besides") {
    changed.incarnation = Incarnation(2);
    changed.is_suspect = true;
    const EndpointChanges changes = compare();
    CHECK(changes.restarted.size() == 1);
    CHECK((changes.unreachable.empty() && changes.suspect.empty()));
  }
  SECTION("listed at another address") {
    changed.address = IpAddress("127.0.0.2");
    CHECK(compare().unreachable.size() == 1);
  }
  SECTION("removed and added") {
    CHECK(FindEndpointChanges({{VmId("e1"), contact}}, {}).unreachable.size() == 1);
    CHECK(FindEndpointChanges({}, {{VmId("e1"), contact}}).unreachable.empty());
  }
}

// Guards against reporting not_run for a request that may have been executed, and against executing a non-idempotent
// call twice.
TEST_CASE("not_run is reported only if no attempt can have been executed") {
  TrafficFixture fixture;
  fixture.traffic.SetTable(
      MakeTable(MakeEntryConfig(), {MakeServiceMember("s1", "praha"), MakeServiceMember("s2", "praha")}));

  SECTION("a non-idempotent call that was refused as not run is retried at another endpoint") {
    const auto caller = fixture.Send(TrafficFixture::MakeCall("r1", "seal", "futon 7"));
    const auto [vm, start] = fixture.transport.GetStarts()[0];
    CHECK(start.service().idempotency_key() == "key-r1");
    CHECK_FALSE(start.service().repeatable());
    fixture.traffic.HandleMessage(vm, MakeRefusal(start.attempt(), proto::REFUSAL_REASON_OVERLOADED, true));
    fixture.AdvanceTime(Milliseconds(50));
    REQUIRE(fixture.transport.GetStarts().size() == 2);
    const auto [second_vm, second] = fixture.transport.GetStarts()[1];
    CHECK(second_vm != vm);

    SECTION("a second refusal fails at once with not_run and Retry-After") {
      fixture.traffic.HandleMessage(second_vm,
                                    MakeRefusal(second.attempt(), proto::REFUSAL_REASON_OVERLOADED, true, 400));
      fixture.AdvanceTime(Milliseconds(50));
      CHECK(caller->m_status == 503);
      CHECK(Contains(caller->m_body, R"("type":"overloaded","not_run":true)"));
      CHECK_FALSE(caller->m_headers.Find("Retry-After").empty());
    }

    SECTION("if the second endpoint is lost, the outcome is unknown and the call is not retried") {
      fixture.traffic.HandleEndpointGone(second_vm);
      fixture.AdvanceTime(Milliseconds(100));
      CHECK(fixture.transport.GetStarts().size() == 2);
      CHECK(Contains(caller->m_body, R"("type":"unknown_outcome","not_run":false)"));
    }
  }

  SECTION("an idempotent call is retried after its endpoint is lost") {
    const auto caller = fixture.Send(TrafficFixture::MakeCall("r1", "look", "futon 7"));
    const auto [vm, start] = fixture.transport.GetStarts()[0];
    fixture.traffic.HandleEndpointGone(vm);
    fixture.AdvanceTime(Milliseconds(50));
    REQUIRE(fixture.transport.GetStarts().size() == 2);
    const auto [second_vm, second] = fixture.transport.GetStarts()[1];
    fixture.traffic.HandleMessage(second_vm, MakeEnd(second.attempt(), 0, "seen"));
    CHECK(caller->m_status == 200);
    CHECK(caller->m_body == "seen");
  }

  SECTION("an attempt that could not be sent is reported as not run") {
    fixture.transport.SetUnreachable("s1");
    fixture.transport.SetUnreachable("s2");
    const auto caller = fixture.Send(TrafficFixture::MakeCall("r1", "seal", "futon 7"));
    CHECK(caller->m_status == 503);
    CHECK(Contains(caller->m_body, R"("not_run":true)"));
  }

  SECTION("at the deadline a call in progress ends with an unknown outcome") {
    HttpRequest request = TrafficFixture::MakeCall("r1", "seal", "futon 7");
    request.headers.Add("X-Deadline-Ms", "200");
    const auto caller = fixture.Send(request);
    fixture.AdvanceTime(Milliseconds(210));
    CHECK(caller->m_status == 502);
    CHECK(Contains(caller->m_body, R"("type":"unknown_outcome","not_run":false)"));
  }

  SECTION("a non-idempotent call without an idempotency key is refused") {
    HttpRequest request;
    request.method = "POST";
    request.target = "/services/register/seal";
    request.headers.Add("X-Workspace", "looms");
    const auto caller = fixture.Send(request);
    CHECK(caller->m_status == 400);
    CHECK(Contains(caller->m_body, R"("not_run":true)"));
  }

  SECTION("a non-idempotent call continues when its caller disconnects, and the retry gets its result") {
    const auto caller = fixture.Send(TrafficFixture::MakeCall("r1", "seal", "futon 7"));
    const auto [vm, start] = fixture.transport.GetStarts()[0];
    caller->Disconnect();
    CHECK(fixture.transport.GetCancels().empty());
    fixture.traffic.HandleMessage(vm, MakeEnd(start.attempt(), 0, "sealed"));
    HttpRequest again = TrafficFixture::MakeCall("r1", "seal", "futon 7");
    again.headers.Add("X-Attempt", "1");
    CHECK(fixture.Send(again)->m_body == "sealed");
    CHECK(fixture.transport.GetStarts().size() == 1);
  }
}

// Guards against queueing requests that cannot be served, and against losing requests in progress on shutdown.
TEST_CASE("Requests that cannot be served are refused at once") {
  TrafficFixture fixture;

  SECTION("before a configuration is known") {
    const auto caller = fixture.Send(TrafficFixture::MakeCompletion("r1", "hello"));
    CHECK(caller->m_status == 503);
    CHECK(Contains(caller->m_body, R"("type":"no_config","not_run":true)"));
  }

  SECTION("in a zone with one endpoint") {
    fixture.traffic.SetTable(MakeTable(MakeEntryConfig(), {MakeEngineMember("e1", "praha")}));

    SECTION("unknown workspace, model or path") {
      HttpRequest request = TrafficFixture::MakeCompletion("r1", "hello", false);
      request.target = "/v1/nothing";
      CHECK(fixture.Send(request)->m_status == 404);
      request = TrafficFixture::MakeCompletion("r1", "hello", false);
      request.body = R"({"model":"other","prompt":"x","max_tokens":1})";
      CHECK(fixture.Send(request)->m_status == 404);
      request = HttpRequest{"POST", "/v1/completions", {}, request.body};
      request.body = R"({"model":"veil","prompt":"x","max_tokens":1})";
      request.headers.Add("X-Workspace", "nobody");
      CHECK(fixture.Send(request)->m_status == 403);
    }

    SECTION("invalid JSON, an invalid number or an overlong header value") {
      HttpRequest request = TrafficFixture::MakeCompletion("r1", "hello");
      request.body = "{";
      CHECK(fixture.Send(request)->m_status == 400);
      request = TrafficFixture::MakeCompletion("r1", "hello");
      request.headers.Add("X-Attempt", "-1");
      CHECK(fixture.Send(request)->m_status == 400);
      CHECK(fixture.Send(TrafficFixture::MakeCompletion(std::string(257, 'x'), "hello"))->m_status == 400);
    }

    SECTION("an expired deadline, or one shorter than the lowest recent latency") {
      HttpRequest request = TrafficFixture::MakeCompletion("r1", "hello");
      request.headers.Add("X-Deadline-Ms", "0");
      CHECK(fixture.Send(request)->m_status == 504);
      fixture.Send(TrafficFixture::MakeCompletion("r2", "hello"));
      const auto [vm, start] = fixture.transport.GetStarts()[0];
      fixture.AdvanceTime(Milliseconds(100));
      fixture.traffic.HandleMessage(vm, MakeToken(start.attempt(), 0, "a", kWeightsA));
      request = TrafficFixture::MakeCompletion("r3", "hello");
      request.headers.Add("X-Deadline-Ms", "50");
      const auto caller = fixture.Send(request);
      CHECK(caller->m_status == 504);
      CHECK(Contains(caller->m_body, R"("not_run":true)"));
    }

    SECTION("while draining, new requests are refused and the one in progress finishes") {
      const auto caller = fixture.Send(TrafficFixture::MakeCompletion("r1", "hello", false));
      const auto [vm, start] = fixture.transport.GetStarts()[0];
      const TimePoint now = fixture.clock.GetNow();
      fixture.traffic.BeginDrain(now, now + std::chrono::seconds(60));
      const auto late = fixture.Send(TrafficFixture::MakeCompletion("r2", "hello"));
      CHECK(late->m_status == 503);
      CHECK(Contains(late->m_body, R"("type":"draining","not_run":true)"));
      fixture.traffic.HandleMessage(vm, MakeToken(start.attempt(), 0, "a", kWeightsA));
      fixture.traffic.HandleMessage(vm, MakeEnd(start.attempt(), 1));
      CHECK(caller->m_body == R"({"id":"r1","text":"a","tokens":1,"weights":")" + FormatHex(kWeightsA.Get()) + "\"}");
      CHECK(fixture.traffic.GetInFlight() == 0);
    }

    SECTION("at the end of a stop, a request that was sent is answered without a promise") {
      const auto caller = fixture.Send(TrafficFixture::MakeCompletion("r1", "hello", false));
      REQUIRE(fixture.transport.GetStarts().size() == 1);
      fixture.traffic.GiveUp();
      CHECK(caller->m_status == 502);
      CHECK(Contains(caller->m_body, R"("not_run":false)"));
      CHECK(fixture.traffic.GetInFlight() == 0);
    }

    SECTION("a stream whose caller reads too slowly is aborted and its attempt cancelled") {
      const auto caller = fixture.Send(TrafficFixture::MakeCompletion("r1", "hello"));
      const auto [vm, start] = fixture.transport.GetStarts()[0];
      caller->m_unsent = 5 * 1024 * 1024;
      fixture.traffic.HandleMessage(vm, MakeToken(start.attempt(), 0, "a", kWeightsA));
      CHECK(caller->m_is_aborted);
      CHECK(fixture.transport.GetCancels().size() == 1);
    }

    SECTION("the steps of a request are recorded in the request history") {
      fixture.Send(TrafficFixture::MakeCompletion("r1", "hello"));
      const auto [vm, start] = fixture.transport.GetStarts()[0];
      fixture.traffic.HandleMessage(vm, MakeRefusal(start.attempt(), proto::REFUSAL_REASON_COLD, true));
      fixture.AdvanceTime(Milliseconds(50));
      const auto events = fixture.history.GetEvents("r1");
      REQUIRE(events.size() >= 3);
      CHECK(Contains(events[0], "event=attempt "));
      CHECK(Contains(events[0], "endpoint=e1"));
      CHECK(Contains(events[1], "reason=REFUSAL_REASON_COLD not_run=1"));
      CHECK(Contains(events.back(), "event=finished"));
    }
  }
}

}  // namespace
}  // namespace plantain

#include "attempt_client.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <map>
#include <set>

#include "entry_fake.h"

namespace plantain {
namespace {

class MockListener : public AttemptListener {
 public:
  MAKE_MOCK3(OnToken, void(AttemptId, std::string, const Digest&), override);
  MAKE_MOCK3(OnEnd, void(AttemptId, int, std::string), override);
  MAKE_MOCK2(OnRefused, void(AttemptId, const proto::AttemptRefused&), override);
  MAKE_MOCK2(OnLost, void(AttemptId, AttemptLoss), override);
  MAKE_MOCK1(OnSilent, void(AttemptId), override);
};

class MockObserver : public AttemptObserver {
 public:
  MAKE_MOCK1(OnDropped, void(MessageDropReason), override);
  MAKE_MOCK2(OnLoad, void(const VmId&, const LoadReport&), override);
  MAKE_MOCK1(OnLeaving, void(const VmId&), override);
};

proto::AttemptStart MakeStart() {
  proto::AttemptStart start;
  start.mutable_completion()->set_prompt("x");
  return start;
}

// Guards against messages that are delivered to the wrong attempt.
TEST_CASE("AttemptClient delivers each message only to the attempt it belongs to") {
  using trompeloeil::_;
  VirtualClock clock;
  SeededRandom random(20261204);
  FakeTransport transport;
  MockObserver observer;
  MockListener listener;
  AttemptClient client(clock, random, transport, observer, {});
  const VmId e1("e1");

  SECTION("starting an attempt that cannot be sent returns no id") {
    transport.SetUnreachable("e1");
    CHECK(client.Start(e1, MakeStart(), listener) == AttemptId());
    CHECK(client.GetInFlight() == 0);
  }

  SECTION("ids differ between attempts and between process runs") {
    SeededRandom other_random(7);
    AttemptClient other(clock, other_random, transport, observer, {});
    const AttemptId first = client.Start(e1, MakeStart(), listener);
    CHECK(client.Start(e1, MakeStart(), listener) == first.Next());
    CHECK(other.Start(e1, MakeStart(), listener) != first);
  }

  SECTION("a cancelled attempt receives no further messages") {
    const AttemptId id = client.Start(e1, MakeStart(), listener);
    client.Cancel(id);
    REQUIRE_CALL(observer, OnDropped(MessageDropReason::kUnknownAttempt));
    client.HandleMessage(e1, MakeToken(id.Get(), 0, "a", kWeightsA));
  }

  SECTION("an end of a service call without a valid status is no answer, as an agent of an earlier version sends it") {
    proto::AttemptStart start;
    start.mutable_service()->set_call("look");
    const AttemptId id = client.Start(e1, std::move(start), listener);
    proto::AttemptMessage message;
    message.mutable_end()->set_attempt(id.Get());
    message.mutable_end()->set_status(GENERATE(0U, 1U, 99U, 600U, 999U, 4'294'967'295U));
    REQUIRE_CALL(listener, OnLost(id, AttemptLoss::kProtocol));
    client.HandleMessage(e1, message.SerializeAsString());
    CHECK(client.GetInFlight() == 0);
  }

  SECTION("a first token without a manifest ends the attempt") {
    const AttemptId id = client.Start(e1, MakeStart(), listener);
    REQUIRE_CALL(listener, OnLost(id, AttemptLoss::kProtocol));
    client.HandleMessage(e1, MakeToken(id.Get(), 0, "a"));
    CHECK(client.GetInFlight() == 0);
  }

  SECTION("a manifest that changes in mid-stream ends the attempt") {
    const AttemptId id = client.Start(e1, MakeStart(), listener);
    REQUIRE_CALL(listener, OnToken(id, std::string("a"), kWeightsA));
    REQUIRE_CALL(listener, OnLost(id, AttemptLoss::kProtocol));
    client.HandleMessage(e1, MakeToken(id.Get(), 0, "a", kWeightsA));
    client.HandleMessage(e1, MakeToken(id.Get(), 1, "b", kWeightsB));
  }

  SECTION("a refusal after tokens is never reported as not run") {
    const AttemptId id = client.Start(e1, MakeStart(), listener);
    REQUIRE_CALL(listener, OnToken(id, std::string("a"), kWeightsA));
    REQUIRE_CALL(listener, OnRefused(id, _)).WITH(!_2.not_run());
    client.HandleMessage(e1, MakeToken(id.Get(), 0, "a", kWeightsA));
    client.HandleMessage(e1, MakeRefusal(id.Get(), proto::REFUSAL_REASON_OVERLOADED, true));
  }

  // Runs the loop, which checks for timeouts every few milliseconds.
  const auto run = [&](Duration time) {
    for (Duration passed{}; passed < time; passed += Milliseconds(5)) {
      clock.Advance(Milliseconds(5));
      client.CheckTimeouts();
    }
  };
  client.CheckTimeouts();

  SECTION("an attempt that times out is reported as silent, once for each timeout, and goes on") {
    const AttemptId id = client.Start(e1, MakeStart(), listener);
    run(std::chrono::seconds(15));
    {
      REQUIRE_CALL(listener, OnSilent(id));
      run(Milliseconds(5));
      client.CheckTimeouts();
    }
    {
      REQUIRE_CALL(listener, OnSilent(id));
      run(std::chrono::seconds(15) + Milliseconds(5));
    }
    CHECK(transport.GetCancels().empty());
    REQUIRE_CALL(listener, OnToken(id, std::string("a"), kWeightsA));
    client.HandleMessage(e1, MakeToken(id.Get(), 0, "a", kWeightsA));
  }

  SECTION("time in which this process stood still is no silence") {
    client.Start(e1, MakeStart(), listener);
    FORBID_CALL(listener, OnSilent(_));
    clock.Advance(std::chrono::minutes(1));
    client.CheckTimeouts();
    run(std::chrono::seconds(10));
  }

  SECTION("an attempt at a suspected endpoint is silent at once, and goes on with the same timeout") {
    const AttemptId id = client.Start(e1, MakeStart(), listener);
    client.Start(VmId("e2"), MakeStart(), listener);
    {
      REQUIRE_CALL(listener, OnSilent(id));
      client.HandleEndpointSuspect(e1);
      run(std::chrono::seconds(14));
    }
    CHECK(transport.GetCancels().empty());
    REQUIRE_CALL(listener, OnToken(id, std::string("a"), kWeightsA));
    client.HandleMessage(e1, MakeToken(id.Get(), 0, "a", kWeightsA));
  }

  SECTION("load and leaving notices are reported with the sender's VM id") {
    proto::AttemptMessage message;
    message.mutable_leaving();
    REQUIRE_CALL(observer, OnLeaving(e1));
    client.HandleMessage(e1, message.SerializeAsString());
    // The agent may end once it knows that nothing more comes.
    CHECK(transport.CountLeaving() == 1);
  }
}

// Records the tokens and the final result of each attempt.
class CheckingListener : public AttemptListener {
 public:
  void OnToken(AttemptId attempt, std::string text, const Digest&) override { m_tokens[attempt].push_back(text); }
  void OnEnd(AttemptId attempt, int, std::string) override { m_ended.insert(attempt); }
  void OnRefused(AttemptId, const proto::AttemptRefused&) override {}
  void OnLost(AttemptId attempt, AttemptLoss) override { m_lost.insert(attempt); }
  void OnSilent(AttemptId) override {}

  std::map<AttemptId, std::vector<std::string>> m_tokens;
  std::set<AttemptId> m_ended;
  std::set<AttemptId> m_lost;
};

class CountingObserver : public AttemptObserver {
 public:
  void OnDropped(MessageDropReason) override { ++m_dropped; }
  void OnLoad(const VmId&, const LoadReport&) override {}
  void OnLeaving(const VmId&) override {}

  int m_dropped = 0;
};

// Guards against late, misrouted, duplicate, lost or truncated messages that corrupt the response to a caller.
TEST_CASE("Under message faults, each attempt receives a prefix of its own tokens and ends only after all of them") {
  constexpr uint32_t kTokens = 4;
  CHECK(rc::check("holds for any order of messages", [&] {
    VirtualClock clock;
    SeededRandom random(*rc::gen::arbitrary<uint64_t>());
    FakeTransport transport;
    CountingObserver observer;
    CheckingListener listener;
    AttemptClient client(clock, random, transport, observer, {});
    const std::vector<VmId> vms = {VmId("e1"), VmId("e2")};
    std::vector<AttemptId> ids;
    struct Message {
      size_t attempt;
      std::string bytes;
    };
    std::vector<Message> messages;
    for (size_t i = 0; i < 4; ++i) {
      ids.push_back(client.Start(vms[i % 2], MakeStart(), listener));
      for (uint32_t k = 0; k < kTokens; ++k) {
        const std::string text = std::to_string(i) + "-" + std::to_string(k);
        messages.push_back({i, MakeToken(ids[i].Get(), k, text, kWeightsA)});
      }
      messages.push_back({i, MakeEnd(ids[i].Get(), kTokens)});
    }
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(messages.size())), rc::gen::inRange(0, 8)));
    size_t next = 0;
    for (const auto& [index, fault] : steps) {
      const Message& message = messages[static_cast<size_t>(index)];
      const VmId& sender = vms[message.attempt % 2];
      switch (fault) {
        case 0:
          client.HandleMessage(vms[(message.attempt + 1) % 2], message.bytes);
          break;
        case 1:
          client.HandleMessage(sender, message.bytes.substr(0, message.bytes.size() / 2));
          break;
        case 2:
          client.HandleMessage(sender, message.bytes);
          break;
        case 3:
          client.Cancel(ids[message.attempt]);
          break;
        default: {
          // Delivers the next message in order, so that some responses complete.
          const Message& next_message = messages[next++ % messages.size()];
          client.HandleMessage(vms[next_message.attempt % 2], next_message.bytes);
        }
      }
    }
    for (size_t i = 0; i < ids.size(); ++i) {
      const auto& tokens = listener.m_tokens[ids[i]];
      for (size_t k = 0; k < tokens.size(); ++k) RC_ASSERT(tokens[k] == std::to_string(i) + "-" + std::to_string(k));
      if (listener.m_ended.count(ids[i]) != 0) RC_ASSERT(tokens.size() == kTokens);
      RC_ASSERT(listener.m_ended.count(ids[i]) + listener.m_lost.count(ids[i]) <= 1U);
    }
  }));
}

}  // namespace
}  // namespace plantain

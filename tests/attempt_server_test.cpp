#include "attempt_server.h"

#include <catch2/catch.hpp>

#include "loopback_address.h"

namespace plantain {
namespace {

class NoConfig : public ConfigSource {
 public:
  std::shared_ptr<const ConfigView> GetConfig() const override { return nullptr; }
  void AddConfigListener(std::function<void(const std::shared_ptr<const ConfigView>&)>) override {}
  bool IsLogReachable() const override { return true; }
};

const HttpTarget kTarget{MakeLoopbackAddress(105), Port(29994)};

// An agent's server and the connection of one entry, on one loop.
struct LeavingFixture {
  LeavingFixture()
      : admission(clock, random, AdmissionLimitOptions{1, 4, false, std::chrono::seconds(60)}, 2),
        http(loop, answer_memory),
        attempt_metrics(metrics),
        history(100),
        server(std::make_unique<AttemptServer>(
            loop, loop, channels, AttemptServerOptions{kTarget.address, kTarget.port, std::chrono::seconds(20)},
            RunnerDeps{clock, admission, config, nullptr, http, kTarget,
                       EndpointRole{ZoneName("praha"), true, ServiceName("register")}, SubmitOnce(), attempt_metrics,
                       history, nullptr},
            nullptr)),
        entry(std::make_unique<ClientChannel>(loop, channels, kTarget, ChannelOptions(),
                                              [this](std::string_view bytes) { OnMessage(bytes); })) {
    REQUIRE(server->Start().ok());
  }

  void OnMessage(std::string_view bytes) {
    proto::AttemptMessage message;
    REQUIRE(message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
    received.push_back(message);
    loop.Stop();
  }

  // Runs the loop until a message comes.
  proto::AttemptMessage Receive() {
    received.clear();
    Run();
    REQUIRE(received.size() == 1);
    return received.front();
  }

  void Run() {
    loop.Run();
    loop.Restart();
  }

  void SendStart(uint64_t id) {
    proto::AttemptMessage message;
    message.mutable_start()->set_attempt(id);
    message.mutable_start()->mutable_service()->set_service("register");
    const auto timer = loop.RunEvery(Milliseconds(5), [&] {
      if (entry->Send(message.SerializeAsString())) loop.Stop();
    });
    Run();
  }

  void SendLeavingBack() {
    proto::AttemptMessage message;
    message.mutable_leaving();
    REQUIRE(entry->Send(message.SerializeAsString()));
  }

  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  ChannelContext channels;
  SystemClock clock;
  SeededRandom random{20261205};
  NoConfig config;
  Admission admission;
  HttpClient http;
  Metrics metrics;
  AttemptMetrics attempt_metrics;
  RequestHistory history;
  std::vector<proto::AttemptMessage> received;
  std::unique_ptr<AttemptServer> server;
  std::unique_ptr<ClientChannel> entry;
};

// Guards against attempts that reach an agent after it has decided to end: they get no reply, and callers learn that
// the request may have run.
TEST_CASE("An agent that leaves ends only when its entries have confirmed that they send nothing more") {
  LeavingFixture fixture;
  fixture.SendStart(1);
  REQUIRE(fixture.Receive().refused().attempt() == 1);
  bool is_drained = false;
  fixture.server->BeginDrain([&] {
    is_drained = true;
    fixture.loop.Stop();
  });
  REQUIRE(fixture.Receive().has_leaving());

  SECTION("an attempt that was sent before the entry heard of it is refused as not run") {
    fixture.SendStart(2);
    const proto::AttemptMessage reply = fixture.Receive();
    CHECK(reply.refused().attempt() == 2);
    CHECK(reply.refused().reason() == proto::REFUSAL_REASON_LEAVING);
    CHECK(reply.refused().not_run());
    CHECK_FALSE(is_drained);
  }
  fixture.SendLeavingBack();
  fixture.Run();
  CHECK(is_drained);
}

TEST_CASE("An entry that does not confirm holds up the stop of an agent for a bounded time") {
  LeaveHandshake leave;
  const TimePoint begin = VirtualClock().GetNow();
  leave.OnNotified(ConnectionId("a"), begin);
  leave.OnNotified(ConnectionId("b"), begin);
  leave.OnReply(ConnectionId("a"));
  CHECK_FALSE(leave.IsComplete(begin + LeaveHandshake::kReplyTimeout / 2));
  CHECK(leave.IsComplete(begin + LeaveHandshake::kReplyTimeout));
  CHECK(leave.GetWaiting() == 1);
  leave.OnReply(ConnectionId("b"));
  CHECK(leave.IsComplete(begin));
  // One that connects while the last attempts run gets the same time.
  const TimePoint late = begin + std::chrono::seconds(9);
  leave.OnNotified(ConnectionId("c"), late);
  CHECK_FALSE(leave.IsComplete(late + LeaveHandshake::kReplyTimeout / 2));
}

}  // namespace
}  // namespace plantain

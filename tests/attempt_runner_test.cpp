#include "attempt_runner.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "http_server.h"
#include "loopback_address.h"
#include "process.h"
#include "unlimited_caller_memory.h"

namespace plantain {
namespace {

using trompeloeil::_;

const ModelName kModel("drafting");
const Digest kManifest(std::string(32, 'm'));

class MockGate : public ServingGate {
 public:
  MAKE_MOCK2(Enter, std::optional<Digest>(const ModelName&, const AdapterName&), override);
  MAKE_MOCK2(Leave, void(const ModelName&, const AdapterName&), override);
  MAKE_MOCK1(ReportMismatch, void(const Digest&), override);
};

class MockConfig : public ConfigSource {
 public:
  MAKE_CONST_MOCK0(GetConfig, std::shared_ptr<const ConfigView>(), override);
  MAKE_MOCK1(AddConfigListener, void(std::function<void(const std::shared_ptr<const ConfigView>&)>), override);
  MAKE_CONST_MOCK0(IsLogReachable, bool(), override);
};

std::shared_ptr<const ConfigView> MakeConfig(bool is_in_service) {
  auto view = std::make_shared<ConfigView>();
  view->document.zones.push_back({ZoneName("praha"), RegionName("cechy"), is_in_service});
  return view;
}

proto::AttemptStart MakeStart(uint64_t id, const std::string& manifest = "") {
  proto::AttemptStart start;
  start.set_attempt(id);
  start.set_request("r" + std::to_string(id));
  start.set_deadline_ms(10'000);
  start.mutable_completion()->set_model(kModel.Get());
  start.mutable_completion()->set_manifest(manifest);
  return start;
}

// Guards against attempts that run although they must be refused, are answered twice, or leak a slot or a gate entry.
TEST_CASE("An attempt is validated before it runs and releases its slot and gate entry") {
  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  SystemClock clock;
  SeededRandom random(1);
  Metrics metrics;
  AttemptMetrics attempt_metrics(metrics);
  RequestHistory history(100);
  HttpClient http(loop, answer_memory);
  MockGate gate;
  MockConfig config;
  Admission admission(clock, random, AdmissionLimitOptions{1, 4, false, std::chrono::seconds(60)}, 2);
  std::vector<proto::AttemptMessage> sent;
  const ConnectionId entry("entry");
  // Nothing listens on this port, so every call to the engine fails before it is sent.
  const HttpTarget unreachable_target{IpAddress("127.0.0.1"), Port(1)};
  const auto send = [&](const ConnectionId&, const proto::AttemptMessage& message) {
    sent.push_back(message);
    loop.Stop();
    return true;
  };
  AttemptRunner runner(RunnerDeps{clock, admission, config, &gate, http, unreachable_target,
                                  EndpointRole{ZoneName("praha"), false, ServiceName()}, SubmitOnce(), attempt_metrics,
                                  history, send});
  const auto get_reason = [&] { return sent.empty() ? proto::REFUSAL_REASON_UNKNOWN : sent.back().refused().reason(); };

  SECTION("an attempt without a configuration is refused as not run") {
    ALLOW_CALL(config, GetConfig()).RETURN(nullptr);
    runner.Begin(entry, MakeStart(1));
    CHECK(get_reason() == proto::REFUSAL_REASON_NO_CONFIG);
    CHECK(sent.back().refused().not_run());
  }

  SECTION("an attempt in a zone out of service is refused as not run") {
    ALLOW_CALL(config, GetConfig()).RETURN(MakeConfig(false));
    runner.Begin(entry, MakeStart(1));
    CHECK(get_reason() == proto::REFUSAL_REASON_ZONE_OUT);
    CHECK(sent.back().refused().not_run());
  }

  SECTION("in a zone in service") {
    ALLOW_CALL(config, GetConfig()).RETURN(MakeConfig(true));

    SECTION("an attempt at a closed gate is refused as not run") {
      REQUIRE_CALL(gate, Enter(kModel, _)).RETURN(std::nullopt);
      FORBID_CALL(gate, Leave(_, _));
      runner.Begin(entry, MakeStart(1));
      CHECK(get_reason() == proto::REFUSAL_REASON_GATE_CLOSED);
      CHECK(sent.back().refused().not_run());
    }

    SECTION("an attempt for other weights than the loaded ones is refused and leaves the gate") {
      REQUIRE_CALL(gate, Enter(kModel, _)).RETURN(kManifest);
      REQUIRE_CALL(gate, Leave(kModel, _));
      runner.Begin(entry, MakeStart(1, std::string(32, 'x')));
      CHECK(get_reason() == proto::REFUSAL_REASON_WRONG_WEIGHTS);
      CHECK(sent.back().refused().not_run());
    }

    SECTION("a service call to an engine is refused as a bad request") {
      proto::AttemptStart start = MakeStart(1);
      start.mutable_service()->set_service("register");
      runner.Begin(entry, start);
      CHECK(get_reason() == proto::REFUSAL_REASON_BAD_REQUEST);
    }

    SECTION("a leaving agent refuses the attempt as not run") {
      runner.BeginLeaving();
      runner.Begin(entry, MakeStart(1));
      CHECK(get_reason() == proto::REFUSAL_REASON_LEAVING);
      CHECK(sent.back().refused().not_run());
    }

    SECTION("with an open gate") {
      int entered = 0;
      ALLOW_CALL(gate, Enter(kModel, _)).LR_SIDE_EFFECT(++entered).RETURN(kManifest);
      ALLOW_CALL(gate, Leave(kModel, _)).LR_SIDE_EFFECT(--entered);
      runner.Begin(entry, MakeStart(1, kManifest.Get()));
      CHECK(admission.GetReport().in_flight == 1);
      CHECK(entered == 1);

      SECTION("an unreachable engine ends the attempt as not run and lowers the limit") {
        loop.Run();
        REQUIRE(sent.size() == 1);
        CHECK(get_reason() == proto::REFUSAL_REASON_ENGINE_FAILED);
        CHECK(sent.back().refused().not_run());
        CHECK(sent.back().refused().load().in_flight() == 0);
        CHECK(admission.GetReport().is_cold);
        CHECK(entered == 0);
      }

      SECTION("a cancelled attempt frees its slot and leaves the gate without a reply") {
        runner.Cancel({entry, AttemptId(1)});
        CHECK(sent.empty());
        CHECK(admission.GetReport().in_flight == 0);
        CHECK(entered == 0);
        CHECK(runner.GetInProgress() == 0);

        SECTION("and its id cannot be reused") {
          runner.Begin(entry, MakeStart(1, kManifest.Get()));
          CHECK(runner.GetInProgress() == 0);
          CHECK(sent.empty());
        }
      }

      SECTION("a duplicate id is ignored on the same connection but accepted on another one") {
        runner.Begin(entry, MakeStart(1, kManifest.Get()));
        CHECK(runner.GetInProgress() == 1);
        runner.Begin(ConnectionId("other"), MakeStart(1, kManifest.Get()));
        CHECK(runner.GetInProgress() == 2);
      }

      SECTION("an attempt above the cold limit waits and is refused when the agent leaves") {
        runner.Begin(entry, MakeStart(2, kManifest.Get()));
        CHECK(admission.GetReport().in_flight == 1);
        CHECK(admission.GetQueued() == 1);
        CHECK(sent.empty());
        runner.BeginLeaving();
        REQUIRE(sent.size() == 1);
        CHECK(sent.back().refused().attempt() == 2);
        CHECK(get_reason() == proto::REFUSAL_REASON_LEAVING);
        CHECK(sent.back().refused().not_run());
        CHECK(runner.GetInProgress() == 1);
      }
    }
  }
}

// Guards against an engine that sends bytes without end after the end marker and so delays the end of the attempt.
TEST_CASE("Bytes after the end marker end the attempt") {
  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  SystemClock clock;
  SeededRandom random(1);
  Metrics metrics;
  AttemptMetrics attempt_metrics(metrics);
  RequestHistory history(100);
  HttpClient http(loop, answer_memory);
  MockGate gate;
  MockConfig config;
  Admission admission(clock, random, AdmissionLimitOptions{1, 4, false, std::chrono::seconds(60)}, 2);
  const HttpTarget target{MakeLoopbackAddress(104), Port(29993)};
  std::shared_ptr<HttpResponder> response;
  HttpServer engine(loop, MakeUnlimitedCallerMemory(), target.address, target.port, 1024,
                    [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
                      response = responder;
                      responder->StartStream(200, {});
                      responder->SendChunk("data: [DONE]\n\n");
                      responder->SendChunk(": more\n\n");
                    });
  REQUIRE(engine.Start().ok());
  std::vector<proto::AttemptMessage> sent;
  const auto send = [&](const ConnectionId&, const proto::AttemptMessage& message) {
    sent.push_back(message);
    loop.Stop();
    return true;
  };
  AttemptRunner runner(RunnerDeps{clock, admission, config, &gate, http, target,
                                  EndpointRole{ZoneName("praha"), false, ServiceName()}, SubmitOnce(), attempt_metrics,
                                  history, send});
  ALLOW_CALL(config, GetConfig()).RETURN(MakeConfig(true));
  ALLOW_CALL(gate, Enter(kModel, _)).RETURN(kManifest);
  ALLOW_CALL(gate, Leave(kModel, _));
  const auto watchdog = loop.RunAfter(std::chrono::seconds(5), [&] { loop.Stop(); });
  runner.Begin(ConnectionId("entry"), MakeStart(1, kManifest.Get()));
  loop.Run();
  REQUIRE(sent.size() == 1);
  CHECK(sent.back().has_end());
  CHECK(runner.GetInProgress() == 0);
  CHECK(admission.GetReport().in_flight == 0);
}

}  // namespace
}  // namespace plantain

#include <catch2/catch.hpp>

#include "answer_check.h"
#include "digest_text.h"
#include "engine_batch.h"
#include "hex_text.h"
#include "weight_maker.h"

namespace plantain::standin {
namespace {

const WeightKey kBase{"tatami", ""};
const std::vector<std::string> kAnyManifest;

// Collects an answer.
class RecordingResponder : public HttpResponder {
 public:
  void Send(HttpResponse response) override {
    m_text = response.body;
    m_is_ended = true;
  }
  void StartStream(int, const HttpHeaders&) override {}
  void SendChunk(std::string data) override {
    m_text += data;
    ++m_pieces;
  }
  void EndStream() override { m_is_ended = true; }
  void Abort() override { m_is_aborted = true; }
  void SetOnClosed(std::function<void()> callback) override { m_on_closed = std::move(callback); }
  size_t GetUnsentBytes() const override { return 0; }

  void Close() { m_on_closed(); }
  const std::string& GetText() const { return m_text; }
  int GetPieces() const { return m_pieces; }
  bool IsDone() const { return m_is_ended || m_is_aborted; }
  bool IsAborted() const { return m_is_aborted; }

 private:
  std::function<void()> m_on_closed;
  std::string m_text;
  int m_pieces = 0;
  bool m_is_ended = false;
  bool m_is_aborted = false;
};

// An engine batch with two weight versions of one model, the first of which is loaded.
struct EngineFixture {
  EngineFixture() {
    catalog.Add(*ParseWeightSpec("tatami::v1:1000:100:1"));
    catalog.Add(*ParseWeightSpec("tatami::v2:1000:100:2"));
    cold.MakeWarm();
    Load(0);
  }

  std::string Load(size_t entry, int missing_from = 1 << 20) {
    const std::string digest = catalog.GetEntries()[entry].manifest_digest;
    const std::string hex = FormatHex(digest);
    proto::Manifest manifest;
    manifest.ParseFromString(*catalog.FindManifest(digest));
    weights.StageManifest(hex, *catalog.FindManifest(digest));
    for (int i = 0; i < std::min(missing_from, manifest.chunks_size()); ++i) {
      weights.StageChunk(hex, i, *catalog.FindChunk(manifest.chunks(i).digest()));
    }
    weights.Load(kBase, hex);
    return hex;
  }

  std::shared_ptr<RecordingResponder> Start(const LoadRequest& request, uint32_t first_index = 0,
                                            uint32_t priority = 0) {
    auto responder = std::make_shared<RecordingResponder>();
    EngineRequest completion{request.id,     kBase,    request.prompt,       first_index,
                             request.tokens, priority, request.is_streaming, {}};
    const bool is_added = batch.Add(std::move(completion), responder);
    REQUIRE(is_added);
    return responder;
  }

  // Runs the loop until the condition holds. If it never holds, the test fails by its time limit.
  void RunUntil(const std::function<bool()>& condition) {
    const std::unique_ptr<Timer> timer = loop.RunEvery(std::chrono::microseconds(50), [&] {
      if (condition()) loop.Stop();
    });
    loop.Run();
    loop.Restart();
  }

  AnswerVerdict GetVerdict(const LoadRequest& request, const RecordingResponder& responder) {
    AnswerCheck check(request, kAnyManifest);
    if (!request.is_streaming) return check.CheckUnary(responder.GetText());
    check.AddStreamBytes(responder.GetText());
    return check.GetStreamVerdict();
  }

  Loop loop;
  VirtualClock clock;
  WeightCatalog catalog;
  EngineWeights weights{false};
  ColdModel cold{clock, {2, std::chrono::seconds(4), Milliseconds(300)}};
  EngineBatch batch{loop, clock, weights, cold, {std::chrono::microseconds(100), 4, 8, 8, 2}};
};

LoadRequest MakeRequest(const std::string& id, uint32_t tokens, bool is_streaming) {
  LoadRequest request;
  request.id = id;
  request.prompt = "prompt of " + id;
  request.tokens = tokens;
  request.is_streaming = is_streaming;
  return request;
}

// Guards against correct answers of the engine stand-in that the load tool would report as wrong.
TEST_CASE("Answers of the engine stand-in pass the load tool's check") {
  EngineFixture fixture;
  const LoadRequest request = MakeRequest("r \"1\"", 5, GENERATE(true, false));
  const auto responder = fixture.Start(request);
  fixture.RunUntil([&] { return responder->IsDone(); });
  CHECK(fixture.GetVerdict(request, *responder) == AnswerVerdict::kCorrect);
  CHECK(fixture.batch.GetStats().finished == 1);
  CHECK(fixture.batch.GetStats().tokens == 5);
  CHECK(fixture.batch.GetStats().mixed_served == 0);
  CHECK(fixture.batch.GetInFlight() == 0);
}

// Guards against a resumed stream that repeats or skips tokens.
TEST_CASE("The engine stand-in resumes a stream at the asked index") {
  EngineFixture fixture;
  const LoadRequest request = MakeRequest("r1", 6, true);
  const auto full_stream = fixture.Start(request);
  const auto resumed_stream = fixture.Start(request, 4);
  fixture.RunUntil([&] { return full_stream->IsDone() && resumed_stream->IsDone(); });
  const size_t at = full_stream->GetText().find("data: {\"id\":\"r1\",\"index\":4,");
  REQUIRE(at != std::string::npos);
  CHECK(resumed_stream->GetText() == full_stream->GetText().substr(at));
}

// Guards against counters that miss a change of weights during a running request, the failure that the agent's gate
// must prevent.
TEST_CASE("The engine stand-in counts requests that are served with mixed or partial weights") {
  EngineFixture fixture;
  const LoadRequest request = MakeRequest("r1", 8, true);
  const auto responder = fixture.Start(request);
  fixture.RunUntil([&] { return responder->GetPieces() >= 3; });

  SECTION("a change of weights during a request") {
    fixture.Load(1);
    fixture.RunUntil([&] { return responder->IsDone(); });
    CHECK(fixture.batch.GetStats().mixed_served == 1);
    CHECK(fixture.batch.GetStats().partial_served == 0);
    CHECK(fixture.GetVerdict(request, *responder) == AnswerVerdict::kMixed);
  }

  SECTION("weights with missing chunks") {
    fixture.RunUntil([&] { return responder->IsDone(); });
    fixture.Load(1, 5);
    const auto partial = fixture.Start(request);
    fixture.RunUntil([&] { return partial->IsDone(); });
    CHECK(fixture.batch.GetStats().partial_served == 1);
    CHECK(fixture.batch.GetStats().mixed_served == 0);
    CHECK(fixture.GetVerdict(request, *partial) == AnswerVerdict::kWrong);
  }

  SECTION("an unload aborts the request") {
    fixture.batch.FailKey(kBase);
    CHECK(responder->IsAborted());
    CHECK(fixture.batch.GetInFlight() == 0);
  }

  SECTION("a load in progress suspends the request") {
    fixture.batch.SetLoading(kBase);
    const LoadRequest other = MakeRequest("r2", 4, true);
    const int pieces = responder->GetPieces();
    const uint64_t steps = fixture.batch.GetStats().steps;
    fixture.RunUntil([&] { return fixture.batch.GetStats().steps >= steps + 3; });
    CHECK(responder->GetPieces() == pieces);
    fixture.batch.SetLoading(std::nullopt);
    fixture.RunUntil([&] { return responder->IsDone(); });
    CHECK(fixture.GetVerdict(request, *responder) == AnswerVerdict::kCorrect);
  }
}

// Guards against requests that keep running after the client has disconnected, and against a queue that ignores
// priorities.
TEST_CASE("The engine stand-in cancels, queues and honours priorities") {
  EngineFixture fixture;
  std::vector<std::shared_ptr<RecordingResponder>> running;
  for (int i = 0; i < 8; ++i) running.push_back(fixture.Start(MakeRequest("run" + std::to_string(i), 1000, true)));
  CHECK(fixture.batch.GetRunning() == 8);
  const auto low_priority = fixture.Start(MakeRequest("low", 1, true));
  const auto high_priority = fixture.Start(MakeRequest("high", 1, true), 0, 5);
  CHECK(fixture.batch.GetQueued() == 2);

  SECTION("the queued request of higher priority takes the place of a cancelled one") {
    running[3]->Close();
    CHECK(fixture.batch.GetStats().cancelled == 1);
    CHECK(fixture.batch.GetQueued() == 1);
    fixture.RunUntil([&] { return high_priority->IsDone(); });
    // The low-priority request starts only in the step after the high-priority one has finished.
    CHECK_FALSE(low_priority->IsDone());
  }

  SECTION("a full queue refuses") {
    for (int i = 0; i < 6; ++i) fixture.Start(MakeRequest("wait" + std::to_string(i), 1, true));
    EngineRequest completion{"last", kBase, "p", 0, 1, 0, true, {}};
    const bool is_added = fixture.batch.Add(std::move(completion), std::make_shared<RecordingResponder>());
    CHECK_FALSE(is_added);
  }
}

// Guards against an engine stand-in that survives an overload under which a real cold engine would fail.
TEST_CASE("A cold engine stand-in counts requests over its limit and fails under overload") {
  EngineFixture fixture;
  fixture.cold.MakeCold();
  int callbacks = 0;
  fixture.batch.SetOnOverloadFailure([&] { ++callbacks; });
  std::vector<std::shared_ptr<RecordingResponder>> responders;
  for (int i = 0; i < 3; ++i) responders.push_back(fixture.Start(MakeRequest(std::to_string(i), 1000, true)));
  CHECK(fixture.batch.GetStats().over_limit == 1);
  fixture.batch.UpdateColdState();

  SECTION("it does not fail before 300 ms") {
    fixture.clock.Advance(Milliseconds(299));
    fixture.batch.UpdateColdState();
    CHECK(callbacks == 0);
  }

  SECTION("after 300 ms all requests fail") {
    fixture.clock.Advance(Milliseconds(300));
    fixture.batch.UpdateColdState();
    CHECK(callbacks == 1);
    CHECK(fixture.batch.GetStats().overload_failures == 1);
    CHECK(fixture.batch.GetStats().failed == 3);
    for (const auto& responder : responders) CHECK(responder->IsAborted());
    CHECK(fixture.batch.GetInFlight() == 0);
  }
}

}  // namespace
}  // namespace plantain::standin

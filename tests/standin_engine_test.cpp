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
  bool IsOver() const { return m_is_ended || m_is_aborted; }
  bool IsAborted() const { return m_is_aborted; }

 private:
  std::function<void()> m_on_closed;
  std::string m_text;
  int m_pieces = 0;
  bool m_is_ended = false;
  bool m_is_aborted = false;
};

// An engine batch with two weight versions of one model, the first of which is loaded.
struct Bench {
  Bench() {
    catalog.Add(*ParseWeightSpec("tatami::v1:1000:100:1"));
    catalog.Add(*ParseWeightSpec("tatami::v2:1000:100:2"));
    cold.GoWarm();
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

  std::shared_ptr<RecordingResponder> Begin(const LoadRequest& request, uint32_t first_index = 0,
                                            uint32_t priority = 0) {
    auto responder = std::make_shared<RecordingResponder>();
    EngineRequest work{request.id,     kBase,    request.prompt,       first_index,
                       request.tokens, priority, request.is_streaming, {}};
    const bool is_added = batch.Add(std::move(work), responder);
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

  AnswerVerdict Judge(const LoadRequest& request, const RecordingResponder& responder) {
    AnswerCheck check(request, kAnyManifest);
    if (!request.is_streaming) return check.CheckWhole(responder.GetText());
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
  Bench bench;
  const LoadRequest request = MakeRequest("r \"1\"", 5, GENERATE(true, false));
  const auto responder = bench.Begin(request);
  bench.RunUntil([&] { return responder->IsOver(); });
  CHECK(bench.Judge(request, *responder) == AnswerVerdict::kGood);
  CHECK(bench.batch.GetStats().finished == 1);
  CHECK(bench.batch.GetStats().tokens == 5);
  CHECK(bench.batch.GetStats().mixed_served == 0);
  CHECK(bench.batch.GetInFlight() == 0);
}

// Guards against a resumed stream that repeats or skips tokens.
TEST_CASE("The engine stand-in resumes a stream at the asked index") {
  Bench bench;
  const LoadRequest request = MakeRequest("r1", 6, true);
  const auto whole = bench.Begin(request);
  const auto rest = bench.Begin(request, 4);
  bench.RunUntil([&] { return whole->IsOver() && rest->IsOver(); });
  const size_t at = whole->GetText().find("data: {\"id\":\"r1\",\"index\":4,");
  REQUIRE(at != std::string::npos);
  CHECK(rest->GetText() == whole->GetText().substr(at));
}

// Guards against counters that miss a change of weights during a running request, the failure that the agent's gate
// must prevent.
TEST_CASE("The engine stand-in counts requests that are served with mixed or partial weights") {
  Bench bench;
  const LoadRequest request = MakeRequest("r1", 8, true);
  const auto responder = bench.Begin(request);
  bench.RunUntil([&] { return responder->GetPieces() >= 3; });

  SECTION("a change of weights during a request") {
    bench.Load(1);
    bench.RunUntil([&] { return responder->IsOver(); });
    CHECK(bench.batch.GetStats().mixed_served == 1);
    CHECK(bench.batch.GetStats().partial_served == 0);
    CHECK(bench.Judge(request, *responder) == AnswerVerdict::kMixed);
  }

  SECTION("weights with missing chunks") {
    bench.RunUntil([&] { return responder->IsOver(); });
    bench.Load(1, 5);
    const auto partial = bench.Begin(request);
    bench.RunUntil([&] { return partial->IsOver(); });
    CHECK(bench.batch.GetStats().partial_served == 1);
    CHECK(bench.batch.GetStats().mixed_served == 0);
    CHECK(bench.Judge(request, *partial) == AnswerVerdict::kWrong);
  }

  SECTION("an unload aborts the request") {
    bench.batch.FailKey(kBase);
    CHECK(responder->IsAborted());
    CHECK(bench.batch.GetInFlight() == 0);
  }

  SECTION("a load in progress suspends the request") {
    bench.batch.SetLoading(kBase);
    const LoadRequest other = MakeRequest("r2", 4, true);
    const int pieces = responder->GetPieces();
    const uint64_t steps = bench.batch.GetStats().steps;
    bench.RunUntil([&] { return bench.batch.GetStats().steps >= steps + 3; });
    CHECK(responder->GetPieces() == pieces);
    bench.batch.SetLoading(std::nullopt);
    bench.RunUntil([&] { return responder->IsOver(); });
    CHECK(bench.Judge(request, *responder) == AnswerVerdict::kGood);
  }
}

// Guards against requests that keep running after the client has disconnected, and against a queue that ignores
// priorities.
TEST_CASE("The engine stand-in cancels, queues and honours priorities") {
  Bench bench;
  std::vector<std::shared_ptr<RecordingResponder>> running;
  for (int i = 0; i < 8; ++i) running.push_back(bench.Begin(MakeRequest("run" + std::to_string(i), 1000, true)));
  CHECK(bench.batch.GetRunning() == 8);
  const auto low = bench.Begin(MakeRequest("low", 1, true));
  const auto high = bench.Begin(MakeRequest("high", 1, true), 0, 5);
  CHECK(bench.batch.GetQueued() == 2);

  SECTION("the queued request of higher priority takes the place of a cancelled one") {
    running[3]->Close();
    CHECK(bench.batch.GetStats().cancelled == 1);
    CHECK(bench.batch.GetQueued() == 1);
    bench.RunUntil([&] { return high->IsOver(); });
    // The low-priority request starts only in the step after the high-priority one has finished.
    CHECK_FALSE(low->IsOver());
  }

  SECTION("a full queue refuses") {
    for (int i = 0; i < 6; ++i) bench.Begin(MakeRequest("wait" + std::to_string(i), 1, true));
    EngineRequest work{"last", kBase, "p", 0, 1, 0, true, {}};
    const bool is_added = bench.batch.Add(std::move(work), std::make_shared<RecordingResponder>());
    CHECK_FALSE(is_added);
  }
}

// Guards against an engine stand-in that survives an overload under which a real cold engine would fail.
TEST_CASE("A cold engine stand-in counts requests over its limit and fails under overload") {
  Bench bench;
  bench.cold.GoCold();
  int falls = 0;
  bench.batch.SetOnFall([&] { ++falls; });
  std::vector<std::shared_ptr<RecordingResponder>> responders;
  for (int i = 0; i < 3; ++i) responders.push_back(bench.Begin(MakeRequest(std::to_string(i), 1000, true)));
  CHECK(bench.batch.GetStats().over_limit == 1);
  bench.batch.UpdateCold();

  SECTION("it does not fail before 300 ms") {
    bench.clock.Advance(Milliseconds(299));
    bench.batch.UpdateCold();
    CHECK(falls == 0);
  }

  SECTION("after 300 ms all requests fail") {
    bench.clock.Advance(Milliseconds(300));
    bench.batch.UpdateCold();
    CHECK(falls == 1);
    CHECK(bench.batch.GetStats().fell_over == 1);
    CHECK(bench.batch.GetStats().failed == 3);
    for (const auto& responder : responders) CHECK(responder->IsAborted());
    CHECK(bench.batch.GetInFlight() == 0);
  }
}

}  // namespace
}  // namespace plantain::standin

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "answer_check.h"
#include "latency_histogram.h"
#include "load_plan.h"
#include "token_text.h"

namespace plantain::standin {
namespace {

const std::string kOld(64, 'a');
const std::string kNew(64, 'b');
const std::vector<std::string> kAnyManifest;

LoadRequest MakeRequest() {
  LoadRequest request;
  request.id = "r1";
  request.prompt = "prompt of r1";
  request.tokens = 3;
  request.is_streaming = true;
  return request;
}

std::string MakeEvent(const LoadRequest& request, uint32_t index, const std::string& weights) {
  const nlohmann::json event = {{"id", request.id},
                                {"index", index},
                                {"token", MakeToken(MakeTokenSeed(request.prompt, weights), index)},
                                {"weights", weights}};
  return "data: " + event.dump() + "\n\n";
}

std::string MakeStream(const LoadRequest& request, const std::string& weights) {
  std::string text;
  for (uint32_t i = 0; i < request.tokens; ++i) text += MakeEvent(request, i, weights);
  return text + "data: [DONE]\n\n";
}

AnswerVerdict GetVerdict(const LoadRequest& request, const std::string& text, size_t piece = 1 << 20) {
  AnswerCheck check(request, kAnyManifest);
  for (size_t at = 0; at < text.size(); at += piece) check.AddStreamBytes(std::string_view(text).substr(at, piece));
  return check.GetStreamVerdict();
}

// Guards against an answer check that accepts answers that are truncated, mixed, repeated or belong to another request.
TEST_CASE("The load tool accepts a streamed answer only if every byte is correct") {
  const LoadRequest request = MakeRequest();
  const std::string correct_stream = MakeStream(request, kOld);
  LoadRequest other = request;

  SECTION("a complete answer is accepted however it is split into pieces") {
    CHECK(GetVerdict(request, correct_stream) == AnswerVerdict::kCorrect);
    CHECK(GetVerdict(request, correct_stream, 1) == AnswerVerdict::kCorrect);
    CHECK(GetVerdict(request, correct_stream, 7) == AnswerVerdict::kCorrect);
  }

  SECTION("an answer without its end marker is truncated") {
    const size_t cut = GENERATE(0, 10, 120, 300);
    CHECK(GetVerdict(request, correct_stream.substr(0, cut)) == AnswerVerdict::kTruncated);
  }

  SECTION("an end marker after too few tokens is truncated") {
    CHECK(GetVerdict(request, MakeEvent(request, 0, kOld) + "data: [DONE]\n\n") == AnswerVerdict::kTruncated);
  }

  SECTION("an answer to another prompt is wrong") {
    other.prompt = "prompt of r2";
    CHECK(GetVerdict(request, MakeStream(other, kOld)) == AnswerVerdict::kWrong);
  }

  SECTION("an answer with another request's id is wrong") {
    other.id = "r2";
    CHECK(GetVerdict(request, MakeStream(other, kOld)) == AnswerVerdict::kWrong);
  }

  SECTION("a missing, repeated or surplus token is wrong") {
    CHECK(GetVerdict(request, MakeEvent(request, 1, kOld)) == AnswerVerdict::kWrong);
    CHECK(GetVerdict(request, MakeEvent(request, 0, kOld) + correct_stream) == AnswerVerdict::kWrong);
    other.tokens = 4;
    CHECK(GetVerdict(request, MakeStream(other, kOld)) == AnswerVerdict::kWrong);
  }

  SECTION("a changed byte in a token is wrong") {
    std::string changed = correct_stream;
    changed[correct_stream.find("\"token\":\"") + 9] ^= 1;
    CHECK(GetVerdict(request, changed) == AnswerVerdict::kWrong);
  }

  SECTION("tokens from two weight versions are mixed") {
    const std::string mixed =
        MakeEvent(request, 0, kOld) + MakeEvent(request, 1, kNew) + MakeEvent(request, 2, kNew) + "data: [DONE]\n\n";
    CHECK(GetVerdict(request, mixed) == AnswerVerdict::kMixed);
  }

  SECTION("a typed error at the end is reported as an error, not as a truncation") {
    const std::string text = MakeEvent(request, 0, kOld) + "data: {\"error\":{\"type\":\"engine_failed\"}}\n\n";
    AnswerCheck check(request, kAnyManifest);
    check.AddStreamBytes(text);
    CHECK(check.GetStreamVerdict() == AnswerVerdict::kError);
    CHECK(check.GetErrorType() == "engine_failed");
  }

  SECTION("weights that are not in the allowed list are wrong") {
    const std::vector<std::string> allowed{kNew};
    AnswerCheck check(request, allowed);
    check.AddStreamBytes(correct_stream);
    CHECK(check.GetStreamVerdict() == AnswerVerdict::kWrong);
  }
}

// Guards against unary answers and service answers that are accepted without comparing their content.
TEST_CASE("The load tool compares answers that are not streamed") {
  LoadRequest request = MakeRequest();
  std::vector<std::string> tokens;
  const uint64_t seed = MakeTokenSeed(request.prompt, kOld);
  for (uint32_t i = 0; i < request.tokens; ++i) tokens.push_back(MakeToken(seed, i));
  nlohmann::json body = {{"id", request.id}, {"weights", kOld}, {"tokens", tokens}};

  SECTION("a complete answer is accepted") {
    CHECK(AnswerCheck(request, kAnyManifest).CheckUnary(body.dump()) == AnswerVerdict::kCorrect);
  }

  SECTION("an answer with a missing token is truncated") {
    body["tokens"].erase(2);
    CHECK(AnswerCheck(request, kAnyManifest).CheckUnary(body.dump()) == AnswerVerdict::kTruncated);
  }

  SECTION("an answer with its text in one string is compared as well") {
    std::string text;
    for (const std::string& token : tokens) text += token;
    body["text"] = text;
    body["tokens"] = 3;
    CHECK(AnswerCheck(request, kAnyManifest).CheckUnary(body.dump()) == AnswerVerdict::kCorrect);
    body["tokens"] = 2;
    CHECK(AnswerCheck(request, kAnyManifest).CheckUnary(body.dump()) == AnswerVerdict::kWrong);
    body["tokens"] = 2;
    body["text"] = tokens[0] + tokens[1];
    CHECK(AnswerCheck(request, kAnyManifest).CheckUnary(body.dump()) == AnswerVerdict::kTruncated);
    body["text"] = tokens[1] + tokens[0];
    CHECK(AnswerCheck(request, kAnyManifest).CheckUnary(body.dump()) == AnswerVerdict::kWrong);
  }

  SECTION("tokens in another order are wrong") {
    std::swap(body["tokens"][0], body["tokens"][1]);
    CHECK(AnswerCheck(request, kAnyManifest).CheckUnary(body.dump()) == AnswerVerdict::kWrong);
  }

  SECTION("an answer without its weights is wrong") {
    body.erase("weights");
    CHECK(AnswerCheck(request, kAnyManifest).CheckUnary(body.dump()) == AnswerVerdict::kWrong);
  }

  SECTION("a service answer must match its call and body") {
    request.is_service = true;
    request.call = {"register", "seal", false};
    request.body = "{\"item\":\"r1\"}";
    AnswerCheck check(request, kAnyManifest);
    CHECK(check.CheckUnary(MakeServiceAnswer("seal", request.body)) == AnswerVerdict::kCorrect);
    CHECK(check.CheckUnary(MakeServiceAnswer("seal", "{\"item\":\"r2\"}")) == AnswerVerdict::kWrong);
  }
}

LoadOptions MakeOptions() {
  LoadOptions options;
  options.models = {{"tatami", ""}, {"tatami", "sewing"}};
  options.workspaces = {{"large", 9}, {"small", 1}};
  options.service = "register";
  options.once_call = "seal";
  options.repeat_call = "lookup";
  options.service_share = 0.3;
  options.min_tokens = 4;
  options.max_tokens = 9;
  options.rate = 1000;
  options.seed = 20261204;
  return options;
}

// Guards against runs with equal seeds that send different requests, which would make failures irreproducible.
TEST_CASE("A load plan depends only on its options and thread") {
  const LoadOptions options = MakeOptions();
  LoadPlan first(options, 0);
  LoadPlan second(options, 0);
  LoadPlan other_thread(options, 1);
  double total_s = 0;
  int services = 0;
  int large = 0;
  constexpr int kCount = 4000;
  for (int i = 0; i < kCount; ++i) {
    const Duration interval = first.GetNextInterarrivalTime();
    REQUIRE(interval == second.GetNextInterarrivalTime());
    other_thread.GetNextInterarrivalTime();
    const LoadRequest request = first.MakeNextRequest();
    const LoadRequest repeated = second.MakeNextRequest();
    REQUIRE(request.id == repeated.id);
    REQUIRE(request.prompt == repeated.prompt);
    REQUIRE(request.body == repeated.body);
    REQUIRE(request.id != other_thread.MakeNextRequest().id);
    REQUIRE((request.is_service || (request.tokens >= 4 && request.tokens <= 9)));
    total_s += std::chrono::duration<double>(interval).count();
    services += request.is_service;
    large += request.workspace == 0;
  }
  // The rate of 1,000/s is divided between two threads.
  CHECK(kCount / total_s == Approx(500).epsilon(0.1));
  CHECK(services == Approx(0.3 * kCount).epsilon(0.1));
  CHECK(large == Approx(0.9 * kCount).epsilon(0.1));
}

// Guards against quantiles with an error larger than a bucket's width.
TEST_CASE("The latency histogram gives quantiles within 2%") {
  LatencyHistogram histogram;
  CHECK(histogram.GetQuantileMs(0.99) == 0);
  for (int i = 1; i <= 10'000; ++i) histogram.Add(std::chrono::microseconds(i * 37));
  CHECK(histogram.GetQuantileMs(0.5) == Approx(185.0).epsilon(0.02));
  CHECK(histogram.GetQuantileMs(0.99) == Approx(366.3).epsilon(0.02));

  SECTION("histograms can be merged") {
    LatencyHistogram slow;
    for (int i = 0; i < 10'000; ++i) slow.Add(std::chrono::seconds(10));
    histogram.Merge(slow);
    CHECK(histogram.GetCount() == 20'000);
    CHECK(histogram.GetQuantileMs(0.75) == Approx(10'000).epsilon(0.02));
  }
}

}  // namespace
}  // namespace plantain::standin

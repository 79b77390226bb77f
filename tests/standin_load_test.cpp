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

AnswerVerdict Judge(const LoadRequest& request, const std::string& text, size_t piece = 1 << 20) {
  AnswerCheck check(request, kAnyManifest);
  for (size_t at = 0; at < text.size(); at += piece) check.AddStreamBytes(std::string_view(text).substr(at, piece));
  return check.GetStreamVerdict();
}

// Guards against an answer check that accepts answers that are truncated, mixed, repeated or belong to another request.
TEST_CASE("The load tool accepts a streamed answer only if every byte is correct") {
  const LoadRequest request = MakeRequest();
  const std::string good = MakeStream(request, kOld);
  LoadRequest other = request;

  SECTION("a complete answer is accepted however it is split into pieces") {
    CHECK(Judge(request, good) == AnswerVerdict::kGood);
    CHECK(Judge(request, good, 1) == AnswerVerdict::kGood);
    CHECK(Judge(request, good, 7) == AnswerVerdict::kGood);
  }

  SECTION("an answer without its end marker is truncated") {
    const size_t cut = GENERATE(0, 10, 120, 300);
    CHECK(Judge(request, good.substr(0, cut)) == AnswerVerdict::kTruncated);
  }

  SECTION("an end marker after too few tokens is truncated") {
    CHECK(Judge(request, MakeEvent(request, 0, kOld) + "data: [DONE]\n\n") == AnswerVerdict::kTruncated);
  }

  SECTION("an answer to another prompt is wrong") {
    other.prompt = "prompt of r2";
    CHECK(Judge(request, MakeStream(other, kOld)) == AnswerVerdict::kWrong);
  }

  SECTION("an answer with another request's id is wrong") {
    other.id = "r2";
    CHECK(Judge(request, MakeStream(other, kOld)) == AnswerVerdict::kWrong);
  }

  SECTION("a missing, repeated or surplus token is wrong") {
    CHECK(Judge(request, MakeEvent(request, 1, kOld)) == AnswerVerdict::kWrong);
    CHECK(Judge(request, MakeEvent(request, 0, kOld) + good) == AnswerVerdict::kWrong);
    other.tokens = 4;
    CHECK(Judge(request, MakeStream(other, kOld)) == AnswerVerdict::kWrong);
  }

  SECTION("a changed byte in a token is wrong") {
    std::string changed = good;
    changed[good.find("\"token\":\"") + 9] ^= 1;
    CHECK(Judge(request, changed) == AnswerVerdict::kWrong);
  }

  SECTION("tokens from two weight versions are mixed") {
    const std::string mixed =
        MakeEvent(request, 0, kOld) + MakeEvent(request, 1, kNew) + MakeEvent(request, 2, kNew) + "data: [DONE]\n\n";
    CHECK(Judge(request, mixed) == AnswerVerdict::kMixed);
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
    check.AddStreamBytes(good);
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
    CHECK(AnswerCheck(request, kAnyManifest).CheckWhole(body.dump()) == AnswerVerdict::kGood);
  }

  SECTION("an answer with a missing token is truncated") {
    body["tokens"].erase(2);
    CHECK(AnswerCheck(request, kAnyManifest).CheckWhole(body.dump()) == AnswerVerdict::kTruncated);
  }

  SECTION("an answer with its text in one string is compared as well") {
    std::string text;
    for (const std::string& token : tokens) text += token;
    body["text"] = text;
    body["tokens"] = 3;
    CHECK(AnswerCheck(request, kAnyManifest).CheckWhole(body.dump()) == AnswerVerdict::kGood);
    body["tokens"] = 2;
    CHECK(AnswerCheck(request, kAnyManifest).CheckWhole(body.dump()) == AnswerVerdict::kWrong);
    body["tokens"] = 2;
    body["text"] = tokens[0] + tokens[1];
    CHECK(AnswerCheck(request, kAnyManifest).CheckWhole(body.dump()) == AnswerVerdict::kTruncated);
    body["text"] = tokens[1] + tokens[0];
    CHECK(AnswerCheck(request, kAnyManifest).CheckWhole(body.dump()) == AnswerVerdict::kWrong);
  }

  SECTION("tokens in another order are wrong") {
    std::swap(body["tokens"][0], body["tokens"][1]);
    CHECK(AnswerCheck(request, kAnyManifest).CheckWhole(body.dump()) == AnswerVerdict::kWrong);
  }

  SECTION("an answer without its weights is wrong") {
    body.erase("weights");
    CHECK(AnswerCheck(request, kAnyManifest).CheckWhole(body.dump()) == AnswerVerdict::kWrong);
  }

  SECTION("a service answer must match its call and body") {
    request.is_service = true;
    request.call = {"register", "seal", false};
    request.body = "{\"item\":\"r1\"}";
    AnswerCheck check(request, kAnyManifest);
    CHECK(check.CheckWhole(MakeServiceAnswer("seal", request.body)) == AnswerVerdict::kGood);
    CHECK(check.CheckWhole(MakeServiceAnswer("seal", "{\"item\":\"r2\"}")) == AnswerVerdict::kWrong);
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
  LoadPlan one(options, 0);
  LoadPlan two(options, 0);
  LoadPlan other_thread(options, 1);
  double total_s = 0;
  int services = 0;
  int large = 0;
  constexpr int kCount = 4000;
  for (int i = 0; i < kCount; ++i) {
    const Duration gap = one.GetNextGap();
    REQUIRE(gap == two.GetNextGap());
    other_thread.GetNextGap();
    const LoadRequest request = one.MakeNext();
    const LoadRequest same = two.MakeNext();
    REQUIRE(request.id == same.id);
    REQUIRE(request.prompt == same.prompt);
    REQUIRE(request.body == same.body);
    REQUIRE(request.id != other_thread.MakeNext().id);
    REQUIRE((request.is_service || (request.tokens >= 4 && request.tokens <= 9)));
    total_s += std::chrono::duration<double>(gap).count();
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

#include "hosted_engine.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "failure_type.h"
#include "http_server.h"
#include "loopback_address.h"
#include "manifest_func.h"
#include "unlimited_caller_memory.h"
#include "weight_clients.h"

namespace plantain::hosted {
namespace {

const HttpTarget kTarget{MakeLoopbackAddress(104), Port(29993)};
constexpr Duration kPollPeriod = Milliseconds(20);
constexpr Duration kSettle = Milliseconds(20);
// Ends a test in which an awaited event does not come.
constexpr Duration kWatchdog = std::chrono::seconds(20);
constexpr size_t kMaxBodyBytes = 64 * 1024;
constexpr uint32_t kChunkCount = 6;

const ModelName kModel("posudek");
const WeightName kVersionTwo{kModel, WeightVersion(2)};
const Digest kOtherManifest(std::string(32, 'o'));

std::string MakeChunk(uint32_t index) { return "chunk " + std::to_string(index) + " of version 2"; }

std::shared_ptr<const Manifest> MakeVersionTwo() {
  std::string digests;
  for (uint32_t i = 0; i < kChunkCount; ++i) {
    digests += (i == 0 ? "\"" : ",\"") + FormatDigest(ComputeDigest(MakeChunk(i))) + "\"";
  }
  return *MakeHostedManifest(
      kVersionTwo, R"({"model":"posudek","version":2,"chunk_bytes":32,"layers":3,"digests":[)" + digests + "]}");
}

// The engine as the agent sees it. Tests decide when it takes an order and what it answers.
class FakeHostedEngine {
 public:
  using OrderHandler = std::function<void(const std::shared_ptr<HttpResponder>&)>;

  explicit FakeHostedEngine(Loop& loop)
      : m_server(loop, MakeUnlimitedCallerMemory(), kTarget.address, kTarget.port, kMaxBodyBytes,
                 [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                   Handle(request, responder);
                 }) {
    REQUIRE(m_server.Start().ok());
  }

  // Handles the order with this number, counted from 0. Later orders without a handler of their own use the last one.
  void SetOrderHandler(size_t number, OrderHandler handler) { m_handlers[number] = std::move(handler); }

  // Adds so many bytes to each answer to a target that begins so.
  void SetPadding(std::string target, size_t bytes) {
    m_padded_target = std::move(target);
    m_padding.assign(bytes, ' ');
  }

  void SetChunk(uint32_t index, std::string content) { m_chunks[index] = std::move(content); }

  // Starts to load the ordered weights, as they are staged now.
  void TakeOrder() {
    ++orders;
    loaded_version = 2;
  }

  void Restart(uint64_t orders_after) {
    ++m_born;
    orders = orders_after;
    loaded_version = 1;
  }

  uint64_t orders = 0;
  uint64_t loaded_version = 1;
  // Bodies of the orders received.
  std::vector<std::string> order_bodies;

 private:
  void Send(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder, HttpResponse response) const {
    if (request.target.starts_with(m_padded_target)) response.body += m_padding;
    responder->Send(std::move(response));
  }

  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    if (request.target == "/report") {
      Send(request, responder,
           MakeJsonResponse(200, R"({"models":[{"name":"posudek","version":)" + std::to_string(loaded_version) +
                                     R"(}],"busy":false,"seq":)" + std::to_string(orders) +
                                     R"(,"queued":0,"active":0,"pace":1,"born":)" + std::to_string(m_born) + "}"));
    } else if (request.target == "/order") {
      order_bodies.push_back(request.body);
      const auto handler = std::prev(m_handlers.upper_bound(order_bodies.size() - 1));
      handler->second(responder);
    } else {
      const auto index = static_cast<uint32_t>(std::stoul(GetQueryValue(request.target, "num")));
      Send(request, responder, MakeTextResponse(200, request.method == "PUT" ? "" : m_chunks[index]));
    }
  }

  HttpServer m_server;
  std::map<size_t, OrderHandler> m_handlers;
  std::map<uint32_t, std::string> m_chunks;
  uint64_t m_born = 100;
  std::string m_padded_target;
  std::string m_padding;
};

struct EngineWorld {
  EngineWorld()
      : engine(loop),
        client(loop, answer_memory, clock, index, tracker, HostedEngineOptions{kTarget, kPollPeriod}),
        watchdog(loop.RunAfter(kWatchdog, [this] { loop.Stop(); })) {
    index.Add(kVersionTwo, manifest);
    REQUIRE(client.Start().ok());
  }
  ~EngineWorld() { client.Stop(); }

  // Runs the loop until the condition holds, and checks it after each poll period.
  bool RunUntil(const std::function<bool()>& condition) {
    bool is_met = false;
    const auto timer = loop.RunEvery(kPollPeriod / 2, [&] {
      is_met = condition();
      if (is_met) loop.Stop();
    });
    loop.Run();
    loop.Restart();
    return is_met;
  }

  // Writes all chunks of version 2, as the uploader does.
  void Stage() {
    REQUIRE(RunUntil([&] { return tracker.BeginManifest(manifest->digest, kChunkCount); }));
    for (uint32_t i = 0; i < kChunkCount; ++i) {
      REQUIRE(tracker.BeginUpload(manifest->digest));
      engine.SetChunk(i, MakeChunk(i));
      tracker.EndUpload(manifest->digest, i, UploadEnd::kStored);
    }
  }

  void SendOrder() {
    REQUIRE(RunUntil([&] { return client.GetHostedReport().has_value(); }));
    client.SendOrder({EngineOrderKind::kLoad, kModel, AdapterName(), manifest->digest, FencingToken(1)},
                     [this](const OrderResult& order_result) { result = order_result; });
  }

  // Whether chunks of another version may be written to the staging area now.
  bool MayStageOther() { return tracker.BeginManifest(kOtherManifest, kChunkCount); }

  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  SystemClock clock;
  HostedManifestIndex index;
  StagingTracker tracker{clock, kSettle};
  std::shared_ptr<const Manifest> manifest = MakeVersionTwo();
  FakeHostedEngine engine;
  HostedEngine client;
  std::unique_ptr<Timer> watchdog;
  std::optional<OrderResult> result;
};

using ResponderPtr = std::shared_ptr<HttpResponder>;

void Accept(const ResponderPtr& responder) { responder->Send(MakeJsonResponse(202, "{}")); }

// Guards against an engine that loads chunks of two versions because it takes an order later than this process expects.
TEST_CASE("The staging area keeps the ordered weights until the engine cannot take the order any more") {
  EngineWorld world;
  ResponderPtr held;
  world.Stage();
  // Whether chunks of another version could be staged before the engine took the order.
  bool was_replaced = false;
  const auto run_until_done = [&] {
    REQUIRE(world.RunUntil([&] {
      was_replaced = was_replaced || (world.engine.loaded_version != 2 && world.MayStageOther());
      return was_replaced || world.result.has_value();
    }));
    CHECK_FALSE(was_replaced);
    REQUIRE(world.result.has_value());
  };

  SECTION("given an engine that does not answer, the order is sent again until it is answered") {
    world.engine.SetOrderHandler(0, [&](const ResponderPtr& responder) { held = responder; });
    world.engine.SetOrderHandler(1, [&](const ResponderPtr& responder) {
      world.engine.TakeOrder();
      Accept(responder);
    });
    world.SendOrder();
    run_until_done();
    CHECK(world.result->outcome == OrderOutcome::kDone);
    CHECK(world.engine.order_bodies.size() == 2);
    CHECK(world.engine.order_bodies[0] == world.engine.order_bodies[1]);
    CHECK(world.MayStageOther());
  }

  SECTION("given an engine that takes the first copy when it gets the third, it is not ordered a second time") {
    world.engine.SetOrderHandler(0, [&](const ResponderPtr& responder) { responder->Abort(); });
    world.engine.SetOrderHandler(2, [&](const ResponderPtr& responder) {
      world.engine.TakeOrder();
      responder->Send(MakeJsonResponse(409, "{}"));
    });
    world.SendOrder();
    run_until_done();
    CHECK(world.result->outcome == OrderOutcome::kDone);
    CHECK(world.engine.order_bodies.size() == 3);
  }

  SECTION("given a server error, which does not say whether the order was taken, it is sent again") {
    world.engine.SetOrderHandler(
        0, [&](const ResponderPtr& responder) { responder->Send(MakeTextResponse(500, "failed")); });
    world.engine.SetOrderHandler(1, [&](const ResponderPtr& responder) {
      world.engine.TakeOrder();
      Accept(responder);
    });
    world.SendOrder();
    run_until_done();
    CHECK(world.result->outcome == OrderOutcome::kDone);
  }

  SECTION("given a staged chunk that spoils meanwhile, the same weights are staged again before the next copy") {
    world.engine.SetOrderHandler(0, [&](const ResponderPtr& responder) {
      world.engine.SetChunk(3, "spoilt");
      responder->Abort();
    });
    world.engine.SetOrderHandler(1, [&](const ResponderPtr& responder) {
      world.engine.TakeOrder();
      Accept(responder);
    });
    world.SendOrder();
    REQUIRE(world.RunUntil([&] { return world.tracker.Get().first.IsEmpty(); }));
    CHECK_FALSE(world.MayStageOther());
    world.Stage();
    run_until_done();
    CHECK(world.result->outcome == OrderOutcome::kDone);
    CHECK(world.engine.order_bodies.size() == 2);
  }

  SECTION("given an engine that restarts with the count that the order names, the weights are staged again") {
    world.engine.SetOrderHandler(0, [&](const ResponderPtr& responder) {
      world.engine.Restart(0);
      responder->Abort();
    });
    world.engine.SetOrderHandler(1, [&](const ResponderPtr& responder) {
      world.engine.TakeOrder();
      Accept(responder);
    });
    world.SendOrder();
    REQUIRE(world.RunUntil([&] { return world.tracker.Get().first.IsEmpty(); }));
    CHECK_FALSE(world.MayStageOther());
    world.Stage();
    run_until_done();
    CHECK(world.result->outcome == OrderOutcome::kDone);
  }

  SECTION("given an engine that restarts with another count, the order is over") {
    world.engine.orders = 3;
    world.engine.SetOrderHandler(0, [&](const ResponderPtr& responder) {
      world.engine.Restart(0);
      responder->Abort();
    });
    // The client's report must show the count before the order names it.
    REQUIRE(world.RunUntil([&] {
      const auto& report = world.client.GetHostedReport();
      return report.has_value() && report->orders == 3;
    }));
    world.SendOrder();
    REQUIRE(world.RunUntil([&] { return world.result.has_value(); }));
    CHECK(world.result->outcome == OrderOutcome::kRefused);
    CHECK(world.engine.order_bodies.size() == 1);
    CHECK(world.RunUntil([&] { return world.MayStageOther(); }));
  }

  SECTION("given a refusal, the order is over at once") {
    const int status = GENERATE(400, 409, 412, 421, 503);
    world.engine.SetOrderHandler(
        0, [&](const ResponderPtr& responder) { responder->Send(MakeTextResponse(status, "no")); });
    world.SendOrder();
    REQUIRE(world.RunUntil([&] { return world.result.has_value(); }));
    CHECK(world.result->outcome == OrderOutcome::kRefused);
    CHECK(world.engine.order_bodies.size() == 1);
    CHECK(world.MayStageOther());
  }
}

// Far more than any of these answers needs, and far less than the memory of an agent.
constexpr size_t kExcess = 1024 * 1024;

// Guards against answers without end that take an agent over the memory of its VM, since it has several calls open.
TEST_CASE("Answers of the engine that are longer than their call needs are refused") {
  static_assert(!std::is_default_constructible_v<HttpCallOptions>, "each call states how long its answer may be");
  EngineWorld world;
  world.Stage();
  HostedStagingArea area(world.loop, world.answer_memory, kTarget, world.tracker);

  SECTION("report") {
    REQUIRE(world.RunUntil([&] { return world.client.GetHostedReport().has_value(); }));
    world.engine.SetPadding("/report", kExcess);
    CHECK(world.RunUntil([&] { return !world.client.GetHostedReport().has_value(); }));
    world.engine.SetPadding("", 0);
    CHECK(world.RunUntil([&] { return world.client.GetHostedReport().has_value(); }));
  }
  SECTION("staged chunk, read for the check before an order") {
    world.engine.SetPadding("/stage-", kExcess);
    world.SendOrder();
    REQUIRE(world.RunUntil([&] { return world.result.has_value(); }));
    CHECK(world.result->outcome == OrderOutcome::kNotSent);
    CHECK(world.engine.order_bodies.empty());
  }
  SECTION("staged chunk, read for peers") {
    world.engine.SetPadding("/stage-", kExcess);
    std::optional<absl::StatusOr<std::string>> content;
    area.ReadChunk(*world.manifest, 0, [&](absl::StatusOr<std::string> read) { content = std::move(read); });
    REQUIRE(world.RunUntil([&] { return content.has_value(); }));
    CHECK_FALSE(content->ok());
  }
  SECTION("answer to an upload") {
    world.engine.SetPadding("/stage-", kExcess);
    std::optional<bool> is_stored;
    area.PutChunk(*world.manifest, 0, MakeChunk(0), [&](bool is_ok) { is_stored = is_ok; });
    REQUIRE(world.RunUntil([&] { return is_stored.has_value(); }));
    CHECK_FALSE(*is_stored);
  }
  SECTION("answer to an order, which is then sent again") {
    world.engine.SetOrderHandler(
        0, [&](const ResponderPtr& responder) { responder->Send(MakeJsonResponse(409, std::string(kExcess, ' '))); });
    world.engine.SetOrderHandler(1, [&](const ResponderPtr& responder) {
      world.engine.TakeOrder();
      Accept(responder);
    });
    world.SendOrder();
    REQUIRE(world.RunUntil([&] { return world.result.has_value(); }));
    CHECK(world.result->outcome == OrderOutcome::kDone);
    CHECK(world.engine.order_bodies.size() == 2);
  }
}

}  // namespace
}  // namespace plantain::hosted

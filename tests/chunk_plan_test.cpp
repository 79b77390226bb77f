#include "chunk_plan.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "exchange_sim.h"
#include "manifest_func.h"
#include "rendezvous.h"

namespace plantain {
namespace {

using standin::ExchangeSimOptions;
using standin::ExchangeSimResult;
using standin::RunExchangeSim;

constexpr uint64_t kSeed = 20261204;
constexpr size_t kChunks = 8;

std::shared_ptr<const Manifest> MakeWeights(const std::string& name) {
  std::vector<std::string> chunks;
  for (size_t i = 0; i < kChunks; ++i) chunks.push_back((i < 4 ? "shared " : name) + std::to_string(i));
  const std::string content = MakeManifest(ModelName("posudek"), AdapterName(name), VersionName("v1"), chunks);
  return *ParseManifest(ComputeDigest(content), content);
}

WantedManifest MakeWantedManifest(const std::shared_ptr<const Manifest>& manifest,
                                  const std::vector<WeightPeer>& peers) {
  return {manifest, manifest->digest, peers, ZoneName("praha"), true};
}

class PlanFixture {
 public:
  PlanFixture() : m_random(kSeed), m_plan(m_clock, m_random, MakeOptions()) {}

  static ChunkPlanOptions MakeOptions() {
    ChunkPlanOptions options;
    options.self = VmId("a");
    options.zone = ZoneName("praha");
    options.hedge_time = Milliseconds(100);
    return options;
  }

  std::vector<Fetch> PickAll() {
    std::vector<Fetch> fetches;
    while (const auto fetch = m_plan.StartNextFetch({})) fetches.push_back(*fetch);
    return fetches;
  }

  VirtualClock m_clock;
  SeededRandom m_random;
  ChunkPlan m_plan;
  const WeightPeer m_a{VmId("a"), ZoneName("praha"), IpAddress("127.0.0.1")};
  const WeightPeer m_b{VmId("b"), ZoneName("praha"), IpAddress("127.0.0.2")};
  const WeightPeer m_c{VmId("c"), ZoneName("praha"), IpAddress("127.0.0.3")};
};

TEST_CASE_METHOD(PlanFixture, "An owner fetches its own chunks from the origin and leaves the others to their owners") {
  const auto weights = MakeWeights("v1");
  m_plan.SetWants({MakeWantedManifest(weights, {m_a, m_b})});
  const std::vector<Fetch> own = PickAll();
  const std::vector<uint64_t> hashes{HashName("a"), HashName("b")};
  size_t owned = 0;
  for (const ChunkRef& chunk : weights->chunks) owned += FindOwner(HashName(chunk.digest.Get()), hashes) == 0 ? 1 : 0;
  CHECK(own.size() == std::min<size_t>(owned, 6));
  for (const Fetch& fetch : own) CHECK_FALSE(fetch.peer.has_value());

  SECTION("chunks that the other owner announces are fetched from it") {
    m_plan.OnHaveMap(m_b.vm, weights->digest, std::vector<bool>(kChunks, true));
    const std::vector<Fetch> more = PickAll();
    CHECK(more.size() == kChunks - own.size());
    for (const Fetch& fetch : more) CHECK(fetch.peer == m_b.vm);

    SECTION("a corrupt chunk excludes the peer temporarily") {
      for (const Fetch& fetch : more) m_plan.OnFailed(fetch.id, FetchFailure::kCorrupt);
      CHECK(m_plan.GetExclusions() > 0);
      for (const Fetch& fetch : PickAll()) CHECK(fetch.peer != m_b.vm);
      m_clock.Advance(std::chrono::seconds(60));
      bool is_asked_again = false;
      for (const Fetch& fetch : PickAll()) is_asked_again = is_asked_again || fetch.peer == m_b.vm;
      CHECK(is_asked_again);
    }
    SECTION("fetches from a stalled peer expire") {
      m_clock.Advance(Milliseconds(150));
      const std::vector<Fetch> expired = m_plan.ExpireStalledFetches();
      CHECK(expired.size() == more.size());
    }
  }
  SECTION("chunks of an owner that announces none for the hedge time are taken over") {
    CHECK(PickAll().empty());
    for (const Fetch& fetch : own) m_plan.OnVerified(fetch.id);
    m_clock.Advance(Milliseconds(250));
    std::vector<Fetch> taken = PickAll();
    CHECK(taken.size() + own.size() == std::min(kChunks, own.size() + 6));
    for (const Fetch& fetch : taken) CHECK_FALSE(fetch.peer.has_value());
  }
}

// Guards against fetching a chunk twice because two manifests share it.
TEST_CASE_METHOD(PlanFixture, "Chunks shared by two manifests are fetched once") {
  const auto first = MakeWeights("v1");
  const auto second = MakeWeights("v2");
  m_plan.SetWants({MakeWantedManifest(first, {m_a}), MakeWantedManifest(second, {m_a})});
  std::set<Digest> seen;
  size_t count = 0;
  while (const auto fetch = m_plan.StartNextFetch({})) {
    seen.insert(fetch->chunk);
    ++count;
    m_plan.OnVerified(fetch->id);
  }
  CHECK(count == 12);
  CHECK(seen.size() == 12);
  CHECK(m_plan.IsComplete());
}

TEST_CASE_METHOD(PlanFixture, "A newer version cancels fetches that only the older version needs") {
  const auto first = MakeWeights("v1");
  const auto second = MakeWeights("v2");
  m_plan.SetWants({MakeWantedManifest(first, {m_a})});
  const std::vector<Fetch> fetches = PickAll();
  const std::vector<Fetch> cancelled = m_plan.SetWants({MakeWantedManifest(second, {m_a})});
  for (const Fetch& fetch : cancelled) CHECK(fetch.chunk != first->chunks[0].digest);
  size_t shared = 0;
  for (const Fetch& fetch : fetches) {
    for (size_t i = 0; i < 4; ++i) shared += fetch.chunk == first->chunks[i].digest ? 1 : 0;
  }
  CHECK(cancelled.size() == fetches.size() - shared);
}

ExchangeSimResult Simulate(ExchangeSimOptions options) {
  options.seed = kSeed;
  return RunExchangeSim(options);
}

// Guards against fetch schedules that overload the origin or the links between zones, or leave links idle.
TEST_CASE("A simulated fleet distributes fetches between its VMs") {
  ExchangeSimOptions options;
  SECTION("15 VMs in three zones fetch each chunk from the origin about once, near link speed") {
    options.zones = 3;
    const ExchangeSimResult result = Simulate(options);
    CHECK(result.finished == 15);
    CHECK(result.origin_copies <= 1.25);
    CHECK(result.shared_copies <= 2 * 1.25);
    CHECK(result.seconds <= 1.3 * result.ideal_seconds);
  }
  SECTION("150 VMs in three zones") {
    options.vms = 150;
    options.zones = 3;
    const ExchangeSimResult result = Simulate(options);
    CHECK(result.finished == 150);
    CHECK(result.origin_copies <= 1.25);
    CHECK(result.seconds <= 1.5 * result.ideal_seconds);
  }
  SECTION("400 VMs in one zone use a bounded number of sources") {
    options.vms = 400;
    const ExchangeSimResult result = Simulate(options);
    CHECK(result.finished == 400);
    CHECK(result.max_sources <= 40);
    CHECK(result.origin_copies <= 1.25);
  }
}

TEST_CASE("A simulated fleet finishes under faults") {
  ExchangeSimOptions options;
  options.zones = 3;
  options.vms = 30;
  SECTION("with corrupt chunks and stalled and killed VMs, all remaining VMs finish") {
    options.corrupt_share = 0.05;
    options.stalled_share = 0.2;
    options.killed_share = 0.1;
    const ExchangeSimResult result = Simulate(options);
    CHECK(result.alive == 27);
    CHECK(result.finished == result.alive);
    CHECK(result.origin_copies <= 2.5);
  }
  SECTION("the origin is not needed after each chunk has been fetched once") {
    options.zones = 1;
    options.origin_down_s = 2.6;
    const ExchangeSimResult result = Simulate(options);
    CHECK(result.finished == 30);
  }
}

}  // namespace
}  // namespace plantain

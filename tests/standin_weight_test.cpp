#include <catch2/catch.hpp>

#include "digest_text.h"
#include "engine_weights.h"
#include "failure_type.h"
#include "hex_text.h"
#include "weight_maker.h"

namespace plantain::standin {
namespace {

const WeightKey kBase{"tatami", ""};

proto::Manifest ParseManifest(const WeightCatalog& catalog, size_t entry) {
  proto::Manifest manifest;
  manifest.ParseFromString(*catalog.FindManifest(catalog.GetEntries()[entry].manifest_digest));
  return manifest;
}

// Stages the manifest of an entry and its chunks before index `missing_from`.
std::string Stage(const WeightCatalog& catalog, size_t entry, EngineWeights& weights, int missing_from = 1 << 20) {
  const std::string digest = catalog.GetEntries()[entry].manifest_digest;
  const std::string hex = FormatHex(digest);
  REQUIRE(weights.StageManifest(hex, *catalog.FindManifest(digest)) == WeightResult::kOk);
  const proto::Manifest manifest = ParseManifest(catalog, entry);
  for (int i = 0; i < std::min(missing_from, manifest.chunks_size()); ++i) {
    REQUIRE(weights.StageChunk(hex, i, *catalog.FindChunk(manifest.chunks(i).digest())) == WeightResult::kOk);
  }
  return hex;
}

// Guards against weights that differ between runs, and against versions without the requested shared chunks.
TEST_CASE("Synthetic weights depend only on their specification") {
  WeightCatalog catalog;
  catalog.Add(*ParseWeightSpec("tatami::v1:1050:100:1"));
  catalog.Add(*ParseWeightSpec("tatami::v2:1050:100:2:0.5:1"));
  WeightCatalog same_catalog;
  same_catalog.Add(*ParseWeightSpec("tatami::v1:1050:100:1"));

  CHECK(same_catalog.GetEntries()[0].manifest_digest == catalog.GetEntries()[0].manifest_digest);
  const proto::Manifest first = ParseManifest(catalog, 0);
  const proto::Manifest second = ParseManifest(catalog, 1);
  REQUIRE(first.chunks_size() == 11);
  CHECK(first.chunks(10).size() == 50);
  CHECK(first.total_size() == 1050);

  SECTION("the chunks and the total match the digests in the manifest") {
    Sha256Stream total_hash;
    for (const proto::ChunkEntry& entry : first.chunks()) {
      const std::string bytes = *catalog.FindChunk(entry.digest());
      CHECK(HashSha256(bytes) == entry.digest());
      CHECK(bytes.size() == entry.size());
      total_hash.Add(bytes);
    }
    CHECK(total_hash.Finish() == first.total_digest());
  }

  SECTION("the given share of chunks is common to both versions") {
    int common = 0;
    for (int i = 0; i < first.chunks_size(); ++i) common += first.chunks(i).digest() == second.chunks(i).digest();
    CHECK(common > 0);
    CHECK(common < first.chunks_size());
  }
}

// Guards against a mistyped option that is accepted and generates different weights.
TEST_CASE("An invalid weight specification is rejected") {
  const std::string text = GENERATE("", "tatami", "tatami::v1:1000:100", "tatami::v1:x:100:1", "tatami::v1:1000:0:1",
                                    "tatami::v1:1000:100:1:0.5", "tatami::v1:1000:100:1:0.5:x");
  const absl::StatusOr<WeightSpec> spec = ParseWeightSpec(text);
  REQUIRE_FALSE(spec.ok());
  CHECK(GetFailureCode(spec.status()) == FailureCode::kUsage);
}

// Guards against an engine stand-in that serves weights that are incomplete, corrupt or belong to another model.
TEST_CASE("An engine loads only complete weights of the requested model") {
  WeightCatalog catalog;
  catalog.Add(*ParseWeightSpec("tatami::v1:1000:100:1"));
  catalog.Add(*ParseWeightSpec("tatami::v2:1000:100:2:0.5:1"));
  EngineWeights weights(true);

  SECTION("a manifest with a different digest is rejected") {
    const std::string hex = FormatHex(catalog.GetEntries()[0].manifest_digest);
    CHECK(weights.StageManifest(hex, "other") == WeightResult::kDigestMismatch);
    CHECK(weights.StageChunk(hex, 0, "x") == WeightResult::kNoManifest);
  }

  SECTION("a corrupt chunk is rejected and remains missing") {
    const std::string hex = Stage(catalog, 0, weights, 0);
    CHECK(weights.StageChunk(hex, 0, "x") == WeightResult::kDigestMismatch);
    CHECK(weights.StageChunk(hex, 10, "x") == WeightResult::kBadIndex);
    CHECK(weights.GetStagedMap() == "0000");
  }

  SECTION("weights with a missing chunk are not loaded") {
    const std::string hex = Stage(catalog, 0, weights, 9);
    CHECK(weights.GetStagedMap() == "ff01");
    CHECK(weights.Load(kBase, hex) == WeightResult::kIncomplete);
    CHECK(weights.GetLoaded().empty());
  }

  SECTION("weights of another model are not loaded") {
    const std::string hex = Stage(catalog, 0, weights);
    CHECK(weights.Load({"other", ""}, hex) == WeightResult::kBadManifest);
  }

  SECTION("complete weights are loaded and the staging area is cleared") {
    const std::string first = Stage(catalog, 0, weights);
    REQUIRE(weights.Load(kBase, first) == WeightResult::kOk);
    CHECK(weights.GetLoaded().at(kBase).manifest == first);
    CHECK(weights.GetLoaded().at(kBase).is_valid);
    CHECK(weights.GetStagedManifest().empty());

    SECTION("loading the same weights again has no effect") { CHECK(weights.Load(kBase, first) == WeightResult::kOk); }

    SECTION("shared chunks of another version count as staged") {
      Stage(catalog, 1, weights, 0);
      CHECK(weights.GetStagedMap() != "0000");
      CHECK(weights.GetStagedMap() != "ff03");
    }

    SECTION("loading weights that were never staged is rejected") {
      CHECK(weights.Load(kBase, std::string(64, '0')) == WeightResult::kNoManifest);
      CHECK(weights.GetLoaded().at(kBase).manifest == first);
    }
  }

  SECTION("an engine without verification loads incomplete weights but marks them") {
    EngineWeights unverified(false);
    const std::string hex = Stage(catalog, 0, unverified, 9);
    CHECK(unverified.Load(kBase, hex) == WeightResult::kOk);
    CHECK_FALSE(unverified.GetLoaded().at(kBase).is_valid);
  }
}

}  // namespace
}  // namespace plantain::standin

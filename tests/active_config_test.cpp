#include "active_config.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "config_records.h"
#include "failure_type.h"
#include "manifest_func.h"
#include "text_delta.h"

namespace plantain {
namespace {

ConfigRefInfo MakeRef(const ConfigView& view, const std::string& key) {
  return {view.version, view.publish_offset, view.digest,
          MakeConfigProof(key, view.version, view.publish_offset, view.digest)};
}

// Guards against adopting a document that no process folded from the log, and against reverting to a lower version.
TEST_CASE("A peer's document is adopted only with a valid proof, a matching digest and a higher version") {
  ActiveConfig active_config("key");
  const auto view = MakeTestView(3, 10, "three");
  const ConfigRefInfo ref = MakeRef(*view, "key");

  SECTION("a wrong key, version, offset or digest is rejected") {
    CHECK(GetFailureCode(active_config.AdoptOffer(MakeRef(*view, "other"), view->text)) == FailureCode::kProofInvalid);
    ConfigRefInfo changed = ref;
    changed.version = ConfigVersion(4);
    CHECK(GetFailureCode(active_config.AdoptOffer(changed, view->text)) == FailureCode::kProofInvalid);
    changed = ref;
    changed.publish_offset = LogOffset(11);
    CHECK(GetFailureCode(active_config.AdoptOffer(changed, view->text)) == FailureCode::kProofInvalid);
    CHECK(GetFailureCode(active_config.AdoptOffer(ref, view->text + " ")) == FailureCode::kDigestMismatch);
    CHECK(active_config.GetView() == nullptr);
  }

  SECTION("a document that fails validation is rejected even with a valid proof") {
    ConfigView wrong = *view;
    wrong.text = "schema: 7\n";
    wrong.digest = ComputeDigest(wrong.text);
    CHECK(GetFailureCode(active_config.AdoptOffer(MakeRef(wrong, "key"), wrong.text)) == FailureCode::kDocumentField);
  }

  SECTION("a valid document is adopted and offered to other peers with the same proof") {
    REQUIRE(active_config.AdoptOffer(ref, view->text).ok());
    CHECK(active_config.GetVersion() == ConfigVersion(3));
    CHECK(active_config.GetRef()->proof == ref.proof);

    SECTION("a lower version from a peer or from the log changes nothing") {
      const auto lower = MakeTestView(2, 9, "two");
      CHECK(active_config.AdoptOffer(MakeRef(*lower, "key"), lower->text).ok());
      CHECK_FALSE(active_config.AdoptFolded(lower));
      CHECK(active_config.GetVersion() == ConfigVersion(3));
    }
    SECTION("recent versions remain available as bases of deltas") {
      active_config.AdoptFolded(MakeTestView(4, 11, "four"));
      CHECK(active_config.FindText(ConfigVersion(3)) == view->text);
      for (uint64_t i = 5; i < 12; ++i) active_config.AdoptFolded(MakeTestView(i, i + 10, "later"));
      CHECK(active_config.FindText(ConfigVersion(3)).empty());
    }
  }
}

// Guards against deltas that do not reproduce the text, and against reading past the end of the base text.
TEST_CASE("A text delta reproduces the text and is rejected if the base is too short") {
  CHECK(rc::check("round trip", [](const std::string& start, const std::string& before, const std::string& after,
                                   const std::string& end) {
    const std::string base = start + before + end;
    const std::string text = start + after + end;
    const TextDelta delta = MakeTextDelta(base, text);
    RC_ASSERT(ApplyTextDelta(base, delta) == text);
    RC_ASSERT(delta.middle.size() <= after.size());
  }));
  CHECK_FALSE(ApplyTextDelta("abc", {4, 0, ""}).has_value());
  CHECK_FALSE(ApplyTextDelta("abc", {0, 4, ""}).has_value());
}

}  // namespace
}  // namespace plantain

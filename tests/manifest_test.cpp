#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "failure_type.h"
#include "manifest_func.h"
#include "transfer.pb.h"

namespace plantain {
namespace {

proto::Manifest MakeMessage() {
  proto::Manifest message;
  message.ParseFromString(MakeManifest(ModelName("posudek"), AdapterName(), VersionName("v1"), {"one", "three"}));
  return message;
}

FailureCode GetParseFailure(const proto::Manifest& message) {
  const std::string content = message.SerializeAsString();
  const auto manifest = ParseManifest(ComputeDigest(content), content);
  return manifest.ok() ? FailureCode::kUnknown : GetFailureCode(manifest.status());
}

// Guards against manifests that make an agent load other weights than were published, or exhaust its memory.
TEST_CASE("A manifest is accepted only if its digest and its fields are consistent") {
  proto::Manifest message = MakeMessage();

  SECTION("a valid manifest is parsed") {
    const std::string content = message.SerializeAsString();
    const auto manifest = ParseManifest(ComputeDigest(content), content);
    REQUIRE(manifest.ok());
    CHECK((*manifest)->total_size == Bytes(8));
    CHECK((*manifest)->chunks.size() == 2);
    CHECK((*manifest)->chunks[1] == ChunkRef{ComputeDigest("three"), 5});
  }
  SECTION("content that does not match the digest is rejected") {
    const std::string content = message.SerializeAsString();
    const auto manifest = ParseManifest(ComputeDigest(content + "x"), content);
    CHECK(GetFailureCode(manifest.status()) == FailureCode::kDigestMismatch);
  }
  SECTION("a total size other than the sum of the chunk sizes is rejected") {
    message.set_total_size(9);
    CHECK(GetParseFailure(message) == FailureCode::kManifestInvalid);
  }
  SECTION("an empty or oversized chunk is rejected") {
    message.mutable_chunks(0)->set_size(0);
    CHECK(GetParseFailure(message) == FailureCode::kManifestInvalid);
    message.mutable_chunks(0)->set_size(kMaxChunkBytes + 1);
    message.set_total_size(kMaxChunkBytes + 1 + 5);
    CHECK(GetParseFailure(message) == FailureCode::kManifestInvalid);
  }
  SECTION("a chunk digest of the wrong length is rejected") {
    message.mutable_chunks(1)->set_digest("short");
    CHECK(GetParseFailure(message) == FailureCode::kManifestInvalid);
  }
  SECTION("a manifest without chunks is rejected") {
    message.clear_chunks();
    message.set_total_size(0);
    CHECK(GetParseFailure(message) == FailureCode::kManifestInvalid);
  }
}

TEST_CASE("Digests and bit maps are unchanged after encoding and decoding") {
  CHECK(rc::check([](const std::string& content, const std::vector<bool>& bits) {
    const Digest digest = ComputeDigest(content);
    RC_ASSERT(ParseDigest(FormatDigest(digest)) == digest);
    RC_ASSERT(UnpackBits(PackBits(bits), bits.size()) == bits);
  }));
  CHECK_FALSE(ParseDigest("12").has_value());
  CHECK_FALSE(ParseDigest(std::string(64, 'g')).has_value());
}

}  // namespace
}  // namespace plantain

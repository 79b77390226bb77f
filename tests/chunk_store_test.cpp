#include "chunk_store.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "failure_type.h"
#include "manifest_func.h"

namespace plantain {
namespace {

// Guards against corrupt chunks that reach peers or the engine.
TEST_CASE("A chunk store accepts only content that matches its digest") {
  ChunkStore store(Bytes(100));
  std::vector<Digest> dropped;
  const std::string content = "weights";
  const Digest digest = ComputeDigest(content);

  SECTION("content that does not match is rejected") {
    const absl::Status status = store.Put(digest, "Weights", dropped);
    CHECK(GetFailureCode(status) == FailureCode::kDigestMismatch);
    CHECK(store.Get(digest) == nullptr);
    CHECK(store.GetUsed() == Bytes(0));
  }
  SECTION("matching content is stored once") {
    REQUIRE(store.Put(digest, content, dropped).ok());
    REQUIRE(store.Put(digest, content, dropped).ok());
    CHECK(*store.Get(digest) == content);
    CHECK(store.GetUsed() == Bytes(content.size()));
  }
}

TEST_CASE("A full chunk store evicts the least recently used chunk") {
  ChunkStore store(Bytes(30));
  std::vector<Digest> dropped;
  const std::string a(10, 'a');
  const std::string b(10, 'b');
  const std::string c(10, 'c');
  const std::string d(10, 'd');
  for (const std::string& content : {a, b, c}) REQUIRE(store.Put(ComputeDigest(content), content, dropped).ok());

  SECTION("a recently read chunk is not evicted") {
    store.Get(ComputeDigest(a));
    REQUIRE(store.Put(ComputeDigest(d), d, dropped).ok());
    CHECK(dropped == std::vector<Digest>{ComputeDigest(b)});
    CHECK(store.Has(ComputeDigest(a)));
  }
  SECTION("pinned chunks are not evicted, and a new chunk is rejected when all are pinned") {
    for (const std::string& content : {a, b, c}) store.Pin(ComputeDigest(content));
    CHECK(store.GetAvailableBytes() == Bytes(0));
    CHECK(GetFailureCode(store.Put(ComputeDigest(d), d, dropped)) == FailureCode::kMemoryLimit);
    store.Unpin(ComputeDigest(b));
    REQUIRE(store.Put(ComputeDigest(d), d, dropped).ok());
    CHECK(dropped == std::vector<Digest>{ComputeDigest(b)});
  }
}

// Guards against agents that exceed their memory limit.
TEST_CASE("A chunk store never exceeds its limit") {
  CHECK(rc::check([](const std::vector<uint8_t>& steps) {
    ChunkStore store(Bytes(256));
    std::vector<Digest> dropped;
    for (const uint8_t step : steps) {
      const std::string content(1 + step % 90, static_cast<char>('a' + step % 26));
      const Digest digest = ComputeDigest(content);
      switch (step % 4) {
        case 0:
          store.Pin(digest);
          break;
        case 1:
          store.Unpin(digest);
          break;
        default:
          store.Put(digest, content, dropped).IgnoreError();
          break;
      }
      RC_ASSERT(store.GetUsed() <= store.GetLimit());
      RC_ASSERT(store.GetAvailableBytes() <= store.GetLimit());
    }
  }));
}

}  // namespace
}  // namespace plantain

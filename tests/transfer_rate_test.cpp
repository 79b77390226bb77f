#include "transfer_rate.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <vector>

#include "upload_queue.h"

namespace plantain {
namespace {

// Guards against chunk transfer that exceeds its rate on a link.
TEST_CASE("A token bucket enforces its mean rate for items of any size") {
  CHECK(rc::check([](const std::vector<uint16_t>& sizes) {
    VirtualClock clock;
    const double rate = 10'000;
    TokenBucket bucket(BytesPerSecond(rate), Milliseconds(20), clock.GetNow());
    const TimePoint start = clock.GetNow();
    double sent = 0;
    double last = 0;
    for (const uint16_t size : sizes) {
      clock.Advance(bucket.GetDelay(clock.GetNow()));
      RC_ASSERT(bucket.IsOpen(clock.GetNow()));
      bucket.Take(Bytes(size), clock.GetNow());
      sent += size;
      last = size;
      const double elapsed_s = std::chrono::duration<double>(clock.GetNow() - start).count();
      RC_ASSERT(sent - last <= rate * (elapsed_s + 0.021));
    }
  }));
}

TEST_CASE("Live requests reduce the rate of chunk transfer") {
  VirtualClock clock;
  TransferRateOptions options{BytesPerSecond(1000), BytesPerSecond(1000), BytesPerSecond(100), 0.5};
  TransferRateLimits rate_limits(options, clock);
  rate_limits.SetHasLiveRequests(true);
  rate_limits.GetUpload().Take(Bytes(1000), clock.GetNow());
  CHECK(rate_limits.GetUpload().GetDelay(clock.GetNow()) >= std::chrono::seconds(1));
  CHECK(rate_limits.GetUpload().GetDelay(clock.GetNow()) >= Milliseconds(1900));
}

UploadRequest MakeRequest(const std::string& connection, uint64_t id, bool is_urgent, bool is_cross_zone) {
  UploadRequest request;
  request.connection = connection;
  request.id = id;
  request.is_urgent = is_urgent;
  request.is_cross_zone = is_cross_zone;
  return request;
}

// Guards against low-priority transfers, or one peer with many requests, that delay urgent uploads to other peers.
TEST_CASE("Uploads are ordered by priority class, round-robin between peers") {
  UploadQueue queue(4, 8);
  queue.Add(MakeRequest("a", 1, false, false));
  queue.Add(MakeRequest("a", 2, true, false));
  queue.Add(MakeRequest("a", 3, true, false));
  queue.Add(MakeRequest("b", 4, true, false));
  queue.Add(MakeRequest("c", 5, true, true));

  SECTION("other zones first, then round-robin between peers, routine last") {
    std::vector<uint64_t> order;
    while (const auto request = queue.Take(true)) order.push_back(request->id);
    CHECK(order == std::vector<uint64_t>{5, 2, 4, 3, 1});
  }
  SECTION("requests of other zones wait while the shared link is not available") {
    CHECK(queue.Take(false)->id == 2);
    CHECK(queue.Take(true)->id == 5);
  }
  SECTION("a cancelled request is not served") {
    queue.Cancel("a", 2);
    CHECK(queue.Take(false)->id == 3);
  }
  SECTION("the queue is bounded per peer and in total") {
    CHECK(queue.Add(MakeRequest("a", 6, true, false)));
    CHECK(queue.Add(MakeRequest("a", 7, true, false)));
    CHECK_FALSE(queue.Add(MakeRequest("a", 8, true, false)));
    CHECK(queue.Add(MakeRequest("b", 9, true, false)));
    CHECK_FALSE(queue.Add(MakeRequest("c", 10, true, false)));
  }
}

}  // namespace
}  // namespace plantain

#include "beacon_pace.h"

#include <algorithm>
#include <cmath>

#include "fleet.pb.h"

namespace plantain {
namespace {

// Larger numbers are no counts of a slow start. The bound keeps sums and the next epoch within their type.
constexpr uint32_t kMaxCount = 1U << 24;
constexpr double kMaxSlowness = 1000;

}  // namespace

void EncodePace(const PaceReport& report, proto::Beacon& out) {
  for (const StartCount& count : report.starts) {
    proto::StartCount* added = out.add_start_counts();
    added->set_endpoint(count.endpoint.Get());
    added->set_incarnation(count.incarnation.Get());
    added->set_epoch(count.epoch);
    added->set_base(count.base);
    added->set_good(count.good);
    added->set_is_done(count.is_done);
  }
  for (const SpeedReport& speed : report.speeds) {
    proto::SpeedReport* added = out.add_speeds();
    added->set_endpoint(speed.endpoint.Get());
    added->set_incarnation(speed.incarnation.Get());
    added->set_slowness(speed.slowness);
    added->set_answers(speed.answers);
  }
}

PaceReport DecodePace(const proto::Beacon& in) {
  PaceReport report;
  for (const proto::StartCount& count : in.start_counts()) {
    if (report.starts.size() >= kMaxStartCounts) break;
    if (std::max({count.epoch(), count.base(), count.good()}) > kMaxCount) continue;
    report.starts.push_back({EndpointId(count.endpoint()), Incarnation(count.incarnation()), count.epoch(),
                             count.base(), count.good(), count.is_done()});
  }
  for (const proto::SpeedReport& speed : in.speeds()) {
    if (report.speeds.size() >= kMaxSpeedReports) break;
    const bool is_valid = std::isfinite(speed.slowness()) && speed.slowness() > 0 && speed.slowness() <= kMaxSlowness;
    if (!is_valid) continue;
    report.speeds.push_back(
        {EndpointId(speed.endpoint()), Incarnation(speed.incarnation()), speed.slowness(), speed.answers()});
  }
  return report;
}

}  // namespace plantain

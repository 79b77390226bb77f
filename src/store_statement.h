// What an entry states in its beacons about its reading of the platform's store.

#ifndef PLANTAIN_STORE_STATEMENT_H_
#define PLANTAIN_STORE_STATEMENT_H_

#include <cstdint>

#include "core_type.h"

namespace plantain {

// Whether an entry reads the store. The values are those of the beacon field.
enum class StoreReading : uint32_t {
  // Also stated by processes of versions that know no readers; these read the store.
  kNotStated = 0,
  // It gets records from peers.
  kStandby = 1,
  // It reads, but at least one topic has not been answered since it began.
  kStarting = 2,
  // The last read of a topic failed.
  kFailing = 3,
  // The last reads of both topics succeeded.
  kFollowing = 4,
};

// The part of a beacon that concerns the store.
struct StoreStatement {
  StoreReading reading = StoreReading::kNotStated;
  // Time since `reading` last changed.
  Duration reading_age{};
  // All operators' records that were written before this time ago have been received.
  Duration operator_age{};
};

// Another live entry of the own zone with its latest statement.
struct ZoneEntry {
  VmId vm;
  StoreStatement statement;
  TimePoint heard_at;
  // Time within which each entry of the zone gets a beacon from it.
  Duration interval{};
};

}  // namespace plantain

#endif  // PLANTAIN_STORE_STATEMENT_H_

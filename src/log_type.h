// Data types of the platform's append-only log.

#ifndef PLANTAIN_LOG_TYPE_H_
#define PLANTAIN_LOG_TYPE_H_

#include <string>
#include <vector>

#include "core_type.h"

namespace plantain {

// One record of a stream.
struct LogRecord {
  LogOffset offset;
  // Time at which the log accepted the record, by the log's clock.
  WallTime time;
  std::string data;
};

// Result of one read. If `first_offset` is larger than the requested offset, the records in between have expired; the
// batch is then empty and the reader continues at `first_offset`.
struct LogBatch {
  std::vector<LogRecord> records;
  // Oldest offset that the log retains.
  LogOffset first_offset;
  // Offset of the next append.
  LogOffset next_offset;
};

}  // namespace plantain

#endif  // PLANTAIN_LOG_TYPE_H_

// Records of one stream of the log stand-in.

#ifndef PLANTAIN_LOG_STORE_H_
#define PLANTAIN_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "clock.h"

namespace plantain::standin {

// Stores records at consecutive offsets starting from 0 and drops those older than the retention time.
class LogStore {
 public:
  // A retention time of zero keeps records forever.
  LogStore(const Clock& clock, Duration retention) : m_clock(clock), m_retention(retention) {}

  // Adds a record and returns its offset.
  uint64_t Append(std::string bytes);

  // Drops expired records.
  void Expire();

  uint64_t GetFirstOffset() const { return m_first; }

  // Offset of the next record to be appended.
  uint64_t GetNextOffset() const { return m_first + m_records.size(); }

  // Returns up to `max` records from offset `from` on, excluding those at or past `end`, in the binary format of the
  // log API: offset (8 bytes), Unix time in ms (8 bytes) and length (4 bytes), all little endian, then the record's
  // bytes. Sets `next` to the offset after the last record returned.
  std::string Read(uint64_t from, uint64_t max, uint64_t end, uint64_t& next) const;

  void SetRetention(Duration retention) { m_retention = retention; }

 private:
  struct Record {
    TimePoint added_at;
    uint64_t unix_ms;
    std::string bytes;
  };

  const Clock& m_clock;
  Duration m_retention;
  uint64_t m_first = 0;
  std::deque<Record> m_records;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_LOG_STORE_H_

// Converts scraped counters into good and bad events per minute and sums them over time windows.

#ifndef PLANTAIN_BURN_WINDOW_H_
#define PLANTAIN_BURN_WINDOW_H_

#include <map>
#include <span>
#include <string>
#include <vector>

#include "burn_type.h"

namespace plantain {

// Accumulates the scrapes of all processes. Memory use depends on the period, not on the number of scrapes.
class BurnAccumulator {
 public:
  // `period` is the time that the error budget covers; older events are discarded.
  explicit BurnAccumulator(Duration period);

  // Returns the index of a series and defines the series if it is new.
  BurnSeriesIndex DefineSeries(const BurnSeriesKey& key);

  // Adds one scrape of a process. A value lower than the previous one is a counter reset, and the whole value counts as
  // new events. Events after a gap in the scrapes are distributed evenly over the gap. A scrape that is not later than
  // the previous one of the same process is discarded.
  void AddScrape(UnixSeconds time, uint32_t process, std::span<const BurnValue> values);

  // Returns the events of a measure in a window that ends at the latest scrape.
  BurnCount GetWindow(BurnMeasure measure, Duration window) const;

  // Returns the number of bad events for each value of a label in descending order, at most `max_rows`.
  std::vector<BurnContributor> GetTopContributors(BurnMeasure measure, std::string BurnSeriesKey::*label,
                                                  size_t max_rows) const;

  // Returns the share of bad events of a measure in each of `interval_count` equal intervals of the observed time.
  std::vector<double> GetBadShareOverTime(BurnMeasure measure, size_t interval_count) const;

  UnixSeconds GetFirstTime() const { return m_first_time; }
  UnixSeconds GetLastTime() const { return m_last_time; }
  uint64_t GetGaps() const { return m_gaps; }
  uint64_t GetResets() const { return m_resets; }

 private:
  struct Series {
    BurnSeriesKey key;
    uint64_t last = 0;
    bool has_last_value = false;
    double total = 0;
  };

  struct Slot {
    int64_t minute = -1;
    std::array<BurnCount, kBurnMeasures.size()> counts{};
  };

  void AddEvents(const Series& series, UnixSeconds from, UnixSeconds to, double events);
  Slot& GetSlot(int64_t minute);
  BurnCount SumMinutes(BurnMeasure measure, int64_t first, int64_t last) const;

  std::vector<Series> m_series;
  std::map<BurnSeriesKey, BurnSeriesIndex> m_index;
  // Ring buffer with one slot per minute of the period.
  std::vector<Slot> m_slots;
  std::vector<int64_t> m_last_scrape;
  UnixSeconds m_first_time;
  UnixSeconds m_last_time;
  uint64_t m_gaps = 0;
  uint64_t m_resets = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_BURN_WINDOW_H_

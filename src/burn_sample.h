// File format of recorded scrapes. The file is kept on the operator's host, because VMs have no persistent storage.

#ifndef PLANTAIN_BURN_SAMPLE_H_
#define PLANTAIN_BURN_SAMPLE_H_

#include <istream>
#include <map>
#include <ostream>
#include <span>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "burn_type.h"
#include "burn_window.h"

namespace plantain {

// Writes scrapes as varint-encoded frames. A value is stored as the difference from the series' previous value, which
// takes two to four bytes in a typical scrape.
class BurnSampleWriter {
 public:
  explicit BurnSampleWriter(std::ostream& out);

  // Returns the index of a series and writes its definition if the series is new.
  BurnSeriesIndex DefineSeries(const BurnSeriesKey& key);

  // Writes one scrape of a process.
  void Write(UnixSeconds time, uint32_t process, std::span<const BurnValue> values);

 private:
  std::ostream& m_out;
  std::map<BurnSeriesKey, BurnSeriesIndex> m_index;
  std::vector<uint64_t> m_last_values;
};

// Reads recorded scrapes into an accumulator frame by frame, so that memory use does not grow with the file size. A
// file may contain several concatenated recordings. A damaged frame stops the reading with kProtocol; the frames before
// it remain in the accumulator.
absl::Status ReadBurnSamples(std::istream& in, BurnAccumulator& accumulator);

// A service-level counter and its value in one scrape.
struct ScrapedSeries {
  BurnSeriesKey key;
  uint64_t value = 0;
};
// Returns the service-level counters in the `/metrics` text of a process.
std::vector<ScrapedSeries> ParseScrape(const std::string& process, const std::string& text);

}  // namespace plantain

#endif  // PLANTAIN_BURN_SAMPLE_H_

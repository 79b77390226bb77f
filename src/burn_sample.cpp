#include "burn_sample.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl.h>

#include <charconv>
#include <optional>

#include "failure_type.h"

namespace plantain {
namespace {

using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;
using google::protobuf::io::IstreamInputStream;
using google::protobuf::io::OstreamOutputStream;

// Frame types. A start frame begins a recording and clears the series definitions.
constexpr uint32_t kFrameStart = 1;
constexpr uint32_t kFrameSeries = 2;
constexpr uint32_t kFrameScrape = 3;

constexpr uint32_t kMaxTextBytes = 256;
constexpr uint32_t kMaxSeries = 4'000'000;
constexpr uint32_t kMaxProcesses = 1'000'000;
constexpr int kReadBlockBytes = 1 << 20;
constexpr int kMaxFileBytes = 1 << 30;
constexpr char kSloMetricPrefix[] = "plantain_slo_events_total{";

uint64_t EncodeZigzag(int64_t value) {
  return (static_cast<uint64_t>(value) << 1) ^ static_cast<uint64_t>(value >> 63);
}

int64_t DecodeZigzag(uint64_t value) { return static_cast<int64_t>(value >> 1) ^ -static_cast<int64_t>(value & 1); }

void WriteText(CodedOutputStream& out, const std::string& text) {
  const std::string cut = text.substr(0, kMaxTextBytes);
  out.WriteVarint32(static_cast<uint32_t>(cut.size()));
  out.WriteString(cut);
}

bool ReadText(CodedInputStream& in, std::string& text) {
  uint32_t size = 0;
  if (!in.ReadVarint32(&size) || size > kMaxTextBytes) return false;
  return in.ReadString(&text, static_cast<int>(size));
}

// Decodes the frames of a file and maps the file's series indexes to those of the accumulator.
class SampleReader {
 public:
  SampleReader(CodedInputStream& in, BurnAccumulator& accumulator) : m_in(in), m_accumulator(accumulator) {}

  // Returns false if the frame is damaged.
  bool ReadFrame(uint32_t kind) {
    if (kind == kFrameStart) {
      m_series_indexes.clear();
      m_last_values.clear();
      return true;
    }
    if (kind == kFrameSeries) return ReadSeries();
    if (kind == kFrameScrape) return ReadScrape();
    return false;
  }

 private:
  bool ReadSeries() {
    uint32_t measure = 0;
    uint32_t is_bad = 0;
    BurnSeriesKey key;
    if (!m_in.ReadVarint32(&measure) || measure >= kBurnMeasures.size() || m_series_indexes.size() >= kMaxSeries)
      return false;
    if (!m_in.ReadVarint32(&is_bad)) return false;
    if (!ReadText(m_in, key.process) || !ReadText(m_in, key.vm) || !ReadText(m_in, key.zone)) return false;
    if (!ReadText(m_in, key.workspace) || !ReadText(m_in, key.reason)) return false;
    key.measure = static_cast<BurnMeasure>(measure);
    key.is_bad = is_bad != 0;
    m_series_indexes.push_back(m_accumulator.DefineSeries(key));
    m_last_values.push_back(0);
    return true;
  }

  bool ReadScrape() {
    uint64_t time = 0;
    uint32_t process = 0;
    uint32_t count = 0;
    if (!m_in.ReadVarint64(&time) || !m_in.ReadVarint32(&process) || !m_in.ReadVarint32(&count)) return false;
    if (process >= kMaxProcesses || count > m_series_indexes.size()) return false;
    m_values.clear();
    for (uint32_t i = 0; i < count; ++i) {
      uint32_t series = 0;
      uint64_t delta = 0;
      if (!m_in.ReadVarint32(&series) || series >= m_series_indexes.size() || !m_in.ReadVarint64(&delta)) return false;
      m_last_values[series] += static_cast<uint64_t>(DecodeZigzag(delta));
      m_values.push_back({m_series_indexes[series], m_last_values[series]});
    }
    m_accumulator.AddScrape(UnixSeconds(static_cast<int64_t>(time)), process, m_values);
    return true;
  }

  CodedInputStream& m_in;
  BurnAccumulator& m_accumulator;
  std::vector<BurnSeriesIndex> m_series_indexes;
  std::vector<uint64_t> m_last_values;
  std::vector<BurnValue> m_values;
};

std::string FindLabel(const std::string& line, const std::string& name) {
  const std::string label_prefix = name + "=\"";
  size_t begin = line.find("{" + label_prefix);
  if (begin == std::string::npos) begin = line.find("," + label_prefix);
  if (begin == std::string::npos) return "";
  begin += label_prefix.size() + 1;
  return line.substr(begin, line.find('"', begin) - begin);
}

std::optional<BurnMeasure> FindMeasure(const std::string& name) {
  for (const BurnMeasure measure : kBurnMeasures) {
    if (GetBurnMeasureName(measure) == name) return measure;
  }
  return std::nullopt;
}

std::optional<ScrapedSeries> ParseLine(const std::string& process, const std::string& line) {
  if (line.rfind(kSloMetricPrefix, 0) != 0) return std::nullopt;
  const std::optional<BurnMeasure> measure = FindMeasure(FindLabel(line, "measure"));
  const size_t space = line.rfind(' ');
  if (!measure.has_value() || space == std::string::npos) return std::nullopt;
  double value = 0;
  const char* begin = line.data() + space + 1;
  if (std::from_chars(begin, line.data() + line.size(), value).ec != std::errc() || value < 0) return std::nullopt;
  ScrapedSeries series;
  series.key.measure = *measure;
  series.key.is_bad = FindLabel(line, "outcome") == "bad";
  series.key.process = process;
  series.key.vm = FindLabel(line, "endpoint");
  series.key.zone = FindLabel(line, "zone");
  series.key.workspace = FindLabel(line, "workspace");
  series.key.reason = FindLabel(line, "reason");
  series.value = static_cast<uint64_t>(value);
  return series;
}

}  // namespace

BurnSampleWriter::BurnSampleWriter(std::ostream& out) : m_out(out) {
  OstreamOutputStream raw(&m_out);
  CodedOutputStream coded(&raw);
  coded.WriteVarint32(kFrameStart);
}

BurnSeriesIndex BurnSampleWriter::DefineSeries(const BurnSeriesKey& key) {
  const auto [found, is_new] = m_index.try_emplace(key, BurnSeriesIndex(static_cast<uint32_t>(m_last_values.size())));
  if (!is_new) return found->second;
  m_last_values.push_back(0);
  OstreamOutputStream raw(&m_out);
  CodedOutputStream coded(&raw);
  coded.WriteVarint32(kFrameSeries);
  coded.WriteVarint32(static_cast<uint32_t>(key.measure));
  coded.WriteVarint32(key.is_bad ? 1 : 0);
  WriteText(coded, key.process);
  WriteText(coded, key.vm);
  WriteText(coded, key.zone);
  WriteText(coded, key.workspace);
  WriteText(coded, key.reason);
  return found->second;
}

void BurnSampleWriter::Write(UnixSeconds time, uint32_t process, std::span<const BurnValue> values) {
  OstreamOutputStream raw(&m_out, 4096);
  CodedOutputStream coded(&raw);
  coded.WriteVarint32(kFrameScrape);
  coded.WriteVarint64(static_cast<uint64_t>(time.Get()));
  coded.WriteVarint32(process);
  coded.WriteVarint32(static_cast<uint32_t>(values.size()));
  for (const BurnValue& value : values) {
    uint64_t& last = m_last_values[value.series.Get()];
    coded.WriteVarint32(value.series.Get());
    coded.WriteVarint64(EncodeZigzag(static_cast<int64_t>(value.value - last)));
    last = value.value;
  }
}

absl::Status ReadBurnSamples(std::istream& in, BurnAccumulator& accumulator) {
  IstreamInputStream raw(&in, kReadBlockBytes);
  CodedInputStream coded(&raw);
  SampleReader reader(coded, accumulator);
  uint32_t kind = 0;
  while (coded.ReadVarint32(&kind)) {
    if (!reader.ReadFrame(kind))
      return MakeFailure(FailureCode::kProtocol, "the sample file contains an invalid frame");
    // CodedInputStream stores its position in an int, so the file size is limited.
    if (coded.CurrentPosition() > kMaxFileBytes) {
      return MakeFailure(FailureCode::kProtocol, "the sample file is larger than 1 GiB");
    }
  }
  return absl::OkStatus();
}

std::vector<ScrapedSeries> ParseScrape(const std::string& process, const std::string& text) {
  std::vector<ScrapedSeries> found;
  size_t begin = 0;
  while (begin < text.size()) {
    const size_t end = std::min(text.find('\n', begin), text.size());
    if (auto series = ParseLine(process, text.substr(begin, end - begin))) found.push_back(*std::move(series));
    begin = end + 1;
  }
  return found;
}

}  // namespace plantain

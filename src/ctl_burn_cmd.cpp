// The `burn` command: scrapes the processes, records scrapes and reports error-budget burn rates.

#include <fstream>
#include <map>

#include "burn_report.h"
#include "burn_sample.h"
#include "ctl_config.h"
#include "ctl_type.h"
#include "document_func.h"
#include "failure_type.h"

namespace plantain {
namespace {

constexpr Duration kLiveInterval = std::chrono::seconds(10);

// Simultaneous scrapes of all processes by VM id.
using Scrapes = std::map<std::string, std::vector<ScrapedSeries>>;

absl::StatusOr<Scrapes> ScrapeAll(CtlPlatform& platform) {
  const auto vms = platform.GetVms();
  if (!vms.ok()) return vms.status();
  const auto responses = platform.FetchFromAll(*vms, "/metrics");
  Scrapes scrapes;
  for (size_t i = 0; i < vms->size(); ++i) {
    if (responses[i].ok()) scrapes[(*vms)[i].vm.Get()] = ParseScrape((*vms)[i].vm.Get(), *responses[i]);
  }
  return scrapes;
}

UnixSeconds GetUnixTime(const CtlPlatform& platform) {
  const auto since_epoch = platform.GetWallTime().time_since_epoch();
  return UnixSeconds(std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count());
}

// Returns a process number that stays the same across recordings, because it is a hash of the VM id.
uint32_t GetProcessNumber(const std::string& vm) {
  return static_cast<uint32_t>(std::hash<std::string>()(vm) % 999'983);
}

// Defines the scraped series in `sink` and passes the values of each process to `on_values`.
template <typename Sink, typename ValuesCallback>
void PassScrapedValues(const Scrapes& scrapes, Sink& sink, const ValuesCallback& on_values) {
  for (const auto& [vm, series] : scrapes) {
    std::vector<BurnValue> values;
    for (const ScrapedSeries& row : series) values.push_back({sink.DefineSeries(row.key), row.value});
    on_values(GetProcessNumber(vm), values);
  }
}

class BurnCommand : public CtlCommand {
 public:
  std::string_view GetName() const override { return "burn"; }
  std::string_view GetUsage() const override { return ""; }
  std::string_view GetHelp() const override { return "Report which service-level objectives burn, how fast and why."; }
  std::string_view GetExample() const override {
    return "plantainctl burn --samples burn.samples --html burn.html --log 127.0.0.1:9100 --vms 127.0.0.1:9300";
  }
  std::vector<CtlOption> GetOptions() const override {
    return {{"record", "FILE", "Append one scrape of all processes to FILE and stop; run it once a minute."},
            {"samples", "FILE", "Report over recorded scrapes; without it, two scrapes 10 s apart are compared."},
            {"html", "FILE", "Also write one self-contained HTML page with plots."},
            {"rules", "FILE", "Also write alerting rules for a Prometheus server."},
            {"document", "FILE", "Take the objectives from FILE instead of the document in force."}};
  }

  CtlExitCode Run(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) const override {
    if (arguments.Has("record")) return Record(arguments, platform, output);
    const auto document = LoadObjectives(arguments, platform);
    if (!document.ok()) return ReportFailure(document.status(), CtlExitCode::kFailed, arguments, output);
    BurnAccumulator accumulator(kBurnPeriod);
    const absl::Status status = arguments.Has("samples") ? ReadSamples(arguments.Get("samples"), accumulator)
                                                         : CompareLive(platform, accumulator);
    if (!status.ok()) return ReportFailure(status, CtlExitCode::kFailed, arguments, output);
    const auto objectives = GetBurnObjectives(document->objectives);
    const BurnReport report = MakeBurnReport(document->deployment, objectives, accumulator);
    if (arguments.Has("html")) std::ofstream(arguments.Get("html"), std::ios::binary) << FormatBurnHtml(report);
    if (arguments.Has("rules")) std::ofstream(arguments.Get("rules"), std::ios::binary) << FormatBurnRules(objectives);
    output.out << (arguments.IsJson() ? FormatBurnJson(report) + "\n" : FormatBurnText(report));
    return CtlExitCode::kOk;
  }

 private:
  static CtlExitCode Record(const CtlArguments& arguments, CtlPlatform& platform, CtlOutput output) {
    const auto scrapes = ScrapeAll(platform);
    if (!scrapes.ok()) return ReportFailure(scrapes.status(), CtlExitCode::kFailed, arguments, output);
    std::ofstream file(arguments.Get("record"), std::ios::binary | std::ios::app);
    if (!file) {
      return ReportFailure(MakeFailure(FailureCode::kNotFound, arguments.Get("record") + ": expected a writable file"),
                           CtlExitCode::kFailed, arguments, output);
    }
    BurnSampleWriter writer(file);
    const UnixSeconds now = GetUnixTime(platform);
    PassScrapedValues(*scrapes, writer,
                      [&](uint32_t process, const auto& values) { writer.Write(now, process, values); });
    if (!arguments.IsJson()) output.out << "recorded " << scrapes->size() << " processes\n";
    return CtlExitCode::kOk;
  }

  static absl::Status ReadSamples(const std::string& path, BurnAccumulator& accumulator) {
    std::ifstream file(path, std::ios::binary);
    if (!file) return MakeFailure(FailureCode::kNotFound, path + ": expected a readable file");
    return ReadBurnSamples(file, accumulator);
  }

  static absl::Status CompareLive(CtlPlatform& platform, BurnAccumulator& accumulator) {
    for (int i = 0; i < 2; ++i) {
      if (i > 0) platform.Wait(kLiveInterval);
      const auto scrapes = ScrapeAll(platform);
      if (!scrapes.ok()) return scrapes.status();
      const UnixSeconds now = GetUnixTime(platform);
      PassScrapedValues(*scrapes, accumulator,
                        [&](uint32_t process, const auto& values) { accumulator.AddScrape(now, process, values); });
    }
    return absl::OkStatus();
  }

  static absl::StatusOr<Document> LoadObjectives(const CtlArguments& arguments, CtlPlatform& platform) {
    if (arguments.Has("document")) {
      const auto text = ReadTextFile(arguments.Get("document"));
      if (!text.ok()) return text.status();
      return ParseDocument(arguments.Get("document"), *text);
    }
    const auto history = ReadConfigHistory(platform);
    if (!history.ok()) return history.status();
    if (history->version.Get() == 0) return Document{};
    return ParseDocument("in force", history->text);
  }
};

}  // namespace

std::vector<std::unique_ptr<CtlCommand>> MakeBurnCommands() {
  std::vector<std::unique_ptr<CtlCommand>> commands;
  commands.push_back(std::make_unique<BurnCommand>());
  return commands;
}

}  // namespace plantain

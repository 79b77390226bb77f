// Stand-in for the weight store (origin).

#include <iostream>

#include "digest_text.h"
#include "failure_type.h"
#include "fair_sender.h"
#include "hex_text.h"
#include "standin_base.h"
#include "weight_maker.h"

namespace plantain::standin {
namespace {

constexpr char kExamples[] =
    "  standin-origin --rate 2500000 --weights tatami::v1:8388608:262144:1 \\\n"
    "    --weights tatami::v2:8388608:262144:2:0.7:1 --weights tatami:sewing:v1:1048576:262144:9\n"
    "  curl 127.0.0.1:9200/catalog\n"
    "  curl 127.0.0.1:9200/stats\n"
    "  curl -X POST -d '{\"corrupt_share\":0.01}' 127.0.0.1:9200/control\n"
    "  curl -X POST -d '{\"weights\":[\"tatami::v3:8388608:262144:3\"]}' 127.0.0.1:9200/control\n";
constexpr size_t kMaxBodyBytes = 1024 * 1024;

// Serves manifests and chunks under a shared rate limit.
class OriginStandin {
 public:
  OriginStandin(HttpStandin& standin, const Clock& clock, double bytes_per_s)
      : m_standin(standin), m_sender(standin.GetLoop(), clock, bytes_per_s) {}

  absl::Status AddWeights(const std::string& text) {
    const absl::StatusOr<WeightSpec> spec = ParseWeightSpec(text);
    if (!spec.ok()) return spec.status();
    m_catalog.Add(*spec);
    return absl::OkStatus();
  }

  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    const std::vector<std::string> parts = SplitPath(GetPath(request.target));
    if (parts.size() == 1 && parts[0] == "stats") {
      responder->Send(MakeJsonResponse(200, GetStats().dump()));
      return;
    }
    ++m_requests;
    if (parts.size() == 1 && parts[0] == "catalog") {
      responder->Send(MakeJsonResponse(200, GetCatalog().dump()));
      return;
    }
    const std::optional<std::string> digest = parts.size() == 2 ? ParseHex(parts[1]) : std::nullopt;
    if (!digest.has_value()) {
      responder->Send(MakeErrorResponse(404, "not_found"));
    } else if (parts[0] == "manifests") {
      SendManifest(*digest, request, responder);
    } else if (parts[0] == "chunks") {
      SendChunk(*digest, request, responder);
    } else {
      responder->Send(MakeErrorResponse(404, "not_found"));
    }
  }

  absl::Status Control(const nlohmann::json& fields) {
    m_corrupt_share = fields.value("corrupt_share", m_corrupt_share);
    if (fields.contains("rate")) m_sender.SetRate(fields["rate"].get<double>());
    for (const auto& text : fields.value("weights", nlohmann::json::array())) {
      const absl::Status status = AddWeights(text.get<std::string>());
      if (!status.ok()) return status;
    }
    m_sender.SetPaused(m_standin.GetFaults().is_stalled);
    if (m_standin.GetFaults().is_down) m_sender.AbortAll();
    return absl::OkStatus();
  }

 private:
  void SendManifest(const std::string& digest, const HttpRequest& request,
                    const std::shared_ptr<HttpResponder>& responder) {
    const std::string* content = m_catalog.FindManifest(digest);
    if (content == nullptr) {
      responder->Send(MakeErrorResponse(404, "not_found"));
    } else if (request.method == "HEAD") {
      SendHead(content->size(), responder);
    } else {
      ++m_manifest_requests;
      m_sender.Add(responder, *content);
    }
  }

  void SendChunk(const std::string& digest, const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder) {
    const std::optional<uint64_t> size = m_catalog.FindChunkSize(digest);
    if (!size.has_value()) {
      responder->Send(MakeErrorResponse(404, "not_found"));
      return;
    }
    if (request.method == "HEAD") {
      SendHead(*size, responder);
      return;
    }
    ++m_chunk_requests;
    std::string bytes = *m_catalog.FindChunk(digest);
    if (m_standin.ShouldInject(m_corrupt_share)) {
      ++m_corrupted;
      bytes[bytes.size() / 2] ^= 0x40;
    }
    m_sender.Add(responder, std::move(bytes));
  }

  // The server sets Content-Length from the empty body, so the size is sent in a separate header.
  void SendHead(uint64_t size, const std::shared_ptr<HttpResponder>& responder) {
    HttpResponse response;
    response.headers.Add("X-Size", std::to_string(size));
    responder->Send(std::move(response));
  }

  nlohmann::json GetCatalog() const {
    nlohmann::json list = nlohmann::json::array();
    for (const WeightCatalog::Entry& entry : m_catalog.GetEntries()) {
      list.push_back({{"model", entry.spec.model},
                      {"adapter", entry.spec.adapter},
                      {"version", entry.spec.version},
                      {"manifest", FormatHex(entry.manifest_digest)},
                      {"bytes", entry.spec.bytes},
                      {"chunks", entry.chunks}});
    }
    return {{"catalog", std::move(list)}};
  }

  nlohmann::json GetStats() const {
    return {{"bytes_sent", m_sender.GetSentBytes()},
            {"requests", m_requests},
            {"chunk_requests", m_chunk_requests},
            {"manifest_requests", m_manifest_requests},
            {"corrupted", m_corrupted}};
  }

  HttpStandin& m_standin;
  FairSender m_sender;
  WeightCatalog m_catalog;
  double m_corrupt_share = 0;
  uint64_t m_requests = 0;
  uint64_t m_chunk_requests = 0;
  uint64_t m_manifest_requests = 0;
  uint64_t m_corrupted = 0;
};

int Run(int argc, char** argv) {
  CommandLine command_line("standin-origin", 9200, "Weight store and origin with synthetic weights.", kExamples);
  std::vector<std::string> weights;
  double rate = 0;
  command_line.GetDescription().add_options()(
      "weights", boost::program_options::value(&weights)->composing(),
      "model:adapter:version:bytes:chunk_bytes:seed[:shared_share:shared_seed]; may be repeated. The adapter may be "
      "empty. The given share of chunks is generated from shared_seed.")(
      "rate", boost::program_options::value(&rate)->default_value(rate),
      "Bytes/s for all answers together; 0 means no limit.");
  if (const auto exit_code = command_line.Parse(argc, argv)) return *exit_code;

  Loop loop;
  SystemClock clock;
  SeededRandom random(command_line.GetSeed());
  HttpStandin standin(loop, random);
  OriginStandin origin(standin, clock, rate);
  absl::Status status = absl::OkStatus();
  for (const std::string& text : weights) {
    if (status.ok()) status = origin.AddWeights(text);
  }
  standin.SetControlHandler([&](const nlohmann::json& fields) { return origin.Control(fields); });
  if (status.ok()) {
    status = standin.Listen(
        command_line.GetAddress(), command_line.GetPort(), kMaxBodyBytes,
        [&](HttpRequest request, std::shared_ptr<HttpResponder> responder) { origin.Handle(request, responder); });
  }
  return RunUntilTerminated(loop, command_line.GetProgram(), status);
}

}  // namespace
}  // namespace plantain::standin

int main(int argc, char** argv) { return plantain::standin::Run(argc, argv); }

#include "vm_list.h"

#include <nlohmann/json.hpp>

#include "failure_type.h"

namespace plantain {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;
// Several times the size of the largest supported fleet.
constexpr size_t kMaxRows = 50'000;
constexpr size_t kMaxTextLength = 128;
constexpr size_t kMaxListBytes = 16 * 1024 * 1024;

// Returns a string field, or an empty string if it is missing, too long or not a string.
std::string GetText(const nlohmann::json& row, const char* name) {
  const auto found = row.find(name);
  if (found == row.end() || !found->is_string()) return "";
  const auto& text = found->get_ref<const std::string&>();
  return text.size() <= kMaxTextLength ? text : "";
}

MemberKind ParseKind(const std::string& text) {
  if (text == "entry") return MemberKind::kEntry;
  if (text == "endpoint") return MemberKind::kEndpoint;
  return MemberKind::kUnknown;
}

}  // namespace

absl::StatusOr<std::vector<VmListRow>> ParseVmList(std::string_view body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const auto vms = json.is_object() ? json.find("vms") : json.end();
  if (!json.is_object() || vms == json.end() || !vms->is_array() || vms->size() > kMaxRows) {
    return MakeFailure(FailureCode::kProtocol, "VM list response lacks a \"vms\" array of allowed size");
  }
  std::vector<VmListRow> rows;
  for (const auto& item : *vms) {
    if (!item.is_object()) continue;
    VmListRow row;
    row.vm = VmId(GetText(item, "id"));
    row.zone = ZoneName(GetText(item, "zone"));
    row.region = RegionName(GetText(item, "region"));
    row.kind = ParseKind(GetText(item, "kind"));
    row.pool = PoolName(GetText(item, "pool"));
    row.address = IpAddress(GetText(item, "address"));
    row.is_leaving = GetText(item, "state") == "leaving";
    if (row.vm.IsEmpty() || row.zone.IsEmpty() || row.address.IsEmpty()) continue;
    rows.push_back(std::move(row));
  }
  return rows;
}

VmListClient::VmListClient(HttpClient& http, HttpTarget target, ZoneName zone, Duration timeout)
    : m_http(http), m_target(std::move(target)), m_zone(std::move(zone)), m_timeout(timeout) {}

void VmListClient::Read(std::function<void(absl::StatusOr<VmListResult>)> on_done) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/vms?zone=" + m_zone.Get();
  if (!m_tag.empty()) request.headers.Add("If-None-Match", m_tag);
  HttpCallOptions options(kMaxListBytes);
  options.timeout = m_timeout;
  m_http.Fetch(m_target, request, options,
               [this, on_done = std::move(on_done)](const absl::StatusOr<HttpResponse>& response) {
                 on_done(ParseResponse(response));
               });
}

absl::StatusOr<VmListResult> VmListClient::ParseResponse(const absl::StatusOr<HttpResponse>& response) {
  if (!response.ok()) return response.status();
  VmListResult result;
  result.size = Bytes(response->body.size());
  result.is_unchanged = response->status == kStatusNotModified;
  if (result.is_unchanged) return result;
  if (response->status != kStatusOk) {
    return MakeFailure(FailureCode::kVmListUnavailable,
                       "VM list request failed with HTTP status " + std::to_string(response->status));
  }
  absl::StatusOr<std::vector<VmListRow>> rows = ParseVmList(response->body);
  if (!rows.ok()) return rows.status();
  result.rows = *std::move(rows);
  m_tag = std::string(response->headers.Find("ETag"));
  return result;
}

}  // namespace plantain

// Client for the platform's VM list.

#ifndef PLANTAIN_VM_LIST_H_
#define PLANTAIN_VM_LIST_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "http_client.h"
#include "member_type.h"

namespace plantain {

// A VM in the list.
struct VmListRow {
  VmId vm;
  ZoneName zone;
  RegionName region;
  MemberKind kind = MemberKind::kUnknown;
  PoolName pool;
  // Address that is reachable from the requested zone.
  IpAddress address;
  bool is_leaving = false;
};

// Result of reading the VM list.
struct VmListResult {
  std::vector<VmListRow> rows;
  // Size of the response body.
  Bytes size;
  // True if the list has not changed since the last read; `rows` is then empty.
  bool is_unchanged = false;
};

// Parses the JSON response body. Rows without id, zone or address are skipped. Fails with kProtocol if the body is
// not a VM list.
absl::StatusOr<std::vector<VmListRow>> ParseVmList(std::string_view body);

// Reads the VM list over HTTP. Must be used on the HTTP client's loop only.
class VmListClient {
 public:
  VmListClient(HttpClient& http, HttpTarget target, ZoneName zone, Duration timeout);

  // Reads the list with the addresses that are reachable from the zone. Fails with kVmListUnavailable, kProtocol or the
  // error of the HTTP call.
  void Read(std::function<void(absl::StatusOr<VmListResult>)> on_done);

 private:
  absl::StatusOr<VmListResult> ParseResponse(const absl::StatusOr<HttpResponse>& response);

  HttpClient& m_http;
  const HttpTarget m_target;
  const ZoneName m_zone;
  const Duration m_timeout;
  // Entity tag of the last response, if the platform sent one. With it an unchanged list is not transferred again.
  std::string m_tag;
};

}  // namespace plantain

#endif  // PLANTAIN_VM_LIST_H_

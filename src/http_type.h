// HTTP requests and responses as plain data.

#ifndef PLANTAIN_HTTP_TYPE_H_
#define PLANTAIN_HTTP_TYPE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core_type.h"

namespace plantain {

// Returns whether two names of header fields are the same, which compare without regard to case.
bool IsSameFieldName(std::string_view a, std::string_view b);

// Header fields in the order given.
class HttpHeaders {
 public:
  void Add(std::string name, std::string value) { m_fields.emplace_back(std::move(name), std::move(value)); }

  // Returns the first value of `name`, or an empty view.
  std::string_view Find(std::string_view name) const;

  const std::vector<std::pair<std::string, std::string>>& GetFields() const { return m_fields; }

 private:
  std::vector<std::pair<std::string, std::string>> m_fields;
};

struct HttpRequest {
  std::string method;
  // Path with query, as received.
  std::string target;
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

// Whether a request has a body although HTTP gives its method none (RFC 9110, 9.3.8). Libraries and servers differ in
// what they do with it.
inline bool HasForbiddenBody(const HttpRequest& request) { return request.method == "TRACE" && !request.body.empty(); }

// Where a client connects to.
struct HttpTarget {
  IpAddress address;
  Port port;

  auto operator<=>(const HttpTarget&) const = default;
};

// Returns the path of a target without its query.
std::string_view GetPath(std::string_view target);

// Returns the decoded value of a query parameter, or an empty string.
std::string GetQueryValue(std::string_view target, std::string_view name);

// Splits a path at its slashes; the leading slash gives no empty part.
std::vector<std::string> SplitPath(std::string_view path);

// Makes a JSON response.
HttpResponse MakeJsonResponse(int status, std::string body);

// Makes a plain text response.
HttpResponse MakeTextResponse(int status, std::string body);

}  // namespace plantain

#endif  // PLANTAIN_HTTP_TYPE_H_

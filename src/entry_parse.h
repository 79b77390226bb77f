// Parses and validates callers' HTTP requests.

#ifndef PLANTAIN_ENTRY_PARSE_H_
#define PLANTAIN_ENTRY_PARSE_H_

#include <string>
#include <variant>

#include "clock.h"
#include "entry_type.h"
#include "http_type.h"
#include "random.h"
#include "route_table.h"

namespace plantain {

struct ParseOptions {
  // Deadline of requests without an X-Deadline-Ms header.
  Duration default_deadline = std::chrono::seconds(30);
};

using ParseResult = std::variant<EntryRequest, EntryError>;

// Parses one HTTP request. Models, services and calls are looked up in `table`. Returns an EntryError, always with
// `is_not_run` set, if the request is invalid or names something unknown.
ParseResult ParseEntryRequest(HttpRequest request, const RouteTable& table, const Clock& clock, Random& random,
                              const ParseOptions& options);

// Formats the JSON body of an error response.
std::string FormatErrorJson(const EntryError& error);

// Builds the HTTP response for an error, with status, JSON body and Retry-After header.
HttpResponse MakeErrorResponse(const EntryError& error);

// Appends `text` to `out` as a quoted and escaped JSON string.
void AppendJsonString(std::string_view text, std::string& out);

}  // namespace plantain

#endif  // PLANTAIN_ENTRY_PARSE_H_

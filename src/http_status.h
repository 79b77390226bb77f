// What counts as the status of an HTTP answer, and what a status says.

#ifndef PLANTAIN_HTTP_STATUS_H_
#define PLANTAIN_HTTP_STATUS_H_

#include <cstdint>

namespace plantain {

// Returns whether a number is a status. RFC 9110, section 15, calls any other one invalid; an answer with it states
// neither success nor that the request has not run. Every HTTP client of the project, and AttemptClient, decide by this
// function.
constexpr bool IsHttpStatus(uint32_t status) {
  constexpr uint32_t kFirstStatus = 100;
  constexpr uint32_t kLastStatus = 599;
  return status >= kFirstStatus && status <= kLastStatus;
}

// Returns whether the status says that the request was carried out.
constexpr bool IsSuccessStatus(int status) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return status >= kFirstSuccess && status < kFirstRedirect;
}

constexpr bool IsServerErrorStatus(int status) {
  constexpr int kFirstServerError = 500;
  return status >= kFirstServerError;
}

// Returns whether callers interpret the status as a guarantee that the request has not run.
constexpr bool GuaranteesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

}  // namespace plantain

#endif  // PLANTAIN_HTTP_STATUS_H_

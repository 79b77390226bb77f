// What counts as the status of an HTTP answer.

#ifndef PLANTAIN_HTTP_STATUS_H_
#define PLANTAIN_HTTP_STATUS_H_

#include <cstdint>

namespace plantain {

// Returns whether a number is a status. RFC 9110, section 15, calls any other one invalid; an answer with it states
// neither success nor that the request has not run. Every client of ours decides by this function.
constexpr bool IsHttpStatus(uint32_t status) {
  constexpr uint32_t kFirstStatus = 100;
  constexpr uint32_t kLastStatus = 599;
  return status >= kFirstStatus && status <= kLastStatus;
}

}  // namespace plantain

#endif  // PLANTAIN_HTTP_STATUS_H_

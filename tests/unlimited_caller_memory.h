// A CallerMemory without limits, for tests of servers that are about something else.

#ifndef PLANTAIN_TESTS_UNLIMITED_CALLER_MEMORY_H_
#define PLANTAIN_TESTS_UNLIMITED_CALLER_MEMORY_H_

#include <memory>

#include "caller_memory.h"

namespace plantain {

inline std::shared_ptr<CallerMemory> MakeUnlimitedCallerMemory() {
  static const SystemClock clock;
  return std::make_shared<CallerMemory>(clock, CallerMemoryLimits());
}

}  // namespace plantain

#endif  // PLANTAIN_TESTS_UNLIMITED_CALLER_MEMORY_H_

// Log lines about contents at which endpoints crash.

#ifndef PLANTAIN_CRASH_LOG_H_
#define PLANTAIN_CRASH_LOG_H_

#include "crash_quarantine.h"

namespace plantain {

void LogContentChange(const CrashQuarantine::Change& change);

}  // namespace plantain

#endif  // PLANTAIN_CRASH_LOG_H_

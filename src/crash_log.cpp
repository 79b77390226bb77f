#include "crash_log.h"

#include "event_log.h"

namespace plantain {

void LogContentChange(const CrashQuarantine::Change& change) {
  LogEvent(LogLevel::kWarn, change.is_blocked ? "content_blocked" : "content_cleared",
           {{"kind", GetContentKindName(change.key.kind)},
            {"content", change.key.id},
            {"crashes", change.crashes},
            {"companions", change.companions},
            {"age_ms", ToMilliseconds(change.age)},
            {"source", change.is_from_peer ? "peer" : "own"}});
}

}  // namespace plantain

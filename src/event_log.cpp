#include "event_log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <memory>
#include <sstream>

#include "failure_type.h"
#include "log_writer.h"

namespace plantain {
namespace {

log4cplus::LogLevel ToLog4cplus(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

// Holds a few seconds of lines at the highest request rate.
constexpr size_t kLogBufferBytes = 512 * 1024;

std::string FormatDroppedLines(uint64_t dropped) { return FormatEvent("log_dropped", {{"lines", dropped}}) + "\n"; }

// Passes formatted lines to the writer's thread.
class BufferedAppender : public log4cplus::Appender {
 public:
  BufferedAppender() : m_writer(STDOUT_FILENO, kLogBufferBytes, FormatDroppedLines) {}
  ~BufferedAppender() override { destructorImpl(); }

  void close() override {}
  void Stop() { m_writer.Stop(); }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    const bool is_routine = event.getLogLevel() <= log4cplus::INFO_LOG_LEVEL;
    m_writer.Write(line.str(), is_routine ? LinePriority::kRoutine : LinePriority::kImportant);
  }

 private:
  LogWriter m_writer;
};

BufferedAppender*& GetAppender() {
  static BufferedAppender* appender = nullptr;
  return appender;
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) return true;
  for (const unsigned char c : value) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) return true;
  }
  return false;
}

void AppendQuoted(std::string_view value, std::string& out) {
  constexpr char kHex[] = "0123456789abcdef";
  out += '"';
  for (const unsigned char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += static_cast<char>(c);
    } else if (c < ' ' || c == 0x7f) {
      out += "\\x";
      out += kHex[c >> 4];
      out += kHex[c & 15];
    } else {
      out += static_cast<char>(c);
    }
  }
  out += '"';
}

// Never destroyed, since events may be logged until the process exits.
log4cplus::Initializer*& GetInitializer() {
  static log4cplus::Initializer* initializer = nullptr;
  return initializer;
}

}  // namespace

std::string FormatEvent(std::string_view name, std::initializer_list<EventField> fields) {
  std::string line = "event=";
  line += name;
  for (const EventField& field : fields) {
    line += ' ';
    line += field.m_key;
    line += '=';
    if (NeedsQuotes(field.m_value)) {
      AppendQuoted(field.m_value, line);
    } else {
      line += field.m_value;
    }
  }
  return line;
}

void InitEventLog(LogLevel level, const std::string& process, const std::string& vm) {
  GetInitializer() = new log4cplus::Initializer();
  GetAppender() = new BufferedAppender();
  log4cplus::SharedAppenderPtr appender(GetAppender());
  const std::string pattern = "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p process=" + process + " vm=" + vm + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(ToLog4cplus(level));
}

void SetEventLogLevel(LogLevel level) { log4cplus::Logger::getRoot().setLogLevel(ToLog4cplus(level)); }

void StopEventLog() {
  // The appender is not destroyed: its thread may be blocked on a stalled reader until the process ends.
  if (GetAppender() != nullptr) GetAppender()->Stop();
}

void LogEvent(LogLevel level, std::string_view name, std::initializer_list<EventField> fields) {
  if (GetInitializer() == nullptr) return;
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  const log4cplus::LogLevel wanted = ToLog4cplus(level);
  if (!root.isEnabledFor(wanted)) return;
  root.forcedLog(wanted, FormatEvent(name, fields));
}

EventField MakeFailureField(const absl::Status& status) {
  std::string text(GetFailureName(GetFailureCode(status)));
  text += ": ";
  text += GetFailureText(status);
  return EventField("failure", text);
}

void RequestHistory::Add(const std::string& request, std::string line) {
  const std::lock_guard lock(m_mutex);
  m_events.push_back({request, std::move(line)});
  if (m_events.size() > m_max_events) m_events.pop_front();
}

std::vector<std::string> RequestHistory::GetEvents(const std::string& request) const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> lines;
  for (const Entry& entry : m_events) {
    if (entry.request == request) lines.push_back(entry.line);
  }
  return lines;
}

}  // namespace plantain

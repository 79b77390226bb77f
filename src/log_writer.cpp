#include "log_writer.h"

#include <unistd.h>
#include <cerrno>

#include <utility>

namespace plantain {
namespace {

// Lines that arrive within this time are written with one system call.
constexpr Duration kBatchInterval = Milliseconds(200);
// Maximum time that process exit waits for the last lines.
constexpr Duration kExitFlushTimeout = Milliseconds(300);

}  // namespace

LogWriter::LogWriter(int descriptor, size_t max_bytes, std::string (*format_dropped)(uint64_t dropped))
    : m_descriptor(descriptor), m_max_bytes(max_bytes), m_format_dropped(format_dropped), m_thread([this] { Run(); }) {}

LogWriter::~LogWriter() { Stop(); }

void LogWriter::Stop() {
  if (!m_thread.joinable()) return;
  Flush(kExitFlushTimeout);
  {
    const std::lock_guard lock(m_mutex);
    m_is_stopping = true;
    // A blocked reader must not prevent the process from exiting.
    if (m_in_flight_bytes > 0) m_thread.detach();
  }
  m_has_work.notify_one();
  if (m_thread.joinable()) m_thread.join();
}

void LogWriter::Write(std::string_view line, LinePriority priority) {
  const std::lock_guard lock(m_mutex);
  const size_t limit = priority == LinePriority::kRoutine ? m_max_bytes / 2 : m_max_bytes;
  if (m_pending.size() + m_in_flight_bytes + line.size() > limit) {
    ++m_dropped;
    return;
  }
  const bool was_empty = m_pending.empty();
  m_pending.append(line);
  if (was_empty) m_has_work.notify_one();
}

void LogWriter::Flush(Duration timeout) {
  std::unique_lock lock(m_mutex);
  m_is_flushing = true;
  m_has_work.notify_one();
  m_is_idle.wait_for(lock, timeout, [this] { return m_pending.empty() && m_in_flight_bytes == 0; });
  m_is_flushing = false;
}

void LogWriter::Run() {
  std::unique_lock lock(m_mutex);
  while (true) {
    m_has_work.wait(lock, [this] { return m_is_stopping || !m_pending.empty(); });
    if (m_pending.empty()) return;
    m_has_work.wait_for(lock, kBatchInterval, [this] { return m_is_stopping || m_is_flushing; });
    std::string text = std::exchange(m_pending, {});
    if (m_dropped > 0) text += m_format_dropped(std::exchange(m_dropped, 0));
    m_in_flight_bytes = text.size();
    lock.unlock();
    WriteAll(text);
    lock.lock();
    m_in_flight_bytes = 0;
    m_is_idle.notify_all();
  }
}

void LogWriter::WriteAll(const std::string& text) const {
  size_t written = 0;
  while (written < text.size()) {
    const ssize_t size = write(m_descriptor, text.data() + written, text.size() - written);
    if (size < 0 && errno != EINTR) return;
    if (size > 0) written += static_cast<size_t>(size);
  }
}

}  // namespace plantain

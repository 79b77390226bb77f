// Writes log lines to a file descriptor on a separate thread, through a bounded buffer.

#ifndef PLANTAIN_LOG_WRITER_H_
#define PLANTAIN_LOG_WRITER_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "core_type.h"

namespace plantain {

// Determines when a line is dropped while the reader of the descriptor is blocked.
enum class LinePriority {
  // Dropped when the buffer is half full.
  kRoutine,
  // Dropped when the buffer is full.
  kImportant,
};

// Thread-safe. Write never blocks on the reader.
class LogWriter {
 public:
  // `format_dropped` formats the line that reports the number of dropped lines.
  LogWriter(int descriptor, size_t max_bytes, std::string (*format_dropped)(uint64_t dropped));
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  void Write(std::string_view line, LinePriority priority);

  // Waits until all lines are written, at most for `longest`.
  void Flush(Duration timeout);

  // Stops the thread; lines written later are dropped. The destructor calls it if needed.
  void Stop();

 private:
  void Run();
  void WriteAll(const std::string& text) const;

  const int m_descriptor;
  const size_t m_max_bytes;
  std::string (*const m_format_dropped)(uint64_t dropped);
  std::mutex m_mutex;
  std::condition_variable m_has_work;
  std::condition_variable m_is_idle;
  std::string m_pending;
  // Bytes removed from m_pending that are not written to the descriptor yet.
  size_t m_in_flight_bytes = 0;
  uint64_t m_dropped = 0;
  bool m_is_stopping = false;
  bool m_is_flushing = false;
  std::thread m_thread;
};

}  // namespace plantain

#endif  // PLANTAIN_LOG_WRITER_H_

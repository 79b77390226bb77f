// Writes lines to a file descriptor on a thread of its own, through a bounded buffer.

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

// How long a line is kept while the reader stalls.
enum class LineRank {
  // Dropped once the buffer is half full.
  kRoutine,
  // Dropped when the buffer is full.
  kImportant,
};

// Safe from any thread. Write never waits for the reader.
class LogWriter {
 public:
  // `drop_note` makes the line that tells how many lines were dropped.
  LogWriter(int descriptor, size_t max_bytes, std::string (*drop_note)(uint64_t dropped));
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  void Write(std::string_view line, LineRank rank);

  // Waits until everything is written, or until the time is over.
  void Flush(Duration longest);

  // Ends the thread; what is written later is dropped. Called by the destructor if not before.
  void Stop();

 private:
  void Run();
  void WriteAll(const std::string& text) const;

  const int m_descriptor;
  const size_t m_max_bytes;
  std::string (*const m_drop_note)(uint64_t dropped);
  std::mutex m_mutex;
  std::condition_variable m_has_work;
  std::condition_variable m_is_idle;
  std::string m_pending;
  // Bytes taken from m_pending that the descriptor has not taken yet.
  size_t m_writing = 0;
  uint64_t m_dropped = 0;
  bool m_is_stopping = false;
  bool m_is_urgent = false;
  std::thread m_thread;
};

}  // namespace plantain

#endif  // PLANTAIN_LOG_WRITER_H_

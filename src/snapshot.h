// Shares an immutable value that one thread replaces and any thread reads.

#ifndef PLANTAIN_SNAPSHOT_H_
#define PLANTAIN_SNAPSHOT_H_

#include <memory>
#include <mutex>
#include <utility>

namespace plantain {

// Holds the latest value. Thread-safe. The lock is held only while the pointer is copied or swapped.
// std::atomic<std::shared_ptr> is not used because the thread sanitizer of g++ 12 reports false data races inside it.
template <typename T>
class Snapshot {
 public:
  explicit Snapshot(std::shared_ptr<const T> value = nullptr) : m_value(std::move(value)) {}

  std::shared_ptr<const T> Get() const {
    const std::lock_guard lock(m_mutex);
    return m_value;
  }

  void Set(std::shared_ptr<const T> value) {
    const std::lock_guard lock(m_mutex);
    m_value.swap(value);
  }

 private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const T> m_value;
};

}  // namespace plantain

#endif  // PLANTAIN_SNAPSHOT_H_

// Bounds the memory that answers take in this process while they are received. No I/O.

#ifndef PLANTAIN_MEMORY_BUDGET_H_
#define PLANTAIN_MEMORY_BUDGET_H_

#include <cstddef>
#include <mutex>
#include <utility>

#include "core_type.h"

namespace plantain {

// Memory that all answers may hold together. Each may hold as much as is left free beside all of them (a dynamic
// threshold), so that answers without end cannot take it all: beside N of them, one more gets at least 1 / (2N + 2) of
// it. Thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(Bytes limit) : m_limit(limit.Get()) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  Bytes GetLimit() const { return Bytes(m_limit); }
  Bytes GetUsed() const;

 private:
  friend class MemoryReservation;

  // Changes what one answer holds. Returns false, and changes nothing, if it would hold more than it may.
  bool Resize(size_t from, size_t to);

  const size_t m_limit;
  mutable std::mutex m_mutex;
  size_t m_used = 0;
};

// Memory that one answer holds. Returns it when destroyed.
class MemoryReservation {
 public:
  explicit MemoryReservation(MemoryBudget& budget) : m_budget(&budget) {}
  MemoryReservation(MemoryReservation&& other) noexcept
      : m_budget(other.m_budget), m_held(std::exchange(other.m_held, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;
  ~MemoryReservation() { m_budget->Resize(m_held, 0); }

  // Returns false, and changes nothing, if that is more than the answer may hold.
  [[nodiscard]] bool Resize(size_t bytes);
  // Returns what is held beyond so many bytes.
  void ShrinkTo(size_t bytes);

 private:
  MemoryBudget* m_budget;
  size_t m_held = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_MEMORY_BUDGET_H_

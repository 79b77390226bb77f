// An event loop for one thread. The Asio types stay behind `loop_asio.h`, which only socket code includes.

#ifndef PLANTAIN_LOOP_H_
#define PLANTAIN_LOOP_H_

#include <functional>
#include <memory>

#include "core_type.h"

namespace plantain {

// Cancels a pending timer when destroyed or told to. A cancelled callback never runs after Cancel returns on the
// loop's own thread.
class Timer {
 public:
  virtual ~Timer() = default;
  virtual void Cancel() = 0;
};

// Runs callbacks on one thread.
class Loop {
 public:
  struct Impl;

  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Runs `task` on the loop's thread. Safe from any thread.
  void Post(std::function<void()> task);

  // Runs `task` once after `delay`. Call on the loop's thread, or before Run.
  [[nodiscard]] std::unique_ptr<Timer> RunAfter(Duration delay, std::function<void()> task);

  // Runs `task` again and again with `period` between starts, first after one period.
  [[nodiscard]] std::unique_ptr<Timer> RunEvery(Duration period, std::function<void()> task);

  // Calls `task` on the loop's thread when the process gets SIGTERM or SIGINT.
  void OnTermination(std::function<void()> task);

  // Calls `task` on the loop's thread each time the process gets SIGHUP.
  void OnHangup(std::function<void()> task);

  // Processes callbacks until Stop. Keeps running while idle.
  void Run();

  // Makes Run usable again after Stop.
  void Restart();

  // Ends Run after the callback in progress. Safe from any thread.
  void Stop();

  Impl& GetImpl() { return *m_impl; }

 private:
  std::unique_ptr<Impl> m_impl;
};

}  // namespace plantain

#endif  // PLANTAIN_LOOP_H_

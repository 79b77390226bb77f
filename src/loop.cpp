#include "loop.h"

#include "loop_asio.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>

namespace plantain {
namespace {

// One timer and whether its callback may still run. Shared with the handler so that destroying the Timer from within
// its own callback is safe.
struct TimerState {
  TimerState(boost::asio::io_context& context, std::function<void()> callback)
      : timer(context), task(std::move(callback)) {}

  boost::asio::steady_timer timer;
  std::function<void()> task;
  bool cancelled = false;
};

class AsioTimer : public Timer {
 public:
  explicit AsioTimer(std::shared_ptr<TimerState> state) : m_state(std::move(state)) {}
  ~AsioTimer() override { Cancel(); }
  AsioTimer(const AsioTimer&) = delete;
  AsioTimer& operator=(const AsioTimer&) = delete;

  void Cancel() override {
    m_state->cancelled = true;
    m_state->timer.cancel();
  }

 private:
  std::shared_ptr<TimerState> m_state;
};

void ArmOnce(const std::shared_ptr<TimerState>& state, Duration delay) {
  state->timer.expires_after(delay);
  state->timer.async_wait([state](const boost::system::error_code& error) {
    if (error || state->cancelled) return;
    state->task();
  });
}

void ArmPeriodic(const std::shared_ptr<TimerState>& state, Duration period) {
  state->timer.async_wait([state, period](const boost::system::error_code& error) {
    if (error || state->cancelled) return;
    state->task();
    if (state->cancelled) return;
    const auto now = std::chrono::steady_clock::now();
    auto next = state->timer.expiry() + period;
    // After a pause of the process the missed runs are skipped instead of run in a burst.
    if (next < now) next = now + period;
    state->timer.expires_at(next);
    ArmPeriodic(state, period);
  });
}

}  // namespace

Loop::Loop() : m_impl(std::make_unique<Impl>()) {}

Loop::~Loop() = default;

void Loop::Post(std::function<void()> task) { boost::asio::post(m_impl->context, std::move(task)); }

std::unique_ptr<Timer> Loop::RunAfter(Duration delay, std::function<void()> task) {
  auto state = std::make_shared<TimerState>(m_impl->context, std::move(task));
  ArmOnce(state, delay);
  return std::make_unique<AsioTimer>(state);
}

std::unique_ptr<Timer> Loop::RunEvery(Duration period, std::function<void()> task) {
  auto state = std::make_shared<TimerState>(m_impl->context, std::move(task));
  state->timer.expires_after(period);
  ArmPeriodic(state, period);
  return std::make_unique<AsioTimer>(state);
}

void Loop::OnTermination(std::function<void()> task) {
  m_impl->signals = std::make_unique<boost::asio::signal_set>(m_impl->context, SIGTERM, SIGINT);
  m_impl->signals->async_wait([task = std::move(task)](const boost::system::error_code& error, int) {
    if (!error) task();
  });
}

void Loop::OnHangup(std::function<void()> task) {
  m_impl->hangups = std::make_unique<boost::asio::signal_set>(m_impl->context, SIGHUP);
  const auto wait = std::make_shared<std::function<void()>>();
  // The task holds no owner of itself: the loop keeps the function through the pending wait only.
  *wait = [this, task = std::move(task), weak = std::weak_ptr<std::function<void()>>(wait)] {
    m_impl->hangups->async_wait([task, again = weak.lock()](const boost::system::error_code& error, int) {
      if (error) return;
      task();
      if (again != nullptr) (*again)();
    });
  };
  (*wait)();
}

void Loop::Run() { m_impl->context.run(); }

void Loop::Restart() { m_impl->context.restart(); }

void Loop::Stop() { m_impl->context.stop(); }

}  // namespace plantain

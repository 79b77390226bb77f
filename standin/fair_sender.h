// Sends HTTP answers under a shared rate limit, divided fairly among the answers in progress.

#ifndef PLANTAIN_FAIR_SENDER_H_
#define PLANTAIN_FAIR_SENDER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "http_server.h"
#include "loop.h"
#include "token_bucket.h"

namespace plantain::standin {

// Round-robin scheduler: sends slices of each answer in turn while the token bucket allows.
class FairSender {
 public:
  FairSender(Loop& loop, const Clock& clock, double bytes_per_s);

  void SetRate(double bytes_per_s);

  // While paused, no answer makes progress.
  void SetPaused(bool is_paused);

  // Sends `body` as a chunked answer with status 200.
  void Add(std::shared_ptr<HttpResponder> responder, std::string body);

  // Closes the connections of all answers in progress.
  void AbortAll();

  uint64_t GetSentBytes() const { return m_sent_bytes; }

 private:
  struct Transfer {
    std::shared_ptr<HttpResponder> responder;
    std::string body;
    size_t sent = 0;
    bool is_closed = false;
  };

  void Step();
  void ScheduleStep();
  // Returns whether a slice was sent.
  bool SendSlice(Transfer& transfer);

  Loop& m_loop;
  TokenBucket m_bucket;
  std::deque<std::shared_ptr<Transfer>> m_transfers;
  std::unique_ptr<Timer> m_timer;
  bool m_is_paused = false;
  uint64_t m_sent_bytes = 0;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_FAIR_SENDER_H_

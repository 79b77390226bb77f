// Follows an order to load staged weights until it is known whether the engine took it. No I/O.

#ifndef PLANTAIN_LOAD_ORDER_H_
#define PLANTAIN_LOAD_ORDER_H_

#include <cstdint>

#include "core_type.h"

namespace plantain {

// What became of one copy of an order.
enum class OrderAnswer {
  // The engine started to load the weights, or has them.
  kStarted,
  kRefused,
  // The copy did not leave this process.
  kNotSent,
  // The call ended without an answer.
  kNone,
};

// An engine counts the orders that it has started, and starts an order only while its count is the one that the order
// names. So an order may be sent again: the engine starts one copy at most. A copy without an answer may be started at
// any later time, with what the staging area holds then, until the count shows that none can be started any more.
class LoadOrder {
 public:
  // `incarnation` and `orders` are the engine's start and its count of started orders, as its last report shows them.
  LoadOrder(Incarnation incarnation, uint64_t orders) : m_incarnation(incarnation), m_orders(orders) {}

  // Returns the count that all copies name.
  uint64_t GetExpectedOrders() const { return m_orders; }

  void OnSent() { ++m_open_copies; }
  // Must be called once for each copy sent, unless its call goes on.
  void OnAnswer(OrderAnswer answer);
  void OnReport(Incarnation incarnation, uint64_t orders);

  // Whether the engine has started the order, or another one in its place.
  bool IsStarted() const { return m_is_started; }
  // Whether the engine may still start a copy.
  bool MayStart() const { return !m_is_started && m_open_copies > 0; }
  // Whether the engine restarted after the order was first sent, and cannot start it any more.
  bool IsLostByRestart() const { return m_has_restarted && !MayStart(); }

 private:
  void SetStarted();

  Incarnation m_incarnation;
  const uint64_t m_orders;
  // Copies that the engine has neither refused nor lost.
  uint32_t m_open_copies = 0;
  bool m_is_started = false;
  bool m_has_restarted = false;
};

}  // namespace plantain

#endif  // PLANTAIN_LOAD_ORDER_H_

// Limits retries to a share of first attempts, so that retries cannot amplify an overload.

#ifndef PLANTAIN_RETRY_BUDGET_H_
#define PLANTAIN_RETRY_BUDGET_H_

#include <algorithm>

namespace plantain {

// Token bucket that is refilled by first attempts instead of time: each first attempt adds `share`, each retry consumes
// one. Over any period, retries <= share * first attempts + reserve.
class RetryBudget {
 public:
  // `reserve` is the maximum and initial balance. It covers a burst of failures after a period of low traffic.
  RetryBudget(double share, double reserve) : m_share(share), m_reserve(reserve), m_balance(reserve) {}

  void OnFirstAttempt() { m_balance = std::min(m_reserve, m_balance + m_share); }

  // Consumes one retry. Returns false if the budget is exhausted.
  bool TryConsume() {
    if (m_balance < 1) return false;
    m_balance -= 1;
    return true;
  }

  // Gives back a retry that was not used.
  void Return() { m_balance = std::min(m_reserve, m_balance + 1); }

  // Changes the maximum balance.
  void SetReserve(double reserve) {
    m_reserve = reserve;
    m_balance = std::min(m_reserve, m_balance);
  }

  double GetBalance() const { return m_balance; }

 private:
  const double m_share;
  double m_reserve;
  double m_balance;
};

}  // namespace plantain

#endif  // PLANTAIN_RETRY_BUDGET_H_

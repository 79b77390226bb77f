// Controls weight swaps: opens and closes the serving gate and orders the engine to load and unload weights.

#ifndef PLANTAIN_SWAP_CONTROL_H_
#define PLANTAIN_SWAP_CONTROL_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "clock.h"
#include "engine_gate.h"
#include "engine_report.h"
#include "order_outcome_type.h"

namespace plantain {

// Weights that the configuration requires this VM to serve.
struct RequiredWeights {
  WeightSlot slot;
  Digest manifest;

  auto operator<=>(const RequiredWeights&) const = default;
};

// Dependencies of SwapControl.
class SwapHost {
 public:
  virtual ~SwapHost() = default;

  // Sends an order. SwapControl::OnOrderDone must be called with the result.
  virtual void SendOrder(const EngineOrder& order) = 0;

  // Requests a new report. Returns the sequence number of the first report that describes the state after this call.
  virtual uint64_t RefreshStatus() = 0;

  // Returns whether the rollout allows this VM to stop serving the slot now.
  virtual bool MaySwap(const RequiredWeights& required) = 0;

  // Returns the number of chunks of a manifest, or 0 if the manifest is not known yet.
  virtual size_t GetChunkCount(const Digest& manifest) const = 0;
};

// Options of SwapControl.
struct SwapOptions {
  // Wait after an order whose outcome is unknown. The engine may still execute the order during this time.
  Duration settle{};
  // Time between announcing that a slot will close and closing it. Entries learn of the announcement by heartbeat and
  // stop selecting this VM, so that few requests are refused by a closed gate.
  Duration notice{};
  // Wait after a failed order before the next order is sent.
  Duration retry{};
  // Identifies the start of this process. Fencing tokens begin here, so that a later process uses larger tokens than an
  // earlier one.
  Incarnation incarnation;
};

// State machine of weight swaps. Maintains the invariant that a slot is only opened once the engine has confirmed its
// weights: no order is in progress or has an unknown outcome, and a report read after the last order shows the weights
// as loaded. Must only be used on the control thread.
class SwapControl {
 public:
  SwapControl(const Clock& clock, SwapOptions options, GateControl& gate, SwapHost& host);

  // Replaces the weights that the engine must load. Base models must precede their adapters. A base model that serves
  // one of `listed_manifests` continues to do so until this VM may swap.
  void SetRequired(std::vector<RequiredWeights> required, std::map<WeightSlot, std::set<Digest>> listed_manifests);

  void OnReport(const EngineReport& report);
  void OnOrderDone(const EngineOrder& order, const OrderResult& result);

  // Handles a response that was produced with other weights than expected; the gate is already closed.
  void OnMismatch();

  // Performs all transitions that have become possible. Must be called after each event and periodically.
  void Step();

  // Returns the weights to stage next, or nullopt if everything is loaded or the engine is unreachable.
  std::optional<RequiredWeights> GetStageTarget() const;

  // Returns whether all chunks of the manifest are staged according to the last report.
  bool IsStaged(const Digest& manifest) const;

  // Returns the manifest loaded in a slot according to the last report, or nullopt if there is none or the engine is
  // unreachable.
  std::optional<Digest> GetConfirmed(const WeightSlot& slot) const;

  // Returns whether a slot is open but announced to close, so that it should no longer be advertised.
  bool IsClosing(const WeightSlot& slot) const;

  // Returns whether all required weights are loaded and their slots open. False if nothing is required.
  bool IsAllServing() const;

 private:
  enum class OrderState { kNone, kInProgress, kSettling };

  bool IsReportCurrent() const;
  void CloseOnEngineChange(const EngineReport& report);
  bool IsCausedByOwnOrder(const EngineReport& report) const;
  void EndSettlingIfDue();
  void OpenConfirmed();
  bool IsAcceptable(const WeightSlot& slot, const Digest& manifest) const;
  bool IsRequired(const WeightSlot& slot, const Digest& manifest) const;
  std::optional<Digest> FindLoaded(const WeightSlot& slot) const;
  const RequiredWeights* FindNextLoad() const;
  void StepLoad(const RequiredWeights& required);
  void StepUnload();
  bool MayCloseSlot(const RequiredWeights& required);
  bool IsIdle(const WeightSlot& slot) const;
  void CloseForSwap(const WeightSlot& slot);
  void Send(EngineOrderKind kind, const WeightSlot& slot, const Digest& manifest);
  FencingToken MakeFence();

  const Clock& m_clock;
  const SwapOptions m_options;
  GateControl& m_gate;
  SwapHost& m_host;
  std::vector<RequiredWeights> m_required;
  std::map<WeightSlot, std::set<Digest>> m_listed_manifests;
  EngineReport m_report;
  // Reports with a smaller sequence number do not confirm weights.
  uint64_t m_min_sequence = 0;
  OrderState m_order_state = OrderState::kNone;
  TimePoint m_settle_until;
  TimePoint m_retry_at;
  FencingToken m_fence;
  // Engine status before the last order. Set until the first report after the order has been processed.
  std::optional<EngineStatus> m_status_before_order;
  // Weights with which each slot was last opened.
  std::map<WeightSlot, Digest> m_opened_manifests;
  // Slot that is closed for a swap, until the order has completed.
  std::optional<WeightSlot> m_swap_slot;
  // Slot that is announced to close, until it is closed.
  std::optional<WeightSlot> m_closing_slot;
  TimePoint m_close_at;
};

}  // namespace plantain

#endif  // PLANTAIN_SWAP_CONTROL_H_

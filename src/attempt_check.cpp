#include "attempt_check.h"

#include "document_func.h"

namespace plantain {
namespace {

// Maximum idempotency key length. Keys stay in memory and in the log for the log's retention period.
constexpr int kMaxKeyBytes = 256;

bool IsCallValid(const EndpointRole& role, const Document& document, const proto::AttemptStart& start) {
  if (start.has_completion()) return !role.is_service && !start.completion().model().empty();
  if (!start.has_service() || !role.is_service) return false;
  const proto::ServiceCall& call = start.service();
  if (call.service() != role.service.Get()) return false;
  const CallClass call_class = GetCallClass(document, call);
  if (call_class == CallClass::kUnknownCall) return false;
  const size_t key_bytes = call.idempotency_key().size();
  return key_bytes <= kMaxKeyBytes && (call_class == CallClass::kRepeatable || key_bytes > 0);
}

}  // namespace

CallClass GetCallClass(const Document& document, const proto::ServiceCall& call) {
  const ServiceSpec* service = FindService(document, ServiceName(call.service()));
  if (service == nullptr) return CallClass::kUnknownCall;
  const ServiceCallSpec* spec = FindCall(*service, call.call());
  if (spec == nullptr) return CallClass::kUnknownCall;
  return spec->is_repeatable && call.repeatable() ? CallClass::kRepeatable : CallClass::kAtMostOnce;
}

std::optional<proto::RefusalReason> CheckAttempt(const EndpointRole& role, const ConfigView* config, bool is_leaving,
                                                 const proto::AttemptStart& start) {
  if (is_leaving) return proto::REFUSAL_REASON_LEAVING;
  if (config == nullptr) return proto::REFUSAL_REASON_NO_CONFIG;
  if (!IsZoneInService(config->document, role.zone)) return proto::REFUSAL_REASON_ZONE_OUT;
  if (!IsCallValid(role, config->document, start)) return proto::REFUSAL_REASON_BAD_REQUEST;
  return std::nullopt;
}

}  // namespace plantain

#include <optional>

#include "failure_type.h"
#include "peer.pb.h"
#include "peer_exchange.h"
#include "text_delta.h"

namespace plantain {
namespace {

// Time without a reply after which a document is requested from another peer.
constexpr Duration kDocumentRequestTimeout = std::chrono::milliseconds(700);
// Delay before an entry with a reachable log requests a document from a peer, since the log usually delivers the
// record in this time.
constexpr Duration kLogGracePeriod = std::chrono::milliseconds(300);
// Minimum time between two documents sent to one peer.
constexpr Duration kMinOfferInterval = std::chrono::milliseconds(100);
constexpr size_t kDigestBytes = 32;
constexpr size_t kMaxDocumentBytes = 1024 * 1024;

std::optional<ConfigRefInfo> ReadRef(const proto::ConfigRef& in) {
  if (in.version() == 0 || in.digest().size() != kDigestBytes || in.proof().size() != kDigestBytes) return std::nullopt;
  return ConfigRefInfo{ConfigVersion(in.version()), LogOffset(in.publish_offset()), Digest(in.digest()), in.proof()};
}

void WriteRef(const ConfigRefInfo& ref, proto::ConfigRef& out) {
  out.set_version(ref.version.Get());
  out.set_publish_offset(ref.publish_offset.Get());
  out.set_digest(ref.digest.Get());
  out.set_proof(ref.proof);
}

const char* GetRejectionReason(FailureCode code) {
  if (code == FailureCode::kProofInvalid) return "proof_invalid";
  return code == FailureCode::kDigestMismatch ? "digest_mismatch" : "document_invalid";
}

}  // namespace

void PeerExchange::AddConfigRef(proto::PeerSync& sync) const {
  const std::optional<ConfigRefInfo> ref = m_exchange.GetConfigRef();
  if (ref.has_value()) WriteRef(*ref, *sync.mutable_config());
}

void PeerExchange::HandleConfig(Peer& peer, const proto::PeerSync& sync, proto::PeerSync& answer) {
  if (sync.has_offer()) HandleOffer(sync.offer(), answer);
  if (sync.has_config() && sync.config().version() > peer.version.Get()) {
    peer.version = ConfigVersion(sync.config().version());
  }
  const ConfigVersion own = GetOwnVersion();
  if (sync.want_document()) {
    AddOffer(peer, !sync.has_config(), answer);
  } else if (peer.version < own) {
    AddConfigRef(answer);
  }
  if (peer.version > own) RequestDocument(peer, answer);
}

void PeerExchange::RequestDocument(Peer& peer, proto::PeerSync& answer) {
  const TimePoint now = m_clock.GetNow();
  if (peer.version > m_highest_version) {
    m_highest_version = peer.version;
    m_highest_version_at = now;
  }
  const bool awaits_log =
      m_options.kind == MemberKind::kEntry && m_config.IsLogReachable() && now - m_highest_version_at < kLogGracePeriod;
  const bool is_request_pending = m_requested_version >= peer.version && now - m_requested_at < kDocumentRequestTimeout;
  if (awaits_log || is_request_pending) return;
  m_requested_version = peer.version;
  m_requested_at = now;
  answer.set_want_document(true);
  // The reference names the base version of the delta; without a reference the peer sends the full document.
  AddConfigRef(answer);
}

void PeerExchange::HandleOffer(const proto::ConfigOffer& offer, proto::PeerSync& answer) {
  const std::optional<ConfigRefInfo> ref = ReadRef(offer.ref());
  if (!ref.has_value()) {
    m_transport.OnMessageRejected("malformed");
    return;
  }
  if (ref->version <= GetOwnVersion()) return;
  std::string text = offer.document();
  if (offer.base_version() != 0) {
    const TextDelta delta{offer.prefix(), offer.suffix(), offer.document()};
    const auto applied = ApplyTextDelta(m_exchange.FindConfigText(ConfigVersion(offer.base_version())), delta);
    if (!applied.has_value()) {
      m_transport.OnMessageRejected("base_unknown");
      answer.set_want_document(true);
      return;
    }
    text = *applied;
  }
  if (text.size() > kMaxDocumentBytes) {
    m_transport.OnMessageRejected("too_large");
    return;
  }
  const absl::Status status = m_exchange.AdoptConfigOffer(*ref, text);
  if (!status.ok()) m_transport.OnMessageRejected(GetRejectionReason(GetFailureCode(status)));
}

void PeerExchange::AddOffer(Peer& peer, bool wants_full_document, proto::PeerSync& answer) {
  const std::optional<ConfigRefInfo> ref = m_exchange.GetConfigRef();
  const TimePoint now = m_clock.GetNow();
  TimePoint& last_offer = wants_full_document ? peer.last_full_offer : peer.last_offer;
  if (!ref.has_value() || now - last_offer < kMinOfferInterval) return;
  last_offer = now;
  proto::ConfigOffer& offer = *answer.mutable_offer();
  WriteRef(*ref, *offer.mutable_ref());
  const std::string_view text = m_exchange.FindConfigText(ref->version);
  const std::string_view base = wants_full_document ? std::string_view() : m_exchange.FindConfigText(peer.version);
  if (base.empty() || peer.version >= ref->version) {
    offer.set_document(std::string(text));
    return;
  }
  const TextDelta delta = MakeTextDelta(base, text);
  offer.set_base_version(peer.version.Get());
  offer.set_prefix(static_cast<uint32_t>(delta.prefix));
  offer.set_suffix(static_cast<uint32_t>(delta.suffix));
  offer.set_document(delta.middle);
}

void PeerExchange::SendConfigRef(const VmId& vm) {
  Peer& peer = GetPeer(vm);
  if (peer.version >= GetOwnVersion()) return;
  proto::PeerSync sync;
  AddConfigRef(sync);
  Send(peer, sync);
}

}  // namespace plantain

#include "entry_answer.h"

#include <utility>

#include "entry_parse.h"
#include "hex_text.h"

namespace plantain {
namespace {

HttpHeaders MakeStreamHeaders() {
  HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  headers.Add("Cache-Control", "no-store");
  return headers;
}

// Streams tokens as server-sent events. The status line and headers are sent with the first token, so that a request
// that fails earlier can still be answered with an HTTP error status.
class EventStreamSink : public AnswerSink {
 public:
  EventStreamSink(RequestId id, std::shared_ptr<HttpResponder> responder, size_t max_unsent_bytes,
                  OverflowHandler on_overflow)
      : m_responder(std::move(responder)), m_max_unsent_bytes(max_unsent_bytes), m_on_overflow(std::move(on_overflow)) {
    m_event_prefix = R"(data: {"id":)";
    AppendJsonString(id.Get(), m_event_prefix);
    m_event_prefix += R"(,"index":)";
  }

  void OnToken(uint32_t index, const std::string& text, const Digest& manifest) override {
    if (m_is_aborted) return;
    if (!m_is_header_sent) BeginStream(manifest);
    std::string event = m_event_prefix;
    event += std::to_string(index);
    event += R"(,"token":)";
    AppendJsonString(text, event);
    event += m_event_suffix;
    m_responder->SendChunk(std::move(event));
    if (m_responder->GetUnsentBytes() <= m_max_unsent_bytes) return;
    m_is_aborted = true;
    m_responder->Abort();
    m_on_overflow(this);
  }

  void OnComplete(const EntryAnswer&) override {
    if (m_is_aborted) return;
    if (!m_is_header_sent) m_responder->StartStream(200, MakeStreamHeaders());
    m_responder->SendChunk("data: [DONE]\n\n");
    m_responder->EndStream();
  }

  void OnFailed(const EntryError& error) override {
    if (m_is_aborted) return;
    if (!m_is_header_sent) return m_responder->Send(MakeErrorResponse(error));
    m_responder->SendChunk("data: " + FormatErrorJson(error) + "\n\n");
    m_responder->EndStream();
  }

 private:
  void BeginStream(const Digest& manifest) {
    m_is_header_sent = true;
    m_event_suffix = R"(,"weights":")" + FormatHex(manifest.Get()) + "\"}\n\n";
    m_responder->StartStream(200, MakeStreamHeaders());
  }

  const std::shared_ptr<HttpResponder> m_responder;
  const size_t m_max_unsent_bytes;
  const OverflowHandler m_on_overflow;
  std::string m_event_prefix;
  std::string m_event_suffix;
  bool m_is_header_sent = false;
  bool m_is_aborted = false;
};

// Sends the complete completion as one JSON object.
class JsonSink : public AnswerSink {
 public:
  JsonSink(RequestId id, std::shared_ptr<HttpResponder> responder)
      : m_id(std::move(id)), m_responder(std::move(responder)) {}

  void OnToken(uint32_t, const std::string&, const Digest&) override {}

  void OnComplete(const EntryAnswer& answer) override {
    std::string text;
    for (const std::string& token : answer.tokens) text += token;
    std::string body = R"({"id":)";
    AppendJsonString(m_id.Get(), body);
    body += R"(,"text":)";
    AppendJsonString(text, body);
    body += R"(,"tokens":)" + std::to_string(answer.tokens.size());
    body += R"(,"weights":")" + FormatHex(answer.manifest.Get()) + "\"}";
    m_responder->Send(MakeJsonResponse(200, std::move(body)));
  }

  void OnFailed(const EntryError& error) override { m_responder->Send(MakeErrorResponse(error)); }

 private:
  const RequestId m_id;
  const std::shared_ptr<HttpResponder> m_responder;
};

// Sends the response body of a plain service unchanged.
class ServiceSink : public AnswerSink {
 public:
  explicit ServiceSink(std::shared_ptr<HttpResponder> responder) : m_responder(std::move(responder)) {}

  void OnToken(uint32_t, const std::string&, const Digest&) override {}

  void OnComplete(const EntryAnswer& answer) override {
    HttpResponse response;
    response.status = answer.status;
    response.headers.Add("Content-Type", "application/octet-stream");
    response.body = answer.body;
    m_responder->Send(std::move(response));
  }

  void OnFailed(const EntryError& error) override { m_responder->Send(MakeErrorResponse(error)); }

 private:
  const std::shared_ptr<HttpResponder> m_responder;
};

}  // namespace

std::shared_ptr<AnswerSink> MakeHttpSink(const EntryRequest& request, std::shared_ptr<HttpResponder> responder,
                                         size_t max_unsent_bytes, OverflowHandler on_overflow) {
  if (!request.IsCompletion()) return std::make_shared<ServiceSink>(std::move(responder));
  if (!request.is_stream) return std::make_shared<JsonSink>(request.id, std::move(responder));
  return std::make_shared<EventStreamSink>(request.id, std::move(responder), max_unsent_bytes, std::move(on_overflow));
}

}  // namespace plantain

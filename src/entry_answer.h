// HTTP response writers: a server-sent event stream, a single JSON body, or the raw body of a plain service.

#ifndef PLANTAIN_ENTRY_ANSWER_H_
#define PLANTAIN_ENTRY_ANSWER_H_

#include <functional>
#include <memory>
#include <string>

#include "entry_type.h"
#include "http_server.h"

namespace plantain {

// Called after a stream was aborted because its caller reads too slowly. The sink must be removed from its answer.
using OverflowHandler = std::function<void(const AnswerSink*)>;

// Creates the sink that writes the answer to one caller of `request`. A stream with more than `max_unsent_bytes` of
// unsent output is aborted and reported to `on_overflow`; other responses are not limited.
std::shared_ptr<AnswerSink> MakeHttpSink(const EntryRequest& request, std::shared_ptr<HttpResponder> responder,
                                         size_t max_unsent_bytes, OverflowHandler on_overflow);

}  // namespace plantain

#endif  // PLANTAIN_ENTRY_ANSWER_H_

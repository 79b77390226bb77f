// How far an endpoint's answer has come.

#ifndef PLANTAIN_ANSWER_PROGRESS_TYPE_H_
#define PLANTAIN_ANSWER_PROGRESS_TYPE_H_

namespace plantain {

// How much of an answer an endpoint has sent.
enum class AnswerProgress {
  kNone,
  // The header, and possibly a part of the first event.
  kHeader,
  // A part of a body that is not a stream, or an event of a stream.
  kBegun,
};

}  // namespace plantain

#endif  // PLANTAIN_ANSWER_PROGRESS_TYPE_H_

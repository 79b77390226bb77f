// SHA-256 digests for the stand-ins.

#ifndef PLANTAIN_DIGEST_TEXT_H_
#define PLANTAIN_DIGEST_TEXT_H_

#include <memory>
#include <string>
#include <string_view>

namespace plantain::standin {

// Returns the raw 32 bytes of the SHA-256 of `bytes`.
std::string HashSha256(std::string_view bytes);

// Incremental SHA-256.
class Sha256Stream {
 public:
  Sha256Stream();
  ~Sha256Stream();
  Sha256Stream(const Sha256Stream&) = delete;
  Sha256Stream& operator=(const Sha256Stream&) = delete;

  void Add(std::string_view bytes);

  // Returns the raw 32-byte digest. Call only once.
  std::string Finish();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_DIGEST_TEXT_H_

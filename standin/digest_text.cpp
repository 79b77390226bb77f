#include "digest_text.h"

#include <openssl/evp.h>

namespace plantain::standin {
struct Sha256Stream::Impl {
  EVP_MD_CTX* context = EVP_MD_CTX_new();
};

Sha256Stream::Sha256Stream() : m_impl(std::make_unique<Impl>()) {
  EVP_DigestInit_ex(m_impl->context, EVP_sha256(), nullptr);
}

Sha256Stream::~Sha256Stream() { EVP_MD_CTX_free(m_impl->context); }

void Sha256Stream::Add(std::string_view bytes) { EVP_DigestUpdate(m_impl->context, bytes.data(), bytes.size()); }

std::string Sha256Stream::Finish() {
  std::string digest(EVP_MAX_MD_SIZE, '\0');
  unsigned size = 0;
  EVP_DigestFinal_ex(m_impl->context, reinterpret_cast<unsigned char*>(digest.data()), &size);
  digest.resize(size);
  return digest;
}

std::string HashSha256(std::string_view bytes) {
  Sha256Stream stream;
  stream.Add(bytes);
  return stream.Finish();
}

}  // namespace plantain::standin

// Measures the CPU time of hashing and transferring chunks, compared with the hash library alone.

#include <openssl/evp.h>
#include <sys/resource.h>

#include <functional>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "channel.h"
#include "chunk_memory.h"
#include "chunk_reply.h"
#include "chunk_store.h"
#include "failure_type.h"
#include "loop.h"
#include "manifest_func.h"
#include "transfer.pb.h"

namespace plantain {
namespace {

constexpr size_t kChunkBytes = 256 * 1024;
constexpr size_t kChunks = 64;
constexpr size_t kRounds = 16;
constexpr size_t kInFlight = 8;
constexpr uint64_t kSeed = 20261204;

double GetCpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& t) { return static_cast<double>(t.tv_sec) + 1e-6 * t.tv_usec; };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::vector<std::string> MakeChunks() {
  std::mt19937_64 random(kSeed);
  std::vector<std::string> chunks;
  for (size_t i = 0; i < kChunks; ++i) {
    std::string chunk(kChunkBytes, '\0');
    for (char& c : chunk) c = static_cast<char>(random());
    chunks.push_back(std::move(chunk));
  }
  return chunks;
}

// Prints the processing rate of a task that handles all chunks kRounds times.
void Measure(const std::string& metric, const std::function<void()>& task) {
  const double start = GetCpuSeconds();
  task();
  const double mb = static_cast<double>(kRounds * kChunks * kChunkBytes) / 1e6;
  std::cout << "{\"metric\":\"" << metric << "\",\"value\":" << mb / (GetCpuSeconds() - start)
            << ",\"unit\":\"MB/s per core\"}" << std::endl;
}

void HashWithLibrary(const std::vector<std::string>& chunks) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  for (size_t round = 0; round < kRounds; ++round) {
    for (const std::string& chunk : chunks) {
      EVP_Digest(chunk.data(), chunk.size(), digest, nullptr, EVP_sha256(), nullptr);
    }
  }
}

void HashIntoStore(const std::vector<std::string>& chunks, const std::vector<Digest>& digests) {
  for (size_t round = 0; round < kRounds; ++round) {
    ChunkStore store(Bytes(kChunks * kChunkBytes));
    std::vector<Digest> dropped;
    for (size_t i = 0; i < chunks.size(); ++i) store.Put(digests[i], chunks[i], dropped).IgnoreError();
  }
}

// A server and a client on one loop that exchange chunks as two agents would. The CPU time of both sides is measured.
class TransferRun {
 public:
  TransferRun(const std::vector<std::string>& chunks, const std::vector<Digest>& digests)
      : m_chunks(chunks),
        m_digests(digests),
        m_server(m_loop, m_context, ChannelOptions(),
                 [this](const ConnectionId& from, std::string_view message) { Answer(from, message); }) {}

  void Run() {
    if (!m_server.Start(m_target.address, m_target.port).ok()) return;
    m_client = std::make_unique<ClientChannel>(m_loop, m_context, m_target, ChannelOptions(),
                                               [this](std::string_view message) { Receive(message); });
    m_start = m_loop.RunEvery(Milliseconds(10), [this] {
      while (m_sent < kInFlight && Request()) {
      }
      if (m_sent >= kInFlight) m_start.reset();
    });
    m_loop.Run();
  }

 private:
  bool Request() {
    if (m_sent == kRounds * kChunks) return false;
    proto::TransferMessage message;
    message.mutable_request()->set_id(m_sent);
    if (!m_client->Send(message.SerializeAsString())) return false;
    ++m_sent;
    return true;
  }

  void Answer(const ConnectionId& from, std::string_view bytes) {
    proto::TransferMessage message;
    message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    const uint64_t id = message.request().id();
    m_server.SendOwned(from, FormatChunkReply(VmId("vm"), id, m_digests[id % kChunks], m_chunks[id % kChunks]));
  }

  void Receive(std::string_view bytes) {
    proto::TransferMessage message;
    message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    const Digest& digest = m_digests[message.reply().id() % kChunks];
    std::vector<Digest> dropped;
    m_store.Drop(digest);
    if (!m_store.Put(digest, std::move(*message.mutable_reply()->mutable_content()), dropped).ok()) std::abort();
    if (++m_received == kRounds * kChunks) m_loop.Stop();
    Request();
  }

  const std::vector<std::string>& m_chunks;
  const std::vector<Digest>& m_digests;
  const HttpTarget m_target{IpAddress("127.253.7.1"), Port(17402)};
  Loop m_loop;
  ChannelContext m_context;
  ServerChannel m_server;
  std::unique_ptr<ClientChannel> m_client;
  std::unique_ptr<Timer> m_start;
  ChunkStore m_store{Bytes(kChunks * kChunkBytes)};
  size_t m_sent = 0;
  size_t m_received = 0;
};

int Run() {
  ConfigureChunkMemory();
  const std::vector<std::string> chunks = MakeChunks();
  std::vector<Digest> digests;
  for (const std::string& chunk : chunks) digests.push_back(ComputeDigest(chunk));
  Measure("library_hash", [&] { HashWithLibrary(chunks); });
  Measure("chunk_hash", [&] { HashIntoStore(chunks, digests); });
  Measure("chunk_transfer", [&] { TransferRun(chunks, digests).Run(); });
  return 0;
}

}  // namespace
}  // namespace plantain

int main() { return plantain::Run(); }

#include "chunk_memory.h"

#include <malloc.h>

namespace plantain {
namespace {

// Larger than any message that carries a chunk. By default, the allocator maps a new region for each buffer of 128 KiB
// or more; zeroing its pages took a third of the processor time of a transfer.
constexpr int kMmapThresholdBytes = 16 * 1024 * 1024;
// Freed memory retained per heap. Large enough for the buffers of a full transfer pipeline.
constexpr int kTrimThresholdBytes = 64 * 1024 * 1024;

}  // namespace

void ConfigureChunkMemory() {
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

}  // namespace plantain

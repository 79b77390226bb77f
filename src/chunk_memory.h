// Memory allocator settings for processes that transfer chunks.

#ifndef PLANTAIN_CHUNK_MEMORY_H_
#define PLANTAIN_CHUNK_MEMORY_H_

namespace plantain {

// Configures the allocator to reuse freed chunk buffers instead of returning each one to the operating system. Call
// before the first chunk is handled.
void ConfigureChunkMemory();

}  // namespace plantain

#endif  // PLANTAIN_CHUNK_MEMORY_H_

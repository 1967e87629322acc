#include "dragonflysill/base/processmemory.h"

#include <malloc.h>

namespace dragonflysill {

namespace internal {

/** The initial threshold of glibc; a threshold that is set does not change any more. */
constexpr int largeBlockBytes = 131072;

} // namespace internal

void returnLargeBlocksWhenFreed()
{
    mallopt(M_MMAP_THRESHOLD, internal::largeBlockBytes);
}

void returnFreeMemory()
{
    malloc_trim(0);
}

} // namespace dragonflysill

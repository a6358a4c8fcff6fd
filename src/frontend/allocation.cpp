#include "allocation.h"

#include <malloc.h>

namespace geraniumpond::frontend {

namespace {

constexpr int kLargeBytes = 128 * 1024;
/// Free memory at the end of the heap that is kept: less would be given back
/// and taken again all the time.
constexpr int kKeptBytes = 1024 * 1024;

} // namespace

// By default the allocator raises the size from which it does so with each
// large buffer that is freed.
void ReturnLargeBuffers() noexcept
{
  (void)::mallopt(M_MMAP_THRESHOLD, kLargeBytes);
  (void)::mallopt(M_TRIM_THRESHOLD, kKeptBytes);
}

} // namespace geraniumpond::frontend

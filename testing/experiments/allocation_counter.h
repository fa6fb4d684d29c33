/// \file
/// Counts the bytes that the whole program holds on the heap.
#pragma once

#include <cstddef>

namespace gypsumstep::experiments {

/// Bytes allocated by operator new and not yet deleted, as the allocator rounds them.
[[nodiscard]] std::size_t heap_bytes();

/// Processor time of this process, in seconds.
[[nodiscard]] double processor_seconds();

} // namespace gypsumstep::experiments

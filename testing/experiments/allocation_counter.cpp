#include "allocation_counter.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <ctime>
#include <new>

namespace {

std::atomic<std::size_t> held_bytes{0};

void* counted_allocate(std::size_t size)
{
    void* memory = std::malloc(size); // NOLINT: this is the allocator
    if (memory == nullptr) {
        std::abort();
    }
    held_bytes += malloc_usable_size(memory);
    return memory;
}

void counted_free(void* memory)
{
    if (memory != nullptr) {
        held_bytes -= malloc_usable_size(memory);
        std::free(memory); // NOLINT: this is the allocator
    }
}

} // namespace

void* operator new(std::size_t size)
{
    return counted_allocate(size);
}

void operator delete(void* memory) noexcept
{
    counted_free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    counted_free(memory);
}

namespace gypsumstep::experiments {

std::size_t heap_bytes()
{
    return held_bytes;
}

double processor_seconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    constexpr double nanoseconds_per_second = 1e9;
    return static_cast<double>(time.tv_sec) +
           (static_cast<double>(time.tv_nsec) / nanoseconds_per_second);
}

} // namespace gypsumstep::experiments

/// \file
/// What the kernel tells about a process: memory and open descriptors.
#pragma once

#include <cstddef>
#include <cstdint>

namespace gypsumstep::hostile {

/// Largest resident memory that the process has had (VmHWM), in MiB rounded up; 0 if it has ended.
[[nodiscard]] std::uint64_t peak_memory_mib(std::int64_t process);

/// Number of sockets that the process has open.
[[nodiscard]] std::size_t open_sockets(std::int64_t process);

} // namespace gypsumstep::hostile

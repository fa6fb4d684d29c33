#include "process_state.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace gypsumstep::hostile {
namespace {

std::string folder_of(std::int64_t process)
{
    return "/proc/" + std::to_string(process);
}

} // namespace

std::uint64_t peak_memory_mib(std::int64_t process)
{
    constexpr std::uint64_t kib_per_mib = 1024;
    std::ifstream status{folder_of(process) + "/status"};
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            std::uint64_t kib = 0;
            status >> kib;
            return (kib + kib_per_mib - 1) / kib_per_mib;
        }
    }
    return 0;
}

std::size_t open_sockets(std::int64_t process)
{
    std::size_t count = 0;
    std::error_code problem;
    for (std::filesystem::directory_iterator entry{folder_of(process) + "/fd", problem}, end;
         !problem && entry != end; entry.increment(problem)) {
        std::error_code closed; // a descriptor may be closed while the folder is read
        const std::string target = std::filesystem::read_symlink(entry->path(), closed).string();
        count += target.starts_with("socket:") ? 1U : 0U;
    }
    return count;
}

} // namespace gypsumstep::hostile

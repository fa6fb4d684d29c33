#include "load/process_time.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>

namespace gypsumstep::load {

std::optional<duration> parse_process_time(const std::string& stat, long ticks_per_second)
{
    // The program's name may contain spaces; the fields after it do not.
    const std::size_t name_end = stat.rfind(')');
    if (name_end == std::string::npos) {
        return std::nullopt;
    }
    std::istringstream fields{stat.substr(name_end + 1)};
    constexpr int fields_before_user_time = 11;
    std::string skipped;
    for (int i = 0; i < fields_before_user_time; ++i) {
        fields >> skipped;
    }
    long user = 0;
    long system = 0;
    if (!(fields >> user >> system)) {
        return std::nullopt;
    }
    return duration{1s} * (user + system) / ticks_per_second;
}

std::optional<duration> process_time(int pid)
{
    std::ifstream file{"/proc/" + std::to_string(pid) + "/stat"};
    const std::string stat{std::istreambuf_iterator<char>{file}, {}};
    return parse_process_time(stat, sysconf(_SC_CLK_TCK));
}

} // namespace gypsumstep::load

#include "gypsumstep/runtime/fatal_signal.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <utility>

#include <ctime>
#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

namespace gypsumstep::runtime {
namespace {

struct fatal_signal {
    int number;
    std::string_view name;
};

constexpr std::array<fatal_signal, 5> fatal_signals{{{SIGSEGV, "SIGSEGV"},
                                                     {SIGBUS, "SIGBUS"},
                                                     {SIGFPE, "SIGFPE"},
                                                     {SIGILL, "SIGILL"},
                                                     {SIGABRT, "SIGABRT"}}};

/// Frames reported at most: enough to show the cycle of an endless recursion.
constexpr std::size_t max_frames = 48;

/// Frames on one line. Tools that collect logs may cut long lines.
constexpr int frames_per_line = 6;

/// Loaded files that frames are assigned to. The daemons load some 30.
constexpr std::size_t max_files = 64;
constexpr std::size_t max_name_bytes = 48;

/// Size of the handler's own stack, in bytes. The unwinder needs some 10 KB.
constexpr std::size_t handler_stack_bytes = 64U << 10U;

/// Longest wait for an output to take the line, so that a reader that does not read cannot keep the
/// process from ending.
constexpr int write_timeout_ms = 100;

/// A part of memory that was loaded from a file.
struct loaded_file {
    std::uintptr_t base{0};
    std::uintptr_t end{0};
    std::array<char, max_name_bytes> name{};
};

/// Prepared by report_fatal_signals(), since the handler must not allocate or take locks.
struct handler_state {
    fatal_signal_options options;
    std::array<loaded_file, max_files> files{};
    std::size_t file_count{0};
    alignas(std::max_align_t) std::array<char, handler_stack_bytes> stack{};
};

handler_state state; // NOLINT: reached by the handler

/// A line of fixed size; what does not fit is cut off.
class line_buffer {
public:
    void text(std::string_view part)
    {
        const std::size_t size = std::min(part.size(), m_bytes.size() - m_size);
        std::copy_n(part.begin(), size, m_bytes.data() + m_size);
        m_size += size;
    }

    void number(std::uint64_t value, int base, std::size_t min_digits = 1)
    {
        std::array<char, 24> digits{};
        const auto end =
            std::to_chars(digits.data(), digits.data() + digits.size(), value, base).ptr;
        const auto size = static_cast<std::size_t>(end - digits.data());
        for (std::size_t place = size; place < min_digits; ++place) {
            text("0");
        }
        text({digits.data(), size});
    }

    [[nodiscard]] const char* data() const { return m_bytes.data(); }
    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    std::array<char, 1000> m_bytes{}; // at most PIPE_BUF, so that a pipe takes the line whole
    std::size_t m_size{0};
};

void append_time(line_buffer& line)
{
    timespec now{};
    (void)::clock_gettime(CLOCK_REALTIME, &now);
    const std::chrono::sys_seconds seconds{std::chrono::seconds{now.tv_sec}};
    const auto day = std::chrono::floor<std::chrono::days>(seconds);
    const std::chrono::year_month_day date{day};
    const std::chrono::hh_mm_ss time{seconds - day};
    const auto append = [&line](std::int64_t value, std::size_t digits, std::string_view after) {
        line.number(static_cast<std::uint64_t>(value), 10, digits);
        line.text(after);
    };
    append(static_cast<int>(date.year()), 4, "-");
    append(static_cast<unsigned>(date.month()), 2, "-");
    append(static_cast<unsigned>(date.day()), 2, "T");
    append(time.hours().count(), 2, ":");
    append(time.minutes().count(), 2, ":");
    append(time.seconds().count(), 2, ".");
    append(now.tv_nsec / 1'000'000, 3, "Z");
}

void append_address(line_buffer& line, std::uintptr_t address)
{
    for (std::size_t index = 0; index < state.file_count; ++index) {
        const loaded_file& file = state.files.at(index);
        if (address >= file.base && address < file.end) {
            line.text(file.name.data());
            line.text("+0x");
            line.number(address - file.base, 16);
            return;
        }
    }
    line.text("0x");
    line.number(address, 16);
}

void write_to(int output, const line_buffer& line)
{
    std::size_t written = 0;
    while (written < line.size()) {
        pollfd ready{output, POLLOUT, 0};
        if (::poll(&ready, 1, write_timeout_ms) <= 0) {
            return;
        }
        const ssize_t count = ::write(output, line.data() + written, line.size() - written);
        if (count < 0 && errno != EINTR) {
            return;
        }
        written += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    }
}

bool is_same_file(int left, int right)
{
    struct stat left_file {};
    struct stat right_file {};
    return ::fstat(left, &left_file) == 0 && ::fstat(right, &right_file) == 0 &&
           left_file.st_dev == right_file.st_dev && left_file.st_ino == right_file.st_ino;
}

void write_line(const line_buffer& line)
{
    const auto [first, second] = state.options.outputs;
    if (first >= 0) {
        write_to(first, line);
    }
    if (second >= 0 && !(first >= 0 && is_same_file(first, second))) {
        write_to(second, line);
    }
}

void begin_line(line_buffer& line, std::string_view message)
{
    line.text(R"({"time":")");
    append_time(line);
    line.text(R"(","level":"error","component":"fatal","message":")");
    line.text(message);
}

void report_signal(int number, const siginfo_t& info)
{
    line_buffer line;
    begin_line(line, R"(ended by a signal","signal":")");
    const auto* const found =
        std::find_if(fatal_signals.begin(), fatal_signals.end(),
                     [number](const fatal_signal& entry) { return entry.number == number; });
    line.text(found == fatal_signals.end() ? "unknown" : found->name);
    line.text(R"(","code":)");
    // si_code is negative for signals that a process sent.
    line.text(info.si_code < 0 ? "-" : "");
    line.number(static_cast<std::uint64_t>(std::abs(static_cast<std::int64_t>(info.si_code))), 10);
    line.text(R"(,"address":"0x)");
    line.number(reinterpret_cast<std::uintptr_t>(info.si_addr), 16);
    line.text("\"}\n");
    write_line(line);
}

void report_frames(const std::array<void*, max_frames>& frames, int count)
{
    for (int begin = 0; begin < count; begin += frames_per_line) {
        line_buffer line;
        begin_line(line, R"(backtrace","frame":)");
        line.number(static_cast<std::uint64_t>(begin), 10);
        line.text(R"(,"frames":")");
        for (int index = begin; index < std::min(count, begin + frames_per_line); ++index) {
            line.text(index == begin ? "" : " ");
            append_address(
                line, reinterpret_cast<std::uintptr_t>(frames.at(static_cast<std::size_t>(index))));
        }
        line.text("\"}\n");
        write_line(line);
    }
}

void handle_fatal_signal(int number, siginfo_t* info, void* /*context*/)
{
    std::array<void*, max_frames> frames{};
    const int count = ::backtrace(frames.data(), static_cast<int>(frames.size()));
    report_signal(number, *info);
    report_frames(frames, count);
    if (state.options.flush != nullptr) {
        state.options.flush();
    }
    // The handler was reset; the signal is delivered again when this function returns.
    (void)::raise(number);
}

int add_loaded_file(dl_phdr_info* info, std::size_t /*size*/, void* /*data*/)
{
    if (state.file_count == state.files.size()) {
        return 1;
    }
    loaded_file file;
    file.base = info->dlpi_addr;
    for (int index = 0; index < info->dlpi_phnum; ++index) {
        const auto& segment = info->dlpi_phdr[index];
        if (segment.p_type == PT_LOAD) {
            file.end = std::max(file.end, file.base + segment.p_vaddr + segment.p_memsz);
        }
    }
    std::string_view name{info->dlpi_name};
    if (name.empty()) {
        name = program_invocation_short_name; // the program itself has no name here
    }
    name.remove_prefix(name.find_last_of('/') + 1);
    std::copy_n(name.begin(), std::min(name.size(), file.name.size() - 1), file.name.begin());
    state.files.at(state.file_count++) = file;
    return 0;
}

} // namespace

void report_fatal_signals(const fatal_signal_options& options)
{
    state.options = options;
    state.file_count = 0;
    ::dl_iterate_phdr(add_loaded_file, nullptr);
    // The first call loads the unwinder, which allocates.
    std::array<void*, 2> frames{};
    (void)::backtrace(frames.data(), static_cast<int>(frames.size()));
    stack_t own_stack{};
    own_stack.ss_sp = state.stack.data();
    own_stack.ss_size = state.stack.size();
    (void)::sigaltstack(&own_stack, nullptr);
    struct sigaction action {};
    action.sa_sigaction = handle_fatal_signal;
    action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
    sigemptyset(&action.sa_mask);
    for (const fatal_signal& entry : fatal_signals) {
        (void)::sigaction(entry.number, &action, nullptr);
    }
}

} // namespace gypsumstep::runtime

// Tests that a process ended by a fatal signal leaves a backtrace, also after a stack overflow:
// without it, crashes in the field can't be traced.
#include "gypsumstep/runtime/fatal_signal.h"

#include <catch2/catch.hpp>

#include <array>
#include <csignal>
#include <sstream>
#include <string>

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

struct ended_process {
    std::string report;
    int signal{0};
};

/// Runs a function in a child process that reports fatal signals.
template <class Run>
ended_process run_child(Run run)
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    const pid_t child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        const rlimit no_core{0, 0};
        (void)::setrlimit(RLIMIT_CORE, &no_core);
        gypsumstep::runtime::report_fatal_signals({{ends[1], ends[1]}, nullptr});
        run();
        ::_exit(0);
    }
    ::close(ends[1]);
    ended_process ended;
    std::array<char, 4096> bytes{};
    for (ssize_t count = 0; (count = ::read(ends[0], bytes.data(), bytes.size())) > 0;) {
        ended.report.append(bytes.data(), static_cast<std::size_t>(count));
    }
    ::close(ends[0]);
    int status = 0;
    REQUIRE(::waitpid(child, &status, 0) == child);
    ended.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return ended;
}

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

// NOLINTNEXTLINE(misc-no-recursion)
int use_stack(volatile int* levels)
{
    std::array<volatile char, 4096> frame{};
    frame[0] = static_cast<char>(*levels);
    *levels = *levels - 1;
    return *levels == 0 ? 0 : use_stack(levels) + frame[0];
}

} // namespace

TEST_CASE("a fatal signal is reported once, on short lines, and still ends the process")
{
    const int number = GENERATE(SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT);
    const ended_process ended = run_child([number] { (void)::raise(number); });
    CHECK(ended.signal == number);
    CHECK(count_of(ended.report, R"("message":"ended by a signal")") == 1);
    std::istringstream lines{ended.report};
    for (std::string line; std::getline(lines, line);) {
        // A tool that collects logs cut the middle of a longer line, with the newest frames.
        CHECK(line.size() < 400);
        CHECK(line.starts_with(R"({"time":")"));
        CHECK(line.ends_with("\"}"));
    }
    CHECK(count_of(ended.report, "test_runtime+0x") >= 2);
}

TEST_CASE("an invalid access is reported with its address")
{
    const ended_process ended = run_child([] {
        volatile int* volatile invalid = nullptr;
        *invalid = 1;
    });
    CHECK(ended.signal == SIGSEGV);
    CHECK(count_of(ended.report, R"("address":"0x0")") == 1);
}

TEST_CASE("an overflow of the stack is reported with the frames of the recursion")
{
    const ended_process ended = run_child([] {
        volatile int levels = 1'000'000; // 4 GB, more than any stack
        (void)use_stack(&levels);
    });
    CHECK(ended.signal == SIGSEGV);
    CHECK(count_of(ended.report, "test_runtime+0x") >= 20);
}

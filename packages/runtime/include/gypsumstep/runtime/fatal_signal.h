/// \file
/// Reports fatal signals before they end the process.
#pragma once

#include <array>

namespace gypsumstep::runtime {

/// What happens at a fatal signal before the process ends.
struct fatal_signal_options {
    /// Descriptors that the report is written to; -1 for none. Two that lead to the same file get
    /// it once.
    std::array<int, 2> outputs{-1, -1};

    /// Called after the report, to write what is still buffered. It must not allocate. May be null.
    void (*flush)(){nullptr};
};

/// Writes a line with the signal and the address, and some with the backtrace of the thread, when
/// the process gets SIGSEGV, SIGBUS, SIGFPE, SIGILL or SIGABRT; the signal's default action
/// follows.
///
/// Each frame is given as file+offset, which addr2line takes with the unstripped file. The handler
/// runs on a stack of its own for the calling thread, so that an overflow of its stack is reported
/// as well. Call it once, before other threads start.
void report_fatal_signals(const fatal_signal_options& options);

} // namespace gypsumstep::runtime

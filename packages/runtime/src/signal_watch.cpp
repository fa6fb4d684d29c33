#include "gypsumstep/runtime/signal_watch.h"

#include <array>
#include <csignal>

#include <unistd.h>

namespace gypsumstep::runtime {
namespace {

// Self-pipe: a signal handler may only call async-signal-safe functions such as write().
std::array<int, 2> signal_pipe{-1, -1}; // NOLINT: reached by the handler

void handle_signal(int number)
{
    const char byte = static_cast<char>(number);
    (void)!::write(signal_pipe[1], &byte, 1);
}

} // namespace

signal_watch::signal_watch(std::initializer_list<int> numbers, std::function<void(int)> on_signal)
    : m_on_signal{std::move(on_signal)}
{
    if (::pipe(signal_pipe.data()) != 0) {
        return;
    }
    m_notifier = std::make_unique<QSocketNotifier>(signal_pipe[0], QSocketNotifier::Read);
    connect(m_notifier.get(), &QSocketNotifier::activated, this, [this] {
        char byte = 0;
        if (::read(signal_pipe[0], &byte, 1) == 1) {
            m_on_signal(byte);
        }
    });
    for (const int number : numbers) {
        std::signal(number, handle_signal);
    }
}

} // namespace gypsumstep::runtime

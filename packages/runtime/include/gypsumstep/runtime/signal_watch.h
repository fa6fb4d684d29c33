/// \file
/// Delivers POSIX signals as calls on the event loop.
#pragma once

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <initializer_list>
#include <memory>

namespace gypsumstep::runtime {

/// Watches signals and calls back on the thread that constructed it. At most one instance may
/// exist in a process, because the signal handler uses a process-wide pipe.
class signal_watch : public QObject {
public:
    /// \param numbers signals to watch, e.g. SIGTERM
    /// \param on_signal called with the number of each signal received
    signal_watch(std::initializer_list<int> numbers, std::function<void(int)> on_signal);

private:
    std::function<void(int)> m_on_signal;
    std::unique_ptr<QSocketNotifier> m_notifier;
};

} // namespace gypsumstep::runtime

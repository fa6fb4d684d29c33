/// \file
/// Turns signals into calls on the event loop.
#pragma once

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <initializer_list>
#include <memory>

namespace gypsumstep::runtime {

/// Calls back on the thread that made it. One instance in a process.
class signal_watch : public QObject {
public:
    /// \param numbers signals to watch, e.g. SIGTERM
    /// \param on_signal called with the number of every signal
    signal_watch(std::initializer_list<int> numbers, std::function<void(int)> on_signal);

private:
    std::function<void(int)> m_on_signal;
    std::unique_ptr<QSocketNotifier> m_notifier;
};

} // namespace gypsumstep::runtime

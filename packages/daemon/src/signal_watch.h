/// \file
/// Turns SIGTERM and SIGINT into calls on the event loop.
#pragma once

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace gypsumstep::daemon {

/// Calls back on the thread that made it. One instance in a process.
class signal_watch : public QObject {
public:
    /// \param on_signal called for every signal
    explicit signal_watch(std::function<void()> on_signal);

private:
    std::function<void()> m_on_signal;
    std::unique_ptr<QSocketNotifier> m_notifier;
};

} // namespace gypsumstep::daemon

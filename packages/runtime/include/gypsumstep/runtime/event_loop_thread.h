/// \file
/// A thread with an event loop that owns the objects of one duty.
#pragma once

#include <QObject>
#include <QThread>

#include <functional>
#include <memory>
#include <string>

namespace gypsumstep::runtime {

/// Runs one duty of the daemon on a thread of its own.
class event_loop_thread {
public:
    using factory = std::function<std::unique_ptr<QObject>()>;

    /// \param name shown by debuggers; at most 15 characters are kept
    explicit event_loop_thread(const std::string& name);

    /// Stops the duty.
    ~event_loop_thread();
    event_loop_thread(const event_loop_thread&) = delete;
    event_loop_thread& operator=(const event_loop_thread&) = delete;

    /// Starts the thread and makes the duty's object on it; returns once it is made.
    void start(factory make);

    /// Destroys the duty's object on its thread and ends the thread; idempotent.
    void stop();

private:
    QThread m_thread;
    std::unique_ptr<QObject> m_anchor;
    std::unique_ptr<QObject> m_duty;
};

/// Calls \p run later on the thread of \p receiver.
void post(QObject& receiver, std::function<void()> run);

} // namespace gypsumstep::runtime

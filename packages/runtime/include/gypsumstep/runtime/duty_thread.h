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
class duty_thread {
public:
    using factory = std::function<std::unique_ptr<QObject>()>;

    /// \param name shown by debuggers; at most 15 characters are kept
    explicit duty_thread(const std::string& name);

    /// Stops the duty.
    ~duty_thread();
    duty_thread(const duty_thread&) = delete;
    duty_thread& operator=(const duty_thread&) = delete;

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

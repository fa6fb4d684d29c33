/// \file
/// A thread that runs a Qt event loop.
#pragma once

#include <QObject>
#include <QThread>

#include <functional>
#include <memory>
#include <string>

namespace gypsumstep::runtime {

/// Runs an event loop on a thread of its own, and owns an object that lives on that thread.
class event_loop_thread {
public:
    using factory = std::function<std::unique_ptr<QObject>()>;

    /// \param name name of the thread in debuggers; truncated to 15 characters
    explicit event_loop_thread(const std::string& name);

    /// Calls stop().
    ~event_loop_thread();
    event_loop_thread(const event_loop_thread&) = delete;
    event_loop_thread& operator=(const event_loop_thread&) = delete;

    /// Starts the thread and calls \p make on it. Returns once the object has been created.
    void start(factory make);

    /// Destroys the object on the thread and waits for the thread to end. Idempotent.
    void stop();

private:
    QThread m_thread;
    std::unique_ptr<QObject> m_context; // receives the calls to run on the thread
    std::unique_ptr<QObject> m_object;  // created by the factory
};

/// Queues a call of \p run on the event loop of the thread of \p receiver, and returns at once.
void post(QObject& receiver, std::function<void()> run);

} // namespace gypsumstep::runtime

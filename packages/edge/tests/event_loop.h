/// \file
/// The Qt event loop that the tests of one program share.
#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>

#include <array>

namespace gypsumstep::edge::test {

inline QCoreApplication& application()
{
    static int count = 1;
    static std::array<char, 5> name{"test"};
    static std::array<char*, 2> arguments{name.data(), nullptr};
    static QCoreApplication instance{count, arguments.data()};
    return instance;
}

/// Runs the event loop until \p done returns true, for at most 5 s. Returns the last result of
/// \p done.
template <class Done>
bool run_until(Done&& done)
{
    application();
    QElapsedTimer timer;
    timer.start();
    while (!done() && timer.elapsed() < 5000) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
    return done();
}

} // namespace gypsumstep::edge::test

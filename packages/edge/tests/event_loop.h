/// \file
/// One Qt event loop for the tests of a program.
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

/// Runs the event loop until \p done returns true, at most a few seconds.
template <class Done>
bool run_until(Done&& done)
{
    application();
    QElapsedTimer passed;
    passed.start();
    while (!done() && passed.elapsed() < 5000) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
    return done();
}

} // namespace gypsumstep::edge::test

// Tests of the epoll-based event dispatcher with Qt's timers, notifiers and posted events.
#include "gypsumstep/runtime/epoll_dispatcher.h"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

#include <array>
#include <memory>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

using namespace gypsumstep::runtime;

namespace {

epoll_dispatcher& start_application()
{
    static epoll_dispatcher* const dispatcher = [] {
        auto* const made = new epoll_dispatcher;
        REQUIRE(made->is_valid());
        QCoreApplication::setEventDispatcher(made);
        return made;
    }();
    static int count = 1;
    static std::array<char, 5> name{"test"};
    static std::array<char*, 2> arguments{name.data(), nullptr};
    static QCoreApplication application{count, arguments.data()};
    return *dispatcher;
}

/// Handles events until \p done returns true, for at most 5 s.
template <class Done>
bool run_until(Done&& done)
{
    start_application();
    QElapsedTimer timer;
    timer.start();
    while (!done() && timer.elapsed() < 5000) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
    return done();
}

/// Two connected sockets.
struct socket_pair {
    std::array<int, 2> ends{-1, -1};

    socket_pair()
    {
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
    }
    ~socket_pair()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    socket_pair(const socket_pair&) = delete;
    socket_pair& operator=(const socket_pair&) = delete;

    void send() const { CHECK(::write(ends[1], "x", 1) == 1); }
    bool receive() const
    {
        char byte = 0;
        return ::read(ends[0], &byte, 1) == 1;
    }
};

} // namespace

TEST_CASE("a repeating timer fires again, a single shot once")
{
    start_application();
    int repeated = 0;
    int once = 0;
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, [&] { ++repeated; });
    timer.start(5);
    QTimer::singleShot(1, [&] { ++once; });
    CHECK(run_until([&] { return repeated >= 5; }));
    CHECK(once == 1);
    CHECK(timer.remainingTime() <= 5);
    timer.stop();
    const int stopped_at = repeated;
    QElapsedTimer waited;
    waited.start();
    run_until([&] { return waited.elapsed() > 30; });
    CHECK(repeated == stopped_at);
}

TEST_CASE("a timer that its own handler restarts or deletes is safe")
{
    start_application();
    auto timer = std::make_unique<QTimer>();
    int fired = 0;
    QObject::connect(timer.get(), &QTimer::timeout, [&] {
        if (++fired < 3) {
            timer->start(2);
            return;
        }
        timer.release()->deleteLater();
    });
    timer->start(1);
    CHECK(run_until([&] { return fired == 3; }));
}

TEST_CASE("a waiting event loop ends when a timer is due")
{
    start_application();
    QEventLoop loop;
    QElapsedTimer timer;
    timer.start();
    QTimer::singleShot(20, &loop, &QEventLoop::quit);
    loop.exec();
    CHECK(timer.elapsed() >= 19);
}

TEST_CASE("a notifier is activated while its socket is readable")
{
    start_application();
    const socket_pair pair;
    int activated = 0;
    bool keep_unread = true;
    QSocketNotifier notifier{pair.ends[0], QSocketNotifier::Read};
    QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
        ++activated;
        if (!keep_unread) {
            CHECK(pair.receive());
        }
    });
    pair.send();
    CHECK(run_until([&] { return activated >= 3; })); // unread bytes activate it again
    keep_unread = false;
    const int before = activated;
    CHECK(run_until([&] { return activated > before; }));
    notifier.setEnabled(false);
    pair.send();
    const int disabled_at = activated;
    QElapsedTimer waited;
    waited.start();
    run_until([&] { return waited.elapsed() > 30; });
    CHECK(activated == disabled_at);
    notifier.setEnabled(true);
    CHECK(run_until([&] { return activated > disabled_at; }));
}

TEST_CASE("read and write notifiers of one socket are independent")
{
    start_application();
    const socket_pair pair;
    int read = 0;
    int written = 0;
    QSocketNotifier reader{pair.ends[0], QSocketNotifier::Read};
    QSocketNotifier writer{pair.ends[0], QSocketNotifier::Write};
    QObject::connect(&reader, &QSocketNotifier::activated, [&] {
        ++read;
        CHECK(pair.receive());
    });
    QObject::connect(&writer, &QSocketNotifier::activated, [&] {
        ++written;
        writer.setEnabled(false);
    });
    CHECK(run_until([&] { return written == 1; }));
    pair.send();
    CHECK(run_until([&] { return read == 1; }));
    CHECK(written == 1);
}

TEST_CASE("a descriptor whose number is used again is watched anew")
{
    start_application();
    int descriptor = -1;
    {
        const socket_pair pair;
        descriptor = pair.ends[0];
        QSocketNotifier notifier{pair.ends[0], QSocketNotifier::Read};
        run_until([] { return true; });
        QCoreApplication::processEvents();
    }
    const socket_pair pair;
    REQUIRE(pair.ends[0] == descriptor);
    int activated = 0;
    QSocketNotifier notifier{pair.ends[0], QSocketNotifier::Read};
    QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
        ++activated;
        CHECK(pair.receive());
    });
    pair.send();
    CHECK(run_until([&] { return activated == 1; }));
}

TEST_CASE("a notifier that an earlier one deletes is not activated")
{
    start_application();
    const socket_pair first;
    const socket_pair second;
    std::array<std::unique_ptr<QSocketNotifier>, 2> notifiers;
    int activated = 0;
    const auto watch = [&](std::size_t index, const socket_pair& pair) {
        notifiers[index] = std::make_unique<QSocketNotifier>(pair.ends[0], QSocketNotifier::Read);
        QObject::connect(notifiers[index].get(), &QSocketNotifier::activated, [&, index] {
            ++activated;
            notifiers[1 - index].reset();
            notifiers[index]->setEnabled(false);
        });
    };
    watch(0, first);
    watch(1, second);
    first.send();
    second.send();
    CHECK(run_until([&] { return activated > 0; }));
    QCoreApplication::processEvents();
    CHECK(activated == 1);
}

TEST_CASE("the other end's close activates the read notifier")
{
    start_application();
    std::array<int, 2> ends{-1, -1};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
    bool activated = false;
    QSocketNotifier notifier{ends[0], QSocketNotifier::Read};
    QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
        activated = true;
        notifier.setEnabled(false);
    });
    ::close(ends[1]);
    CHECK(run_until([&] { return activated; }));
    ::close(ends[0]);
}

TEST_CASE("an event that another thread posts wakes the waiting loop")
{
    start_application();
    QEventLoop loop;
    std::thread poster{[&] {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
        QMetaObject::invokeMethod(
            &loop, [&] { loop.quit(); }, Qt::QueuedConnection);
    }};
    CHECK(loop.exec() == 0);
    poster.join();
}

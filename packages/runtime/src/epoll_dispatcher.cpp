#include "gypsumstep/runtime/epoll_dispatcher.h"

#include <QCoreApplication>
#include <QEvent>

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace gypsumstep::runtime {
namespace {

/// Sockets that one wake-up handles at most; the others are handled by the next one.
constexpr int max_events = 64;

/// The notifier type, and the events that activate it. A closed or failed connection activates all.
constexpr std::uint32_t always = EPOLLERR | EPOLLHUP;
constexpr std::array<std::pair<QSocketNotifier::Type, std::uint32_t>, 3> notifier_events{
    {{QSocketNotifier::Read, EPOLLIN},
     {QSocketNotifier::Write, EPOLLOUT},
     {QSocketNotifier::Exception, EPOLLPRI}}};

} // namespace

epoll_dispatcher::epoll_dispatcher(QObject* parent)
    : QAbstractEventDispatcher{parent}, m_epoll{::epoll_create1(EPOLL_CLOEXEC)},
      m_wake{::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)}
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = m_wake;
    if (is_valid() && ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wake, &event) != 0) {
        ::close(std::exchange(m_wake, -1));
    }
}

epoll_dispatcher::~epoll_dispatcher()
{
    if (m_wake >= 0) {
        ::close(m_wake);
    }
    if (m_epoll >= 0) {
        ::close(m_epoll);
    }
}

bool epoll_dispatcher::processEvents(QEventLoop::ProcessEventsFlags flags)
{
    m_interrupted = false;
    Q_EMIT awake();
    QCoreApplication::sendPostedEvents();
    if (m_interrupted) {
        return true;
    }
    const bool may_wait = flags.testFlag(QEventLoop::WaitForMoreEvents);
    if (may_wait) {
        Q_EMIT aboutToBlock();
    }
    bool handled = false;
    if (!flags.testFlag(QEventLoop::ExcludeSocketNotifiers)) {
        apply_changes();
        handled = dispatch_sockets(wait_time(may_wait));
    }
    return dispatch_timers() || handled;
}

int epoll_dispatcher::wait_time(bool may_wait) const
{
    if (!may_wait || m_interrupted) {
        return 0;
    }
    if (m_due.empty()) {
        return -1;
    }
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(m_due.begin()->first - clock::now());
    return static_cast<int>(
        std::clamp<std::int64_t>(left.count(), 0, std::numeric_limits<int>::max()));
}

bool epoll_dispatcher::dispatch_sockets(int timeout)
{
    std::array<epoll_event, max_events> events{};
    const int count = ::epoll_wait(m_epoll, events.data(), max_events, timeout);
    bool handled = false;
    for (int index = 0; index < count; ++index) {
        const epoll_event& event = events.at(static_cast<std::size_t>(index));
        if (event.data.fd == m_wake) {
            std::uint64_t wakes = 0;
            (void)!::read(m_wake, &wakes, sizeof wakes);
            handled = true;
            continue;
        }
        handled = notify(event.data.fd, event.events) || handled;
    }
    return handled;
}

bool epoll_dispatcher::notify(int descriptor, std::uint32_t events)
{
    bool handled = false;
    for (const auto& [type, activating] : notifier_events) {
        if ((events & (activating | always)) == 0) {
            continue;
        }
        // An earlier notification may have removed this one.
        const auto found = m_sockets.find(descriptor);
        if (found == m_sockets.end()) {
            break;
        }
        QSocketNotifier* const notifier = found->second.notifiers.at(type);
        if (notifier != nullptr) {
            QEvent activation{QEvent::SockAct};
            QCoreApplication::sendEvent(notifier, &activation);
            handled = true;
        }
    }
    return handled;
}

std::uint32_t epoll_dispatcher::wanted_events(const socket_entry& entry)
{
    std::uint32_t wanted = 0;
    for (const auto& [type, activating] : notifier_events) {
        wanted |= entry.notifiers.at(type) == nullptr ? 0U : activating;
    }
    return wanted;
}

void epoll_dispatcher::registerSocketNotifier(QSocketNotifier* notifier)
{
    const int descriptor = static_cast<int>(notifier->socket());
    m_sockets[descriptor].notifiers.at(notifier->type()) = notifier;
    m_changed.insert(descriptor);
}

void epoll_dispatcher::unregisterSocketNotifier(QSocketNotifier* notifier)
{
    const int descriptor = static_cast<int>(notifier->socket());
    const auto found = m_sockets.find(descriptor);
    if (found == m_sockets.end() || found->second.notifiers.at(notifier->type()) != notifier) {
        return;
    }
    socket_entry& entry = found->second;
    entry.notifiers.at(notifier->type()) = nullptr;
    if (wanted_events(entry) != 0) {
        m_changed.insert(descriptor);
        return;
    }
    // At once, since the descriptor may be closed next, and its number used again.
    watch(descriptor, entry, 0);
    m_sockets.erase(found);
    m_changed.erase(descriptor);
}

void epoll_dispatcher::apply_changes()
{
    // Write notifiers are mostly removed again before the next wait.
    for (const int descriptor : std::exchange(m_changed, {})) {
        socket_entry& entry = m_sockets.at(descriptor);
        watch(descriptor, entry, wanted_events(entry));
    }
}

void epoll_dispatcher::watch(int descriptor, socket_entry& entry, std::uint32_t events)
{
    if (events == entry.watched) {
        return;
    }
    epoll_event event{};
    event.events = events;
    event.data.fd = descriptor;
    const int operation = events == 0          ? EPOLL_CTL_DEL
                          : entry.watched == 0 ? EPOLL_CTL_ADD
                                               : EPOLL_CTL_MOD;
    if (::epoll_ctl(m_epoll, operation, descriptor, &event) != 0 && events != 0) {
        qWarning("cannot watch descriptor %d", descriptor);
    }
    entry.watched = events;
}

void epoll_dispatcher::registerTimer(int id, qint64 interval, Qt::TimerType type, QObject* object)
{
    timer added;
    added.interval = std::chrono::milliseconds{interval};
    added.type = type;
    added.object = object;
    added.due = clock::now() + added.interval;
    m_due.emplace(added.due, id);
    m_timers.insert_or_assign(id, added);
}

bool epoll_dispatcher::unregisterTimer(int id)
{
    const auto found = m_timers.find(id);
    if (found == m_timers.end()) {
        return false;
    }
    m_due.erase({found->second.due, id});
    m_timers.erase(found);
    return true;
}

bool epoll_dispatcher::unregisterTimers(QObject* object)
{
    std::vector<int> ids;
    for (const auto& [id, entry] : m_timers) {
        if (entry.object == object) {
            ids.push_back(id);
        }
    }
    for (const int id : ids) {
        unregisterTimer(id);
    }
    return !ids.empty();
}

QList<QAbstractEventDispatcher::TimerInfo> epoll_dispatcher::registeredTimers(QObject* object) const
{
    QList<TimerInfo> timers;
    for (const auto& [id, entry] : m_timers) {
        if (entry.object == object) {
            timers.append(TimerInfo{id, static_cast<int>(entry.interval.count()), entry.type});
        }
    }
    return timers;
}

int epoll_dispatcher::remainingTime(int id)
{
    const auto found = m_timers.find(id);
    if (found == m_timers.end()) {
        return -1;
    }
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(found->second.due - clock::now());
    return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

bool epoll_dispatcher::dispatch_timers()
{
    if (m_due.empty()) {
        return false;
    }
    const clock::time_point now = clock::now();
    std::vector<int> due;
    for (const auto& [time, id] : m_due) {
        if (time > now) {
            break;
        }
        due.push_back(id);
    }
    bool handled = false;
    for (const int id : due) {
        // A handler may have removed the timer or started it anew.
        const auto found = m_timers.find(id);
        if (found == m_timers.end() || found->second.due > now || found->second.in_handler) {
            continue;
        }
        timer& entry = found->second;
        m_due.erase({entry.due, id});
        entry.due = std::max(entry.due + entry.interval, now);
        m_due.emplace(entry.due, id);
        entry.in_handler = true;
        QTimerEvent event{id};
        QCoreApplication::sendEvent(entry.object, &event);
        handled = true;
        if (const auto left = m_timers.find(id); left != m_timers.end()) {
            left->second.in_handler = false;
        }
    }
    return handled;
}

void epoll_dispatcher::wakeUp()
{
    const std::uint64_t one = 1;
    (void)!::write(m_wake, &one, sizeof one);
}

void epoll_dispatcher::interrupt()
{
    m_interrupted = true;
    wakeUp();
}

} // namespace gypsumstep::runtime

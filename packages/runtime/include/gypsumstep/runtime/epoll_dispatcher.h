/// \file
/// An event dispatcher for Qt whose cost of a wake-up does not grow with the number of sockets.
#pragma once

#include <QAbstractEventDispatcher>
#include <QSocketNotifier>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace gypsumstep::runtime {

/// Waits for sockets with epoll, where Qt's own dispatcher passes all sockets to the kernel at each
/// wake-up.
///
/// Must be set with QCoreApplication::setEventDispatcher() before the application is created, and
/// used by its thread only; wakeUp() and interrupt() may be called by any thread.
class epoll_dispatcher : public QAbstractEventDispatcher {
public:
    explicit epoll_dispatcher(QObject* parent = nullptr);
    ~epoll_dispatcher() override;
    epoll_dispatcher(const epoll_dispatcher&) = delete;
    epoll_dispatcher& operator=(const epoll_dispatcher&) = delete;

    /// True if the kernel gave the descriptors that the dispatcher needs.
    [[nodiscard]] bool is_valid() const { return m_epoll >= 0 && m_wake >= 0; }

    bool processEvents(QEventLoop::ProcessEventsFlags flags) override;

    void registerSocketNotifier(QSocketNotifier* notifier) override;
    void unregisterSocketNotifier(QSocketNotifier* notifier) override;

    void registerTimer(int id, qint64 interval, Qt::TimerType type, QObject* object) override;
    bool unregisterTimer(int id) override;
    bool unregisterTimers(QObject* object) override;
    [[nodiscard]] QList<TimerInfo> registeredTimers(QObject* object) const override;
    int remainingTime(int id) override;

    void wakeUp() override;
    void interrupt() override;

private:
    using clock = std::chrono::steady_clock;

    /// One socket: its notifiers by QSocketNotifier::Type, and the events that epoll watches.
    struct socket_entry {
        std::array<QSocketNotifier*, 3> notifiers{};
        std::uint32_t watched{0};
    };

    struct timer {
        std::chrono::milliseconds interval{0};
        Qt::TimerType type{Qt::CoarseTimer};
        QObject* object{nullptr};
        clock::time_point due;
        bool in_handler{false};
    };

    [[nodiscard]] static std::uint32_t wanted_events(const socket_entry& entry);
    void watch(int descriptor, socket_entry& entry, std::uint32_t events);
    void apply_changes();
    [[nodiscard]] int wait_time(bool may_wait) const;
    bool dispatch_sockets(int timeout);
    bool notify(int descriptor, std::uint32_t events);
    bool dispatch_timers();

    int m_epoll{-1};
    int m_wake{-1};
    std::unordered_map<int, socket_entry> m_sockets;
    std::set<int> m_changed; ///< sockets whose notifiers changed since the last wait
    std::map<int, timer> m_timers;
    std::set<std::pair<clock::time_point, int>> m_due; ///< timers by due time and id
    std::atomic<bool> m_interrupted{false};
};

} // namespace gypsumstep::runtime

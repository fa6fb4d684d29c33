/// \file
/// A bounded queue between two threads.
#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace gypsumstep::runtime {

/// A bounded single-producer, single-consumer queue.
///
/// The consumer is woken once for all values that are pushed before it calls drain().
template <class T>
class channel {
public:
    /// \param capacity number of values that fit; push() fails when the queue is full
    explicit channel(std::size_t capacity) : m_ring{capacity} {}

    /// Sets the function that wakes the consumer; push() calls it on the producing thread.
    /// Must be set before the first push().
    void on_wake(std::function<void()> wake) { m_wake = std::move(wake); }

    /// Appends a copy of \p value; returns false if the queue is full.
    [[nodiscard]] bool push(const T& value)
    {
        if (!m_ring.push(value)) {
            return false;
        }
        if (!m_signalled.exchange(true)) {
            m_wake();
        }
        return true;
    }

    /// Moves each queued value to \p consume, in order. Called on the consuming thread.
    template <class Consume>
    void drain(Consume&& consume)
    {
        m_signalled.store(false);
        m_ring.consume_all([&consume](T& value) { consume(std::move(value)); });
    }

private:
    boost::lockfree::spsc_queue<T> m_ring;
    std::function<void()> m_wake;
    std::atomic<bool> m_signalled{false};
};

} // namespace gypsumstep::runtime

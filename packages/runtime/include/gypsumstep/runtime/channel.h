/// \file
/// A bounded ring between two duties.
#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace gypsumstep::runtime {

/// Carries values from one producing thread to one consuming thread.
///
/// The consumer is woken once for any number of values that arrive before it drains.
template <class T>
class channel {
public:
    /// \param capacity values that fit; push() fails beyond
    explicit channel(std::size_t capacity) : m_ring{capacity} {}

    /// Sets what wakes the consumer; called from the producing thread.
    /// Must be set before the first push().
    void on_wake(std::function<void()> wake) { m_wake = std::move(wake); }

    /// Appends a value; false if the ring is full, and \p value is unchanged then.
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

    /// Hands every waiting value to \p consume, in order.
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

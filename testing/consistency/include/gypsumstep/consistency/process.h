/// \file
/// A process that can be killed, restarted, frozen and thawed.
#pragma once

#include "gypsumstep/sim/network.h"

#include <utility>
#include <vector>

namespace gypsumstep::consistency {

/// What all processes of a run share.
struct surroundings {
    sim::event_queue& queue;
    sim::network& network;
    random_source& random;
};

/// Delivers callbacks to one process as long as it lives; while frozen they wait.
class process {
public:
    using callback = sim::event_queue::callback;

    process(surroundings& world, sim::network::endpoint address)
        : m_world{world}, m_address{address}
    {
    }

    [[nodiscard]] sim::network::endpoint address() const { return m_address; }
    [[nodiscard]] bool alive() const { return m_alive; }
    [[nodiscard]] bool frozen() const { return m_frozen; }
    [[nodiscard]] std::uint64_t incarnation() const { return m_incarnation; }
    [[nodiscard]] time_point now() const { return m_world.queue.now(); }

    /// Runs \p work now, later if frozen, never if dead.
    void deliver(callback work)
    {
        if (!m_alive) {
            return;
        }
        if (m_frozen) {
            m_waiting.push_back(std::move(work));
            return;
        }
        work();
    }

    /// Runs \p work after \p delay in this incarnation.
    void after(duration delay, callback work)
    {
        m_world.queue.after(delay, [this, run = m_incarnation, work = std::move(work)]() mutable {
            if (run == m_incarnation) {
                deliver(std::move(work));
            }
        });
    }

    /// Sends \p work to another process over the network.
    void send(process& to, callback work)
    {
        m_world.network.send(m_address, to.m_address,
                             [&to, work = std::move(work)] { to.deliver(work); });
    }

    void kill()
    {
        m_alive = false;
        m_frozen = false;
        m_waiting.clear();
        ++m_incarnation;
    }

    void restart() { m_alive = true; }

    void freeze() { m_frozen = m_alive; }

    void thaw()
    {
        m_frozen = false;
        for (auto& work : std::exchange(m_waiting, {})) {
            deliver(std::move(work));
        }
    }

private:
    surroundings& m_world;
    sim::network::endpoint m_address;
    bool m_alive{true};
    bool m_frozen{false};
    std::uint64_t m_incarnation{1};
    std::vector<callback> m_waiting;
};

} // namespace gypsumstep::consistency

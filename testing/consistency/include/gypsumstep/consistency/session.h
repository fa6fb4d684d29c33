/// \file
/// A caller's session that writes, reads, roams between daemons and asks about lost answers.
#pragma once

#include "gypsumstep/consistency/daemon.h"

namespace gypsumstep::consistency {

/// What a session does.
struct session_habits {
    double reads{0.4};   ///< share of reads
    double roaming{0.2}; ///< probability of another daemon before each operation
    duration pause_low{5'000};
    duration pause_high{60'000};
};

/// One caller's session.
template <class Rules>
class session {
public:
    session(std::uint64_t number, surroundings& world, oracle& checks,
            std::vector<daemon<Rules>*> daemons, session_habits habits)
        : m_number{number}, m_world{world}, m_checks{checks}, m_daemons{std::move(daemons)},
          m_habits{habits}, m_daemon{number % m_daemons.size()}
    {
    }

    /// Begins the next operation after a pause.
    void proceed()
    {
        m_world.queue.after(m_world.random.between(m_habits.pause_low, m_habits.pause_high),
                            [this] { operate(); });
    }

    /// Begins no further operation; questions about lost answers go on.
    void stop() { m_stopped = true; }

    /// Writes whose outcome is not known yet.
    [[nodiscard]] std::uint64_t unresolved() const { return m_unresolved; }

private:
    static constexpr duration operation_limit{3'000'000};
    static constexpr duration grace{100'000}; ///< after it a live daemon sends nothing more
    static constexpr duration watch_interval{20'000};
    static constexpr duration question_interval{200'000};

    void operate()
    {
        if (m_stopped) {
            return;
        }
        if (m_world.random.chance(m_habits.roaming) || !current().proc.alive()) {
            m_daemon = m_world.random.below(m_daemons.size());
        }
        if (!current().proc.alive()) {
            proceed();
        }
        else if (m_world.random.chance(m_habits.reads)) {
            read();
        }
        else {
            write();
        }
    }

    daemon<Rules>& current() { return *m_daemons[m_daemon]; }

    void write()
    {
        const std::uint64_t key = m_number * 100'000 + ++m_writes;
        ++m_unresolved;
        submit(key, std::nullopt, [this, key](const write_result& result) {
            settle(key, {}, result);
            proceed();
        });
    }

    /// \p bound is the highest term in which the write can have been sent, 0 if not known.
    void settle(std::uint64_t key, term bound, const write_result& result)
    {
        if (result.outcome == commit::outcome::unknown) {
            bound = result.sent_in > term{} ? result.sent_in : bound;
            m_world.queue.after(question_interval, [this, key, bound] { ask(key, bound); });
            return;
        }
        --m_unresolved;
        if (result.outcome == commit::outcome::ran) {
            m_token = std::max(m_token, result.position);
            m_own.insert(key);
        }
    }

    /// Asks any daemon what became of a write.
    void ask(std::uint64_t key, term bound)
    {
        submit(key, bound,
               [this, key, bound](const write_result& result) { settle(key, bound, result); });
    }

    /// Calls \p done once: with the daemon's answer, or with unknown if it is lost.
    void submit(std::uint64_t key, std::optional<term> sent_before, const write_callback& done)
    {
        const std::size_t chosen = sent_before ? m_world.random.below(m_daemons.size()) : m_daemon;
        daemon<Rules>& to = *m_daemons[chosen];
        const time_point deadline = m_world.queue.now() + operation_limit;
        auto once = std::make_shared<bool>(false);
        const auto answer = [once, done](const write_result& result) {
            if (!std::exchange(*once, true)) {
                done(result);
            }
        };
        const std::uint64_t run = to.run();
        to.proc.deliver([&to, key, sent_before, deadline, answer] {
            to.write(key, sent_before, deadline, answer);
        });
        watch(to, run, deadline + grace, [answer] { answer({}); });
    }

    /// Calls \p lost when the daemon's run has ended or \p limit has passed.
    void watch(daemon<Rules>& to, std::uint64_t run, time_point limit,
               const std::function<void()>& lost)
    {
        if (to.run() != run || !to.proc.alive() || m_world.queue.now() >= limit) {
            lost();
            return;
        }
        m_world.queue.after(watch_interval,
                            [this, &to, run, limit, lost] { watch(to, run, limit, lost); });
    }

    void read()
    {
        daemon<Rules>& to = current();
        auto once = std::make_shared<bool>(false);
        const std::vector<std::uint64_t> own{m_own.begin(), m_own.end()};
        const auto answer = [this, once, own](const read_answer& result) {
            if (std::exchange(*once, true)) {
                return;
            }
            if (result.served) {
                m_checks.read(m_world.queue.now(), m_number, own, *result.keys);
                if (m_seen) {
                    m_checks.read(m_world.queue.now(), m_number, *m_seen, *result.keys);
                }
                m_token = std::max(m_token, result.applied);
                m_seen = result.keys;
            }
            proceed();
        };
        const time_point deadline = m_world.queue.now() + operation_limit;
        const std::uint64_t run = to.run();
        to.proc.deliver([this, &to, deadline, answer] { to.read(m_token, deadline, answer); });
        watch(to, run, deadline + grace, [answer] { answer({}); });
    }

    std::uint64_t m_number;
    surroundings& m_world;
    oracle& m_checks;
    std::vector<daemon<Rules>*> m_daemons;
    session_habits m_habits;
    std::size_t m_daemon;
    bool m_stopped{false};
    std::uint64_t m_writes{0};
    std::uint64_t m_unresolved{0};
    log_position m_token;
    std::set<std::uint64_t> m_own;                            ///< keys of own writes that ran
    std::shared_ptr<const std::vector<std::uint64_t>> m_seen; ///< shown by the last read
};

} // namespace gypsumstep::consistency

/// \file
/// One group with its servers, daemons, platform and sessions in virtual time.
#pragma once

#include "gypsumstep/consistency/fault.h"
#include "gypsumstep/consistency/rules.h"
#include "gypsumstep/consistency/session.h"

namespace gypsumstep::consistency {

/// One run.
struct scenario {
    std::uint64_t seed{1};
    std::vector<fault> faults;
    duration active{20'000'000}; ///< sessions and faults
    duration settle{14'000'000}; ///< after everything is healed
    bool tracing{false};
    std::uint64_t sessions{5};
    session_habits habits;
    sim::link_conditions links{500us, 5ms, 0.005, 0.01};
    double lost_platform_answers{0.1};
    duration replica_lag_limit{300'000};
    failover::settings failover;
};

/// Everything of one run.
template <class Rules>
class cluster {
public:
    explicit cluster(const scenario& run)
        : checks{run.tracing}, m_run{run}, m_random{hash_combine(run.seed, 17)},
          m_network{m_queue, m_random, run.links}, m_world{m_queue, m_network, m_random},
          m_platform{m_world, platform_address}
    {
        m_platform.set_lost_answers(run.lost_platform_answers);
        build();
    }

    /// Runs the whole scenario and checks the final log.
    void run()
    {
        for (const fault& one : m_run.faults) {
            m_queue.after(one.at - m_queue.now(), [this, one] { strike(one); });
        }
        m_queue.run_until(time_point{m_run.active});
        settle();
    }

    /// Runs for a while.
    void pass(duration time) { m_queue.run_until(m_queue.now() + time); }

    [[nodiscard]] time_point now() const { return m_queue.now(); }

    /// The server in office with the highest term, or nothing.
    [[nodiscard]] fake_server<Rules>* primary()
    {
        fake_server<Rules>* found = nullptr;
        for (auto& one : m_servers) {
            const bool higher = found == nullptr || one->office_term() > found->office_term();
            if (one->proc.alive() && one->in_office() && higher) {
                found = one.get();
            }
        }
        return found;
    }

    /// Begins a fault that ends after its length.
    void strike(const fault& what);

    [[nodiscard]] daemon<Rules>& daemon_at(std::size_t index)
    {
        return *m_daemons[index % m_daemons.size()];
    }

    oracle checks;

private:
    static constexpr std::uint32_t servers = 3;
    static constexpr std::uint32_t daemons_per_domain = 2;
    static constexpr sim::network::endpoint platform_address = 100;

    void build();
    void settle();
    void mute_primary(duration length);
    void strike_successor(fault_kind kind, duration life);
    void cut(std::uint32_t from_domain, std::uint32_t to_domain, bool begin);
    void cut_platform(std::uint32_t domain, bool begin);
    [[nodiscard]] std::vector<sim::network::endpoint> addresses(std::uint32_t domain) const;

    template <class Process>
    void outage(Process& subject, bool kill, duration length)
    {
        if (!subject.proc.alive() || subject.proc.frozen()) {
            return;
        }
        kill ? subject.proc.kill() : subject.proc.freeze();
        m_queue.after(length, [this, &subject, kill] {
            checks.trace(m_queue.now(), kill ? "restart" : "thaw", subject.proc.address(), "");
            kill ? subject.restart() : subject.proc.thaw();
        });
    }

    scenario m_run;
    sim::event_queue m_queue;
    random_source m_random;
    sim::network m_network;
    surroundings m_world;
    fake_platform m_platform;
    std::vector<std::unique_ptr<fake_server<Rules>>> m_servers;
    std::vector<std::unique_ptr<daemon<Rules>>> m_daemons;
    std::vector<std::unique_ptr<session<Rules>>> m_sessions;
    std::uint64_t m_orders{0};
};

template <class Rules>
void cluster<Rules>::mute_primary(duration length)
{
    const fake_server<Rules>* muted = primary();
    if (muted == nullptr) {
        return;
    }
    const std::uint32_t domain = muted->id().value();
    for (std::uint32_t i = 0; i < servers; ++i) {
        for (const auto to : addresses(i)) {
            if (i != domain) {
                m_network.cut(domain, to);
                m_queue.after(length, [this, domain, to] { m_network.heal(domain, to); });
            }
        }
    }
}

template <class Rules>
void cluster<Rules>::strike_successor(fault_kind kind, duration life)
{
    checks.on_opened = [this, kind, life](server_id opened) {
        checks.on_opened = nullptr;
        for (std::uint32_t i = 0; kind == fault_kind::isolate_successor && i < servers; ++i) {
            m_network.cut(opened.value(), i);
        }
        m_queue.after(life, [this, opened] {
            m_network.heal_all();
            outage(*m_servers[opened.value()], true, 2s);
        });
    };
}

template <class Rules>
void cluster<Rules>::build()
{
    std::vector<fake_server<Rules>*> server_list;
    for (std::uint32_t i = 0; i < servers; ++i) {
        const duration lag = m_random.between(0us, m_run.replica_lag_limit);
        m_servers.push_back(
            std::make_unique<fake_server<Rules>>(server_id{i}, m_world, checks, lag));
        server_list.push_back(m_servers.back().get());
    }
    std::vector<daemon<Rules>*> daemon_list;
    for (std::uint32_t i = 0; i < servers * daemons_per_domain; ++i) {
        m_daemons.push_back(std::make_unique<daemon<Rules>>(
            typename daemon<Rules>::config{i, {server_id{i / daemons_per_domain}}, m_run.failover},
            m_world, checks, server_list, m_platform));
        daemon_list.push_back(m_daemons.back().get());
    }
    for (auto* one : server_list) {
        one->start(server_list);
        one->on_change([one, daemon_list](const commit::server_report& report) {
            for (auto* to : daemon_list) {
                one->proc.send(to->proc, [to, report] { to->report(report); });
            }
        });
    }
    for (auto* one : daemon_list) {
        one->start(daemon_list);
    }
    for (auto* one : server_list) {
        one->report_health_to(daemon_list);
    }
    for (std::uint64_t i = 1; i <= m_run.sessions; ++i) {
        m_sessions.push_back(
            std::make_unique<session<Rules>>(i, m_world, checks, daemon_list, m_run.habits));
        m_sessions.back()->proceed();
    }
}

template <class Rules>
std::vector<sim::network::endpoint> cluster<Rules>::addresses(std::uint32_t domain) const
{
    std::vector<sim::network::endpoint> found{domain};
    for (std::uint32_t i = 0; i < daemons_per_domain; ++i) {
        found.push_back(m_daemons[domain * daemons_per_domain + i]->proc.address());
    }
    return found;
}

template <class Rules>
void cluster<Rules>::cut(std::uint32_t from_domain, std::uint32_t to_domain, bool begin)
{
    for (const auto from : addresses(from_domain)) {
        for (const auto to : addresses(to_domain)) {
            begin ? m_network.cut(from, to) : m_network.heal(from, to);
        }
    }
}

template <class Rules>
void cluster<Rules>::cut_platform(std::uint32_t domain, bool begin)
{
    for (const auto one : addresses(domain)) {
        begin ? m_network.cut(one, platform_address) : m_network.heal(one, platform_address);
        begin ? m_network.cut(platform_address, one) : m_network.heal(platform_address, one);
    }
}

template <class Rules>
void cluster<Rules>::strike(const fault& what)
{
    checks.trace(m_queue.now(), "fault", what.subject, to_string(what));
    const std::uint32_t domain = what.subject % servers;
    const std::uint32_t other = what.other % servers;
    const auto later = [&](sim::event_queue::callback undo) {
        m_queue.after(what.length, std::move(undo));
    };
    switch (what.kind) {
    case fault_kind::kill_server:
    case fault_kind::freeze_server:
        outage(*m_servers[domain], what.kind == fault_kind::kill_server, what.length);
        break;
    case fault_kind::kill_daemon:
    case fault_kind::freeze_daemon:
        outage(daemon_at(what.subject), what.kind == fault_kind::kill_daemon, what.length);
        break;
    case fault_kind::cut_domain:
        for (std::uint32_t i = 0; i < servers; ++i) {
            if (i != domain) {
                cut(domain, i, true);
                cut(i, domain, true);
                later([this, domain, i] {
                    cut(domain, i, false);
                    cut(i, domain, false);
                });
            }
        }
        cut_platform(domain, true);
        later([this, domain] { cut_platform(domain, false); });
        break;
    case fault_kind::cut_one_way:
        if (domain != other) {
            cut(domain, other, true);
            later([this, domain, other] { cut(domain, other, false); });
        }
        break;
    case fault_kind::platform_down:
    case fault_kind::platform_slow:
        m_platform.set_mode(what.kind == fault_kind::platform_down ? platform_mode::down
                                                                   : platform_mode::slow);
        later([this] { m_platform.set_mode(platform_mode::up); });
        break;
    case fault_kind::lossy_network:
        m_network.set_conditions({500us, 50ms, 0.1, 0.05});
        later([this] { m_network.set_conditions(m_run.links); });
        break;
    case fault_kind::mute_primary:
        mute_primary(what.length);
        break;
    case fault_kind::kill_successor:
    case fault_kind::isolate_successor:
        strike_successor(what.kind, what.length);
        break;
    case fault_kind::operator_order: {
        auto& to = daemon_at(what.subject);
        to.proc.deliver([&to, order = ++m_orders, target = server_id{other}] {
            to.tell(failover::operator_order{order, target});
        });
        break;
    }
    }
}

template <class Rules>
void cluster<Rules>::settle()
{
    constexpr duration before_order{9'000'000}; // outlasts every fault and a failover
    checks.on_opened = nullptr;
    m_network.heal_all();
    pass(before_order);
    const auto acknowledged = checks.counts.acknowledged;
    for (auto& one : m_sessions) {
        one->stop();
    }
    // A new term settles what an absent key means for those who lost their daemon.
    for (std::uint32_t i = 0; i < servers; ++i) {
        if (primary() != nullptr && primary()->id() != server_id{i}) {
            strike({fault_kind::operator_order, now(), 0us, 0, i});
            break;
        }
    }
    pass(std::max<duration>(m_run.settle - before_order, 1s));
    for (auto& one : m_sessions) {
        checks.counts.unresolved += one->unresolved();
    }
    if (primary() == nullptr) {
        checks.violate(now(), "no primary after everything was healed");
        return;
    }
    const bool alive = checks.last_acknowledged &&
                       *checks.last_acknowledged > time_point{m_run.active + before_order - 2s};
    if (m_run.sessions > 0 && (!alive || acknowledged == 0)) {
        checks.violate(now(), "no write acknowledged after everything was healed");
    }
    if (checks.counts.unresolved > 0) {
        checks.violate(now(), std::to_string(checks.counts.unresolved) + " requests unresolved");
    }
    checks.final_log(now(), primary()->log());
}

} // namespace gypsumstep::consistency
